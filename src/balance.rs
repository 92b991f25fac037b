//! The decisions of yewpier: one `Balance` decides for one router, from its settings and its own events.
//!
//! A front calls the methods of `Events` for what came in at an instant, then `settle`, and carries out the
//! `Actions` that it is handed; both traits are in `lib.rs`, the plain records in `state.rs`. In `settle`
//! each retrieval runs down `CHAIN`, whose stages pass it on, keep it or end it; a shot's outcome runs the
//! chain the other way: `learn` (choice of node), `free` (admission), `mark` (answer). `docs/design.md`
//! says what is the design's and which departures act when.

#[cfg(test)]
mod tests;

use crate::samples::Samples;
use crate::state::{Book, Effect, NodeState, Part, Retrieval, Shards, Shot};
use crate::{Actions, End, Events, Listing, Micros, Node, Outcome, Phase, Settings};
use std::cmp::Reverse;

/// How long a sample speaks for the present.
const RECENT: Micros = 10_000_000;
/// Parts in flight at a listed node to start with, and at most.
const BOUND: f64 = 8.0;
/// Over how long a tenant's share is judged.
const SHARE_WINDOW: Micros = 3_000_000;
/// The longest that a full node is left alone.
const FULL_HOLD: Micros = 1_000_000;
/// How much care the choice of a node takes, from the most to the least; see `state`.
const NEAR: u8 = 4;
const EVEN: u8 = 3;
const SOUND: u8 = 2;
const OPEN: u8 = 1;

/// What a stage does with a retrieval.
enum Step {
    Pass,
    Keep,
    End(End),
}

type Stage = fn(&mut Balance, Micros, usize, &mut dyn Actions) -> Step;
const CHAIN: [Stage; 5] =
    [Balance::reduce, Balance::time_left, Balance::admit, Balance::place, Balance::further];

#[derive(Default)]
pub struct Balance {
    settings: Settings,
    rng: fastrand::Rng,
    nodes: Vec<NodeState>,
    shards: Shards,
    book: Book,
    /// Retrievals without a final answer by arrival, and those ended that still have shots out.
    open: Vec<usize>,
    ended: Vec<usize>,
    /// By node, the parts of waiting retrievals that come before others there.
    claims: Vec<usize>,
    /// The present instant.
    now: Micros,
    usual: Option<[Micros; 3]>,
    /// By service grade, how long retrievals took from the first send to the answer.
    spans: Vec<Samples>,
    /// By tenant, what it asked.
    tenants: Vec<Samples>,
    /// By service grade, how long a try may last.
    tries: Vec<Samples>,
    lags: Samples,
    taken: Samples,
    further: Samples,
    turns: u64,
    listing: Option<(Listing, Vec<Node>)>,
    subscribed: bool,
    ask_at: Micros,
    ask_failures: u32,
    timer_at: Option<Micros>,
    all_suspect: bool,
}

impl Balance {
    pub fn new(seed: u64, settings: Settings) -> Self {
        let whole = |name| settings.number(name).unwrap_or(1.0) as usize;
        let shards = Shards { cells: whole("shards.cells"), width: whole("shards.width") };
        Balance {
            shards,
            settings,
            rng: fastrand::Rng::with_seed(seed),
            lags: Samples::new(128),
            taken: Samples::new(1 << 16),
            further: Samples::new(1 << 12),
            ..Default::default()
        }
    }

    fn number(&self, name: &str, absent: f64) -> f64 {
        self.settings.number(name).unwrap_or(absent)
    }

    fn micros(&self, name: &str) -> Micros {
        self.number(name, 0.0) as Micros
    }

    fn grade(&self, grade: usize, name: &str, absent: f64) -> f64 {
        self.number(&format!("grade.{grade}.{name}"), absent)
    }

    fn call_parts(&self) -> usize {
        self.number("calls.parts", 1.0).max(1.0) as usize
    }

    fn effect(&self, grade: usize) -> Effect {
        Effect::named(self.settings.text(&format!("grade.{grade}.effect")))
    }

