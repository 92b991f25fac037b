//! Tests of the order in which input, writes and decisions of an iteration follow each other.

use super::*;
use crate::io::Event;

#[test]
fn client_that_connects_during_the_last_iteration_before_the_exit_is_answered() {
    let mut router = TestRouter::new();
    router.server.report_event(Event::Terminate);
    // Stops before the iteration in which idle connections are closed and in which, without a client, the router
    // requests the exit.
    let is_due =
        |router: &TestRouter| router.server.wake_at.is_some_and(|at| at <= router.server.clock.now());
    while !is_due(&router) {
        let timeout = router.server.poll_timeout();
        router.event_loop.dispatch(timeout, &mut router.server).expect("dispatching events");
        if !is_due(&router) {
            router.server.run_iteration();
        }
    }
    let mut client = router.connect();
    client.write_all(b"GET /-/ready HTTP/1.1\r\n\r\n").expect("writing to the router");
    router.server.accept_pending = false;
    router.server.run_iteration();
    assert!(router.server.exit != ExitState::Done, "exiting would reset a client that is connected");
    assert_eq!(router.read_response(&mut client), "HTTP/1.1 503 Service Unavailable");
    drop(client);
    router.run_until("the router does not exit", |router| router.server.exit == ExitState::Done);
}

#[test]
fn batch_is_not_sent_on_a_connection_that_the_node_is_about_to_close() {
    // The bytes of the node arrive after the loop has last polled the connection, so they are unread when the batch is
    // about to be written.
    let half_frame = frame(b'Y', "t1.0 OK 5 -\ntwice")[..9].to_vec();
    for last_bytes in [frame(b'N', "that was none"), half_frame] {
        let mut router = TestRouter::new();
        let mut client = router.connect();
        client.write_all(query("t1").as_bytes()).expect("writing to the router");
        let mut first_connection = router.accept_at_node();
        assert!(router.read_frame(&mut first_connection).starts_with("t1.0 "));
        first_connection.write_all(&frame(b'Y', "t1.0 OK 5 -\none")).expect("writing to the router");
        assert_eq!(router.read_response(&mut client), "HTTP/1.1 200 OK");
        let client_connection = router.connection_to(client.local_addr().expect("an address"));
        let node_connection = router.connection_to(router.node.local_addr().expect("an address"));
        first_connection.write_all(&last_bytes).expect("writing to the router");
        client.write_all(query("t2").as_bytes()).expect("writing to the router");
        while !router.has_unread_input(node_connection) || !router.has_unread_input(client_connection) {
            std::thread::yield_now();
        }
        router.server.read_in_next_iteration(client_connection);
        router.server.run_iteration();
        let mut second_connection = router.accept_at_node();
        assert!(router.read_frame(&mut second_connection).starts_with("t2.0 "));
        second_connection.write_all(&frame(b'Y', "t2.0 OK 5 -\ntwo")).expect("writing to the router");
        assert_eq!(router.read_response(&mut client), "HTTP/1.1 200 OK");
        let mut rest = Vec::new();
        // The router closed the connection with unread input, which may reset it; reading may thus return an error.
        let _ = first_connection.read_to_end(&mut rest);
        assert_eq!(rest, b"");
        assert_eq!(router.server.router.counters().attempts_not_sent, 1);
    }
}

/// Guards against a blocked write that goes on before the drain of its node is read, after a time without iterations.
#[test]
fn discovery_is_handled_before_the_other_connections_of_an_iteration() {
    let mut router = TestRouter::new();
    let mut client = router.connect();
    client.write_all(query("t1").as_bytes()).expect("writing to the router");
    let mut node_connection = router.accept_at_node();
    assert!(router.read_frame(&mut node_connection).starts_with("t1.0 "));
    let discovery_address = router.discovery.local_addr().expect("an address");
    let node = router.connection_to(router.node.local_addr().expect("an address"));
    let discovery = router.connection_to(discovery_address);
    assert!(router.server.turn(discovery) < router.server.turn(node));
}

/// Guards against a value that is served cut off because the router decides while its rest is unread.
#[test]
fn router_does_not_decide_between_two_reads_of_one_response() {
    let mut router = TestRouter::new();
    let mut client = router.connect();
    client.write_all(query("t1").as_bytes()).expect("writing to the router");
    let mut node_connection = router.accept_at_node();
    assert!(router.read_frame(&mut node_connection).starts_with("t1.0 "));
    // All reads of an iteration together end where the response does by its stated length, and its rest is unread then.
    let response = frame(b'Y', "t1.0 OK 5 -\n5be2a07");
    let reads = crate::event_loop::input::MAX_READS_PER_ITERATION;
    assert_eq!(response.len() % reads, 0);
    router.server.read_buffer = vec![0; response.len() / reads];
    node_connection.write_all(&[&response[..], b"c19f04d63"].concat()).expect("writing to the router");
    assert_eq!(router.read_response(&mut client), "HTTP/1.1 502 Bad Gateway");
    assert_eq!(router.server.router.counters().responses_invalidated, 1);
}

/// Guards against a value that is served cut off because the connection is closed before its rest is read.
#[test]
fn unread_bytes_that_keep_a_batch_from_a_connection_are_read_before_it_is_closed() {
    let mut router = TestRouter::new();
    let mut client = router.connect();
    // Eight shard requests make two batches on two connections. The first batch is answered, the second is not.
    client.write_all(query_for_shards("t1", 8).as_bytes()).expect("writing to the router");
    let mut answering = router.accept_at_node();
    let batch = router.read_frame(&mut answering);
    let mut waiting = router.accept_at_node();
    router.read_frame(&mut waiting);
    // A batch is a line for each shard request, followed by the text `q`.
    let lines = batch.split('\n').map(|line| line.trim_start_matches('q'));
    let ids: Vec<&str> =
        lines.filter_map(|line| line.split(' ').next().filter(|id| !id.is_empty())).collect();
    assert_eq!(ids.len(), 4, "{batch}");
    let responses: Vec<u8> =
        ids.iter().flat_map(|id| frame(b'Y', &format!("{id} OK 5 -\n5be2a07c"))).collect();
    answering.write_all(&responses).expect("writing to the router");
    router.run_until("the router does not read the responses", |router| {
        router.server.router.counters().attempts_succeeded == 4
    });
    // The rest of the last value, and a query for the same connection, arrive after the loop has last polled.
    let mut second_client = router.connect();
    router.run_until("the router does not accept the client", |router| {
        router.server.router.counters().client_connections_arrived == 2
    });
    let client_connection = router.connection_to(second_client.local_addr().expect("an address"));
    answering.write_all(b"19f04d63").expect("writing to the router");
    second_client.write_all(query("t2").as_bytes()).expect("writing to the router");
    let unread_connections = |router: &TestRouter| {
        let ids = (0..router.server.sockets.len()).map(ConnectionId);
        ids.filter(|&id| router.has_unread_input(id)).count()
    };
    while unread_connections(&router) < 2 {
        std::thread::yield_now();
    }
    router.server.read_in_next_iteration(client_connection);
    router.server.run_iteration();
    assert_eq!(router.server.router.counters().responses_invalidated, 1);
    assert_eq!(router.read_response(&mut client), "HTTP/1.1 502 Bad Gateway");
}
