//! The queries in progress, their shard requests and attempts, and the body of an answer.

use crate::io::{Bytes, ConnectionId};
use crate::router::context::Context;
use crate::router::rules::{self, Subject};
use crate::router::timers::Timer;
use balancer::{
    AttemptId, AttemptNumber, AttemptOutcome, Completion, Idempotency, Micros, NodeId, QueryId,
    ShardRequestId,
};
use serde_json::{Value as Json, json};
use slab::Slab;
use std::collections::HashSet;
use std::rc::Rc;

/// A query in progress.
#[derive(Debug)]
pub struct Query {
    id: Rc<str>,
    /// The client that waits for the answer; `None` once it was answered or has disconnected.
    client: Option<ConnectionId>,
    /// The time by which the client needs the answer.
    pub deadline: Micros,
    /// Whether its shard requests may be repeated.
    pub idempotency: Idempotency,
    /// What is sent to each shard.
    pub text: Bytes,
    /// Its shard requests.
    pub shard_requests: Vec<ShardRequestId>,
}

impl Query {
    /// Whether it was answered or its client has disconnected.
    pub fn has_ended(&self) -> bool {
        self.client.is_none()
    }
}

/// A shard request of a query in progress.
#[derive(Debug)]
pub struct ShardRequest {
    /// Its id on the wire.
    pub id: Rc<str>,
    /// The query that it belongs to.
    pub query: QueryId,
    /// The index of the shard.
    pub shard: usize,
    /// The value that a data node answered with.
    pub value: Option<String>,
    /// Its attempts by number.
    pub attempts: Vec<Attempt>,
}

/// An attempt at a shard request.
#[derive(Debug)]
pub struct Attempt {
    /// The node that it is sent to.
    pub node: NodeId,
    /// When the balancer requested it.
    pub requested_at: Micros,
    /// When the router stops waiting for it.
    pub deadline: Micros,
    /// The connection on which it is queued or was sent.
    pub connection: Option<ConnectionId>,
    /// How it ended, once that is known.
    pub outcome: Option<AttemptOutcome>,
}

/// A query to be added.
pub struct NewQuery<'a> {
    /// Its id on the wire.
    pub id: &'a str,
    /// The client that waits for the answer.
    pub client: ConnectionId,
    /// The time by which the client needs the answer.
    pub deadline: Micros,
    /// Whether its shard requests may be repeated.
    pub idempotency: Idempotency,
    /// What is sent to each shard.
    pub text: String,
}

/// An attempt whose outcome is known.
#[derive(Clone, Copy, Debug)]
pub struct FinishedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The node that it was for.
    pub node: NodeId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The time since it was requested.
    pub latency: Micros,
}

/// The body of an answer to a client.
pub struct AnswerBody {
    /// The JSON text.
    pub bytes: Vec<u8>,
    /// How many shards' values it contains.
    pub values: usize,
}

/// All queries in progress.
#[derive(Default)]
pub struct QueryTable {
    pub(super) queries: Slab<Query>,
    pub(super) shard_requests: Slab<ShardRequest>,
    ids: HashSet<Rc<str>>,
    /// The number of unanswered queries plus the number of their shard requests.
    open: usize,
    /// Outcomes that were not reported to the balancer yet, in order.
    pending_outcomes: Vec<FinishedAttempt>,
}

impl QueryTable {
    /// Whether a query with this id is in progress.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// The number of unanswered queries plus the number of their shard requests.
    pub fn open_count(&self) -> usize {
        self.open
    }

    /// Adds a query.
    pub fn add_query(&mut self, query: NewQuery) -> QueryId {
        let NewQuery { id, client, deadline, idempotency, text } = query;
        let (id, text): (Rc<str>, Bytes) = (id.into(), text.into_bytes().into());
        self.ids.insert(id.clone());
        self.open += 1;
        let (client, shard_requests) = (Some(client), Vec::new());
        QueryId(self.queries.insert(Query { id, client, deadline, idempotency, text, shard_requests }))
    }

    /// The id of a query on the wire, empty if it is not in progress.
    pub fn wire_id(&self, query: QueryId) -> &str {
        self.queries.get(query.0).map_or("", |entry| &entry.id)
    }

