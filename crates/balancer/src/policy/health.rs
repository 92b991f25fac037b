//! What attempts and load reports show of nodes: ejection, concurrency limits, statistics, endpoint health.

use super::*;

impl Balancer {
    /// Learns from the end of an attempt; one that was lost on an idle connection shows nothing of its node.
    pub(crate) fn observe_attempt(&mut self, now: Micros, attempt: &InFlightAttempt, end: &AttemptEnd) {
        let &AttemptEnd { node, outcome, latency, .. } = end;
        let class = self.queries.query_of(attempt.shard_request).class;
        let is_late = latency > self.late_after(class, node);
        let is_lost =
            outcome == AttemptOutcome::ConnectionLost || outcome == AttemptOutcome::Cancelled && is_late;
        let shows_idle = matches!(outcome, AttemptOutcome::ConnectionLost | AttemptOutcome::Succeeded);
        if shows_idle && self.queries[attempt.shard_request].idle_time.is_some() {
            self.observe_idle(now, is_lost, attempt.idle_time);
        }
        self.count_rejection(now, attempt.shard_request, outcome);
        if !is_lost || attempt.idle_time < self.statistics.max_idle_time {
            let observation = Observation { node, class, outcome, latency };
            self.learn(now, observation);
            self.adjust_concurrency_limit(now, observation);
        }
    }

    /// Counts answers and rejections for pacing. A node that rejects everything shows nothing of the load
    /// while another answers: the first rejection of a shard request counts together with the second.
    fn count_rejection(&mut self, now: Micros, id: ShardRequestId, outcome: AttemptOutcome) {
        let (value, count) = match (outcome, self.queries[id].proven_not_executed) {
            (AttemptOutcome::Succeeded, _) => (0.0, 1),
            (AttemptOutcome::Rejected, 0) => (1.0, 0),
            (AttemptOutcome::Rejected, 1) => (1.0, 2),
            (AttemptOutcome::Rejected, _) => (1.0, 1),
            _ => return,
        };
        self.admission.rejections.push_times(now, value, count);
    }

    /// Deviation: a load report is one piece of evidence, for what befell more than half of its requests.
    pub(crate) fn observe_report(&mut self, now: Micros, node: NodeId, report: &LoadReport) {
        let half = (report.succeeded + report.failed + report.connect_failures) / 2.0;
        let outcome = match report {
            _ if report.connect_failures > half => AttemptOutcome::ConnectFailed,
            _ if report.connect_failures + report.failed > half => AttemptOutcome::ServerError,
            _ if report.succeeded > 0.0 => AttemptOutcome::Succeeded,
            _ => return,
        };
        let observe = |class| Observation { node, class, outcome, latency: report.mean_latency };
        // A failure is held against every class at once; an answer counts for one class only.
        let classes = if outcome == AttemptOutcome::Succeeded { self.classes.len() } else { 1 };
        for class in 0..classes {
            self.learn(now, observe(class));
        }
        let objective = |&class: &usize| self.classes[class].latency_objective;
        if let Some(class) = (0..self.classes.len()).min_by_key(objective) {
            self.adjust_concurrency_limit(now, observe(class));
        }
    }

