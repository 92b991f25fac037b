//! What a settle costs and holds as the fleet grows: `cargo run --release --example decide_cost -- NODES ROUTERS`.
//! A router is asked five retrievals of 53 parts a second for 20 s of its own clock; each shot is answered in 20 ms.

use balancer::{
    Actions, AttemptEnd, AttemptId, AttemptNumber, AttemptOutcome, Balancer, Completion, Endpoint,
    EndpointState, EndpointUpdate, Events, Micros, NodeId, QueryArrival, QueryId, Settings,
    ShardRequestArrival, ShardRequestId, Value,
};
use std::time::Instant;

const TICK: Micros = 5_000;
const PARTS: usize = 53;

#[derive(Default)]
struct Fleet {
    now: Micros,
    back: Vec<(Micros, ShardRequestId, NodeId)>,
    whole: usize,
}

impl Actions for Fleet {
    fn send_attempt(&mut self, shard_request: ShardRequestId, node: NodeId, _timeout: Option<Micros>) {
        self.back.push((self.now + 20_000, shard_request, node));
    }
    fn complete_query(&mut self, _query: QueryId, end: Completion) {
        self.whole += (end == Completion::Complete) as usize;
    }
}

fn main() {
    let number = |at: usize, absent: usize| {
        std::env::args().nth(at).and_then(|word| word.parse().ok()).unwrap_or(absent)
    };
    let (nodes, routers) = (number(1, 200), number(2, 300));
    let cells = (nodes / 2).max(1);
    let mut settings = Settings::default();
    for (name, value) in [
        ("shards.replica_sets", cells as f64),
        ("shards.replica_sets_per_shard", 1.0),
        ("routers", routers as f64),
        ("batch.max_shard_requests", 4.0),
        ("limits.max_attempts", 3.0),
        ("decision_interval_us", TICK as f64),
        ("class.0.latency_objective_us", 3e5),
        ("class.0.deadline_us", 1e6),
    ] {
        settings.set(name, Value::Number(value));
    }
    settings.set("class.0.idempotency", Value::Text("idempotent".into()));
    let (mut router, mut fleet) = (Balancer::new(1, settings), Fleet::default());
    let start = 1_000_000_000;
    router.endpoint_update_started(start, EndpointUpdate::Full);
    (0..nodes).for_each(|n| {
        router.endpoint_listed(
            start,
            &Endpoint {
                node: NodeId(n),
                zone: 0,
                replica_set: n % cells,
                state: EndpointState::Ready,
                scale: 1.0,
                started_at: 0,
            },
        )
    });
    router.endpoint_update_finished(start, &mut fleet);
    let (mut spent, mut settles, mut asked) = (0.0, 0, 0);
    for tick in 0..20_000_000 / TICK {
        fleet.now = start + tick * TICK;
        if tick % 40 == 0 {
            // Indices are used again, as a front does once they are forgotten.
            let r = asked % 100 * (PARTS + 1);
            router.query_arrived(
                fleet.now,
                &QueryArrival {
                    query: QueryId(r),
                    class: 0,
                    tenant: 0,
                    deadline: fleet.now + 1_000_000,
                    work: 0,
                    shard_requests: PARTS,
                    is_retry: false,
                },
            );
            for i in 0..PARTS {
                router.shard_request_arrived(
                    fleet.now,
                    &ShardRequestArrival {
                        shard_request: ShardRequestId(r + 1 + i),
                        query: QueryId(r),
                        shard: (asked * 7 + i * 5) % cells,
                        weight: 1.0 / PARTS as f64,
                        work: 0,
                    },
                );
            }
            asked += 1;
        }
        let (due, later) = std::mem::take(&mut fleet.back).into_iter().partition(|b| b.0 <= fleet.now);
        fleet.back = later;
        let due: Vec<(Micros, ShardRequestId, NodeId)> = due;
        due.into_iter().for_each(|(_, p, n)| {
            router.attempt_ended(
                fleet.now,
                &AttemptEnd {
                    attempt: AttemptId::new(p, AttemptNumber(0)),
                    node: n,
                    outcome: AttemptOutcome::Succeeded,
                    latency: 20_000,
                    load: &[],
                },
            )
        });
        let began = Instant::now();
        router.decide(fleet.now, &mut fleet);
        spent += began.elapsed().as_secs_f64();
        settles += 1;
    }
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = pages.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(f64::NAN);
    println!(
        "{nodes} nodes, {routers} routers: {:.1} us a settle, {:.0} us a retrieval, {:.1} MiB resident, {} of {asked} whole",
        spent * 1e6 / settles as f64,
        spent * 1e6 / asked as f64,
        pages / 256.0,
        fleet.whole
    );
}
