//! The reducer, told plain values.

mod disorder;
mod ends;
mod lists;

use super::*;
use crate::io::Bytes;
use crate::protocol::frames;
use balancer::{Actions, AttemptId, AttemptNumber, ShardRequestId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const START: Micros = 1_700_000_000_000_000;

const CONFIG: &str = r#"{"name":"r0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"2a",
    "limits":{"sockets":22},"new":true,
    "known":{"revision":41,"complete":true,"members":[
      {"id":"a","host_port":"127.0.0.1:71","locality":"z","cell":0,"phase":"ready","size":1.0,"up_since_ms":0},
      {"id":"b","host_port":"127.0.0.1:72","locality":"z","cell":0,"phase":"ready","size":1.0,"up_since_ms":0}]},
    "settings":{"tickNs":0,"registryMode":"ask","zones":["z"],"instances":1,
      "familyInfo":{"sets":1,"shards":4,"width":1,"bundleMax":4,"floorByClass":[1,1],"needByClass":[1,1]},
      "ceilings":{"maxAttempts":3,"maxStreams":4,"connectTimeoutNs":250000000,"idleCloseNs":3000000000,
        "cancelling":true,"openCap":6},
      "obligations":{"askWithinNs":10000000000},
      "services":[
        {"name":"look","idempotency":"read_like","targetNs":1000000000,"deadlineNs":2000000000},
        {"name":"pay","idempotency":"non_idempotent","targetNs":1000000000,"deadlineNs":2000000000}]}}"#;

/// A router and what it asked for: the far end of every connection stands still until a test moves it.
struct Bench {
    router: Router,
    now: Micros,
    /// What was written on each connection, and where each link leads.
    written: BTreeMap<ConnectionId, Vec<u8>>,
    links: Vec<(ConnectionId, u16)>,
    adopted: Vec<ConnectionId>,
    closed: Vec<ConnectionId>,
    finished: Vec<ConnectionId>,
    /// What is written stays half written.
    slow: bool,
    /// Connections with bytes that were not told yet.
    unread: Vec<ConnectionId>,
    exit: bool,
}

impl Bench {
    fn new() -> Bench {
        Bench::of(CONFIG)
    }

    fn of(config: &str) -> Bench {
        let config = Config::parse(config).expect("a configuration");
        let mut bench = Bench {
            router: Router::new(&config, START),
            now: START,
            written: BTreeMap::new(),
            links: Vec::new(),
            adopted: Vec::new(),
            closed: Vec::new(),
            finished: Vec::new(),
            slow: false,
            unread: Vec::new(),
            exit: false,
        };
        bench.settle();
        bench
    }

    /// Has an event told and the effects done; what is written is written at once.
    fn tell(&mut self, event: Event) {
        self.router.step(self.now, event);
        self.effects();
    }

    fn settle(&mut self) {
        self.router.decide(self.now);
        self.effects();
    }

    fn effects(&mut self) {
        while !self.router.state.context.effects.is_empty() {
            for effect in self.router.take_effects() {
                match effect {
                    Effect::Accept(conn) => self.adopted.push(conn),
                    Effect::Connect(conn, to) => self.links.push((conn, to.port())),
                    Effect::Write(conn, pieces) | Effect::WriteIfOpen(conn, pieces, _) => {
                        let bytes = pieces.iter().flat_map(|piece: &Bytes| piece.to_vec());
                        let left = if self.slow { 12 } else { usize::MAX };
                        self.written.entry(conn).or_default().extend(bytes.take(left));
                        if !self.slow {
                            self.router.step(self.now, Event::Flushed(conn));
                        }
                    }
                    Effect::Close(conn) => {
                        self.closed.push(conn);
                        self.links.retain(|link| link.0 != conn);
                    }
                    Effect::Abort(conn) => {
                        let written = self.written.get(&conn).map_or(0, Vec::len) as u64;
                        self.router.step(self.now, Event::Ended(conn, written));
                    }
                    Effect::CloseIfIdle(conn) if self.unread.contains(&conn) => {}
                    Effect::CloseIfIdle(conn) => self.router.step(self.now, Event::Ended(conn, 0)),
                    Effect::CloseWrite(conn) => self.finished.push(conn),
                    Effect::Exit => self.exit = true,
                    Effect::Consume(..)
                    | Effect::Redeliver(_)
                    | Effect::WakeAt(_)
                    | Effect::PrintCounters(_) => {}
                }
            }
        }
    }

