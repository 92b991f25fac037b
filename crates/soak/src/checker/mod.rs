//! The invariants of a run. Each violation states the rule, the ids and the times.

mod answers;
mod kills;
mod nodes;

use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::cluster::{Cluster, NodeDelay};
use crate::config::{
    CLASSES, FREE_RETRIES, MAX_DESCRIPTORS, MAX_MEMORY_MB, RETRY_BUDGET_SHARE, RETRY_BUDGET_WINDOW_MS,
};
use crate::record::Record;
use crate::router_process::{RouterEvent, Usage};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Tolerance by which the platform's protocol extends each time limit.
const PROTOCOL_TOLERANCE: Micros = 50 * MILLISECOND;
/// Measurement error that the machine of the test may add to each time.
const MEASUREMENT_TOLERANCE: Micros = 150 * MILLISECOND;
/// Measurement error of the time of an attempt: its bytes pass a proxy before the node records them.
const ATTEMPT_MEASUREMENT_TOLERANCE: Micros = 50 * MILLISECOND;
/// A stall longer than this suggests that other processes were stalled as well.
const LONG_STALL: Micros = 20 * MILLISECOND;
/// How long before the start of a long stall other processes may have been stalled.
const STALL_RANGE: Micros = SECOND;
/// How much the remaining time that an attempt states may exceed the time until the deadline of its request.
const DEADLINE_TOLERANCE: Micros = 150 * MILLISECOND;
/// How long a router may be delayed between reading its clock and writing to a connection.
const MAX_ROUTER_DELAY: Micros = 150 * MILLISECOND;
/// How long after a request ended, by its response or by its client's close, attempts may still be sent for it.
const MAX_SEND_AFTER_END: Micros = 100 * MILLISECOND;
/// Time within which a router has to respond to a truncated request or close its connection.
const TRUNCATED_REQUEST_LIMIT: Micros = 3 * SECOND;
/// How long after the end of a stall, or of a delay of a node or its proxy, requests that were sent before the end may
/// still reach the node.
const MAX_DELIVERY_DELAY: Micros = 1200 * MILLISECOND;

/// A violation of a rule.
#[derive(Debug)]
pub struct Violation {
    /// Name of the rule, as `--known` takes it.
    pub rule: &'static str,
    /// Time of the violation; 0 if the rule applies to the whole run.
    pub at: Micros,
    /// Ids and measured values.
    pub details: String,
}

impl Violation {
    /// Returns whether the details contain the id of this query, or the id of the query of this shard request.
    pub fn mentions(&self, id: &str) -> bool {
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

/// A request as its client reported it.
struct Request<'a> {
    at: Micros,
    router: usize,
    class: &'a str,
    expires_ms: i64,
    shards: &'a [usize],
    /// Id of the request before it on the same connection if it was pipelined.
    behind: Option<&'a str>,
    /// Time, status and body of the response; `None` without one.
    response: Option<(Micros, u16, &'a str)>,
    /// Time at which the client closed its connection before the response, if it did.
    disconnected_at: Option<Micros>,
}

/// An attempt of a shard request as its node reported it.
struct Attempt<'a> {
    at: Micros,
    node: usize,
    /// The id of the shard request.
    id: &'a str,
    /// The id of the query.
    query: &'a str,
    /// Remaining time that the attempt states.
    wait_ms: i64,
    is_executed: bool,
}

/// The records of a run, arranged for the checks, and the violations found so far.
struct Checker<'a> {
    cluster: &'a Cluster,
    requests: BTreeMap<&'a str, Request<'a>>,
    attempts: Vec<Attempt<'a>>,
    /// Long stalls of the processes of the run, and periods in which the machine was overloaded.
    stalls: Vec<Stall>,
    violations: Vec<Violation>,
    peaks: Peaks,
}

/// A period in which a process of the run was not scheduled, or the machine was overloaded.
#[derive(Clone, Copy, Debug)]
struct Stall {
    from: Micros,
    until: Micros,
}