    /// Answers are sent this long before a limit, since the router acts on ticks.
    fn margin(&self) -> Micros {
        2 * self.micros("tick_us") + 2_000
    }

    // ---- the way out: the stages of the chain ----

    /// Answers when the parts are in that make it whole; ends what no longer can be.
    fn reduce(&mut self, now: Micros, r: usize, acts: &mut dyn Actions) -> Step {
        let held = self.book.held(r);
        let (grade, step) = (held.grade, held.step);
        let parts = held.parts[step..].to_vec();
        if parts.is_empty() {
            return Step::Keep;
        }
        let last = step > 0 || self.grade(grade, "second_step", 0.0) < 1.0;
        let need = if step > 0 { 1.0 } else { self.grade(grade, "need", 1.0) };
        let floor = self.grade(grade, "floor", 1.0).min(need);
        let floor = if step > 0 && self.grade(grade, "need", 1.0) <= floor { 1.0 } else { floor };
        let (mut inside, mut possible, mut waiting) = (0.0, 0.0, false);
        for &p in &parts {
            let part = self.book.part(p);
            if part.done {
                inside += part.weight;
            }
            if !part.lost {
                possible += part.weight;
            }
            waiting |= !part.done && !part.lost;
            if part.done && part.out > 0 {
                self.withdraw(p, acts);
            }
        }
        let all = parts.iter().all(|&p| self.book.part(p).done);
        let whole = all || (need < 1.0 && inside >= need);
        let end = if whole && (step == 0 || self.book.held(r).first_whole) {
            End::Whole
        } else if inside >= floor && (whole || !waiting || self.pays_now(now, r, inside / need)) {
            End::Part
        } else if possible + 1e-5 < floor {
            return self.doom(r);
        } else {
            return Step::Pass;
        };
        if last {
            return Step::End(end);
        }
        // The first answer brings the second step's parts.
        let held = self.book.held_mut(r);
        (held.step, held.first_whole) = (held.parts.len(), end == End::Whole);
        acts.finish(r, end);
        Step::Keep
    }

    /// Departure: where a floor allows it, the agreed time's end is worth an answer from part.
    fn pays_now(&self, now: Micros, r: usize, share: f64) -> bool {
        let held = self.book.held(r);
        let late = self.grade(held.grade, "late_share", 0.0);
        let pays = self.grade(held.grade, "part_share", 0.0) * share > late;
        now >= held.until - self.margin() || (pays && now >= held.agreed - self.margin())
    }

    /// The end of a retrieval that cannot be answered: deferred only if asking again is harmless.
    fn doom(&self, r: usize) -> Step {
        let held = self.book.held(r);
        let ran = held.parts.iter().any(|&p| self.book.part(p).may_have_run.is_some());
        let harmless = !ran || self.effect(held.grade) == Effect::Pure;
        // What could not even be sent tells the client to stay away, where clients are told so.
        let told = self.settings.flag("limits.stay_away") && held.admitted.is_none();
        let wait = told as Micros * self.micros("limits.stay_away_us");
        Step::End(if harmless { End::Deferred(wait) } else { End::GivenUp })
    }

    /// Ends what ran out of time: unsent work that can no longer be in time, sent work that pays no more.
    fn time_left(&mut self, now: Micros, r: usize, _acts: &mut dyn Actions) -> Step {
        let held = self.book.held(r);
        let late = self.grade(held.grade, "late_share", 0.0);
        let over = match held.admitted {
            None => {
                let end = if late > 0.0 { held.until } else { held.agreed };
                now + self.span(now, held.grade) > end - self.margin()
            }
            Some(_) => late <= 0.0 && now >= held.agreed,
        };
        if over || now >= held.until - self.margin() { self.doom(r) } else { Step::Pass }
    }

    /// How long a retrieval of the grade takes of late once it is sent.
    fn span(&self, now: Micros, grade: usize) -> Micros {
        let span = self.spans.get(grade).and_then(|s| s.quantile(0.75, now - RECENT));
        span.map_or(0, |s| (s as Micros).min(self.grade(grade, "agreed_us", 1e6) as Micros / 2))
    }

