//! The configuration of the routers of a run, and the figures that the judge needs of it.

use serde_json::{Value as Json, json};
use std::net::SocketAddr;

/// The most descriptors that a router may hold.
pub const MAX_DESCRIPTORS: usize = 128;
/// The most memory that a router may take, in mebibytes.
pub const MAX_MEMORY_MB: usize = 64;
/// How many shards there are; each replica set holds all of them.
pub const SHARDS: usize = 8;
/// The mean time that a data node works on a shard request.
pub const MEAN_WORK_MS: u64 = 8;
/// How long a node may still be sent to after its drain was told.
pub const DRAIN_GRACE_MS: i64 = 500;
/// The share of its capacity that a node has at its start.
pub const COLD_SHARE: f64 = 0.2;
/// How much of its capacity a node that warms up bears.
pub const COLD_MULTIPLE: f64 = 1.5;
/// In which time that counts.
pub const COLD_WINDOW_MS: i64 = 1000;
/// How long a node warms up.
pub const WARM_UP_MS: i64 = 4000;
/// How many further attempts are free in each window of the budget, and the share of arrivals beside them.
pub const FREE_ATTEMPTS: f64 = 10.0;
/// The share of arrivals that may be further attempts.
pub const BUDGET_SHARE: f64 = 0.2;
/// The window of the budget.
pub const BUDGET_WINDOW_MS: i64 = 10_000;

/// A service class: its name, whether it may simply be repeated, its latency objective, its deadline.
pub struct Class {
    pub name: &'static str,
    pub is_idempotent: bool,
    pub objective_ms: i64,
    pub deadline_ms: i64,
}

/// The service classes.
pub const CLASSES: [Class; 4] = [
    Class { name: "look", is_idempotent: true, objective_ms: 750, deadline_ms: 1500 },
    Class { name: "pay", is_idempotent: false, objective_ms: 750, deadline_ms: 1500 },
    Class { name: "report", is_idempotent: true, objective_ms: 2500, deadline_ms: 5000 },
    // Not repeated, so that at nodes that hang through a shutdown it is still out when its answer is owed.
    Class { name: "transfer", is_idempotent: false, objective_ms: 5000, deadline_ms: 5000 },
];

/// The longest deadline of any class.
pub fn longest_deadline_ms() -> i64 {
    CLASSES.iter().map(|class| class.deadline_ms).max().unwrap_or(0)
}

/// The configuration of a router.
pub fn router_config(
    index: usize, routers: usize, listen: SocketAddr, discovery: SocketAddr, pushed: bool, known: &Json,
    seed: u64,
) -> Json {
    let nanoseconds = |milliseconds: i64| milliseconds * 1_000_000;
    let services: Vec<Json> = CLASSES
        .iter()
        .map(|class| {
            let idempotency = if class.is_idempotent { "read_like" } else { "non_idempotent" };
            json!({"name": class.name, "idempotency": idempotency, "targetNs": nanoseconds(class.objective_ms),
                "deadlineNs": nanoseconds(class.deadline_ms)})
        })
        .collect();
    json!({"name": format!("r{index}"), "listen": listen, "discovery": discovery, "seed": format!("{seed:x}"),
        "limits": {"sockets": MAX_DESCRIPTORS, "memory_mb": MAX_MEMORY_MB}, "known": known,
        "settings": {"tickNs": 5_000_000, "registryMode": if pushed { "push" } else { "ask" }, "zones": ["z"],
            "zone": 0, "instances": routers,
            "familyInfo": {"sets": 1, "shards": SHARDS, "width": 1, "bundleMax": 4},
            "ceilings": {"maxAttempts": 3, "maxStreams": 8, "cancelling": true,
                "connectTimeoutNs": nanoseconds(250), "idleCloseNs": nanoseconds(3000)},
            "obligations": {"askWithinNs": nanoseconds(2000), "drainGraceNs": nanoseconds(DRAIN_GRACE_MS),
                "budgetShare": BUDGET_SHARE, "freeResends": FREE_ATTEMPTS,
                "extraWindowNs": nanoseconds(BUDGET_WINDOW_MS), "coldFrom": COLD_SHARE,
                "tipMultiple": COLD_MULTIPLE, "tipAfterNs": nanoseconds(COLD_WINDOW_MS),
                "warmUpNs": nanoseconds(WARM_UP_MS)},
            "services": services}})
}
