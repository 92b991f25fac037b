//! Client connections: requests in, answers out, one at a time on each.

mod idle;
mod replies;

use crate::config::Config;
use crate::io::{ConnectionId, Effect};
use crate::protocol::http::{self, MAX_REQUEST_BYTES, Request};
use crate::protocol::query_request::{QueryVocabulary, RequestedShard};
use crate::router::connection::Connection;
use crate::router::connection::client::{ClientConnection, ClientState};
use crate::router::context::Context;
use crate::router::query_table::QueryTable;
use balancer::{Completion, Micros, QueryArrival, QueryId};
use idle::{LINGER, evict_surplus_idle, half_close};
use replies::Replies;

/// How long a new connection may stay without a request, as the operators state it.
const FIRST_REQUEST_TIMEOUT: Micros = 2_000_000;
/// Incomplete requests of all clients may take up one part in so many of the memory.
const UNCONSUMED_SHARE_OF_MEMORY: usize = 4;

/// A query that was taken in.
#[derive(Debug)]
pub struct AcceptedQuery {
    /// What the balancer is told of it.
    pub arrival: QueryArrival,
    /// What it asks of each shard.
    pub shards: Vec<RequestedShard>,
}

/// All client connections.
pub struct Clients {
    /// How many have connected and wait until a connection can be accepted.
    pending_accepts: usize,
    replies: Replies,
    /// How many bytes were received from all clients and are not consumed, and how many there may be.
    unconsumed: usize,
    max_unconsumed: usize,
    /// How many queries and shard requests may be open.
    max_in_flight: Option<usize>,
    vocabulary: QueryVocabulary,
}

impl Clients {
    /// As the configuration says.
    pub fn new(config: &Config) -> Clients {
        let settings = &config.settings;
        let deadlines = settings.named_classes().map(|class| class.deadline);
        Clients {
            pending_accepts: 0,
            replies: Replies { longest_deadline: deadlines.max().unwrap_or(0) },
            unconsumed: 0,
            max_unconsumed: config
                .max_memory_bytes
                .map_or(usize::MAX, |bytes| bytes / UNCONSUMED_SHARE_OF_MEMORY),
            max_in_flight: settings.limits.max_in_flight.filter(|&max| max > 0),
            vocabulary: QueryVocabulary {
                classes: settings.named_classes().map(|class| class.name.clone()).collect(),
                tenants: settings.named_tenants().map(|tenant| tenant.name.clone()).collect(),
                shards: settings.shards.count.unwrap_or(0),
            },
        }
    }

    /// The longest deadline of any service class.
    pub fn longest_deadline(&self) -> Micros {
        self.replies.longest_deadline
    }

    /// A client has connected.
    pub fn connected(&mut self, context: &mut Context) {
        self.pending_accepts += 1;
        context.counters.client_connections_arrived += 1;
        self.accept_pending(context);
        context.counters.client_connections_delayed += u64::from(self.pending_accepts > 0);
    }

    /// Accepts those that have connected, as far as the limit on descriptors allows.
    pub fn accept_pending(&mut self, context: &mut Context) {
        while self.pending_accepts > 0 {
            let client = ClientConnection::new(context.now);
            let Some(id) = context.open(Connection::Client(client)) else { return };
            self.pending_accepts -= 1;
            context.effects.push(Effect::Accept(id));
            let timeout = if context.shutdown.closes_idle() { LINGER } else { FIRST_REQUEST_TIMEOUT };
            context.set_connection_timer(id, Some(context.now + timeout));
            evict_surplus_idle(context);
        }
    }

    /// Reads what a client has sent; returns a query if that is what it has requested.
    pub fn received(
        &mut self, context: &mut Context, queries: &mut QueryTable, id: ConnectionId, bytes: &[u8],
    ) -> Option<AcceptedQuery> {
        self.set_unconsumed(context, id, bytes.len());
        let client = context.connections.client(id);
        match client.state {
            ClientState::New | ClientState::Idle | ClientState::ReceivingRequest => {}
            ClientState::ClosingIfIdle => client.state = ClientState::Idle,
            ClientState::AwaitingAnswer(_) | ClientState::SendingAnswer => {
                self.received_before_answer(context, id, bytes.len());
                return None;
            }
            ClientState::HalfClosed => {
                self.consume(context, id, bytes.len());
                return None;
            }
        }
        self.read_request(context, queries, id, bytes)
    }

