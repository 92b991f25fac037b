//! The `client` command: a process with several clients of one router, each on its own thread. A client sends one query
//! after another; it writes some of them slowly, truncates or pipelines them, or closes the connection early.

use crate::clock::{MILLISECOND, Micros, SECOND, now, sleep_ms};
use crate::config::{CLASSES, Class, SHARDS};
use crate::record::Record;
use crate::stall;
use argh::FromArgs;
use fastrand::Rng;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Send queries to a router.
#[derive(FromArgs)]
#[argh(subcommand, name = "client")]
pub struct Client {
    /// the router's index
    #[argh(option)]
    router: usize,
    /// the router's address
    #[argh(option)]
    address: String,
    /// the seed of the random numbers of its threads
    #[argh(option)]
    seed: u64,
    /// how many threads send queries
    #[argh(option, default = "3")]
    threads: usize,
}

/// Percentage of the requests that state a shorter deadline than that of their class.
const SHORT_DEADLINE_PERCENT: u32 = 10;
/// How long after the deadline of a request its client still waits for the response.
const RESPONSE_TIMEOUT_MARGIN: Micros = 2 * SECOND;
/// How long a client that sent a truncated request waits for a response or the close of its connection.
const TRUNCATED_REQUEST_TIMEOUT: Duration = Duration::from_millis(4500);

/// Flags by which the main thread controls the client threads.
#[derive(Default)]
struct ClientControl {
    may_connect: AtomicBool,
    has_ended: AtomicBool,
}

impl Client {
    /// Sends queries until it reads the line `end` or the end of standard input. After the line `open` the clients may
    /// open connections; at the start and after `closed` they may not.
    pub fn run(self) {
        let control = Arc::new(ClientControl::default());
        let mut threads = Vec::new();
        for thread in 0..self.threads {
            let (control, router, address) = (control.clone(), self.router, self.address.clone());
            let rng = Rng::with_seed(self.seed * 1000 + thread as u64);
            let name = format!("r{router}-s{}-t{thread}", self.seed);
            threads.push(std::thread::spawn(move || {
                ClientThread { control, router, address, rng, name, request_count: 0, connection: None }
                    .run();
            }));
        }
        Record::Ready { address: String::new() }.print();
        stall::watch_and_print(None);
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            match line.trim() {
                "open" => control.may_connect.store(true, Ordering::SeqCst),
                "closed" => control.may_connect.store(false, Ordering::SeqCst),
                _ => break,
            }
        }
        control.has_ended.store(true, Ordering::SeqCst);
        for thread in threads {
            let _ = thread.join();
        }
    }
}

/// How a client sends a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SendMode {
    Plain,
    Slow,
    CloseEarly,
    Pipelined,
    Truncated,
}

struct Connection {
    stream: BufReader<TcpStream>,
    /// Whether no response has been received on the connection yet.
    is_new: bool,
}

/// A client, which runs on a thread of its own.
struct ClientThread {
    control: Arc<ClientControl>,
    router: usize,
    address: String,
    rng: Rng,
    name: String,
    request_count: u64,
    connection: Option<Connection>,
}

/// A request for `shards` whose deadline is `expires_ms` after it is sent.
#[derive(Clone)]
struct Request {
    id: String,
    class: &'static Class,
    expires_ms: i64,
    shards: Vec<usize>,
}

/// Why a request got no response.
#[derive(Clone, Copy, PartialEq)]
enum Failure {
    Closed,
    Timeout,
}

impl ClientThread {
    fn run(mut self) {
        while !self.control.has_ended.load(Ordering::SeqCst) {
            sleep_ms(self.rng.u64(5..60));
            let send_mode = match self.rng.u32(0..100) {
                0..=4 => SendMode::Slow,
                5..=10 => SendMode::CloseEarly,
                11..=14 => SendMode::Pipelined,
                15 => SendMode::Truncated,
                _ => SendMode::Plain,
            };
            let may_connect = self.control.may_connect.load(Ordering::SeqCst);
            // While clients may not connect, they keep using the connections that they have.
            if may_connect && self.rng.u32(0..4) == 0 {
                self.connection = None;
            }
            if !self.connect() {
                sleep_ms(20);
                continue;
            }
            match send_mode {
                SendMode::Truncated => self.send_truncated(),
                SendMode::Pipelined => self.send_pipelined(),
                _ => self.send_request(send_mode),
            }
        }
    }

