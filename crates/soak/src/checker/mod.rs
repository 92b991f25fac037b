//! The invariants. Each violation names the rule, the ids and the times.

mod answers;
mod kills;
mod nodes;

use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::cluster::{Cluster, Hold};
use crate::config::{BUDGET_SHARE, BUDGET_WINDOW_MS, CLASSES, FREE_ATTEMPTS, MAX_DESCRIPTORS, MAX_MEMORY_MB};
use crate::record::Record;
use crate::router_process::{Incident, Usage};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What the operators allow beside each time limit, and what the machine of the test may add.
const PROTOCOL_SLACK: Micros = 50 * MILLISECOND;
const MEASURING_SLACK: Micros = 150 * MILLISECOND;
/// What measuring adds to the times of an attempt: its bytes pass a proxy before the node notes them.
const ATTEMPT_MEASURING: Micros = 50 * MILLISECOND;
/// A stall from which on other processes are likely to be stalled as well, at most so long before it is noticed.
const LONG_STALL: Micros = 20 * MILLISECOND;
const STALL_NEARBY: Micros = SECOND;
/// How much more time than its client has left an attempt may state.
const DEADLINE_SLACK: Micros = 150 * MILLISECOND;
/// How long a router may be held up between reading its clock and writing.
const HOLD_UP: Micros = 150 * MILLISECOND;
/// How long after its client left a request may still be sent to nodes.
const AFTER_LEAVING: Micros = 100 * MILLISECOND;
/// How long a client that stopped in the middle of a request waits for its end.
const BAD_CLIENT_LIMIT: Micros = 3 * SECOND;
/// How long after a node or the way to it was held up what was sent before still reaches it.
const AFTER_HOLD: Micros = 1200 * MILLISECOND;

/// A broken rule.
#[derive(Debug)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// When it was broken.
    pub at: Micros,
    /// Ids and figures.
    pub details: String,
}

impl Violation {
    /// Whether it is about the query of this id, or of this shard request's id.
    pub fn names(&self, id: &str) -> bool {
        let query = id.rsplit_once('.').map_or(id, |(query, _)| query);
        let is_id_of_query = query.contains('-');
        let mut words = self.details.split([' ', ':', '.']);
        is_id_of_query && words.any(|word| word == query)
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{} at {} ms: {}", self.rule, self.at / MILLISECOND, self.details)
    }
}

/// A request as its client saw it.
struct Request<'a> {
    at: Micros,
    router: usize,
    class: &'a str,
    expires_ms: i64,
    shards: &'a [usize],
    behind: Option<&'a str>,
    answer: Option<(Micros, u16, &'a str)>,
    left_at: Option<Micros>,
}

struct Attempt<'a> {
    at: Micros,
    node: usize,
    /// The id of the shard request.
    id: &'a str,
    /// The id of the query.
    query: &'a str,
    wait_ms: i64,
    is_executed: bool,
}

/// What is judged.
struct Judge<'a> {
    cluster: &'a Cluster,
    requests: BTreeMap<&'a str, Request<'a>>,
    attempts: Vec<Attempt<'a>>,
    /// When a process of the run did not get to run, and for how long.
    stalls: Vec<Stall>,
    violations: Vec<Violation>,
    peaks: Peaks,
}

/// A time in which a process of the run did not get to run.
#[derive(Clone, Copy, Debug)]
struct Stall {
    from: Micros,
    until: Micros,
}

/// The largest values of what is bounded, whether or not a bound was broken.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peaks {
    /// How much more time than its client had left an attempt stated.
    pub deadline_excess: Micros,
    /// How long after the end of its request an attempt reached its node.
    pub after_end: Micros,
    /// How long a process of the run did not get to run.
    pub stall: Micros,
    /// Attempts near such stalls, whose times were judged by the wider bound.
    pub near_stalls: usize,
}

/// How much was judged.
#[derive(Debug, Default)]
pub struct Totals {
    pub requests: usize,
    pub complete: usize,
    pub rejected: usize,
    pub failed: usize,
    pub attempts: usize,
    pub further_attempts: usize,
    pub peaks: Peaks,
}

/// Judges a run that has ended.
pub fn judge(cluster: &Cluster, records: &[Record]) -> (Totals, Vec<Violation>) {
    let mut judge = Judge::new(cluster, records);
    judge.check_lost(records);
    judge.check_answers();
    judge.check_effects();
    judge.check_attempts();
    judge.check_drains();
    judge.check_cold_nodes();
    judge.check_budget();
    judge.check_clients(records);
    judge.check_routers();
    judge.violations.sort_by_key(|violation| violation.at);
    (judge.totals(), judge.violations)
}

