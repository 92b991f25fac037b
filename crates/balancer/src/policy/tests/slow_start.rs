//! What several routers together send a node that warms up, on a simulated clock. Each router is a balancer of its own
//! that knows only its own traffic; all nodes hold every shard.

use super::rig::*;
use super::*;
use crate::state::ColdOverloadRule;

/// The mean work of a shard request; each takes between half as much and half as much again.
const MEAN_WORK: Micros = 8_000;
/// How many nodes there are. The first one is restarted.
const NODES: usize = 10;
/// The most shard requests of a query, and of a batch.
const MAX_SHARD_REQUESTS: usize = 4;
/// The interval at which routers decide.
const INTERVAL: Micros = 5_000;

/// How many shard requests a node of this age may be sent in a window, with the slack of the terms.
fn allowed(rule: &ColdOverloadRule, age: Micros) -> f64 {
    let grown = age as f64 / rule.warm_up as f64;
    let capacity = rule.initial_capacity_share + (1.0 - rule.initial_capacity_share) * grown;
    let count = rule.multiple * capacity * rule.window as f64 / MEAN_WORK as f64;
    if count < 30.0 { count + 3.0 * count.sqrt() + 3.0 } else { count + 2.0 * count.sqrt() + 2.0 }
}

/// The settings of one of `routers` routers.
fn settings(rule: &ColdOverloadRule, routers: usize) -> Settings {
    let class = ClassSettings {
        idempotency: Idempotency::Idempotent,
        latency_objective: Some(1_000_000),
        deadline: 2_000_000,
        ..Default::default()
    };
    Settings {
        routers: routers as f64,
        batch: BatchSettings { max_shard_requests: Some(MAX_SHARD_REQUESTS), work: 0 },
        limits: LimitSettings { max_attempts: Some(3), ..Default::default() },
        decision_interval: INTERVAL,
        rules: RuleSettings {
            cold_overload_window: rule.window,
            cold_overload_multiple: rule.multiple,
            cold_capacity_share: rule.initial_capacity_share,
            warm_up: rule.warm_up,
            ..Default::default()
        },
        classes: vec![class],
        ..Default::default()
    }
}

/// An attempt that has not ended yet.
struct PendingAttempt {
    ends_at: Micros,
    attempt: AttemptId,
    node: NodeId,
    latency: Micros,
}

/// What a router asks for.
struct FrontEnd {
    now: Micros,
    random: fastrand::Rng,
    pending: Vec<PendingAttempt>,
    sent_to_first_node: Vec<Micros>,
}

impl Actions for FrontEnd {
    fn send_attempt(&mut self, shard_request: ShardRequestId, node: NodeId, _timeout: Option<Micros>) {
        let latency = self.random.i64(MEAN_WORK / 2..=MEAN_WORK * 3 / 2);
        let attempt = attempt(shard_request.0, 0);
        self.pending.push(PendingAttempt { ends_at: self.now + latency, attempt, node, latency });
        if node == NodeId(0) {
            self.sent_to_first_node.push(self.now);
        }
    }
    fn complete_query(&mut self, _query: QueryId, _completion: Completion) {}
}

/// A router and its clients.
struct Router {
    balancer: Balancer,
    front_end: FrontEnd,
    /// Its share of the traffic of all routers.
    share_of_traffic: f64,
    next_id: usize,
}

impl Router {
    fn new(seed: u64, rule: &ColdOverloadRule, routers: usize, share_of_traffic: f64) -> Router {
        let mut balancer = Balancer::new(seed, settings(rule, routers));
        balancer.ensure_classes(1);
        let nodes: Vec<_> = (0..NODES).map(|node| (node, EndpointState::Ready, 0)).collect();
        balancer.endpoint_update_started(NOW, EndpointUpdate::Full);
        for &(node, state, started_at) in &nodes {
            balancer.endpoint_listed(NOW, &endpoint(node, 0, state, started_at));
        }
        balancer.endpoint_update_finished(NOW, &mut Recorder::default());
        Router {
            balancer,
            front_end: FrontEnd {
                now: NOW,
                random: fastrand::Rng::with_seed(seed),
                pending: Vec::new(),
                sent_to_first_node: Vec::new(),
            },
            share_of_traffic,
            next_id: 0,
        }
    }

