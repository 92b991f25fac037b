//! Rules on answers: each request gets one in time, and it says what nodes answered.

use super::{Judge, MEASURING_SLACK};
use crate::clock::{MILLISECOND, Micros};
use crate::record::Record;
use serde_json::Value as Json;
use std::collections::BTreeSet;

/// How much longer an answer may take before its request counts as lost.
const LATE_ANSWER: Micros = 500 * MILLISECOND;

impl Judge<'_> {
    /// Each request gets its final answer in time.
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
                    if *is_timeout { "no answer" } else { "closed" },
                    (at - request.at) / MILLISECOND,
                    if *is_new_connection { "new" } else { "used" }
                );
                self.add("lost", *at, details);
            }
        }
        self.check_asked_again(records);
        let mut late = Vec::new();
        for (id, request) in &self.requests {
            let Some((at, status, _)) = request.answer else { continue };
            let limit = LATE_ANSWER + MEASURING_SLACK;
            // Answers come in the order of the requests.
            let earlier = request.behind.and_then(|earlier| self.requests.get(earlier)?.answer);
            let due_at = request.at + request.expires_ms * MILLISECOND;
            let due_at = due_at.max(earlier.map_or(0, |(answered_at, _, _)| answered_at));
            if at > due_at + limit {
                late.push((at, format!("{id}: {status} after {} ms", (at - request.at) / MILLISECOND)));
            }
        }
        for (at, details) in late {
            self.add("late answer", at, details);
        }
    }

    /// A request that its client has to send again must not have been read before its connection was closed: an attempt
    /// by then shows that it was.
    fn check_asked_again(&mut self, records: &[Record]) {
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
                    format!("{id} of router {router}: closed after it was read, asked again"),
                );
            }
        }
    }

    /// Whether a request on a new connection may have been closed unread: where a crowd fills the descriptors.
    fn may_be_unread(&self, id: &str) -> bool {
        self.cluster.has_crowd() && !self.attempts.iter().any(|attempt| attempt.query == id)
    }

    /// Answers say what nodes answered.
    pub(super) fn check_answers(&mut self) {
        let mut false_answers = Vec::new();
        for (id, request) in &self.requests {
            let Some((at, 200, body)) = request.answer else { continue };
            if let Err(reason) = check_body(id, request.shards, body) {
                false_answers.push((at, format!("{id}: {reason}: {body}")));
            }
        }
        for (at, details) in false_answers {
            self.add("false answer", at, details);
        }
    }
}

/// Says what is wrong with the body of an answer.
fn check_body(id: &str, shards: &[usize], body: &str) -> Result<(), &'static str> {
    let body: Json = serde_json::from_str(body).map_err(|_| "not JSON")?;
    let matches = body["matches"].as_array().ok_or("no matches")?;
    let mut seen = BTreeSet::new();
    for value in matches {
        let shard = value["segment"].as_u64().ok_or("no segment")? as usize;
        if !shards.contains(&shard) || !seen.insert(shard) {
            return Err("a shard that was not asked for, or twice");
        }
        if value["payload"] != format!("{shard}/{id}") {
            return Err("a value that no node made");
        }
    }
    let is_complete = seen.len() == shards.len();
    if seen.is_empty() || body["all_in"] == Json::Bool(true) && !is_complete {
        return Err("marked complete and is not");
    }
    Ok(())
}
