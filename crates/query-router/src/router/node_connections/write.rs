//! Writing of queued frames on node connections.

use super::lifecycle::set_timer;
use crate::io::{Bytes, ConnectionId, Effect, ExpectedInput};
use crate::protocol::frames::{self, FrameKind};
use crate::router::connection::outgoing_queue::{HealthCheckKind, OutgoingFrame};
use crate::router::connection::response_tracker::InFlight;
use crate::router::context::Context;
use crate::router::query_table::QueryTable;
use crate::router::rules::{self, CheckedAction};
use balancer::{AttemptId, AttemptOutcome, Micros};
use std::sync::Arc;

/// Passes the queued frames of a connection to the event loop, unless earlier ones are still being written.
pub fn write(context: &mut Context, queries: &mut QueryTable, id: ConnectionId) {
    let Some(connection) = context.connections.node(id) else { return };
    if !connection.is_established() || !connection.is_flushed() || connection.queue().is_empty() {
        return;
    }
    cancel_expired(context, queries, id);
    end_forbidden(context, queries, id);
    let connection = context.connections.node_mut(id);
    if connection.queue().is_empty() {
        return;
    }
    // While no response is expected, unread bytes are a notice that the node closes the connection, or the start of a
    // frame: the batch must not be sent then.
    let carries_attempts = connection.queue().attempts().next().is_some();
    let expected = if carries_attempts && !connection.awaits_response() {
        ExpectedInput::Nothing
    } else {
        ExpectedInput::Response
    };
    let mut buffers: Vec<Bytes> = Vec::new();
    while let Some(frame) = context.connections.node_mut(id).queue_mut().pop() {
        encode(context, queries, id, frame, &mut buffers);
    }
    context.effects.push(Effect::WriteIfOpen { connection: id, buffers, expected });
    set_timer(context, id);
}

/// Appends the encoded frame to `buffers`, and adds its attempts to those in flight.
fn encode(
    context: &mut Context, queries: &QueryTable, id: ConnectionId, frame: OutgoingFrame,
    buffers: &mut Vec<Bytes>,
) {
    let head_index = buffers.len();
    buffers.push(Arc::from([]));
    let kind = match &frame {
        OutgoingFrame::Batch(attempts) => {
            log_sent(context, queries, id, attempts);
            encode_attempts(queries, attempts, context.now, buffers);
            context.counters.batches_sent += 1;
            context.counters.attempts_sent += attempts.len() as u64;
            FrameKind::Batch
        }
        OutgoingFrame::Cancellation(request) => {
            buffers.push(request.as_bytes().into());
            FrameKind::Cancel
        }
        OutgoingFrame::HealthCheck(kind) => {
            context.counters.health_checks_sent += 1;
            match kind {
                HealthCheckKind::Health => FrameKind::Health,
                HealthCheckKind::Load => FrameKind::Load,
            }
        }
    };
    let length = buffers[head_index..].iter().map(|buffer| buffer.len()).sum();
    let head = frames::head(kind.letter(), length);
    buffers[head_index] = head.into();
    let connection = context.connections.node_mut(id);
    let end_offset = connection.add_submitted(head.len() + length);
    if let OutgoingFrame::Batch(attempts) = frame {
        connection.responses.add_in_flight(attempts.into_iter().map(|attempt| {
            let id = queries.shard_request(attempt.shard_request).id.clone();
            InFlight { id, attempt, end_offset }
        }));
    }
}

/// Logs which attempts are sent to which node, and what is known of the endpoint list at that moment.
fn log_sent(context: &mut Context, queries: &QueryTable, id: ConnectionId, attempts: &[AttemptId]) {
    let node = context.connections.node_mut(id).node;
    for attempt in attempts {
        tracing::debug!(
            id = %queries.shard_request(attempt.shard_request).id,
            attempt = attempt.number.0,
            node = node.0,
            connection = id.0,
            revision = context.endpoints.revision(),
            list_age_ms = context.endpoints.list_age_ms(context.now),
            "attempt sent"
        );
    }
}

/// Ends queued attempts whose deadline has passed as not sent. Sockets are read before timers expire, so such attempts
/// would otherwise be sent and time out in the same event-loop iteration.
fn cancel_expired(context: &mut Context, queries: &mut QueryTable, id: ConnectionId) {
    let has_expired = |attempt: &AttemptId| {
        queries.attempt(*attempt).is_some_and(|attempt| attempt.deadline <= context.now)
    };
    let connection = context.connections.node(id);
    let expired: Vec<AttemptId> = connection
        .into_iter()
        .flat_map(|connection| connection.queue().attempts())
        .filter(has_expired)
        .collect();
    for attempt in expired {
        context.connections.node_mut(id).queue_mut().remove(attempt);
        queries.finish_attempt_later(context, attempt, AttemptOutcome::NotSent);
    }
}

/// Ends queued attempts that `rules` does not permit to send as not sent.
fn end_forbidden(context: &mut Context, queries: &mut QueryTable, id: ConnectionId) {
    let Some(connection) = context.connections.node(id) else { return };
    let endpoint = &context.endpoints[connection.node];
    let mut forbidden = Vec::new();
    for attempt in connection.queue().attempts() {
        let (request, query) = queries.request_and_query(attempt.shard_request);
        let state = &request.attempts[attempt.number.0];
        let allowed = rules::may_send(context.now, query, request, state, endpoint, connection);
        let checked = CheckedAction {
            action: "send attempt",
            id: &request.id,
            node: Some(connection.node),
            connection: Some(id),
            not_ready_for: endpoint.not_ready_since().map(|since| context.now - since),
        };
        if !rules::permitted(&mut context.counters, checked, allowed) {
            forbidden.push(attempt);
        }
    }
    for attempt in forbidden {
        context.connections.node_mut(id).queue_mut().remove(attempt);
        queries.finish_attempt_later(context, attempt, AttemptOutcome::NotSent);
    }
}

fn encode_attempts(queries: &QueryTable, attempts: &[AttemptId], now: Micros, buffers: &mut Vec<Bytes>) {
    for attempt in attempts {
        let (request, query) = queries.request_and_query(attempt.shard_request);
        let deadline = request.attempts[attempt.number.0].deadline;
        let wait_ms = (deadline - now).max(0) / 1000;
        let line = frames::shard_request_line(&request.id, request.shard, wait_ms, query.text.len());
        buffers.extend([line.into_bytes().into(), query.text.clone()]);
    }
}
