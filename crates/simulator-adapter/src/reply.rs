//! Writes the balancer's actions as lines of the simulator's protocol.

use crate::line::NANOSECONDS_PER_MICROSECOND;
use balancer::{Actions, AttemptId, Completion, Micros, NodeId, QueryId, ShardRequestId};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use settings_schema::IdInterner;
use std::fmt::Arguments;
use std::io::Write;

/// Placeholder for an empty gossip message; `-` does not occur in standard base64.
pub const EMPTY_DATA: &str = "-";

/// Writes the balancer's actions to `output` and collects the ids that the balancer releases.
pub struct Reply<'a> {
    router: &'a str,
    request_ids: &'a IdInterner<u64>,
    node_ids: &'a IdInterner<String>,
    output: &'a mut Vec<u8>,
    released_queries: Vec<QueryId>,
    released_nodes: Vec<NodeId>,
}

/// The queries and nodes whose ids the balancer released.
pub struct Released {
    pub queries: Vec<QueryId>,
    pub nodes: Vec<NodeId>,
}

impl<'a> Reply<'a> {
    /// Creates a reply of `router` that appends to `output`.
    pub fn new(
        router: &'a str, request_ids: &'a IdInterner<u64>, node_ids: &'a IdInterner<String>,
        output: &'a mut Vec<u8>,
    ) -> Self {
        Reply {
            router,
            request_ids,
            node_ids,
            output,
            released_queries: Vec::new(),
            released_nodes: Vec::new(),
        }
    }

    /// Returns the ids that were released while the reply was written.
    pub fn released(self) -> Released {
        Released { queries: self.released_queries, nodes: self.released_nodes }
    }

    fn write_line(&mut self, message: &str, fields: Arguments) {
        // Writing to a vector cannot fail.
        let _ = writeln!(self.output, "{message}\trouter={}{fields}", self.router);
    }

    /// Writes a line about a query or a shard request; writes nothing if its id was released.
    fn write_request_line(&mut self, message: &str, request: usize, fields: Arguments) {
        if let Some(&id) = self.request_ids.key(request) {
            self.write_line(message, format_args!("\topId={id}{fields}"));
        }
    }

    fn write_query_line(&mut self, message: &str, query: QueryId, fields: Arguments) {
        self.write_request_line(message, query.0, fields);
    }

    fn write_shard_request_line(&mut self, message: &str, shard_request: ShardRequestId, fields: Arguments) {
        self.write_request_line(message, shard_request.0, fields);
    }

    fn write_node_line(&mut self, message: &str, node: NodeId) {
        if let Some(id) = self.node_ids.key(node.0) {
            self.write_line(message, format_args!("\tnode={id}"));
        }
    }
}

fn nanoseconds(time: Micros) -> i64 {
    time * NANOSECONDS_PER_MICROSECOND
}

impl Actions for Reply<'_> {
    fn send_attempt(&mut self, shard_request: ShardRequestId, node: NodeId, timeout: Option<Micros>) {
        if let Some(id) = self.node_ids.key(node.0) {
            let timeout = nanoseconds(timeout.unwrap_or(0));
            let fields = format_args!("\tnode={id}\tallowForNs={timeout}");
            self.write_shard_request_line("FORWARD", shard_request, fields);
        }
    }

    fn cancel_attempt(&mut self, attempt: AttemptId) {
        let number = attempt.number.0;
        self.write_shard_request_line("RETRACT", attempt.shard_request, format_args!("\ttrial={number}"));
    }

    fn complete_query(&mut self, query: QueryId, completion: Completion) {
        match completion {
            Completion::Complete => self.write_query_line("GATHER_UP", query, format_args!("\ton=1")),
            Completion::Partial => self.write_query_line("GATHER_UP", query, format_args!("\ton=0")),
            Completion::Rejected { retry_after } => {
                let delay = nanoseconds(retry_after.unwrap_or(0));
                self.write_query_line("SAY_NO", query, format_args!("\tstayAwayNs={delay}"));
            }
            Completion::Failed => self.write_query_line("REPORT_FAILURE", query, format_args!("")),
        }
    }

    fn release_query(&mut self, query: QueryId) {
        self.released_queries.push(query);
    }

    fn release_node(&mut self, node: NodeId) {
        self.released_nodes.push(node);
    }

    fn set_timer(&mut self, delay: Micros, token: u64) {
        self.write_line("NOTIFY_ME", format_args!("\twaitNs={}\tcookie={token}", nanoseconds(delay)));
    }

    fn check_health(&mut self, node: NodeId) {
        self.write_node_line("SAMPLE", node);
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.write_node_line("LET_GO", node);
    }

    fn watch_endpoints(&mut self, enabled: bool) {
        self.write_line("KEEP_INFORMED", format_args!("\ton={}", u8::from(enabled)));
    }

    fn poll_endpoints(&mut self) {
        self.write_line("RELOAD", format_args!(""));
    }

    fn send_gossip(&mut self, peer: Option<usize>, data: &[u8]) {
        let destination = peer.map_or("all".to_string(), |peer| peer.to_string());
        let data = if data.is_empty() { EMPTY_DATA.to_string() } else { BASE64.encode(data) };
        self.write_line("MEMO_TO", format_args!("\tdest={destination}\tdata={data}"));
    }

    fn log(&mut self, line: &str) {
        self.write_line("JOURNAL_LINE", format_args!("\treasonText={line}"));
    }
}