    fn send_batches(&mut self) {
        let State { context, queries, dispatcher, .. } = &mut self.router.state;
        dispatcher.send_batches(context, queries);
    }

    fn connection_for(&mut self, node: usize, ids: &[std::rc::Rc<str>]) -> Option<ConnectionId> {
        let State { context, queries, .. } = &mut self.router.state;
        node_connections::connection_for(context, queries, NodeId(node), ids)
    }

    fn poll(&mut self) -> Option<ConnectionId> {
        self.router.state.discovery.poll(&mut self.router.state.context)
    }

    fn update(&mut self, list: &serde_json::Value, update: EndpointUpdate) {
        self.router.apply_endpoint_list(&EndpointList { update, json: list.clone() });
    }

    /// Lets time pass, waking the router whenever it asked to be.
    fn pass(&mut self, span: Micros) {
        self.settle();
        let end = self.now + span;
        while let Some(at) = self.router.wake_at.filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.tell(Event::TimerExpired);
            self.settle();
        }
        self.now = end;
    }

    fn client(&mut self) -> ConnectionId {
        self.tell(Event::ClientConnected);
        *self.adopted.last().expect("a client")
    }

    /// A client's request for two shards, decided on.
    fn ask(&mut self, class: &str, id: &str) -> ConnectionId {
        let conn = self.client();
        let request = post(
            class,
            id,
            r#"{"segments":[{"segment":0,"boost":0.5},{"segment":1,"boost":0.5}],"text":"q"}"#,
        );
        self.tell(Event::Received(conn, request.as_bytes()));
        self.settle();
        conn
    }

    /// The last link to a data node, come up.
    fn up(&mut self) -> (ConnectionId, u16) {
        let link = *self.links.iter().rfind(|link| link.1 != 9).expect("a link");
        self.tell(Event::Established(link.0));
        link
    }

    fn said(&self, conn: ConnectionId) -> String {
        String::from_utf8_lossy(self.written.get(&conn).map_or(&[], Vec::as_slice)).into_owned()
    }

    fn answer(&mut self, link: ConnectionId, line: &str, value: &str) {
        let rest = format!("{line}\n{value}");
        let frame = [&frames::head(b'Y', rest.len())[..], rest.as_bytes()].concat();
        self.tell(Event::Received(link, &frame));
    }
}

fn post(class: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /api HTTP/1.1\r\nX-Qos: {class}\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 1500\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

#[test]
fn the_parts_of_one_settle_share_a_call_and_make_one_whole_answer() {
    let mut bench = Bench::new();
    let client = bench.ask("look", "t1");
    let (link, _) = bench.up();
    let rest = "t1.0 0 d=1500 1\nqt1.1 1 d=1500 1\nq";
    assert_eq!(bench.said(link).as_bytes(), [&frames::head(b'R', rest.len())[..], rest.as_bytes()].concat());
    bench.answer(link, "t1.1 OK 5 -", "beta\"");
    bench.settle();
    assert_eq!(bench.said(client), "");
    bench.answer(link, "t1.0 OK 5 inflight=1", "alpha");
    bench.settle();
    let body =
        r#"{"all_in":true,"matches":[{"payload":"alpha","segment":0},{"payload":"beta\"","segment":1}]}"#;
    assert!(bench.said(client).starts_with("HTTP/1.1 200 OK") && bench.said(client).ends_with(body));
    assert_eq!(
        (bench.router.state.queries.open_count(), bench.router.state.queries.shard_requests.len()),
        (0, 0)
    );
}

#[test]
fn what_comes_within_a_tick_is_decided_together() {
    let mut bench = Bench::new();
    bench.router.state.context.limits.decision_interval = 5_000;
    bench.now += 5_000;
    bench.ask("look", "t1");
    bench.now += 1_000;
    bench.ask("look", "t2");
    assert_eq!(bench.router.counters().attempts_requested, 2);
    bench.pass(3_000);
    assert_eq!(bench.router.counters().attempts_requested, 2);
    bench.pass(1_000);
    assert_eq!(bench.router.counters().attempts_requested, 4);
}

#[test]
fn a_request_that_lay_behind_another_wakes_the_router() {
    let mut bench = Bench::new();
    bench.router.state.context.limits.decision_interval = 5_000;
    let client = bench.client();
    bench.settle();
    let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"q"}"#;
    bench.tell(Event::Received(client, post("look", "t1", body).as_bytes()));
    assert_eq!(bench.router.wake_at, Some(START + 5_000));
}

