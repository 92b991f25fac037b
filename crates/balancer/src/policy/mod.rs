//! The decisions of yewpier: one `Balancer` decides for one router, from its settings and its own events.
//!
//! A front calls the methods of `Events`, then `settle`, and carries out the `Actions` (`lib.rs`). In `settle`
//! each retrieval runs down `CHAIN`, whose stages pass it on, keep it or end it; a shot's outcome runs it the
//! other way: `learn` (choice of node), `free` (admission), the book. `docs/design.md` has the departures.

#[cfg(test)]
mod tests;

use crate::query_table::Node;
use crate::query_table::{Book, Class, Effect, NodeState, Part, Retrieval, Shards, Shot, Site};
use crate::sliding_window::Samples;
use crate::{
    Actions, AttemptEnd, AttemptId, AttemptNumber, AttemptOutcome, Completion, Endpoint, EndpointHealth,
    EndpointUpdate, Events, LoadReport, Micros, NodeId, QueryArrival, QueryId, Settings, ShardRequestArrival,
    ShardRequestId,
};
use std::cmp::Reverse;

/// How long a sample speaks for the present.
const RECENT: Micros = 10_000_000;
/// Parts in flight at a listed node to start with, and at most.
const BOUND: f64 = 8.0;
/// The share of shots turned away up to which new retrievals go as they come, and how much slower at most.
const CROWDED: f64 = 0.02;
const SLOWEST: f64 = 10.0;
/// How long nodes that fell make for caution, and how many.
const ALARM: Micros = 30_000_000;
const FALLEN: usize = 3;
/// How much care the choice of a node takes, from the most to the least; see `state`.
const NEAR: u8 = 4;
const EVEN: u8 = 3;
const SOUND: u8 = 2;
const OPEN: u8 = 1;

/// What a stage does with a retrieval.
enum Step {
    Pass,
    Keep,
    Finish(Completion),
}

type Stage = fn(&mut Balancer, Micros, usize, &mut dyn Actions) -> Step;
const CHAIN: [Stage; 5] =
    [Balancer::reduce, Balancer::time_left, Balancer::scout, Balancer::admit, Balancer::further];

#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    site: Site,
    classes: Vec<Class>,
    rng: fastrand::Rng,
    nodes: Vec<NodeState>,
    shards: Shards,
    book: Book,
    /// Retrievals without a final answer by arrival, and those ended that still have shots out.
    open: Vec<usize>,
    ended: Vec<usize>,
    /// By node, the parts of waiting retrievals that come before others there.
    claims: Vec<usize>,
    now: Micros,
    usual: Option<[Micros; 3]>,
    /// By tenant, what it asked and may ask a second.
    tenants: Vec<(Samples, f64)>,
    lags: Samples,
    /// By zone, lags of answers from it, and how much longer the way there is than to the nearest.
    zones: Vec<Samples>,
    ways: Vec<Micros>,
    /// How long nodes had said nothing before a shot, below zero if it was lost; the pause to doubt.
    rests: Samples,
    doubtful: Micros,
    /// Work sent, since when it decides, and what that makes for a ready node a microsecond.
    sent: Samples,
    began: Option<Micros>,
    average: f64,
    taken: Samples,
    further: Samples,
    turns: u64,
    listing: Option<EndpointUpdate>,
    lists: u64,
    subscribed: bool,
    ask_at: Micros,
    ask_failures: u32,
    timer_at: Option<Micros>,
    /// Nodes that fell of late, whether that makes for caution, and what retrievals brought them down.
    falls: Samples,
    cautious: bool,
    /// Of shots answered or turned away by a second node, 1 for those; until when new retrievals wait for that.
    turned: Samples,
    paced_until: Micros,
    fatal: Vec<(Micros, [usize; 4])>,
}

impl Balancer {
    pub fn new(seed: u64, settings: Settings) -> Self {
        Balancer {
            shards: Shards::new(&settings),
            site: Site::new(&settings),
            settings,
            rng: fastrand::Rng::with_seed(seed),
            sent: Samples::new(1 << 12),
            lags: Samples::new(128),
            rests: Samples::new(64),
            doubtful: Micros::MAX,
            taken: Samples::new(1 << 16),
            further: Samples::new(1 << 12),
            falls: Samples::new(FALLEN),
            turned: Samples::new(128),
            ..Default::default()
        }
    }

    /// Answers are sent this long before a limit, since the router acts on ticks.
    fn margin(&self) -> Micros {
        2 * self.site.tick + 2_000
    }

