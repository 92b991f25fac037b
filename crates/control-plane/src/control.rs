//! The reducer: every change of the control service's state goes through the calls of `Control`, which take plain
//! values and the time and leave effects. It touches no socket and no clock.

use crate::catalog::{Catalog, Share, is_single};
use crate::departures::Departures;
use crate::fleet::{Fleet, Node, Site, Wishes};
use crate::kinds::{Kind, Outline};
use crate::ledger::{Ledger, Proxy, target};
use crate::loads::{Loads, MOST_ENTRIES, Tally};
use crate::metrics::{Metrics, OfType};
use crate::options::Options;
use crate::plan::Plan;
use crate::session::{Heard, Mode, Response, Session};
use balancer::{EndpointUpdate, Micros};
use query_router::config::Config;
use serde_json::Value as Json;
use settings_schema::IdInterner;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// A stream's number; numbers are not used again.
pub type Stream = u64;

/// How long a stream may be open before it says whose it is.
const FIRST_WORD: Micros = 5_000_000;
/// The longest name of a proxy.
const MOST_ID: usize = 256;
/// How often at most it is looked whether the plan changed, but for news of the list, which are heeded at once.
pub const TICK: Micros = 50_000;
/// How long after a failed call discovery is asked again, where the module does not say.
const ASK_AGAIN: Micros = 2_000_000;
/// Outlines that are kept for proxies to share.
const MOST_OUTLINES: usize = 4096;
/// How much of what a proxy says goes into a log line.
const MOST_WORDS: usize = 200;

/// Why a stream is ended from here, as gRPC has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Argument,
    Permission,
    Exhausted,
    Deadline,
    Replaced,
}

/// What the shell is to do.
#[derive(Debug, PartialEq)]
pub enum Effect {
    Respond(Stream, Response),
    /// Asks a proxy for load reports.
    AskLoads(Stream),
    End(Stream, Fault, String),
    /// Asks discovery for the list and its changes, in place of a call that is under way.
    Watch,
    /// Tries to connect to a data node.
    Try(SocketAddr),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    Discovery(Mode),
    Loads,
}

struct Open {
    service: Service,
    since: Micros,
    proxy: Option<Proxy>,
    /// The names that the certificate lets it claim; without one, any.
    claims: Option<Arc<Vec<String>>>,
}

struct Holder {
    name: String,
    zone: usize,
    stream: Option<Stream>,
    session: Session,
    /// When its last stream ended.
    left: Option<Micros>,
    /// It holds less than its share until others have made room.
    short: bool,
    /// What it should hold by the plan of this number, once it has its whole share.
    outline: Option<(u64, Arc<Outline>)>,
    renewed: Micros,
}

pub struct Control {
    pub options: Options,
    site: Site,
    grace: Micros,
    fleet: Fleet,
    pub plan: Plan,
    catalog: Catalog,
    /// Of the present plan, by what they depend on.
    outlines: HashMap<Share, Arc<Outline>>,
    ledger: Ledger,
    departures: Departures,
    loads: Loads,
    streams: BTreeMap<Stream, Open>,
    names: IdInterner<String>,
    proxies: BTreeMap<Proxy, Holder>,
    started: Micros,
    /// A proxy came with what an earlier control service handed out, so that others may too.
    inherits: bool,
    asked: bool,
    watch_at: Option<Micros>,
    settled: Micros,
    reported: Micros,
    tried: Micros,
    pub metrics: Metrics,
    pub effects: Vec<Effect>,
}

impl Control {
    pub fn new(now: Micros, config: &Config, options: Options) -> Control {
        let fleet = Fleet::new(config);
        let mut control = Control {
            site: Site::new(&config.settings),
            grace: config.micros("rules.drain_grace_us").max(1),
            catalog: Catalog::new(&options, &fleet.zones),
            outlines: HashMap::new(),
            asked: config.settings.text("discovery.mode") == "polled",
            options,
            fleet,
            plan: Plan::default(),
            ledger: Ledger::default(),
            departures: Departures::default(),
            loads: Loads::default(),
            streams: BTreeMap::new(),
            names: IdInterner::default(),
            proxies: BTreeMap::new(),
            started: now,
            inherits: false,
            watch_at: Some(now),
            settled: now,
            reported: now,
            tried: now,
            metrics: Metrics::new(),
            effects: Vec::new(),
        };
        control.list(now, &config.cached_endpoints, EndpointUpdate::Cached);
        for class in control.site.classes.iter().filter(|class| class.effect == "idempotency_key") {
            tracing::warn!(class = class.name, "keyed: proxies refuse it, its keys can't be kept by them");
        }
        control
    }

