//! The query router on sockets: `serve` runs it until it is told to end. `docs/architecture.md` goes through
//! it file by file; the binary `query-router` in `crates/cli` starts it.

mod clients;
pub mod config;
mod counters;
mod discovery;
mod effects;
mod frames;
mod gather;
mod http;
mod links;
mod objects;
mod query;
mod reducer;
mod scatter;
mod serve;

pub use serve::{Heeded, heed_signals, serve};
