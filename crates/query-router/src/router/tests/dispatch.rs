//! Batches on their way to a connection, and attempts that are cancelled.

use super::*;

#[test]
fn an_attempt_not_written_in_full_was_not_executed_and_others_may_have_been() {
    // An unsafe part goes out again only on proof that it never ran.
    for (class, unwritten, status) in [("pay", 1, None), ("pay", 0, Some("502")), ("look", 0, Some("503"))] {
        let mut rig = Rig::new();
        let client = rig.query(class, "t1");
        let (link, port) = rig.establish_last();
        let written = rig.written(link).len() as u64;
        rig.step(Event::Ended(link, written - unwritten));
        rig.decide();
        let (_, other) = *rig.peers.outgoing.last().expect("a link");
        assert_eq!(other != port && other != 9, class == "look" || unwritten > 0, "{class} {unwritten}");
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
    for (link, _) in rig.peers.outgoing.clone().into_iter().filter(|link| link.1 != DISCOVERY_PORT) {
        rig.step(Event::Established(link));
        rig.decide();
        assert_eq!(rig.written(link), "");
    }
    assert_eq!(rig.router.counters().attempts_sent, 0);
}

#[test]
fn a_connection_established_after_the_deadline_carries_nothing_before_the_timer_expires() {
    let mut rig = Rig::new();
    rig.query("pay", "t1");
    let link = rig.peers.outgoing.last().expect("a link").0;
    // Sockets are heard before alarms: the alarm is due in this turn too.
    rig.now += 1_500_000;
    rig.step(Event::Established(link));
    assert_eq!((rig.written(link), rig.router.counters().attempts_not_sent), (String::new(), 2));
}

#[test]
fn unsent_attempts_of_an_ended_query_are_removed_where_cancelling_is_disabled() {
    let config = CONFIG.replace("\"cancelling\":true", "\"cancelling\":false");
    let mut rig = Rig::with_config(&config.replace("\"connectTimeoutNs\":250", "\"connectTimeoutNs\":9000"));
    let client = rig.query("look", "t1");
    let link = rig.peers.outgoing.last().expect("a link").0;
    rig.pass(1_600_000);
    assert!(rig.written(client).starts_with("HTTP/1.1 503"), "{}", rig.written(client));
    rig.step(Event::Established(link));
    assert_eq!(rig.written(link), "");
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
    rig.step(Event::Ended(client, 0));
    rig.pass(500_000);
    assert_eq!((rig.peers.outgoing.len(), rig.router.counters().attempts_not_sent), (1, 2));
    assert_eq!(rig.router.state.queries.shard_requests.len(), 0);
}

#[test]
fn a_query_that_waits_for_a_connection_until_its_deadline_leaves_nothing_to_the_next() {
    // Nothing is withdrawn here, so what waits ends by its own time, in the turn in which its query is forgotten.
    let mut rig = Rig::with_config(&CONFIG.replace("\"cancelling\":true", "\"cancelling\":false"));
    let clients: Vec<ConnectionId> = (0..4).map(|_| rig.client()).collect();
    let client = rig.query("look", "t1");
    rig.pass(1_600_000);
    assert!(rig.written(client).starts_with("HTTP/1.1 503"), "{}", rig.written(client));
    // What is asked next gets the indices of the one before, and nothing of it.
    rig.query("pay", "t2");
    rig.step(Event::Ended(clients[0], 0));
    rig.decide();
    let (link, _) = rig.establish_last();
    assert!(rig.written(link).contains("t2.0") && !rig.written(link).contains("t1"), "{}", rig.written(link));
    assert_eq!(rig.router.counters().attempts_sent, 2);
}

#[test]
fn a_partly_written_frame_ends_with_its_connection_when_the_client_disconnects() {
    let mut rig = Rig::new();
    let client = rig.query("look", "t1");
    rig.peers.writes_stall = true;
    let (link, _) = rig.establish_last();
    assert_eq!(rig.written(link).len(), 12);
    rig.step(Event::Ended(client, 0));
    assert!(rig.peers.closed.contains(&link));
    assert_eq!(rig.router.counters().attempts_not_sent, 2);
}

#[test]
fn a_partly_written_frame_ends_with_its_connection_when_its_attempts_time_out() {
    let mut rig = Rig::new();
    rig.peers.writes_stall = true;
    let client = rig.query("pay", "t1");
    let (link, _) = rig.establish_last();
    let parts = rig.router.state.queries.shard_requests.len();
    rig.pass(1_600_000);
    assert!(rig.peers.closed.contains(&link) && rig.written(client).starts_with("HTTP/1.1 50"));
    let counters = rig.router.counters();
    assert_eq!((parts, counters.attempts_connect_failed, counters.attempts_cancelled), (2, 0, 0));
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
    rig.run_effects();
    let (second, _) = rig.establish_last();
    assert!(second != first && rig.written(second).contains("t1.0"));
    assert_eq!(rig.router.state.queries.shard_requests[0].attempts[1].connection, Some(second));
}

#[test]
fn batches_share_a_connection_only_where_the_share_of_a_node_is_used_up() {
    let mut rig = Rig::new();
    rig.router.state.context.limits.max_connections = 9;
    let ids: Vec<std::rc::Rc<str>> = vec!["t1.0".into()];
    let links: Vec<ConnectionId> = (0..4)
        .map(|_| {
            let conn = rig.connection_for(0, &ids).expect("a socket");
            rig.run_effects();
            rig.step(Event::Established(conn));
            rig.router.state.context.connections.node(conn).queue_batch(Vec::new());
            conn
        })
        .collect();
    // Nine sockets, of which nodes may have six, are three for each of two.
    assert!(links[0] != links[1] && links[1] != links[2] && links[..3].contains(&links[3]));
}

#[test]
fn a_batch_without_a_connection_waits_and_is_no_failure_of_its_node() {
    let mut rig = Rig::new();
    let clients: Vec<ConnectionId> = (0..4).map(|_| rig.client()).collect();
    let busy = rig.query("pay", "t1");
    assert_eq!(rig.peers.outgoing.len(), 1, "discovery's alone");
    rig.step(Event::Ended(clients[0], 0));
    rig.decide();
    let (link, _) = rig.establish_last();
    assert!(rig.written(link).contains("t1.0") && rig.written(busy).is_empty());
    assert_eq!(rig.router.counters().attempts_connect_failed, 0);
}

#[test]
fn a_batch_that_waits_for_a_connection_is_cancelled_when_its_node_drains() {
    let mut rig = Rig::new();
    let clients: Vec<ConnectionId> = (0..4).map(|_| rig.client()).collect();
    rig.query("pay", "t1");
    let node = rig.router.state.queries.shard_requests[0].attempts[0].node.0;
    let members = [("a", 71), ("b", 72)].into_iter().enumerate().map(|(i, (id, port))| {
        let phase = if i == node { "draining" } else { "ready" };
        serde_json::json!({"id": id, "host_port": format!("127.0.0.1:{port}"), "cell": 0, "phase": phase})
    });
    let list = serde_json::json!({"revision": 42, "members": members.collect::<Vec<_>>()});
    rig.apply_list(&list, EndpointUpdate::Incremental);
    rig.step(Event::Ended(clients[0], 0));
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
    let mut ask = |id: &str| {
        let client = rig.client();
        rig.step(Event::Received(client, post("pay", id, body).as_bytes()));
        rig.pass(5_000);
        (client, rig.peers.outgoing.last().expect("a link").0)
    };
    let ((client, first), (other, second)) = (ask("t1"), ask("t2"));
    assert_ne!(first, second);
    rig.step(Event::Established(first));
    rig.respond(first, "t1.0 OK 5 -", "one");
    rig.decide();
    // Its node may close right behind an answer: it rests for a tick first.
    assert!(!rig.written(first).contains("t2.0"));
    rig.pass(10_000);
    assert!(rig.written(first).contains("t2.0"), "{}", rig.written(first));
    assert_eq!(rig.router.counters().batches_reassigned, 1);
    // The one that comes up late carries nothing, and that its node could not be reached is not said.
    rig.pass(250_000);
    assert_eq!((rig.written(second), rig.router.counters().attempts_connect_failed), (String::new(), 0));
    rig.respond(first, "t2.0 OK 5 -", "two");
    rig.pass(5_000);
    let said = [rig.written(client), rig.written(other)];
    assert!(said.iter().all(|said| said.starts_with("HTTP/1.1 200 OK")), "{said:?}");
}