    fn connect(&mut self) -> bool {
        if self.connection.is_some() {
            return true;
        }
        if !self.control.may_connect.load(Ordering::SeqCst) {
            return false;
        }
        let Ok(stream) = TcpStream::connect(&self.address) else { return false };
        let _ = stream.set_nodelay(true);
        self.connection = Some(Connection { stream: BufReader::new(stream), is_new: true });
        true
    }

    fn new_request(&mut self) -> Request {
        let class = &CLASSES[self.rng.usize(..CLASSES.len())];
        let mut shards: Vec<usize> = (0..SHARDS).collect();
        self.rng.shuffle(&mut shards);
        shards.truncate(self.rng.usize(1..5));
        self.request_count += 1;
        let percent = if self.rng.u32(0..100) < SHORT_DEADLINE_PERCENT { self.rng.i64(30..100) } else { 100 };
        let expires_ms = class.deadline_ms * percent / 100;
        Request { id: format!("{}-{}", self.name, self.request_count), class, expires_ms, shards }
    }

    fn report_sent(&self, at: Micros, request: &Request, behind: Option<&Request>) {
        Record::Asked {
            at,
            router: self.router,
            id: request.id.clone(),
            class: request.class.name.to_string(),
            expires_ms: request.expires_ms,
            shards: request.shards.clone(),
            behind: behind.map(|earlier| earlier.id.clone()),
        }
        .print();
    }

    /// Sends one request and reads its response. A request is sent again if its connection was reused and is closed
    /// before the response, since the router may have closed it before it read the request.
    fn send_request(&mut self, send_mode: SendMode) {
        let request = self.new_request();
        let Some(mut connection) = self.connection.take() else { return };
        let is_new_connection = connection.is_new;
        if !write_request(&mut connection, &request, send_mode) && !is_new_connection {
            return self.resend(&request);
        }
        self.report_sent(now(), &request, None);
        if send_mode == SendMode::CloseEarly {
            sleep_ms(self.rng.u64(0..40));
            drop(connection);
            Record::Left { at: now(), id: request.id }.print();
            return;
        }
        match read_response(&mut connection, &request) {
            Ok(true) => self.keep_connection(connection),
            Ok(false) => {}
            Err(Failure::Closed) if !is_new_connection => self.resend(&request),
            Err(cause) => report_lost(&request, is_new_connection, cause),
        }
    }

    /// Sends a request again, on a new connection.
    fn resend(&mut self, request: &Request) {
        Record::ClosedUnanswered { at: now(), router: self.router, id: request.id.clone() }.print();
        self.connection = None;
        if !self.connect() {
            return;
        }
        let Some(mut connection) = self.connection.take() else { return };
        write_request(&mut connection, request, SendMode::Plain);
        self.report_sent(now(), request, None);
        match read_response(&mut connection, request) {
            Ok(true) => self.keep_connection(connection),
            Ok(false) => {}
            Err(cause) => report_lost(request, true, cause),
        }
    }

    /// Keeps a connection for the next request after a response on it.
    fn keep_connection(&mut self, mut connection: Connection) {
        connection.is_new = false;
        self.connection = Some(connection);
    }

    /// Pipelines several requests on one connection and reads their responses in order.
    fn send_pipelined(&mut self) {
        let requests: Vec<Request> = (0..3).map(|_| self.new_request()).collect();
        let Some(mut connection) = self.connection.take() else { return };
        let bytes: String = requests.iter().map(encode).collect();
        if connection.stream.get_mut().write_all(bytes.as_bytes()).is_err() {
            return;
        }
        let at = now();
        for (index, request) in requests.iter().enumerate() {
            // The router reads no request after the one at which it closes the connection, so each request is
            // reported only once the response to the one before has been read.
            let behind = index.checked_sub(1).map(|earlier| &requests[earlier]);
            self.report_sent(at, request, behind);
            match read_response(&mut connection, request) {
                Ok(true) => connection.is_new = false,
                Ok(false) => return,
                Err(Failure::Timeout) => return report_lost(request, connection.is_new, Failure::Timeout),
                Err(Failure::Closed) if index == 0 && !connection.is_new => return self.resend(request),
                Err(Failure::Closed) => {
                    let is_first = request.id == requests[0].id;
                    return report_lost(request, connection.is_new && is_first, Failure::Closed);
                }
            }
        }
        self.connection = Some(connection);
    }