    /// Answers when the parts are in that make it whole; ends what no longer can be.
    fn reduce(&mut self, now: Micros, r: usize, acts: &mut dyn Actions) -> Step {
        let held = self.book.held(r);
        let (step, class) = (held.step, &self.classes[held.class]);
        let parts = &held.parts[step..];
        if parts.is_empty() {
            return Step::Keep;
        }
        let need = if step > 0 { 1.0 } else { class.need };
        let floor = if step > 0 && class.need <= class.floor { 1.0 } else { class.floor.min(need) };
        let (inside, possible, waiting, all) = self.book.tally(parts);
        parts.iter().filter(|&&p| self.book.part(p).done).for_each(|&p| self.withdraw(p, acts));
        let whole = all || (need < 1.0 && inside >= need);
        // Departure: where a floor allows it, the agreed time's end is worth an answer from part.
        let pays = class.part_share * inside / need > class.late_share;
        let ends = if pays { held.agreed.min(held.until) } else { held.until } - self.margin();
        let end = if whole && (step == 0 || held.first_whole) {
            Completion::Complete
        } else if inside >= floor && (whole || !waiting || now >= ends) {
            Completion::Partial
        } else if possible + 1e-5 < floor && parts.iter().any(|&p| self.book.part(p).lost) {
            return self.doom(r);
        } else {
            return Step::Pass;
        };
        if step > 0 || !class.second_step {
            return Step::Finish(end);
        }
        let held = self.book.held_mut(r);
        (held.step, held.first_whole) = (held.parts.len(), end == Completion::Complete);
        acts.complete_query(QueryId(r), end);
        Step::Keep
    }

    /// An end without an answer: deferred only if asking again is harmless, with advice if it was not sent.
    fn doom(&self, r: usize) -> Step {
        let held = self.book.held(r);
        let ran = held.parts.iter().any(|&p| self.book.part(p).may_have_run.is_some());
        let harmless = !ran || self.classes[held.class].effect == Effect::Safe;
        let wait = held.admitted.is_none() as Micros * self.site.stay_away;
        Step::Finish(if harmless {
            Completion::Rejected { retry_after: Some(wait).filter(|&wait| wait > 0) }
        } else {
            Completion::Failed
        })
    }

    /// Ends what ran out of time: unsent work that can no longer be in time, sent work that pays no more.
    fn time_left(&mut self, now: Micros, r: usize, _acts: &mut dyn Actions) -> Step {
        let held = self.book.held(r);
        let class = &self.classes[held.class];
        let end = if class.late_share > 0.0 { held.until } else { held.agreed };
        let over = match held.admitted {
            None => now + class.span > end - self.margin(),
            Some(_) => class.late_share <= 0.0 && now >= held.agreed,
        };
        if over || now >= held.until - self.margin() { self.doom(r) } else { Step::Pass }
    }

    /// Bounds the parts in flight; a new retrieval goes with all its parts or waits; what is left follows.
    fn admit(&mut self, now: Micros, r: usize, acts: &mut dyn Actions) -> Step {
        let held = self.book.held(r);
        let (new, floor) = (held.admitted.is_none(), self.classes[held.class].floor);
        if new && held.again && self.fatal.iter().any(|f| f.0 > now - ALARM && f.1 == self.book.likeness(r)) {
            return self.doom(r);
        }
        let count = held.parts.len();
        if new && count > self.site.call_parts && now < self.paced_until {
            return Step::Keep;
        }
        self.forgo(now, r);
        let held = self.book.held(r);
        let mut unsent = held.parts[held.step..].to_vec();
        unsent.retain(|&p| self.book.part(p).shots.is_empty() && !self.book.part(p).lost);
        let mut plan = self.plan(now, &unsent);
        if new {
            let sure: f64 = plan.iter().map(|&(p, _)| self.book.part(p).weight).sum();
            // Departure: what its floor lets be answered without the rest may go; the rest follows with room.
            if plan.len() < unsent.len() && (floor >= 1.0 || sure < floor) {
                // What it waits for is kept for it, so that smaller ones do not pass it there for ever.
                plan.sort_unstable();
                unsent.retain(|p| plan.binary_search_by_key(p, |x| x.0).is_err());
                let waits = unsent.iter().filter_map(|&p| self.pick(now, &[p], &[], false));
                let waits: Vec<_> = waits.filter(|x| x.1 >= OPEN).collect();
                waits.into_iter().for_each(|(n, _)| self.claims[n] += 1);
                return Step::Keep;
            }
            // Departure: while nodes keep falling, the first call goes ahead of the rest; see `scout`.
            let first = plan.first().map(|x| x.1);
            plan.retain(|x| !self.cautious || Some(x.1) == first);
            self.paced_until = now + self.pause(now, count);
            let held = self.book.held_mut(r);
            (held.admitted, held.scouted) = (Some(now), self.cautious);
        }
        plan.into_iter().for_each(|(part, node)| self.send(now, part, node, acts));
        Step::Pass
    }

    /// Departure: half of what its floor spares is not fought for at nodes that turn shots away. Guards against
    /// retrievals that can be answered without a jammed cell taking its places from those that need it.
    fn forgo(&mut self, now: Micros, r: usize) {
        let held = self.book.held(r);
        let (class, parts) = (&self.classes[held.class], held.parts[held.step..].to_vec());
        let (least, mut possible) = ((class.floor + class.need) / 2.0, self.book.tally(&parts).1);
        for p in parts.into_iter().filter(|_| class.floor < class.need) {
            let (part, partial) = (self.book.part(p), possible + 1e-5 < class.need);
            let jammed = |&n: &Node| self.nodes[n].fulls > 0 && self.nodes[n].full_until > now - RECENT;
            let idle = !part.done && !part.lost && part.out == 0 && possible - part.weight >= least;
            let all = || self.shards.holders(part.shard).iter().all(jammed);
            if idle && (partial && part.shots.last().is_some_and(jammed) || all()) {
                possible -= part.weight;
                self.book.part_mut(p).lost = true;
            }
        }
    }

