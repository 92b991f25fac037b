//! What a router holds of its nodes, retrievals and parts. Mechanics only: no decision is taken here.

use crate::sliding_window::Samples;
use crate::{AttemptOutcome, EndpointState, Micros, Settings};
use std::collections::BTreeMap;

/// The index of a data node.
pub type Node = usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

impl Effect {
    /// The kind under its name; an unknown one is taken for the strictest.
    pub fn named(name: &str) -> Self {
        match name {
            "idempotent" => Effect::Safe,
            "idempotency_key" => Effect::Keyed,
            _ => Effect::Unsafe,
        }
    }
}

/// What the settings say of the whole site, picked once at the start.
#[derive(Default)]
pub struct Site {
    pub zone: usize,
    pub routers: f64,
    pub tick: Micros,
    pub call_parts: usize,
    pub call_work: f64,
    pub most_shots: usize,
    pub copies: bool,
    pub withdraw: bool,
    pub by_work: bool,
    /// How long clients heed advice to stay away, 0 where they are told nothing.
    pub stay_away: Micros,
    /// Where the list must be asked for, how often at least.
    pub ask_within: Option<Micros>,
    /// Of the rule on cold nodes: the window, the multiple, the least share of capacity, the time to be warm.
    pub tip: (Micros, f64, f64, Micros),
    /// Of the rule on further shots, where there is one: the window, the free ones, the share.
    pub budget: Option<(Micros, f64, f64)>,
}

impl Site {
    pub fn new(settings: &Settings) -> Self {
        let number = |name, absent| settings.number(name).unwrap_or(absent);
        let micros = |name| number(name, 0.0) as Micros;
        let asked = settings.text("discovery.mode") == "polled";
        let (window, free) = (micros("rules.retry_window_us"), number("rules.free_retries", 0.0));
        let (multiple, cold) =
            (number("rules.cold_overload_multiple", 1.0), number("rules.cold_capacity_share", 1.0));
        Site {
            zone: number("zone", 0.0) as usize,
            routers: number("routers", 1.0).max(1.0),
            tick: micros("decision_interval_us"),
            call_parts: number("batch.max_shard_requests", 1.0).max(1.0) as usize,
            call_work: number("batch.work_us", 0.0),
            most_shots: number("limits.max_attempts", 1.0) as usize,
            copies: settings.flag("limits.hedging"),
            withdraw: settings.flag("limits.cancellation"),
            by_work: settings.text("priority_by") == "work",
            stay_away: settings.flag("limits.retry_after") as Micros * micros("limits.max_retry_after_us"),
            ask_within: asked.then_some(micros("rules.poll_within_us")),
            tip: (micros("rules.cold_overload_window_us"), multiple, cold, micros("rules.warm_up_us")),
            budget: settings.number("rules.retry_share").map(|share| (window, free, share)),
        }
    }
}

/// What the settings say of a service class, and what was measured of it.
#[derive(Clone, Debug)]
pub struct Class {
    pub effect: Effect,
    pub agreed: Micros,
    pub deadline: Micros,
    pub late_share: f64,
    pub part_share: f64,
    pub need: f64,
    pub floor: f64,
    pub importance: f64,
    /// How long a repeat is dropped for.
    pub repeat: Micros,
    pub stretch: f64,
    pub second_step: bool,
    /// How long retrievals took from the first send to the answer, and the usual figure at this instant.
    pub spans: Samples,
    pub span: Micros,
    /// How long a try may last.
    pub tries: Samples,
}

impl Class {
    /// Without an agreed time it is the client's deadline; an unnamed figure counts for nothing.
    pub fn new(settings: &Settings, class: usize, spans: usize, tries: usize) -> Self {
        let name = |name| format!("class.{class}.{name}");
        let number = |n, absent| settings.number(&name(n)).unwrap_or(absent);
        let deadline = number("deadline_us", 0.0);
        Class {
            effect: Effect::named(settings.text(&name("idempotency"))),
            agreed: number("latency_objective_us", deadline) as Micros,
            deadline: deadline as Micros,
            late_share: number("late_value", 0.0),
            part_share: number("partial_value", 0.0),
            need: number("completeness_required", 1.0),
            floor: number("completeness_minimum", 1.0),
            importance: number("priority_weight", 1.0),
            repeat: number("idempotency_window_us", 0.0) as Micros,
            stretch: number("latency_objective_stretch", 0.0),
            second_step: number("second_step", 0.0) >= 1.0,
            spans: Samples::new(spans),
            tries: Samples::new(tries),
            span: 0,
        }
    }

