//! Tests of complete queries, from the first request to the exit of the router.

use crate::rig::{
    Client, DataNode, LONG_DEADLINE, RouterProcess, config, discovery_with_node, frame, query,
    start_with_node,
};
use rustix::process::Signal;
use serde_json::{Value as Json, json};
use std::time::Duration;
use test_servers::{Discovery, data_node, member};

/// The number of shards. Each query asks for all of them.
const SHARDS: usize = 8;

/// Starts a router with one service class, which makes one attempt per shard request, and waits until it listens.
fn start(test_name: &str, discovery: &Discovery) -> RouterProcess {
    let config = json!({"name": "r0", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "2a",
        "limits": {"sockets": 64}, "known": {"revision": 7, "complete": true, "members": []},
        "settings": {"tickNs": 5_000_000, "registryMode": "ask", "zones": ["z"],
            "familyInfo": {"sets": 1, "shards": SHARDS, "width": 1, "bundleMax": 4},
            "ceilings": {"maxAttempts": 1, "maxStreams": 8, "connectTimeoutNs": 250_000_000u64,
                "idleCloseNs": 30_000_000_000u64},
            "obligations": {"askWithinNs": 10_000_000_000u64},
            "services": [{"name": "look", "idempotency": "read_like", "deadlineNs": 20_000_000_000u64}]}});
    RouterProcess::start(test_name, &config)
}

/// Returns the header fields of a query.
fn query_headers(id: &str) -> String {
    format!("X-Qos: look\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 20000\r\n")
}

/// Returns the body of a query for all shards.
fn query_body() -> String {
    let segments: Vec<String> =
        (0..SHARDS).map(|shard| format!("{{\"segment\":{shard},\"boost\":0.125}}")).collect();
    format!("{{\"segments\":[{}],\"text\":\"q\"}}", segments.join(","))
}

/// Shuts the router down while a client is idle, and expects that the router closes its connection without sending
/// bytes. Returns the counters in the log.
fn terminate(router: RouterProcess, mut client: Client) -> String {
    router.signal(Signal::TERM);
    assert!(client.read_to_end().is_empty());
    drop(client);
    router.wait_for_exit()
}

