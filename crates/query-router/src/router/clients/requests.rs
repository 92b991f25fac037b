//! Requests of clients: queries are accepted or rejected, all other requests get their response at once.

use super::{AcceptedQuery, Clients, STALLED_REQUEST_TIMEOUT};
use crate::io::{ConnectionId, Effect};
use crate::protocol::http::{self, Request};
use crate::router::connection::client::{ClientState, CloseReason};
use crate::router::context::Context;
use crate::router::query_table::{NewQuery, QueryTable};
use balancer::{Micros, QueryArrival};

impl Clients {
    /// Parses a request from the unconsumed bytes of a client. Returns its query if it contains one that is accepted.
    pub(super) fn read_request(
        &mut self, context: &mut Context, queries: &mut QueryTable, id: ConnectionId, bytes: &[u8],
    ) -> Option<AcceptedQuery> {
        let progress = &mut context.connections.client_mut(id).progress;
        let had_head = progress.has_head();
        match progress.parse(bytes) {
            Ok(Some(request)) => {
                let now = context.now;
                let client = context.connections.client_mut(id);
                if request.closes_connection {
                    client.close_after_response(CloseReason::RequestedByClient);
                }
                let arrived_at = client.arrivals.arrival_of(request.encoded_length).unwrap_or(now);
                client.requests += 1;
                context.counters.record_request(now - arrived_at);
                self.consume(context, id, request.encoded_length);
                context.set_connection_timer(id, None);
                self.handle_request(context, queries, id, &request, arrived_at)
            }
            Ok(None) => {
                self.handle_incomplete_request(context, id, bytes);
                if !had_head && http::expects_continue(bytes) {
                    let interim = b"HTTP/1.1 100 Continue\r\n\r\n"[..].into();
                    context.effects.push(Effect::Write { connection: id, buffers: vec![interim] });
                }
                None
            }
            Err(error) => {
                let client = context.connections.client_mut(id);
                client.requests += 1;
                let arrived_at = client.arrivals.arrival_of(1).unwrap_or(context.now);
                context.counters.record_request(context.now - arrived_at);
                context.counters.requests_invalid += 1;
                context.connections.client_mut(id).close_after_response(CloseReason::MalformedRequest);
                self.reject_and_close(context, id, bytes.len(), error.status(), &error.to_string());
                None
            }
        }
    }

    /// Rejects a request that was not parsed and discards its bytes. The connection is closed after the response.
    pub(super) fn reject_and_close(
        &mut self, context: &mut Context, id: ConnectionId, length: usize, status: u16, reason: &str,
    ) {
        self.consume(context, id, length);
        self.replies.reply_line(context, id, status, reason);
    }

    /// Handles a request that was received in part: sets its deadline.
    fn handle_incomplete_request(&self, context: &mut Context, id: ConnectionId, bytes: &[u8]) {
        let now = context.now;
        let client = context.connections.client_mut(id);
        if client.has_no_request() && !bytes.is_empty() {
            client.state = ClientState::ReceivingRequest;
            client.receiving_since = now;
        }
        if client.state == ClientState::ReceivingRequest {
            let complete_by = client.receiving_since + self.replies.longest_deadline;
            let response_deadline = context.shutdown.response_deadline().unwrap_or(Micros::MAX);
            client.stalls_at = now + STALLED_REQUEST_TIMEOUT;
            let deadline = response_deadline.min(complete_by).min(client.stalls_at);
            context.set_connection_timer(id, Some(deadline));
        }
    }

    /// Handles a complete request. Returns its query if it contains one that is accepted, and responds to all others.
    fn handle_request(
        &mut self, context: &mut Context, queries: &mut QueryTable, id: ConnectionId, request: &Request,
        arrived_at: Micros,
    ) -> Option<AcceptedQuery> {
        let path = request.path.split('?').next().unwrap_or("");
        let allowed_method = match path {
            "/api" => "POST",
            "/-/ready" | "/-/healthy" | "/-/counters" => "GET",
            _ => {
                self.replies.reply_line(context, id, 404, "nothing is served under this path");
                return None;
            }
        };
        if request.method != allowed_method {
            self.replies.reply_line(context, id, 405, &format!("this path supports only {allowed_method}"));
            return None;
        }
        match path {
            "/-/ready" if context.shutdown.has_begun() => self.replies.reply_line(context, id, 503, "ending"),
            "/-/ready" if context.awaits_endpoint_list => {
                self.replies.reply_line(context, id, 503, "waiting for the endpoint list");
            }
            "/-/counters" => {
                let lines = context.counters.lines();
                self.replies.reply(context, id, 200, "text/plain", lines.into_bytes(), None);
            }
            "/api" => return self.accept_query(context, queries, id, request, arrived_at),
            _ => self.replies.reply_line(context, id, 200, "OK"),
        }
        None
    }

    /// Adds a query to those in progress, or rejects it. Its deadline counts from the arrival of its last byte, which
    /// may be long ago if it was pipelined.
    fn accept_query(
        &mut self, context: &mut Context, queries: &mut QueryTable, id: ConnectionId, request: &Request,
        arrived_at: Micros,
    ) -> Option<AcceptedQuery> {
        let query = match self.query_parser.parse(request) {
            Ok(query) => query,
            Err(error) => {
                self.reject_invalid(context, id, &error.to_string());
                return None;
            }
        };
        if let Some(conflict) = queries.id_conflict(request.trace_id) {
            context.counters.queries_with_used_id += 1;
            self.reject_invalid(context, id, &conflict.to_string());
            return None;
        }
        if self.max_in_flight.is_some_and(|max| queries.open_count() >= max) {
            context.counters.queries_over_limit += 1;
            self.replies.reply_line(context, id, 503, "too many queries are in progress");
            return None;
        }
        let held_bytes = queries.held_bytes() + context.unread_response_bytes;
        if held_bytes.saturating_add(query.text.len()) > self.max_query_bytes {
            context.counters.queries_over_memory += 1;
            self.replies.reply_line(context, id, 503, "queries in progress take too much memory");
            return None;
        }
        let deadline = arrived_at + query.deadline;
        let deadline = context.shutdown.response_deadline().map_or(deadline, |latest| latest.min(deadline));
        context.counters.queries_accepted += 1;
        let query_id = queries.add_query(NewQuery {
            id: request.trace_id,
            client: id,
            deadline,
            idempotency: self.idempotency[query.class],
            text: query.text,
        });
        let client = context.connections.client_mut(id);
        client.state = ClientState::AwaitingResponse(query_id);
        client.has_sent_query = true;
        let arrival = QueryArrival {
            query: query_id,
            class: query.class,
            tenant: query.tenant,
            deadline,
            work: query.shards.iter().map(|shard| shard.work).sum(),
            shard_requests: query.shards.len(),
            is_retry: request.is_retry,
        };
        Some(AcceptedQuery { arrival, shards: query.shards })
    }

    fn reject_invalid(&self, context: &mut Context, id: ConnectionId, reason: &str) {
        context.counters.requests_invalid += 1;
        self.replies.reply_line(context, id, 400, reason);
    }
}
