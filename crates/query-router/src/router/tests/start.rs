//! Tests of a router that has just started and whose only endpoint list is from before its start.

use super::stale_lists::{answer_watch, config, entry, list};
use super::*;
use balancer::Micros;

/// The time from which a router serves queries although discovery has not sent a list.
const MAX_ENDPOINT_LIST_WAIT: Micros = 9_000_000;
/// The time by which the platform expects restarted routers to be ready.
const MAX_TIME_TO_READY: Micros = 10_000_000;
/// The time within which queries of the tests have to be answered.
const LATENCY_OBJECTIVE: Micros = 1_000_000;
/// The port of node `b`, which is ready in the list from before the start.
const NODE_B_PORT: u16 = 72;

/// How discovery treats the requests of a router that has just started.
#[derive(Clone, Copy, Debug)]
enum Reply {
    /// Connections are refused.
    Refused,
    /// Requests are answered with status 503.
    Unavailable,
    /// Connections are reset after the request.
    Reset,
    /// Nothing is answered.
    Hang,
    /// Only the head of a response is sent.
    HeadAlone,
    /// A response begins with a part of the list and stops.
    HalfAList,
    /// The list is malformed.
    Malformed,
}

const REPLIES: [Reply; 7] = [
    Reply::Refused,
    Reply::Unavailable,
    Reply::Reset,
    Reply::Hang,
    Reply::HeadAlone,
    Reply::HalfAList,
    Reply::Malformed,
];

/// Returns the list in which node `b` is not ready any more. The list from before the start has revision 41.
fn current_list() -> String {
    list(43, true, &[entry("a", "ready"), entry("b", "draining")])
}

/// Returns the requests to discovery that are open and have not been sent.
fn new_requests(rig: &Rig<RecordingPeers>) -> Vec<ConnectionId> {
    let requests = rig.peers.outgoing.iter().filter(|outgoing| outgoing.port == DISCOVERY_PORT);
    requests.map(|request| request.id).filter(|&id| rig.written(id).is_empty()).collect()
}