    /// What a part of a retrieval earns.
    fn value(&self, r: usize) -> f64 {
        let held = self.book.held(r);
        let by_work = self.settings.text("importance_by") == "work";
        let parts = if by_work { 1.0 } else { held.parts.len().max(1) as f64 };
        self.grade(held.grade, "importance", 1.0) / parts
    }

    /// Bounds the parts in flight; a retrieval is admitted with all its parts or waits unsent.
    fn admit(&mut self, now: Micros, r: usize, acts: &mut dyn Actions) -> Step {
        let held = self.book.held(r);
        if held.admitted.is_some() {
            return Step::Pass;
        }
        let (parts, floor) = (held.parts.clone(), self.grade(held.grade, "floor", 1.0));
        let plan = self.plan(now, &parts);
        let sure: f64 = plan.iter().map(|&(p, _)| self.book.part(p).weight).sum();
        // Departure: what its floor lets be answered without the rest may go; the rest follows with room.
        if plan.len() < parts.len() && (floor >= 1.0 || sure < floor) {
            // What it waits for is kept for it, so that smaller retrievals do not pass it there for ever.
            for p in parts.into_iter().filter(|p| !plan.iter().any(|x| x.0 == *p)) {
                if let Some((n, OPEN..)) = self.pick(now, &[p], &[], false) {
                    self.claims[n] += 1;
                }
            }
            return Step::Keep;
        }
        self.book.held_mut(r).admitted = Some(now);
        plan.into_iter().for_each(|(part, node)| self.send(now, part, node, acts));
        Step::Pass
    }

    /// Sends the parts that had no room when their retrieval was admitted, and those of a second step.
    fn place(&mut self, now: Micros, r: usize, acts: &mut dyn Actions) -> Step {
        let held = self.book.held(r);
        if held.admitted == Some(now) {
            return Step::Pass;
        }
        let mut unsent = held.parts[held.step..].to_vec();
        unsent.retain(|&p| self.book.part(p).shots.is_empty());
        for (part, node) in self.plan(now, &unsent) {
            self.send(now, part, node, acts);
        }
        Step::Pass
    }

    /// Further shots: another try for a part whose shots are over, a second copy for an overdue one.
    fn further(&mut self, now: Micros, r: usize, acts: &mut dyn Actions) -> Step {
        let held = self.book.held(r);
        let (grade, agreed, step, parts) = (held.grade, held.agreed, held.step, held.parts.clone());
        let (patience, mut lost) = (self.limit(grade), false);
        for p in parts.into_iter().skip(step) {
            let part = self.book.part(p);
            let Some(&last) = part.shots.last().filter(|_| !part.done && !part.lost) else { continue };
            let late =
                now - part.sent_at > patience || (self.nodes[last].barred_until > now && !self.all_suspect);
            let copy = part.out > 0;
            if copy && !(late && part.out < 2 && self.settings.flag("limits.second_copies")) {
                continue;
            }
            let spent = part.shots.len() >= self.number("limits.shots", 1.0) as usize;
            if spent || !self.may_run_again(now, p, grade, copy) {
                self.book.part_mut(p).lost = !copy;
                lost |= !copy;
                continue;
            }
            if now + self.usual.map_or(0, |u| u[1]) >= agreed || !self.within_budget(now, copy) {
                continue;
            }
            let Some((node, care)) = self.pick(now, &[p], &[], false) else { continue };
            let fresh = !self.book.part(p).shots.contains(&node);
            if care >= SOUND && fresh || !copy && care >= OPEN {
                self.further.push(now, 1.0);
                self.send(now, p, node, acts);
            }
        }
        if lost { self.reduce(now, r, acts) } else { Step::Pass }
    }

    // ---- choice of node ----