#[test]
fn what_was_not_written_whole_never_ran_and_the_rest_may_have() {
    // An unsafe part goes out again only on proof that it never ran.
    for (class, unwritten, status) in [("pay", 1, None), ("pay", 0, Some("502")), ("look", 0, Some("503"))] {
        let mut bench = Bench::new();
        let client = bench.ask(class, "t1");
        let (link, port) = bench.up();
        let written = bench.said(link).len() as u64;
        bench.tell(Event::Ended(link, written - unwritten));
        bench.settle();
        let (_, other) = *bench.links.last().expect("a link");
        assert_eq!(other != port && other != 9, class == "look" || unwritten > 0, "{class} {unwritten}");
        bench.pass(2_000_000);
        assert!(status.is_none_or(|status| bench.said(client).contains(status)), "{}", bench.said(client));
    }
}

#[test]
fn nothing_is_sent_once_a_retrieval_has_ended() {
    let mut bench = Bench::new();
    let client = bench.ask("pay", "t1");
    bench.pass(1_600_000);
    assert!(bench.said(client).starts_with("HTTP/1.1 503"), "{}", bench.said(client));
    for (link, _) in bench.links.clone().into_iter().filter(|link| link.1 != 9) {
        bench.tell(Event::Established(link));
        bench.settle();
        assert_eq!(bench.said(link), "");
    }
    assert_eq!(bench.router.counters().attempts_sent, 0);
}

#[test]
fn a_connection_that_comes_up_before_the_alarm_of_a_time_that_is_over_carries_nothing() {
    let mut bench = Bench::new();
    bench.ask("pay", "t1");
    let link = bench.links.last().expect("a link").0;
    // Sockets are heard before alarms: the alarm is due in this turn too.
    bench.now += 1_500_000;
    bench.tell(Event::Established(link));
    assert_eq!((bench.said(link), bench.router.counters().attempts_not_sent), (String::new(), 2));
}

#[test]
fn what_waits_of_a_query_that_has_ended_is_taken_back_where_nothing_may_be_withdrawn() {
    let config = CONFIG.replace("\"cancelling\":true", "\"cancelling\":false");
    let mut bench = Bench::of(&config.replace("\"connectTimeoutNs\":250", "\"connectTimeoutNs\":9000"));
    let client = bench.ask("look", "t1");
    let link = bench.links.last().expect("a link").0;
    bench.pass(1_600_000);
    assert!(bench.said(client).starts_with("HTTP/1.1 503"), "{}", bench.said(client));
    bench.tell(Event::Established(link));
    assert_eq!(bench.said(link), "");
}

#[test]
fn a_query_whose_client_left_is_not_sent_once_a_socket_is_free() {
    let mut bench = Bench::new();
    let _clients: Vec<ConnectionId> = (0..4).map(|_| bench.client()).collect();
    let client = bench.ask("pay", "t1");
    assert_eq!((bench.links.len(), bench.router.counters().attempts_requested), (1, 2), "discovery's alone");
    bench.tell(Event::Ended(client, 0));
    bench.pass(500_000);
    assert_eq!((bench.links.len(), bench.router.counters().attempts_not_sent), (1, 2));
    assert_eq!(bench.router.state.queries.shard_requests.len(), 0);
}

#[test]
fn a_query_that_waits_for_a_socket_until_its_time_is_over_ends_alone() {
    // Nothing is withdrawn here, so what waits ends by its own time, in the turn in which its query is forgotten.
    let mut bench = Bench::of(&CONFIG.replace("\"cancelling\":true", "\"cancelling\":false"));
    let clients: Vec<ConnectionId> = (0..4).map(|_| bench.client()).collect();
    let client = bench.ask("look", "t1");
    bench.pass(1_600_000);
    assert!(bench.said(client).starts_with("HTTP/1.1 503"), "{}", bench.said(client));
    // What is asked next gets the indices of the one before, and nothing of it.
    bench.ask("pay", "t2");
    bench.tell(Event::Ended(clients[0], 0));
    bench.settle();
    let (link, _) = bench.up();
    assert!(bench.said(link).contains("t2.0") && !bench.said(link).contains("t1"), "{}", bench.said(link));
    assert_eq!(bench.router.counters().attempts_sent, 2);
}

