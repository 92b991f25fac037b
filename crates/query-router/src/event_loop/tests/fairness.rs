//! Tests of fairness among connections: floods of requests, long requests, and who is handled first.

use super::*;

/// A health check, the shortest request of a client.
const HEALTH_CHECK: &[u8] = b"GET /-/ready HTTP/1.1\r\n\r\n";

/// Waits until the bytes that were sent are in the receive buffers of both connections.
fn wait_for_unread(router: &TestRouter, connections: [ConnectionId; 2]) {
    let started = Instant::now();
    while !connections.iter().all(|&connection| router.has_unread_input(connection)) {
        assert!(started.elapsed() < MAX_WAIT, "the bytes do not arrive");
        std::thread::yield_now();
    }
}

/// Connects clients, and returns them with their connections once they are accepted.
fn connect_clients(router: &mut TestRouter, count: u64) -> Vec<(TcpStream, ConnectionId)> {
    let clients: Vec<TcpStream> = (0..count).map(|_| router.connect()).collect();
    router.run_until("the router does not accept the clients", |router| {
        router.server.router.counters().client_connections_arrived == count
    });
    let with_connection = |client: TcpStream| {
        let connection = router.connection_to(client.local_addr().expect("an address"));
        (client, connection)
    };
    clients.into_iter().map(with_connection).collect()
}

/// Connects two clients, and returns them with their connections once they are accepted.
fn connect_two_clients(router: &mut TestRouter) -> ([TcpStream; 2], [ConnectionId; 2]) {
    let (clients, ids): (Vec<TcpStream>, Vec<ConnectionId>) = connect_clients(router, 2).into_iter().unzip();
    (clients.try_into().expect("two clients"), ids.try_into().expect("two connections"))
}

/// Guards against answers that come late because thousands of requests of one client are handled in one iteration.
#[test]
fn a_client_that_sends_many_requests_has_a_few_of_them_handled_in_an_iteration() {
    let mut router = TestRouter::new();
    let ([mut flooding, mut usual], ids) = connect_two_clients(&mut router);
    flooding.write_all(&HEALTH_CHECK.repeat(1000)).expect("writing to the router");
    usual.write_all(HEALTH_CHECK).expect("writing to the router");
    wait_for_unread(&router, ids);
    ids.iter().for_each(|&id| router.server.read_in_next_iteration(id));
    router.server.run_iteration();
    let handled = router.server.router.counters().client_requests;
    assert_eq!(handled, crate::event_loop::input::MAX_REQUESTS_PER_ITERATION + 1);
    assert!(has_unread(&usual), "the usual client has its answer after the first iteration");
    router.run_until("the router does not handle all requests", |router| {
        router.server.router.counters().client_requests == 1001
    });
    assert!(router.server.router.counters().client_requests_per_turn_max <= 8);
    assert_eq!(router.read_response(&mut flooding), "HTTP/1.1 200 OK");
}

/// Guards against a connection that is handled several times in one iteration because it was reported several times.
#[test]
fn a_connection_has_one_turn_in_an_iteration() {
    let mut router = TestRouter::new();
    let ([mut flooding, _usual], [flooding_id, _]) = connect_two_clients(&mut router);
    flooding.write_all(&HEALTH_CHECK.repeat(100)).expect("writing to the router");
    wait_for_unread(&router, [flooding_id; 2]);
    for _ in 0..5 {
        router.server.read_in_next_iteration(flooding_id);
    }
    router.server.run_iteration();
    let handled = router.server.router.counters().client_requests;
    assert_eq!(handled, crate::event_loop::input::MAX_REQUESTS_PER_ITERATION);
}

/// Guards against a flooding client whose new bytes put its requests before those of others again and again.
#[test]
fn a_client_that_had_its_share_is_handled_after_the_others() {
    let mut router = TestRouter::new();
    let ([mut flooding, mut usual], ids) = connect_two_clients(&mut router);
    flooding.write_all(&HEALTH_CHECK.repeat(1000)).expect("writing to the router");
    wait_for_unread(&router, [ids[0]; 2]);
    router.server.read_in_next_iteration(ids[0]);
    router.server.run_iteration();
    usual.write_all(HEALTH_CHECK).expect("writing to the router");
    wait_for_unread(&router, [ids[1]; 2]);
    ids.iter().for_each(|&id| router.server.read_in_next_iteration(id));
    assert_eq!(router.server.ready.take_next(), [ids[1]]);
    router.server.ready.put_back(vec![ids[1]]);
    router.server.run_iteration();
    assert!(has_unread(&usual), "the usual client has its answer");
}

