//! The state that all components of the router share: the time, the effects asked for, counters, timers, connections
//! and endpoints. Opens and closes connections within the limit on descriptors.

use crate::config::Config;
use crate::counters::Counters;
use crate::io::{ConnectionId, Effect};
use crate::router::connection::client::ClientState;
use crate::router::connection::{Connection, ConnectionKind, ConnectionTable};
use crate::router::endpoints::Endpoints;
use crate::router::rules::{self, Subject};
use crate::router::shutdown::Shutdown;
use crate::router::timers::{Timer, Timers};
use balancer::{Micros, NodeId};

/// File descriptors that are not connections: the standard streams, the listener, those of the event loop, and one that
/// was accepted and has no id yet.
const OTHER_DESCRIPTORS: usize = 16;
/// The most client connections that may be closing at a time, so that new ones in their place stay within the limit on
/// descriptors.
const MAX_CLOSING: usize = OTHER_DESCRIPTORS / 2;

/// Limits that the configuration states.
#[derive(Debug)]
pub struct Limits {
    /// The most connections of all kinds.
    pub max_connections: usize,
    /// The most shard requests queued or in flight on one node connection.
    pub max_requests_per_connection: usize,
    /// How long a connection may take to be established, and a frame to be received in full.
    pub connect_timeout: Micros,
    /// After how long an idle node connection is closed.
    pub idle_timeout: Micros,
    /// The shortest time between two decisions of the balancer.
    pub decision_interval: Micros,
}

impl Limits {
    fn new(config: &Config) -> Limits {
        let limits = &config.settings.limits;
        let connect_timeout = limits.connect_timeout.unwrap_or(0);
        let idle_timeout = limits.idle_timeout;
        Limits {
            max_connections: config.max_sockets.saturating_sub(OTHER_DESCRIPTORS).max(1),
            max_requests_per_connection: limits.max_requests_per_connection,
            connect_timeout,
            // Closed here before the data node may: a request that crosses its close would be a reset.
            idle_timeout: (idle_timeout - connect_timeout).max(idle_timeout / 2),
            decision_interval: config.settings.decision_interval,
        }
    }
}

/// The shared state.
pub struct Context {
    /// The time of the current event.
    pub now: Micros,
    /// The effects that the event loop is to carry out, in order.
    pub effects: Vec<Effect>,
    /// The counters since the start.
    pub counters: Counters,
    /// All timers.
    pub timers: Timers,
    /// All connections.
    pub connections: ConnectionTable,
    /// All endpoints.
    pub endpoints: Endpoints,
    /// The progress of a graceful shutdown.
    pub shutdown: Shutdown,
    /// Limits of the configuration.
    pub limits: Limits,
}

impl Context {
    /// The context of a router that starts now.
    pub fn new(config: &Config, now: Micros) -> Context {
        Context {
            now,
            effects: Vec::new(),
            counters: Counters::default(),
            timers: Timers::default(),
            connections: ConnectionTable::default(),
            endpoints: Endpoints::default(),
            shutdown: Shutdown::default(),
            limits: Limits::new(config),
        }
    }

    /// Sets or removes a connection's timer, in place of the time before.
    pub fn set_connection_timer(&mut self, id: ConnectionId, at: Option<Micros>) {
        if let Some(previous) = self.connections.set_timer_at(id, at) {
            self.timers.remove(previous, Timer::Connection(id));
        }
        if let Some(at) = at {
            self.timers.insert(at, Timer::Connection(id));
        }
    }

    /// Adds a connection if the limit allows one more. At the limit it closes the connection that has been idle for
    /// longest.
    pub fn open(&mut self, connection: Connection) -> Option<ConnectionId> {
        let max_connections = self.limits.max_connections;
        if self.connections.len() >= max_connections {
            let closing = self.connections.closing_if_idle();
            let is_full = self.connections.len() - closing >= max_connections;
            if is_full && (closing >= MAX_CLOSING || !self.evict_longest_idle()) {
                return None;
            }
        }
        let id = self.connections.insert(connection);
        self.counters.sockets_peak = self.counters.sockets_peak.max(self.connections.len() as u64);
        Some(id)
    }

    /// Closes the connection that has been idle for longest, of a client or to a node. Returns false if none is idle.
    fn evict_longest_idle(&mut self) -> bool {
        let Some(id) = self.connections.longest_idle() else { return false };
        match self.connections.kind(id) {
            Some(ConnectionKind::Client) => self.evict_client(id),
            _ => self.close_idle_node(id),
        }
        true
    }

    /// Whether this router may close a client's connection of its own accord.
    pub fn may_close_client(&mut self, id: ConnectionId) -> bool {
        let allowed = rules::may_close(self.connections.client_mut(id));
        let subject = Subject { action: "close client", connection: Some(id), ..Subject::default() };
        rules::permitted(&mut self.counters, subject, allowed)
    }

    /// Closes an idle client connection. Guards against losing a request that was received and not read yet: the event
    /// loop closes the connection only if there is none.
    pub fn evict_client(&mut self, id: ConnectionId) {
        if !self.may_close_client(id) {
            return;
        }
        tracing::debug!(connection = id.0, "idle client evicted");
        self.counters.client_connections_evicted += 1;
        self.connections.client_mut(id).state = ClientState::ClosingIfIdle;
        self.effects.push(Effect::CloseIfIdle(id));
    }

    /// Closes an idle node connection.
    pub fn close_idle_node(&mut self, id: ConnectionId) {
        self.counters.node_connections_closed_idle += 1;
        self.close_node(id);
    }

    /// Closes all idle connections to a node.
    pub fn close_idle_nodes(&mut self, node: NodeId) {
        for id in self.endpoints[node].connections.clone() {
            if self.connections.node_mut(id).idle_since().is_some() {
                self.close_idle_node(id);
            }
        }
    }

    /// Closes and removes a node connection; frees its node's id with the last one if the balancer has released it.
    pub fn close_node(&mut self, id: ConnectionId) {
        let node = self.connections.node_mut(id).node;
        self.endpoints[node].connections.retain(|&other| other != id);
        self.close(id);
        self.endpoints.free_if_unused(node);
    }

    /// Closes and removes a connection.
    pub fn close(&mut self, id: ConnectionId) -> Connection {
        self.set_connection_timer(id, None);
        let connection = self.connections.remove(id);
        self.effects.push(Effect::Close(id));
        connection
    }
}