/// Highest measured values, whether or not they exceed their bounds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peaks {
    /// How much the remaining time that an attempt stated exceeded the time until the deadline of its request.
    pub deadline_excess: Micros,
    /// How long after the end of its request an attempt reached its node.
    pub after_end: Micros,
    /// Length of the longest stall.
    pub stall: Micros,
    /// Number of attempts near stalls, to which the wider bound applied.
    pub near_stalls: usize,
}

/// Number of requests and attempts that were checked, by result.
#[derive(Debug, Default)]
pub struct Totals {
    pub requests: usize,
    pub complete: usize,
    pub rejected: usize,
    pub failed: usize,
    pub attempts: usize,
    pub repeated_attempts: usize,
    /// Responses that nodes cut off by the length of their frames.
    pub responses_cut_off: usize,
    /// Valid responses that nodes sent with surplus bytes after them.
    pub responses_with_surplus: usize,
    pub peaks: Peaks,
}

/// Checks all rules on a run that has ended. Violations are sorted by time.
pub fn check_run(cluster: &Cluster, records: &[Record]) -> (Totals, Vec<Violation>) {
    let mut checker = Checker::new(cluster, records);
    checker.check_lost(records);
    checker.check_answers();
    checker.check_executions();
    checker.check_attempts();
    checker.check_drains();
    checker.check_cold_nodes();
    checker.check_budget();
    checker.check_clients(records);
    checker.check_routers();
    checker.violations.sort_by_key(|violation| violation.at);
    (checker.totals(records), checker.violations)
}

