//! Calls that are repeated a little later, since this machine lacked something when they were made.

use super::socket::ConnectState;
use super::system_error::RETRY_PAUSE;
use crate::io::ConnectionId;
use balancer::Micros;
use std::net::{SocketAddr, TcpStream};

/// What is to be done again.
#[derive(Debug)]
pub(super) enum Retry {
    /// Open a connection.
    Connect(SocketAddr),
    /// Have the event loop watch a stream.
    Register(TcpStream, ConnectState),
    /// Read, write, or look whether the connection is established.
    Transfer,
    /// Close the connection if nothing has come in.
    CloseIfIdle,
}

impl Retry {
    /// Whether the connection has no socket in the event loop yet.
    fn is_unopened(&self) -> bool {
        matches!(self, Retry::Connect(_) | Retry::Register(..))
    }
}

#[derive(Debug)]
struct Pending {
    at: Micros,
    connection: ConnectionId,
    retry: Retry,
}

/// The calls that are to be repeated, in the order of their times.
#[derive(Debug, Default)]
pub(super) struct Retries {
    pending: Vec<Pending>,
}

impl Retries {
    /// Has a call repeated after [`RETRY_PAUSE`].
    pub(super) fn add(&mut self, now: Micros, connection: ConnectionId, retry: Retry) {
        self.pending.push(Pending { at: now + RETRY_PAUSE, connection, retry });
    }

    /// When the next call is due.
    pub(super) fn next_at(&self) -> Option<Micros> {
        self.pending.first().map(|pending| pending.at)
    }

    /// Takes the calls that are due.
    pub(super) fn take_due(&mut self, now: Micros) -> Vec<(ConnectionId, Retry)> {
        let due = self.pending.iter().take_while(|pending| pending.at <= now).count();
        self.pending.drain(..due).map(|pending| (pending.connection, pending.retry)).collect()
    }

    /// Drops the calls for a connection, which is closed. Returns whether it had no socket yet.
    pub(super) fn remove(&mut self, connection: ConnectionId) -> bool {
        let is_unopened = |pending: &Pending| pending.connection == connection && pending.retry.is_unopened();
        let was_unopened = self.pending.iter().any(is_unopened);
        self.pending.retain(|pending| pending.connection != connection);
        was_unopened
    }
}
