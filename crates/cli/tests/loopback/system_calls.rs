//! Tests of temporary failures of system calls and of a wrong wall clock: neither may affect queries.

use crate::rig::{
    Client, DataNode, FaultyRouter, LONG_DEADLINE, config, discovery_with_node, frame, node_entry,
};
use fault_control::{Call, Control, Fault};
use std::time::{Duration, Instant};
use test_servers::{Discovery, data_node};

/// The number of times that a test repeats a query.
const REPETITIONS: usize = 60;

/// Sends a query for shard 0 and expects a response with status 200.
fn query_successfully(client: &mut Client, id: &str) {
    client.send_query("look", id, LONG_DEADLINE);
    let (status, body) = client.read_response();
    assert_eq!(status, "HTTP/1.1 200 OK", "{id}: {body}");
}

/// Sends queries one after another while `per_mille` of 1000 calls of a group fail, then shuts the router down. Returns
/// the log.
fn serve_with_faults(test_name: &str, call: Call, per_mille: u32, faults: &[Fault]) -> String {
    let discovery = discovery_with_node(data_node());
    let router = FaultyRouter::start(test_name, &config(discovery.address, LONG_DEADLINE), |_| {});
    router.process.wait_for_counter("endpoint_lists_full", 2);
    router.control.set_rate(call, per_mille, faults);
    let mut client = router.process.connect();
    for index in 0..REPETITIONS {
        query_successfully(&mut client, &format!("t{index}"));
        let mut other = router.process.connect();
        query_successfully(&mut other, &format!("u{index}"));
    }
    assert!(router.control.injected(call) > 0, "no fault was injected into {call:?}");
    router.control.clear();
    drop(client);
    router.process.terminate()
}

/// Returns the value of a counter in the log of a router that has exited.
fn counter(log: &str, name: &str) -> u64 {
    let value = log.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.expect("a counter of this name").parse().expect("a counter value")
}

#[test]
fn interrupted_peek_at_a_connection_is_not_treated_as_a_close() {
    let interruptions = [Fault::Error(libc::EINTR), Fault::Error(libc::ENOMEM)];
    let log = serve_with_faults("interrupted-look", Call::Peek, 400, &interruptions);
    assert_eq!(counter(&log, "attempts_not_sent"), 0, "{log}");
    assert_eq!(counter(&log, "node_connections_opened"), 1, "{log}");
}

#[test]
fn connections_survive_reads_and_writes_that_are_interrupted_short_or_out_of_memory() {
    let faults =
        [Fault::Short, Fault::Error(libc::EINTR), Fault::Error(libc::ENOMEM), Fault::Error(libc::ENOBUFS)];
    for (name, call) in [("faulty-reads", Call::Receive), ("faulty-writes", Call::Send)] {
        let log = serve_with_faults(name, call, 300, &faults);
        assert_eq!(counter(&log, "attempts_connection_lost"), 0, "{log}");
        assert_eq!(counter(&log, "node_connections_opened"), 1, "{log}");
    }
}

#[test]
fn clients_are_accepted_after_temporary_accept_errors() {
    let errors = [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EPROTO, libc::ENETDOWN, libc::EINTR];
    serve_with_faults("faulty-accepts", Call::Accept, 400, &errors.map(Fault::Error));
}

#[test]
fn temporary_local_socket_errors_do_not_count_as_connect_failures_of_a_node() {
    let socket_errors = [libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::ENOMEM].map(Fault::Error);
    let connect_errors = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EINTR, libc::EAGAIN, libc::ENOBUFS];
    let connect_errors = connect_errors.map(Fault::Error);
    let option_errors = [Fault::Error(libc::ENOBUFS), Fault::Error(libc::ENOMEM)];
    let register_errors = [Fault::Error(libc::ENOMEM), Fault::Error(libc::ENOSPC)];
    let cases: [(&str, Call, &[Fault]); 5] = [
        ("no-socket", Call::Socket, &socket_errors),
        ("no-connection", Call::Connect, &connect_errors),
        ("no-option", Call::SocketOption, &option_errors),
        ("no-registration", Call::Register, &register_errors),
        ("no-peer-name", Call::PeerName, &option_errors),
    ];
    for (name, call, faults) in cases {
        let node = DataNode::new();
        let discovery = discovery_with_node(node.address);
        let router = FaultyRouter::start(name, &config(discovery.address, LONG_DEADLINE), |_| {});
        router.process.wait_for_counter("endpoint_lists_full", 2);
        for round in 0..20 {
            let mut client = router.process.connect();
            client.send("GET /-/healthy HTTP/1.1\r\n\r\n");
            assert_eq!(client.read_response().0, "HTTP/1.1 200 OK");
            // The next connection that the router opens is the one to the node, which closes it after each response.
            router.control.set_rate(call, 700, faults);
            client.send_query("pay", &format!("t{round}"), LONG_DEADLINE);
            let mut connection = node.accept();
            assert_eq!(connection.read_frame().0, 'R');
            router.control.clear();
            connection.send(&frame(b'Y', &format!("t{round}.0 OK 5 -\none")));
            assert_eq!(client.read_response().0, "HTTP/1.1 200 OK", "{name}, round {round}");
        }
        assert!(router.control.injected(call) > 0, "no fault was injected into {call:?}");
        let log = router.process.terminate();
        assert_eq!(counter(&log, "attempts_connect_failed"), 0, "{name}: {log}");
    }
}

