//! Discovery over HTTP/1.1: the whole list, and watches that are told of each change at once.

use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// How often a watch says an empty line while nothing changes.
const EMPTY_LINES: Duration = Duration::from_secs(2);

#[derive(Default)]
struct State {
    revision: u64,
    members: BTreeMap<String, Json>,
    /// What changed, by revision; the changes of one revision are told in one line.
    changes: Vec<(u64, Vec<Json>)>,
    /// Calls fail and watches end for as long as it is down.
    down: bool,
    calls: u64,
    /// How many objects were written to watches.
    told: u64,
}

#[derive(Clone)]
pub struct Discovery {
    pub at: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// An entry of the list.
pub fn member(id: &str, at: &str, zone: &str, cell: usize, phase: &str, up_since_ms: i64) -> Json {
    json!({"id": id, "host_port": at, "locality": zone, "cell": cell, "phase": phase, "size": 1.0,
        "up_since_ms": up_since_ms})
}

impl Discovery {
    /// Begins at a revision with a list.
    pub fn start(revision: u64, members: Vec<Json>) -> Discovery {
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        shared.0.lock().expect("a lock").revision = revision;
        let serving = shared.clone();
        let at = crate::listen(move |stream| {
            let _ = serve(stream, &serving);
        });
        let discovery = Discovery { at, shared };
        discovery.edit(|state| state.members = by_id(members));
        discovery
    }

    fn edit<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let done = change(&mut self.shared.0.lock().expect("a lock"));
        self.shared.1.notify_all();
        done
    }

    /// Tells changes in one line; an entry whose phase is `gone` leaves the list.
    pub fn tell(&self, changed: Vec<Json>) {
        self.edit(|state| {
            state.revision += 1;
            for entry in &changed {
                let id = entry["id"].as_str().expect("an id").to_string();
                match entry["phase"].as_str() {
                    Some("gone") => drop(state.members.remove(&id)),
                    _ => drop(state.members.insert(id, entry.clone())),
                }
            }
            let revision = state.revision;
            state.changes.push((revision, changed));
        });
    }

    /// Puts another list in place of the present one; watches learn of it when they begin anew.
    pub fn replace(&self, members: Vec<Json>) {
        self.edit(|state| {
            state.revision += 1;
            state.members = by_id(members);
            state.changes.clear();
        });
    }

    /// While it is down calls are answered 503 and watches end.
    pub fn set_down(&self, down: bool) {
        self.edit(|state| state.down = down);
    }

    /// How many objects were written to watches.
    pub fn told(&self) -> u64 {
        self.edit(|state| state.told)
    }

    /// Waits until so many objects were written.
    pub fn wait_told(&self, count: u64) {
        let state = self.shared.0.lock().expect("a lock");
        drop(self.shared.1.wait_while(state, |state| state.told < count).expect("a lock"));
    }

    /// How many calls were taken, those that failed included.
    pub fn calls(&self) -> u64 {
        self.edit(|state| state.calls)
    }
}

fn by_id(members: Vec<Json>) -> BTreeMap<String, Json> {
    let id = |entry: &Json| entry["id"].as_str().expect("an id").to_string();
    members.into_iter().map(|entry| (id(&entry), entry)).collect()
}

fn serve(stream: TcpStream, (state, changed): &(Mutex<State>, Condvar)) -> std::io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    let request = lines.next().unwrap_or(Ok(String::new()))?;
    let mut to = stream;
    let mut held = state.lock().expect("a lock");
    held.calls += 1;
    if held.down {
        return write!(to, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }
    let whole = |state: &State| {
        let members: Vec<&Json> = state.members.values().collect();
        json!({"revision": state.revision, "complete": true, "members": members}).to_string() + "\n"
    };
    let Some(after) = request.split("after=").nth(1).and_then(|rest| rest.split(' ').next()) else {
        let body = whole(&held);
        return write!(
            to,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
    };
    write!(to, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    // What changed since, where that is still known; else the whole list.
    let mut told = after.parse::<u64>().unwrap_or(0);
    let oldest = held.changes.first().map_or(held.revision, |change| change.0 - 1);
    if told < oldest || told == 0 {
        let line = whole(&held);
        told = held.revision;
        write!(to, "{:x}\r\n{line}\r\n", line.len())?;
    }
    loop {
        let news: Vec<_> = held.changes.iter().filter(|change| change.0 > told).cloned().collect();
        let (quiet, down) = (news.is_empty(), held.down);
        drop(held);
        if down {
            return Ok(());
        }
        for (revision, members) in news {
            told = revision;
            let line =
                json!({"revision": revision, "complete": false, "members": members}).to_string() + "\n";
            write!(to, "{:x}\r\n{line}\r\n", line.len())?;
            state.lock().expect("a lock").told += 1;
            changed.notify_all();
        }
        held = state.lock().expect("a lock");
        if quiet && held.changes.last().is_none_or(|change| change.0 <= told) && !held.down {
            let (woken, waited) = changed.wait_timeout(held, EMPTY_LINES).expect("a lock");
            held = woken;
            if waited.timed_out() {
                write!(to, "1\r\n\n\r\n")?;
            }
        }
    }
}
