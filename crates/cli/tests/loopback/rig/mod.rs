//! A test rig that runs the router as a process. The test controls the clients, data nodes and discovery at the other
//! ends of its connections: the bytes that they send, and when they accept, delay or close.

mod client;
mod config_file;
mod data_node;
mod discovery;
mod faulty_router;
mod query_stream;
mod recording_node;
mod router_process;

pub use client::{Client, query};
pub use config_file::BlockingConfigFile;
pub use data_node::{DataNode, FullBacklogNode, frame};
pub use discovery::{DiscoveryConnection, ScriptedDiscovery};
pub use faulty_router::FaultyRouter;
pub use query_stream::QueryStream;
pub use recording_node::RecordingNode;
pub use router_process::RouterProcess;

use data_node::accept;
use serde_json::{Value as Json, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use test_servers::{Discovery, member};

/// The maximum time that a test waits for an event before it fails.
pub const MAX_WAIT: Duration = Duration::from_secs(30);

/// A deadline that expires in no test.
pub const LONG_DEADLINE: Duration = Duration::from_secs(20);

/// Returns a configuration with this address of discovery and two service classes with this deadline: `look`, which is
/// idempotent, and `pay`, which is not.
pub fn config(discovery: SocketAddr, deadline: Duration) -> Json {
    let class = |name: &str, idempotency: &str| json!({"name": name, "idempotency": idempotency, "deadlineNs": deadline.as_nanos() as u64});
    json!({"name": "r0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "2a",
        "limits": {"sockets": 64}, "known": {"revision": 7, "complete": true, "members": []},
        "settings": {"tickNs": 0, "registryMode": "ask", "zones": ["z"], "zone": 0,
            "familyInfo": {"sets": 1, "shards": 8, "width": 1, "bundleMax": 4},
            "ceilings": {"maxAttempts": 3, "maxStreams": 8, "cancelling": true,
                "connectTimeoutNs": 20_000_000_000u64, "idleCloseNs": 90_000_000_000u64},
            "obligations": {"askWithinNs": 60_000_000_000u64, "drainGraceNs": 500_000_000},
            "services": [class("look", "read_like"), class("pay", "non_idempotent")]}})
}

/// Starts a discovery service whose endpoint list has one ready node.
pub fn discovery_with_node(node: SocketAddr) -> Discovery {
    Discovery::start(8, vec![member("a", &node.to_string(), "z", 0, "ready", 0)])
}

/// Returns an entry of the endpoint list: a ready node that started at this time.
pub fn node_entry(id: &str, node: SocketAddr, up_since_ms: i64) -> Json {
    member(id, &node.to_string(), "z", 0, "ready", up_since_ms)
}

/// Starts a router and a discovery service with one node, and waits until the router has received the endpoint list.
pub fn start_with_node(test_name: &str, node: SocketAddr, deadline: Duration) -> (RouterProcess, Discovery) {
    let discovery = discovery_with_node(node);
    let router = RouterProcess::start(test_name, &config(discovery.address, deadline));
    router.wait_for_counter("endpoint_lists_full", 2);
    (router, discovery)
}

/// Returns the path of the configuration file for a test.
pub fn config_path(test_name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("yewpier-{test_name}-{}.json", std::process::id()))
}