#[test]
fn what_is_half_written_as_its_client_leaves_ends_with_its_connection() {
    let mut bench = Bench::new();
    let client = bench.ask("look", "t1");
    bench.slow = true;
    let (link, _) = bench.up();
    assert_eq!(bench.said(link).len(), 12);
    bench.tell(Event::Ended(client, 0));
    assert!(bench.closed.contains(&link));
    assert_eq!(bench.router.counters().attempts_not_sent, 2);
}

#[test]
fn a_frame_half_written_ends_with_its_connection_when_a_part_is_given_up() {
    let mut bench = Bench::new();
    bench.slow = true;
    let client = bench.ask("pay", "t1");
    let (link, _) = bench.up();
    let parts = bench.router.state.queries.shard_requests.len();
    bench.pass(1_600_000);
    assert!(bench.closed.contains(&link) && bench.said(client).starts_with("HTTP/1.1 50"));
    let counters = bench.router.counters();
    assert_eq!((parts, counters.attempts_connect_failed, counters.attempts_cancelled), (2, 0, 0));
    assert_eq!(counters.attempts_not_sent, 2);
}

#[test]
fn a_client_that_left_gets_nothing_and_answers_for_it_are_passed_over() {
    let mut bench = Bench::new();
    let client = bench.ask("look", "t1");
    let (link, _) = bench.up();
    bench.tell(Event::Ended(client, 0));
    bench.settle();
    assert_eq!(bench.closed, [client]);
    bench.answer(link, "t1.0 OK 5 -", "alpha");
    bench.answer(link, "t1.0 OK 5 -", "alpha");
    bench.pass(2_000_000);
    assert_eq!((bench.said(client), bench.router.counters().responses_late), (String::new(), 1));
    assert_eq!(
        (bench.router.counters().attempts_timed_out, bench.router.state.queries.shard_requests.len()),
        (1, 0)
    );
}

#[test]
fn a_part_that_is_out_twice_on_a_node_goes_on_two_connections() {
    let mut bench = Bench::new();
    bench.ask("look", "t1");
    let (first, port) = bench.up();
    let node = if port == 71 { 0 } else { 1 };
    bench.router.state.send_attempt(ShardRequestId(0), NodeId(node), None);
    bench.send_batches();
    bench.effects();
    let (second, _) = bench.up();
    assert!(second != first && bench.said(second).contains("t1.0"));
    assert_eq!(bench.router.state.queries.shard_requests[0].attempts[1].connection, Some(second));
}

#[test]
fn a_spoilt_answer_ends_its_connection_and_counts_for_its_own_part() {
    let named = |line: &str| {
        let rest = format!("{line}\nalpha");
        [&frames::head(b'Y', rest.len())[..], rest.as_bytes()].concat()
    };
    let mut huge = named("t1.1 OK 5 -");
    huge[..4].copy_from_slice(&[0xb2, 0xd0, 0x5e, 0]);
    let mut letter = named("t1.1 OK 5 -");
    letter[4] = 1;
    let named = [huge, letter, named("t1.1 ? 5 -"), named("t1.1  5 -"), named("t1.1 OK 5 -\n\0")];
    let others = [vec![0, 0, 0, 0, 1], b"xxxxxxxx".to_vec(), vec![0, 0, 0, 4, b'Y', b't', b'.', b'1']];
    for (bytes, at) in named.into_iter().map(|b| (b, 1)).chain(others.into_iter().map(|b| (b, 0))) {
        for split in 1..bytes.len() {
            let mut bench = Bench::new();
            let client = bench.ask("pay", "t1");
            let (link, _) = bench.up();
            bench.tell(Event::Received(link, &bytes[..split]));
            if !bench.closed.contains(&link) {
                bench.tell(Event::Received(link, &bytes));
            }
            let counters = bench.router.counters();
            let ends = (
                counters.attempts_malformed_response,
                counters.attempts_cancelled,
                counters.attempts_connection_lost,
            );
            assert_eq!((&bench.closed[..], ends), (&[link][..], (1, 1, 0)), "{bytes:?}");
            assert!(
                split < bytes.len() - 1 || bench.router.state.queries.shard_requests[at].attempts[0].finished
            );
            bench.settle();
            assert!(bench.said(client).starts_with("HTTP/1.1 502"), "it may have run");
        }
    }
}

