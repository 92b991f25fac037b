//! The open watches on the endpoint list. Usually there is one. While it is overdue, further ones are opened beside it,
//! so that neither a request that hangs nor a response that arrives slowly keeps the router from a newer list, and a
//! slow response is not begun anew. The first watch with a complete message replaces all others.

use crate::io::ConnectionId;
use crate::router::connection::discovery::{DiscoveryRequest, HEARTBEAT_INTERVAL};
use crate::router::connection_kind::max_watches;
use crate::router::context::Context;
use crate::router::timers::Timer;
use balancer::Micros;

/// The time without a complete message after the start of a watch or of an update after which another watch is started.
const RESPONSE_OVERDUE_AFTER: Micros = 1_800_000;
/// The time without a message after which another watch is started. A single heartbeat may be late by more than a second.
const HEARTBEAT_OVERDUE_AFTER: Micros = HEARTBEAT_INTERVAL + 1_250_000;
/// The interval at which the youngest of the most watches is replaced while none has a complete message.
const REPLACEMENT_INTERVAL: Micros = 8_000_000;

/// The open watches.
#[derive(Debug)]
pub struct Watches {
    max_watches: usize,
    /// The watch that had the last complete message; `None` if no open watch had one.
    current: Option<ConnectionId>,
    /// The other watches, oldest first.
    pending: Vec<ConnectionId>,
    last_started_at: Micros,
    /// The time of the timer for another watch, if it is set.
    additional_at: Option<Micros>,
}

impl Watches {
    /// Creates the state without a watch, for a router that may have this many connections.
    pub fn new(max_connections: usize) -> Watches {
        Watches {
            max_watches: max_watches(max_connections),
            current: None,
            pending: Vec::new(),
            last_started_at: 0,
            additional_at: None,
        }
    }

    /// Returns whether no watch is open.
    pub fn is_empty(&self) -> bool {
        self.current.is_none() && self.pending.is_empty()
    }

    /// Returns whether this is the watch that had the last complete message.
    pub fn is_current(&self, id: ConnectionId) -> bool {
        self.current == Some(id)
    }

    /// Returns whether this watch is open.
    pub fn contains(&self, id: ConnectionId) -> bool {
        self.ids().any(|open| open == id)
    }

    /// Returns all open watches.
    pub fn ids(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        self.current.iter().chain(&self.pending).copied()
    }

    fn len(&self) -> usize {
        self.pending.len() + usize::from(self.current.is_some())
    }

    /// Makes room for another watch: closes the youngest one without a message at the limit.
    pub fn make_room(&mut self, context: &mut Context) {
        if self.len() >= self.max_watches
            && let Some(youngest) = self.pending.pop()
        {
            tracing::info!(connection = youngest.0, "endpoint watch closed: another one replaces it");
            context.close(youngest);
        }
    }

    /// Records that a watch was requested, on this connection if one could be opened.
    pub fn started(&mut self, context: &Context, id: Option<ConnectionId>) {
        self.last_started_at = context.now;
        self.pending.extend(id);
    }

    /// Records a complete message of a watch, and closes all others.
    pub fn message_received(&mut self, context: &mut Context, id: ConnectionId) {
        let others = self.current.replace(id).into_iter().chain(self.pending.drain(..));
        for other in others.filter(|&other| other != id) {
            tracing::info!(
                connection = other.0,
                answered = id.0,
                "endpoint watch closed: another one answered"
            );
            context.close(other);
        }
    }

    /// Removes a watch that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        self.current = self.current.filter(|&current| current != id);
        self.pending.retain(|&pending| pending != id);
    }

    /// Closes all watches.
    pub fn close_all(&mut self, context: &mut Context) {
        for id in self.current.take().into_iter().chain(self.pending.drain(..)) {
            context.close(id);
        }
        self.schedule(context);
    }

    /// Sets the timer for another watch to the time at which the open ones are overdue.
    pub fn schedule(&mut self, context: &mut Context) {
        let at = self.overdue_at(context);
        if at == self.additional_at {
            return;
        }
        if let Some(previous) = std::mem::replace(&mut self.additional_at, at) {
            context.timers.remove(previous, Timer::AdditionalWatch);
        }
        if let Some(at) = at {
            context.timers.insert(at, Timer::AdditionalWatch);
        }
    }

    /// Records that the timer for another watch has expired.
    pub fn timer_expired(&mut self) {
        self.additional_at = None;
    }

    /// Returns the time at which another watch is to be started; `None` if none may be or no watch is open.
    fn overdue_at(&self, context: &mut Context) -> Option<Micros> {
        if self.max_watches == 1 {
            return None;
        }
        let interval =
            if self.len() < self.max_watches { RESPONSE_OVERDUE_AFTER } else { REPLACEMENT_INTERVAL };
        let after_last = self.last_started_at + interval;
        match self.current {
            None if self.pending.is_empty() => None,
            None => Some(after_last),
            Some(id) => Some(message_overdue_at(context.connections.discovery_mut(id)).max(after_last)),
        }
    }
}

/// Returns the time at which the next message of a watch is overdue.
fn message_overdue_at(request: &DiscoveryRequest) -> Micros {
    match request.partial_object_since() {
        Some(since) => since + RESPONSE_OVERDUE_AFTER,
        None => request.last_message_at() + HEARTBEAT_OVERDUE_AFTER,
    }
}
