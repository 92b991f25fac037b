//! Tests of a router whose clients hold all descriptors that they may, in every way in which clients can hold one.

use super::*;
use crate::router::state::State;
use balancer::Micros;

/// Limits of descriptors: the smallest and the largest of the platform, and one below.
const DESCRIPTORS: [usize; 3] = [64, 256, 1024];
/// Interval at which the crowd acts.
const STEP: Micros = 50_000;
/// Interval at which the time of a waiting client is measured.
const SHORT_STEP: Micros = 10_000;
/// The most clients of a crowd that connect in that interval.
const MAX_CONNECTS: usize = 16;
/// The longest delay until the balancer requests the next watch after one that has failed, and some iterations.
const WATCH_DELAY: Micros = 2_000_000 + 2 * STEP;
/// By this much the deadline passed to a node may exceed what the client has left.
const DEADLINE_SLACK: Micros = 150_000;

/// What each client of a crowd does on its connection. Each one that is closed is replaced by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Habit {
    Silent,
    HalfHead,
    HalfBody,
    /// Sends a body byte by byte.
    DrippedBody,
    /// Asks for the readiness, reads the response and stays.
    IdleAfterHealthCheck,
    /// Sends a malformed request and stays although the router has closed its side.
    StaysAfterClose,
}

const HABITS: [Habit; 6] = [
    Habit::Silent,
    Habit::HalfHead,
    Habit::HalfBody,
    Habit::DrippedBody,
    Habit::IdleAfterHealthCheck,
    Habit::StaysAfterClose,
];

impl Habit {
    /// Returns what a client has sent in all after this time.
    fn sent_after(self, age: Micros) -> Vec<u8> {
        let body = |length: usize| {
            [&b"POST /api HTTP/1.1\r\nContent-Length: 60000\r\n\r\n"[..], &vec![b'x'; length]].concat()
        };
        match self {
            Habit::Silent => Vec::new(),
            Habit::HalfHead => b"POST /api HTTP/1.1\r\nX-Qos: lo".to_vec(),
            Habit::HalfBody => body(300),
            Habit::DrippedBody => body(1 + (age / STEP) as usize),
            Habit::IdleAfterHealthCheck => b"GET /-/ready HTTP/1.1\r\n\r\n".to_vec(),
            Habit::StaysAfterClose => b"NONSENSE\r\n\r\n".to_vec(),
        }
    }
}

/// A router and more clients of one habit than it accepts.
struct Crowd {
    rig: Rig<RecordingPeers>,
    habit: Habit,
    /// The number of accepted connections to which the crowd has reacted.
    joined: usize,
    /// The open connections of the crowd, with the time of their accept.
    members: Vec<(ConnectionId, Micros)>,
}

impl Crowd {
    /// Lets a crowd take all descriptors of a router that it may have. One further client waits.
    fn fill(mut rig: Rig<RecordingPeers>, habit: Habit) -> Crowd {
        rig.decide();
        let joined = rig.peers.accepted.len();
        let mut crowd = Crowd { rig, habit, joined, members: Vec::new() };
        crowd.connect(crowd.rig.router.state.context.limits.max_connections);
        crowd
    }

    /// Creates a router with this limit and this mode of discovery, and fills it.
    fn with_descriptors(descriptors: usize, mode: &str, habit: Habit) -> Crowd {
        Crowd::fill(rig_with_descriptors(descriptors, mode), habit)
    }

    /// The crowd acts for a step: it goes on sending, and connects anew.
    fn act(&mut self) {
        for (id, since) in self.members.clone() {
            if self.habit == Habit::DrippedBody && self.is_open(id) {
                self.rig.receive(id, &self.habit.sent_after(self.rig.now - since));
            }
        }
        self.connect(MAX_CONNECTS);
    }

    /// Clients connect until one waits, `max` at most; those that are accepted do what is their habit.
    fn connect(&mut self, max: usize) {
        for _ in 0..max {
            self.join_accepted();
            if self.rig.router.state.clients.has_pending_accepts() {
                return;
            }
            self.rig.step(Event::ClientConnected);
        }
        self.join_accepted();
    }

    fn join_accepted(&mut self) {
        while let Some(&id) = self.rig.peers.accepted.get(self.joined) {
            self.joined += 1;
            self.members.push((id, self.rig.now));
            let bytes = self.habit.sent_after(0);
            if !bytes.is_empty() && self.is_open(id) {
                self.rig.receive(id, &bytes);
            }
        }
        let open: BTreeSet<ConnectionId> =
            self.rig.router.state.context.connections.clients().map(|(id, _)| id).collect();
        self.members.retain(|(id, _)| open.contains(id));
    }

