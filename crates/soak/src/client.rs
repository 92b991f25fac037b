//! Clients of one router as a process: each thread sends one query after another, some of them badly.

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
    /// the seed of all draws
    #[argh(option)]
    seed: u64,
    /// how many threads send queries
    #[argh(option, default = "3")]
    threads: usize,
}

/// How many of a hundred requests state less time than their class has.
const SHORT_TIME_PERCENT: u32 = 10;
/// How long a client waits beyond its time before it counts a request as unanswered.
const UNANSWERED_AFTER: Micros = 2 * SECOND;
/// How long a client that stopped in the middle of a request waits for its end.
const BAD_CLIENT_PATIENCE: Duration = Duration::from_millis(4500);

/// Whether clients may connect, and whether they go on at all.
#[derive(Default)]
struct Front {
    may_connect: AtomicBool,
    has_ended: AtomicBool,
}

impl Client {
    /// Sends queries until a line on standard input says `end`; `open` and `closed` tell whether to connect.
    pub fn run(self) {
        let front = Arc::new(Front::default());
        let mut threads = Vec::new();
        for thread in 0..self.threads {
            let (front, router, address) = (front.clone(), self.router, self.address.clone());
            let rng = Rng::with_seed(self.seed * 1000 + thread as u64);
            let name = format!("r{router}-s{}-t{thread}", self.seed);
            threads.push(std::thread::spawn(move || {
                Session { front, router, address, rng, name, count: 0, connection: None }.run();
            }));
        }
        Record::Ready { address: String::new() }.print();
        stall::watch_and_print(None);
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            match line.trim() {
                "open" => front.may_connect.store(true, Ordering::SeqCst),
                "closed" => front.may_connect.store(false, Ordering::SeqCst),
                _ => break,
            }
        }
        front.has_ended.store(true, Ordering::SeqCst);
        for thread in threads {
            let _ = thread.join();
        }
    }
}

/// What a client does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Manner {
    Plain,
    Slowly,
    LeaveEarly,
    Pipelined,
    StopInTheMiddle,
}

struct Connection {
    stream: BufReader<TcpStream>,
    /// Whether no answer has come on it yet.
    is_new: bool,
}

struct Session {
    front: Arc<Front>,
    router: usize,
    address: String,
    rng: Rng,
    name: String,
    count: u64,
    connection: Option<Connection>,
}

/// A request and what is expected of its answer.
#[derive(Clone)]
struct Request {
    id: String,
    class: &'static Class,
    expires_ms: i64,
    shards: Vec<usize>,
}

/// Why no answer came.
#[derive(Clone, Copy, PartialEq)]
enum NoAnswer {
    Closed,
    Timeout,
}

impl Session {
    fn run(mut self) {
        while !self.front.has_ended.load(Ordering::SeqCst) {
            sleep_ms(self.rng.u64(5..60));
            let manner = match self.rng.u32(0..100) {
                0..=4 => Manner::Slowly,
                5..=10 => Manner::LeaveEarly,
                11..=14 => Manner::Pipelined,
                15 => Manner::StopInTheMiddle,
                _ => Manner::Plain,
            };
            let may_connect = self.front.may_connect.load(Ordering::SeqCst);
            // Clients keep using the connections that they have where they get no new one.
            if may_connect && self.rng.u32(0..4) == 0 {
                self.connection = None;
            }
            if !self.connect() {
                sleep_ms(20);
                continue;
            }
            match manner {
                Manner::StopInTheMiddle => self.stop_in_the_middle(),
                Manner::Pipelined => self.ask_pipelined(),
                _ => self.ask(manner),
            }
        }
    }