/// Guards against requests that are started although their client closed the connection behind them.
#[test]
fn requests_of_a_client_that_closed_its_connection_behind_them_are_not_started() {
    let mut router = TestRouter::new();
    let ([mut client, _other], ids) = connect_two_clients(&mut router);
    client.write_all(&[&HEALTH_CHECK.repeat(500)[..], query("t1").as_bytes()].concat()).expect("writing");
    wait_for_unread(&router, [ids[0]; 2]);
    router.server.read_in_next_iteration(ids[0]);
    router.server.run_iteration();
    // The answers to the first requests are unread, so this resets the connection.
    drop(client);
    router.run_until("the router does not notice the close", |router| router.server.socket(ids[0]).is_none());
    let counters = router.server.router.counters();
    assert_eq!((counters.queries_accepted, counters.attempts_requested), (0, 0));
    assert!(counters.client_requests < 500, "{} requests were handled", counters.client_requests);
}

/// Guards against an end of stream that is noticed only after all bytes before it are read and handled.
#[test]
fn an_end_of_stream_behind_many_unread_requests_is_noticed_at_once() {
    let mut router = TestRouter::new();
    let ([mut client, _other], ids) = connect_two_clients(&mut router);
    client.write_all(&[query("t1").as_bytes(), &HEALTH_CHECK.repeat(1000)].concat()).expect("writing");
    client.shutdown(std::net::Shutdown::Write).expect("closing the writing side");
    let started = Instant::now();
    while !router.server.socket(ids[0]).is_some_and(Socket::has_hung_up) {
        assert!(started.elapsed() < MAX_WAIT, "the end of the stream does not arrive");
        std::thread::yield_now();
    }
    router.server.read_in_next_iteration(ids[0]);
    router.server.run_iteration();
    assert!(router.server.socket(ids[0]).is_none(), "the connection is closed in the first iteration");
    assert_eq!(router.server.router.counters().attempts_requested, 0);
}

/// The length of a text that makes a request long.
const LONG_TEXT_LENGTH: usize = 20_000;

