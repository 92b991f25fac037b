//! A test rig that connects the router's state machine to simulated peers. Effects are applied in the order of the
//! event loop, and the events that result from them are reported afterwards.

use crate::config::Config;
use crate::io::{ConnectionId, Effect, Event};
use crate::router::Router;
use crate::router::connection::discovery::EndpointList;
use crate::router::node_connections;
use crate::router::state::State;
use balancer::{EndpointUpdate, Micros, NodeId};
use serde_json::Value as Json;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The time at which each test starts.
pub const START: Micros = 1_700_000_000_000_000;
/// The port of discovery in [`CONFIG`]; all other ports belong to data nodes.
pub const DISCOVERY_PORT: u16 = 9;

/// A configuration with two nodes in one replica set, at most six connections and polled discovery.
pub const CONFIG: &str = r#"{"name":"r0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"2a",
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

/// An event that results from an effect and is reported after the remaining effects are applied.
pub enum FollowUp {
    /// Reports [`Event::Ended`].
    Ended {
        /// The id that the connection had.
        connection: ConnectionId,
        /// The total number of bytes that were written on the connection.
        written_bytes: u64,
    },
    /// Reports [`Event::Flushed`].
    Flushed(ConnectionId),
    /// Reports the unconsumed bytes of the connection in another [`Event::Received`].
    Redeliver(ConnectionId),
}

impl FollowUp {
    fn connection(&self) -> ConnectionId {
        let (FollowUp::Ended { connection: id, .. } | FollowUp::Flushed(id) | FollowUp::Redeliver(id)) = self;
        *id
    }
}

/// The simulated peers of all connections.
pub trait Peers {
    /// Applies an effect to its connection, and queues the events that result from it.
    fn apply_effect(&mut self, router: &Router, effect: Effect, follow_ups: &mut VecDeque<FollowUp>);

    /// Returns the received and unconsumed bytes of a connection, or `None` if the peers do not keep them.
    fn unconsumed(&self, id: ConnectionId) -> Option<Vec<u8>>;
}

/// A router with its simulated peers and clock.
pub struct Rig<P> {
    pub router: Router,
    pub now: Micros,
    pub peers: P,
    pub follow_ups: VecDeque<FollowUp>,
    /// Whether the router has requested the end of the process.
    pub exit_requested: bool,
}

impl<P: Peers> Rig<P> {
    /// Creates a router with this configuration, which makes its first decision.
    pub fn with_peers(config: &Config, peers: P) -> Rig<P> {
        let router = Router::new(config, START);
        let mut rig = Rig { router, now: START, peers, follow_ups: VecDeque::new(), exit_requested: false };
        rig.decide();
        rig
    }

    /// Reports an event and applies the resulting effects.
    pub fn step(&mut self, event: Event) {
        self.router.step(self.now, event);
        self.run_effects();
    }

    /// Reports received bytes of a connection. `bytes` starts with the first unconsumed byte.
    pub fn receive(&mut self, connection: ConnectionId, bytes: &[u8]) {
        self.step(Event::Received { connection, bytes });
    }

    /// Reports the end of a connection on which `written_bytes` bytes were written.
    pub fn end_connection(&mut self, connection: ConnectionId, written_bytes: u64) {
        self.step(Event::Ended { connection, written_bytes });
    }

    /// Makes a decision, as at the end of an event-loop iteration.
    pub fn decide(&mut self) {
        self.router.decide(self.now);
        self.run_effects();
    }

    /// Applies effects and reports the events that result from them until none are left.
    pub fn run_effects(&mut self) {
        loop {
            for effect in self.router.take_effects() {
                self.run_effect(effect);
            }
            let Some(follow_up) = self.follow_ups.pop_front() else { return };
            match follow_up {
                FollowUp::Ended { connection, written_bytes } => {
                    self.router.step(self.now, Event::Ended { connection, written_bytes })
                }
                FollowUp::Flushed(id) => self.router.step(self.now, Event::Flushed(id)),
                FollowUp::Redeliver(id) => {
                    if let Some(bytes) = self.peers.unconsumed(id) {
                        self.router.step(self.now, Event::Received { connection: id, bytes: &bytes });
                    }
                }
            }
        }
    }

