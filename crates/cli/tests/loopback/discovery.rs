//! Tests of endpoint list watches: stale revisions, silent connections, and response headers that never end.

use crate::rig::{DataNode, LONG_DEADLINE, RouterProcess, ScriptedDiscovery, config, frame};
use serde_json::{Value as Json, json};
use std::io::Write;
use std::time::Duration;
use test_servers::member;

#[test]
fn stale_revision_does_not_undo_a_drain() {
    // The router is in zone z, like the first node; the second is in zone y.
    let (same_zone_node, other_zone_node) = (DataNode::new(), DataNode::new());
    let discovery = ScriptedDiscovery::new();
    let router = RouterProcess::start("stale", &config(discovery.address(), LONG_DEADLINE));
    let (request, mut watch) = discovery.accept_request();
    assert!(request.contains("watch=1&after=7"), "{request}");
    watch.send_watch_head();
    let entry = |id: &str, node: &DataNode, zone: &str, phase: &str| {
        member(id, &node.address.to_string(), zone, 0, phase, 0)
    };
    let all = [entry("a", &same_zone_node, "z", "ready"), entry("b", &other_zone_node, "y", "ready")];
    let list = |revision: u64, complete: bool, members: &[Json]| json!({"revision": revision, "complete": complete, "members": members});
    watch.send_updates(&[
        list(8, true, &all),
        list(10, false, &[entry("a", &same_zone_node, "z", "draining")]),
        list(9, false, &[entry("a", &same_zone_node, "z", "ready")]),
        list(11, false, &[]),
    ]);
    router.wait_for_counter("endpoint_lists_incremental", 2);
    let mut client = router.connect();
    client.send_query("look", "t1", LONG_DEADLINE);
    let mut other_zone_connection = other_zone_node.accept();
    assert_eq!(other_zone_connection.read_frame().0, 'R');
    other_zone_connection.send(&frame(b'Y', "t1.0 OK 5 -\none"));
    assert_eq!(client.read_response().0, "HTTP/1.1 200 OK");
    assert!(same_zone_node.has_no_connection());
    assert_eq!(router.counter("endpoint_lists_stale"), 1);
    drop(client);
    router.terminate();
}

#[test]
fn silent_watch_is_replaced_before_it_counts_as_failed() {
    let discovery = ScriptedDiscovery::new();
    let router = RouterProcess::start("silent", &config(discovery.address(), LONG_DEADLINE));
    let (_, mut watch) = discovery.accept_request();
    watch.send_watch_head();
    watch.send_updates(&[json!({"revision": 8, "complete": true, "members": []})]);
    // Discovery sends no more bytes and keeps the connection open.
    let (request, _second_watch) = discovery.accept_request();
    assert!(request.contains("watch=1&after=8"), "{request}");
    // The next watch is opened as soon as a heartbeat is overdue, and the silent one is closed shortly afterwards.
    assert_eq!(router.counter("endpoint_watches_additional"), 1);
    router.wait_for_counter("endpoint_watches_silent", 1);
    assert_eq!((router.counter("endpoint_watches_silent"), router.counter("discovery_failures")), (1, 0));
    router.terminate();
    drop(watch);
}

#[test]
fn watch_with_an_endless_response_header_is_closed() {
    let discovery = ScriptedDiscovery::new();
    let router = RouterProcess::start("trickle", &config(discovery.address(), LONG_DEADLINE));
    let (_, mut watch) = discovery.accept_request();
    // Sends one byte of the header every 100 ms until the router closes the connection, for at most 30 s.
    let sender = std::thread::spawn(move || {
        let _ = watch.0.write_all(b"HTTP/1.1 200 OK\r\nX-Slow: ");
        let sent_bytes = (0..300).take_while(|_| {
            std::thread::sleep(Duration::from_millis(100));
            watch.0.write_all(b"x").is_ok()
        });
        sent_bytes.count()
    });
    let (_, _second_watch) = discovery.accept_request();
    assert!(sender.join().expect("the sender thread does not panic") < 300, "the first watch was not closed");
    assert_eq!(router.counter("discovery_failures"), 1);
    router.terminate();
}
