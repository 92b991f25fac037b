//! The event loop: sockets, signals and the clock. It reports events to the router and carries out the effects that the
//! router asks for; it decides nothing and does not interpret the bytes of a connection.

mod clock;
mod effects;
mod error;
mod listener;
mod signals;
mod socket;

#[cfg(test)]
mod tests;

pub use error::ServeError;
pub use signals::{SignalSource, install_signal_handlers};

use crate::config::Config;
use crate::io::{ConnectionId, Event};
use crate::protocol::http::MAX_BODY_BYTES;
use crate::router::Router;
use balancer::Micros;
use calloop::{EventLoop, LoopHandle, Readiness};
use clock::Clock;
use effects::PendingEvent;
use listener::{AcceptOutcome, ClientListener};
use signals::SignalRequest;
use socket::{ConnectProgress, ReadOutcome, Socket};
use std::collections::VecDeque;
use std::io::Write;
use std::time::Duration;

/// How often one connection is read in an iteration of the event loop.
const MAX_READS_PER_ITERATION: usize = 4;

/// Whether the process is about to exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExitState {
    /// The router serves, or still has answers to give.
    Running,
    /// The router has asked to exit.
    Requested,
    /// No client was connected when the router asked: the loop ends.
    Done,
}

/// The router with its sockets, signals and clock.
struct Server {
    handle: LoopHandle<'static, Server>,
    /// The configuration at the start.
    config: Config,
    config_path: String,
    clock: Clock,
    router: Router,
    listener: ClientListener,
    /// Whether the system reported that a client is waiting.
    accept_pending: bool,
    /// The connections by id.
    sockets: Vec<Option<Socket>>,
    /// The connections that became readable or writable since the last iteration.
    ready: Vec<(ConnectionId, Readiness)>,
    pending_events: VecDeque<PendingEvent>,
    pending_signals: Vec<SignalRequest>,
    /// When to report [`Event::TimerExpired`].
    wake_at: Option<Micros>,
    read_buffer: Vec<u8>,
    exit: ExitState,
}

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

/// Prints to standard error. A failure is ignored: the reader may be gone.
fn print_to_stderr(lines: &str) {
    let _ = std::io::stderr().write_all(lines.as_bytes());
}

impl Server {
    /// The longest time to wait for events; `None` if no timer is set.
    fn poll_timeout(&self) -> Option<Duration> {
        let now = self.clock.now();
        if !self.ready.is_empty() {
            return Some(Duration::ZERO);
        }
        let next = self.wake_at.into_iter().chain(self.listener.resume_at()).min();
        next.map(|at| Duration::from_micros((at - now).max(0) as u64))
    }

    /// Reports all events to the router, then has it decide once.
    fn run_iteration(&mut self) {
        self.handle_ready_connections();
        if std::mem::take(&mut self.accept_pending) {
            self.accept_clients();
        }
        self.handle_signals();
        if self.wake_at.is_some_and(|at| at <= self.clock.now()) {
            self.report_event(Event::TimerExpired);
        }
        self.decide();
        self.exit_if_requested();
        if self.listener.resume_at().is_some_and(|at| self.clock.now() >= at) {
            self.listener.resume(&self.handle);
        }
    }

    /// Handles established connections before those that are being established. Guards against a request that
    /// goes out on a connection established in this iteration, although its client left or its node began to
    /// drain in the same iteration.
    fn handle_ready_connections(&mut self) {
        let ready = std::mem::take(&mut self.ready);
        let (connected, connecting): (Vec<_>, Vec<_>) = ready
            .into_iter()
            .partition(|&(connection, _)| self.socket(connection).is_some_and(Socket::is_connected));
        for (connection, readiness) in connected.into_iter().chain(connecting) {
            self.handle_readiness(connection, readiness);
        }
    }

    fn handle_readiness(&mut self, connection: ConnectionId, readiness: Readiness) {
        let Some(socket) = self.socket_mut(connection) else { return };
        if !socket.is_connected() {
            match socket.finish_connecting() {
                ConnectProgress::Pending => return,
                ConnectProgress::Failed => {
                    self.close_and_report(connection);
                    return self.carry_out_effects();
                }
                ConnectProgress::Connected => self.report_event(Event::Established(connection)),
            }
        }
        if readiness.writable {
            self.write_queued(connection);
            self.carry_out_effects();
        }
        if readiness.readable {
            self.read(connection);
        }
    }

    /// Reads until nothing is left or the input buffer is full, and reports what was received.
    fn read(&mut self, connection: ConnectionId) {
        for _ in 0..MAX_READS_PER_ITERATION {
            let Some(Some(socket)) = self.sockets.get_mut(connection.0) else { return };
            match socket.read(&mut self.read_buffer) {
                ReadOutcome::Received => {
                    self.router.step(self.clock.now(), Event::Received { connection, bytes: socket.input() });
                    self.carry_out_effects();
                }
                ReadOutcome::Interrupted => {}
                ReadOutcome::WouldBlock | ReadOutcome::BufferFull => return,
                ReadOutcome::EndOfStream => {
                    self.router.step(self.clock.now(), Event::PeerClosed(connection));
                    return self.close_after_reading(connection);
                }
                ReadOutcome::Failed => return self.close_after_reading(connection),
            }
        }
        // Guards against a peer that sends at full speed keeping all others waiting.
        self.read_in_next_iteration(connection);
    }

    /// Closes a connection whose end was read.
    fn close_after_reading(&mut self, connection: ConnectionId) {
        self.close_and_report(connection);
        self.carry_out_effects();
    }

    /// Accepts clients while the router takes them, then pauses the listener.
    fn accept_clients(&mut self) {
        while !self.listener.has_accepted() {
            match self.listener.accept_next(&self.clock) {
                AcceptOutcome::Accepted => self.report_event(Event::ClientConnected),
                AcceptOutcome::NoneWaiting => return,
                AcceptOutcome::Failed => break,
            }
        }
        self.listener.pause(&self.handle);
    }

    fn handle_signals(&mut self) {
        for request in std::mem::take(&mut self.pending_signals) {
            match request {
                SignalRequest::ReportCounters => self.report_event(Event::ReportCounters),
                SignalRequest::ReloadConfig => self.reload_config(),
                SignalRequest::Terminate => self.report_event(Event::Terminate),
            }
        }
    }

    /// Reads the configuration again. An invalid one changes nothing.
    fn reload_config(&mut self) {
        match Config::read(&self.config_path) {
            Ok(newer) => {
                let fields = self.config.fields_needing_restart(&newer);
                if !fields.is_empty() {
                    tracing::warn!(
                        fields = fields.join(", "),
                        "changed fields take effect at the next start"
                    );
                }
                self.report_event(Event::DiscoveryMoved(newer.discovery));
            }
            Err(error) => tracing::warn!(%error, "configuration not reloaded"),
        }
    }

    /// Has the router decide, and carries out the effects that it asks for.
    fn decide(&mut self) {
        self.router.decide(self.clock.now());
        self.carry_out_effects();
    }

    /// Ends the loop if the router asked for it and still may. Guards against resetting a client that
    /// connected since the listener was last looked at.
    fn exit_if_requested(&mut self) {
        if self.exit == ExitState::Requested {
            self.accept_clients();
            self.exit = if self.router.may_exit() { ExitState::Done } else { ExitState::Running };
        }
    }

    fn socket(&self, connection: ConnectionId) -> Option<&Socket> {
        self.sockets.get(connection.0)?.as_ref()
    }

    fn socket_mut(&mut self, connection: ConnectionId) -> Option<&mut Socket> {
        self.sockets.get_mut(connection.0)?.as_mut()
    }
}
