//! Responses to clients.

use crate::counters::debug_invariant;
use crate::io::{ConnectionId, Effect};
use crate::protocol::http;
use crate::router::connection::client::{ClientState, CloseReason};
use crate::router::context::Context;
use crate::router::query_table::QueryTable;
use balancer::{Completion, Micros, QueryId};

/// Writes responses to clients.
pub struct Replies {
    /// The longest deadline of any service class; also the time within which a client must read a response.
    pub longest_deadline: Micros,
}

impl Replies {
    /// Writes the final response to a query.
    pub fn reply_to_query(
        &self, context: &mut Context, queries: &QueryTable, id: ConnectionId, query: QueryId,
        completion: Completion,
    ) {
        count_completion(context, completion);
        if !matches!(completion, Completion::Complete) {
            tracing::debug!(
                query = queries.wire_id(query),
                ?completion,
                outcomes = ?queries.outcomes(query),
                "query not completed in full"
            );
        }
        match completion {
            Completion::Complete | Completion::Partial => {
                let body = queries.response_body(query, completion);
                debug_invariant!(
                    context.counters,
                    body.values > 0,
                    "a complete or partial response has a value"
                );
                self.reply(context, id, 200, "application/json", body.bytes, None);
            }
            Completion::Rejected { retry_after } => {
                self.reply(context, id, 503, "text/plain", b"deferred\n".to_vec(), retry_after);
            }
            Completion::Failed => {
                self.reply(context, id, 502, "text/plain", b"given up\n".to_vec(), None);
            }
        }
    }

    /// Writes a response, which the client must read within the longest deadline of any service class.
    pub fn reply(
        &self, context: &mut Context, id: ConnectionId, status: u16, content_type: &str, body: Vec<u8>,
        retry_after: Option<Micros>,
    ) {
        let client = context.connections.client_mut(id);
        client.state = ClientState::SendingResponse;
        client.response_bytes += body.len();
        client.errors += u64::from(status >= 400);
        if context.shutdown.has_begun() {
            client.close_after_response(CloseReason::Shutdown);
        }
        let retry_after_seconds = retry_after.map(|wait| wait as f64 / 1e6);
        let head = http::OutgoingHead {
            status,
            content_type,
            content_length: body.len(),
            retry_after_seconds,
            closes_connection: client.closes_after_response(),
        };
        context.unread_response_bytes += body.len();
        context.effects.push(Effect::Write {
            connection: id,
            buffers: vec![head.encode().into_bytes().into(), body.into()],
        });
        context.set_connection_timer(id, Some(context.now + self.longest_deadline));
    }

    /// Writes a response whose body is one line of plain text.
    pub fn reply_line(&self, context: &mut Context, id: ConnectionId, status: u16, line: &str) {
        self.reply(context, id, status, "text/plain", format!("{line}\n").into_bytes(), None);
    }
}

fn count_completion(context: &mut Context, completion: Completion) {
    let count = match completion {
        Completion::Complete => &mut context.counters.queries_complete,
        Completion::Partial => &mut context.counters.queries_partial,
        Completion::Rejected { .. } => &mut context.counters.queries_rejected,
        Completion::Failed => &mut context.counters.queries_failed,
    };
    *count += 1;
}
