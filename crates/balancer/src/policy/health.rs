//! Node health from attempts and load reports: ejection, concurrency limits, latency statistics, endpoint health.

use super::*;

impl Balancer {
    /// Records the end of an attempt. One that was lost after the node had been idle for `max_idle_time` or longer does
    /// not affect the node's health and concurrency limit, since the connection may have been dropped while idle.
    pub(crate) fn observe_attempt(&mut self, now: Micros, attempt: &InFlightAttempt, end: &AttemptEnd) {
        let &AttemptEnd { node, outcome, latency, .. } = end;
        let class = self.queries.query_of(attempt.shard_request).class;
        let is_late = latency > self.late_after(class, node);
        let is_lost =
            outcome == AttemptOutcome::ConnectionLost || outcome == AttemptOutcome::Cancelled && is_late;
        let is_idle_sample = matches!(outcome, AttemptOutcome::ConnectionLost | AttemptOutcome::Succeeded);
        if is_idle_sample && self.queries[attempt.shard_request].idle_time.is_some() {
            self.record_idle_time(now, is_lost, attempt.idle_time);
        }
        self.record_pacing_sample(now, attempt.shard_request, outcome);
        if !is_lost || attempt.idle_time < self.statistics.max_idle_time {
            let observation = Observation { node, class, outcome, latency };
            self.record_observation(now, observation);
            self.adjust_concurrency_limit(now, observation);
        }
    }

    /// Records that the response to an attempt was invalidated: its node counts as after a malformed response.
    pub(crate) fn observe_invalidation(&mut self, now: Micros, invalidated: &InvalidatedResponse) {
        let &InvalidatedResponse { attempt, node, sent_at, .. } = invalidated;
        let class = self.queries.query_of(attempt.shard_request).class;
        let outcome = AttemptOutcome::MalformedResponse;
        self.record_observation(now, Observation { node, class, outcome, latency: now - sent_at });
    }

    /// Records answers and rejections for pacing. One node that rejects everything does not indicate overload as
    /// long as another answers, so the first rejection of a shard request is counted only with the second. An earlier
    /// attempt that could not connect or was not sent stands for the first rejection.
    fn record_pacing_sample(&mut self, now: Micros, id: ShardRequestId, outcome: AttemptOutcome) {
        let (value, count) = match (outcome, self.queries[id].proven_not_executed) {
            (AttemptOutcome::Succeeded, _) => (0.0, 1),
            (AttemptOutcome::Rejected, 0) => (1.0, 0),
            (AttemptOutcome::Rejected, 1) => (1.0, 2),
            (AttemptOutcome::Rejected, _) => (1.0, 1),
            _ => return,
        };
        self.admission.rejections.push_times(now, value, count);
    }

    /// Records a load report. Deviation: it counts as a single observation, a failure if more than half of its requests
    /// failed, otherwise a success.
    pub(crate) fn observe_report(&mut self, now: Micros, node: NodeId, report: &LoadReport) {
        let half = (report.succeeded + report.failed + report.connect_failures) / 2.0;
        let outcome = match report {
            _ if report.connect_failures > half => AttemptOutcome::ConnectFailed,
            _ if report.connect_failures + report.failed > half => AttemptOutcome::ServerError,
            _ if report.succeeded > 0.0 => AttemptOutcome::Succeeded,
            _ => return,
        };
        let observation_for = |class| Observation { node, class, outcome, latency: report.mean_latency };
        // A failure applies to every class at once; an answer applies only to the class that it is recorded for.
        let classes = if outcome == AttemptOutcome::Succeeded { self.classes.len() } else { 1 };
        for class in 0..classes {
            self.record_observation(now, observation_for(class));
        }
        let objective = |&class: &usize| self.classes[class].latency_objective;
        if let Some(class) = (0..self.classes.len()).min_by_key(objective) {
            self.adjust_concurrency_limit(now, observation_for(class));
        }
    }

