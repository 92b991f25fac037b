//! The queue of timers, ordered by time; timers of the same time expire in the order of the variants of [`Timer`].

use crate::io::ConnectionId;
use balancer::{AttemptId, Micros};
use std::collections::BTreeSet;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The balancer requested it, with this token.
    Balancer(u64),
    /// An attempt times out.
    AttemptTimeout(AttemptId),
    /// The only timer of a connection. Its meaning depends on the state of the connection.
    Connection(ConnectionId),
    /// A health check on this connection was not answered in time.
    HealthCheckTimeout(ConnectionId),
    /// A watch on the endpoint list is started again after a failure.
    StartWatch,
    /// Graceful shutdown: clients without a request are closed from now on.
    CloseIdleClients,
    /// Graceful shutdown: what is not answered yet is answered now.
    AnswerDeadline,
}

/// All timers that are set.
#[derive(Debug, Default)]
pub struct Timers {
    queue: BTreeSet<(Micros, Timer)>,
}

impl Timers {
    /// Sets a timer.
    pub fn insert(&mut self, at: Micros, timer: Timer) {
        self.queue.insert((at, timer));
    }

    /// Removes a timer that was set for this time, if it has not expired.
    pub fn remove(&mut self, at: Micros, timer: Timer) {
        self.queue.remove(&(at, timer));
    }

    /// Removes and returns the first timer that has expired.
    pub fn pop_expired(&mut self, now: Micros) -> Option<Timer> {
        if self.next_at()? > now {
            return None;
        }
        self.queue.pop_first().map(|(_, timer)| timer)
    }

    /// When the first timer expires.
    pub fn next_at(&self) -> Option<Micros> {
        self.queue.first().map(|(at, _)| *at)
    }
}