    /// Grows the list of classes to `count`.
    pub fn know(classes: &mut Vec<Class>, count: usize, settings: &Settings) {
        let new = classes.len()..count;
        classes.extend(new.map(|g| Class::new(settings, g, 32, 64)));
    }
}

#[derive(Clone, Debug)]
pub struct Shot {
    pub part: usize,
    pub trial: usize,
    pub at: Micros,
    /// How long its node had said nothing by then.
    pub rest: Micros,
}

/// Bad ends of a class's shots since the last good one, until when the node is left alone for them, and
/// when it last answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Record {
    pub strikes: u32,
    pub barred_until: Micros,
    pub last_ok: Micros,
}

#[derive(Clone, Debug)]
pub struct NodeState {
    /// Drawn once, between 0 and 1, so that routers differ.
    pub lot: f64,
    /// Named as ready by the newest list.
    pub ready: bool,
    /// The number of the last list that named it, and whether it is gone from there.
    pub list: u64,
    pub gone: bool,
    pub zone: usize,
    pub cell: usize,
    /// Its latest start that is known or was seen, 0 for long ago.
    pub up_since: Micros,
    /// The number of the last turn it took.
    pub turn: u64,
    /// The most parts of this router's that it may hold, and when that last shrank.
    pub bound: f64,
    pub bound_moved: Micros,
    /// Until when it is left alone where its bound is under one call.
    pub open_at: Micros,
    /// The last send filled it to its bound.
    pub filled: bool,
    pub out: Vec<Shot>,
    /// Lags of shots that ended in an answer, or lower bounds from those given up.
    pub lags: Samples,
    /// What became of shots that it began: 0 for an answer, 1 for none or one of no use.
    pub fates: Samples,
    /// Work sent, for the cold allowance.
    pub sent: Samples,
    /// What it did of late for each service class.
    pub records: Vec<Record>,
    /// Its last answer, or when its connections were last closed.
    pub heard: Micros,
    /// When an answer of its was spoilt or a connection broke, 0 once it has answered since.
    pub struck: Micros,
    /// When it could last not be reached, 0 once it has answered as a warm node does.
    pub missed: Micros,
    /// Refusals as full since its last answer, and until when it is left alone for them.
    pub fulls: u32,
    pub full_until: Micros,
    /// What others last said to hold there, and when.
    pub told: Option<(Micros, f64)>,
}

impl NodeState {
    pub fn new(bound: f64, lot: f64, few: usize, many: usize) -> Self {
        NodeState {
            ready: false,
            lot,
            list: 0,
            gone: false,
            zone: 0,
            cell: 0,
            up_since: 0,
            turn: 0,
            bound,
            bound_moved: 0,
            open_at: 0,
            filled: false,
            out: Vec::new(),
            lags: Samples::new(few),
            fates: Samples::new(4 * few),
            sent: Samples::new(many),
            records: Vec::new(),
            heard: Micros::MAX,
            struck: 0,
            missed: 0,
            fulls: 0,
            full_until: 0,
            told: None,
        }
    }

    pub fn record(&self, class: usize) -> Record {
        self.records.get(class).copied().unwrap_or_default()
    }

    /// Whether it owes an answer since something went wrong.
    pub fn in_doubt(&self, class: usize) -> bool {
        self.struck > 0 || self.record(class).strikes > 0
    }

    /// The share of the shots since `from` that it began and did not answer.
    pub fn lost(&self, from: Micros) -> f64 {
        self.fates.sum(from) / self.fates.count(from).max(1) as f64
    }

    pub fn record_mut(&mut self, class: usize) -> &mut Record {
        if self.records.len() <= class {
            self.records.resize(class + 1, Record::default());
        }
        &mut self.records[class]
    }

    /// What a list says of it.
    pub fn named(&mut self, zone: usize, cell: usize, phase: EndpointState, list: u64) {
        (self.zone, self.cell, self.list) = (zone, cell, list);
        (self.ready, self.gone) = (phase == EndpointState::Ready, phase == EndpointState::Removed);
    }

    /// A whole list does not name it.
    pub fn leaves(&mut self) {
        (self.ready, self.gone) = (false, self.list > 0);
    }

    /// Forgets what was seen of the process before.
    pub fn starts(&mut self, up_since: Micros) {
        self.up_since = up_since;
        self.records.clear();
        self.lags.clear();
        self.fates.clear();
        self.struck = 0;
    }

    /// Takes a shot out of those in flight.
    pub fn take(&mut self, part: usize, trial: usize) -> Option<Shot> {
        let at = self.out.iter().position(|s| s.part == part && s.trial == trial)?;
        Some(self.out.remove(at))
    }

