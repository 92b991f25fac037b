//! The nodes among which one is selected for a shard request.

use crate::NodeId;

/// How much a node is preferred, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Preference {
    /// It is ejected or rejects attempts.
    Unavailable,
    /// An attempt is late there, or it is suspect and being tried.
    Degraded,
    /// Nothing is late, but it would take much longer than the best.
    Healthy,
    /// It takes about as long as the best.
    Fast,
    /// It takes about as long as the best and is in the router's zone.
    Local,
}

/// Whether the concurrency limit of a node counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitCheck {
    /// A node at its limit is not selected.
    Enforced,
    /// The limit does not count.
    Ignored,
}

/// A node that holds a shard.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The node.
    pub node: NodeId,
    /// How much it is preferred by itself.
    pub preference: Preference,
    /// The time it would take for one more shard request, relative to other candidates.
    pub estimated_latency: f64,
}

/// The node that was selected for a shard request.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// The node.
    pub node: NodeId,
    /// How much it is preferred among the candidates.
    pub preference: Preference,
}

impl Choice {
    /// Whether the node may be used at all.
    pub fn is_usable(&self) -> bool {
        self.preference >= Preference::Degraded
    }
}
