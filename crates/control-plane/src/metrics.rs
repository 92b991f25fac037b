//! What the control service counts, in OpenMetrics on `/-/counters`.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OfType {
    pub kind: String,
}

/// Seconds from when a departure was told to when a proxy accepted a view without the node.
const BOUNDS: [f64; 10] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 2.0];

pub struct Metrics {
    registry: Registry,
    pub proxies: Gauge,
    pub streams: Gauge,
    pub nodes: Gauge,
    pub plans: Counter,
    pub responses: Family<OfType, Counter>,
    pub bytes: Counter,
    pub accepted: Counter,
    pub refused: Counter,
    pub stale: Counter,
    pub cut_off: Counter,
    pub drain_seconds: Histogram,
    pub drains_late: Gauge,
    pub reports: Counter,
    pub reports_refused: Counter,
    pub lists: Counter,
    pub lists_failed: Counter,
    pub entries_unusable: Gauge,
    pub invariants_broken: Counter,
}

impl Metrics {
    pub fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("yewpier_control"),
            proxies: Gauge::default(),
            streams: Gauge::default(),
            nodes: Gauge::default(),
            plans: Counter::default(),
            responses: Family::default(),
            bytes: Counter::default(),
            accepted: Counter::default(),
            refused: Counter::default(),
            stale: Counter::default(),
            cut_off: Counter::default(),
            drain_seconds: Histogram::new(BOUNDS),
            drains_late: Gauge::default(),
            reports: Counter::default(),
            reports_refused: Counter::default(),
            lists: Counter::default(),
            lists_failed: Counter::default(),
            entries_unusable: Gauge::default(),
            invariants_broken: Counter::default(),
        };
        let to = &mut metrics.registry;
        to.register("proxies", "Proxies known, those that left of late included", metrics.proxies.clone());
        to.register("streams", "Streams open", metrics.streams.clone());
        to.register("nodes", "Data nodes listed", metrics.nodes.clone());
        to.register("plans", "Times that what proxies should do changed", metrics.plans.clone());
        to.register("responses", "Responses sent by type of resource", metrics.responses.clone());
        to.register_with_unit("content", "Content sent", Unit::Bytes, metrics.bytes.clone());
        to.register("accepted", "Responses that proxies accepted (ACK)", metrics.accepted.clone());
        to.register("refused", "Responses that proxies refused (NACK)", metrics.refused.clone());
        to.register("stale", "Requests with a nonce that waits for no answer", metrics.stale.clone());
        to.register("cut_off", "Streams ended from here", metrics.cut_off.clone());
        to.register_with_unit(
            "departure",
            "From the news that a node takes no new work to a proxy's acceptance",
            Unit::Seconds,
            metrics.drain_seconds.clone(),
        );
        to.register(
            "departures_late",
            "Pairs of node and proxy with a departure not accepted in the grace time",
            metrics.drains_late.clone(),
        );
        to.register("reports", "Load reports taken", metrics.reports.clone());
        to.register(
            "reports_refused",
            "Load reports that could not be believed",
            metrics.reports_refused.clone(),
        );
        to.register("lists", "Lists and changes of them from discovery", metrics.lists.clone());
        to.register("lists_failed", "Calls to discovery that failed", metrics.lists_failed.clone());
        to.register("entries_unusable", "Entries of lists passed over", metrics.entries_unusable.clone());
        to.register("invariants_broken", "What must hold and did not", metrics.invariants_broken.clone());
        metrics
    }

    pub fn lines(&self) -> String {
        let mut lines = String::new();
        match encode(&mut lines, &self.registry) {
            Ok(()) => lines,
            Err(why) => format!("# {why}\n"),
        }
    }
}
