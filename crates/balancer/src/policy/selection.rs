//! Which node gets a shard request: preference, concurrency limits, slow start and zones.

use super::*;

impl Balancer {
    /// Assigns shard requests to nodes, by batches that they can share; those without a node are left out.
    pub(super) fn plan(&self, now: Micros, shard_requests: &[ShardRequestId]) -> Plan {
        let (mut left, mut plan) = (shard_requests.to_vec(), Plan::default());
        let class = shard_requests.first().map_or(0, |&id| self.queries.query_of(id).class);
        while !left.is_empty() {
            let choice = self.pick(now, &left, &plan, LimitCheck::Enforced);
            let Some(Choice { node, .. }) = choice.filter(Choice::is_usable) else {
                left.remove(0);
                continue;
            };
            let planned = plan.count_at(node);
            let capacity = self.deployment.max_batch.min(self.capacity(node, planned, class));
            let capacity = self.cold_batch_limit(now, node, planned, class, capacity);
            let held = left.iter().copied().filter(|&id| self.holds(node, id));
            let batch: Vec<ShardRequestId> = held.take(capacity).collect();
            left.retain(|id| !batch.contains(id));
            plan.assign(batch, node);
        }
        plan
    }

    /// The node for the first of `left`: by preference, by the size of its batch, then least recently used.
    pub(super) fn pick(
        &self, now: Micros, left: &[ShardRequestId], plan: &Plan, limit: LimitCheck,
    ) -> Option<Choice> {
        let class = self.queries.query_of(left[0]).class;
        let replicas = self.untried_replicas(left[0]);
        let has_capacity =
            |node| limit == LimitCheck::Ignored || self.capacity(node, plan.count_at(node), class) > 0;
        if !replicas.iter().any(|&node| has_capacity(node)) {
            return None;
        }
        let rate = |node| self.rate(now, node, plan.count_at(node), class);
        let candidates: Vec<Candidate> = replicas.into_iter().map(rate).collect();
        let healthy = candidates.iter().filter(|candidate| candidate.preference == Preference::Healthy);
        let best = healthy.map(|candidate| candidate.estimated_latency).fold(f64::INFINITY, f64::min);
        let is_allowed =
            |node| has_capacity(node) && self.has_cold_capacity(now, node, plan.count_at(node) + 1, class);
        let allowed = candidates.into_iter().filter(|candidate| is_allowed(candidate.node));
        let choices = allowed.map(|candidate| self.choose(candidate, best));
        choices.min_by_key(|choice| {
            let node = &self.nodes[choice.node];
            let shared = left.iter().filter(|&&request| self.holds(choice.node, request));
            let batch = shared.take(self.deployment.max_batch).count();
            // Guards against routers that start together all taking the first node of a list first.
            let tie_break = (node.tie_break * 1e9) as u64;
            let planned = plan.count_at(choice.node);
            (Reverse(choice.preference), Reverse(batch), planned, node.last_batch_number, tie_break)
        })
    }

    /// The nodes that hold the shard and had no attempt at it yet, or all that hold it if each had one.
    fn untried_replicas(&self, id: ShardRequestId) -> Vec<NodeId> {
        let request = &self.queries[id];
        let replicas = self.shards.replicas(request.shard);
        let is_untried = |node: &NodeId| !request.attempts.contains(node);
        let untried: Vec<NodeId> = replicas.iter().copied().filter(is_untried).collect();
        if untried.is_empty() { replicas } else { untried }
    }

    fn rate(&self, now: Micros, id: NodeId, planned: usize, class: usize) -> Candidate {
        let ahead = (self.nodes[id].in_flight.len() + planned) as f64;
        let estimated_latency = self.expected_latency(now, id) * (1.0 + ahead);
        Candidate { node: id, preference: self.preference(now, id, class), estimated_latency }
    }

    /// Prefers nodes that take about as long as the `best`, and among these the ones of the router's zone.
    fn choose(&self, Candidate { node, preference, estimated_latency }: Candidate, best: f64) -> Choice {
        let allowance = self.statistics.median_latency().unwrap_or(0) as f64;
        let preference = match preference {
            Preference::Healthy if estimated_latency > 2.0 * best + allowance => Preference::Healthy,
            Preference::Healthy if self.nodes[node].zone == self.deployment.zone => Preference::Local,
            Preference::Healthy => Preference::Fast,
            other => other,
        };
        Choice { node, preference }
    }

