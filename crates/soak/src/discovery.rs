//! The discovery server, which runs in the process of the test. It listens at separate addresses for each router and so
//! can record which revisions it sent to which router.

use crate::clock::{Micros, now, sleep_ms};
use crate::node::reset;
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};

/// Interval of the blank lines that discovery sends on a watch while nothing changes.
const HEARTBEAT_INTERVAL_MS: u64 = 2000;
/// Interval at which a watch checks for changes.
const WATCH_STEP_MS: u64 = 10;

/// Number of bytes of a watch's message that discovery sends at a time while it is [`DiscoveryMode::Trickling`].
const TRICKLE_BYTES: usize = 60;
/// How long a request waits before it fails while discovery is [`DiscoveryMode::Overloaded`].
const OVERLOADED_WAIT_MS: u64 = 1000;
/// Pause after each of these pieces.
const TRICKLE_PAUSE_MS: u64 = 300;

/// How discovery responds to routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery works normally.
    #[default]
    Normal,
    /// Watches are closed, and new requests get status 503.
    Down,
    /// Watches stay open without data, and requests get no response.
    Silent,
    /// New requests get a late response; open watches go on as normal.
    Slow,
    /// Every other request gets status 503; open watches go on as normal.
    Crowded,
    /// Every new request waits and then gets status 503; open watches go on as normal.
    Overloaded,
    /// Messages of watches arrive in small pieces.
    Trickling,
}

impl DiscoveryMode {
    /// Returns whether routers can reach discovery, so that its changes count as delivered after a while.
    pub fn is_reachable(self) -> bool {
        match self {
            DiscoveryMode::Normal
            | DiscoveryMode::Slow
            | DiscoveryMode::Crowded
            | DiscoveryMode::Trickling => true,
            DiscoveryMode::Down | DiscoveryMode::Silent | DiscoveryMode::Overloaded => false,
        }
    }

    /// Returns whether the platform's agent learns of changes, which then count as delivered to a router that starts.
    pub fn agent_learns(self) -> bool {
        self != DiscoveryMode::Down
    }
}

#[derive(Default)]
struct State {
    mode: DiscoveryMode,
    /// Number of requests received.
    requests: u64,
    /// Time since which discovery works normally; `None` while it does not.
    available_since: Option<Micros>,
    revision: u64,
    members: BTreeMap<usize, Json>,
    /// Each change with its revision and node.
    changes: Vec<(u64, usize, Json)>,
    /// Time at which discovery first sent a revision to a router, by router and revision.
    sent: BTreeMap<(usize, u64), Micros>,
    /// Number of calls of [`Discovery::reset_watches`]; a watch resets its connection after each change of it.
    resets: u64,
}

/// The discovery server. Clones share its state.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<Mutex<State>>,
}

