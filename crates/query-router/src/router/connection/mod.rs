//! The state of each kind of connection, and the table of all connections.

pub mod arrival_times;
pub mod client;
pub mod discovery;
pub mod node;
pub mod outgoing_queue;
pub mod response_tracker;

use crate::io::ConnectionId;
use crate::router::connection_kind::{ConnectionCounts, ConnectionKind};
use crate::router::descriptor_shares::EvictionScope;
use balancer::Micros;
use client::{ClientConnection, ClientState};
use discovery::{DiscoveryRequest, RequestKind};
use node::NodeConnection;
use slab::Slab;

/// The state of a connection of any kind.
#[derive(Debug)]
pub enum Connection {
    /// A connection that a client opened.
    Client(ClientConnection),
    /// A connection to a data node.
    Node(Box<NodeConnection>),
    /// A connection to discovery, which carries one request.
    Discovery(DiscoveryRequest),
}

impl Connection {
    /// Returns the kind of the connection.
    pub fn kind(&self) -> ConnectionKind {
        match self {
            Connection::Client(_) => ConnectionKind::Client,
            Connection::Node(_) => ConnectionKind::Node,
            Connection::Discovery(_) => ConnectionKind::Discovery,
        }
    }

    /// Returns the rank of the connection among those that may be evicted and the time since which it is idle; `None` if
    /// it may not be evicted or is not within the scope.
    fn eviction_order(&self, now: Micros, scope: EvictionScope) -> Option<(EvictionRank, Micros)> {
        match self {
            Connection::Client(client) if scope != EvictionScope::Nodes => client.eviction_order(now),
            Connection::Node(node) if scope != EvictionScope::Clients => {
                Some((EvictionRank::Idle, node.idle_since()?))
            }
            Connection::Client(_) | Connection::Node(_) | Connection::Discovery(_) => None,
        }
    }
}

/// The order in which idle connections are evicted. Within a rank, the one that has been idle for longest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// Clients without a query.
    WithoutQuery,
    /// Node connections, and clients that have not sent a request for [`client::KEEP_ALIVE_TIME`] after a query.
    Idle,
    /// Clients that have sent a query recently.
    InUse,
}

#[derive(Debug)]
struct Slot {
    connection: Connection,
    timer_at: Option<Micros>,
}

/// All connections by id, each with the time of its timer.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    slots: Slab<Slot>,
    counts: ConnectionCounts,
}

impl ConnectionTable {
    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns the number of connections of each kind.
    pub fn counts(&self) -> ConnectionCounts {
        self.counts
    }

    /// Adds a connection and returns its id, which may have belonged to an earlier connection.
    pub fn insert(&mut self, connection: Connection) -> ConnectionId {
        *self.counts.of_mut(connection.kind()) += 1;
        ConnectionId(self.slots.insert(Slot { connection, timer_at: None }))
    }

    /// Removes and returns a connection. Its id may be reused.
    pub fn remove(&mut self, id: ConnectionId) -> Connection {
        let connection = self.slots.remove(id.0).connection;
        *self.counts.of_mut(connection.kind()) -= 1;
        connection
    }

    /// Sets the time of the connection's timer; `None` means no timer. Returns the previous time.
    pub fn set_timer_at(&mut self, id: ConnectionId, at: Option<Micros>) -> Option<Micros> {
        std::mem::replace(&mut self.slots[id.0].timer_at, at)
    }

    /// Returns the kind of a connection; `None` if there is none with this id.
    pub fn kind(&self, id: ConnectionId) -> Option<ConnectionKind> {
        self.slots.get(id.0).map(|slot| slot.connection.kind())
    }

    /// Returns the client connection with this id. Panics if there is none.
    pub fn client_mut(&mut self, id: ConnectionId) -> &mut ClientConnection {
        match &mut self.slots[id.0].connection {
            Connection::Client(client) => client,
            _ => unreachable!("{id:?} is a client connection"),
        }
    }

    /// Returns the node connection with this id. Panics if there is none.
    pub fn node_mut(&mut self, id: ConnectionId) -> &mut NodeConnection {
        match &mut self.slots[id.0].connection {
            Connection::Node(node) => node,
            _ => unreachable!("{id:?} is a node connection"),
        }
    }

    /// Returns the node connection with this id; `None` if there is none.
    pub fn node(&self, id: ConnectionId) -> Option<&NodeConnection> {
        match &self.slots.get(id.0)?.connection {
            Connection::Node(node) => Some(node),
            _ => None,
        }
    }

    /// Returns the discovery request on the connection with this id. Panics if there is none.
    pub fn discovery_mut(&mut self, id: ConnectionId) -> &mut DiscoveryRequest {
        match &mut self.slots[id.0].connection {
            Connection::Discovery(request) => request,
            _ => unreachable!("{id:?} is a request to discovery"),
        }
    }

    /// Returns the ids of all connections, in order.
    #[cfg(test)]
    pub fn ids(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        self.slots.iter().map(|(index, _)| ConnectionId(index))
    }

    /// Returns all connections, in the order of their ids.
    fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        self.slots.iter().map(|(index, slot)| (ConnectionId(index), &slot.connection))
    }

    /// Returns all client connections, in the order of their ids.
    pub fn clients(&self) -> impl Iterator<Item = (ConnectionId, &ClientConnection)> {
        self.iter().filter_map(|(id, connection)| match connection {
            Connection::Client(client) => Some((id, client)),
            _ => None,
        })
    }

    /// Returns all node connections, in the order of their ids.
    pub fn nodes(&self) -> impl Iterator<Item = (ConnectionId, &NodeConnection)> {
        self.iter().filter_map(|(id, connection)| match connection {
            Connection::Node(node) => Some((id, &**node)),
            _ => None,
        })
    }

    /// Returns the connections of all polls in progress, in the order of their ids.
    pub fn polls(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        self.iter().filter_map(|(id, connection)| match connection {
            Connection::Discovery(request) if request.kind == RequestKind::Poll => Some(id),
            _ => None,
        })
    }

    /// Returns the number of evicted client connections that the event loop has not closed yet.
    pub fn closing_if_idle_count(&self) -> usize {
        self.clients().filter(|(_, client)| client.state == ClientState::ClosingIfIdle).count()
    }

    /// Returns the connection that gives way first at `now`, with its rank; `None` if none within the scope is idle.
    pub fn first_to_evict(&self, now: Micros, scope: EvictionScope) -> Option<(EvictionRank, ConnectionId)> {
        let idle = self.iter().filter_map(|(id, connection)| {
            let (rank, since) = connection.eviction_order(now, scope)?;
            Some((rank, since, id))
        });
        idle.min().map(|(rank, _, id)| (rank, id))
    }
}
