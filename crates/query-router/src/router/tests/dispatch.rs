//! Batches on their way to a connection, and attempts that are cancelled.

use super::*;

#[test]
fn an_attempt_not_written_in_full_was_not_executed_and_others_may_have_been() {
    // A non-idempotent shard request is retried only on proof that it was not executed.
    for (class, unwritten, status) in [("pay", 1, None), ("pay", 0, Some("502")), ("look", 0, Some("503"))] {
        let mut rig = Rig::new();
        let client = rig.query(class, "t1");
        let (connection, port) = rig.establish_last();
        let written = rig.written(connection).len() as u64;
        rig.end(connection, written - unwritten);
        rig.decide();
        let other = rig.peers.outgoing.last().expect("a connection").port;
        assert_eq!(
            other != port && other != DISCOVERY_PORT,
            class == "look" || unwritten > 0,
            "{class} {unwritten}"
        );
        rig.pass(2_000_000);
        assert!(status.is_none_or(|status| rig.written(client).contains(status)), "{}", rig.written(client));
    }
}

#[test]
fn nothing_is_sent_once_a_query_has_ended() {
    let mut rig = Rig::new();
    let client = rig.query("pay", "t1");
    rig.pass(1_600_000);
    assert!(rig.written(client).starts_with("HTTP/1.1 503"), "{}", rig.written(client));
    for connection in
        rig.peers.outgoing.clone().into_iter().filter(|outgoing| outgoing.port != DISCOVERY_PORT)
    {
        rig.step(Event::Established(connection.id));
        rig.decide();
        assert_eq!(rig.written(connection.id), "");
    }
    assert_eq!(rig.router.counters().attempts_sent, 0);
}

#[test]
fn a_connection_established_after_the_deadline_carries_nothing_before_the_timer_expires() {
    let mut rig = Rig::new();
    rig.query("pay", "t1");
    let connection = rig.peers.outgoing.last().expect("a connection").id;
    // Sockets are read before timers expire: the timer expires in this iteration too.
    rig.now += 1_500_000;
    rig.step(Event::Established(connection));
    assert_eq!((rig.written(connection), rig.router.counters().attempts_not_sent), (String::new(), 2));
}

#[test]
fn queued_attempts_of_an_ended_query_are_removed_where_cancelling_is_disabled() {
    let config = CONFIG.replace("\"cancelling\":true", "\"cancelling\":false");
    let mut rig = Rig::with_config(&config.replace("\"connectTimeoutNs\":250", "\"connectTimeoutNs\":9000"));
    let client = rig.query("look", "t1");
    let connection = rig.peers.outgoing.last().expect("a connection").id;
    rig.pass(1_600_000);
    assert!(rig.written(client).starts_with("HTTP/1.1 503"), "{}", rig.written(client));
    rig.step(Event::Established(connection));
    assert_eq!(rig.written(connection), "");
}

#[test]
fn a_query_whose_client_disconnected_is_not_sent_once_a_connection_can_be_opened() {
    let mut rig = Rig::new();
    let _clients: Vec<ConnectionId> = (0..4).map(|_| rig.client()).collect();
    let client = rig.query("pay", "t1");
    assert_eq!(
        (rig.peers.outgoing.len(), rig.router.counters().attempts_requested),
        (1, 2),
        "discovery's alone"
    );
    rig.end(client, 0);
    rig.pass(500_000);
    assert_eq!((rig.peers.outgoing.len(), rig.router.counters().attempts_not_sent), (1, 2));
    assert_eq!(rig.router.state.queries.shard_requests.len(), 0);
}

#[test]
fn a_query_that_waits_for_a_connection_until_its_deadline_leaves_nothing_to_the_next() {
    // Nothing is cancelled here, so what waits times out, in the iteration in which its query is released.
    let mut rig = Rig::with_config(&CONFIG.replace("\"cancelling\":true", "\"cancelling\":false"));
    let clients: Vec<ConnectionId> = (0..4).map(|_| rig.client()).collect();
    let client = rig.query("look", "t1");
    rig.pass(1_600_000);
    assert!(rig.written(client).starts_with("HTTP/1.1 503"), "{}", rig.written(client));
    // The next query gets the ids of the one before, and nothing of it.
    rig.query("pay", "t2");
    rig.end(clients[0], 0);
    rig.decide();
    let (connection, _) = rig.establish_last();
    assert!(
        rig.written(connection).contains("t2.0") && !rig.written(connection).contains("t1"),
        "{}",
        rig.written(connection)
    );
    assert_eq!(rig.router.counters().attempts_sent, 2);
}

#[test]
fn a_partly_written_frame_ends_with_its_connection_when_the_client_disconnects() {
    let mut rig = Rig::new();
    let client = rig.query("look", "t1");
    rig.peers.writes_stall = true;
    let (connection, _) = rig.establish_last();
    assert_eq!(rig.written(connection).len(), 12);
    rig.end(client, 0);
    assert!(rig.peers.closed.contains(&connection));
    assert_eq!(rig.router.counters().attempts_not_sent, 2);
}

