//! The `flood` command: a process with flooding clients, which send as fast as they can for a limited time and read
//! whatever they are sent. One thread serves all its connections, so that many of them need no more processor time.

use super::kind::FloodKind;
use crate::clock::{MILLISECOND, Micros, SECOND, now};
use argh::FromArgs;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Send requests to a router at full speed.
#[derive(FromArgs)]
#[argh(subcommand, name = "flood")]
pub struct Flood {
    /// what is sent
    #[argh(option)]
    kind: FloodKind,
    /// the router's address
    #[argh(option)]
    address: SocketAddr,
    /// how many connections are open at a time; default 1
    #[argh(option, default = "1")]
    connections: usize,
    /// whether each request comes on a new connection
    #[argh(switch)]
    fresh: bool,
    /// for how many milliseconds the clients send; default 3000
    #[argh(option, default = "3000")]
    milliseconds: u64,
}

/// What the clients of a flood sent and got.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct FloodTotals {
    /// Connections that were opened.
    pub connections: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Connections on which neither an answer nor a close came within [`ANSWER_LIMIT`].
    pub unanswered: u64,
    /// The longest time from the connect to the first answer or the close, in microseconds.
    pub longest_wait: Micros,
}

/// The time within which a flooding client is owed an error or a close.
pub const ANSWER_LIMIT: Micros = 3 * SECOND;
/// Timeout of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause after which the connections are tried again when none could be read or written.
const IDLE_PAUSE: Duration = Duration::from_micros(200);
/// The pause between two pieces of a request that is written slowly.
const SLOW_PAUSE: Micros = 20 * MILLISECOND;
/// The size of such a piece.
const SLOW_PIECE_BYTES: usize = 1000;
/// The size of the buffer for answers.
const READ_BUFFER_BYTES: usize = 64 * 1024;

impl Flood {
    /// Floods until the time is over or standard input ends, and prints [`FloodTotals`] as a line of JSON.
    pub fn run(self) {
        let has_ended = Arc::new(AtomicBool::new(false));
        let flag = has_ended.clone();
        std::thread::spawn(move || {
            let _ = std::io::stdin().lock().lines().count();
            flag.store(true, Ordering::SeqCst);
        });
        let end = now() + self.milliseconds as Micros * MILLISECOND;
        let is_running = || now() < end && !has_ended.load(Ordering::SeqCst);
        let totals = if self.kind == FloodKind::Nothing {
            compute_while(is_running)
        } else {
            FloodingClients::new(self).run(is_running)
        };
        println!("{}", serde_json::to_string(&totals).expect("serialize the totals as JSON"));
    }
}

/// Uses processor time and sends nothing.
fn compute_while(is_running: impl Fn() -> bool) -> FloodTotals {
    let mut value = 1_u64;
    while is_running() {
        value = std::hint::black_box(value.wrapping_mul(3));
    }
    FloodTotals::default()
}

/// A connection of a flooding client.
struct Connection {
    stream: TcpStream,
    /// Bytes to send, of which `sent` are sent.
    output: Vec<u8>,
    sent: usize,
    /// The time of the next piece of a request that is written slowly.
    next_piece_at: Micros,
    connected_at: Micros,
    is_answered: bool,
    /// The number of requests that were written, and of answers that ended with a read; only where requests wait for answers.
    requests: u64,
    answers: u64,
}

/// What became of a connection that was read and written.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// Bytes were read or written.
    Some,
    /// Nothing could be read or written.
    None,
    /// The router closed the connection, or the client closes it after the answer.
    Closed,
}

struct FloodingClients {
    options: Flood,
    connections: Vec<Option<Connection>>,
    buffer: Vec<u8>,
    next_number: u64,
    totals: FloodTotals,
}

impl FloodingClients {
    fn new(options: Flood) -> FloodingClients {
        let connections = (0..options.connections.max(1)).map(|_| None).collect();
        let buffer = vec![0; READ_BUFFER_BYTES];
        FloodingClients { options, connections, buffer, next_number: 0, totals: FloodTotals::default() }
    }