    fn run_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Exit => self.exit_requested = true,
            Effect::Close(id) => {
                self.peers.apply_effect(&self.router, effect, &mut self.follow_ups);
                self.follow_ups.retain(|follow_up| follow_up.connection() != id);
            }
            effect => self.peers.apply_effect(&self.router, effect, &mut self.follow_ups),
        }
    }

    /// Advances the clock by `span` and wakes the router at each time that it requested.
    pub fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(at) = self.router.wake_at.filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.step(Event::TimerExpired);
            self.decide();
        }
        self.now = end;
    }
}

/// A connection to a node or to discovery that the router opened.
#[derive(Clone, Copy, Debug)]
pub struct Outgoing {
    pub id: ConnectionId,
    /// The port of the remote address.
    pub port: u16,
}

/// Peers that send nothing on their own and record the effects that the router requests.
#[derive(Default)]
pub struct RecordingPeers {
    /// The bytes that were written on each connection.
    pub written: BTreeMap<ConnectionId, Vec<u8>>,
    /// The open connections to nodes and discovery, in the order in which they were opened.
    pub outgoing: Vec<Outgoing>,
    /// The accepted client connections, including those that are closed by now.
    pub accepted: Vec<ConnectionId>,
    /// The closed connections, in the order in which they were closed.
    pub closed: Vec<ConnectionId>,
    /// The connections whose writing side was closed.
    pub half_closed: Vec<ConnectionId>,
    /// Whether each write is partial: only its first [`STALLED_WRITE_BYTES`] bytes are accepted.
    pub writes_stall: bool,
    /// Connections with received bytes that are not reported yet.
    pub unread: Vec<ConnectionId>,
}

/// The number of bytes that are accepted of each write while writes stall.
const STALLED_WRITE_BYTES: usize = 12;

impl Peers for RecordingPeers {
    fn apply_effect(&mut self, _router: &Router, effect: Effect, follow_ups: &mut VecDeque<FollowUp>) {
        match effect {
            Effect::Accept(id) => self.accepted.push(id),
            Effect::Connect { connection: id, address } => {
                self.outgoing.push(Outgoing { id, port: address.port() })
            }
            Effect::Write { connection: id, buffers }
            | Effect::WriteIfOpen { connection: id, buffers, .. } => {
                let write_limit = if self.writes_stall { STALLED_WRITE_BYTES } else { usize::MAX };
                let bytes = buffers.iter().flat_map(|buffer| buffer.iter().copied()).take(write_limit);
                self.written.entry(id).or_default().extend(bytes);
                if !self.writes_stall {
                    follow_ups.push_back(FollowUp::Flushed(id));
                }
            }
            Effect::Close(id) => {
                self.closed.push(id);
                self.outgoing.retain(|outgoing| outgoing.id != id);
            }
            Effect::Abort(id) => {
                let written_bytes = self.written.get(&id).map_or(0, Vec::len) as u64;
                follow_ups.push_back(FollowUp::Ended { connection: id, written_bytes });
            }
            Effect::CloseIfIdle(id) => {
                if !self.unread.contains(&id) {
                    follow_ups.push_back(FollowUp::Ended { connection: id, written_bytes: 0 });
                }
            }
            Effect::CloseWrite(id) => self.half_closed.push(id),
            Effect::Consume { .. }
            | Effect::Redeliver(_)
            | Effect::WakeAt(_)
            | Effect::PrintCounters(_)
            | Effect::Exit => {}
        }
    }

    fn unconsumed(&self, _id: ConnectionId) -> Option<Vec<u8>> {
        None
    }
}

impl Rig<RecordingPeers> {
    /// Creates a router with [`CONFIG`].
    pub fn new() -> Self {
        Self::with_config(CONFIG)
    }

