//! Selection of the node for a shard request: preference, concurrency limits, slow start and zones.

use super::*;

impl Balancer {
    /// Assigns shard requests to nodes in batches; those for which no node is available are omitted.
    pub(super) fn plan(&self, now: Micros, shard_requests: &[ShardRequestId]) -> Plan {
        let (mut remaining, mut plan) = (shard_requests.to_vec(), Plan::default());
        let class = shard_requests.first().map_or(0, |&id| self.queries.query_of(id).class);
        while !remaining.is_empty() {
            let choice = self.pick(now, &remaining, &plan, LimitCheck::Enforced);
            let Some(Choice { node, .. }) = choice.filter(Choice::is_usable) else {
                remaining.remove(0);
                continue;
            };
            let planned = plan.count_at(node);
            let capacity = self.deployment.max_batch.min(self.capacity(node, planned, class));
            let capacity = self.slow_start_batch_limit(now, node, planned, class, capacity);
            let held_by_node = remaining.iter().copied().filter(|&id| self.holds_shard_of(node, id));
            let batch: Vec<ShardRequestId> = held_by_node.take(capacity).collect();
            remaining.retain(|id| !batch.contains(id));
            plan.assign(batch, node);
        }
        plan
    }

    /// Selects the node for the first of `remaining`: the most preferred one, then the one that holds the shards of the
    /// largest batch, then the one with the fewest planned shard requests, then the least recently used one.
    pub(super) fn pick(
        &self, now: Micros, remaining: &[ShardRequestId], plan: &Plan, limit: LimitCheck,
    ) -> Option<Choice> {
        let class = self.queries.query_of(remaining[0]).class;
        let replicas = self.untried_replicas(remaining[0]);
        let has_capacity =
            |node| limit == LimitCheck::Ignored || self.capacity(node, plan.count_at(node), class) > 0;
        if !replicas.iter().any(|&node| has_capacity(node)) {
            return None;
        }
        let evaluate = |node| self.evaluate(now, node, plan.count_at(node), class);
        let candidates: Vec<Candidate> = replicas.into_iter().map(evaluate).collect();
        let healthy = candidates.iter().filter(|candidate| candidate.preference == Preference::Healthy);
        let best_latency = healthy.map(|candidate| candidate.estimated_latency).fold(f64::INFINITY, f64::min);
        let is_allowed =
            |node| has_capacity(node) && self.slow_start_allows(now, node, plan.count_at(node) + 1, class);
        let allowed = candidates.into_iter().filter(|candidate| is_allowed(candidate.node));
        let choices = allowed.map(|candidate| self.compare_with_best(candidate, best_latency));
        choices.min_by_key(|choice| {
            let node = &self.nodes[choice.node];
            let batch_candidates =
                remaining.iter().filter(|&&request| self.holds_shard_of(choice.node, request));
            let batch_size = batch_candidates.take(self.deployment.max_batch).count();
            // Random by router, so that routers that start together do not all use the first listed node first.
            let tie_break = (node.tie_break * 1e9) as u64;
            let planned = plan.count_at(choice.node);
            (Reverse(choice.preference), Reverse(batch_size), planned, node.last_batch_number, tie_break)
        })
    }

    /// Returns the nodes that hold the shard and had no attempt at this request yet, or all that hold the shard if each
    /// had one.
    fn untried_replicas(&self, id: ShardRequestId) -> Vec<NodeId> {
        let request = &self.queries[id];
        let replicas = self.shards.replicas(request.shard);
        let is_untried = |node: &NodeId| !request.attempts.contains(node);
        let untried: Vec<NodeId> = replicas.iter().copied().filter(is_untried).collect();
        if untried.is_empty() { replicas } else { untried }
    }

    /// Rates a node by itself, with `planned` shard requests on top of those in flight.
    fn evaluate(&self, now: Micros, id: NodeId, planned: usize, class: usize) -> Candidate {
        let requests_ahead = (self.nodes[id].in_flight.len() + planned) as f64;
        let estimated_latency = self.expected_latency(now, id) * (1.0 + requests_ahead);
        Candidate { node: id, preference: self.preference(now, id, class), estimated_latency }
    }

    /// Compares a candidate with the lowest estimated latency among the healthy ones. Nodes near that latency are
    /// preferred, and among these the ones in the router's zone.
    fn compare_with_best(
        &self, Candidate { node, preference, estimated_latency }: Candidate, best_latency: f64,
    ) -> Choice {
        let tolerance = self.statistics.median_latency().unwrap_or(0) as f64;
        let preference = match preference {
            Preference::Healthy if estimated_latency > 2.0 * best_latency + tolerance => Preference::Healthy,
            Preference::Healthy if self.nodes[node].zone == self.deployment.zone => Preference::Local,
            Preference::Healthy => Preference::Fast,
            other => other,
        };
        Choice { node, preference }
    }

