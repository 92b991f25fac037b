//! The query router on sockets: `serve` runs it until it is told to end. `docs/architecture.md` goes through
//! it file by file; the binary `query-router` in `crates/cli` starts it.

mod clients;
pub mod config;
mod counters;
mod discovery;
mod io;

mod gather;

mod links;
mod protocol;

mod event_loop;
mod reducer;
mod scatter;

pub use event_loop::{ServeError, SignalSource, install_signal_handlers, serve};
