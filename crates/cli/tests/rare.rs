//! Rare moments: each test forces one bad order of events, on real connections.

mod rig;

use rig::{Node, Router, Shut, Slow, config, frame, query};
use rustix::process::Signal;
use serde_json::{Value as Json, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use test_servers::{Discovery, member};

const LONG: Duration = Duration::from_secs(20);

fn one(at: SocketAddr) -> Discovery {
    Discovery::start(8, vec![member("a", &at.to_string(), "z", 0, "ready", 0)])
}

/// A router before one node, once it knows that node.
fn before(name: &str, at: SocketAddr, deadline: Duration) -> (Router, Discovery) {
    let discovery = one(at);
    let router = Router::start(name, &config(discovery.at, deadline));
    router.until("endpoint_lists_full", 2);
    (router, discovery)
}

#[test]
fn a_query_whose_client_left_is_not_sent_on_a_connection_that_comes_up_late() {
    let node = Shut::new();
    let (router, _discovery) = before("left", node.at, LONG);
    let mut client = router.connect();
    client.ask("look", "t1", LONG);
    router.until("node_connections_opened", 1);
    drop(client);
    router.until("queries_abandoned_by_client", 1);
    let mut end = node.open();
    let log = router.end();
    assert_eq!(end.rest(), b"");
    assert!(log.contains("attempts_not_sent 1\n") && log.contains("attempts_sent 0\n"), "{log}");
}

#[test]
fn a_clients_end_is_heard_before_a_connection_that_came_up_in_the_same_turn() {
    let node = Shut::new();
    let (router, _discovery) = before("turn", node.at, LONG);
    let mut client = router.connect();
    client.ask("look", "t1", LONG);
    router.until("node_connections_opened", 1);
    router.hold();
    let mut end = node.open();
    drop(client);
    router.release();
    router.until("queries_abandoned_by_client", 1);
    router.end();
    assert_eq!(end.rest(), b"");
}

#[test]
fn a_drain_is_heard_before_a_connection_that_came_up_in_the_same_turn() {
    let node = Shut::new();
    let (router, discovery) = before("drain", node.at, LONG);
    let mut client = router.connect();
    client.ask("look", "t1", LONG);
    router.until("node_connections_opened", 1);
    router.hold();
    let mut end = node.open();
    let told = discovery.updates_sent();
    discovery.publish(vec![member("a", &node.at.to_string(), "z", 0, "draining", 0)]);
    discovery.wait_for_updates_sent(told + 1);
    router.release();
    router.until("endpoint_lists_incremental", 1);
    drop(client);
    router.end();
    assert_eq!(end.rest(), b"");
}

#[test]
fn a_connection_that_comes_up_once_a_querys_time_is_over_carries_nothing() {
    let node = Shut::new();
    let deadline = Duration::from_millis(1_500);
    let (router, _discovery) = before("late", node.at, deadline);
    let mut client = router.connect();
    let since = Instant::now();
    client.ask("pay", "t1", deadline);
    router.until("node_connections_opened", 1);
    router.hold();
    let mut end = node.open();
    std::thread::sleep((deadline + Duration::from_millis(1)).saturating_sub(since.elapsed()));
    router.release();
    // Nothing was sent: asking again is harmless.
    assert_eq!(client.answer().0, "HTTP/1.1 503 Service Unavailable");
    router.end();
    assert_eq!(end.rest(), b"");
}

#[test]
fn the_end_of_a_client_that_sent_much_at_once_is_seen_while_its_query_waits() {
    let node = Shut::new();
    let (router, _discovery) = before("much", node.at, LONG);
    let mut client = router.connect();
    client.ask("look", "t1", LONG);
    router.until("node_connections_opened", 1);
    client.press(&vec![b'x'; 8 << 20]);
    drop(client);
    router.until("queries_abandoned_by_client", 1);
    let mut end = node.open();
    router.end();
    assert_eq!(end.rest(), b"");
}

#[test]
fn a_connection_on_which_half_a_frame_rests_is_not_used_again() {
    let node = Node::new();
    let (router, _discovery) = before("half", node.at, LONG);
    let mut client = router.connect();
    client.ask("pay", "t1", LONG);
    let mut first = node.accept();
    assert_eq!(first.frame().0, 'R');
    let answer = frame(b'Y', "t1.0 OK 5 -\none");
    first.send(&[&answer[..], &answer[..9]].concat());
    assert_eq!(client.answer().0, "HTTP/1.1 200 OK");
    client.ask("pay", "t2", LONG);
    let mut second = node.accept();
    assert!(second.frame().1.starts_with("t2.0 "));
    second.send(&frame(b'Y', "t2.0 OK 5 -\ntwo"));
    let (status, body) = client.answer();
    assert!(status == "HTTP/1.1 200 OK" && body.contains("two"), "{status} {body}");
    drop(client);
    router.end();
    assert_eq!(first.rest(), b"");
}

#[test]
fn a_node_that_could_not_use_a_frame_gets_no_more_on_that_connection() {
    let node = Node::new();
    let (router, _discovery) = before("word", node.at, LONG);
    let mut client = router.connect();
    client.ask("pay", "t1", LONG);
    let mut first = node.accept();
    assert_eq!(first.frame().0, 'R');
    first.send(&[frame(b'Y', "t1.0 OK 5 -\none"), frame(b'N', "that was none")].concat());
    assert_eq!(client.answer().0, "HTTP/1.1 200 OK");
    client.ask("pay", "t2", LONG);
    let mut second = node.accept();
    assert!(second.frame().1.starts_with("t2.0 "));
    second.send(&frame(b'Y', "t2.0 OK 5 -\ntwo"));
    assert_eq!(client.answer().0, "HTTP/1.1 200 OK");
    assert_eq!(first.rest(), b"");
    drop(client);
    router.end();
}

#[test]
fn a_request_that_comes_while_the_router_ends_is_answered_before_it_could_be_killed() {
    let node = Node::new();
    let (router, _discovery) = before("ends", node.at, LONG);
    let (mut client, mut slow) = (router.connect(), router.connect());
    let request = query("pay", "t1", LONG);
    client.send(&request[..40]);
    slow.send(&request[..40]);
    router.until("client_connections_arrived", 2);
    router.signal(Signal::TERM);
    let mut probe = router.connect();
    probe.send("GET /-/ready HTTP/1.1\r\n\r\n");
    assert_eq!(probe.answer().0, "HTTP/1.1 503 Service Unavailable");
    // Its node takes it and hangs; its own time is 20 s, that of the process 3.7 s.
    let since = Instant::now();
    client.send(&request[40..]);
    let mut end = node.accept();
    assert_eq!(end.frame().0, 'R');
    assert_eq!(client.answer().0, "HTTP/1.1 502 Bad Gateway");
    assert_eq!(slow.answer().0, "HTTP/1.1 503 Service Unavailable");
    assert!(client.rest().is_empty() && slow.rest().is_empty() && probe.rest().is_empty());
    drop((client, slow, probe));
    router.ended();
    assert!(since.elapsed() < LONG / 2);
}

#[test]
fn a_request_that_crosses_the_close_of_a_resting_connection_is_neither_sent_on_nor_reset() {
    let node = Node::new();
    let (router, _discovery) = before("rests", node.at, LONG);
    let mut client = router.connect();
    client.send("GET /-/healthy HTTP/1.1\r\n\r\n");
    assert_eq!(client.answer().0, "HTTP/1.1 200 OK");
    router.signal(Signal::TERM);
    // The router has shut its side; the client has not seen that yet and asks.
    assert!(client.rest().is_empty());
    client.ask("pay", "t1", LONG);
    assert!(client.rest().is_empty());
    drop(client);
    let log = router.ended();
    assert!(log.contains("queries_accepted 0\n") && node.is_untouched(), "{log}");
}

/// A discovery served by the test: the next call's request line, and the connection to answer it on.
fn call(listener: &TcpListener) -> (String, TcpStream) {
    let stream = rig::accept(listener).0;
    let mut lines = BufReader::new(stream.try_clone().expect("a connection")).lines();
    let request = lines.next().expect("a line").expect("a request");
    (request, stream)
}

fn told(to: &mut TcpStream, objects: &[Json]) {
    let text: String = objects.iter().map(|object| format!("{object}\n")).collect();
    write!(to, "{:x}\r\n{text}\r\n", text.len()).expect("the router reads");
}

#[test]
fn a_revision_that_was_overtaken_undoes_no_drain() {
    let (near, far) = (Node::new(), Node::new());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let router = Router::start("stale", &config(listener.local_addr().expect("an address"), LONG));
    let (request, mut watch) = call(&listener);
    assert!(request.contains("watch=1&after=7"), "{request}");
    write!(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("the router reads");
    let entry =
        |id: &str, node: &Node, zone: &str, phase: &str| member(id, &node.at.to_string(), zone, 0, phase, 0);
    let whole = [entry("a", &near, "z", "ready"), entry("b", &far, "y", "ready")];
    let list = |revision: u64, complete: bool, members: &[Json]| json!({"revision": revision, "complete": complete, "members": members});
    told(
        &mut watch,
        &[
            list(8, true, &whole),
            list(10, false, &[entry("a", &near, "z", "draining")]),
            list(9, false, &[entry("a", &near, "z", "ready")]),
            list(11, false, &[]),
        ],
    );
    router.until("endpoint_lists_incremental", 2);
    let mut client = router.connect();
    client.ask("look", "t1", LONG);
    let mut end = far.accept();
    assert_eq!(end.frame().0, 'R');
    end.send(&frame(b'Y', "t1.0 OK 5 -\none"));
    assert_eq!(client.answer().0, "HTTP/1.1 200 OK");
    assert!(near.is_untouched());
    assert_eq!(router.counter("endpoint_lists_stale"), 1);
    drop(client);
    router.end();
}

#[test]
fn a_watch_that_falls_silent_is_begun_anew_before_it_counts_as_failed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let router = Router::start("silent", &config(listener.local_addr().expect("an address"), LONG));
    let (_, mut watch) = call(&listener);
    write!(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("the router reads");
    told(&mut watch, &[json!({"revision": 8, "complete": true, "members": []})]);
    // Nothing more is said, and the connection stays.
    let (request, _again) = call(&listener);
    assert!(request.contains("watch=1&after=8"), "{request}");
    assert_eq!((router.counter("endpoint_watches_silent"), router.counter("discovery_failures")), (1, 0));
    router.end();
    drop(watch);
}

#[test]
fn a_head_that_never_ends_does_not_keep_a_watch() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let router = Router::start("trickle", &config(listener.local_addr().expect("an address"), LONG));
    let (_, mut watch) = call(&listener);
    // A byte every tenth of a second, for as long as the router takes them.
    let trickle = std::thread::spawn(move || {
        let _ = watch.write_all(b"HTTP/1.1 200 OK\r\nX-Slow: ");
        let sent = (0..300).take_while(|_| {
            std::thread::sleep(Duration::from_millis(100));
            watch.write_all(b"x").is_ok()
        });
        sent.count()
    });
    let (_, _again) = call(&listener);
    assert!(trickle.join().expect("a count") < 300, "the first is not closed");
    assert_eq!(router.counter("discovery_failures"), 1);
    router.end();
}

#[test]
fn signals_may_come_in_any_order_and_more_than_once() {
    let node = Node::new();
    let (router, _discovery) = before("signals", node.at, LONG);
    let mut client = router.connect();
    client.ask("pay", "t1", LONG);
    let mut end = node.accept();
    assert_eq!(end.frame().0, 'R');
    router.hold();
    for signal in [Signal::TERM, Signal::HUP, Signal::TERM, Signal::USR1, Signal::INT] {
        router.signal(signal);
    }
    end.send(&frame(b'Y', "t1.0 OK 5 -\none"));
    router.release();
    // What came in the turn of the signals is answered as ever.
    assert_eq!(client.answer().0, "HTTP/1.1 200 OK");
    assert!(client.rest().is_empty());
    drop(client);
    let log = router.ended();
    assert_eq!(log.matches("told to end").count(), 1, "{log}");
}

#[test]
fn a_router_told_to_end_before_its_first_list_ends() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let router = Router::start("first", &config(listener.local_addr().expect("an address"), LONG));
    let (_, watch) = call(&listener);
    router.end();
    drop(watch);
}

