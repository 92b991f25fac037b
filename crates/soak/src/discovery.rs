//! Discovery in the run's own process. Each router has an address of its own, so what each was told is known.

use crate::clock::{Micros, now, sleep_ms};
use crate::node::reset;
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};

/// How often a watch gets an empty line while nothing changes.
const HEARTBEAT_MS: u64 = 2000;
/// How often a watch looks for changes.
const WATCH_STEP_MS: u64 = 10;

/// How discovery treats its callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// As it should.
    #[default]
    Well,
    /// Watches end, calls get 503.
    Down,
    /// Watches stay open and send nothing; calls are not answered.
    Silent,
    /// Watches are reset once, calls get a late answer.
    Slow,
}

#[derive(Default)]
struct State {
    mood: Mood,
    /// Since when the mood is good; `None` while it is not.
    well_since: Option<Micros>,
    revision: u64,
    members: BTreeMap<usize, Json>,
    /// The revisions and what changed with them.
    changes: Vec<(u64, usize, Json)>,
    /// When each router was told each revision at the latest.
    told: BTreeMap<(usize, u64), Micros>,
    /// The number of resets of watches that were ordered.
    resets: u64,
}

/// The discovery server.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<Mutex<State>>,
}

impl Discovery {
    /// A discovery that names no nodes.
    pub fn new() -> Discovery {
        let state = State { well_since: Some(now()), revision: 1, ..State::default() };
        Discovery { state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a lock")
    }

    /// Listens for one router.
    pub fn listen_for(&self, router: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let discovery = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = discovery.clone();
                std::thread::spawn(move || {
                    let _ = discovery.serve(stream, router);
                });
            }
        });
        address
    }

    /// Publishes the entry of a node. Returns its revision.
    pub fn publish(&self, node: usize, entry: Json) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        if entry["phase"] == "gone" {
            state.members.remove(&node);
        } else {
            state.members.insert(node, entry.clone());
        }
        state.changes.push((revision, node, entry));
        revision
    }

    /// Changes how callers are treated.
    pub fn set_mood(&self, mood: Mood) {
        let mut state = self.lock();
        state.mood = mood;
        state.well_since = (mood == Mood::Well).then(now);
    }

    /// Resets all watches.
    pub fn reset_watches(&self) {
        self.lock().resets += 1;
    }

    /// The whole list.
    pub fn list(&self) -> Json {
        full_list(&self.lock())
    }

    /// When a router was told a revision, or a later one.
    pub fn told_at(&self, router: usize, revision: u64) -> Option<Micros> {
        let state = self.lock();
        let told = state.told.range((router, revision)..(router, u64::MAX));
        told.map(|(_, at)| *at).min()
    }

    fn note_told(&self, router: usize, revision: u64) {
        self.lock().told.entry((router, revision)).or_insert_with(now);
    }

    /// Reads one request and answers it.
    fn serve(&self, mut stream: TcpStream, router: usize) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut line = String::new();
        BufReader::new(stream.try_clone()?).read_line(&mut line)?;
        let mood = self.lock().mood;
        match mood {
            Mood::Down => {
                return write!(stream, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            }
            Mood::Silent => {
                while self.lock().mood == Mood::Silent {
                    sleep_ms(WATCH_STEP_MS);
                }
                return Ok(());
            }
            Mood::Slow => sleep_ms(700),
            Mood::Well => {}
        }
        if line.contains("watch=1") {
            let after = line.split("after=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
            return self.watch(stream, router, after.unwrap_or(0));
        }
        let (list, revision) = {
            let state = self.lock();
            (full_list(&state).to_string(), state.revision)
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", list.len());
        stream.write_all((head + &list).as_bytes())?;
        self.note_told(router, revision);
        Ok(())
    }

    fn watch(&self, mut stream: TcpStream, router: usize, mut revision: u64) -> std::io::Result<()> {
        write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let resets = self.lock().resets;
        let mut is_first = true;
        let mut idle_ms = 0;
        loop {
            let (mood, is_reset, newest, message) = {
                let state = self.lock();
                let message = next_message(&state, revision, is_first);
                (state.mood, state.resets != resets, state.revision, message)
            };
            match mood {
                _ if is_reset => {
                    reset(&stream);
                    return Ok(());
                }
                Mood::Down => return Ok(()),
                Mood::Silent => {
                    // It never recovers: the router has to open another.
                    sleep_ms(20_000);
                    return Ok(());
                }
                Mood::Slow | Mood::Well => {}
            }
            if let Some(message) = message {
                write_chunk(&mut stream, &message)?;
                self.note_told(router, newest);
                (revision, is_first, idle_ms) = (newest, false, 0);
            } else if idle_ms >= HEARTBEAT_MS {
                write_chunk(&mut stream, "\n")?;
                idle_ms = 0;
            }
            sleep_ms(WATCH_STEP_MS);
            idle_ms += WATCH_STEP_MS;
        }
    }
}

/// The next object of a watch: the whole list first, then what changed after `revision`.
fn next_message(state: &State, revision: u64, is_first: bool) -> Option<String> {
    if is_first && revision.is_multiple_of(2) {
        return Some(full_list(state).to_string() + "\n");
    }
    let changed: Vec<&Json> =
        state.changes.iter().filter(|(at, _, _)| *at > revision).map(|(_, _, entry)| entry).collect();
    if changed.is_empty() && !is_first {
        return None;
    }
    Some(json!({"revision": state.revision, "complete": false, "members": changed}).to_string() + "\n")
}

fn full_list(state: &State) -> Json {
    let members: Vec<&Json> = state.members.values().collect();
    json!({"revision": state.revision, "complete": true, "members": members})
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
