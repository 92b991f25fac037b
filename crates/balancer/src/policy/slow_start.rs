//! What a node that is warming up may be sent: each router keeps to a part of what all together may send it.

use super::*;

impl Balancer {
    /// What a node that is warming up may be sent by the rule; none for a warm one.
    pub(super) fn slow_start(&self, now: Micros, id: NodeId) -> Option<SlowStart> {
        let (node, rule) = (&self.nodes[id], &self.deployment.cold_overload);
        let is_listed = node.started_at != 0 && now - node.started_at < rule.warm_up;
        let (since, reason) = if is_listed {
            (node.started_at, WarmUpReason::RecentStart)
        } else {
            (node.last_connect_failure_at, WarmUpReason::ConnectFailure)
        };
        let age = now - since;
        let share_at = |age: Micros| {
            let warmed_up = age.max(0) as f64 / rule.warm_up as f64;
            rule.multiple * (rule.initial_capacity_share + (1.0 - rule.initial_capacity_share) * warmed_up)
        };
        let is_cold = since != 0 && age < rule.warm_up;
        is_cold.then(|| SlowStart {
            since,
            share: share_at(age - rule.window),
            current_share: share_at(age),
            reason,
        })
    }

    /// Whether a node may be sent a batch of `planned` shard requests by the rule on nodes that warm up.
    pub(super) fn has_cold_capacity(&self, now: Micros, id: NodeId, planned: usize, class: usize) -> bool {
        let Some(slow_start) = self.slow_start(now, id) else { return true };
        let fits_window = || self.fits_window(now, id, &slow_start, self.batch_work(planned, class));
        if self.is_held_to_window(&slow_start, class) {
            return fits_window();
        }
        // Guards against connections that come up late: most nodes that could not be reached are warm.
        slow_start.reason == WarmUpReason::ConnectFailure && fits_window()
            || self.has_saved_up(now, id, &slow_start, class)
    }

    /// How many more shard requests, at most `wanted`, a batch may carry that has `planned` already. Where a batch
    /// is saved up, all of its work is saved up again before the next one.
    pub(super) fn cold_batch_limit(
        &self, now: Micros, id: NodeId, planned: usize, class: usize, wanted: usize,
    ) -> usize {
        let slow_start = self.slow_start(now, id).filter(|it| self.is_held_to_window(it, class));
        let Some(slow_start) = slow_start else { return wanted };
        let fits =
            |&count: &usize| self.fits_window(now, id, &slow_start, self.batch_work(planned + count, class));
        (1..=wanted).take_while(fits).count()
    }

    /// Whether a node gets nothing but this router's part of a window: the rule binds where a start is listed, and
    /// an equal part has to hold a batch at all.
    fn is_held_to_window(&self, slow_start: &SlowStart, class: usize) -> bool {
        slow_start.reason == WarmUpReason::RecentStart && self.fits_equal_part(slow_start, class)
    }

    /// Whether an equal part of what all routers may send in a window holds a batch at all.
    fn fits_equal_part(&self, slow_start: &SlowStart, class: usize) -> bool {
        let window = self.deployment.cold_overload.window as f64;
        self.batch_work(1, class) <= slow_start.share * window / self.deployment.routers
    }

    /// Whether `work` fits into what this router may send a node in a window: the larger of an equal part and
    /// of the part that it has of a warm node's work. A router with little traffic leaves most of its equal
    /// part to those that have more than others.
    fn fits_window(&self, now: Micros, id: NodeId, slow_start: &SlowStart, work: f64) -> bool {
        let window = self.deployment.cold_overload.window;
        let part = self.statistics.mean_utilization().max(1.0 / self.deployment.routers);
        let allowance = slow_start.share * window as f64 * part;
        self.nodes[id].work_sent.sum(now - window) + work <= allowance
    }

    /// Whether another batch has been saved up. Among many routers the equal part is less than a batch. A warm
    /// node takes what all of them send it on average, so each may save up the part of its own average that
    /// the rule allows, until that is the work of its last batch. The first batch waits for a random share of
    /// half a batch, so that not all first batches come at once.
    fn has_saved_up(&self, now: Micros, id: NodeId, slow_start: &SlowStart, class: usize) -> bool {
        let &SlowStart { since, current_share, .. } = slow_start;
        let node = &self.nodes[id];
        let last_sent_at = node.work_sent.last_at().filter(|&at| at > since);
        let elapsed = (now - last_sent_at.unwrap_or(since)) as f64;
        let saved = elapsed * current_share * self.statistics.mean_work_rate;
        let half_batch = self.batch_work(self.deployment.max_batch.div_ceil(2), class);
        saved >= last_sent_at.map_or(node.tie_break * half_batch, |at| node.work_sent.sum(at))
    }

    /// The work of a batch of `shard_requests`.
    fn batch_work(&self, shard_requests: usize, class: usize) -> f64 {
        shard_requests as f64 * self.expected_work(class) + self.deployment.batch_work
    }

    /// The work of a shard request, which is not reported: a low latency is close to it.
    pub(super) fn expected_work(&self, class: usize) -> f64 {
        let unknown = self.classes[class].latency_objective as f64 / 10.0;
        self.statistics.shard_request_work.map_or(unknown, |work| work as f64)
    }
}
