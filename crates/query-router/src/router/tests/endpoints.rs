//! Tests of nodes that are drained, restarted, moved or removed.

use super::*;
use balancer::{EndpointHealth, Micros};

#[test]
fn attempts_queued_at_a_draining_node_are_cancelled_and_those_at_a_restarted_node_are_lost() {
    let mut rig = Rig::new();
    rig.send_query("pay", "t1");
    let Outgoing { id: connection, port } = *rig.peers.outgoing.last().expect("an open connection");
    let list = |phase: &str, started_at_ms: i64| {
        let id = if port == 71 { "a" } else { "b" };
        serde_json::json!({"revision": 50, "members": [{"id": id, "host_port": format!("127.0.0.1:{port}"),
            "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": started_at_ms}]})
    };
    // The connection is not established yet, so the attempts are cancelled unsent and the other node is selected.
    rig.apply_endpoint_list(&list("draining", 0), EndpointUpdate::Incremental);
    rig.decide();
    rig.decide();
    assert_eq!(rig.router.counters().attempts_not_sent, 2);
    rig.step(Event::Established(connection));
    let (other, other_port) = rig.establish_last();
    assert!(other_port != port && rig.written(connection).is_empty() && rig.written(other).contains("t1.0"));
    // The connection was established before the node process started, so it is lost. The attempts in flight on it may
    // have been executed.
    rig.apply_endpoint_list(&list("ready", 0), EndpointUpdate::Incremental);
    rig.now += 100_000;
    let started_at_ms = (rig.now - 50_000) / 1000;
    let id = if other_port == 71 { "a" } else { "b" };
    let restarted = serde_json::json!({"revision": 51, "members": [{"id": id, "cell": 0, "phase": "ready",
        "host_port": format!("127.0.0.1:{other_port}"), "size": 1.0, "up_since_ms": started_at_ms}]});
    rig.apply_endpoint_list(&restarted, EndpointUpdate::Incremental);
    rig.run_effects();
    assert_eq!(
        (rig.router.counters().attempts_connection_lost, rig.peers.closed.contains(&other)),
        (2, true)
    );
}

#[test]
fn added_and_removed_nodes_leave_no_state_behind() {
    let mut rig = Rig::new();
    let member = |round: usize, phase: &str| serde_json::json!({"id": format!("n{round}"), "host_port": "127.0.0.1:73", "cell": 0, "phase": phase});
    for round in 0..2_000 {
        // The node is removed while its shard requests are in flight, and responds to them afterwards.
        let ids = ["a", "b"].map(|id| serde_json::json!({"id": id, "cell": 0, "phase": "gone"}));
        let members = [vec![member(round, "ready")], ids.to_vec()].concat();
        rig.apply_endpoint_list(
            &serde_json::json!({"revision": 42 + round, "members": members}),
            EndpointUpdate::Incremental,
        );
        rig.decide();
        let client = rig.send_query("look", &format!("t{round}"));
        let (connection, _) = rig.establish_last();
        let removal = serde_json::json!({"revision": 42 + round, "members": [member(round, "gone")]});
        rig.apply_endpoint_list(&removal, EndpointUpdate::Incremental);
        rig.decide();
        rig.respond(connection, &format!("t{round}.0 OK 5 -"), "alpha");
        rig.respond(connection, &format!("t{round}.1 OK 5 -"), "beta");
        rig.decide();
        assert!(rig.written(client).starts_with("HTTP/1.1 200"), "{round}: {}", rig.written(client));
        rig.end_connection(client, 0);
        rig.peers.written.clear();
    }
    let state = &rig.router.state;
    assert!(
        state.context.endpoints.len() <= 4 && state.context.endpoints.id_count() <= 1,
        "{}",
        state.context.endpoints.len()
    );
    assert_eq!(
        (state.queries.shard_requests.len(), state.queries.queries.len(), state.context.connections.len()),
        (0, 0, 1)
    );
}

#[test]
fn a_node_that_moves_gets_new_connections_at_its_new_address() {
    let mut rig = Rig::new();
    let client = rig.send_query("look", "t1");
    let (connection, port) = rig.establish_last();
    let id = if port == 71 { "a" } else { "b" };
    let list = serde_json::json!({"revision": 42, "complete": true, "members": [
        {"id": id, "host_port": "127.0.0.1:73", "cell": 0, "phase": "ready"}]});
    rig.apply_endpoint_list(&list, EndpointUpdate::Full);
    rig.run_effects();
    // The node may still respond to shard requests in flight; new shard requests go to the new address.
    rig.respond(connection, "t1.0 OK 5 -", "alpha");
    rig.respond(connection, "t1.1 OK 5 -", "beta");
    rig.send_query("look", "t2");
    assert!(rig.written(client).starts_with("HTTP/1.1 200"));
    assert_eq!(rig.peers.outgoing.last().map(|outgoing| outgoing.port), Some(73));
}

