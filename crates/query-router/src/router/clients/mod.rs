//! Client connections: each carries one request and its response at a time.

mod idle;
mod replies;
mod requests;
mod shortage;

use crate::config::Config;
use crate::io::{ConnectionId, Effect};
use crate::protocol::http::{MAX_PIPELINED_BYTES, RequestProgress};
use crate::protocol::query_request::{QueryParser, RequestedShard};
use crate::router::connection::Connection;
use crate::router::connection::client::{ClientConnection, ClientState, CloseReason};
use crate::router::context::Context;
use crate::router::query_table::QueryTable;
use balancer::{Completion, Idempotency, Micros, QueryArrival, QueryId};
use idle::{LINGER_TIMEOUT, evict_surplus_idle, half_close};
use replies::Replies;

/// The time for which a new connection may have no request before it counts as idle, as specified by the platform.
const FIRST_REQUEST_TIMEOUT: Micros = 2_000_000;
/// The time for which a client may send nothing in the middle of a request. The platform requires that a stalled
/// request ends within 3 s.
const STALLED_REQUEST_TIMEOUT: Micros = 2_500_000;
/// The divisor of the memory limit that gives the limit on unconsumed bytes of all clients.
const UNCONSUMED_MEMORY_DIVISOR: usize = 4;
/// The divisor of the memory limit that gives the limit on the texts and values of queries, with the unread responses.
const QUERY_MEMORY_DIVISOR: usize = 2;

/// A query that was accepted and is not reported to the balancer yet.
#[derive(Debug)]
pub struct AcceptedQuery {
    /// The report of the query to the balancer.
    pub arrival: QueryArrival,
    /// The requested shards.
    pub shards: Vec<RequestedShard>,
}

/// The state that concerns all client connections together.
pub struct Clients {
    /// The number of clients that have connected and wait to be accepted.
    pending_accepts: usize,
    /// The time at which accepting them is tried again; `None` if no timer is set.
    accept_retry_at: Option<Micros>,
    replies: Replies,
    /// The number of bytes that were received from all clients and not consumed.
    unconsumed_bytes: usize,
    /// The limit on `unconsumed_bytes` above which incomplete requests are rejected.
    max_unconsumed_bytes: usize,
    /// The limit on the bytes of queries in progress and of unread responses, above which queries are rejected.
    max_query_bytes: usize,
    /// The limit on queries in progress plus their shard requests; `None` for no limit.
    max_in_flight: Option<usize>,
    /// The idempotency of queries, by service class.
    idempotency: Vec<Idempotency>,
    query_parser: QueryParser,
}

impl Clients {
    /// Creates the state of a router with this configuration to which no client is connected.
    pub fn new(config: &Config) -> Clients {
        let settings = &config.settings;
        let deadlines = settings.named_classes().map(|class| class.deadline);
        Clients {
            pending_accepts: 0,
            accept_retry_at: None,
            replies: Replies { longest_deadline: deadlines.max().unwrap_or(0) },
            unconsumed_bytes: 0,
            max_unconsumed_bytes: config
                .max_memory_bytes
                .map_or(usize::MAX, |bytes| bytes / UNCONSUMED_MEMORY_DIVISOR),
            max_query_bytes: config.max_memory_bytes.map_or(usize::MAX, |bytes| bytes / QUERY_MEMORY_DIVISOR),
            max_in_flight: settings.limits.max_in_flight.filter(|&max| max > 0),
            idempotency: settings.named_classes().map(|class| class.idempotency).collect(),
            query_parser: QueryParser {
                classes: settings.named_classes().map(|class| class.name.clone()).collect(),
                tenants: settings.named_tenants().map(|tenant| tenant.name.clone()).collect(),
                shards: settings.shards.count.unwrap_or(0),
            },
        }
    }

    /// Returns the longest deadline of any service class.
    pub fn longest_deadline(&self) -> Micros {
        self.replies.longest_deadline
    }

    /// Accepts a client that has connected, or keeps it waiting if the limit on connections is reached.
    pub fn connected(&mut self, context: &mut Context) {
        self.pending_accepts += 1;
        context.counters.client_connections_arrived += 1;
        self.accept_pending(context);
        if self.pending_accepts > 0 {
            context.counters.client_connections_delayed += 1;
            shortage::shorten_first_request_timeouts(context);
        }
    }

    /// Returns whether a client has connected and waits to be accepted.
    pub fn has_pending_accepts(&self) -> bool {
        self.pending_accepts > 0
    }

