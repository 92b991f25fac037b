//! Tests that the servers respond as the documentation of the real ones describes.

use serde_json::{Value as Json, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use test_servers::{Discovery, data_node, member};

fn discovery() -> Discovery {
    Discovery::start(3, vec![member("a", "127.0.0.1:9001", "z", 0, "ready", 0)])
}

/// Sends a request and returns the response, which ends when the server closes the connection.
fn fetch(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.write_all(request.as_bytes()).expect("the server reads");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    response
}

/// A client's watch on the endpoint list.
struct Watch(BufReader<TcpStream>);

impl Watch {
    fn start_after(address: SocketAddr, revision: u64) -> Watch {
        let mut stream = TcpStream::connect(address).expect("a connection");
        write!(stream, "GET /api/targets?after={revision} HTTP/1.1\r\n\r\n").expect("the server reads");
        let mut watch = Watch(BufReader::new(stream));
        while watch.line() != "\r\n" {}
        watch
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line");
        line
    }

    /// The JSON of the next chunk, which is one line.
    fn update(&mut self) -> Json {
        let length = usize::from_str_radix(self.line().trim(), 16).expect("a chunk's length");
        let line = self.line();
        assert_eq!(line.len(), length);
        assert_eq!(self.line(), "\r\n");
        serde_json::from_str(&line).expect("JSON")
    }
}

#[test]
fn a_poll_gets_the_full_list() {
    let response = fetch(discovery().address, "GET /api/targets HTTP/1.1\r\n\r\n");
    let (header, body) = response.split_once("\r\n\r\n").expect("a header");
    assert!(
        header.starts_with("HTTP/1.1 200 OK") && header.contains(&format!("Content-Length: {}", body.len()))
    );
    let list: Json = serde_json::from_str(body).expect("JSON");
    assert_eq!((&list["revision"], &list["complete"]), (&json!(3), &json!(true)));
    assert_eq!(list["members"], json!([member("a", "127.0.0.1:9001", "z", 0, "ready", 0)]));
}

#[test]
fn a_watch_gets_the_list_and_then_each_update() {
    let discovery = discovery();
    let mut watch = Watch::start_after(discovery.address, 0);
    assert_eq!(watch.update()["complete"], json!(true));
    let changed = member("a", "127.0.0.1:9001", "z", 0, "draining", 0);
    discovery.publish(vec![changed.clone()]);
    assert_eq!(watch.update(), json!({"revision": 4, "complete": false, "members": [changed]}));
    discovery.wait_for_updates_sent(1);
    assert_eq!((discovery.updates_sent(), discovery.requests()), (1, 1));
}

#[test]
fn a_watch_after_a_known_revision_gets_the_updates_alone() {
    let discovery = discovery();
    discovery.publish(vec![member("b", "127.0.0.1:9002", "z", 0, "ready", 0)]);
    let update = Watch::start_after(discovery.address, 3).update();
    assert_eq!((&update["revision"], &update["complete"]), (&json!(4), &json!(false)));
}

#[test]
fn a_removed_entry_is_no_longer_in_the_list() {
    let discovery = discovery();
    discovery.publish(vec![member("a", "127.0.0.1:9001", "z", 0, "gone", 0)]);
    assert!(
        fetch(discovery.address, "GET /api/targets HTTP/1.1\r\n\r\n")
            .ends_with("{\"revision\":4,\"complete\":true,\"members\":[]}\n")
    );
}

#[test]
fn while_discovery_is_down_requests_fail() {
    let discovery = discovery();
    discovery.set_down(true);
    assert!(fetch(discovery.address, "GET /api/targets HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 503 "));
    discovery.set_down(false);
    assert!(fetch(discovery.address, "GET /api/targets HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200 "));
}

#[test]
fn a_data_node_answers_the_last_shard_request_of_a_batch_first() {
    let mut stream = TcpStream::connect(data_node()).expect("a connection");
    let batch = "R7 0 d=100 2\nab8 1 d=100 2\nab";
    stream.write_all(&(batch.len() as u32).to_be_bytes()).expect("the node reads");
    stream.write_all(batch.as_bytes()).expect("the node reads");
    for expected in ["Y8 OK 1 inflight=1\nab/1", "Y7 OK 1 inflight=1\nab/0"] {
        let mut length = [0; 4];
        stream.read_exact(&mut length).expect("a length");
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut frame).expect("a frame");
        assert_eq!(frame, expected.as_bytes());
    }
}