    /// A list of data nodes, or the news that there is none to be had.
    pub fn list(&mut self, now: Micros, list: &Json, listing: EndpointUpdate) {
        let mut wishes = Wishes::default();
        self.fleet.list(now, list, listing, &mut wishes);
        match listing {
            EndpointUpdate::Failed => {
                self.metrics.lists_failed.inc();
                self.watch_at = (!self.asked).then_some(now + ASK_AGAIN);
            }
            _ => drop(self.metrics.lists.inc()),
        }
        self.metrics.entries_unusable.set(self.fleet.unusable as i64);
        self.settle(now, wishes);
    }

    /// Has the module decide, and hands out what changed by that.
    fn settle(&mut self, now: Micros, mut wishes: Wishes) {
        self.fleet.settle(now, &mut wishes);
        self.settled = now;
        for line in &wishes.lines {
            tracing::info!("{line}");
        }
        if wishes.subscribe && now > self.started {
            self.watch_at = Some(now);
        }
        self.metrics.nodes.set(self.fleet.count() as i64);
        self.replan(now);
    }

    /// The number of proxies to divide by: those that may act on what they were given.
    fn replan(&mut self, now: Micros) {
        if !self.fleet.known {
            return;
        }
        let mut by_zone = vec![0; self.fleet.zones.len()];
        for holder in self.proxies.values() {
            if let Some(count) = by_zone.get_mut(holder.zone) {
                *count += 1;
            }
        }
        // Guards against shares that move with each proxy that comes back after a start.
        let starting = now < self.started + self.options.hold;
        let expected = if starting { self.options.expected } else { 1 };
        let zones = by_zone.len().max(1) as u32;
        by_zone.iter_mut().for_each(|count| *count = (*count).max(expected / zones));
        let proxies = (self.proxies.len() as u32).max(expected);
        let mut plan = Plan::of(now, &self.fleet, &self.site, &by_zone, proxies, self.options.instances);
        if self.plan.number > 0 && plan.same(&self.plan) {
            return;
        }
        plan.number = self.plan.number + 1;
        self.metrics.plans.inc();
        self.note_departures(now, &plan);
        self.catalog.turn_to(&self.plan, &plan);
        self.outlines.clear();
        self.plan = plan;
        let proxies: Vec<Proxy> = self.proxies.keys().copied().collect();
        // Those that may still use a node which is to get no new work come first.
        let (first, then): (Vec<_>, Vec<_>) = proxies.into_iter().partition(|&p| self.departures.concerns(p));
        first.into_iter().chain(then).for_each(|proxy| self.pump(now, proxy));
    }

    fn note_departures(&mut self, now: Micros, plan: &Plan) {
        let (before, after) = (self.plan.in_use(), plan.in_use());
        for (&node, clusters) in &before {
            let still = after.get(&node).map_or(&[][..], Vec::as_slice);
            let left: Vec<String> = clusters.iter().filter(|name| !still.contains(name)).cloned().collect();
            // What leaves a cluster of its own for its set was cold and is warm: nothing is owed.
            if left.is_empty() || !still.is_empty() && left.iter().all(|name| is_single(name)) {
                continue;
            }
            let holders = self.proxies.iter().filter(|(_, holder)| {
                left.iter().any(|name| {
                    holder.session.plan_of(Kind::Endpoints, name).is_some()
                        || holder.session.held_before(Kind::Endpoints, name)
                        || holder.session.waits_for(Kind::Endpoints, name)
                })
            });
            let holders: Vec<Proxy> = holders.map(|(&proxy, _)| proxy).collect();
            self.departures.begin(now, node, plan.number, left, holders.into_iter());
        }
        for (&node, clusters) in &after {
            let anew =
                |name: &String| !is_single(name) && before.get(&node).is_none_or(|b| !b.contains(name));
            if clusters.iter().any(anew) {
                self.departures.cancel(node);
            }
        }
    }

