//! When a query ends, and with which completion.

use super::*;

impl Balancer {
    /// Answers are given this long before a deadline, since the front end acts once in a decision interval.
    pub(super) fn answer_margin(&self) -> Micros {
        2 * self.deployment.decision_interval + 2_000
    }

    /// Ends a query once enough shards have answered, or once that has become impossible.
    pub(super) fn complete(&mut self, now: Micros, id: QueryId, actions: &mut dyn Actions) -> Step {
        let query = &self.queries[id];
        let shard_requests = query.current_step();
        if shard_requests.is_empty() {
            return Step::Wait;
        }
        for &request in shard_requests.iter().filter(|&&request| self.queries[request].is_answered()) {
            self.cancel_attempts(request, actions);
        }
        let (is_second_step, Completeness { required, minimum }) = (query.step_start > 0, self.needs(query));
        let progress = self.queries.progress(shard_requests);
        let is_enough = progress.all_answered || (required < 1.0 && progress.answered_weight >= required);
        let is_final = is_enough || !progress.any_pending;
        let is_due = is_final || now >= self.partial_answer_at(query, &progress, required);
        let is_impossible = progress.possible_weight + WEIGHT_ROUNDING < minimum;
        let completion = if is_enough && (!is_second_step || query.first_step_complete) {
            Completion::Complete
        } else if progress.answered_weight >= minimum && is_due {
            Completion::Partial
        } else if is_impossible && progress.any_abandoned {
            return self.fail_fast(id);
        } else {
            return Step::Continue;
        };
        if is_second_step || !self.classes[query.class].second_step {
            return Step::Finish(completion);
        }
        self.queries[id].start_second_step(completion == Completion::Complete);
        actions.complete_query(id, completion);
        Step::Wait
    }

    /// What the present step of a query needs: a second step needs everything that no minimum spares.
    fn needs(&self, query: &Query) -> Completeness {
        let class = &self.classes[query.class];
        let (required, minimum) = (class.completeness_required, class.completeness_minimum);
        match query.step_start {
            0 => Completeness { required, minimum: minimum.min(required) },
            _ if required <= minimum => Completeness { required: 1.0, minimum: 1.0 },
            _ => Completeness { required: 1.0, minimum: minimum.min(1.0) },
        }
    }

    /// Deviation: a partial answer at the latency objective may be worth more than a complete one later.
    fn partial_answer_at(&self, query: &Query, progress: &Progress, required: f64) -> Micros {
        let class = &self.classes[query.class];
        let is_worth_more = class.partial_value * progress.answered_weight / required > class.late_value;
        let latest = if is_worth_more { query.latency_objective.min(query.deadline) } else { query.deadline };
        latest - self.answer_margin()
    }

    /// Ends a query without an answer: rejected if a retry is harmless, with advice if nothing was sent.
    pub(super) fn fail_fast(&self, id: QueryId) -> Step {
        let query = &self.queries[id];
        let is_idempotent = self.classes[query.class].idempotency == Idempotency::Idempotent;
        if !is_idempotent && self.queries.may_have_executed(id) {
            return Step::Finish(Completion::Failed);
        }
        let retry_after = self.deployment.max_retry_after.filter(|_| query.admitted_at.is_none());
        Step::Finish(Completion::Rejected { retry_after })
    }

    /// Ends a query that waits and can no longer be answered in time, or whose answer would be worth nothing.
    pub(super) fn expire(&mut self, now: Micros, id: QueryId, _actions: &mut dyn Actions) -> Step {
        let query = &self.queries[id];
        let class = &self.classes[query.class];
        let pays_late = class.late_value > 0.0;
        let end = if pays_late { query.deadline } else { query.latency_objective };
        let is_over = match query.admitted_at {
            None => now + class.expected_duration > end - self.answer_margin(),
            Some(_) => !pays_late && now >= query.latency_objective,
        };
        let is_too_late = is_over || now >= query.deadline - self.answer_margin();
        if is_too_late { self.fail_fast(id) } else { Step::Continue }
    }
}
