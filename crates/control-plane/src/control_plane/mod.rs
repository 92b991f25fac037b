//! The state machine of the control plane. Its methods take plain values and the current time, change the state
//! and queue effects for the caller to carry out. It performs no I/O and reads no clock.

mod desired_state_update;
mod maintenance;
mod proxy_state;
mod push;
mod request;
mod snapshot;
mod stream;
mod stream_error;

pub use proxy_state::{AuthorizedNames, Service};
pub use request::{LoadReportRequest, ProxyNode};
pub use stream_error::StreamError;

use crate::capacity_ledger::CapacityLedger;
use crate::deployment_settings::DeploymentSettings;
use crate::desired_state::DesiredState;
use crate::drain_tracker::DrainTracker;
use crate::endpoint_table::{EndpointTable, RequestedActions, UpdateCounts, WatchRequest};
use crate::ids::{ProxyId, StreamId};
use crate::load_reports::{LoadReports, ProbeResult};
use crate::metrics::Metrics;
use crate::options::Options;
use crate::resource::ResourceSnapshot;
use crate::resource_cache::{ProxyGrants, ResourceCache};
use crate::session::{ProtocolVariant, Response};
use balancer::{EndpointUpdate, Idempotency, Micros};
use proxy_state::{ProxyState, StreamState};
use query_router::config::Config;
use query_router::discovery::{DiscoveryEffect, DiscoveryEvent};
use serde_json::Value as Json;
use settings_schema::IdInterner;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which the caller calls `ControlPlane::tick`. The balancer decides at each tick and immediately after
/// an endpoint update.
pub const TICK_INTERVAL: Micros = 50_000;
/// Stream ID under which a dump identifies its proxy; never used for a real stream.
const DUMP_STREAM: StreamId = StreamId(u64::MAX);

/// An action that the caller carries out for the control plane.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Send a response on a stream.
    Respond {
        /// The stream on which the response is sent.
        stream: StreamId,
        /// The response to encode and send.
        response: Response,
    },
    /// Request load reports from the proxy on a load reporting stream.
    RequestLoadReports(StreamId),
    /// Close a stream with an error status.
    CloseStream {
        /// The stream to close.
        stream: StreamId,
        /// The reason, from which the gRPC status of the stream is made.
        error: StreamError,
    },
    /// Carry out an effect of the client of discovery.
    Discovery(DiscoveryEffect),
    /// Try to connect to a data node.
    ProbeNode(SocketAddr),
}

/// Whether proxies may still use resource versions from before this control plane started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EarlierVersions {
    /// No proxy has presented versions from before the start.
    Unseen,
    /// A proxy has presented such versions, so proxies that have not reconnected yet may use them too.
    InUse,
}

/// The state of the control plane.
pub struct ControlPlane {
    options: Options,
    deployment: DeploymentSettings,
    endpoints: EndpointTable,
    desired: DesiredState,
    resources: ResourceCache,
    /// Snapshots of the current desired state, shared by proxies with equal grants.
    snapshots: HashMap<ProxyGrants, Arc<ResourceSnapshot>>,
    capacity_ledger: CapacityLedger,
    drains: DrainTracker,
    load_reports: LoadReports,
    streams: BTreeMap<StreamId, StreamState>,
    proxy_ids: IdInterner<String>,
    proxies: BTreeMap<ProxyId, ProxyState>,
    earlier_versions: EarlierVersions,
    started_at: Micros,
    /// Time at which load reports were last passed to the balancer.
    load_forwarded_at: Micros,
    probed_at: Micros,
    metrics: Metrics,
    effects: Vec<Effect>,
}

impl ControlPlane {
    /// Creates a control plane without proxies, which starts to watch discovery. The cached endpoints of the configuration
    /// are provisional: proxies may know a newer list.
    pub fn new(now: Micros, config: &Config, options: Options) -> ControlPlane {
        let deployment = DeploymentSettings::new(config);
        let mut control_plane = ControlPlane {
            resources: ResourceCache::new(&options, &deployment.zones),
            options,
            deployment,
            endpoints: EndpointTable::new(now, config),
            desired: DesiredState::default(),
            snapshots: HashMap::new(),
            capacity_ledger: CapacityLedger::default(),
            drains: DrainTracker::default(),
            load_reports: LoadReports::default(),
            streams: BTreeMap::new(),
            proxy_ids: IdInterner::default(),
            proxies: BTreeMap::new(),
            earlier_versions: EarlierVersions::Unseen,
            started_at: now,
            load_forwarded_at: now,
            probed_at: now,
            metrics: Metrics::new(),
            effects: Vec::new(),
        };
        control_plane.endpoint_update(now, &config.cached_endpoints, EndpointUpdate::Provisional);
        control_plane.warn_of_unsupported_classes();
        control_plane
    }

    fn warn_of_unsupported_classes(&self) {
        for class in &self.deployment.classes {
            if class.idempotency == Idempotency::Keyed {
                let name = &class.name;
                tracing::warn!(
                    class = name,
                    "proxies reject requests of this service class because they do not support idempotency keys"
                );
            }
        }
    }

