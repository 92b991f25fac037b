//! Tests of batches that wait for a connection or are partly written, and of attempts that are cancelled.

use super::*;

#[test]
fn a_non_idempotent_attempt_is_retried_only_if_it_was_not_written_in_full() {
    // A non-idempotent shard request is retried only if the node cannot have executed it: its frame was not written in
    // full.
    for (class, unwritten, status) in [("pay", 1, None), ("pay", 0, Some("502")), ("look", 0, Some("503"))] {
        let mut rig = Rig::new();
        let client = rig.send_query(class, "t1");
        let (connection, port) = rig.establish_last();
        let written = rig.written(connection).len() as u64;
        rig.end_connection(connection, written - unwritten);
        rig.decide();
        let other = rig.peers.outgoing.last().expect("an open connection").port;
        assert_eq!(
            other != port && other != DISCOVERY_PORT,
            class == "look" || unwritten > 0,
            "{class} {unwritten}"
        );
        rig.decide_and_advance(2_000_000);
        assert!(status.is_none_or(|status| rig.written(client).contains(status)), "{}", rig.written(client));
    }
}

#[test]
fn no_attempt_is_sent_after_its_query_has_ended() {
    let mut rig = Rig::new();
    let client = rig.send_query("pay", "t1");
    rig.decide_and_advance(1_600_000);
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
fn nothing_is_written_on_a_connection_established_after_the_deadline_and_before_the_timer() {
    let mut rig = Rig::new();
    rig.send_query("pay", "t1");
    let connection = rig.peers.outgoing.last().expect("an open connection").id;
    // The event loop reads sockets before it reports expired timers, so the timer is reported later in this iteration.
    rig.now += 1_500_000;
    rig.step(Event::Established(connection));
    assert_eq!((rig.written(connection), rig.router.counters().attempts_not_sent), (String::new(), 2));
}

#[test]
fn queued_attempts_of_an_ended_query_are_removed_if_cancelling_is_disabled() {
    let config = CONFIG.replace("\"cancelling\":true", "\"cancelling\":false");
    let mut rig = Rig::with_config(&config.replace("\"connectTimeoutNs\":250", "\"connectTimeoutNs\":9000"));
    let client = rig.send_query("look", "t1");
    let connection = rig.peers.outgoing.last().expect("an open connection").id;
    rig.decide_and_advance(1_600_000);
    assert!(rig.written(client).starts_with("HTTP/1.1 503"), "{}", rig.written(client));
    rig.step(Event::Established(connection));
    assert_eq!(rig.written(connection), "");
}

/// Limits the router to three connections: one for discovery, and two for which clients and nodes compete.
fn limit_to_two_clients(rig: &mut Rig<RecordingPeers>) {
    rig.router.state.context.limits.max_connections = 3;
}

#[test]
fn a_query_whose_client_disconnected_is_not_sent_once_a_connection_can_be_opened() {
    let mut rig = Rig::new();
    limit_to_two_clients(&mut rig);
    rig.connect_client();
    let client = rig.send_query("pay", "t1");
    assert_eq!(
        (rig.peers.outgoing.len(), rig.router.counters().attempts_requested),
        (1, 2),
        "only the connection to discovery is open"
    );
    rig.end_connection(client, 0);
    rig.decide_and_advance(500_000);
    assert_eq!((rig.peers.outgoing.len(), rig.router.counters().attempts_not_sent), (1, 2));
    assert_eq!(rig.router.state.queries.shard_requests.len(), 0);
}

#[test]
fn a_query_that_waits_for_a_connection_until_its_deadline_does_not_affect_the_next_query() {
    // Cancelling is disabled, so the waiting attempts time out in the iteration in which their query is released.
    let mut rig = Rig::with_config(&CONFIG.replace("\"cancelling\":true", "\"cancelling\":false"));
    limit_to_two_clients(&mut rig);
    let clients = [rig.connect_client()];
    let client = rig.send_query("look", "t1");
    rig.decide_and_advance(1_600_000);
    assert!(rig.written(client).starts_with("HTTP/1.1 503"), "{}", rig.written(client));
    // The next query reuses the ids of the released one, and none of its attempts.
    let body = r#"{"segments":[{"segment":0,"boost":0.5},{"segment":1,"boost":0.5}],"text":"q"}"#;
    rig.receive(client, query_request("pay", "t2", body).as_bytes());
    rig.decide();
    rig.end_connection(clients[0], 0);
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
fn a_connection_with_a_partly_written_frame_is_closed_when_the_client_disconnects() {
    let mut rig = Rig::new();
    let client = rig.send_query("look", "t1");
    rig.peers.writes_stall = true;
    let (connection, _) = rig.establish_last();
    assert_eq!(rig.written(connection).len(), 12);
    rig.end_connection(client, 0);
    assert!(rig.peers.closed.contains(&connection));
    assert_eq!(rig.router.counters().attempts_not_sent, 2);
}

#[test]
fn a_connection_with_a_partly_written_frame_is_closed_when_its_attempts_time_out() {
    let mut rig = Rig::new();
    rig.peers.writes_stall = true;
    let client = rig.send_query("pay", "t1");
    let (connection, _) = rig.establish_last();
    let shard_requests = rig.router.state.queries.shard_requests.len();
    rig.decide_and_advance(1_600_000);
    assert!(rig.peers.closed.contains(&connection) && rig.written(client).starts_with("HTTP/1.1 50"));
    let counters = rig.router.counters();
    assert_eq!((shard_requests, counters.attempts_connect_failed, counters.attempts_cancelled), (2, 0, 0));
    assert_eq!(counters.attempts_not_sent, 2);
}

#[test]
fn two_attempts_of_a_shard_request_at_one_node_use_two_connections() {
    let mut rig = Rig::new();
    rig.send_query("look", "t1");
    let (first, port) = rig.establish_last();
    let node = if port == 71 { 0 } else { 1 };
    rig.router.state.send_attempt(ShardRequestId(0), NodeId(node), None);
    rig.send_batches();
    let (second, _) = rig.establish_last();
    assert!(second != first && rig.written(second).contains("t1.0"));
    assert_eq!(rig.router.state.queries.shard_requests[0].attempts[1].connection, Some(second));
}

#[test]
fn batches_share_a_connection_only_if_all_connections_for_the_node_are_open() {
    let mut rig = Rig::new();
    rig.router.state.context.limits.max_connections = 9;
    let ids: Vec<std::sync::Arc<str>> = vec!["t1.0".into()];
    let connections: Vec<ConnectionId> = (0..4)
        .map(|_| {
            let connection = rig.select_connection(0, &ids).expect("a connection to node 0");
            rig.run_effects();
            rig.step(Event::Established(connection));
            rig.router.state.context.connections.node_mut(connection).queue_batch(Vec::new());
            connection
        })
        .collect();
    // Six of the nine connections are for nodes, so each of the two nodes gets three.
    assert!(
        connections[0] != connections[1]
            && connections[1] != connections[2]
            && connections[..3].contains(&connections[3])
    );
}

#[test]
fn a_batch_that_waits_for_a_connection_does_not_count_as_a_connect_failure_of_its_node() {
    let mut rig = Rig::new();
    limit_to_two_clients(&mut rig);
    let clients = [rig.connect_client()];
    let waiting = rig.send_query("pay", "t1");
    assert_eq!(rig.peers.outgoing.len(), 1, "only the connection to discovery is open");
    rig.end_connection(clients[0], 0);
    rig.decide();
    let (connection, _) = rig.establish_last();
    assert!(rig.written(connection).contains("t1.0") && rig.written(waiting).is_empty());
    assert_eq!(rig.router.counters().attempts_connect_failed, 0);
}

#[test]
fn a_batch_that_waits_for_a_connection_is_cancelled_when_its_node_drains() {
    let mut rig = Rig::new();
    limit_to_two_clients(&mut rig);
    let clients = [rig.connect_client()];
    rig.send_query("pay", "t1");
    let node = rig.router.state.queries.shard_requests[0].attempts[0].node.0;
    let members = [("a", 71), ("b", 72)].into_iter().enumerate().map(|(index, (id, port))| {
        let phase = if index == node { "draining" } else { "ready" };
        serde_json::json!({"id": id, "host_port": format!("127.0.0.1:{port}"), "cell": 0, "phase": phase})
    });
    let list = serde_json::json!({"revision": 42, "members": members.collect::<Vec<_>>()});
    rig.apply_endpoint_list(&list, EndpointUpdate::Incremental);
    rig.end_connection(clients[0], 0);
    rig.decide();
    let (_, port) = rig.establish_last();
    assert_eq!((port, rig.router.counters().attempts_not_sent), ([72, 71][node], 2));
}

#[test]
fn a_batch_moves_to_a_connection_that_becomes_idle_before_its_own_is_established() {
    // Only one node is ready, so both queries are sent to it.
    let config =
        CONFIG.replace("\"tickNs\":0", "\"tickNs\":5000000").replacen("\"ready\"", "\"draining\"", 1);
    let mut rig = Rig::with_config(&config);
    rig.decide_and_advance(5_000);
    let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"q"}"#;
    let mut send_query = |id: &str| {
        let client = rig.connect_client();
        rig.receive(client, query_request("pay", id, body).as_bytes());
        rig.decide_and_advance(5_000);
        (client, rig.peers.outgoing.last().expect("an open connection").id)
    };
    let ((client, first), (other, second)) = (send_query("t1"), send_query("t2"));
    assert_ne!(first, second);
    rig.step(Event::Established(first));
    rig.respond(first, "t1.0 OK 5 -", "one");
    rig.decide();
    // The node may close the connection right after a response, so the connection is reused only after it was idle for
    // a decision interval.
    assert!(!rig.written(first).contains("t2.0"));
    rig.decide_and_advance(10_000);
    assert!(rig.written(first).contains("t2.0"), "{}", rig.written(first));
    assert_eq!(rig.router.counters().batches_reassigned, 1);
    // Nothing is written on the connection that is not established in time, and the node gets no connect failure.
    rig.decide_and_advance(250_000);
    assert_eq!((rig.written(second), rig.router.counters().attempts_connect_failed), (String::new(), 0));
    rig.respond(first, "t2.0 OK 5 -", "two");
    rig.decide_and_advance(5_000);
    let responses = [rig.written(client), rig.written(other)];
    assert!(responses.iter().all(|response| response.starts_with("HTTP/1.1 200 OK")), "{responses:?}");
}