impl<'a> Checker<'a> {
    fn new(cluster: &'a Cluster, records: &'a [Record]) -> Checker<'a> {
        let mut requests = BTreeMap::new();
        let mut attempts = Vec::new();
        let mut stalls = Vec::new();
        for record in records {
            match record {
                Record::Stalled { node, from, until } => {
                    // A stall of a node that the test stopped on purpose does not show that the machine was busy.
                    let is_stopped = |delay: &&NodeDelay| {
                        Some(delay.node) == *node
                            && delay.from < *until
                            && delay.until.is_none_or(|at| at > *from)
                    };
                    let is_long = until - from > LONG_STALL;
                    if is_long && !cluster.node_delays.iter().any(|delay| is_stopped(&delay)) {
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
                        response: None,
                        disconnected_at: None,
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
                        request.response = Some((*at, *status, body));
                    }
                }
                Record::Left { at, id } => {
                    if let Some(request) = requests.get_mut(id.as_str()) {
                        request.disconnected_at = Some(*at);
                    }
                }
                _ => {}
            }
        }
        attempts.sort_by_key(|attempt| attempt.at);
        Checker { cluster, requests, attempts, stalls, violations: Vec::new(), peaks: Peaks::default() }
    }

    fn add(&mut self, rule: &'static str, at: Micros, details: String) {
        self.violations.push(Violation { rule, at, details });
    }

    /// Returns how long a router may have been delayed in this period, in addition to the measurement error.
    fn router_delay(&self, router: usize, from: Micros, until: Micros) -> Micros {
        let mut delays = self.cluster.router_delays.iter().filter(|delay| delay.router == router);
        let overlaps =
            delays.any(|delay| delay.from < until && delay.until.is_none_or(|ended_at| ended_at > from));
        if overlaps { MAX_ROUTER_DELAY } else { 0 }
    }

    /// Returns whether there was a stall near this time, so that records do not show when the router wrote.
    fn is_near_stall(&self, at: Micros) -> bool {
        self.stalls
            .iter()
            .any(|stall| (stall.from - STALL_RANGE..stall.until + MAX_DELIVERY_DELAY).contains(&at))
    }

    /// Checks that shard requests of non-idempotent classes are executed at most once, and not at all if the response
    /// says that the request was rejected.
    fn check_executions(&mut self) {
        let mut executed: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
        for attempt in self.attempts.iter().filter(|attempt| attempt.is_executed) {
            executed.entry(attempt.id).or_default().push(attempt);
        }
        let mut found = Vec::new();
        for (id, attempts) in executed {
            let Some(request) = self.requests.get(attempts[0].query) else { continue };
            let is_idempotent_class =
                CLASSES.iter().any(|class| class.name == request.class && class.is_idempotent);
            if is_idempotent_class {
                continue;
            }
            let nodes: Vec<usize> = attempts.iter().map(|attempt| attempt.node).collect();
            if attempts.len() > 1 {
                found.push(("executed twice", attempts[1].at, format!("{id} at nodes {nodes:?}")));
            }
            if let Some((at, 429 | 503, _)) = request.response {
                found.push(("rejected and executed", at, format!("{id} at nodes {nodes:?}")));
            }
        }
        for (rule, at, details) in found {
            self.add(rule, at, details);
        }
    }

    /// Returns whether an attempt may have been sent much earlier than its node received it.
    fn may_be_delayed(&self, attempt: &Attempt) -> bool {
        let mut delays = self.cluster.node_delays.iter().filter(|delay| delay.node == attempt.node);
        delays.any(|delay| {
            let until = delay.until.map_or(Micros::MAX, |until| until + MAX_DELIVERY_DELAY);
            (delay.from..until).contains(&attempt.at)
        })
    }

    /// Checks that attempts arrive while their client waits, and that the remaining time that they state does not
    /// exceed the time until the deadline of the request.
    fn check_attempts(&mut self) {
        let mut found = Vec::new();
        let mut peaks = Peaks::default();
        for attempt in self.attempts.iter().filter(|attempt| !self.may_be_delayed(attempt)) {
            let Some(request) = self.requests.get(attempt.query) else { continue };
            let describe = |more: String| format!("{} at node {}: {more}", attempt.id, attempt.node);
            let remaining = request.at + request.expires_ms * MILLISECOND - attempt.at;
            let excess = attempt.wait_ms * MILLISECOND - remaining;
            peaks.deadline_excess = peaks.deadline_excess.max(excess);
            // The bound applies at all times; near a stall it is wider by the delay that the machine may add.
            let tolerance = if self.is_near_stall(attempt.at) {
                MEASUREMENT_TOLERANCE
            } else {
                ATTEMPT_MEASUREMENT_TOLERANCE
            };
            if excess > DEADLINE_TOLERANCE + tolerance {
                let more = format!(
                    "states a remaining time of {} ms, {} ms are left",
                    attempt.wait_ms,
                    remaining / MILLISECOND
                );
                found.push(("deadline too long", attempt.at, describe(more)));
            }
            let ended_at = request.disconnected_at.or(request.response.map(|(at, _, _)| at));
            let since_end = ended_at.map_or(0, |ended_at| attempt.at - ended_at);
            peaks.after_end = peaks.after_end.max(since_end);
            let router_delay = ended_at.map_or(0, |at| self.router_delay(request.router, at, attempt.at));
            if since_end > MAX_SEND_AFTER_END + router_delay + tolerance {
                let more = format!("{} ms after its request ended", since_end / MILLISECOND);
                found.push(("sent after the end", attempt.at, describe(more)));
            }
        }
        peaks.stall = self.stalls.iter().map(|stall| stall.until - stall.from).max().unwrap_or(0);
        peaks.near_stalls = self.attempts.iter().filter(|attempt| self.is_near_stall(attempt.at)).count();
        self.peaks = peaks;
        for (rule, at, details) in found {
            self.add(rule, at, details);
        }
    }

    /// Checks that retries and hedged attempts stay within the retry budget, for each router over the whole run.
    fn check_budget(&mut self) {
        let mut first: BTreeSet<&str> = BTreeSet::new();
        let mut repeated: BTreeMap<usize, (usize, Micros)> = BTreeMap::new();
        let mut arrivals: BTreeMap<usize, usize> = BTreeMap::new();
        for request in self.requests.values() {
            *arrivals.entry(request.router).or_default() += 1 + request.shards.len();
        }
        for attempt in &self.attempts {
            let Some(request) = self.requests.get(attempt.query) else { continue };
            if !first.insert(attempt.id) {
                let entry = repeated.entry(request.router).or_default();
                *entry = (entry.0 + 1, attempt.at);
            }
        }
        let span = self.attempts.last().map_or(0, |last| last.at - self.attempts[0].at);
        let windows = (span / (RETRY_BUDGET_WINDOW_MS * MILLISECOND) + 1) as f64;
        for (router, (count, at)) in repeated {
            let starts = self.cluster.routers[router].events.iter();
            let starts = starts.filter(|(_, event)| *event == RouterEvent::Started).count() as f64;
            let arrived = arrivals.get(&router).copied().unwrap_or(0) as f64;
            let allowed = FREE_RETRIES * (windows + starts) + RETRY_BUDGET_SHARE * arrived;
            if count as f64 > allowed {
                let details = format!(
                    "router {router}: {count} retries and hedged attempts where {allowed:.0} are allowed"
                );
                self.add("budget", at, details);
            }
        }
    }

    /// Checks that routers end truncated requests in time and send nothing after the final response.
    fn check_clients(&mut self, records: &[Record]) {
        for record in records {
            match record {
                Record::BadClientEnded { at, router, after, is_ended_by_router } => {
                    let is_in_time =
                        *is_ended_by_router && *after <= TRUNCATED_REQUEST_LIMIT + MEASUREMENT_TOLERANCE;
                    if !is_in_time && !self.is_excused_by_kill(*router, at - after, *at) {
                        let details = format!(
                            "router {router}: connection with a truncated request was open for {} ms",
                            after / MILLISECOND
                        );
                        self.add("bad client kept", *at, details);
                    }
                }
                Record::SentAfterAnswer { at, id } => self.add("sent after the answer", *at, id.clone()),
                _ => {}
            }
        }
    }

    /// Checks that routers start and exit normally, stay within their limits and log no violation of their invariants.
    fn check_routers(&mut self) {
        let cluster = self.cluster;
        for router in &cluster.routers {
            let log = router.log.lock().expect("the mutex is not poisoned");
            for &(at, event) in &router.events {
                if matches!(event, RouterEvent::Crashed | RouterEvent::NotReady) {
                    let last: Vec<&String> = log.iter().rev().take(3).collect();
                    self.add(
                        "router ended",
                        at,
                        format!("router {}: {event:?}; last log lines, newest first: {last:?}", router.index),
                    );
                }
            }
            let Usage { descriptors, kibibytes } = router.peak;
            if descriptors > MAX_DESCRIPTORS || kibibytes > 1024 * MAX_MEMORY_MB {
                let details = format!(
                    "router {}: {descriptors} descriptors (limit {MAX_DESCRIPTORS}), {kibibytes} KiB \
                     (limit {MAX_MEMORY_MB} MiB)",
                    router.index
                );
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

    fn totals(&self, records: &[Record]) -> Totals {
        let (requests, attempts, peaks) = (self.requests.len(), self.attempts.len(), self.peaks);
        let mut totals = Totals { requests, attempts, peaks, ..Totals::default() };
        for request in self.requests.values() {
            match request.response {
                Some((_, 200, _)) => totals.complete += 1,
                Some((_, 429 | 503, _)) => totals.rejected += 1,
                Some(_) => totals.failed += 1,
                None => {}
            }
        }
        for record in records {
            match record {
                Record::Responded { form, .. } if form.is_cut_off() => totals.responses_cut_off += 1,
                Record::Responded { .. } => totals.responses_with_surplus += 1,
                _ => {}
            }
        }
        let distinct: BTreeSet<&str> = self.attempts.iter().map(|attempt| attempt.id).collect();
        totals.repeated_attempts = totals.attempts - distinct.len();
        totals
    }
}
