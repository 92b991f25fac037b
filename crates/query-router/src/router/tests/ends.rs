//! Planned ends.

use super::*;

#[test]
fn a_planned_end_answers_what_came_and_closes_between_requests() {
    let mut bench = Bench::new();
    let idle = bench.client();
    let busy = bench.ask("look", "t1");
    bench.tell(Event::Terminate);
    let late = bench.client();
    bench.tell(Event::Received(late, b"GET /-/ready HTTP/1.1\r\n\r\n"));
    assert!(bench.said(late).starts_with("HTTP/1.1 503") && bench.said(late).contains("Connection: close"));
    assert_eq!(bench.finished, [late]);
    bench.pass(shutdown::ACCEPTING_FOR);
    assert_eq!((&bench.finished[..], bench.exit), (&[late, idle][..], false));
    bench.tell(Event::Ended(late, 0));
    bench.tell(Event::Ended(idle, 0));
    bench.pass(1_200_000);
    assert!(bench.said(busy).contains("Connection: close") && !bench.exit);
    bench.tell(Event::Ended(busy, 0));
    bench.settle();
    assert!(bench.exit);
}

#[test]
fn what_is_taken_after_the_end_has_begun_is_answered_before_the_process_is_killed() {
    let mut bench = Bench::new();
    let client = bench.client();
    bench.tell(Event::Terminate);
    bench.pass(400_000);
    // Its client would wait for 20 s, and its node never answers; one process lives for 0.7 s and the longest
    // deadline, 2 s here.
    let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"q"}"#;
    let request = post("look", "t1", body).replace("1500", "20000");
    bench.tell(Event::Received(client, request.as_bytes()));
    bench.pass(2_250_000);
    assert!(bench.said(client).starts_with("HTTP/1.1 50"), "{}", bench.said(client));
}

#[test]
fn a_request_that_never_comes_whole_does_not_outlast_the_planned_end() {
    let mut bench = Bench::new();
    let client = bench.client();
    bench.tell(Event::Terminate);
    bench.pass(400_000);
    bench.tell(Event::Received(client, b"POST /api HTTP/1.1\r\n"));
    bench.pass(2_250_000);
    assert!(bench.said(client).starts_with("HTTP/1.1 4"), "{}", bench.said(client));
    let other = bench.client();
    bench.tell(Event::Received(other, b"POST /api HT"));
    bench.pass(1);
    assert!(bench.said(other).starts_with("HTTP/1.1 4"), "{}", bench.said(other));
    bench.pass(1_000_000);
    assert!(bench.exit);
}

#[test]
fn what_was_read_behind_a_request_is_answered_though_the_end_began_meanwhile() {
    // The answer's head asks for more; it is not written whole when the router is told to end.
    let mut bench = Bench::new();
    let client = bench.client();
    bench.slow = true;
    bench.tell(Event::Received(client, b"GET /-/healthy HTTP/1.1\r\n\r\n"));
    bench.tell(Event::Terminate);
    bench.pass(500_000);
    bench.slow = false;
    bench.tell(Event::Flushed(client));
    assert!(bench.finished.is_empty(), "the request behind it is read first");
    bench.tell(Event::Received(client, b"GET /-/healthy HTTP/1.1\r\n\r\n"));
    bench.pass(1);
    assert!(bench.said(client).ends_with("Connection: close\r\n\r\nOK\n"), "{}", bench.said(client));
    assert_eq!(bench.finished, [client]);
}