    /// What comes before the answer to the last request waits, within limits. Guards against a client that sends much
    /// at once and goes: its end lies behind what is not read.
    fn received_before_answer(&mut self, context: &mut Context, id: ConnectionId, length: usize) {
        let is_over_memory = self.is_over_memory();
        let client = context.connections.client(id);
        if client.close_after_answer || is_over_memory || length >= MAX_REQUEST_BYTES {
            client.close_after_answer = true;
            self.consume(context, id, length);
        }
    }

    fn read_request(
        &mut self, context: &mut Context, queries: &mut QueryTable, id: ConnectionId, bytes: &[u8],
    ) -> Option<AcceptedQuery> {
        match http::parse_request(bytes) {
            Ok(Some(request)) => {
                context.connections.client(id).close_after_answer = request.closes_connection;
                self.consume(context, id, request.encoded_length);
                context.set_connection_timer(id, None);
                self.request(context, queries, id, &request)
            }
            Ok(None) if self.is_over_memory() => {
                context.counters.requests_over_memory += 1;
                let reason = "too much has come of requests that are not whole";
                self.reject_unread(context, id, bytes.len(), 503, reason);
                None
            }
            Ok(None) => {
                self.incomplete_request(context, id, bytes);
                None
            }
            Err(error) => {
                context.counters.requests_invalid += 1;
                self.reject_unread(context, id, bytes.len(), error.status(), &error.to_string());
                None
            }
        }
    }

    /// Answers a request that is not read to its end; the connection cannot be used after that.
    fn reject_unread(
        &mut self, context: &mut Context, id: ConnectionId, length: usize, status: u16, reason: &str,
    ) {
        context.connections.client(id).close_after_answer = true;
        self.consume(context, id, length);
        self.replies.reply_line(context, id, status, reason);
    }

    /// A request has come in only in part.
    fn incomplete_request(&self, context: &mut Context, id: ConnectionId, bytes: &[u8]) {
        let client = context.connections.client(id);
        if client.without_request() && !bytes.is_empty() {
            client.state = ClientState::ReceivingRequest;
            let answer_deadline = context.shutdown.answer_deadline().unwrap_or(Micros::MAX);
            let deadline = answer_deadline.min(context.now + self.replies.longest_deadline);
            context.set_connection_timer(id, Some(deadline));
        }
        if http::expects_continue(bytes) {
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n"[..].into();
            context.effects.push(Effect::Write(id, vec![interim]));
        }
    }