/// The duration of slow start in [`rig_with_slow_start`].
const WARM_UP: Micros = 5_000_000;
const HOUR: Micros = 3_600_000_000;

fn rig_with_slow_start() -> Rig<RecordingPeers> {
    let slow_start = format!(
        r#""obligations":{{"coldFrom":0.2,"tipMultiple":1.5,"tipAfterNs":1000000000,"warmUpNs":{}000,"#,
        WARM_UP
    );
    Rig::with_config(&CONFIG.replace(r#""obligations":{"#, &slow_start))
}

/// Applies an incremental update with a ready node. `started_at` is the node's start time by the clock of discovery.
fn apply_ready_node(rig: &mut Rig<RecordingPeers>, id: &str, started_at: Micros) {
    let list = serde_json::json!({"revision": 50, "members": [{"id": id, "host_port": "127.0.0.1:71", "cell": 0,
        "phase": "ready", "size": 1.0, "up_since_ms": started_at / 1000}]});
    rig.apply_endpoint_list(&list, EndpointUpdate::Incremental);
}

fn is_warming_up(rig: &Rig<RecordingPeers>, node: usize) -> bool {
    let health = rig.router.balancer.endpoint_health(rig.now, NodeId(node));
    matches!(health, EndpointHealth::WarmingUp { .. })
}

#[test]
fn a_node_that_starts_while_the_wall_clock_is_ahead_warms_up() {
    let mut rig = rig_with_slow_start();
    apply_ready_node(&mut rig, "a", 0);
    rig.decide_and_advance(WARM_UP);
    // By the wall clock of this machine, both nodes started an hour ago.
    let started_at = rig.now - HOUR;
    apply_ready_node(&mut rig, "a", started_at);
    apply_ready_node(&mut rig, "new", started_at);
    assert!(is_warming_up(&rig, 0) && is_warming_up(&rig, 2));
    // Repeated entries do not start another warm-up.
    rig.decide_and_advance(2 * WARM_UP);
    apply_ready_node(&mut rig, "a", started_at);
    apply_ready_node(&mut rig, "new", started_at);
    assert!(!is_warming_up(&rig, 0) && !is_warming_up(&rig, 2));
}

#[test]
fn a_node_whose_clock_was_set_back_during_its_restart_warms_up() {
    let mut rig = rig_with_slow_start();
    let first_start = rig.now - HOUR / 2;
    apply_ready_node(&mut rig, "a", first_start);
    rig.decide_and_advance(WARM_UP);
    assert!(!is_warming_up(&rig, 0));
    apply_ready_node(&mut rig, "a", first_start - HOUR);
    assert!(is_warming_up(&rig, 0));
}

#[test]
fn a_node_that_started_long_ago_does_not_warm_up_when_it_is_listed_late() {
    let mut rig = rig_with_slow_start();
    // The latest start time in the list bounds how far the wall clock can be ahead.
    let started_at = rig.now - 1_000_000;
    apply_ready_node(&mut rig, "a", started_at);
    rig.decide_and_advance(WARM_UP);
    let started_at = rig.now - HOUR;
    apply_ready_node(&mut rig, "new", started_at);
    assert!(!is_warming_up(&rig, 2));
}

#[test]
fn a_wall_clock_that_is_ahead_from_the_start_is_detected_by_the_date_of_discovery() {
    let mut rig = rig_with_slow_start();
    let watch = rig.peers.outgoing[0].id;
    rig.step(Event::Established(watch));
    // `START` is 2023-11-14T22:13:20Z. The `Date` of discovery is an hour earlier, and so is the start time of the
    // node.
    let entry = serde_json::json!({"id": "a", "host_port": "127.0.0.1:71", "locality": "z", "cell": 0,
        "phase": "ready", "size": 1.0, "up_since_ms": (rig.now - HOUR) / 1000});
    rig.apply_endpoint_list(&serde_json::json!({"revision": 41, "members": [entry]}), EndpointUpdate::Cached);
    assert!(!is_warming_up(&rig, 0), "the router cannot detect yet that its clock is ahead");
    let list = serde_json::json!({"revision": 42, "complete": true, "members": [entry]}).to_string() + "\n";
    let response = format!(
        "HTTP/1.1 200 OK\r\nDate: Tue, 14 Nov 2023 21:13:20 GMT\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\r\n",
        list.len()
    );
    rig.receive(watch, response.as_bytes());
    assert!(is_warming_up(&rig, 0));
    rig.decide_and_advance(2 * WARM_UP);
    assert!(!is_warming_up(&rig, 0));
}
