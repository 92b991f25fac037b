//! The request of a query to one shard.

use crate::{AttemptNumber, AttemptOutcome, Micros, NodeId, QueryId, ShardRequestArrival};

/// Whether a shard request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardRequestStatus {
    /// An answer is expected.
    Pending,
    /// It was answered.
    Answered,
    /// No answer is expected any more.
    Abandoned,
}

/// Why another attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// All earlier attempts have ended.
    Retry,
    /// An earlier attempt is in flight and late.
    Hedge,
}

/// The request of a query to one shard.
#[derive(Clone, Debug)]
pub struct ShardRequest {
    /// The query that it belongs to.
    pub query: QueryId,
    /// Index of the shard.
    pub shard: usize,
    /// Its share of the query's answer.
    pub weight: f64,
    /// The node of each attempt.
    pub attempts: Vec<NodeId>,
    /// How many attempts are in flight.
    pub in_flight: usize,
    /// When the last attempt was sent.
    pub sent_at: Micros,
    /// How long the node of the last attempt had not been heard from by then; absent once that attempt was
    /// found late.
    pub idle_time: Option<Micros>,
    /// When the earliest attempt was sent that may have been executed.
    pub may_have_executed_since: Option<Micros>,
    /// How many attempts are proven not to have been executed.
    pub proven_not_executed: usize,
    /// Whether it has ended.
    pub status: ShardRequestStatus,
}

impl ShardRequest {
    /// A shard request without attempts.
    pub fn new(arrival: &ShardRequestArrival) -> Self {
        ShardRequest {
            query: arrival.query,
            shard: arrival.shard,
            weight: arrival.weight,
            attempts: Vec::new(),
            in_flight: 0,
            sent_at: 0,
            idle_time: None,
            may_have_executed_since: None,
            proven_not_executed: 0,
            status: ShardRequestStatus::Pending,
        }
    }

    /// Whether an answer is expected.
    pub fn is_pending(&self) -> bool {
        self.status == ShardRequestStatus::Pending
    }

    /// Whether it was answered.
    pub fn is_answered(&self) -> bool {
        self.status == ShardRequestStatus::Answered
    }

    /// Whether no answer is expected any more.
    pub fn is_abandoned(&self) -> bool {
        self.status == ShardRequestStatus::Abandoned
    }

    /// Whether all its attempts have ended without an answer.
    pub fn needs_retry(&self) -> bool {
        self.is_idle() && !self.attempts.is_empty()
    }

    /// What another attempt would be.
    pub fn next_repeat(&self) -> Repeat {
        if self.in_flight > 0 { Repeat::Hedge } else { Repeat::Retry }
    }

    /// Whether it waits for an answer without an attempt in flight.
    pub fn is_idle(&self) -> bool {
        self.is_pending() && self.in_flight == 0
    }

    /// Gives up on an answer.
    pub fn abandon(&mut self) {
        self.status = ShardRequestStatus::Abandoned;
    }

    /// Notes an attempt, and returns its number.
    pub fn attempt_sent(&mut self, now: Micros, node: NodeId, idle_time: Micros) -> AttemptNumber {
        self.idle_time = Some(idle_time);
        self.attempts.push(node);
        self.in_flight += 1;
        self.sent_at = now;
        self.may_have_executed_since.get_or_insert(now);
        AttemptNumber(self.attempts.len() - 1)
    }

    /// Notes how an attempt ended.
    pub fn attempt_ended(&mut self, outcome: AttemptOutcome) {
        self.in_flight -= 1;
        if outcome == AttemptOutcome::Succeeded && self.is_pending() {
            self.status = ShardRequestStatus::Answered;
        }
        self.proven_not_executed += outcome.proves_not_executed() as usize;
        if self.proven_not_executed == self.attempts.len() {
            self.may_have_executed_since = None;
        }
    }
}
