//! The client of discovery by itself, for a front end that serves no queries and has an event loop of its own. It keeps
//! the same rules as the router: both run the state machine of [`Discovery`].

use super::{Discovery, EndpointReport};
use crate::config::Config;
use crate::io::{Bytes, ConnectionId, Effect};
use crate::router::connection::discovery::EndpointList;
use crate::router::connection_kind::ConnectionKind;
use crate::router::context::Context;
use crate::router::timers::Timer;
use balancer::{EndpointUpdate, Micros, NodeId};
use serde_json::Value as Json;
use std::net::SocketAddr;

/// An event that the owner of a [`DiscoveryClient`] reports. Events of closed connections are ignored.
#[derive(Clone, Copy, Debug)]
pub enum DiscoveryEvent<'a> {
    /// A connection is established.
    Established(ConnectionId),
    /// Bytes were received on a connection.
    Received {
        /// The connection on which bytes arrived.
        connection: ConnectionId,
        /// All received bytes that are not consumed yet, those reported before included.
        bytes: &'a [u8],
    },
    /// Discovery closed its side of a connection; `Ended` follows.
    PeerClosed(ConnectionId),
    /// A connection was closed, failed, or was never established.
    Ended(ConnectionId),
    /// The time of [`DiscoveryClient::next_timer_at`] is reached.
    TimerExpired,
}

/// An effect that a [`DiscoveryClient`] requests of its owner.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEffect {
    /// Opens a connection.
    Connect {
        /// The id of the new connection, which may have belonged to a closed one.
        connection: ConnectionId,
        /// The address of discovery.
        address: SocketAddr,
    },
    /// Writes bytes on a connection.
    Write {
        /// The connection to write on.
        connection: ConnectionId,
        /// The bytes to write.
        bytes: Bytes,
    },
    /// Discards received bytes.
    Consume {
        /// The connection that received the bytes.
        connection: ConnectionId,
        /// The number of bytes to discard from the front of those received.
        count: usize,
    },
    /// Closes a connection.
    Close(ConnectionId),
}

/// A client of discovery, with the endpoints that it has listed.
pub struct DiscoveryClient {
    context: Context,
    discovery: Discovery,
}

impl DiscoveryClient {
    /// Creates a client that sends no request yet and has no endpoints.
    pub fn new(config: &Config, now: Micros) -> DiscoveryClient {
        let context = Context::new(config, now);
        let discovery = Discovery::new(config, context.limits.max_connections);
        DiscoveryClient { context, discovery }
    }

    /// Starts a watch if none is open. Where endpoint lists are pushed, it is renewed from then on.
    pub fn ensure_watch(&mut self, now: Micros) {
        self.context.now = now;
        self.discovery.ensure_watch(&mut self.context);
    }

    /// Loads an endpoint list that did not come from a request, as if discovery had sent it.
    pub fn load(&mut self, now: Micros, list: &Json, update: EndpointUpdate) {
        self.context.now = now;
        self.discovery.load(EndpointList { update, json: list.clone() });
    }

    /// Changes the address of discovery. Returns whether it is another one.
    pub fn set_address(&mut self, now: Micros, address: SocketAddr) -> bool {
        self.context.now = now;
        self.discovery.set_address(&mut self.context, address)
    }

    /// Processes an event.
    pub fn handle(&mut self, now: Micros, event: DiscoveryEvent) {
        self.context.now = now;
        match event {
            DiscoveryEvent::TimerExpired => self.expire_timers(),
            DiscoveryEvent::Established(id)
            | DiscoveryEvent::Received { connection: id, .. }
            | DiscoveryEvent::PeerClosed(id)
            | DiscoveryEvent::Ended(id) => {
                if self.context.connections.kind(id) == Some(ConnectionKind::Discovery) {
                    self.handle_connection_event(id, event);
                }
            }
        }
    }

    fn handle_connection_event(&mut self, id: ConnectionId, event: DiscoveryEvent) {
        let DiscoveryClient { context, discovery } = self;
        match event {
            DiscoveryEvent::Established(_) => discovery.established(context, id),
            DiscoveryEvent::Received { bytes, .. } => discovery.received(context, id, bytes),
            DiscoveryEvent::PeerClosed(_) => discovery.closed_by_peer(context, id),
            DiscoveryEvent::Ended(_) => discovery.ended(context, id),
            DiscoveryEvent::TimerExpired => {}
        }
    }

    fn expire_timers(&mut self) {
        let DiscoveryClient { context, discovery } = self;
        while let Some(timer) = context.timers.pop_expired(context.now) {
            match timer {
                Timer::Connection(id) => {
                    context.connections.set_timer_at(id, None);
                    discovery.request_timer_expired(context, id);
                }
                timer => discovery.timer_expired(context, timer),
            }
        }
    }

    /// Returns the next endpoint update for the balancer; `None` if there is none. The caller takes all of them after
    /// each other call.
    pub fn next_report(&mut self) -> Option<EndpointReport> {
        self.discovery.next_report(&mut self.context)
    }

    /// Removes and returns the effects in the order in which the caller must carry them out.
    pub fn take_effects(&mut self) -> Vec<DiscoveryEffect> {
        let effects = std::mem::take(&mut self.context.effects);
        effects.into_iter().flat_map(to_discovery_effects).collect()
    }

    /// Returns the time at which to report [`DiscoveryEvent::TimerExpired`]; `None` if no timer is set.
    pub fn next_timer_at(&self) -> Option<Micros> {
        self.context.timers.next_at()
    }

    /// Returns the id of a node in endpoint lists; `None` if there is no such node.
    pub fn endpoint_id(&self, node: NodeId) -> Option<&str> {
        self.context.endpoints.id(node)
    }

    /// Returns the address of a node; `None` if there is no such node or its address could not be parsed.
    pub fn endpoint_address(&self, node: NodeId) -> Option<SocketAddr> {
        self.context.endpoints.get(node)?.address
    }

    /// Returns the number of nodes.
    pub fn endpoint_count(&self) -> usize {
        self.context.endpoints.id_count()
    }

    /// Returns the number of entries so far that were invalid, had an address that could not be parsed, or were beyond the
    /// limit on endpoints.
    pub fn unusable_entries(&self) -> u64 {
        self.context.counters.endpoint_entries_unusable
    }

    /// Frees the id of a node that the balancer has released.
    pub fn release(&mut self, node: NodeId) {
        self.context.endpoints.release(node);
        self.context.endpoints.free_if_unused(node);
    }
}

/// Converts an effect. Requests to discovery cause no others.
fn to_discovery_effects(effect: Effect) -> Vec<DiscoveryEffect> {
    match effect {
        Effect::Connect { connection, address } => vec![DiscoveryEffect::Connect { connection, address }],
        Effect::Write { connection, buffers } => {
            buffers.into_iter().map(|bytes| DiscoveryEffect::Write { connection, bytes }).collect()
        }
        Effect::Consume { connection, count } => vec![DiscoveryEffect::Consume { connection, count }],
        Effect::Close(connection) => vec![DiscoveryEffect::Close(connection)],
        _ => Vec::new(),
    }
}