/// Formats a query for one shard with a long text.
fn long_query(id: &str) -> String {
    let query = query(id);
    let text = "q".repeat(LONG_TEXT_LENGTH);
    let body = format!(r#"{{"segments":[{{"segment":0,"boost":1}}],"text":"{text}"}}"#);
    let head = query.split("Content-Length").next().unwrap_or_default();
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Sends bytes to the router, and waits until they are in the receive buffer of its connection.
fn send(router: &TestRouter, (client, connection): &mut (TcpStream, ConnectionId), bytes: &[u8]) {
    client.write_all(bytes).expect("writing to the router");
    let started = Instant::now();
    while router.server.socket(*connection).is_none_or(|socket| socket.unread_length() < bytes.len()) {
        assert!(started.elapsed() < MAX_WAIT, "the bytes do not arrive");
        std::thread::yield_now();
    }
}

/// Guards against answers that come late because a decision that answers many clients also handles the long requests
/// that stand behind those it answers.
#[test]
fn a_decision_does_not_handle_the_long_request_behind_one_that_it_answers() {
    let mut router = TestRouter::new();
    let mut clients = connect_clients(&mut router, 1);
    let client = &mut clients[0];
    send(&router, client, [long_query("t1"), long_query("t2")].concat().as_bytes());
    let mut node_connection = router.accept_at_node();
    assert!(router.read_frame(&mut node_connection).starts_with("t1.0 "));
    node_connection.write_all(&frame(b'Y', "t1.0 OK 5 -\none")).expect("writing to the router");
    // The iterations stop before the decision that answers the client.
    let started = Instant::now();
    while router.server.router.counters().attempts_succeeded == 0 {
        assert!(started.elapsed() < MAX_WAIT, "the response does not arrive");
        router.event_loop.dispatch(Some(Duration::ZERO), &mut router.server).expect("dispatching events");
        router.server.handle_ready_connections();
    }
    router.server.decide();
    let counters = router.server.router.counters();
    assert_eq!((counters.queries_complete, counters.client_requests), (1, 1));
    assert_eq!(router.read_response(&mut client.0), "HTTP/1.1 200 OK");
    assert!(router.read_frame(&mut node_connection).starts_with("t2.0 "));
}

/// Guards against short requests that wait for the long ones of many other clients.
#[test]
fn short_requests_are_handled_before_long_ones_that_came_earlier() {
    let mut router = TestRouter::new();
    let mut clients = connect_clients(&mut router, 6);
    let (short, long) = clients.split_last_mut().expect("there are clients");
    for (index, client) in long.iter_mut().enumerate() {
        send(&router, client, long_query(&format!("t{index}")).as_bytes());
        router.server.read_in_next_iteration(client.1);
    }
    send(&router, short, HEALTH_CHECK);
    router.server.read_in_next_iteration(short.1);
    router.server.run_iteration();
    assert!(has_unread(&short.0), "the short request is answered in the first iteration");
    router.run_until("the router does not handle the long requests", |router| {
        router.server.router.counters().queries_accepted == 5
    });
}

/// Guards against attempts that are started for a client that left while its connection waited behind those of others.
#[test]
fn a_client_that_leaves_while_its_connection_waits_behind_others_is_noticed_at_once() {
    let mut router = TestRouter::new();
    let mut clients = connect_clients(&mut router, 21);
    let (leaving, waiting) = clients.split_last_mut().expect("there are clients");
    send(&router, leaving, query("leaving").as_bytes());
    router.run_until("the router does not accept the query", |router| {
        router.server.router.counters().queries_accepted == 1
    });
    // An iteration handles one of the connections that wait.
    router.server.group_time_limit = 0;
    for (index, client) in waiting.iter_mut().enumerate() {
        send(&router, client, long_query(&format!("t{index}")).as_bytes());
        router.server.read_in_next_iteration(client.1);
    }
    send(&router, leaving, long_query("behind").as_bytes());
    router.server.read_in_next_iteration(leaving.1);
    router.run_until("the connections do not wait behind all others", |router| {
        router.server.ready.backlog_len() > 10 && router.server.ready.is_in_backlog(leaving.1)
    });
    leaving.0.shutdown(std::net::Shutdown::Both).expect("closing the connection");
    let started_at = router.server.iteration;
    router.run_until("the router does not notice that the client has left", |router| {
        router.server.router.counters().queries_abandoned_by_client == 1
    });
    let iterations = router.server.iteration - started_at;
    assert!(iterations <= 3, "noticed after {iterations} iterations");
}

/// Guards against latencies of data nodes that grow with the requests of flooding clients, so that the balancer takes
/// the nodes for slow and rejects queries.
#[test]
fn responses_of_nodes_are_handled_before_requests_of_clients() {
    let mut router = TestRouter::new();
    let mut clients = connect_clients(&mut router, 6);
    send(&router, &mut clients[0], query("t1").as_bytes());
    let mut node_connection = router.accept_at_node();
    assert!(router.read_frame(&mut node_connection).starts_with("t1.0 "));
    let node = router.connection_to(router.node.local_addr().expect("an address"));
    for client in &mut clients[1..] {
        send(&router, client, HEALTH_CHECK);
        router.server.read_in_next_iteration(client.1);
    }
    node_connection.write_all(&frame(b'Y', "t1.0 OK 5 -\none")).expect("writing to the router");
    wait_for_unread(&router, [node; 2]);
    router.server.read_in_next_iteration(node);
    // One connection of each group is handled in an iteration.
    router.server.group_time_limit = 0;
    router.server.run_iteration();
    let counters = router.server.router.counters();
    assert_eq!((counters.attempts_succeeded, counters.client_requests), (1, 2));
}

/// Guards against connections to nodes that are never established because clients take all the time of each iteration.
#[test]
fn connections_are_established_although_clients_take_all_their_time() {
    let mut router = TestRouter::new();
    let mut clients = connect_clients(&mut router, 6);
    router.server.group_time_limit = 0;
    send(&router, &mut clients[0], query("t1").as_bytes());
    router.run_until("the router does not send the query", |router| {
        router.server.router.counters().attempts_requested == 1
    });
    let mut first_iteration = None;
    let started = Instant::now();
    while router.server.router.counters().attempts_sent == 0 {
        assert!(started.elapsed() < MAX_WAIT, "the connection is not established");
        for client in &mut clients[1..] {
            client.0.write_all(HEALTH_CHECK).expect("writing to the router");
            router.server.read_in_next_iteration(client.1);
        }
        router.event_loop.dispatch(Some(Duration::ZERO), &mut router.server).expect("dispatching events");
        first_iteration.get_or_insert(router.server.iteration);
        router.server.run_iteration();
    }
    let iterations = router.server.iteration - first_iteration.unwrap_or_default();
    assert!(iterations <= 5, "established after {iterations} iterations");
}
