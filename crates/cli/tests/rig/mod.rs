//! A router as it is started, and ends of its connections that hold back, cut or send at a step that a test names.

use rustix::fs::{CWD, FileType, Mode, OFlags, mknodat, open};
use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value as Json, json};
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};

/// How long a test waits for what must come, before it fails.
const AT_MOST: Duration = Duration::from_secs(30);

/// A router, ended with the test.
pub struct Router {
    child: Child,
    log: BufReader<ChildStderr>,
    pub at: String,
}

/// A configuration before this discovery with two classes, `look` (safe) and `pay` (unsafe), of this deadline.
pub fn config(discovery: SocketAddr, deadline: Duration) -> Json {
    let class = |name: &str, kind: &str| json!({"name": name, "idempotency": kind, "deadlineNs": deadline.as_nanos() as u64});
    json!({"name": "r0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "2a",
        "limits": {"sockets": 64}, "known": {"revision": 7, "complete": true, "members": []},
        "settings": {"tickNs": 0, "registryMode": "ask", "zones": ["z"], "zone": 0,
            "familyInfo": {"sets": 1, "shards": 8, "width": 1, "bundleMax": 4},
            "ceilings": {"maxAttempts": 3, "maxStreams": 8, "cancelling": true,
                "connectTimeoutNs": 20_000_000_000u64, "idleCloseNs": 90_000_000_000u64},
            "obligations": {"askWithinNs": 60_000_000_000u64, "drainGraceNs": 500_000_000},
            "services": [class("look", "read_like"), class("pay", "non_idempotent")]}})
}

