//! Tests that a drain is kept whatever discovery sends or fails to send afterwards.

use super::*;
use balancer::Micros;
use serde_json::{Value as Json, json};

/// Returns an entry of the endpoint list.
pub(super) fn entry(id: &str, phase: &str) -> Json {
    let port = if id == "a" { 71 } else { 72 };
    json!({"id": id, "host_port": format!("127.0.0.1:{port}"), "locality": "z", "cell": 0, "phase": phase,
        "size": 1.0, "up_since_ms": 0})
}

/// Returns a list as one line of a watch, with the fields in the order of the protocol.
pub(super) fn list(revision: u64, complete: bool, members: &[Json]) -> String {
    let members = Json::from(members);
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":{members}}}\n")
}

/// Returns the head of a response to a watch, followed by this text in one chunk.
pub(super) fn response(text: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{text}\r\n", text.len())
}

/// Returns the configuration of a router that may have several watches, with this value of `registryMode`.
pub(super) fn config(mode: &str) -> String {
    CONFIG.replace("\"sockets\":22", "\"sockets\":128").replace("\"ask\"", &format!("\"{mode}\""))
}

/// Establishes the last watch that was opened and lets discovery answer it with this text. Returns its request.
pub(super) fn answer_watch(rig: &mut Rig<RecordingPeers>, text: &str) -> String {
    let watch = rig.peers.outgoing.last().expect("a watch").id;
    rig.step(Event::Established(watch));
    let request = rig.written(watch);
    rig.receive(watch, response(text).as_bytes());
    rig.decide();
    request
}

/// Returns a router to which discovery has sent, at revision 50, that node `b` drains, and whose watch has ended since.
/// `move_discovery` says whether it ended by a reload.
fn router_with_drained_node(mode: &str, move_discovery: bool) -> Rig<RecordingPeers> {
    let mut rig = Rig::with_config(&config(mode));
    answer_watch(&mut rig, &list(50, true, &[entry("a", "ready"), entry("b", "draining")]));
    assert_eq!(rig.ready_endpoints(), 1);
    if move_discovery {
        rig.step(Event::DiscoveryAddressReloaded(SocketAddr::from(([127, 0, 0, 1], DISCOVERY_PORT + 1))));
    } else {
        let watch = rig.peers.outgoing.last().expect("a watch").id;
        rig.end_connection(watch, 0);
        rig.time_to_next_discovery_request();
    }
    rig
}

/// Guards against a replica of discovery that lags behind and undoes a drain.
#[test]
fn a_list_with_an_older_revision_does_not_make_a_drained_node_ready() {
    for (mode, move_discovery) in [("ask", false), ("ask", true), ("push", false), ("push", true)] {
        for complete in [true, false] {
            let mut rig = router_with_drained_node(mode, move_discovery);
            answer_watch(&mut rig, &list(49, complete, &[entry("a", "ready"), entry("b", "ready")]));
            assert_eq!((rig.ready_endpoints(), rig.router.counters().endpoint_lists_older), (1, 1));
            // The replica catches up, and the node is ready again at a later revision.
            let watch = rig.peers.outgoing.last().expect("a watch").id;
            let updates =
                list(50, false, &[entry("b", "draining")]) + &list(51, false, &[entry("b", "ready")]);
            rig.receive(watch, format!("{:x}\r\n{updates}\r\n", updates.len()).as_bytes());
            assert_eq!(rig.ready_endpoints(), 2);
        }
    }
}

/// Guards against a node that was removed and comes back by an older list.
#[test]
fn a_list_with_an_older_revision_does_not_bring_a_removed_node_back() {
    let mut rig = Rig::with_config(&config("ask"));
    answer_watch(&mut rig, &list(50, true, &[entry("a", "ready")]));
    let watch = rig.peers.outgoing.last().expect("a watch").id;
    rig.end_connection(watch, 0);
    rig.time_to_next_discovery_request();
    answer_watch(&mut rig, &list(49, true, &[entry("a", "ready"), entry("b", "ready")]));
    assert_eq!(rig.ready_endpoints(), 1);
}

/// Guards against a discovery service whose revisions began anew and whose lists are rejected for good.
#[test]
fn lists_of_a_discovery_whose_revisions_began_anew_are_accepted_after_a_while() {
    for (mode, move_discovery) in [("ask", false), ("ask", true), ("push", false), ("push", true)] {
        let mut rig = router_with_drained_node(mode, move_discovery);
        answer_watch(&mut rig, &list(2, true, &[entry("b", "ready")]));
        assert_eq!(
            rig.ready_endpoints(),
            0,
            "node a is not listed, node b is drained by the newest revision"
        );
        rig.decide_and_advance(3_000_000);
        rig.receive(rig.peers.outgoing[0].id, b"1\r\n\n\r\n");
        assert!(rig.time_to_next_discovery_request() <= 2_010_000);
        let request = answer_watch(&mut rig, &list(2, true, &[entry("b", "ready")]));
        assert!(request.starts_with("GET /api/targets?watch=1&after=0 "), "{request}");
        assert_eq!(rig.ready_endpoints(), 1);
    }
}

/// Returns a router that has received a list with both nodes at revision 50 and whose watch has ended since. Its next
/// watch has received the start of the next list, up to this text.
fn router_with_partial_list(next_list: &str, received: &str) -> (Rig<RecordingPeers>, ConnectionId) {
    let mut rig = Rig::with_config(&config("ask"));
    answer_watch(&mut rig, &list(50, true, &[entry("a", "ready"), entry("b", "ready")]));
    let watch = rig.peers.outgoing.last().expect("a watch").id;
    rig.end_connection(watch, 0);
    rig.time_to_next_discovery_request();
    let watch = rig.peers.outgoing.last().expect("a watch").id;
    rig.step(Event::Established(watch));
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", next_list.len());
    let end = next_list.find(received).expect("the text is in the list") + received.len();
    rig.receive(watch, (head + &next_list[..end]).as_bytes());
    (rig, watch)
}

