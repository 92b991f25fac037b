//! The connections that are to be handled, each at most once. Those that had their share of an iteration wait behind
//! all others, so that a client that sends requests at full speed delays its own requests only.

use crate::io::ConnectionId;
use calloop::Readiness;
use std::collections::{HashMap, VecDeque};

/// The place of a connection in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// The connection is handled in the next iteration.
    Next,
    /// The connection is handled after those in [`Place::Next`], as time allows.
    Backlog,
}

/// What is to be done on a connection.
#[derive(Clone, Copy, Debug)]
struct Pending {
    place: Place,
    is_readable: bool,
    is_writable: bool,
    /// Whether more was reported about the connection since it is in the backlog.
    is_signalled: bool,
}

impl Pending {
    fn new(place: Place) -> Pending {
        Pending { place, is_readable: false, is_writable: false, is_signalled: false }
    }
}

/// The connections that are to be handled.
#[derive(Debug, Default)]
pub(super) struct ReadyQueue {
    next: Vec<ConnectionId>,
    backlog: VecDeque<ConnectionId>,
    /// Connections in the backlog about which more was reported.
    signalled: Vec<ConnectionId>,
    pending: HashMap<ConnectionId, Pending>,
}

impl ReadyQueue {
    /// Returns whether no connection is to be handled.
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Adds a connection that can be read or written. One in the backlog stays there.
    pub(super) fn add(&mut self, connection: ConnectionId, readiness: Readiness) {
        let next = &mut self.next;
        let pending = self.pending.entry(connection).or_insert_with(|| {
            next.push(connection);
            Pending::new(Place::Next)
        });
        if pending.place == Place::Backlog && !pending.is_signalled {
            pending.is_signalled = true;
            self.signalled.push(connection);
        }
        pending.is_readable |= readiness.readable;
        pending.is_writable |= readiness.writable;
    }

    /// Adds a connection that had its share of the current iteration, or moves it behind all others.
    pub(super) fn add_to_backlog(&mut self, connection: ConnectionId) {
        let pending = self.pending.entry(connection).or_insert(Pending::new(Place::Next));
        if pending.place == Place::Next {
            pending.place = Place::Backlog;
            self.next.retain(|&other| other != connection);
            self.backlog.push_back(connection);
        }
    }

    /// Removes and returns the connections of the next iteration.
    pub(super) fn take_next(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.next)
    }

    /// Puts connections back that were not handled, before those that were added since.
    pub(super) fn put_back(&mut self, mut unhandled: Vec<ConnectionId>) {
        unhandled.append(&mut self.next);
        self.next = unhandled;
    }

    /// Returns whether a connection is in the backlog.
    #[cfg(test)]
    pub(super) fn is_in_backlog(&self, connection: ConnectionId) -> bool {
        self.backlog.contains(&connection)
    }

    /// Returns the number of connections in the backlog.
    pub(super) fn backlog_len(&self) -> usize {
        self.backlog.len()
    }

    /// Removes and returns the connection that has been in the backlog for longest.
    pub(super) fn pop_backlog(&mut self) -> Option<ConnectionId> {
        self.backlog.pop_front()
    }

    /// Removes and returns the connections in the backlog about which more was reported. Their peers may have closed them.
    pub(super) fn take_signalled_backlog(&mut self) -> Vec<ConnectionId> {
        let mut signalled = std::mem::take(&mut self.signalled);
        signalled.retain(|connection| {
            let pending = self.pending.get_mut(connection);
            pending.is_some_and(|pending| std::mem::take(&mut pending.is_signalled))
        });
        signalled
    }

    /// Removes what is to be done on a connection that was taken, and returns it; `None` if the connection was closed.
    pub(super) fn take_readiness(&mut self, connection: ConnectionId) -> Option<Readiness> {
        let pending = self.pending.remove(&connection)?;
        Some(Readiness { readable: pending.is_readable, writable: pending.is_writable, error: false })
    }

    /// Removes a connection that was closed. Its id may be reused.
    pub(super) fn remove(&mut self, connection: ConnectionId) {
        match self.pending.remove(&connection).map(|pending| pending.place) {
            Some(Place::Next) => self.next.retain(|&other| other != connection),
            Some(Place::Backlog) => self.backlog.retain(|&other| other != connection),
            None => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const READABLE: Readiness = Readiness { readable: true, writable: false, error: false };
    const WRITABLE: Readiness = Readiness { readable: false, writable: true, error: false };

    #[test]
    fn a_connection_is_queued_once_and_its_readiness_is_merged() {
        let mut queue = ReadyQueue::default();
        queue.add(ConnectionId(1), READABLE);
        queue.add(ConnectionId(2), READABLE);
        queue.add(ConnectionId(1), WRITABLE);
        assert_eq!(queue.take_next(), [ConnectionId(1), ConnectionId(2)]);
        let readiness = queue.take_readiness(ConnectionId(1)).expect("a queued connection");
        assert!(readiness.readable && readiness.writable);
        assert!(!queue.is_empty());
    }

    #[test]
    fn a_connection_in_the_backlog_stays_there_when_it_becomes_readable() {
        let mut queue = ReadyQueue::default();
        queue.add_to_backlog(ConnectionId(1));
        queue.add(ConnectionId(1), READABLE);
        assert!(queue.take_next().is_empty());
        assert_eq!(queue.pop_backlog(), Some(ConnectionId(1)));
        assert!(queue.take_readiness(ConnectionId(1)).is_some_and(|readiness| readiness.readable));
        assert!(queue.is_empty());
    }

    #[test]
    fn a_connection_that_had_its_share_moves_behind_the_others() {
        let mut queue = ReadyQueue::default();
        queue.add(ConnectionId(1), READABLE);
        queue.add_to_backlog(ConnectionId(1));
        queue.add(ConnectionId(2), READABLE);
        assert_eq!(queue.take_next(), [ConnectionId(2)]);
        assert_eq!((queue.backlog_len(), queue.pop_backlog()), (1, Some(ConnectionId(1))));
    }

    #[test]
    fn unhandled_connections_come_before_later_ones_and_closed_ones_are_removed() {
        let mut queue = ReadyQueue::default();
        for id in [1, 2, 3] {
            queue.add(ConnectionId(id), READABLE);
        }
        let taken = queue.take_next();
        assert!(queue.take_readiness(taken[0]).is_some());
        queue.add(ConnectionId(4), READABLE);
        queue.put_back(taken[1..].to_vec());
        queue.remove(ConnectionId(3));
        assert_eq!(queue.take_next(), [ConnectionId(2), ConnectionId(4)]);
    }
}
