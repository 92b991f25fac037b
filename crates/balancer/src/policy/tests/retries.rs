//! Retries, hedged attempts and their budget.

use super::rig::*;
use super::*;

#[test]
fn proof_that_nothing_was_executed_permits_a_non_idempotent_retry() {
    for outcome in [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed] {
        assert_eq!(
            after_first_attempt(&mut balancer(Idempotency::NonIdempotent), outcome, NOW + 5),
            ["send 11 1"]
        );
    }
}

#[test]
fn without_proof_a_non_idempotent_query_fails() {
    for outcome in [AttemptOutcome::ServerError, AttemptOutcome::ConnectionLost, AttemptOutcome::TimedOut] {
        assert_eq!(
            after_first_attempt(&mut balancer(Idempotency::NonIdempotent), outcome, NOW + 5),
            ["10 Failed"]
        );
    }
}

#[test]
fn an_idempotent_shard_request_is_retried_elsewhere_after_any_failure() {
    for outcome in [AttemptOutcome::ServerError, AttemptOutcome::ConnectionLost, AttemptOutcome::TimedOut] {
        assert_eq!(
            after_first_attempt(&mut balancer(Idempotency::Idempotent), outcome, NOW + 5),
            ["send 11 1"]
        );
    }
}

#[test]
fn a_shard_request_with_an_idempotency_key_is_retried_only_within_the_window() {
    let set_window = |settings: &mut Settings| settings.classes[0].idempotency_window = 500_000;
    assert_eq!(
        after_first_attempt(
            &mut balancer_with(Idempotency::Keyed, set_window),
            AttemptOutcome::ConnectionLost,
            NOW + 400_000
        ),
        ["send 11 1"]
    );
    assert_eq!(
        after_first_attempt(
            &mut balancer_with(Idempotency::Keyed, set_window),
            AttemptOutcome::ConnectionLost,
            NOW + 499_000
        ),
        ["10 Failed"]
    );
}

#[test]
fn an_idempotent_query_is_rejected_after_the_maximum_number_of_attempts() {
    let mut balancer =
        balancer_with(Idempotency::Idempotent, |settings| settings.limits.max_attempts = Some(1));
    assert_eq!(
        after_first_attempt(&mut balancer, AttemptOutcome::ConnectionLost, NOW + 5),
        ["10 Rejected(0)"]
    );
}

#[test]
fn retries_stay_within_the_budget_of_the_window() {
    let mut balancer = balancer_with(Idempotency::Idempotent, |settings| {
        settings.rules.retry_share = Some(0.5);
        settings.rules.retry_window = 1_000_000;
    });
    balancer.admission.arrivals.push(NOW, 2.0);
    assert!(balancer.budget_left(NOW + 999_999, Repeat::Retry) >= 1.0);
    balancer.retries.push(NOW, 1.0);
    assert!(balancer.budget_left(NOW + 999_999, Repeat::Retry) < 1.0);
}

#[test]
fn a_late_attempt_is_hedged_at_another_node() {
    let mut balancer =
        balancer_with(Idempotency::Idempotent, |settings| settings.classes[0].late_value = 0.3);
    balancer.statistics.latencies.push_times(NOW, 100_000.0, 16);
    arrive(&mut balancer, 0, 1);
    assert_eq!(decide(&mut balancer, NOW), ["send 1 0"]);
    assert!(decide(&mut balancer, NOW + 200_000).is_empty());
    assert_eq!(decide(&mut balancer, NOW + 201_000), ["send 1 1"]);
    end_attempt(&mut balancer, NOW + 300_000, attempt(1, 1), NodeId(1), AttemptOutcome::Succeeded, 99_000);
    assert_eq!(decide(&mut balancer, NOW + 300_000), ["cancel 1 0", "0 Complete"]);
}

#[test]
fn a_query_that_needs_more_retries_than_the_budget_has_ends_at_once() {
    let mut balancer = balancer_with(Idempotency::Idempotent, |settings| {
        settings.rules.retry_share = Some(0.0);
        settings.rules.free_retries = 1.0;
    });
    arrive(&mut balancer, 0, 4);
    decide(&mut balancer, NOW);
    for (id, node) in [(1, 0), (3, 0)] {
        end_attempt(&mut balancer, NOW + 5, attempt(id, 0), NodeId(node), AttemptOutcome::ConnectFailed, 5);
    }
    end_attempt(&mut balancer, NOW + 5, attempt(2, 0), NodeId(1), AttemptOutcome::Succeeded, 5);
    assert_eq!(decide(&mut balancer, NOW + 5).last().map(String::as_str), Some("0 Rejected(0)"));
}

/// Reports the end of the first attempt with `outcome` and the invalidation of its response, and returns the actions of
/// the next decision.
fn after_invalidation(idempotency: Idempotency, outcome: AttemptOutcome) -> Vec<String> {
    let mut balancer = balancer(idempotency);
    arrive(&mut balancer, 10, 1);
    assert_eq!(decide(&mut balancer, NOW), ["send 11 0"]);
    end_attempt(&mut balancer, NOW + 5, attempt(11, 0), NodeId(0), outcome, 5);
    let invalidated = InvalidatedResponse { attempt: attempt(11, 0), node: NodeId(0), outcome, sent_at: NOW };
    balancer.response_invalidated(NOW + 6, &invalidated);
    decide(&mut balancer, NOW + 6)
}

/// Guards against an answer, or a retry, that rests on a response which proved to be malformed.
#[test]
fn an_invalidated_response_counts_as_an_attempt_that_may_have_been_executed() {
    for outcome in [AttemptOutcome::Succeeded, AttemptOutcome::Rejected] {
        assert_eq!(after_invalidation(Idempotency::NonIdempotent, outcome), ["10 Failed"], "{outcome:?}");
        assert_eq!(after_invalidation(Idempotency::Idempotent, outcome), ["send 11 1"], "{outcome:?}");
    }
}
