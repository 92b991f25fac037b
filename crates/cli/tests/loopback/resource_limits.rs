//! Tests of the limits on sockets and memory: which requests wait or are rejected, and that other clients are
//! unaffected.

use crate::rig::{
    DataNode, FullBacklogNode, LONG_DEADLINE, RouterProcess, ScriptedDiscovery, config, config_path,
    discovery_with_node, frame, start_with_node,
};
use rustix::process::Signal;
use std::process::Command;
use std::time::{Duration, Instant};
use test_servers::{Discovery, HeldConnections, Holding};

/// The time after which a change counts as delivered if discovery could be reached.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(6);
/// The time after a reload after which the list of discovery counts as delivered.
const DELIVERY_TIMEOUT_AFTER_RELOAD: Duration = Duration::from_secs(4);

/// Starts a router whose socket limit allows the watch of discovery and one client connection.
fn start_with_two_sockets(test_name: &str, node: &DataNode) -> (RouterProcess, Discovery) {
    let discovery = discovery_with_node(node.address);
    let mut config = config(discovery.address, LONG_DEADLINE);
    config["limits"]["sockets"] = 18.into();
    // Cancelling is disabled, so attempts end only at their deadline.
    config["settings"]["ceilings"]["cancelling"] = false.into();
    (RouterProcess::start(test_name, &config), discovery)
}

#[test]
fn disconnect_of_a_client_with_much_unread_data_is_detected_while_its_query_waits() {
    let node = FullBacklogNode::new();
    let (router, _discovery) = start_with_node("much", node.address, LONG_DEADLINE);
    let mut client = router.connect();
    client.send_query("look", "t1", LONG_DEADLINE);
    router.wait_for_counter("node_connections_opened", 1);
    client.flood(&vec![b'x'; 8 << 20]);
    drop(client);
    router.wait_for_counter("queries_abandoned_by_client", 1);
    let mut node_connection = node.accept();
    router.terminate();
    assert_eq!(node_connection.read_to_end(), b"");
}

#[test]
fn incomplete_requests_over_the_memory_limit_are_rejected_and_other_clients_are_served() {
    let node = DataNode::new();
    let discovery = discovery_with_node(node.address);
    let mut config = config(discovery.address, LONG_DEADLINE);
    config["limits"]["memory_mb"] = 4.into();
    let router = RouterProcess::start("memory", &config);
    router.wait_for_counter("endpoint_lists_full", 2);
    // Each request is within the limit on the size of a request, and 18 of them exceed a quarter of the memory limit.
    let incomplete_request =
        format!("POST /api HTTP/1.1\r\nContent-Length: 61000\r\n\r\n{}", "x".repeat(60_000));
    let mut clients: Vec<_> = (0..18).map(|_| router.connect()).collect();
    router.wait_for_counter("client_connections_arrived", 18);
    clients.iter_mut().for_each(|client| client.send(&incomplete_request));
    router.wait_for_counter("requests_over_memory", 1);
    let rejected_index = loop {
        if let Some(index) = clients.iter().position(|client| client.has_response()) {
            break index;
        }
        std::thread::yield_now();
    };
    let mut rejected = clients.remove(rejected_index);
    assert_eq!(rejected.read_response().0, "HTTP/1.1 503 Service Unavailable");
    assert!(rejected.read_to_end().is_empty());
    let mut other = router.connect();
    other.send_query("pay", "t1", LONG_DEADLINE);
    let mut node_connection = node.accept();
    assert_eq!(node_connection.read_frame().0, 'R');
    node_connection.send(&frame(b'Y', "t1.0 OK 5 -\none"));
    assert_eq!(other.read_response().0, "HTTP/1.1 200 OK");
    // The remaining incomplete requests are kept until they are complete.
    for client in &mut clients {
        client.send(&"x".repeat(1_000));
        assert_eq!(client.read_response().0, "HTTP/1.1 400 Bad Request");
    }
    assert_eq!(router.counter("requests_over_memory"), 1);
    drop((clients, rejected, other));
    router.terminate();
}

#[test]
fn query_that_waits_for_a_socket_until_its_deadline_does_not_affect_the_next_query() {
    let node = DataNode::new();
    let (router, _discovery) = start_with_two_sockets("socket", &node);
    let mut client = router.connect();
    for id in ["t1", "t2"] {
        client.send_query("look", id, Duration::from_millis(300));
        assert_eq!(client.read_response().0, "HTTP/1.1 503 Service Unavailable");
    }
    drop(client);
    let log = router.terminate();
    assert!(node.has_no_connection() && log.contains("attempts_not_sent 2\n"), "{log}");
}

#[test]
fn query_whose_client_disconnects_while_it_waits_for_a_socket_does_not_affect_the_next_query() {
    let node = DataNode::new();
    let (mut router, _discovery) = start_with_two_sockets("disconnected-socket", &node);
    let mut client = router.connect();
    client.send_query("look", "t1", LONG_DEADLINE);
    router.wait_for_logged_counter("attempts_requested", 1);
    drop(client);
    let mut client = router.connect();
    client.send_query("look", "t2", Duration::from_millis(300));
    assert_eq!(client.read_response().0, "HTTP/1.1 503 Service Unavailable");
    drop(client);
    let log = router.terminate();
    assert!(node.has_no_connection() && log.contains("queries_abandoned_by_client 1\n"), "{log}");
}

/// Guards against a process that counts on more descriptors than the system gives it: discovery and a reload would then
/// depend on who comes first whenever one is freed.
#[test]
fn fewer_descriptors_than_configured_leave_some_for_discovery_and_a_reload() {
    let (discovery, moved) = (ScriptedDiscovery::new(), ScriptedDiscovery::new());
    let mut config = config(discovery.address(), LONG_DEADLINE);
    config["limits"]["sockets"] = 1024.into();
    let path = config_path("fewer-descriptors");
    std::fs::write(&path, config.to_string()).expect("the configuration file can be written");
    let mut command = Command::new("/bin/sh");
    command.args(["-c", "ulimit -n 64; exec \"$0\" \"$@\"", env!("CARGO_BIN_EXE_query-router")]);
    let mut router = RouterProcess::spawn_command(command, &path);
    router.wait_until_listening();
    let (_, watch) = discovery.accept_request();
    let clients = HeldConnections::start(
        vec![router.address.parse().expect("an address")],
        Holding::half_requests(150),
    );
    std::thread::sleep(Duration::from_millis(300));
    drop(watch);
    let ended_at = Instant::now();
    let _next = discovery.accept_request();
    assert!(ended_at.elapsed() < DELIVERY_TIMEOUT, "{:?}", ended_at.elapsed());
    config["discovery"] = moved.address().to_string().into();
    std::fs::write(&path, config.to_string()).expect("the configuration file can be written");
    router.signal(Signal::HUP);
    let reloaded_at = Instant::now();
    let _moved = moved.accept_request();
    assert!(reloaded_at.elapsed() < DELIVERY_TIMEOUT_AFTER_RELOAD, "{:?}", reloaded_at.elapsed());
    drop(clients);
    let _ = std::fs::remove_file(path);
    router.terminate();
}
