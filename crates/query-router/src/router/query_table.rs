//! The queries in progress with their shard requests and attempts, and the body of the response to a client.

use crate::io::{Bytes, ConnectionId};
use crate::protocol::response_body::{self, EncodedValue, ShardValue};
use crate::router::connection::response_tracker::UnconfirmedResponse;
use crate::router::context::Context;
use crate::router::executed_ids::ExecutedIds;
use crate::router::rules::{self, CheckedAction};
use crate::router::timers::Timer;
use balancer::{
    AttemptId, AttemptNumber, AttemptOutcome, Completion, Idempotency, InvalidatedResponse, Micros, NodeId,
    QueryId, ShardRequestId,
};
use slab::Slab;
use std::collections::HashSet;
use std::sync::Arc;

/// A query that has not been released.
#[derive(Debug)]
pub struct Query {
    id: Arc<str>,
    /// The connection of the client that waits for the response; `None` once the query has ended.
    client: Option<ConnectionId>,
    /// The time by which the client needs the response.
    pub deadline: Micros,
    /// Whether shard requests of the query may be repeated after they may have been executed.
    pub idempotency: Idempotency,
    /// The text that every shard request carries.
    pub text: Bytes,
    /// The shard requests, one for each requested shard.
    pub shard_requests: Vec<ShardRequestId>,
}

impl Query {
    /// Returns whether the query has its final response or its client has disconnected.
    pub fn has_ended(&self) -> bool {
        self.client.is_none()
    }
}

/// A shard request of a query that has not been released.
#[derive(Debug)]
pub struct ShardRequest {
    /// The id on the wire.
    pub id: Arc<str>,
    /// The query to which the shard request belongs.
    pub query: QueryId,
    /// The index of the shard.
    pub shard: usize,
    /// The value from the first successful response; `None` until then.
    pub value: Option<EncodedValue>,
    /// The attempt that returned the value.
    answered_by: Option<AttemptNumber>,
    /// The attempts at the shard request, indexed by attempt number.
    pub attempts: Vec<Attempt>,
}

/// An attempt at a shard request.
#[derive(Debug)]
pub struct Attempt {
    /// The node to which the attempt is sent.
    pub node: NodeId,
    /// The time at which the balancer requested the attempt.
    pub requested_at: Micros,
    /// The time at which the attempt times out.
    pub deadline: Micros,
    /// The connection on which the attempt is queued or was sent; `None` until one is assigned.
    pub connection: Option<ConnectionId>,
    /// The outcome; `None` while the attempt is in progress.
    pub outcome: Option<AttemptOutcome>,
}

impl Attempt {
    /// Returns whether the node may have executed the attempt, or may yet.
    fn may_have_been_executed(&self) -> bool {
        match self.outcome {
            Some(AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent) => false,
            None
            | Some(
                AttemptOutcome::Succeeded
                | AttemptOutcome::ServerError
                | AttemptOutcome::TimedOut
                | AttemptOutcome::ConnectionLost
                | AttemptOutcome::Cancelled
                | AttemptOutcome::MalformedResponse,
            ) => true,
        }
    }
}

/// The parameters of [`QueryTable::add_query`].
pub struct NewQuery<'a> {
    /// The id on the wire.
    pub id: &'a str,
    /// The connection of the client that waits for the response.
    pub client: ConnectionId,
    /// The time by which the client needs the response.
    pub deadline: Micros,
    /// Whether shard requests of the query may be repeated after they may have been executed.
    pub idempotency: Idempotency,
    /// The text that every shard request carries.
    pub text: String,
}

/// The end of an attempt, as it is reported to the balancer.
#[derive(Clone, Copy, Debug)]
pub struct FinishedAttempt {
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// The node to which the attempt was sent or would have been sent.
    pub node: NodeId,
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// The time between the balancer's request and the end of the attempt.
    pub latency: Micros,
}

/// The body of the response to a client.
pub struct ResponseBody {
    /// The JSON text.
    pub bytes: Vec<u8>,
    /// The number of shards whose value the body contains.
    pub values: usize,
}

/// Why a query with a certain id cannot be added. The error text is the body of the response to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IdConflict {
    /// A query with the id has not been released.
    #[error("a query with this X-Trace-Id is in progress")]
    InProgress,
    /// A query with the id may have been executed, and its class is not idempotent.
    #[error("a query with this X-Trace-Id may have been executed")]
    Executed,
}

