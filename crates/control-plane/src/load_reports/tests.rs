//! Tests of the pooling of load reports.

use super::*;

const SECOND: Micros = 1_000_000;
const NODE: NodeId = NodeId(5);

fn load([succeeded, failed, in_progress, issued]: [u64; 4]) -> EndpointLoad {
    EndpointLoad { address: ([127, 0, 0, 1], 1).into(), succeeded, failed, in_progress, issued }
}

fn checked(counts: [u64; 4]) -> LoadCounts {
    LoadCounts::checked(&load(counts), SECOND).expect("valid counts")
}

fn ended(succeeded: u64, failed: u64) -> LoadCounts {
    checked([succeeded, failed, 0, 0])
}

fn failed_share(report: &LoadReport) -> f64 {
    (report.failed + report.connect_failures) / (report.succeeded + report.failed + report.connect_failures)
}

#[test]
fn one_proxy_cannot_outweigh_another_however_much_it_reports() {
    let [first, second, third] = [0, 1, 2].map(ProxyId);
    let mut reports = LoadReports::default();
    reports.add(first, NODE, &ended(0, 1_000_000));
    reports.add(second, NODE, &ended(3, 0));
    assert_eq!(failed_share(&reports.take()[0].1), 0.5);
    // The same holds if the proxy reports often, and against several proxies.
    for _ in 0..100 {
        reports.add(first, NODE, &ended(0, 1000));
    }
    reports.add(second, NODE, &ended(30, 0));
    reports.add(third, NODE, &ended(20, 0));
    assert!(failed_share(&reports.take()[0].1) <= 0.5);
    // A proxy that reports a billion requests in progress cannot make a node appear fully loaded.
    reports.add(first, NODE, &checked([0, 0, 1_000_000_000, 0]));
    reports.add(second, NODE, &checked([9, 0, 2, 0]));
    assert_eq!(reports.take()[0].1.in_flight, 4.0);
    // Failures outweigh successes if two of three proxies report them, or the only one that reports on a node.
    for proxy in [first, second] {
        reports.add(proxy, NODE, &ended(0, 9));
    }
    reports.add(third, NODE, &ended(9, 0));
    reports.add(first, NodeId(6), &ended(1, 9));
    let pooled = reports.take();
    assert!(failed_share(&pooled[0].1) > 0.6 && failed_share(&pooled[1].1) > 0.8);
    assert!(reports.take().is_empty(), "each report counts once");
}

#[test]
fn a_failed_probe_counts_like_a_report_and_a_successful_one_does_not() {
    let mut reports = LoadReports::default();
    reports.add(ProxyId(0), NodeId(1), &ended(0, 4));
    reports.add_probe(NodeId(1), ProbeResult::Reachable);
    reports.add_probe(NodeId(2), ProbeResult::Unreachable);
    let pooled = reports.take();
    assert_eq!((pooled[0].1.succeeded, pooled[0].1.failed), (0.0, 4.0));
    assert_eq!((pooled[1].0, pooled[1].1.connect_failures), (NodeId(2), 1.0));
}

#[test]
fn impossible_counts_are_rejected() {
    let is_rejected = |counts, interval| LoadCounts::checked(&load(counts), interval).is_err();
    assert!(is_rejected([u64::MAX, 0, 0, 0], SECOND));
    assert!(is_rejected([1, 0, 0, 9], SECOND));
    assert!(is_rejected([1, 0, 0, 1], 0) && is_rejected([1, 0, 0, 1], Micros::MAX));
}

#[test]
fn the_mean_latency_follows_from_requests_in_progress_and_ended() {
    // Four requests in progress and two that end per second: a mean latency of two seconds.
    let mut reports = LoadReports::default();
    reports.add(ProxyId(0), NodeId(0), &checked([2, 0, 4, 2]));
    assert_eq!(reports.take()[0].1.mean_latency, 2_000_000);
}
