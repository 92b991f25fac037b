//! The query router on sockets: [`serve`] answers queries until a signal asks for the shutdown. `docs/architecture.md`
//! goes through it file by file; the binary `query-router` in `crates/cli` starts it.
//!
//! The event loop owns everything of the operating system: sockets, signals and the clock. It reports events to the
//! router's state machine and carries out the effects that the state machine asks for. The state machine contains the
//! balancer, which takes every decision.

#![warn(missing_docs)]

pub mod config;

mod counters;
mod event_loop;
mod io;
mod protocol;
mod router;

pub use event_loop::{ServeError, SignalSource, install_signal_handlers, read_config, retry_at_start, serve};
