//! Tests that a draining node receives no requests once its drain counts as delivered, whatever discovery does.

use crate::rig::{
    FaultyRouter, LONG_DEADLINE, QueryStream, RecordingNode, RouterProcess, ScriptedDiscovery, config,
};
use fault_control::{Call, Fault};
use serde_json::{Value as Json, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use test_servers::{Discovery, WatchPace, member};

/// The time after SIGHUP at which the list of the new discovery counts as delivered.
const DELIVERED_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// The time after a change at which it counts as delivered if discovery can be reached.
const DELIVERED_AFTER_CHANGE: Duration = Duration::from_secs(6);
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

/// The values of the setting `registryMode`: the router polls, or discovery pushes changes.
const DISCOVERY_MODES: [&str; 2] = ["ask", "push"];

/// Returns a configuration with this address of discovery and this value of the setting `registryMode`.
fn config_with_mode(discovery: SocketAddr, mode: &str) -> Json {
    let mut config = config(discovery, LONG_DEADLINE);
    config["settings"]["registryMode"] = mode.into();
    config
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

/// Guards against a list that is never applied since its response times out while bytes keep coming.
#[test]
fn list_that_takes_longer_than_the_timeout_to_arrive_is_applied() {
    for mode in DISCOVERY_MODES {
        let nodes = Nodes::start();
        let discovery = Discovery::start(8, nodes.entries("draining"));
        // The list has about 330 bytes, so it takes some 6 s.
        discovery.set_pace(WatchPace::Pieces(20, Duration::from_millis(400)));
        let router =
            RouterProcess::start(&format!("slow-list-{mode}"), &config_with_mode(discovery.address, mode));
        router.wait_for_counter("endpoint_list_revision", 8);
        assert_eq!(router.counter("discovery_requests_timed_out"), 0);
        let applied_at = Instant::now();
        let queries = QueryStream::start(router.connect());
        std::thread::sleep(Duration::from_secs(1));
        drop(queries);
        router.terminate();
        assert!(
            nodes.staying.arrivals_after(applied_at) > 0 && nodes.draining.arrivals_after(applied_at) == 0
        );
    }
}

/// Guards against a response that progresses for ever and keeps the router from newer lists.
#[test]
fn watch_whose_update_never_ends_does_not_delay_a_drain() {
    for mode in DISCOVERY_MODES {
        let nodes = Nodes::start();
        let discovery = ScriptedDiscovery::new();
        let router =
            RouterProcess::start(&format!("endless-{mode}"), &config_with_mode(discovery.address(), mode));
        let (_, mut watch) = discovery.accept_request();
        watch.send_watch_head();
        watch.send_updates(&[json!({"revision": 8, "complete": true, "members": nodes.entries("ready")})]);
        router.wait_for_counter("endpoint_list_revision", 8);
        let started = Instant::now();
        let sender = std::thread::spawn(move || watch.send_endless_update(Duration::from_millis(100)));
        let (request, mut second) = discovery.accept_request();
        assert!(request.contains("watch=1&after=8"), "{request}");
        second.send_watch_head();
        second.send_updates(&[
            json!({"revision": 9, "complete": false, "members": [nodes.entries("draining")[1]]}),
        ]);
        router.wait_for_counter("endpoint_list_revision", 9);
        assert!(started.elapsed() < DELIVERED_AFTER_CHANGE, "applied after {:?}", started.elapsed());
        sender.join().expect("the sender does not panic");
        router.terminate();
    }
}

/// Guards against a request that hangs and keeps the router from a list that the next request would get.
#[test]
fn request_that_hangs_after_a_reload_does_not_delay_a_drain() {
    for mode in DISCOVERY_MODES {
        let test_name = format!("hanging-{mode}");
        let nodes = Nodes::start();
        let old_discovery = Discovery::start(8, nodes.entries("ready"));
        let router =
            RouterProcess::start_reloadable(&test_name, &config_with_mode(old_discovery.address, mode));
        router.wait_for_counter("endpoint_list_revision", 8);
        let new_discovery = ScriptedDiscovery::new();
        let started = Instant::now();
        router.reload(&test_name, &config_with_mode(new_discovery.address(), mode));
        let (_, _hanging) = new_discovery.accept_request();
        let (_, mut second) = new_discovery.accept_request();
        second.send_watch_head();
        second
            .send_updates(&[json!({"revision": 9, "complete": true, "members": nodes.entries("draining")})]);
        router.wait_for_counter("endpoint_list_revision", 9);
        assert!(started.elapsed() < DELIVERED_AFTER_RELOAD, "applied after {:?}", started.elapsed());
        router.terminate();
    }
}

/// Guards against requests that wait for room to write and are written long after their node began to drain.
#[test]
fn request_whose_write_is_delayed_beyond_a_drain_is_not_sent_to_the_draining_node() {
    let nodes = Nodes::start();
    let [staying, draining]: [Json; 2] = nodes.entries("ready").try_into().expect("two nodes");
    let discovery = Discovery::start(8, vec![draining]);
    let router = FaultyRouter::start("blocked-write", &config(discovery.address, LONG_DEADLINE), |_| {});
    router.process.wait_for_counter("endpoint_list_revision", 8);
    let mut client = router.process.connect();
    client.send_query("look", "t1", LONG_DEADLINE);
    assert_eq!(client.read_response().0, "HTTP/1.1 200 OK");
    router.control.set_rate(Call::Send, 1000, &[Fault::Error(libc::ENOBUFS)]);
    client.send_query("look", "t2", LONG_DEADLINE);
    std::thread::sleep(Duration::from_millis(200));
    let drained_at = Instant::now();
    discovery.publish(vec![nodes.entries("draining")[1].clone(), staying]);
    std::thread::sleep(2 * GRACE);
    router.control.clear();
    assert_eq!(client.read_response().0, "HTTP/1.1 200 OK");
    drop(client);
    let log = router.process.terminate();
    assert_eq!(nodes.draining.arrivals_after(drained_at + GRACE), 0, "requests at the draining node: {log}");
}

/// Guards against a removed node that is used until the end of a full list that arrives slowly.
#[test]
fn node_that_a_slow_full_list_leaves_out_receives_no_requests_once_its_removal_counts_as_delivered() {
    let nodes = Nodes::start();
    let [staying, removed]: [Json; 2] = nodes.entries("ready").try_into().expect("two nodes");
    let discovery = Discovery::start(8, vec![staying.clone(), removed]);
    let router = RouterProcess::start("slow-removal", &config(discovery.address, LONG_DEADLINE));
    router.wait_for_counter("endpoint_list_revision", 8);
    let queries = QueryStream::start(router.connect());
    // The first entry takes some 4 s, and the end of the list comes long after the time limit.
    discovery.set_pace(WatchPace::Pieces(20, Duration::from_millis(500)));
    discovery.set_down(true);
    router.wait_for_counter("discovery_failures", 1);
    let further_entry = |id| member(id, &nodes.staying.address.to_string(), "z", 0, "ready", 0);
    discovery.replace(vec![staying, further_entry("c"), further_entry("d"), further_entry("e")]);
    let changed_at = Instant::now();
    discovery.set_down(false);
    let last_allowed_arrival = changed_at + DELIVERED_AFTER_CHANGE + GRACE;
    std::thread::sleep(DELIVERED_AFTER_CHANGE + GRACE + Duration::from_secs(1));
    assert_eq!(router.counter("endpoint_list_revision"), 8, "the list is incomplete");
    drop(queries);
    let log = router.terminate();
    assert!(nodes.staying.arrivals_after(last_allowed_arrival) > 0, "queries were sent all the time: {log}");
    assert_eq!(nodes.draining.arrivals_after(last_allowed_arrival), 0, "requests at the removed node: {log}");
}

/// Guards against requests that a process sends before it reads a drain that came while it was held up.
#[test]
fn process_that_is_held_up_sends_nothing_to_a_node_that_began_to_drain_meanwhile() {
    for mode in DISCOVERY_MODES {
        let nodes = Nodes::start();
        let discovery = Discovery::start(8, nodes.entries("ready"));
        let router =
            RouterProcess::start(&format!("held-up-{mode}"), &config_with_mode(discovery.address, mode));
        router.wait_for_counter("endpoint_list_revision", 8);
        let started = Instant::now();
        let queries: Vec<QueryStream> = (0..8).map(|_| QueryStream::start(router.connect())).collect();
        std::thread::sleep(Duration::from_millis(500));
        assert!(nodes.draining.arrivals_after(started) > 0, "the node is used before it drains");
        // The process is idle when it is stopped: attempts of an earlier decision could be written after it is resumed.
        drop(queries);
        router.pause();
        discovery.publish(vec![nodes.entries("draining")[1].clone()]);
        discovery.wait_for_updates_sent(1);
        let queries: Vec<QueryStream> = (0..8).map(|_| QueryStream::start(router.connect())).collect();
        std::thread::sleep(2 * GRACE);
        let resumed_at = Instant::now();
        router.resume();
        std::thread::sleep(GRACE);
        drop(queries);
        let log = router.terminate();
        assert!(nodes.staying.arrivals_after(resumed_at) > 0, "queries were sent all the time: {log}");
        assert_eq!(nodes.draining.arrivals_after(resumed_at), 0, "requests at the draining node: {log}");
    }
}