    /// How much a node is preferred by itself: healthy with nothing late, usable if it is not ejected.
    pub(super) fn preference(&self, now: Micros, id: NodeId, class: usize) -> Preference {
        let node = &self.nodes[id];
        if node.class_health(class).ejected_until > now || node.rejection_backoff_until > now {
            return Preference::Unavailable;
        }
        let is_late = node.oldest_sent_at().is_some_and(|at| now - at > self.late_after(class, id));
        // A non-idempotent shard request gets no retry: its node must fail less than a tenth of its attempts.
        let is_suspect = node.is_suspect(class);
        let is_proven = !is_suspect && node.failure_share(now - RECENT) < 0.1;
        let is_too_risky = !is_proven && self.classes[class].idempotency == Idempotency::NonIdempotent;
        let needs_caution = is_late || is_too_risky || is_suspect && !node.in_flight.is_empty();
        if needs_caution { Preference::Degraded } else { Preference::Healthy }
    }

    /// How many more shard requests of this router a node may have in flight.
    pub(super) fn capacity(&self, id: NodeId, planned: usize, class: usize) -> usize {
        let (node, batch) = (&self.nodes[id], self.deployment.max_batch.max(2));
        let taken = self.admission.reservations[id.0] + planned;
        // Deviation: from many routers one batch each is too much. A limit under one batch becomes a pause,
        // and a suspect node is tried with one shard request. Guards against overload that tries keep up.
        let is_suspect = node.is_suspect(class);
        if node.concurrency_limit < batch as f64 || is_suspect {
            let is_free = node.in_flight.is_empty() && self.now >= node.paused_until;
            let limit = if is_suspect { self.min_concurrency_limit().ceil() as usize } else { batch };
            return (is_free as usize * limit).saturating_sub(taken);
        }
        let limit = node.concurrency_limit as usize;
        let earlier = node.in_flight.iter().filter(|attempt| attempt.sent_at < self.now).count();
        // Deviation: a filled node is used again only for a full batch, so that requests share its cost.
        if node.reached_limit && earlier > limit.saturating_sub(self.deployment.max_batch) {
            return 0;
        }
        limit.saturating_sub(node.in_flight.len() + taken)
    }

    /// One batch or two shard requests at least, but no more than four times that for all routers together.
    pub(super) fn min_concurrency_limit(&self) -> f64 {
        let batch = self.deployment.max_batch.max(2) as f64;
        batch.min(MAX_CONCURRENCY_LIMIT / 2.0 * batch / self.deployment.routers)
    }

    fn holds(&self, node: NodeId, id: ShardRequestId) -> bool {
        self.shards.holds(self.nodes[node].replica_set, self.queries[id].shard)
    }

    /// The median latency of a node, or of all, and no less than the age of its oldest attempt in flight.
    fn expected_latency(&self, now: Micros, id: NodeId) -> f64 {
        let node = &self.nodes[id];
        let median = self.statistics.median_latency();
        let usual = median.map_or(1.0, |median| (median + self.cross_zone_latency(id)) as f64);
        let age = node.oldest_sent_at().map_or(0, |at| now - at) as f64;
        node.latencies.quantile(0.5, now - RECENT / 2).unwrap_or(usual).max(age)
    }

    /// Guards against the distance between zones being taken for slow nodes: how much longer an answer takes.
    pub(super) fn cross_zone_latency(&self, id: NodeId) -> Micros {
        self.statistics.cross_zone_latencies.get(self.nodes[id].zone).copied().unwrap_or(0)
    }

    /// Sends an attempt, the first to a node in a decision with the work of its batch.
    pub(super) fn attempt(&mut self, now: Micros, assignment: Assignment, actions: &mut dyn Actions) {
        let mut work = self.expected_work(self.queries.query_of(assignment.shard_request).class);
        let node = &mut self.nodes[assignment.node];
        if node.in_flight.last().is_none_or(|attempt| attempt.sent_at < now) {
            work += self.deployment.batch_work;
            self.statistics.batches_sent += 1;
        }
        // Guards against connections that were dropped unnoticed while idle: a new one costs little.
        if now - node.last_activity_at > self.statistics.max_idle_time && node.in_flight.is_empty() {
            actions.close_idle_connections(assignment.node);
            node.last_activity_at = now;
        }
        self.send(now, assignment, work, actions);
    }
}
