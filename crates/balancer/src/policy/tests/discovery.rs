//! Endpoint updates and the requests for them.

use super::rig::*;
use super::*;

#[test]
fn a_draining_or_unlisted_node_receives_no_new_attempts() {
    let mut balancer = balancer(Idempotency::Idempotent);
    update_endpoints(&mut balancer, EndpointUpdate::Incremental, &[(0, EndpointState::Draining, 0)]);
    assert_eq!(balancer.shards.replicas(0), [NodeId(1)]);
    update_endpoints(&mut balancer, EndpointUpdate::Full, &[(0, EndpointState::Ready, 0)]);
    assert_eq!(balancer.shards.replicas(0), [NodeId(0)]);
    update_endpoints(&mut balancer, EndpointUpdate::Failed, &[]);
    assert_eq!(balancer.shards.replicas(0), [NodeId(0)], "the old list is kept");
}

#[test]
fn a_polled_list_is_requested_again_later_after_a_failure() {
    let mut balancer = balancer(Idempotency::Idempotent);
    balancer.deployment.poll_interval = Some(10_000_000);
    assert_eq!(decide(&mut balancer, NOW), ["watch true"]);
    update_endpoints(&mut balancer, EndpointUpdate::Failed, &[]);
    assert!(decide(&mut balancer, NOW + 499_000).is_empty());
    assert_eq!(decide(&mut balancer, NOW + 1_500_000), ["watch true"]);
    update_endpoints(&mut balancer, EndpointUpdate::Incremental, &[]);
    assert!(decide(&mut balancer, NOW + 60_000_000).is_empty());
}

#[test]
fn a_removed_node_is_released_once_nothing_refers_to_it() {
    for update in [EndpointUpdate::Incremental, EndpointUpdate::Full] {
        let mut balancer = balancer(Idempotency::Idempotent);
        arrive(&mut balancer, 10, 1);
        assert_eq!(decide(&mut balancer, NOW), ["send 11 0"]);
        balancer.nodes[NodeId(0)].class_health_mut(0).failure_score = 3;
        let nodes = [(0, EndpointState::Removed, 0), (1, EndpointState::Ready, 0)];
        let nodes = if update == EndpointUpdate::Full { &nodes[1..] } else { &nodes[..] };
        update_endpoints(&mut balancer, update, nodes);
        assert!(decide(&mut balancer, NOW + 1).is_empty());
        end_attempt(&mut balancer, NOW + 2, attempt(11, 0), NodeId(0), AttemptOutcome::Succeeded, 2);
        assert_eq!(decide(&mut balancer, NOW + 2), ["10 Complete", "release 0"]);
        update_endpoints(&mut balancer, EndpointUpdate::Incremental, &[(0, EndpointState::Ready, 0)]);
        assert_eq!(
            balancer.preference(NOW + 3, NodeId(0), 0),
            Preference::Healthy,
            "a node that reuses the id has no failures"
        );
        assert!(decide(&mut balancer, NOW + 3).is_empty());
    }
    // A draining node is not removed: its attempts may still be answered.
    let mut balancer = balancer(Idempotency::Idempotent);
    update_endpoints(&mut balancer, EndpointUpdate::Incremental, &[(0, EndpointState::Draining, 0)]);
    assert!(decide(&mut balancer, NOW).is_empty());
}

/// Returns the time from a failed request for the endpoint list to the next request.
fn delay_after_failure(balancer: &mut Balancer, now: Micros) -> Micros {
    balancer.endpoint_update_started(now, EndpointUpdate::Failed);
    balancer.endpoint_update_finished(now, &mut Recorder::default());
    let is_request = |at: &Micros| decide(balancer, *at).contains(&"watch true".to_string());
    (now..).step_by(10_000).find(is_request).expect("a further request") - now
}

/// Guards against drains that are learned too late: 4 s after a change of the address and 6 s after discovery has
/// recovered, three requests must have been made, so that two of them may fail.
#[test]
fn three_requests_for_a_polled_list_fit_into_the_time_in_which_a_change_counts_as_delivered() {
    for failures in 0..6 {
        let mut balancer = balancer(Idempotency::Idempotent);
        balancer.deployment.poll_interval = Some(10_000_000);
        assert_eq!(decide(&mut balancer, NOW), ["watch true"]);
        let mut now = NOW;
        for _ in 0..failures {
            now += delay_after_failure(&mut balancer, now);
        }
        let after_recovery =
            delay_after_failure(&mut balancer, now) + delay_after_failure(&mut balancer, now + 2_000_000);
        assert!(after_recovery <= 4_020_000, "{after_recovery} us after {failures} failures");
        now += 5_000_000;
        balancer.discovery_address_changed(now);
        let first = delay_after_failure(&mut balancer, now);
        let second = delay_after_failure(&mut balancer, now + first);
        assert!(first + second <= 2_100_000, "{first} and {second} us after a change of the address");
    }
}

