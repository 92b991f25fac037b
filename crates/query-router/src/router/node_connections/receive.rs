//! Handling of the frames that data nodes send.

use super::lifecycle::{
    NodeReport, close_malformed, close_or_keep_idle, finish_health_check, record_malformed_frame,
};
use crate::io::{ConnectionId, Effect};
use crate::protocol::frames::{self, Frame, FrameEnd, FrameKind, ShardResponse};
use crate::router::connection::response_tracker::UnconfirmedResponse;
use crate::router::context::Context;
use crate::router::query_table::QueryTable;
use balancer::{AttemptId, AttemptOutcome, LoadMetric};
use settings_schema::parse_load_metrics;

/// The most frames in succession that nobody waits for, beyond the responses to cancelled attempts on a connection.
const MAX_SURPLUS_FRAMES: usize = 256;

/// The result of handling a frame.
enum FrameOutcome<'a> {
    /// The frame ended an attempt or a health check, which must be reported to the balancer.
    Report(NodeReport<'a>),
    /// The frame was handled, and the balancer needs no report.
    Handled,
    /// The frame is malformed or unexpected.
    Malformed,
    /// The response to this attempt may be cut off: the bytes after it may belong to its value.
    Ambiguous(AttemptId),
}

/// Parses the bytes that a node has sent, from `offset` on, up to the first frame that must be reported to the
/// balancer, and advances `offset`. Returns `None` if all complete frames were parsed or the connection is being
/// closed.
pub fn next_report<'a>(
    context: &mut Context, queries: &mut QueryTable, id: ConnectionId, bytes: &'a [u8], offset: &mut usize,
) -> Option<NodeReport<'a>> {
    loop {
        let rest = &bytes[*offset..];
        if let Some(response) = context.connections.node_mut(id).responses.confirm_last_response(rest) {
            invalidate_response(context, queries, id, &response, rest);
            return None;
        }
        let received = match frames::parse(rest) {
            Ok(None) => {
                finish_reading(context, id, rest, *offset);
                return None;
            }
            Ok(Some(frame)) => {
                *offset += frame.encoded_length;
                receive(context, queries, id, frame, &bytes[*offset..])
            }
            Err(_) => FrameOutcome::Malformed,
        };
        match received {
            FrameOutcome::Report(report) => {
                context.connections.node_mut(id).ignored_frames = 0;
                return Some(report);
            }
            FrameOutcome::Handled if ignores_too_many(context, id) => {
                close_malformed(context, id, None);
                return None;
            }
            FrameOutcome::Handled => {}
            FrameOutcome::Malformed => {
                let named = context.connections.node_mut(id).responses.attempt_named_in(rest);
                close_malformed(context, id, named);
                return None;
            }
            FrameOutcome::Ambiguous(attempt) => {
                context.counters.responses_ambiguous += 1;
                close_malformed(context, id, Some(attempt));
                return None;
            }
        }
    }
}

/// Counts a frame that nobody waits for. Returns whether the node has sent too many of them in succession.
fn ignores_too_many(context: &mut Context, id: ConnectionId) -> bool {
    let max_frames = context.limits.max_requests_per_connection.saturating_add(MAX_SURPLUS_FRAMES);
    let connection = context.connections.node_mut(id);
    connection.ignored_frames += 1;
    connection.ignored_frames > max_frames
}

/// Handles bytes that were found when a batch was to be written and no response was expected. They are not parsed, since
/// the batch counts as in flight although it is not written; they only show whether the last response is cut off.
pub fn received_unexpected(context: &mut Context, queries: &mut QueryTable, id: ConnectionId, bytes: &[u8]) {
    if let Some(response) = context.connections.node_mut(id).responses.confirm_last_response(bytes) {
        invalidate_response(context, queries, id, &response, bytes);
    }
}

/// Closes a connection on which text has arrived after a response that was used. If the query has not ended, the response
/// is invalidated, as if it had arrived together with the text.
fn invalidate_response(
    context: &mut Context, queries: &mut QueryTable, id: ConnectionId, response: &UnconfirmedResponse,
    following: &[u8],
) {
    if queries.invalidate_response(context, response) {
        context.counters.responses_invalidated += 1;
        close_malformed(context, id, Some(response.attempt));
    } else {
        context.counters.responses_ambiguous_after_use += 1;
        let named = context.connections.node_mut(id).responses.attempt_named_in(following);
        close_malformed(context, id, named);
    }
}

