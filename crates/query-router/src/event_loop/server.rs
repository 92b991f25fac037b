//! The state of the event loop.

use super::clock::Clock;
use super::error::ServeError;
use super::listener::ClientListener;
use super::pending_event::PendingEvent;
use super::reload::PendingReload;
use super::retries::Retries;
use super::signals::SignalRequest;
use super::socket::Socket;
use crate::config::Config;
use crate::io::ConnectionId;
use crate::router::Router;
use balancer::Micros;
use calloop::{LoopHandle, Readiness};
use std::collections::VecDeque;
use std::io::Write;
use std::time::Duration;

/// How often in succession waiting for events may fail.
const MAX_WAIT_FAILURES: usize = 1000;
/// The pause after waiting for events failed.
const WAIT_FAILURE_PAUSE: Duration = Duration::from_millis(5);

/// Whether the process is about to exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExitState {
    /// The router serves, or still has answers to give.
    Running,
    /// The router has asked to exit.
    Requested,
    /// No client was connected when the router asked: the loop ends.
    Done,
}

/// The router with its sockets, signals and clock.
pub(super) struct Server {
    /// The handle of the event loop, to register sources with.
    pub(super) handle: LoopHandle<'static, Server>,
    /// The configuration at the start.
    pub(super) config: Config,
    /// The file from which the configuration is read again.
    pub(super) config_path: String,
    /// The time of events.
    pub(super) clock: Clock,
    /// The state machine.
    pub(super) router: Router,
    /// The listening socket.
    pub(super) listener: ClientListener,
    /// Whether the system reported that a client is waiting.
    pub(super) accept_pending: bool,
    /// The connections by id.
    pub(super) sockets: Vec<Option<Socket>>,
    /// The connections that became readable or writable since the last iteration.
    pub(super) ready: Vec<(ConnectionId, Readiness)>,
    /// Calls that are repeated a little later.
    pub(super) retries: Retries,
    /// A configuration that could not be read and is read again.
    pub(super) pending_reload: Option<PendingReload>,
    /// How often in succession waiting for events failed.
    pub(super) wait_failures: usize,
    /// Events that follow from effects, in order.
    pub(super) pending_events: VecDeque<PendingEvent>,
    /// Signals that were received since the last iteration.
    pub(super) pending_signals: Vec<SignalRequest>,
    /// When to report [`TimerExpired`](crate::io::Event::TimerExpired).
    pub(super) wake_at: Option<Micros>,
    /// The buffer for one read of any connection.
    pub(super) read_buffer: Vec<u8>,
    /// Whether the loop is to end.
    pub(super) exit: ExitState,
}

impl Server {
    /// Goes on after waiting for events failed. What the system had reported may be lost with it, so every connection and
    /// the listener are looked at.
    ///
    /// # Errors
    ///
    /// [`ServeError::EventLoop`] if it fails again and again.
    pub(super) fn recover_from_failed_wait(&mut self, error: calloop::Error) -> Result<(), ServeError> {
        self.wait_failures += 1;
        if self.wait_failures > MAX_WAIT_FAILURES {
            return Err(ServeError::EventLoop(error));
        }
        if self.wait_failures == 1 {
            tracing::warn!(%error, "waiting for events failed; every connection is looked at");
        }
        std::thread::sleep(WAIT_FAILURE_PAUSE);
        let readiness = Readiness { readable: true, writable: true, error: false };
        let open = self.sockets.iter().enumerate().filter(|(_, socket)| socket.is_some());
        self.ready.extend(open.map(|(index, _)| (ConnectionId(index), readiness)));
        self.accept_pending = true;
        Ok(())
    }

    /// The connection with this id, if it is open.
    pub(super) fn socket(&self, connection: ConnectionId) -> Option<&Socket> {
        self.sockets.get(connection.0)?.as_ref()
    }

    /// The connection with this id, if it is open.
    pub(super) fn socket_mut(&mut self, connection: ConnectionId) -> Option<&mut Socket> {
        self.sockets.get_mut(connection.0)?.as_mut()
    }
}

/// Prints to standard error. A failure is ignored: the reader may be gone.
pub(super) fn print_to_stderr(lines: &str) {
    let _ = std::io::stderr().write_all(lines.as_bytes());
}
