//! Retries, hedged attempts and their budget.

use super::*;

impl Balancer {
    /// Retries the shard requests whose attempts have all ended, and hedges those with a late attempt.
    pub(super) fn retry_and_hedge(
        &mut self, now: Micros, id: QueryId, actions: &mut dyn Actions,
    ) -> StageResult {
        let shard_requests = self.queries[id].current_step().to_vec();
        let mut any_abandoned = self.abandon_beyond_budget(now, &shard_requests);
        if any_abandoned && let StageResult::Finish(completion) = self.complete(now, id, actions) {
            return StageResult::Finish(completion);
        }
        for request in shard_requests {
            any_abandoned |= self.retry_or_hedge(now, request, actions);
        }
        if any_abandoned { self.complete(now, id, actions) } else { StageResult::Continue }
    }

    /// Abandons the shard requests whose retries exceed the retry budget, and returns whether there are any. The client
    /// may retry the query, and by then this router has more measurements of the nodes.
    fn abandon_beyond_budget(&mut self, now: Micros, shard_requests: &[ShardRequestId]) -> bool {
        let needs_retry = |id: &ShardRequestId| self.queries[*id].needs_retry();
        let awaiting_retry: Vec<ShardRequestId> =
            shard_requests.iter().copied().filter(needs_retry).collect();
        if awaiting_retry.is_empty() {
            return false;
        }
        let budget = self.budget_left(now, Repeat::Retry).max(0.0);
        self.queries.abandon(awaiting_retry.iter().skip(budget as usize));
        awaiting_retry.len() as f64 > budget
    }

    /// Sends another attempt if a shard request needs one and may have one. Returns whether the shard request was
    /// abandoned.
    fn retry_or_hedge(&mut self, now: Micros, id: ShardRequestId, actions: &mut dyn Actions) -> bool {
        let request = &self.queries[id];
        let Some(&last_node) = request.attempts.last().filter(|_| request.is_pending()) else { return false };
        let class = self.queries.query_of(id).class;
        let repeat = request.next_repeat();
        let is_late = now - request.sent_at > self.late_after(class, last_node)
            || self.nodes[last_node].class_health(class).ejected_until > now;
        let is_hedge = repeat == Repeat::Hedge;
        let late_idle_time = if is_hedge && is_late { self.queries[id].idle_time.take() } else { None };
        if let Some(idle_time) = late_idle_time {
            self.record_idle_time(now, true, idle_time);
        }
        if is_hedge && !(is_late && self.may_hedge(id, class)) {
            return false;
        }
        if !self.may_repeat(now, id, repeat) {
            if !is_hedge {
                self.queries[id].abandon();
            }
            return !is_hedge;
        }
        if self.budget_left(now, repeat) >= 1.0
            && let Some(choice) = self.pick(now, &[id], &Plan::default(), LimitCheck::Ignored)
            && self.is_acceptable(id, repeat, choice)
        {
            self.retries.push(now, 1.0);
            self.start_attempt(now, Assignment { shard_request: id, node: choice.node }, actions);
        }
        false
    }

    /// Returns whether a hedged attempt may be sent. While latencies are high it would add to an overload.
    fn may_hedge(&self, id: ShardRequestId, class: usize) -> bool {
        let objective = self.classes[class].latency_objective;
        let is_overloaded = self.statistics.median_latency().is_some_and(|median| 4 * median > objective);
        self.queries[id].in_flight < 2 && self.deployment.hedging && !is_overloaded
    }

    /// Returns whether another attempt is permitted and can be answered in time.
    fn may_repeat(&self, now: Micros, id: ShardRequestId, repeat: Repeat) -> bool {
        let (request, query) = (&self.queries[id], self.queries.query_of(id));
        let useful_until = if repeat == Repeat::Hedge { query.latency_objective } else { query.deadline };
        request.attempts.len() < self.deployment.max_attempts
            && now + self.statistics.median_latency().unwrap_or(0) < useful_until
            && self.may_execute_again(now, id, repeat)
    }

    /// Returns whether another attempt is permitted by the idempotency of the service class. If no attempt can have
    /// been executed, a retry is permitted in any class.
    fn may_execute_again(&self, now: Micros, id: ShardRequestId, repeat: Repeat) -> bool {
        let class = &self.classes[self.queries.query_of(id).class];
        let Some(sent_at) = self.queries[id].may_have_executed_since else { return repeat == Repeat::Retry };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => now < sent_at + class.idempotency_window - self.answer_margin(),
            Idempotency::NonIdempotent => false,
        }
    }

    /// Returns whether a node suits an attempt: any usable node for a retry, and a healthy node that had no attempt yet
    /// for a hedged attempt.
    fn is_acceptable(&self, id: ShardRequestId, repeat: Repeat, choice: Choice) -> bool {
        let is_new_node = !self.queries[id].attempts.contains(&choice.node);
        repeat == Repeat::Retry && choice.is_usable()
            || choice.preference >= Preference::Healthy && is_new_node
    }

    /// Returns how many more retries, or hedged attempts, the retry budget allows. Hedged attempts may use at most half
    /// of the budget, and no more than four plus a tenth of the recent arrivals.
    pub(super) fn budget_left(&self, now: Micros, repeat: Repeat) -> f64 {
        let (is_hedge, arrivals) = (repeat == Repeat::Hedge, &self.admission.arrivals);
        let configured = self.deployment.retry_budget.map_or(f64::INFINITY, |budget| {
            let allowed = budget.min_retries + budget.retry_share * arrivals.sum(now - budget.window + 1);
            let allowed = if is_hedge { allowed / 2.0 } else { allowed };
            allowed.floor() - self.retries.sum(now - budget.window)
        });
        let from = now - RECENT_WINDOW / 2;
        let hedge_limit = || 4.0 + 0.1 * arrivals.sum(from) - self.retries.sum(from);
        if is_hedge { configured.min(hedge_limit()) } else { configured }
    }
}