/// Consumes the complete frames, and records `rest` as the start of the next one.
fn finish_reading(context: &mut Context, id: ConnectionId, rest: &[u8], consumed: usize) {
    context.connections.node_mut(id).record_received(context.now, consumed, rest);
    context.effects.push(Effect::Consume { connection: id, count: consumed });
    close_or_keep_idle(context, id);
}

/// Handles a frame. `following` contains the bytes that were received after it.
fn receive<'a>(
    context: &mut Context, queries: &mut QueryTable, id: ConnectionId, frame: Frame<'a>, following: &[u8],
) -> FrameOutcome<'a> {
    let payload = frame.payload;
    match frame.kind {
        FrameKind::Response => receive_response(context, queries, id, payload, following),
        FrameKind::Health | FrameKind::Load => receive_health(context, id, payload, following),
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

/// Handles a response to a shard request. It is not used if the bytes after it may belong to its value: neither the
/// value nor the proof that a rejected attempt was not executed may come from a response that is cut off.
fn receive_response<'a>(
    context: &mut Context, queries: &mut QueryTable, id: ConnectionId, payload: &'a [u8], following: &[u8],
) -> FrameOutcome<'a> {
    let Ok(response) = ShardResponse::parse(payload) else { return FrameOutcome::Malformed };
    let ShardResponse { id: request_id, outcome, load_report: load, value } = response;
    let connection = context.connections.node_mut(id);
    let Some(attempt) = connection.responses.attempt_at(request_id) else {
        return receive_late_response(context, id, request_id);
    };
    let end = FrameEnd::from_following(following);
    if end == FrameEnd::Ambiguous {
        return FrameOutcome::Ambiguous(attempt);
    }
    connection.responses.set_answered(attempt, end);
    context.counters.responses_with_surplus_bytes += u64::from(is_surplus(following, request_id));
    if outcome == AttemptOutcome::Succeeded {
        queries.store_value(attempt, value);
    }
    let load = std::str::from_utf8(load).ok().and_then(parse_load);
    match queries.finish_attempt(context, attempt, outcome) {
        Some(finished) => {
            FrameOutcome::Report(NodeReport::Attempt { finished, load: load.unwrap_or_default() })
        }
        None => FrameOutcome::Handled,
    }
}

/// Returns whether the bytes after a response to the shard request `request_id` are known to belong to no other frame:
/// they are noise or the same response again.
fn is_surplus(following: &[u8], request_id: &str) -> bool {
    match frames::parse(following) {
        Err(_) => true,
        Ok(Some(frame)) if frame.kind == FrameKind::Response => {
            let after_id = frame.payload.strip_prefix(request_id.as_bytes());
            after_id.is_some_and(|rest| rest.first() == Some(&b' '))
        }
        Ok(_) => false,
    }
}

/// Handles a response to a shard request that is not in flight on the connection. The response counts as malformed if
/// the connection can no longer be reused, unless it repeats the last response.
fn receive_late_response<'a>(context: &mut Context, id: ConnectionId, request_id: &str) -> FrameOutcome<'a> {
    context.counters.responses_late += 1;
    let ignored = context.connections.node_mut(id).handle_late_response(request_id);
    if ignored { FrameOutcome::Handled } else { FrameOutcome::Malformed }
}

/// Handles the response to a health check: the node's load, `OK`, `ERROR` or `-`. The words are complete in themselves;
/// a load report is not used if the bytes after it may belong to its last figure.
fn receive_health<'a>(
    context: &mut Context, id: ConnectionId, payload: &'a [u8], following: &[u8],
) -> FrameOutcome<'a> {
    let Ok(text) = std::str::from_utf8(payload) else { return FrameOutcome::Malformed };
    let is_word = matches!(text, "OK" | "ERROR" | "-");
    if !is_word && FrameEnd::from_following(following) == FrameEnd::Ambiguous {
        return FrameOutcome::Malformed;
    }
    let outcome = if text == "ERROR" { AttemptOutcome::ServerError } else { AttemptOutcome::Succeeded };
    let load = if is_word { "" } else { text };
    match finish_health_check(context, id, outcome, parse_load(load).unwrap_or_default()) {
        Some(report) => FrameOutcome::Report(report),
        None => FrameOutcome::Handled,
    }
}

fn parse_load(text: &str) -> Option<Vec<LoadMetric<'_>>> {
    parse_load_metrics(text, '=')
}
