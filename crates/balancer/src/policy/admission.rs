//! Admission: which queries start now and which wait, pacing while attempts are rejected, and canary attempts.

use super::*;

impl Balancer {
    /// Adds a query that has arrived to the queries that wait for admission.
    pub(crate) fn enqueue(&mut self, now: Micros, arrival: &QueryArrival) {
        let latency_objective = self.latency_objective_of(now, arrival).min(arrival.deadline);
        let mut query = Query::new(arrival, latency_objective);
        query.queue_rank = self.exceeds_quota(now, arrival.tenant) as u8;
        self.queries.insert(arrival.query, query);
    }

    /// Returns the time by which a query should be answered. Deviation: a client's last retry has the remainder of the
    /// client's deadline as its timeout, which differs from the usual timeout and shows how much time has passed.
    fn latency_objective_of(&mut self, now: Micros, arrival: &QueryArrival) -> Micros {
        let class = &mut self.classes[arrival.class];
        let timeout = (arrival.deadline - now) as f64;
        let typical_timeout = class.query_timeouts.quantile(0.5, now - RECENT_WINDOW).unwrap_or(timeout);
        class.query_timeouts.push(now, timeout);
        let is_last_retry =
            (timeout - typical_timeout).abs() > 4.0 * self.deployment.decision_interval as f64;
        let elapsed = if is_last_retry { (class.deadline as f64 - timeout).max(0.0) } else { 0.0 };
        let stretch = class.latency_objective_stretch * arrival.work as f64;
        now + (class.latency_objective as f64 + stretch - elapsed) as Micros
    }

    /// Counts a query of a tenant, and returns whether it exceeds this router's share of the tenant's quota.
    fn exceeds_quota(&mut self, now: Micros, tenant: usize) -> bool {
        let usage = self.admission.count_query(now, tenant, &self.settings.tenants, &RETAINED);
        let share = usage.quota_per_second / self.deployment.routers;
        usage.arrivals.sum(now - RECENT_WINDOW / 3) > share * (RECENT_WINDOW / 3) as f64 / 1e6
    }

    /// Returns the open queries in the order of the decision: admitted ones by arrival, then waiting ones. Of these,
    /// queries within their tenant's quota that can meet their latency objective come first; among equals the priority
    /// weight decides, by query or by shard request as configured.
    pub(super) fn decision_order(&self, now: Micros) -> Vec<QueryId> {
        let mut order = self.queries.open().to_vec();
        order.sort_by_key(|&id| {
            let query = &self.queries[id];
            if query.admitted_at.is_some() {
                return None;
            }
            let class = &self.classes[query.class];
            let would_be_late = now + class.expected_duration > query.latency_objective;
            let cost = if self.deployment.priority_by_work { 1 } else { query.shard_requests.len().max(1) };
            let value = 1e3 * class.priority_weight / cost as f64;
            Some((query.queue_rank + would_be_late as u8, Reverse(value as i64)))
        });
        order
    }

    /// Sends the shard requests for which nodes have capacity. A query that is not admitted yet starts with all of its
    /// shard requests, or with as many as its minimum requires; otherwise it waits.
    pub(super) fn admit(&mut self, now: Micros, id: QueryId, actions: &mut dyn Actions) -> StageResult {
        let query = &self.queries[id];
        let (is_new, size) = (query.admitted_at.is_none(), query.shard_requests.len());
        let is_known_poison =
            || self.admission.is_poison_query(self.queries.fingerprint(id), now - CRASH_WINDOW);
        if is_new && query.is_retry && is_known_poison() {
            return self.fail_fast(id);
        }
        if is_new && size > self.deployment.max_batch && now < self.admission.paced_until {
            return StageResult::Wait;
        }
        self.abandon_surplus(now, id);
        let not_attempted = self.queries.not_attempted(id);
        let mut plan = self.plan(now, &not_attempted);
        if is_new {
            if plan.assignments.len() < not_attempted.len() && !self.reaches_minimum(id, &plan) {
                self.reserve(now, not_attempted, plan);
                return StageResult::Wait;
            }
            // Deviation: while nodes crash, the first batch is sent ahead of the rest; see `wait_for_canary`.
            if self.admission.canary_mode {
                plan.retain_first_node();
            }
            self.admission.paced_until = now + self.pacing_delay(now, size);
            self.queries[id].admit(now, self.admission.canary_mode);
        }
        for assignment in plan.assignments {
            self.start_attempt(now, assignment, actions);
        }
        StageResult::Continue
    }

    /// Returns whether a plan reaches the minimum completeness of a query. Deviation: a query may start with what its
    /// minimum requires; the rest follows once there is capacity.
    fn reaches_minimum(&self, id: QueryId, plan: &Plan) -> bool {
        let minimum = self.classes[self.queries[id].class].completeness_minimum;
        let weight = |assignment: &Assignment| self.queries[assignment.shard_request].weight;
        minimum < 1.0 && plan.assignments.iter().map(weight).sum::<f64>() >= minimum
    }

