//! A simulation of the control plane's state machine and its proxies on a simulated clock. Each response reaches its
//! proxy after the latency of that proxy. Invariants are checked after each step.

use crate::discovery_peer::DiscoveryPeer;
use crate::support::{ZONES, address, config, endpoint_entry, node_id, options};
use balancer::{EndpointUpdate, Micros};
use control_plane::{
    AuthorizedNames, ControlPlane, DeltaRequest, DiscoveryEvent, Effect, ProtocolVariant, ProxyNode,
    Resource, Response, ResponseKind, Service, StateOfTheWorldRequest, StreamId, TICK_INTERVAL,
};
use query_router::config::Config;
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, VecDeque};
use test_servers::{DiscoveryRequest, DiscoveryResponse, ReceivedResource, Script, XdsClient};
use xds_api::pb::google::protobuf::Any;

/// Time at which simulations start.
pub const START: Micros = 1_000_000_000_000;
pub const SECOND: Micros = 1_000_000;
/// Upper bound of the latency of a proxy plus a tick interval.
const MAX_LATENCY: Micros = 2_100_000;
/// Maximum number of received responses that the message of a failed check lists.
const MAX_SHOWN_RESPONSES: usize = 12;

/// A response in transit to a proxy.
struct Delivery {
    arrives_at: Micros,
    response: Response,
}

/// A simulated proxy.
pub struct SimulatedProxy {
    pub xds_client: XdsClient,
    /// Time that a response takes to reach the proxy.
    pub latency: Micros,
    /// The discovery stream; `None` while the proxy is disconnected.
    pub stream: Option<StreamId>,
    /// Responses in transit, in order of arrival.
    in_transit: VecDeque<Delivery>,
    /// Time at which the last stream was opened.
    connected_at: Micros,
    /// Number of responses still to be received before the stream breaks; 0 once it has broken, `None` if it does
    /// not break.
    pub disconnect_after: Option<usize>,
    /// Status code and message of each stream that the control plane closed.
    pub statuses: Vec<String>,
}

/// The highest total of the grants of a constrained node.
#[derive(Clone, Copy, Default)]
pub struct PeakGrant {
    /// Number of concurrent requests granted to all proxies together.
    pub granted: u64,
    /// Capacity of the node at that time, in concurrent requests.
    pub capacity: u32,
}

/// A change of the capacity of a constrained node.
struct CapacityChange {
    at: Micros,
    capacity: u32,
}

/// A control plane, its discovery and its proxies on a simulated clock.
pub struct Simulation {
    pub now: Micros,
    pub control_plane: ControlPlane,
    pub proxies: Vec<SimulatedProxy>,
    replica_sets: usize,
    /// Entries of the endpoint list by node ID.
    pub entries: BTreeMap<String, Json>,
    /// Discovery, which answers nothing by itself.
    pub discovery: DiscoveryPeer,
    /// Revision of the last endpoint list or update.
    revision: u64,
    last_stream_id: u64,
    /// Time of the last tick of the control plane.
    ticked_at: Micros,
    /// Peak grants by name of the constrained node's cluster.
    pub peak_grants: BTreeMap<String, PeakGrant>,
    /// Time at which the control plane received the drain or removal of each node that must get no new requests.
    drained_since: BTreeMap<usize, Micros>,
    /// Latest capacities by name of the constrained node's cluster, oldest first. Grants may exceed a lowered capacity
    /// until the slowest proxy has received its lower grant.
    recent_capacities: BTreeMap<String, VecDeque<CapacityChange>>,
}

impl Simulation {
    /// Creates a control plane with `nodes` ready nodes and no proxies. `option_lines` are lines of section
    /// `[control]`.
    pub fn new(
        nodes: usize, replica_sets: usize, replica_sets_per_shard: usize, option_lines: &str,
    ) -> Simulation {
        let config = config(replica_sets, replica_sets_per_shard, Vec::new());
        let mut simulation = Simulation::with_config(&config, replica_sets, option_lines);
        let entry = |node| (node_id(node), endpoint_entry(node, replica_sets, "ready", 0));
        simulation.entries = (0..nodes).map(entry).collect();
        simulation.send_full_list();
        simulation
    }