#[test]
fn a_partly_written_frame_ends_with_its_connection_when_its_attempts_time_out() {
    let mut rig = Rig::new();
    rig.peers.writes_stall = true;
    let client = rig.query("pay", "t1");
    let (connection, _) = rig.establish_last();
    let shard_requests = rig.router.state.queries.shard_requests.len();
    rig.pass(1_600_000);
    assert!(rig.peers.closed.contains(&connection) && rig.written(client).starts_with("HTTP/1.1 50"));
    let counters = rig.router.counters();
    assert_eq!((shard_requests, counters.attempts_connect_failed, counters.attempts_cancelled), (2, 0, 0));
    assert_eq!(counters.attempts_not_sent, 2);
}

#[test]
fn two_attempts_at_one_node_go_on_two_connections() {
    let mut rig = Rig::new();
    rig.query("look", "t1");
    let (first, port) = rig.establish_last();
    let node = if port == 71 { 0 } else { 1 };
    rig.router.state.send_attempt(ShardRequestId(0), NodeId(node), None);
    rig.send_batches();
    let (second, _) = rig.establish_last();
    assert!(second != first && rig.written(second).contains("t1.0"));
    assert_eq!(rig.router.state.queries.shard_requests[0].attempts[1].connection, Some(second));
}

#[test]
fn batches_share_a_connection_only_where_the_share_of_a_node_is_used_up() {
    let mut rig = Rig::new();
    rig.router.state.context.limits.max_connections = 9;
    let ids: Vec<std::rc::Rc<str>> = vec!["t1.0".into()];
    let connections: Vec<ConnectionId> = (0..4)
        .map(|_| {
            let connection = rig.select_connection(0, &ids).expect("a connection");
            rig.run_effects();
            rig.step(Event::Established(connection));
            rig.router.state.context.connections.node_mut(connection).queue_batch(Vec::new());
            connection
        })
        .collect();
    // Of nine connections nodes may have six: three for each of two.
    assert!(
        connections[0] != connections[1]
            && connections[1] != connections[2]
            && connections[..3].contains(&connections[3])
    );
}

#[test]
fn a_batch_without_a_connection_waits_and_is_no_failure_of_its_node() {
    let mut rig = Rig::new();
    let clients: Vec<ConnectionId> = (0..4).map(|_| rig.client()).collect();
    let busy = rig.query("pay", "t1");
    assert_eq!(rig.peers.outgoing.len(), 1, "discovery's alone");
    rig.end(clients[0], 0);
    rig.decide();
    let (connection, _) = rig.establish_last();
    assert!(rig.written(connection).contains("t1.0") && rig.written(busy).is_empty());
    assert_eq!(rig.router.counters().attempts_connect_failed, 0);
}

#[test]
fn a_batch_that_waits_for_a_connection_is_cancelled_when_its_node_drains() {
    let mut rig = Rig::new();
    let clients: Vec<ConnectionId> = (0..4).map(|_| rig.client()).collect();
    rig.query("pay", "t1");
    let node = rig.router.state.queries.shard_requests[0].attempts[0].node.0;
    let members = [("a", 71), ("b", 72)].into_iter().enumerate().map(|(index, (id, port))| {
        let phase = if index == node { "draining" } else { "ready" };
        serde_json::json!({"id": id, "host_port": format!("127.0.0.1:{port}"), "cell": 0, "phase": phase})
    });
    let list = serde_json::json!({"revision": 42, "members": members.collect::<Vec<_>>()});
    rig.apply_list(&list, EndpointUpdate::Incremental);
    rig.end(clients[0], 0);
    rig.decide();
    let (_, port) = rig.establish_last();
    assert_eq!((port, rig.router.counters().attempts_not_sent), ([72, 71][node], 2));
}

#[test]
fn a_batch_moves_to_a_connection_that_becomes_idle_before_its_own_is_established() {
    // One node alone, so both queries go there.
    let config =
        CONFIG.replace("\"tickNs\":0", "\"tickNs\":5000000").replacen("\"ready\"", "\"draining\"", 1);
    let mut rig = Rig::with_config(&config);
    rig.pass(5_000);
    let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"q"}"#;
    let mut query = |id: &str| {
        let client = rig.client();
        rig.receive(client, post("pay", id, body).as_bytes());
        rig.pass(5_000);
        (client, rig.peers.outgoing.last().expect("a connection").id)
    };
    let ((client, first), (other, second)) = (query("t1"), query("t2"));
    assert_ne!(first, second);
    rig.step(Event::Established(first));
    rig.respond(first, "t1.0 OK 5 -", "one");
    rig.decide();
    // Its node may close right behind a response: the connection stays idle for a decision interval first.
    assert!(!rig.written(first).contains("t2.0"));
    rig.pass(10_000);
    assert!(rig.written(first).contains("t2.0"), "{}", rig.written(first));
    assert_eq!(rig.router.counters().batches_reassigned, 1);
    // The one that is not established in time carries nothing, and that is no failure of its node.
    rig.pass(250_000);
    assert_eq!((rig.written(second), rig.router.counters().attempts_connect_failed), (String::new(), 0));
    rig.respond(first, "t2.0 OK 5 -", "two");
    rig.pass(5_000);
    let answers = [rig.written(client), rig.written(other)];
    assert!(answers.iter().all(|answer| answer.starts_with("HTTP/1.1 200 OK")), "{answers:?}");
}