#[test]
fn requests_that_are_never_whole_leave_the_memory_to_others() {
    let node = Node::new();
    let discovery = one(node.at);
    let mut config = config(discovery.at, LONG);
    config["limits"]["memory_mb"] = 4.into();
    let router = Router::start("sum", &config);
    router.until("endpoint_lists_full", 2);
    // Each within its own bound; 18 of them make over a quarter of the memory.
    let begin = format!("POST /api HTTP/1.1\r\nContent-Length: 61000\r\n\r\n{}", "x".repeat(60_000));
    let mut clients: Vec<_> = (0..18).map(|_| router.connect()).collect();
    router.until("client_connections_arrived", 18);
    clients.iter_mut().for_each(|client| client.send(&begin));
    router.until("requests_over_memory", 1);
    let refused = loop {
        if let Some(at) = clients.iter().position(|client| client.has_answer()) {
            break at;
        }
        std::thread::yield_now();
    };
    let mut refused = clients.remove(refused);
    assert_eq!(refused.answer().0, "HTTP/1.1 503 Service Unavailable");
    assert!(refused.rest().is_empty());
    let mut other = router.connect();
    other.ask("pay", "t1", LONG);
    let mut end = node.accept();
    assert_eq!(end.frame().0, 'R');
    end.send(&frame(b'Y', "t1.0 OK 5 -\none"));
    assert_eq!(other.answer().0, "HTTP/1.1 200 OK");
    // The others were held as they came, to their end.
    for client in &mut clients {
        client.send(&"x".repeat(1_000));
        assert_eq!(client.answer().0, "HTTP/1.1 400 Bad Request");
    }
    assert_eq!(router.counter("requests_over_memory"), 1);
    drop((clients, refused, other));
    router.end();
}