impl Router {
    pub fn start(name: &str, config: &Json) -> Router {
        let path = std::env::temp_dir().join(format!("yewpier-{name}-{}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).expect("a file");
        let mut router = Router::spawn(path.to_str().expect("a path"));
        router.listens();
        std::fs::remove_file(&path).expect("the file is read by now");
        router
    }

    /// A router that reads this configuration and has said nothing yet.
    pub fn spawn(path: &str) -> Router {
        let mut child = Command::new(env!("CARGO_BIN_EXE_query-router"))
            .args(["serve", "--config", path])
            .stderr(Stdio::piped())
            .spawn()
            .expect("the router starts");
        let log = BufReader::new(child.stderr.take().expect("a log"));
        Router { child, log, at: String::new() }
    }

    /// Waits for its first line, which says where it listens.
    pub fn listens(&mut self) {
        let mut line = String::new();
        self.log.read_line(&mut line).expect("a line");
        assert!(line.contains("listens on"), "{line:?}");
        self.at = line.trim().rsplit(' ').next().expect("an address").to_string();
    }

    pub fn connect(&self) -> Client {
        let stream = TcpStream::connect(&self.at).expect("a connection");
        stream.set_read_timeout(Some(AT_MOST)).expect("a time");
        stream.set_write_timeout(Some(AT_MOST)).expect("a time");
        Client(BufReader::new(stream))
    }

    /// A counter, asked for on a connection of its own.
    pub fn counter(&self, name: &str) -> u64 {
        let mut client = self.connect();
        client.send("GET /-/counters HTTP/1.1\r\nConnection: close\r\n\r\n");
        let (_, body) = client.answer();
        let line = body.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.expect("a counter of this name").parse().expect("a figure")
    }

    /// Waits until a counter stands at this or more.
    pub fn until(&self, name: &str, least: u64) {
        let since = Instant::now();
        while self.counter(name) < least {
            assert!(since.elapsed() < AT_MOST, "{name} never came to {least}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until a counter stands at this or more, by what it logs when asked: no connection is needed.
    pub fn until_reported(&mut self, name: &str, least: u64) {
        let since = Instant::now();
        let mut figure: Option<u64> = None;
        while figure.is_none_or(|figure| figure < least) {
            assert!(since.elapsed() < AT_MOST, "{name} never came to {least}");
            self.signal(Signal::USR1);
            let mut line = String::new();
            while !line.starts_with("invariants_violated ") {
                line.clear();
                assert!(self.log.read_line(&mut line).expect("a line") > 0, "it ended");
                if let Some(value) = line.strip_prefix(name).and_then(|rest| rest.strip_prefix(' ')) {
                    figure = value.trim().parse().ok();
                }
            }
        }
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("a process");
        kill_process(pid, signal).expect("it runs");
    }

    /// Has it run no further, so that what is done meanwhile meets it in one turn.
    pub fn hold(&self) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.child.id());
        let stopped = || std::fs::read_to_string(&stat).is_ok_and(|stat| stat.contains(") T "));
        while !stopped() {
            std::thread::yield_now();
        }
    }

    pub fn release(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for its end, which must be a clean one; what it logged.
    pub fn ended(mut self) -> String {
        assert!(self.child.wait().expect("it ends").success());
        let mut log = String::new();
        self.log.read_to_string(&mut log).expect("a log");
        assert!(log.contains("invariants_violated 0\n"), "{log}");
        log
    }

    /// Tells it to end and waits for that.
    pub fn end(self) -> String {
        self.signal(Signal::TERM);
        self.ended()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A configuration that the router reads as the test gives it: it waits within its reading until then.
pub struct Slow(PathBuf);

impl Slow {
    pub fn new(name: &str) -> Slow {
        let path = std::env::temp_dir().join(format!("yewpier-{name}-{}.json", std::process::id()));
        mknodat(CWD, &path, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).expect("a pipe");
        Slow(path)
    }

    pub fn path(&self) -> &str {
        self.0.to_str().expect("a path")
    }

    /// Waits until a router has begun to read.
    pub fn begun(&self) -> File {
        let since = Instant::now();
        loop {
            // A pipe that nobody reads can't be opened so.
            let options = OFlags::WRONLY | OFlags::NONBLOCK;
            if let Ok(file) = open(&self.0, options, Mode::empty()) {
                return File::from(file);
            }
            assert!(since.elapsed() < AT_MOST, "nobody reads the configuration");
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for Slow {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn send(&mut self, bytes: &str) {
        self.0.get_mut().write_all(bytes.as_bytes()).expect("the router reads");
    }

    /// Sends what the router may refuse to take.
    pub fn press(&mut self, bytes: &[u8]) {
        self.0.get_mut().set_write_timeout(Some(Duration::from_secs(3))).expect("a time");
        let _ = self.0.get_mut().write_all(bytes);
    }

    /// Asks for one part, for shard 0.
    pub fn ask(&mut self, class: &str, id: &str, deadline: Duration) {
        self.send(&query(class, id, deadline));
    }

    /// The next answer's first line and its body.
    pub fn answer(&mut self) -> (String, String) {
        let (mut status, mut length) = (String::new(), 0);
        self.0.read_line(&mut status).expect("an answer");
        loop {
            let mut line = String::new();
            assert!(self.0.read_line(&mut line).expect("a head") > 0, "the head of {status:?} ends early");
            if let Some(value) = line.strip_prefix("Content-Length: ") {
                length = value.trim().parse().expect("a length");
            }
            if line == "\r\n" {
                break;
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).expect("a body");
        (status.trim().to_string(), String::from_utf8(body).expect("text"))
    }

    /// Whether something has come that was not read.
    pub fn has_answer(&self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).expect("a mode");
        let came = stream.peek(&mut [0]);
        stream.set_nonblocking(false).expect("a mode");
        came.is_ok()
    }

    /// What still comes until the router closes; a reset is no clean close.
    pub fn rest(&mut self) -> String {
        let mut rest = String::new();
        self.0.read_to_string(&mut rest).expect("a clean close");
        rest
    }
}

pub fn query(class: &str, id: &str, deadline: Duration) -> String {
    let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"q"}"#;
    let (length, wait) = (body.len(), deadline.as_millis());
    format!(
        "POST /api HTTP/1.1\r\nX-Qos: {class}\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: {wait}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// A data node whose connections do not come up before it lets them: its backlog is filled.
pub struct Shut {
    listener: TcpListener,
    pub at: SocketAddr,
    _filler: TcpStream,
}

impl Shut {
    pub fn new() -> Shut {
        let at = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
        bind(&listener, &at).expect("a port");
        listen(&listener, 0).expect("it listens");
        let listener = TcpListener::from(listener);
        let at = listener.local_addr().expect("an address");
        Shut { listener, at, _filler: TcpStream::connect(at).expect("the one that fits") }
    }

    /// Lets the next connection come up.
    pub fn open(&self) -> NodeEnd {
        self.listener.accept().expect("the filler");
        accept(&self.listener)
    }

    /// Lets the next connection come up, and those after it wait again for as long as what is returned lives.
    pub fn open_one(&self) -> (NodeEnd, TcpStream) {
        let end = self.open();
        (end, TcpStream::connect(self.at).expect("the one that fits"))
    }
}

/// A data node whose connections come up and are served by the test.
pub struct Node {
    listener: TcpListener,
    pub at: SocketAddr,
}

impl Node {
    pub fn new() -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        Node { listener, at }
    }

    pub fn accept(&self) -> NodeEnd {
        accept(&self.listener)
    }

    /// Whether nobody has connected that was not accepted.
    pub fn is_untouched(&self) -> bool {
        self.listener.set_nonblocking(true).expect("a mode");
        matches!(self.listener.accept(), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

/// Waits for a connection, but not for ever.
pub fn accept(listener: &TcpListener) -> NodeEnd {
    listener.set_nonblocking(true).expect("a mode");
    let since = Instant::now();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("a mode");
                stream.set_read_timeout(Some(AT_MOST)).expect("a time");
                return NodeEnd(stream);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                assert!(since.elapsed() < AT_MOST, "nobody connects");
                std::thread::sleep(Duration::from_millis(2));
            }
            Err(e) => panic!("accepting fails: {e}"),
        }
    }
}

/// A data node's end of a connection.
pub struct NodeEnd(pub TcpStream);

impl NodeEnd {
    /// The letter and the text of the next frame.
    pub fn frame(&mut self) -> (char, String) {
        let mut head = [0; 5];
        self.0.read_exact(&mut head).expect("a frame");
        let mut rest = vec![0; u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize - 1];
        self.0.read_exact(&mut rest).expect("a whole frame");
        (head[4] as char, String::from_utf8(rest).expect("text"))
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("the router reads");
    }

    /// All that comes until the router closes.
    pub fn rest(&mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).expect("an end");
        rest
    }
}

/// A frame of a data node's.
pub fn frame(letter: u8, rest: &str) -> Vec<u8> {
    let length = (rest.len() as u32 + 1).to_be_bytes();
    [&length[..], &[letter], rest.as_bytes()].concat()
}
