//! Which queries start now, which wait, and how fast new ones start while attempts are rejected.

use super::*;

impl Balancer {
    /// Adds a query that has arrived to those that wait for admission.
    pub(crate) fn enqueue(&mut self, now: Micros, arrival: &QueryArrival) {
        let latency_objective = self.latency_objective_of(now, arrival).min(arrival.deadline);
        let mut query = Query::new(arrival, latency_objective);
        query.queue_rank = self.exceeds_quota(now, arrival.tenant) as u8;
        self.queries.insert(arrival.query, query);
    }

    /// Deviation: a client's last try lasts for the rest of its deadline, which shows how much has passed.
    fn latency_objective_of(&mut self, now: Micros, arrival: &QueryArrival) -> Micros {
        let class = &mut self.classes[arrival.class];
        let left = (arrival.deadline - now) as f64;
        let common = class.query_timeouts.quantile(0.5, now - RECENT).unwrap_or(left);
        class.query_timeouts.push(now, left);
        let is_uncommon = (left - common).abs() > 4.0 * self.deployment.decision_interval as f64;
        let passed = if is_uncommon { (class.deadline as f64 - left).max(0.0) } else { 0.0 };
        let stretch = class.latency_objective_stretch * arrival.work as f64;
        now + (class.latency_objective as f64 + stretch - passed) as Micros
    }

    /// Counts a query of a tenant; returns whether it exceeds this router's share of the quota.
    fn exceeds_quota(&mut self, now: Micros, tenant: usize) -> bool {
        let usage = self.admission.count_query(now, tenant, &self.settings.tenants, &RETAINED);
        let share = usage.quota_per_second / self.deployment.routers;
        usage.arrivals.sum(now - RECENT / 3) > share * (RECENT / 3) as f64 / 1e6
    }

    /// Admitted queries by arrival, then those that wait: first what can meet its objective, by value.
    pub(super) fn decision_order(&self, now: Micros) -> Vec<QueryId> {
        let mut order = self.queries.open().to_vec();
        order.sort_by_key(|&id| {
            let query = &self.queries[id];
            if query.admitted_at.is_some() {
                return None;
            }
            let class = &self.classes[query.class];
            let is_late = now + class.expected_duration > query.latency_objective;
            let shares = if self.deployment.priority_by_work { 1 } else { query.shard_requests.len().max(1) };
            let value = 1e3 * class.priority_weight / shares as f64;
            Some((query.queue_rank + is_late as u8, Reverse(value as i64)))
        });
        order
    }

    /// Sends the shard requests for which nodes have capacity. A new query starts with all of them or waits.
    pub(super) fn admit(&mut self, now: Micros, id: QueryId, actions: &mut dyn Actions) -> Step {
        let query = &self.queries[id];
        let (is_new, size) = (query.admitted_at.is_none(), query.shard_requests.len());
        let is_known_poison =
            || self.admission.is_poison_query(self.queries.fingerprint(id), now - CRASH_MEMORY);
        if is_new && query.is_retry && is_known_poison() {
            return self.fail_fast(id);
        }
        if is_new && size > self.deployment.max_batch && now < self.admission.paced_until {
            return Step::Wait;
        }
        self.abandon_surplus(now, id);
        let not_attempted = self.queries.not_attempted(id);
        let mut plan = self.plan(now, &not_attempted);
        if is_new {
            if plan.assignments.len() < not_attempted.len() && !self.reaches_minimum(id, &plan) {
                self.reserve(now, not_attempted, plan);
                return Step::Wait;
            }
            // Deviation: while nodes crash, the first batch goes ahead of the rest; see `wait_for_canary`.
            if self.admission.canary_mode {
                plan.retain_first_node();
            }
            self.admission.paced_until = now + self.pacing_delay(now, size);
            self.queries[id].admit(now, self.admission.canary_mode);
        }
        for assignment in plan.assignments {
            self.attempt(now, assignment, actions);
        }
        Step::Continue
    }

    /// Deviation: a query may start with what its minimum requires; the rest follows once there is capacity.
    fn reaches_minimum(&self, id: QueryId, plan: &Plan) -> bool {
        let minimum = self.classes[self.queries[id].class].completeness_minimum;
        let weight = |assignment: &Assignment| self.queries[assignment.shard_request].weight;
        minimum < 1.0 && plan.assignments.iter().map(weight).sum::<f64>() >= minimum
    }

