//! Queries.

use crate::{AttemptOutcome, Micros, NodeId, QueryArrival, ShardRequestId};

/// What the tries of one client have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryFingerprint {
    /// Index of the service class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// The shard of the first shard request.
    pub first_shard: usize,
    /// How many shard requests there are.
    pub shard_requests: usize,
}

/// A query that the balancer keeps track of.
#[derive(Clone, Debug)]
pub struct Query {
    /// Index of its service class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Its place in the admission queue: the lowest goes first.
    pub queue_rank: u8,
    /// The time by which it should be answered.
    pub latency_objective: Micros,
    /// The time by which it must be answered.
    pub deadline: Micros,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Its shard requests, of the first step and then of the second.
    pub shard_requests: Vec<ShardRequestId>,
    /// Where the shard requests of the present step begin.
    pub step_start: usize,
    /// Whether the first step was answered completely.
    pub first_step_complete: bool,
    /// When it was admitted.
    pub admitted_at: Option<Micros>,
    /// Whether its first batch was sent ahead of the rest.
    pub has_canary: bool,
    /// Whether a shard request was answered.
    pub has_answer: bool,
    /// The nodes that lost a connection under it.
    pub crashed_nodes: Vec<NodeId>,
}

impl Query {
    /// A query without shard requests, to be answered by `latency_objective` if possible.
    pub fn new(arrival: &QueryArrival, latency_objective: Micros) -> Self {
        Query {
            class: arrival.class,
            tenant: arrival.tenant,
            queue_rank: 0,
            latency_objective,
            deadline: arrival.deadline,
            is_retry: arrival.is_retry,
            shard_requests: Vec::new(),
            step_start: 0,
            first_step_complete: false,
            admitted_at: None,
            has_canary: false,
            has_answer: false,
            crashed_nodes: Vec::new(),
        }
    }

    /// The shard requests of the present step.
    pub fn current_step(&self) -> &[ShardRequestId] {
        &self.shard_requests[self.step_start..]
    }

    /// Notes that it was admitted, and whether its first batch goes ahead of the rest.
    pub fn admit(&mut self, now: Micros, has_canary: bool) {
        self.admitted_at = Some(now);
        self.has_canary = has_canary;
    }

    /// Starts the second step, whose shard requests follow.
    pub fn start_second_step(&mut self, first_step_complete: bool) {
        self.step_start = self.shard_requests.len();
        self.first_step_complete = first_step_complete;
    }

    /// Notes how an attempt at one of its shard requests ended.
    pub fn attempt_ended(&mut self, node: NodeId, outcome: AttemptOutcome) {
        self.has_answer |= outcome == AttemptOutcome::Succeeded;
        if outcome == AttemptOutcome::ConnectionLost && !self.crashed_nodes.contains(&node) {
            self.crashed_nodes.push(node);
        }
    }
}