#[test]
fn a_connection_that_fell_silent_is_not_used_again() {
    let mut bench = Bench::new();
    bench.ask("look", "t1");
    let (link, port) = bench.up();
    bench.answer(link, "t1.0 OK 5 -", "alpha");
    // Its node's other answer is only half there; nothing more comes.
    bench.tell(Event::Received(link, b"\0\0\0\x20Yt1.1 OK 5"));
    bench.pass(249_000);
    assert!(!bench.closed.contains(&link));
    bench.pass(2_000);
    assert!(bench.closed.contains(&link) && bench.router.counters().attempts_malformed_response == 1);
    // One that has said nothing since a shot that another overtook is worn.
    let node = if port == 71 { 0 } else { 1 };
    bench.ask("look", "t2");
    let part =
        bench.router.state.queries.shard_requests.iter().find(|p| &*p.1.id == "t2.0").expect("a part").0;
    let (silent, _) = bench.up();
    bench.router.state.queries.shard_requests[part].value = Some("alpha".into());
    bench.router.state.cancel_attempt(AttemptId::new(ShardRequestId(part), AttemptNumber(0)));
    bench.effects();
    let ids = ["t3.0".into()];
    let other = bench.connection_for(node, &ids);
    assert!(other.is_some_and(|conn| conn != silent));
}

#[test]
fn calls_share_a_connection_only_where_a_nodes_share_of_the_sockets_is_used_up() {
    let mut bench = Bench::new();
    bench.router.state.context.limits.max_connections = 9;
    let ids: Vec<std::rc::Rc<str>> = vec!["t1.0".into()];
    let links: Vec<ConnectionId> = (0..4)
        .map(|_| {
            let conn = bench.connection_for(0, &ids).expect("a socket");
            bench.effects();
            bench.tell(Event::Established(conn));
            bench.router.state.context.connections.node(conn).queue_batch(Vec::new());
            conn
        })
        .collect();
    // Nine sockets, of which nodes may have six, are three for each of two.
    assert!(links[0] != links[1] && links[1] != links[2] && links[..3].contains(&links[3]));
}

#[test]
fn what_comes_behind_a_good_answer_harms_no_one() {
    for behind in ["noise\r\n", "again", "other"] {
        let mut bench = Bench::new();
        let client = bench.ask("pay", "t1");
        let (link, _) = bench.up();
        bench.answer(link, "t1.0 OK 5 %%%", "alpha");
        let frame = |line: &str| [&frames::head(b'Y', line.len())[..], line.as_bytes()].concat();
        let good = frame("t1.1 OK 5 =,=\nbeta");
        let more = match behind {
            "again" => good.clone(),
            "other" => frame("t8.1 OK 5 -\nbeta"),
            noise => noise.as_bytes().to_vec(),
        };
        bench.tell(Event::Received(link, &[good, more].concat()));
        bench.settle();
        assert!(bench.said(client).starts_with("HTTP/1.1 200"), "{behind}");
        assert!(bench.closed.contains(&link) && bench.router.counters().frames_malformed == 0);
    }
}

#[test]
fn bad_requests_are_told_off_and_the_module_is_not_troubled() {
    let mut bench = Bench::new();
    let turns = bench.router.counters().decisions;
    for (request, status) in [
        ("GET /api HTTP/1.1\r\n\r\n".to_string(), "405"),
        ("GET /else HTTP/1.1\r\n\r\n".to_string(), "404"),
        ("NONSENSE\r\n\r\n".to_string(), "400"),
        (post("unheard-of", "t1", "{}"), "400"),
        (post("look", "t1", "{"), "400"),
        ("GET /-/ready HTTP/1.1\r\n\r\n".to_string(), "200"),
        ("GET /-/counters?all HTTP/1.1\r\n\r\n".to_string(), "200"),
    ] {
        let client = bench.client();
        bench.tell(Event::Received(client, request.as_bytes()));
        bench.settle();
        assert!(bench.said(client).starts_with(&format!("HTTP/1.1 {status}")), "{request}");
        bench.tell(Event::Ended(client, 0));
        bench.written.clear();
    }
    assert_eq!(bench.router.counters().decisions, turns);
}

#[test]
fn a_client_that_waits_for_a_word_before_its_body_gets_one() {
    let mut bench = Bench::new();
    let client = bench.client();
    let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"q"}"#;
    let request = post("look", "t1", body).replacen("X-Qos", "Expect: 100-continue\r\nX-Qos", 1);
    let head = request.len() - body.len();
    for end in [head - 1, head, head + 1, request.len()] {
        bench.tell(Event::Received(client, &request.as_bytes()[..end]));
    }
    assert_eq!(bench.said(client), "HTTP/1.1 100 Continue\r\n\r\n");
    assert_eq!(bench.router.counters().queries_accepted, 1);
}

