//! Discovery over HTTP/1.1: the full endpoint list, and watches that get each change at once.

mod connection;

use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

/// A discovery server; clones share its state.
#[derive(Clone)]
pub struct Discovery {
    /// Where it listens.
    pub at: SocketAddr,
    shared: Arc<Shared>,
}

/// What the handle and the connections share.
#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    /// Notified of each change of the state.
    changed: Condvar,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// The endpoint list by id.
    members: BTreeMap<String, Json>,
    /// The updates since the list was last replaced, in order.
    updates: Vec<Update>,
    /// Requests fail and watches end for as long as it is down.
    is_down: bool,
    requests: u64,
    /// How many updates were written to watches.
    updates_sent: u64,
}

/// The entries that changed at a revision.
#[derive(Clone)]
struct Update {
    revision: u64,
    members: Vec<Json>,
}

/// An entry of the endpoint list.
pub fn member(id: &str, at: &str, zone: &str, replica_set: usize, phase: &str, up_since_ms: i64) -> Json {
    json!({"id": id, "host_port": at, "locality": zone, "cell": replica_set, "phase": phase, "size": 1.0,
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
        self.state.lock().expect("a lock")
    }

    fn edit(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
        self.changed.notify_all();
    }
}

impl Discovery {
    /// Starts at a revision with an endpoint list.
    pub fn start(revision: u64, members: Vec<Json>) -> Discovery {
        let state = State { revision, members: by_id(members), ..State::default() };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let served = shared.clone();
        let at = crate::listen(move |stream| {
            // A client may close its connection at any time.
            let _ = connection::serve(stream, &served);
        });
        Discovery { at, shared }
    }

    /// Publishes changed entries in one update; an entry whose phase is `gone` is removed from the list.
    pub fn publish(&self, changed: Vec<Json>) {
        self.shared.edit(|state| {
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
        });
    }

    /// Replaces the endpoint list; watches learn of it when they begin anew.
    pub fn replace(&self, members: Vec<Json>) {
        self.shared.edit(|state| {
            state.revision += 1;
            state.members = by_id(members);
            state.updates.clear();
        });
    }

    /// While it is down requests are answered with 503 and watches end.
    pub fn set_down(&self, is_down: bool) {
        self.shared.edit(|state| state.is_down = is_down);
    }

    /// How many updates were written to watches.
    pub fn updates_sent(&self) -> u64 {
        self.shared.lock().updates_sent
    }

    /// Waits until so many updates were written to watches.
    pub fn wait_for_updates_sent(&self, count: u64) {
        let too_few = |state: &mut State| state.updates_sent < count;
        drop(self.shared.changed.wait_while(self.shared.lock(), too_few).expect("a lock"));
    }

    /// How many requests were accepted, including those that failed.
    pub fn requests(&self) -> u64 {
        self.shared.lock().requests
    }
}
