//! A small fleet on a simulated clock: 40 replica sets, each with one shard and two nodes. The balancer under test is
//! one of 300 routers. Queries of class 0 have one shard request, those of class 1 twenty. Nodes answer in 20 ms or
//! reject in 3 ms.

use super::rig::*;
use super::*;
use std::collections::BTreeMap;

/// The end of an attempt that has not been reported yet.
struct PendingEnd {
    ends_at: Micros,
    attempt: AttemptId,
    node: NodeId,
    outcome: AttemptOutcome,
    latency: Micros,
}

struct Fleet {
    balancer: Balancer,
    /// The nodes that reject every attempt.
    rejecting: Vec<usize>,
    pending: Vec<PendingEnd>,
    /// How many attempts were sent, by shard request.
    attempts: BTreeMap<ShardRequestId, usize>,
    now: Micros,
    /// For each query that ended, whether it was complete in time.
    in_time: Vec<bool>,
}

impl Actions for Fleet {
    fn send_attempt(&mut self, shard_request: ShardRequestId, node: NodeId, _timeout: Option<Micros>) {
        let attempts = self.attempts.entry(shard_request).or_default();
        let (outcome, latency) = if self.rejecting.contains(&node.0) {
            (AttemptOutcome::Rejected, 3_000)
        } else {
            (AttemptOutcome::Succeeded, 20_000)
        };
        let attempt = AttemptId::new(shard_request, AttemptNumber(*attempts));
        self.pending.push(PendingEnd { ends_at: self.now + latency, attempt, node, outcome, latency });
        *attempts += 1;
    }
    fn complete_query(&mut self, query: QueryId, completion: Completion) {
        let arrived_at = NOW + (query.0 / 100) as Micros * 500_000;
        self.in_time.push(completion == Completion::Complete && self.now <= arrived_at + 300_000);
    }
}

fn settings() -> Settings {
    let class = ClassSettings {
        idempotency: Idempotency::Idempotent,
        latency_objective: Some(300_000),
        deadline: 1_000_000,
        ..Default::default()
    };
    let rules = RuleSettings {
        cold_overload_window: 3_000_000,
        cold_overload_multiple: 2.5,
        cold_capacity_share: 0.2,
        warm_up: 18_000_000,
        ..Default::default()
    };
    Settings {
        shards: ShardSettings {
            replica_sets: Some(40),
            replica_sets_per_shard: Some(1),
            ..Default::default()
        },
        routers: 300.0,
        batch: BatchSettings { max_shard_requests: Some(4), work: 7_000 },
        limits: LimitSettings { max_attempts: Some(3), ..Default::default() },
        decision_interval: 5_000,
        rules,
        classes: vec![class.clone(), class],
        ..Default::default()
    }
}

impl Fleet {
    /// A fleet with the replica set and the start time of each node, and the nodes that reject every attempt.
    fn new(nodes: &[(usize, Micros)], rejecting: &[usize]) -> Fleet {
        let mut balancer = Balancer::new(3, settings());
        balancer.endpoint_update_started(NOW, EndpointUpdate::Cached);
        for (node, &(replica_set, started_at)) in nodes.iter().enumerate() {
            balancer.endpoint_listed(NOW, &endpoint(node, replica_set, EndpointState::Ready, started_at));
        }
        balancer.endpoint_update_finished(NOW, &mut Recorder::default());
        let (pending, attempts, in_time) = (Vec::new(), BTreeMap::new(), Vec::new());
        Fleet { balancer, rejecting: rejecting.to_vec(), pending, attempts, now: NOW, in_time }
    }

    /// Runs the fleet for 22 s. In each of the first 20 s a query of each of `classes` arrives. Returns how many
    /// queries were not complete in time.
    fn run(mut self, classes: &[usize]) -> usize {
        let mut balancer = std::mem::take(&mut self.balancer);
        for interval in 0..4_400 {
            self.now = NOW + interval * 5_000;
            let (second, offset) = (interval as usize / 200, interval % 200);
            let class = (offset > 0) as usize;
            if offset % 100 == 0 && second < 20 && classes.contains(&class) {
                self.arrive(&mut balancer, second, class);
            }
            self.report_ends(&mut balancer);
            balancer.decide(self.now, &mut self);
        }
        assert_eq!(self.in_time.len(), 20 * classes.len(), "each query gets one answer");
        self.in_time.iter().filter(|in_time| !**in_time).count()
    }

    fn arrive(&self, balancer: &mut Balancer, second: usize, class: usize) {
        let id = 100 * (2 * second + class);
        let size = [1, 20][class];
        balancer.query_arrived(self.now, &QueryArrival { class, ..query(id, self.now + 1_000_000, size) });
        for index in 0..size {
            let shard = (second + 2 * index) % 40;
            let arrival = shard_request(id + 1 + index, id, shard, 1.0 / size as f64);
            balancer.shard_request_arrived(self.now, &arrival);
        }
    }

    fn report_ends(&mut self, balancer: &mut Balancer) {
        let (due, later) =
            std::mem::take(&mut self.pending).into_iter().partition(|end| end.ends_at <= self.now);
        self.pending = later;
        let due: Vec<PendingEnd> = due;
        for end in due {
            end_attempt(balancer, self.now, end.attempt, end.node, end.outcome, end.latency);
        }
    }
}

#[test]
fn after_a_rolling_restart_of_half_the_nodes_a_new_router_answers_every_class() {
    let old = (0..40).map(|replica_set| (replica_set, 0));
    let new = (0..40).map(|replica_set| (replica_set, NOW - 1_000_000));
    let nodes: Vec<_> = old.chain(new).collect();
    for classes in [&[0][..], &[1], &[0, 1]] {
        assert_eq!(Fleet::new(&nodes, &[]).run(classes), 0, "{classes:?}");
    }
}

#[test]
fn rejecting_nodes_delay_no_class_at_a_router_with_little_load() {
    let nodes: Vec<_> = (0..80).map(|node| (node % 40, 0)).collect();
    for classes in [&[0][..], &[1], &[0, 1]] {
        assert_eq!(Fleet::new(&nodes, &[3, 4, 5, 6]).run(classes), 0, "{classes:?}");
    }
}
