//! Each test builds the state that it needs and calls one function.

use super::*;
use crate::EndpointState;

/// Writes down what the module asks for.
#[derive(Default)]
struct Tape(Vec<String>);

impl Actions for Tape {
    fn send_attempt(&mut self, shard_request: ShardRequestId, node: NodeId, _timeout: Option<Micros>) {
        self.0.push(format!("send {} {}", shard_request.0, node.0));
    }
    fn cancel_attempt(&mut self, attempt: AttemptId) {
        self.0.push(format!("cancel {} {}", attempt.shard_request.0, attempt.number.0));
    }
    fn complete_query(&mut self, query: QueryId, completion: Completion) {
        let text = match completion {
            Completion::Rejected { retry_after } => format!("Rejected({})", retry_after.unwrap_or(0)),
            other => format!("{other:?}"),
        };
        self.0.push(format!("{} {text}", query.0));
    }
    fn release_node(&mut self, node: NodeId) {
        self.0.push(format!("release {}", node.0));
    }
    fn watch_endpoints(&mut self, enabled: bool) {
        self.0.push(format!("watch {enabled}"));
    }
}

const NOW: Micros = 100_000_000;

/// A router with one class, two cells and nodes 0 and 1 that each hold every shard.
fn router(effect: &str, more: &[(&str, f64)]) -> Balancer {
    let mut settings = Settings::default();
    settings.set("class.0.idempotency", crate::Value::Text(effect.into()));
    settings.set("limits.hedging", crate::Value::Flag(true));
    settings.set("limits.cancellation", crate::Value::Flag(true));
    let base = [
        ("shards.replica_sets", 2.0),
        ("shards.replica_sets_per_shard", 2.0),
        ("class.0.latency_objective_us", 1e6),
        ("limits.max_attempts", 3.0),
    ];
    for (name, value) in base.iter().chain(more) {
        settings.set(name, crate::Value::Number(*value));
    }
    let mut router = Balancer::new(2, settings);
    router.classes.push(Class::new(&router.settings, 0, 32, 64));
    list(&mut router, EndpointUpdate::Cached, &[(0, EndpointState::Ready, 0), (1, EndpointState::Ready, 0)]);
    router
}

fn list(router: &mut Balancer, listing: EndpointUpdate, rows: &[(Node, EndpointState, Micros)]) -> Tape {
    let mut tape = Tape::default();
    router.endpoint_update_started(NOW, listing);
    rows.iter().for_each(|&(n, phase, up)| {
        router.endpoint_listed(
            NOW,
            &Endpoint { node: NodeId(n), zone: 0, replica_set: n, state: phase, scale: 1.0, started_at: up },
        )
    });
    router.endpoint_update_finished(NOW, &mut tape);
    tape
}

/// Retrieval `r` with parts `r + 1 ..`, all of shard 0.
fn ask(router: &mut Balancer, r: usize, parts: usize) {
    router.query_arrived(
        NOW,
        &QueryArrival {
            query: QueryId(r),
            class: 0,
            tenant: 0,
            deadline: NOW + 3_000_000,
            work: 0,
            shard_requests: parts,
            is_retry: false,
        },
    );
    (0..parts).for_each(|i| {
        router.shard_request_arrived(
            NOW,
            &ShardRequestArrival {
                shard_request: ShardRequestId(r + 1 + i),
                query: QueryId(r),
                shard: 0,
                weight: 1.0 / parts as f64,
                work: 0,
            },
        )
    });
}

fn settle(router: &mut Balancer, at: Micros) -> Vec<String> {
    let mut tape = Tape::default();
    router.decide(at, &mut tape);
    tape.0
}

/// Asks for one part, lets its first shot (to node 0) end in `outcome`, and settles.
fn after(router: &mut Balancer, outcome: AttemptOutcome, at: Micros) -> Vec<String> {
    ask(router, 10, 1);
    assert_eq!(settle(router, NOW), ["send 11 0"]);
    router.attempt_ended(
        at,
        &AttemptEnd {
            attempt: AttemptId::new(ShardRequestId(11), AttemptNumber(0)),
            node: NodeId(0),
            outcome,
            latency: at - NOW,
            load: &[],
        },
    );
    settle(router, at)
}

#[test]
fn a_retrieval_is_fanned_out_by_turns_and_whole_once_all_parts_are_in() {
    let mut router = router("idempotent", &[]);
    ask(&mut router, 0, 2);
    assert_eq!(settle(&mut router, NOW), ["send 1 0", "send 2 1"]);
    router.attempt_ended(
        NOW + 9,
        &AttemptEnd {
            attempt: AttemptId::new(ShardRequestId(1), AttemptNumber(0)),
            node: NodeId(0),
            outcome: AttemptOutcome::Succeeded,
            latency: 9,
            load: &[],
        },
    );
    assert!(settle(&mut router, NOW + 9).is_empty());
    router.attempt_ended(
        NOW + 10,
        &AttemptEnd {
            attempt: AttemptId::new(ShardRequestId(2), AttemptNumber(0)),
            node: NodeId(1),
            outcome: AttemptOutcome::Succeeded,
            latency: 10,
            load: &[],
        },
    );
    assert_eq!(settle(&mut router, NOW + 10), ["0 Complete"]);
}

#[test]
fn routers_that_know_nothing_begin_their_turns_at_different_nodes() {
    let first = |seed| {
        let mut router = router("idempotent", &[]);
        router.rng = fastrand::Rng::with_seed(seed);
        router.nodes.clear();
        list(
            &mut router,
            EndpointUpdate::Cached,
            &[(0, EndpointState::Ready, 0), (1, EndpointState::Ready, 0)],
        );
        ask(&mut router, 0, 1);
        settle(&mut router, NOW)
    };
    let at_one = (0..100).filter(|&seed| first(seed) == ["send 1 1"]).count();
    assert!((30..=70).contains(&at_one), "{at_one} of 100 begin at node 1");
}

#[test]
fn parts_share_a_call_where_calls_carry_several() {
    let mut router = router("idempotent", &[("batch.max_shard_requests", 4.0)]);
    ask(&mut router, 0, 2);
    assert_eq!(settle(&mut router, NOW), ["send 1 0", "send 2 0"]);
}

