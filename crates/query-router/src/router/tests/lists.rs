//! Watches and lists: how they are read, when they are begun anew, what can't be used of them.

use super::*;

#[test]
fn a_watch_is_read_however_its_bytes_are_split_and_a_silent_one_is_asked_anew() {
    let line = r#"{"revision":43,"complete":false,"members":[{"id":"b","host_port":"127.0.0.1:72",
        "locality":"z","cell":0,"phase":"draining","size":1.0,"up_since_ms":0}]}"#;
    let line = line.replace('\n', "") + "\n\n";
    let (begin, end) = line.split_at(30);
    let text = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{begin}\r\n{:x}\r\n{end}\r\n",
        begin.len(),
        end.len()
    );
    for at in 0..text.len() {
        let mut bench = Bench::new();
        let watch = bench.links[0].0;
        bench.tell(Event::Established(watch));
        assert!(bench.said(watch).starts_with("GET /api/targets?watch=1&after=41 HTTP/1.1\r\n"));
        // Bytes that were not taken are told again.
        let mut left = Vec::new();
        for piece in [&text.as_bytes()[..at], &text.as_bytes()[at..]] {
            left.extend_from_slice(piece);
            bench.router.step(START, Event::Received(watch, &left));
            for effect in bench.router.take_effects() {
                if let Effect::Consume(_, count) = effect {
                    left.drain(..count);
                }
            }
        }
        let ready: Vec<bool> =
            bench.router.state.context.endpoints.records().iter().map(|place| place.ready).collect();
        assert_eq!((ready, left.len()), (vec![true, false], 0), "split at {at}");
        // A watch that was well is begun anew in the moment in which it counts as silent.
        bench.pass(3_999_999);
        assert_eq!((bench.links[0].0, bench.router.counters().endpoint_watches_silent), (watch, 0));
        bench.pass(1);
        assert_eq!((bench.links.len(), bench.router.counters().endpoint_watches_silent), (1, 1));
        assert_eq!(bench.router.counters().discovery_failures, 0);
        let most = (0..160).map(|_| {
            bench.pass(100_000);
            bench.links.len()
        });
        assert_eq!(most.max(), Some(1), "one watch at a time");
        assert!(bench.router.counters().discovery_failures > 1);
    }
}

#[test]
fn bytes_that_make_no_line_and_no_object_do_not_keep_a_watch() {
    let mut bench = Bench::new();
    let watch = bench.links[0].0;
    bench.tell(Event::Established(watch));
    let mut head = b"HTTP/1.1 200 OK\r\nX-Slow: ".to_vec();
    for second in 0..4 {
        assert_eq!(bench.links[0].0, watch, "after {second} s");
        head.push(b'x');
        bench.tell(Event::Received(watch, &head));
        bench.pass(1_000_000);
    }
    assert!(bench.links.iter().all(|link| link.0 != watch) || bench.closed.contains(&watch));
    assert_eq!(bench.router.counters().discovery_failures, 1);
}

/// A router whose lists are pushed.
fn told() -> Bench {
    let config = CONFIG
        .replace("\"ask\"", "\"push\"")
        .replace("\"obligations\":{", "\"obligations\":{\"drainGraceNs\":500000000,");
    Bench::of(&config)
}

#[test]
fn a_time_set_for_a_watch_before_does_not_end_the_one_that_is_well() {
    let mut bench = told();
    // Two calls fail, one of them a list: each sets a time for the next watch.
    let first = bench.links[0].0;
    bench.poll();
    bench.effects();
    let list = bench.links[1].0;
    bench.tell(Event::Ended(first, 0));
    bench.pass(50_000);
    bench.tell(Event::Ended(list, 0));
    bench.pass(250_000);
    let again = bench.links[0].0;
    bench.tell(Event::Established(again));
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
    bench.tell(Event::Received(again, head.as_bytes()));
    let calls = bench.router.counters().discovery_requests;
    bench.pass(3_000_000);
    assert_eq!(bench.router.counters().discovery_requests, calls);
    assert_eq!(bench.links.len(), 1);
}