    /// The outcomes of all attempts of a query by shard, for the log.
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
        let request = ShardRequest { id, query, shard, value: None, attempts: Vec::new() };
        let request = ShardRequestId(self.shard_requests.insert(request));
        entry.shard_requests.push(request);
        self.open += 1;
        request
    }

    /// Adds the next attempt at a shard request, which lasts for the timeout or until the query's deadline. One that a
    /// rule forbids ends at once; then there is nothing to send.
    pub fn add_attempt(
        &mut self, context: &mut Context, request: ShardRequestId, node: NodeId, timeout: Option<Micros>,
    ) -> Option<AttemptId> {
        let now = context.now;
        let entry = &mut self.shard_requests[request.0];
        let query = &self.queries[entry.query.0];
        let subject = Subject { action: "start attempt", id: &entry.id, node: Some(node), connection: None };
        let is_permitted = rules::permitted(&mut context.counters, subject, rules::may_start(query, entry));
        count_repetition(context, entry, node);
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

    /// A query, if it is in progress.
    pub fn query(&self, query: QueryId) -> Option<&Query> {
        self.queries.get(query.0)
    }

    /// The shard request with this id, which must exist.
    pub fn shard_request(&self, request: ShardRequestId) -> &ShardRequest {
        &self.shard_requests[request.0]
    }

    /// The shard request of an attempt and its query.
    pub fn request_and_query(&self, request: ShardRequestId) -> (&ShardRequest, &Query) {
        let entry = &self.shard_requests[request.0];
        (entry, &self.queries[entry.query.0])
    }

    /// An attempt, if its query has not been released.
    pub fn attempt(&self, attempt: AttemptId) -> Option<&Attempt> {
        self.shard_requests.get(attempt.shard_request.0)?.attempts.get(attempt.number.0)
    }

    /// All attempts at a shard request.
    pub fn attempts(&self, request: ShardRequestId) -> impl Iterator<Item = AttemptId> {
        let count = self.shard_requests[request.0].attempts.len();
        (0..count).map(move |number| AttemptId::new(request, AttemptNumber(number)))
    }

    /// The ids of these attempts' shard requests on the wire.
    pub fn ids(&self, attempts: &[AttemptId]) -> Vec<Rc<str>> {
        attempts.iter().map(|attempt| self.shard_request(attempt.shard_request).id.clone()).collect()
    }

    /// Notes the connection on which an attempt is queued.
    pub fn set_connection(&mut self, attempt: AttemptId, connection: ConnectionId) {
        let entry = &mut self.shard_requests[attempt.shard_request.0];
        entry.attempts[attempt.number.0].connection = Some(connection);
    }

    /// Stores the value that a node answered with, unless another attempt brought one before.
    pub fn store_value(&mut self, request: ShardRequestId, value: &str) {
        self.shard_requests[request.0].value.get_or_insert_with(|| value.to_string());
    }

    /// Notes that an attempt has ended; `None` if that was known.
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

    /// Notes that an attempt has ended, which is reported to the balancer before its next decision.
    pub fn finish_attempt_later(
        &mut self, context: &mut Context, attempt: AttemptId, outcome: AttemptOutcome,
    ) {
        let finished = self.finish_attempt(context, attempt, outcome);
        self.pending_outcomes.extend(finished);
    }

    /// Whether there are outcomes that were not reported to the balancer yet.
    pub fn has_pending_outcomes(&self) -> bool {
        !self.pending_outcomes.is_empty()
    }

    /// Takes the outcomes that were not reported to the balancer yet.
    pub fn take_pending_outcomes(&mut self) -> Vec<FinishedAttempt> {
        std::mem::take(&mut self.pending_outcomes)
    }

    /// Notes that a query is answered or that its client has disconnected. Returns the client, if it was waiting until
    /// now.
    pub fn end_query(&mut self, query: QueryId) -> Option<ConnectionId> {
        let entry = self.queries.get_mut(query.0)?;
        let client = entry.client.take()?;
        self.open -= 1 + entry.shard_requests.len();
        Some(client)
    }

    /// Removes a query that has ended; its ids may be reused.
    pub fn release_query(&mut self, query: QueryId) {
        let Some(entry) = self.queries.try_remove(query.0) else { return };
        self.ids.remove(&entry.id);
        for request in entry.shard_requests {
            self.shard_requests.remove(request.0);
        }
    }

    /// The body of a query's answer: the values as data nodes answered them.
    pub fn answer_body(&self, query: QueryId, completion: Completion) -> AnswerBody {
        let requests = &self.queries[query.0].shard_requests;
        let matches: Vec<Json> = requests
            .iter()
            .map(|&request| self.shard_request(request))
            .filter_map(|request| {
                let value = request.value.as_ref()?;
                Some(json!({"segment": request.shard, "payload": value}))
            })
            .collect();
        let values = matches.len();
        let complete = completion == Completion::Complete;
        let bytes = json!({"all_in": complete, "matches": matches}).to_string().into_bytes();
        AnswerBody { bytes, values }
    }
}

/// Counts and logs an attempt that is not the first at its shard request.
fn count_repetition(context: &mut Context, request: &ShardRequest, node: NodeId) {
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
