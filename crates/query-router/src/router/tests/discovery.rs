//! Tests of watches and polls of the endpoint list: parsing, restarts, and responses that are invalid.

use super::stale_lists::{entry, list, response};
use super::*;
use balancer::Micros;

/// Returns the response to a watch: an update that drains node `b`, and a blank line, in two chunks.
fn watch_response() -> String {
    let line = r#"{"revision":43,"complete":false,"members":[{"id":"b","host_port":"127.0.0.1:72",
        "locality":"z","cell":0,"phase":"draining","size":1.0,"up_since_ms":0}]}"#;
    let line = line.replace('\n', "") + "\n\n";
    let (first_chunk, last_chunk) = line.split_at(30);
    format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{first_chunk}\r\n{:x}\r\n{last_chunk}\r\n",
        first_chunk.len(),
        last_chunk.len()
    )
}

/// Creates a router that has received [`watch_response`], split at byte `split`. Returns the router, the connection of
/// the watch, and the number of unconsumed bytes.
fn router_with_watch_response(split: usize) -> (Rig<RecordingPeers>, ConnectionId, usize) {
    let text = watch_response();
    let mut rig = Rig::new();
    let watch = rig.peers.outgoing[0].id;
    rig.step(Event::Established(watch));
    assert!(rig.written(watch).starts_with("GET /api/targets?watch=1&after=41 HTTP/1.1\r\n"));
    // Unconsumed bytes are reported again in front of new ones.
    let mut unconsumed_bytes = Vec::new();
    for piece in [&text.as_bytes()[..split], &text.as_bytes()[split..]] {
        unconsumed_bytes.extend_from_slice(piece);
        rig.router.step(START, Event::Received { connection: watch, bytes: &unconsumed_bytes });
        for effect in rig.router.take_effects() {
            if let Effect::Consume { count, .. } = effect {
                unconsumed_bytes.drain(..count);
            }
        }
    }
    (rig, watch, unconsumed_bytes.len())
}

#[test]
fn a_watch_response_is_parsed_at_any_split() {
    for split in 0..watch_response().len() {
        let (rig, _, unconsumed) = router_with_watch_response(split);
        let records = rig.router.state.context.endpoints.records();
        let ready: Vec<bool> = records.iter().map(|record| record.ready).collect();
        assert_eq!((ready, unconsumed), (vec![true, false], 0), "split at {split}");
    }
}

#[test]
fn a_silent_watch_is_restarted_and_only_one_watch_runs() {
    for split in 0..watch_response().len() {
        let (mut rig, watch, _) = router_with_watch_response(split);
        // A watch that has received a message is restarted as soon as it counts as silent, without a delay.
        rig.decide_and_advance(3_999_999);
        assert_eq!((rig.peers.outgoing[0].id, rig.router.counters().endpoint_watches_silent), (watch, 0));
        rig.decide_and_advance(1);
        assert_eq!((rig.peers.outgoing.len(), rig.router.counters().endpoint_watches_silent), (1, 1));
        assert_eq!(rig.router.counters().discovery_failures, 0);
        let watch_counts = (0..160).map(|_| {
            rig.decide_and_advance(100_000);
            rig.peers.outgoing.len()
        });
        assert_eq!(watch_counts.max(), Some(1), "one watch at a time");
        assert!(rig.router.counters().discovery_failures > 1);
    }
}

#[test]
fn bytes_without_a_complete_message_do_not_keep_a_watch_open() {
    let mut rig = Rig::new();
    let watch = rig.peers.outgoing[0].id;
    rig.step(Event::Established(watch));
    let mut head = b"HTTP/1.1 200 OK\r\nX-Slow: ".to_vec();
    for second in 0..4 {
        assert_eq!(rig.peers.outgoing[0].id, watch, "after {second} s");
        head.push(b'x');
        rig.receive(watch, &head);
        rig.decide_and_advance(1_000_000);
    }
    assert!(
        rig.peers.outgoing.iter().all(|outgoing| outgoing.id != watch) || rig.peers.closed.contains(&watch)
    );
    assert_eq!(rig.router.counters().discovery_failures, 1);
}