#[test]
fn pushed_lists_are_watched_again_well_within_what_a_drain_allows_however_often_that_fails() {
    let mut bench = told();
    let mut waits = Vec::new();
    for _ in 0..8 {
        bench.tell(Event::Ended(bench.links[0].0, 0));
        let since = bench.now;
        while bench.links.is_empty() {
            bench.pass(1_000);
        }
        waits.push(bench.now - since);
    }
    for (wait, most) in waits.into_iter().zip([125, 250, 250, 250, 250, 250, 250, 250]) {
        assert!((most * 500..=most * 1_000).contains(&(wait - wait % 1_000)), "{wait} of {most} ms");
    }
    // One that is well begins them anew.
    let watch = bench.links[0].0;
    bench.tell(Event::Established(watch));
    bench.tell(Event::Received(watch, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"));
    bench.tell(Event::Ended(watch, 0));
    bench.pass(125_000);
    assert_eq!(bench.links.len(), 1);
}

#[test]
fn routers_whose_watches_end_together_do_not_come_back_together() {
    let again = |seed: &str| {
        let config = CONFIG.replace("\"ask\"", "\"push\"").replace("\"2a\"", seed);
        let mut bench = Bench::of(&config);
        bench.tell(Event::Ended(bench.links[0].0, 0));
        bench.settle();
        bench.router.wake_at
    };
    let times: std::collections::BTreeSet<_> = (0..50).map(|seed| again(&format!("\"{seed:x}\""))).collect();
    assert!(times.len() > 45, "{} times", times.len());
}

#[test]
fn a_list_that_breaks_off_is_no_list_and_one_without_length_ends_with_an_orderly_close() {
    let list = r#"{"revision":50,"complete":true,"members":[]}"#;
    let chunked = format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\r\n", list.len());
    let open = format!("Connection: close\r\n\r\n{list}");
    for (rest, closed, listed) in
        [(&chunked, false, 0), (&chunked, true, 0), (&open, false, 0), (&open, true, 1)]
    {
        let mut bench = Bench::new();
        let call = bench.poll().expect("a socket");
        bench.tell(Event::Established(call));
        bench.tell(Event::Received(call, format!("HTTP/1.1 200 OK\r\n{rest}").as_bytes()));
        if closed {
            bench.tell(Event::PeerClosed(call));
        }
        bench.tell(Event::Ended(call, 0));
        let counters = bench.router.counters();
        assert_eq!(
            (counters.endpoint_lists_full, counters.discovery_failures),
            (1 + listed, 1 - listed),
            "{rest} {closed}"
        );
    }
}

/// A whole list of so many nodes, compact or indented.
fn list_of(nodes: usize, indented: bool) -> String {
    let member = |i: usize| {
        serde_json::json!({"id": format!("s-{i:08x}"), "host_port": format!("127.0.0.1:{}", 2000 + i),
            "locality": "z", "flavor": "std", "cell": 0, "phase": "ready", "size": 1.0, "up_since_ms": 0})
    };
    let members: Vec<_> = (0..nodes).map(member).collect();
    let list = serde_json::json!({"revision": 60, "complete": true, "members": members});
    if indented { serde_json::to_string_pretty(&list).expect("JSON") } else { list.to_string() }
}

/// Has a call answered with these bytes, so many at a time; what was not taken is told again.
fn tell_in_pieces(bench: &mut Bench, call: ConnectionId, bytes: &[u8], piece: usize) {
    let mut left = Vec::new();
    for piece in bytes.chunks(piece) {
        left.extend_from_slice(piece);
        bench.router.step(START, Event::Received(call, &left));
        for effect in bench.router.take_effects() {
            if let Effect::Consume(_, count) = effect {
                left.drain(..count);
            }
        }
    }
}

/// How many nodes of 0 to 2,000 are taken for ready after an answer.
fn ready_after(watch: bool, bytes: &[u8], piece: usize) -> usize {
    let mut bench = Bench::new();
    let call = if watch { bench.links[0].0 } else { bench.poll().expect("a socket") };
    bench.effects();
    bench.tell(Event::Established(call));
    tell_in_pieces(&mut bench, call, bytes, piece);
    bench.router.state.context.endpoints.records().iter().filter(|place| place.ready).count()
}

#[test]
fn lists_of_any_size_are_read_compact_and_indented_by_length_and_in_chunks() {
    for indented in [false, true] {
        let list = list_of(1_100, indented);
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
                    ready_after(watch, text.as_bytes(), piece),
                    1_100,
                    "{watch} {piece} {}",
                    &text[..60]
                );
            }
        }
    }
}

#[test]
fn the_list_of_the_start_may_have_any_size_and_so_may_the_fleet_of_routers() {
    for indented in [false, true] {
        let mut config: serde_json::Value = serde_json::from_str(CONFIG).expect("JSON");
        config["known"] = serde_json::from_str(&list_of(1_100, indented)).expect("JSON");
        config["settings"]["instances"] = 2_000.into();
        let text =
            if indented { serde_json::to_string_pretty(&config) } else { serde_json::to_string(&config) };
        let config = Config::parse(&text.expect("JSON")).expect("fit to serve");
        let mut bench = Bench { router: Router::new(&config, START), ..Bench::new() };
        assert_eq!(
            bench.router.state.context.endpoints.records().iter().filter(|place| place.ready).count(),
            1_100
        );
        let conn = bench.ask("look", "t1");
        let links = bench.links.iter().filter(|link| link.1 >= 2_000).count();
        assert!(links > 0 && bench.said(conn).is_empty(), "its parts are on their way");
    }
}

