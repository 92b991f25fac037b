//! What a settle costs and holds as the fleet grows: `cargo run --release --example settle -- NODES ROUTERS`.
//! A router is asked five retrievals of 53 parts a second for 20 s of its own clock; each shot is answered in 20 ms.

use balancer::{Actions, Balance, End, Events, Listing, Micros, Node, Outcome, Phase, Settings, Value};
use std::time::Instant;

const TICK: Micros = 5_000;
const PARTS: usize = 53;

#[derive(Default)]
struct Fleet {
    now: Micros,
    back: Vec<(Micros, usize, Node)>,
    whole: usize,
}

impl Actions for Fleet {
    fn send(&mut self, part: usize, node: Node, _allow: Micros) {
        self.back.push((self.now + 20_000, part, node));
    }
    fn finish(&mut self, _retrieval: usize, end: End) {
        self.whole += (end == End::Whole) as usize;
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
    let (mut router, mut fleet) = (Balance::new(1, settings), Fleet::default());
    let start = 1_000_000_000;
    router.list_begins(start, Listing::Whole);
    (0..nodes).for_each(|n| router.listed(start, n, 0, n % cells, Phase::Ready, 1.0, 0));
    router.list_ends(start, &mut fleet);
    let (mut spent, mut settles, mut asked) = (0.0, 0, 0);
    for tick in 0..20_000_000 / TICK {
        fleet.now = start + tick * TICK;
        if tick % 40 == 0 {
            // Indices are used again, as a front does once they are forgotten.
            let r = asked % 100 * (PARTS + 1);
            router.retrieval(fleet.now, r, 0, 0, fleet.now + 1_000_000, 0, PARTS, false);
            for i in 0..PARTS {
                router.part(fleet.now, r, r + 1 + i, (asked * 7 + i * 5) % cells, 1.0 / PARTS as f64, 0);
            }
            asked += 1;
        }
        let (due, later) = std::mem::take(&mut fleet.back).into_iter().partition(|b| b.0 <= fleet.now);
        fleet.back = later;
        let due: Vec<(Micros, usize, Node)> = due;
        due.into_iter().for_each(|(_, p, n)| router.outcome(fleet.now, p, 0, n, Outcome::Ok, 20_000, &[]));
        let began = Instant::now();
        router.settle(fleet.now, &mut fleet);
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