/// The queries that have not been released, with their shard requests and attempts.
#[derive(Default)]
pub struct QueryTable {
    pub(super) queries: Slab<Query>,
    pub(super) shard_requests: Slab<ShardRequest>,
    ids: HashSet<Arc<str>>,
    executed_ids: ExecutedIds,
    /// The bytes of all texts and values.
    held_bytes: usize,
    /// The number of queries that have not ended plus the number of their shard requests.
    open_count: usize,
    /// Outcomes that have not been reported to the balancer, in order.
    pending_outcomes: Vec<FinishedAttempt>,
    /// Invalidations that have not been reported to the balancer, in order.
    pending_invalidations: Vec<InvalidatedResponse>,
}

impl QueryTable {
    /// Returns why no query with this id on the wire may be added; `None` if one may.
    pub fn id_conflict(&self, id: &str) -> Option<IdConflict> {
        if self.ids.contains(id) {
            return Some(IdConflict::InProgress);
        }
        self.executed_ids.contains(id).then_some(IdConflict::Executed)
    }

    /// Returns the number of queries that have not ended plus the number of their shard requests.
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Returns the number of queries that have not ended.
    pub fn open_query_count(&self) -> usize {
        self.queries.iter().filter(|(_, query)| !query.has_ended()).count()
    }

    /// Returns the bytes of the texts and values that the table holds.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Adds a query without shard requests.
    pub fn add_query(&mut self, query: NewQuery) -> QueryId {
        let NewQuery { id, client, deadline, idempotency, text } = query;
        let (id, text): (Arc<str>, Bytes) = (id.into(), text.into_bytes().into());
        self.ids.insert(id.clone());
        self.held_bytes += text.len();
        self.open_count += 1;
        let (client, shard_requests) = (Some(client), Vec::new());
        QueryId(self.queries.insert(Query { id, client, deadline, idempotency, text, shard_requests }))
    }

    /// Returns the id of a query on the wire; empty if the query has been released.
    pub fn wire_id(&self, query: QueryId) -> &str {
        self.queries.get(query.0).map_or("", |entry| &entry.id)
    }

    /// Returns the outcomes of all attempts of a query by shard, for the log.
    pub fn outcomes(&self, query: QueryId) -> Vec<(usize, Vec<Option<AttemptOutcome>>)> {
        let requests = self.queries.get(query.0).into_iter().flat_map(|entry| &entry.shard_requests);
        let requests = requests.map(|&request| self.shard_request(request));
        let outcomes =
            |request: &ShardRequest| request.attempts.iter().map(|attempt| attempt.outcome).collect();
        requests.map(|request| (request.shard, outcomes(request))).collect()
    }

    /// Adds a shard request to a query.
    pub fn add_shard_request(&mut self, query: QueryId, shard: usize) -> ShardRequestId {
        let entry = &mut self.queries[query.0];
        let id = format!("{}.{shard}", entry.id).into();
        let request = ShardRequest { id, query, shard, value: None, answered_by: None, attempts: Vec::new() };
        let request = ShardRequestId(self.shard_requests.insert(request));
        entry.shard_requests.push(request);
        self.open_count += 1;
        request
    }

    /// Adds the next attempt at a shard request. The attempt times out after `timeout` or at the query's deadline,
    /// whichever is first. Returns `None` if `rules` does not permit the attempt, which then ends as not sent.
    pub fn add_attempt(
        &mut self, context: &mut Context, request: ShardRequestId, node: NodeId, timeout: Option<Micros>,
    ) -> Option<AttemptId> {
        let now = context.now;
        let entry = &mut self.shard_requests[request.0];
        let query = &self.queries[entry.query.0];
        let checked = CheckedAction {
            action: "start attempt",
            id: &entry.id,
            node: Some(node),
            ..CheckedAction::default()
        };
        let is_permitted = rules::permitted(&mut context.counters, checked, rules::may_start(query, entry));
        count_repeated_attempt(context, entry, node);
        let deadline = timeout.map_or(query.deadline, |timeout| query.deadline.min(now + timeout));
        let attempt = AttemptId::new(request, AttemptNumber(entry.attempts.len()));
        entry.attempts.push(Attempt { node, requested_at: now, deadline, connection: None, outcome: None });
        context.timers.insert(deadline, Timer::AttemptTimeout(attempt));
        if !is_permitted {
            self.finish_attempt_later(context, attempt, AttemptOutcome::NotSent);
            return None;
        }
        Some(attempt)
    }

