//! Retries, hedged attempts and their budget.

use super::*;

impl Balancer {
    /// Sends another attempt where all have ended, and a hedged one where an attempt is late.
    pub(super) fn retry_and_hedge(&mut self, now: Micros, id: QueryId, actions: &mut dyn Actions) -> Step {
        let shard_requests = self.queries[id].current_step().to_vec();
        let mut any_abandoned = self.abandon_beyond_budget(now, &shard_requests);
        if any_abandoned && let Step::Finish(completion) = self.complete(now, id, actions) {
            return Step::Finish(completion);
        }
        for request in shard_requests {
            any_abandoned |= self.pursue(now, request, actions);
        }
        if any_abandoned { self.complete(now, id, actions) } else { Step::Continue }
    }

    /// Abandons retries beyond the budget, if any: the client's next try finds the nodes known.
    fn abandon_beyond_budget(&mut self, now: Micros, shard_requests: &[ShardRequestId]) -> bool {
        let needs_retry = |id: &ShardRequestId| self.queries[*id].needs_retry();
        let ended: Vec<ShardRequestId> = shard_requests.iter().copied().filter(needs_retry).collect();
        if ended.is_empty() {
            return false;
        }
        let budget = self.budget_left(now, Repeat::Retry).max(0.0);
        self.queries.abandon(ended.iter().skip(budget as usize));
        ended.len() as f64 > budget
    }

    /// Sends another attempt if a shard request needs one and may have one. Returns whether it was abandoned.
    fn pursue(&mut self, now: Micros, id: ShardRequestId, actions: &mut dyn Actions) -> bool {
        let request = &self.queries[id];
        let Some(&last_node) = request.attempts.last().filter(|_| request.is_pending()) else { return false };
        let class = self.queries.query_of(id).class;
        let repeat = request.next_repeat();
        let is_late = now - request.sent_at > self.late_after(class, last_node)
            || self.nodes[last_node].class_health(class).ejected_until > now;
        let is_hedge = repeat == Repeat::Hedge;
        let new_idle = if is_hedge && is_late { self.queries[id].idle_time.take() } else { None };
        if let Some(idle) = new_idle {
            self.observe_idle(now, true, idle);
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
            && self.is_good_enough(id, repeat, choice)
        {
            self.retries.push(now, 1.0);
            self.attempt(now, Assignment { shard_request: id, node: choice.node }, actions);
        }
        false
    }

    /// Whether a second attempt may run beside the first; while latencies are long it would add to overload.
    fn may_hedge(&self, id: ShardRequestId, class: usize) -> bool {
        let objective = self.classes[class].latency_objective;
        let is_overloaded = self.statistics.median_latency().is_some_and(|median| 4 * median > objective);
        self.queries[id].in_flight < 2 && self.deployment.hedging && !is_overloaded
    }

    /// Whether another attempt can be in time and does no harm.
    fn may_repeat(&self, now: Micros, id: ShardRequestId, repeat: Repeat) -> bool {
        let (request, query) = (&self.queries[id], self.queries.query_of(id));
        let wanted_by = if repeat == Repeat::Hedge { query.latency_objective } else { query.deadline };
        request.attempts.len() < self.deployment.max_attempts
            && now + self.statistics.median_latency().unwrap_or(0) < wanted_by
            && self.may_run_again(now, id, repeat)
    }

    /// Proof that nothing was executed permits a retry in any class; without it the class decides.
    fn may_run_again(&self, now: Micros, id: ShardRequestId, repeat: Repeat) -> bool {
        let class = &self.classes[self.queries.query_of(id).class];
        let Some(first) = self.queries[id].may_have_executed_since else { return repeat == Repeat::Retry };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => now < first + class.idempotency_window - self.answer_margin(),
            Idempotency::NonIdempotent => false,
        }
    }

    /// A retry takes any usable node; a hedged attempt takes a healthy one that had no attempt yet.
    fn is_good_enough(&self, id: ShardRequestId, repeat: Repeat, choice: Choice) -> bool {
        let is_new_node = !self.queries[id].attempts.contains(&choice.node);
        repeat == Repeat::Retry && choice.is_usable()
            || choice.preference >= Preference::Healthy && is_new_node
    }

    /// How many more attempts the budget allows; hedged ones keep to half of it and a tenth of what arrived.
    pub(super) fn budget_left(&self, now: Micros, repeat: Repeat) -> f64 {
        let (is_hedge, arrivals) = (repeat == Repeat::Hedge, &self.admission.arrivals);
        let stated = self.deployment.retry_budget.map_or(f64::INFINITY, |budget| {
            let allowed = budget.min_retries + budget.retry_share * arrivals.sum(now - budget.window + 1);
            let allowed = if is_hedge { allowed / 2.0 } else { allowed };
            allowed.floor() - self.retries.sum(now - budget.window)
        });
        let from = now - RECENT / 2;
        let own = || 4.0 + 0.1 * arrivals.sum(from) - self.retries.sum(from);
        if is_hedge { stated.min(own()) } else { stated }
    }
}
