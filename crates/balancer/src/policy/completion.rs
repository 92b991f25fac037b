//! When a query ends, and with which completion.

use super::*;

impl Balancer {
    /// Returns how long before a deadline a query is answered: the front end acts only once in a decision interval.
    pub(super) fn answer_margin(&self) -> Micros {
        2 * self.deployment.decision_interval + 2_000
    }

    /// Ends the current step of a query once enough shards have answered, once a partial answer is due, or once too few
    /// shards can still answer.
    pub(super) fn complete(&mut self, now: Micros, id: QueryId, actions: &mut dyn Actions) -> StageResult {
        let query = &self.queries[id];
        let shard_requests = query.current_step();
        if shard_requests.is_empty() {
            return StageResult::Wait;
        }
        for &request in shard_requests.iter().filter(|&&request| self.queries[request].is_answered()) {
            self.cancel_attempts(request, actions);
        }
        let (is_second_step, Completeness { required, minimum }) =
            (query.step_start > 0, self.required_completeness(query));
        let progress = self.queries.progress(shard_requests);
        let is_enough = progress.all_answered || (required < 1.0 && progress.answered_weight >= required);
        let is_final = is_enough || !progress.any_pending;
        let is_due = is_final || now >= self.partial_answer_at(query, &progress, required);
        let is_impossible = progress.possible_weight + WEIGHT_TOLERANCE < minimum;
        let completion = if is_enough && (!is_second_step || query.first_step_complete) {
            Completion::Complete
        } else if progress.answered_weight >= minimum && is_due {
            Completion::Partial
        } else if is_impossible && progress.any_abandoned {
            return self.fail_fast(id);
        } else {
            return StageResult::Continue;
        };
        if is_second_step || !self.classes[query.class].second_step {
            return StageResult::Finish(completion);
        }
        self.queries[id].start_second_step(completion == Completion::Complete);
        actions.complete_query(id, completion);
        StageResult::Wait
    }

    /// Returns the completeness that the current step of a query needs. A second step is complete only with all of its
    /// shard requests; its minimum applies only where the class requires more than its minimum.
    fn required_completeness(&self, query: &Query) -> Completeness {
        let class = &self.classes[query.class];
        let (required, minimum) = (class.completeness_required, class.completeness_minimum);
        match query.step_start {
            0 => Completeness { required, minimum: minimum.min(required) },
            _ if required <= minimum => Completeness { required: 1.0, minimum: 1.0 },
            _ => Completeness { required: 1.0, minimum: minimum.min(1.0) },
        }
    }

    /// Returns the time from which a partial answer is given. Deviation: this is the latency objective where a partial
    /// answer then is worth more than a complete one later, otherwise the deadline; in both cases less `answer_margin`.
    fn partial_answer_at(&self, query: &Query, progress: &Progress, required: f64) -> Micros {
        let class = &self.classes[query.class];
        let is_worth_more = class.partial_value * progress.answered_weight / required > class.late_value;
        let due_at = if is_worth_more { query.latency_objective.min(query.deadline) } else { query.deadline };
        due_at - self.answer_margin()
    }

    /// Ends a query without an answer: as rejected if the client may retry it safely, otherwise as failed. A query that
    /// was not admitted is rejected with a retry delay, if one is configured.
    pub(super) fn fail_fast(&self, id: QueryId) -> StageResult {
        let query = &self.queries[id];
        let is_idempotent = self.classes[query.class].idempotency == Idempotency::Idempotent;
        if !is_idempotent && self.queries.may_have_executed(id) {
            return StageResult::Finish(Completion::Failed);
        }
        let retry_after = self.deployment.max_retry_after.filter(|_| query.admitted_at.is_none());
        StageResult::Finish(Completion::Rejected { retry_after })
    }

    /// Ends a query that can no longer be answered in time: by its deadline, or by its latency objective where a late
    /// answer has no value. A query that waits for admission also needs its expected duration until then.
    pub(super) fn expire(&mut self, now: Micros, id: QueryId, _actions: &mut dyn Actions) -> StageResult {
        let query = &self.queries[id];
        let class = &self.classes[query.class];
        let has_late_value = class.late_value > 0.0;
        let answer_by = if has_late_value { query.deadline } else { query.latency_objective };
        let is_out_of_time = match query.admitted_at {
            None => now + class.expected_duration > answer_by - self.answer_margin(),
            Some(_) => !has_late_value && now >= query.latency_objective,
        };
        let is_expired = is_out_of_time || now >= query.deadline - self.answer_margin();
        if is_expired { self.fail_fast(id) } else { StageResult::Continue }
    }
}