    /// Nodes for the parts, by turns, parts that can share a call together; parts without one are left out.
    fn plan(&self, now: Micros, parts: &[usize]) -> Vec<(usize, Node)> {
        let most = self.call_parts();
        let (mut left, mut plan) = (parts.to_vec(), Vec::new());
        while !left.is_empty() {
            let Some((node, _)) = self.pick(now, &left, &plan, true).filter(|&(_, care)| care >= OPEN) else {
                left.remove(0);
                continue;
            };
            let mut room = most.min(self.room(node, plan.iter().filter(|x| x.1 == node).count()));
            left.retain(|&p| {
                let goes = room > 0 && self.holds(node, self.book.part(p).shard);
                room -= goes as usize;
                if goes {
                    plan.push((p, node));
                }
                !goes
            });
        }
        plan
    }

    /// The node for the first of `left`: with the most care that any holder meets, the one whose call can
    /// carry most parts, and among those the one whose turn is longest ago.
    fn pick(&self, now: Micros, left: &[usize], plan: &[(usize, Node)], bound: bool) -> Option<(Node, u8)> {
        let part = self.book.part(left[0]);
        let most = self.call_parts();
        let holders = self.holders(part.shard);
        let grade = self.book.held(part.retrieval).grade;
        let rest: Vec<Node> = holders.iter().copied().filter(|n| !part.shots.contains(n)).collect();
        let holders = if rest.is_empty() { holders } else { rest };
        let planned = |n: Node| plan.iter().filter(|x| x.1 == n).count();
        let finish = |n: Node| self.pace(now, n) * (1.0 + (self.nodes[n].out.len() + planned(n)) as f64);
        let (limit, effectful) = (self.limit(grade), self.effect(grade) == Effect::Effectful);
        let rated: Vec<(Node, u8, f64)> =
            holders.into_iter().map(|n| (n, self.state(now, n, limit, effectful), finish(n))).collect();
        let best = rated.iter().filter(|x| x.1 == SOUND).map(|x| x.2).fold(f64::INFINITY, f64::min);
        let (usual, zone) = (self.usual.map_or(0, |u| u[1]) as f64, self.micros("zone") as usize);
        let care = |&(n, state, finish): &(Node, u8, f64)| match state {
            SOUND if finish > 2.0 * best + usual => SOUND,
            SOUND => [EVEN, NEAR][(self.nodes[n].zone == zone) as usize],
            _ => state,
        };
        rated
            .iter()
            .filter(|&&(n, ..)| !bound || self.room(n, planned(n)) > 0)
            .filter(|&&(n, ..)| self.cold_room(now, n, planned(n) + 1, grade))
            .min_by_key(|&x| {
                let shared = left.iter().filter(|&&p| self.holds(x.0, self.book.part(p).shard)).count();
                (Reverse(care(x)), Reverse(shared.min(most)), planned(x.0), self.nodes[x.0].turn)
            })
            .map(|x| (x.0, care(x)))
    }

    /// How good a node is: `SOUND` with nothing overdue and not being tried again already, `OPEN` if not
    /// barred, else 0.
    fn state(&self, now: Micros, n: Node, limit: Micros, effectful: bool) -> u8 {
        let node = &self.nodes[n];
        if (node.barred_until > now && !self.all_suspect) || node.full_until > now {
            return 0;
        }
        let overdue = node.oldest_out().is_some_and(|at| now - at > limit);
        // An effectful part cannot be helped by another shot, so its first choice must be proven.
        let doubt = node.strikes > 0 && (!node.out.is_empty() || effectful);
        if overdue || doubt { OPEN } else { SOUND }
    }

    /// How many parts more a node may hold of this router's.
    fn room(&self, n: Node, planned: usize) -> usize {
        let (node, call) = (&self.nodes[n], self.call_parts());
        let before = node.out.iter().filter(|s| s.at < self.now).count();
        // Departure: a filled node opens again for a whole call, so that what waits shares the call's cost.
        if node.filled && before > (node.bound as usize).saturating_sub(call) {
            return 0;
        }
        (node.bound as usize).saturating_sub(node.out.len() + self.claims[n] + planned)
    }

