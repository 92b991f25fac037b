//! Tests of signals and graceful shutdown.

use crate::rig::{
    BlockingConfigFile, DataNode, LONG_DEADLINE, RouterProcess, ScriptedDiscovery, config, frame, query,
    start_with_node,
};
use rustix::process::Signal;
use std::io::Write;
use std::time::Instant;

#[test]
fn request_during_shutdown_is_answered_before_the_process_could_be_killed() {
    let node = DataNode::new();
    let (router, _discovery) = start_with_node("shutdown", node.address, LONG_DEADLINE);
    let (mut client, mut slow_client) = (router.connect(), router.connect());
    let request = query("pay", "t1", LONG_DEADLINE);
    client.send(&request[..40]);
    slow_client.send(&request[..40]);
    router.wait_for_counter("client_connections_arrived", 2);
    router.signal(Signal::TERM);
    let mut readiness_check = router.connect();
    readiness_check.send("GET /-/ready HTTP/1.1\r\n\r\n");
    assert_eq!(readiness_check.read_response().0, "HTTP/1.1 503 Service Unavailable");
    // The node reads the request and never responds. The deadline is 20 s, and the platform may kill the process 3.7 s
    // after SIGTERM.
    let started = Instant::now();
    client.send(&request[40..]);
    let mut node_connection = node.accept();
    assert_eq!(node_connection.read_frame().0, 'R');
    assert_eq!(client.read_response().0, "HTTP/1.1 502 Bad Gateway");
    assert_eq!(slow_client.read_response().0, "HTTP/1.1 503 Service Unavailable");
    assert!(
        client.read_to_end().is_empty()
            && slow_client.read_to_end().is_empty()
            && readiness_check.read_to_end().is_empty()
    );
    drop((client, slow_client, readiness_check));
    router.wait_for_exit();
    assert!(started.elapsed() < LONG_DEADLINE / 2);
}

#[test]
fn request_sent_after_the_close_of_an_idle_connection_is_not_forwarded_and_meets_no_reset() {
    let node = DataNode::new();
    let (router, _discovery) = start_with_node("idle-close", node.address, LONG_DEADLINE);
    let mut client = router.connect();
    client.send("GET /-/healthy HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_response().0, "HTTP/1.1 200 OK");
    router.signal(Signal::TERM);
    // The router has closed its writing side. The client sends a query as if it had not detected that.
    assert!(client.read_to_end().is_empty());
    client.send_query("pay", "t1", LONG_DEADLINE);
    assert!(client.read_to_end().is_empty());
    drop(client);
    let log = router.wait_for_exit();
    assert!(log.contains("queries_accepted 0\n") && node.has_no_connection(), "{log}");
}

#[test]
fn signals_are_handled_in_any_order_and_repeatedly() {
    let node = DataNode::new();
    let (router, _discovery) = start_with_node("signals", node.address, LONG_DEADLINE);
    let mut client = router.connect();
    client.send_query("pay", "t1", LONG_DEADLINE);
    let mut node_connection = node.accept();
    assert_eq!(node_connection.read_frame().0, 'R');
    router.pause();
    for signal in [Signal::TERM, Signal::HUP, Signal::TERM, Signal::USR1, Signal::INT] {
        router.signal(signal);
    }
    node_connection.send(&frame(b'Y', "t1.0 OK 5 -\none"));
    router.resume();
    // A response that arrives in the same event-loop iteration as the signals is processed.
    assert_eq!(client.read_response().0, "HTTP/1.1 200 OK");
    assert!(client.read_to_end().is_empty());
    drop(client);
    let log = router.wait_for_exit();
    assert_eq!(log.matches("graceful shutdown started").count(), 1, "{log}");
}

#[test]
fn router_terminated_before_its_first_endpoint_list_exits() {
    let discovery = ScriptedDiscovery::new();
    let router = RouterProcess::start("first", &config(discovery.address(), LONG_DEADLINE));
    let (_, watch) = discovery.accept_request();
    router.terminate();
    drop(watch);
}

#[test]
fn signals_received_while_the_configuration_is_read_are_handled_afterwards() {
    let (first, second) = (ScriptedDiscovery::new(), ScriptedDiscovery::new());
    let config_with = |discovery: &ScriptedDiscovery| config(discovery.address(), LONG_DEADLINE).to_string();
    let config_file = BlockingConfigFile::new("slow");
    let mut router = RouterProcess::spawn(config_file.path());
    let mut writer = config_file.wait_for_reader();
    router.signal(Signal::HUP);
    writer.write_all(config_with(&first).as_bytes()).expect("the router reads the configuration");
    drop(writer);
    router.wait_until_listening();
    // The router handles SIGHUP and reads the configuration again.
    let mut writer = config_file.wait_for_reader();
    router.signal(Signal::TERM);
    writer.write_all(config_with(&second).as_bytes()).expect("the router reads the configuration");
    drop(writer);
    let (request, watch) = second.accept_request();
    assert!(request.contains("watch=1&after=0"), "{request}");
    let log = router.wait_for_exit();
    assert!(log.contains("discovery address changed") && log.contains("graceful shutdown started"), "{log}");
    drop(watch);
}
