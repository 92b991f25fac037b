//! What the processes of a run report. Data nodes and clients print one record a line on standard output.

use crate::clock::Micros;
use serde::{Deserialize, Serialize};
use std::io::Write;

/// An event of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Record {
    /// A data node or a client is ready; a node states where it listens.
    Ready { address: String },
    /// A data node got a shard request.
    Received { at: Micros, node: usize, id: String, wait_ms: i64, is_executed: bool },
    /// A client has written the last byte of a request, `behind` another that is not answered yet.
    Asked {
        at: Micros,
        router: usize,
        id: String,
        class: String,
        expires_ms: i64,
        shards: Vec<usize>,
        behind: Option<String>,
    },
    /// A client has read a whole answer.
    Answered { at: Micros, id: String, status: u16, body: String },
    /// A connection ended before the answer to a request.
    Lost { at: Micros, id: String, is_new_connection: bool, is_timeout: bool },
    /// A client saw its connection closed before the answer, and sends the request once more.
    ClosedUnanswered { at: Micros, router: usize, id: String },
    /// A client closed its connection before the answer.
    Left { at: Micros, id: String },
    /// A client that stopped in the middle of a request was answered or closed after this time, or gave up.
    BadClientEnded { at: Micros, router: usize, after: Micros, is_ended_by_router: bool },
    /// Something came on a connection after the final answer.
    SentAfterAnswer { at: Micros, id: String },
    /// A process of the run, a data node or another one, did not get to run in this time.
    Stalled { node: Option<usize>, from: Micros, until: Micros },
}

impl Record {
    /// The id of the query or shard request that it is about.
    pub fn id(&self) -> Option<&str> {
        match self {
            Record::Ready { .. } | Record::BadClientEnded { .. } | Record::Stalled { .. } => None,
            Record::Received { id, .. }
            | Record::Asked { id, .. }
            | Record::Answered { id, .. }
            | Record::Lost { id, .. }
            | Record::ClosedUnanswered { id, .. }
            | Record::Left { id, .. }
            | Record::SentAfterAnswer { id, .. } => Some(id),
        }
    }

    /// Prints the record.
    pub fn print(&self) {
        let line = serde_json::to_string(self).expect("a record is JSON");
        let _ = writeln!(std::io::stdout().lock(), "{line}");
    }
}
