//! The queue of timers, ordered by time; timers of the same time expire in the order of the variants of [`Timer`].

use crate::io::ConnectionId;
use balancer::{AttemptId, Micros};
use std::collections::BTreeSet;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A timer that the balancer requested with this token.
    Balancer(u64),
    /// The deadline of an attempt.
    AttemptTimeout(AttemptId),
    /// The single timer of a connection. Its meaning depends on the state of the connection.
    Connection(ConnectionId),
    /// The deadline of a health check on this connection.
    HealthCheckTimeout(ConnectionId),
    /// The time of the next watch on the endpoint list after one that failed.
    StartWatch,
    /// The time at which the open watches on the endpoint list are overdue.
    AdditionalWatch,
    /// The time from which endpoint lists with an older revision are accepted.
    AcceptOlderRevision,
    /// The time at which to try again to accept a client that waits for a file descriptor.
    AcceptClients,
    /// Graceful shutdown: the start of the phase in which connections without a request are closed.
    CloseIdleClients,
    /// Graceful shutdown: the time at which incomplete requests are rejected.
    ResponseDeadline,
}

/// The timers that have not expired.
#[derive(Debug, Default)]
pub struct Timers {
    queue: BTreeSet<(Micros, Timer)>,
}

impl Timers {
    /// Adds a timer that expires at `at`. Adding the same one twice has no further effect.
    pub fn insert(&mut self, at: Micros, timer: Timer) {
        self.queue.insert((at, timer));
    }

    /// Removes the timer that was added for this time, if it has not expired.
    pub fn remove(&mut self, at: Micros, timer: Timer) {
        self.queue.remove(&(at, timer));
    }

    /// Removes and returns the earliest timer whose time has come; `None` if there is none.
    pub fn pop_expired(&mut self, now: Micros) -> Option<Timer> {
        if self.next_at()? > now {
            return None;
        }
        self.queue.pop_first().map(|(_, timer)| timer)
    }

    /// Returns the time of the earliest timer.
    pub fn next_at(&self) -> Option<Micros> {
        self.queue.first().map(|(at, _)| *at)
    }
}
