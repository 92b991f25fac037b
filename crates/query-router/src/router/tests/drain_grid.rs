//! Tests that nothing is sent to a drained or removed node, for each combination of how the router learns of the drain,
//! what crosses it, and what may then send an attempt.

use super::stale_lists::{answer_watch, config, entry, list, response};
use super::*;
use crate::router::connection_kind::ConnectionKind;
use balancer::Micros;
use serde_json::{Value as Json, json};

/// The ports of the node that stays and of the one that drains.
const STAYING_PORT: u16 = 71;
const DRAINED_PORT: u16 = 72;
/// The revision of the list in which the node is ready, and of the drain.
const READY_REVISION: u64 = 50;
const DRAIN_REVISION: u64 = 51;

/// How the router learns of a drain.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Delivery {
    /// A changed entry on the watch.
    ChangedEntry,
    /// A full list on the watch, which leaves the node out.
    FullList,
    /// The first answer to a new watch.
    FirstAnswer,
    /// The answer to a poll.
    Poll,
    /// The first answer of the new discovery after a reload.
    Reload,
}

/// What happens shortly before, during or after the delivery.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Crossing {
    Nothing,
    /// The watch falls silent, and the next one answers.
    Silence,
    /// The watch is reset, and the next one answers.
    Reset,
    /// The watch sends half a line and then nothing, and the next one answers.
    HalfLine,
    /// The message arrives in small pieces.
    SlowBytes,
    /// The next two requests get status 503.
    Unavailable,
    /// A new watch answers with an older revision afterwards.
    OlderRevision,
    /// The drain is sent twice.
    SentTwice,
    /// The revision of the drain is not the next one.
    SkippedRevision,
    /// The drained node is listed with another address.
    OtherAddress,
    /// The drained node is listed with a new start.
    Restart,
}

const CROSSINGS: [Crossing; 11] = [
    Crossing::Nothing,
    Crossing::Silence,
    Crossing::Reset,
    Crossing::HalfLine,
    Crossing::SlowBytes,
    Crossing::Unavailable,
    Crossing::OlderRevision,
    Crossing::SentTwice,
    Crossing::SkippedRevision,
    Crossing::OtherAddress,
    Crossing::Restart,
];

/// What may send an attempt after the drain.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sender {
    /// A query that arrives after the drain.
    NewQuery,
    /// A query whose attempt waits for a connection to the drained node.
    WaitingForConnection,
    /// A query whose attempt waits for room to write to the drained node.
    WaitingForRoom,
    /// A retry after the other node has rejected the attempt.
    RetryAfterRejection,
    /// A retry after the other node has responded with an error.
    RetryAfterError,
    /// A retry after the connection to the other node has ended.
    RetryAfterLostConnection,
    /// A hedged attempt, since the other node does not answer.
    Hedge,
    /// A query for which no other node is left.
    LastChoice,
}

const SENDERS: [Sender; 8] = [
    Sender::NewQuery,
    Sender::WaitingForConnection,
    Sender::WaitingForRoom,
    Sender::RetryAfterRejection,
    Sender::RetryAfterError,
    Sender::RetryAfterLostConnection,
    Sender::Hedge,
    Sender::LastChoice,
];

impl Sender {
    /// Returns whether the drained node is the only one before the drain.
    fn needs_attempt_at_drained_node(self) -> bool {
        matches!(self, Sender::WaitingForConnection | Sender::WaitingForRoom | Sender::LastChoice)
    }
}

/// A case of the grid with its router.
struct Case {
    delivery: Delivery,
    crossing: Crossing,
    sender: Sender,
    rig: Rig<RecordingPeers>,
    /// The connections to the drained node at the drain, with the number of bytes written on each.
    connections: Vec<(ConnectionId, usize)>,
}

impl Case {
    fn new(mode: &str, delivery: Delivery, crossing: Crossing, sender: Sender) -> Case {
        let mut rig = Rig::with_config(&config(mode));
        let members = match sender.needs_attempt_at_drained_node() {
            true => vec![entry("b", "ready")],
            false => vec![entry("a", "ready"), entry("b", "ready")],
        };
        answer_watch(&mut rig, &list(READY_REVISION, true, &members));
        Case { delivery, crossing, sender, rig, connections: Vec::new() }
    }

