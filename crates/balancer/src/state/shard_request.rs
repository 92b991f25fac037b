//! State of a query's request to one shard.

use crate::{
    AttemptNumber, AttemptOutcome, InvalidatedResponse, Micros, NodeId, QueryId, ShardRequestArrival,
};

/// Status of a shard request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardRequestStatus {
    /// Neither answered nor abandoned.
    Pending,
    Answered,
    /// No further attempt is sent and no answer is expected.
    Abandoned,
}

/// Kind of a further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// All earlier attempts have ended without an answer.
    Retry,
    /// A hedged attempt: an earlier one is still in flight.
    Hedge,
}

/// A query's request to one shard.
#[derive(Clone, Debug)]
pub struct ShardRequest {
    pub query: QueryId,
    /// Index of the requested shard.
    pub shard: usize,
    /// Share of the query's answer.
    pub weight: f64,
    /// Node of each attempt, by attempt number.
    pub attempts: Vec<NodeId>,
    /// Number of attempts in flight.
    pub in_flight: usize,
    /// Time at which the last attempt was sent; 0 if there was none.
    pub sent_at: Micros,
    /// Idle time of the last attempt's node when the attempt was sent; `None` before the first attempt and once
    /// the last one has been recorded as late.
    pub idle_time: Option<Micros>,
    /// Lower bound for the time of the earliest attempt that may have been executed; `None` if there is no such
    /// attempt.
    pub may_have_executed_since: Option<Micros>,
    /// Number of attempts that are proven not to have been executed.
    pub proven_not_executed: usize,
    pub status: ShardRequestStatus,
}

impl ShardRequest {
    /// Creates a shard request without attempts.
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

    /// Returns whether the shard request is neither answered nor abandoned.
    pub fn is_pending(&self) -> bool {
        self.status == ShardRequestStatus::Pending
    }

    /// Returns whether the shard request was answered.
    pub fn is_answered(&self) -> bool {
        self.status == ShardRequestStatus::Answered
    }

    /// Returns whether the shard request was abandoned.
    pub fn is_abandoned(&self) -> bool {
        self.status == ShardRequestStatus::Abandoned
    }

    /// Returns whether attempts were made and all of them have ended without an answer.
    pub fn needs_retry(&self) -> bool {
        self.awaits_attempt() && !self.attempts.is_empty()
    }

    /// Returns the kind of the next attempt, given that there was one before.
    pub fn next_repeat(&self) -> Repeat {
        if self.in_flight > 0 { Repeat::Hedge } else { Repeat::Retry }
    }

    /// Returns whether the shard request is pending without an attempt in flight.
    pub fn awaits_attempt(&self) -> bool {
        self.is_pending() && self.in_flight == 0
    }

    /// Marks the shard request as abandoned.
    pub fn abandon(&mut self) {
        self.status = ShardRequestStatus::Abandoned;
    }

    /// Records an attempt, and returns its number.
    pub fn attempt_sent(&mut self, now: Micros, node: NodeId, idle_time: Micros) -> AttemptNumber {
        self.idle_time = Some(idle_time);
        self.attempts.push(node);
        self.in_flight += 1;
        self.sent_at = now;
        self.may_have_executed_since.get_or_insert(now);
        AttemptNumber(self.attempts.len() - 1)
    }

    /// Records the outcome of an attempt.
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

    /// Records that the response to an attempt that has ended is invalidated: it neither answered the shard request nor
    /// proved that the attempt was not executed.
    pub fn response_invalidated(&mut self, invalidated: &InvalidatedResponse) {
        if invalidated.outcome == AttemptOutcome::Succeeded && self.is_answered() {
            self.status = ShardRequestStatus::Pending;
        }
        self.proven_not_executed -= invalidated.outcome.proves_not_executed() as usize;
        let since = self.may_have_executed_since.unwrap_or(invalidated.sent_at);
        self.may_have_executed_since = Some(since.min(invalidated.sent_at));
    }
}
