//! Selection of the node for a shard request: preference, capacity and slow start.

use super::rig::*;
use super::*;

#[test]
fn a_query_fans_out_to_the_least_recently_used_nodes_and_completes_once_all_have_answered() {
    let mut balancer = balancer(Idempotency::Idempotent);
    arrive(&mut balancer, 0, 2);
    assert_eq!(decide(&mut balancer, NOW), ["send 1 0", "send 2 1"]);
    end_attempt(&mut balancer, NOW + 9, attempt(1, 0), NodeId(0), AttemptOutcome::Succeeded, 9);
    assert!(decide(&mut balancer, NOW + 9).is_empty());
    end_attempt(&mut balancer, NOW + 10, attempt(2, 0), NodeId(1), AttemptOutcome::Succeeded, 10);
    assert_eq!(decide(&mut balancer, NOW + 10), ["0 Complete"]);
}

#[test]
fn routers_without_measurements_start_at_different_nodes() {
    let first_decision = |seed| {
        let mut balancer = balancer(Idempotency::Idempotent);
        balancer.random = fastrand::Rng::with_seed(seed);
        balancer.nodes.clear();
        update_endpoints(
            &mut balancer,
            EndpointUpdate::Cached,
            &[(0, EndpointState::Ready, 0), (1, EndpointState::Ready, 0)],
        );
        arrive(&mut balancer, 0, 1);
        decide(&mut balancer, NOW)
    };
    let starts_at_node_1 = (0..100).filter(|&seed| first_decision(seed) == ["send 1 1"]).count();
    assert!((30..=70).contains(&starts_at_node_1), "{starts_at_node_1} of 100 routers start at node 1");
}

#[test]
fn shard_requests_share_a_batch_where_batches_carry_several() {
    let mut balancer =
        balancer_with(Idempotency::Idempotent, |settings| settings.batch.max_shard_requests = Some(4));
    arrive(&mut balancer, 0, 2);
    assert_eq!(decide(&mut balancer, NOW), ["send 1 0", "send 2 0"]);
}

#[test]
fn a_non_idempotent_shard_request_avoids_a_node_that_failed_recently() {
    let mut balancer = balancer(Idempotency::NonIdempotent);
    balancer.nodes[NodeId(0)].class_health_mut(0).failure_score = 1;
    arrive(&mut balancer, 0, 1);
    assert_eq!(decide(&mut balancer, NOW), ["send 1 1"]);
}

#[test]
fn a_node_that_reached_its_limit_is_used_again_only_for_a_full_batch() {
    let mut balancer =
        balancer_with(Idempotency::Idempotent, |settings| settings.batch.max_shard_requests = Some(4));
    arrive(&mut balancer, 0, 8);
    decide(&mut balancer, NOW);
    arrive(&mut balancer, 20, 8);
    assert_eq!(decide(&mut balancer, NOW).len(), 8);
    balancer.now = NOW + 9;
    for id in 1..4 {
        end_attempt(&mut balancer, NOW + 9, attempt(id, 0), NodeId(0), AttemptOutcome::Succeeded, 9);
    }
    assert_eq!(balancer.capacity(NodeId(0), 0, 0), 0);
    end_attempt(&mut balancer, NOW + 9, attempt(4, 0), NodeId(0), AttemptOutcome::Succeeded, 9);
    assert_eq!(balancer.capacity(NodeId(0), 0, 0), 4);
}

/// The balancer of one of three routers. It may send node 0, which starts now, 400 ms of work in 3 s.
fn one_of_three_routers_with_a_warming_node() -> Balancer {
    let mut balancer = balancer_with(Idempotency::Idempotent, |settings| {
        settings.rules.warm_up = 10_000_000;
        settings.rules.cold_overload_window = 3_000_000;
        settings.rules.cold_capacity_share = 0.2;
    });
    (balancer.deployment.cold_overload.multiple, balancer.deployment.routers) = (2.0, 3.0);
    update_endpoints(&mut balancer, EndpointUpdate::Incremental, &[(0, EndpointState::Ready, NOW)]);
    balancer
}

#[test]
fn a_warming_node_gets_no_more_than_this_routers_share() {
    let mut balancer = one_of_three_routers_with_a_warming_node();
    // 2 x 0.2 x 3 s / 3 is 400 ms of work; a shard request counts as 100 ms until latencies are known.
    assert!(
        balancer.slow_start_allows(NOW, NodeId(0), 4, 0) && !balancer.slow_start_allows(NOW, NodeId(0), 5, 0)
    );
    balancer.nodes[NodeId(0)].work_sent.push(NOW, 100_001.0);
    assert!(
        !balancer.slow_start_allows(NOW, NodeId(0), 3, 0)
            && balancer.slow_start_allows(NOW + 10_000_000, NodeId(0), 3, 0)
    );
}