#[test]
fn a_request_that_never_ends_and_an_answer_never_read_do_not_last() {
    let mut bench = Bench::new();
    let client = bench.client();
    bench.tell(Event::Received(client, b"POST /api HT"));
    bench.pass(4_000_000);
    assert!(bench.said(client).starts_with("HTTP/1.1 408") && bench.closed.contains(&client));
    bench.slow = true;
    let client = bench.client();
    bench.tell(Event::Received(client, b"GET /-/ready HTTP/1.1\r\n\r\n"));
    bench.pass(1_900_000);
    assert_eq!(
        (bench.said(client).as_str(), bench.router.state.context.connections.clients().count()),
        ("HTTP/1.1 200", 1)
    );
    bench.pass(200_000);
    assert_eq!(bench.router.state.context.connections.clients().count(), 0);
}

#[test]
fn more_than_the_limit_is_deferred_before_the_module_hears_of_it() {
    let mut bench = Bench::new();
    let clients: Vec<ConnectionId> = (0..3).map(|i| bench.ask("look", &format!("t{i}"))).collect();
    assert!(bench.said(clients[2]).starts_with("HTTP/1.1 503"));
    assert_eq!((bench.said(clients[1]), bench.router.counters().queries_over_limit), (String::new(), 1));
}

#[test]
fn an_id_in_hand_is_not_taken_again() {
    let mut bench = Bench::new();
    bench.ask("look", "t1");
    let client = bench.ask("look", "t1");
    assert!(bench.said(client).starts_with("HTTP/1.1 400"));
}

#[test]
fn idle_connections_make_room_before_a_client_waits() {
    let mut bench = Bench::new();
    // Six connections are allowed; one is discovery's. A new one is about to have its request: it stays.
    let clients: Vec<ConnectionId> = (0..5).map(|_| bench.client()).collect();
    bench.tell(Event::ClientConnected);
    assert_eq!((bench.adopted.len(), bench.router.counters().client_connections_delayed), (5, 1));
    // One that has been answered and has nothing unread is parted with.
    bench.tell(Event::Received(clients[3], b"GET /-/ready HTTP/1.1\r\n\r\n"));
    bench.settle();
    assert_eq!((&bench.closed[..], bench.adopted.len()), (&[clients[3]][..], 6));
    // Nor does one stay for ever that never asks.
    bench.tell(Event::ClientConnected);
    bench.pass(2_100_000);
    assert_eq!(bench.adopted.len(), 7);
}

#[test]
fn a_request_that_was_not_read_yet_keeps_its_connection() {
    let mut bench = Bench::new();
    let clients: Vec<ConnectionId> = (0..5).map(|_| bench.client()).collect();
    bench.unread = vec![clients[1]];
    bench.tell(Event::Received(clients[1], b"GET /-/ready HTTP/1.1\r\n\r\n"));
    bench.tell(Event::ClientConnected);
    bench.tell(Event::Received(clients[1], b"GET /-/ready HTTP/1.1\r\n\r\n"));
    assert!(bench.closed.is_empty() && bench.said(clients[1]).matches("200 OK").count() == 2);
}

#[test]
fn clients_that_ask_once_and_stay_or_never_ask_leave_room_for_others() {
    let mut bench = Bench::new();
    bench.router.state.context.limits.max_connections = 24;
    // A sixth of the sockets may rest with clients that ask nothing.
    let asked: Vec<ConnectionId> = (0..6)
        .map(|_| {
            let conn = bench.client();
            bench.tell(Event::Received(conn, b"GET /-/ready HTTP/1.1\r\n\r\n"));
            bench.now += 1;
            conn
        })
        .collect();
    assert_eq!(bench.closed, asked[..2]);
    // New ones are about to ask; those that have asked before make room for them.
    let silent: Vec<ConnectionId> = (0..6).map(|_| bench.client()).collect();
    assert_eq!(bench.closed.len(), 6);
    assert!(!silent.iter().any(|conn| bench.closed[6..].contains(conn)));
    bench.pass(2_100_000);
    assert_eq!((bench.closed.len(), bench.router.state.context.connections.clients().count()), (8, 4));
}