    fn run(&mut self) {
        self.disturb_before();
        self.prepare();
        self.deliver();
        self.connections =
            self.drained_node_connections().into_iter().map(|id| (id, self.rig.written(id).len())).collect();
        self.check();
        self.disturb_after();
        self.provoke();
    }

    /// Returns the watch that was opened last.
    fn watch(&self) -> ConnectionId {
        let is_watch = |id: &ConnectionId| self.rig.router.is_discovery(*id);
        let open = self.rig.peers.outgoing.iter().map(|outgoing| outgoing.id);
        open.filter(is_watch).last().expect("an open watch")
    }

    fn reset_watch(&mut self) {
        let watch = self.watch();
        self.rig.end_connection(watch, 0);
        self.rig.time_to_next_discovery_request();
    }

    /// Does what crosses the delivery before it. Afterwards the last watch has no answer, or is the first one.
    fn disturb_before(&mut self) {
        match self.crossing {
            Crossing::Silence => {
                self.rig.time_to_next_discovery_request();
            }
            Crossing::HalfLine => {
                let watch = self.watch();
                self.rig.receive(watch, b"5\r\n{\"rev\r\n");
                self.rig.time_to_next_discovery_request();
            }
            Crossing::Reset => self.reset_watch(),
            Crossing::Unavailable => {
                self.reset_watch();
                for _ in 0..2 {
                    let watch = self.watch();
                    self.rig.step(Event::Established(watch));
                    self.rig.receive(watch, b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                    self.rig.time_to_next_discovery_request();
                }
            }
            _ if self.delivery == Delivery::FirstAnswer => self.reset_watch(),
            _ => {}
        }
    }

    /// Sends the query whose attempts wait or are in flight during the drain.
    fn prepare(&mut self) {
        match self.sender {
            Sender::NewQuery | Sender::LastChoice => {}
            Sender::WaitingForRoom => {
                self.rig.peers.writes_stall = true;
                self.rig.send_query("look", "t0");
                self.establish_nodes();
            }
            Sender::WaitingForConnection => {
                self.rig.send_query("look", "t0");
            }
            _ => {
                self.rig.send_query("look", "t0");
                self.establish_nodes();
            }
        }
    }

    /// Returns the entry of the drained node.
    fn drained_entry(&self) -> Json {
        let mut drained = entry("b", "draining");
        match self.crossing {
            Crossing::OtherAddress => drained["host_port"] = "127.0.0.1:79".into(),
            Crossing::Restart => drained["up_since_ms"] = json!(START / 1000),
            _ => {}
        }
        drained
    }

    fn drain_message(&self, complete: bool) -> String {
        let mut members = Vec::new();
        if self.sender != Sender::LastChoice {
            members.push(entry("a", "ready"));
        }
        // A full list leaves the node out, unless its entry is what crosses the drain.
        if !complete || matches!(self.crossing, Crossing::OtherAddress | Crossing::Restart) {
            members.push(self.drained_entry());
        }
        let skipped = if self.crossing == Crossing::SkippedRevision { 9 } else { 0 };
        list(DRAIN_REVISION + skipped, complete, &members)
    }

    fn deliver(&mut self) {
        match self.delivery {
            Delivery::Poll => {
                let poll = self.rig.poll_discovery();
                self.rig.step(Event::Established(poll));
                let body = self.drain_message(true);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                self.receive(poll, &(head + &body));
            }
            Delivery::Reload => {
                let address = SocketAddr::from(([127, 0, 0, 1], DISCOVERY_PORT + 1));
                self.rig.step(Event::DiscoveryAddressReloaded(address));
                self.answer(true);
            }
            Delivery::FullList => self.answer(true),
            Delivery::ChangedEntry | Delivery::FirstAnswer => self.answer(false),
        }
        self.rig.decide();
    }

    /// Sends the drain on the last watch, as its first answer if it has none.
    fn answer(&mut self, complete: bool) {
        let (watch, message) = (self.watch(), self.drain_message(complete));
        let is_new = self.rig.written(watch).is_empty() || self.delivery == Delivery::Reload;
        let has_no_answer = is_new || self.delivery == Delivery::FirstAnswer || self.disturbs_before();
        if has_no_answer {
            self.rig.step(Event::Established(watch));
            return self.receive(watch, &response(&message));
        }
        self.receive(watch, &format!("{:x}\r\n{message}\r\n", message.len()));
    }

    fn disturbs_before(&self) -> bool {
        matches!(
            self.crossing,
            Crossing::Silence | Crossing::Reset | Crossing::HalfLine | Crossing::Unavailable
        )
    }

    /// Reports bytes of discovery, in small pieces if that is what crosses the drain.
    fn receive(&mut self, connection: ConnectionId, text: &str) {
        if self.crossing != Crossing::SlowBytes {
            return self.rig.receive(connection, text.as_bytes());
        }
        let mut unconsumed: Vec<u8> = Vec::new();
        for piece in text.as_bytes().chunks(40) {
            unconsumed.extend(piece);
            self.rig.router.step(self.rig.now, Event::Received { connection, bytes: &unconsumed });
            for effect in self.rig.router.take_effects() {
                if let Effect::Consume { count, .. } = effect {
                    unconsumed.drain(..count);
                } else {
                    self.rig.peers.apply_effect(&self.rig.router, effect, &mut self.rig.follow_ups);
                }
            }
            self.rig.run_effects();
            self.rig.advance(20_000);
        }
    }

    fn disturb_after(&mut self) {
        match self.crossing {
            Crossing::OlderRevision => {
                let watch = self.watch();
                self.rig.end_connection(watch, 0);
                self.rig.time_to_next_discovery_request();
                let older = list(READY_REVISION - 1, true, &[entry("a", "ready"), entry("b", "ready")]);
                answer_watch(&mut self.rig, &older);
            }
            Crossing::SentTwice if self.delivery != Delivery::Poll => {
                let (watch, message) = (self.watch(), self.drain_message(false));
                self.rig.receive(watch, format!("{:x}\r\n{message}\r\n", message.len()).as_bytes());
            }
            _ => {}
        }
    }

    /// Lets everything happen that may send an attempt.
    fn provoke(&mut self) {
        self.rig.peers.writes_stall = false;
        self.flush_nodes();
        self.establish_nodes();
        match self.sender {
            Sender::RetryAfterRejection => self.respond_at_staying_node("REJECTED"),
            Sender::RetryAfterError => self.respond_at_staying_node("ERROR"),
            Sender::RetryAfterLostConnection => {
                for id in self.connections_to(STAYING_PORT) {
                    let written = self.rig.written(id).len() as u64;
                    self.rig.end_connection(id, written);
                }
            }
            _ => {}
        }
        for number in 1..=8 {
            self.rig.send_query("look", &format!("t{number}"));
            self.establish_nodes();
            self.check();
            self.rig.decide_and_advance(150_000);
            self.check();
        }
    }

    fn connections_to(&self, port: u16) -> Vec<ConnectionId> {
        let outgoing = self.rig.peers.outgoing.iter();
        outgoing.filter(|outgoing| outgoing.port == port).map(|outgoing| outgoing.id).collect()
    }

    fn drained_node_connections(&self) -> Vec<ConnectionId> {
        self.connections_to(DRAINED_PORT)
    }

    fn establish_nodes(&mut self) {
        for port in [STAYING_PORT, DRAINED_PORT] {
            for id in self.connections_to(port) {
                let connections = &self.rig.router.state.context.connections;
                if connections.node(id).is_some_and(|connection| !connection.is_established()) {
                    self.rig.step(Event::Established(id));
                }
            }
        }
    }

    fn flush_nodes(&mut self) {
        for id in self.drained_node_connections() {
            if self.rig.router.state.context.connections.kind(id) == Some(ConnectionKind::Node) {
                self.rig.step(Event::Flushed(id));
            }
        }
    }

    /// Lets the staying node respond to each shard request that was sent to it.
    fn respond_at_staying_node(&mut self, outcome: &str) {
        for id in self.connections_to(STAYING_PORT) {
            let written = self.rig.written(id);
            for shard in 0..2 {
                let request = format!("t0.{shard}");
                if written.contains(&request) {
                    self.rig.respond(id, &format!("{request} {outcome} 5 -"), "");
                }
            }
        }
        self.rig.decide();
    }

    /// Checks that no batch was written to the drained node, and that no connection to it was opened.
    fn check(&self) {
        let name = format!("{:?}, {:?}, {:?}", self.delivery, self.crossing, self.sender);
        assert_eq!(self.rig.router.counters().invariants_violated, 0, "{name}");
        for id in self.drained_node_connections() {
            let connection = self.rig.router.state.context.connections.node(id);
            assert!(
                connection.is_none_or(|connection| connection.is_flushed()),
                "{name}: bytes wait for room to be written"
            );
            let known = self.connections.iter().find(|(known, _)| *known == id);
            let (_, written) = known.unwrap_or_else(|| panic!("{name}: a connection was opened"));
            let later = &self.rig.peers.written.get(&id).map_or(&[][..], Vec::as_slice)[*written..];
            assert!(!contains_batch(later), "{name}: a batch was sent");
        }
    }
}

/// Returns whether these frames contain a batch.
fn contains_batch(mut frames: &[u8]) -> bool {
    while let [a, b, c, d, kind, ..] = *frames {
        if kind == b'R' {
            return true;
        }
        let length = u32::from_be_bytes([a, b, c, d]) as usize;
        frames = frames.get(4 + length..).unwrap_or_default();
    }
    false
}

/// Runs all cases of a delivery.
fn run_all(delivery: Delivery) {
    for mode in ["ask", "push"] {
        for crossing in CROSSINGS {
            for sender in SENDERS {
                Case::new(mode, delivery, crossing, sender).run();
            }
        }
    }
}

/// Guards against attempts at a node after a changed entry on a watch.
#[test]
fn nothing_is_sent_after_a_changed_entry() {
    run_all(Delivery::ChangedEntry);
}

/// Guards against attempts at a node that a full list leaves out.
#[test]
fn nothing_is_sent_after_a_full_list_that_leaves_the_node_out() {
    run_all(Delivery::FullList);
}

/// Guards against attempts at a node whose drain is in the first answer to a new watch.
#[test]
fn nothing_is_sent_after_the_first_answer_to_a_new_watch() {
    run_all(Delivery::FirstAnswer);
}

/// Guards against attempts at a node whose drain is in the answer to a poll.
#[test]
fn nothing_is_sent_after_an_answer_to_a_poll() {
    run_all(Delivery::Poll);
}

/// Guards against attempts at a node whose drain comes from the new discovery after a reload.
#[test]
fn nothing_is_sent_after_the_first_answer_that_follows_a_reload() {
    run_all(Delivery::Reload);
}

/// Guards against attempts at a node that the list of the configuration states as draining, while discovery is down from
/// the first moment.
#[test]
fn nothing_is_sent_to_a_node_that_drains_in_the_list_of_the_configuration() {
    for mode in ["ask", "push"] {
        let mut json: Json = serde_json::from_str(&config(mode)).expect("valid JSON");
        json["known"]["members"][1]["phase"] = "draining".into();
        let mut rig = Rig::with_config(&json.to_string());
        for number in 0..20 {
            if let Some(watch) = rig.peers.outgoing.iter().find(|outgoing| outgoing.port == DISCOVERY_PORT) {
                rig.end_connection(watch.id, 0);
            }
            rig.send_query("look", &format!("t{number}"));
            assert!(rig.peers.outgoing.iter().all(|outgoing| outgoing.port != DRAINED_PORT));
            rig.decide_and_advance(400_000);
        }
    }
}

/// The cases are numerous, so that they must not find nothing for want of attempts: without the drain there are some.
#[test]
fn the_cases_send_attempts_to_a_node_that_does_not_drain() {
    for sender in SENDERS {
        let mut case = Case::new("ask", Delivery::ChangedEntry, Crossing::Nothing, sender);
        case.prepare();
        let before: Micros = case.rig.router.counters().attempts_requested as Micros;
        case.rig.peers.writes_stall = false;
        case.flush_nodes();
        case.establish_nodes();
        case.rig.send_query("look", "t1");
        case.establish_nodes();
        let ports = [STAYING_PORT, DRAINED_PORT].map(|port| case.connections_to(port).len());
        let requested = case.rig.router.counters().attempts_requested as Micros;
        assert!(requested > before && ports[1] > 0, "{sender:?}: connections {ports:?}");
    }
}