/// Lets discovery treat all requests that were not answered yet.
fn reply(rig: &mut Rig<RecordingPeers>, reply: Reply) {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for id in new_requests(rig) {
        if matches!(reply, Reply::Refused) {
            rig.end_connection(id, 0);
            continue;
        }
        rig.peers.written.remove(&id);
        rig.step(Event::Established(id));
        match reply {
            Reply::Refused | Reply::Hang => {}
            Reply::Unavailable => {
                rig.receive(id, b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            }
            Reply::Reset => rig.end_connection(id, 60),
            Reply::HeadAlone => rig.receive(id, HEAD.as_bytes()),
            Reply::HalfAList => {
                let start = &current_list()[..60];
                rig.receive(id, format!("{HEAD}{:x}\r\n{start}\r\n", start.len()).as_bytes());
            }
            Reply::Malformed => rig.receive(id, format!("{HEAD}3\r\n[]\n\r\n").as_bytes()),
        }
    }
    rig.decide();
}

/// Lets discovery treat all requests within this time alike.
fn reply_for(rig: &mut Rig<RecordingPeers>, kind: Reply, span: Micros) {
    const STEP: Micros = 10_000;
    let end = rig.now + span;
    while rig.now < end {
        reply(rig, kind);
        rig.decide_and_advance(STEP);
    }
}

/// Returns the ports of the nodes to which the router has opened connections.
fn used_nodes(rig: &Rig<RecordingPeers>) -> Vec<u16> {
    let nodes = rig.peers.outgoing.iter().filter(|outgoing| outgoing.port != DISCOVERY_PORT);
    nodes.map(|node| node.port).collect()
}

/// Returns the status of the response to a readiness check.
fn readiness(rig: &mut Rig<RecordingPeers>) -> String {
    let client = rig.connect_client();
    // The id may have belonged to a connection that is closed now.
    rig.peers.written.remove(&client);
    rig.receive(client, b"GET /-/ready HTTP/1.1\r\n\r\n");
    let status = rig.written(client)[9..12].to_string();
    rig.end_connection(client, 0);
    rig.peers.written.remove(&client);
    status
}

/// Guards against work for nodes that were withdrawn while the router was away (`review/9`): the list from before the
/// start was used until discovery answered.
#[test]
fn no_node_of_the_list_from_before_the_start_is_used_until_discovery_has_sent_the_list() {
    for kind in REPLIES {
        for outage in [0, 1_000_000, 4_000_000, 6_000_000] {
            let mut rig = Rig::with_config(&config("push"));
            assert_eq!(readiness(&mut rig), "503", "{kind:?}");
            let early_client = rig.send_query("look", "early");
            reply_for(&mut rig, kind, outage);
            assert_eq!(readiness(&mut rig), "503", "{kind:?} for {outage} us");
            let is_answered = rig.written(early_client).starts_with("HTTP/1.1 503");
            assert_eq!(is_answered, outage >= LATENCY_OBJECTIVE, "{kind:?} for {outage} us");
            while new_requests(&rig).is_empty() {
                rig.decide_and_advance(10_000);
            }
            let client = rig.send_query("look", "late");
            assert_eq!(used_nodes(&rig), [0; 0], "{kind:?} for {outage} us");
            let request = answer_watch(&mut rig, &current_list());
            assert!(request.starts_with("GET /api/targets?watch=1&after=0 "), "{request}");
            assert_eq!(readiness(&mut rig), "200", "{kind:?} for {outage} us");
            assert!(!used_nodes(&rig).is_empty() && !used_nodes(&rig).contains(&NODE_B_PORT));
            assert_eq!(rig.written(client), "", "the query is in progress");
        }
    }
}

/// Guards against a fleet that stays out of service for as long as discovery is down.
#[test]
fn the_list_from_before_the_start_is_used_if_discovery_sends_none_in_time() {
    for kind in REPLIES {
        let mut rig = Rig::with_config(&config("push"));
        reply_for(&mut rig, kind, MAX_ENDPOINT_LIST_WAIT - 100_000);
        assert_eq!(readiness(&mut rig), "503", "{kind:?}");
        let client = rig.send_query("look", "t1");
        reply_for(&mut rig, kind, 200_000);
        assert_eq!(readiness(&mut rig), "200", "{kind:?}");
        assert!(rig.now < START + MAX_TIME_TO_READY);
        let (connection, _) = rig.establish_last();
        rig.respond(connection, "t1.0 OK 5 -", "alpha");
        rig.respond(connection, "t1.1 OK 5 -", "beta");
        rig.decide();
        assert!(rig.written(client).starts_with("HTTP/1.1 200"), "{kind:?}: {}", rig.written(client));
    }
}

/// Guards against a wait that ends only with the next event: without clients and with a request that hangs, a timer
/// ends it.
#[test]
fn a_router_without_any_event_is_ready_after_the_wait() {
    let mut rig = Rig::with_config(&config("push"));
    rig.advance(MAX_ENDPOINT_LIST_WAIT - 1);
    assert_eq!(readiness(&mut rig), "503");
    rig.advance(1);
    assert_eq!(readiness(&mut rig), "200");
}

#[test]
fn a_first_message_that_is_not_the_full_list_leads_to_a_poll_and_does_not_end_the_wait() {
    let heartbeat = "\n".to_string();
    let empty_change = list(43, false, &[]);
    let change = list(43, false, &[entry("a", "ready")]);
    for first in [heartbeat, empty_change, change] {
        let mut rig = Rig::with_config(&config("push"));
        answer_watch(&mut rig, &first);
        assert_eq!(readiness(&mut rig), "503", "{first:?}");
        let poll = rig.peers.outgoing.last().expect("a poll").id;
        rig.step(Event::Established(poll));
        assert!(rig.written(poll).starts_with("GET /api/targets HTTP/1.1"), "{}", rig.written(poll));
        // The poll fails; the next message of the watch leads to another one.
        rig.end_connection(poll, 60);
        let watch = rig.peers.outgoing[0].id;
        rig.receive(watch, b"1\r\n\n\r\n");
        let poll = rig.peers.outgoing.last().expect("another poll").id;
        rig.step(Event::Established(poll));
        let body = current_list();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        rig.receive(poll, response.as_bytes());
        rig.decide();
        assert_eq!((readiness(&mut rig).as_str(), rig.ready_endpoints()), ("200", 1), "{first:?}");
        let requests = rig.router.counters().discovery_requests;
        rig.receive(watch, b"1\r\n\n\r\n");
        assert_eq!(rig.router.counters().discovery_requests, requests, "no poll after the full list");
    }
}

/// Guards against a replica of discovery that is behind the list from before the start and undoes its drains.
#[test]
fn a_first_list_that_is_older_than_the_one_from_before_the_start_makes_no_node_ready() {
    let drained = config("push").replacen(r#""phase":"ready""#, r#""phase":"draining""#, 1);
    let mut rig = Rig::with_config(&drained);
    answer_watch(&mut rig, &list(40, true, &[entry("a", "ready"), entry("b", "ready")]));
    assert_eq!((readiness(&mut rig).as_str(), rig.ready_endpoints()), ("200", 1));
    rig.send_query("look", "t1");
    assert_eq!(used_nodes(&rig), [NODE_B_PORT], "node a drains in the list from before the start");
}

#[test]
fn a_list_that_arrives_slowly_is_not_used_before_it_is_complete() {
    let mut rig = Rig::with_config(&config("push"));
    let watch = rig.peers.outgoing[0].id;
    rig.step(Event::Established(watch));
    rig.receive(watch, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for piece in current_list().as_bytes().chunks(60) {
        rig.send_query("look", &format!("t{}", rig.now));
        assert_eq!((used_nodes(&rig), readiness(&mut rig).as_str()), (vec![], "503"));
        let chunk = [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
        rig.receive(watch, &chunk);
        rig.decide_and_advance(600_000);
    }
    assert_eq!(readiness(&mut rig), "200");
}

#[test]
fn a_list_from_before_the_start_that_is_empty_is_provisional_too() {
    let mut start = serde_json::from_str::<serde_json::Value>(&config("push")).expect("valid JSON");
    start["known"]["members"] = serde_json::json!([]);
    let mut rig = Rig::with_config(&start.to_string());
    let client = rig.send_query("look", "t1");
    assert_eq!(readiness(&mut rig), "503");
    answer_watch(&mut rig, &current_list());
    assert_eq!((readiness(&mut rig).as_str(), used_nodes(&rig).len()), ("200", 1));
    assert_eq!(rig.written(client), "");
}

#[test]
fn signals_during_the_wait_take_effect() {
    let mut rig = Rig::with_config(&config("push"));
    let client = rig.send_query("look", "t1");
    rig.step(Event::ReportCounters);
    // A reload names another address, and the list comes from there.
    rig.step(Event::DiscoveryAddressReloaded(SocketAddr::from(([127, 0, 0, 1], DISCOVERY_PORT + 1))));
    assert_eq!(readiness(&mut rig), "503");
    answer_watch(&mut rig, &current_list());
    assert_eq!((readiness(&mut rig).as_str(), rig.written(client).as_str()), ("200", ""));
    // A shutdown during the wait answers the queries in time.
    let mut rig = Rig::with_config(&config("push"));
    let client = rig.send_query("look", "t1");
    rig.step(Event::Terminate);
    rig.advance(LATENCY_OBJECTIVE);
    assert!(rig.written(client).starts_with("HTTP/1.1 503"), "{}", rig.written(client));
    rig.end_connection(client, 0);
    rig.decide_and_advance(KILL_DELAY);
    assert!(rig.exit_requested);
}

/// Where endpoint lists are polled, the platform holds a router to its last list until the first poll is due.
#[test]
fn a_polled_list_from_before_the_start_is_used_at_once() {
    let mut rig = Rig::with_config(&config("ask"));
    assert_eq!(readiness(&mut rig), "200");
    rig.send_query("look", "t1");
    assert!(!used_nodes(&rig).is_empty());
}

/// Guards against routers that start together and then ask a crowded discovery in the same moments: in each 10 ms at most
/// a fifth of 45 (seven in ten of 64) do, although all of their first requests failed at once.
#[test]
fn requests_of_routers_that_started_together_spread() {
    const ROUTERS: usize = 45;
    const SLOT: Micros = 10_000;
    let mut slots: BTreeMap<Micros, usize> = BTreeMap::new();
    for seed in 0..ROUTERS {
        let seed = format!("\"{seed:x}\"");
        let config = config("push")
            .replace("\"2a\"", &seed)
            .replace(r#""askWithinNs":10000000000"#, r#""askWithinNs":10000000000,"drainGraceNs":500000000"#);
        let mut rig = Rig::with_config(&config);
        reply(&mut rig, Reply::Refused);
        let retry_after = rig.time_to_next_discovery_request();
        assert!(retry_after <= 130_000, "retried after {retry_after} us");
        *slots.entry(retry_after / SLOT).or_default() += 1;
        reply(&mut rig, Reply::Refused);
        *slots.entry(retry_after / SLOT + rig.time_to_next_discovery_request() / SLOT).or_default() += 1;
    }
    let highest = slots.values().copied().max();
    assert!(highest <= Some(2 * ROUTERS / 5), "requests by slot: {slots:?}");
}
