//! Client connections: each carries one request and its answer at a time.

mod idle;
mod replies;
mod requests;

use crate::config::Config;
use crate::io::{ConnectionId, Effect};
use crate::protocol::http::MAX_REQUEST_BYTES;
use crate::protocol::query_request::{QueryVocabulary, RequestedShard};
use crate::router::connection::Connection;
use crate::router::connection::client::{ClientConnection, ClientState};
use crate::router::context::Context;
use crate::router::query_table::QueryTable;
use balancer::{Completion, Idempotency, Micros, QueryArrival, QueryId};
use idle::{LINGER, evict_surplus_idle, half_close};
use replies::Replies;

/// How long a new connection may stay without a request before it counts as idle, as the operators state it.
const FIRST_REQUEST_TIMEOUT: Micros = 2_000_000;
/// How long a client may send nothing in the middle of a request. The operators want it ended within 3 s.
const STALLED_REQUEST_TIMEOUT: Micros = 2_500_000;
/// The divisor of the memory limit that gives the most memory for incomplete requests of all clients.
const UNCONSUMED_SHARE_OF_MEMORY: usize = 4;

/// A query that was accepted.
#[derive(Debug)]
pub struct AcceptedQuery {
    /// The report of the query to the balancer.
    pub arrival: QueryArrival,
    /// The shards that it asks for.
    pub shards: Vec<RequestedShard>,
}

/// All client connections.
pub struct Clients {
    /// How many clients have connected and wait to be accepted.
    pending_accepts: usize,
    replies: Replies,
    /// How many bytes were received from all clients and are not consumed.
    unconsumed: usize,
    /// The limit on `unconsumed` above which incomplete requests are rejected.
    max_unconsumed: usize,
    /// The limit on unanswered queries plus their shard requests.
    max_in_flight: Option<usize>,
    /// Whether shard requests may be repeated, by service class.
    idempotency: Vec<Idempotency>,
    vocabulary: QueryVocabulary,
}

impl Clients {
    /// The client side of a router with this configuration; no client is connected yet.
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
            idempotency: settings.named_classes().map(|class| class.idempotency).collect(),
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

    /// Handles a client that has connected.
    pub fn connected(&mut self, context: &mut Context) {
        self.pending_accepts += 1;
        context.counters.client_connections_arrived += 1;
        self.accept_pending(context);
        context.counters.client_connections_delayed += u64::from(self.pending_accepts > 0);
    }

    /// Whether a client has connected and waits for a free socket.
    pub fn has_pending_accepts(&self) -> bool {
        self.pending_accepts > 0
    }

    /// Accepts waiting clients, as far as the limit on descriptors allows.
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

    /// Reads the bytes that a client has sent. Returns its query if they hold one that is accepted.
    pub fn received(
        &mut self, context: &mut Context, queries: &mut QueryTable, id: ConnectionId, bytes: &[u8],
    ) -> Option<AcceptedQuery> {
        self.set_unconsumed(context, id, bytes.len());
        let now = context.now;
        let client = context.connections.client_mut(id);
        client.arrivals.note(now, bytes.len());
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

    /// Keeps bytes that a client sends before its last request is answered, within limits. Guards against a client that
    /// sends much and disconnects: its end is noticed only after everything before it is read.
    fn received_before_answer(&mut self, context: &mut Context, id: ConnectionId, length: usize) {
        let is_over_memory = self.is_over_memory();
        let client = context.connections.client_mut(id);
        if client.close_after_answer || is_over_memory || length >= MAX_REQUEST_BYTES {
            client.close_after_answer = true;
            self.consume(context, id, length);
        }
    }

    /// Handles an answer that was written: closes the connection, or waits for the next request on it.
    pub fn answer_written(&self, context: &mut Context, id: ConnectionId) {
        let now = context.now;
        let client = context.connections.client_mut(id);
        if client.state != ClientState::SendingAnswer {
            return;
        }
        if client.close_after_answer {
            return half_close(context, id);
        }
        client.state = ClientState::Idle;
        client.idle_from = now;
        // Guards against a shutdown that began after the head of this answer was encoded, which keeps the connection
        // open: requests that were received behind the last one are answered before the connection is closed.
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

    /// Handles the timer of a connection.
    pub fn timer_expired(&mut self, context: &mut Context, id: ConnectionId) {
        let client = context.connections.client_mut(id);
        match client.state {
            ClientState::ReceivingRequest => {
                client.close_after_answer = true;
                context.counters.client_requests_stalled += 1;
                tracing::debug!(connection = id.0, "incomplete request given up");
                let is_stalled = context.now >= client.stalls_at;
                let (status, reason) = if context.shutdown.has_begun() && is_stalled {
                    (503, "ending")
                } else {
                    (408, "the request took too long to come")
                };
                self.replies.reply_line(context, id, status, reason);
            }
            ClientState::New | ClientState::Idle if context.shutdown.closes_idle() => {
                half_close(context, id);
            }
            ClientState::New | ClientState::Idle => {
                client.state = ClientState::Idle;
                evict_surplus_idle(context);
            }
            ClientState::ClosingIfIdle | ClientState::AwaitingAnswer(_) => {}
            ClientState::SendingAnswer => {
                context.counters.client_answers_unread += 1;
                tracing::debug!(connection = id.0, "client closed: it does not read its answer");
                self.close(context, id);
            }
            ClientState::HalfClosed => self.close(context, id),
        }
    }

    /// Graceful shutdown: closes the connections without a request.
    pub fn close_idle(&self, context: &mut Context) {
        idle::close_idle(context);
    }

    /// Graceful shutdown: rejects the requests that are incomplete at the deadline.
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
        match context.connections.client_mut(id).state {
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

    /// Notes how many received bytes of a client are not consumed. Guards against many incomplete or pipelined
    /// requests, each within its own limit, that exceed the memory together.
    fn set_unconsumed(&mut self, context: &mut Context, id: ConnectionId, count: usize) {
        let previous = std::mem::replace(&mut context.connections.client_mut(id).unconsumed, count);
        self.unconsumed = self.unconsumed - previous + count;
    }

    fn consume(&mut self, context: &mut Context, id: ConnectionId, count: usize) {
        let client = context.connections.client_mut(id);
        client.arrivals.consume(count);
        let left = client.unconsumed.saturating_sub(count);
        self.set_unconsumed(context, id, left);
        context.effects.push(Effect::Consume { connection: id, count });
    }
}
