//! Tests of whether a response ends where its length states, for lengths that are too small and for responses that are
//! followed by other bytes.

use super::*;
use crate::router::node_connections::{self, NodeReport};
use crate::router::state::State;

/// The value of the shard request `t1.1` in these tests.
const VALUE: &str = "5be2a07c19f04d63";

/// Returns a frame whose length is too small by `missing` bytes; all of its bytes are there.
fn frame_with_short_length(payload: &str, missing: usize) -> Vec<u8> {
    let mut bytes = frame(b'Y', payload);
    let length = (payload.len() + 1 - missing) as u32;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    bytes
}

/// Returns a router with a query for the shards 0 and 1, the first of which has answered, the client's connection, and
/// the connection on which the response to `t1.1` is expected.
fn rig_awaiting_response(class: &str) -> (Rig<RecordingPeers>, ConnectionId, ConnectionId) {
    let mut rig = Rig::new();
    let client = rig.send_query(class, "t1");
    let (connection, _) = rig.establish_last();
    rig.respond(connection, "t1.0 OK 5 -", "alpha");
    (rig, client, connection)
}

/// Guards against a value that is served cut off because the length of its frame is too small.
#[test]
fn a_response_whose_length_is_too_small_is_not_served() {
    let payload = format!("t1.1 OK 5 -\n{VALUE}");
    let copy = frame(b'Y', &payload);
    let other = frame(b'Y', "t8.1 OK 5 -\nbeta");
    for missing in 1..payload.len() {
        for following in [&[][..], &copy, &other, b"noise", b"\r\n"] {
            let (mut rig, client, connection) = rig_awaiting_response("pay");
            rig.receive(connection, &[&frame_with_short_length(&payload, missing), following].concat());
            rig.decide();
            let case = format!("length too small by {missing}, followed by {following:?}");
            assert!(rig.written(client).starts_with("HTTP/1.1 502"), "{case}: {}", rig.written(client));
            assert!(rig.peers.closed.contains(&connection), "{case}");
            let counters = rig.router.counters();
            let is_found_in_line = missing > VALUE.len();
            let counts = (counters.attempts_malformed_response, counters.responses_ambiguous);
            assert_eq!(counts, (1, u64::from(!is_found_in_line)), "{case}");
        }
    }
}

/// Guards against a long value that is served cut off although the rest of it is received by a later read.
#[test]
fn a_long_response_whose_length_is_too_small_is_not_served() {
    let payload = format!("t1.1 OK 5 -\n{}", VALUE.repeat(2_500));
    for missing in [1, 8, 40_000] {
        let bytes = frame_with_short_length(&payload, missing);
        let stated_end = bytes.len() - missing;
        for read_length in [1_000, 16_384, stated_end - 1, stated_end + 1] {
            let (mut rig, client, connection) = rig_awaiting_response("pay");
            for end in (read_length..bytes.len()).step_by(read_length).chain([bytes.len()]) {
                if !rig.peers.closed.contains(&connection) {
                    rig.receive(connection, &bytes[..end]);
                }
            }
            rig.decide();
            let is_failed = rig.written(client).starts_with("HTTP/1.1 502");
            assert!(is_failed, "length too small by {missing}, reads of {read_length} bytes");
        }
    }
}

/// Guards against a proof that an attempt was not executed, and hence a retry, that rests on a broken frame.
#[test]
fn a_rejection_followed_by_text_does_not_prove_that_the_attempt_was_not_executed() {
    for status in ["REJECTED", "ERROR"] {
        let (mut rig, client, connection) = rig_awaiting_response("pay");
        let response = frame(b'Y', &format!("t1.1 {status} 0 -\n"));
        rig.receive(connection, &[&response, VALUE.as_bytes()].concat());
        rig.decide();
        assert!(rig.written(client).starts_with("HTTP/1.1 502"), "{status}: {}", rig.written(client));
        let counters = rig.router.counters();
        assert_eq!((counters.attempts_rejected, counters.attempts_server_error), (0, 0), "{status}");
        assert_eq!((counters.responses_ambiguous, counters.attempts_retried), (1, 0), "{status}");
    }
}

