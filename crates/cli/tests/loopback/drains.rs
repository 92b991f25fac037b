//! Tests that a draining node receives no requests once its drain counts as delivered, whatever discovery does.

use crate::rig::{LONG_DEADLINE, QueryStream, RecordingNode, RouterProcess, config};
use serde_json::Value as Json;
use std::time::{Duration, Instant};
use test_servers::{Discovery, member};

/// The time after SIGHUP at which what the new discovery has counts as delivered.
const DELIVERED_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// The time for which a draining node may receive requests: the grace of the configuration, and the allowance of the
/// protocol for sockets.
const GRACE: Duration = Duration::from_millis(550);

/// Two data nodes that a router prefers equally.
struct Nodes {
    staying: RecordingNode,
    draining: RecordingNode,
}

impl Nodes {
    fn start() -> Nodes {
        Nodes { staying: RecordingNode::start(), draining: RecordingNode::start() }
    }

    /// Returns the entries of the endpoint list, with this phase for one of the nodes.
    fn entries(&self, phase: &str) -> Vec<Json> {
        vec![
            member("a", &self.staying.address.to_string(), "z", 0, "ready", 0),
            member("b", &self.draining.address.to_string(), "z", 0, phase, 0),
        ]
    }
}

/// Guards against drains that are learned too late since delays after failed requests add up across a reload.
#[test]
fn drain_is_applied_in_time_after_a_reload_whose_first_requests_to_discovery_fail() {
    let test_name = "drain-reload";
    let nodes = Nodes::start();
    let old_discovery = Discovery::start(8, nodes.entries("ready"));
    let router = RouterProcess::start_reloadable(test_name, &config(old_discovery.address, LONG_DEADLINE));
    router.wait_for_counter("endpoint_lists_full", 2);
    let queries = QueryStream::start(router.connect());
    old_discovery.set_down(true);
    router.wait_for_counter("discovery_failures", 3);
    let new_discovery = Discovery::start(9, nodes.entries("draining"));
    new_discovery.fail_next(2);
    let started = Instant::now();
    router.reload(test_name, &config(new_discovery.address, LONG_DEADLINE));
    let last_allowed_arrival = started + DELIVERED_AFTER_RELOAD + GRACE;
    std::thread::sleep(DELIVERED_AFTER_RELOAD + GRACE + Duration::from_secs(1));
    drop(queries);
    let log = router.terminate();
    assert!(nodes.staying.arrivals_after(last_allowed_arrival) > 0, "queries were sent all the time: {log}");
    assert_eq!(
        nodes.draining.arrivals_after(last_allowed_arrival),
        0,
        "requests at the draining node: {log}"
    );
}
