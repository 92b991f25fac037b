//! What is in hand of each retrieval, and the answers to clients.

use crate::counters::debug_invariant;
use crate::io::{ConnectionId, Node, Piece};
use crate::reducer::Desk;
use balancer::{Completion, Micros};
use serde_json::{Value as Json, json};
use slab::Slab;
use std::collections::HashSet;
use std::rc::Rc;

#[derive(Debug)]
pub struct Retrieval {
    id: Rc<str>,
    /// Where the answer goes, until it was given or the client left.
    client: Option<ConnectionId>,
    pub until: Micros,
    pub text: Piece,
    pub parts: Vec<usize>,
}

impl Retrieval {
    pub fn ended(&self) -> bool {
        self.client.is_none()
    }
}

#[derive(Debug)]
pub struct Part {
    /// Its id on the sockets.
    pub id: Rc<str>,
    pub retrieval: usize,
    pub shard: usize,
    /// What a data node gave for it.
    pub value: Option<String>,
    pub shots: Vec<Shot>,
}

#[derive(Debug)]
pub struct Shot {
    pub node: Node,
    pub at: Micros,
    /// When the router stops waiting for it.
    pub until: Micros,
    /// The connection that it waits for or went out on.
    pub link: Option<ConnectionId>,
    pub over: bool,
}

#[derive(Default)]
pub struct Gather {
    pub retrievals: Slab<Retrieval>,
    pub parts: Slab<Part>,
    ids: HashSet<Rc<str>>,
    /// Retrievals without a final answer and their parts.
    pub open: usize,
}

impl Gather {
    pub fn holds(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    pub fn open(&mut self, id: &str, client: ConnectionId, until: Micros, text: String) -> usize {
        let (id, text): (Rc<str>, Piece) = (id.into(), text.into_bytes().into());
        let client = Some(client);
        self.ids.insert(id.clone());
        self.open += 1;
        self.retrievals.insert(Retrieval { id, client, until, text, parts: Vec::new() })
    }

    pub fn add(&mut self, retrieval: usize, shard: usize) -> usize {
        let held = &mut self.retrievals[retrieval];
        let id = format!("{}.{shard}", held.id).into();
        let part = self.parts.insert(Part { id, retrieval, shard, value: None, shots: Vec::new() });
        held.parts.push(part);
        self.open += 1;
        part
    }

    /// The retrieval is answered or its client has left; the client, if it was waiting until now.
    pub fn leave(&mut self, retrieval: usize) -> Option<ConnectionId> {
        let held = self.retrievals.get_mut(retrieval)?;
        let client = held.client.take()?;
        self.open -= 1 + held.parts.len();
        Some(client)
    }

    /// The answer's body and how many parts are in: their values as data nodes gave them.
    fn body(&self, retrieval: usize, whole: bool) -> (Vec<u8>, usize) {
        let parts = self.retrievals[retrieval].parts.iter().map(|&part| &self.parts[part]);
        let matches: Vec<Json> = parts
            .filter_map(|p| p.value.as_ref().map(|v| json!({"segment": p.shard, "payload": v})))
            .collect();
        let count = matches.len();
        (json!({"all_in": whole, "matches": matches}).to_string().into_bytes(), count)
    }
}

impl Desk {
    /// Writes a retrieval's final answer.
    pub fn answer(&mut self, conn: ConnectionId, retrieval: usize, end: Completion) {
        let count = match end {
            Completion::Complete => &mut self.counters.queries_complete,
            Completion::Partial => &mut self.counters.queries_partial,
            Completion::Rejected { .. } => &mut self.counters.queries_rejected,
            Completion::Failed => &mut self.counters.queries_failed,
        };
        *count += 1;
        match end {
            Completion::Complete | Completion::Partial => {
                let (body, values) = self.gather.body(retrieval, end == Completion::Complete);
                debug_invariant!(self.counters, values > 0, "an answer has a value");
                self.reply(conn, 200, "application/json", body, None);
            }
            Completion::Rejected { retry_after } => {
                self.reply(conn, 503, "text/plain", b"deferred\n".to_vec(), retry_after);
            }
            Completion::Failed => self.reply(conn, 502, "text/plain", b"given up\n".to_vec(), None),
        }
    }

    /// All is over for a retrieval: its indices are free again.
    pub fn drop_retrieval(&mut self, retrieval: usize) {
        let Some(held) = self.gather.retrievals.try_remove(retrieval) else { return };
        self.gather.ids.remove(&held.id);
        for part in held.parts {
            self.gather.parts.remove(part);
        }
    }
}
