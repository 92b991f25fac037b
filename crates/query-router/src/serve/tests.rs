//! The loop on real connections, its turns taken by hand: what comes between two of its lines comes there each time.

use super::*;

/// How long a test waits for what must come, before it fails.
const AT_MOST: Duration = Duration::from_secs(30);

struct Rig {
    events: EventLoop<'static, Server>,
    server: Server,
    at: SocketAddr,
    node: TcpListener,
    _discovery: TcpListener,
}

impl Rig {
    /// A router that holds one node, before a discovery that says nothing.
    fn new() -> Rig {
        let listener = || TcpListener::bind("127.0.0.1:0").expect("a port");
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
        let config = Config::parse(&config.to_string()).expect("a configuration");
        let signals = heed_signals().expect("signals");
        let (events, server) = start(signals, config, String::new()).expect("it starts");
        let at = server.listener.local_addr().expect("an address");
        Rig { events, server, at, node, _discovery: discovery }
    }

    /// Takes turns until something holds.
    fn until(&mut self, what: &str, holds: impl Fn(&Rig) -> bool) {
        let since = Instant::now();
        while !holds(self) {
            assert!(since.elapsed() < AT_MOST, "{what}");
            self.events.dispatch(Some(Duration::from_millis(5)), &mut self.server).expect("a turn");
            self.server.turn();
        }
    }

    fn connect(&self) -> TcpStream {
        TcpStream::connect(self.at).expect("a connection")
    }

    /// The next connection to the node, while the router goes on.
    fn accept(&mut self) -> TcpStream {
        self.node.set_nonblocking(true).expect("a mode");
        let came = std::cell::RefCell::new(None);
        self.until("nobody connects to the node", |rig| {
            *came.borrow_mut() = rig.node.accept().ok();
            came.borrow().is_some()
        });
        let (stream, _) = came.into_inner().expect("a connection");
        stream.set_nonblocking(false).expect("a mode");
        stream.set_read_timeout(Some(AT_MOST)).expect("a time");
        stream
    }

    /// Reads a frame, which the router has written or will write.
    fn frame(&mut self, stream: &mut TcpStream) -> String {
        self.until("no frame comes", |_| came(stream));
        let mut head = [0; 5];
        stream.read_exact(&mut head).expect("a head");
        let mut rest = vec![0; u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize - 1];
        stream.read_exact(&mut rest).expect("a whole frame");
        String::from_utf8(rest).expect("text")
    }

    /// The first line of the next answer, which is read whole.
    fn answer(&mut self, client: &mut TcpStream) -> String {
        self.until("no answer comes", |_| came(client));
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            client.read_exact(&mut byte).expect("a head");
            head.extend(byte);
        }
        let head = String::from_utf8(head).expect("text");
        let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
        let length: usize = length.expect("a length").parse().expect("a length");
        client.read_exact(&mut vec![0; length]).expect("a body");
        head.lines().next().unwrap_or_default().to_string()
    }
}

/// Whether something came in that was not read, or the end.
fn came(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a mode");
    let came = stream.peek(&mut [0]).is_ok();
    stream.set_nonblocking(false).expect("a mode");
    came
}

fn query(id: &str) -> String {
    let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"q"}"#;
    let length = body.len();
    format!(
        "POST /api HTTP/1.1\r\nX-Qos: pay\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: 20000\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

fn frame(letter: u8, rest: &str) -> Vec<u8> {
    [&crate::protocol::frames::head(letter, rest.len())[..], rest.as_bytes()].concat()
}

#[test]
fn a_client_that_connects_while_the_end_is_decided_is_answered() {
    let mut rig = Rig::new();
    rig.server.tell(Event::Terminate);
    // The turn in which all that rests is closed: nobody is here, so the router asks for its end.
    let due = |rig: &Rig| rig.server.timer.is_some_and(|at| at <= rig.server.clock.now());
    while !due(&rig) {
        let wait = rig.server.wait();
        rig.events.dispatch(wait, &mut rig.server).expect("a turn");
        if !due(&rig) {
            rig.server.turn();
        }
    }
    let mut client = rig.connect();
    client.write_all(b"GET /-/ready HTTP/1.1\r\n\r\n").expect("it is read");
    rig.server.knocked = false;
    rig.server.turn();
    assert!(!rig.server.done, "the end would reset a client that is connected");
    assert_eq!(rig.answer(&mut client), "HTTP/1.1 503 Service Unavailable");
    drop(client);
    rig.until("it never ends", |rig| rig.server.done);
}

#[test]
fn a_call_does_not_go_out_behind_a_nodes_last_word() {
    // What has come when the loop last looked is read first; this comes after that look.
    for last in [frame(b'N', "that was none"), frame(b'Y', "t1.0 OK 5 -\ntwice")[..9].to_vec()] {
        let mut rig = Rig::new();
        let mut client = rig.connect();
        client.write_all(query("t1").as_bytes()).expect("it is read");
        let mut first = rig.accept();
        assert!(rig.frame(&mut first).starts_with("t1.0 "));
        first.write_all(&frame(b'Y', "t1.0 OK 5 -\none")).expect("it is read");
        assert_eq!(rig.answer(&mut client), "HTTP/1.1 200 OK");
        let served = |rig: &Rig, at: SocketAddr| {
            let is = |socket: &Socket| socket.stream.peer_addr().is_ok_and(|peer| peer == at);
            rig.server
                .sockets
                .iter()
                .position(|socket| socket.as_ref().is_some_and(is))
                .map(ConnectionId)
                .expect("a connection")
        };
        let asks = served(&rig, client.local_addr().expect("an address"));
        let link = served(&rig, rig.node.local_addr().expect("an address"));
        first.write_all(&last).expect("it is read");
        client.write_all(query("t2").as_bytes()).expect("it is read");
        while rig.server.unread(link).is_none() || rig.server.unread(asks).is_none() {
            std::thread::yield_now();
        }
        rig.server.read_next(asks);
        rig.server.turn();
        let mut second = rig.accept();
        assert!(rig.frame(&mut second).starts_with("t2.0 "));
        second.write_all(&frame(b'Y', "t2.0 OK 5 -\ntwo")).expect("it is read");
        assert_eq!(rig.answer(&mut client), "HTTP/1.1 200 OK");
        let mut rest = Vec::new();
        // It was closed over what it had not read: a reset is an end too.
        let _ = first.read_to_end(&mut rest);
        assert_eq!(rest, b"");
        assert_eq!(rig.server.router.counters().attempts_not_sent, 1);
    }
}
