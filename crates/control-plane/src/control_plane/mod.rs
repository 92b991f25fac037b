//! The state machine of the control plane. Its methods take plain values and the time, change the state and
//! leave effects for the caller. It uses no socket and no clock.

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
use crate::desired_state::DesiredState;
use crate::drain_tracker::DrainTracker;
use crate::endpoint_table::{EndpointTable, RequestedActions, WatchRequest};
use crate::ids::{ProxyId, StreamId};
use crate::load_reports::{LoadReports, ProbeResult};
use crate::metrics::Metrics;
use crate::options::Options;
use crate::resource::ResourceSnapshot;
use crate::resource_cache::{ProxyGrants, ResourceCache};
use crate::session::{ProtocolVariant, Response};
use crate::site_settings::SiteSettings;
use balancer::{DiscoveryMode, EndpointUpdate, Idempotency, Micros};
use proxy_state::{ProxyState, StreamState};
use query_router::config::Config;
use serde_json::Value as Json;
use settings_schema::IdInterner;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The interval at which `ControlPlane::tick` is to be called. The balancer decides at each tick, and at once
/// after an endpoint update.
pub const TICK_INTERVAL: Micros = 50_000;
/// How long after a failed endpoint update discovery is watched again, where the balancer does not request
/// it.
const WATCH_RETRY_DELAY: Micros = 2_000_000;
/// The stream of a dump, which no proxy has.
const DUMP_STREAM: StreamId = StreamId(u64::MAX);

/// What the caller is to do.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Send a response on a stream.
    Respond {
        /// The stream.
        stream: StreamId,
        /// The response.
        response: Response,
    },
    /// Ask the proxy of a load reporting stream for reports.
    RequestLoadReports(StreamId),
    /// End a stream.
    CloseStream {
        /// The stream.
        stream: StreamId,
        /// The reason, which makes the stream's status.
        error: StreamError,
    },
    /// Watch the endpoint list of discovery, in place of a watch that is under way.
    WatchEndpoints,
    /// Try to connect to a data node.
    ProbeNode(SocketAddr),
}

/// Whether proxies may act on what an earlier control plane handed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EarlierVersions {
    /// No proxy has come with versions from before the start.
    Unseen,
    /// One has, so others that have not come back yet may act on such versions, too.
    InUse,
}

/// The state of the control plane.
pub struct ControlPlane {
    options: Options,
    site: SiteSettings,
    endpoints: EndpointTable,
    desired: DesiredState,
    resources: ResourceCache,
    /// The snapshots of the current desired state.
    snapshots: HashMap<ProxyGrants, Arc<ResourceSnapshot>>,
    ledger: CapacityLedger,
    drains: DrainTracker,
    load_reports: LoadReports,
    streams: BTreeMap<StreamId, StreamState>,
    proxy_ids: IdInterner<String>,
    proxies: BTreeMap<ProxyId, ProxyState>,
    earlier_versions: EarlierVersions,
    started_at: Micros,
    watch_at: Option<Micros>,
    load_taken_at: Micros,
    probed_at: Micros,
    metrics: Metrics,
    effects: Vec<Effect>,
}

impl ControlPlane {
    /// A control plane with the endpoints in the configuration and no proxies.
    pub fn new(now: Micros, config: &Config, options: Options) -> ControlPlane {
        let site = SiteSettings::new(config);
        let mut control_plane = ControlPlane {
            resources: ResourceCache::new(&options, &site.zones),
            options,
            site,
            endpoints: EndpointTable::new(config),
            desired: DesiredState::default(),
            snapshots: HashMap::new(),
            ledger: CapacityLedger::default(),
            drains: DrainTracker::default(),
            load_reports: LoadReports::default(),
            streams: BTreeMap::new(),
            proxy_ids: IdInterner::default(),
            proxies: BTreeMap::new(),
            earlier_versions: EarlierVersions::Unseen,
            started_at: now,
            watch_at: Some(now),
            load_taken_at: now,
            probed_at: now,
            metrics: Metrics::new(),
            effects: Vec::new(),
        };
        control_plane.endpoint_update(now, &config.cached_endpoints, EndpointUpdate::Cached);
        control_plane.warn_of_unsupported_classes();
        control_plane
    }