    /// Reserves places for what has no node, so that smaller queries do not overtake a waiting one for ever.
    fn reserve(&mut self, now: Micros, mut not_attempted: Vec<ShardRequestId>, plan: Plan) {
        plan.retain_unassigned(&mut not_attempted);
        let pick = |&id| self.pick(now, &[id], &Plan::default(), LimitCheck::Ignored);
        let choices: Vec<Choice> = not_attempted.iter().filter_map(pick).filter(Choice::is_usable).collect();
        self.admission.reserve(&choices);
    }

    /// Deviation: half of what the minimum spares is abandoned where nodes reject attempts. Guards against
    /// queries that need only some answers and take capacity of an overloaded replica set from others.
    pub(super) fn abandon_surplus(&mut self, now: Micros, id: QueryId) {
        let query = &self.queries[id];
        let class = &self.classes[query.class];
        let (minimum, required) = (class.completeness_minimum, class.completeness_required);
        if minimum >= required {
            return;
        }
        let shard_requests = query.current_step().to_vec();
        let kept = (minimum + required) / 2.0;
        let mut possible = self.queries.progress(&shard_requests).possible_weight;
        for id in shard_requests {
            let request = &self.queries[id];
            let is_rejecting = |&node: &NodeId| self.nodes[node].has_rejected_since(now - RECENT);
            let is_partial = possible + WEIGHT_ROUNDING < required;
            let was_rejected = || is_partial && request.attempts.last().is_some_and(is_rejecting);
            let all_reject = || self.shards.replicas(request.shard).iter().all(is_rejecting);
            let is_surplus = request.is_idle() && possible - request.weight >= kept;
            if is_surplus && (was_rejected() || all_reject()) {
                possible -= request.weight;
                self.queries[id].abandon();
            }
        }
    }

    /// How long the next query of several batches waits after one of `size` shard requests. Guards against
    /// routers that learn too little of each node: they slow down by the rejections of all nodes together.
    fn pacing_delay(&self, now: Micros, size: usize) -> Micros {
        let (from, rejections) = (now - RECENT / 2, &self.admission.rejections);
        let factor = rejections.sum(from) / rejections.count(from).max(16) as f64 / MAX_REJECTION_SHARE;
        if factor <= 1.0 {
            return 0;
        }
        let arrival_rate = self.admission.arrivals.sum(from) / (RECENT / 2) as f64;
        (size as f64 * factor.min(MAX_PACING_FACTOR) / arrival_rate) as Micros
    }

    /// Decides whether so many nodes crashed recently that a canary attempt goes ahead of each query.
    pub(super) fn update_canary_mode(&mut self, now: Micros, actions: &mut dyn Actions) {
        let crashes = self.admission.crashes.count(now - CRASH_MEMORY);
        let canaries = crashes >= CANARY_CRASHES;
        if std::mem::replace(&mut self.admission.canary_mode, canaries) != canaries {
            let mode = if canaries { "enabled" } else { "disabled" };
            actions.log(&format!("{crashes} or more nodes crashed recently, canary attempts {mode}"));
        }
    }

    /// Guards against a query that crashes each node that begins it. Until something of it is answered, other
    /// attempts wait; it ends once several nodes crashed under it and nothing is in flight.
    pub(super) fn wait_for_canary(&mut self, now: Micros, id: QueryId, _actions: &mut dyn Actions) -> Step {
        let query = &self.queries[id];
        if query.has_answer || !query.has_canary && query.crashed_nodes.is_empty() {
            return Step::Continue;
        }
        let in_flight = self.queries.in_flight(id);
        // The time allowed goes by the zone of node 0, whichever nodes were used.
        let is_late = || now - in_flight.last_sent_at > self.late_after(query.class, NodeId(0));
        if in_flight.attempts > 0 && !is_late() {
            return Step::Wait;
        }
        if in_flight.attempts > 0 || query.crashed_nodes.len() < 2 {
            return Step::Continue;
        }
        let fingerprint = self.queries.fingerprint(id);
        self.admission.record_poison_query(now, fingerprint, now - CRASH_MEMORY);
        self.fail_fast(id)
    }
}
