//! Admission: queries that start, wait or are rejected, pacing, and canary attempts.

use super::rig::*;
use super::*;

/// A balancer with a query of four shard requests and a minimum completeness. The nodes in `rejecting` rejected
/// attempts recently.
fn balancer_with_partial_query(minimum: f64, rejecting: &[usize]) -> Balancer {
    let mut balancer = balancer_with(Idempotency::Idempotent, |settings| {
        settings.classes[0].completeness_minimum = minimum;
        settings.classes[0].partial_value = 0.9;
    });
    for &node in rejecting {
        let node = &mut balancer.nodes[NodeId(node)];
        node.consecutive_rejections = 1;
        node.rejection_backoff_until = NOW - 1;
    }
    arrive(&mut balancer, 0, 4);
    balancer
}

fn count_abandoned(balancer: &Balancer) -> usize {
    (1..5).filter(|&id| balancer.queries[ShardRequestId(id)].is_abandoned()).count()
}

#[test]
fn a_query_waits_at_the_concurrency_limit_and_is_rejected_at_its_latency_objective() {
    let mut balancer = balancer(Idempotency::NonIdempotent);
    arrive(&mut balancer, 0, 12);
    assert_eq!(decide(&mut balancer, NOW).len(), 12);
    arrive(&mut balancer, 20, 6);
    assert!(decide(&mut balancer, NOW).is_empty(), "capacity is left for four of six shard requests");
    assert_eq!(decide(&mut balancer, NOW + 999_000).last().map(String::as_str), Some("20 Rejected(0)"));
}

#[test]
fn while_attempts_are_rejected_large_queries_are_paced() {
    let count_sent = |rejections: &[f64], size: usize| {
        let mut balancer =
            balancer_with(Idempotency::Idempotent, |settings| settings.batch.max_shard_requests = Some(1));
        for &rejected in rejections {
            balancer.admission.rejections.push(NOW, rejected);
        }
        arrive(&mut balancer, 0, 2);
        arrive(&mut balancer, 10, size);
        let at_once = decide(&mut balancer, NOW).len();
        (at_once, at_once + decide(&mut balancer, NOW + 900_000).len())
    };
    let (few_rejections, many_rejections) =
        ([&[1.0][..], &[0.0; 99]].concat(), [[1.0; 25], [0.0; 25]].concat());
    assert_eq!(count_sent(&few_rejections, 2), (4, 4));
    assert_eq!(count_sent(&many_rejections, 2), (2, 2));
    let mut balancer =
        balancer_with(Idempotency::Idempotent, |settings| settings.batch.max_shard_requests = Some(1));
    balancer.admission.paced_until = NOW + 1;
    arrive(&mut balancer, 0, 1);
    assert_eq!(decide(&mut balancer, NOW).len(), 1);
}

#[test]
fn the_last_retry_of_a_client_shows_how_much_of_the_latency_objective_has_passed() {
    let mut balancer =
        balancer_with(Idempotency::Idempotent, |settings| settings.classes[0].deadline = 3_000_000);
    balancer.query_arrived(NOW, &query(0, NOW + 2_000_000, 1));
    assert_eq!(balancer.queries[QueryId(0)].latency_objective, NOW + 1_000_000);
    balancer.query_arrived(NOW, &query(1, NOW + 2_500_000, 1));
    assert_eq!(balancer.queries[QueryId(1)].latency_objective, NOW + 500_000);
}

#[test]
fn queries_beyond_a_tenants_quota_wait_behind_others() {
    let mut balancer = balancer_with(Idempotency::Idempotent, |settings| {
        settings.tenants = vec![TenantSettings { quota_per_second: Some(1.0), ..Default::default() }];
    });
    for id in 0..4 {
        balancer.query_arrived(NOW, &query(id, NOW + 3_000_000, 1));
    }
    assert_eq!((balancer.queries[QueryId(2)].queue_rank, balancer.queries[QueryId(3)].queue_rank), (0, 1));
}

#[test]
fn nothing_is_sent_for_a_client_that_disconnected() {
    let mut balancer = balancer(Idempotency::Idempotent);
    arrive(&mut balancer, 0, 1);
    balancer.client_disconnected(NOW, QueryId(0));
    assert!(decide(&mut balancer, NOW).is_empty());
}