#[test]
fn proof_that_a_part_never_ran_earns_an_unsafe_part_another_shot() {
    for outcome in [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed] {
        assert_eq!(after(&mut router("non_idempotent", &[]), outcome, NOW + 5), ["send 11 1"]);
    }
}

#[test]
fn a_connection_that_never_came_up_is_not_held_against_a_node_that_answered_meanwhile() {
    for (answered, barred) in [(NOW + 100_000, false), (NOW - 100_000, true)] {
        let mut router = router("idempotent", &[]);
        router.learn(answered, 0, 0, AttemptOutcome::Succeeded, 5);
        router.learn(NOW + 250_000, 0, 0, AttemptOutcome::ConnectFailed, 250_000);
        let node = &router.nodes[0];
        assert_eq!((node.record(0).barred_until > NOW + 250_000, node.missed > 0), (barred, barred));
    }
}

#[test]
fn without_proof_an_unsafe_retrieval_is_given_up() {
    for outcome in [AttemptOutcome::ServerError, AttemptOutcome::ConnectionLost, AttemptOutcome::TimedOut] {
        assert_eq!(after(&mut router("non_idempotent", &[]), outcome, NOW + 5), ["10 Failed"]);
    }
}

#[test]
fn a_safe_part_is_tried_elsewhere_whatever_ended_its_shot() {
    for outcome in [AttemptOutcome::ServerError, AttemptOutcome::ConnectionLost, AttemptOutcome::TimedOut] {
        assert_eq!(after(&mut router("idempotent", &[]), outcome, NOW + 5), ["send 11 1"]);
    }
}

#[test]
fn a_keyed_part_is_sent_again_only_while_repeats_are_dropped() {
    let repeat = [("class.0.idempotency_window_us", 500_000.0)];
    assert_eq!(
        after(&mut router("idempotency_key", &repeat), AttemptOutcome::ConnectionLost, NOW + 400_000),
        ["send 11 1"]
    );
    assert_eq!(
        after(&mut router("idempotency_key", &repeat), AttemptOutcome::ConnectionLost, NOW + 499_000),
        ["10 Failed"]
    );
}

#[test]
fn shots_end_at_the_limit_and_a_safe_retrieval_is_then_deferred() {
    let mut router = router("idempotent", &[("limits.max_attempts", 1.0)]);
    assert_eq!(after(&mut router, AttemptOutcome::ConnectionLost, NOW + 5), ["10 Rejected(0)"]);
}

#[test]
fn further_shots_stay_within_the_budget_of_the_window() {
    let mut router = router("idempotent", &[("rules.retry_share", 0.5), ("rules.retry_window_us", 1e6)]);
    router.taken.push(NOW, 2.0);
    assert!(router.spare(NOW + 999_999, false) >= 1.0);
    router.further.push(NOW, 1.0);
    assert!(router.spare(NOW + 999_999, false) < 1.0);
}

#[test]
fn a_floor_allows_an_answer_at_the_agreed_time_never_marked_whole() {
    let floor = [("class.0.completeness_minimum", 0.5), ("class.0.partial_value", 0.8)];
    let mut router = router("idempotent", &floor);
    ask(&mut router, 0, 2);
    settle(&mut router, NOW);
    router.attempt_ended(
        NOW + 9,
        &AttemptEnd {
            attempt: AttemptId::new(ShardRequestId(1), AttemptNumber(0)),
            node: NodeId(0),
            outcome: AttemptOutcome::Succeeded,
            latency: 9,
            load: &[],
        },
    );
    assert!(settle(&mut router, NOW + 500_000).iter().all(|line| !line.contains("Part")));
    let end = settle(&mut router, NOW + 999_000);
    assert_eq!(end.last().map(String::as_str), Some("0 Partial"));
}

#[test]
fn weights_that_rounding_leaves_short_of_one_doom_nothing() {
    let mut router = router("idempotent", &[("batch.max_shard_requests", 4.0)]);
    for r in [0, 100] {
        router.query_arrived(
            NOW,
            &QueryArrival {
                query: QueryId(r),
                class: 0,
                tenant: 0,
                deadline: NOW + 3_000_000,
                work: 0,
                shard_requests: 8,
                is_retry: false,
            },
        );
        (0..8).for_each(|i| {
            router.shard_request_arrived(
                NOW,
                &ShardRequestArrival {
                    shard_request: ShardRequestId(r + 1 + i),
                    query: QueryId(r),
                    shard: 0,
                    weight: 0.1249,
                    work: 0,
                },
            )
        });
    }
    assert_eq!(settle(&mut router, NOW).iter().filter(|line| line.starts_with("send")).count(), 16);
    (0..8).for_each(|p| {
        let node = router.book.part(1 + p).shots[0];
        router.attempt_ended(
            NOW + 9,
            &AttemptEnd {
                attempt: AttemptId::new(ShardRequestId(1 + p), AttemptNumber(0)),
                node: NodeId(node),
                outcome: AttemptOutcome::Succeeded,
                latency: 9,
                load: &[],
            },
        );
    });
    // One lost part is still the end of the whole.
    router.book.part_mut(101).lost = true;
    let ends = settle(&mut router, NOW + 9);
    assert!(ends.contains(&"0 Complete".into()) && ends.contains(&"100 Rejected(0)".into()), "{ends:?}");
}

#[test]
fn under_the_floor_nothing_is_answered_and_the_end_comes_before_deadline() {
    let mut router =
        router("non_idempotent", &[("class.0.completeness_minimum", 0.6), ("class.0.late_value", 0.3)]);
    ask(&mut router, 0, 2);
    settle(&mut router, NOW);
    router.attempt_ended(
        NOW + 9,
        &AttemptEnd {
            attempt: AttemptId::new(ShardRequestId(1), AttemptNumber(0)),
            node: NodeId(0),
            outcome: AttemptOutcome::Succeeded,
            latency: 9,
            load: &[],
        },
    );
    assert!(settle(&mut router, NOW + 2_990_000).is_empty());
    assert_eq!(settle(&mut router, NOW + 2_999_000), ["cancel 2 0", "0 Failed"]);
}