#[test]
fn queries_are_served_from_an_endpoint_list_of_over_a_thousand_nodes() {
    let node = data_node().to_string();
    let members = (0..1_030).map(|index| member(&format!("node-{index:08}"), &node, "z", 0, "ready", 0));
    let discovery = Discovery::start(8, members.collect());
    let router = start("many", &discovery);
    let mut client = router.connect();
    for id in ["t1", "t2"] {
        let (headers, body) = (query_headers(id), query_body());
        client.send(&format!("POST /api HTTP/1.1\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()));
        assert_eq!(client.read_response().0, "HTTP/1.1 200 OK");
    }
    let counters = terminate(router, client);
    for line in [
        "queries_complete 2\n",
        "endpoint_lists_invalid 0\n",
        "discovery_failures 0\n",
        "invariants_violated 0\n",
    ] {
        assert!(counters.contains(line), "{line}{counters}");
    }
}

#[test]
fn router_serves_until_it_is_terminated() {
    let discovery = Discovery::start(8, vec![member("a", &data_node().to_string(), "z", 0, "ready", 0)]);
    let mut router = start("one", &discovery);
    let mut client = router.connect();
    client.send("GET /-/ready HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_response(), ("HTTP/1.1 200 OK".to_string(), "OK\n".to_string()));

    // The configuration file is removed, so the reload fails and the router continues with its configuration.
    router.wait_for_counter("endpoint_lists_full", 2);
    router.signal(Signal::HUP);
    let line = router.read_log_line();
    assert!(line.contains("endpoint list applied revision=8"), "{line}");
    let line = router.read_log_line();
    assert!(line.contains("configuration not reloaded"), "{line}");

    // Eight shard requests need at least two batches. The header of the first request is sent in two pieces. The second
    // request follows without a delay, and its body has the chunked transfer encoding.
    let body = query_body();
    client.send("POST /api HT");
    let headers = query_headers("t1");
    client.send(&format!("TP/1.1\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()));
    let (first_chunk, last_chunk) = body.split_at(9);
    let head = format!("POST /api HTTP/1.1\r\n{}Transfer-Encoding: chunked\r\n\r\n", query_headers("t2"));
    let last_length = last_chunk.len();
    client.send(&format!("{head}9\r\n{first_chunk}\r\n{last_length:x}\r\n{last_chunk}\r\n0\r\n\r\n"));
    for _ in 0..2 {
        assert_is_complete(client.read_response());
    }

    let counters = terminate(router, client);
    assert!(
        counters.contains("queries_complete 2\n") && counters.contains("invariants_violated 0\n"),
        "{counters}"
    );
}

/// Asserts that a response is complete and contains the value of each shard, in the order of the shards.
fn assert_is_complete((status, body): (String, String)) {
    let json: Json = serde_json::from_str(&body).expect("a body in JSON");
    assert_eq!((status.as_str(), &json["all_in"]), ("HTTP/1.1 200 OK", &true.into()));
    let matches = json["matches"].as_array().expect("an array of matches");
    let values = matches.iter().map(|entry| entry["payload"].to_string());
    assert!(values.eq((0..SHARDS).map(|shard| format!("\"q/{shard}\""))), "{body}");
}

/// Returns the remaining time that a frame with a shard request states.
fn sent_deadline(frame: &str) -> Duration {
    let deadline_ms = frame.split("d=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
    Duration::from_millis(deadline_ms.expect("a deadline in the frame"))
}

#[test]
fn deadline_of_a_pipelined_request_is_reduced_by_the_time_since_its_arrival() {
    let deadline = Duration::from_secs(4);
    let node = DataNode::new();
    let (router, _discovery) = start_with_node("pipelined-deadline", node.address, deadline);
    let mut client = router.connect();
    client.send(&(query("pay", "t1", deadline) + &query("pay", "t2", deadline)));
    let mut connection = node.accept();
    assert!(connection.read_frame().1.starts_with("t1.0 "));
    let response_delay = Duration::from_secs(1);
    std::thread::sleep(response_delay);
    connection.send(&frame(b'Y', "t1.0 OK 5 -\none"));
    assert_eq!(client.read_response().0, "HTTP/1.1 200 OK");
    let (_, text) = connection.read_frame();
    let sent_deadline = sent_deadline(&text);
    assert!(sent_deadline <= deadline - response_delay, "deadline sent to the node: {sent_deadline:?}");
    connection.send(&frame(b'Y', "t2.0 OK 5 -\ntwo"));
    assert_eq!(client.read_response().0, "HTTP/1.1 200 OK");
}

/// Guards against a deadline that does not know how long its client waited to be accepted: nodes were given up to 280 ms
/// more than the client had left (soak, seed 49).
#[test]
fn deadline_of_a_client_that_waited_to_be_accepted_is_reduced_by_that_time() {
    let (deadline, wait) = (Duration::from_secs(4), Duration::from_secs(1));
    let node = DataNode::new();
    let discovery = discovery_with_node(node.address);
    let mut config = config(discovery.address, deadline);
    // Four connections: one for discovery, one for the node, and two for clients.
    config["limits"]["sockets"] = 20.into();
    let mut router = RouterProcess::start("waited-deadline", &config);
    let mut first = router.connect();
    first.send_query("pay", "t1", deadline);
    let mut connection = node.accept();
    assert!(connection.read_frame().1.starts_with("t1.0 "));
    let mut second = router.connect();
    second.send_query("pay", "t2", deadline);
    assert!(connection.read_frame().1.starts_with("t2.0 "));
    let mut waiting = router.connect();
    waiting.send_query("pay", "t3", deadline);
    std::thread::sleep(wait);
    drop(first);
    let text = loop {
        let (_, text) = connection.read_frame();
        if text.starts_with("t3.0 ") {
            break text;
        }
    };
    let sent_deadline = sent_deadline(&text);
    assert!(sent_deadline <= deadline - wait, "deadline sent to the node: {sent_deadline:?}");
    router.wait_for_logged_counter("client_connections_delayed", 1);
    connection.send(&frame(b'Y', "t3.0 OK 5 -\nthree"));
    assert_eq!(waiting.read_response().0, "HTTP/1.1 200 OK");
}

/// Guards against a value that is served cut off because the length of its frame is too small.
#[test]
fn response_whose_length_is_too_small_is_retried_or_fails_its_query() {
    const VALUE: &str = "5be2a07c19f04d63";
    let node = DataNode::new();
    let (router, _discovery) = start_with_node("cut-off", node.address, LONG_DEADLINE);
    for (class, id, missing, status) in [
        ("pay", "t1", 1, "HTTP/1.1 502 Bad Gateway"),
        ("pay", "t2", 8, "HTTP/1.1 502 Bad Gateway"),
        ("pay", "t3", 16, "HTTP/1.1 502 Bad Gateway"),
        ("look", "t4", 8, "HTTP/1.1 200 OK"),
    ] {
        let mut client = router.connect();
        client.send_query(class, id, LONG_DEADLINE);
        let mut connection = node.accept();
        connection.read_frame();
        let mut bytes = frame(b'Y', &format!("{id}.0 OK 5 -\n{VALUE}"));
        bytes[3] -= missing;
        connection.send(&bytes);
        if class == "look" {
            let mut second = node.accept();
            second.read_frame();
            second.send(&frame(b'Y', &format!("{id}.0 OK 5 -\n{VALUE}")));
        }
        let (first_line, body) = client.read_response();
        assert_eq!(first_line, status, "{id}");
        assert_eq!(body.contains(&format!("\"{VALUE}\"")), class == "look", "{body}");
    }
    let log = router.terminate();
    assert!(log.contains("responses_ambiguous 4\n") && log.contains("invariants_violated 0\n"), "{log}");
}

/// Guards against whole requests that are discarded because they stand behind another one and are large together.
#[test]
fn twelve_large_requests_at_once_on_one_connection_are_all_answered() {
    let node = data_node();
    let (router, _discovery) = start_with_node("pipelined-large", node, LONG_DEADLINE);
    let mut client = router.connect();
    let text = "q".repeat(30_000);
    let body = format!(r#"{{"segments":[{{"segment":0,"boost":1}}],"text":"{text}"}}"#);
    let requests: String = (0..12)
        .map(|index| {
            format!(
                "POST /api HTTP/1.1\r\nX-Qos: look\r\nX-Trace-Id: t{index}\r\nX-Expires-In-Ms: {}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                LONG_DEADLINE.as_millis(),
                body.len()
            )
        })
        .collect();
    client.send(&requests);
    for index in 0..12 {
        assert_eq!(client.read_response().0, "HTTP/1.1 200 OK", "request {index}");
    }
    drop(client);
    router.terminate();
}