    fn is_open(&self, id: ConnectionId) -> bool {
        self.rig.router.is_client(id)
    }

    /// Lets time pass while the crowd acts.
    fn advance(&mut self, span: Micros) {
        let end = self.rig.now + span;
        while self.rig.now < end {
            self.rig.decide_and_advance(STEP);
            self.act();
        }
    }

    fn discovery_connections(&self) -> Vec<Outgoing> {
        let outgoing = &self.rig.peers.outgoing;
        outgoing
            .iter()
            .copied()
            .filter(|outgoing| [DISCOVERY_PORT, MOVED_PORT].contains(&outgoing.port))
            .collect()
    }

    /// Asserts that no request to discovery has lacked a descriptor.
    fn assert_discovery_is_reached(&self, what: &str) {
        let lacking = self.rig.router.counters().discovery_requests_without_descriptor;
        assert_eq!(lacking, 0, "{what} with a crowd of habit {:?}", self.habit);
        assert!(!self.discovery_connections().is_empty(), "{what} with a crowd of habit {:?}", self.habit);
    }
}

/// The port of discovery after a reload.
const MOVED_PORT: u16 = 10;

fn rig_with_descriptors(descriptors: usize, mode: &str) -> Rig<RecordingPeers> {
    let config = CONFIG
        .replace(r#""sockets":22"#, &format!(r#""sockets":{descriptors}"#))
        .replace(r#""registryMode":"ask""#, &format!(r#""registryMode":"{mode}""#))
        .replace(r#""openCap":6"#, r#""openCap":2000"#);
    Rig::with_config(&config)
}

/// Runs a case for each mode of discovery and each habit, and for each limit; the largest only with one habit.
fn for_each_crowd(mut case: impl FnMut(Crowd)) {
    for mode in ["ask", "push"] {
        for habit in HABITS {
            case(Crowd::with_descriptors(64, mode, habit));
            case(Crowd::with_descriptors(256, mode, habit));
        }
        case(Crowd::with_descriptors(1024, mode, Habit::HalfHead));
    }
}

/// Guards against `review/7`: clients in the middle of a request took each descriptor that was freed, none was left for
/// the watch after one that ended, and drained nodes went on getting work.
#[test]
fn a_watch_that_ends_is_renewed_while_clients_hold_all_descriptors_that_they_may() {
    for_each_crowd(|mut crowd| {
        let watch = crowd.discovery_connections()[0];
        crowd.rig.end_connection(watch.id, 0);
        crowd.act();
        crowd.advance(WATCH_DELAY);
        crowd.assert_discovery_is_reached("a watch that ended");
    });
}

/// Guards against a watch that ends with a list that can't be used and is not renewed for want of a descriptor.
#[test]
fn a_watch_with_a_malformed_list_is_renewed_while_clients_hold_all_descriptors_that_they_may() {
    for_each_crowd(|mut crowd| {
        let watch = crowd.discovery_connections()[0];
        crowd.rig.step(Event::Established(watch.id));
        crowd.rig.receive(watch.id, b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"members");
        crowd.act();
        crowd.advance(WATCH_DELAY);
        crowd.assert_discovery_is_reached("a malformed list");
    });
}

/// Guards against a discovery that hangs and holds its connections, while clients hold the others: further watches beside
/// the overdue one, a poll, and after a reload those at the new address must still be opened.
#[test]
fn further_watches_polls_and_a_new_address_get_descriptors_while_discovery_hangs() {
    for_each_crowd(|mut crowd| {
        let watch = crowd.discovery_connections()[0];
        crowd.rig.step(Event::Established(watch.id));
        crowd.advance(2_000_000);
        crowd.assert_discovery_is_reached("an overdue watch");
        assert!(crowd.rig.router.counters().endpoint_watches_additional > 0);
        let State { discovery, context, .. } = &mut crowd.rig.router.state;
        assert!(
            discovery.poll(context).is_some(),
            "a poll beside {} watches",
            crowd.discovery_connections().len()
        );
        crowd.rig.run_effects();
        let moved = SocketAddr::from(([127, 0, 0, 1], MOVED_PORT));
        crowd.rig.step(Event::DiscoveryAddressReloaded(moved));
        crowd.act();
        let ports: Vec<u16> = crowd.discovery_connections().iter().map(|outgoing| outgoing.port).collect();
        assert_eq!(ports, [MOVED_PORT, MOVED_PORT], "a poll and a watch at the new address");
        crowd.assert_discovery_is_reached("a new address");
    });
}

/// Guards against a query that is accepted while its shard requests find no descriptor, since clients hold all of them.
#[test]
fn an_accepted_query_reaches_its_node_while_clients_hold_all_descriptors_that_they_may() {
    for descriptors in DESCRIPTORS {
        for habit in HABITS {
            let mut rig = rig_with_descriptors(descriptors, "ask");
            let client = rig.connect_client();
            let mut crowd = Crowd::fill(rig, habit);
            let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"q"}"#;
            crowd.rig.receive(client, query_request("look", "t1", body).as_bytes());
            crowd.rig.decide();
            let (node, _) = crowd.rig.establish_last();
            assert!(crowd.rig.written(node).contains("t1.0"), "{descriptors} {habit:?}");
        }
    }
}

/// Guards against usual clients whose time runs out in the system's queue while others hold descriptors without a
/// complete request.
#[test]
fn a_client_that_waits_is_accepted_within_the_slack_of_a_deadline() {
    for_each_crowd(|mut crowd| {
        for _ in 0..20 {
            let accepted = crowd.joined;
            let waiting_since = crowd.rig.now;
            while crowd.joined == accepted {
                crowd.rig.decide_and_advance(SHORT_STEP);
                crowd.act();
                let waited = crowd.rig.now - waiting_since;
                assert!(waited <= DEADLINE_SLACK, "{:?}: waits for {waited} us", crowd.habit);
            }
        }
    });
}

/// Guards against an incomplete request that is closed without an answer, or rejected although nobody waits.
#[test]
fn incomplete_requests_are_answered_before_they_give_way_and_only_to_a_waiting_client() {
    let mut rig = rig_with_descriptors(64, "ask");
    let first = rig.connect_client();
    rig.receive(first, &Habit::HalfHead.sent_after(0));
    rig.decide_and_advance(1_000_000);
    assert_eq!(rig.written(first), "", "nobody waits");
    let mut crowd = Crowd::fill(rig, Habit::HalfHead);
    crowd.advance(STEP);
    let written = crowd.rig.written(first);
    assert!(written.starts_with("HTTP/1.1 503") && written.contains("Connection: close"), "{written}");
    let rejected = crowd.rig.router.counters().requests_rejected_for_descriptor;
    assert!(crowd.rig.peers.closed.contains(&first) && rejected >= 1);
}

/// Guards against a usual client whose connection is closed between two queries, since others that ask for nothing have
/// used up the descriptors.
#[test]
fn a_client_with_queries_keeps_its_connection_while_others_ask_for_nothing() {
    for habit in HABITS {
        let mut rig = rig_with_descriptors(256, "ask");
        let client = rig.connect_client();
        let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"q"}"#;
        rig.receive(client, query_request("look", "t1", body).as_bytes());
        rig.decide();
        let (node, _) = rig.establish_last();
        rig.respond(node, "t1.0 OK 1 -", "one");
        rig.decide_and_advance(SHORT_STEP);
        assert!(rig.written(client).contains("200 OK"), "{}", rig.written(client));
        let mut crowd = Crowd::fill(rig, habit);
        crowd.advance(1_900_000);
        assert!(!crowd.rig.peers.closed.contains(&client), "{habit:?}");
    }
}

/// Guards against data nodes that never accept and so take the descriptors of clients and of discovery.
#[test]
fn connections_to_nodes_that_hang_leave_descriptors_for_clients_and_discovery() {
    for descriptors in DESCRIPTORS {
        let mut rig = rig_with_descriptors(descriptors, "ask");
        let open: usize = (0..2 * descriptors)
            .filter(|&index| {
                let (context, node) = (&mut rig.router.state.context, balancer::NodeId(index % 2));
                crate::router::node_connections::open_connection(context, node).is_some()
            })
            .count();
        assert!(open >= descriptors / 3, "{open} of {descriptors}");
        for _ in 0..descriptors / 5 {
            rig.step(Event::ClientConnected);
        }
        assert_eq!(rig.router.counters().client_connections_delayed, 0, "{descriptors}");
        assert!(rig.router.state.discovery.poll(&mut rig.router.state.context).is_some());
    }
}