    /// Returns a query; `None` if it has been released.
    pub fn query(&self, query: QueryId) -> Option<&Query> {
        self.queries.get(query.0)
    }

    /// Returns the shard request with this id. Panics if its query has been released.
    pub fn shard_request(&self, request: ShardRequestId) -> &ShardRequest {
        &self.shard_requests[request.0]
    }

    /// Returns the shard request with this id and its query. Panics if the query has been released.
    pub fn request_and_query(&self, request: ShardRequestId) -> (&ShardRequest, &Query) {
        let entry = &self.shard_requests[request.0];
        (entry, &self.queries[entry.query.0])
    }

    /// Returns an attempt; `None` if its query has been released.
    pub fn attempt(&self, attempt: AttemptId) -> Option<&Attempt> {
        self.shard_requests.get(attempt.shard_request.0)?.attempts.get(attempt.number.0)
    }

    /// Returns the ids of all attempts at a shard request.
    pub fn attempts(&self, request: ShardRequestId) -> impl Iterator<Item = AttemptId> {
        let count = self.shard_requests[request.0].attempts.len();
        (0..count).map(move |number| AttemptId::new(request, AttemptNumber(number)))
    }

    /// Returns the ids on the wire of the attempts' shard requests, in the order of the attempts.
    pub fn ids(&self, attempts: &[AttemptId]) -> Vec<Arc<str>> {
        attempts.iter().map(|attempt| self.shard_request(attempt.shard_request).id.clone()).collect()
    }

    /// Sets the connection on which an attempt is queued.
    pub fn set_connection(&mut self, attempt: AttemptId, connection: ConnectionId) {
        let entry = &mut self.shard_requests[attempt.shard_request.0];
        entry.attempts[attempt.number.0].connection = Some(connection);
    }

    /// Stores the value from a successful response, unless an earlier response has set one.
    pub fn store_value(&mut self, attempt: AttemptId, value: &str) {
        let entry = &mut self.shard_requests[attempt.shard_request.0];
        if entry.value.is_none() {
            let value = EncodedValue::new(value);
            self.held_bytes += value.len();
            entry.value = Some(value);
            entry.answered_by = Some(attempt.number);
        }
    }

    /// Invalidates a response that returned the value or a rejection, and reports that to the balancer before its next
    /// decision. Returns false, without a change, if the query has ended or the response is not in use.
    pub fn invalidate_response(&mut self, context: &mut Context, response: &UnconfirmedResponse) -> bool {
        let attempt = response.attempt;
        let Some(entry) = self.shard_requests.get_mut(attempt.shard_request.0) else { return false };
        // The index may belong to a later shard request.
        let is_released = !Arc::ptr_eq(&entry.id, &response.request_id);
        if is_released || self.queries[entry.query.0].has_ended() {
            return false;
        }
        let state = &mut entry.attempts[attempt.number.0];
        let outcome = match state.outcome {
            Some(AttemptOutcome::Succeeded) if entry.answered_by == Some(attempt.number) => {
                self.held_bytes -= entry.value.take().map_or(0, |value| value.len());
                entry.answered_by = None;
                AttemptOutcome::Succeeded
            }
            Some(AttemptOutcome::Rejected) => AttemptOutcome::Rejected,
            _ => return false,
        };
        state.outcome = Some(AttemptOutcome::MalformedResponse);
        count_outcome(context, AttemptOutcome::MalformedResponse);
        let sent_at = state.requested_at;
        self.pending_invalidations.push(InvalidatedResponse { attempt, node: state.node, outcome, sent_at });
        true
    }

    /// Sets the outcome of an attempt. Returns `None` if the attempt has ended before or its query has been released.
    pub fn finish_attempt(
        &mut self, context: &mut Context, attempt: AttemptId, outcome: AttemptOutcome,
    ) -> Option<FinishedAttempt> {
        let entry = self.shard_requests.get_mut(attempt.shard_request.0)?;
        let state = entry.attempts.get_mut(attempt.number.0)?;
        if state.outcome.is_some() {
            return None;
        }
        state.outcome = Some(outcome);
        context.timers.remove(state.deadline, Timer::AttemptTimeout(attempt));
        count_outcome(context, outcome);
        let latency = context.now - state.requested_at;
        Some(FinishedAttempt { attempt, node: state.node, outcome, latency })
    }