#[test]
fn a_call_without_a_socket_waits_and_says_nothing_of_its_node() {
    let mut bench = Bench::new();
    let clients: Vec<ConnectionId> = (0..4).map(|_| bench.client()).collect();
    let busy = bench.ask("pay", "t1");
    assert_eq!(bench.links.len(), 1, "discovery's alone");
    bench.tell(Event::Ended(clients[0], 0));
    bench.settle();
    let (link, _) = bench.up();
    assert!(bench.said(link).contains("t1.0") && bench.said(busy).is_empty());
    assert_eq!(bench.router.counters().attempts_connect_failed, 0);
}

#[test]
fn a_call_that_waits_for_a_socket_is_taken_back_from_a_drained_node() {
    let mut bench = Bench::new();
    let clients: Vec<ConnectionId> = (0..4).map(|_| bench.client()).collect();
    bench.ask("pay", "t1");
    let node = bench.router.state.queries.shard_requests[0].attempts[0].node.0;
    let members = [("a", 71), ("b", 72)].into_iter().enumerate().map(|(i, (id, port))| {
        let phase = if i == node { "draining" } else { "ready" };
        serde_json::json!({"id": id, "host_port": format!("127.0.0.1:{port}"), "cell": 0, "phase": phase})
    });
    let list = serde_json::json!({"revision": 42, "members": members.collect::<Vec<_>>()});
    bench.update(&list, EndpointUpdate::Incremental);
    bench.tell(Event::Ended(clients[0], 0));
    bench.settle();
    let (_, port) = bench.up();
    assert_eq!((port, bench.router.counters().attempts_not_sent), ([72, 71][node], 2));
}

#[test]
fn a_drained_node_and_a_new_process_take_back_what_was_meant_for_the_old() {
    let mut bench = Bench::new();
    bench.ask("pay", "t1");
    let (link, port) = *bench.links.last().expect("a link");
    let list = |phase: &str, up: i64| {
        let id = if port == 71 { "a" } else { "b" };
        serde_json::json!({"revision": 50, "members": [{"id": id, "host_port": format!("127.0.0.1:{port}"),
            "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": up}]})
    };
    // Not up yet: taken back unsent and sent elsewhere.
    bench.update(&list("draining", 0), EndpointUpdate::Incremental);
    bench.settle();
    bench.settle();
    assert_eq!(bench.router.counters().attempts_not_sent, 2);
    bench.tell(Event::Established(link));
    let (other, other_port) = bench.up();
    assert!(other_port != port && bench.said(link).is_empty() && bench.said(other).contains("t1.0"));
    // Up before the process started: it is gone, and what was out on it may have run.
    bench.update(&list("ready", 0), EndpointUpdate::Incremental);
    bench.now += 100_000;
    let up = (bench.now - 50_000) / 1000;
    let id = if other_port == 71 { "a" } else { "b" };
    let fresh = serde_json::json!({"revision": 51, "members": [{"id": id, "cell": 0, "phase": "ready",
        "host_port": format!("127.0.0.1:{other_port}"), "size": 1.0, "up_since_ms": up}]});
    bench.update(&fresh, EndpointUpdate::Incremental);
    bench.effects();
    assert_eq!((bench.router.counters().attempts_connection_lost, bench.closed.contains(&other)), (2, true));
}

#[test]
fn nodes_that_come_and_go_leave_nothing_behind() {
    let mut bench = Bench::new();
    let member = |i: usize, phase: &str| serde_json::json!({"id": format!("n{i}"), "host_port": "127.0.0.1:73", "cell": 0, "phase": phase});
    for i in 0..2_000 {
        // It goes while its parts are out, and they are answered afterwards.
        let ids = ["a", "b"].map(|id| serde_json::json!({"id": id, "cell": 0, "phase": "gone"}));
        let members = [vec![member(i, "ready")], ids.to_vec()].concat();
        bench.update(
            &serde_json::json!({"revision": 42 + i, "members": members}),
            EndpointUpdate::Incremental,
        );
        bench.settle();
        let client = bench.ask("look", &format!("t{i}"));
        let (link, _) = bench.up();
        let gone = serde_json::json!({"revision": 42 + i, "members": [member(i, "gone")]});
        bench.update(&gone, EndpointUpdate::Incremental);
        bench.settle();
        bench.answer(link, &format!("t{i}.0 OK 5 -"), "alpha");
        bench.answer(link, &format!("t{i}.1 OK 5 -"), "beta");
        bench.settle();
        assert!(bench.said(client).starts_with("HTTP/1.1 200"), "{i}: {}", bench.said(client));
        bench.tell(Event::Ended(client, 0));
        bench.written.clear();
    }
    let state = &bench.router.state;
    assert!(
        state.context.endpoints.len() <= 4 && state.context.endpoints.id_count() <= 1,
        "{}",
        state.context.endpoints.len()
    );
    assert_eq!(
        (state.queries.shard_requests.len(), state.queries.queries.len(), state.context.connections.len()),
        (0, 0, 1)
    );
}

