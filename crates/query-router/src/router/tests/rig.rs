//! The state machine with simulated peers. Effects are carried out in the order of the event loop, and the events that
//! follow from them are reported afterwards.

use crate::config::Config;
use crate::io::{ConnectionId, Effect, Event};
use crate::router::Router;
use crate::router::connection::discovery::EndpointList;
use crate::router::node_connections;
use crate::router::state::State;
use balancer::{EndpointUpdate, Micros, NodeId};
use serde_json::Value as Json;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// When a test begins.
pub const START: Micros = 1_700_000_000_000_000;
/// Discovery's port in [`CONFIG`]; all other ports are data nodes'.
pub const DISCOVERY_PORT: u16 = 9;

/// Two nodes in one replica set, six connections, polled discovery.
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

/// An event that follows from an effect.
pub enum FollowUp {
    /// A connection has ended.
    Ended {
        /// The id that it had.
        connection: ConnectionId,
        /// How many bytes were written on it in all.
        written_bytes: u64,
    },
    /// Everything is written.
    Flushed(ConnectionId),
    /// What was received and not consumed is reported once more.
    Redeliver(ConnectionId),
}

impl FollowUp {
    fn connection(&self) -> ConnectionId {
        let (FollowUp::Ended { connection: id, .. } | FollowUp::Flushed(id) | FollowUp::Redeliver(id)) = self;
        *id
    }
}

/// The peers of all connections.
pub trait Peers {
    /// Carries out an effect on a connection.
    fn carry_out(&mut self, router: &Router, effect: Effect, follow_ups: &mut VecDeque<FollowUp>);

    /// The bytes that were received on a connection and not consumed, if the peers keep them.
    fn unconsumed(&self, id: ConnectionId) -> Option<Vec<u8>>;
}

/// A router and its peers.
pub struct Rig<P> {
    pub router: Router,
    pub now: Micros,
    pub peers: P,
    pub follow_ups: VecDeque<FollowUp>,
    /// Whether the router has asked for the end of the process.
    pub exit: bool,
}

impl<P: Peers> Rig<P> {
    /// A router of this configuration that has made its first decision.
    pub fn with_peers(config: &Config, peers: P) -> Rig<P> {
        let router = Router::new(config, START);
        let mut rig = Rig { router, now: START, peers, follow_ups: VecDeque::new(), exit: false };
        rig.decide();
        rig
    }

    /// Reports an event and carries out what the router asks for.
    pub fn step(&mut self, event: Event) {
        self.router.step(self.now, event);
        self.run_effects();
    }

    /// Bytes come in on a connection: all that were not consumed yet.
    pub fn receive(&mut self, connection: ConnectionId, bytes: &[u8]) {
        self.step(Event::Received { connection, bytes });
    }

    /// A connection ends, on which this number of bytes was written.
    pub fn end(&mut self, connection: ConnectionId, written_bytes: u64) {
        self.step(Event::Ended { connection, written_bytes });
    }

    /// Ends an event-loop iteration.
    pub fn decide(&mut self) {
        self.router.decide(self.now);
        self.run_effects();
    }

    /// Carries out what the router asks for, until nothing is left.
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
            Effect::Exit => self.exit = true,
            Effect::Close(id) => {
                self.peers.carry_out(&self.router, effect, &mut self.follow_ups);
                self.follow_ups.retain(|follow_up| follow_up.connection() != id);
            }
            effect => self.peers.carry_out(&self.router, effect, &mut self.follow_ups),
        }
    }

    /// Lets time pass, waking the router whenever it asked to be.
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

/// A connection that the router opened.
#[derive(Clone, Copy, Debug)]
pub struct Outgoing {
    pub id: ConnectionId,
    /// The port that it leads to.
    pub port: u16,
}

/// Peers that do nothing by themselves and record what the router does.
#[derive(Default)]
pub struct RecordingPeers {
    /// What was written on each connection.
    pub written: BTreeMap<ConnectionId, Vec<u8>>,
    /// The open connections to nodes and to discovery.
    pub outgoing: Vec<Outgoing>,
    /// The client connections accepted.
    pub accepted: Vec<ConnectionId>,
    /// The connections closed.
    pub closed: Vec<ConnectionId>,
    /// The connections closed for writing.
    pub half_closed: Vec<ConnectionId>,
    /// Whether only the start of what is written is taken.
    pub writes_stall: bool,
    /// Connections on which bytes have come in that were not reported yet.
    pub unread: Vec<ConnectionId>,
}