#[test]
fn event_loop_survives_interrupted_waits_and_reads_of_signals() {
    let faults = [Fault::Error(libc::EINTR)];
    serve_with_faults("interrupted-waits", Call::Wait, 300, &faults);
    let discovery = discovery_with_node(data_node());
    let router =
        FaultyRouter::start("interrupted-signals", &config(discovery.address, LONG_DEADLINE), |_| {});
    router.process.wait_for_counter("endpoint_lists_full", 2);
    router.control.fail_next(Call::ReadSignal, 3, Fault::Error(libc::EINTR));
    router.process.signal(rustix::process::Signal::USR1);
    let mut client = router.process.connect();
    query_successfully(&mut client, "t1");
    drop(client);
    assert_eq!(router.control.injected(Call::ReadSignal), 3);
    router.process.terminate();
}

#[test]
fn router_starts_although_the_first_system_calls_fail() {
    let cases = [
        (Call::Socket, libc::ENOBUFS),
        (Call::Socket, libc::ENFILE),
        (Call::Open, libc::ENFILE),
        (Call::Register, libc::ENOMEM),
    ];
    for (index, (call, error)) in cases.into_iter().enumerate() {
        let discovery = discovery_with_node(data_node());
        let prepare = |control: &Control| control.fail_next(call, 2, Fault::Error(error));
        let name = format!("faulty-start-{index}");
        let router = FaultyRouter::start(&name, &config(discovery.address, LONG_DEADLINE), prepare);
        assert_eq!(router.control.injected(call), 2, "{call:?}");
        router.process.wait_for_counter("endpoint_lists_full", 2);
        query_successfully(&mut router.process.connect(), "t1");
        router.process.terminate();
    }
}

#[test]
fn router_starts_after_temporary_errors_in_reading_the_operator_file() {
    let discovery = discovery_with_node(data_node());
    let prepare = |control: &Control| control.fail_next(Call::Open, 2, Fault::Error(libc::ENFILE));
    let config = config(discovery.address, LONG_DEADLINE);
    let mut router = FaultyRouter::spawn_with_operator_file("faulty-operator", &config, "", prepare);
    router.process.wait_until_listening();
    assert_eq!(router.control.injected(Call::Open), 2);
    router.process.terminate();
}

#[test]
fn configuration_is_reloaded_after_temporary_errors_in_reading_it() {
    let (first, second) = (Discovery::start(8, vec![]), Discovery::start(3, vec![]));
    let mut config = config(first.address, LONG_DEADLINE);
    let router = FaultyRouter::start("faulty-reload", &config, |_| {});
    router.process.wait_for_counter("endpoint_lists_full", 2);
    // The file is missing at first, then incomplete, then complete. The signal is sent only once.
    config["discovery"] = second.address.to_string().into();
    let text = config.to_string();
    router.process.signal(rustix::process::Signal::HUP);
    std::thread::sleep(Duration::from_millis(150));
    router.config_file.write(&text[..text.len() / 2]);
    std::thread::sleep(Duration::from_millis(150));
    router.config_file.write(&text);
    router.process.wait_for_counter("endpoint_lists_full", 3);
}

/// Starts a router with a shifted wall clock and a node that has just started, and sends 40 queries, each after an
/// update of the endpoint list. Returns the log.
fn serve_with_shifted_clock(test_name: &str, shift: Duration, is_behind: bool) -> String {
    let now_ms = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("the wall clock is set to a time after 1970")
        .as_millis() as i64;
    let node = data_node();
    let discovery = Discovery::start(8, vec![node_entry("a", node, now_ms)]);
    let shift_ms = if is_behind { -(shift.as_millis() as i64) } else { shift.as_millis() as i64 };
    let router =
        FaultyRouter::start(test_name, &config(discovery.address, Duration::from_secs(2)), |control| {
            control.set_wall_clock_shift_ms(shift_ms);
        });
    router.process.wait_for_counter("endpoint_lists_full", 2);
    let mut client = router.process.connect();
    for index in 0..40 {
        let mut other = node_entry("other", node, 0);
        other["phase"] = "draining".into();
        discovery.publish(vec![other]);
        client.send_query("look", &format!("t{index}"), Duration::from_secs(2));
        assert_eq!(client.read_response().0, "HTTP/1.1 200 OK", "query {index}");
    }
    drop(client);
    router.process.terminate()
}

#[test]
fn wall_clock_that_is_behind_neither_fails_queries_nor_closes_connections() {
    for seconds in [30, 3600] {
        let name = format!("clock-behind-{seconds}");
        let log = serve_with_shifted_clock(&name, Duration::from_secs(seconds), true);
        assert_eq!(counter(&log, "queries_complete"), 40, "{log}");
        assert!(counter(&log, "node_connections_opened") <= 2, "{log}");
    }
}

#[test]
fn wall_clock_stepped_while_the_router_runs_changes_no_deadline() {
    let discovery = discovery_with_node(data_node());
    let router = FaultyRouter::start("clock-stepped", &config(discovery.address, LONG_DEADLINE), |_| {});
    router.process.wait_for_counter("endpoint_lists_full", 2);
    let mut client = router.process.connect();
    let started = Instant::now();
    for (index, shift_ms) in [3_600_000, -3_600_000, 5_000, 0].into_iter().enumerate() {
        router.control.set_wall_clock_shift_ms(shift_ms);
        query_successfully(&mut client, &format!("t{index}"));
    }
    assert!(started.elapsed() < LONG_DEADLINE);
    drop(client);
    router.process.terminate();
}
