//! The endpoints that discovery has listed: their addresses and states, and the connections to each.

use crate::io::ConnectionId;
use balancer::{Endpoint, EndpointState, Micros, NodeId};
use settings_schema::{EndpointEntry, IdInterner, NodeStart, StartTimes};
use std::net::SocketAddr;
use std::ops::{Index, IndexMut};

/// The most endpoints. Entries of further ones are skipped.
const MAX_ENDPOINTS: usize = 100_000;

/// The last listed state of a data node, and its connections.
#[derive(Clone, Debug, Default)]
pub struct EndpointRecord {
    /// The address on which the node listens; `None` if the listed address could not be parsed.
    pub address: Option<SocketAddr>,
    /// Whether the node is in the endpoint state ready, so that new attempts may be sent.
    pub ready: bool,
    /// The time since which the node is not ready; `None` while it is ready or was never listed.
    not_ready_since: Option<Micros>,
    /// The last entry of the node as reported to the balancer; `None` until an update has listed the node.
    reported: Option<Endpoint>,
    /// Whether the node counts as not ready only because a list that arrives slowly has not named it yet.
    unconfirmed: bool,
    /// The start time of the node's process; `None` until an endpoint update has listed the node.
    start: Option<NodeStart>,
    /// The number of the last update that listed the node.
    last_update: u64,
    /// Whether the balancer has released the node. Its id becomes free once no connection to it is left.
    released: bool,
    /// Whether a malformed frame on a connection to the node has been logged; further ones are only counted.
    pub malformed_frame_logged: bool,
    /// The connections to the node, in the order in which they were opened.
    pub connections: Vec<ConnectionId>,
}

impl EndpointRecord {
    /// Returns the start time of the node's process by the clock of this process; 0 if it started long ago.
    pub fn started_at(&self) -> Micros {
        self.start.map_or(0, |start| start.started_at())
    }

    /// Returns the time since which the node is not ready; `None` while it is ready or was never listed.
    pub fn not_ready_since(&self) -> Option<Micros> {
        self.not_ready_since
    }

    /// Sets whether the node is ready. Returns whether that is a change.
    fn set_ready(&mut self, now: Micros, ready: bool) -> bool {
        let changed = self.ready != ready;
        self.ready = ready;
        self.not_ready_since = if ready { None } else { self.not_ready_since.or(Some(now)) };
        changed
    }
}

/// The records of all endpoints, by node.
#[derive(Default)]
pub struct Endpoints {
    records: Vec<EndpointRecord>,
    ids: IdInterner<String>,
    start_times: StartTimes,
    update_number: u64,
    /// The revision of the last update that was applied; 0 before the first.
    revision: u64,
    /// The time of the last message of discovery that brought or confirmed the list; `None` before the first.
    confirmed_at: Option<Micros>,
}

impl Endpoints {
    /// Returns the revision of the last update that was applied; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records the revision of an update that is applied.
    pub fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Records that discovery has brought or confirmed the list at `now`.
    pub fn confirm(&mut self, now: Micros) {
        self.confirmed_at = Some(now);
    }

    /// Returns the milliseconds since discovery last brought or confirmed the list; `None` if it never did.
    pub fn list_age_ms(&self, now: Micros) -> Option<Micros> {
        self.confirmed_at.map(|at| (now - at) / 1000)
    }

    /// Returns whether an entry with this id can be stored.
    pub fn has_room_for(&self, id: &str) -> bool {
        self.ids.count() < MAX_ENDPOINTS || self.ids.find(id).is_some()
    }

    /// Returns the record of a node; `None` if there is none.
    pub fn get(&self, node: NodeId) -> Option<&EndpointRecord> {
        self.records.get(node.0)
    }

    /// Returns the id of a node in endpoint lists; `None` if it is free.
    pub fn id(&self, node: NodeId) -> Option<&str> {
        self.ids.key(node.0).map(String::as_str)
    }

    /// Starts an endpoint update.
    pub fn start_update(&mut self) {
        self.update_number += 1;
    }

    /// Stores an entry of the current update. Returns its node, which gets a new id if it has none.
    pub fn store(&mut self, now: Micros, entry: &EndpointEntry) -> NodeId {
        let index = self.ids.intern(entry.id.to_string());
        if self.records.len() <= index {
            self.records.resize(index + 1, EndpointRecord::default());
        }
        let record = &mut self.records[index];
        record.address = entry.address.parse().ok();
        if record.set_ready(now, entry.state == EndpointState::Ready) {
            tracing::debug!(node = index, id = %entry.id, state = ?entry.state, "endpoint state changed");
        }
        record.start = Some(self.start_times.convert(now, entry.reported_start, record.start));
        record.unconfirmed = false;
        record.last_update = self.update_number;
        record.released = false;
        NodeId(index)
    }

