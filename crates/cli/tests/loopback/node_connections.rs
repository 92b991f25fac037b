//! Tests of connections to data nodes: which shard requests must not be sent on them, and when they are not reused.

use crate::rig::{DataNode, FullBacklogNode, LONG_DEADLINE, frame, start_with_node};
use std::time::{Duration, Instant};
use test_servers::member;

#[test]
fn query_of_a_disconnected_client_is_not_sent_on_a_connection_established_later() {
    let node = FullBacklogNode::new();
    let (router, _discovery) = start_with_node("disconnected", node.address, LONG_DEADLINE);
    let mut client = router.connect();
    client.send_query("look", "t1", LONG_DEADLINE);
    router.wait_for_counter("node_connections_opened", 1);
    drop(client);
    router.wait_for_counter("queries_abandoned_by_client", 1);
    let mut node_connection = node.accept();
    let log = router.terminate();
    assert_eq!(node_connection.read_to_end(), b"");
    assert!(log.contains("attempts_not_sent 1\n") && log.contains("attempts_sent 0\n"), "{log}");
}

#[test]
fn client_disconnect_is_handled_before_a_node_connection_of_the_same_iteration() {
    let node = FullBacklogNode::new();
    let (router, _discovery) = start_with_node("iteration", node.address, LONG_DEADLINE);
    let mut client = router.connect();
    client.send_query("look", "t1", LONG_DEADLINE);
    router.wait_for_counter("node_connections_opened", 1);
    router.pause();
    let mut node_connection = node.accept();
    drop(client);
    router.resume();
    router.wait_for_counter("queries_abandoned_by_client", 1);
    router.terminate();
    assert_eq!(node_connection.read_to_end(), b"");
}

#[test]
fn drain_is_handled_before_a_node_connection_of_the_same_iteration() {
    let node = FullBacklogNode::new();
    let (router, discovery) = start_with_node("drain", node.address, LONG_DEADLINE);
    let mut client = router.connect();
    client.send_query("look", "t1", LONG_DEADLINE);
    router.wait_for_counter("node_connections_opened", 1);
    router.pause();
    let mut node_connection = node.accept();
    let updates_sent = discovery.updates_sent();
    discovery.publish(vec![member("a", &node.address.to_string(), "z", 0, "draining", 0)]);
    discovery.wait_for_updates_sent(updates_sent + 1);
    router.resume();
    router.wait_for_counter("endpoint_lists_incremental", 1);
    drop(client);
    router.terminate();
    assert_eq!(node_connection.read_to_end(), b"");
}

#[test]
fn connection_established_after_the_deadline_receives_no_bytes() {
    let node = FullBacklogNode::new();
    let deadline = Duration::from_millis(1_500);
    let (router, _discovery) = start_with_node("late", node.address, deadline);
    let mut client = router.connect();
    let started = Instant::now();
    client.send_query("pay", "t1", deadline);
    router.wait_for_counter("node_connections_opened", 1);
    router.pause();
    let mut node_connection = node.accept();
    std::thread::sleep((deadline + Duration::from_millis(1)).saturating_sub(started.elapsed()));
    router.resume();
    // 503 tells the client that the query was not executed and can be retried, since no bytes were sent to the node.
    assert_eq!(client.read_response().0, "HTTP/1.1 503 Service Unavailable");
    router.terminate();
    assert_eq!(node_connection.read_to_end(), b"");
}

#[test]
fn connection_with_an_incomplete_frame_is_not_reused() {
    let node = DataNode::new();
    let (router, _discovery) = start_with_node("half", node.address, LONG_DEADLINE);
    let mut client = router.connect();
    client.send_query("pay", "t1", LONG_DEADLINE);
    let mut first = node.accept();
    assert_eq!(first.read_frame().0, 'R');
    let response = frame(b'Y', "t1.0 OK 5 -\none");
    first.send(&[&response[..], &response[..9]].concat());
    assert_eq!(client.read_response().0, "HTTP/1.1 200 OK");
    client.send_query("pay", "t2", LONG_DEADLINE);
    let mut second = node.accept();
    assert!(second.read_frame().1.starts_with("t2.0 "));
    second.send(&frame(b'Y', "t2.0 OK 5 -\ntwo"));
    let (status, body) = client.read_response();
    assert!(status == "HTTP/1.1 200 OK" && body.contains("two"), "{status} {body}");
    drop(client);
    router.terminate();
    assert_eq!(first.read_to_end(), b"");
}

#[test]
fn connection_is_not_reused_after_the_node_could_not_parse_a_frame() {
    let node = DataNode::new();
    let (router, _discovery) = start_with_node("not-understood", node.address, LONG_DEADLINE);
    let mut client = router.connect();
    client.send_query("pay", "t1", LONG_DEADLINE);
    let mut first = node.accept();
    assert_eq!(first.read_frame().0, 'R');
    first.send(&[frame(b'Y', "t1.0 OK 5 -\none"), frame(b'N', "that was none")].concat());
    assert_eq!(client.read_response().0, "HTTP/1.1 200 OK");
    client.send_query("pay", "t2", LONG_DEADLINE);
    let mut second = node.accept();
    assert!(second.read_frame().1.starts_with("t2.0 "));
    second.send(&frame(b'Y', "t2.0 OK 5 -\ntwo"));
    assert_eq!(client.read_response().0, "HTTP/1.1 200 OK");
    assert_eq!(first.read_to_end(), b"");
    drop(client);
    router.terminate();
}

#[test]
fn query_waiting_for_a_connection_is_sent_on_one_that_became_idle() {
    let node = FullBacklogNode::new();
    let (router, _discovery) = start_with_node("idle-meanwhile", node.address, LONG_DEADLINE);
    let (mut client, mut other) = (router.connect(), router.connect());
    client.send_query("pay", "t1", LONG_DEADLINE);
    let (mut node_connection, _filler) = node.accept_one();
    assert!(node_connection.read_frame().1.starts_with("t1.0 "));
    other.send_query("pay", "t2", LONG_DEADLINE);
    router.wait_for_counter("node_connections_opened", 2);
    node_connection.send(&frame(b'Y', "t1.0 OK 5 -\none"));
    assert_eq!(client.read_response().0, "HTTP/1.1 200 OK");
    assert!(node_connection.read_frame().1.starts_with("t2.0 "));
    node_connection.send(&frame(b'Y', "t2.0 OK 5 -\ntwo"));
    assert_eq!(other.read_response().0, "HTTP/1.1 200 OK");
    drop((client, other));
    let log = router.terminate();
    assert!(log.contains("attempts_not_sent 0\n") && log.contains("batches_reassigned 1\n"), "{log}");
}