#[test]
fn signals_that_come_while_the_configuration_is_read_are_heeded_and_end_nothing_untold() {
    let listener = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let (first, second) = (listener(), listener());
    let before =
        |discovery: &TcpListener| config(discovery.local_addr().expect("an address"), LONG).to_string();
    let slow = Slow::new("slow");
    let mut router = Router::spawn(slow.path());
    let mut to = slow.begun();
    router.signal(Signal::HUP);
    to.write_all(before(&first).as_bytes()).expect("the router reads");
    drop(to);
    router.listens();
    // It heeds the signal and reads anew.
    let mut to = slow.begun();
    router.signal(Signal::TERM);
    to.write_all(before(&second).as_bytes()).expect("the router reads");
    drop(to);
    let (request, watch) = call(&second);
    assert!(request.contains("watch=1&after=0"), "{request}");
    let log = router.ended();
    assert!(log.contains("discovery moves from") && log.contains("told to end"), "{log}");
    drop(watch);
}

#[test]
fn a_query_that_waits_for_a_connection_goes_out_on_one_that_rests_meanwhile() {
    let node = Shut::new();
    let (router, _discovery) = before("rests-meanwhile", node.at, LONG);
    let (mut client, mut other) = (router.connect(), router.connect());
    client.ask("pay", "t1", LONG);
    let (mut end, _filler) = node.open_one();
    assert!(end.frame().1.starts_with("t1.0 "));
    other.ask("pay", "t2", LONG);
    router.until("node_connections_opened", 2);
    end.send(&frame(b'Y', "t1.0 OK 5 -\none"));
    assert_eq!(client.answer().0, "HTTP/1.1 200 OK");
    assert!(end.frame().1.starts_with("t2.0 "));
    end.send(&frame(b'Y', "t2.0 OK 5 -\ntwo"));
    assert_eq!(other.answer().0, "HTTP/1.1 200 OK");
    drop((client, other));
    let log = router.end();
    assert!(log.contains("attempts_not_sent 0\n") && log.contains("batches_reassigned 1\n"), "{log}");
}

