//! The state that all components of the router share: the time, the queued effects, counters, timers, connections and
//! endpoints. Opens and closes connections within the limit on file descriptors.

use crate::config::Config;
use crate::counters::Counters;
use crate::io::{ConnectionId, Effect};
use crate::router::connection::client::ClientState;
use crate::router::connection::{Connection, ConnectionTable, EvictionRank};
use crate::router::connection_kind::ConnectionKind;
use crate::router::descriptor_shares::{Admission, DescriptorShares, EvictionScope};
use crate::router::endpoints::Endpoints;
use crate::router::log_limit::LogLimit;
use crate::router::rules::{self, CheckedAction};
use crate::router::shutdown::Shutdown;
use crate::router::timers::{Timer, Timers};
use balancer::{Micros, NodeId};

/// File descriptors that no connection in the table uses: the standard streams, the listener, those of the event loop,
/// and one for a client that was accepted and has no connection id yet.
const RESERVED_DESCRIPTORS: usize = 16;
/// The most client connections in [`ClientState::ClosingIfIdle`] at a time. Their successors are opened before they are
/// closed, so more of them could exceed the limit on file descriptors.
const MAX_CLOSING: usize = RESERVED_DESCRIPTORS / 2;

/// Limits from the configuration.
#[derive(Debug)]
pub struct Limits {
    /// The most connections of all kinds.
    pub max_connections: usize,
    /// The most shard requests queued or in flight on one node connection.
    pub max_requests_per_connection: usize,
    /// The time within which a connection to a node must be established, a frame received in full, and a health check
    /// answered. A response that takes longer is overdue when its attempt is cancelled.
    pub connect_timeout: Micros,
    /// The time after which an idle node connection is closed.
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
            max_connections: config.usable_descriptors().saturating_sub(RESERVED_DESCRIPTORS).max(1),
            max_requests_per_connection: limits.max_requests_per_connection,
            connect_timeout,
            // The router closes a connection before the data node may: a request sent while the node closes meets a
            // reset.
            idle_timeout: (idle_timeout - connect_timeout).max(idle_timeout / 2),
            decision_interval: config.settings.decision_interval,
        }
    }

    /// Returns the shares of each kind of connection.
    pub fn descriptor_shares(&self) -> DescriptorShares {
        DescriptorShares::new(self.max_connections)
    }
}

/// The state that all components share.
pub struct Context {
    /// The time of the current event or decision.
    pub now: Micros,
    /// The effects that the event loop has not taken yet, in order.
    pub effects: Vec<Effect>,
    /// The counters since the start of the router.
    pub counters: Counters,
    /// The timers that have not expired.
    pub timers: Timers,
    /// The connections of all kinds.
    pub connections: ConnectionTable,
    /// The endpoints that discovery has listed.
    pub endpoints: Endpoints,
    /// Whether queries wait for the endpoint list, so that the router is not ready.
    pub awaits_endpoint_list: bool,
    /// The phase of a graceful shutdown.
    pub shutdown: Shutdown,
    /// The bytes of all responses that are being written to clients.
    pub unread_response_bytes: usize,
    /// The limits from the configuration.
    pub limits: Limits,
    /// The limit on log lines about endpoint lists that were applied.
    pub list_log: LogLimit,
    /// The limit on log lines about invalid entries of endpoint lists.
    pub invalid_entry_log: LogLimit,
}

impl Context {
    /// Creates the context of a router that starts at `now`.
    pub fn new(config: &Config, now: Micros) -> Context {
        Context {
            now,
            effects: Vec::new(),
            counters: Counters::default(),
            timers: Timers::default(),
            connections: ConnectionTable::default(),
            endpoints: Endpoints::default(),
            awaits_endpoint_list: false,
            shutdown: Shutdown::default(),
            unread_response_bytes: 0,
            limits: Limits::new(config),
            list_log: LogLimit::default(),
            invalid_entry_log: LogLimit::default(),
        }
    }

    /// Replaces the timer of a connection; `None` removes it.
    pub fn set_connection_timer(&mut self, id: ConnectionId, at: Option<Micros>) {
        if let Some(previous) = self.connections.set_timer_at(id, at) {
            self.timers.remove(previous, Timer::Connection(id));
        }
        if let Some(at) = at {
            self.timers.insert(at, Timer::Connection(id));
        }
    }

    /// Adds a connection. At the limit of its kind an idle one is closed first. Client connections in
    /// [`ClientState::ClosingIfIdle`] do not count. Returns `None` if the limit is reached and either none gives way or
    /// [`MAX_CLOSING`] client connections are in that state.
    pub fn open(&mut self, connection: Connection) -> Option<ConnectionId> {
        let kind = connection.kind();
        let shares = self.limits.descriptor_shares();
        let mut counts = self.connections.counts();
        if shares.admit(kind, counts) != Admission::Free {
            let closing = self.connections.closing_if_idle_count();
            counts.clients -= closing;
            if let Admission::Replaces(scope) = shares.admit(kind, counts)
                && (closing >= MAX_CLOSING || !self.evict_first(kind, scope))
            {
                return None;
            }
        }
        let id = self.connections.insert(connection);
        self.counters.sockets_peak = self.counters.sockets_peak.max(self.connections.len() as u64);
        Some(id)
    }

    /// Closes the idle connection within the scope that gives way first to one of this kind. Returns false if there is
    /// none. A client that has sent a query recently does not give way to another client while a connection without a
    /// complete request will soon.
    fn evict_first(&mut self, kind: ConnectionKind, scope: EvictionScope) -> bool {
        let Some((rank, id)) = self.connections.first_to_evict(self.now, scope) else { return false };
        if kind == ConnectionKind::Client
            && rank == EvictionRank::InUse
            && self.connections.clients().any(|(_, client)| client.is_without_complete_request())
        {
            return false;
        }
        match self.connections.kind(id) {
            Some(ConnectionKind::Client) => self.evict_client(id),
            _ => self.close_idle_node_connection(id),
        }
        true
    }

    /// Returns whether the router may close a client connection now; counts and logs the violation if not.
    pub fn may_close_client(&mut self, id: ConnectionId) -> bool {
        let allowed = rules::may_close(self.connections.client_mut(id));
        let checked =
            CheckedAction { action: "close client", connection: Some(id), ..CheckedAction::default() };
        rules::permitted(&mut self.counters, checked, allowed)
    }

    /// Evicts an idle client connection. The event loop closes it only if no received bytes are unread, so that no
    /// request is lost.
    pub fn evict_client(&mut self, id: ConnectionId) {
        if !self.may_close_client(id) {
            return;
        }
        tracing::debug!(connection = id.0, "idle client connection evicted");
        self.counters.client_connections_evicted += 1;
        self.connections.client_mut(id).state = ClientState::ClosingIfIdle;
        self.effects.push(Effect::CloseIfIdle(id));
    }

    /// Closes and counts an idle node connection.
    pub fn close_idle_node_connection(&mut self, id: ConnectionId) {
        self.counters.node_connections_closed_idle += 1;
        self.close_node_connection(id);
    }

    /// Closes all idle connections to a node.
    pub fn close_idle_connections_to(&mut self, node: NodeId) {
        for id in self.endpoints[node].connections.clone() {
            if self.connections.node_mut(id).idle_since().is_some() {
                self.close_idle_node_connection(id);
            }
        }
    }

    /// Closes and removes a node connection. With the last connection of a node that the balancer has released, the id
    /// of the node becomes free.
    pub fn close_node_connection(&mut self, id: ConnectionId) {
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
