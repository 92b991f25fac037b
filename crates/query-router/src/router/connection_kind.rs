//! Plain data about connections that the modules above share: their kinds, their numbers, and how many of them watch
//! discovery.

/// The most watches at a time.
const MAX_WATCHES: usize = 3;
/// The share of all connections that one watch may take: a router with few descriptors has a single watch.
const CONNECTIONS_PER_WATCH: usize = 16;

/// The kind of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionKind {
    /// A connection that a client opened.
    Client,
    /// A connection to a data node.
    Node,
    /// A connection to discovery.
    Discovery,
}

/// The number of connections of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections that clients opened.
    pub clients: usize,
    /// Connections to data nodes.
    pub nodes: usize,
    /// Requests to discovery.
    pub discovery: usize,
}

impl ConnectionCounts {
    /// Returns the number of connections of a kind for modification.
    pub fn of_mut(&mut self, kind: ConnectionKind) -> &mut usize {
        match kind {
            ConnectionKind::Client => &mut self.clients,
            ConnectionKind::Node => &mut self.nodes,
            ConnectionKind::Discovery => &mut self.discovery,
        }
    }
}

/// Returns the most watches that a router with this limit on connections has at a time.
pub fn max_watches(max_connections: usize) -> usize {
    (max_connections / CONNECTIONS_PER_WATCH).clamp(1, MAX_WATCHES)
}
