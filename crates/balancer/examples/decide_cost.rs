//! Measures the time per decision, the time per query and the resident memory of the balancer for a fleet size:
//! `cargo run --release --example decide_cost -- NODES ROUTERS`.
//!
//! During 20 s of simulated time, five queries of 53 shard requests arrive per second, and each attempt is
//! answered after 20 ms.

use balancer::{
    Actions, AttemptEnd, AttemptId, AttemptNumber, AttemptOutcome, Balancer, BatchSettings, ClassSettings,
    Completion, Endpoint, EndpointState, EndpointUpdate, Events, Idempotency, LimitSettings, Micros, NodeId,
    QueryArrival, QueryId, Settings, ShardRequestArrival, ShardRequestId, ShardSettings,
};
use std::time::{Duration, Instant};

const DECISION_INTERVAL: Micros = 5_000;
const DURATION: Micros = 20_000_000;
const START: Micros = 1_000_000_000;
/// Number of decisions between two queries.
const QUERY_INTERVAL: Micros = 40;
const QUERY_SIZE: usize = 53;
const ANSWER_LATENCY: Micros = 20_000;
/// Number of queries after which identifiers are reused, as a front end does after their release.
const QUERY_SLOTS: usize = 100;

struct PendingAnswer {
    at: Micros,
    shard_request: ShardRequestId,
    node: NodeId,
}

/// Simulated nodes that answer every attempt.
#[derive(Default)]
struct Fleet {
    now: Micros,
    pending: Vec<PendingAnswer>,
    complete_queries: usize,
}

impl Actions for Fleet {
    fn send_attempt(&mut self, shard_request: ShardRequestId, node: NodeId, _timeout: Option<Micros>) {
        self.pending.push(PendingAnswer { at: self.now + ANSWER_LATENCY, shard_request, node });
    }
    fn complete_query(&mut self, _query: QueryId, completion: Completion) {
        self.complete_queries += (completion == Completion::Complete) as usize;
    }
}

impl Fleet {
    /// Passes the answers that are due to the balancer.
    fn report_answers(&mut self, balancer: &mut Balancer) {
        let (due, later): (Vec<PendingAnswer>, Vec<PendingAnswer>) =
            std::mem::take(&mut self.pending).into_iter().partition(|answer| answer.at <= self.now);
        self.pending = later;
        for PendingAnswer { shard_request, node, .. } in due {
            let end = AttemptEnd {
                attempt: AttemptId::new(shard_request, AttemptNumber(0)),
                node,
                outcome: AttemptOutcome::Succeeded,
                latency: ANSWER_LATENCY,
                load: &[],
            };
            balancer.attempt_ended(self.now, &end);
        }
    }
}

fn settings(replica_sets: usize, routers: usize) -> Settings {
    let class = ClassSettings {
        idempotency: Idempotency::Idempotent,
        latency_objective: Some(300_000),
        deadline: 1_000_000,
        ..Default::default()
    };
    let shards = ShardSettings {
        replica_sets: Some(replica_sets),
        replica_sets_per_shard: Some(1),
        ..Default::default()
    };
    Settings {
        shards,
        routers: routers.max(1) as f64,
        decision_interval: DECISION_INTERVAL,
        batch: BatchSettings { max_shard_requests: Some(4), ..Default::default() },
        limits: LimitSettings { max_attempts: Some(3), ..Default::default() },
        classes: vec![class],
        ..Default::default()
    }
}

fn report_endpoints(balancer: &mut Balancer, fleet: &mut Fleet, nodes: usize, replica_sets: usize) {
    balancer.endpoint_update_started(START, EndpointUpdate::Full);
    for node in 0..nodes {
        let endpoint = Endpoint {
            node: NodeId(node),
            zone: 0,
            replica_set: node % replica_sets,
            state: EndpointState::Ready,
            scale: 1.0,
            started_at: 0,
        };
        balancer.endpoint_listed(START, &endpoint);
    }
    balancer.endpoint_update_finished(START, fleet);
}

fn report_query(balancer: &mut Balancer, now: Micros, sequence: usize, replica_sets: usize) {
    let id = sequence % QUERY_SLOTS * (QUERY_SIZE + 1);
    let query = QueryArrival {
        query: QueryId(id),
        class: 0,
        tenant: 0,
        deadline: now + 1_000_000,
        work: 0,
        shard_requests: QUERY_SIZE,
        is_retry: false,
    };
    balancer.query_arrived(now, &query);
    for index in 0..QUERY_SIZE {
        let shard_request = ShardRequestArrival {
            shard_request: ShardRequestId(id + 1 + index),
            query: QueryId(id),
            shard: (sequence * 7 + index * 5) % replica_sets,
            weight: 1.0 / QUERY_SIZE as f64,
            work: 0,
        };
        balancer.shard_request_arrived(now, &shard_request);
    }
}

/// Returns the resident memory of this process in MiB, assuming pages of 4 KiB.
fn resident_mib() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = statm.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(f64::NAN);
    pages / 256.0
}

fn main() {
    let argument = |index: usize, default: usize| {
        std::env::args().nth(index).and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let (nodes, routers) = (argument(1, 200), argument(2, 300));
    let replica_sets = (nodes / 2).max(1);
    let mut balancer = Balancer::new(1, settings(replica_sets, routers));
    let mut fleet = Fleet::default();
    report_endpoints(&mut balancer, &mut fleet, nodes, replica_sets);
    let (mut elapsed_total, mut decisions, mut queries) = (Duration::ZERO, 0, 0);
    for interval in 0..DURATION / DECISION_INTERVAL {
        fleet.now = START + interval * DECISION_INTERVAL;
        if interval % QUERY_INTERVAL == 0 {
            report_query(&mut balancer, fleet.now, queries, replica_sets);
            queries += 1;
        }
        fleet.report_answers(&mut balancer);
        let started = Instant::now();
        balancer.decide(fleet.now, &mut fleet);
        elapsed_total += started.elapsed();
        decisions += 1;
    }
    let micros = elapsed_total.as_secs_f64() * 1e6;
    println!(
        "{nodes} nodes, {routers} routers: {:.1} us a decision, {:.0} us a query, {:.1} MiB resident, \
         {} of {queries} complete",
        micros / decisions as f64,
        micros / queries as f64,
        resident_mib(),
        fleet.complete_queries
    );
}