    /// Accepts waiting clients as far as the limit on connections allows.
    pub fn accept_pending(&mut self, context: &mut Context) {
        while self.pending_accepts > 0 {
            let client = ClientConnection::new(context.now);
            let Some(id) = context.open(Connection::Client(client)) else {
                if self.close_lingering(context) {
                    continue;
                }
                return self.wait_for_descriptor(context);
            };
            self.pending_accepts -= 1;
            context.effects.push(Effect::Accept(id));
            let timeout = if context.shutdown.closes_idle_connections() {
                LINGER_TIMEOUT
            } else {
                FIRST_REQUEST_TIMEOUT
            };
            context.set_connection_timer(id, Some(context.now + timeout));
            evict_surplus_idle(context);
        }
    }

    /// Handles the unconsumed bytes of a client. Returns its query if they contain one that is accepted.
    pub fn received(
        &mut self, context: &mut Context, queries: &mut QueryTable, id: ConnectionId, bytes: &[u8],
    ) -> Option<AcceptedQuery> {
        self.record_received(context, id, bytes.len());
        let client = context.connections.client_mut(id);
        match client.state {
            ClientState::New | ClientState::Idle | ClientState::ReceivingRequest => {}
            ClientState::ClosingIfIdle => client.state = ClientState::Idle,
            ClientState::AwaitingResponse(_) | ClientState::SendingResponse => {
                self.received_pipelined(context, id, bytes.len());
                self.enforce_memory_limit(context);
                return None;
            }
            ClientState::HalfClosed => {
                self.consume(context, id, bytes.len());
                return None;
            }
        }
        let accepted = self.read_request(context, queries, id, bytes);
        self.enforce_memory_limit(context);
        accepted
    }

    /// Handles bytes that were received after the client had its share of an iteration. They are reported again in a later
    /// one, unless they are discarded here.
    pub fn buffered(&mut self, context: &mut Context, id: ConnectionId, length: usize) {
        self.record_received(context, id, length);
        match context.connections.client_mut(id).state {
            ClientState::AwaitingResponse(_) | ClientState::SendingResponse => {
                self.received_pipelined(context, id, length);
            }
            ClientState::HalfClosed => self.consume(context, id, length),
            _ => {}
        }
        self.enforce_memory_limit(context);
    }

    /// Discards the unconsumed bytes of clients until those of all clients are within their limit. Those with the most
    /// come first, so that a client with a usual request is not affected by others that send much.
    fn enforce_memory_limit(&mut self, context: &mut Context) {
        while self.exceeds_memory_limit() {
            let clients = context.connections.clients();
            let Some((id, client)) = clients.max_by_key(|(_, client)| client.unconsumed_bytes) else {
                return;
            };
            let (state, length) = (client.state, client.unconsumed_bytes);
            if length == 0 {
                return;
            }
            context.counters.requests_over_memory += 1;
            tracing::debug!(connection = id.0, length, ?state, "unconsumed bytes discarded: too much memory");
            match state {
                ClientState::New | ClientState::Idle | ClientState::ReceivingRequest => {
                    let text = "incomplete requests take too much memory";
                    context.connections.client_mut(id).close_after_response(CloseReason::TooMuchMemory);
                    self.reject_and_close(context, id, length, 503, text);
                }
                _ => {
                    context.connections.client_mut(id).close_after_response(CloseReason::TooMuchMemory);
                    self.consume(context, id, length);
                }
            }
        }
    }

    /// Handles that the bytes that are reported next have waited in the system for this time.
    pub fn input_aged(&self, context: &mut Context, id: ConnectionId, age: Micros) {
        context.connections.client_mut(id).input_age = age;
    }

    /// Records the number of unconsumed bytes of a client and their time of arrival.
    fn record_received(&mut self, context: &mut Context, id: ConnectionId, length: usize) {
        self.set_unconsumed(context, id, length);
        let now = context.now;
        let client = context.connections.client_mut(id);
        let age = std::mem::take(&mut client.input_age);
        client.arrivals.record(now - age, length);
    }

    /// Keeps bytes that a client sends before the response to its last request is written, within limits. Above them,
    /// the bytes are discarded and the connection is closed after the response. Reading must go on, since a disconnect
    /// is detected only after all bytes before it are read.
    fn received_pipelined(&mut self, context: &mut Context, id: ConnectionId, length: usize) {
        let client = context.connections.client_mut(id);
        if length >= MAX_PIPELINED_BYTES {
            client.close_after_response(CloseReason::TooManyPipelined);
        }
        if client.closes_after_response() {
            self.consume(context, id, length);
        }
    }