/// A router with room for discovery's watch and one client.
fn with_two_sockets(name: &str, node: &Node) -> (Router, Discovery) {
    let discovery = one(node.at);
    let mut config = config(discovery.at, LONG);
    config["limits"]["sockets"] = 18.into();
    // What is out can't be withdrawn, so it ends by its own time.
    config["settings"]["ceilings"]["cancelling"] = false.into();
    (Router::start(name, &config), discovery)
}

#[test]
fn a_query_that_waits_for_a_socket_until_its_time_is_over_ends_alone() {
    let node = Node::new();
    let (router, _discovery) = with_two_sockets("socket", &node);
    let mut client = router.connect();
    for id in ["t1", "t2"] {
        client.ask("look", id, Duration::from_millis(300));
        assert_eq!(client.answer().0, "HTTP/1.1 503 Service Unavailable");
    }
    drop(client);
    let log = router.end();
    assert!(node.is_untouched() && log.contains("attempts_not_sent 2\n"), "{log}");
}

#[test]
fn a_query_whose_client_left_while_it_waited_for_a_socket_ends_alone() {
    let node = Node::new();
    let (mut router, _discovery) = with_two_sockets("left-socket", &node);
    let mut client = router.connect();
    client.ask("look", "t1", LONG);
    router.until_reported("attempts_requested", 1);
    drop(client);
    let mut client = router.connect();
    client.ask("look", "t2", Duration::from_millis(300));
    assert_eq!(client.answer().0, "HTTP/1.1 503 Service Unavailable");
    drop(client);
    let log = router.end();
    assert!(node.is_untouched() && log.contains("queries_abandoned_by_client 1\n"), "{log}");
}