#[test]
fn a_second_step_needs_all_its_parts() {
    let mut router = router("idempotent", &[("class.0.second_step", 1.0)]);
    ask(&mut router, 0, 1);
    settle(&mut router, NOW);
    router.attempt_ended(
        NOW + 5,
        &AttemptEnd {
            attempt: AttemptId::new(ShardRequestId(1), AttemptNumber(0)),
            node: NodeId(0),
            outcome: AttemptOutcome::Succeeded,
            latency: 5,
            load: &[],
        },
    );
    assert_eq!(settle(&mut router, NOW + 5), ["0 Complete"]);
    router.shard_request_arrived(
        NOW + 6,
        &ShardRequestArrival {
            shard_request: ShardRequestId(2),
            query: QueryId(0),
            shard: 0,
            weight: 1.0,
            work: 0,
        },
    );
    assert_eq!(settle(&mut router, NOW + 6), ["send 2 1"]);
    router.attempt_ended(
        NOW + 9,
        &AttemptEnd {
            attempt: AttemptId::new(ShardRequestId(2), AttemptNumber(0)),
            node: NodeId(1),
            outcome: AttemptOutcome::Succeeded,
            latency: 3,
            load: &[],
        },
    );
    assert_eq!(settle(&mut router, NOW + 9), ["0 Complete"]);
}

#[test]
fn a_retrieval_waits_whole_at_the_bound_and_is_deferred_unsent_in_the_end() {
    let mut router = router("non_idempotent", &[]);
    ask(&mut router, 0, 12);
    assert_eq!(settle(&mut router, NOW).len(), 12);
    ask(&mut router, 20, 6);
    assert!(settle(&mut router, NOW).is_empty(), "four places are left for six parts");
    assert_eq!(settle(&mut router, NOW + 999_000).last().map(String::as_str), Some("20 Rejected(0)"));
}

#[test]
fn an_overdue_node_is_skipped_and_its_part_copied() {
    let mut router = router("idempotent", &[("class.0.late_value", 0.3)]);
    (0..16).for_each(|_| router.lags.push(NOW, 100_000.0));
    ask(&mut router, 0, 1);
    assert_eq!(settle(&mut router, NOW), ["send 1 0"]);
    assert!(settle(&mut router, NOW + 200_000).is_empty());
    assert_eq!(settle(&mut router, NOW + 201_000), ["send 1 1"]);
    router.attempt_ended(
        NOW + 300_000,
        &AttemptEnd {
            attempt: AttemptId::new(ShardRequestId(1), AttemptNumber(1)),
            node: NodeId(1),
            outcome: AttemptOutcome::Succeeded,
            latency: 99_000,
            load: &[],
        },
    );
    assert_eq!(settle(&mut router, NOW + 300_000), ["cancel 1 0", "0 Complete"]);
}

#[test]
fn an_unsafe_part_goes_to_no_node_that_failed_of_late() {
    let mut router = router("non_idempotent", &[]);
    router.nodes[0].record_mut(0).strikes = 1;
    ask(&mut router, 0, 1);
    assert_eq!(settle(&mut router, NOW), ["send 1 1"]);
}

#[test]
fn a_failing_node_is_barred_for_longer_each_time_and_free_once_it_restarts() {
    let mut router = router("idempotent", &[]);
    router.learn(NOW, 0, 0, AttemptOutcome::ServerError, 5);
    router.learn(NOW, 0, 0, AttemptOutcome::ServerError, 5);
    assert_eq!(
        (router.nodes[0].record(0).strikes, router.nodes[0].record(0).barred_until),
        (1, NOW + 500_000)
    );
    router.learn(NOW + 500_000, 0, 0, AttemptOutcome::ServerError, 5);
    assert_eq!(router.nodes[0].record(0).barred_until, NOW + 1_500_000);
    list(&mut router, EndpointUpdate::Incremental, &[(0, EndpointState::Ready, NOW + 600_000)]);
    assert_eq!(router.nodes[0].record(0).barred_until, 0);
}

#[test]
fn a_full_node_is_left_alone_until_it_answers() {
    let mut router = router("idempotent", &[]);
    router.learn(NOW, 0, 0, AttemptOutcome::Rejected, 5);
    assert_eq!(router.state(NOW + 50_000, 0, 0), 0);
    router.learn(NOW + 60_000, 0, 0, AttemptOutcome::Succeeded, 5);
    assert_eq!(router.state(NOW + 60_000, 0, 0), SOUND);
}

#[test]
fn lags_near_the_agreed_time_shrink_a_nodes_bound() {
    let mut router = router("idempotent", &[]);
    router.free(NOW, 0, 0, AttemptOutcome::Succeeded, 600_000);
    assert!(router.nodes[0].bound < 3.0);
    router.free(NOW + 1, 0, 0, AttemptOutcome::Succeeded, 100_000);
    assert!(router.nodes[0].bound > 2.0);
}

#[test]
fn a_filled_node_opens_again_for_a_whole_call() {
    let mut router = router("idempotent", &[("batch.max_shard_requests", 4.0)]);
    ask(&mut router, 0, 8);
    settle(&mut router, NOW);
    ask(&mut router, 20, 8);
    assert_eq!(settle(&mut router, NOW).len(), 8);
    router.now = NOW + 9;
    (1..4).for_each(|p| {
        router.attempt_ended(
            NOW + 9,
            &AttemptEnd {
                attempt: AttemptId::new(ShardRequestId(p), AttemptNumber(0)),
                node: NodeId(0),
                outcome: AttemptOutcome::Succeeded,
                latency: 9,
                load: &[],
            },
        )
    });
    assert_eq!(router.room(0, 0, 0), 0);
    router.attempt_ended(
        NOW + 9,
        &AttemptEnd {
            attempt: AttemptId::new(ShardRequestId(4), AttemptNumber(0)),
            node: NodeId(0),
            outcome: AttemptOutcome::Succeeded,
            latency: 9,
            load: &[],
        },
    );
    assert_eq!(router.room(0, 0, 0), 4);
}

