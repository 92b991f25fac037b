//! The listening socket for clients. It is paused while the router is at its connection limit and has not taken the
//! last accepted stream, and for [`RETRY_PAUSE`] after accepting failed.

use super::clock::Clock;
use super::error::ServeError;
use super::system_error::{MAX_IMMEDIATE_CALLS, RETRY_PAUSE};
use balancer::Micros;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use rustix::io::Errno;
use rustix::net::{self, SocketFlags};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Maximum number of successive `accept` calls that fail with an error of a single connection before accepting is
/// paused.
const MAX_ACCEPT_FAILURES: usize = 64;

/// Maximum number of clients that wait in the system's queue to be accepted. Clients beyond it connect after a second or
/// more, since the system repeats the handshake only then.
const ACCEPT_QUEUE_LENGTH: i32 = 1024;

/// The outcome of accepting a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptOutcome {
    /// A stream was accepted and queued.
    Accepted,
    /// The accept queue of the system is empty.
    NoneWaiting,
    /// The system call failed, for example because no file descriptor is left.
    Failed,
}

/// The listener and its accepted streams that the router has not taken yet.
pub(super) struct ClientListener {
    listener: Rc<TcpListener>,
    token: RegistrationToken,
    /// Whether the event loop watches the listener.
    enabled: bool,
    /// Time at which to accept again after a failure; 0 if there was none since the last accepted connection.
    retry_at: Micros,
    /// Accepted streams that the router has not taken yet, in order of arrival.
    accepted: VecDeque<TcpStream>,
}

impl ClientListener {
    /// Listens on `address`. The event loop calls `on_pending` when a client is waiting.
    pub(super) fn bind<D: 'static>(
        address: SocketAddr, handle: &LoopHandle<'static, D>, on_pending: impl Fn(&mut D) + 'static,
    ) -> Result<ClientListener, ServeError> {
        let listener =
            listen_non_blocking(address).map_err(|source| ServeError::Listen { address, source })?;
        let listener = Rc::new(listener);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let token = handle
            .insert_source(source, move |_, _, data| {
                on_pending(data);
                Ok(PostAction::Continue)
            })
            .map_err(|insert| ServeError::RegisterListener(insert.error))?;
        Ok(ClientListener { listener, token, enabled: true, retry_at: 0, accepted: VecDeque::new() })
    }

    /// Returns the address that the listener is bound to; if port 0 is configured, with the port that the system chose.
    pub(super) fn local_address(&self) -> Result<SocketAddr, ServeError> {
        self.listener.local_addr().map_err(ServeError::ListenerAddress)
    }

    /// Returns whether there is an accepted stream that the router has not taken yet.
    pub(super) fn has_accepted(&self) -> bool {
        !self.accepted.is_empty()
    }

    /// Removes and returns the stream that was accepted first.
    pub(super) fn take_accepted(&mut self) -> Option<TcpStream> {
        self.accepted.pop_front()
    }

    /// Accepts the next waiting client and queues its stream.
    pub(super) fn accept_next(&mut self, clock: &Clock) -> AcceptOutcome {
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        for _ in 0..MAX_ACCEPT_FAILURES {
            match net::accept_with(&*self.listener, flags) {
                Ok(stream) => {
                    self.retry_at = 0;
                    let stream = TcpStream::from(stream);
                    disable_nagle_algorithm(&stream);
                    self.accepted.push_back(stream);
                    return AcceptOutcome::Accepted;
                }
                Err(Errno::AGAIN) => return AcceptOutcome::NoneWaiting,
                Err(error) if is_connection_error(error) => {}
                Err(error) => return self.schedule_retry(error, clock),
            }
        }
        self.schedule_retry(Errno::CONNABORTED, clock)
    }

    /// Schedules a retry, and logs the first failure since the last accepted connection.
    fn schedule_retry(&mut self, error: Errno, clock: &Clock) -> AcceptOutcome {
        if self.retry_at == 0 {
            tracing::warn!(%error, "accepting a client connection failed; retrying");
        }
        self.retry_at = clock.now() + RETRY_PAUSE;
        AcceptOutcome::Failed
    }

    /// Returns the time at which to resume the paused listener; `None` if it is not paused or if the router has not
    /// taken all accepted streams.
    pub(super) fn resume_at(&self) -> Option<Micros> {
        (!self.enabled && self.accepted.is_empty()).then_some(self.retry_at)
    }

    /// Stops the event loop from watching the listener.
    pub(super) fn pause<D>(&mut self, handle: &LoopHandle<'static, D>) {
        self.enabled = handle.disable(&self.token).is_err();
    }

    /// Makes the event loop watch the listener again.
    pub(super) fn resume<D>(&mut self, handle: &LoopHandle<'static, D>) {
        self.enabled = handle.enable(&self.token).is_ok();
    }
}

/// Returns whether `accept` may be repeated immediately: it was interrupted, or it returned an error of the connection
/// that it removed from the queue, as Linux does.
fn is_connection_error(error: Errno) -> bool {
    matches!(
        error,
        Errno::INTR
            | Errno::CONNABORTED
            | Errno::NETDOWN
            | Errno::PROTO
            | Errno::NOPROTOOPT
            | Errno::HOSTDOWN
            | Errno::NONET
            | Errno::HOSTUNREACH
            | Errno::OPNOTSUPP
            | Errno::NETUNREACH
    )
}

/// Disables Nagle's algorithm, so that small writes are sent immediately. Closing a connection that has unread input
/// resets it, which would discard output that the system has delayed.
fn disable_nagle_algorithm(stream: &TcpStream) {
    let is_set = (0..MAX_IMMEDIATE_CALLS).any(|_| stream.set_nodelay(true).is_ok());
    if !is_set {
        tracing::warn!("setting TCP_NODELAY on a client connection failed; its small writes may be delayed");
    }
}

fn listen_non_blocking(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    // Changes the length of the queue, which the standard library has set to a smaller one.
    net::listen(&listener, ACCEPT_QUEUE_LENGTH)?;
    Ok(listener)
}
