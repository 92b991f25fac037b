//! Queries and shard requests, indexed by their identifiers.

use super::node_table::NodeTable;
use super::query::{Query, QueryFingerprint};
use super::shard_request::ShardRequest;
use crate::{AttemptId, AttemptNumber, AttemptOutcome, Micros, NodeId, QueryId, ShardRequestId};
use std::ops::{Index, IndexMut};

/// Progress of a set of shard requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// Total weight of the answered shard requests.
    pub answered_weight: f64,
    /// Total weight of the shard requests that are answered or pending.
    pub possible_weight: f64,
    /// Whether a shard request is pending.
    pub any_pending: bool,
    /// Whether all shard requests are answered.
    pub all_answered: bool,
    /// Whether a shard request was abandoned.
    pub any_abandoned: bool,
}

/// Summary of a query's attempts in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlightSummary {
    /// Number of attempts in flight.
    pub attempts: usize,
    /// Time at which the query's last attempt was sent, whether or not it is in flight; 0 if there was none.
    pub last_sent_at: Micros,
}

/// Queries and shard requests, indexed by their identifiers, which the front end reuses after their release.
#[derive(Default)]
pub struct QueryTable {
    queries: Vec<Option<Query>>,
    shard_requests: Vec<Option<ShardRequest>>,
    /// Queries that have not ended, in the order of their arrival.
    open: Vec<QueryId>,
    /// Queries that have ended but may still have attempts in flight.
    ended: Vec<QueryId>,
}

impl QueryTable {
    /// Adds a query that has arrived.
    pub fn insert(&mut self, id: QueryId, query: Query) {
        if self.queries.len() <= id.0 {
            self.queries.resize(id.0 + 1, None);
        }
        self.queries[id.0] = Some(query);
        self.open.push(id);
    }

    /// Adds a shard request to its query.
    pub fn insert_shard_request(&mut self, id: ShardRequestId, shard_request: ShardRequest) {
        if self.shard_requests.len() <= id.0 {
            self.shard_requests.resize(id.0 + 1, None);
        }
        self[shard_request.query].shard_requests.push(id);
        self.shard_requests[id.0] = Some(shard_request);
    }

    /// Returns the queries that have not ended, in the order of their arrival.
    pub fn open(&self) -> &[QueryId] {
        &self.open
    }

    /// Limits the deadlines and latency objectives of all open queries to `latest`.
    pub fn limit_deadlines(&mut self, latest: Micros) {
        for &id in &self.open {
            let Some(query) = &mut self.queries[id.0] else { continue };
            query.deadline = query.deadline.min(latest);
            query.latency_objective = query.latency_objective.min(latest);
        }
    }

    /// Returns the query that a shard request belongs to.
    pub fn query_of(&self, id: ShardRequestId) -> &Query {
        &self[self[id].query]
    }

    /// Returns the shard requests of the current step that have no attempts and are not abandoned.
    pub fn not_attempted(&self, id: QueryId) -> Vec<ShardRequestId> {
        let mut not_attempted = self[id].current_step().to_vec();
        not_attempted.retain(|&id| self[id].attempts.is_empty() && !self[id].is_abandoned());
        not_attempted
    }

    /// Returns whether an attempt of the query may have been executed.
    pub fn may_have_executed(&self, id: QueryId) -> bool {
        self[id].shard_requests.iter().any(|&id| self[id].may_have_executed_since.is_some())
    }

    /// Returns the properties that a client's retries of the query share with it.
    pub fn fingerprint(&self, id: QueryId) -> QueryFingerprint {
        let query = &self[id];
        QueryFingerprint {
            class: query.class,
            tenant: query.tenant,
            first_shard: query.shard_requests.first().map_or(0, |&id| self[id].shard),
            shard_requests: query.shard_requests.len(),
        }
    }

