//! Candidate nodes for a shard request.

use crate::NodeId;

/// Preference for a node, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Preference {
    /// The node is ejected or in the backoff after a rejection.
    Unavailable,
    /// The node has a late attempt, is suspect with attempts in flight, or, for a non-idempotent class, is suspect
    /// or fails too often.
    Degraded,
    /// None of the above applies, but the node's estimated latency is much higher than the lowest. Also the
    /// value of all such nodes before their latencies are compared.
    Healthy,
    /// The node's estimated latency is close to the lowest.
    Fast,
    /// The node's estimated latency is close to the lowest, and the node is in the router's zone.
    Local,
}

/// Whether selection respects the concurrency limits of nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitCheck {
    /// Nodes at their concurrency limit are not selected.
    Enforced,
    /// Nodes are selected regardless of their concurrency limit.
    Ignored,
}

/// A node that holds the requested shard.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    pub node: NodeId,
    /// Preference for the node before the comparison with other candidates.
    pub preference: Preference,
    /// Estimated latency of one more shard request, including the wait for those in flight. Only comparable
    /// among the candidates of one shard request: it has no unit while no latency is known.
    pub estimated_latency: f64,
}

/// The node selected for a shard request.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    pub node: NodeId,
    /// Preference for the node compared with the other candidates.
    pub preference: Preference,
}

impl Choice {
    /// Returns whether the node may receive requests.
    pub fn is_usable(&self) -> bool {
        self.preference >= Preference::Degraded
    }
}