/// Creates a router whose endpoint lists are pushed.
fn rig_with_pushed_lists() -> Rig<RecordingPeers> {
    let config = CONFIG
        .replace("\"ask\"", "\"push\"")
        .replace("\"obligations\":{", "\"obligations\":{\"drainGraceNs\":500000000,");
    Rig::with_config(&config)
}

/// Returns a response to the first watch of a router: the full list. Anything else would lead to a poll.
fn first_list() -> String {
    response(&list(41, true, &[entry("a", "ready"), entry("b", "ready")]))
}

#[test]
fn a_retry_timer_of_an_earlier_watch_does_not_end_a_working_watch() {
    let mut rig = rig_with_pushed_lists();
    // A watch and a poll fail, and each failure sets a timer for the next watch.
    let first = rig.peers.outgoing[0].id;
    rig.poll_discovery();
    let poll = rig.peers.outgoing[1].id;
    rig.end_connection(first, 0);
    rig.decide_and_advance(50_000);
    rig.end_connection(poll, 0);
    rig.decide_and_advance(250_000);
    let second = rig.peers.outgoing[0].id;
    rig.step(Event::Established(second));
    rig.receive(second, first_list().as_bytes());
    let requests = rig.router.counters().discovery_requests;
    rig.decide_and_advance(3_000_000);
    assert_eq!(rig.router.counters().discovery_requests, requests);
    assert_eq!(rig.peers.outgoing.len(), 1);
}

#[test]
fn a_watch_is_retried_well_within_the_drain_grace_after_any_number_of_failures() {
    let mut rig = rig_with_pushed_lists();
    let mut delays = Vec::new();
    for _ in 0..8 {
        rig.end_connection(rig.peers.outgoing[0].id, 0);
        let failed_at = rig.now;
        while rig.peers.outgoing.is_empty() {
            rig.decide_and_advance(1_000);
        }
        delays.push(rig.now - failed_at);
    }
    for (delay, max_ms) in delays.into_iter().zip([125, 250, 250, 250, 250, 250, 250, 250]) {
        assert!((max_ms * 500..=max_ms * 1_000).contains(&(delay - delay % 1_000)), "{delay} of {max_ms} ms");
    }
    // A watch that receives a message resets the delay.
    let watch = rig.peers.outgoing[0].id;
    rig.step(Event::Established(watch));
    rig.receive(watch, first_list().as_bytes());
    rig.end_connection(watch, 0);
    rig.decide_and_advance(125_000);
    assert_eq!(rig.peers.outgoing.len(), 1);
}

#[test]
fn watches_that_end_together_are_retried_at_different_times() {
    let retry_at = |seed: &str| {
        let config = CONFIG.replace("\"ask\"", "\"push\"").replace("\"2a\"", seed);
        let mut rig = Rig::with_config(&config);
        rig.end_connection(rig.peers.outgoing[0].id, 0);
        rig.decide();
        rig.router.wake_at
    };
    let times: BTreeSet<_> = (0..50).map(|seed| retry_at(&format!("\"{seed:x}\""))).collect();
    assert!(times.len() > 45, "{} times", times.len());
}

#[test]
fn a_truncated_list_is_rejected_and_a_list_without_length_ends_with_an_orderly_close() {
    let list = r#"{"revision":50,"complete":true,"members":[]}"#;
    let chunked = format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\r\n", list.len());
    let until_close = format!("Connection: close\r\n\r\n{list}");
    for (rest, closed, accepted_lists) in
        [(&chunked, false, 0), (&chunked, true, 0), (&until_close, false, 0), (&until_close, true, 1)]
    {
        let mut rig = Rig::new();
        let request = rig.poll_discovery();
        rig.step(Event::Established(request));
        rig.receive(request, format!("HTTP/1.1 200 OK\r\n{rest}").as_bytes());
        if closed {
            rig.step(Event::PeerClosed(request));
        }
        rig.end_connection(request, 0);
        let counters = rig.router.counters();
        assert_eq!(
            (counters.endpoint_lists_full, counters.discovery_failures),
            (1 + accepted_lists, 1 - accepted_lists),
            "{rest}, orderly close: {closed}"
        );
    }
}