    /// Reserves capacity for the shard requests without a node, so that smaller queries do not starve a large one that
    /// waits.
    fn reserve(&mut self, now: Micros, mut not_attempted: Vec<ShardRequestId>, plan: Plan) {
        plan.retain_unassigned(&mut not_attempted);
        let pick = |&id| self.pick(now, &[id], &Plan::default(), LimitCheck::Ignored);
        let choices: Vec<Choice> = not_attempted.iter().filter_map(pick).filter(Choice::is_usable).collect();
        self.admission.reserve(&choices);
    }

    /// Deviation: where nodes reject attempts, abandons shard requests while the remaining weight is at least halfway
    /// between the minimum and the required completeness. Otherwise queries that need only some answers would take
    /// capacity of an overloaded replica set from others.
    pub(super) fn abandon_surplus(&mut self, now: Micros, id: QueryId) {
        let query = &self.queries[id];
        let class = &self.classes[query.class];
        let (minimum, required) = (class.completeness_minimum, class.completeness_required);
        if minimum >= required {
            return;
        }
        let shard_requests = query.current_step().to_vec();
        let min_kept_weight = (minimum + required) / 2.0;
        let mut possible_weight = self.queries.progress(&shard_requests).possible_weight;
        for request_id in shard_requests {
            let request = &self.queries[request_id];
            let is_rejecting = |&node: &NodeId| self.nodes[node].has_rejected_since(now - RECENT_WINDOW);
            let is_partial = possible_weight + WEIGHT_TOLERANCE < required;
            let was_rejected = || is_partial && request.attempts.last().is_some_and(is_rejecting);
            let all_replicas_reject = || self.shards.replicas(request.shard).iter().all(is_rejecting);
            let is_surplus = request.awaits_attempt() && possible_weight - request.weight >= min_kept_weight;
            if is_surplus && (was_rejected() || all_replicas_reject()) {
                possible_weight -= request.weight;
                self.queries[request_id].abandon();
            }
        }
    }

    /// Returns how long the next query of more than one batch waits after a query of `size` shard requests. A router
    /// may have too few samples of each node, so pacing goes by the rejections of all nodes together.
    fn pacing_delay(&self, now: Micros, size: usize) -> Micros {
        let (from, rejections) = (now - RECENT_WINDOW / 2, &self.admission.rejections);
        let factor =
            rejections.sum(from) / rejections.count(from).max(16) as f64 / MAX_UNPACED_REJECTION_SHARE;
        if factor <= 1.0 {
            return 0;
        }
        let arrival_rate = self.admission.arrivals.sum(from) / (RECENT_WINDOW / 2) as f64;
        (size as f64 * factor.min(MAX_PACING_FACTOR) / arrival_rate) as Micros
    }

    /// Enables canary attempts while there are at least `CANARY_CRASH_THRESHOLD` recent node crashes, and logs changes.
    pub(super) fn update_canary_mode(&mut self, now: Micros, actions: &mut dyn Actions) {
        let crashes = self.admission.crashes.count(now - CRASH_WINDOW);
        let is_enabled = crashes >= CANARY_CRASH_THRESHOLD;
        if std::mem::replace(&mut self.admission.canary_mode, is_enabled) != is_enabled {
            let mode = if is_enabled { "enabled" } else { "disabled" };
            actions.log(&format!(
                "canary attempts {mode}; recent node crashes: {crashes} \
                 (counted up to {CANARY_CRASH_THRESHOLD})"
            ));
        }
    }

    /// Contains a poison query, which crashes each node that executes it. After a canary attempt or a crash, further
    /// attempts wait for the first answer, or until the last attempt is late. Without an answer the query ends once two
    /// nodes have crashed during it and no attempt is in flight.
    pub(super) fn wait_for_canary(
        &mut self, now: Micros, id: QueryId, _actions: &mut dyn Actions,
    ) -> StageResult {
        let query = &self.queries[id];
        if query.has_answer || !query.has_canary && query.crashed_nodes.is_empty() {
            return StageResult::Continue;
        }
        let in_flight = self.queries.in_flight(id);
        // The latency above which an attempt is late is that of node 0 in its zone, whichever nodes were used.
        let is_late = || now - in_flight.last_sent_at > self.late_after(query.class, NodeId(0));
        if in_flight.attempts > 0 && !is_late() {
            return StageResult::Wait;
        }
        if in_flight.attempts > 0 || query.crashed_nodes.len() < 2 {
            return StageResult::Continue;
        }
        let fingerprint = self.queries.fingerprint(id);
        self.admission.record_poison_query(now, fingerprint, now - CRASH_WINDOW);
        self.fail_fast(id)
    }
}
