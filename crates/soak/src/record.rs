//! The records in which the processes of a run report events. Data nodes and clients print one per line on standard
//! output.

use crate::clock::Micros;
use crate::response::ResponseForm;
use serde::{Deserialize, Serialize};
use std::io::Write;

/// An event of a run. Times are in microseconds of the monotonic clock.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Record {
    /// A data node or a client is ready. `address` is where a node listens; a client leaves it empty.
    Ready { address: String },
    /// A data node received a shard request that states a remaining time of `wait_ms`. `is_executed` is false if the
    /// node rejects it.
    Received { at: Micros, node: usize, id: String, wait_ms: i64, is_executed: bool },
    /// A data node responds in a form other than [`ResponseForm::Valid`].
    Responded { at: Micros, node: usize, id: String, form: ResponseForm },
    /// A client has written the last byte of a request. `behind` is the pipelined request before it, which has no
    /// response yet.
    Asked {
        at: Micros,
        router: usize,
        id: String,
        class: String,
        expires_ms: i64,
        shards: Vec<usize>,
        behind: Option<String>,
    },
    /// A client has read a complete response.
    Answered { at: Micros, id: String, status: u16, body: String },
    /// A request got no response: its connection was closed, or the client's timeout expired.
    Lost { at: Micros, id: String, is_new_connection: bool, is_timeout: bool },
    /// A reused connection was closed before the response, and the client sends the request again.
    ClosedUnanswered { at: Micros, router: usize, id: String },
    /// A client closed its connection before the response.
    Left { at: Micros, id: String },
    /// A client sent part of a request only. The router responded or closed the connection within the time `after`, or
    /// the client's timeout expired then.
    BadClientEnded { at: Micros, router: usize, after: Micros, is_ended_by_router: bool },
    /// A client received bytes on a connection after the final response.
    SentAfterAnswer { at: Micros, id: String },
    /// A process of the run was not scheduled in this period, or the machine was overloaded. `node` is its index
    /// if the process is a data node.
    Stalled { node: Option<usize>, from: Micros, until: Micros },
}

impl Record {
    /// Returns the id of the query or shard request that the record refers to.
    pub fn id(&self) -> Option<&str> {
        match self {
            Record::Ready { .. } | Record::BadClientEnded { .. } | Record::Stalled { .. } => None,
            Record::Received { id, .. }
            | Record::Responded { id, .. }
            | Record::Asked { id, .. }
            | Record::Answered { id, .. }
            | Record::Lost { id, .. }
            | Record::ClosedUnanswered { id, .. }
            | Record::Left { id, .. }
            | Record::SentAfterAnswer { id, .. } => Some(id),
        }
    }

    /// Prints the record as a line of JSON on standard output.
    pub fn print(&self) {
        let line = serde_json::to_string(self).expect("serialize a record as JSON");
        let _ = writeln!(std::io::stdout().lock(), "{line}");
    }
}