#[test]
fn while_shots_are_turned_away_retrievals_of_many_parts_follow_more_slowly() {
    let sends = |turned: &[f64], parts: usize| {
        let mut router = router("idempotent", &[("batch.max_shard_requests", 1.0)]);
        turned.iter().for_each(|&one| router.turned.push(NOW, one));
        ask(&mut router, 0, 2);
        ask(&mut router, 10, parts);
        let at_once = settle(&mut router, NOW).len();
        (at_once, at_once + settle(&mut router, NOW + 900_000).len())
    };
    let (few, many) = ([&[1.0][..], &[0.0; 99]].concat(), [[1.0; 25], [0.0; 25]].concat());
    assert_eq!(sends(&few, 2), (4, 4));
    assert_eq!(sends(&many, 2), (2, 2));
    let mut router = router("idempotent", &[("batch.max_shard_requests", 1.0)]);
    router.paced_until = NOW + 1;
    ask(&mut router, 0, 1);
    assert_eq!(settle(&mut router, NOW).len(), 1);
}

#[test]
fn a_draining_or_missing_node_gets_nothing_new() {
    let mut router = router("idempotent", &[]);
    list(&mut router, EndpointUpdate::Incremental, &[(0, EndpointState::Draining, 0)]);
    assert_eq!(router.shards.holders(0), [1]);
    list(&mut router, EndpointUpdate::Full, &[(0, EndpointState::Ready, 0)]);
    assert_eq!(router.shards.holders(0), [0]);
    list(&mut router, EndpointUpdate::Failed, &[]);
    assert_eq!(router.shards.holders(0), [0], "the old list is kept");
}

#[test]
fn a_cold_node_gets_no_more_than_this_routers_share() {
    let cold = [
        ("rules.warm_up_us", 1e7),
        ("rules.cold_overload_window_us", 3e6),
        ("rules.cold_capacity_share", 0.2),
    ];
    let mut router = router("idempotent", &cold);
    (router.site.tip.1, router.site.routers) = (2.0, 3.0);
    list(&mut router, EndpointUpdate::Incremental, &[(0, EndpointState::Ready, NOW)]);
    // 2 x 0.2 x 3 s / 3 is 400 ms of work; a part is taken for 100 ms until lags are known.
    assert!(router.cold_room(NOW, 0, 4, 0) && !router.cold_room(NOW, 0, 5, 0));
    router.nodes[0].sent.push(NOW, 100_001.0);
    assert!(!router.cold_room(NOW, 0, 3, 0) && router.cold_room(NOW + 10_000_000, 0, 3, 0));
}

#[test]
fn a_list_that_must_be_asked_for_is_asked_again_later_after_a_failure() {
    let mut router = router("idempotent", &[]);
    router.site.ask_within = Some(10_000_000);
    assert_eq!(settle(&mut router, NOW), ["watch true"]);
    list(&mut router, EndpointUpdate::Failed, &[]);
    assert!(settle(&mut router, NOW + 499_000).is_empty());
    assert_eq!(settle(&mut router, NOW + 1_500_000), ["watch true"]);
    list(&mut router, EndpointUpdate::Incremental, &[]);
    assert!(settle(&mut router, NOW + 60_000_000).is_empty());
}

#[test]
fn the_last_try_of_a_client_shows_how_much_of_the_agreed_time_is_gone() {
    let mut router = router("idempotent", &[("class.0.deadline_us", 3e6)]);
    router.query_arrived(
        NOW,
        &QueryArrival {
            query: QueryId(0),
            class: 0,
            tenant: 0,
            deadline: NOW + 2_000_000,
            work: 0,
            shard_requests: 1,
            is_retry: false,
        },
    );
    assert_eq!(router.book.held(0).agreed, NOW + 1_000_000);
    router.query_arrived(
        NOW,
        &QueryArrival {
            query: QueryId(1),
            class: 0,
            tenant: 0,
            deadline: NOW + 2_500_000,
            work: 0,
            shard_requests: 1,
            is_retry: false,
        },
    );
    assert_eq!(router.book.held(1).agreed, NOW + 500_000);
}

#[test]
fn what_a_tenant_asks_beyond_its_share_waits_behind() {
    let mut router = router("idempotent", &[("tenant.0.quota_per_s", 1.0)]);
    (0..4).for_each(|r| {
        router.query_arrived(
            NOW,
            &QueryArrival {
                query: QueryId(r),
                class: 0,
                tenant: 0,
                deadline: NOW + 3_000_000,
                work: 0,
                shard_requests: 1,
                is_retry: false,
            },
        )
    });
    assert_eq!((router.book.held(2).rank, router.book.held(3).rank), (0, 1));
}

#[test]
fn nothing_is_sent_for_a_client_that_left() {
    let mut router = router("idempotent", &[]);
    ask(&mut router, 0, 1);
    router.client_disconnected(NOW, QueryId(0));
    assert!(settle(&mut router, NOW).is_empty());
}

#[test]
fn what_brings_down_each_node_is_not_carried_on_and_known_again() {
    let mut router = router("idempotent", &[]);
    ask(&mut router, 0, 2);
    assert_eq!(settle(&mut router, NOW).len(), 2);
    router.attempt_ended(
        NOW + 5,
        &AttemptEnd {
            attempt: AttemptId::new(ShardRequestId(1), AttemptNumber(0)),
            node: NodeId(0),
            outcome: AttemptOutcome::ConnectionLost,
            latency: 5,
            load: &[],
        },
    );
    assert!(settle(&mut router, NOW + 5).is_empty(), "no other try while nothing was answered");
    router.attempt_ended(
        NOW + 9,
        &AttemptEnd {
            attempt: AttemptId::new(ShardRequestId(2), AttemptNumber(0)),
            node: NodeId(1),
            outcome: AttemptOutcome::ConnectionLost,
            latency: 9,
            load: &[],
        },
    );
    assert_eq!(settle(&mut router, NOW + 9), ["0 Rejected(0)"]);
    router.query_arrived(
        NOW + 20,
        &QueryArrival {
            query: QueryId(10),
            class: 0,
            tenant: 0,
            deadline: NOW + 3_000_000,
            work: 0,
            shard_requests: 2,
            is_retry: true,
        },
    );
    (11..13).for_each(|p| {
        router.shard_request_arrived(
            NOW + 20,
            &ShardRequestArrival {
                shard_request: ShardRequestId(p),
                query: QueryId(10),
                shard: 0,
                weight: 0.5,
                work: 0,
            },
        )
    });
    assert_eq!(settle(&mut router, NOW + 20), ["10 Rejected(0)"]);
}

