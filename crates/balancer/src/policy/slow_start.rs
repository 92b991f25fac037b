//! Slow start: limits the work that all routers together send a node that is warming up. Each router keeps to its
//! own share of that work.

use super::*;

impl Balancer {
    /// Returns since when a node has been warming up and how much work the cold-overload rule allows it; `None` for a
    /// warm node.
    pub(super) fn slow_start(&self, now: Micros, id: NodeId) -> Option<SlowStart> {
        let (node, rule) = (&self.nodes[id], &self.deployment.cold_overload);
        let has_recent_start = node.started_at != 0 && now - node.started_at < rule.warm_up;
        let (since, reason) = if has_recent_start {
            (node.started_at, WarmUpReason::RecentStart)
        } else {
            (node.last_connect_failure_at, WarmUpReason::ConnectFailure)
        };
        let age = now - since;
        let share_at = |age: Micros| {
            let progress = age.max(0) as f64 / rule.warm_up as f64;
            rule.multiple * (rule.initial_capacity_share + (1.0 - rule.initial_capacity_share) * progress)
        };
        let is_warming_up = since != 0 && age < rule.warm_up;
        is_warming_up.then(|| SlowStart {
            since,
            window_share: share_at(age - rule.window),
            current_share: share_at(age),
            reason,
        })
    }

    /// Returns whether slow start allows a batch of `planned` shard requests to be sent to a node.
    pub(super) fn slow_start_allows(&self, now: Micros, id: NodeId, planned: usize, class: usize) -> bool {
        let Some(slow_start) = self.slow_start(now, id) else { return true };
        let fits_window =
            || self.fits_window(now, id, &slow_start, self.estimated_batch_work(planned, class));
        if self.is_limited_to_window(&slow_start, class) {
            return fits_window();
        }
        // Most nodes with a connect failure are warm, and only their connections were established late. For them it
        // is enough that either the window or the accrued allowance permits the batch.
        slow_start.reason == WarmUpReason::ConnectFailure && fits_window()
            || self.has_accrued_batch(now, id, &slow_start, class)
    }

    /// Returns how many more shard requests, at most `wanted`, may join a batch that has `planned` already. Only the
    /// window limits the size of a batch: where the allowance accrues, all of the work of a batch accrues again before
    /// the next one.
    pub(super) fn slow_start_batch_limit(
        &self, now: Micros, id: NodeId, planned: usize, class: usize, wanted: usize,
    ) -> usize {
        let slow_start = self.slow_start(now, id).filter(|state| self.is_limited_to_window(state, class));
        let Some(slow_start) = slow_start else { return wanted };
        let fits = |&count: &usize| {
            self.fits_window(now, id, &slow_start, self.estimated_batch_work(planned + count, class))
        };
        (1..=wanted).take_while(fits).count()
    }

    /// Returns whether a node may be sent no more than this router's share of a window. This holds if the endpoint list
    /// states the recent start of the node, since only then the cold-overload rule is binding, and if an equal share of
    /// the window holds a batch of one shard request.
    fn is_limited_to_window(&self, slow_start: &SlowStart, class: usize) -> bool {
        slow_start.reason == WarmUpReason::RecentStart && self.equal_share_holds_batch(slow_start, class)
    }

    /// Returns whether an equal share of the work that all routers may send in a window holds a batch of one shard
    /// request.
    fn equal_share_holds_batch(&self, slow_start: &SlowStart, class: usize) -> bool {
        let window = self.deployment.cold_overload.window as f64;
        self.estimated_batch_work(1, class) <= slow_start.window_share * window / self.deployment.routers
    }

    /// Returns whether `work` fits into this router's share of a window: the larger of an equal share and of the share
    /// that the router has of a warm node's work. Routers with little traffic leave most of their equal share to
    /// routers with more traffic.
    fn fits_window(&self, now: Micros, id: NodeId, slow_start: &SlowStart, work: f64) -> bool {
        let window = self.deployment.cold_overload.window;
        let router_share = self.statistics.mean_utilization().max(1.0 / self.deployment.routers);
        let allowance = slow_start.window_share * window as f64 * router_share;
        self.nodes[id].work_sent.sum(now - window) + work <= allowance
    }

    /// Returns whether the allowance for another batch has accrued. Among many routers an equal share of a window is
    /// less than a batch. A warm node handles the work that all routers send it on average, so each router accrues the
    /// share of its own mean work rate that the rule allows, until that equals the work of its last batch. The first
    /// batch waits for a random share of half a batch, so that the first batches of all routers do not arrive at once.
    fn has_accrued_batch(&self, now: Micros, id: NodeId, slow_start: &SlowStart, class: usize) -> bool {
        let &SlowStart { since, current_share, .. } = slow_start;
        let node = &self.nodes[id];
        let last_sent_at = node.work_sent.last_at().filter(|&at| at > since);
        let elapsed = (now - last_sent_at.unwrap_or(since)) as f64;
        let accrued_work = elapsed * current_share * self.statistics.mean_work_rate;
        let half_batch_work = self.estimated_batch_work(self.deployment.max_batch.div_ceil(2), class);
        accrued_work >= last_sent_at.map_or(node.tie_break * half_batch_work, |at| node.work_sent.sum(at))
    }

    /// Returns the estimated work of a batch of `shard_requests`, with the fixed work of a batch.
    fn estimated_batch_work(&self, shard_requests: usize, class: usize) -> f64 {
        shard_requests as f64 * self.estimated_work(class) + self.deployment.batch_work
    }

    /// Returns the estimated work of a shard request. Nodes do not report it, but a low quantile of their latencies is
    /// close to it; until latencies are known, a tenth of the latency objective is assumed.
    pub(super) fn estimated_work(&self, class: usize) -> f64 {
        let assumed_work = self.classes[class].latency_objective as f64 / 10.0;
        self.statistics.shard_request_work.map_or(assumed_work, |work| work as f64)
    }
}
