//! The data nodes: the endpoint list as discovery tells it, and the balancer that says how healthy each node
//! is.
//!
//! The table decides nothing itself. The balancer runs here as it runs in a router.

use crate::site_settings::SiteSettings;
use balancer::{
    Actions, Balancer, Completion, Endpoint, EndpointHealth, EndpointUpdate, Events, LoadReport, Micros,
    NodeId, QueryId, ShardRequestId,
};
use query_router::config::Config;
use serde_json::Value as Json;
use settings_schema::{EndpointEntry, IdInterner, NodeStart, StartTimes};
use std::net::SocketAddr;

/// Nodes that the table holds; entries beyond them are skipped.
const MAX_NODES: usize = 100_000;

/// What a control plane without endpoints from discovery may hand out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EndpointSource {
    /// No list has named a node yet.
    None,
    /// The nodes come from the configuration.
    Cached,
    /// The nodes come from discovery.
    Discovery,
}

/// Whether the balancer asked for a new watch of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum WatchRequest {
    #[default]
    NotRequested,
    Requested,
}

/// What the balancer requested while it took in an update or decided.
#[derive(Debug, Default)]
pub(crate) struct RequestedActions {
    pub watch: WatchRequest,
    pub log_lines: Vec<String>,
    released: Vec<NodeId>,
}

/// Queries are not sent here, so actions about them are ignored.
impl Actions for RequestedActions {
    fn send_attempt(&mut self, _shard_request: ShardRequestId, _node: NodeId, _timeout: Option<Micros>) {}
    fn complete_query(&mut self, _query: QueryId, _completion: Completion) {}
    fn release_node(&mut self, node: NodeId) {
        self.released.push(node);
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

#[derive(Clone, Debug, Default)]
struct EndpointRecord {
    /// `None` if the entry's address cannot be read.
    address: Option<SocketAddr>,
    zone: usize,
    replica_set: usize,
    start: Option<NodeStart>,
}

/// A listed node with an address, and how healthy it is.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointView<'a> {
    pub node: NodeId,
    pub id: &'a str,
    pub address: SocketAddr,
    pub zone: usize,
    pub replica_set: usize,
    pub health: EndpointHealth,
}

/// The listed data nodes.
pub(crate) struct EndpointTable {
    balancer: Balancer,
    ids: IdInterner<String>,
    records: Vec<EndpointRecord>,
    source: EndpointSource,
    unusable_entries: u64,
    start_times: StartTimes,
}

impl EndpointTable {
    /// An empty table.
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

    /// Takes in an endpoint list in discovery's form, or the news that there is none.
    pub fn update(
        &mut self, now: Micros, site: &SiteSettings, list: &Json, update: EndpointUpdate,
        actions: &mut RequestedActions,
    ) {
        self.balancer.endpoint_update_started(now, update);
        for entry in list["members"].as_array().map_or(&[][..], Vec::as_slice) {
            match self.usable(entry) {
                Some(entry) => self.update_entry(now, site, &entry, update),
                None => self.unusable_entries += 1,
            }
        }
        if matches!(update, EndpointUpdate::Full | EndpointUpdate::Incremental) {
            self.start_times.list_received(now);
        }
        self.balancer.endpoint_update_finished(now, actions);
    }

    /// The entry, if it can be read and there is place for its node.
    fn usable<'a>(&self, entry: &'a Json) -> Option<EndpointEntry<'a>> {
        let has_place = self.ids.count() < MAX_NODES;
        EndpointEntry::parse(entry).filter(|entry| has_place || self.ids.find(entry.id).is_some())
    }

    fn update_entry(
        &mut self, now: Micros, site: &SiteSettings, entry: &EndpointEntry, update: EndpointUpdate,
    ) {
        let index = self.ids.intern(entry.id.to_string());
        if self.records.len() <= index {
            self.records.resize(index + 1, EndpointRecord::default());
        }
        let (zone, address) = (site.zone_index(entry.zone), entry.address.parse().ok());
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

    /// Tells the balancer what proxies observed at a node.
    pub fn report_load(&mut self, now: Micros, node: NodeId, report: &LoadReport) {
        self.balancer.load_reported(now, node, report);
    }

    /// Lets the balancer decide.
    pub fn decide(&mut self, now: Micros, actions: &mut RequestedActions) {
        self.balancer.decide(now, actions);
        for node in std::mem::take(&mut actions.released) {
            self.ids.release(node.0);
            self.records[node.0] = EndpointRecord::default();
        }
    }

    /// All listed nodes with an address, by id.
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

    /// The fraction of new queries for these nodes that a router would reject.
    pub fn shed_fraction(&self, now: Micros, nodes: &[NodeId]) -> f64 {
        self.balancer.shed_fraction(now, nodes)
    }

    /// The node at an address.
    pub fn find(&self, address: &SocketAddr) -> Option<NodeId> {
        self.records.iter().position(|record| record.address.as_ref() == Some(address)).map(NodeId)
    }

    /// All nodes with an address.
    pub fn addresses(&self) -> impl Iterator<Item = (SocketAddr, NodeId)> + '_ {
        let addresses = self.records.iter().enumerate();
        addresses.filter_map(|(index, record)| Some((record.address?, NodeId(index))))
    }

    /// The number of nodes.
    pub fn count(&self) -> usize {
        self.ids.count()
    }

    /// Where the nodes come from.
    pub fn source(&self) -> EndpointSource {
        self.source
    }

    /// The number of entries that could not be used so far.
    pub fn unusable_entries(&self) -> u64 {
        self.unusable_entries
    }
}