/// Guards against a rejection that no longer counts although the end of its frame is certain.
#[test]
fn a_rejection_followed_by_surplus_bytes_proves_that_the_attempt_was_not_executed() {
    let response = frame(b'Y', "t1.1 REJECTED 0 -\n");
    for following in [&response[..], b"\r\nnoise", b"\xff"] {
        let (mut rig, client, connection) = rig_awaiting_response("pay");
        rig.receive(connection, &[&response, following].concat());
        rig.decide();
        assert_eq!(rig.written(client), "", "{following:?}: the attempt is retried");
        let counters = rig.router.counters();
        assert_eq!((counters.attempts_rejected, counters.attempts_retried), (1, 1), "{following:?}");
    }
}

/// Guards against a response that is discarded because responses to other attempts follow it.
#[test]
fn a_response_followed_by_those_of_other_attempts_is_served() {
    let mut rig = Rig::new();
    let client = rig.send_query("pay", "t1");
    let (connection, _) = rig.establish_last();
    let responses = [frame(b'Y', "t1.0 OK 5 -\nalpha"), frame(b'Y', &format!("t1.1 OK 5 -\n{VALUE}"))];
    rig.receive(connection, &responses.concat());
    rig.decide();
    assert!(rig.written(client).starts_with("HTTP/1.1 200") && rig.written(client).contains(VALUE));
    let counters = rig.router.counters();
    assert_eq!((counters.responses_ambiguous, counters.responses_with_surplus_bytes), (0, 0));
    assert!(!rig.peers.closed.contains(&connection));
}

/// Guards against an attempt that is charged with the fault of another: the one whose response is cut off counts as
/// malformed, and others on the connection as cancelled.
#[test]
fn a_response_cut_off_before_the_response_to_another_attempt_ends_its_own_attempt() {
    let mut rig = Rig::new();
    let client = rig.send_query("pay", "t1");
    let (connection, _) = rig.establish_last();
    let cut_off = frame_with_short_length(&format!("t1.1 OK 5 -\n{VALUE}"), 8);
    rig.receive(connection, &[cut_off, frame(b'Y', "t1.0 OK 5 -\nalpha")].concat());
    let requests = &rig.router.state.queries.shard_requests;
    let outcomes = requests.iter().map(|(_, request)| request.attempts[0].outcome);
    let expected = [AttemptOutcome::Cancelled, AttemptOutcome::MalformedResponse];
    assert!(outcomes.eq(expected.map(Some)), "{:?}", rig.router.counters());
    rig.decide();
    assert!(rig.written(client).starts_with("HTTP/1.1 502"));
}

/// Guards against connections on which a late response that is cut off would shift the frames after it.
#[test]
fn a_late_response_whose_length_is_too_small_closes_its_connection() {
    let mut rig = Rig::new();
    let client = rig.send_query("look", "t1");
    let (connection, _) = rig.establish_last();
    rig.end_connection(client, 0);
    rig.decide();
    rig.receive(connection, &frame_with_short_length(&format!("t1.0 OK 5 -\n{VALUE}"), 8));
    rig.decide();
    assert!(rig.peers.closed.contains(&connection));
    assert_eq!(rig.router.counters().attempts_succeeded, 0);
}

/// Returns a router with a query for the shards 0 and 1, of which 1 has answered with the first part of its value, and
/// then received the rest of the value while shard 0 is awaited.
fn rig_after_rest_of_value(class: &str) -> (Rig<RecordingPeers>, ConnectionId, ConnectionId) {
    let mut rig = Rig::new();
    let client = rig.send_query(class, "t1");
    let (connection, _) = rig.establish_last();
    let bytes = frame_with_short_length(&format!("t1.1 OK 5 -\n{VALUE}"), 8);
    let (first_part, rest) = bytes.split_at(bytes.len() - 8);
    rig.receive(connection, first_part);
    rig.decide();
    rig.receive(connection, rest);
    rig.decide();
    (rig, client, connection)
}