    fn connect(&mut self) -> bool {
        if self.connection.is_some() {
            return true;
        }
        if !self.front.may_connect.load(Ordering::SeqCst) {
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
        self.count += 1;
        let share = if self.rng.u32(0..100) < SHORT_TIME_PERCENT { self.rng.i64(30..100) } else { 100 };
        let expires_ms = class.deadline_ms * share / 100;
        Request { id: format!("{}-{}", self.name, self.count), class, expires_ms, shards }
    }

    fn report_asked(&self, at: Micros, request: &Request, behind: Option<&Request>) {
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

    /// Sends one request and reads its answer. One that crosses the close of a connection is sent once more.
    fn ask(&mut self, manner: Manner) {
        let request = self.new_request();
        let Some(mut connection) = self.connection.take() else { return };
        let is_new_connection = connection.is_new;
        if !write_request(&mut connection, &request, manner) && !is_new_connection {
            return self.ask_again(&request);
        }
        self.report_asked(now(), &request, None);
        if manner == Manner::LeaveEarly {
            sleep_ms(self.rng.u64(0..40));
            drop(connection);
            Record::Left { at: now(), id: request.id }.print();
            return;
        }
        match read_answer(&mut connection, &request) {
            Ok(true) => self.keep(connection),
            Ok(false) => {}
            Err(NoAnswer::Closed) if !is_new_connection => self.ask_again(&request),
            Err(cause) => report_lost(&request, is_new_connection, cause),
        }
    }

    /// Sends a request once more, on a new connection.
    fn ask_again(&mut self, request: &Request) {
        Record::ClosedUnanswered { at: now(), router: self.router, id: request.id.clone() }.print();
        self.connection = None;
        if !self.connect() {
            return;
        }
        let Some(mut connection) = self.connection.take() else { return };
        write_request(&mut connection, request, Manner::Plain);
        self.report_asked(now(), request, None);
        match read_answer(&mut connection, request) {
            Ok(true) => self.keep(connection),
            Ok(false) => {}
            Err(cause) => report_lost(request, true, cause),
        }
    }

    /// Keeps a connection on which an answer came.
    fn keep(&mut self, mut connection: Connection) {
        connection.is_new = false;
        self.connection = Some(connection);
    }

    /// Sends several requests at once and reads their answers in order.
    fn ask_pipelined(&mut self) {
        let requests: Vec<Request> = (0..3).map(|_| self.new_request()).collect();
        let Some(mut connection) = self.connection.take() else { return };
        let bytes: String = requests.iter().map(encode).collect();
        if connection.stream.get_mut().write_all(bytes.as_bytes()).is_err() {
            return;
        }
        let at = now();
        for (index, request) in requests.iter().enumerate() {
            // Requests behind one whose connection ends were not taken; only the first is reported before.
            let behind = index.checked_sub(1).map(|earlier| &requests[earlier]);
            self.report_asked(at, request, behind);
            match read_answer(&mut connection, request) {
                Ok(true) => connection.is_new = false,
                Ok(false) => return,
                Err(NoAnswer::Timeout) => return report_lost(request, connection.is_new, NoAnswer::Timeout),
                Err(NoAnswer::Closed) if index == 0 && !connection.is_new => return self.ask_again(request),
                Err(NoAnswer::Closed) => {
                    let is_first = request.id == requests[0].id;
                    return report_lost(request, connection.is_new && is_first, NoAnswer::Closed);
                }
            }
        }
        self.connection = Some(connection);
    }

    /// Sends half a request and waits for an error or the close.
    fn stop_in_the_middle(&mut self) {
        self.connection = None;
        if !self.connect() {
            return;
        }
        let Some(mut connection) = self.connection.take() else { return };
        let bytes = encode(&self.new_request());
        let half = self.rng.usize(1..bytes.len() - 1);
        if connection.stream.get_mut().write_all(&bytes.as_bytes()[..half]).is_err() {
            return;
        }
        let started = now();
        let _ = connection.stream.get_ref().set_read_timeout(Some(BAD_CLIENT_PATIENCE));
        let result = connection.stream.read(&mut [0; 64]);
        let is_timeout =
            |error: &std::io::Error| matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
        let is_ended_by_router = !result.is_err_and(|error| is_timeout(&error));
        let (at, router) = (now(), self.router);
        Record::BadClientEnded { at, router, after: at - started, is_ended_by_router }.print();
    }
}

fn report_lost(request: &Request, is_new_connection: bool, cause: NoAnswer) {
    let (id, is_timeout) = (request.id.clone(), cause == NoAnswer::Timeout);
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

/// Writes a request; false if the connection has ended.
fn write_request(connection: &mut Connection, request: &Request, manner: Manner) -> bool {
    let bytes = encode(request);
    let stream = connection.stream.get_mut();
    if manner != Manner::Slowly {
        return stream.write_all(bytes.as_bytes()).is_ok();
    }
    let piece = bytes.len() / 4 + 1;
    bytes.as_bytes().chunks(piece).all(|piece| {
        sleep_ms(15);
        stream.write_all(piece).is_ok()
    })
}

/// Reads an answer and reports it. Returns whether the connection goes on.
fn read_answer(connection: &mut Connection, request: &Request) -> Result<bool, NoAnswer> {
    let patience = request.expires_ms * MILLISECOND + UNANSWERED_AFTER;
    let timeout = Duration::from_micros(patience as u64);
    let _ = connection.stream.get_ref().set_read_timeout(Some(timeout));
    let failure = |error: std::io::Error| match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => NoAnswer::Timeout,
        _ => NoAnswer::Closed,
    };
    let mut line = String::new();
    if connection.stream.read_line(&mut line).map_err(failure)? == 0 {
        return Err(NoAnswer::Closed);
    }
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or(NoAnswer::Closed)?;
    let (mut length, mut goes_on) = (0, true);
    loop {
        line.clear();
        if connection.stream.read_line(&mut line).map_err(failure)? == 0 {
            return Err(NoAnswer::Closed);
        }
        if let Some(value) = line.strip_prefix("Content-Length: ") {
            length = value.trim().parse().unwrap_or(0);
        }
        goes_on &= !line.eq_ignore_ascii_case("connection: close\r\n");
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    connection.stream.read_exact(&mut body).map_err(failure)?;
    let (at, id) = (now(), request.id.clone());
    Record::Answered { at, id, status, body: String::from_utf8_lossy(&body).into_owned() }.print();
    if !goes_on {
        let _ = connection.stream.get_ref().set_read_timeout(Some(Duration::from_millis(300)));
        if matches!(connection.stream.read(&mut [0; 16]), Ok(count) if count > 0) {
            Record::SentAfterAnswer { at: now(), id: request.id.clone() }.print();
        }
    }
    Ok(goes_on)
}