impl<'a> Judge<'a> {
    fn new(cluster: &'a Cluster, records: &'a [Record]) -> Judge<'a> {
        let mut requests = BTreeMap::new();
        let mut attempts = Vec::new();
        let mut stalls = Vec::new();
        for record in records {
            match record {
                Record::Stalled { node, from, until } => {
                    // A node that the run itself stopped shows nothing of the machine.
                    let is_stopped = |hold: &&Hold| {
                        Some(hold.node) == *node
                            && hold.from < *until
                            && hold.until.is_none_or(|at| at > *from)
                    };
                    let is_long = until - from > LONG_STALL;
                    if is_long && !cluster.holds.iter().any(|hold| is_stopped(&hold)) {
                        stalls.push(Stall { from: *from, until: *until });
                    }
                }
                Record::Asked { at, router, id, class, expires_ms, shards, behind } => {
                    let request = Request {
                        at: *at,
                        router: *router,
                        class,
                        expires_ms: *expires_ms,
                        shards,
                        behind: behind.as_deref(),
                        answer: None,
                        left_at: None,
                    };
                    requests.insert(id.as_str(), request);
                }
                Record::Received { at, node, id, wait_ms, is_executed } => {
                    let query = id.rsplit_once('.').map_or(id.as_str(), |(query, _)| query);
                    let (at, node, wait_ms, is_executed) = (*at, *node, *wait_ms, *is_executed);
                    attempts.push(Attempt { at, node, id, query, wait_ms, is_executed });
                }
                _ => {}
            }
        }
        for record in records {
            match record {
                Record::Answered { at, id, status, body } => {
                    if let Some(request) = requests.get_mut(id.as_str()) {
                        request.answer = Some((*at, *status, body));
                    }
                }
                Record::Left { at, id } => {
                    if let Some(request) = requests.get_mut(id.as_str()) {
                        request.left_at = Some(*at);
                    }
                }
                _ => {}
            }
        }
        attempts.sort_by_key(|attempt| attempt.at);
        Judge { cluster, requests, attempts, stalls, violations: Vec::new(), peaks: Peaks::default() }
    }

    fn add(&mut self, rule: &'static str, at: Micros, details: String) {
        self.violations.push(Violation { rule, at, details });
    }

    /// For how long a router may have been held up in this time, beyond what measuring needs.
    fn hold_up(&self, router: usize, from: Micros, until: Micros) -> Micros {
        let mut holds = self.cluster.router_holds.iter().filter(|hold| hold.router == router);
        let overlaps =
            holds.any(|hold| hold.from < until && hold.until.is_none_or(|ended_at| ended_at > from));
        if overlaps { HOLD_UP } else { 0 }
    }

    /// Whether a process of the run was stalled at about this time, so that records tell nothing of when the router wrote.
    fn is_near_stall(&self, at: Micros) -> bool {
        self.stalls.iter().any(|stall| (stall.from - STALL_NEARBY..stall.until + AFTER_HOLD).contains(&at))
    }

    /// What may not be repeated is executed once, and not at all where the answer says so.
    fn check_effects(&mut self) {
        let mut executed: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
        for attempt in self.attempts.iter().filter(|attempt| attempt.is_executed) {
            executed.entry(attempt.id).or_default().push(attempt);
        }
        let mut broken = Vec::new();
        for (id, attempts) in executed {
            let Some(request) = self.requests.get(attempts[0].query) else { continue };
            let may_repeat = CLASSES.iter().any(|class| class.name == request.class && class.is_idempotent);
            if may_repeat {
                continue;
            }
            let nodes: Vec<usize> = attempts.iter().map(|attempt| attempt.node).collect();
            if attempts.len() > 1 {
                broken.push(("executed twice", attempts[1].at, format!("{id} at nodes {nodes:?}")));
            }
            if let Some((at, 429 | 503, _)) = request.answer {
                broken.push(("rejected and executed", at, format!("{id} at nodes {nodes:?}")));
            }
        }
        for (rule, at, details) in broken {
            self.add(rule, at, details);
        }
    }

    /// Whether an attempt may have been sent much earlier than its node got it.
    fn may_be_held(&self, attempt: &Attempt) -> bool {
        let mut holds = self.cluster.holds.iter().filter(|hold| hold.node == attempt.node);
        holds.any(|hold| {
            let until = hold.until.map_or(Micros::MAX, |until| until + AFTER_HOLD);
            (hold.from..until).contains(&attempt.at)
        })
    }

    /// Attempts come while their client waits, and state no more time than it has left.
    fn check_attempts(&mut self) {
        let mut broken = Vec::new();
        let mut peaks = Peaks::default();
        for attempt in self.attempts.iter().filter(|attempt| !self.may_be_held(attempt)) {
            let Some(request) = self.requests.get(attempt.query) else { continue };
            let describe = |more: String| format!("{} at node {}: {more}", attempt.id, attempt.node);
            let left = request.at + request.expires_ms * MILLISECOND - attempt.at;
            let excess = attempt.wait_ms * MILLISECOND - left;
            peaks.deadline_excess = peaks.deadline_excess.max(excess);
            // Near a stall the bound is wider by what the machine may add, and never absent.
            let measuring = if self.is_near_stall(attempt.at) { MEASURING_SLACK } else { ATTEMPT_MEASURING };
            if excess > DEADLINE_SLACK + measuring {
                let more = format!("states {} ms, {} ms are left", attempt.wait_ms, left / MILLISECOND);
                broken.push(("deadline too long", attempt.at, describe(more)));
            }
            let ended_at = request.left_at.or(request.answer.map(|(at, _, _)| at));
            let ended_before = ended_at.map_or(0, |ended_at| attempt.at - ended_at);
            peaks.after_end = peaks.after_end.max(ended_before);
            let hold_up = ended_at.map_or(0, |at| self.hold_up(request.router, at, attempt.at));
            if ended_before > AFTER_LEAVING + hold_up + measuring {
                let more = format!("{} ms after its end", ended_before / MILLISECOND);
                broken.push(("sent after the end", attempt.at, describe(more)));
            }
        }
        peaks.stall = self.stalls.iter().map(|stall| stall.until - stall.from).max().unwrap_or(0);
        peaks.near_stalls = self.attempts.iter().filter(|attempt| self.is_near_stall(attempt.at)).count();
        self.peaks = peaks;
        for (rule, at, details) in broken {
            self.add(rule, at, details);
        }
    }

    /// Further attempts keep to the budget, counted for each router over the whole run.
    fn check_budget(&mut self) {
        let mut first: BTreeSet<&str> = BTreeSet::new();
        let mut further: BTreeMap<usize, (usize, Micros)> = BTreeMap::new();
        let mut arrivals: BTreeMap<usize, usize> = BTreeMap::new();
        for request in self.requests.values() {
            *arrivals.entry(request.router).or_default() += 1 + request.shards.len();
        }
        for attempt in &self.attempts {
            let Some(request) = self.requests.get(attempt.query) else { continue };
            if !first.insert(attempt.id) {
                let entry = further.entry(request.router).or_default();
                *entry = (entry.0 + 1, attempt.at);
            }
        }
        let span = self.attempts.last().map_or(0, |last| last.at - self.attempts[0].at);
        let windows = (span / (BUDGET_WINDOW_MS * MILLISECOND) + 1) as f64;
        for (router, (count, at)) in further {
            let starts = self.cluster.routers[router].incidents.iter();
            let starts = starts.filter(|(_, incident)| *incident == Incident::Started).count() as f64;
            let arrived = arrivals.get(&router).copied().unwrap_or(0) as f64;
            let allowed = FREE_ATTEMPTS * (windows + starts) + BUDGET_SHARE * arrived;
            if count as f64 > allowed {
                let details =
                    format!("router {router}: {count} further attempts where {allowed:.0} are allowed");
                self.add("budget", at, details);
            }
        }
    }

    /// Clients that stop in the middle are ended in time, and nothing follows the final answer.
    fn check_clients(&mut self, records: &[Record]) {
        for record in records {
            match record {
                Record::BadClientEnded { at, router, after, is_ended_by_router } => {
                    let is_in_time = *is_ended_by_router && *after <= BAD_CLIENT_LIMIT + MEASURING_SLACK;
                    if !is_in_time && !self.is_excused_by_kill(*router, at - after, *at) {
                        let details = format!("router {router}: not ended after {} ms", after / MILLISECOND);
                        self.add("bad client kept", *at, details);
                    }
                }
                Record::SentAfterAnswer { at, id } => self.add("sent after the answer", *at, id.clone()),
                _ => {}
            }
        }
    }

    /// Routers start, run and end as they should, and report no violation of their own.
    fn check_routers(&mut self) {
        let cluster = self.cluster;
        for router in &cluster.routers {
            let log = router.log.lock().expect("a lock");
            for &(at, incident) in &router.incidents {
                if matches!(incident, Incident::Crashed | Incident::NotReady) {
                    let last: Vec<&String> = log.iter().rev().take(3).collect();
                    self.add("router ended", at, format!("router {}: {incident:?}: {last:?}", router.index));
                }
            }
            let Usage { descriptors, kibibytes } = router.peak;
            if descriptors > MAX_DESCRIPTORS || kibibytes > 1024 * MAX_MEMORY_MB {
                let details = format!("router {}: {descriptors} descriptors, {kibibytes} KiB", router.index);
                self.violations.push(Violation { rule: "limits", at: 0, details });
            }
            for line in log.iter() {
                let is_violation = line.starts_with("invariants_violated ") && !line.ends_with(" 0");
                if is_violation || line.contains("panicked") || line.contains("rule violated") {
                    self.add("router's own check", 0, format!("router {}: {line}", router.index));
                }
            }
        }
    }

    fn totals(&self) -> Totals {
        let (requests, attempts, peaks) = (self.requests.len(), self.attempts.len(), self.peaks);
        let mut totals = Totals { requests, attempts, peaks, ..Totals::default() };
        for request in self.requests.values() {
            match request.answer {
                Some((_, 200, _)) => totals.complete += 1,
                Some((_, 429 | 503, _)) => totals.rejected += 1,
                Some(_) => totals.failed += 1,
                None => {}
            }
        }
        let distinct: BTreeSet<&str> = self.attempts.iter().map(|attempt| attempt.id).collect();
        totals.further_attempts = totals.attempts - distinct.len();
        totals
    }
}
