//! A discovery server over HTTP/1.1, which serves the full endpoint list and sends each change to watches at once.

mod connection;

use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

/// A discovery server; clones share its state.
#[derive(Clone)]
pub struct Discovery {
    /// The address on which the server listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// The state that the handles and the connections of a server share.
#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    /// Notified of each change of `state`.
    changed: Condvar,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// The entries of the endpoint list by id.
    members: BTreeMap<String, Json>,
    /// The updates since the list was last replaced, in order.
    updates: Vec<Update>,
    /// Whether the server is down: requests fail and watches end.
    is_down: bool,
    /// The number of further requests that fail although the server is not down.
    failures_left: u64,
    /// How the bodies of watches are written.
    pace: WatchPace,
    /// Whether messages of watches are written on several indented lines.
    is_indented: bool,
    /// Whether the next change ends the open watches instead of being sent on them.
    ends_watches: bool,
    /// The number of times that all open watches were ended.
    watch_generation: u64,
    /// The number of requests received, including those that failed.
    requests: u64,
    /// The number of updates written to watches.
    updates_sent: u64,
}

/// How the body of a watch is written.
#[derive(Clone, Copy, Debug, Default)]
pub enum WatchPace {
    /// Each message at once.
    #[default]
    Immediate,
    /// Each message in pieces of this many bytes, with a pause after each piece.
    Pieces(usize, Duration),
}

/// The entries of the endpoint list that changed at a revision.
#[derive(Clone)]
struct Update {
    revision: u64,
    members: Vec<Json>,
}

/// Returns an entry of the endpoint list as JSON.
pub fn member(
    id: &str, address: &str, zone: &str, replica_set: usize, phase: &str, up_since_ms: i64,
) -> Json {
    json!({"id": id, "host_port": address, "locality": zone, "cell": replica_set, "phase": phase, "size": 1.0,
        "up_since_ms": up_since_ms})
}

fn id_of(member: &Json) -> String {
    member["id"].as_str().expect("an id").to_string()
}

fn by_id(members: Vec<Json>) -> BTreeMap<String, Json> {
    members.into_iter().map(|member| (id_of(&member), member)).collect()
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }

    fn modify(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
        self.changed.notify_all();
    }
}

impl Discovery {
    /// Starts a server with an endpoint list at a revision.
    pub fn start(revision: u64, members: Vec<Json>) -> Discovery {
        let state = State { revision, members: by_id(members), ..State::default() };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let served = shared.clone();
        let address = crate::listen(move |stream| {
            // An error means that the client closed its connection, which it may do at any time.
            let _ = connection::serve(stream, &served);
        });
        Discovery { address, shared }
    }

    /// Publishes changed entries in one incremental update; an entry whose phase is `gone` is removed from the list.
    pub fn publish(&self, changed: Vec<Json>) {
        self.shared.modify(|state| {
            state.revision += 1;
            for member in &changed {
                let id = id_of(member);
                if member["phase"] == "gone" {
                    state.members.remove(&id);
                } else {
                    state.members.insert(id, member.clone());
                }
            }
            state.updates.push(Update { revision: state.revision, members: changed });
            if std::mem::take(&mut state.ends_watches) {
                state.watch_generation += 1;
            }
        });
    }

    /// Replaces the endpoint list. Existing watches are not notified; a new watch receives the new list.
    pub fn replace(&self, members: Vec<Json>) {
        self.shared.modify(|state| {
            state.revision += 1;
            state.members = by_id(members);
            state.updates.clear();
        });
    }

    /// Sets whether the server is down, in which case it responds to requests with status 503 and ends watches.
    pub fn set_down(&self, is_down: bool) {
        self.shared.modify(|state| state.is_down = is_down);
    }

    /// Lets the next `count` requests fail with status 503.
    pub fn fail_next(&self, count: u64) {
        self.shared.modify(|state| state.failures_left = count);
    }

    /// Sets how the messages of watches are written from now on.
    pub fn set_pace(&self, pace: WatchPace) {
        self.shared.modify(|state| state.pace = pace);
    }

    /// Sets whether messages of watches are written on several indented lines.
    pub fn set_indented(&self, is_indented: bool) {
        self.shared.modify(|state| state.is_indented = is_indented);
    }

    /// Lets the open watches end at the next change instead of receiving it.
    pub fn end_watches_at_next_change(&self) {
        self.shared.modify(|state| state.ends_watches = true);
    }

    /// Returns the number of updates written to watches.
    pub fn updates_sent(&self) -> u64 {
        self.shared.lock().updates_sent
    }

    /// Waits until at least `count` updates were written to watches.
    pub fn wait_for_updates_sent(&self, count: u64) {
        let too_few = |state: &mut State| state.updates_sent < count;
        drop(self.shared.changed.wait_while(self.shared.lock(), too_few).expect("the lock is not poisoned"));
    }

    /// Returns the number of requests received, including those that failed.
    pub fn requests(&self) -> u64 {
        self.shared.lock().requests
    }
}