    fn holders(&self, shard: usize) -> Vec<Node> {
        (0..self.nodes.len()).filter(|&n| self.nodes[n].ready && self.holds(n, shard)).collect()
    }

    fn holds(&self, n: Node, shard: usize) -> bool {
        self.shards.hold(self.nodes[n].cell, shard)
    }

    /// What a shot takes at a node: its own recent lags, a shot still out for longer, else the usual.
    fn pace(&self, now: Micros, n: Node) -> f64 {
        let node = &self.nodes[n];
        let lag = node.lags.quantile(0.5, now - RECENT / 2).or(self.usual.map(|u| u[1] as f64));
        let age = node.oldest_out().map_or(0, |at| now - at) as f64;
        lag.unwrap_or(1.0).max(age)
    }

    /// A low, the middle and a high lag of late; worked out once an instant, none until some are learned.
    fn learn_usual(&mut self, now: Micros) {
        let from = now - RECENT;
        self.usual = (self.lags.count(from) >= 16)
            .then(|| [0.3, 0.5, 0.9].map(|q| self.lags.quantile(q, from).unwrap_or(0.0) as Micros));
    }

    /// How long a shot may be out before it is overdue: the agreed time until lags are learned.
    fn limit(&self, grade: usize) -> Micros {
        let agreed = self.grade(grade, "agreed_us", 1e6) as Micros;
        self.usual.map_or(agreed, |u| agreed.min(2 * u[2]))
    }

    /// This router's share of what a cold node can take in the rule's window, all its sends counted.
    fn cold_room(&self, now: Micros, n: Node, parts: usize, grade: usize) -> bool {
        let node = &self.nodes[n];
        let warm_up = if node.up_since > 0 { self.micros("rules.warm_up_us") } else { 0 };
        if now - node.up_since >= warm_up {
            return true;
        }
        let window = self.micros("rules.tip_after_us");
        let cold = self.number("rules.cold_from", 1.0);
        let age = (now - window - node.up_since).max(0) as f64;
        let capacity = cold + (1.0 - cold) * age / warm_up as f64;
        // Cores are told nowhere: one is the least a node has.
        let room =
            self.number("rules.tip_multiple", 1.0) * capacity * window as f64 / self.number("routers", 1.0);
        let work = parts as f64 * self.part_work(grade) + self.number("calls.work_us", 0.0);
        node.sent.sum(now - window) + work <= room
    }

    /// Work of a part is not told: a low lag is near it, a tenth of the agreed time until one is learned.
    fn part_work(&self, grade: usize) -> f64 {
        self.usual.map_or(self.grade(grade, "agreed_us", 1e6) / 10.0, |u| u[0] as f64)
    }

    // ---- shots ----

    fn send(&mut self, now: Micros, part: usize, node: Node, acts: &mut dyn Actions) {
        let grade = self.book.held(self.book.part(part).retrieval).grade;
        let (mut work, call) = (self.part_work(grade), self.number("calls.work_us", 0.0));
        let to = &mut self.nodes[node];
        if to.out.last().is_none_or(|s| s.at < now) {
            work += call;
            self.turns += 1;
        }
        to.turn = self.turns;
        to.sent.push(now, work);
        let trial = self.book.part_mut(part).sent(now, node);
        to.out.push(Shot { part, trial, at: now });
        to.filled = to.out.len() >= to.bound as usize;
        acts.send(part, node, 0);
    }

    /// Withdraws the shots of a part that are out.
    fn withdraw(&self, part: usize, acts: &mut dyn Actions) {
        if !self.settings.flag("limits.withdraw") {
            return;
        }
        for (trial, &n) in self.book.part(part).shots.iter().enumerate() {
            if self.nodes[n].out.iter().any(|s| s.part == part && s.trial == trial) {
                acts.withdraw(part, trial);
            }
        }
    }