    /// Creates a router with this configuration in JSON.
    pub fn with_config(config: &str) -> Self {
        let config = Config::parse(config).expect("a valid configuration");
        Rig::with_peers(&config, RecordingPeers::default())
    }

    /// Makes a decision, then advances the clock by `span`.
    pub fn decide_and_advance(&mut self, span: Micros) {
        self.decide();
        self.advance(span);
    }

    /// Connects a client and returns the last accepted connection.
    pub fn connect_client(&mut self) -> ConnectionId {
        self.step(Event::ClientConnected);
        *self.peers.accepted.last().expect("an accepted client connection")
    }

    /// Sends a query for two shards on a new client connection and makes a decision. Returns the client connection.
    pub fn send_query(&mut self, class: &str, id: &str) -> ConnectionId {
        let client = self.connect_client();
        let body = r#"{"segments":[{"segment":0,"boost":0.5},{"segment":1,"boost":0.5}],"text":"q"}"#;
        self.receive(client, query_request(class, id, body).as_bytes());
        self.decide();
        client
    }

    /// Reports the last opened node connection as established. Returns its id and its remote port.
    pub fn establish_last(&mut self) -> (ConnectionId, u16) {
        let last = self.peers.outgoing.iter().rfind(|outgoing| outgoing.port != DISCOVERY_PORT);
        let Outgoing { id, port } = *last.expect("a node connection");
        self.step(Event::Established(id));
        (id, port)
    }

    /// Returns the bytes that were written on a connection, as text.
    pub fn written(&self, id: ConnectionId) -> String {
        String::from_utf8_lossy(self.peers.written.get(&id).map_or(&[], Vec::as_slice)).into_owned()
    }

    /// Reports the response of a node to a shard request: its first line and its value.
    pub fn respond(&mut self, node_connection: ConnectionId, line: &str, value: &str) {
        self.receive(node_connection, &frame(b'Y', &format!("{line}\n{value}")));
    }

    /// Sends the waiting batches to connections, without a decision.
    pub fn send_batches(&mut self) {
        let State { context, queries, dispatcher, .. } = &mut self.router.state;
        dispatcher.send_batches(context, queries);
        self.run_effects();
    }

    /// Selects or opens a node connection for shard requests with these ids.
    pub fn select_connection(&mut self, node: usize, ids: &[Arc<str>]) -> Option<ConnectionId> {
        let State { context, queries, .. } = &mut self.router.state;
        node_connections::select_connection(context, queries, NodeId(node), ids)
    }

    /// Polls discovery, as the balancer may request at any time. Returns the connection of the poll.
    pub fn poll_discovery(&mut self) -> ConnectionId {
        let poll = self.router.state.discovery.poll(&mut self.router.state.context);
        self.run_effects();
        poll.expect("a connection for the poll")
    }

    /// Advances the clock until the next request to discovery, and returns the time that this takes.
    pub fn time_to_next_discovery_request(&mut self) -> Micros {
        const STEP: Micros = 10_000;
        let (requests, started) = (self.router.counters().discovery_requests, self.now);
        while self.router.counters().discovery_requests == requests {
            self.decide_and_advance(STEP);
        }
        self.now - started
    }

    /// Applies an endpoint list, without applying the resulting effects.
    pub fn apply_endpoint_list(&mut self, list: &Json, update: EndpointUpdate) {
        self.router.state.context.now = self.now;
        self.router.state.discovery.load(EndpointList { update, json: list.clone() });
        self.router.report_discovery();
    }

    /// Returns the number of ready endpoints.
    pub fn ready_endpoints(&self) -> usize {
        self.router.state.context.endpoints.ready_count()
    }
}

/// Formats a client's HTTP request with a query, which expires in 1500 ms.
pub fn query_request(class: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /api HTTP/1.1\r\nX-Qos: {class}\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 1500\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Encodes a frame of the node protocol.
pub fn frame(kind: u8, payload: &str) -> Vec<u8> {
    [&crate::protocol::frames::head(kind, payload.len())[..], payload.as_bytes()].concat()
}
