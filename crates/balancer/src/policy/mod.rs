//! The decisions of the query router; all of them are here, as are all tuned values.
//!
//! In a decision every open query runs through `STAGES`, each of which passes it on, keeps it for the next
//! decision or ends it. "Deviation" marks what differs from the original design (`docs/design.md`).

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
    Actions, AttemptEnd, AttemptOutcome, Balancer, Completion, EndpointHealth, Idempotency, LoadReport,
    Micros, NodeId, QueryArrival, QueryId, ShardRequestId,
};
use std::cmp::Reverse;

/// How long a sample counts as recent.
const RECENT: Micros = 10_000_000;
/// The concurrency limit of a node at first, and its maximum.
pub(crate) const MAX_CONCURRENCY_LIMIT: f64 = 8.0;
/// The share of attempts rejected up to which queries are admitted without pacing, and the strongest pacing.
const MAX_REJECTION_SHARE: f64 = 0.02;
const MAX_PACING_FACTOR: f64 = 10.0;
/// How long a crash is remembered, and how many crashes in that time make canary attempts necessary.
const CRASH_MEMORY: Micros = 30_000_000;
const CANARY_CRASHES: usize = 3;
/// The error that rounding may leave in a sum of weights.
const WEIGHT_ROUNDING: f64 = 1e-5;
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
    crashes: CANARY_CRASHES,
    class_durations: 32,
    class_query_timeouts: 64,
};

/// What a stage does with a query.
enum Step {
    Continue,
    Wait,
    Finish(Completion),
}

type Stage = fn(&mut Balancer, Micros, QueryId, &mut dyn Actions) -> Step;

impl Balancer {
    /// The stages in their order.
    const STAGES: [Stage; 5] =
        [Self::complete, Self::expire, Self::wait_for_canary, Self::admit, Self::retry_and_hedge];

    /// Takes all decisions of this instant.
    pub(crate) fn decide_all(&mut self, now: Micros, actions: &mut dyn Actions) {
        self.update_canary_mode(now, actions);
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
                Step::Continue => {}
                Step::Wait => return,
                Step::Finish(completion) => return self.finish(now, id, completion, actions),
            }
        }
    }
}