/// Guards against a value that is served cut off although its rest arrived, by a later read, before the answer.
#[test]
fn a_response_whose_rest_arrives_by_a_later_read_is_invalidated() {
    let (rig, client, connection) = rig_after_rest_of_value("pay");
    assert!(rig.written(client).starts_with("HTTP/1.1 502"), "{}", rig.written(client));
    assert!(rig.peers.closed.contains(&connection));
    assert_eq!(rig.router.counters().responses_invalidated, 1);
}

/// Guards against a value of an invalidated response that remains in the answer, or keeps the shard from another attempt.
#[test]
fn an_invalidated_response_is_replaced_by_another_attempt() {
    let (mut rig, client, first) = rig_after_rest_of_value("look");
    assert_eq!((rig.written(client), rig.router.counters().attempts_retried), (String::new(), 2));
    assert!(rig.peers.closed.contains(&first));
    let (second, _) = rig.establish_last();
    rig.respond(second, "t1.0 OK 5 -", "alpha");
    rig.respond(second, "t1.1 OK 5 -", VALUE);
    rig.decide();
    assert!(rig.written(client).starts_with("HTTP/1.1 200") && rig.written(client).contains(VALUE));
}

/// Guards against a retry of an attempt that may have been executed, after a rejection whose frame proves to be broken.
#[test]
fn an_invalidated_rejection_does_not_prove_that_the_attempt_was_not_executed() {
    for following in [&b"5"[..], b"\0", b"\r\n"] {
        let (mut rig, client, connection) = rig_awaiting_response("pay");
        rig.respond(connection, "t1.1 REJECTED 0 -", "");
        rig.receive(connection, following);
        rig.decide();
        let is_invalidated = following == b"5";
        let counters = rig.router.counters();
        let counts = (counters.responses_invalidated, counters.attempts_retried);
        assert_eq!(counts, if is_invalidated { (1, 0) } else { (0, 1) }, "{following:?}");
        assert_eq!(rig.written(client).starts_with("HTTP/1.1 502"), is_invalidated, "{following:?}");
    }
}

/// Guards against an invalidation that ends, or changes, a later query: after the answer it is only counted.
#[test]
fn text_that_arrives_after_the_answer_is_counted_and_closes_the_connection() {
    for following in ["5", "noise"] {
        let (mut rig, client, connection) = rig_awaiting_response("pay");
        rig.respond(connection, "t1.1 OK 5 -", VALUE);
        rig.decide();
        assert!(rig.written(client).starts_with("HTTP/1.1 200"));
        rig.send_query("pay", "t2");
        rig.receive(connection, following.as_bytes());
        rig.decide();
        let counters = rig.router.counters();
        assert_eq!((counters.responses_invalidated, counters.responses_ambiguous_after_use), (0, 1));
        assert!(rig.peers.closed.contains(&connection));
    }
}

/// Guards against a long value that is served cut off although a read ends exactly where its frame does.
#[test]
fn a_long_response_that_is_read_up_to_its_stated_end_is_invalidated() {
    let payload = format!("t1.1 OK 5 -\n{}", VALUE.repeat(2_500));
    for missing in [1, 8, 40_000] {
        let bytes = frame_with_short_length(&payload, missing);
        let (mut rig, client, connection) = rig_awaiting_response("pay");
        let (first_part, rest) = bytes.split_at(bytes.len() - missing);
        rig.receive(connection, first_part);
        rig.receive(connection, rest);
        rig.decide();
        assert!(rig.written(client).starts_with("HTTP/1.1 502"), "length too small by {missing}");
    }
}