    /// What a proxy should hold now, by its share of each pool.
    fn outline(&mut self, now: Micros, proxy: Proxy) -> (Arc<Outline>, bool) {
        let Some(holder) = self.proxies.get_mut(&proxy) else { return (Arc::default(), false) };
        if let Some((_, made)) = holder.outline.as_ref().filter(|made| made.0 == self.plan.number) {
            return (made.clone(), false);
        }
        let (plan, number) = (&self.plan, self.plan.proxies);
        // Guards against a list from before the start that turns proxies back: only who has nothing gets it.
        if plan.number == 0 || !self.fleet.told && holder.session.resumed {
            return (Arc::default(), false);
        }
        // What is offered and not yet sent is not noted, and may be gone to others by then.
        let (mut short, mut noted) = (false, true);
        let mut units = Vec::new();
        for (set, name) in plan.sets.iter().zip(&plan.names) {
            let wanted = target(set.units, number, true, name, &holder.name);
            units.push(self.ledger.offer(name, proxy, wanted, set.units, 1));
            short |= units.last() < Some(&wanted);
            noted &= units.last() <= Some(&self.ledger.held(name, proxy));
        }
        // Guards against a node that is cold, while proxies that are not back yet still take it for warm.
        let waits = self.inherits && now < self.started + self.options.hold;
        let mut held = Vec::new();
        for (name, single) in &plan.singles {
            let wanted = target(single.units, number, false, name, &holder.name);
            let units = match waits || !self.departures.is_clear(single.node) {
                true => self.ledger.held(name, proxy).min(wanted),
                false => self.ledger.offer(name, proxy, wanted, single.units, 0),
            };
            short |= units < wanted;
            noted &= units <= self.ledger.held(name, proxy);
            held.extend((units > 0).then(|| (name.clone(), units)));
        }
        let left = holder.session.clusters().filter(|name| is_single(name));
        let left = left.filter(|name| !held.iter().any(|single| single.0 == **name)).cloned().collect();
        // Most proxies of a zone should hold the same.
        let key = (holder.zone, units, held, left);
        let outline = match self.outlines.get(&key) {
            Some(made) => made.clone(),
            None => {
                if self.outlines.len() >= MOST_OUTLINES {
                    self.outlines.clear();
                }
                let made = Arc::new(self.catalog.outline(&self.site, plan, &key));
                self.outlines.insert(key, made.clone());
                made
            }
        };
        if !short && noted {
            holder.outline = Some((plan.number, outline.clone()));
        }
        (outline, short)
    }

    /// The outline against which the first request of a type is read, which may tell that the proxy comes back;
    /// later ones are read by themselves.
    fn outline_for(&mut self, now: Micros, proxy: Proxy, kind: Kind, has_versions: bool) -> Arc<Outline> {
        let Some(holder) = self.proxies.get_mut(&proxy).filter(|holder| !holder.session.asked(kind)) else {
            return Arc::default();
        };
        holder.session.resumed |= has_versions;
        self.inherits |= holder.session.resumed;
        self.outline(now, proxy).0
    }

    /// Sends a proxy what it should have and has not, as far as it may go now.
    fn pump(&mut self, now: Micros, proxy: Proxy) {
        let Some(stream) = self.proxies.get(&proxy).and_then(|holder| holder.stream) else { return };
        let (outline, short) = self.outline(now, proxy);
        let urgent = self.departures.concerns(proxy);
        let Some(holder) = self.proxies.get_mut(&proxy) else { return };
        holder.short = short;
        if outline.of(Kind::Route).is_empty() {
            return;
        }
        let responses = holder.session.pump(now, &outline, urgent);
        if responses.iter().any(|response| response.kind == Kind::Endpoints) {
            holder.renewed = now;
        }
        if responses.iter().any(|response| response.kind == Kind::Cluster) {
            self.ledger.set_all(proxy, &holder.session.units_in_force());
        }
        for after in self.departures.accepted(now, proxy, &holder.session) {
            self.metrics.drain_seconds.observe(after as f64 / 1e6);
        }
        for response in responses {
            self.respond(stream, response);
        }
    }

    fn respond(&mut self, stream: Stream, response: Response) {
        let kind = OfType { kind: format!("{:?}", response.kind).to_lowercase() };
        self.metrics.responses.get_or_create(&kind).inc();
        if !response.heartbeat {
            self.metrics
                .bytes
                .inc_by(response.resources.iter().map(|resource| resource.body.len() as u64).sum());
        }
        self.effects.push(Effect::Respond(stream, response));
    }

    pub fn opened(
        &mut self, now: Micros, stream: Stream, service: Service, claims: Option<Arc<Vec<String>>>,
    ) {
        if self.streams.len() >= 2 * self.options.most_proxies {
            return self.end(now, stream, Fault::Exhausted, "too many streams are open");
        }
        self.streams.insert(stream, Open { service, since: now, proxy: None, claims });
        self.metrics.streams.set(self.streams.len() as i64);
    }

