//! What became of the queries of usual clients, and the promise that the router has to keep beside a flood.

use super::client::{ANSWER_LIMIT, FloodTotals};
use crate::clock::{MILLISECOND, Micros};
use std::collections::BTreeMap;
use std::fmt;

/// How long after its time an answer may arrive at the latest.
const LATE_TOLERANCE: Micros = 50 * MILLISECOND;
/// The share of what is served without a flood that must still be served beside one.
const SERVED_SHARE: f64 = 0.9;

/// What a client got for a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The answer of a data node.
    Served,
    /// The query was rejected and is safe to repeat.
    Refused,
    /// The query failed.
    Failed,
    /// The connection was closed without an answer.
    Closed,
    /// The connection was not established.
    NotConnected,
    /// No answer came within a second after the query's time.
    Unanswered,
}

/// The outcome of a query of a usual client.
#[derive(Clone, Copy, Debug)]
pub struct ServedQuery {
    pub class: &'static str,
    pub outcome: Outcome,
    /// The time from the end of the client's wait to the answer; negative if the answer was in time.
    pub late: Micros,
}

impl ServedQuery {
    fn is_late(&self) -> bool {
        self.late > LATE_TOLERANCE
    }
}

/// The memory of a router, in kibibytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    /// At the start, before any flood.
    pub start: usize,
    /// The highest sample.
    pub peak: usize,
    /// Some seconds after the flood.
    pub after: usize,
    /// The limit of the configuration.
    pub limit: usize,
}

/// The result of one flood.
pub struct FloodReport {
    pub name: String,
    /// The queries before the flood, in as much time.
    pub before: Vec<ServedQuery>,
    /// The queries beside the flood.
    pub beside: Vec<ServedQuery>,
    pub flood: FloodTotals,
    pub memory: Memory,
    /// What usual clients get if valid queries of the flood may fill the data nodes; `None` if the flood has none.
    pub fair_share: Option<FairShare>,
}

/// How the queries that a router completed beside a flood are to be shared.
pub struct FairShare {
    /// The queries that the router completed for all clients.
    pub completed: usize,
    pub usual_clients: usize,
    pub flooding_clients: usize,
}

impl FairShare {
    /// Returns how many of `sent` queries usual clients are to be served: all that they send, or their part by number of
    /// clients if that is less.
    fn owed(&self, sent: usize) -> f64 {
        let clients = (self.usual_clients + self.flooding_clients).max(1);
        let share = (self.completed * self.usual_clients) as f64 / clients as f64;
        share.min(sent as f64)
    }
}

impl FloodReport {
    /// Returns a sentence for each part of the promise that was broken.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        let late = self.beside.iter().filter(|query| query.is_late()).count();
        if late > 0 {
            found.push(format!(
                "{late} of {} answers came later than their time and 50 ms",
                self.beside.len()
            ));
        }
        let closed = self.beside.iter().filter(|query| query.outcome == Outcome::Closed).count();
        if closed > 0 {
            found.push(format!("{closed} connections were closed without an answer"));
        }
        let (before, beside) = (served_share(&self.before), served_share(&self.beside));
        if self.fair_share.is_none() && beside < SERVED_SHARE * before {
            found.push(format!("{beside:.3} of the queries were served, {before:.3} without the flood"));
        }
        if let Some(fair_share) = &self.fair_share {
            let (served, owed) = (served_in_time(&self.beside), fair_share.owed(self.beside.len()));
            if fair_share.completed == 0 || (served as f64) < SERVED_SHARE * owed {
                found.push(format!("{served} queries were served, {owed:.0} are the share by client"));
            }
        }
        if self.memory.peak > self.memory.limit {
            found.push(format!("memory peak {} KiB, limit {} KiB", self.memory.peak, self.memory.limit));
        }
        let most_after = self.memory.start + (self.memory.limit - self.memory.start) / 4;
        if self.memory.after > most_after {
            found.push(format!(
                "memory {} KiB after the flood, {} at the start",
                self.memory.after, self.memory.start
            ));
        }
        if self.flood.unanswered > 0 {
            found.push(format!(
                "{} flooding clients got neither an answer nor a close within {} ms",
                self.flood.unanswered,
                ANSWER_LIMIT / MILLISECOND
            ));
        }
        found
    }
}

fn served_share(queries: &[ServedQuery]) -> f64 {
    served_in_time(queries) as f64 / queries.len().max(1) as f64
}

fn served_in_time(queries: &[ServedQuery]) -> usize {
    queries.iter().filter(|query| query.outcome == Outcome::Served && !query.is_late()).count()
}

/// Counts queries by outcome and by how late the answer was.
fn describe(queries: &[ServedQuery]) -> String {
    let mut counts: BTreeMap<(Outcome, &str), usize> = BTreeMap::new();
    for query in queries {
        let when = match query.late / MILLISECOND {
            late if late <= 0 => "in time",
            late if late <= 50 => "up to 50 ms late",
            late if late <= 500 => "up to 0.5 s late",
            _ => "later",
        };
        *counts.entry((query.outcome, when)).or_default() += 1;
    }
    let parts: Vec<String> =
        counts.iter().map(|((outcome, when), count)| format!("{count} {outcome:?} {when}")).collect();
    parts.join(", ")
}

impl fmt::Display for FloodReport {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        writeln!(formatter, "{}:", self.name)?;
        writeln!(formatter, "  before: {}", describe(&self.before))?;
        writeln!(formatter, "  beside: {}", describe(&self.beside))?;
        let mut classes: Vec<&str> = self.beside.iter().map(|query| query.class).collect();
        classes.sort_unstable();
        classes.dedup();
        for class in classes {
            let late = |query: &&ServedQuery| query.class == class && query.is_late();
            let count = self.beside.iter().filter(late).count();
            if count > 0 {
                writeln!(formatter, "  {class}: {count} late")?;
            }
        }
        writeln!(
            formatter,
            "  flood: {} connections, {} KiB sent, {} KiB received, longest wait {} ms, {} unanswered",
            self.flood.connections,
            self.flood.sent_bytes / 1024,
            self.flood.received_bytes / 1024,
            self.flood.longest_wait / MILLISECOND,
            self.flood.unanswered
        )?;
        if let Some(fair_share) = &self.fair_share {
            let (completed, owed) = (fair_share.completed, fair_share.owed(self.beside.len()));
            writeln!(
                formatter,
                "  share: {completed} queries completed, {owed:.0} of them owed to usual clients"
            )?;
        }
        let Memory { start, peak, after, limit } = self.memory;
        write!(formatter, "  memory: {start} KiB at the start, {peak} peak, {after} after, limit {limit}")
    }
}
