//! Tests of the eviction of idle connections at the connection limit.

use super::*;

#[test]
fn idle_connections_are_evicted_before_a_client_waits() {
    let mut rig = Rig::new();
    // Six connections are allowed, one of which is open to discovery and one is kept free for nodes. A client that has
    // just connected is about to send its request, so its connection is not evicted.
    let clients: Vec<ConnectionId> = (0..4).map(|_| rig.connect_client()).collect();
    rig.step(Event::ClientConnected);
    assert_eq!((rig.peers.accepted.len(), rig.router.counters().client_connections_delayed), (4, 1));
    // A client connection whose request has been answered and that has no unread bytes is evicted.
    rig.receive(clients[3], b"GET /-/ready HTTP/1.1\r\n\r\n");
    rig.decide();
    assert_eq!((&rig.peers.closed[..], rig.peers.accepted.len()), (&[clients[3]][..], 5));
    // A client connection on which no request arrives is closed after a time.
    rig.step(Event::ClientConnected);
    rig.decide_and_advance(2_100_000);
    assert_eq!(rig.peers.accepted.len(), 6);
}

#[test]
fn an_unread_request_keeps_its_connection_from_eviction() {
    let mut rig = Rig::new();
    let clients: Vec<ConnectionId> = (0..5).map(|_| rig.connect_client()).collect();
    rig.peers.unread = vec![clients[1]];
    rig.receive(clients[1], b"GET /-/ready HTTP/1.1\r\n\r\n");
    rig.step(Event::ClientConnected);
    rig.receive(clients[1], b"GET /-/ready HTTP/1.1\r\n\r\n");
    assert!(rig.peers.closed.is_empty() && rig.written(clients[1]).matches("200 OK").count() == 2);
}

#[test]
fn surplus_clients_without_a_request_are_evicted() {
    let mut rig = Rig::new();
    rig.router.state.context.limits.max_connections = 24;
    // At most a sixth of all connections may be client connections without a request.
    let answered: Vec<ConnectionId> = (0..6)
        .map(|_| {
            let client = rig.connect_client();
            rig.receive(client, b"GET /-/ready HTTP/1.1\r\n\r\n");
            rig.now += 1;
            client
        })
        .collect();
    assert_eq!(rig.peers.closed, answered[..2]);
    // New clients are about to send a request; connections whose request has been answered are evicted for them.
    let new_clients: Vec<ConnectionId> = (0..6).map(|_| rig.connect_client()).collect();
    assert_eq!(rig.peers.closed.len(), 6);
    assert!(!new_clients.iter().any(|client| rig.peers.closed[6..].contains(client)));
    rig.decide_and_advance(2_100_000);
    assert_eq!((rig.peers.closed.len(), rig.router.state.context.connections.clients().count()), (8, 4));
}

/// Guards against the eviction of a client that pipelines requests: while idle clients use up the connections, such a
/// client got one response and then the close. Once that response was written, its connection counted as idle although
/// the next request had been received. Soak seed 201 reported this 91 times ("closed after 11 ms on a used
/// connection"), for requests without an attempt.
#[test]
fn a_client_with_a_pipelined_request_is_not_evicted_for_clients_without_a_request() {
    let mut rig = Rig::new();
    rig.router.state.context.limits.max_connections = 24;
    // The maximum number of clients without a request, all of which have just connected.
    for _ in 0..4 {
        rig.connect_client();
    }
    let client = rig.connect_client();
    rig.receive(client, b"GET /-/ready HTTP/1.1\r\n\r\nGET /-/ready HTTP/1.1\r\n\r\n");
    assert!(
        !rig.peers.closed.contains(&client),
        "the second request of the client is received and not answered"
    );
    rig.receive(client, b"GET /-/ready HTTP/1.1\r\n\r\n");
    assert_eq!(rig.written(client).matches("200 OK").count(), 2);
}

/// Guards against requests that get neither an answer nor a close while new connections that send nothing hold all
/// descriptors for 2 s (`review/2`: 35 to 37 of 450 requests).
#[test]
fn new_connections_that_send_nothing_are_evicted_soon_while_a_client_waits() {
    let mut rig = Rig::new();
    rig.router.state.context.limits.max_connections = 24;
    let max_clients = rig.router.state.context.limits.descriptor_shares().max_clients();
    for _ in 0..max_clients {
        rig.connect_client();
    }
    rig.decide_and_advance(110_000);
    assert!(rig.peers.closed.is_empty(), "no client waits");
    rig.step(Event::ClientConnected);
    assert_eq!(
        (rig.peers.accepted.len(), rig.router.counters().client_connections_delayed),
        (max_clients, 1)
    );
    rig.decide_and_advance(1_000);
    assert_eq!(rig.peers.accepted.len(), max_clients + 1, "the client that waits is accepted");
    let client = rig.peers.accepted[max_clients];
    rig.receive(client, b"GET /-/ready HTTP/1.1\r\n\r\n");
    assert_eq!(rig.written(client).matches("200 OK").count(), 1);
}

/// Guards against the eviction of new connections whose first request is in transit, or has arrived and is unread.
#[test]
fn a_new_connection_is_kept_for_a_short_time_and_while_it_has_an_unread_request() {
    let mut rig = Rig::new();
    let clients: Vec<ConnectionId> = (0..4).map(|_| rig.connect_client()).collect();
    rig.peers.unread = vec![clients[0]];
    rig.step(Event::ClientConnected);
    rig.decide_and_advance(90_000);
    assert_eq!((rig.peers.closed.len(), rig.peers.accepted.len()), (0, 4));
    rig.decide_and_advance(20_000);
    assert!(!rig.peers.closed.contains(&clients[0]) && rig.peers.accepted.len() == 5);
}