    pub fn closed(&mut self, now: Micros, stream: Stream) {
        let Some(open) = self.streams.remove(&stream) else { return };
        self.metrics.streams.set(self.streams.len() as i64);
        if let Some(holder) = open.proxy.and_then(|proxy| self.proxies.get_mut(&proxy))
            && holder.stream == Some(stream)
        {
            (holder.stream, holder.left) = (None, Some(now));
        }
    }

    fn end(&mut self, now: Micros, stream: Stream, fault: Fault, why: &str) {
        let proxy = self.streams.get(&stream).and_then(|open| open.proxy).and_then(|p| self.proxies.get(&p));
        tracing::info!(stream, proxy = proxy.map_or("", |holder| &holder.name), "stream ended: {why}");
        self.metrics.cut_off.inc();
        self.closed(now, stream);
        self.effects.push(Effect::End(stream, fault, why.to_string()));
    }

    /// The proxy of a stream, by what its first message says of it.
    fn proxy_of(&mut self, now: Micros, stream: Stream, node: Option<(&str, &str)>) -> Option<Proxy> {
        let open = self.streams.get(&stream)?;
        if open.proxy.is_some() {
            return open.proxy;
        }
        let (service, claims) = (open.service, open.claims.clone());
        let Some((id, zone)) = node.filter(|(id, _)| !id.is_empty()) else {
            self.end(now, stream, Fault::Argument, "node.id: the first message names none");
            return None;
        };
        if id.len() > MOST_ID {
            self.end(
                now,
                stream,
                Fault::Argument,
                &format!("node.id: {} bytes, more than {MOST_ID}", id.len()),
            );
            return None;
        }
        if claims.is_some_and(|claims| !claims.iter().any(|claim| claim == id)) {
            self.end(now, stream, Fault::Permission, "node.id: the certificate does not name it");
            return None;
        }
        let known = self.names.find(id);
        if known.is_none() && self.proxies.len() >= self.options.most_proxies {
            self.end(now, stream, Fault::Exhausted, "too many proxies");
            return None;
        }
        let zone = self.fleet.zones.iter().position(|known| known == zone).unwrap_or(self.fleet.zones.len());
        let proxy = known.unwrap_or_else(|| self.names.intern(id.to_string()));
        if let Some(open) = self.streams.get_mut(&stream) {
            open.proxy = Some(proxy);
        }
        if let Service::Discovery(mode) = service {
            let before = self.proxies.remove(&proxy);
            let older = before.as_ref().and_then(|holder| holder.stream);
            if let Some(older) = older {
                self.end(now, older, Fault::Replaced, "a newer stream of the same proxy");
            }
            let session = Session::new(mode, before.map(|holder| holder.session));
            let name = id.to_string();
            let (stream, left) = (Some(stream), None);
            let (short, outline) = (false, None);
            let holder = Holder { name, zone, stream, session, left, short, outline, renewed: now };
            self.proxies.insert(proxy, holder);
        } else {
            // One that only reports its load holds nothing.
            let holder = || Holder {
                name: id.to_string(),
                zone,
                stream: None,
                session: Session::new(Mode::Delta, None),
                left: Some(now),
                short: false,
                outline: None,
                renewed: now,
            };
            self.proxies.entry(proxy).or_insert_with(holder);
        }
        self.metrics.proxies.set(self.proxies.len() as i64);
        Some(proxy)
    }

    /// The type that a request names, and the proxy it comes from.
    fn asks(
        &mut self, now: Micros, stream: Stream, node: Option<(&str, &str)>, url: &str,
    ) -> Option<(Proxy, Kind)> {
        let proxy = self.proxy_of(now, stream, node)?;
        let kind = Kind::of_url(url);
        if kind.is_none() {
            let url: String = url.chars().take(MOST_WORDS).collect();
            self.end(
                now,
                stream,
                Fault::Argument,
                &format!("type_url: '{}' is not served", url.escape_debug()),
            );
        }
        kind.map(|kind| (proxy, kind))
    }