/// How much is taken of what is written while writes stall.
const STALLED_WRITE_BYTES: usize = 12;

impl Peers for RecordingPeers {
    fn carry_out(&mut self, _router: &Router, effect: Effect, follow_ups: &mut VecDeque<FollowUp>) {
        match effect {
            Effect::Accept(id) => self.accepted.push(id),
            Effect::Connect { connection: id, address } => {
                self.outgoing.push(Outgoing { id, port: address.port() })
            }
            Effect::Write { connection: id, buffers }
            | Effect::WriteIfOpen { connection: id, buffers, .. } => {
                let taken = if self.writes_stall { STALLED_WRITE_BYTES } else { usize::MAX };
                let bytes = buffers.iter().flat_map(|buffer| buffer.iter().copied()).take(taken);
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
    /// A router of [`CONFIG`].
    pub fn new() -> Self {
        Self::with_config(CONFIG)
    }

    /// A router of this configuration.
    pub fn with_config(config: &str) -> Self {
        let config = Config::parse(config).expect("a configuration");
        Rig::with_peers(&config, RecordingPeers::default())
    }

    /// Ends the iteration, then lets time pass.
    pub fn pass(&mut self, span: Micros) {
        self.decide();
        self.advance(span);
    }

    /// A client connects.
    pub fn client(&mut self) -> ConnectionId {
        self.step(Event::ClientConnected);
        *self.peers.accepted.last().expect("a client")
    }

    /// A client's query for two shards, decided on.
    pub fn query(&mut self, class: &str, id: &str) -> ConnectionId {
        let client = self.client();
        let body = r#"{"segments":[{"segment":0,"boost":0.5},{"segment":1,"boost":0.5}],"text":"q"}"#;
        self.receive(client, post(class, id, body).as_bytes());
        self.decide();
        client
    }

    /// Establishes the last connection to a data node; its id and port.
    pub fn establish_last(&mut self) -> (ConnectionId, u16) {
        let last = self.peers.outgoing.iter().rfind(|outgoing| outgoing.port != DISCOVERY_PORT);
        let Outgoing { id, port } = *last.expect("a node connection");
        self.step(Event::Established(id));
        (id, port)
    }

    /// What was written on a connection, as text.
    pub fn written(&self, id: ConnectionId) -> String {
        String::from_utf8_lossy(self.peers.written.get(&id).map_or(&[], Vec::as_slice)).into_owned()
    }

    /// A node responds to a shard request.
    pub fn respond(&mut self, node_connection: ConnectionId, line: &str, value: &str) {
        self.receive(node_connection, &frame(b'Y', &format!("{line}\n{value}")));
    }

    /// Puts the waiting batches on connections, without a decision.
    pub fn send_batches(&mut self) {
        let State { context, queries, dispatcher, .. } = &mut self.router.state;
        dispatcher.send_batches(context, queries);
        self.run_effects();
    }

    /// Chooses or opens a connection for shard requests with these ids.
    pub fn select_connection(&mut self, node: usize, ids: &[Rc<str>]) -> Option<ConnectionId> {
        let State { context, queries, .. } = &mut self.router.state;
        node_connections::select_connection(context, queries, NodeId(node), ids)
    }

    /// Polls discovery, as the balancer may ask at any time.
    pub fn poll(&mut self) -> ConnectionId {
        let poll = self.router.state.discovery.poll(&mut self.router.state.context);
        self.run_effects();
        poll.expect("a connection")
    }

    /// Applies an endpoint list, without carrying out what the router asks for.
    pub fn apply_list(&mut self, list: &Json, update: EndpointUpdate) {
        self.router.state.context.now = self.now;
        self.router.apply_endpoint_list(&EndpointList { update, json: list.clone() });
    }

    /// How many endpoints are ready.
    pub fn ready_endpoints(&self) -> usize {
        self.router.state.context.endpoints.ready_count()
    }
}

/// A client's request for a query.
pub fn post(class: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /api HTTP/1.1\r\nX-Qos: {class}\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 1500\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// A frame of a data node.
pub fn frame(letter: u8, content: &str) -> Vec<u8> {
    [&crate::protocol::frames::head(letter, content.len())[..], content.as_bytes()].concat()
}
