//! What was measured of all nodes together.

use super::samples_retained::SamplesRetained;
use super::sliding_window::SlidingWindow;
use crate::Micros;

/// Recent latencies of all nodes.
#[derive(Clone, Copy, Debug)]
pub struct BaselineLatency {
    /// A low quantile.
    pub low: Micros,
    /// The median.
    pub median: Micros,
    /// A high quantile.
    pub high: Micros,
}

/// What was measured of all nodes together.
#[derive(Default)]
pub struct FleetStatistics {
    /// Latencies of attempts that were answered.
    pub latencies: SlidingWindow,
    /// Recent latencies, once there are enough.
    pub baseline: Option<BaselineLatency>,
    /// The work of a shard request by the last baseline, once there was one.
    pub shard_request_work: Option<Micros>,
    /// Latencies of attempts that were answered, by zone.
    pub zone_latencies: Vec<SlidingWindow>,
    /// How much longer an answer takes than from the nearest zone, by zone.
    pub cross_zone_latencies: Vec<Micros>,
    /// Work sent, a sample for each shard request.
    pub work_sent: SlidingWindow,
    /// Work sent to a ready node on average in a microsecond.
    pub mean_work_rate: f64,
    /// Shard requests sent to a ready node on average in a microsecond.
    pub mean_request_rate: f64,
    /// When the balancer first decided.
    pub first_decision_at: Option<Micros>,
    /// How many batches were sent.
    pub batches_sent: u64,
    /// How long nodes had not been heard from before an attempt, negative if that attempt was lost.
    pub idle_times: SlidingWindow,
    /// How long a connection may be idle and still be trusted.
    pub max_idle_time: Micros,
}

impl FleetStatistics {
    /// Without measurements.
    pub fn new(retained: &SamplesRetained) -> Self {
        FleetStatistics {
            latencies: SlidingWindow::new(retained.latencies),
            work_sent: SlidingWindow::new(retained.sends),
            idle_times: SlidingWindow::new(retained.idle_times),
            max_idle_time: Micros::MAX,
            ..Default::default()
        }
    }

    /// The median of recent latencies, once there are enough.
    pub fn median_latency(&self) -> Option<Micros> {
        self.baseline.map(|baseline| baseline.median)
    }

    /// Notes the latency of an answer from a node in `zone`.
    pub fn record_latency(&mut self, now: Micros, zone: usize, latency: Micros, zone_retained: usize) {
        self.latencies.push(now, latency as f64);
        SlidingWindow::entry(&mut self.zone_latencies, zone, zone_retained).push(now, latency as f64);
    }

    /// Computes the baseline as three quantiles of the latencies since `from`, if there are at least
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

    /// Computes by a quantile of the latencies since `from` how much longer an answer takes than from the
    /// nearest zone, for zones with at least `min_samples`.
    pub fn refresh_cross_zone(&mut self, from: Micros, min_samples: usize, share: f64) {
        let low =
            |zone: &SlidingWindow| zone.quantile(share, from).filter(|_| zone.count(from) >= min_samples);
        let zones: Vec<Option<f64>> = self.zone_latencies.iter().map(low).collect();
        let nearest = zones.iter().flatten().copied().fold(f64::INFINITY, f64::min);
        let distance = |low: Option<f64>| low.map_or(0, |low| (low - nearest) as Micros);
        self.cross_zone_latencies = zones.into_iter().map(distance).collect();
    }

    /// The share of a core that a ready node spends on shard requests of this router on average; 0 until their
    /// work is known. What was sent before counts by what is known now, since the assumption that its work was
    /// counted by may be many times too high.
    pub fn mean_utilization(&self) -> f64 {
        self.shard_request_work.map_or(0.0, |work| work as f64 * self.mean_request_rate)
    }

    /// Computes the mean rates of a ready node from what was sent since `from`, which is `period` ago.
    pub fn refresh_rates(&mut self, from: Micros, period: Micros, ready_nodes: usize) {
        let span = period as f64 * ready_nodes.max(1) as f64;
        self.mean_work_rate = self.work_sent.sum(from) / span;
        self.mean_request_rate = self.work_sent.count(from) as f64 / span;
    }

    /// How long the balancer has been deciding.
    pub fn uptime(&mut self, now: Micros) -> Micros {
        now - *self.first_decision_at.get_or_insert(now)
    }
}
