//! Node health, ejection and concurrency limits from the outcomes of attempts.

use super::rig::*;
use super::*;

#[test]
fn a_connect_failure_does_not_eject_a_node_that_answered_meanwhile() {
    for (answered, ejected) in [(NOW + 100_000, false), (NOW - 100_000, true)] {
        let mut balancer = balancer(Idempotency::Idempotent);
        balancer.record_observation(answered, observation(0, 0, AttemptOutcome::Succeeded, 5));
        balancer.record_observation(NOW + 250_000, observation(0, 0, AttemptOutcome::ConnectFailed, 250_000));
        let node = &balancer.nodes[NodeId(0)];
        assert_eq!(
            (node.class_health(0).ejected_until > NOW + 250_000, node.last_connect_failure_at > 0),
            (ejected, ejected)
        );
    }
}

#[test]
fn a_failing_node_is_ejected_for_longer_each_time_until_it_restarts() {
    let mut balancer = balancer(Idempotency::Idempotent);
    balancer.record_observation(NOW, observation(0, 0, AttemptOutcome::ServerError, 5));
    balancer.record_observation(NOW, observation(0, 0, AttemptOutcome::ServerError, 5));
    assert_eq!(
        (
            balancer.nodes[NodeId(0)].class_health(0).failure_score,
            balancer.nodes[NodeId(0)].class_health(0).ejected_until
        ),
        (1, NOW + 500_000)
    );
    balancer.record_observation(NOW + 500_000, observation(0, 0, AttemptOutcome::ServerError, 5));
    assert_eq!(balancer.nodes[NodeId(0)].class_health(0).ejected_until, NOW + 1_500_000);
    update_endpoints(&mut balancer, EndpointUpdate::Incremental, &[(0, EndpointState::Ready, NOW + 600_000)]);
    assert_eq!(balancer.nodes[NodeId(0)].class_health(0).ejected_until, 0);
}

#[test]
fn a_node_is_unavailable_after_a_rejection_until_it_answers() {
    let mut balancer = balancer(Idempotency::Idempotent);
    balancer.record_observation(NOW, observation(0, 0, AttemptOutcome::Rejected, 5));
    assert_eq!(balancer.preference(NOW + 50_000, NodeId(0), 0), Preference::Unavailable);
    balancer.record_observation(NOW + 60_000, observation(0, 0, AttemptOutcome::Succeeded, 5));
    assert_eq!(balancer.preference(NOW + 60_000, NodeId(0), 0), Preference::Healthy);
}

#[test]
fn latencies_near_the_objective_reduce_the_concurrency_limit() {
    let mut balancer = balancer(Idempotency::Idempotent);
    balancer.adjust_concurrency_limit(NOW, observation(0, 0, AttemptOutcome::Succeeded, 600_000));
    assert!(balancer.nodes[NodeId(0)].concurrency_limit < 3.0);
    balancer.adjust_concurrency_limit(NOW + 1, observation(0, 0, AttemptOutcome::Succeeded, 100_000));
    assert!(balancer.nodes[NodeId(0)].concurrency_limit > 2.0);
}

#[test]
fn an_unreachable_node_counts_as_warming_up_until_it_answers_in_time() {
    let mut balancer = balancer(Idempotency::Idempotent);
    let rule = &mut balancer.deployment.cold_overload;
    (rule.window, rule.multiple) = (3_000_000, 1.0);
    (rule.initial_capacity_share, rule.warm_up) = (0.1, 10_000_000);
    balancer.nodes[NodeId(0)].work_sent.push(NOW, 1e6);
    assert!(balancer.slow_start_allows(NOW, NodeId(0), 1, 0));
    balancer.record_observation(NOW, observation(0, 0, AttemptOutcome::ConnectFailed, 5));
    assert!(!balancer.slow_start_allows(NOW, NodeId(0), 1, 0));
    // A connect failure counts as a crash only after a lost connection, and only an answer in time shows that the node
    // is warm.
    assert!(
        balancer.nodes[NodeId(0)].class_health(0).ejected_until > NOW
            && balancer.admission.crashes.count(0) == 0
    );
    balancer.record_observation(NOW + 1, observation(1, 0, AttemptOutcome::ConnectionLost, 5));
    balancer.record_observation(NOW + 2, observation(1, 0, AttemptOutcome::ConnectFailed, 5));
    assert_eq!(balancer.admission.crashes.count(0), 1);
    balancer.record_observation(NOW + 2, observation(0, 0, AttemptOutcome::Succeeded, 500_000));
    assert!(!balancer.slow_start_allows(NOW + 2, NodeId(0), 1, 0));
    balancer.record_observation(NOW + 3, observation(0, 0, AttemptOutcome::Succeeded, 50_000));
    assert!(balancer.slow_start_allows(NOW + 3, NodeId(0), 1, 0));
}