    /// Proof that it never ran frees any part for another shot; without it only what may be repeated.
    fn may_run_again(&self, now: Micros, p: usize, grade: usize, copy: bool) -> bool {
        let ran = self.book.part(p).may_have_run;
        match (ran, self.effect(grade)) {
            (None, _) => !copy,
            (_, Effect::Pure) => true,
            (Some(first), Effect::Receipted) => {
                now < first + self.grade(grade, "repeat_us", 0.0) as Micros - self.margin()
            }
            (_, Effect::Effectful) => false,
        }
    }

    /// The stated budget, where there is one; copies keep within a tenth of what was taken anyway, so that
    /// they cannot feed a slowdown.
    fn within_budget(&self, now: Micros, copy: bool) -> bool {
        let used = |from| self.further.sum(from) + 1.0;
        if let Some(share) = self.settings.number("rules.further_share") {
            let from = now - self.micros("rules.further_window_us");
            if used(from) > self.number("rules.further_free", 0.0) + share * self.taken.sum(from + 1) {
                return false;
            }
        }
        let from = now - RECENT / 2;
        !copy || used(from) <= 4.0 + 0.1 * self.taken.sum(from)
    }

    fn finish(&mut self, now: Micros, r: usize, end: End, acts: &mut dyn Actions) {
        for p in self.book.held(r).parts.clone() {
            if self.book.part(p).out > 0 && !self.book.part(p).done {
                self.withdraw(p, acts);
            }
        }
        acts.finish(r, end);
        let (grade, admitted) = (self.book.held(r).grade, self.book.held(r).admitted);
        if let (End::Whole, Some(at)) = (end, admitted) {
            Samples::at(&mut self.spans, grade, 32).push(now, (now - at) as f64);
        }
        self.close(r);
    }

    fn close(&mut self, r: usize) {
        self.open.retain(|&x| x != r);
        self.ended.push(r);
    }

    // ---- the way back: what an outcome tells each stage ----

    /// Choice of node: what the end of a shot says of its node.
    fn learn(&mut self, now: Micros, n: Node, grade: usize, outcome: Outcome, lag: Micros) {
        let limit = self.limit(grade);
        let usual = self.usual.map_or(limit / 8, |u| u[1]);
        let node = &mut self.nodes[n];
        match outcome {
            Outcome::Ok => {
                node.lags.push(now, lag as f64);
                node.strikes = node.strikes.saturating_sub(1);
                node.last_ok = now;
                (node.fulls, node.full_until) = (0, now);
                self.lags.push(now, lag as f64);
            }
            // Guards against a storm of shots that a full node turns away: each costs the node work, and all
            // nodes may be full at once. It is left alone, longer each time, until it answers something.
            Outcome::Full => {
                if now >= node.full_until {
                    node.fulls = (node.fulls + 1).min(5);
                    node.full_until = now + ((usual / 2) << node.fulls).min(FULL_HOLD);
                }
            }
            Outcome::Withdrawn | Outcome::Overdue if lag <= limit => {}
            Outcome::Unsent => {}
            _ => {
                if outcome != Outcome::Error {
                    node.lags.push(now, lag.max(limit) as f64);
                }
                // One strike an episode: what fell together is one piece of evidence.
                let silent = matches!(outcome, Outcome::Withdrawn | Outcome::Overdue);
                if now >= node.barred_until && !(silent && node.last_ok > now - lag) {
                    node.strikes = (node.strikes + 1).min(5);
                    node.barred_until = now + (250_000 << node.strikes);
                }
            }
        }
    }

    /// Admission: a node's bound follows what its lags leave of the agreed time.
    fn free(&mut self, now: Micros, n: Node, grade: usize, outcome: Outcome, lag: Micros) {
        let least = self.call_parts().max(2) as f64;
        let target = 0.25 * self.grade(grade, "agreed_us", 1e6);
        let node = &mut self.nodes[n];
        let slow = lag as f64 > target && matches!(outcome, Outcome::Ok | Outcome::Withdrawn);
        if slow || outcome == Outcome::Full {
            if now - node.bound_moved > lag {
                node.bound = (node.bound.min(node.out.len() as f64 + 1.0) * 0.8).max(least);
                node.bound_moved = now;
            }
        } else if outcome == Outcome::Ok {
            node.bound = (node.bound + 1.0 / node.bound).min(BOUND);
        }
    }

