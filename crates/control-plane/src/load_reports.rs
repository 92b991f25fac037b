//! Load reports of proxies, pooled so that no proxy is believed against the others.
//!
//! Reports are evidence and not truth. Their counts are checked and bounded, and of each node a proxy counts
//! for no more than the one that reports the second most requests. A single report is believed for want of
//! another; against one proxy that saw the node answer it makes half, and the balancer ejects for more than
//! half.

use crate::ids::ProxyId;
use balancer::{LoadReport, Micros, NodeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Entries that one report may have.
pub(crate) const MAX_REPORT_ENTRIES: usize = 20_000;
/// The largest believable count.
const MAX_COUNT: u64 = 1_000_000_000;
/// The believable intervals of a report.
const INTERVALS: RangeInclusive<Micros> = 10_000..=3_600_000_000;
/// Avoids a division by zero for a proxy that reports no ended requests.
const MIN_ENDED: f64 = 1e-9;

/// What a proxy reports of one endpoint, with the counts of an UpstreamEndpointStats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointLoad {
    /// The endpoint's address.
    pub address: SocketAddr,
    /// `total_successful_requests`.
    pub succeeded: u64,
    /// `total_error_requests`.
    pub failed: u64,
    /// `total_requests_in_progress`.
    pub in_progress: u64,
    /// `total_issued_requests`.
    pub issued: u64,
}

/// Why an entry of a load report is not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum LoadReportError {
    #[error("a count is larger than {MAX_COUNT}")]
    CountTooLarge,
    #[error("load_report_interval: under 10 ms or over an hour")]
    IntervalOutOfRange,
    #[error("total_issued_requests: more than ended or are in progress")]
    TooManyIssued,
}

/// Requests to one node, as one proxy or the control plane itself observed them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LoadCounts {
    succeeded: f64,
    failed: f64,
    connect_failures: f64,
    in_progress: f64,
    /// The latencies of all succeeded requests.
    total_latency: f64,
}

impl LoadCounts {
    /// The counts of an endpoint over an interval. The mean latency follows from how many requests are in
    /// progress and how many end (Little's law).
    pub fn checked(load: &EndpointLoad, interval: Micros) -> Result<LoadCounts, LoadReportError> {
        let EndpointLoad { succeeded, failed, in_progress, issued, .. } = *load;
        if [succeeded, failed, in_progress, issued].iter().any(|&count| count > MAX_COUNT) {
            return Err(LoadReportError::CountTooLarge);
        }
        if !INTERVALS.contains(&interval) {
            return Err(LoadReportError::IntervalOutOfRange);
        }
        // What ended in the interval may have been issued before it; what was issued in it has ended or is in
        // progress.
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

    /// The counts of one connection attempt of the control plane.
    fn probe(result: ProbeResult) -> LoadCounts {
        match result {
            ProbeResult::Reachable => LoadCounts { succeeded: 1.0, ..LoadCounts::default() },
            ProbeResult::Unreachable => LoadCounts { connect_failures: 1.0, ..LoadCounts::default() },
        }
    }

    fn ended(&self) -> f64 {
        self.succeeded + self.failed + self.connect_failures
    }

    /// Adds other counts; all but the requests in progress are weighted.
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

/// Whether a probe of a data node could connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was established.
    Reachable,
    /// It was refused, or not established in time.
    Unreachable,
}

/// What was reported of each node since it was last taken.
#[derive(Debug, Default)]
pub(crate) struct LoadReports {
    reported: BTreeMap<NodeId, BTreeMap<ProxyId, LoadCounts>>,
    /// Results of the control plane's own probes.
    probed: BTreeMap<NodeId, LoadCounts>,
}

impl LoadReports {
    /// Adds what a proxy reports of a node.
    pub fn add(&mut self, proxy: ProxyId, node: NodeId, counts: &LoadCounts) {
        self.reported.entry(node).or_default().entry(proxy).or_default().add(counts, 1.0);
    }

    /// Adds the result of a probe.
    pub fn add_probe(&mut self, node: NodeId, result: ProbeResult) {
        self.probed.insert(node, LoadCounts::probe(result));
    }

    /// Takes all reports since the last call, pooled by node.
    pub fn take(&mut self) -> Vec<(NodeId, LoadReport)> {
        let mut probed = std::mem::take(&mut self.probed);
        let mut pooled: Vec<(NodeId, LoadCounts)> = Vec::new();
        for (node, by_proxy) in std::mem::take(&mut self.reported) {
            pooled.push((node, pool(&by_proxy, probed.remove(&node))));
        }
        // A probe counts where no proxy reports anything.
        pooled.extend(probed);
        pooled.sort_by_key(|(node, _)| *node);
        pooled.into_iter().map(|(node, counts)| (node, counts.into())).collect()
    }
}

/// Pools the reports of several proxies on one node.
fn pool(by_proxy: &BTreeMap<ProxyId, LoadCounts>, probed: Option<LoadCounts>) -> LoadCounts {
    let max_ended = second_largest(by_proxy.values().map(LoadCounts::ended));
    let max_in_progress = second_largest(by_proxy.values().map(|counts| counts.in_progress));
    let mut pooled = LoadCounts::default();
    for counts in by_proxy.values() {
        let bounded = LoadCounts { in_progress: counts.in_progress.min(max_in_progress), ..*counts };
        pooled.add(&bounded, (max_ended / counts.ended().max(MIN_ENDED)).min(1.0));
    }
    // An unreachable node counts like the report of another proxy; a reachable one says nothing of its
    // answers.
    if let Some(probed) = probed.filter(|probed| probed.connect_failures > 0.0) {
        pooled.add(&probed, max_ended.max(1.0));
    }
    pooled
}

/// The second largest of some values, or the only one.
fn second_largest(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.iter().rev().nth(1).or(values.last()).copied().unwrap_or(0.0)
}

#[cfg(test)]
mod tests;
