//! A connection to the discovery server, which serves one request.

use super::{Shared, State, Update, WatchPace};
use serde_json::{Value as Json, json};
use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The interval at which a watch receives a blank line while the endpoint list does not change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Reads one request and responds to it.
pub(super) fn serve(mut stream: TcpStream, shared: &Shared) -> io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    let request = lines.next().unwrap_or(Ok(String::new()))?;
    let mut state = shared.lock();
    state.requests += 1;
    let fails = state.failures_left > 0;
    state.failures_left = state.failures_left.saturating_sub(1);
    if state.is_down || fails {
        return write!(stream, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }
    let Some(revision) = watched_revision(&request) else {
        let body = full_list(&state);
        let length = body.len();
        return write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
        );
    };
    let generation = state.watch_generation;
    drop(state);
    Watch { stream, shared, revision, generation }.run()
}

/// Returns the revision after which a watch requests updates; `None` for a poll, which requests the full list. A
/// revision that cannot be parsed counts as 0.
fn watched_revision(request: &str) -> Option<u64> {
    let after = request.split("after=").nth(1)?.split(' ').next()?;
    Some(after.parse().unwrap_or(0))
}

fn full_list(state: &State) -> String {
    let members: Vec<&Json> = state.members.values().collect();
    message(state.revision, true, json!(members))
}

/// Formats a message of a watch, with the fields in the order of the protocol.
fn message(revision: u64, complete: bool, members: Json) -> String {
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":{members}}}\n")
}

/// Returns the text with each member, and each field of it, on a line of its own.
fn indented(text: &str) -> String {
    text.replace("[{", "[\n  {\n    ").replace("},{", "},\n  {\n    ").replace(",\"", ",\n    \"")
}

/// A watch, which receives each update as one line in its own chunk.
struct Watch<'a> {
    stream: TcpStream,
    shared: &'a Shared,
    /// The latest revision that the client has; 0 if it has no list.
    revision: u64,
    /// The generation of watches that this one belongs to; it ends with the generation.
    generation: u64,
}

impl Watch<'_> {
    fn run(mut self) -> io::Result<()> {
        write!(self.stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        self.send_list_if_updates_are_missing()?;
        loop {
            let Some(updates) = self.next_updates() else { return Ok(()) };
            if updates.is_empty() {
                self.write_chunk("\n")?;
            }
            for update in updates {
                self.send_update(&update)?;
            }
        }
    }

    /// Sends the full list to a client that has no list, or whose list is too old for the available updates.
    fn send_list_if_updates_are_missing(&mut self) -> io::Result<()> {
        let state = self.shared.lock();
        let oldest = state.updates.first().map_or(state.revision, |update| update.revision - 1);
        if self.revision >= oldest && self.revision != 0 {
            return Ok(());
        }
        let (line, revision) = (full_list(&state), state.revision);
        drop(state);
        self.revision = revision;
        self.write_chunk(&line)
    }

    /// Waits for updates that the client does not have. Returns an empty list if there is none within
    /// [`HEARTBEAT_INTERVAL`], and `None` once the watch ends.
    fn next_updates(&self) -> Option<Vec<Update>> {
        let has_ended = |state: &State| state.is_down || state.watch_generation != self.generation;
        let is_idle = |state: &mut State| {
            !has_ended(state) && state.updates.last().is_none_or(|update| update.revision <= self.revision)
        };
        let (state, _) = self
            .shared
            .changed
            .wait_timeout_while(self.shared.lock(), HEARTBEAT_INTERVAL, is_idle)
            .expect("the lock is not poisoned");
        if has_ended(&state) {
            return None;
        }
        Some(state.updates.iter().filter(|update| update.revision > self.revision).cloned().collect())
    }

    fn send_update(&mut self, update: &Update) -> io::Result<()> {
        let Update { revision, members } = update;
        self.write_chunk(&message(*revision, false, json!(members)))?;
        self.revision = *revision;
        self.shared.modify(|state| state.updates_sent += 1);
        Ok(())
    }

    fn write_chunk(&mut self, text: &str) -> io::Result<()> {
        let (pace, is_indented) = {
            let state = self.shared.lock();
            (state.pace, state.is_indented)
        };
        let text = if is_indented { &indented(text) } else { text };
        let WatchPace::Pieces(length, pause) = pace else {
            return write!(self.stream, "{:x}\r\n{text}\r\n", text.len());
        };
        for piece in text.as_bytes().chunks(length) {
            let size = piece.len();
            self.stream.write_all(&[format!("{size:x}\r\n").as_bytes(), piece, b"\r\n"].concat())?;
            std::thread::sleep(pause);
        }
        Ok(())
    }
}
