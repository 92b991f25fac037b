//! State of a query.

use crate::{AttemptOutcome, Micros, NodeId, QueryArrival, ShardRequestId};

/// Properties that a client's retries of a query share with the original.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryFingerprint {
    pub class: usize,
    pub tenant: usize,
    /// Index of the shard of the first shard request.
    pub first_shard: usize,
    /// Number of shard requests.
    pub shard_requests: usize,
}

/// A query that is open or has attempts in flight.
#[derive(Clone, Debug)]
pub struct Query {
    /// Index of the service class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// Rank in the admission queue: 0 if the query is within its tenant's quota, 1 if it exceeds the quota. Queries
    /// are admitted by ascending rank, to which 1 is added if they would miss their latency objective.
    pub queue_rank: u8,
    /// Time by which the query should be answered.
    pub latency_objective: Micros,
    /// Time by which the query must be answered.
    pub deadline: Micros,
    /// Whether the client marked the query as a retry.
    pub is_retry: bool,
    /// Shard requests, those of the first step before those of the second.
    pub shard_requests: Vec<ShardRequestId>,
    /// Index in `shard_requests` of the first one of the current step; 0 in the first step.
    pub step_start: usize,
    /// Whether the first step was complete; only meaningful in the second step.
    pub first_step_complete: bool,
    /// Time of admission; `None` while the query waits for it.
    pub admitted_at: Option<Micros>,
    /// Whether the first batch was sent as a canary, ahead of the rest.
    pub has_canary: bool,
    /// Whether any shard request was answered.
    pub has_answer: bool,
    /// Nodes whose connection was lost during an attempt of this query.
    pub crashed_nodes: Vec<NodeId>,
}

impl Query {
    /// Creates a query without shard requests, to be answered by `latency_objective` if possible.
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

    /// Returns the shard requests of the current step.
    pub fn current_step(&self) -> &[ShardRequestId] {
        &self.shard_requests[self.step_start..]
    }

    /// Records the admission, and whether the first batch is sent as a canary.
    pub fn admit(&mut self, now: Micros, has_canary: bool) {
        self.admitted_at = Some(now);
        self.has_canary = has_canary;
    }

    /// Starts the second step; its shard requests arrive later.
    pub fn start_second_step(&mut self, first_step_complete: bool) {
        self.step_start = self.shard_requests.len();
        self.first_step_complete = first_step_complete;
    }

    /// Records the outcome of an attempt of one of the query's shard requests.
    pub fn attempt_ended(&mut self, node: NodeId, outcome: AttemptOutcome) {
        self.has_answer |= outcome == AttemptOutcome::Succeeded;
        if outcome == AttemptOutcome::ConnectionLost && !self.crashed_nodes.contains(&node) {
            self.crashed_nodes.push(node);
        }
    }
}
