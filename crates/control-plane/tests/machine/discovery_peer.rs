//! Discovery as the simulated control plane sees it: the test plays it byte by byte.

use crate::simulation::Simulation;
use crate::support::endpoint_entry;
use balancer::Micros;
use control_plane::{ConnectionId, DiscoveryEffect, DiscoveryEvent};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;

/// The head of a response to a watch.
const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Number of replica sets of the lists.
pub const REPLICA_SETS: usize = 2;
/// Number of nodes of the lists.
pub const NODES: usize = 4;

/// A connection to discovery.
#[derive(Debug, Default)]
struct Connection {
    /// The bytes that the control plane has written.
    written: Vec<u8>,
    /// The bytes that it has received and not consumed.
    unconsumed: Vec<u8>,
}

/// The connections to discovery that are open.
#[derive(Debug, Default)]
pub struct DiscoveryPeer {
    connections: BTreeMap<ConnectionId, Connection>,
    newest: Option<ConnectionId>,
    /// The number of connections that were opened.
    pub opened: usize,
}

impl DiscoveryPeer {
    /// Carries out an effect of the control plane.
    pub fn carry_out(&mut self, effect: DiscoveryEffect) {
        match effect {
            DiscoveryEffect::Connect { connection, .. } => {
                self.connections.insert(connection, Connection::default());
                self.newest = Some(connection);
                self.opened += 1;
            }
            DiscoveryEffect::Write { connection, bytes } => {
                self.open_mut(connection).written.extend_from_slice(&bytes);
            }
            DiscoveryEffect::Consume { connection, count } => {
                self.open_mut(connection).unconsumed.drain(..count);
            }
            DiscoveryEffect::Close(connection) => drop(self.connections.remove(&connection)),
        }
    }

    fn open_mut(&mut self, connection: ConnectionId) -> &mut Connection {
        self.connections.get_mut(&connection).expect("an open connection")
    }

    /// Returns the ids of the open connections.
    pub fn connections(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().collect()
    }

    /// Returns whether a connection is open.
    pub fn is_open(&self, connection: ConnectionId) -> bool {
        self.connections.contains_key(&connection)
    }
}

/// Returns a full list in the format of discovery, in which some nodes have another state than ready.
pub fn list(revision: u64, changed: &[(usize, &str)]) -> Json {
    let state = |node| changed.iter().find(|(other, _)| *other == node).map_or("ready", |(_, state)| *state);
    let listed = (0..NODES).filter(|&node| state(node) != "gone");
    let members: Vec<Json> = listed.map(|node| endpoint_entry(node, REPLICA_SETS, state(node), 0)).collect();
    json!({"revision": revision, "complete": true, "members": members})
}

/// Returns an update of one node in the format of discovery.
pub fn change(revision: u64, node: usize, state: &str) -> Json {
    let member = endpoint_entry(node, REPLICA_SETS, state, 0);
    json!({"revision": revision, "complete": false, "members": [member]})
}

/// Returns a message as a line of a watch, with the fields in the order of the protocol.
pub fn line(message: &Json) -> String {
    let (revision, complete, members) = (&message["revision"], &message["complete"], &message["members"]);
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":{members}}}\n")
}

impl Simulation {
    fn report(&mut self, event: DiscoveryEvent) {
        self.control_plane.discovery_event(self.now, event);
        self.carry_out_effects();
    }

    /// Returns the connection that was opened last.
    pub fn newest_connection(&self) -> ConnectionId {
        self.discovery.newest.expect("a connection to discovery")
    }

    /// Reports a connection as established. Returns what the control plane has written on it.
    pub fn establish(&mut self, connection: ConnectionId) -> String {
        self.report(DiscoveryEvent::Established(connection));
        String::from_utf8_lossy(&self.discovery.open_mut(connection).written).into_owned()
    }

    /// Reports bytes on a connection in pieces of this length, until all have come or the connection is closed.
    pub fn send_bytes(&mut self, connection: ConnectionId, bytes: &[u8], piece_length: usize) {
        for piece in bytes.chunks(piece_length) {
            if !self.discovery.is_open(connection) {
                return;
            }
            let open = self.discovery.open_mut(connection);
            open.unconsumed.extend_from_slice(piece);
            let received = open.unconsumed.clone();
            self.report(DiscoveryEvent::Received { connection, bytes: &received });
        }
    }

    /// Sends a text as one chunk of a watch.
    pub fn send(&mut self, connection: ConnectionId, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.send_bytes(connection, chunk.as_bytes(), chunk.len());
    }

    /// Answers the newest connection with a watch that begins with this text, if any. Returns the connection.
    pub fn open_watch(&mut self, text: &str) -> ConnectionId {
        let watch = self.newest_connection();
        self.establish(watch);
        self.send_bytes(watch, WATCH_HEAD.as_bytes(), WATCH_HEAD.len());
        if !text.is_empty() {
            self.send(watch, text);
        }
        watch
    }

    /// Reports the end of a connection.
    pub fn end_connection(&mut self, connection: ConnectionId) {
        self.report(DiscoveryEvent::Ended(connection));
    }

    /// Advances the clock until another connection to discovery is opened. Returns the time that this takes.
    pub fn time_to_next_connection(&mut self) -> Micros {
        const MAX_WAIT: Micros = 20_000_000;
        const STEP: Micros = 1_000;
        let (opened, started) = (self.discovery.opened, self.now);
        while self.discovery.opened == opened {
            assert!(self.now < started + MAX_WAIT, "no further connection");
            self.advance(STEP);
        }
        self.now - started
    }
}
