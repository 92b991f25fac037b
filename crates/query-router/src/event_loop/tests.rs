//! Tests of the event loop with real connections. They run its iterations one by one, so that an event can be placed
//! deterministically between two steps.

mod fairness;
mod iteration_order;

use super::socket::{Socket, Unread};
use super::*;
use crate::io::ConnectionId;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Maximum time that a test waits for a condition before it fails.
const MAX_WAIT: Duration = Duration::from_secs(30);

struct TestRouter {
    event_loop: EventLoop<'static, Server>,
    server: Server,
    address: SocketAddr,
    node: TcpListener,
    discovery: TcpListener,
}

impl TestRouter {
    /// Starts a router whose cached endpoint list contains one node and whose discovery service never responds.
    fn new() -> TestRouter {
        let listener = || TcpListener::bind("127.0.0.1:0").expect("binding to a free port");
        let (node, discovery) = (listener(), listener());
        let address = |listener: &TcpListener| listener.local_addr().expect("an address");
        let member = serde_json::json!({"id": "a", "host_port": address(&node), "locality": "z", "cell": 0,
            "phase": "ready", "size": 1.0, "up_since_ms": 0});
        let config = serde_json::json!({"name": "r0", "listen": "127.0.0.1:0", "discovery": address(&discovery),
            "seed": "2a", "limits": {"sockets": 64},
            "known": {"revision": 7, "complete": true, "members": [member]},
            "settings": {"tickNs": 0, "registryMode": "ask", "zones": ["z"],
                "familyInfo": {"sets": 1, "shards": 8, "width": 1, "bundleMax": 4},
                "ceilings": {"maxAttempts": 3, "maxStreams": 8, "cancelling": true,
                    "connectTimeoutNs": 20_000_000_000u64, "idleCloseNs": 90_000_000_000u64},
                "obligations": {"askWithinNs": 60_000_000_000u64},
                "services": [
                    {"name": "pay", "idempotency": "non_idempotent", "deadlineNs": 20_000_000_000u64}]}});
        let config = Config::parse(&config.to_string()).expect("a valid configuration");
        let signals = block_signals().expect("blocking the signals");
        let (event_loop, mut server) = start(signals, config, String::new()).expect("starting the router");
        // What an iteration handles does not depend on the speed of the machine. Tests of the time limit set another one.
        server.group_time_limit = MAX_WAIT.as_micros() as i64;
        let address = server.listener.local_address().expect("an address");
        TestRouter { event_loop, server, address, node, discovery }
    }

    /// Runs iterations until `condition` holds. Panics with `failure` after [`MAX_WAIT`].
    fn run_until(&mut self, failure: &str, condition: impl Fn(&TestRouter) -> bool) {
        let started = Instant::now();
        while !condition(self) {
            assert!(started.elapsed() < MAX_WAIT, "{failure}");
            self.event_loop
                .dispatch(Some(Duration::from_millis(5)), &mut self.server)
                .expect("dispatching events");
            self.server.run_iteration();
        }
    }

    fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).expect("a connection")
    }

    /// Accepts the next connection to the node, while iterations of the router run.
    fn accept_at_node(&mut self) -> TcpStream {
        self.node.set_nonblocking(true).expect("changing the blocking mode");
        let accepted = std::cell::RefCell::new(None);
        self.run_until("the router does not connect to the node", |router| {
            *accepted.borrow_mut() = router.node.accept().ok();
            accepted.borrow().is_some()
        });
        let (stream, _) = accepted.into_inner().expect("a connection");
        stream.set_nonblocking(false).expect("changing the blocking mode");
        stream.set_read_timeout(Some(MAX_WAIT)).expect("setting the read timeout");
        stream
    }

    /// Runs iterations until the router has written a frame, and returns the payload of the frame.
    fn read_frame(&mut self, stream: &mut TcpStream) -> String {
        self.run_until("the router sends no frame", |_| has_unread(stream));
        let mut head = [0; 5];
        stream.read_exact(&mut head).expect("a complete head");
        let mut payload = vec![0; u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize - 1];
        stream.read_exact(&mut payload).expect("a complete frame");
        String::from_utf8(payload).expect("UTF-8")
    }

    /// Runs iterations until the router has written a response, and returns the status line of the response.
    fn read_response(&mut self, client: &mut TcpStream) -> String {
        self.run_until("the router sends no response", |_| has_unread(client));
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            client.read_exact(&mut byte).expect("a complete head");
            head.extend(byte);
        }
        let head = String::from_utf8(head).expect("UTF-8");
        let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
        let length: usize = length.expect("a Content-Length").parse().expect("an integer");
        client.read_exact(&mut vec![0; length]).expect("a complete body");
        head.lines().next().unwrap_or_default().to_string()
    }

    /// Returns the id of the router's connection with this peer.
    fn connection_to(&self, peer: SocketAddr) -> ConnectionId {
        let has_peer = |socket: &Option<Socket>| {
            socket.as_ref().is_some_and(|socket| socket.peer_address() == Some(peer))
        };
        ConnectionId(self.server.sockets.iter().position(has_peer).expect("a connection"))
    }

    fn has_unread_input(&self, connection: ConnectionId) -> bool {
        !matches!(self.server.unread(connection), None | Some(Unread::Nothing))
    }
}

/// Returns whether a stream has unread bytes or an unread end of stream.
fn has_unread(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("changing the blocking mode");
    let unread = stream.peek(&mut [0]).is_ok();
    stream.set_nonblocking(false).expect("changing the blocking mode");
    unread
}

/// Formats a query for one shard.
fn query(id: &str) -> String {
    query_for_shards(id, 1)
}

/// Formats a query for this number of shards.
fn query_for_shards(id: &str, shards: usize) -> String {
    let segment = |shard: usize| format!(r#"{{"segment":{shard},"boost":{}}}"#, 1.0 / shards as f64);
    let segments: Vec<String> = (0..shards).map(segment).collect();
    let body = format!(r#"{{"segments":[{}],"text":"q"}}"#, segments.join(","));
    let length = body.len();
    format!(
        "POST /api HTTP/1.1\r\nX-Qos: pay\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 20000\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

fn frame(letter: u8, payload: &str) -> Vec<u8> {
    [&crate::protocol::frames::head(letter, payload.len())[..], payload.as_bytes()].concat()
}
