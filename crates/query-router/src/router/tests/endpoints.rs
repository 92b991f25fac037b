//! Nodes that drain, restart, move and are removed.

use super::*;
use balancer::{EndpointHealth, Micros};

#[test]
fn draining_and_restarted_nodes_lose_what_was_queued_for_them() {
    let mut rig = Rig::new();
    rig.query("pay", "t1");
    let Outgoing { id: connection, port } = *rig.peers.outgoing.last().expect("a connection");
    let list = |phase: &str, started_at_ms: i64| {
        let id = if port == 71 { "a" } else { "b" };
        serde_json::json!({"revision": 50, "members": [{"id": id, "host_port": format!("127.0.0.1:{port}"),
            "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": started_at_ms}]})
    };
    // Not established yet: cancelled before it is sent, and sent elsewhere.
    rig.apply_list(&list("draining", 0), EndpointUpdate::Incremental);
    rig.decide();
    rig.decide();
    assert_eq!(rig.router.counters().attempts_not_sent, 2);
    rig.step(Event::Established(connection));
    let (other, other_port) = rig.establish_last();
    assert!(other_port != port && rig.written(connection).is_empty() && rig.written(other).contains("t1.0"));
    // Established before the process started: it is lost, and what was in flight on it may have been executed.
    rig.apply_list(&list("ready", 0), EndpointUpdate::Incremental);
    rig.now += 100_000;
    let started_at_ms = (rig.now - 50_000) / 1000;
    let id = if other_port == 71 { "a" } else { "b" };
    let fresh = serde_json::json!({"revision": 51, "members": [{"id": id, "cell": 0, "phase": "ready",
        "host_port": format!("127.0.0.1:{other_port}"), "size": 1.0, "up_since_ms": started_at_ms}]});
    rig.apply_list(&fresh, EndpointUpdate::Incremental);
    rig.run_effects();
    assert_eq!(
        (rig.router.counters().attempts_connection_lost, rig.peers.closed.contains(&other)),
        (2, true)
    );
}