    /// How long the next retrieval of more than a call waits for the one that goes now. Guards against routers that
    /// learn too little of each node: by all nodes' answers they send as many times less as too many were full.
    fn pause(&self, now: Micros, parts: usize) -> Micros {
        let from = now - RECENT / 2;
        let slower = self.turned.sum(from) / self.turned.count(from).max(16) as f64 / CROWDED;
        if slower <= 1.0 {
            return 0;
        }
        let asked = self.taken.sum(from) / (RECENT / 2) as f64;
        (parts as f64 * slower.min(SLOWEST) / asked) as Micros
    }

    /// Guards against a retrieval that brings down each node that begins a part of it; none of its parts was ever
    /// answered. Holds back what is unsent, and other tries, until one is; ends it once all it sent fell.
    fn scout(&mut self, now: Micros, r: usize, _acts: &mut dyn Actions) -> Step {
        let held = self.book.held(r);
        if held.answered || !held.scouted && held.fallen.is_empty() {
            return Step::Pass;
        }
        let parts = held.parts.iter().map(|&p| self.book.part(p));
        let (out, last) = parts.fold((0, 0), |sum, part| (sum.0 + part.out, part.sent_at.max(sum.1)));
        if out > 0 && now - last <= self.limit(held.class, 0) {
            return Step::Keep;
        }
        if out == 0 && held.fallen.len() > 1 {
            self.fatal.retain(|f| f.0 > now - ALARM);
            self.fatal.push((now, self.book.likeness(r)));
            return self.doom(r);
        }
        Step::Pass
    }

    /// Further shots: another try for a part whose shots are over, a second copy for an overdue one.
    fn further(&mut self, now: Micros, r: usize, acts: &mut dyn Actions) -> Step {
        let held = self.book.held(r);
        let (class, agreed, until) = (held.class, held.agreed, held.until);
        let parts = held.parts[held.step..].to_vec();
        // Where the middle lag is long, everything waits, and copies would feed that.
        let crowded = self.usual.is_some_and(|u| 4 * u[1] > self.classes[class].agreed);
        // What the budget cannot carry to its end ends now: the client's next try finds the nodes known.
        let over: Vec<usize> = parts.iter().copied().filter(|&p| self.book.part(p).is_over()).collect();
        let spare = if over.is_empty() { 0.0 } else { self.spare(now, false).max(0.0) };
        over.iter().skip(spare as usize).for_each(|&p| self.book.part_mut(p).lost = true);
        let mut lost = over.len() as f64 > spare;
        if lost && let Step::Finish(end) = self.reduce(now, r, acts) {
            return Step::Finish(end);
        }
        for p in parts {
            let part = self.book.part(p);
            let Some(&last) = part.shots.last().filter(|_| !part.done && !part.lost) else { continue };
            let late = now - part.sent_at > self.limit(class, last)
                || self.nodes[last].record(class).barred_until > now;
            let copy = part.out > 0;
            if late && copy && part.rest >= 0 {
                let rest = std::mem::replace(&mut self.book.part_mut(p).rest, -1);
                self.rested(now, true, rest);
            }
            let part = self.book.part(p);
            if copy && !(late && part.out < 2 && self.site.copies && !crowded) {
                continue;
            }
            let in_time = now + self.usual.map_or(0, |u| u[1]) < if copy { agreed } else { until };
            if part.shots.len() >= self.site.most_shots
                || !in_time
                || !self.may_run_again(now, p, class, copy)
            {
                self.book.part_mut(p).lost = !copy;
                lost |= !copy;
                continue;
            }
            if self.spare(now, copy) >= 1.0
                && let Some((node, care)) = self.pick(now, &[p], &[], false)
                && (!copy && care >= OPEN || care >= SOUND && !self.book.part(p).shots.contains(&node))
            {
                self.further.push(now, 1.0);
                self.send(now, p, node, acts);
            }
        }
        if lost { self.reduce(now, r, acts) } else { Step::Pass }
    }

    /// Nodes for the parts, by turns, parts that can share a call together; parts without one are left out.
    fn plan(&self, now: Micros, parts: &[usize]) -> Vec<(usize, Node)> {
        let most = self.site.call_parts;
        let (mut left, mut plan) = (parts.to_vec(), Vec::new());
        let class = parts.first().map_or(0, |&p| self.book.held(self.book.part(p).retrieval).class);
        while !left.is_empty() {
            let Some((node, _)) = self.pick(now, &left, &plan, true).filter(|&(_, care)| care >= OPEN) else {
                left.remove(0);
                continue;
            };
            let room = most.min(self.room(node, plan.iter().filter(|x| x.1 == node).count(), class));
            let held = left.iter().copied().filter(|&p| self.holds(node, p)).take(room);
            let goes: Vec<usize> = held.collect();
            left.retain(|p| !goes.contains(p));
            plan.extend(goes.into_iter().map(|p| (p, node)));
        }
        plan
    }