    /// Returns the effects queued since the last call, in the order in which the caller carries them out.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the metrics in the OpenMetrics text format.
    pub fn metrics_text(&self) -> String {
        self.metrics.text()
    }

    /// Returns the connect timeout of a probe of a data node.
    pub(crate) fn probe_timeout(&self) -> Duration {
        self.deployment.probe_timeout
    }

    /// Applies an endpoint list or update in the JSON format of discovery that came on no connection.
    pub fn endpoint_update(&mut self, now: Micros, list: &Json, update: EndpointUpdate) {
        self.endpoints.load(now, list, update);
        self.apply_endpoint_updates(now);
    }

    /// Handles an event of a connection to discovery, or of the timer.
    pub fn discovery_event(&mut self, now: Micros, event: DiscoveryEvent) {
        self.endpoints.discovery_event(now, event);
        self.apply_endpoint_updates(now);
    }

    /// Returns the time at which the caller reports [`DiscoveryEvent::TimerExpired`]; `None` if no timer is set.
    pub fn next_discovery_timer_at(&self) -> Option<Micros> {
        self.endpoints.next_discovery_timer_at()
    }

    /// Changes the address of discovery, unless it is the same. The list is requested there at once.
    pub fn set_discovery_address(&mut self, now: Micros, address: SocketAddr) {
        self.endpoints.set_discovery_address(now, address);
        self.apply_endpoint_updates(now);
    }

    /// Passes new endpoint updates to the balancer. It decides at once if there are any.
    fn apply_endpoint_updates(&mut self, now: Micros) {
        let mut actions = RequestedActions::default();
        let counts = self.endpoints.apply_updates(now, &mut actions);
        if counts != UpdateCounts::default() {
            self.metrics.endpoint_updates.inc_by(counts.applied);
            self.metrics.endpoint_updates_failed.inc_by(counts.failed);
            self.metrics.unusable_entries.set(self.endpoints.unusable_entries() as i64);
            self.decide(now, actions);
        }
        self.queue_discovery_effects();
    }

    /// Runs a decision of the balancer and pushes resources if the desired state changed.
    fn decide(&mut self, now: Micros, mut actions: RequestedActions) {
        self.endpoints.decide(now, &mut actions);
        for line in &actions.log_lines {
            tracing::info!("{line}");
        }
        if actions.watch == WatchRequest::Requested {
            self.endpoints.ensure_watch(now);
        }
        self.metrics.nodes.set(self.endpoints.count() as i64);
        self.update_desired_state(now);
    }

    fn queue_discovery_effects(&mut self) {
        self.effects.extend(self.endpoints.take_effects().into_iter().map(Effect::Discovery));
    }

    /// Records the result of a probe of a data node. Results for addresses that are no longer listed are ignored.
    pub fn probe_finished(&mut self, address: SocketAddr, result: ProbeResult) {
        if let Some(node) = self.endpoints.find(&address) {
            self.load_reports.add_probe(node, result);
        }
    }

    /// Runs the periodic tasks, the balancer's decision and the pushes that are due at `now`.
    pub fn tick(&mut self, now: Micros) {
        self.discovery_event(now, DiscoveryEvent::TimerExpired);
        self.forward_load_reports(now);
        self.probe_nodes(now);
        self.remove_expired_proxies(now);
        self.close_inactive_streams(now);
        self.decide(now, RequestedActions::default());
        self.queue_discovery_effects();
        self.renew_leases(now);
        self.push_to_partially_granted(now);
        let started_by = now - self.deployment.drain_grace;
        self.metrics.drains_past_grace.set(self.drains.unacknowledged_count(started_by) as i64);
        self.check_invariants();
    }

    /// Returns the total grants and the capacity of each constrained node.
    pub fn constrained_usage(&self) -> Vec<ConstrainedUsage> {
        let constrained = self.desired.constrained_nodes.iter();
        let usage = constrained.map(|(cluster, node)| ConstrainedUsage {
            cluster: cluster.clone(),
            granted: self.capacity_ledger.total(cluster),
            capacity: node.capacity,
        });
        usage.collect()
    }

    /// Returns the resources that a proxy with this ID and zone would be sent; empty if it may not be served.
    pub(crate) fn snapshot_for(&mut self, now: Micros, node: ProxyNode) -> Arc<ResourceSnapshot> {
        let service = Service::Discovery(ProtocolVariant::Delta);
        self.stream_opened(now, DUMP_STREAM, service, AuthorizedNames::Any);
        let proxy = self.identify_proxy(now, DUMP_STREAM, Some(node));
        self.update_desired_state(now);
        proxy.map(|proxy| self.snapshot(now, proxy).resources).unwrap_or_default()
    }
}

/// Grants and capacity of a constrained node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConstrainedUsage {
    /// Name of the node's cluster.
    pub cluster: String,
    /// Number of concurrent requests granted to all proxies together.
    pub granted: u64,
    /// Number of concurrent requests that may be granted to all proxies together.
    pub capacity: u32,
}