    /// Answers a request, unless it is a query.
    fn request(
        &mut self, context: &mut Context, queries: &mut QueryTable, id: ConnectionId, request: &Request,
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
            self.replies.reply_line(context, id, 405, &format!("this path takes {allowed_method}"));
            return None;
        }
        match path {
            "/-/ready" if context.shutdown.has_begun() => self.replies.reply_line(context, id, 503, "ending"),
            "/-/counters" => {
                let lines = context.counters.lines();
                self.replies.reply(context, id, 200, "text/plain", lines.into_bytes(), None);
            }
            "/api" => return self.accept_query(context, queries, id, request),
            _ => self.replies.reply_line(context, id, 200, "OK"),
        }
        None
    }

    /// Adds a query to those in progress, or rejects it.
    fn accept_query(
        &mut self, context: &mut Context, queries: &mut QueryTable, id: ConnectionId, request: &Request,
    ) -> Option<AcceptedQuery> {
        let query = match self.vocabulary.parse(request) {
            Ok(_) if queries.contains(request.trace_id) => {
                let reason = "a retrieval with this X-Trace-Id is in hand";
                self.reject_invalid(context, id, reason);
                return None;
            }
            Ok(query) => query,
            Err(error) => {
                self.reject_invalid(context, id, &error.to_string());
                return None;
            }
        };
        if self.max_in_flight.is_some_and(|max| queries.open_count() >= max) {
            context.counters.queries_over_limit += 1;
            self.replies.reply_line(context, id, 503, "too many retrievals are in hand");
            return None;
        }
        let deadline = context.now + query.deadline;
        let deadline = context.shutdown.answer_deadline().map_or(deadline, |latest| latest.min(deadline));
        context.counters.queries_accepted += 1;
        let query_id = queries.add_query(request.trace_id, id, deadline, query.text);
        context.connections.client(id).state = ClientState::AwaitingAnswer(query_id);
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

    /// An answer is written: closes the connection, or waits for the next request on it.
    pub fn answer_written(&self, context: &mut Context, id: ConnectionId) {
        let now = context.now;
        let client = context.connections.client(id);
        if client.state != ClientState::SendingAnswer {
            return;
        }
        if client.close_after_answer {
            return half_close(context, id);
        }
        client.state = ClientState::Idle;
        client.idle_from = now;
        // Guards against a shutdown that began behind this answer's head, which asks for more: what was read behind
        // the request is consumed before the connection is closed.
        let timer = context.shutdown.closes_idle().then_some(now);
        context.set_connection_timer(id, timer);
        context.effects.push(Effect::Redeliver(id));
        evict_surplus_idle(context);
    }

    /// Writes the final answer to a query.
    pub fn answer(
        &self, context: &mut Context, queries: &QueryTable, id: ConnectionId, query: QueryId,
        completion: Completion,
    ) {
        self.replies.answer(context, queries, id, query, completion);
    }

    /// A connection's timer has expired.
    pub fn timer_expired(&mut self, context: &mut Context, id: ConnectionId) {
        let client = context.connections.client(id);
        match client.state {
            ClientState::ReceivingRequest => {
                client.close_after_answer = true;
                self.replies.reply_line(context, id, 408, "the request took too long to come");
            }
            ClientState::New | ClientState::Idle if context.shutdown.closes_idle() => {
                half_close(context, id);
            }
            ClientState::New | ClientState::Idle => {
                client.state = ClientState::Idle;
                evict_surplus_idle(context);
            }
            ClientState::ClosingIfIdle | ClientState::AwaitingAnswer(_) => {}
            ClientState::SendingAnswer | ClientState::HalfClosed => self.close(context, id),
        }
    }

    /// Graceful shutdown: closes the connections without a request.
    pub fn close_idle(&self, context: &mut Context) {
        idle::close_idle(context);
    }

    /// Graceful shutdown: answers the requests that have not come in by the deadline.
    pub fn reject_incomplete(&self, context: &mut Context) {
        let incomplete: Vec<ConnectionId> = context
            .connections
            .clients()
            .filter(|(_, client)| client.state == ClientState::ReceivingRequest)
            .map(|(id, _)| id)
            .collect();
        for id in incomplete {
            self.replies.reply_line(context, id, 503, "ending");
        }
    }

    /// The query that a client waits for.
    pub fn awaited_query(&self, context: &mut Context, id: ConnectionId) -> Option<QueryId> {
        match context.connections.client(id).state {
            ClientState::AwaitingAnswer(query) => Some(query),
            _ => None,
        }
    }

    /// Closes and removes a connection; what was received on it is discarded.
    pub fn close(&mut self, context: &mut Context, id: ConnectionId) {
        self.set_unconsumed(context, id, 0);
        context.close(id);
    }

    fn is_over_memory(&self) -> bool {
        self.unconsumed > self.max_unconsumed
    }

    /// Notes how many received bytes of a client are not consumed. Guards against many requests that begin and are
    /// never complete, or stand behind others, each within its own limit and together beyond the memory.
    fn set_unconsumed(&mut self, context: &mut Context, id: ConnectionId, count: usize) {
        let previous = std::mem::replace(&mut context.connections.client(id).unconsumed, count);
        self.unconsumed = self.unconsumed - previous + count;
    }

    fn consume(&mut self, context: &mut Context, id: ConnectionId, count: usize) {
        let left = context.connections.client(id).unconsumed.saturating_sub(count);
        self.set_unconsumed(context, id, left);
        context.effects.push(Effect::Consume(id, count));
    }
}