    /// Answer: what the part now is.
    fn mark(&mut self, p: usize, outcome: Outcome) {
        let part = self.book.part_mut(p);
        part.out -= 1;
        match outcome {
            Outcome::Ok => part.done = !part.lost,
            Outcome::Full | Outcome::Unreachable | Outcome::Unsent => {
                part.proven += 1;
                if part.proven == part.shots.len() {
                    part.may_have_run = None;
                }
            }
            _ => {}
        }
    }

    fn ready_nodes(&self) -> usize {
        self.nodes.iter().filter(|n| n.ready).count()
    }

    // ---- list and timers ----

    /// Subscribes where the list must be asked for, after a failure again and later each time. Keeps a timer
    /// running while a retrieval is open, so that no end depends on an answer.
    fn wake(&mut self, now: Micros, acts: &mut dyn Actions) {
        let asks = self.settings.text("list.mode") == "asked" && !self.subscribed;
        if asks && now >= self.ask_at {
            acts.subscribe(true);
            self.ask_at = now + self.micros("rules.ask_within_us").max(1_000_000);
        }
        let next = now + self.micros("tick_us").max(1_000);
        let at = match (self.open.is_empty(), asks) {
            (false, _) => next,
            (true, true) => self.ask_at.max(next),
            (true, false) => return,
        };
        if self.timer_at.is_none_or(|t| t > at || t <= now) {
            acts.set_timer(at - now, 0);
            self.timer_at = Some(at);
        }
    }
}

impl Events for Balance {
    fn list_begins(&mut self, _now: Micros, listing: Listing) {
        self.listing = Some((listing, Vec::new()));
    }

    fn listed(
        &mut self, _now: Micros, n: Node, zone: usize, cell: usize, phase: Phase, _scale: f64,
        up_since: Micros,
    ) {
        if self.nodes.len() <= n {
            self.claims.resize(n + 1, 0);
            self.nodes.resize_with(n + 1, || NodeState::new(BOUND, 16, 1 << 10));
        }
        let node = &mut self.nodes[n];
        (node.zone, node.cell, node.ready) = (zone, cell, phase == Phase::Ready);
        if up_since > node.up_since {
            // A fresh start: what was held against the old process is void.
            node.up_since = up_since;
            (node.strikes, node.barred_until) = (0, 0);
            node.lags.clear();
        }
        if let Some((_, seen)) = &mut self.listing {
            seen.push(n);
        }
    }

    fn list_ends(&mut self, now: Micros, acts: &mut dyn Actions) {
        let Some((listing, seen)) = self.listing.take() else { return };
        match listing {
            Listing::Failed => {
                self.subscribed = false;
                self.ask_failures = (self.ask_failures + 1).min(3);
                let wait = 500_000 << self.ask_failures;
                self.ask_at = now + wait / 2 + self.rng.i64(0..wait);
                acts.log(&format!("registry out of reach, asked again in {} ms", (self.ask_at - now) / 1000));
            }
            Listing::Changes | Listing::Whole => {
                if self.ask_failures > 0 {
                    acts.log(&format!("registry back, {} nodes ready", self.ready_nodes()));
                }
                (self.subscribed, self.ask_failures) = (true, 0);
            }
            Listing::Disk => {}
        }
        if matches!(listing, Listing::Whole | Listing::Disk) {
            for n in 0..self.nodes.len() {
                self.nodes[n].ready &= seen.contains(&n);
            }
        }
    }

