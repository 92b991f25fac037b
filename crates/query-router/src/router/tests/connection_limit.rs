//! Which connections make room for others.

use super::*;

#[test]
fn idle_connections_are_evicted_before_a_client_waits() {
    let mut rig = Rig::new();
    // Six connections are allowed; one is discovery's. A new one is about to have its request, so it stays.
    let clients: Vec<ConnectionId> = (0..5).map(|_| rig.client()).collect();
    rig.step(Event::ClientConnected);
    assert_eq!((rig.peers.accepted.len(), rig.router.counters().client_connections_delayed), (5, 1));
    // One that has been answered and has nothing unread is evicted.
    rig.receive(clients[3], b"GET /-/ready HTTP/1.1\r\n\r\n");
    rig.decide();
    assert_eq!((&rig.peers.closed[..], rig.peers.accepted.len()), (&[clients[3]][..], 6));
    // One that never sends a request does not stay for ever.
    rig.step(Event::ClientConnected);
    rig.pass(2_100_000);
    assert_eq!(rig.peers.accepted.len(), 7);
}

#[test]
fn an_unread_request_keeps_its_connection_from_eviction() {
    let mut rig = Rig::new();
    let clients: Vec<ConnectionId> = (0..5).map(|_| rig.client()).collect();
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
    // A sixth of the connections may be clients' without a request.
    let asked: Vec<ConnectionId> = (0..6)
        .map(|_| {
            let client = rig.client();
            rig.receive(client, b"GET /-/ready HTTP/1.1\r\n\r\n");
            rig.now += 1;
            client
        })
        .collect();
    assert_eq!(rig.peers.closed, asked[..2]);
    // New ones are about to send a request; those that have sent one before make room for them.
    let silent: Vec<ConnectionId> = (0..6).map(|_| rig.client()).collect();
    assert_eq!(rig.peers.closed.len(), 6);
    assert!(!silent.iter().any(|client| rig.peers.closed[6..].contains(client)));
    rig.pass(2_100_000);
    assert_eq!((rig.peers.closed.len(), rig.router.state.context.connections.clients().count()), (8, 4));
}

/// What happens: while idle clients fill the descriptors, a client that sends two requests at once gets one answer and the
/// close. Why: once an answer is written the connection counts as idle, though the next request has been received already.
/// Soak seed 201, which has such a crowd, showed it 91 times: "closed after 11 ms on a used connection" of requests behind
/// another, none of which had an attempt.
#[test]
fn a_client_with_a_pipelined_request_is_not_evicted_for_clients_without_a_request() {
    let mut rig = Rig::new();
    rig.router.state.context.limits.max_connections = 24;
    // As many clients without a request as are allowed, all of which have just connected.
    for _ in 0..4 {
        rig.client();
    }
    let client = rig.client();
    rig.receive(client, b"GET /-/ready HTTP/1.1\r\n\r\nGET /-/ready HTTP/1.1\r\n\r\n");
    assert!(!rig.peers.closed.contains(&client), "its second request has come and is not answered");
    rig.receive(client, b"GET /-/ready HTTP/1.1\r\n\r\n");
    assert_eq!(rig.written(client).matches("200 OK").count(), 2);
}
