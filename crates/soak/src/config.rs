//! The configuration of the routers of a run, and the values in it that the checks refer to.

use serde_json::{Value as Json, json};
use std::net::SocketAddr;

/// Limit of the open file descriptors of a router.
pub const MAX_DESCRIPTORS: usize = 128;
/// Limit of the resident memory of a router, in mebibytes.
pub const MAX_MEMORY_MB: usize = 64;
/// Number of shards; each replica set holds all of them.
pub const SHARDS: usize = 8;
/// Mean time that a data node takes to execute a shard request.
pub const MEAN_SERVICE_TIME_MS: u64 = 8;
/// How long a router may still send requests to a node after it has received the update that drains the node.
pub const DRAIN_GRACE_MS: i64 = 500;
/// Share of its full capacity that a node has at its start.
pub const COLD_CAPACITY_SHARE: f64 = 0.2;
/// Load beyond which a node that warms up is overloaded, as a multiple of its current capacity.
pub const COLD_OVERLOAD_MULTIPLE: f64 = 1.5;
/// Window in which that load is counted.
pub const COLD_OVERLOAD_WINDOW_MS: i64 = 1000;
/// Time from the start of a node until it has its full capacity.
pub const WARM_UP_MS: i64 = 4000;
/// Number of retries and hedged attempts that the retry budget allows in each window regardless of the arrivals.
pub const FREE_RETRIES: f64 = 10.0;
/// Number of further retries and hedged attempts that the retry budget allows, as a share of the arrivals.
pub const RETRY_BUDGET_SHARE: f64 = 0.2;
/// Window of the retry budget.
pub const RETRY_BUDGET_WINDOW_MS: i64 = 10_000;

/// A service class. A request of an idempotent class may be executed more than once.
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
    // Not idempotent, thus not retried: while all nodes hang during a shutdown, such a request is still in flight at
    // the time by which the router has to respond.
    Class { name: "transfer", is_idempotent: false, objective_ms: 5000, deadline_ms: 5000 },
];

/// Returns the longest deadline of all service classes.
pub fn longest_deadline_ms() -> i64 {
    CLASSES.iter().map(|class| class.deadline_ms).max().unwrap_or(0)
}

/// Returns the configuration of the router `index`. `known_nodes` is the endpoint list that it starts with. If `pushed`
/// is true it watches discovery, otherwise it polls.
pub fn router_config(
    index: usize, routers: usize, listen: SocketAddr, discovery: SocketAddr, pushed: bool,
    known_nodes: &Json, seed: u64,
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
        "limits": {"sockets": MAX_DESCRIPTORS, "memory_mb": MAX_MEMORY_MB}, "known": known_nodes,
        "settings": {"tickNs": 5_000_000, "registryMode": if pushed { "push" } else { "ask" }, "zones": ["z"],
            "zone": 0, "instances": routers,
            "familyInfo": {"sets": 1, "shards": SHARDS, "width": 1, "bundleMax": 4},
            "ceilings": {"maxAttempts": 3, "maxStreams": 8, "cancelling": true,
                "connectTimeoutNs": nanoseconds(250), "idleCloseNs": nanoseconds(3000)},
            "obligations": {"askWithinNs": nanoseconds(2000), "drainGraceNs": nanoseconds(DRAIN_GRACE_MS),
                "budgetShare": RETRY_BUDGET_SHARE, "freeResends": FREE_RETRIES,
                "extraWindowNs": nanoseconds(RETRY_BUDGET_WINDOW_MS), "coldFrom": COLD_CAPACITY_SHARE,
                "tipMultiple": COLD_OVERLOAD_MULTIPLE, "tipAfterNs": nanoseconds(COLD_OVERLOAD_WINDOW_MS),
                "warmUpNs": nanoseconds(WARM_UP_MS)},
            "services": services}})
}