#[test]
fn an_ordinary_part_under_which_a_node_fell_is_saved_once_another_is_answered() {
    let mut router = router("idempotent", &[]);
    ask(&mut router, 0, 2);
    settle(&mut router, NOW);
    router.attempt_ended(
        NOW + 5,
        &AttemptEnd {
            attempt: AttemptId::new(ShardRequestId(1), AttemptNumber(0)),
            node: NodeId(0),
            outcome: AttemptOutcome::ConnectionLost,
            latency: 5,
            load: &[],
        },
    );
    router.attempt_ended(
        NOW + 9,
        &AttemptEnd {
            attempt: AttemptId::new(ShardRequestId(2), AttemptNumber(0)),
            node: NodeId(1),
            outcome: AttemptOutcome::Succeeded,
            latency: 9,
            load: &[],
        },
    );
    assert_eq!(settle(&mut router, NOW + 9), ["send 1 1"]);
}

#[test]
fn while_nodes_keep_falling_the_first_call_goes_ahead() {
    let mut router = router("idempotent", &[]);
    (0..FALLEN).for_each(|_| router.falls.push(NOW, 1.0));
    ask(&mut router, 0, 2);
    assert_eq!(settle(&mut router, NOW), ["send 1 0"]);
    router.attempt_ended(
        NOW + 9,
        &AttemptEnd {
            attempt: AttemptId::new(ShardRequestId(1), AttemptNumber(0)),
            node: NodeId(0),
            outcome: AttemptOutcome::Succeeded,
            latency: 9,
            load: &[],
        },
    );
    assert_eq!(settle(&mut router, NOW + 9).len(), 1);
}

#[test]
fn among_many_routers_a_cold_node_gets_a_call_once_its_allowance_is_saved_up() {
    let cold = [("rules.warm_up_us", 1e7), ("rules.cold_overload_window_us", 3e6), ("routers", 100.0)];
    let mut router = router("idempotent", &cold);
    list(&mut router, EndpointUpdate::Incremental, &[(0, EndpointState::Ready, NOW)]);
    router.average = 0.1;
    assert!(!router.cold_room(NOW, 0, 1, 0) && router.cold_room(NOW + 1_000_000, 0, 1, 0));
    router.nodes[0].sent.push(NOW + 1_000_000, 100_000.0);
    assert!(!router.cold_room(NOW + 1_500_000, 0, 1, 0) && router.cold_room(NOW + 2_000_000, 0, 1, 0));
}

#[test]
fn a_restarted_router_saves_up_by_what_it_sent_since_its_start() {
    // Half a second of work at two nodes within a second of its first decision, or of ten.
    let average = |up: Micros| {
        let mut router = router("idempotent", &[]);
        router.learn_usual(NOW - up);
        router.sent.push(NOW - 10, 500_000.0);
        router.learn_usual(NOW);
        router.average
    };
    assert_eq!((average(1_000_000), average(10_000_000), average(90_000_000)), (0.25, 0.025, 0.025));
}

/// A retrieval of four parts that may be answered from half of them; the nodes of `full` turned shots away of late.
fn floored(floor: f64, full: &[Node]) -> Balancer {
    let mut router =
        router("idempotent", &[("class.0.completeness_minimum", floor), ("class.0.partial_value", 0.9)]);
    for &n in full {
        router.nodes[n].fulls = 1;
        router.nodes[n].full_until = NOW - 1;
    }
    ask(&mut router, 0, 4);
    router
}

fn lost(router: &Balancer) -> usize {
    (1..5).filter(|&p| router.book.part(p).lost).count()
}

#[test]
fn what_a_floor_spares_is_not_fought_for_where_all_holders_turn_shots_away() {
    let lost_of = |floor, full: &[Node]| {
        let mut router = floored(floor, full);
        router.forgo(NOW, 0);
        lost(&router)
    };
    // Half of what the floor spares is a quarter: one part of four.
    assert_eq!((lost_of(0.5, &[0, 1]), lost_of(0.5, &[0]), lost_of(1.0, &[0, 1])), (1, 0, 0));
    // What was seen long ago says nothing of now, nor does what was followed by an answer.
    let mut router = floored(0.5, &[0, 1]);
    router.nodes[0].full_until = NOW - RECENT - 1;
    router.forgo(NOW, 0);
    assert_eq!(lost(&router), 0);
}

#[test]
fn what_cannot_be_whole_any_more_is_not_carried_from_a_full_node_to_the_next() {
    let mut router = floored(0.5, &[]);
    assert_eq!(settle(&mut router, NOW).len(), 4);
    router.attempt_ended(
        NOW + 9,
        &AttemptEnd {
            attempt: AttemptId::new(ShardRequestId(1), AttemptNumber(0)),
            node: NodeId(0),
            outcome: AttemptOutcome::Rejected,
            latency: 9,
            load: &[],
        },
    );
    router.forgo(NOW + 9, 0);
    assert_eq!(lost(&router), 0, "another holder may have room");
    let mut router = floored(0.0, &[]);
    settle(&mut router, NOW);
    router.book.part_mut(4).lost = true;
    router.attempt_ended(
        NOW + 9,
        &AttemptEnd {
            attempt: AttemptId::new(ShardRequestId(1), AttemptNumber(0)),
            node: NodeId(0),
            outcome: AttemptOutcome::Rejected,
            latency: 9,
            load: &[],
        },
    );
    router.forgo(NOW + 9, 0);
    assert!(router.book.part(1).lost);
}