/// Guards against drains that are learned too late when the new address of discovery answers only shortly before its
/// changes count as delivered: a request is made at any time within the grace of 0.5 s that follows.
#[test]
fn requests_that_fail_within_four_seconds_of_a_change_of_the_address_are_repeated_within_the_grace() {
    let mut balancer = balancer(Idempotency::Idempotent);
    balancer.deployment.poll_interval = Some(10_000_000);
    balancer.discovery_address_changed(NOW);
    let mut now = NOW;
    while now < NOW + 4_000_000 {
        let delay = delay_after_failure(&mut balancer, now);
        assert!(delay <= 510_000, "{delay} us, {} us after the change", now - NOW);
        now += delay;
    }
}

const NODES: [(usize, EndpointState, Micros); 2] =
    [(0, EndpointState::Ready, 0), (1, EndpointState::Ready, 0)];

/// Guards against work for nodes that were withdrawn while the router was away (`review/9`).
#[test]
fn a_provisional_list_is_not_used_before_the_full_list_has_arrived() {
    let mut balancer = balancer(Idempotency::Idempotent);
    update_endpoints(&mut balancer, EndpointUpdate::Provisional, &NODES);
    arrive(&mut balancer, 10, 1);
    for update in [EndpointUpdate::Failed, EndpointUpdate::Incremental] {
        update_endpoints(&mut balancer, update, &[]);
        assert!(decide(&mut balancer, NOW).is_empty() && balancer.awaits_endpoint_list(), "{update:?}");
    }
    update_endpoints(&mut balancer, EndpointUpdate::Full, &NODES[1..]);
    assert!(!balancer.awaits_endpoint_list());
    assert_eq!(decide(&mut balancer, NOW)[..1], ["send 11 1"]);
}

#[test]
fn a_query_that_waits_for_the_endpoint_list_is_rejected_in_time() {
    let mut balancer = balancer(Idempotency::NonIdempotent);
    update_endpoints(&mut balancer, EndpointUpdate::Provisional, &NODES);
    arrive(&mut balancer, 10, 1);
    assert!(decide(&mut balancer, NOW + 900_000).is_empty());
    assert_eq!(decide(&mut balancer, NOW + 1_000_000), ["10 Rejected(0)"]);
}

/// Guards against a router that stays out of service for as long as discovery is down, and against one that is ready later
/// than the 10 s within which the platform expects it.
#[test]
fn a_provisional_list_is_used_if_the_full_list_does_not_arrive_in_time() {
    const MAX_TIME_TO_READY: Micros = 10_000_000;
    let mut balancer = balancer(Idempotency::Idempotent);
    update_endpoints(&mut balancer, EndpointUpdate::Provisional, &NODES);
    assert!(decide(&mut balancer, NOW + 6_000_000).is_empty() && balancer.awaits_endpoint_list());
    let timer_at = balancer.discovery.timer_at.expect("a timer for the end of the wait");
    assert!(timer_at < NOW + MAX_TIME_TO_READY);
    decide(&mut balancer, timer_at);
    assert!(!balancer.awaits_endpoint_list());
    balancer.query_arrived(timer_at, &query(10, timer_at + 3_000_000, 1));
    balancer.shard_request_arrived(timer_at, &shard_request(11, 10, 0, 1.0));
    assert_eq!(decide(&mut balancer, timer_at)[..1], ["send 11 0"]);
}

#[test]
fn a_cached_list_is_used_at_once() {
    let mut balancer = balancer(Idempotency::Idempotent);
    update_endpoints(&mut balancer, EndpointUpdate::Provisional, &NODES);
    update_endpoints(&mut balancer, EndpointUpdate::Cached, &NODES);
    arrive(&mut balancer, 10, 1);
    assert_eq!(decide(&mut balancer, NOW)[..1], ["send 11 0"]);
}
