//! Proxies and the state machine of the control plane with a simulated clock. Each response reaches its proxy
//! after that proxy's latency, and invariants are checked after each step.

use crate::support::{ZONES, address, config, entry, node_id, options};
use balancer::{EndpointUpdate, Micros};
use control_plane::{
    AuthorizedNames, ControlPlane, DeltaRequest, Effect, ProtocolVariant, ProxyNode, Resource, Response,
    ResponseKind, Service, StateOfTheWorldRequest, StreamId, TICK_INTERVAL,
};
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, VecDeque};
use test_servers::{DiscoveryRequest, DiscoveryResponse, ReceivedResource, Script, XdsClient};
use xds_api::pb::google::protobuf::Any;

/// When simulations begin.
pub const START: Micros = 1_000_000_000_000;
pub const SECOND: Micros = 1_000_000;
/// The longest latency of a proxy, plus a tick.
const MAX_LATENCY: Micros = 2_100_000;
/// How much of a proxy's log is shown when a check fails.
const SHOWN_LOG_ENTRIES: usize = 12;

/// A response on its way to a proxy.
struct Delivery {
    arrives_at: Micros,
    response: Response,
}

/// A simulated proxy.
pub struct SimulatedProxy {
    pub subscriber: XdsClient,
    pub latency: Micros,
    pub stream: Option<StreamId>,
    inbox: VecDeque<Delivery>,
    connected_at: Micros,
    /// After how many more responses the stream breaks.
    pub disconnect_after: Option<usize>,
    /// The status of each stream that the control plane ended.
    pub statuses: Vec<String>,
}

/// What proxies were granted of a constrained node.
#[derive(Clone, Copy, Default)]
pub struct PeakGrant {
    /// The most requests that all proxies together were granted.
    pub granted: u64,
    /// The capacity at that time.
    pub capacity: u32,
}

/// The capacity of a constrained node since a time.
struct CapacityChange {
    at: Micros,
    capacity: u32,
}

pub struct Simulation {
    pub now: Micros,
    pub control_plane: ControlPlane,
    pub proxies: Vec<SimulatedProxy>,
    replica_sets: usize,
    /// The entries of the endpoint list, by node id.
    pub entries: BTreeMap<String, Json>,
    /// How often the control plane requested a watch of discovery.
    pub watches: usize,
    last_stream: u64,
    ticked_at: Micros,
    /// By cluster of a constrained node.
    pub peak_grants: BTreeMap<String, PeakGrant>,
    /// Nodes that are to get no new work, and since when the control plane knows that.
    drained_since: BTreeMap<usize, Micros>,
    /// By cluster of a constrained node. Grants may exceed a lowered capacity until the slowest proxy has
    /// heard of it.
    capacities: BTreeMap<String, VecDeque<CapacityChange>>,
}

impl Simulation {
    /// A control plane with `nodes` nodes and no proxies. `text` sets its options.
    pub fn new(nodes: usize, replica_sets: usize, replica_sets_per_shard: usize, text: &str) -> Simulation {
        let config = config(replica_sets, replica_sets_per_shard, Vec::new());
        let entries = (0..nodes).map(|node| (node_id(node), entry(node, replica_sets, "ready", 0))).collect();
        let mut simulation = Simulation {
            now: START,
            control_plane: ControlPlane::new(START, &config, options(text)),
            proxies: Vec::new(),
            replica_sets,
            entries,
            watches: 0,
            last_stream: 0,
            ticked_at: START,
            peak_grants: BTreeMap::new(),
            drained_since: BTreeMap::new(),
            capacities: BTreeMap::new(),
        };
        simulation.send_full_list();
        simulation
    }

    /// Discovery sends its full list.
    pub fn send_full_list(&mut self) {
        let members: Vec<&Json> = self.entries.values().collect();
        let list = json!({"revision": 1, "complete": true, "members": members});
        self.control_plane.endpoint_update(self.now, &list, EndpointUpdate::Full);
        self.carry_out_effects();
    }

    /// Discovery cannot be reached.
    pub fn fail_endpoint_update(&mut self) {
        self.control_plane.endpoint_update(self.now, &Json::Null, EndpointUpdate::Failed);
    }

