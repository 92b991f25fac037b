//! The states of all connections, and the table that holds them.

pub mod arrival_times;
pub mod client;
pub mod discovery;
pub mod node;
pub mod outgoing_queue;

use crate::io::ConnectionId;
use balancer::Micros;
use client::{ClientConnection, ClientState};
use discovery::{DiscoveryRequest, RequestKind};
use node::NodeConnection;
use slab::Slab;

/// A connection of any kind.
#[derive(Debug)]
pub enum Connection {
    /// Of a client.
    Client(ClientConnection),
    /// To a data node.
    Node(Box<NodeConnection>),
    /// To discovery.
    Discovery(DiscoveryRequest),
}

/// The kind of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionKind {
    /// Of a client.
    Client,
    /// To a data node.
    Node,
    /// To discovery.
    Discovery,
}

impl Connection {
    /// The kind of the connection.
    pub fn kind(&self) -> ConnectionKind {
        match self {
            Connection::Client(_) => ConnectionKind::Client,
            Connection::Node(_) => ConnectionKind::Node,
            Connection::Discovery(_) => ConnectionKind::Discovery,
        }
    }

    /// Since when it could be evicted, if it may be.
    fn idle_since(&self) -> Option<Micros> {
        match self {
            Connection::Client(client) => client.idle_since(),
            Connection::Node(node) => node.idle_since(),
            Connection::Discovery(_) => None,
        }
    }
}

#[derive(Debug)]
struct Slot {
    connection: Connection,
    timer_at: Option<Micros>,
}

/// All connections by their ids, each with the time of its timer.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    slots: Slab<Slot>,
}

impl ConnectionTable {
    /// The number of connections.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Adds a connection; its id is unused until then.
    pub fn insert(&mut self, connection: Connection) -> ConnectionId {
        ConnectionId(self.slots.insert(Slot { connection, timer_at: None }))
    }

    /// Removes a connection; its id may be used again.
    pub fn remove(&mut self, id: ConnectionId) -> Connection {
        self.slots.remove(id.0).connection
    }

    /// Sets the time of the connection's timer; returns the time before.
    pub fn set_timer_at(&mut self, id: ConnectionId, at: Option<Micros>) -> Option<Micros> {
        std::mem::replace(&mut self.slots[id.0].timer_at, at)
    }

    /// The kind of a connection, `None` if there is none with this id.
    pub fn kind(&self, id: ConnectionId) -> Option<ConnectionKind> {
        self.slots.get(id.0).map(|slot| slot.connection.kind())
    }

    /// The client connection with this id, which must be one.
    pub fn client_mut(&mut self, id: ConnectionId) -> &mut ClientConnection {
        match &mut self.slots[id.0].connection {
            Connection::Client(client) => client,
            _ => unreachable!("{id:?} is a client connection"),
        }
    }

    /// The node connection with this id, which must be one.
    pub fn node_mut(&mut self, id: ConnectionId) -> &mut NodeConnection {
        match &mut self.slots[id.0].connection {
            Connection::Node(node) => node,
            _ => unreachable!("{id:?} is a node connection"),
        }
    }

    /// The node connection with this id, if it is one.
    pub fn node(&self, id: ConnectionId) -> Option<&NodeConnection> {
        match &self.slots.get(id.0)?.connection {
            Connection::Node(node) => Some(node),
            _ => None,
        }
    }

    /// The request to discovery with this id, which must be one.
    pub fn discovery_mut(&mut self, id: ConnectionId) -> &mut DiscoveryRequest {
        match &mut self.slots[id.0].connection {
            Connection::Discovery(request) => request,
            _ => unreachable!("{id:?} is a request to discovery"),
        }
    }

    /// The ids of all connections, in order.
    #[cfg(test)]
    pub fn ids(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        self.slots.iter().map(|(index, _)| ConnectionId(index))
    }

    /// All connections, in the order of their ids.
    fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        self.slots.iter().map(|(index, slot)| (ConnectionId(index), &slot.connection))
    }

    /// All client connections, in the order of their ids.
    pub fn clients(&self) -> impl Iterator<Item = (ConnectionId, &ClientConnection)> {
        self.iter().filter_map(|(id, connection)| match connection {
            Connection::Client(client) => Some((id, client)),
            _ => None,
        })
    }

    /// All node connections, in the order of their ids.
    pub fn nodes(&self) -> impl Iterator<Item = (ConnectionId, &NodeConnection)> {
        self.iter().filter_map(|(id, connection)| match connection {
            Connection::Node(node) => Some((id, &**node)),
            _ => None,
        })
    }

    /// All polls of discovery, in the order of their ids.
    pub fn polls(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        self.iter().filter_map(|(id, connection)| match connection {
            Connection::Discovery(request) if request.kind == RequestKind::Poll => Some(id),
            _ => None,
        })
    }

    /// The number of client connections that the event loop closes if they are idle.
    pub fn closing_if_idle(&self) -> usize {
        self.clients().filter(|(_, client)| client.state == ClientState::ClosingIfIdle).count()
    }

    /// The connection that has been idle for longest.
    pub fn longest_idle(&self) -> Option<ConnectionId> {
        let idle = self.iter().filter_map(|(id, connection)| Some((connection.idle_since()?, id)));
        idle.min().map(|(_, id)| id)
    }
}