    fn retrieval(
        &mut self, now: Micros, r: usize, grade: usize, tenant: usize, until: Micros, work: Micros,
        _parts: usize, _again: bool,
    ) {
        // Departure: a client asks again within one patience. Its last try lasts what is left of that, unlike
        // the others, so it shows how much of the agreed time is gone. What cannot be in time waits behind.
        let (left, patience) = ((until - now) as f64, self.grade(grade, "patience_us", 0.0));
        let tries = Samples::at(&mut self.tries, grade, 64);
        let common = tries.quantile(0.5, now - RECENT).unwrap_or(left);
        tries.push(now, left);
        let odd = (left - common).abs() > 4.0 * self.number("tick_us", 0.0);
        let spent = if odd { (patience - left).max(0.0) } else { 0.0 };
        let stretch = self.grade(grade, "agreed_stretch", 0.0) * work as f64;
        let agreed = now + (self.grade(grade, "agreed_us", 1e6) + stretch - spent) as Micros;
        // What a tenant asks beyond its share waits behind too.
        let quota =
            self.number(&format!("tenant.{tenant}.per_s"), f64::INFINITY) / self.number("routers", 1.0);
        let asked = Samples::at(&mut self.tenants, tenant, 64);
        asked.push(now, 1.0);
        let over = asked.sum(now - SHARE_WINDOW) > quota * SHARE_WINDOW as f64 / 1e6;
        self.book.open(r, Retrieval::new(grade, over as u8, agreed.min(until), until));
        self.open.push(r);
        self.taken.push(now, 1.0);
    }

    fn part(&mut self, now: Micros, r: usize, p: usize, shard: usize, weight: f64, _work: Micros) {
        self.book.add(p, Part::new(r, shard, weight));
        self.taken.push(now, 1.0);
    }

    fn outcome(
        &mut self, now: Micros, p: usize, trial: usize, n: Node, outcome: Outcome, lag: Micros,
        _load: &[(&str, f64)],
    ) {
        let Some(at) = self.nodes[n].out.iter().position(|s| s.part == p && s.trial == trial) else { return };
        self.nodes[n].out.remove(at);
        let grade = self.book.held(self.book.part(p).retrieval).grade;
        self.learn(now, n, grade, outcome, lag);
        self.free(now, n, grade, outcome, lag);
        self.mark(p, outcome);
    }

    fn client_left(&mut self, _now: Micros, r: usize) {
        if self.open.contains(&r) {
            self.close(r);
        }
    }

    fn probed(&mut self, _now: Micros, _n: Node, _outcome: Outcome, _lag: Micros, _load: &[(&str, f64)]) {}

    fn timer(&mut self, _now: Micros, _token: u64) {
        self.timer_at = None;
    }

    fn settle(&mut self, now: Micros, acts: &mut dyn Actions) {
        // Departure: evidence against most of the fleet is evidence of something else, so nobody is barred.
        let barred = self.nodes.iter().filter(|n| n.ready && n.barred_until > now).count();
        let suspect = 2 * barred > self.ready_nodes();
        if suspect != self.all_suspect {
            acts.log(&format!(
                "{barred} of {} nodes barred, bars {}",
                self.ready_nodes(),
                if suspect { "off" } else { "on" }
            ));
            self.all_suspect = suspect;
        }
        self.now = now;
        self.learn_usual(now);
        self.claims = vec![0; self.nodes.len()];
        let (sent, mut waiting): (Vec<usize>, Vec<usize>) =
            self.open.iter().partition(|&&r| self.book.held(r).admitted.is_some());
        waiting.sort_by_key(|&r| {
            let held = self.book.held(r);
            let late = now + self.span(now, held.grade) > held.agreed;
            (held.rank + late as u8, Reverse((1e3 * self.value(r)) as i64))
        });
        for r in sent.into_iter().chain(waiting) {
            for stage in CHAIN {
                match stage(self, now, r, acts) {
                    Step::Pass => {}
                    Step::Keep => break,
                    Step::End(end) => {
                        self.finish(now, r, end, acts);
                        break;
                    }
                }
            }
        }
        for r in std::mem::take(&mut self.ended) {
            let parts = self.book.held(r).parts.clone();
            if parts.iter().any(|&p| self.book.part(p).out > 0) {
                self.ended.push(r);
                continue;
            }
            self.book.drop(r);
            acts.forget(r);
        }
        self.wake(now, acts);
    }
}