    /// The node for the first of `left`: by care, then by how full the call is, then by turns.
    fn pick(&self, now: Micros, left: &[usize], plan: &[(usize, Node)], bound: bool) -> Option<(Node, u8)> {
        let (part, most) = (self.book.part(left[0]), self.site.call_parts);
        let holders = self.shards.holders(part.shard);
        let class = self.book.held(part.retrieval).class;
        let rest: Vec<Node> = holders.iter().copied().filter(|n| !part.shots.contains(n)).collect();
        let holders = if rest.is_empty() { holders } else { rest };
        let planned = |n: Node| plan.iter().filter(|x| x.1 == n).count();
        let roomy = |n: Node| !bound || self.room(n, planned(n), class) > 0;
        if !holders.iter().any(|&n| roomy(n)) {
            return None;
        }
        let finish = |n: Node| self.pace(now, n) * (1.0 + (self.nodes[n].out.len() + planned(n)) as f64);
        let rated: Vec<(Node, u8, f64)> =
            holders.into_iter().map(|n| (n, self.state(now, n, class), finish(n))).collect();
        let best = rated.iter().filter(|x| x.1 == SOUND).map(|x| x.2).fold(f64::INFINITY, f64::min);
        let care = |&(n, state, finish): &(Node, u8, f64)| match state {
            SOUND if finish > 2.0 * best + self.usual.map_or(0.0, |u| u[1] as f64) => SOUND,
            SOUND => [EVEN, NEAR][(self.nodes[n].zone == self.site.zone) as usize],
            _ => state,
        };
        rated
            .iter()
            .filter(|&&(n, ..)| roomy(n) && self.cold_room(now, n, planned(n) + 1, class))
            .min_by_key(|&x| {
                let shared = left.iter().filter(|&&p| self.holds(x.0, p));
                let (node, shared) = (&self.nodes[x.0], Reverse(shared.take(most).count()));
                // Guards against routers that start together all taking the first of a list first.
                (Reverse(care(x)), shared, planned(x.0), node.turn, (node.lot * 1e9) as u64)
            })
            .map(|x| (x.0, care(x)))
    }

    /// How good a node is: `SOUND` with nothing overdue and not being tried already, `OPEN` if not barred.
    fn state(&self, now: Micros, n: Node, class: usize) -> u8 {
        let node = &self.nodes[n];
        let record = node.record(class);
        if record.barred_until > now || node.full_until > now {
            return 0;
        }
        let overdue = node.oldest_out().is_some_and(|at| now - at > self.limit(class, n));
        // An unsafe part gets no other shot: its first choice breaks off less than a tenth of what it begins.
        let doubt = node.in_doubt(class);
        let proven = !doubt && node.lost(now - RECENT) < 0.1;
        let wanting = !proven && self.classes[class].effect == Effect::Unsafe;
        if overdue || wanting || doubt && !node.out.is_empty() { OPEN } else { SOUND }
    }

    /// How many parts more a node may hold of this router's.
    fn room(&self, n: Node, planned: usize, class: usize) -> usize {
        let (node, call, few) = (&self.nodes[n], self.site.call_parts, self.site.call_parts.max(2));
        // Departure: among many routers one call each is too much for a node: under that a bound is a pause,
        // and what failed is tried with a part. Guards against jams that all the tries together keep up.
        let struck = node.in_doubt(class);
        if node.bound < few as f64 || struck {
            let open = node.out.is_empty() && self.now >= node.open_at;
            let most = if struck { self.least().ceil() as usize } else { few };
            return (open as usize * most).saturating_sub(self.claims[n] + planned);
        }
        let before = node.out.iter().filter(|s| s.at < self.now).count();
        // Departure: a filled node opens again for a whole call, so that what waits shares the call's cost.
        if node.filled && before > (node.bound as usize).saturating_sub(call) {
            return 0;
        }
        (node.bound as usize).saturating_sub(node.out.len() + self.claims[n] + planned)
    }

    /// The least bound: one call or two parts, but of many routers' together no more than four times that.
    fn least(&self) -> f64 {
        let few = self.site.call_parts.max(2) as f64;
        few.min(BOUND / 2.0 * few / self.site.routers)
    }

    fn holds(&self, n: Node, part: usize) -> bool {
        self.shards.hold(self.nodes[n].cell, self.book.part(part).shard)
    }

    /// What a shot takes at a node: its own recent lags, a shot still out for longer, else the usual.
    fn pace(&self, now: Micros, n: Node) -> f64 {
        let node = &self.nodes[n];
        let usual = self.usual.map_or(1.0, |u| (u[1] + self.way(n)) as f64);
        let age = node.oldest_out().map_or(0, |at| now - at) as f64;
        node.lags.quantile(0.5, now - RECENT / 2).unwrap_or(usual).max(age)
    }

    /// A low, the middle and a high lag of late, once some are learned, and what else is usual.
    fn learn_usual(&mut self, now: Micros) {
        let from = now - RECENT;
        self.usual = (self.lags.count(from) >= 16)
            .then(|| [0.3, 0.5, 0.9].map(|q| self.lags.quantile(q, from).unwrap_or(0.0) as Micros));
        let low: Vec<_> =
            self.zones.iter().map(|z| z.quantile(0.2, from).filter(|_| z.count(from) > 7)).collect();
        let least = low.iter().flatten().copied().fold(f64::INFINITY, f64::min);
        self.ways = low.into_iter().map(|low| low.map_or(0, |low| (low - least) as Micros)).collect();
        // Guards against a restarted router that takes the time before its start for one without traffic.
        let up = (now - *self.began.get_or_insert(now)).clamp(RECENT / 10, RECENT);
        self.average = self.sent.sum(from) / up as f64 / self.shards.ready.max(1) as f64;
        for class in &mut self.classes {
            class.span = class.spans.quantile(0.75, from).map_or(0, |s| (s as Micros).min(class.agreed / 2));
        }
    }