    /// Handles that a response was written: closes the connection, or waits for the next request on it.
    pub fn response_written(&mut self, context: &mut Context, id: ConnectionId) {
        let now = context.now;
        let client = context.connections.client_mut(id);
        if client.state != ClientState::SendingResponse {
            return;
        }
        let written = std::mem::take(&mut client.response_bytes);
        context.unread_response_bytes -= written;
        let client = context.connections.client_mut(id);
        if client.closes_after_response() {
            // Nothing that stands behind the last response is handled.
            let length = client.unconsumed_bytes;
            self.consume(context, id, length);
            return self.end_after_response(context, id);
        }
        client.state = ClientState::Idle;
        client.idle_from = now;
        // If the shutdown started after the head of this response was encoded, the response has announced that the
        // connection stays open. The timer closes it, unless a pipelined request is to be handled.
        let closes = context.shutdown.closes_idle_connections() && !client.has_next_request();
        let timer = closes.then_some(now);
        context.set_connection_timer(id, timer);
        context.effects.push(Effect::Redeliver(id));
        evict_surplus_idle(context);
    }

    /// Writes the final response to a query.
    pub fn reply_to_query(
        &self, context: &mut Context, queries: &QueryTable, id: ConnectionId, query: QueryId,
        completion: Completion,
    ) {
        self.replies.reply_to_query(context, queries, id, query, completion);
    }

    /// Handles the timer of a connection, the meaning of which depends on the state of the connection.
    pub fn timer_expired(&mut self, context: &mut Context, id: ConnectionId) {
        let client = context.connections.client_mut(id);
        match client.state {
            ClientState::ReceivingRequest => {
                client.close_after_response(CloseReason::StalledRequest);
                context.counters.client_requests_stalled += 1;
                tracing::debug!(connection = id.0, "incomplete request timed out");
                let is_stalled = context.now >= client.stalls_at;
                let (status, reason) = if context.shutdown.has_begun() && is_stalled {
                    (503, "ending")
                } else {
                    (408, "the request was not received in time")
                };
                self.replies.reply_line(context, id, status, reason);
            }
            ClientState::New | ClientState::Idle if context.shutdown.closes_idle_connections() => {
                half_close(context, id);
            }
            ClientState::New | ClientState::Idle => {
                client.state = ClientState::Idle;
                evict_surplus_idle(context);
            }
            ClientState::ClosingIfIdle | ClientState::AwaitingResponse(_) => {}
            ClientState::SendingResponse => {
                context.counters.client_answers_unread += 1;
                client.close_after_response(CloseReason::UnreadResponse);
                self.close(context, id);
            }
            ClientState::HalfClosed => self.close(context, id),
        }
    }

    /// Graceful shutdown: closes the connections without a request.
    pub fn close_idle(&self, context: &mut Context) {
        idle::close_idle(context);
    }

    /// Graceful shutdown: rejects the requests that are incomplete at the response deadline.
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

    /// Returns the query for the response to which a client waits, if any.
    pub fn awaited_query(&self, context: &mut Context, id: ConnectionId) -> Option<QueryId> {
        match context.connections.client_mut(id).state {
            ClientState::AwaitingResponse(query) => Some(query),
            _ => None,
        }
    }

    /// Closes and removes a connection, and discards its unconsumed bytes.
    pub fn close(&mut self, context: &mut Context, id: ConnectionId) {
        log_close(context, id);
        context.unread_response_bytes -= context.connections.client_mut(id).response_bytes;
        self.set_unconsumed(context, id, 0);
        context.close(id);
    }

    fn exceeds_memory_limit(&self) -> bool {
        self.unconsumed_bytes > self.max_unconsumed_bytes
    }

    /// Sets the number of unconsumed bytes of a client and updates the total. The total is limited because many
    /// incomplete or pipelined requests, each within its own limit, could together exceed the memory limit.
    fn set_unconsumed(&mut self, context: &mut Context, id: ConnectionId, count: usize) {
        let previous = std::mem::replace(&mut context.connections.client_mut(id).unconsumed_bytes, count);
        self.unconsumed_bytes = self.unconsumed_bytes - previous + count;
    }

    fn consume(&mut self, context: &mut Context, id: ConnectionId, count: usize) {
        let client = context.connections.client_mut(id);
        client.arrivals.consume(count);
        client.progress = RequestProgress::default();
        let left = client.unconsumed_bytes.saturating_sub(count);
        self.set_unconsumed(context, id, left);
        context.effects.push(Effect::Consume { connection: id, count });
    }
}

/// Logs what a connection was used for, and why it is closed. Without a reason the client closed it, or it was idle.
fn log_close(context: &mut Context, id: ConnectionId) {
    let now = context.now;
    let client = context.connections.client_mut(id);
    tracing::debug!(
        connection = id.0,
        state = ?client.state,
        reason = ?client.close_reason,
        requests = client.requests,
        errors = client.errors,
        unconsumed_bytes = client.unconsumed_bytes,
        open_ms = (now - client.connected_at) / 1000,
        "client connection closed"
    );
}