#[test]
fn what_could_not_be_reached_counts_as_cold_before_the_list_says_so() {
    let mut router = router("idempotent", &[]);
    router.site.tip = (3_000_000, 1.0, 0.1, 10_000_000);
    router.nodes[0].sent.push(NOW, 1e6);
    assert!(router.cold_room(NOW, 0, 1, 0));
    router.learn(NOW, 0, 0, AttemptOutcome::ConnectFailed, 5);
    assert!(!router.cold_room(NOW, 0, 1, 0));
    // Out of reach after its connection broke, it fell; it is warm once it answers as warm nodes do.
    assert!(router.nodes[0].record(0).barred_until > NOW && router.falls.count(0) == 0);
    router.learn(NOW + 1, 1, 0, AttemptOutcome::ConnectionLost, 5);
    router.learn(NOW + 2, 1, 0, AttemptOutcome::ConnectFailed, 5);
    assert_eq!(router.falls.count(0), 1);
    router.learn(NOW + 2, 0, 0, AttemptOutcome::Succeeded, 500_000);
    assert!(!router.cold_room(NOW + 2, 0, 1, 0));
    router.learn(NOW + 3, 0, 0, AttemptOutcome::Succeeded, 50_000);
    assert!(router.cold_room(NOW + 3, 0, 1, 0));
}

#[test]
fn among_many_routers_a_small_bound_is_a_pause_and_a_struck_node_gets_a_part() {
    let mut router = router("idempotent", &[("routers", 64.0), ("batch.max_shard_requests", 4.0)]);
    router.nodes[0].bound = 1.0;
    router.free(NOW, 0, 0, AttemptOutcome::Succeeded, 500_000);
    assert!(router.nodes[0].open_at > NOW + 1_000_000);
    router.now = NOW + 1_000_000;
    assert_eq!(router.room(0, 0, 0), 0);
    router.now = NOW + 5_000_000;
    assert_eq!(router.room(0, 0, 0), 4);
    router.nodes[0].record_mut(0).strikes = 1;
    assert_eq!(router.room(0, 0, 0), 1);
}

#[test]
fn a_slow_way_is_held_against_no_node() {
    let mut router = router("idempotent", &[]);
    router.ways = vec![0, 400_000];
    router.nodes[1].zone = 1;
    router.free(NOW, 1, 0, AttemptOutcome::Succeeded, 600_000);
    assert_eq!(router.nodes[1].bound, BOUND);
}

#[test]
fn idle_connections_are_doubted_when_only_long_pauses_end_in_silence() {
    let mut router = router("idempotent", &[]);
    (0..8).for_each(|_| router.rested(NOW, false, 500_000));
    (0..2).for_each(|_| router.rested(NOW, true, 3_000_000));
    assert_eq!(router.doubtful, 3_000_000);
    (0..20).for_each(|_| router.rested(NOW, true, 200_000));
    assert_eq!(router.doubtful, 200_000, "what is lost after short pauses too is not put down to long ones");
}

#[test]
fn a_silence_for_one_class_is_not_held_against_one_that_was_answered() {
    let mut router = router("idempotent", &[]);
    router.classes.push(router.classes[0].clone());
    router.nodes[0].record_mut(1).last_ok = NOW;
    router.learn(NOW + 5, 0, 0, AttemptOutcome::TimedOut, 2_000_000);
    assert_eq!((router.nodes[0].record(0).strikes, router.nodes[0].record(1).strikes), (1, 0));
}

#[test]
fn a_retrieval_with_more_lost_parts_than_the_budget_carries_ends_at_once() {
    let mut router = router("idempotent", &[("rules.retry_share", 0.0), ("rules.free_retries", 1.0)]);
    ask(&mut router, 0, 4);
    settle(&mut router, NOW);
    for (part, node) in [(1, 0), (3, 0)] {
        router.attempt_ended(
            NOW + 5,
            &AttemptEnd {
                attempt: AttemptId::new(ShardRequestId(part), AttemptNumber(0)),
                node: NodeId(node),
                outcome: AttemptOutcome::ConnectFailed,
                latency: 5,
                load: &[],
            },
        );
    }
    router.attempt_ended(
        NOW + 5,
        &AttemptEnd {
            attempt: AttemptId::new(ShardRequestId(2), AttemptNumber(0)),
            node: NodeId(1),
            outcome: AttemptOutcome::Succeeded,
            latency: 5,
            load: &[],
        },
    );
    assert_eq!(settle(&mut router, NOW + 5).last().map(String::as_str), Some("0 Rejected(0)"));
}

#[test]
fn a_node_that_spoils_or_breaks_off_gets_one_call_at_a_time_until_it_answers() {
    for outcome in [AttemptOutcome::MalformedResponse, AttemptOutcome::ConnectionLost] {
        let mut router = router("idempotent", &[("batch.max_shard_requests", 4.0)]);
        assert_eq!(after(&mut router, outcome, NOW + 9), ["send 11 1"]);
        router.learn(NOW + 10, 0, 0, outcome, 9);
        let node = &router.nodes[0];
        assert_eq!((node.record(0).barred_until, node.missed, router.falls.count(0)), (0, 0, 0));
        assert_eq!((router.state(NOW + 11, 0, 0), router.room(0, 0, 0)), (SOUND, 4));
        router.nodes[0].out.push(Shot { part: 50, trial: 0, at: NOW, rest: 0 });
        assert_eq!((router.state(NOW + 11, 0, 0), router.room(0, 0, 0)), (OPEN, 0));
        router.learn(NOW + 12, 0, 0, AttemptOutcome::Succeeded, 9);
        assert_eq!((router.state(NOW + 12, 0, 0), router.room(0, 0, 0)), (SOUND, 7));
    }
}