#[test]
fn cross_zone_latency_does_not_reduce_the_concurrency_limit() {
    let mut balancer = balancer(Idempotency::Idempotent);
    balancer.statistics.cross_zone_latencies = vec![0, 400_000];
    balancer.nodes[NodeId(1)].zone = 1;
    balancer.adjust_concurrency_limit(NOW, observation(1, 0, AttemptOutcome::Succeeded, 600_000));
    assert_eq!(balancer.nodes[NodeId(1)].concurrency_limit, MAX_CONCURRENCY_LIMIT);
}

#[test]
fn the_maximum_idle_time_is_the_shortest_after_which_losses_are_frequent() {
    let mut balancer = balancer(Idempotency::Idempotent);
    for _ in 0..8 {
        balancer.record_idle_time(NOW, false, 500_000);
    }
    for _ in 0..2 {
        balancer.record_idle_time(NOW, true, 3_000_000);
    }
    assert_eq!(balancer.statistics.max_idle_time, 3_000_000);
    for _ in 0..20 {
        balancer.record_idle_time(NOW, true, 200_000);
    }
    assert_eq!(
        balancer.statistics.max_idle_time, 200_000,
        "losses that also follow short idle times are not attributed to long ones"
    );
}

#[test]
fn a_late_attempt_does_not_eject_a_node_for_a_class_that_got_an_answer_since() {
    let mut balancer = balancer(Idempotency::Idempotent);
    balancer.classes.push(balancer.classes[0].clone());
    balancer.nodes[NodeId(0)].class_health_mut(1).last_success_at = NOW;
    balancer.record_observation(NOW + 5, observation(0, 0, AttemptOutcome::TimedOut, 2_000_000));
    assert_eq!(
        (
            balancer.nodes[NodeId(0)].class_health(0).failure_score,
            balancer.nodes[NodeId(0)].class_health(1).failure_score
        ),
        (1, 0)
    );
}

#[test]
fn a_suspect_node_gets_one_batch_at_a_time_until_it_answers() {
    for outcome in [AttemptOutcome::MalformedResponse, AttemptOutcome::ConnectionLost] {
        let mut balancer =
            balancer_with(Idempotency::Idempotent, |settings| settings.batch.max_shard_requests = Some(4));
        assert_eq!(after_first_attempt(&mut balancer, outcome, NOW + 9), ["send 11 1"]);
        balancer.record_observation(NOW + 10, observation(0, 0, outcome, 9));
        let node = &balancer.nodes[NodeId(0)];
        assert_eq!(
            (
                node.class_health(0).ejected_until,
                node.last_connect_failure_at,
                balancer.admission.crashes.count(0)
            ),
            (0, 0, 0)
        );
        assert_eq!(
            (balancer.preference(NOW + 11, NodeId(0), 0), balancer.capacity(NodeId(0), 0, 0)),
            (Preference::Healthy, 4)
        );
        balancer.nodes[NodeId(0)].in_flight.push(InFlightAttempt {
            shard_request: ShardRequestId(50),
            number: AttemptNumber(0),
            sent_at: NOW,
            idle_time: 0,
        });
        assert_eq!(
            (balancer.preference(NOW + 11, NodeId(0), 0), balancer.capacity(NodeId(0), 0, 0)),
            (Preference::Degraded, 0)
        );
        balancer.record_observation(NOW + 12, observation(0, 0, AttemptOutcome::Succeeded, 9));
        assert_eq!(
            (balancer.preference(NOW + 12, NodeId(0), 0), balancer.capacity(NodeId(0), 0, 0)),
            (Preference::Healthy, 7)
        );
    }
}