    /// Creates a control plane with this configuration, to which discovery has sent nothing, and no proxies.
    pub fn with_config(config: &Config, replica_sets: usize, option_lines: &str) -> Simulation {
        let mut simulation = Simulation {
            now: START,
            control_plane: ControlPlane::new(START, config, options(option_lines)),
            proxies: Vec::new(),
            replica_sets,
            entries: BTreeMap::new(),
            discovery: DiscoveryPeer::default(),
            revision: 1,
            last_stream_id: 0,
            ticked_at: START,
            peak_grants: BTreeMap::new(),
            drained_since: BTreeMap::new(),
            recent_capacities: BTreeMap::new(),
        };
        simulation.carry_out_effects();
        simulation
    }

    /// Passes the full endpoint list to the control plane.
    pub fn send_full_list(&mut self) {
        let members: Vec<&Json> = self.entries.values().collect();
        self.revision += 1;
        let list = json!({"revision": self.revision, "complete": true, "members": members});
        self.control_plane.endpoint_update(self.now, &list, EndpointUpdate::Full);
        self.carry_out_effects();
    }

    /// Ends the connections to discovery, as if it could not be reached.
    pub fn fail_discovery(&mut self) {
        for connection in self.discovery.connections() {
            self.end_connection(connection);
        }
    }

    /// Passes an incremental endpoint update to the control plane. Each change consists of the node, its state and its
    /// start time; state `gone` removes the node from the list.
    pub fn update_endpoints(&mut self, changes: &[(usize, &str, Micros)]) {
        let changed = |&(node, state, started_at): &(usize, &str, Micros)| {
            endpoint_entry(node, self.replica_sets, state, started_at)
        };
        let entries: Vec<Json> = changes.iter().map(changed).collect();
        for (&(node, state, _), entry) in changes.iter().zip(&entries) {
            match state {
                "ready" => drop(self.drained_since.remove(&node)),
                _ => drop(self.drained_since.entry(node).or_insert(self.now)),
            }
            match state {
                "gone" => drop(self.entries.remove(&node_id(node))),
                _ => drop(self.entries.insert(node_id(node), entry.clone())),
            }
        }
        self.revision += 1;
        let list = json!({"revision": self.revision, "complete": false, "members": entries});
        self.control_plane.endpoint_update(self.now, &list, EndpointUpdate::Incremental);
        self.carry_out_effects();
    }

    /// Adds a proxy that accepts all responses, and connects it. Returns its index.
    pub fn add_proxy(&mut self, delta: bool, latency: Micros) -> usize {
        let index = self.proxies.len();
        let script = Script::new(&format!("p{index:04}"), ZONES[index % ZONES.len()], delta);
        self.add_scripted_proxy(script, latency)
    }

    /// Adds a proxy that behaves as the script specifies, and connects it. Returns its index.
    pub fn add_scripted_proxy(&mut self, script: Script, latency: Micros) -> usize {
        let index = self.proxies.len();
        self.proxies.push(SimulatedProxy {
            xds_client: XdsClient::new(script),
            latency,
            stream: None,
            in_transit: VecDeque::new(),
            connected_at: self.now,
            disconnect_after: None,
            statuses: Vec::new(),
        });
        self.connect(index);
        index
    }

    /// Opens a stream of a proxy, on which the proxy names the resource versions that it has.
    pub fn connect(&mut self, index: usize) {
        self.last_stream_id += 1;
        let stream = StreamId(self.last_stream_id);
        let proxy = &mut self.proxies[index];
        (proxy.stream, proxy.disconnect_after, proxy.connected_at) = (Some(stream), None, self.now);
        proxy.in_transit.clear();
        let delta = proxy.xds_client.script.delta;
        let variant = if delta { ProtocolVariant::Delta } else { ProtocolVariant::StateOfTheWorld };
        let service = Service::Discovery(variant);
        self.control_plane.stream_opened(self.now, stream, service, AuthorizedNames::Any);
        let requests = proxy.xds_client.open();
        self.send_requests(index, requests);
    }

    /// Connects all disconnected proxies.
    pub fn connect_all(&mut self) {
        for index in self.disconnected() {
            self.connect(index);
        }
    }

    /// Returns the indexes of the proxies without a stream.
    pub fn disconnected(&self) -> Vec<usize> {
        (0..self.proxies.len()).filter(|&index| self.proxies[index].stream.is_none()).collect()
    }

    /// Breaks the stream of a proxy. Responses in transit are lost.
    pub fn disconnect(&mut self, index: usize) {
        if let Some(stream) = self.proxies[index].stream.take() {
            self.proxies[index].in_transit.clear();
            self.control_plane.stream_closed(self.now, stream);
        }
        self.carry_out_effects();
    }