    /// Discovery sends changes: nodes, their states and when they started. A node that is gone leaves the
    /// list.
    pub fn update_endpoints(&mut self, changes: &[(usize, &str, Micros)]) {
        let changed = |&(node, state, started_at): &(usize, &str, Micros)| {
            entry(node, self.replica_sets, state, started_at)
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
        let list = json!({"revision": 2, "complete": false, "members": entries});
        self.control_plane.endpoint_update(self.now, &list, EndpointUpdate::Incremental);
        self.carry_out_effects();
    }

    /// Adds a proxy, which connects at once. Returns its index.
    pub fn add_proxy(&mut self, delta: bool, latency: Micros) -> usize {
        let index = self.proxies.len();
        let script = Script::new(&format!("p{index:04}"), ZONES[index % ZONES.len()], delta);
        self.add_scripted_proxy(script, latency)
    }

    /// Adds a proxy that behaves as a script says, which connects at once. Returns its index.
    pub fn add_scripted_proxy(&mut self, script: Script, latency: Micros) -> usize {
        let index = self.proxies.len();
        self.proxies.push(SimulatedProxy {
            subscriber: XdsClient::new(script),
            latency,
            stream: None,
            inbox: VecDeque::new(),
            connected_at: self.now,
            disconnect_after: None,
            statuses: Vec::new(),
        });
        self.connect(index);
        index
    }

    /// A proxy opens a stream, with what it has.
    pub fn connect(&mut self, index: usize) {
        self.last_stream += 1;
        let stream = StreamId(self.last_stream);
        let proxy = &mut self.proxies[index];
        (proxy.stream, proxy.disconnect_after, proxy.connected_at) = (Some(stream), None, self.now);
        proxy.inbox.clear();
        let delta = proxy.subscriber.script.delta;
        let variant = if delta { ProtocolVariant::Delta } else { ProtocolVariant::StateOfTheWorld };
        let service = Service::Discovery(variant);
        self.control_plane.stream_opened(self.now, stream, service, AuthorizedNames::Any);
        let requests = proxy.subscriber.open();
        self.send_requests(index, requests);
    }

    /// Connects all proxies that have no stream.
    pub fn connect_all(&mut self) {
        for index in self.disconnected() {
            self.connect(index);
        }
    }

    /// The proxies that have no stream.
    pub fn disconnected(&self) -> Vec<usize> {
        (0..self.proxies.len()).filter(|&index| self.proxies[index].stream.is_none()).collect()
    }

    /// A proxy's stream breaks.
    pub fn disconnect(&mut self, index: usize) {
        if let Some(stream) = self.proxies[index].stream.take() {
            self.proxies[index].inbox.clear();
            self.control_plane.stream_closed(self.now, stream);
        }
        self.carry_out_effects();
    }

    /// Another control plane takes over without notice to the old one; all proxies connect to it.
    pub fn replace_control_plane(&mut self, control_plane: ControlPlane) {
        self.control_plane = control_plane;
        for index in 0..self.proxies.len() {
            self.proxies[index].stream = None;
            self.connect(index);
        }
    }

    fn send_requests(&mut self, index: usize, requests: Vec<DiscoveryRequest>) {
        let script = self.proxies[index].subscriber.script.clone();
        let node = Some(ProxyNode { id: &script.id, zone: &script.zone });
        for ask in requests {
            let Some(stream) = self.proxies[index].stream else { return };
            if script.delta {
                self.control_plane.delta_request(self.now, stream, node, delta_request(ask));
            } else {
                let request = state_of_the_world_request(ask);
                self.control_plane.state_of_the_world_request(self.now, stream, node, request);
            }
            self.carry_out_effects();
        }
    }

    fn carry_out_effects(&mut self) {
        for effect in self.control_plane.take_effects() {
            match effect {
                Effect::Respond { stream, response } => {
                    let now = self.now;
                    if let Some(proxy) = self.proxy_of(stream) {
                        let arrives_at = now + proxy.latency;
                        proxy.inbox.push_back(Delivery { arrives_at, response });
                    }
                }
                Effect::CloseStream { stream, error } => {
                    if let Some(proxy) = self.proxy_of(stream) {
                        proxy.stream = None;
                        proxy.inbox.clear();
                        proxy.statuses.push(format!("{:?}: {error}", error.code()));
                    }
                }
                Effect::WatchEndpoints => self.watches += 1,
                Effect::RequestLoadReports(_) | Effect::ProbeNode(_) => {}
            }
        }
    }

    fn proxy_of(&mut self, stream: StreamId) -> Option<&mut SimulatedProxy> {
        self.proxies.iter_mut().find(|proxy| proxy.stream == Some(stream))
    }

    /// Lets time pass. Responses arrive in order, and the control plane ticks at its interval.
    pub fn advance(&mut self, time: Micros) {
        let until = self.now + time;
        loop {
            let deliveries = self.proxies.iter().filter_map(|proxy| proxy.inbox.front());
            let arrival = deliveries.map(|delivery| delivery.arrives_at).min();
            let tick = self.ticked_at + TICK_INTERVAL;
            let next = arrival.unwrap_or(Micros::MAX).min(tick);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if arrival.is_none_or(|arrival| arrival > tick) {
                self.ticked_at = tick;
                self.control_plane.tick(self.now);
                self.carry_out_effects();
            } else {
                self.deliver_at(next);
            }
            self.check_invariants();
        }
        self.now = until;
    }

    /// Delivers the first response that arrives at a time.
    fn deliver_at(&mut self, time: Micros) {
        let is_due = |proxy: &SimulatedProxy| proxy.inbox.front().is_some_and(|next| next.arrives_at == time);
        let index = self.proxies.iter().position(is_due).expect("a response that is due");
        let proxy = &mut self.proxies[index];
        let Some(Delivery { response, .. }) = proxy.inbox.pop_front() else { return };
        let requests = proxy.subscriber.handle_response(&answer(&response));
        if let Some(remaining) = &mut proxy.disconnect_after {
            *remaining -= 1;
            if *remaining == 0 {
                return self.disconnect(index);
            }
        }
        self.send_requests(index, requests);
    }

    /// Checks what must hold at every time.
    fn check_invariants(&mut self) {
        for proxy in &self.proxies {
            check_no_gaps(&proxy.subscriber);
        }
        self.check_drains();
        self.check_grants();
    }

    /// A proxy that was connected when a drain became known uses the node only until it has heard of the
    /// drain.
    fn check_drains(&self) {
        for (&node, &since) in &self.drained_since {
            let connected = self.proxies.iter().filter(|proxy| proxy.stream.is_some());
            for proxy in connected.filter(|proxy| proxy.connected_at < since) {
                let view = &proxy.subscriber.view;
                let is_late = self.now > since + proxy.latency && view.uses(address(node));
                let (id, elapsed) = (&proxy.subscriber.script.id, self.now - since);
                assert!(!is_late, "{id} still uses {node}, {elapsed} us after its drain");
            }
        }
    }

    /// Proxies together are granted no more of a constrained node than its capacity, or than one that was in
    /// force until recently.
    fn check_grants(&mut self) {
        for usage in self.control_plane.constrained_usage() {
            let (cluster, capacity) = (usage.cluster, usage.capacity);
            let granted_to = |proxy: &SimulatedProxy| proxy.subscriber.view.clusters.get(&cluster).copied();
            let granted: u64 = self.proxies.iter().map(|proxy| granted_to(proxy).unwrap_or(0) as u64).sum();
            let recent = self.capacities.entry(cluster.clone()).or_default();
            if recent.back().is_none_or(|last| last.capacity != capacity) {
                recent.push_back(CapacityChange { at: self.now, capacity });
            }
            while recent.get(1).is_some_and(|next| next.at < self.now - MAX_LATENCY) {
                recent.pop_front();
            }
            let max = recent.iter().map(|change| change.capacity).max().unwrap_or(0) as u64;
            assert!(granted <= max, "{cluster}: granted {granted}, capacity {capacity}, recently {max}");
            let peak = self.peak_grants.entry(cluster).or_default();
            if (granted, capacity) > (peak.granted, peak.capacity) {
                *peak = PeakGrant { granted, capacity };
            }
        }
    }

    /// How many proxies would give a node new work.
    pub fn proxies_using(&self, node: usize) -> usize {
        let uses = |proxy: &&SimulatedProxy| proxy.subscriber.view.uses(address(node));
        self.proxies.iter().filter(uses).count()
    }

    /// How many responses all proxies have received.
    pub fn responses(&self) -> usize {
        self.proxies.iter().map(|proxy| proxy.subscriber.view.log.len()).sum()
    }

    /// The value of a metric.
    pub fn metric(&self, name: &str) -> f64 {
        let text = self.control_plane.metrics_text();
        let line = text.lines().find(|line| line.starts_with(&format!("yewpier_control_{name} ")));
        let value = line.and_then(|line| line.rsplit(' ').next());
        value.and_then(|value| value.parse().ok()).expect(name)
    }
}

/// A proxy's view was never without something that it refers to.
fn check_no_gaps(subscriber: &XdsClient) {
    let (script, view) = (&subscriber.script, &subscriber.view);
    let log = &view.log[view.log.len().saturating_sub(SHOWN_LOG_ENTRIES)..];
    assert!(view.gaps.is_empty(), "{}, delta {}: {:?} {log:?}", script.id, script.delta, view.gaps);
}

fn delta_request(ask: DiscoveryRequest) -> DeltaRequest {
    DeltaRequest {
        type_url: ask.url,
        subscribe: ask.subscribe,
        unsubscribe: ask.unsubscribe,
        initial_versions: ask.initial.into_iter().collect(),
        nonce: ask.nonce,
        rejection: ask.rejection,
    }
}

fn state_of_the_world_request(ask: DiscoveryRequest) -> StateOfTheWorldRequest {
    StateOfTheWorldRequest {
        type_url: ask.url,
        version: ask.version,
        nonce: ask.nonce,
        resource_names: ask.names,
        rejection: ask.rejection,
    }
}

/// The response as a proxy reads it.
fn answer(response: &Response) -> DiscoveryResponse {
    let url = response.resource_type.type_url();
    let content = |resource: &Resource| Any { type_url: url.clone(), value: resource.body.clone() };
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
        url: url.clone(),
    }
}