    /// Lets the queries and answers of an interval come, and decides.
    fn step(&mut self, now: Micros, utilization: f64) {
        self.front_end.now = now;
        let front_end = &mut self.front_end;
        let pending = std::mem::take(&mut front_end.pending);
        let (due, later): (Vec<_>, Vec<_>) = pending.into_iter().partition(|end| end.ends_at <= now);
        front_end.pending = later;
        for end in due {
            let outcome = AttemptOutcome::Succeeded;
            end_attempt(&mut self.balancer, now, end.attempt, end.node, outcome, end.latency);
        }
        for _ in 0..self.draw_arrivals(utilization) {
            self.arrive(now);
        }
        self.balancer.decide(now, &mut self.front_end);
    }

    /// The number of queries in an interval, by chance (Poisson distribution).
    fn draw_arrivals(&mut self, utilization: f64) -> usize {
        let shard_requests = utilization * NODES as f64 * INTERVAL as f64 / MEAN_WORK as f64;
        let mean_size = (1 + MAX_SHARD_REQUESTS) as f64 / 2.0;
        let limit = (-self.share_of_traffic * shard_requests / mean_size).exp();
        let (mut count, mut product) = (0, self.front_end.random.f64());
        while product > limit {
            product *= self.front_end.random.f64();
            count += 1;
        }
        count
    }

    fn arrive(&mut self, now: Micros) {
        let (id, size) = (self.next_id, self.front_end.random.usize(1..=MAX_SHARD_REQUESTS));
        self.next_id += 1 + MAX_SHARD_REQUESTS;
        self.balancer.query_arrived(now, &query(id, now + 2_000_000, size));
        for index in 0..size {
            let arrival = shard_request(id + 1 + index, id, index, 1.0 / size as f64);
            self.balancer.shard_request_arrived(now, &arrival);
        }
    }

    fn node_restarted(&mut self, now: Micros) {
        self.balancer.endpoint_update_started(now, EndpointUpdate::Incremental);
        self.balancer.endpoint_listed(now, &endpoint(0, 0, EndpointState::Ready, now));
        self.balancer.endpoint_update_finished(now, &mut Recorder::default());
        self.front_end.sent_to_first_node.clear();
    }
}

/// The traffic of all routers together.
#[derive(Clone, Copy)]
struct Traffic {
    /// The share of all nodes' capacity that it takes before the restart of the node, and after it.
    utilization: [f64; 2],
    /// How long it lasts before the restart of the node.
    restart_after: Micros,
}

/// The highest load of a node that warms up, as a multiple of what it may be sent in a window. Each router gets a
/// share of the traffic by its weight.
fn peak_load(seed: u64, rule: &ColdOverloadRule, weights: &[f64], traffic: Traffic) -> f64 {
    let total: f64 = weights.iter().sum();
    let new = |(index, weight): (usize, &f64)| {
        Router::new(seed * 1_000 + index as u64, rule, weights.len(), weight / total)
    };
    let mut routers: Vec<Router> = weights.iter().enumerate().map(new).collect();
    let restart_at = NOW + traffic.restart_after;
    let end = restart_at + rule.warm_up;
    for now in (NOW..end).step_by(INTERVAL as usize) {
        for router in &mut routers {
            if now == restart_at {
                router.node_restarted(now);
            }
            router.step(now, traffic.utilization[(now >= restart_at) as usize]);
        }
    }
    let sent = routers.iter().flat_map(|router| &router.front_end.sent_to_first_node);
    let mut sent: Vec<Micros> = sent.copied().collect();
    sent.sort_unstable();
    let load = |(last, &at): (usize, &Micros)| {
        let first = sent.partition_point(|&other| other <= at - rule.window);
        (last + 1 - first) as f64 / allowed(rule, at - restart_at)
    };
    sent.iter().enumerate().map(load).fold(0.0, f64::max)
}