    /// Guards against a slow way between zones being taken for slow nodes: how much longer it is.
    fn way(&self, n: Node) -> Micros {
        self.ways.get(self.nodes[n].zone).copied().unwrap_or(0)
    }

    /// How long a shot may be out: the agreed time until lags are learned, then half of it at most.
    fn limit(&self, class: usize, n: Node) -> Micros {
        let agreed = self.classes[class].agreed;
        self.usual.map_or(agreed, |u| (agreed / 2).min(2 * u[2] + self.way(n)))
    }

    /// Since when a node is cold, and what it bears of a core by the rule's own figures; nothing for a warm one.
    fn bears(&self, now: Micros, n: Node) -> Option<(Micros, f64)> {
        let (window, multiple, cold, warm_up) = self.site.tip;
        let start = self.nodes[n].up_since.max(self.nodes[n].missed);
        let age = (now - window - start).max(0) as f64;
        let capacity = cold + (1.0 - cold) * age / warm_up as f64;
        (start != 0 && now - start < warm_up).then_some((start, multiple * capacity))
    }

    /// What a node is good for now; a front that hands decisions on asks, and acts on nothing else.
    pub fn endpoint_health(&self, now: Micros, node: NodeId) -> EndpointHealth {
        let n = node.0;
        let Some(node) = self.nodes.get(n).filter(|node| node.list > 0 && !node.gone) else {
            return EndpointHealth::Removed;
        };
        let barred = node.records.iter().map(|record| record.barred_until).max().unwrap_or(0);
        let parts = node.bound * self.site.routers;
        match self.bears(now, n) {
            _ if !node.ready => EndpointHealth::Draining,
            _ if barred > now => EndpointHealth::EjectedUntil(barred),
            _ if (0..self.classes.len()).any(|g| node.in_doubt(g)) => {
                EndpointHealth::Suspect { capacity: self.least() }
            }
            Some((_, share)) if share < 1.0 => EndpointHealth::WarmingUp { capacity: parts * share, share },
            _ => EndpointHealth::Healthy { capacity: parts },
        }
    }

    /// What share of new work for `nodes` would be deferred for want of room, going by what others hold there.
    pub fn shed_fraction(&self, now: Micros, nodes: &[NodeId]) -> f64 {
        let (mut room, mut held) = (0.0, 0.0);
        for &node in nodes {
            let n = node.0;
            match self.endpoint_health(now, node) {
                EndpointHealth::Healthy { capacity: parts }
                | EndpointHealth::Suspect { capacity: parts }
                | EndpointHealth::WarmingUp { capacity: parts, .. } => {
                    room += parts;
                    held +=
                        self.nodes[n].told.filter(|told| told.0 > now - RECENT).map_or(0.0, |told| told.1);
                }
                _ => {}
            }
        }
        if held > room { 1.0 - room / held } else { 0.0 }
    }

    /// This router's share of what a cold node of one core can take in the rule's window.
    fn cold_room(&self, now: Micros, n: Node, parts: usize, class: usize) -> bool {
        let (node, window) = (&self.nodes[n], self.site.tip.0);
        let Some((start, bears)) = self.bears(now, n) else { return true };
        let room = bears * window as f64 / self.site.routers;
        let work = parts as f64 * self.part_work(class) + self.site.call_work;
        if node.sent.sum(now - window) + work <= room {
            return true;
        }
        // Among many routers that is less than a call. What all send a warm node is no more than that can do,
        // so each may save up the part of its own average that the rule allows until it makes a call.
        let since = node.sent.last().filter(|&at| at > start);
        let saved = (now - since.unwrap_or(start)) as f64 * bears * self.average;
        saved >= work * since.map_or(node.lot, |_| 1.0)
    }

    /// Work of a part is not told: a low lag is near it, a tenth of the agreed time until one is learned.
    fn part_work(&self, class: usize) -> f64 {
        self.usual.map_or(self.classes[class].agreed as f64 / 10.0, |u| u[0] as f64)
    }

    fn send(&mut self, now: Micros, part: usize, node: Node, acts: &mut dyn Actions) {
        let class = self.book.held(self.book.part(part).retrieval).class;
        let (mut work, call) = (self.part_work(class), self.site.call_work);
        let to = &mut self.nodes[node];
        if to.out.last().is_none_or(|s| s.at < now) {
            work += call;
            self.turns += 1;
        }
        to.turn = self.turns;
        to.sent.push(now, work);
        self.sent.push(now, work);
        // Guards against connections that were dropped unseen while idle: a new one costs little.
        if now - to.heard > self.doubtful && to.out.is_empty() {
            acts.close_idle_connections(NodeId(node));
            to.heard = now;
        }
        let rest = now - to.heard.min(now);
        let trial = self.book.part_mut(part).sent(now, node, rest);
        to.out.push(Shot { part, trial, at: now, rest });
        to.filled = to.out.len() >= to.bound as usize;
        acts.send_attempt(ShardRequestId(part), NodeId(node), None);
    }