    pub fn holds(&self, part: usize, trial: usize) -> bool {
        self.out.iter().any(|s| s.part == part && s.trial == trial)
    }

    pub fn oldest_out(&self) -> Option<Micros> {
        self.out.iter().map(|s| s.at).min()
    }
}

#[derive(Clone, Debug)]
pub struct Part {
    pub retrieval: usize,
    pub shard: usize,
    pub weight: f64,
    /// Nodes of its shots, in order.
    pub shots: Vec<Node>,
    pub out: usize,
    pub sent_at: Micros,
    /// How long the node of its last shot had said nothing by then, below 0 once that shot was found overdue.
    pub rest: Micros,
    /// When the earliest shot that may have run was sent.
    pub may_have_run: Option<Micros>,
    /// Shots that are proven never to have run.
    pub proven: usize,
    pub done: bool,
    pub lost: bool,
}

#[derive(Clone, Debug)]
pub struct Retrieval {
    pub class: usize,
    /// Its place in the queue: the lowest goes first.
    pub rank: u8,
    pub agreed: Micros,
    pub until: Micros,
    pub parts: Vec<usize>,
    /// Where the parts of the present step begin in `parts`, and whether the first step was whole.
    pub step: usize,
    pub first_whole: bool,
    pub admitted: Option<Micros>,
    /// A client's repeat.
    pub again: bool,
    pub tenant: usize,
    /// Its first call went ahead of the rest, whether a part was answered, and the nodes that fell under it.
    pub scouted: bool,
    pub answered: bool,
    pub fallen: Vec<Node>,
}

impl Part {
    pub fn new(retrieval: usize, shard: usize, weight: f64) -> Self {
        Part {
            retrieval,
            shard,
            weight,
            shots: Vec::new(),
            out: 0,
            sent_at: 0,
            rest: 0,
            may_have_run: None,
            proven: 0,
            done: false,
            lost: false,
        }
    }

    /// Whether its shots are all over without an answer.
    pub fn is_over(&self) -> bool {
        self.out == 0 && !self.done && !self.lost && !self.shots.is_empty()
    }

    /// Notes a shot; its number.
    pub fn sent(&mut self, now: Micros, node: Node, rest: Micros) -> usize {
        self.rest = rest;
        self.shots.push(node);
        self.out += 1;
        self.sent_at = now;
        self.may_have_run.get_or_insert(now);
        self.shots.len() - 1
    }
}

impl Retrieval {
    pub fn new(class: usize, tenant: usize, rank: u8, agreed: Micros, until: Micros, again: bool) -> Self {
        Retrieval {
            class,
            rank,
            agreed,
            until,
            parts: Vec::new(),
            step: 0,
            first_whole: false,
            admitted: None,
            again,
            tenant,
            scouted: false,
            answered: false,
            fallen: Vec::new(),
        }
    }
}

/// Retrievals and parts by their indices.
#[derive(Default)]
pub struct Book {
    retrievals: Vec<Option<Retrieval>>,
    parts: Vec<Option<Part>>,
}

impl Book {
    pub fn part(&self, part: usize) -> &Part {
        self.parts[part].as_ref().expect("a held part")
    }

    pub fn part_mut(&mut self, part: usize) -> &mut Part {
        self.parts[part].as_mut().expect("a held part")
    }

    pub fn held(&self, retrieval: usize) -> &Retrieval {
        self.retrievals[retrieval].as_ref().expect("a held retrieval")
    }

    pub fn held_mut(&mut self, retrieval: usize) -> &mut Retrieval {
        self.retrievals[retrieval].as_mut().expect("a held retrieval")
    }

    pub fn open(&mut self, retrieval: usize, held: Retrieval) {
        if self.retrievals.len() <= retrieval {
            self.retrievals.resize(retrieval + 1, None);
        }
        self.retrievals[retrieval] = Some(held);
    }

    pub fn add(&mut self, part: usize, held: Part) {
        if self.parts.len() <= part {
            self.parts.resize(part + 1, None);
        }
        self.held_mut(held.retrieval).parts.push(part);
        self.parts[part] = Some(held);
    }

    /// The nodes that are gone and that no shot and no held part or retrieval refers to; each starts clean,
    /// should it come back or its index become another's.
    pub fn unknown(&self, nodes: &mut [NodeState], bound: f64) -> impl Iterator<Item = Node> {
        nodes.iter_mut().enumerate().filter_map(move |(n, node)| {
            let sent = |part: &Part| part.shots.contains(&n);
            let fell = |held: &Retrieval| held.fallen.contains(&n);
            let free = node.gone
                && node.out.is_empty()
                && !self.parts.iter().flatten().any(sent)
                && !self.retrievals.iter().flatten().any(fell);
            free.then(|| {
                *node = NodeState::new(bound, node.lot, node.lags.most, node.sent.most);
                n
            })
        })
    }