    /// Records the entry of a node as reported to the balancer.
    pub fn set_reported(&mut self, endpoint: Endpoint) {
        self[endpoint.node].reported = Some(endpoint);
    }

    /// Records that the current update lists a known node in this state, which is not ready, with an entry that is
    /// otherwise invalid. Returns the node as it is to be reported; `None` if no node has this id.
    pub fn withdraw(&mut self, now: Micros, id: &str, state: EndpointState) -> Option<Endpoint> {
        let index = self.ids.find(id)?;
        let record = &mut self.records[index];
        let withdrawn = Endpoint { state, ..record.reported? };
        record.set_ready(now, false);
        record.unconfirmed = false;
        record.last_update = self.update_number;
        record.reported = Some(withdrawn);
        Some(withdrawn)
    }

    /// Takes the ready nodes that the current update has not listed out of use until they are confirmed. Returns them
    /// as they are to be reported.
    pub fn suspend_unlisted(&mut self, now: Micros) -> Vec<Endpoint> {
        let update_number = self.update_number;
        let unlisted = self.records.iter_mut().filter(|record| record.ready);
        unlisted
            .filter(|record| record.last_update != update_number)
            .filter_map(|record| {
                record.set_ready(now, false);
                record.unconfirmed = true;
                record.reported.map(|endpoint| Endpoint { state: EndpointState::Draining, ..endpoint })
            })
            .collect()
    }

    /// Makes the suspended nodes ready again. Returns them as they are to be reported.
    pub fn resume_suspended(&mut self, now: Micros) -> Vec<Endpoint> {
        let suspended = self.records.iter_mut().filter(|record| record.unconfirmed);
        suspended
            .filter_map(|record| {
                record.set_ready(now, true);
                record.unconfirmed = false;
                record.reported
            })
            .collect()
    }

    /// Records the current time by the clock of discovery, to which reported start times refer.
    pub fn set_discovery_time(&mut self, now: Micros, discovery_time: Micros) {
        self.start_times.discovery_time_received(now, discovery_time);
    }

    /// Ends an update that was received from discovery, as opposed to the cached list.
    pub fn finish_received_update(&mut self, now: Micros) {
        self.start_times.list_received(now);
    }

    /// Ends a full update: endpoints that it does not list are no longer ready.
    pub fn finish_full_update(&mut self, now: Micros) {
        for (node, record) in self.records.iter_mut().enumerate() {
            record.unconfirmed = false;
            if record.set_ready(now, record.ready && record.last_update == self.update_number) {
                tracing::debug!(node, "endpoint no longer listed");
            }
        }
    }

    /// Returns the number of records, including those of free ids.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the node with this id in endpoint lists is ready; false if there is none.
    pub fn is_ready(&self, id: &str) -> bool {
        self.ids.find(id).is_some_and(|index| self.records[index].ready)
    }

    /// Returns the number of ready endpoints.
    pub fn ready_count(&self) -> usize {
        self.records.iter().filter(|record| record.ready).count()
    }

    /// Records that the balancer no longer refers to the node.
    pub fn release(&mut self, node: NodeId) {
        self[node].released = true;
    }

    /// Frees the id of a node if the balancer has released it and no connection to it is left.
    pub fn free_if_unused(&mut self, node: NodeId) {
        if self[node].released && self[node].connections.is_empty() {
            self[node] = EndpointRecord::default();
            self.ids.release(node.0);
        }
    }

    /// Returns all records in the order of their nodes.
    #[cfg(test)]
    pub fn records(&self) -> &[EndpointRecord] {
        &self.records
    }

    /// Returns the number of ids in use.
    pub fn id_count(&self) -> usize {
        self.ids.count()
    }
}

impl Index<NodeId> for Endpoints {
    type Output = EndpointRecord;

    fn index(&self, node: NodeId) -> &EndpointRecord {
        &self.records[node.0]
    }
}

impl IndexMut<NodeId> for Endpoints {
    fn index_mut(&mut self, node: NodeId) -> &mut EndpointRecord {
        &mut self.records[node.0]
    }
}
