//! Observations of a node.

use crate::{AttemptOutcome, Micros, NodeId};

/// Outcome of an attempt, or the prevailing outcome in a load report.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    pub node: NodeId,
    /// Index of the service class.
    pub class: usize,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Time from sending to the end.
    pub latency: Micros,
}

/// An attempt that was not answered in time.
#[derive(Clone, Copy, Debug)]
pub struct LateAttempt {
    pub sent_at: Micros,
    /// Whether the cross-zone latency of the node exceeds the typical latency of an attempt.
    pub is_remote: bool,
}