    /// Learns what the end of an attempt shows of its node.
    pub(super) fn learn(&mut self, now: Micros, observation: Observation) {
        let Observation { node: id, class, outcome, latency } = observation;
        let late_after = self.late_after(class, id);
        let usual = self.statistics.median_latency().unwrap_or(late_after / 8);
        let is_remote = self.cross_zone_latency(id) > usual;
        let node = &mut self.nodes[id];
        let is_silent = matches!(outcome, AttemptOutcome::Cancelled | AttemptOutcome::TimedOut);
        let is_late = latency > late_after;
        // Guards against connections that come up late: a node that answered in the meantime has not crashed.
        let is_alive = (now - latency + 1..=now).contains(&node.last_activity_at);
        if !outcome.proves_not_executed() && (!is_silent || is_late) {
            node.failures.push(now, (outcome != AttemptOutcome::Succeeded) as u8 as f64);
        }
        match outcome {
            AttemptOutcome::Succeeded => self.learn_answer(now, observation, usual),
            AttemptOutcome::Rejected => self.learn_rejection(now, id, usual),
            // Guards against corruption and losses on the way: one batch at a time until it answers.
            AttemptOutcome::MalformedResponse | AttemptOutcome::ConnectionLost => node.suspect_since = now,
            AttemptOutcome::ConnectFailed if !is_alive => {
                // Guards against a late endpoint list: an unreachable node warms up until it answers in time.
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

    /// An answer makes up for half of the strikes, and one in time shows that the node is warm.
    fn learn_answer(&mut self, now: Micros, observation: Observation, usual: Micros) {
        let Observation { node, class, latency, .. } = observation;
        let node = &mut self.nodes[node];
        node.record_answer(now, class, latency);
        node.class_health_mut(class).failure_score /= 2;
        if latency <= usual {
            node.last_connect_failure_at = 0;
        }
        self.statistics.record_latency(now, node.zone, latency, RETAINED.zone_latencies);
    }

    /// Guards against many attempts that an overloaded node rejects, each of which costs it work.
    fn learn_rejection(&mut self, now: Micros, id: NodeId, usual: Micros) {
        let node = &mut self.nodes[id];
        if now >= node.rejection_backoff_until {
            node.consecutive_rejections = (node.consecutive_rejections + 1).min(5);
            node.rejection_backoff_until =
                now + ((usual / 2) << node.consecutive_rejections).min(RECENT / 10);
        }
    }

    /// Ejects a node for longer with each failure, one at a time. A silence is not held against a node that
    /// is slow to reach, or for a class that was answered meanwhile.
    fn eject(&mut self, now: Micros, id: NodeId, silence: Option<LateAttempt>) {
        for class in 0..self.classes.len() {
            let record = self.nodes[id].class_health_mut(class);
            let is_excused = silence.is_some_and(|it| it.is_remote || record.last_success_at > it.sent_at);
            if now >= record.ejected_until && !is_excused {
                record.failure_score = (record.failure_score + 1).min(5);
                record.ejected_until = now + (250_000 << record.failure_score);
            }
        }
    }

    /// Learns after which idle time attempts are lost. A lossy path or a silent node loses them after any.
    pub(super) fn observe_idle(&mut self, now: Micros, is_lost: bool, idle: Micros) {
        let (from, idle_times) = (now - CRASH_MEMORY, &mut self.statistics.idle_times);
        idle_times.push(now, if is_lost { -idle as f64 } else { idle as f64 });
        if !is_lost {
            return;
        }
        let loses_attempts = |&idle: &f64| {
            let [short, long] = idle_times.split_by_magnitude(from, idle);
            let is_frequent = long.negative > 1.0 && 5.0 * long.negative > long.total;
            is_frequent && long.negative * (short.total + 1.0) > 2.0 * short.negative * long.total
        };
        let lost = idle_times.since(from).map(|idle| -idle).filter(|&idle| idle > 1e5);
        let shortest = lost.filter(loses_attempts).fold(Micros::MAX as f64, f64::min);
        self.statistics.max_idle_time = shortest as Micros;
    }

    /// Adjusts the concurrency limit of a node to what its latencies leave of the latency objective.
    pub(super) fn adjust_concurrency_limit(&mut self, now: Micros, observation: Observation) {
        let Observation { node: id, class, outcome, latency } = observation;
        let (batch, least) = (self.deployment.max_batch.max(2) as f64, self.min_concurrency_limit());
        let target = 0.25 * self.classes[class].latency_objective as f64;
        let is_slow = (latency - self.cross_zone_latency(id)) as f64 > target
            && matches!(outcome, AttemptOutcome::Succeeded | AttemptOutcome::Cancelled);
        let usual = self.statistics.median_latency().map_or(latency, |median| latency.max(median));
        let node = &mut self.nodes[id];
        let limit = node.concurrency_limit;
        if is_slow || outcome == AttemptOutcome::Rejected {
            if now - node.limit_reduced_at > latency {
                let factor = if limit > batch { 0.8 } else { (target / latency as f64).clamp(0.5, 0.8) };
                let used = limit.min(node.in_flight.len() as f64 + 1.0);
                node.concurrency_limit = (used * factor).max(least);
                node.limit_reduced_at = now;
            }
        } else if outcome == AttemptOutcome::Succeeded {
            node.concurrency_limit = (limit + f64::min(1.0 / limit, limit / 4.0)).min(MAX_CONCURRENCY_LIMIT);
        }
        if node.concurrency_limit < batch {
            let pause = usual as f64 * (batch / node.concurrency_limit - 1.0);
            node.paused_until = now + pause.min(RECENT as f64 / 5.0) as Micros;
        }
    }

    /// Computes what is usual: latencies, the distance of zones, the work rate, query durations.
    pub(super) fn refresh_statistics(&mut self, now: Micros) {
        let from = now - RECENT;
        self.statistics.refresh_baseline(from, 16, [0.3, 0.5, 0.9]);
        self.statistics.refresh_cross_zone(from, 8, 0.2);
        // Guards against a restarted router that takes the time before its start for time without traffic.
        let period = self.statistics.uptime(now).clamp(RECENT / 10, RECENT);
        self.statistics.refresh_rates(from, period, self.shards.ready_nodes());
        for class in &mut self.classes {
            let duration = class.durations.quantile(0.75, from).unwrap_or(0.0) as Micros;
            class.expected_duration = duration.min(class.latency_objective / 2);
        }
    }

    /// When an attempt is late: the latency objective until latencies are known, then half of it at most.
    pub(super) fn late_after(&self, class: usize, id: NodeId) -> Micros {
        let objective = self.classes[class].latency_objective;
        let Some(baseline) = self.statistics.baseline else { return objective };
        (objective / 2).min(2 * baseline.high + self.cross_zone_latency(id))
    }

    /// The condition of a node, for front ends that pass decisions on to other proxies.
    pub fn endpoint_health(&self, now: Micros, node: NodeId) -> EndpointHealth {
        let Some(state) = self.nodes.get(node).filter(|state| state.is_listed()) else {
            return EndpointHealth::Removed;
        };
        let ejected_until =
            state.health_by_class.iter().map(|record| record.ejected_until).max().unwrap_or(0);
        let capacity = state.concurrency_limit * self.deployment.routers;
        match self.slow_start(now, node) {
            _ if !state.is_ready() => EndpointHealth::Draining,
            _ if ejected_until > now => EndpointHealth::EjectedUntil(ejected_until),
            _ if (0..self.classes.len()).any(|class| state.is_suspect(class)) => {
                EndpointHealth::Suspect { capacity: self.min_concurrency_limit() }
            }
            Some(SlowStart { share, .. }) if share < 1.0 => {
                EndpointHealth::WarmingUp { capacity: capacity * share, share }
            }
            _ => EndpointHealth::Healthy { capacity },
        }
    }

    /// The share of new work for `nodes` that would be shed, by the load that other proxies reported there.
    pub fn shed_fraction(&self, now: Micros, nodes: &[NodeId]) -> f64 {
        let (mut total_capacity, mut in_flight) = (0.0, 0.0);
        for &id in nodes {
            if let EndpointHealth::Healthy { capacity }
            | EndpointHealth::Suspect { capacity }
            | EndpointHealth::WarmingUp { capacity, .. } = self.endpoint_health(now, id)
            {
                total_capacity += capacity;
                in_flight += self.nodes[id].reported_in_flight(now - RECENT);
            }
        }
        if in_flight > total_capacity { 1.0 - total_capacity / in_flight } else { 0.0 }
    }
}
