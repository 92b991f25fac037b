//! The state of the event loop.

use super::clock::Clock;
use super::listener::ClientListener;
use super::pending_event::PendingEvent;
use super::signals::SignalRequest;
use super::socket::Socket;
use crate::config::Config;
use crate::io::ConnectionId;
use crate::router::Router;
use balancer::Micros;
use calloop::{LoopHandle, Readiness};
use std::collections::VecDeque;
use std::io::Write;

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