    /// Returns the progress of a set of shard requests.
    pub fn progress(&self, shard_requests: &[ShardRequestId]) -> Progress {
        let mut progress = Progress {
            answered_weight: 0.0,
            possible_weight: 0.0,
            any_pending: false,
            all_answered: true,
            any_abandoned: false,
        };
        for shard_request in shard_requests.iter().map(|&id| &self[id]) {
            progress.answered_weight += shard_request.is_answered() as u8 as f64 * shard_request.weight;
            progress.possible_weight += !shard_request.is_abandoned() as u8 as f64 * shard_request.weight;
            progress.any_pending |= shard_request.is_pending();
            progress.all_answered &= shard_request.is_answered();
            progress.any_abandoned |= shard_request.is_abandoned();
        }
        progress
    }

    /// Returns a summary of the query's attempts in flight.
    pub fn in_flight(&self, id: QueryId) -> InFlightSummary {
        let mut in_flight = InFlightSummary::default();
        for shard_request in self[id].shard_requests.iter().map(|&id| &self[id]) {
            in_flight.attempts += shard_request.in_flight;
            in_flight.last_sent_at = in_flight.last_sent_at.max(shard_request.sent_at);
        }
        in_flight
    }

    /// Returns the attempts in flight of a shard request.
    pub fn attempts_in_flight(
        &self, id: ShardRequestId, nodes: &NodeTable,
    ) -> impl Iterator<Item = AttemptId> {
        let attempts = self[id].attempts.iter().enumerate().filter(move |_| self[id].in_flight > 0);
        attempts
            .map(|(number, &node)| (AttemptNumber(number), node))
            .filter(move |&(number, node)| nodes[node].has_in_flight(id, number))
            .map(move |(number, _)| AttemptId::new(id, number))
    }

    /// Records the outcome of an attempt of a shard request.
    pub fn attempt_ended(&mut self, id: ShardRequestId, node: NodeId, outcome: AttemptOutcome) {
        let query = self[id].query;
        self[query].attempt_ended(node, outcome);
        self[id].attempt_ended(outcome);
    }

    /// Marks shard requests as abandoned.
    pub fn abandon<'a>(&mut self, shard_requests: impl Iterator<Item = &'a ShardRequestId>) {
        for &id in shard_requests {
            self[id].abandon();
        }
    }

    /// Moves a query from the open to the ended ones; has no effect if it has already ended.
    pub fn close(&mut self, id: QueryId) {
        if let Some(index) = self.open.iter().position(|&open| open == id) {
            self.open.remove(index);
            self.ended.push(id);
        }
    }

    /// Removes the ended queries without attempts in flight, and returns them.
    pub fn release_ended(&mut self) -> Vec<QueryId> {
        let is_in_flight =
            |&id: &QueryId| self[id].shard_requests.iter().any(|&request| self[request].in_flight > 0);
        let (kept, released): (Vec<_>, Vec<_>) = self.ended.iter().partition(|id| is_in_flight(id));
        self.ended = kept;
        for &id in &released {
            self.remove(id);
        }
        released
    }

    fn remove(&mut self, id: QueryId) {
        for shard_request in self.queries[id.0].take().map_or(Vec::new(), |query| query.shard_requests) {
            self.shard_requests[shard_request.0] = None;
        }
    }

    /// Returns whether a query or shard request refers to a node.
    pub fn refers_to(&self, node: NodeId) -> bool {
        self.shard_requests.iter().flatten().any(|shard_request| shard_request.attempts.contains(&node))
            || self.queries.iter().flatten().any(|query| query.crashed_nodes.contains(&node))
    }
}

impl Index<QueryId> for QueryTable {
    type Output = Query;

    fn index(&self, id: QueryId) -> &Query {
        self.queries[id.0].as_ref().expect("the query has been released")
    }
}

impl IndexMut<QueryId> for QueryTable {
    fn index_mut(&mut self, id: QueryId) -> &mut Query {
        self.queries[id.0].as_mut().expect("the query has been released")
    }
}

impl Index<ShardRequestId> for QueryTable {
    type Output = ShardRequest;

    fn index(&self, id: ShardRequestId) -> &ShardRequest {
        self.shard_requests[id.0].as_ref().expect("the shard request has been released")
    }
}

impl IndexMut<ShardRequestId> for QueryTable {
    fn index_mut(&mut self, id: ShardRequestId) -> &mut ShardRequest {
        self.shard_requests[id.0].as_mut().expect("the shard request has been released")
    }
}