    /// Replaces the control plane without closing its streams first, and connects all proxies to the new one.
    pub fn replace_control_plane(&mut self, control_plane: ControlPlane) {
        self.control_plane = control_plane;
        self.discovery = DiscoveryPeer::default();
        self.carry_out_effects();
        for index in 0..self.proxies.len() {
            self.proxies[index].stream = None;
            self.connect(index);
        }
    }

    fn send_requests(&mut self, index: usize, requests: Vec<DiscoveryRequest>) {
        let script = self.proxies[index].xds_client.script.clone();
        let node = Some(ProxyNode { id: &script.id, zone: &script.zone });
        for discovery_request in requests {
            let Some(stream) = self.proxies[index].stream else { return };
            if script.delta {
                self.control_plane.delta_request(self.now, stream, node, delta_request(discovery_request));
            } else {
                let request = state_of_the_world_request(discovery_request);
                self.control_plane.state_of_the_world_request(self.now, stream, node, request);
            }
            self.carry_out_effects();
        }
    }

    pub fn carry_out_effects(&mut self) {
        for effect in self.control_plane.take_effects() {
            match effect {
                Effect::Respond { stream, response } => {
                    let now = self.now;
                    if let Some(proxy) = self.proxy_with_stream(stream) {
                        let arrives_at = now + proxy.latency;
                        proxy.in_transit.push_back(Delivery { arrives_at, response });
                    }
                }
                Effect::CloseStream { stream, error } => {
                    if let Some(proxy) = self.proxy_with_stream(stream) {
                        proxy.stream = None;
                        proxy.in_transit.clear();
                        proxy.statuses.push(format!("{:?}: {error}", error.code()));
                    }
                }
                Effect::Discovery(effect) => self.discovery.carry_out(effect),
                Effect::RequestLoadReports(_) | Effect::ProbeNode(_) => {}
            }
        }
    }

    fn proxy_with_stream(&mut self, stream: StreamId) -> Option<&mut SimulatedProxy> {
        self.proxies.iter_mut().find(|proxy| proxy.stream == Some(stream))
    }

