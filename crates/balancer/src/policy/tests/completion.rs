//! When a query ends, and with which completion.

use super::rig::*;
use super::*;

#[test]
fn a_minimum_permits_a_partial_answer_at_the_latency_objective() {
    let mut balancer = balancer_with(Idempotency::Idempotent, |settings| {
        settings.classes[0].completeness_minimum = 0.5;
        settings.classes[0].partial_value = 0.8;
    });
    arrive(&mut balancer, 0, 2);
    decide(&mut balancer, NOW);
    end_attempt(&mut balancer, NOW + 9, attempt(1, 0), NodeId(0), AttemptOutcome::Succeeded, 9);
    assert!(decide(&mut balancer, NOW + 500_000).iter().all(|line| !line.contains("Part")));
    let end = decide(&mut balancer, NOW + 999_000);
    assert_eq!(end.last().map(String::as_str), Some("0 Partial"));
}

#[test]
fn weights_that_add_up_to_less_than_one_by_rounding_do_not_fail_a_query() {
    let mut balancer =
        balancer_with(Idempotency::Idempotent, |settings| settings.batch.max_shard_requests = Some(4));
    for id in [0, 100] {
        balancer.query_arrived(NOW, &query(id, NOW + 3_000_000, 8));
        for index in 0..8 {
            balancer.shard_request_arrived(NOW, &shard_request(id + 1 + index, id, 0, 0.1249));
        }
    }
    assert_eq!(decide(&mut balancer, NOW).iter().filter(|line| line.starts_with("send")).count(), 16);
    for id in 1..9 {
        let node = balancer.queries[ShardRequestId(id)].attempts[0];
        end_attempt(&mut balancer, NOW + 9, attempt(id, 0), node, AttemptOutcome::Succeeded, 9);
    }
    // One abandoned shard request still ends a query that needs all.
    balancer.queries[ShardRequestId(101)].abandon();
    let ends = decide(&mut balancer, NOW + 9);
    assert!(ends.contains(&"0 Complete".into()) && ends.contains(&"100 Rejected(0)".into()), "{ends:?}");
}

#[test]
fn below_the_minimum_a_query_fails_just_before_its_deadline() {
    let mut balancer = balancer_with(Idempotency::NonIdempotent, |settings| {
        settings.classes[0].completeness_minimum = 0.6;
        settings.classes[0].late_value = 0.3;
    });
    arrive(&mut balancer, 0, 2);
    decide(&mut balancer, NOW);
    end_attempt(&mut balancer, NOW + 9, attempt(1, 0), NodeId(0), AttemptOutcome::Succeeded, 9);
    assert!(decide(&mut balancer, NOW + 2_990_000).is_empty());
    assert_eq!(decide(&mut balancer, NOW + 2_999_000), ["cancel 2 0", "0 Failed"]);
}

#[test]
fn a_query_with_a_second_step_is_answered_once_for_each_step() {
    let mut balancer =
        balancer_with(Idempotency::Idempotent, |settings| settings.classes[0].second_step = true);
    arrive(&mut balancer, 0, 1);
    decide(&mut balancer, NOW);
    end_attempt(&mut balancer, NOW + 5, attempt(1, 0), NodeId(0), AttemptOutcome::Succeeded, 5);
    assert_eq!(decide(&mut balancer, NOW + 5), ["0 Complete"]);
    balancer.shard_request_arrived(NOW + 6, &shard_request(2, 0, 0, 1.0));
    assert_eq!(decide(&mut balancer, NOW + 6), ["send 2 1"]);
    end_attempt(&mut balancer, NOW + 9, attempt(2, 0), NodeId(1), AttemptOutcome::Succeeded, 3);
    assert_eq!(decide(&mut balancer, NOW + 9), ["0 Complete"]);
}
