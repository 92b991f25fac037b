//! The state of the event loop.

use super::clock::Clock;
use super::error::ServeError;
use super::listener::ClientListener;
use super::monitor::IterationMonitor;
use super::pending_event::PendingEvent;
use super::ready_queue::ReadyQueue;
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
use std::time::Duration;

/// Maximum number of successive failures to wait for events; one more ends the process.
const MAX_WAIT_FAILURES: usize = 1000;
/// Pause after a failure to wait for events.
const WAIT_FAILURE_PAUSE: Duration = Duration::from_millis(5);

/// The progress towards the exit of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExitState {
    /// The router serves, or still has requests to answer.
    Running,
    /// The router has requested the exit with [`Effect::Exit`](crate::io::Effect::Exit).
    Requested,
    /// The exit was requested and no client is connected: the loop ends.
    Done,
}

/// The router with its sockets, signals and clock.
pub(super) struct Server {
    /// The handle of the event loop, with which event sources are registered.
    pub(super) handle: LoopHandle<'static, Server>,
    /// The configuration with which the process started; a reload does not replace it.
    pub(super) config: Config,
    /// The path of the file from which the configuration is reloaded.
    pub(super) config_path: String,
    /// The source of the time stamps that are passed to the router.
    pub(super) clock: Clock,
    /// The state machine of the router.
    pub(super) router: Router,
    /// The listening socket for clients.
    pub(super) listener: ClientListener,
    /// Whether the system has reported that a client is waiting to be accepted.
    pub(super) accept_pending: bool,
    /// Connections, indexed by id; `None` where no connection with the id is open.
    pub(super) sockets: Vec<Option<Socket>>,
    /// Connections to handle in the next iterations.
    pub(super) ready: ReadyQueue,
    /// The number of the current iteration.
    pub(super) iteration: u64,
    /// Time that an iteration has for connections.
    pub(super) group_time_limit: Micros,
    /// Time from which the current iteration handles no further connections.
    pub(super) turns_end_at: Micros,
    /// Calls to repeat after a local shortage.
    pub(super) retries: Retries,
    /// The scheduled retry of a failed reload of the configuration; `None` if there is none.
    pub(super) pending_reload: Option<PendingReload>,
    /// Number of successive failures to wait for events.
    pub(super) wait_failures: usize,
    /// Events that follow from executed effects and are not reported yet, in order.
    pub(super) pending_events: VecDeque<PendingEvent>,
    /// Signals received since the last iteration.
    pub(super) pending_signals: Vec<SignalRequest>,
    /// Time at which to report [`TimerExpired`](crate::io::Event::TimerExpired); `None` if no timer is set.
    pub(super) wake_at: Option<Micros>,
    /// Scratch buffer for reads from any connection.
    pub(super) read_buffer: Vec<u8>,
    /// Measures the iterations.
    pub(super) monitor: IterationMonitor,
    /// Whether the exit is requested, and whether the loop is to end.
    pub(super) exit: ExitState,
}

impl Server {
    /// Recovers from a failure to wait for events. Readiness that was already taken from the system may be lost, so
    /// every connection and the listener are treated as ready.
    ///
    /// # Errors
    ///
    /// Returns [`ServeError::EventLoop`] after more than [`MAX_WAIT_FAILURES`] successive failures.
    pub(super) fn recover_from_failed_wait(&mut self, error: calloop::Error) -> Result<(), ServeError> {
        self.wait_failures += 1;
        if self.wait_failures > MAX_WAIT_FAILURES {
            return Err(ServeError::EventLoop(error));
        }
        if self.wait_failures == 1 {
            tracing::warn!(%error, "waiting for events failed; reading and writing all connections");
        }
        std::thread::sleep(WAIT_FAILURE_PAUSE);
        let readiness = Readiness { readable: true, writable: true, error: false };
        for (index, socket) in self.sockets.iter().enumerate() {
            if socket.is_some() {
                self.ready.add(ConnectionId(index), readiness);
            }
        }
        self.accept_pending = true;
        Ok(())
    }

    /// Returns the connection with this id; `None` if it is not open.
    pub(super) fn socket(&self, connection: ConnectionId) -> Option<&Socket> {
        self.sockets.get(connection.0)?.as_ref()
    }

    /// Returns the connection with this id for modification; `None` if it is not open.
    pub(super) fn socket_mut(&mut self, connection: ConnectionId) -> Option<&mut Socket> {
        self.sockets.get_mut(connection.0)?.as_mut()
    }
}