    /// Advances the clock. Responses are delivered in order of arrival, and the control plane ticks at its interval.
    pub fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        loop {
            let deliveries = self.proxies.iter().filter_map(|proxy| proxy.in_transit.front());
            let next_arrival = deliveries.map(|delivery| delivery.arrives_at).min();
            let next_tick = self.ticked_at + TICK_INTERVAL;
            let timer = self.control_plane.next_discovery_timer_at().unwrap_or(Micros::MAX);
            let next = next_arrival.unwrap_or(Micros::MAX).min(next_tick).min(timer);
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if timer == next && timer < next_tick {
                self.control_plane.discovery_event(self.now, DiscoveryEvent::TimerExpired);
                self.carry_out_effects();
            } else if next_arrival.is_none_or(|arrival| arrival > next_tick) {
                self.ticked_at = next_tick;
                self.control_plane.tick(self.now);
                self.carry_out_effects();
            } else {
                self.deliver_at(next);
            }
            self.check_invariants();
        }
        self.now = end;
    }

    /// Delivers the first response that arrives at `time`.
    fn deliver_at(&mut self, time: Micros) {
        let is_due =
            |proxy: &SimulatedProxy| proxy.in_transit.front().is_some_and(|next| next.arrives_at == time);
        let index = self.proxies.iter().position(is_due).expect("a response that arrives at this time");
        let proxy = &mut self.proxies[index];
        let Some(Delivery { response, .. }) = proxy.in_transit.pop_front() else { return };
        let requests = proxy.xds_client.handle_response(&to_discovery_response(&response));
        if let Some(remaining) = &mut proxy.disconnect_after {
            *remaining -= 1;
            if *remaining == 0 {
                return self.disconnect(index);
            }
        }
        self.send_requests(index, requests);
    }

    /// Checks the invariants of all proxies, drains and grants.
    fn check_invariants(&mut self) {
        for proxy in &self.proxies {
            check_routed_clusters(&proxy.xds_client);
        }
        self.check_drains();
        self.check_grants();
    }

    /// Checks that a proxy that was connected when a drain started uses the node for no longer than the proxy's
    /// latency after that.
    fn check_drains(&self) {
        for (&node, &since) in &self.drained_since {
            let connected = self.proxies.iter().filter(|proxy| proxy.stream.is_some());
            for proxy in connected.filter(|proxy| proxy.connected_at < since) {
                let view = &proxy.xds_client.view;
                let is_late = self.now > since + proxy.latency && view.uses(address(node));
                let (id, elapsed) = (&proxy.xds_client.script.id, self.now - since);
                assert!(
                    !is_late,
                    "proxy {id} still uses node {node} {elapsed} us after the start of its drain"
                );
            }
        }
    }

    /// Checks that the grants of a constrained node add up to no more than the highest capacity that it has had within
    /// the last `MAX_LATENCY`.
    fn check_grants(&mut self) {
        for usage in self.control_plane.constrained_usage() {
            let (cluster, capacity) = (usage.cluster, usage.capacity);
            let granted_to = |proxy: &SimulatedProxy| proxy.xds_client.view.clusters.get(&cluster).copied();
            let granted: u64 = self.proxies.iter().map(|proxy| granted_to(proxy).unwrap_or(0) as u64).sum();
            let recent = self.recent_capacities.entry(cluster.clone()).or_default();
            if recent.back().is_none_or(|last| last.capacity != capacity) {
                recent.push_back(CapacityChange { at: self.now, capacity });
            }
            while recent.get(1).is_some_and(|next| next.at < self.now - MAX_LATENCY) {
                recent.pop_front();
            }
            let max = recent.iter().map(|change| change.capacity).max().unwrap_or(0) as u64;
            assert!(
                granted <= max,
                "{cluster}: granted {granted}, capacity {capacity}, highest recent capacity {max}"
            );
            let peak = self.peak_grants.entry(cluster).or_default();
            if (granted, capacity) > (peak.granted, peak.capacity) {
                *peak = PeakGrant { granted, capacity };
            }
        }
    }

    /// Returns the number of proxies that would send new requests to a node.
    pub fn proxies_using(&self, node: usize) -> usize {
        let uses = |proxy: &&SimulatedProxy| proxy.xds_client.view.uses(address(node));
        self.proxies.iter().filter(uses).count()
    }

    /// Returns the number of responses that all proxies together have received.
    pub fn response_count(&self) -> usize {
        self.proxies.iter().map(|proxy| proxy.xds_client.view.received_responses.len()).sum()
    }

    /// Returns the value of a metric; `name` lacks the prefix `yewpier_control_`.
    pub fn metric(&self, name: &str) -> f64 {
        let text = self.control_plane.metrics_text();
        let line = text.lines().find(|line| line.starts_with(&format!("yewpier_control_{name} ")));
        let value = line.and_then(|line| line.rsplit(' ').next());
        value.and_then(|value| value.parse().ok()).expect(name)
    }
}

/// Checks that no response has left a proxy with a route to a cluster without endpoints.
fn check_routed_clusters(xds_client: &XdsClient) {
    let (script, view) = (&xds_client.script, &xds_client.view);
    let last_responses =
        &view.received_responses[view.received_responses.len().saturating_sub(MAX_SHOWN_RESPONSES)..];
    assert!(
        view.unresolved_clusters.is_empty(),
        "proxy {}, delta {}: routes to clusters without endpoints: {:?}; last responses: {last_responses:?}",
        script.id,
        script.delta,
        view.unresolved_clusters
    );
}

fn delta_request(request: DiscoveryRequest) -> DeltaRequest {
    DeltaRequest {
        type_url: request.type_url,
        subscribe: request.subscribe,
        unsubscribe: request.unsubscribe,
        initial_versions: request.initial_resource_versions.into_iter().collect(),
        nonce: request.nonce,
        rejection: request.rejection,
    }
}

fn state_of_the_world_request(request: DiscoveryRequest) -> StateOfTheWorldRequest {
    StateOfTheWorldRequest {
        type_url: request.type_url,
        version: request.version,
        nonce: request.nonce,
        resource_names: request.names,
        rejection: request.rejection,
    }
}

/// Converts a response to the form in which a proxy handles it.
fn to_discovery_response(response: &Response) -> DiscoveryResponse {
    let type_url = response.resource_type.type_url();
    let content = |resource: &Resource| Any { type_url: type_url.clone(), value: resource.body.clone() };
    let resources = response.resources.iter().map(|resource| ReceivedResource {
        name: resource.name.clone(),
        version: resource.version.clone(),
        content: (response.kind == ResponseKind::Update).then(|| content(resource)),
    });
    DiscoveryResponse {
        resources: resources.collect(),
        version: response.version.clone(),
        nonce: response.nonce.clone(),
        removed: response.removed.clone(),
        type_url: type_url.clone(),
    }
}
