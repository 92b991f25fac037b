//! Handling of the frames that data nodes send.

use super::lifecycle::{
    NodeReport, close_malformed, close_or_keep_idle, finish_health_check, record_malformed_frame,
};
use crate::io::{ConnectionId, Effect};
use crate::protocol::frames::{self, FrameKind, ShardResponse};
use crate::router::context::Context;
use crate::router::query_table::QueryTable;
use balancer::{AttemptOutcome, LoadMetric};
use settings_schema::parse_load_metrics;

/// The result of handling a frame.
enum FrameOutcome<'a> {
    /// The frame ended an attempt or a health check, which must be reported to the balancer.
    Report(NodeReport<'a>),
    /// The frame was handled, and the balancer needs no report.
    Handled,
    /// The frame is malformed or unexpected.
    Malformed,
}

/// Parses the bytes that a node has sent, from `offset` on, up to the first frame that must be reported to the
/// balancer, and advances `offset`. Returns `None` if all complete frames were parsed or the connection is being
/// closed.
pub fn next_report<'a>(
    context: &mut Context, queries: &mut QueryTable, id: ConnectionId, bytes: &'a [u8], offset: &mut usize,
) -> Option<NodeReport<'a>> {
    loop {
        let rest = &bytes[*offset..];
        let received = match frames::parse(rest) {
            Ok(None) => {
                finish_reading(context, id, rest, *offset);
                return None;
            }
            Ok(Some(frame)) => {
                let received = receive(context, queries, id, frame.kind, frame.payload);
                if !matches!(received, FrameOutcome::Malformed) {
                    *offset += frame.encoded_length;
                }
                received
            }
            Err(_) => FrameOutcome::Malformed,
        };
        match received {
            FrameOutcome::Report(report) => return Some(report),
            FrameOutcome::Handled => {}
            FrameOutcome::Malformed => {
                let named = context.connections.node_mut(id).attempt_named_in(rest);
                close_malformed(context, id, named);
                return None;
            }
        }
    }
}

/// Consumes the complete frames, and records `rest` as the start of the next one.
fn finish_reading(context: &mut Context, id: ConnectionId, rest: &[u8], consumed: usize) {
    context.connections.node_mut(id).record_received(context.now, consumed, rest);
    context.effects.push(Effect::Consume { connection: id, count: consumed });
    close_or_keep_idle(context, id);
}

fn receive<'a>(
    context: &mut Context, queries: &mut QueryTable, id: ConnectionId, kind: FrameKind, payload: &'a [u8],
) -> FrameOutcome<'a> {
    match kind {
        FrameKind::Response => receive_response(context, queries, id, payload),
        FrameKind::Health | FrameKind::Load => receive_health(context, id, payload),
        FrameKind::ProtocolError => {
            // The node closes the connection after this frame, so queued attempts end as not sent and can be retried on
            // another connection.
            record_malformed_frame(context, id, &String::from_utf8_lossy(payload));
            context.connections.node_mut(id).forbid_reuse();
            context.effects.push(Effect::Abort(id));
            FrameOutcome::Handled
        }
        FrameKind::Batch | FrameKind::Cancel => FrameOutcome::Malformed,
    }
}

/// Handles a response to a shard request.
fn receive_response<'a>(
    context: &mut Context, queries: &mut QueryTable, id: ConnectionId, payload: &'a [u8],
) -> FrameOutcome<'a> {
    let Ok(response) = ShardResponse::parse(payload) else { return FrameOutcome::Malformed };
    let ShardResponse { id: request_id, outcome, load_report: load, value } = response;
    let Some(attempt) = context.connections.node_mut(id).take_answered(request_id) else {
        return receive_late_response(context, id, request_id);
    };
    if outcome == AttemptOutcome::Succeeded {
        queries.store_value(attempt.shard_request, value);
    }
    let load = std::str::from_utf8(load).ok().and_then(parse_load);
    match queries.finish_attempt(context, attempt, outcome) {
        Some(finished) => {
            FrameOutcome::Report(NodeReport::Attempt { finished, load: load.unwrap_or_default() })
        }
        None => FrameOutcome::Handled,
    }
}

/// Handles a response to a shard request that is not in flight on the connection. The response counts as malformed if
/// the connection can no longer be reused, unless it repeats the last response.
fn receive_late_response<'a>(context: &mut Context, id: ConnectionId, request_id: &str) -> FrameOutcome<'a> {
    context.counters.responses_late += 1;
    let ignored = context.connections.node_mut(id).handle_late_response(request_id);
    if ignored { FrameOutcome::Handled } else { FrameOutcome::Malformed }
}

/// Handles the response to a health check: the node's load, `OK`, `ERROR` or `-`.
fn receive_health<'a>(context: &mut Context, id: ConnectionId, payload: &'a [u8]) -> FrameOutcome<'a> {
    let Ok(text) = std::str::from_utf8(payload) else { return FrameOutcome::Malformed };
    let outcome = if text == "ERROR" { AttemptOutcome::ServerError } else { AttemptOutcome::Succeeded };
    let load = if matches!(text, "OK" | "ERROR" | "-") { "" } else { text };
    match finish_health_check(context, id, outcome, parse_load(load).unwrap_or_default()) {
        Some(report) => FrameOutcome::Report(report),
        None => FrameOutcome::Handled,
    }
}

fn parse_load(text: &str) -> Option<Vec<LoadMetric<'_>>> {
    parse_load_metrics(text, '=')
}
