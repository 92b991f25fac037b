//! Endpoint health and load shedding, for front ends that pass decisions on to other proxies.

use super::rig::*;
use super::*;

#[test]
fn endpoint_health_reports_warm_up_drain_and_removal() {
    let mut balancer = balancer_with(Idempotency::Idempotent, |settings| {
        settings.rules.cold_overload_window = 1_000_000;
        settings.rules.cold_overload_multiple = 2.0;
        settings.rules.cold_capacity_share = 0.25;
        settings.rules.warm_up = 10_000_000;
        settings.routers = 4.0;
    });
    let nodes = [(0, EndpointState::Ready, NOW - 6_000_000), (1, EndpointState::Draining, 0)];
    assert!(update_endpoints(&mut balancer, EndpointUpdate::Incremental, &nodes).0.is_empty());
    // At an age of 6 s the share is that of 5 s, before the window of 1 s: 2 x (0.25 + 0.75 x 5 s / 10 s), over 1.
    // At an age of 1 s it is 2 x 0.25.
    assert_eq!(balancer.endpoint_health(NOW, NodeId(0)), EndpointHealth::Healthy { capacity: 32.0 });
    assert_eq!(
        balancer.endpoint_health(NOW - 5_000_000, NodeId(0)),
        EndpointHealth::WarmingUp { capacity: 16.0, share: 0.5 }
    );
    assert_eq!(balancer.endpoint_health(NOW, NodeId(1)), EndpointHealth::Draining);
    assert_eq!(balancer.endpoint_health(NOW, NodeId(2)), EndpointHealth::Removed);
    update_endpoints(&mut balancer, EndpointUpdate::Incremental, &[(1, EndpointState::Removed, 0)]);
    assert_eq!(balancer.endpoint_health(NOW, NodeId(1)), EndpointHealth::Removed);
}

#[test]
fn a_load_report_ejects_a_node_only_when_most_requests_failed() {
    let mut balancer = balancer_with(Idempotency::Idempotent, |settings| settings.routers = 2.0);
    let report =
        |succeeded, failed| LoadReport { succeeded, failed, mean_latency: 1000, ..LoadReport::default() };
    balancer.load_reported(NOW, NodeId(0), &report(5.0, 5.0));
    assert_eq!(balancer.endpoint_health(NOW, NodeId(0)), EndpointHealth::Healthy { capacity: 16.0 });
    balancer.load_reported(NOW, NodeId(0), &report(4.0, 5.0));
    let EndpointHealth::EjectedUntil(until) = balancer.endpoint_health(NOW, NodeId(0)) else {
        panic!("node 0 is not ejected")
    };
    assert!(until > NOW);
    // After the ejection it is suspect until most requests are answered.
    assert!(matches!(balancer.endpoint_health(until, NodeId(0)), EndpointHealth::Suspect { .. }));
    balancer.load_reported(until, NodeId(0), &report(9.0, 1.0));
    assert!(matches!(balancer.endpoint_health(until, NodeId(0)), EndpointHealth::Healthy { .. }));
    // An unreachable node counts as warming up where the cold-overload rule applies.
    balancer.load_reported(
        until,
        NodeId(1),
        &LoadReport { connect_failures: 3.0, succeeded: 1.0, ..LoadReport::default() },
    );
    assert!(matches!(balancer.endpoint_health(until, NodeId(1)), EndpointHealth::EjectedUntil(_)));
    assert_eq!(balancer.nodes[NodeId(1)].last_connect_failure_at, until);
}

#[test]
fn new_work_is_shed_by_the_share_that_exceeds_capacity() {
    let mut balancer = balancer(Idempotency::Idempotent);
    let report =
        |in_flight| LoadReport { succeeded: 1.0, in_flight, mean_latency: 1000, ..LoadReport::default() };
    balancer.load_reported(NOW, NodeId(0), &report(8.0));
    assert_eq!(balancer.shed_fraction(NOW, &[NodeId(0), NodeId(1)]), 0.0);
    balancer.load_reported(NOW, NodeId(1), &report(24.0));
    assert!((balancer.shed_fraction(NOW, &[NodeId(0), NodeId(1)]) - 0.5).abs() < 0.05);
    assert_eq!(
        balancer.shed_fraction(NOW + 2 * RECENT_WINDOW, &[NodeId(0), NodeId(1)]),
        0.0,
        "an old report does not count"
    );
}
