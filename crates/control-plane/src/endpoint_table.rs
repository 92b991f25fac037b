//! The endpoint table: the data nodes that discovery has listed, and the balancer that determines their health.
//!
//! The balancer is the same as in a router; the table itself makes no decisions.

use crate::deployment_settings::DeploymentSettings;
use balancer::{
    Actions, Balancer, Completion, Endpoint, EndpointHealth, EndpointUpdate, Events, LoadReport, Micros,
    NodeId, QueryId, ShardRequestId,
};
use query_router::config::Config;
use serde_json::Value as Json;
use settings_schema::{EndpointEntry, IdInterner, NodeStart, StartTimes};
use std::net::SocketAddr;

/// Maximum number of nodes in the table. Entries of further nodes are skipped and counted as unusable.
const MAX_NODES: usize = 100_000;

/// Source of the nodes in the table; a later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EndpointSource {
    /// No endpoint list has contained a usable entry yet.
    None,
    /// The nodes come from the cached endpoints in the configuration.
    Cached,
    /// At least one node has come from discovery.
    Discovery,
}

/// Whether the balancer requested a new watch of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum WatchRequest {
    #[default]
    NotRequested,
    Requested,
}

/// Actions that the balancer requested during an endpoint update or a decision.
#[derive(Debug, Default)]
pub(crate) struct RequestedActions {
    pub watch: WatchRequest,
    pub log_lines: Vec<String>,
    released_nodes: Vec<NodeId>,
}

/// The control plane routes no queries, so actions on queries and attempts are ignored.
impl Actions for RequestedActions {
    fn send_attempt(&mut self, _shard_request: ShardRequestId, _node: NodeId, _timeout: Option<Micros>) {}
    fn complete_query(&mut self, _query: QueryId, _completion: Completion) {}
    fn release_node(&mut self, node: NodeId) {
        self.released_nodes.push(node);
    }
    fn watch_endpoints(&mut self, enabled: bool) {
        if enabled {
            self.watch = WatchRequest::Requested;
        }
    }
    fn log(&mut self, line: &str) {
        self.log_lines.push(line.to_string());
    }
}

/// The last entry of a node; the default for an identifier without a node.
#[derive(Clone, Debug, Default)]
struct EndpointRecord {
    /// `None` if the address of the entry cannot be parsed.
    address: Option<SocketAddr>,
    zone: usize,
    replica_set: usize,
    start: Option<NodeStart>,
}

/// A node with a valid address, and its health.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointView<'a> {
    pub node: NodeId,
    pub id: &'a str,
    pub address: SocketAddr,
    pub zone: usize,
    pub replica_set: usize,
    pub health: EndpointHealth,
}

/// The data nodes that discovery or the configuration has listed.
pub(crate) struct EndpointTable {
    balancer: Balancer,
    ids: IdInterner<String>,
    /// By node ID.
    records: Vec<EndpointRecord>,
    source: EndpointSource,
    unusable_entries: u64,
    start_times: StartTimes,
}

impl EndpointTable {
    /// Creates a table without nodes.
    pub fn new(config: &Config) -> EndpointTable {
        EndpointTable {
            balancer: Balancer::new(config.seed, config.settings.clone()),
            ids: IdInterner::default(),
            records: Vec::new(),
            source: EndpointSource::None,
            unusable_entries: 0,
            start_times: StartTimes::default(),
        }
    }

    /// Applies an endpoint update. `list` has the JSON format of discovery; null if the update failed or nothing has
    /// changed since the requested revision.
    pub fn update(
        &mut self, now: Micros, deployment: &DeploymentSettings, list: &Json, update: EndpointUpdate,
        actions: &mut RequestedActions,
    ) {
        self.balancer.endpoint_update_started(now, update);
        for entry in list["members"].as_array().map_or(&[][..], Vec::as_slice) {
            match self.parse_entry(entry) {
                Some(entry) => self.update_entry(now, deployment, &entry, update),
                None => self.unusable_entries += 1,
            }
        }
        if matches!(update, EndpointUpdate::Full | EndpointUpdate::Incremental) {
            self.start_times.list_received(now);
        }
        self.balancer.endpoint_update_finished(now, actions);
    }