    fn withdraw(&self, part: usize, acts: &mut dyn Actions) {
        if self.site.withdraw {
            self.book.trials_out(part, &self.nodes).for_each(|trial| {
                acts.cancel_attempt(AttemptId::new(ShardRequestId(part), AttemptNumber(trial)))
            });
        }
    }

    /// Proof that it never ran frees any part for another shot; without it only what may be repeated.
    fn may_run_again(&self, now: Micros, p: usize, class: usize, copy: bool) -> bool {
        let class = &self.classes[class];
        match (self.book.part(p).may_have_run, class.effect) {
            (None, _) => !copy,
            (Some(first), Effect::Keyed) => now < first + class.repeat - self.margin(),
            (_, effect) => effect == Effect::Safe,
        }
    }

    /// How many further shots the budget leaves; copies keep to half, and to a tenth of what was taken.
    fn spare(&self, now: Micros, copy: bool) -> f64 {
        let stated = self.site.budget.map_or(f64::INFINITY, |(window, free, share)| {
            let all = free + share * self.taken.sum(now - window + 1);
            if copy { all / 2.0 } else { all }.floor() - self.further.sum(now - window)
        });
        let from = now - RECENT / 2;
        let own = 4.0 + 0.1 * self.taken.sum(from) - self.further.sum(from);
        if copy { stated.min(own) } else { stated }
    }

    fn finish(&mut self, now: Micros, r: usize, end: Completion, acts: &mut dyn Actions) {
        let held = self.book.held(r);
        held.parts.iter().filter(|&&p| !self.book.part(p).done).for_each(|&p| self.withdraw(p, acts));
        acts.complete_query(QueryId(r), end);
        if let (Completion::Complete, Some(at)) = (end, held.admitted) {
            self.classes[held.class].spans.push(now, (now - at) as f64);
        }
        self.close(r);
    }

    fn close(&mut self, r: usize) {
        if let Some(at) = self.open.iter().position(|&x| x == r) {
            self.open.remove(at);
            self.ended.push(r);
        }
    }

    /// Choice of node: what the end of a shot says of its node.
    fn learn(&mut self, now: Micros, n: Node, class: usize, outcome: AttemptOutcome, lag: Micros) {
        let limit = self.limit(class, n);
        let usual = self.usual.map_or(limit / 8, |u| u[1]);
        let slow_way = self.way(n) > usual;
        let node = &mut self.nodes[n];
        let (silent, late) =
            (matches!(outcome, AttemptOutcome::Cancelled | AttemptOutcome::TimedOut), lag > limit);
        // Guards against connections that come up late: a node that answered while one was awaited is no fallen one.
        let alive = outcome == AttemptOutcome::ConnectFailed && (now - lag + 1..=now).contains(&node.heard);
        if !outcome.proves_not_executed() && (!silent || late) {
            node.fates.push(now, (outcome != AttemptOutcome::Succeeded) as u8 as f64);
        }
        // Guards against a late list: what is out of reach comes back cold, until it answers as warm ones do.
        node.missed = if outcome == AttemptOutcome::ConnectFailed && !alive { now } else { node.missed };
        match outcome {
            AttemptOutcome::Succeeded => {
                let record = node.record_mut(class);
                (record.strikes, record.last_ok) = (record.strikes / 2, now);
                (node.fulls, node.full_until, node.heard, node.struck) = (0, now, now, 0);
                node.missed *= (lag > usual) as Micros;
                node.lags.push(now, lag as f64);
                self.lags.push(now, lag as f64);
                Samples::at(&mut self.zones, node.zone, 64).push(now, lag as f64);
                return;
            }
            // Guards against a storm of shots that a full node turns away, each at the cost of work.
            AttemptOutcome::Rejected if now < node.full_until => return,
            AttemptOutcome::Rejected => {
                node.fulls = (node.fulls + 1).min(5);
                return node.full_until = now + ((usual / 2) << node.fulls).min(RECENT / 10);
            }
            // Guards against answers spoilt and connections broken on the way: one call at a time until it answers.
            AttemptOutcome::MalformedResponse | AttemptOutcome::ConnectionLost => return node.struck = now,
            _ if outcome == AttemptOutcome::NotSent || alive || silent && !late => return,
            _ => {}
        }
        if outcome == AttemptOutcome::ConnectFailed && node.record(class).barred_until < node.struck {
            self.falls.push(now, 1.0);
        }
        if outcome != AttemptOutcome::ServerError {
            node.lags.push(now, lag.max(limit) as f64);
        }
        // One strike an episode; a silence does not count for a class that was answered meanwhile.
        for g in 0..self.classes.len() {
            let record = node.record_mut(g);
            if now >= record.barred_until && !(silent && (record.last_ok > now - lag || slow_way)) {
                record.strikes = (record.strikes + 1).min(5);
                record.barred_until = now + (250_000 << record.strikes);
            }
        }
    }

    /// Learns from how long a pause on shots are lost; a lossy way or a silent node loses them after any.
    fn rested(&mut self, now: Micros, lost: bool, rest: Micros) {
        self.rests.push(now, if lost { -rest as f64 } else { rest as f64 });
        let doubtful = |&pause: &f64| {
            let [short, long] = self.rests.split(now - ALARM, pause);
            long.0 > 1.0 && 5.0 * long.0 > long.1 && long.0 * (short.1 + 1.0) > 2.0 * short.0 * long.1
        };
        if lost {
            let pauses = self.rests.since(now - ALARM).map(|r| -r).filter(|&r| r > 1e5).filter(doubtful);
            self.doubtful = pauses.fold(Micros::MAX as f64, f64::min) as Micros;
        }
    }

