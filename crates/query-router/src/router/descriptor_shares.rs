//! The shares of the file descriptors. This module alone says which kind of connection may take how many of them, how
//! many always stay free for it, and who gives way to whom:
//!
//! | kind | kept free for it | at most |
//! | --- | --- | --- |
//! | discovery | three watches and a poll; fewer with less than 48 connections | what the others leave |
//! | data nodes | a third of the rest | two thirds of the rest |
//! | clients | a third of the rest | two thirds of the rest |
//!
//! The last third goes to whoever needs it first. A connection within its share opens at once or replaces an idle one;
//! a connection in use gives way to nobody, except for clients in the middle of a request, which give way to waiting
//! clients (`clients::shortage`).

use crate::router::connection_kind::{ConnectionCounts, ConnectionKind, max_watches};

/// The most polls for which a descriptor is kept free beside the watches.
const POLLS: usize = 1;
/// The fewest connections with which a descriptor is kept free for a poll.
const MIN_CONNECTIONS_FOR_POLL: usize = 16;
/// The divisor of the descriptors that discovery leaves, which gives those kept free for clients and for nodes each.
const KINDS_AND_COMMON_PART: usize = 3;

/// Which idle connections may be closed to make room for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionScope {
    /// Those of clients.
    Clients,
    /// Those to data nodes.
    Nodes,
    /// Those of clients and to data nodes.
    All,
}

/// Whether a connection may be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A descriptor is free for it.
    Free,
    /// One of these idle connections must be closed first.
    Replaces(EvictionScope),
}

/// The shares of a given number of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorShares {
    max_connections: usize,
    discovery: usize,
    /// What is kept free for clients, and for nodes as well.
    reserve: usize,
}

impl DescriptorShares {
    /// Divides this number of connections.
    pub fn new(max_connections: usize) -> DescriptorShares {
        let polls = if max_connections >= MIN_CONNECTIONS_FOR_POLL { POLLS } else { 0 };
        let discovery = (max_watches(max_connections) + polls).min(max_connections);
        let reserve = (max_connections - discovery) / KINDS_AND_COMMON_PART;
        DescriptorShares { max_connections, discovery, reserve }
    }

    /// Returns the most connections of clients.
    pub fn max_clients(self) -> usize {
        self.max_connections - self.discovery - self.reserve
    }

    /// Returns the most connections to data nodes, which are as many as those of clients.
    pub fn max_nodes(self) -> usize {
        self.max_clients()
    }

    /// Returns whether another connection of this kind may be opened beside `open` ones.
    pub fn admit(self, kind: ConnectionKind, open: ConnectionCounts) -> Admission {
        let others = open.clients + open.nodes;
        let left_by_discovery =
            self.max_connections - open.discovery.clamp(self.discovery, self.max_connections);
        match kind {
            ConnectionKind::Client if open.clients >= self.max_clients() => {
                Admission::Replaces(EvictionScope::Clients)
            }
            ConnectionKind::Node if open.nodes >= self.max_nodes() => {
                Admission::Replaces(EvictionScope::Nodes)
            }
            ConnectionKind::Client | ConnectionKind::Node if others >= left_by_discovery => {
                Admission::Replaces(EvictionScope::All)
            }
            ConnectionKind::Discovery if others + open.discovery >= self.max_connections => {
                Admission::Replaces(EvictionScope::All)
            }
            _ => Admission::Free,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Limits of descriptors in the configuration less those that no connection uses, and odd ones.
    const SIZES: [usize; 9] = [1, 2, 6, 15, 24, 48, 112, 240, 1008];

    fn counts(clients: usize, nodes: usize, discovery: usize) -> ConnectionCounts {
        ConnectionCounts { clients, nodes, discovery }
    }

    /// Opens connections of a kind until none is free, and returns the counts.
    fn fill(shares: DescriptorShares, kind: ConnectionKind, mut open: ConnectionCounts) -> ConnectionCounts {
        while shares.admit(kind, open) == Admission::Free {
            *open.of_mut(kind) += 1;
        }
        open
    }

    /// Guards against a share that another kind of connection has used up (`review/7`), in any order of their arrival.
    #[test]
    fn what_is_kept_free_for_a_kind_is_free_whoever_came_first() {
        for size in SIZES {
            let shares = DescriptorShares::new(size);
            for (first, second) in [
                (ConnectionKind::Client, ConnectionKind::Node),
                (ConnectionKind::Node, ConnectionKind::Client),
            ] {
                let open = fill(shares, second, fill(shares, first, counts(0, 0, 0)));
                assert!(open.clients.min(open.nodes) >= shares.reserve, "{size}: {open:?}");
                let open = fill(shares, ConnectionKind::Discovery, open);
                assert!(open.discovery >= shares.discovery, "{size}: {open:?}");
                assert!(open.clients + open.nodes + open.discovery <= size, "{size}: {open:?}");
            }
        }
    }

    #[test]
    fn the_shares_of_usual_limits() {
        let shares = [48, 240, 1008].map(DescriptorShares::new);
        assert_eq!(shares.map(|shares| shares.discovery), [4, 4, 4]);
        assert_eq!(shares.map(|shares| shares.reserve), [14, 78, 334]);
        assert_eq!(shares.map(DescriptorShares::max_clients), [30, 158, 670]);
    }

    #[test]
    fn a_kind_at_its_limit_replaces_its_own_connections_and_below_it_any() {
        let shares = DescriptorShares::new(240);
        let admit = |kind, clients, nodes| shares.admit(kind, counts(clients, nodes, 1));
        assert_eq!(admit(ConnectionKind::Client, 158, 10), Admission::Replaces(EvictionScope::Clients));
        assert_eq!(admit(ConnectionKind::Node, 10, 158), Admission::Replaces(EvictionScope::Nodes));
        assert_eq!(admit(ConnectionKind::Client, 100, 136), Admission::Replaces(EvictionScope::All));
        assert_eq!(admit(ConnectionKind::Node, 158, 78), Admission::Replaces(EvictionScope::All));
        assert_eq!(admit(ConnectionKind::Node, 158, 77), Admission::Free);
        assert_eq!(admit(ConnectionKind::Discovery, 158, 78), Admission::Free);
    }
}