/// A rule that allows little, for a window of a second.
const RULE: ColdOverloadRule =
    ColdOverloadRule { window: 1_000_000, multiple: 1.5, initial_capacity_share: 0.2, warm_up: 4_000_000 };
/// Nearly all that warm nodes can take.
const BUSY: Traffic = Traffic { utilization: [0.95, 0.95], restart_after: 14_000_000 };
/// Twice as much from the restart on.
const BURST: Traffic = Traffic { utilization: [0.5, 1.0], restart_after: 14_000_000 };
/// As busy, from routers that have just started.
const SOON_AFTER_START: Traffic = Traffic { restart_after: 8_000_000, ..BUSY };

/// The weights of 32 routers, the busiest of which has ten times the traffic of the quietest.
fn unequal_weights() -> Vec<f64> {
    (0..32).map(|index| 10f64.powf(index as f64 / 31.0)).collect()
}

/// The weights of 32 routers, half of which have hardly any traffic.
fn half_idle_weights() -> Vec<f64> {
    (0..32).map(|index| if index < 16 { 2.0 } else { 0.1 }).collect()
}

/// What happens: routers together send a node that warms up more than the rule allows, on a simulated clock up to 1.34
/// times as much. Why: each assigned up to a full batch once a single shard request fitted, and sent what it had saved
/// up on top of its part of the window. The log of a soak run (seed 101) showed it: "sent 136038 allowance 86166" and
/// "planned 1" at each decision, while batches of up to four followed.
#[test]
fn routers_with_equal_traffic_together_keep_to_what_a_warming_node_may_be_sent() {
    for routers in [6, 64] {
        let peak = peak_load(1, &RULE, &vec![1.0; routers], BUSY);
        assert!(peak <= 1.0, "{routers} routers: {peak:.2} of what is allowed");
    }
}

#[test]
fn routers_with_unequal_traffic_together_keep_to_what_a_warming_node_may_be_sent() {
    for (name, weights) in [("unequal", unequal_weights()), ("half idle", half_idle_weights())] {
        let peak = peak_load(1, &RULE, &weights, BUSY);
        assert!(peak <= 1.0, "{name}: {peak:.2} of what is allowed");
    }
}

#[test]
fn a_burst_at_a_warming_node_stays_within_what_it_may_be_sent() {
    for (name, weights) in [("equal", vec![1.0; 64]), ("unequal", unequal_weights())] {
        let peak = peak_load(1, &RULE, &weights, BURST);
        assert!(peak <= 1.0, "{name}: {peak:.2} of what is allowed");
    }
}

/// What happens: soon after their start many routers together send a node that warms up more than the rule allows. Why:
/// until latencies are known each shard request counts as a tenth of its latency objective, here 100 ms for 8 ms of work,
/// and for 10 s this stays in the average by which a router saves up.
#[test]
fn soon_after_their_start_many_routers_keep_to_what_a_warming_node_may_be_sent() {
    for (routers, traffic) in [(64, SOON_AFTER_START), (300, BURST)] {
        let peak = peak_load(1, &RULE, &vec![1.0; routers], traffic);
        assert!(peak <= 1.0, "{routers} routers: {peak:.2} of what is allowed");
    }
}

/// A balancer of one of `routers` routers whose node 0 starts now, with batches of four shard requests of 10 ms.
fn balancer_with_warming_node(routers: f64) -> Balancer {
    let mut balancer = balancer_with(Idempotency::Idempotent, |settings| {
        *settings =
            Settings { routers, shards: std::mem::take(&mut settings.shards), ..self::settings(&RULE, 1) };
    });
    balancer.statistics.shard_request_work = Some(10_000);
    update_endpoints(&mut balancer, EndpointUpdate::Incremental, &[(0, EndpointState::Ready, NOW)]);
    balancer
}