    /// Sends part of a request and waits for an error response or the close of the connection.
    fn send_truncated(&mut self) {
        self.connection = None;
        if !self.connect() {
            return;
        }
        let Some(mut connection) = self.connection.take() else { return };
        let bytes = encode(&self.new_request());
        let split_at = self.rng.usize(1..bytes.len() - 1);
        if connection.stream.get_mut().write_all(&bytes.as_bytes()[..split_at]).is_err() {
            return;
        }
        let started = now();
        let _ = connection.stream.get_ref().set_read_timeout(Some(TRUNCATED_REQUEST_TIMEOUT));
        let result = connection.stream.read(&mut [0; 64]);
        let is_timeout =
            |error: &std::io::Error| matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
        let is_ended_by_router = !result.is_err_and(|error| is_timeout(&error));
        let (at, router) = (now(), self.router);
        Record::BadClientEnded { at, router, after: at - started, is_ended_by_router }.print();
    }
}

fn report_lost(request: &Request, is_new_connection: bool, cause: Failure) {
    let (id, is_timeout) = (request.id.clone(), cause == Failure::Timeout);
    Record::Lost { at: now(), id, is_new_connection, is_timeout }.print();
}

fn encode(request: &Request) -> String {
    let weight = 1.0 / request.shards.len() as f64;
    let segments: Vec<String> =
        request.shards.iter().map(|shard| format!(r#"{{"segment":{shard},"boost":{weight}}}"#)).collect();
    let body = format!(r#"{{"segments":[{}],"text":"{}"}}"#, segments.join(","), request.id);
    format!(
        "POST /api HTTP/1.1\r\nX-Qos: {}\r\nX-Trace-Id: {}\r\nX-Expires-In-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        request.class.name,
        request.id,
        request.expires_ms,
        body.len()
    )
}

/// Writes a request. Returns false if the connection has been closed.
fn write_request(connection: &mut Connection, request: &Request, send_mode: SendMode) -> bool {
    let bytes = encode(request);
    let stream = connection.stream.get_mut();
    if send_mode != SendMode::Slow {
        return stream.write_all(bytes.as_bytes()).is_ok();
    }
    let chunk_size = bytes.len() / 4 + 1;
    bytes.as_bytes().chunks(chunk_size).all(|chunk| {
        sleep_ms(15);
        stream.write_all(chunk).is_ok()
    })
}

/// Reads a response and reports it. Returns whether the connection stays open.
fn read_response(connection: &mut Connection, request: &Request) -> Result<bool, Failure> {
    let time_limit = request.expires_ms * MILLISECOND + RESPONSE_TIMEOUT_MARGIN;
    let timeout = Duration::from_micros(time_limit as u64);
    let _ = connection.stream.get_ref().set_read_timeout(Some(timeout));
    let failure = |error: std::io::Error| match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => Failure::Timeout,
        _ => Failure::Closed,
    };
    let mut line = String::new();
    if connection.stream.read_line(&mut line).map_err(failure)? == 0 {
        return Err(Failure::Closed);
    }
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or(Failure::Closed)?;
    let (mut length, mut keeps_alive) = (0, true);
    loop {
        line.clear();
        if connection.stream.read_line(&mut line).map_err(failure)? == 0 {
            return Err(Failure::Closed);
        }
        if let Some(value) = line.strip_prefix("Content-Length: ") {
            length = value.trim().parse().unwrap_or(0);
        }
        keeps_alive &= !line.eq_ignore_ascii_case("connection: close\r\n");
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    connection.stream.read_exact(&mut body).map_err(failure)?;
    let (at, id) = (now(), request.id.clone());
    Record::Answered { at, id, status, body: String::from_utf8_lossy(&body).into_owned() }.print();
    if !keeps_alive {
        let _ = connection.stream.get_ref().set_read_timeout(Some(Duration::from_millis(300)));
        if matches!(connection.stream.read(&mut [0; 16]), Ok(count) if count > 0) {
            Record::SentAfterAnswer { at: now(), id: request.id.clone() }.print();
        }
    }
    Ok(keeps_alive)
}
