//! Load reports of proxies, pooled by node so that no single proxy outweighs the others.
//!
//! Reports may be wrong. Entries with counts out of range are rejected, and the counts of a proxy for a node are scaled
//! down to those of the proxy that reports the second most requests to this node. The report of a single proxy counts
//! in full. Against one other proxy that reports successes, a proxy that reports only failures makes up at most half of
//! the requests, and the balancer ejects a node only if more than half of them failed.

use crate::ids::ProxyId;
use balancer::{LoadReport, Micros, NodeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Maximum number of entries in one load report.
pub(crate) const MAX_REPORT_ENTRIES: usize = 20_000;
/// Largest count that is accepted in an entry.
const MAX_COUNT: u64 = 1_000_000_000;
/// Intervals that are accepted in a load report.
const ACCEPTED_INTERVALS: RangeInclusive<Micros> = 10_000..=3_600_000_000;
/// Lower bound of a divisor; avoids a division by zero for a proxy that reports no ended requests.
const MIN_ENDED: f64 = 1e-9;

/// One entry of a load report: the counts of an `UpstreamEndpointStats` message for one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointLoad {
    /// The endpoint's address.
    pub address: SocketAddr,
    /// Requests that ended successfully: `total_successful_requests`.
    pub succeeded: u64,
    /// Requests that ended with an error: `total_error_requests`.
    pub failed: u64,
    /// Requests in flight: `total_requests_in_progress`.
    pub in_progress: u64,
    /// Requests sent in the interval: `total_issued_requests`.
    pub issued: u64,
}

/// Reason for which an entry of a load report is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum LoadReportError {
    #[error("a request count is greater than {MAX_COUNT}")]
    CountTooLarge,
    #[error("load_report_interval is not between 10 ms and 1 h")]
    IntervalOutOfRange,
    #[error("total_issued_requests is greater than the sum of ended requests and requests in progress")]
    TooManyIssued,
}

/// Requests to one node, as observed by a proxy or by a probe of the control plane. Weighting makes counts fractional.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LoadCounts {
    succeeded: f64,
    failed: f64,
    connect_failures: f64,
    in_progress: f64,
    /// Sum of the latencies of all succeeded requests, in microseconds.
    total_latency: f64,
}

impl LoadCounts {
    /// Validates an entry of a load report that covers `interval` and converts it. By Little's law, the requests in
    /// progress times the interval are the sum of the latencies of the requests that end in the interval.
    pub fn checked(load: &EndpointLoad, interval: Micros) -> Result<LoadCounts, LoadReportError> {
        let EndpointLoad { succeeded, failed, in_progress, issued, .. } = *load;
        if [succeeded, failed, in_progress, issued].iter().any(|&count| count > MAX_COUNT) {
            return Err(LoadReportError::CountTooLarge);
        }
        if !ACCEPTED_INTERVALS.contains(&interval) {
            return Err(LoadReportError::IntervalOutOfRange);
        }
        // A request issued in the interval has ended or is in progress; one that ended in the interval may have been
        // issued before it.
        if issued > succeeded + failed + in_progress {
            return Err(LoadReportError::TooManyIssued);
        }
        Ok(LoadCounts {
            succeeded: succeeded as f64,
            failed: failed as f64,
            connect_failures: 0.0,
            in_progress: in_progress as f64,
            total_latency: in_progress as f64 * interval as f64,
        })
    }

    /// Returns the counts for the result of one probe.
    fn probe(result: ProbeResult) -> LoadCounts {
        match result {
            ProbeResult::Reachable => LoadCounts { succeeded: 1.0, ..LoadCounts::default() },
            ProbeResult::Unreachable => LoadCounts { connect_failures: 1.0, ..LoadCounts::default() },
        }
    }

    fn ended(&self) -> f64 {
        self.succeeded + self.failed + self.connect_failures
    }

    /// Adds other counts. All are multiplied by `weight` except the requests in progress.
    fn add(&mut self, other: &LoadCounts, weight: f64) {
        self.succeeded += weight * other.succeeded;
        self.failed += weight * other.failed;
        self.connect_failures += weight * other.connect_failures;
        self.total_latency += weight * other.total_latency;
        self.in_progress += other.in_progress;
    }
}

impl From<LoadCounts> for LoadReport {
    fn from(counts: LoadCounts) -> LoadReport {
        LoadReport {
            succeeded: counts.succeeded,
            failed: counts.failed,
            connect_failures: counts.connect_failures,
            in_flight: counts.in_progress,
            mean_latency: (counts.total_latency / counts.succeeded.max(1.0)) as Micros,
        }
    }
}

/// Result of a probe of a data node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was established.
    Reachable,
    /// The connection was refused or not established in time.
    Unreachable,
}

/// Reports on each node since reports were last taken.
#[derive(Debug, Default)]
pub(crate) struct LoadReports {
    /// Sums of the counts that each proxy reported on a node.
    reported: BTreeMap<NodeId, BTreeMap<ProxyId, LoadCounts>>,
    /// Results of the control plane's probes. A newer result replaces an older one.
    probed: BTreeMap<NodeId, LoadCounts>,
}

impl LoadReports {
    /// Adds the counts that a proxy reports on a node.
    pub fn add(&mut self, proxy: ProxyId, node: NodeId, counts: &LoadCounts) {
        self.reported.entry(node).or_default().entry(proxy).or_default().add(counts, 1.0);
    }

    /// Records the result of a probe, in place of an earlier one.
    pub fn add_probe(&mut self, node: NodeId, result: ProbeResult) {
        self.probed.insert(node, LoadCounts::probe(result));
    }

    /// Returns all reports since the last call, pooled by node and ordered by node ID.
    pub fn take(&mut self) -> Vec<(NodeId, LoadReport)> {
        let mut probed = std::mem::take(&mut self.probed);
        let mut pooled: Vec<(NodeId, LoadCounts)> = Vec::new();
        for (node, by_proxy) in std::mem::take(&mut self.reported) {
            pooled.push((node, pool(&by_proxy, probed.remove(&node))));
        }
        // The result of a probe stands for a node on which no proxy reports.
        pooled.extend(probed);
        pooled.sort_by_key(|(node, _)| *node);
        pooled.into_iter().map(|(node, counts)| (node, counts.into())).collect()
    }
}

/// Pools the reports of all proxies on one node. A proxy with more ended requests or more requests in progress than all
/// others is bounded to the second largest value.
fn pool(by_proxy: &BTreeMap<ProxyId, LoadCounts>, probed: Option<LoadCounts>) -> LoadCounts {
    let second_most_ended = second_largest(by_proxy.values().map(LoadCounts::ended));
    let second_most_in_progress = second_largest(by_proxy.values().map(|counts| counts.in_progress));
    let mut pooled = LoadCounts::default();
    for counts in by_proxy.values() {
        let bounded = LoadCounts { in_progress: counts.in_progress.min(second_most_in_progress), ..*counts };
        pooled.add(&bounded, (second_most_ended / counts.ended().max(MIN_ENDED)).min(1.0));
    }
    // A failed probe counts like the report of another proxy. A successful one is ignored, since it does not show
    // whether the node answers requests.
    if let Some(probed) = probed.filter(|probed| probed.connect_failures > 0.0) {
        pooled.add(&probed, second_most_ended.max(1.0));
    }
    pooled
}

/// Returns the second largest value, the only one if there is one, or 0 if there is none.
fn second_largest(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.iter().rev().nth(1).or(values.last()).copied().unwrap_or(0.0)
}

#[cfg(test)]
mod tests;