#[test]
fn a_batch_to_a_warming_node_carries_no_more_than_fits_into_the_window() {
    // 1.5 x 0.2 x 1 s / 10 routers is 30 ms of work: three shard requests of four.
    let balancer = balancer_with_warming_node(10.0);
    assert_eq!(balancer.slow_start_batch_limit(NOW, NodeId(0), 0, 0, 4), 3);
    assert_eq!(balancer.slow_start_batch_limit(NOW, NodeId(0), 2, 0, 4), 1);
    assert_eq!(balancer.slow_start_batch_limit(NOW, NodeId(1), 0, 0, 4), 4, "node 1 is warm");
}

#[test]
fn a_router_with_more_traffic_than_others_sends_a_warming_node_its_part_of_a_warm_nodes_work() {
    let mut balancer = balancer_with_warming_node(10.0);
    // 0.02 shard requests in a millisecond are 0.2 of a core, twice an equal part: 60 ms of work in a window.
    balancer.statistics.mean_request_rate = 0.00002;
    assert!(
        balancer.slow_start_allows(NOW, NodeId(0), 6, 0) && !balancer.slow_start_allows(NOW, NodeId(0), 7, 0)
    );
}

#[test]
fn work_that_was_sent_before_latencies_were_known_does_not_raise_the_part_of_a_router() {
    let mut balancer = balancer_with_warming_node(10.0);
    // Ten shard requests of 10 ms in a second are 0.05 of a core at each of two nodes, though 100 ms were assumed.
    balancer.statistics.work_sent.push_times(NOW - 1, 100_000.0, 10);
    balancer.refresh_statistics(NOW);
    assert!((balancer.statistics.mean_utilization() - 0.05).abs() < 1e-9);
    assert!(!balancer.slow_start_allows(NOW, NodeId(0), 4, 0));
}

#[test]
fn among_many_routers_all_of_the_last_batch_is_saved_up_again_before_the_next_one() {
    let mut balancer = balancer_with_warming_node(100.0);
    balancer.statistics.mean_work_rate = 0.1;
    balancer.nodes[NodeId(0)].work_sent.push_times(NOW + 1, 10_000.0, 4);
    // 40 ms at 1.5 x 0.2 x 0.1 to 1.5 x 0.5 x 0.1 of the time take less than 1 s and more than 0.5 s.
    assert!(!balancer.slow_start_allows(NOW + 500_000, NodeId(0), 1, 0));
    assert!(balancer.slow_start_allows(NOW + 1_100_000, NodeId(0), 1, 0));
}

#[test]
fn a_node_that_could_not_be_reached_also_gets_what_was_saved_up_since_no_start_is_listed() {
    let mut balancer = balancer_with_warming_node(10.0);
    balancer.statistics.mean_work_rate = 0.5;
    for node in [NodeId(0), NodeId(1)] {
        balancer.nodes[node].last_connect_failure_at = NOW;
        balancer.nodes[node].work_sent.push(NOW + 1, 1_000_000.0);
    }
    let later = NOW + 3_900_000;
    balancer.nodes[NodeId(0)].work_sent.push(later, 1_000_000.0);
    balancer.nodes[NodeId(1)].work_sent.push(later - 100_000, 10_000.0);
    balancer.nodes[NodeId(1)].work_sent.push(later - 90_000, 10_000.0);
    assert!(!balancer.slow_start_allows(later, NodeId(0), 1, 0), "its start is listed: the window is spent");
    assert!(balancer.slow_start_allows(later, NodeId(1), 1, 0));
    assert_eq!(balancer.slow_start_batch_limit(later, NodeId(1), 0, 0, 4), 4);
}

#[test]
fn an_outage_after_a_listed_start_does_not_begin_the_warm_up_again() {
    let mut balancer = balancer_with_warming_node(10.0);
    balancer.nodes[NodeId(0)].last_connect_failure_at = NOW + 3_000_000;
    assert_eq!(balancer.slow_start(NOW + 3_500_000, NodeId(0)).map(|slow_start| slow_start.since), Some(NOW));
}