#[test]
fn a_node_that_moves_gets_new_connections_at_its_new_address() {
    let mut bench = Bench::new();
    let client = bench.ask("look", "t1");
    let (link, port) = bench.up();
    let id = if port == 71 { "a" } else { "b" };
    let list = serde_json::json!({"revision": 42, "complete": true, "members": [
        {"id": id, "host_port": "127.0.0.1:73", "cell": 0, "phase": "ready"}]});
    bench.update(&list, EndpointUpdate::Full);
    bench.effects();
    // What is out may still be answered; what is new goes to the new address.
    bench.answer(link, "t1.0 OK 5 -", "alpha");
    bench.answer(link, "t1.1 OK 5 -", "beta");
    bench.ask("look", "t2");
    assert!(bench.said(client).starts_with("HTTP/1.1 200"));
    assert_eq!(bench.links.last().map(|link| link.1), Some(73));
}

#[test]
fn idle_links_are_closed_before_the_node_does_it() {
    let mut bench = Bench::new();
    let client = bench.ask("look", "t1");
    let (link, _) = bench.up();
    bench.answer(link, "t1.0 OK 5 -", "alpha");
    bench.answer(link, "t1.1 OK 5 -", "beta");
    bench.settle();
    bench.tell(Event::Ended(client, 0));
    bench.pass(2_700_000);
    assert!(!bench.closed.contains(&link));
    bench.pass(100_000);
    assert!(bench.closed.contains(&link));
}

#[test]
fn probes_are_told_back_with_their_load_and_time_out() {
    let mut bench = Bench::new();
    bench.router.state.check_health(NodeId(0));
    bench.effects();
    let (link, _) = bench.up();
    assert_eq!(bench.written[&link], frames::head(b'G', 0));
    bench.tell(Event::Received(link, &[0, 0, 0, 3, b'G', b'O', b'K']));
    bench.router.state.check_health(NodeId(0));
    bench.effects();
    assert!(bench.router.counters().health_checks_sent == 2 && !bench.closed.contains(&link));
    bench.pass(300_000);
    assert!(bench.closed.contains(&link));
}

#[test]
fn a_call_that_waits_for_a_connection_goes_out_on_one_that_rests_meanwhile() {
    // One node alone, so both queries go there.
    let config =
        CONFIG.replace("\"tickNs\":0", "\"tickNs\":5000000").replacen("\"ready\"", "\"draining\"", 1);
    let mut bench = Bench::of(&config);
    bench.pass(5_000);
    let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"q"}"#;
    let mut ask = |id: &str| {
        let client = bench.client();
        bench.tell(Event::Received(client, post("pay", id, body).as_bytes()));
        bench.pass(5_000);
        (client, bench.links.last().expect("a link").0)
    };
    let ((client, first), (other, second)) = (ask("t1"), ask("t2"));
    assert_ne!(first, second);
    bench.tell(Event::Established(first));
    bench.answer(first, "t1.0 OK 5 -", "one");
    bench.settle();
    // Its node may close right behind an answer: it rests for a tick first.
    assert!(!bench.said(first).contains("t2.0"));
    bench.pass(10_000);
    assert!(bench.said(first).contains("t2.0"), "{}", bench.said(first));
    assert_eq!(bench.router.counters().batches_reassigned, 1);
    // The one that comes up late carries nothing, and that its node could not be reached is not said.
    bench.pass(250_000);
    assert_eq!((bench.said(second), bench.router.counters().attempts_connect_failed), (String::new(), 0));
    bench.answer(first, "t2.0 OK 5 -", "two");
    bench.pass(5_000);
    let said = [bench.said(client), bench.said(other)];
    assert!(said.iter().all(|said| said.starts_with("HTTP/1.1 200 OK")), "{said:?}");
}
