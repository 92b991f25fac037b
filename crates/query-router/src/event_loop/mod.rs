//! The event loop: sockets, signals and the clock. It reports events to the router and carries out the effects that the
//! router asks for; it decides nothing and does not interpret the bytes of a connection.

mod clock;
mod effects;
mod error;
mod iteration;
mod listener;
mod pending_event;
mod server;
mod signals;
mod socket;

#[cfg(test)]
mod tests;

pub use error::ServeError;
pub use signals::{SignalSource, install_signal_handlers};

use crate::config::Config;
use crate::protocol::http::MAX_BODY_BYTES;
use crate::router::Router;
use calloop::EventLoop;
use clock::Clock;
use listener::ClientListener;
use server::{ExitState, Server, print_to_stderr};
use std::collections::VecDeque;

/// Serves queries until SIGTERM or SIGINT, then shuts down gracefully and prints the counters to
/// standard error. On SIGHUP the configuration is read again from `config_path`.
///
/// # Errors
///
/// A [`ServeError`] if the router cannot start, or if waiting for events fails.
pub fn serve(signals: SignalSource, config: Config, config_path: String) -> Result<(), ServeError> {
    let (mut event_loop, mut server) = start(signals, config, config_path)?;
    while server.exit != ExitState::Done {
        let timeout = server.poll_timeout();
        event_loop.dispatch(timeout, &mut server).map_err(ServeError::EventLoop)?;
        server.run_iteration();
    }
    print_to_stderr(&server.router.counters().lines());
    Ok(())
}

/// Listens and registers everything with a new event loop.
fn start(
    signals: SignalSource, config: Config, config_path: String,
) -> Result<(EventLoop<'static, Server>, Server), ServeError> {
    let event_loop = EventLoop::try_new().map_err(ServeError::EventLoop)?;
    let handle = event_loop.handle();
    let listener =
        ClientListener::bind(config.listen, &handle, |server: &mut Server| server.accept_pending = true)?;
    signals.register(&handle, |request, server| server.pending_signals.push(request))?;
    let clock = Clock::new();
    let router = Router::new(&config, clock.now());
    let address = listener.local_address()?;
    tracing::info!(name = %config.name, %address, "query router started");
    let mut server = Server {
        handle,
        config,
        config_path,
        clock,
        router,
        listener,
        accept_pending: false,
        sockets: Vec::new(),
        ready: Vec::new(),
        pending_events: VecDeque::new(),
        pending_signals: Vec::new(),
        wake_at: None,
        read_buffer: vec![0; MAX_BODY_BYTES],
        exit: ExitState::Running,
    };
    server.decide();
    Ok((event_loop, server))
}