/// Returns a full endpoint list of `nodes` nodes as JSON, compact or indented.
fn endpoint_list(nodes: usize, indented: bool) -> String {
    let member = |index: usize| {
        serde_json::json!({"id": format!("s-{index:08x}"), "host_port": format!("127.0.0.1:{}", 2000 + index),
            "locality": "z", "flavor": "std", "cell": 0, "phase": "ready", "size": 1.0, "up_since_ms": 0})
    };
    let members: Vec<_> = (0..nodes).map(member).collect();
    let list = serde_json::json!({"revision": 60, "complete": true, "members": members});
    if indented { serde_json::to_string_pretty(&list).expect("valid JSON") } else { list.to_string() }
}

/// Reports `bytes` as received on the connection of a request, `piece_length` bytes at a time. Unconsumed bytes are
/// reported again in front of new ones.
fn receive_in_pieces(
    rig: &mut Rig<RecordingPeers>, request: ConnectionId, bytes: &[u8], piece_length: usize,
) {
    let mut unconsumed_bytes = Vec::new();
    for piece in bytes.chunks(piece_length) {
        unconsumed_bytes.extend_from_slice(piece);
        rig.router.step(START, Event::Received { connection: request, bytes: &unconsumed_bytes });
        for effect in rig.router.take_effects() {
            if let Effect::Consume { count, .. } = effect {
                unconsumed_bytes.drain(..count);
            }
        }
    }
}

/// Returns the number of ready endpoints after a response to a watch, or to a poll if `watch` is false.
fn ready_endpoints_after(watch: bool, bytes: &[u8], piece_length: usize) -> usize {
    let mut rig = Rig::new();
    let request = if watch { rig.peers.outgoing[0].id } else { rig.poll_discovery() };
    rig.step(Event::Established(request));
    receive_in_pieces(&mut rig, request, bytes, piece_length);
    rig.ready_endpoints()
}

#[test]
fn lists_of_any_size_are_read_in_any_layout_and_framing() {
    for indented in [false, true] {
        let list = endpoint_list(1_100, indented);
        assert!(list.len() > 2 * crate::protocol::http::MAX_BODY_BYTES);
        let by_length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let one_chunk = format!("{head}1\r\n\n\r\n{:x}\r\n{list}\r\n1\r\n\n\r\n0\r\n\r\n", list.len());
        let chunks: Vec<String> = list
            .as_bytes()
            .chunks(5_000)
            .map(|chunk| format!("{:x}\r\n{}\r\n", chunk.len(), std::str::from_utf8(chunk).expect("text")))
            .collect();
        let many_chunks = format!("{head}{}0\r\n\r\n", chunks.concat());
        for text in [by_length, one_chunk, many_chunks] {
            for (watch, piece) in [(false, text.len()), (true, text.len()), (false, 4_096), (true, 4_096)] {
                assert_eq!(
                    ready_endpoints_after(watch, text.as_bytes(), piece),
                    1_100,
                    "watch: {watch}, pieces of {piece}: {}",
                    &text[..60]
                );
            }
        }
    }
}

#[test]
fn a_large_cached_list_and_a_large_number_of_routers_are_accepted() {
    for indented in [false, true] {
        let mut config: serde_json::Value = serde_json::from_str(CONFIG).expect("valid JSON");
        config["known"] = serde_json::from_str(&endpoint_list(1_100, indented)).expect("valid JSON");
        config["settings"]["instances"] = 2_000.into();
        let text =
            if indented { serde_json::to_string_pretty(&config) } else { serde_json::to_string(&config) };
        let config = Config::parse(&text.expect("valid JSON")).expect("a valid configuration");
        let mut rig = Rig { router: Router::new(&config, START), ..Rig::new() };
        assert_eq!(rig.ready_endpoints(), 1_100);
        let client = rig.send_query("look", "t1");
        let connections = rig.peers.outgoing.iter().filter(|outgoing| outgoing.port >= 2_000).count();
        assert!(
            connections > 0 && rig.written(client).is_empty(),
            "shard requests are sent to the nodes of the cached list"
        );
    }
}