    /// A request, state of the world. `node` is the proxy's id and zone, `refusal` what it holds against a response.
    #[allow(clippy::too_many_arguments)]
    pub fn request(
        &mut self, now: Micros, stream: Stream, node: Option<(&str, &str)>, url: &str, version: &str,
        nonce: &str, names: Vec<String>, refusal: Option<&str>,
    ) {
        let Some((proxy, kind)) = self.asks(now, stream, node, url) else { return };
        let outline = self.outline_for(now, proxy, kind, !version.is_empty());
        let Some(holder) = self.proxies.get_mut(&proxy) else { return };
        let heard = holder.session.request(kind, version, nonce, names, refusal.is_some(), &outline);
        self.heard(now, stream, proxy, kind, heard, refusal);
    }

    /// A request, incremental.
    #[allow(clippy::too_many_arguments)]
    pub fn request_delta(
        &mut self, now: Micros, stream: Stream, node: Option<(&str, &str)>, url: &str,
        subscribe: Vec<String>, unsubscribe: Vec<String>, initial: Vec<(String, String)>, nonce: &str,
        refusal: Option<&str>,
    ) {
        let Some((proxy, kind)) = self.asks(now, stream, node, url) else { return };
        let outline = self.outline_for(now, proxy, kind, !initial.is_empty());
        let Some(holder) = self.proxies.get_mut(&proxy) else { return };
        let refused = refusal.is_some();
        let heard =
            holder.session.request_delta(kind, subscribe, unsubscribe, initial, nonce, refused, &outline);
        self.heard(now, stream, proxy, kind, heard, refusal);
    }

    fn heard(
        &mut self, now: Micros, stream: Stream, proxy: Proxy, kind: Kind, heard: Result<Heard, String>,
        refusal: Option<&str>,
    ) {
        let Some(holder) = self.proxies.get(&proxy) else { return };
        match heard {
            Err(why) => return self.end(now, stream, Fault::Argument, &why),
            Ok(Heard::Accepted) => drop(self.metrics.accepted.inc()),
            Ok(Heard::Stale) => drop(self.metrics.stale.inc()),
            Ok(Heard::Refused) => {
                self.metrics.refused.inc();
                let words: String = refusal.unwrap_or("").chars().take(MOST_WORDS).collect();
                let words = words.escape_debug().to_string();
                tracing::warn!(proxy = holder.name, kind = ?kind, words, "refused, what it had stays in force");
            }
            Ok(Heard::Nothing) => {}
        }
        if kind == Kind::Cluster {
            self.ledger.set_all(proxy, &holder.session.units_in_force());
        }
        self.pump(now, proxy);
    }

    /// A load report: for each cluster and address, answered, errors, in progress and issued over an interval.
    pub fn report(
        &mut self, now: Micros, stream: Stream, node: Option<(&str, &str)>, interval: Micros,
        entries: &[(SocketAddr, [u64; 4])],
    ) {
        let first = self.streams.get(&stream).is_some_and(|open| open.proxy.is_none());
        let Some(proxy) = self.proxy_of(now, stream, node) else { return };
        if first {
            self.effects.push(Effect::AskLoads(stream));
        }
        if entries.len() > MOST_ENTRIES {
            return self.end(
                now,
                stream,
                Fault::Argument,
                "cluster_stats: more entries than data nodes can be",
            );
        }
        let places: BTreeMap<SocketAddr, Node> = match entries.len() {
            0..=8 => BTreeMap::new(),
            _ => self.fleet.places().collect(),
        };
        let mut told: BTreeSet<&'static str> = BTreeSet::new();
        for (at, [answered, errors, held, issued]) in entries {
            let node = if places.is_empty() { self.fleet.find(at) } else { places.get(at).copied() };
            match (node, Tally::checked(*answered, *errors, *held, *issued, interval)) {
                (Some(node), Ok(tally)) => self.loads.report(proxy, node, &tally),
                (None, _) => drop(told.insert("an address that is no data node's")),
                (_, Err(why)) => drop(told.insert(why)),
            }
        }
        match told.is_empty() {
            true => drop(self.metrics.reports.inc()),
            false => drop(self.metrics.reports_refused.inc()),
        }
    }

    /// A data node was tried from here.
    pub fn tried(&mut self, at: SocketAddr, reached: bool) {
        if let Some(node) = self.fleet.find(&at) {
            self.loads.tried(node, reached);
        }
    }