#[test]
fn a_query_that_crashes_nodes_is_rejected_and_its_retry_recognized() {
    let mut balancer = balancer(Idempotency::Idempotent);
    arrive(&mut balancer, 0, 2);
    assert_eq!(decide(&mut balancer, NOW).len(), 2);
    end_attempt(&mut balancer, NOW + 5, attempt(1, 0), NodeId(0), AttemptOutcome::ConnectionLost, 5);
    assert!(decide(&mut balancer, NOW + 5).is_empty(), "no retry before the first answer");
    end_attempt(&mut balancer, NOW + 9, attempt(2, 0), NodeId(1), AttemptOutcome::ConnectionLost, 9);
    assert_eq!(decide(&mut balancer, NOW + 9), ["0 Rejected(0)"]);
    balancer.query_arrived(NOW + 20, &QueryArrival { is_retry: true, ..query(10, NOW + 3_000_000, 2) });
    for id in 11..13 {
        balancer.shard_request_arrived(NOW + 20, &shard_request(id, 10, 0, 0.5));
    }
    assert_eq!(decide(&mut balancer, NOW + 20), ["10 Rejected(0)"]);
}

#[test]
fn a_shard_request_during_which_a_node_crashed_is_retried_once_another_is_answered() {
    let mut balancer = balancer(Idempotency::Idempotent);
    arrive(&mut balancer, 0, 2);
    decide(&mut balancer, NOW);
    end_attempt(&mut balancer, NOW + 5, attempt(1, 0), NodeId(0), AttemptOutcome::ConnectionLost, 5);
    end_attempt(&mut balancer, NOW + 9, attempt(2, 0), NodeId(1), AttemptOutcome::Succeeded, 9);
    assert_eq!(decide(&mut balancer, NOW + 9), ["send 1 1"]);
}

#[test]
fn while_nodes_keep_crashing_a_canary_batch_is_sent_first() {
    let mut balancer = balancer(Idempotency::Idempotent);
    balancer.admission.crashes.push_times(NOW, 1.0, CANARY_CRASH_THRESHOLD);
    arrive(&mut balancer, 0, 2);
    assert_eq!(decide(&mut balancer, NOW), ["send 1 0"]);
    end_attempt(&mut balancer, NOW + 9, attempt(1, 0), NodeId(0), AttemptOutcome::Succeeded, 9);
    assert_eq!(decide(&mut balancer, NOW + 9).len(), 1);
}

#[test]
fn surplus_is_abandoned_where_all_replicas_reject_attempts() {
    let abandoned_of = |minimum, rejecting: &[usize]| {
        let mut balancer = balancer_with_partial_query(minimum, rejecting);
        balancer.abandon_surplus(NOW, QueryId(0));
        count_abandoned(&balancer)
    };
    // Half of the weight that the minimum does not require is a quarter: one shard request of four.
    assert_eq!((abandoned_of(0.5, &[0, 1]), abandoned_of(0.5, &[0]), abandoned_of(1.0, &[0, 1])), (1, 0, 0));
    // An old rejection does not count.
    let mut balancer = balancer_with_partial_query(0.5, &[0, 1]);
    balancer.nodes[NodeId(0)].rejection_backoff_until = NOW - RECENT_WINDOW - 1;
    balancer.abandon_surplus(NOW, QueryId(0));
    assert_eq!(count_abandoned(&balancer), 0);
}

#[test]
fn a_rejected_shard_request_is_abandoned_once_the_query_can_only_be_partial() {
    let mut balancer = balancer_with_partial_query(0.5, &[]);
    assert_eq!(decide(&mut balancer, NOW).len(), 4);
    end_attempt(&mut balancer, NOW + 9, attempt(1, 0), NodeId(0), AttemptOutcome::Rejected, 9);
    balancer.abandon_surplus(NOW + 9, QueryId(0));
    assert_eq!(count_abandoned(&balancer), 0, "another replica may have capacity");
    let mut balancer = balancer_with_partial_query(0.0, &[]);
    decide(&mut balancer, NOW);
    balancer.queries[ShardRequestId(4)].abandon();
    end_attempt(&mut balancer, NOW + 9, attempt(1, 0), NodeId(0), AttemptOutcome::Rejected, 9);
    balancer.abandon_surplus(NOW + 9, QueryId(0));
    assert!(balancer.queries[ShardRequestId(1)].is_abandoned());
}
