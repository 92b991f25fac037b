//! Metrics of the control plane, in the OpenMetrics format at `/-/counters`.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

/// The label set of metrics that are counted per resource type.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ResourceTypeLabel {
    /// Name of the resource type in lower case.
    pub kind: String,
}

/// Upper bounds of the buckets of the drain histogram, in seconds.
const DRAIN_BUCKETS: [f64; 10] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 2.0];

/// All metrics of the control plane. The `register_` functions define their exported names and descriptions.
pub(crate) struct Metrics {
    registry: Registry,
    pub proxies: Gauge,
    pub streams: Gauge,
    pub nodes: Gauge,
    pub desired_states: Counter,
    pub responses: Family<ResourceTypeLabel, Counter>,
    pub content_bytes: Counter,
    pub acks: Counter,
    pub nacks: Counter,
    pub stale_nonces: Counter,
    pub streams_closed: Counter,
    pub drain_seconds: Histogram,
    pub drains_past_grace: Gauge,
    pub load_reports: Counter,
    pub load_reports_rejected: Counter,
    pub endpoint_updates: Counter,
    pub endpoint_updates_failed: Counter,
    pub unusable_entries: Gauge,
    pub invariants_broken: Counter,
}

impl Metrics {
    /// Creates and registers all metrics with value 0.
    pub fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("yewpier_control"),
            proxies: Gauge::default(),
            streams: Gauge::default(),
            nodes: Gauge::default(),
            desired_states: Counter::default(),
            responses: Family::default(),
            content_bytes: Counter::default(),
            acks: Counter::default(),
            nacks: Counter::default(),
            stale_nonces: Counter::default(),
            streams_closed: Counter::default(),
            drain_seconds: Histogram::new(DRAIN_BUCKETS),
            drains_past_grace: Gauge::default(),
            load_reports: Counter::default(),
            load_reports_rejected: Counter::default(),
            endpoint_updates: Counter::default(),
            endpoint_updates_failed: Counter::default(),
            unusable_entries: Gauge::default(),
            invariants_broken: Counter::default(),
        };
        metrics.register_proxies();
        metrics.register_drains();
        metrics.register_inputs();
        metrics
    }

    fn register_proxies(&mut self) {
        let registry = &mut self.registry;
        registry.register("proxies", "Proxies known, those that left of late included", self.proxies.clone());
        registry.register("streams", "Streams open", self.streams.clone());
        registry.register("nodes", "Data nodes listed", self.nodes.clone());
        registry.register("plans", "Times that what proxies should do changed", self.desired_states.clone());
        registry.register("responses", "Responses sent by type of resource", self.responses.clone());
        registry.register_with_unit("content", "Content sent", Unit::Bytes, self.content_bytes.clone());
        registry.register("accepted", "Responses that proxies accepted (ACK)", self.acks.clone());
        registry.register("refused", "Responses that proxies refused (NACK)", self.nacks.clone());
        registry.register(
            "stale",
            "Requests with a nonce that waits for no answer",
            self.stale_nonces.clone(),
        );
        registry.register("cut_off", "Streams ended from here", self.streams_closed.clone());
    }

    fn register_drains(&mut self) {
        let registry = &mut self.registry;
        registry.register_with_unit(
            "departure",
            "From the news that a node takes no new work to a proxy's acceptance",
            Unit::Seconds,
            self.drain_seconds.clone(),
        );
        registry.register(
            "departures_late",
            "Pairs of node and proxy with a departure not accepted in the grace time",
            self.drains_past_grace.clone(),
        );
    }

    fn register_inputs(&mut self) {
        let registry = &mut self.registry;
        registry.register("reports", "Load reports taken", self.load_reports.clone());
        registry.register(
            "reports_refused",
            "Load reports that could not be believed",
            self.load_reports_rejected.clone(),
        );
        registry.register("lists", "Lists and changes of them from discovery", self.endpoint_updates.clone());
        registry.register(
            "lists_failed",
            "Calls to discovery that failed",
            self.endpoint_updates_failed.clone(),
        );
        registry.register("entries_unusable", "Entries of lists passed over", self.unusable_entries.clone());
        registry.register("invariants_broken", "What must hold and did not", self.invariants_broken.clone());
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n"),
        }
    }
}
