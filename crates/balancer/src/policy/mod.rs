//! The decisions of the query router. This module contains all of them, and all tuned values.
//!
//! In each decision every open query runs through `STAGES`. A stage passes the query on, keeps it for the next
//! decision or ends it. "Deviation" marks code that differs from the original design (`docs/design.md`).

mod admission;
mod completion;
mod discovery;
mod health;
mod retries;
mod selection;
mod slow_start;
#[cfg(test)]
mod tests;

use crate::state::{
    Assignment, Candidate, Choice, Completeness, InFlightAttempt, LateAttempt, LimitCheck, Observation, Plan,
    Preference, Progress, Query, Repeat, SamplesRetained, SlowStart, WarmUpReason,
};
use crate::{
    Actions, AttemptEnd, AttemptOutcome, Balancer, Completion, EndpointHealth, Idempotency,
    InvalidatedResponse, LoadReport, Micros, NodeId, QueryArrival, QueryId, ShardRequestId,
};
use std::cmp::Reverse;

/// The age up to which a sample counts as recent.
const RECENT_WINDOW: Micros = 10_000_000;
/// The initial and the largest concurrency limit of a node, in shard requests of this router.
pub(crate) const MAX_CONCURRENCY_LIMIT: f64 = 8.0;
/// The share of rejected attempts up to which queries are admitted without pacing.
const MAX_UNPACED_REJECTION_SHARE: f64 = 0.02;
/// The largest factor by which pacing extends the interval between queries; see `pacing_delay`.
const MAX_PACING_FACTOR: f64 = 10.0;
/// The age up to which node crashes, poison queries and samples of idle times count.
const CRASH_WINDOW: Micros = 30_000_000;
/// The number of node crashes within `CRASH_WINDOW` from which queries start with a canary attempt.
const CANARY_CRASH_THRESHOLD: usize = 3;
/// The rounding error that is tolerated in a sum of weights.
const WEIGHT_TOLERANCE: f64 = 1e-5;
/// How many samples of each measurement are kept.
pub(crate) const RETAINED: SamplesRetained = SamplesRetained {
    latencies: 128,
    zone_latencies: 64,
    node_latencies: 16,
    node_failures: 64,
    node_sends: 1 << 10,
    sends: 1 << 12,
    idle_times: 64,
    arrivals: 1 << 16,
    tenant_arrivals: 64,
    rejections: 128,
    crashes: CANARY_CRASH_THRESHOLD,
    class_durations: 32,
    class_query_timeouts: 64,
};

/// The result of a stage for a query.
enum StageResult {
    /// The next stage follows.
    Continue,
    /// The query stays open until the next decision.
    Wait,
    /// The query ends with this completion.
    Finish(Completion),
}

type Stage = fn(&mut Balancer, Micros, QueryId, &mut dyn Actions) -> StageResult;

impl Balancer {
    /// The stages in the order in which they run.
    const STAGES: [Stage; 6] = [
        Self::complete,
        Self::expire,
        Self::wait_for_endpoint_list,
        Self::wait_for_canary,
        Self::admit,
        Self::retry_and_hedge,
    ];

    /// Runs each open query through the stages, then releases unused identifiers and schedules the next
    /// decision.
    pub(crate) fn decide_all(&mut self, now: Micros, actions: &mut dyn Actions) {
        self.update_canary_mode(now, actions);
        self.end_endpoint_list_wait(now, actions);
        self.now = now;
        self.refresh_statistics(now);
        self.admission.reservations.fill(0);
        for id in self.decision_order(now) {
            self.run_stages(now, id, actions);
        }
        self.release_unused(actions);
        self.schedule(now, actions);
    }

    fn run_stages(&mut self, now: Micros, id: QueryId, actions: &mut dyn Actions) {
        for stage in Self::STAGES {
            match stage(self, now, id, actions) {
                StageResult::Continue => {}
                StageResult::Wait => return,
                StageResult::Finish(completion) => return self.finish(now, id, completion, actions),
            }
        }
    }
}
