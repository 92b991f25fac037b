//! Settings, endpoint entries and options that the tests and the example share.
#![allow(dead_code, reason = "the tests and the example each use only some of the items")]

use balancer::{DiscoveryMode, Micros};
use control_plane::Options;
use operator_config::ConfigFile;
use query_router::config::Config;
use serde_json::{Value as Json, json};
use std::net::SocketAddr;
use test_servers::member;

pub const ZONES: [&str; 3] = ["east", "north", "west"];
const MICROS_PER_MILLISECOND: Micros = 1000;

/// Returns the address of the node with this index.
pub fn address(node: usize) -> SocketAddr {
    ([127, 1, (node / 250) as u8, (node % 250) as u8 + 1], 9000).into()
}

/// Returns the ID of the node with this index.
pub fn node_id(node: usize) -> String {
    format!("n{node:04}")
}

/// Returns a node's entry in the endpoint list. Nodes are assigned to replica sets and zones in turn.
pub fn endpoint_entry(node: usize, replica_sets: usize, state: &str, started_at: Micros) -> Json {
    let zone = ZONES[node / replica_sets % ZONES.len()];
    let started_at_ms = started_at / MICROS_PER_MILLISECOND;
    member(&node_id(node), &address(node).to_string(), zone, node % replica_sets, state, started_at_ms)
}

/// Returns the deployment settings. They have one service class of each kind of idempotency.
pub fn settings(replica_sets: usize, replica_sets_per_shard: usize) -> Json {
    json!({"tickNs": 5_000_000, "registryMode": "push", "zones": ZONES, "instances": 4,
        "familyInfo": {"sets": replica_sets, "shards": 2 * replica_sets, "width": replica_sets_per_shard,
            "bundleMax": 4},
        "ceilings": {"maxAttempts": 3, "maxStreams": 8, "connectTimeoutNs": 250_000_000u64,
            "idleCloseNs": 30_000_000_000u64},
        "obligations": {"drainGraceNs": 500_000_000u64, "tipAfterNs": 1_000_000_000u64, "tipMultiple": 1.5,
            "coldFrom": 0.25, "warmUpNs": 10_000_000_000u64, "budgetShare": 0.1, "freeResends": 20,
            "extraWindowNs": 10_000_000_000u64},
        "services": [
            {"name": "look", "idempotency": "read_like", "targetNs": 400_000_000, "deadlineNs": 2_000_000_000u64},
            {"name": "credit", "idempotency": "non_idempotent", "targetNs": 400_000_000,
                "deadlineNs": 2_000_000_000u64},
            {"name": "pay", "idempotency": "idempotency_key", "deadlineNs": 2_000_000_000u64}]})
}

/// Returns a configuration with these cached endpoints.
pub fn config(replica_sets: usize, replica_sets_per_shard: usize, endpoints: Vec<Json>) -> Config {
    let mut settings = settings(replica_sets, replica_sets_per_shard);
    // `Config::parse` rejects service classes with idempotency keys, so the last class is left out.
    let classes = settings["services"].as_array_mut().expect("an array of service classes");
    classes.truncate(2);
    let json = json!({"name": "c0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "2a",
        "limits": {"sockets": 64}, "known": {"revision": 1, "complete": true, "members": endpoints},
        "settings": settings});
    Config::parse(&json.to_string()).expect("a valid configuration")
}

/// Returns a configuration like [`config`] with other values of `registryMode`, the drain grace and the seed.
pub fn config_with(
    mode: DiscoveryMode, drain_grace: Micros, seed: u64, replica_sets: usize, endpoints: Vec<Json>,
) -> Config {
    let mut config = Config { seed, ..config(replica_sets, 1, endpoints) };
    config.settings.discovery_mode = mode;
    config.settings.rules.drain_grace = drain_grace;
    config.settings.rules.poll_within = 10_000_000;
    config
}

/// Returns the options that these lines of section `[control]` set.
pub fn options(lines: &str) -> Options {
    let mut file = ConfigFile::parse("test", &format!("[control]\n{lines}\n")).expect("a valid INI file");
    Options::read(&mut file.section("control")).expect("valid options")
}