#[test]
fn an_unsafe_part_keeps_off_a_node_that_breaks_off_a_tenth_of_its_shots() {
    let mut router = router("non_idempotent", &[]);
    for i in 0..10 {
        router.learn(NOW + i, 0, 0, AttemptOutcome::Succeeded, 9);
    }
    router.learn(NOW + 10, 0, 0, AttemptOutcome::ConnectionLost, 9);
    router.learn(NOW + 11, 0, 0, AttemptOutcome::Succeeded, 9);
    assert_eq!(router.state(NOW + 11, 0, 0), SOUND);
    router.learn(NOW + 12, 0, 0, AttemptOutcome::ConnectionLost, 9);
    router.learn(NOW + 13, 0, 0, AttemptOutcome::Succeeded, 9);
    assert_eq!(router.state(NOW + 13, 0, 0), OPEN);
    assert_eq!(router.state(NOW + 13 + RECENT, 0, 0), SOUND, "it is forgiven in time");
}

#[test]
fn a_node_that_is_gone_is_forgotten_once_nothing_refers_to_it() {
    for listing in [EndpointUpdate::Incremental, EndpointUpdate::Full] {
        let mut router = router("idempotent", &[]);
        ask(&mut router, 10, 1);
        assert_eq!(settle(&mut router, NOW), ["send 11 0"]);
        router.nodes[0].record_mut(0).strikes = 3;
        let rows = [(0, EndpointState::Removed, 0), (1, EndpointState::Ready, 0)];
        let rows = if listing == EndpointUpdate::Full { &rows[1..] } else { &rows[..] };
        list(&mut router, listing, rows);
        assert!(settle(&mut router, NOW + 1).is_empty());
        router.attempt_ended(
            NOW + 2,
            &AttemptEnd {
                attempt: AttemptId::new(ShardRequestId(11), AttemptNumber(0)),
                node: NodeId(0),
                outcome: AttemptOutcome::Succeeded,
                latency: 2,
                load: &[],
            },
        );
        assert_eq!(settle(&mut router, NOW + 2), ["10 Complete", "release 0"]);
        list(&mut router, EndpointUpdate::Incremental, &[(0, EndpointState::Ready, 0)]);
        assert_eq!(router.state(NOW + 3, 0, 0), SOUND, "its index starts clean");
        assert!(settle(&mut router, NOW + 3).is_empty());
    }
    // One that drains is not gone: what it was told must still be obeyed.
    let mut router = router("idempotent", &[]);
    list(&mut router, EndpointUpdate::Incremental, &[(0, EndpointState::Draining, 0)]);
    assert!(settle(&mut router, NOW).is_empty());
}

#[test]
fn a_node_stands_as_the_module_would_use_it() {
    let cold = [
        ("rules.cold_overload_window_us", 1e6),
        ("rules.cold_overload_multiple", 2.0),
        ("rules.cold_capacity_share", 0.25),
    ];
    let mut router =
        router("idempotent", &[&cold[..], &[("rules.warm_up_us", 10e6), ("routers", 4.0)]].concat());
    let tape = [(0, EndpointState::Ready, NOW - 6_000_000), (1, EndpointState::Draining, 0)];
    assert!(list(&mut router, EndpointUpdate::Incremental, &tape).0.is_empty());
    // A quarter at first, half of the way after the window of a second: 0.25 + 0.75 / 2 of a core, twice that.
    assert_eq!(router.endpoint_health(NOW, NodeId(0)), EndpointHealth::Healthy { capacity: 32.0 });
    assert_eq!(
        router.endpoint_health(NOW - 5_000_000, NodeId(0)),
        EndpointHealth::WarmingUp { capacity: 16.0, share: 0.5 }
    );
    assert_eq!(router.endpoint_health(NOW, NodeId(1)), EndpointHealth::Draining);
    assert_eq!(router.endpoint_health(NOW, NodeId(2)), EndpointHealth::Removed);
    list(&mut router, EndpointUpdate::Incremental, &[(1, EndpointState::Removed, 0)]);
    assert_eq!(router.endpoint_health(NOW, NodeId(1)), EndpointHealth::Removed);
}

#[test]
fn sums_bar_a_node_only_when_most_shots_went_wrong_there() {
    let mut router = router("idempotent", &[("routers", 2.0)]);
    let sums =
        |succeeded, failed| LoadReport { succeeded, failed, mean_latency: 1000, ..LoadReport::default() };
    router.load_reported(NOW, NodeId(0), &sums(5.0, 5.0));
    assert_eq!(router.endpoint_health(NOW, NodeId(0)), EndpointHealth::Healthy { capacity: 16.0 });
    router.load_reported(NOW, NodeId(0), &sums(4.0, 5.0));
    let EndpointHealth::EjectedUntil(until) = router.endpoint_health(NOW, NodeId(0)) else {
        panic!("barred")
    };
    assert!(until > NOW);
    // Once the bar is over it owes an answer, and is open again when most shots are answered.
    assert!(matches!(router.endpoint_health(until, NodeId(0)), EndpointHealth::Suspect { .. }));
    router.load_reported(until, NodeId(0), &sums(9.0, 1.0));
    assert!(matches!(router.endpoint_health(until, NodeId(0)), EndpointHealth::Healthy { .. }));
    // Out of reach it comes back cold, where the rule on cold nodes stands.
    router.load_reported(
        until,
        NodeId(1),
        &LoadReport { connect_failures: 3.0, succeeded: 1.0, ..LoadReport::default() },
    );
    assert!(matches!(router.endpoint_health(until, NodeId(1)), EndpointHealth::EjectedUntil(_)));
    assert_eq!(router.nodes[1].missed, until);
}

#[test]
fn new_work_is_deferred_in_the_share_that_finds_no_room() {
    let mut router = router("idempotent", &[]);
    let held =
        |in_flight| LoadReport { succeeded: 1.0, in_flight, mean_latency: 1000, ..LoadReport::default() };
    router.load_reported(NOW, NodeId(0), &held(8.0));
    assert_eq!(router.shed_fraction(NOW, &[NodeId(0), NodeId(1)]), 0.0);
    router.load_reported(NOW, NodeId(1), &held(24.0));
    assert!((router.shed_fraction(NOW, &[NodeId(0), NodeId(1)]) - 0.5).abs() < 0.05);
    assert_eq!(
        router.shed_fraction(NOW + 2 * RECENT, &[NodeId(0), NodeId(1)]),
        0.0,
        "what was said long ago"
    );
}