/// Lets bytes of a number arrive at the start of the next entry until this time has passed.
fn let_bytes_arrive(rig: &mut Rig<RecordingPeers>, watch: ConnectionId, span: Micros) {
    let end = rig.now + span;
    while rig.now < end {
        rig.decide_and_advance(100_000);
        rig.receive(watch, b"1");
    }
}

/// Guards against a drain that stands in a list whose rest arrives slowly.
#[test]
fn a_drain_in_an_incomplete_update_is_applied_before_the_rest_arrives() {
    for complete in [true, false] {
        let update = list(51, complete, &[entry("b", "draining"), entry("a", "ready")]);
        let (mut rig, watch) = router_with_partial_list(&update, r#""up_since_ms":0},{"cell":"#);
        let_bytes_arrive(&mut rig, watch, 600_000);
        assert_eq!((rig.ready_endpoints(), rig.router.counters().endpoint_lists_partial), (1, 1));
    }
}

/// Guards against a node that a full list leaves out while the list arrives so slowly that its end comes too late.
#[test]
fn a_node_that_a_slow_full_list_has_not_named_is_suspended_until_the_list_ends() {
    let update = list(51, true, &[entry("a", "ready"), entry("c", "ready")]);
    let start = r#""up_since_ms":0},{"cell":"#;
    let (mut rig, watch) = router_with_partial_list(&update, start);
    let_bytes_arrive(&mut rig, watch, 3_400_000);
    assert_eq!(rig.ready_endpoints(), 2);
    let_bytes_arrive(&mut rig, watch, 200_000);
    assert_eq!(rig.ready_endpoints(), 1);
    let client = rig.send_query("look", "t1");
    assert_eq!(rig.establish_last().1, 71, "the query goes to the node that the list has named");
    assert!(rig.written(client).is_empty());
    // The list never ends and another watch states that nothing has changed: the suspended node is ready again.
    let other =
        rig.peers.outgoing.iter().rfind(|outgoing| outgoing.port == DISCOVERY_PORT && outgoing.id != watch);
    let other = other.expect("another watch").id;
    rig.step(Event::Established(other));
    rig.receive(other, response("\n").as_bytes());
    assert_eq!(rig.ready_endpoints(), 2);
    assert!(rig.peers.closed.contains(&watch));
}

/// Guards against nodes that stay suspended after the list that suspended them is lost or complete.
#[test]
fn a_suspended_node_is_ready_again_unless_the_complete_list_leaves_it_out() {
    let update = list(51, true, &[entry("a", "ready"), entry("c", "ready")]);
    let start = r#""up_since_ms":0},{"cell":"#;
    for is_completed in [true, false] {
        let (mut rig, watch) = router_with_partial_list(&update, start);
        let_bytes_arrive(&mut rig, watch, 3_600_000);
        assert_eq!(rig.ready_endpoints(), 1);
        if is_completed {
            rig.receive(watch, b",\"x\":0}]}\n");
        } else {
            rig.end_connection(watch, 0);
        }
        let is_ready = |id: &str| rig.router.state.context.endpoints.is_ready(id);
        assert_eq!((is_ready("a"), is_ready("b")), (true, !is_completed), "completed: {is_completed}");
    }
}

/// Guards against a drain that is skipped since its entry lacks a field that a ready node needs.
#[test]
fn an_entry_that_only_states_that_a_node_drains_is_applied() {
    for (phase, is_ready) in [("draining", false), ("gone", false), ("ready", true), ("asleep", true)] {
        let mut rig = Rig::with_config(&config("ask"));
        answer_watch(&mut rig, &list(50, true, &[entry("a", "ready"), entry("b", "ready")]));
        let update =
            list(51, false, &[json!({"id": "b", "phase": phase}), json!({"id": "c", "phase": phase})]);
        let watch = rig.peers.outgoing.last().expect("a watch").id;
        rig.receive(watch, format!("{:x}\r\n{update}\r\n", update.len()).as_bytes());
        rig.send_query("look", "t1");
        assert_eq!(rig.router.state.context.endpoints.is_ready("b"), is_ready, "{phase}");
        let connects_to_b = rig.peers.outgoing.iter().any(|outgoing| outgoing.port == 72);
        assert!(is_ready || !connects_to_b, "{phase}");
    }
}

/// Guards against nodes that are suspended too late after a reload, since the first byte of the list came late.
#[test]
fn nodes_are_suspended_in_time_although_the_first_byte_of_the_list_comes_late() {
    let mut rig = Rig::with_config(&config("ask"));
    answer_watch(&mut rig, &list(50, true, &[entry("a", "ready"), entry("b", "ready")]));
    rig.step(Event::DiscoveryAddressReloaded(SocketAddr::from(([127, 0, 0, 1], DISCOVERY_PORT + 1))));
    let reloaded_at = rig.now;
    let watch = rig.peers.outgoing.last().expect("a watch").id;
    rig.step(Event::Established(watch));
    rig.decide_and_advance(1_500_000);
    let update = list(51, true, &[entry("a", "ready"), entry("c", "ready")]);
    let end = update.find("},{").expect("two entries") + 12;
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", update.len());
    rig.receive(watch, (head + &update[..end]).as_bytes());
    let_bytes_arrive(&mut rig, watch, 2_100_000);
    assert!(rig.now - reloaded_at < 4_000_000);
    assert_eq!(rig.ready_endpoints(), 1);
}
