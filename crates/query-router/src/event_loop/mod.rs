//! The event loop: sockets, signals and the clock. It reports events to the router's state machine and executes the
//! effects that the state machine requests. It contains no policy and does not interpret the bytes of a connection.

mod clock;
mod effects;
mod error;
mod input;
mod input_age;
mod iteration;
mod listener;
mod monitor;
mod pending_event;
mod ready_queue;
mod reload;
mod retries;
mod server;
mod signals;
mod socket;
mod system_error;

#[cfg(test)]
mod tests;

pub use error::ServeError;
pub use signals::{SignalSource, block_signals};
pub use system_error::retry_at_start;

use crate::config::{Config, ConfigFileError};
use crate::log_output;
use crate::protocol::http::MAX_BODY_BYTES;
use crate::router::Router;
use calloop::EventLoop;
use clock::Clock;
use iteration::GROUP_TIME_LIMIT;
use listener::ClientListener;
use monitor::IterationMonitor;
use ready_queue::ReadyQueue;
use retries::Retries;
use rustix::process::{Resource, getrlimit};
use server::{ExitState, Server};
use std::collections::VecDeque;

/// Reads the configuration at the start of the process. Retries like [`retry_at_start`] if a transient error, such as a
/// shortage of file descriptors, prevents reading the file.
///
/// # Errors
///
/// Returns a [`ConfigFileError`] as [`Config::read`] does.
pub fn read_config(path: &str) -> Result<Config, ConfigFileError> {
    retry_at_start(|| Config::read(path), ConfigFileError::io_error)
}

/// Serves queries until SIGTERM or SIGINT, then shuts down gracefully and prints the counters to standard error. SIGHUP
/// reloads the configuration from `config_path`.
///
/// # Errors
///
/// Returns a [`ServeError`] if the router cannot start, or if waiting for events fails repeatedly.
pub fn serve(signals: SignalSource, mut config: Config, config_path: String) -> Result<(), ServeError> {
    config.system_descriptor_limit = descriptor_limit();
    let (mut event_loop, mut server) = start(signals, config, config_path)?;
    while server.exit != ExitState::Done {
        let timeout = server.poll_timeout();
        match event_loop.dispatch(timeout, &mut server) {
            Ok(()) => server.wait_failures = 0,
            Err(error) => server.recover_from_failed_wait(error)?,
        }
        server.run_iteration();
    }
    log_output::write_last(&server.router.counters().lines());
    Ok(())
}

/// Returns the limit of the system on the file descriptors of this process; [`usize::MAX`] if there is none.
pub fn descriptor_limit() -> usize {
    getrlimit(Resource::Nofile).current.map_or(usize::MAX, |limit| limit as usize)
}

/// Binds the listener and registers the event sources with a new event loop.
fn start(
    signals: SignalSource, config: Config, config_path: String,
) -> Result<(EventLoop<'static, Server>, Server), ServeError> {
    let event_loop =
        retry_at_start(|| EventLoop::try_new().map_err(ServeError::EventLoop), ServeError::io_error)?;
    let handle = event_loop.handle();
    let bind =
        || ClientListener::bind(config.listen, &handle, |server: &mut Server| server.accept_pending = true);
    let listener = retry_at_start(bind, ServeError::io_error)?;
    let mut signals = Some(signals);
    let register = || {
        SignalSource::register(&mut signals, &handle, |request, server: &mut Server| {
            server.pending_signals.push(request);
        })
    };
    retry_at_start(register, ServeError::io_error)?;
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
        ready: ReadyQueue::default(),
        iteration: 0,
        group_time_limit: GROUP_TIME_LIMIT,
        turns_end_at: 0,
        retries: Retries::default(),
        pending_reload: None,
        wait_failures: 0,
        pending_events: VecDeque::new(),
        pending_signals: Vec::new(),
        wake_at: None,
        read_buffer: vec![0; MAX_BODY_BYTES],
        monitor: IterationMonitor::default(),
        exit: ExitState::Running,
    };
    server.decide();
    Ok((event_loop, server))
}