impl Discovery {
    /// Returns a server whose endpoint list is empty.
    pub fn new() -> Discovery {
        let state = State { available_since: Some(now()), revision: 1, ..State::default() };
        Discovery { state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the mutex is not poisoned")
    }

    /// Opens a new address for one router and serves it on separate threads.
    pub fn listen_for(&self, router: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port on loopback");
        let address = listener.local_addr().expect("the address is valid");
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

    /// Publishes the entry of a node, or removes it if its phase is `gone`. Returns the revision of the change.
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

    /// Changes how discovery responds.
    pub fn set_mode(&self, mode: DiscoveryMode) {
        let mut state = self.lock();
        state.mode = mode;
        state.available_since = (mode == DiscoveryMode::Normal).then(now);
    }

    /// Resets the connections of all watches.
    pub fn reset_watches(&self) {
        self.lock().resets += 1;
    }

    /// Returns the full endpoint list.
    pub fn list(&self) -> Json {
        full_list(&self.lock())
    }

    /// Returns the full endpoint list as it was sent last to a router; the current one if none was sent.
    pub fn list_sent_to(&self, router: usize) -> Json {
        let state = self.lock();
        let sent = state.sent.range((router, 0)..=(router, u64::MAX)).next_back();
        match sent {
            Some((&(_, revision), _)) => list_at(&state, revision),
            None => full_list(&state),
        }
    }

    /// Returns when discovery first sent this or a later revision to a router, if it did.
    pub fn sent_at(&self, router: usize, revision: u64) -> Option<Micros> {
        let state = self.lock();
        let sent = state.sent.range((router, revision)..(router, u64::MAX));
        sent.map(|(_, at)| *at).min()
    }

    fn record_sent(&self, router: usize, revision: u64) {
        self.lock().sent.entry((router, revision)).or_insert_with(now);
    }

    /// Reads one request and responds to it.
    fn serve(&self, mut stream: TcpStream, router: usize) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut line = String::new();
        BufReader::new(stream.try_clone()?).read_line(&mut line)?;
        let (mode, requests) = {
            let mut state = self.lock();
            state.requests += 1;
            (state.mode, state.requests)
        };
        match mode {
            DiscoveryMode::Crowded if requests.is_multiple_of(2) => {
                return write!(
                    stream,
                    "HTTP/1.1 503 Crowded\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                );
            }
            DiscoveryMode::Down => {
                return write!(stream, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            }
            DiscoveryMode::Silent => {
                while self.lock().mode == DiscoveryMode::Silent {
                    sleep_ms(WATCH_STEP_MS);
                }
                return Ok(());
            }
            DiscoveryMode::Slow => sleep_ms(700),
            DiscoveryMode::Overloaded => {
                sleep_ms(OVERLOADED_WAIT_MS);
                if self.lock().mode == DiscoveryMode::Overloaded {
                    let response =
                        "HTTP/1.1 503 Too many callers\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                    return stream.write_all(response.as_bytes());
                }
            }
            DiscoveryMode::Normal | DiscoveryMode::Crowded | DiscoveryMode::Trickling => {}
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
        self.record_sent(router, revision);
        Ok(())
    }

    /// Writes a message of a watch, in pieces for as long as discovery is [`DiscoveryMode::Trickling`].
    fn write_message(&self, stream: &mut TcpStream, message: &str) -> std::io::Result<()> {
        let mut rest = message;
        while self.lock().mode == DiscoveryMode::Trickling && rest.len() > TRICKLE_BYTES {
            let (piece, next) = rest.split_at(TRICKLE_BYTES);
            write_chunk(stream, piece)?;
            sleep_ms(TRICKLE_PAUSE_MS);
            rest = next;
        }
        write_chunk(stream, rest)
    }

    fn watch(&self, mut stream: TcpStream, router: usize, mut revision: u64) -> std::io::Result<()> {
        write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let resets = self.lock().resets;
        let mut is_first = true;
        let mut idle_ms = 0;
        loop {
            let (mode, is_reset, newest, message) = {
                let state = self.lock();
                let message = next_message(&state, revision, is_first);
                (state.mode, state.resets != resets, state.revision, message)
            };
            match mode {
                _ if is_reset => {
                    reset(&stream);
                    return Ok(());
                }
                DiscoveryMode::Down => return Ok(()),
                DiscoveryMode::Silent => {
                    // This watch never sends again: the router has to open another.
                    sleep_ms(20_000);
                    return Ok(());
                }
                DiscoveryMode::Slow
                | DiscoveryMode::Normal
                | DiscoveryMode::Crowded
                | DiscoveryMode::Overloaded
                | DiscoveryMode::Trickling => {}
            }
            if let Some(message) = message {
                self.write_message(&mut stream, &message)?;
                self.record_sent(router, newest);
                (revision, is_first, idle_ms) = (newest, false, 0);
            } else if idle_ms >= HEARTBEAT_INTERVAL_MS {
                write_chunk(&mut stream, "\n")?;
                idle_ms = 0;
            }
            sleep_ms(WATCH_STEP_MS);
            idle_ms += WATCH_STEP_MS;
        }
    }
}

/// Returns the next message of a watch, if there is one: the changes after `revision`. The first message is the full
/// endpoint list if `revision` is even.
fn next_message(state: &State, revision: u64, is_first: bool) -> Option<String> {
    if is_first && revision.is_multiple_of(2) {
        let members: Vec<&Json> = state.members.values().collect();
        return Some(message(state.revision, true, &members));
    }
    let changed: Vec<&Json> =
        state.changes.iter().filter(|(at, _, _)| *at > revision).map(|(_, _, entry)| entry).collect();
    if changed.is_empty() && !is_first {
        return None;
    }
    Some(message(state.revision, false, &changed))
}

/// Formats a message of a watch, with the fields in the order of the protocol.
fn message(revision: u64, complete: bool, members: &[&Json]) -> String {
    let members = json!(members);
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":{members}}}\n")
}

/// Returns the full endpoint list at a revision.
fn list_at(state: &State, revision: u64) -> Json {
    let mut members: BTreeMap<usize, &Json> = BTreeMap::new();
    for (_, node, entry) in state.changes.iter().filter(|(at, _, _)| *at <= revision) {
        if entry["phase"] == "gone" {
            members.remove(node);
        } else {
            members.insert(*node, entry);
        }
    }
    let members: Vec<&Json> = members.into_values().collect();
    json!({"revision": revision, "complete": true, "members": members})
}

fn full_list(state: &State) -> Json {
    let members: Vec<&Json> = state.members.values().collect();
    json!({"revision": state.revision, "complete": true, "members": members})
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