    /// Sets the outcome of an attempt, which is reported to the balancer before its next decision.
    pub fn finish_attempt_later(
        &mut self, context: &mut Context, attempt: AttemptId, outcome: AttemptOutcome,
    ) {
        let finished = self.finish_attempt(context, attempt, outcome);
        self.pending_outcomes.extend(finished);
    }

    /// Returns whether there are outcomes or invalidations that have not been reported to the balancer.
    pub fn has_pending_outcomes(&self) -> bool {
        !self.pending_outcomes.is_empty() || !self.pending_invalidations.is_empty()
    }

    /// Removes and returns the invalidations that have not been reported to the balancer.
    pub fn take_pending_invalidations(&mut self) -> Vec<InvalidatedResponse> {
        std::mem::take(&mut self.pending_invalidations)
    }

    /// Removes and returns the outcomes that have not been reported to the balancer.
    pub fn take_pending_outcomes(&mut self) -> Vec<FinishedAttempt> {
        std::mem::take(&mut self.pending_outcomes)
    }

    /// Ends a query that gets its final response or whose client has disconnected. Returns the client's connection;
    /// `None` if the query had ended before.
    pub fn end_query(&mut self, query: QueryId) -> Option<ConnectionId> {
        let entry = self.queries.get_mut(query.0)?;
        let client = entry.client.take()?;
        self.open_count -= 1 + entry.shard_requests.len();
        Some(client)
    }

    /// Removes a query that has ended, and its shard requests. Their ids may be reused.
    pub fn release_query(&mut self, now: Micros, query: QueryId) {
        let Some(entry) = self.queries.get(query.0) else { return };
        if entry.idempotency == Idempotency::NonIdempotent && self.may_have_been_executed(entry) {
            self.executed_ids.insert(now, &entry.id);
        }
        let entry = self.queries.remove(query.0);
        self.ids.remove(&entry.id);
        self.held_bytes -= entry.text.len();
        for request in entry.shard_requests {
            let request = self.shard_requests.remove(request.0);
            self.held_bytes -= request.value.map_or(0, |value| value.len());
        }
    }

    /// Returns whether a node may have executed a shard request of the query.
    fn may_have_been_executed(&self, query: &Query) -> bool {
        let requests = query.shard_requests.iter().map(|&request| self.shard_request(request));
        let mut attempts = requests.flat_map(|request| &request.attempts);
        attempts.any(|attempt| attempt.may_have_been_executed())
    }

    /// Returns the body of the response to a query, with the values that data nodes returned.
    pub fn response_body(&self, query: QueryId, completion: Completion) -> ResponseBody {
        let requests = self.queries[query.0].shard_requests.iter();
        let values: Vec<ShardValue> = requests
            .map(|&request| self.shard_request(request))
            .filter_map(|request| Some(ShardValue { shard: request.shard, value: request.value.as_ref()? }))
            .collect();
        let bytes = response_body::encode(completion == Completion::Complete, &values);
        ResponseBody { bytes, values: values.len() }
    }
}

/// Counts and logs a retry or a hedged attempt; has no effect for the first attempt at a shard request.
fn count_repeated_attempt(context: &mut Context, request: &ShardRequest, node: NodeId) {
    let Some(previous) = request.attempts.last() else { return };
    let count = match previous.outcome {
        Some(_) => &mut context.counters.attempts_retried,
        None => &mut context.counters.attempts_hedged,
    };
    *count += 1;
    let (id, number) = (&*request.id, request.attempts.len());
    tracing::debug!(id, number, node = node.0, previous = ?previous.outcome, "attempt repeated");
}

fn count_outcome(context: &mut Context, outcome: AttemptOutcome) {
    let counters = &mut context.counters;
    let count = match outcome {
        AttemptOutcome::Succeeded => &mut counters.attempts_succeeded,
        AttemptOutcome::ServerError => &mut counters.attempts_server_error,
        AttemptOutcome::Rejected => &mut counters.attempts_rejected,
        AttemptOutcome::TimedOut => &mut counters.attempts_timed_out,
        AttemptOutcome::ConnectFailed => &mut counters.attempts_connect_failed,
        AttemptOutcome::ConnectionLost => &mut counters.attempts_connection_lost,
        AttemptOutcome::Cancelled => &mut counters.attempts_cancelled,
        AttemptOutcome::NotSent => &mut counters.attempts_not_sent,
        AttemptOutcome::MalformedResponse => &mut counters.attempts_malformed_response,
    };
    *count += 1;
}