#[test]
fn an_indented_list_is_parsed_in_pieces_of_any_length() {
    let list = endpoint_list(3, true);
    let text =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n", list.len() + 1);
    for piece in 1..text.len() {
        assert_eq!(ready_endpoints_after(true, text.as_bytes(), piece), 3, "pieces of {piece}");
    }
}

#[test]
fn an_invalid_list_is_discarded_and_requested_again() {
    let member = r#"{"id":"c","host_port":"127.0.0.1:73","cell":0,"phase":"ready"}"#;
    for (watch, body) in [
        (true, r#"{"complete":true,"members":[]}"#.to_string()),
        (true, r#"{"revision":-4,"complete":true,"members":[]}"#.to_string()),
        (true, r#"{"revision":44,"members":[]}"#.to_string()),
        (true, r#"{"revision":44,"complete":true,"members":{}}"#.to_string()),
        (true, format!(r#"{{"revision":44,"complete":true,"members":[{member},{member}]}}"#)),
        (true, "[]".to_string()),
        (true, r#"{"revision":44,"complete":tr}"#.to_string()),
        (false, r#"{"revision":"x","complete":true,"members":[]}"#.to_string()),
        (false, r#"{"revision":44,"complete":true,"members":["#.to_string()),
        (false, format!(r#"{{"revision":44,"complete":true,"members":[{member},{member}]}}"#)),
        (false, "x".repeat(crate::protocol::json_stream::MAX_ENDPOINT_LIST_BYTES + 1)),
    ] {
        let mut rig = Rig::new();
        let request = if watch { rig.peers.outgoing[0].id } else { rig.poll_discovery() };
        rig.step(Event::Established(request));
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        rig.receive(request, text.as_bytes());
        let counters = rig.router.counters();
        assert_eq!(
            (counters.endpoint_lists_invalid, counters.discovery_failures),
            (1, 1),
            "{}",
            &body[..body.len().min(80)]
        );
        assert!(
            rig.router.state.context.endpoints.records().iter().all(|record| record.ready),
            "the current list stays in use"
        );
        let requests = rig.router.counters().discovery_requests;
        rig.decide();
        rig.decide_and_advance(20_000_000);
        assert!(rig.router.counters().discovery_requests > requests);
    }
}

#[test]
fn a_response_with_a_content_length_over_the_limit_is_rejected_at_once() {
    let mut rig = Rig::new();
    let request = rig.peers.outgoing[0].id;
    rig.step(Event::Established(request));
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{{", usize::MAX);
    rig.receive(request, text.as_bytes());
    assert_eq!(rig.router.counters().endpoint_lists_invalid, 1);
}

#[test]
fn an_invalid_entry_is_skipped_and_the_others_are_applied() {
    let body = r#"{"revision":44,"complete":true,"members":[{"id":"x"},7,{"id":"y","cell":0,"phase":"asleep"},
        {"id":"b","host_port":"127.0.0.1:72","locality":"z","cell":0,"phase":"ready"}]}"#;
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    assert_eq!(ready_endpoints_after(true, text.as_bytes(), text.len()), 1);
}

#[test]
fn a_watch_with_a_truncated_object_fails_although_blank_lines_follow() {
    let mut rig = Rig::new();
    let request = rig.peers.outgoing[0].id;
    rig.step(Event::Established(request));
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    rig.receive(request, format!("{head}e\r\n{{\"revision\":1,\r\n").as_bytes());
    for _ in 0..3 {
        rig.decide_and_advance(1_500_000);
        if rig.router.state.context.connections.kind(request).is_some() {
            rig.receive(request, b"1\r\n\n\r\n");
        }
    }
    assert_eq!(rig.router.counters().discovery_failures, 1);
}

#[test]
fn discovery_is_watched_only_at_its_new_address_after_a_move() {
    let mut rig = Rig::new();
    let client = rig.send_query("look", "t1");
    let (connection, _) = rig.establish_last();
    let old = rig.peers.outgoing[0].id;
    rig.poll_discovery();
    let poll = rig.peers.outgoing.last().expect("a connection for the poll").id;
    rig.step(Event::DiscoveryAddressReloaded("127.0.0.1:9".parse().expect("a valid address")));
    assert!(rig.peers.closed.is_empty(), "the connections stay open if the address is the same");
    for port in [10, 11] {
        rig.step(Event::DiscoveryAddressReloaded(SocketAddr::from(([127, 0, 0, 1], port))));
    }
    assert!(rig.peers.closed.contains(&old) && rig.peers.closed.contains(&poll));
    let requests: Vec<ConnectionId> = rig
        .peers
        .outgoing
        .iter()
        .filter(|outgoing| outgoing.port == 11)
        .map(|outgoing| outgoing.id)
        .collect();
    assert!(
        requests.len() == 2
            && !rig
                .peers
                .outgoing
                .iter()
                .any(|outgoing| outgoing.port == DISCOVERY_PORT || outgoing.port == 10)
    );
    requests.iter().for_each(|&request| rig.step(Event::Established(request)));
    // The revision received from the old address is not used for the new one.
    assert!(
        requests.iter().any(|&request| rig.written(request).starts_with("GET /api/targets?watch=1&after=0 "))
    );
    rig.respond(connection, "t1.0 OK 5 -", "alpha");
    rig.respond(connection, "t1.1 OK 5 -", "beta");
    rig.decide();
    assert!(rig.written(client).starts_with("HTTP/1.1 200"));
}

/// The maximum time until the next request to discovery: the time within which the router must receive a change once
/// discovery is reachable, less the time that the request may take.
const MAX_REQUEST_GAP: Micros = 5_000_000;

/// Returns routers with polled and with pushed lists, with different seeds, after 0 to 4 failed requests to discovery.
fn routers_after_failed_requests() -> impl Iterator<Item = Rig<RecordingPeers>> {
    let configs = ["ask", "push"].into_iter().flat_map(|mode| {
        let config = CONFIG.replace(r#""registryMode":"ask""#, &format!(r#""registryMode":"{mode}""#));
        (0..20).map(move |seed| config.replace(r#""seed":"2a""#, &format!(r#""seed":"{seed:x}""#)))
    });
    configs.flat_map(|config| {
        (0..5).map(move |failures| {
            let mut rig = Rig::with_config(&config);
            rig.decide();
            for _ in 0..failures {
                let request = rig.peers.outgoing.last().expect("an open request to discovery").id;
                rig.end_connection(request, 0);
                rig.time_to_next_discovery_request();
            }
            rig
        })
    })
}

#[test]
fn a_request_to_discovery_that_hangs_is_repeated_in_time_to_receive_a_drain() {
    for mut rig in routers_after_failed_requests() {
        let request = rig.peers.outgoing.last().expect("an open request to discovery").id;
        rig.step(Event::Established(request));
        // The request was accepted just before discovery recovered, and is never answered.
        let gap = rig.time_to_next_discovery_request();
        assert!(gap <= MAX_REQUEST_GAP, "requested again after {gap} us");
    }
}

#[test]
fn a_request_to_discovery_that_fails_is_repeated_in_time_to_receive_a_drain() {
    for mut rig in routers_after_failed_requests() {
        let request = rig.peers.outgoing.last().expect("an open request to discovery").id;
        rig.end_connection(request, 0);
        let gap = rig.time_to_next_discovery_request();
        assert!(gap <= MAX_REQUEST_GAP, "requested again after {gap} us");
    }
}