/// Returns the outcomes of the health checks whose response, with the bytes after it, is `bytes`: the numbers of load
/// reports used, and of connections closed.
fn outcome_of_health_check(bytes: &[u8]) -> (usize, usize) {
    let mut rig = Rig::new();
    rig.router.state.check_health(NodeId(0));
    rig.run_effects();
    let (connection, _) = rig.establish_last();
    let State { context, queries, .. } = &mut rig.router.state;
    let mut used_reports = 0;
    let mut offset = 0;
    while let Some(report) = node_connections::next_report(context, queries, connection, bytes, &mut offset) {
        if let NodeReport::HealthCheck { load, .. } = report {
            used_reports += usize::from(!load.is_empty());
        }
    }
    rig.run_effects();
    (used_reports, rig.peers.closed.len())
}

/// Guards against a load figure that is cut off: 0.6 instead of 0.61.
#[test]
fn a_load_report_whose_length_is_too_small_is_not_used() {
    let mut bytes = frame(b'T', "inflight=7,util=0.61");
    assert_eq!(outcome_of_health_check(&bytes), (1, 0));
    bytes[3] -= 1;
    assert_eq!(outcome_of_health_check(&bytes), (0, 1));
}

/// Guards against responses to health checks that are discarded although their end is certain.
#[test]
fn a_response_to_a_health_check_that_is_complete_in_itself_is_used() {
    let load = frame(b'T', "inflight=7,util=0.61");
    assert_eq!(outcome_of_health_check(&[&load, &frame(b'G', "OK")[..]].concat()), (1, 0));
    for word in ["OK", "ERROR", "-"] {
        let mut rig = Rig::new();
        rig.router.state.check_health(NodeId(0));
        rig.run_effects();
        let (connection, _) = rig.establish_last();
        let State { context, queries, .. } = &mut rig.router.state;
        let bytes = [&frame(b'T', word), &b"noise"[..]].concat();
        let report = node_connections::next_report(context, queries, connection, &bytes, &mut 0);
        assert!(matches!(report, Some(NodeReport::HealthCheck { .. })), "{word}");
    }
}

/// Guards against a retry that counts as rejected, and is retried although it is being executed, because the rejection
/// of the attempt before it arrives a second time.
#[test]
fn a_rejection_that_arrives_again_does_not_end_the_retry() {
    let second_node = CONFIG.find(",\n      {\"id\":\"b\"").expect("the entry of the second node");
    let end_of_list = CONFIG.find("]},").expect("the end of the list");
    let mut rig = Rig::with_config(&[&CONFIG[..second_node], &CONFIG[end_of_list..]].concat());
    let client = rig.send_query("pay", "t1");
    let (first, _) = rig.establish_last();
    rig.respond(first, "t1.0 OK 5 -", "alpha");
    rig.respond(first, "t1.1 REJECTED 0 -", "");
    while rig.router.counters().attempts_retried == 0 {
        rig.decide_and_advance(1_000);
    }
    rig.respond(first, "t1.1 REJECTED 0 -", "");
    rig.decide();
    let (second, _) = rig.establish_last();
    rig.decide_and_advance(100_000);
    assert_eq!(rig.router.counters().attempts_rejected, 1);
    rig.respond(second, "t1.1 OK 5 -", VALUE);
    rig.decide();
    assert!(rig.written(client).starts_with("HTTP/1.1 200") && rig.written(client).contains(VALUE));
}

/// Guards against a value that is served cut off because the router decides between two reads that belong together.
#[test]
fn a_decision_waits_once_for_the_rest_of_a_read_after_a_response() {
    let bytes = frame_with_short_length(&format!("t1.1 OK 5 -\n{VALUE}"), 8);
    let (first_part, rest) = bytes.split_at(bytes.len() - 8);
    for is_rest_received in [true, false] {
        let (mut rig, client, connection) = rig_awaiting_response("pay");
        rig.receive(connection, first_part);
        rig.step(Event::ReadPaused(connection));
        rig.decide();
        assert_eq!(rig.written(client), "");
        if is_rest_received {
            rig.receive(connection, rest);
        }
        rig.step(Event::ReadPaused(connection));
        rig.decide();
        let status = if is_rest_received { "HTTP/1.1 502" } else { "HTTP/1.1 200" };
        assert!(rig.written(client).starts_with(status), "{}", rig.written(client));
    }
}
