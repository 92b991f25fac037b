//! Rules on responses: each request gets one in time, and its content comes from the nodes.

use super::{Checker, MEASUREMENT_TOLERANCE};
use crate::clock::{MILLISECOND, Micros};
use crate::record::Record;
use crate::response::value_of;
use serde_json::Value as Json;
use std::collections::BTreeSet;

/// How long after the deadline of its request a response may arrive, besides the measurement error.
const MAX_RESPONSE_DELAY: Micros = 500 * MILLISECOND;

impl Checker<'_> {
    /// Checks that each request gets its final response in time.
    pub(super) fn check_lost(&mut self, records: &[Record]) {
        for record in records {
            let Record::Lost { at, id, is_new_connection, is_timeout } = record else { continue };
            let Some(request) = self.requests.get(id.as_str()) else { continue };
            let is_excused = self.is_excused_by_kill(request.router, request.at, *at)
                || *is_new_connection && !*is_timeout && self.may_be_unread(id);
            if !is_excused {
                let details = format!(
                    "{id} ({}) of router {}: {} after {} ms on a {} connection",
                    request.class,
                    request.router,
                    if *is_timeout { "no response" } else { "closed" },
                    (at - request.at) / MILLISECOND,
                    if *is_new_connection { "new" } else { "reused" }
                );
                self.add("lost", *at, details);
            }
        }
        self.check_resent(records);
        let mut late = Vec::new();
        for (id, request) in &self.requests {
            let Some((at, status, _)) = request.response else { continue };
            let limit = MAX_RESPONSE_DELAY + MEASUREMENT_TOLERANCE;
            // Responses to pipelined requests arrive in the order of the requests.
            let earlier = request.behind.and_then(|earlier| self.requests.get(earlier)?.response);
            let due_at = request.at + request.expires_ms * MILLISECOND;
            let due_at = due_at.max(earlier.map_or(0, |(responded_at, _, _)| responded_at));
            if at > due_at + limit {
                late.push((at, format!("{id}: {status} after {} ms", (at - request.at) / MILLISECOND)));
            }
        }
        for (at, details) in late {
            self.add("late answer", at, details);
        }
    }

    /// Checks that a request that its client had to send again had not been read before its connection was closed. An
    /// attempt before that time shows that the router had read it.
    fn check_resent(&mut self, records: &[Record]) {
        for record in records {
            let Record::ClosedUnanswered { at, router, id } = record else { continue };
            let attempts = self.attempts.iter().filter(|attempt| attempt.query == id);
            let Some(first_at) = attempts.map(|attempt| attempt.at).filter(|first_at| first_at < at).min()
            else {
                continue;
            };
            if !self.is_excused_by_kill(*router, first_at, *at) {
                self.add(
                    "lost",
                    *at,
                    format!("{id} of router {router}: closed after it was read; client sent it again"),
                );
            }
        }
    }

    /// Returns whether the router may have closed the new connection of a request without reading it: only if idle
    /// connections use up the descriptors and no attempt was sent.
    fn may_be_unread(&self, id: &str) -> bool {
        self.cluster.has_idle_connections() && !self.attempts.iter().any(|attempt| attempt.query == id)
    }

    /// Checks that successful responses contain values of the nodes only, and are complete if they are marked so.
    pub(super) fn check_answers(&mut self) {
        let mut found = Vec::new();
        for (id, request) in &self.requests {
            let Some((at, 200, body)) = request.response else { continue };
            if let Err(reason) = check_body(id, request.shards, body) {
                found.push((at, format!("{id}: {reason}: {body}")));
            }
        }
        for (at, details) in found {
            self.add("false answer", at, details);
        }
    }
}

/// Checks the body of a response. The error describes the first fault.
fn check_body(id: &str, shards: &[usize], body: &str) -> Result<(), &'static str> {
    let body: Json = serde_json::from_str(body).map_err(|_| "the body is not valid JSON")?;
    let matches = body["matches"].as_array().ok_or("the body has no array `matches`")?;
    let mut seen = BTreeSet::new();
    for value in matches {
        let shard = value["segment"].as_u64().ok_or("a match has no number `segment`")? as usize;
        if !shards.contains(&shard) || !seen.insert(shard) {
            return Err("a shard was not requested or is present twice");
        }
        if value["payload"] != value_of(&shard.to_string(), id) {
            return Err("a value differs from that of the node");
        }
    }
    let is_complete = seen.len() == shards.len();
    if seen.is_empty() || body["all_in"] == Json::Bool(true) && !is_complete {
        return Err("the body has no match, or is marked complete while shards are missing");
    }
    Ok(())
}
