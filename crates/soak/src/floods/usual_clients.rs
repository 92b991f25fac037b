//! Usual clients beside a flood: each sends one query after another and waits for its answer as long as its time allows.

use super::kind::timed_query;
use super::report::{Outcome, ServedQuery};
use crate::clock::{MILLISECOND, Micros, now, sleep_ms};
use fastrand::Rng;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The classes and the times that clients wait for an answer, in milliseconds.
const REQUESTS: [(&str, u32); 6] =
    [("lookup", 183), ("report", 304), ("credit", 183), ("lookup", 288), ("report", 480), ("credit", 288)];
/// How long after its time a client still looks for an answer.
const LATE_ANSWER_LIMIT_MS: u64 = 1010;
/// The mean pause between two queries of a client.
const PAUSE_MS: u64 = 30;
/// One query in this many comes on a new connection.
const NEW_CONNECTION_EVERY: u32 = 4;
/// The number of shards of the configuration.
const SHARDS: u64 = 8;

/// Sends queries until the time `end`. Returns what became of each.
pub fn run(address: SocketAddr, name: &str, seed: u64, end: Micros) -> Vec<ServedQuery> {
    let mut rng = Rng::with_seed(seed);
    let mut connection: Option<TcpStream> = None;
    let mut served = Vec::new();
    while now() < end {
        if rng.u32(0..NEW_CONNECTION_EVERY) == 0 {
            connection = None;
        }
        let (class, wait_ms) = REQUESTS[rng.usize(..REQUESTS.len())];
        let id = format!("u{name}-{seed}-{}", served.len());
        let request = timed_query(class, &id, "X-Customer: main\r\n", rng.u64(..SHARDS), wait_ms);
        served.push(send(address, &mut connection, &request, class, wait_ms));
        sleep_ms(rng.u64(PAUSE_MS / 2..PAUSE_MS * 3 / 2));
    }
    served
}

/// Sends a query and waits for the answer. Keeps the connection if it can be used again.
fn send(
    address: SocketAddr, connection: &mut Option<TcpStream>, request: &[u8], class: &'static str,
    wait_ms: u32,
) -> ServedQuery {
    let wait = wait_ms as Micros * MILLISECOND;
    let is_reused = connection.is_some();
    let (mut outcome, mut sent_at) = exchange(address, connection, request, wait_ms);
    // A router may close a connection between requests; the client then sends the request once more.
    if is_reused && outcome == Outcome::Closed {
        (outcome, sent_at) = exchange(address, connection, request, wait_ms);
    }
    ServedQuery { class, outcome, late: now() - sent_at - wait }
}

/// Sends a query and waits for the answer. Returns what came, and the time at which the request was written: an answer is
/// due from then on.
fn exchange(
    address: SocketAddr, connection: &mut Option<TcpStream>, request: &[u8], wait_ms: u32,
) -> (Outcome, Micros) {
    let limit = Duration::from_millis(u64::from(wait_ms) + LATE_ANSWER_LIMIT_MS);
    let stream = match connection.take() {
        Some(stream) => Ok(stream),
        None => TcpStream::connect_timeout(&address, limit),
    };
    let Ok(mut stream) = stream else { return (Outcome::NotConnected, now()) };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    if stream.write_all(request).is_err() {
        return (Outcome::Closed, now());
    }
    let sent_at = now();
    let (outcome, stays_open) = read_answer(&mut stream);
    if stays_open {
        *connection = Some(stream);
    }
    (outcome, sent_at)
}

/// Reads an answer. Returns what it is, and whether the connection stays open.
fn read_answer(stream: &mut TcpStream) -> (Outcome, bool) {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return (Outcome::Closed, false),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return (Outcome::Unanswered, false);
            }
            Err(_) => return (Outcome::Closed, false),
        }
        let text = String::from_utf8_lossy(&bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.trim().parse().ok());
        if body.len() < length.unwrap_or(0) {
            continue;
        }
        let stays_open = !head.contains("Connection: close");
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        let outcome = match status {
            Some(200) => Outcome::Served,
            Some(429 | 503) => Outcome::Refused,
            _ => Outcome::Failed,
        };
        return (outcome, stays_open);
    }
}
