//! The query router on sockets: `serve` runs it until it is told to end. `docs/architecture.md` goes through
//! it file by file; the binary `query-router` in `crates/cli` starts it.

pub mod config;
mod counters;
mod io;
mod protocol;
mod router;
mod serve;

pub use serve::{Heeded, heed_signals, serve};