    /// Updates the health of a node and the latency statistics by an observation.
    pub(super) fn record_observation(&mut self, now: Micros, observation: Observation) {
        let Observation { node: id, class, outcome, latency } = observation;
        let late_after = self.late_after(class, id);
        let typical_latency = self.statistics.median_latency().unwrap_or(late_after / 8);
        let is_remote = self.cross_zone_latency(id) > typical_latency;
        let node = &mut self.nodes[id];
        let is_cancelled_or_timed_out =
            matches!(outcome, AttemptOutcome::Cancelled | AttemptOutcome::TimedOut);
        let is_late = latency > late_after;
        // A node that answered another attempt while this one was in flight has not crashed: connections may take too
        // long to establish.
        let answered_since_sent = (now - latency + 1..=now).contains(&node.last_activity_at);
        if !outcome.proves_not_executed() && (!is_cancelled_or_timed_out || is_late) {
            node.failures.push(now, (outcome != AttemptOutcome::Succeeded) as u8 as f64);
        }
        match outcome {
            AttemptOutcome::Succeeded => self.record_success(now, observation, typical_latency),
            AttemptOutcome::Rejected => self.record_rejection(now, id, typical_latency),
            // The response may have been corrupted or lost in the network, so the node is not ejected. It gets at most
            // one batch at a time until it answers.
            AttemptOutcome::MalformedResponse | AttemptOutcome::ConnectionLost => node.suspect_since = now,
            AttemptOutcome::ConnectFailed if !answered_since_sent => {
                // The endpoint list may report a restart late, so an unreachable node counts as warming up until it
                // answers in time.
                node.last_connect_failure_at = now;
                node.latencies.push(now, latency.max(late_after) as f64);
                if node.class_health(class).ejected_until < node.suspect_since {
                    self.admission.crashes.push(now, 1.0);
                }
                self.eject(now, id, None);
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if is_late => {
                node.latencies.push(now, latency.max(late_after) as f64);
                self.eject(now, id, Some(LateAttempt { sent_at: now - latency, is_remote }));
            }
            AttemptOutcome::ServerError => self.eject(now, id, None),
            _ => {}
        }
    }

    /// Records a success, which halves the failure score. One within the typical latency shows that the node is warm.
    fn record_success(&mut self, now: Micros, observation: Observation, typical_latency: Micros) {
        let Observation { node, class, latency, .. } = observation;
        let node = &mut self.nodes[node];
        node.record_answer(now, class, latency);
        node.class_health_mut(class).failure_score /= 2;
        if latency <= typical_latency {
            node.last_connect_failure_at = 0;
        }
        self.statistics.record_latency(now, node.zone, latency, RETAINED.zone_latencies);
    }

    /// Starts a backoff after a rejection, longer with each consecutive one up to 1 s: rejecting many attempts costs
    /// an overloaded node work.
    fn record_rejection(&mut self, now: Micros, id: NodeId, typical_latency: Micros) {
        let node = &mut self.nodes[id];
        if now >= node.rejection_backoff_until {
            node.consecutive_rejections = (node.consecutive_rejections + 1).min(5);
            node.rejection_backoff_until =
                now + ((typical_latency / 2) << node.consecutive_rejections).min(RECENT_WINDOW / 10);
        }
    }

    /// Ejects a node for longer with each failure, from 0.5 s to 8 s; failures during an ejection do not count. A
    /// late attempt does not eject a node in a zone that is slow to reach, or for a class that got an answer since.
    fn eject(&mut self, now: Micros, id: NodeId, late_attempt: Option<LateAttempt>) {
        for class in 0..self.classes.len() {
            let health = self.nodes[id].class_health_mut(class);
            let is_exempt =
                late_attempt.is_some_and(|late| late.is_remote || health.last_success_at > late.sent_at);
            if now >= health.ejected_until && !is_exempt {
                health.failure_score = (health.failure_score + 1).min(5);
                health.ejected_until = now + (250_000 << health.failure_score);
            }
        }
    }

    /// Records whether an attempt was lost after an idle time, and sets `max_idle_time` to the shortest idle time over
    /// 100 ms from which at least two attempts, and more than a fifth of all attempts, are lost. A lossy network or an
    /// unresponsive node loses attempts after any idle time, so losses must also be more than twice as frequent as
    /// after shorter idle times.
    pub(super) fn record_idle_time(&mut self, now: Micros, is_lost: bool, idle_time: Micros) {
        let (from, idle_times) = (now - CRASH_WINDOW, &mut self.statistics.idle_times);
        idle_times.push(now, if is_lost { -idle_time as f64 } else { idle_time as f64 });
        if !is_lost {
            return;
        }
        let has_frequent_losses = |&idle: &f64| {
            let [short, long] = idle_times.split_by_magnitude(from, idle);
            let is_frequent = long.negative > 1.0 && 5.0 * long.negative > long.total;
            is_frequent && long.negative * (short.total + 1.0) > 2.0 * short.negative * long.total
        };
        let lost = idle_times.since(from).map(|idle| -idle).filter(|&idle| idle > 1e5);
        let shortest_idle_time = lost.filter(has_frequent_losses).fold(Micros::MAX as f64, f64::min);
        self.statistics.max_idle_time = shortest_idle_time as Micros;
    }

    /// Adjusts the concurrency limit of a node. A rejection, or a latency above a quarter of the latency objective plus
    /// the cross-zone latency, reduces it unless the attempt was sent before the last reduction; any other success
    /// raises it. A limit below one batch becomes a pause between batches.
    pub(super) fn adjust_concurrency_limit(&mut self, now: Micros, observation: Observation) {
        let Observation { node: id, class, outcome, latency } = observation;
        let (batch, min_limit) = (self.deployment.max_batch.max(2) as f64, self.min_concurrency_limit());
        let target_latency = 0.25 * self.classes[class].latency_objective as f64;
        let is_slow = (latency - self.cross_zone_latency(id)) as f64 > target_latency
            && matches!(outcome, AttemptOutcome::Succeeded | AttemptOutcome::Cancelled);
        let batch_latency = self.statistics.median_latency().map_or(latency, |median| latency.max(median));
        let node = &mut self.nodes[id];
        let limit = node.concurrency_limit;
        if is_slow || outcome == AttemptOutcome::Rejected {
            if now - node.limit_reduced_at > latency {
                let factor =
                    if limit > batch { 0.8 } else { (target_latency / latency as f64).clamp(0.5, 0.8) };
                let used_limit = limit.min(node.in_flight.len() as f64 + 1.0);
                node.concurrency_limit = (used_limit * factor).max(min_limit);
                node.limit_reduced_at = now;
            }
        } else if outcome == AttemptOutcome::Succeeded {
            node.concurrency_limit = (limit + f64::min(1.0 / limit, limit / 4.0)).min(MAX_CONCURRENCY_LIMIT);
        }
        if node.concurrency_limit < batch {
            let pause = batch_latency as f64 * (batch / node.concurrency_limit - 1.0);
            node.paused_until = now + pause.min(RECENT_WINDOW as f64 / 5.0) as Micros;
        }
    }

    /// Recomputes the latency baseline, cross-zone latencies, work rates and expected query durations.
    pub(super) fn refresh_statistics(&mut self, now: Micros) {
        let from = now - RECENT_WINDOW;
        self.statistics.refresh_baseline(from, 16, [0.3, 0.5, 0.9]);
        self.statistics.refresh_cross_zone(from, 8, 0.2);
        // The time before the start of the router does not count as time without traffic.
        let period = self.statistics.uptime(now).clamp(RECENT_WINDOW / 10, RECENT_WINDOW);
        self.statistics.refresh_rates(from, period, self.shards.ready_nodes());
        for class in &mut self.classes {
            let duration = class.durations.quantile(0.75, from).unwrap_or(0.0) as Micros;
            class.expected_duration = duration.min(class.latency_objective / 2);
        }
    }

    /// Returns the latency above which an attempt is late: the latency objective until latencies are known, then at
    /// most half of it.
    pub(super) fn late_after(&self, class: usize, id: NodeId) -> Micros {
        let objective = self.classes[class].latency_objective;
        let Some(baseline) = self.statistics.baseline else { return objective };
        (objective / 2).min(2 * baseline.high + self.cross_zone_latency(id))
    }

    /// Returns the health of a node, for front ends that pass decisions on to other proxies.
    pub fn endpoint_health(&self, now: Micros, node: NodeId) -> EndpointHealth {
        let Some(state) = self.nodes.get(node).filter(|state| state.is_listed()) else {
            return EndpointHealth::Removed;
        };
        let ejected_until =
            state.health_by_class.iter().map(|health| health.ejected_until).max().unwrap_or(0);
        let capacity = state.concurrency_limit * self.deployment.routers;
        match self.slow_start(now, node) {
            _ if !state.is_ready() => EndpointHealth::Draining,
            _ if ejected_until > now => EndpointHealth::EjectedUntil(ejected_until),
            _ if (0..self.classes.len()).any(|class| state.is_suspect(class)) => {
                EndpointHealth::Suspect { capacity: self.min_concurrency_limit() }
            }
            Some(SlowStart { window_share: share, .. }) if share < 1.0 => {
                EndpointHealth::WarmingUp { capacity: capacity * share, share }
            }
            _ => EndpointHealth::Healthy { capacity },
        }
    }

    /// Returns the fraction (0 to 1) of new requests to `nodes` that must be shed because the requests in flight that
    /// other proxies reported exceed the capacity of the nodes.
    pub fn shed_fraction(&self, now: Micros, nodes: &[NodeId]) -> f64 {
        let (mut total_capacity, mut in_flight) = (0.0, 0.0);
        for &id in nodes {
            if let EndpointHealth::Healthy { capacity }
            | EndpointHealth::Suspect { capacity }
            | EndpointHealth::WarmingUp { capacity, .. } = self.endpoint_health(now, id)
            {
                total_capacity += capacity;
                in_flight += self.nodes[id].reported_in_flight(now - RECENT_WINDOW);
            }
        }
        if in_flight > total_capacity { 1.0 - total_capacity / in_flight } else { 0.0 }
    }
}
