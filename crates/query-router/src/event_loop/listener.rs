//! The listening socket for clients. It is paused while an accepted stream waits for a free place, and for a
//! short time after accepting failed.

use super::clock::Clock;
use super::error::ServeError;
use super::system_error::{MAX_IMMEDIATE_RETRIES, RETRY_PAUSE};
use balancer::Micros;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use rustix::io::Errno;
use rustix::net::{self, SocketFlags};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// How often accepting is repeated at once after errors of single connections.
const MAX_ACCEPT_FAILURES: usize = 64;

/// The outcome of an attempt to accept a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptOutcome {
    /// A stream was accepted and queued.
    Accepted,
    /// No client is waiting.
    NoneWaiting,
    /// The system call failed, for example because no file descriptor is left.
    Failed,
}

/// The listener and the streams accepted from it that the router has not taken yet.
pub(super) struct ClientListener {
    listener: Rc<TcpListener>,
    token: RegistrationToken,
    /// Whether the event loop watches the listener.
    enabled: bool,
    /// When to accept again after a failure; 0 if accepting did not fail last time.
    retry_at: Micros,
    /// Streams that the router has not taken yet.
    accepted: VecDeque<TcpStream>,
}

impl ClientListener {
    /// Listens on `address` and has the event loop call `on_pending` when a client is waiting.
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

    /// The address that the listener is bound to, with the port that the system chose if none was configured.
    pub(super) fn local_address(&self) -> Result<SocketAddr, ServeError> {
        self.listener.local_addr().map_err(ServeError::ListenerAddress)
    }

    /// Whether an accepted stream waits for the router to take it.
    pub(super) fn has_accepted(&self) -> bool {
        !self.accepted.is_empty()
    }

    /// The stream that was accepted first.
    pub(super) fn take_accepted(&mut self) -> Option<TcpStream> {
        self.accepted.pop_front()
    }

    /// Accepts the next client that is waiting and queues its stream.
    pub(super) fn accept_next(&mut self, clock: &Clock) -> AcceptOutcome {
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        for _ in 0..MAX_ACCEPT_FAILURES {
            match net::accept_with(&*self.listener, flags) {
                Ok(stream) => {
                    self.retry_at = 0;
                    let stream = TcpStream::from(stream);
                    disable_send_delay(&stream);
                    self.accepted.push_back(stream);
                    return AcceptOutcome::Accepted;
                }
                Err(Errno::AGAIN) => return AcceptOutcome::NoneWaiting,
                Err(error) if is_error_of_one_connection(error) => {}
                Err(error) => return self.pause_after(error, clock),
            }
        }
        self.pause_after(Errno::CONNABORTED, clock)
    }

    fn pause_after(&mut self, error: Errno, clock: &Clock) -> AcceptOutcome {
        if self.retry_at == 0 {
            tracing::warn!(%error, "accepting clients failed; retrying");
        }
        self.retry_at = clock.now() + RETRY_PAUSE;
        AcceptOutcome::Failed
    }

    /// When the paused listener is to be resumed; `None` if it is not paused, or until the accepted stream is
    /// taken.
    pub(super) fn resume_at(&self) -> Option<Micros> {
        (!self.enabled && self.accepted.is_empty()).then_some(self.retry_at)
    }

    /// Stops the event loop from watching the listener.
    pub(super) fn pause<D>(&mut self, handle: &LoopHandle<'static, D>) {
        self.enabled = handle.disable(&self.token).is_err();
    }

    /// Has the event loop watch the listener again.
    pub(super) fn resume<D>(&mut self, handle: &LoopHandle<'static, D>) {
        self.enabled = handle.enable(&self.token).is_ok();
    }
}

/// Whether accepting may be repeated at once: it was interrupted, or the connection that it was for has failed, whose
/// error the system reports in this way.
fn is_error_of_one_connection(error: Errno) -> bool {
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

/// Has the system send small writes at once. Guards against a close over unread bytes, which discards what the system
/// still holds back.
fn disable_send_delay(stream: &TcpStream) {
    let is_set = (0..MAX_IMMEDIATE_RETRIES).any(|_| stream.set_nodelay(true).is_ok());
    if !is_set {
        tracing::warn!("small writes to a client may be held back: TCP_NODELAY was refused");
    }
}

fn listen_non_blocking(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