    /// Admission: a node's bound follows what its lags leave of the agreed time.
    fn free(&mut self, now: Micros, n: Node, class: usize, outcome: AttemptOutcome, lag: Micros) {
        let (few, least) = (self.site.call_parts.max(2) as f64, self.least());
        let target = 0.25 * self.classes[class].agreed as f64;
        let slow = (lag - self.way(n)) as f64 > target
            && matches!(outcome, AttemptOutcome::Succeeded | AttemptOutcome::Cancelled);
        let node = &mut self.nodes[n];
        if slow || outcome == AttemptOutcome::Rejected {
            if now - node.bound_moved > lag {
                let cut = if node.bound > few { 0.8 } else { (target / lag as f64).clamp(0.5, 0.8) };
                node.bound = (node.bound.min(node.out.len() as f64 + 1.0) * cut).max(least);
                node.bound_moved = now;
            }
        } else if outcome == AttemptOutcome::Succeeded {
            node.bound = (node.bound + (1.0 / node.bound).min(node.bound / 4.0)).min(BOUND);
        }
        if node.bound < few {
            let usual = self.usual.map_or(lag, |u| lag.max(u[1]));
            let pause = (usual as f64 * (few / node.bound - 1.0)).min(RECENT as f64 / 5.0);
            node.open_at = now + pause as Micros;
        }
    }

    /// Subscribes where the list must be asked for; keeps a timer while a retrieval is open.
    fn wake(&mut self, now: Micros, acts: &mut dyn Actions) {
        let asks = self.site.ask_within.filter(|_| !self.subscribed);
        if let Some(within) = asks.filter(|_| now >= self.ask_at) {
            acts.watch_endpoints(true);
            self.ask_at = now + within.max(1_000_000);
        }
        let next = now + self.site.tick.max(1_000);
        let at = if self.open.is_empty() { self.ask_at.max(next) } else { next };
        if (asks.is_some() || !self.open.is_empty()) && self.timer_at.is_none_or(|t| t > at || t <= now) {
            acts.set_timer(at - now, 0);
            self.timer_at = Some(at);
        }
    }
}

impl Events for Balancer {
    fn endpoint_update_started(&mut self, _now: Micros, listing: EndpointUpdate) {
        (self.listing, self.lists) = (Some(listing), self.lists + 1);
    }

    fn endpoint_listed(&mut self, now: Micros, endpoint: &Endpoint) {
        let &Endpoint {
            node: NodeId(n), zone, replica_set: cell, state: phase, started_at: up_since, ..
        } = endpoint;
        if self.nodes.len() <= n {
            self.claims.resize(n + 1, 0);
            let rng = &mut self.rng;
            self.nodes.resize_with(n + 1, || NodeState::new(BOUND, rng.f64(), 16, 1 << 10));
        }
        let node = &mut self.nodes[n];
        node.named(zone, cell, phase, self.lists);
        if up_since > node.up_since {
            // A fresh start: what was held against the old process is void.
            node.starts(up_since);
            if up_since > now - ALARM / 2 {
                self.falls.push(now, 1.0);
            }
        }
    }

    fn endpoint_update_finished(&mut self, now: Micros, acts: &mut dyn Actions) {
        let Some(listing) = self.listing.take() else { return };
        if listing == EndpointUpdate::Failed {
            self.subscribed = false;
            self.ask_failures = (self.ask_failures + 1).min(3);
            let wait = 500_000 << self.ask_failures;
            self.ask_at = now + wait / 2 + self.rng.i64(0..wait);
            acts.log(&format!("registry out of reach, asked again in {} ms", (self.ask_at - now) / 1000));
        } else if listing != EndpointUpdate::Cached {
            if !std::mem::replace(&mut self.subscribed, true) && self.ask_failures > 0 {
                acts.log("registry back");
            }
            self.ask_failures = 0;
        }
        let whole = matches!(listing, EndpointUpdate::Full | EndpointUpdate::Cached);
        self.nodes.iter_mut().filter(|node| whole && node.list != self.lists).for_each(NodeState::leaves);
        self.shards.arrange(&self.nodes);
    }

    fn query_arrived(&mut self, now: Micros, arrival: &QueryArrival) {
        let &QueryArrival {
            query: QueryId(r), class, tenant, deadline: until, work, is_retry: again, ..
        } = arrival;
        // Departure: a client's last try lasts what is left of its deadline, so it shows how much time is gone.
        Class::know(&mut self.classes, class + 1, &self.settings);
        let (settings, tenants) = (&self.settings, self.tenants.len());
        let quota = |t| settings.number(&format!("tenant.{t}.quota_per_s")).unwrap_or(f64::INFINITY);
        self.tenants.extend((tenants..=tenant).map(|t| (Samples::new(64), quota(t))));
        let (of, left) = (&mut self.classes[class], (until - now) as f64);
        let common = of.tries.quantile(0.5, now - RECENT).unwrap_or(left);
        of.tries.push(now, left);
        let odd = (left - common).abs() > 4.0 * self.site.tick as f64;
        let spent = if odd { (of.deadline as f64 - left).max(0.0) } else { 0.0 };
        let agreed = now + (of.agreed as f64 + of.stretch * work as f64 - spent) as Micros;
        let (asked, per_s) = &mut self.tenants[tenant];
        asked.push(now, 1.0);
        let over = asked.sum(now - RECENT / 3) > *per_s / self.site.routers * (RECENT / 3) as f64 / 1e6;
        self.book.open(r, Retrieval::new(class, tenant, over as u8, agreed.min(until), until, again));
        self.open.push(r);
        self.taken.push(now, 1.0);
    }

