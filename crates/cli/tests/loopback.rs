//! The router as it is started, between a client, a data node and a discovery of our own on loopback.

use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Child, ChildStderr, Command, Stdio};
use test_servers::{Discovery, data_node, member};

/// The body of the next answer on a connection that is kept.
fn answer(stream: &mut BufReader<TcpStream>) -> (String, String) {
    let (mut status, mut length) = (String::new(), 0);
    stream.read_line(&mut status).expect("an answer");
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).expect("a head");
        if let Some(value) = line.strip_prefix("Content-Length: ") {
            length = value.trim().parse().expect("a length");
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).expect("a body");
    (status, String::from_utf8(body).expect("text"))
}

/// A router before this discovery, its log, and where it listens.
fn start(name: &str, discovery: &Discovery) -> (Child, BufReader<ChildStderr>, String) {
    let config = serde_json::json!({"name": "r0", "listen": "127.0.0.1:0", "discovery": discovery.at, "seed": "2a",
        "limits": {"sockets": 64}, "known": {"revision": 7, "complete": true, "members": []},
        "settings": {"tickNs": 5_000_000, "registryMode": "ask", "zones": ["z"],
            "familyInfo": {"sets": 1, "shards": 8, "width": 1, "bundleMax": 4},
            "ceilings": {"maxAttempts": 1, "maxStreams": 8, "connectTimeoutNs": 250_000_000u64,
                "idleCloseNs": 30_000_000_000u64},
            "obligations": {"askWithinNs": 10_000_000_000u64},
            "services": [{"name": "look", "idempotency": "read_like", "deadlineNs": 20_000_000_000u64}]}});
    let path = std::env::temp_dir().join(format!("yewpier-{name}-{}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).expect("a file");
    let mut router = Command::new(env!("CARGO_BIN_EXE_query-router"))
        .args(["serve", "--config", path.to_str().expect("a path")])
        .stderr(Stdio::piped())
        .spawn()
        .expect("the router starts");
    let mut log = BufReader::new(router.stderr.take().expect("a log"));
    let mut line = String::new();
    log.read_line(&mut line).expect("a line");
    std::fs::remove_file(&path).expect("the file is read by now");
    let at = line.trim().rsplit(' ').next().expect("an address").to_string();
    (router, log, at)
}

fn send(client: &mut BufReader<TcpStream>, bytes: &str) {
    client.get_mut().write_all(bytes.as_bytes()).expect("the router reads");
}

/// What stands before a retrieval's body, and the body: one part for each of the eight shards.
fn retrieval(id: &str) -> (String, String) {
    let segments: Vec<String> = (0..8).map(|i| format!("{{\"segment\":{i},\"boost\":0.125}}")).collect();
    let body = format!("{{\"segments\":[{}],\"text\":\"q\"}}", segments.join(","));
    (format!("X-Qos: look\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 20000\r\n"), body)
}

/// Told to end, the router closes idle connections and ends; its counters.
fn stop(mut router: Child, client: BufReader<TcpStream>, mut log: BufReader<ChildStderr>) -> String {
    kill_process(Pid::from_raw(router.id() as i32).expect("a process"), Signal::TERM).expect("it runs");
    let (mut client, mut rest) = (client, Vec::new());
    client.read_to_end(&mut rest).expect("a gentle end");
    drop(client);
    assert!(rest.is_empty() && router.wait().expect("it ends").success());
    let mut counters = String::new();
    log.read_to_string(&mut counters).expect("counters");
    counters
}

#[test]
fn a_list_of_over_a_thousand_nodes_is_served_from() {
    let at = data_node().to_string();
    let members = (0..1_030).map(|i| member(&format!("node-{i:08}"), &at, "z", 0, "ready", 0));
    let discovery = Discovery::start(8, members.collect());
    let (router, log, at) = start("many", &discovery);
    let mut client = BufReader::new(TcpStream::connect(at).expect("a connection"));
    for id in ["t1", "t2"] {
        let (fields, body) = retrieval(id);
        send(
            &mut client,
            &format!("POST /api HTTP/1.1\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len()),
        );
        assert_eq!(answer(&mut client).0, "HTTP/1.1 200 OK\r\n");
    }
    let counters = stop(router, client, log);
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
fn a_router_serves_until_it_is_told_to_end() {
    let discovery = Discovery::start(8, vec![member("a", &data_node().to_string(), "z", 0, "ready", 0)]);
    let (router, mut log, at) = start("one", &discovery);
    let mut client = BufReader::new(TcpStream::connect(at).expect("a connection"));
    send(&mut client, "GET /-/ready HTTP/1.1\r\n\r\n");
    assert_eq!(answer(&mut client), ("HTTP/1.1 200 OK\r\n".into(), "OK\n".into()));

    // A configuration that can't be read any more changes nothing.
    let pid = Pid::from_raw(router.id() as i32).expect("a process");
    kill_process(pid, Signal::HUP).expect("it runs");
    let mut line = String::new();
    log.read_line(&mut line).expect("a line");
    assert!(line.contains("the configuration stays as it was"), "{line}");

    // Eight parts make two calls or more; the head comes in pieces, the next request right behind the body.
    let (fields, body) = retrieval("t1");
    send(&mut client, "POST /api HT");
    send(&mut client, &format!("TP/1.1\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len()));
    let (begin, end) = body.split_at(9);
    let head = format!("POST /api HTTP/1.1\r\n{}Transfer-Encoding: chunked\r\n\r\n", retrieval("t2").0);
    send(&mut client, &format!("{head}9\r\n{begin}\r\n{:x}\r\n{end}\r\n0\r\n\r\n", end.len()));
    for _ in 0..2 {
        let (status, body) = answer(&mut client);
        let json: serde_json::Value = serde_json::from_str(&body).expect("JSON");
        let values = json["matches"].as_array().expect("a list").iter().map(|m| m["payload"].to_string());
        let due = (0..8).map(|i| format!("\"q/{i}\""));
        assert_eq!((status.as_str(), &json["all_in"]), ("HTTP/1.1 200 OK\r\n", &true.into()));
        assert!(values.eq(due), "{body}");
    }

    let counters = stop(router, client, log);
    assert!(
        counters.contains("queries_complete 2\n") && counters.contains("invariants_violated 0\n"),
        "{counters}"
    );
}