#[test]
fn an_indented_list_is_read_wherever_it_is_cut() {
    let list = list_of(3, true);
    let text =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n", list.len() + 1);
    for piece in 1..text.len() {
        assert_eq!(ready_after(true, text.as_bytes(), piece), 3, "pieces of {piece}");
    }
}

#[test]
fn a_list_that_cannot_be_used_leaves_the_one_in_hand_and_is_asked_for_again() {
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
        let mut bench = Bench::new();
        let call = if watch { bench.links[0].0 } else { bench.poll().expect("a socket") };
        bench.effects();
        bench.tell(Event::Established(call));
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        bench.tell(Event::Received(call, text.as_bytes()));
        let counters = bench.router.counters();
        assert_eq!(
            (counters.endpoint_lists_invalid, counters.discovery_failures),
            (1, 1),
            "{}",
            &body[..body.len().min(80)]
        );
        assert!(
            bench.router.state.context.endpoints.records().iter().all(|place| place.ready),
            "the list in hand stays"
        );
        let calls = bench.router.counters().discovery_requests;
        bench.settle();
        bench.pass(20_000_000);
        assert!(bench.router.counters().discovery_requests > calls);
    }
    // A length that no list has is not believed, however little comes.
    let mut bench = Bench::new();
    let call = bench.links[0].0;
    bench.tell(Event::Established(call));
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{{", usize::MAX);
    bench.tell(Event::Received(call, text.as_bytes()));
    assert_eq!(bench.router.counters().endpoint_lists_invalid, 1);
}

#[test]
fn an_entry_that_cannot_be_used_costs_no_other() {
    let body = r#"{"revision":44,"complete":true,"members":[{"id":"x"},7,{"id":"y","cell":0,"phase":"asleep"},
        {"id":"b","host_port":"127.0.0.1:72","locality":"z","cell":0,"phase":"ready"}]}"#;
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    assert_eq!(ready_after(true, text.as_bytes(), text.len()), 1);
}

#[test]
fn a_watch_whose_object_was_cut_off_is_broken_though_lines_go_on() {
    let mut bench = Bench::new();
    let call = bench.links[0].0;
    bench.tell(Event::Established(call));
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    bench.tell(Event::Received(call, format!("{head}e\r\n{{\"revision\":1,\r\n").as_bytes()));
    for _ in 0..3 {
        bench.pass(1_500_000);
        if bench.router.state.context.connections.kind(call).is_some() {
            bench.tell(Event::Received(call, b"1\r\n\n\r\n"));
        }
    }
    assert_eq!(bench.router.counters().discovery_failures, 1);
}

#[test]
fn discovery_that_moves_is_watched_anew_and_its_old_address_is_heard_no_more() {
    let mut bench = Bench::new();
    let client = bench.ask("look", "t1");
    let (link, _) = bench.up();
    let old = bench.links[0].0;
    bench.poll();
    bench.effects();
    let list = bench.links.last().expect("a call").0;
    bench.tell(Event::DiscoveryMoved("127.0.0.1:9".parse().expect("an address")));
    assert!(bench.closed.is_empty(), "the same address changes nothing");
    for port in [10, 11] {
        bench.tell(Event::DiscoveryMoved(SocketAddr::from(([127, 0, 0, 1], port))));
    }
    assert!(bench.closed.contains(&old) && bench.closed.contains(&list));
    let calls: Vec<ConnectionId> =
        bench.links.iter().filter(|link| link.1 == 11).map(|link| link.0).collect();
    assert!(calls.len() == 2 && !bench.links.iter().any(|link| link.1 == 9 || link.1 == 10));
    calls.iter().for_each(|&call| bench.tell(Event::Established(call)));
    // The new one's revisions are its own.
    assert!(calls.iter().any(|&call| bench.said(call).starts_with("GET /api/targets?watch=1&after=0 ")));
    bench.answer(link, "t1.0 OK 5 -", "alpha");
    bench.answer(link, "t1.1 OK 5 -", "beta");
    bench.settle();
    assert!(bench.said(client).starts_with("HTTP/1.1 200"));
}