    /// Returns how much a node is preferred by itself: `Unavailable` during an ejection or a rejection backoff,
    /// `Degraded` if an attempt is late, if the node is suspect with attempts in flight or, for a non-idempotent class,
    /// if it is suspect or fails too often; otherwise `Healthy`.
    pub(super) fn preference(&self, now: Micros, id: NodeId, class: usize) -> Preference {
        let node = &self.nodes[id];
        if node.class_health(class).ejected_until > now || node.rejection_backoff_until > now {
            return Preference::Unavailable;
        }
        let is_late = node.oldest_sent_at().is_some_and(|at| now - at > self.late_after(class, id));
        // A non-idempotent shard request may not be retried once it may have been executed, so its node must not be
        // suspect and must have failed less than a tenth of its recent attempts.
        let is_suspect = node.is_suspect(class);
        let is_reliable = !is_suspect && node.failure_share(now - RECENT_WINDOW) < 0.1;
        let is_too_unreliable = !is_reliable && self.classes[class].idempotency == Idempotency::NonIdempotent;
        let is_degraded = is_late || is_too_unreliable || is_suspect && !node.in_flight.is_empty();
        if is_degraded { Preference::Degraded } else { Preference::Healthy }
    }

    /// Returns how many more shard requests of this router a node may have in flight, besides those `planned` and
    /// reserved in this decision.
    pub(super) fn capacity(&self, id: NodeId, planned: usize, class: usize) -> usize {
        let (node, batch) = (&self.nodes[id], self.deployment.max_batch.max(2));
        let taken = self.admission.reservations[id.0] + planned;
        // Deviation: one batch from each of many routers at once is too much for a node, and such probes would sustain
        // an overload. A limit below one batch therefore becomes a pause between batches, and a suspect node is probed
        // with the minimum limit, a single shard request where there are many routers.
        let is_suspect = node.is_suspect(class);
        if node.concurrency_limit < batch as f64 || is_suspect {
            let is_available = node.in_flight.is_empty() && self.now >= node.paused_until;
            let limit = if is_suspect { self.min_concurrency_limit().ceil() as usize } else { batch };
            return (is_available as usize * limit).saturating_sub(taken);
        }
        let limit = node.concurrency_limit as usize;
        let sent_earlier = node.in_flight.iter().filter(|attempt| attempt.sent_at < self.now).count();
        // Deviation: a node that reached its limit is used again only for a full batch, so that as many shard requests
        // as possible share the fixed work of a batch.
        if node.reached_limit && sent_earlier > limit.saturating_sub(self.deployment.max_batch) {
            return 0;
        }
        limit.saturating_sub(node.in_flight.len() + taken)
    }

    /// Returns the lower bound of the concurrency limit: one batch, at least two shard requests, but for all routers
    /// together no more than four times that.
    pub(super) fn min_concurrency_limit(&self) -> f64 {
        let batch = self.deployment.max_batch.max(2) as f64;
        batch.min(MAX_CONCURRENCY_LIMIT / 2.0 * batch / self.deployment.routers)
    }

    /// Returns whether a node holds the shard of a shard request.
    fn holds_shard_of(&self, node: NodeId, id: ShardRequestId) -> bool {
        self.shards.holds(self.nodes[node].replica_set, self.queries[id].shard)
    }

    /// Returns the median latency of a node, but no less than the age of its oldest attempt in flight. Without recent
    /// latencies of the node, the median of all nodes plus the cross-zone latency is used, or 1 without any latency.
    fn expected_latency(&self, now: Micros, id: NodeId) -> f64 {
        let node = &self.nodes[id];
        let median = self.statistics.median_latency();
        let default_latency = median.map_or(1.0, |median| (median + self.cross_zone_latency(id)) as f64);
        let oldest_age = node.oldest_sent_at().map_or(0, |at| now - at) as f64;
        node.latencies.quantile(0.5, now - RECENT_WINDOW / 2).unwrap_or(default_latency).max(oldest_age)
    }

    /// Returns how much longer an answer from a node's zone takes than from the nearest zone. Latency thresholds allow
    /// for this, so that a node in a distant zone does not count as slow.
    pub(super) fn cross_zone_latency(&self, id: NodeId) -> Micros {
        self.statistics.cross_zone_latencies.get(self.nodes[id].zone).copied().unwrap_or(0)
    }

    /// Sends an attempt; the first one to a node in a decision also counts the fixed work of its batch.
    pub(super) fn start_attempt(&mut self, now: Micros, assignment: Assignment, actions: &mut dyn Actions) {
        let mut work = self.estimated_work(self.queries.query_of(assignment.shard_request).class);
        let node = &mut self.nodes[assignment.node];
        if node.in_flight.last().is_none_or(|attempt| attempt.sent_at < now) {
            work += self.deployment.batch_work;
            self.statistics.batches_sent += 1;
        }
        // Connections may have been dropped unnoticed while idle, and a new one costs little.
        if now - node.last_activity_at > self.statistics.max_idle_time && node.in_flight.is_empty() {
            actions.close_idle_connections(assignment.node);
            node.last_activity_at = now;
        }
        self.send(now, assignment, work, actions);
    }
}