    /// Discards what failures at a former address of discovery have delayed.
    pub fn discovery_address_changed(&mut self, now: Micros) {
        self.balancer.discovery_address_changed(now);
    }

    /// Parses an entry. Returns `None` if the entry is invalid, or its node is new and the table is full.
    fn parse_entry<'a>(&self, entry: &'a Json) -> Option<EndpointEntry<'a>> {
        let has_room = self.ids.count() < MAX_NODES;
        EndpointEntry::parse(entry).filter(|entry| has_room || self.ids.find(entry.id).is_some())
    }

    fn update_entry(
        &mut self, now: Micros, deployment: &DeploymentSettings, entry: &EndpointEntry,
        update: EndpointUpdate,
    ) {
        let index = self.ids.intern(entry.id.to_string());
        if self.records.len() <= index {
            self.records.resize(index + 1, EndpointRecord::default());
        }
        let (zone, address) = (deployment.zone_index(entry.zone), entry.address.parse().ok());
        self.unusable_entries += address.is_none() as u64;
        let start = self.start_times.convert(now, entry.reported_start, self.records[index].start);
        let replica_set = entry.replica_set;
        self.records[index] = EndpointRecord { address, zone, replica_set, start: Some(start) };
        let endpoint = Endpoint {
            node: NodeId(index),
            zone,
            replica_set: entry.replica_set,
            state: entry.state,
            scale: entry.scale,
            started_at: start.started_at(),
        };
        self.balancer.endpoint_listed(now, &endpoint);
        let source = match update {
            EndpointUpdate::Cached => EndpointSource::Cached,
            _ => EndpointSource::Discovery,
        };
        self.source = self.source.max(source);
    }

    /// Passes a load report on a node to the balancer.
    pub fn report_load(&mut self, now: Micros, node: NodeId, report: &LoadReport) {
        self.balancer.load_reported(now, node, report);
    }

    /// Runs a decision of the balancer and removes the nodes that it releases.
    pub fn decide(&mut self, now: Micros, actions: &mut RequestedActions) {
        self.balancer.decide(now, actions);
        for node in std::mem::take(&mut actions.released_nodes) {
            self.ids.release(node.0);
            self.records[node.0] = EndpointRecord::default();
        }
    }

    /// Returns all nodes with a valid address that are not removed, ordered by ID.
    pub fn views(&self, now: Micros) -> Vec<EndpointView<'_>> {
        let mut views: Vec<EndpointView> =
            (0..self.records.len()).filter_map(|index| self.view(now, NodeId(index))).collect();
        views.sort_by(|a, b| a.id.cmp(b.id));
        views
    }

    fn view(&self, now: Micros, node: NodeId) -> Option<EndpointView<'_>> {
        let record = self.records.get(node.0)?;
        let (id, address) = (self.ids.key(node.0)?, record.address?);
        let health = self.balancer.endpoint_health(now, node);
        let (zone, replica_set) = (record.zone, record.replica_set);
        let view = EndpointView { node, id, address, zone, replica_set, health };
        (health != EndpointHealth::Removed).then_some(view)
    }

    /// Returns the fraction (0 to 1) of new requests to these nodes that proxies must shed, as the balancer computes it.
    pub fn shed_fraction(&self, now: Micros, nodes: &[NodeId]) -> f64 {
        self.balancer.shed_fraction(now, nodes)
    }

    /// Returns the node with this address. Searches the table linearly.
    pub fn find(&self, address: &SocketAddr) -> Option<NodeId> {
        self.records.iter().position(|record| record.address.as_ref() == Some(address)).map(NodeId)
    }

    /// Returns all nodes with a valid address.
    pub fn addresses(&self) -> impl Iterator<Item = (SocketAddr, NodeId)> + '_ {
        let addresses = self.records.iter().enumerate();
        addresses.filter_map(|(index, record)| Some((record.address?, NodeId(index))))
    }

    /// Returns the number of nodes, including those without a valid address.
    pub fn count(&self) -> usize {
        self.ids.count()
    }

    /// Returns the source of the nodes.
    pub fn source(&self) -> EndpointSource {
        self.source
    }

    /// Returns the number of entries so far that were skipped or had an invalid address.
    pub fn unusable_entries(&self) -> u64 {
        self.unusable_entries
    }
}