    fn shard_request_arrived(&mut self, now: Micros, arrival: &ShardRequestArrival) {
        let part = Part::new(arrival.query.0, arrival.shard, arrival.weight);
        self.book.add(arrival.shard_request.0, part);
        self.taken.push(now, 1.0);
    }

    fn attempt_ended(&mut self, now: Micros, end: &AttemptEnd) {
        let &AttemptEnd { attempt, node: NodeId(n), outcome, latency: lag, .. } = end;
        let AttemptId { shard_request: ShardRequestId(p), number: AttemptNumber(trial) } = attempt;
        let Some(shot) = self.nodes[n].take(p, trial) else { return };
        let class = self.book.held(self.book.part(p).retrieval).class;
        let lost = outcome == AttemptOutcome::ConnectionLost
            || outcome == AttemptOutcome::Cancelled && lag > self.limit(class, n);
        if matches!(outcome, AttemptOutcome::ConnectionLost | AttemptOutcome::Succeeded)
            && self.book.part(p).rest >= 0
        {
            self.rested(now, lost, shot.rest);
        }
        // A node that turns all away tells nothing of the load while another answers: a refusal counts with the next.
        let full = outcome == AttemptOutcome::Rejected;
        let counts = if full {
            [0, 2, 1][self.book.part(p).proven.min(2)]
        } else {
            (outcome == AttemptOutcome::Succeeded) as usize
        };
        (0..counts).for_each(|_| self.turned.push(now, full as u8 as f64));
        if !lost || shot.rest < self.doubtful {
            self.learn(now, n, class, outcome, lag);
            self.free(now, n, class, outcome, lag);
        }
        self.book.ended(p, n, outcome);
    }

    /// Departure: sums are one piece of evidence each, for what befell more than half of the shots.
    fn load_reported(&mut self, now: Micros, node: NodeId, sums: &LoadReport) {
        let n = node.0;
        let half = (sums.succeeded + sums.failed + sums.connect_failures) / 2.0;
        let named = |g: &usize| !self.settings.text(&format!("class.{g}.name")).is_empty();
        Class::know(&mut self.classes, (0..).take_while(named).count(), &self.settings);
        self.nodes[n].told = Some((now, sums.in_flight));
        let outcome = if sums.connect_failures > half {
            AttemptOutcome::ConnectFailed
        } else if sums.connect_failures + sums.failed > half {
            AttemptOutcome::ServerError
        } else if sums.succeeded > 0.0 {
            AttemptOutcome::Succeeded
        } else {
            return;
        };
        // What failed strikes each class by itself in `learn`; an answer is told for each.
        let classes = if outcome == AttemptOutcome::Succeeded { self.classes.len() } else { 1 };
        (0..classes).for_each(|g| self.learn(now, n, g, outcome, sums.mean_latency));
        if let Some(g) = (0..self.classes.len()).min_by_key(|&g| self.classes[g].agreed) {
            self.free(now, n, g, outcome, sums.mean_latency);
        }
    }

    fn client_disconnected(&mut self, _now: Micros, query: QueryId) {
        self.close(query.0);
    }

    fn timer_expired(&mut self, _now: Micros, _token: u64) {
        self.timer_at = None;
    }

    fn decide(&mut self, now: Micros, acts: &mut dyn Actions) {
        let falls = self.falls.count(now - ALARM);
        if std::mem::replace(&mut self.cautious, falls >= FALLEN) != self.cautious {
            let first = if self.cautious { "ahead" } else { "together" };
            acts.log(&format!("{falls} or more nodes fell of late, first calls go {first}"));
        }
        self.now = now;
        self.learn_usual(now);
        self.claims.fill(0);
        let (sent, mut waiting): (Vec<usize>, Vec<usize>) =
            self.open.iter().partition(|&&r| self.book.held(r).admitted.is_some());
        waiting.sort_by_key(|&r| {
            let held = self.book.held(r);
            let late = now + self.classes[held.class].span > held.agreed;
            let parts = if self.site.by_work { 1 } else { held.parts.len().max(1) };
            let value = 1e3 * self.classes[held.class].importance / parts as f64;
            (held.rank + late as u8, Reverse(value as i64))
        });
        for r in sent.into_iter().chain(waiting) {
            for stage in CHAIN {
                match stage(self, now, r, acts) {
                    Step::Pass => {}
                    Step::Keep => break,
                    Step::Finish(end) => {
                        self.finish(now, r, end, acts);
                        break;
                    }
                }
            }
        }
        self.book.sweep(&mut self.ended).into_iter().for_each(|r| acts.release_query(QueryId(r)));
        self.book.unknown(&mut self.nodes, BOUND).for_each(|n| acts.release_node(NodeId(n)));
        self.wake(now, acts);
    }
}
