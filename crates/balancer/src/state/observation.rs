//! Evidence about a node.

use crate::{AttemptOutcome, Micros, NodeId};

/// What an attempt, or a load report, shows of a node.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// The node.
    pub node: NodeId,
    /// Index of the service class of the attempt.
    pub class: usize,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The time since it was sent.
    pub latency: Micros,
}

/// An attempt that got no answer in time.
#[derive(Clone, Copy, Debug)]
pub struct LateAttempt {
    /// When it was sent.
    pub sent_at: Micros,
    /// Whether the node is in a zone that is slow to reach.
    pub is_remote: bool,
}
