//! The query router as a server: [`serve`] answers queries until a signal starts a graceful shutdown. The binary
//! `query-router` in `crates/cli` starts it; `docs/architecture.md` describes its modules.
//!
//! The event loop owns all operating system resources: sockets, signals and the clock. It reports events to the
//! router's state machine, which performs no I/O, and executes the effects that the state machine requests. The state
//! machine contains the balancer, which makes all load-balancing decisions.

#![warn(missing_docs)]

pub mod config;
pub mod discovery;

mod counters;
mod event_loop;
mod io;
mod log_output;
mod protocol;
mod router;

pub use event_loop::{
    ServeError, SignalSource, block_signals, descriptor_limit, read_config, retry_at_start, serve,
};
pub use log_output::LogOutput;
