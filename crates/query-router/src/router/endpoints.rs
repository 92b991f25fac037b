//! The endpoints that discovery has listed: their addresses and states, and the connections to each.

use crate::io::ConnectionId;
use balancer::{EndpointState, Micros, NodeId};
use settings_schema::{EndpointEntry, IdInterner, NodeStart, StartTimes};
use std::net::SocketAddr;
use std::ops::{Index, IndexMut};

/// What is known of a data node.
#[derive(Clone, Debug, Default)]
pub struct EndpointRecord {
    /// Where it listens, if the address could be parsed.
    pub address: Option<SocketAddr>,
    /// Whether new attempts may be sent to it.
    pub ready: bool,
    /// When its process started; `None` until an endpoint update has named it.
    start: Option<NodeStart>,
    /// The number of the last update that listed it.
    last_update: u64,
    /// Whether the balancer has released it: its id becomes free once no connection is left.
    released: bool,
    /// Whether a malformed frame on one of its connections was logged.
    pub malformed_frame_logged: bool,
    /// The connections to it.
    pub connections: Vec<ConnectionId>,
}

impl EndpointRecord {
    /// When its process started by the clock of this process, 0 for long ago.
    pub fn started_at(&self) -> Micros {
        self.start.map_or(0, |start| start.started_at())
    }
}

/// All endpoints by node.
#[derive(Default)]
pub struct Endpoints {
    records: Vec<EndpointRecord>,
    ids: IdInterner<String>,
    start_times: StartTimes,
    updates: u64,
}

impl Endpoints {
    /// Begins an update of the list.
    pub fn start_update(&mut self) {
        self.updates += 1;
    }

    /// Stores an entry of the update; returns its node, a new one if discovery has not named it before.
    pub fn store(&mut self, now: Micros, entry: &EndpointEntry) -> NodeId {
        let index = self.ids.intern(entry.id.to_string());
        if self.records.len() <= index {
            self.records.resize(index + 1, EndpointRecord::default());
        }
        let record = &mut self.records[index];
        record.address = entry.address.parse().ok();
        record.ready = entry.state == EndpointState::Ready;
        record.start = Some(self.start_times.convert(now, entry.reported_start, record.start));
        record.last_update = self.updates;
        record.released = false;
        NodeId(index)
    }

    /// Notes the time that discovery states.
    pub fn time_stated(&mut self, now: Micros, stated: Micros) {
        self.start_times.time_stated(now, stated);
    }

    /// Ends an update that discovery has sent.
    pub fn finish_received_update(&mut self, now: Micros) {
        self.start_times.list_received(now);
    }

    /// Ends an update that names all endpoints: the others are not ready any more.
    pub fn finish_full_update(&mut self) {
        for record in &mut self.records {
            record.ready &= record.last_update == self.updates;
        }
    }

    /// The number of records, those of free ids included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// How many endpoints are ready.
    pub fn ready_count(&self) -> usize {
        self.records.iter().filter(|record| record.ready).count()
    }

    /// Notes that the balancer does not refer to this node any more.
    pub fn release(&mut self, node: NodeId) {
        self[node].released = true;
    }

    /// Frees the id of a node to which neither the balancer nor a connection refers.
    pub fn free_if_unused(&mut self, node: NodeId) {
        if self[node].released && self[node].connections.is_empty() {
            self[node] = EndpointRecord::default();
            self.ids.release(node.0);
        }
    }

    /// All records in the order of their nodes.
    #[cfg(test)]
    pub fn records(&self) -> &[EndpointRecord] {
        &self.records
    }

    /// How many nodes have ids.
    #[cfg(test)]
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