    fn warn_of_unsupported_classes(&self) {
        for class in &self.site.classes {
            if class.idempotency == Idempotency::Keyed {
                let name = &class.name;
                tracing::warn!(
                    class = name,
                    "proxies reject the class, since they cannot keep idempotency keys"
                );
            }
        }
    }

    /// Takes what the caller is to do, in this order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The metrics in the OpenMetrics text format.
    pub fn metrics_text(&self) -> String {
        self.metrics.text()
    }

    /// How long a probe of a data node may take to connect.
    pub(crate) fn probe_timeout(&self) -> Duration {
        self.site.probe_timeout
    }

    /// Takes in an endpoint list in discovery's form, or the news that there is none.
    pub fn endpoint_update(&mut self, now: Micros, list: &Json, update: EndpointUpdate) {
        let mut actions = RequestedActions::default();
        self.endpoints.update(now, &self.site, list, update, &mut actions);
        if update == EndpointUpdate::Failed {
            self.metrics.endpoint_updates_failed.inc();
            let is_pushed = self.site.discovery_mode == DiscoveryMode::Pushed;
            self.watch_at = is_pushed.then_some(now + WATCH_RETRY_DELAY);
        } else {
            self.metrics.endpoint_updates.inc();
        }
        self.metrics.unusable_entries.set(self.endpoints.unusable_entries() as i64);
        self.decide(now, actions);
    }

    /// Lets the balancer decide, and pushes what changed.
    fn decide(&mut self, now: Micros, mut actions: RequestedActions) {
        self.endpoints.decide(now, &mut actions);
        for line in &actions.log_lines {
            tracing::info!("{line}");
        }
        if actions.watch == WatchRequest::Requested && now > self.started_at {
            self.watch_at = Some(now);
        }
        self.metrics.nodes.set(self.endpoints.count() as i64);
        self.update_desired_state(now);
    }

    /// Takes in whether a data node could be reached from here.
    pub fn probe_finished(&mut self, address: SocketAddr, result: ProbeResult) {
        if let Some(node) = self.endpoints.find(&address) {
            self.load_reports.add_probe(node, result);
        }
    }

    /// Does what is due by the clock.
    pub fn tick(&mut self, now: Micros) {
        if self.watch_at.is_some_and(|at| at <= now) {
            self.watch_at = None;
            self.effects.push(Effect::WatchEndpoints);
        }
        self.take_load_reports(now);
        self.probe_nodes(now);
        self.forget_proxies(now);
        self.close_inactive_streams(now);
        self.decide(now, RequestedActions::default());
        self.renew_leases(now);
        self.push_to_partially_granted(now);
        let grace_started = now - self.site.drain_grace;
        self.metrics.drains_past_grace.set(self.drains.unacknowledged(grace_started) as i64);
        self.check_invariants();
    }

    /// What all proxies together may have in flight at each constrained node.
    pub fn constrained_usage(&self) -> Vec<ConstrainedUsage> {
        let constrained = self.desired.constrained_nodes.iter();
        let usage = constrained.map(|(cluster, node)| ConstrainedUsage {
            cluster: cluster.clone(),
            granted: self.ledger.total(cluster),
            capacity: node.capacity,
        });
        usage.collect()
    }

    /// The resources that a proxy with this id and zone would be sent.
    pub(crate) fn snapshot_of(&mut self, now: Micros, node: ProxyNode) -> Arc<ResourceSnapshot> {
        let service = Service::Discovery(ProtocolVariant::Delta);
        self.stream_opened(now, DUMP_STREAM, service, AuthorizedNames::Any);
        let proxy = self.identify_proxy(now, DUMP_STREAM, Some(node));
        self.update_desired_state(now);
        proxy.map(|proxy| self.snapshot(now, proxy).resources).unwrap_or_default()
    }
}

/// What proxies may have in flight at a constrained node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConstrainedUsage {
    /// The node's cluster.
    pub cluster: String,
    /// Requests that proxies were granted.
    pub granted: u64,
    /// Requests that may be granted.
    pub capacity: u32,
}