/// A small fleet on a clock of its own: 40 cells of one shard with two nodes each, 300 routers of which this is one,
/// a class of one part and one of twenty. Good nodes answer in 20 ms, full ones turn away in 3 ms.
struct Fleet {
    router: Balancer,
    full: Vec<Node>,
    /// What comes back when: part, trial, node, outcome and its lag.
    back: Vec<(Micros, usize, usize, Node, AttemptOutcome, Micros)>,
    trials: std::collections::BTreeMap<usize, usize>,
    now: Micros,
    /// By retrieval, whether it was whole in time.
    ends: Vec<(usize, bool)>,
}

impl Actions for Fleet {
    fn send_attempt(&mut self, shard_request: ShardRequestId, node: NodeId, _timeout: Option<Micros>) {
        let (part, node) = (shard_request.0, node.0);
        let trial = self.trials.entry(part).or_default();
        let (outcome, lag) = if self.full.contains(&node) {
            (AttemptOutcome::Rejected, 3_000)
        } else {
            (AttemptOutcome::Succeeded, 20_000)
        };
        self.back.push((self.now + lag, part, *trial, node, outcome, lag));
        *trial += 1;
    }
    fn complete_query(&mut self, query: QueryId, end: Completion) {
        let retrieval = query.0;
        let asked = NOW + (retrieval / 100) as Micros * 500_000;
        self.ends.push((retrieval, end == Completion::Complete && self.now <= asked + 300_000));
    }
}

impl Fleet {
    /// `nodes`: the cell of each and when it started.
    fn new(nodes: &[(usize, Micros)], full: &[Node]) -> Fleet {
        let mut settings = Settings::default();
        for (name, value) in [
            ("shards.replica_sets", 40.0),
            ("shards.replica_sets_per_shard", 1.0),
            ("routers", 300.0),
            ("batch.max_shard_requests", 4.0),
            ("batch.work_us", 7_000.0),
            ("limits.max_attempts", 3.0),
            ("decision_interval_us", 5_000.0),
            ("rules.cold_overload_window_us", 3e6),
            ("rules.cold_overload_multiple", 2.5),
            ("rules.cold_capacity_share", 0.2),
            ("rules.warm_up_us", 18e6),
        ] {
            settings.set(name, crate::Value::Number(value));
        }
        for g in 0..2 {
            settings.set(&format!("class.{g}.idempotency"), crate::Value::Text("idempotent".into()));
            settings.set(&format!("class.{g}.latency_objective_us"), crate::Value::Number(300_000.0));
            settings.set(&format!("class.{g}.deadline_us"), crate::Value::Number(1e6));
        }
        let mut router = Balancer::new(3, settings);
        router.endpoint_update_started(NOW, EndpointUpdate::Cached);
        for (n, &(cell, up_since)) in nodes.iter().enumerate() {
            router.endpoint_listed(
                NOW,
                &Endpoint {
                    node: NodeId(n),
                    zone: 0,
                    replica_set: cell,
                    state: EndpointState::Ready,
                    scale: 1.0,
                    started_at: up_since,
                },
            );
        }
        router.endpoint_update_finished(NOW, &mut Tape::default());
        let (back, trials, ends) = (Vec::new(), Default::default(), Vec::new());
        Fleet { router, full: full.to_vec(), back, trials, now: NOW, ends }
    }

    /// Each second one retrieval of each of these classes; how many of all were not answered whole in time.
    fn play(mut self, classes: &[usize]) -> usize {
        let mut router = std::mem::take(&mut self.router);
        for tick in 0..4_400 {
            self.now = NOW + tick * 5_000;
            let (second, of) = (tick as usize / 200, tick % 200);
            let class = (of > 0) as usize;
            if of % 100 == 0 && second < 20 && classes.contains(&class) {
                let r = 100 * (2 * second + class);
                let parts = [1, 20][class];
                router.query_arrived(
                    self.now,
                    &QueryArrival {
                        query: QueryId(r),
                        class,
                        tenant: 0,
                        deadline: self.now + 1_000_000,
                        work: 0,
                        shard_requests: parts,
                        is_retry: false,
                    },
                );
                for i in 0..parts {
                    router.shard_request_arrived(
                        self.now,
                        &ShardRequestArrival {
                            shard_request: ShardRequestId(r + 1 + i),
                            query: QueryId(r),
                            shard: (second + 2 * i) % 40,
                            weight: 1.0 / parts as f64,
                            work: 0,
                        },
                    );
                }
            }
            let (due, later) = std::mem::take(&mut self.back).into_iter().partition(|b| b.0 <= self.now);
            self.back = later;
            for (_, part, trial, node, outcome, lag) in due {
                router.attempt_ended(
                    self.now,
                    &AttemptEnd {
                        attempt: AttemptId::new(ShardRequestId(part), AttemptNumber(trial)),
                        node: NodeId(node),
                        outcome,
                        latency: lag,
                        load: &[],
                    },
                );
            }
            router.decide(self.now, &mut self);
        }
        assert_eq!(self.ends.len(), 20 * classes.len(), "each gets its one answer");
        self.ends.iter().filter(|end| !end.1).count()
    }
}

#[test]
fn after_a_roll_of_half_of_the_nodes_a_fresh_router_refuses_no_class() {
    let old = (0..40).map(|cell| (cell, 0));
    let new = (0..40).map(|cell| (cell, NOW - 1_000_000));
    let nodes: Vec<_> = old.chain(new).collect();
    for classes in [&[0][..], &[1], &[0, 1]] {
        assert_eq!(Fleet::new(&nodes, &[]).play(classes), 0, "{classes:?}");
    }
}

#[test]
fn nodes_that_turn_all_away_hold_no_class_back_at_a_quiet_router() {
    let nodes: Vec<_> = (0..80).map(|n| (n % 40, 0)).collect();
    for classes in [&[0][..], &[1], &[0, 1]] {
        assert_eq!(Fleet::new(&nodes, &[3, 4, 5, 6]).play(classes), 0, "{classes:?}");
    }
}