    /// What is due by the clock, every `TICK`.
    pub fn tick(&mut self, now: Micros) {
        if self.watch_at.is_some_and(|at| at <= now) {
            self.watch_at = None;
            self.effects.push(Effect::Watch);
        }
        if self.options.report_every > 0 && now - self.reported >= self.options.report_every {
            self.reported = now;
            for (node, sums) in self.loads.settle() {
                self.fleet.summed(now, node, &sums);
            }
        }
        if self.options.probe_every > 0 && now - self.tried >= self.options.probe_every {
            self.tried = now;
            self.effects.extend(self.fleet.places().map(|(at, _)| Effect::Try(at)));
        }
        self.forget(now);
        self.cut_off(now);
        self.settle(now, Wishes::default());
        self.renew(now);
        let short: Vec<Proxy> =
            self.proxies.iter().filter(|(_, h)| h.short).map(|(&proxy, _)| proxy).collect();
        short.into_iter().for_each(|proxy| self.pump(now, proxy));
        self.metrics.drains_late.set(self.departures.unsettled(now - self.grace) as i64);
        self.check();
    }

    /// Gives back what is held for proxies that left long enough ago.
    fn forget(&mut self, now: Micros) {
        let hold = self.options.hold.max(self.options.lease);
        let gone =
            self.proxies.iter().filter(|(_, holder)| holder.left.is_some_and(|left| now - left > hold));
        let gone: Vec<Proxy> = gone.map(|(&proxy, _)| proxy).collect();
        for proxy in gone {
            if self.streams.values().any(|open| open.proxy == Some(proxy)) {
                continue;
            }
            self.proxies.remove(&proxy);
            self.names.release(proxy);
            self.ledger.forget(proxy);
            self.departures.forget(proxy);
        }
        self.metrics.proxies.set(self.proxies.len() as i64);
    }

    /// Ends streams that say nothing or take nothing.
    fn cut_off(&mut self, now: Micros) {
        let silent = |open: &Open| open.proxy.is_none() && now - open.since > FIRST_WORD;
        let silent: Vec<Stream> = self.streams.iter().filter(|(_, o)| silent(o)).map(|(&s, _)| s).collect();
        for stream in silent {
            self.end(now, stream, Fault::Deadline, "nothing was said on it");
        }
        let within = self.options.answer_within;
        let slow =
            self.proxies.values().filter(|h| h.session.waits_since().is_some_and(|at| now - at > within));
        let slow: Vec<Stream> = slow.filter_map(|holder| holder.stream).collect();
        for stream in slow {
            self.end(now, stream, Fault::Deadline, "a response was not answered in time");
        }
    }

    /// Renews leases that are a third over.
    fn renew(&mut self, now: Micros) {
        if self.options.lease == 0 {
            return;
        }
        let due = self.proxies.iter().filter(|(_, holder)| now - holder.renewed >= self.options.lease / 3);
        let due: Vec<Proxy> = due.map(|(&proxy, _)| proxy).collect();
        for proxy in due {
            let Some(holder) = self.proxies.get_mut(&proxy) else { continue };
            let Some(stream) = holder.stream else { continue };
            if let Some(response) = holder.session.heartbeat(now) {
                holder.renewed = now;
                self.respond(stream, response);
            }
        }
    }

    /// What must hold: no cold node is promised more than it bears.
    fn check(&mut self) {
        let over =
            |(name, single): (&String, &crate::plan::Single)| self.ledger.sum(name) > single.units as u64;
        // A node that bears less than a moment ago is over until proxies have accepted less.
        let over = self.plan.singles.iter().filter(|&entry| over(entry) && !self.lowering(entry.0)).count();
        debug_assert_eq!(over, 0);
        self.metrics.invariants_broken.inc_by(over as u64);
    }

    /// Whether a proxy has yet to accept less of a pool.
    fn lowering(&self, name: &str) -> bool {
        let number = self.plan.proxies;
        let units = self.plan.singles.get(name).map_or(0, |single| single.units);
        self.proxies.iter().any(|(&proxy, holder)| {
            self.ledger.held(name, proxy) > target(units, number, false, name, &holder.name)
        })
    }

    /// What is promised of a node that stands apart, and what it bears.
    pub fn promised(&self) -> Vec<(String, u64, u32)> {
        let singles = self.plan.singles.iter();
        singles.map(|(name, single)| (name.clone(), self.ledger.sum(name), single.units)).collect()
    }

    /// What a proxy of this id and zone would be handed, for a look from outside.
    pub fn shown(&mut self, now: Micros, id: &str, zone: &str) -> Arc<Outline> {
        let stream = Stream::MAX;
        self.opened(now, stream, Service::Discovery(Mode::Delta), None);
        let proxy = self.proxy_of(now, stream, Some((id, zone)));
        self.replan(now);
        proxy.map(|proxy| self.outline(now, proxy).0).unwrap_or_default()
    }
}
