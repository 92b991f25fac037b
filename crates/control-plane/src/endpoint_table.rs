//! The endpoint table: the client of discovery, the data nodes that it has listed, and the balancer that determines
//! their health.
//!
//! The client and the balancer are the same as in a router; the table itself makes no decisions.

use balancer::{
    Actions, Balancer, Completion, Endpoint, EndpointHealth, EndpointUpdate, Events, LoadReport, Micros,
    NodeId, QueryId, ShardRequestId,
};
use query_router::config::Config;
use query_router::discovery::{DiscoveryClient, DiscoveryEffect, DiscoveryEvent, EndpointReport};
use serde_json::Value as Json;
use std::net::SocketAddr;

/// Source of the nodes in the table; a later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EndpointSource {
    /// No endpoint list has contained a usable entry yet.
    None,
    /// The nodes may be outdated: discovery has not sent the full list yet.
    Provisional,
    /// Discovery has sent the full list, with at least one node.
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

/// How many endpoint updates were applied, and how many requests to discovery have failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct UpdateCounts {
    pub applied: u64,
    pub failed: u64,
}

/// The data nodes that discovery or the configuration has listed.
pub(crate) struct EndpointTable {
    balancer: Balancer,
    client: DiscoveryClient,
    /// The last entry of each node, by node ID; `None` for an ID without a node.
    endpoints: Vec<Option<Endpoint>>,
    source: EndpointSource,
}

impl EndpointTable {
    /// Creates a table without nodes, and starts to watch discovery.
    pub fn new(now: Micros, config: &Config) -> EndpointTable {
        let mut client = DiscoveryClient::new(config, now);
        client.ensure_watch(now);
        EndpointTable {
            balancer: Balancer::new(config.seed, config.settings.clone()),
            client,
            endpoints: Vec::new(),
            source: EndpointSource::None,
        }
    }

    /// Loads an endpoint list in the JSON format of discovery.
    pub fn load(&mut self, now: Micros, list: &Json, update: EndpointUpdate) {
        self.client.load(now, list, update);
    }

    /// Passes an event to the client of discovery.
    pub fn discovery_event(&mut self, now: Micros, event: DiscoveryEvent) {
        self.client.handle(now, event);
    }

    /// Starts a watch of discovery if none is open.
    pub fn ensure_watch(&mut self, now: Micros) {
        self.client.ensure_watch(now);
    }

    /// Changes the address of discovery, and discards what failures at the former one have delayed.
    pub fn set_discovery_address(&mut self, now: Micros, address: SocketAddr) {
        if self.client.set_address(now, address) {
            self.balancer.discovery_address_changed(now);
        }
    }

    /// Returns the effects that the client of discovery has requested since the last call.
    pub fn take_effects(&mut self) -> Vec<DiscoveryEffect> {
        self.client.take_effects()
    }

    /// Returns the time at which the client of discovery expects the event of its timer; `None` if no timer is set.
    pub fn next_discovery_timer_at(&self) -> Option<Micros> {
        self.client.next_timer_at()
    }

    /// Passes the endpoint updates that the client of discovery has to the balancer.
    pub fn apply_updates(&mut self, now: Micros, actions: &mut RequestedActions) -> UpdateCounts {
        let mut counts = UpdateCounts::default();
        while let Some(report) = self.client.next_report() {
            match report.update {
                EndpointUpdate::Failed => counts.failed += 1,
                _ => counts.applied += 1,
            }
            self.apply_report(now, &report, actions);
        }
        counts
    }

    fn apply_report(&mut self, now: Micros, report: &EndpointReport, actions: &mut RequestedActions) {
        self.balancer.endpoint_update_started(now, report.update);
        for endpoint in &report.endpoints {
            self.balancer.endpoint_listed(now, endpoint);
            let index = endpoint.node.0;
            if self.endpoints.len() <= index {
                self.endpoints.resize(index + 1, None);
            }
            self.endpoints[index] = Some(*endpoint);
        }
        self.balancer.endpoint_update_finished(now, actions);
        if !report.endpoints.is_empty() {
            let source = match report.update {
                EndpointUpdate::Full => EndpointSource::Discovery,
                _ => EndpointSource::Provisional,
            };
            self.source = self.source.max(source);
        }
    }

    /// Returns whether proxies may be sent resources that are derived from the table. They may not before a list has
    /// named a node, nor while the balancer waits for the full list: proxies may know a newer one.
    pub fn is_usable(&self) -> bool {
        self.source != EndpointSource::None && !self.balancer.awaits_endpoint_list()
    }

    /// Passes a load report on a node to the balancer.
    pub fn report_load(&mut self, now: Micros, node: NodeId, report: &LoadReport) {
        self.balancer.load_reported(now, node, report);
    }

    /// Runs a decision of the balancer and removes the nodes that it releases.
    pub fn decide(&mut self, now: Micros, actions: &mut RequestedActions) {
        self.balancer.decide(now, actions);
        for node in std::mem::take(&mut actions.released_nodes) {
            self.client.release(node);
            self.endpoints[node.0] = None;
        }
    }

    /// Returns all nodes with a valid address that are not removed, ordered by ID.
    pub fn views(&self, now: Micros) -> Vec<EndpointView<'_>> {
        let mut views: Vec<EndpointView> =
            (0..self.endpoints.len()).filter_map(|index| self.view(now, NodeId(index))).collect();
        views.sort_by(|a, b| a.id.cmp(b.id));
        views
    }

    fn view(&self, now: Micros, node: NodeId) -> Option<EndpointView<'_>> {
        let Endpoint { zone, replica_set, .. } = (*self.endpoints.get(node.0)?)?;
        let (id, address) = (self.client.endpoint_id(node)?, self.client.endpoint_address(node)?);
        let health = self.balancer.endpoint_health(now, node);
        let view = EndpointView { node, id, address, zone, replica_set, health };
        (health != EndpointHealth::Removed).then_some(view)
    }

    /// Returns the fraction (0 to 1) of new requests to these nodes that proxies must shed, as the balancer computes it.
    pub fn shed_fraction(&self, now: Micros, nodes: &[NodeId]) -> f64 {
        self.balancer.shed_fraction(now, nodes)
    }

    /// Returns the node with this address. Searches the table linearly.
    pub fn find(&self, address: &SocketAddr) -> Option<NodeId> {
        self.addresses().find(|(other, _)| other == address).map(|(_, node)| node)
    }

    /// Returns all nodes with a valid address.
    pub fn addresses(&self) -> impl Iterator<Item = (SocketAddr, NodeId)> + '_ {
        let nodes = (0..self.endpoints.len()).map(NodeId);
        nodes.filter_map(|node| Some((self.client.endpoint_address(node)?, node)))
    }

    /// Returns the number of nodes, including those without a valid address.
    pub fn count(&self) -> usize {
        self.client.endpoint_count()
    }

    /// Returns the source of the nodes.
    pub fn source(&self) -> EndpointSource {
        self.source
    }

    /// Returns the number of entries so far that were skipped or had an invalid address.
    pub fn unusable_entries(&self) -> u64 {
        self.client.unusable_entries()
    }
}
