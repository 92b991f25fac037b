//! Measurements across all nodes.

use super::samples_retained::SamplesRetained;
use super::sliding_window::SlidingWindow;
use crate::Micros;

/// Quantiles of the recent latencies of all nodes, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct BaselineLatency {
    pub low: Micros,
    pub median: Micros,
    pub high: Micros,
}

/// Measurements across all nodes.
#[derive(Default)]
pub struct FleetStatistics {
    /// Latencies of answered attempts.
    pub latencies: SlidingWindow,
    /// Quantiles of recent latencies; `None` while there are too few samples.
    pub baseline: Option<BaselineLatency>,
    /// Estimated work of a shard request, from the last known baseline; `None` until there is one.
    pub shard_request_work: Option<Micros>,
    /// Latencies of answered attempts, by zone.
    pub zone_latencies: Vec<SlidingWindow>,
    /// Additional latency of each zone compared with the nearest one; 0 for a zone with too few samples.
    pub cross_zone_latencies: Vec<Micros>,
    /// Work sent, one sample for each attempt.
    pub work_sent: SlidingWindow,
    /// Mean work sent to a ready node per microsecond.
    pub mean_work_rate: f64,
    /// Mean number of attempts sent to a ready node per microsecond.
    pub mean_request_rate: f64,
    /// Time of the first decision.
    pub first_decision_at: Option<Micros>,
    /// Number of batches sent.
    pub batches_sent: u64,
    /// Idle times of nodes before attempts; negative if the attempt was lost.
    pub idle_times: SlidingWindow,
    /// Idle time above which connections are assumed to be dropped; `Micros::MAX` if there is no evidence of
    /// that.
    pub max_idle_time: Micros,
}

impl FleetStatistics {
    /// Creates statistics without measurements.
    pub fn new(retained: &SamplesRetained) -> Self {
        FleetStatistics {
            latencies: SlidingWindow::new(retained.latencies),
            work_sent: SlidingWindow::new(retained.sends),
            idle_times: SlidingWindow::new(retained.idle_times),
            max_idle_time: Micros::MAX,
            ..Default::default()
        }
    }

    /// Returns the median of recent latencies; `None` while there are too few samples.
    pub fn median_latency(&self) -> Option<Micros> {
        self.baseline.map(|baseline| baseline.median)
    }

    /// Records the latency of an answer from a node in `zone`, of which the last `zone_retained` are kept.
    pub fn record_latency(&mut self, now: Micros, zone: usize, latency: Micros, zone_retained: usize) {
        self.latencies.push(now, latency as f64);
        SlidingWindow::entry(&mut self.zone_latencies, zone, zone_retained).push(now, latency as f64);
    }

    /// Computes the baseline from three quantiles of the latencies since `from`, if there are at least
    /// `min_samples`.
    pub fn refresh_baseline(&mut self, from: Micros, min_samples: usize, shares: [f64; 3]) {
        let latencies = &self.latencies;
        let quantile = |share| latencies.quantile(share, from).unwrap_or(0.0) as Micros;
        self.baseline = (latencies.count(from) >= min_samples).then(|| {
            let [low, median, high] = shares.map(quantile);
            BaselineLatency { low, median, high }
        });
        self.shard_request_work = self.baseline.map(|baseline| baseline.low).or(self.shard_request_work);
    }

    /// Computes the additional latency of each zone compared with the nearest one, from a quantile of the
    /// latencies since `from`. Zones with fewer than `min_samples` get 0.
    pub fn refresh_cross_zone(&mut self, from: Micros, min_samples: usize, share: f64) {
        let low_quantile =
            |zone: &SlidingWindow| zone.quantile(share, from).filter(|_| zone.count(from) >= min_samples);
        let zones: Vec<Option<f64>> = self.zone_latencies.iter().map(low_quantile).collect();
        let nearest = zones.iter().flatten().copied().fold(f64::INFINITY, f64::min);
        let additional_latency =
            |latency: Option<f64>| latency.map_or(0, |quantile| (quantile - nearest) as Micros);
        self.cross_zone_latencies = zones.into_iter().map(additional_latency).collect();
    }

    /// Returns the mean fraction of a core that a ready node spends on shard requests of this router; 0 until
    /// their work is known. All requests count with the current estimate of their work, because the estimate at
    /// the time of sending may have been many times too high.
    pub fn mean_utilization(&self) -> f64 {
        self.shard_request_work.map_or(0.0, |work| work as f64 * self.mean_request_rate)
    }

    /// Computes the mean rates of a ready node from the work sent since `from`, averaged over `period`.
    pub fn refresh_rates(&mut self, from: Micros, period: Micros, ready_nodes: usize) {
        let span = period as f64 * ready_nodes.max(1) as f64;
        self.mean_work_rate = self.work_sent.sum(from) / span;
        self.mean_request_rate = self.work_sent.count(from) as f64 / span;
    }

    /// Returns the time since the first decision, and records `now` as its time if there was none.
    pub fn uptime(&mut self, now: Micros) -> Micros {
        now - *self.first_decision_at.get_or_insert(now)
    }
}
