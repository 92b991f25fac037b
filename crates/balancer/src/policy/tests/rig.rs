//! Helpers of the tests: a balancer with two nodes, the events that it receives, and a recorder of its actions.

use super::*;
pub use crate::{
    AttemptId, AttemptNumber, BatchSettings, ClassSettings, Endpoint, EndpointState, EndpointUpdate, Events,
    LimitSettings, RuleSettings, Settings, ShardRequestArrival, ShardSettings, TenantSettings,
};

/// Records the actions that the balancer requests, one line each.
#[derive(Default)]
pub struct Recorder(pub Vec<String>);

impl Actions for Recorder {
    fn send_attempt(&mut self, shard_request: ShardRequestId, node: NodeId, _timeout: Option<Micros>) {
        self.0.push(format!("send {} {}", shard_request.0, node.0));
    }
    fn cancel_attempt(&mut self, attempt: AttemptId) {
        self.0.push(format!("cancel {} {}", attempt.shard_request.0, attempt.number.0));
    }
    fn complete_query(&mut self, query: QueryId, completion: Completion) {
        let text = match completion {
            Completion::Rejected { retry_after } => format!("Rejected({})", retry_after.unwrap_or(0)),
            other => format!("{other:?}"),
        };
        self.0.push(format!("{} {text}", query.0));
    }
    fn release_node(&mut self, node: NodeId) {
        self.0.push(format!("release {}", node.0));
    }
    fn watch_endpoints(&mut self, enabled: bool) {
        self.0.push(format!("watch {enabled}"));
    }
}

/// The time at which most tests begin.
pub const NOW: Micros = 100_000_000;

/// A balancer with one service class, two replica sets and nodes 0 and 1 that each hold every shard.
pub fn balancer(idempotency: Idempotency) -> Balancer {
    balancer_with(idempotency, |_| {})
}

/// Like `balancer`, with settings that `adjust` changes.
pub fn balancer_with(idempotency: Idempotency, adjust: impl FnOnce(&mut Settings)) -> Balancer {
    let class = ClassSettings { idempotency, latency_objective: Some(1_000_000), ..Default::default() };
    let mut settings = Settings { classes: vec![class], ..Default::default() };
    settings.shards.replica_sets = Some(2);
    settings.shards.replica_sets_per_shard = Some(2);
    settings.limits.max_attempts = Some(3);
    settings.limits.hedging = true;
    settings.limits.cancellation = true;
    adjust(&mut settings);
    let mut balancer = Balancer::new(2, settings);
    balancer.ensure_classes(1);
    let nodes = [(0, EndpointState::Ready, 0), (1, EndpointState::Ready, 0)];
    update_endpoints(&mut balancer, EndpointUpdate::Cached, &nodes);
    balancer
}

/// Reports an endpoint update at `NOW` with the id, the state and the start time of each node, and returns the actions.
pub fn update_endpoints(
    balancer: &mut Balancer, update: EndpointUpdate, nodes: &[(usize, EndpointState, Micros)],
) -> Recorder {
    let mut recorder = Recorder::default();
    balancer.endpoint_update_started(NOW, update);
    for &(node, state, started_at) in nodes {
        balancer.endpoint_listed(NOW, &endpoint(node, node, state, started_at));
    }
    balancer.endpoint_update_finished(NOW, &mut recorder);
    recorder
}

/// A node in zone 0.
pub fn endpoint(node: usize, replica_set: usize, state: EndpointState, started_at: Micros) -> Endpoint {
    Endpoint { node: NodeId(node), zone: 0, replica_set, state, scale: 1.0, started_at }
}

/// A query of class 0 and tenant 0.
pub fn query(id: usize, deadline: Micros, shard_requests: usize) -> QueryArrival {
    QueryArrival {
        query: QueryId(id),
        class: 0,
        tenant: 0,
        deadline,
        work: 0,
        shard_requests,
        is_retry: false,
    }
}

/// A shard request of a query.
pub fn shard_request(id: usize, query: usize, shard: usize, weight: f64) -> ShardRequestArrival {
    ShardRequestArrival { shard_request: ShardRequestId(id), query: QueryId(query), shard, weight, work: 0 }
}

/// The identifier of an attempt of a shard request.
pub fn attempt(shard_request: usize, number: usize) -> AttemptId {
    AttemptId::new(ShardRequestId(shard_request), AttemptNumber(number))
}

/// Reports the arrival of query `id`, whose deadline is in 3 s, with shard requests `id + 1 ..`, all for shard 0.
pub fn arrive(balancer: &mut Balancer, id: usize, shard_requests: usize) {
    balancer.query_arrived(NOW, &query(id, NOW + 3_000_000, shard_requests));
    for index in 0..shard_requests {
        let weight = 1.0 / shard_requests as f64;
        balancer.shard_request_arrived(NOW, &shard_request(id + 1 + index, id, 0, weight));
    }
}

/// Reports the end of an attempt.
pub fn end_attempt(
    balancer: &mut Balancer, now: Micros, attempt: AttemptId, node: NodeId, outcome: AttemptOutcome,
    latency: Micros,
) {
    balancer.attempt_ended(now, &AttemptEnd { attempt, node, outcome, latency, load: &[] });
}

/// The observation of an attempt at a node.
pub fn observation(node: usize, class: usize, outcome: AttemptOutcome, latency: Micros) -> Observation {
    Observation { node: NodeId(node), class, outcome, latency }
}

/// Lets the balancer decide, and returns the actions that it requests.
pub fn decide(balancer: &mut Balancer, now: Micros) -> Vec<String> {
    let mut recorder = Recorder::default();
    balancer.decide(now, &mut recorder);
    recorder.0
}

/// Reports the arrival of a query of one shard request and the end of its first attempt (at node 0) with `outcome`,
/// and returns the actions of the next decision.
pub fn after_first_attempt(balancer: &mut Balancer, outcome: AttemptOutcome, now: Micros) -> Vec<String> {
    arrive(balancer, 10, 1);
    assert_eq!(decide(balancer, NOW), ["send 11 0"]);
    end_attempt(balancer, now, attempt(11, 0), NodeId(0), outcome, now - NOW);
    decide(balancer, now)
}