#[test]
fn among_many_routers_a_warming_node_gets_a_batch_once_the_allowance_has_accrued() {
    let mut balancer = balancer_with(Idempotency::Idempotent, |settings| {
        settings.rules.warm_up = 10_000_000;
        settings.rules.cold_overload_window = 3_000_000;
        settings.routers = 100.0;
    });
    update_endpoints(&mut balancer, EndpointUpdate::Incremental, &[(0, EndpointState::Ready, NOW)]);
    balancer.statistics.mean_work_rate = 0.1;
    assert!(
        !balancer.slow_start_allows(NOW, NodeId(0), 1, 0)
            && balancer.slow_start_allows(NOW + 1_000_000, NodeId(0), 1, 0)
    );
    balancer.nodes[NodeId(0)].work_sent.push(NOW + 1_000_000, 100_000.0);
    assert!(
        !balancer.slow_start_allows(NOW + 1_500_000, NodeId(0), 1, 0)
            && balancer.slow_start_allows(NOW + 2_000_000, NodeId(0), 1, 0)
    );
}

#[test]
fn among_few_routers_a_warming_node_gets_the_allowance_of_a_window_and_no_more() {
    let mut balancer = one_of_three_routers_with_a_warming_node();
    balancer.statistics.mean_work_rate = 0.1;
    balancer.nodes[NodeId(0)].work_sent.push(NOW, 400_000.0);
    // The work that was sent leaves the window after 3 s.
    assert!(!balancer.slow_start_allows(NOW + 2_900_000, NodeId(0), 1, 0));
    assert!(balancer.slow_start_allows(NOW + 3_100_000, NodeId(0), 1, 0));
}

#[test]
fn the_mean_work_rate_counts_from_the_start_of_the_router() {
    // 0.5 s of work for two nodes, with the first decision 1 s, 10 s or 90 s ago. The mean is over 10 s at most.
    let mean_work_rate_after = |uptime: Micros| {
        let mut balancer = balancer(Idempotency::Idempotent);
        balancer.refresh_statistics(NOW - uptime);
        balancer.statistics.work_sent.push(NOW - 10, 500_000.0);
        balancer.refresh_statistics(NOW);
        balancer.statistics.mean_work_rate
    };
    assert_eq!(
        (mean_work_rate_after(1_000_000), mean_work_rate_after(10_000_000), mean_work_rate_after(90_000_000)),
        (0.25, 0.025, 0.025)
    );
}

#[test]
fn among_many_routers_a_limit_below_one_batch_is_a_pause_and_a_suspect_node_gets_one_shard_request() {
    let mut balancer = balancer_with(Idempotency::Idempotent, |settings| {
        settings.routers = 64.0;
        settings.batch.max_shard_requests = Some(4);
    });
    balancer.nodes[NodeId(0)].concurrency_limit = 1.0;
    balancer.adjust_concurrency_limit(NOW, observation(0, 0, AttemptOutcome::Succeeded, 500_000));
    assert!(balancer.nodes[NodeId(0)].paused_until > NOW + 1_000_000);
    balancer.now = NOW + 1_000_000;
    assert_eq!(balancer.capacity(NodeId(0), 0, 0), 0);
    balancer.now = NOW + 5_000_000;
    assert_eq!(balancer.capacity(NodeId(0), 0, 0), 4);
    balancer.nodes[NodeId(0)].class_health_mut(0).failure_score = 1;
    assert_eq!(balancer.capacity(NodeId(0), 0, 0), 1);
}

#[test]
fn a_non_idempotent_shard_request_avoids_a_node_that_fails_a_tenth_of_its_attempts() {
    let mut balancer = balancer(Idempotency::NonIdempotent);
    for offset in 0..10 {
        balancer.record_observation(NOW + offset, observation(0, 0, AttemptOutcome::Succeeded, 9));
    }
    balancer.record_observation(NOW + 10, observation(0, 0, AttemptOutcome::ConnectionLost, 9));
    balancer.record_observation(NOW + 11, observation(0, 0, AttemptOutcome::Succeeded, 9));
    assert_eq!(balancer.preference(NOW + 11, NodeId(0), 0), Preference::Healthy);
    balancer.record_observation(NOW + 12, observation(0, 0, AttemptOutcome::ConnectionLost, 9));
    balancer.record_observation(NOW + 13, observation(0, 0, AttemptOutcome::Succeeded, 9));
    assert_eq!(balancer.preference(NOW + 13, NodeId(0), 0), Preference::Degraded);
    assert_eq!(
        balancer.preference(NOW + 13 + RECENT_WINDOW, NodeId(0), 0),
        Preference::Healthy,
        "failures older than the window do not count"
    );
}