#[test]
fn nodes_that_come_and_go_leave_nothing_behind() {
    let mut rig = Rig::new();
    let member = |round: usize, phase: &str| serde_json::json!({"id": format!("n{round}"), "host_port": "127.0.0.1:73", "cell": 0, "phase": phase});
    for round in 0..2_000 {
        // It is removed while its shard requests are in flight, and they are answered afterwards.
        let ids = ["a", "b"].map(|id| serde_json::json!({"id": id, "cell": 0, "phase": "gone"}));
        let members = [vec![member(round, "ready")], ids.to_vec()].concat();
        rig.apply_list(
            &serde_json::json!({"revision": 42 + round, "members": members}),
            EndpointUpdate::Incremental,
        );
        rig.decide();
        let client = rig.query("look", &format!("t{round}"));
        let (connection, _) = rig.establish_last();
        let gone = serde_json::json!({"revision": 42 + round, "members": [member(round, "gone")]});
        rig.apply_list(&gone, EndpointUpdate::Incremental);
        rig.decide();
        rig.respond(connection, &format!("t{round}.0 OK 5 -"), "alpha");
        rig.respond(connection, &format!("t{round}.1 OK 5 -"), "beta");
        rig.decide();
        assert!(rig.written(client).starts_with("HTTP/1.1 200"), "{round}: {}", rig.written(client));
        rig.end(client, 0);
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
    let client = rig.query("look", "t1");
    let (connection, port) = rig.establish_last();
    let id = if port == 71 { "a" } else { "b" };
    let list = serde_json::json!({"revision": 42, "complete": true, "members": [
        {"id": id, "host_port": "127.0.0.1:73", "cell": 0, "phase": "ready"}]});
    rig.apply_list(&list, EndpointUpdate::Full);
    rig.run_effects();
    // What is in flight may still be answered; what is new goes to the new address.
    rig.respond(connection, "t1.0 OK 5 -", "alpha");
    rig.respond(connection, "t1.1 OK 5 -", "beta");
    rig.query("look", "t2");
    assert!(rig.written(client).starts_with("HTTP/1.1 200"));
    assert_eq!(rig.peers.outgoing.last().map(|outgoing| outgoing.port), Some(73));
}

/// How long a node warms up in [`rig_with_slow_start`].
const WARM_UP: Micros = 5_000_000;
const HOUR: Micros = 3_600_000_000;

fn rig_with_slow_start() -> Rig<RecordingPeers> {
    let slow_start = format!(
        r#""obligations":{{"coldFrom":0.2,"tipMultiple":1.5,"tipAfterNs":1000000000,"warmUpNs":{}000,"#,
        WARM_UP
    );
    Rig::with_config(&CONFIG.replace(r#""obligations":{"#, &slow_start))
}

/// Lists a node that is ready, as discovery tells of a change; `started_at` is by discovery's clock.
fn list_node(rig: &mut Rig<RecordingPeers>, id: &str, started_at: Micros) {
    let list = serde_json::json!({"revision": 50, "members": [{"id": id, "host_port": "127.0.0.1:71", "cell": 0,
        "phase": "ready", "size": 1.0, "up_since_ms": started_at / 1000}]});
    rig.apply_list(&list, EndpointUpdate::Incremental);
}

fn is_warming_up(rig: &Rig<RecordingPeers>, node: usize) -> bool {
    let health = rig.router.balancer.endpoint_health(rig.now, NodeId(node));
    matches!(health, EndpointHealth::WarmingUp { .. })
}

#[test]
fn node_that_starts_while_the_wall_clock_is_ahead_warms_up() {
    let mut rig = rig_with_slow_start();
    list_node(&mut rig, "a", 0);
    rig.pass(WARM_UP);
    // By the wall clock of this machine both started an hour ago.
    let started_at = rig.now - HOUR;
    list_node(&mut rig, "a", started_at);
    list_node(&mut rig, "new", started_at);
    assert!(is_warming_up(&rig, 0) && is_warming_up(&rig, 2));
    // The same entries again are no news.
    rig.pass(2 * WARM_UP);
    list_node(&mut rig, "a", started_at);
    list_node(&mut rig, "new", started_at);
    assert!(!is_warming_up(&rig, 0) && !is_warming_up(&rig, 2));
}

#[test]
fn node_whose_clock_was_set_back_over_its_restart_warms_up() {
    let mut rig = rig_with_slow_start();
    let first_start = rig.now - HOUR / 2;
    list_node(&mut rig, "a", first_start);
    rig.pass(WARM_UP);
    assert!(!is_warming_up(&rig, 0));
    list_node(&mut rig, "a", first_start - HOUR);
    assert!(is_warming_up(&rig, 0));
}

#[test]
fn node_that_started_long_ago_is_warm_also_if_it_is_listed_late() {
    let mut rig = rig_with_slow_start();
    // The youngest node that discovery names shows how far the wall clock may be ahead at most.
    let started_at = rig.now - 1_000_000;
    list_node(&mut rig, "a", started_at);
    rig.pass(WARM_UP);
    let started_at = rig.now - HOUR;
    list_node(&mut rig, "new", started_at);
    assert!(!is_warming_up(&rig, 2));
}

#[test]
fn clock_that_was_ahead_from_the_start_shows_in_the_time_that_discovery_states() {
    let mut rig = rig_with_slow_start();
    let watch = rig.peers.outgoing[0].id;
    rig.step(Event::Established(watch));
    // `START` is 2023-11-14T22:13:20Z; discovery says that it is an hour earlier, and that the node started then.
    let entry = serde_json::json!({"id": "a", "host_port": "127.0.0.1:71", "locality": "z", "cell": 0,
        "phase": "ready", "size": 1.0, "up_since_ms": (rig.now - HOUR) / 1000});
    rig.apply_list(&serde_json::json!({"revision": 41, "members": [entry]}), EndpointUpdate::Cached);
    assert!(!is_warming_up(&rig, 0), "nothing shows yet that the clock is ahead");
    let list = serde_json::json!({"revision": 42, "complete": true, "members": [entry]}).to_string() + "\n";
    let response = format!(
        "HTTP/1.1 200 OK\r\nDate: Tue, 14 Nov 2023 21:13:20 GMT\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\r\n",
        list.len()
    );
    rig.receive(watch, response.as_bytes());
    assert!(is_warming_up(&rig, 0));
    rig.pass(2 * WARM_UP);
    assert!(!is_warming_up(&rig, 0));
}