    /// What a client's tries have in common.
    pub fn likeness(&self, retrieval: usize) -> [usize; 4] {
        let held = self.held(retrieval);
        let first = held.parts.first().map_or(0, |&p| self.part(p).shard);
        [held.class, held.tenant, first, held.parts.len()]
    }

    /// Of some parts: the weight answered and the weight that can still be, whether one is waited for, and
    /// whether all are answered.
    pub fn tally(&self, parts: &[usize]) -> (f64, f64, bool, bool) {
        let (mut inside, mut possible, mut waiting, mut all) = (0.0, 0.0, false, true);
        for part in parts.iter().map(|&p| self.part(p)) {
            inside += part.done as u8 as f64 * part.weight;
            possible += !part.lost as u8 as f64 * part.weight;
            waiting |= !part.done && !part.lost;
            all &= part.done;
        }
        (inside, possible, waiting, all)
    }

    /// Notes how a shot of a part ended.
    pub fn ended(&mut self, part: usize, node: Node, outcome: AttemptOutcome) {
        let held = self.held_mut(self.part(part).retrieval);
        held.answered |= outcome == AttemptOutcome::Succeeded;
        if outcome == AttemptOutcome::ConnectionLost && !held.fallen.contains(&node) {
            held.fallen.push(node);
        }
        let part = self.part_mut(part);
        part.out -= 1;
        part.done |= outcome == AttemptOutcome::Succeeded && !part.lost;
        part.proven += outcome.proves_not_executed() as usize;
        if part.proven == part.shots.len() {
            part.may_have_run = None;
        }
    }

    /// The shots of a part that are out.
    pub fn trials_out(&self, part: usize, nodes: &[NodeState]) -> impl Iterator<Item = usize> {
        let shots = self.part(part).shots.iter().enumerate().filter(move |_| self.part(part).out > 0);
        shots.filter(move |&(trial, &n)| nodes[n].holds(part, trial)).map(|x| x.0)
    }

    /// Drops the ended retrievals that have no shots out any more, and names them.
    pub fn sweep(&mut self, ended: &mut Vec<usize>) -> Vec<usize> {
        let out = |&r: &usize| self.held(r).parts.iter().any(|&p| self.part(p).out > 0);
        let (keep, over) = std::mem::take(ended).into_iter().partition(out);
        *ended = keep;
        let over: Vec<usize> = over;
        over.iter().for_each(|&r| self.drop(r));
        over
    }

    fn drop(&mut self, retrieval: usize) {
        for part in self.retrievals[retrieval].take().map_or(Vec::new(), |held| held.parts) {
            self.parts[part] = None;
        }
    }
}

/// Which cells hold a shard (as many in a row as the width, from the shard's own on), and who stands there.
#[derive(Default)]
pub struct Shards {
    width: usize,
    count: usize,
    cells: BTreeMap<usize, Vec<Node>>,
    /// How many nodes are ready.
    pub ready: usize,
}

impl Shards {
    pub fn new(settings: &Settings) -> Self {
        let whole = |name| settings.number(name).unwrap_or(1.0).max(1.0) as usize;
        let (width, count) = (whole("shards.replica_sets_per_shard"), whole("shards.replica_sets"));
        Shards { width: width.min(count), count, cells: BTreeMap::new(), ready: 0 }
    }

    pub fn hold(&self, cell: usize, shard: usize) -> bool {
        let (cell, first) = (cell % self.count, shard % self.count);
        cell + if cell < first { self.count } else { 0 } - first < self.width
    }

    /// Puts the ready nodes in their cells.
    pub fn arrange(&mut self, nodes: &[NodeState]) {
        (self.cells, self.ready) = (BTreeMap::new(), 0);
        for (n, node) in nodes.iter().enumerate().filter(|(_, node)| node.ready) {
            self.cells.entry(node.cell % self.count).or_default().push(n);
            self.ready += 1;
        }
    }

    /// The ready nodes that hold a shard, in the order of their indices.
    pub fn holders(&self, shard: usize) -> Vec<Node> {
        let near = (0..self.width).filter_map(|j| self.cells.get(&((shard % self.count + j) % self.count)));
        let mut holders: Vec<Node> = near.flatten().copied().collect();
        holders.sort_unstable();
        holders
    }
}
