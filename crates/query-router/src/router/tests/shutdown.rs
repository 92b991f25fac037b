//! Graceful shutdown.

use super::*;

#[test]
fn shutdown_answers_what_has_come_and_closes_between_requests() {
    let mut rig = Rig::new();
    let idle = rig.client();
    let busy = rig.query("look", "t1");
    rig.step(Event::Terminate);
    let late = rig.client();
    rig.receive(late, b"GET /-/ready HTTP/1.1\r\n\r\n");
    assert!(rig.written(late).starts_with("HTTP/1.1 503") && rig.written(late).contains("Connection: close"));
    assert_eq!(rig.peers.half_closed, [late]);
    rig.pass(IDLE_CLOSE_DELAY);
    assert_eq!((&rig.peers.half_closed[..], rig.exit), (&[late, idle][..], false));
    rig.end(late, 0);
    rig.end(idle, 0);
    rig.pass(1_200_000);
    assert!(rig.written(busy).contains("Connection: close") && !rig.exit);
    rig.end(busy, 0);
    rig.decide();
    assert!(rig.exit);
}

#[test]
fn a_query_accepted_during_shutdown_is_answered_before_the_process_is_killed() {
    let mut rig = Rig::new();
    let client = rig.client();
    rig.step(Event::Terminate);
    rig.pass(400_000);
    // Its client would wait for 20 s, and its node never responds; the process is killed after 0.7 s and the longest
    // deadline, 2 s here.
    let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"q"}"#;
    let request = post("look", "t1", body).replace("1500", "20000");
    rig.receive(client, request.as_bytes());
    rig.pass(2_250_000);
    assert!(rig.written(client).starts_with("HTTP/1.1 50"), "{}", rig.written(client));
}

/// What happens: a query that came before SIGTERM is closed by the kill without an answer. Why: only queries that are accepted
/// after the signal get a deadline that ends before the kill. Soak seeds 416 and 420 showed it: "lost ... closed after
/// 3736 ms", of a class with a deadline of 5 s whose nodes hang, asked 34 ms before SIGTERM and killed 3.70 s after it.
#[test]
fn a_query_accepted_before_shutdown_is_answered_before_the_process_is_killed() {
    // Its client waits for 5 s, as long as the class's latency objective, and its node never responds; the process is killed
    // 3.7 s after SIGTERM.
    let long = r#""targetNs":5000000000,"deadlineNs":5000000000"#;
    let mut rig = Rig::with_config(&CONFIG.replace(r#""targetNs":1000000000,"deadlineNs":2000000000"#, long));
    let client = rig.client();
    let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"q"}"#;
    rig.receive(client, post("pay", "t1", body).replace("1500", "5000").as_bytes());
    rig.decide();
    rig.establish_last();
    rig.step(Event::Terminate);
    rig.pass(3_650_000);
    assert!(rig.written(client).starts_with("HTTP/1.1 50"), "{:?}", rig.written(client));
}

#[test]
fn an_incomplete_request_does_not_outlast_the_shutdown() {
    let mut rig = Rig::new();
    let client = rig.client();
    rig.step(Event::Terminate);
    rig.pass(400_000);
    rig.receive(client, b"POST /api HTTP/1.1\r\n");
    rig.pass(2_250_000);
    assert!(rig.written(client).starts_with("HTTP/1.1 4"), "{}", rig.written(client));
    let other = rig.client();
    rig.receive(other, b"POST /api HT");
    rig.pass(1);
    assert!(rig.written(other).starts_with("HTTP/1.1 4"), "{}", rig.written(other));
    rig.pass(1_000_000);
    assert!(rig.exit);
}

#[test]
fn a_pipelined_request_is_answered_though_shutdown_began_meanwhile() {
    // The answer's head keeps the connection open; it is not written in full when the shutdown begins.
    let mut rig = Rig::new();
    let client = rig.client();
    rig.peers.writes_stall = true;
    rig.receive(client, b"GET /-/healthy HTTP/1.1\r\n\r\n");
    rig.step(Event::Terminate);
    rig.pass(500_000);
    rig.peers.writes_stall = false;
    rig.step(Event::Flushed(client));
    assert!(rig.peers.half_closed.is_empty(), "the request behind it is read first");
    rig.receive(client, b"GET /-/healthy HTTP/1.1\r\n\r\n");
    rig.pass(1);
    assert!(rig.written(client).ends_with("Connection: close\r\n\r\nOK\n"), "{}", rig.written(client));
    assert_eq!(rig.peers.half_closed, [client]);
}

#[test]
fn first_request_of_a_client_that_connected_during_shutdown_is_answered() {
    let mut rig = Rig::new();
    rig.step(Event::Terminate);
    rig.pass(400_000);
    let client = rig.client();
    // Idle connections are closed before its request comes; it has none that could cross the close unanswered.
    rig.pass(IDLE_CLOSE_DELAY - 400_000 + 20_000);
    rig.receive(client, b"GET /-/healthy HTTP/1.1\r\n\r\n");
    rig.pass(1);
    assert!(rig.written(client).starts_with("HTTP/1.1 200"), "{}", rig.written(client));
    rig.end(client, 0);
    rig.pass(1_000_000);
    assert!(rig.exit);
}