    fn run(mut self, is_running: impl Fn() -> bool) -> FloodTotals {
        while is_running() {
            let mut has_progress = false;
            for index in 0..self.connections.len() {
                has_progress |= self.serve(index);
            }
            if !has_progress {
                std::thread::sleep(IDLE_PAUSE);
            }
        }
        for connection in std::mem::take(&mut self.connections).into_iter().flatten() {
            if !connection.is_answered {
                self.record_wait(connection.connected_at);
            }
        }
        self.totals
    }

    /// Records the time from a connect to the first answer or the close.
    fn record_wait(&mut self, connected_at: Micros) {
        let wait = now() - connected_at;
        self.totals.longest_wait = self.totals.longest_wait.max(wait);
        self.totals.unanswered += u64::from(self.options.kind.reads() && wait > ANSWER_LIMIT);
    }

    /// Opens, writes or reads a connection. Returns whether there was progress.
    fn serve(&mut self, index: usize) -> bool {
        let Some(mut connection) = self.connections[index].take() else {
            self.connections[index] = self.connect();
            return self.connections[index].is_some();
        };
        let written = self.write(&mut connection);
        let read = self.read(&mut connection);
        if written == Progress::Closed || read == Progress::Closed {
            if !connection.is_answered {
                self.record_wait(connection.connected_at);
            }
            return true;
        }
        self.connections[index] = Some(connection);
        written == Progress::Some || read == Progress::Some
    }

    fn connect(&mut self) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&self.options.address, CONNECT_TIMEOUT).ok()?;
        let connected_at = now();
        stream.set_nodelay(true).ok()?;
        stream.set_nonblocking(true).ok()?;
        self.totals.connections += 1;
        let output = self.requests();
        Some(Connection {
            stream,
            output,
            sent: 0,
            next_piece_at: 0,
            connected_at,
            is_answered: false,
            requests: 1,
            answers: 0,
        })
    }

    /// Returns the next requests to write.
    fn requests(&mut self) -> Vec<u8> {
        let kind = self.options.kind;
        let count = if self.options.fresh || kind.is_slow() { 1 } else { kind.requests_per_write() };
        let first = self.next_number;
        self.next_number += count;
        (first..first + count).flat_map(|number| kind.request(number)).collect()
    }

    fn write(&mut self, connection: &mut Connection) -> Progress {
        let kind = self.options.kind;
        if connection.sent == connection.output.len() {
            let is_next_due = match kind {
                FloodKind::LargeQueries => connection.answers == connection.requests,
                FloodKind::UnreadValues => now() >= connection.next_piece_at,
                _ => !self.options.fresh && !kind.is_slow(),
            };
            if !is_next_due {
                return Progress::None;
            }
            connection.requests += 1;
            connection.next_piece_at = now() + SLOW_PAUSE;
            connection.output = self.requests();
            connection.sent = 0;
        }
        let mut rest = &connection.output[connection.sent..];
        if kind.is_slow() && kind != FloodKind::HalfRequests {
            if now() < connection.next_piece_at {
                return Progress::None;
            }
            rest = &rest[..rest.len().min(SLOW_PIECE_BYTES)];
            connection.next_piece_at = now() + SLOW_PAUSE;
        }
        match connection.stream.write(rest) {
            Ok(count) => {
                connection.sent += count;
                // A client that stops in the middle of a request is owed an answer from then on.
                if kind.is_slow() {
                    connection.connected_at = now();
                }
                self.totals.sent_bytes += count as u64;
                Progress::Some
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Progress::None,
            Err(_) => Progress::Closed,
        }
    }

    fn read(&mut self, connection: &mut Connection) -> Progress {
        if !self.options.kind.reads() {
            return Progress::None;
        }
        match connection.stream.read(&mut self.buffer) {
            Ok(0) => Progress::Closed,
            Ok(count) => {
                self.totals.received_bytes += count as u64;
                connection.answers += u64::from(is_end_of_answer(&self.buffer[..count]));
                if !std::mem::replace(&mut connection.is_answered, true) {
                    self.record_wait(connection.connected_at);
                }
                if self.options.fresh { Progress::Closed } else { Progress::Some }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Progress::None,
            Err(_) => Progress::Closed,
        }
    }
}

/// Returns whether bytes end like an answer to a large query: with the end of its JSON, or the line of an error.
fn is_end_of_answer(bytes: &[u8]) -> bool {
    bytes.ends_with(b"}") || bytes.ends_with(b"\n")
}
