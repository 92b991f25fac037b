//! Calls that failed due to a local shortage and are repeated after [`RETRY_PAUSE`].

use super::socket::ConnectState;
use super::system_error::RETRY_PAUSE;
use crate::io::ConnectionId;
use balancer::Micros;
use std::net::{SocketAddr, TcpStream};

/// A call to repeat.
#[derive(Debug)]
pub(super) enum Retry {
    /// Start connecting to an address.
    Connect(SocketAddr),
    /// Register a stream with the event loop.
    Register(TcpStream, ConnectState),
    /// Read and write; before that, check whether the connection is established if that is not known yet.
    ReadAndWrite,
    /// Close the connection if it has no unread input.
    CloseIfIdle,
}

impl Retry {
    /// Returns whether the connection is not registered with the event loop yet.
    fn is_unopened(&self) -> bool {
        matches!(self, Retry::Connect(_) | Retry::Register(..))
    }
}

#[derive(Debug)]
struct ScheduledRetry {
    due_at: Micros,
    connection: ConnectionId,
    retry: Retry,
}

/// The calls to repeat, in order of their due times.
#[derive(Debug, Default)]
pub(super) struct Retries {
    scheduled: Vec<ScheduledRetry>,
}

impl Retries {
    /// Schedules a call to be repeated after [`RETRY_PAUSE`].
    pub(super) fn add(&mut self, now: Micros, connection: ConnectionId, retry: Retry) {
        self.scheduled.push(ScheduledRetry { due_at: now + RETRY_PAUSE, connection, retry });
    }

    /// Returns the time at which the next call is due; `None` if none is scheduled.
    pub(super) fn next_due_at(&self) -> Option<Micros> {
        self.scheduled.first().map(|entry| entry.due_at)
    }

    /// Removes and returns the calls that are due.
    pub(super) fn take_due(&mut self, now: Micros) -> Vec<(ConnectionId, Retry)> {
        let due = self.scheduled.iter().take_while(|entry| entry.due_at <= now).count();
        self.scheduled.drain(..due).map(|entry| (entry.connection, entry.retry)).collect()
    }

    /// Drops the scheduled calls of a closed connection. Returns whether it was not registered with the event loop yet.
    pub(super) fn remove(&mut self, connection: ConnectionId) -> bool {
        let is_unopened =
            |entry: &ScheduledRetry| entry.connection == connection && entry.retry.is_unopened();
        let was_unopened = self.scheduled.iter().any(is_unopened);
        self.scheduled.retain(|entry| entry.connection != connection);
        was_unopened
    }
}
