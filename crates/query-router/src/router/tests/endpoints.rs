//! Nodes that drain, restart, move and are removed.

use super::*;

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
