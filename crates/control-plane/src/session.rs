//! One proxy's stream of the aggregated discovery service, state of the world or incremental: what it asked for,
//! what it was sent, accepted and refused, and what is to go out next. No socket and no clock; the rules are
//! those of the page "xDS REST and gRPC protocol", whose section titles stand in quotes below.
//!
//! A response of a type waits until the one before it is answered, so that a slow proxy gets the newest state and
//! never a queue of history; only endpoints that must leave at once may overtake, `MOST_OUT` at most.

use crate::kinds::{ByName, Kind, Outline, Resource, version};
use balancer::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Responses of one type that may wait for an answer at once; with fewer, drains in quick succession waited for a
/// slow proxy's answers and came after their grace time.
const MOST_OUT: usize = 16;
/// Names that a proxy may subscribe to for each type, and how long each may be.
pub const MOST_NAMES: usize = 4096;
pub const MOST_NAME: usize = 512;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    StateOfTheWorld,
    Delta,
}

/// A response as it goes out.
#[derive(Debug, PartialEq)]
pub struct Response {
    pub kind: Kind,
    pub nonce: String,
    /// Of the whole type, for state of the world.
    pub version: String,
    pub resources: Vec<Arc<Resource>>,
    pub removed: Vec<String>,
    /// Renews the lease of what the proxy has; the resources go without their content.
    pub heartbeat: bool,
}

/// What a request said of an earlier response.
#[derive(Debug, PartialEq)]
pub enum Heard {
    /// Nothing: it opens a type, or changes a subscription.
    Nothing,
    Accepted,
    Refused,
    /// It names a response that is not waiting for an answer.
    Stale,
}

/// A version that the proxy has or was sent; its content where this service made it.
#[derive(Clone, Debug)]
struct Known {
    version: String,
    resource: Option<Arc<Resource>>,
}

impl Known {
    fn of(resource: &Arc<Resource>) -> Known {
        Known { version: resource.version.clone(), resource: Some(resource.clone()) }
    }
}

#[derive(Debug)]
struct Out {
    nonce: u64,
    at: Micros,
    whole: String,
    changes: Vec<(String, Option<Known>)>,
}

/// One type on a stream.
#[derive(Debug, Default)]
struct Channel {
    asked: bool,
    answered: bool,
    wildcard: bool,
    /// It has named resources; from then on, naming none means none and not all.
    named: bool,
    names: BTreeSet<String>,
    /// What the proxy has once it has accepted all that was sent, and what it has accepted.
    sent: BTreeMap<String, Known>,
    accepted: BTreeMap<String, Known>,
    /// Versions that it refused, by name, and of the whole type.
    refused: BTreeMap<String, String>,
    refused_whole: Option<String>,
    /// Refused together with others: each goes alone once, so that one bad one does not hold up the rest.
    suspects: BTreeSet<String>,
    /// Names that it was told not to exist.
    absent: BTreeSet<String>,
    out: VecDeque<Out>,
    last_nonce: u64,
    /// The version of the whole type that it came with, until it can be told what that is.
    claimed: Option<String>,
}

#[derive(Debug)]
pub struct Session {
    pub mode: Mode,
    /// It came with what another control service, or this one before, handed out.
    pub resumed: bool,
    nonce: u64,
    channels: [Channel; 4],
    /// Held from the proxy's stream before, for one that comes back with what it had then.
    before: [BTreeMap<String, Known>; 4],
}

/// The version of a set of resources.
fn whole<'a>(versions: impl Iterator<Item = (&'a String, &'a str)>) -> String {
    let mut text = String::new();
    for (name, version) in versions {
        text.extend([name, " ", version, "\n"]);
    }
    version(text.as_bytes())
}

fn whole_of(known: &BTreeMap<String, Known>) -> String {
    whole(known.iter().map(|(name, known)| (name, known.version.as_str())))
}

impl Channel {
    fn wants(&self, name: &str) -> bool {
        self.wildcard || self.names.contains(name)
    }

    /// Resources wanted and not had, without those that were refused as they are.
    fn changed<'a>(&'a self, desired: &'a ByName) -> impl Iterator<Item = &'a Arc<Resource>> {
        desired.values().filter(|resource| {
            self.wants(&resource.name)
                && self.sent.get(&resource.name).is_none_or(|known| known.version != resource.version)
                && self.refused.get(&resource.name) != Some(&resource.version)
        })
    }

    /// What goes together: those beyond suspicion, or one of the others alone.
    fn batch(&self, desired: &ByName) -> Vec<Arc<Resource>> {
        let (doubted, sound): (Vec<_>, Vec<_>) =
            self.changed(desired).cloned().partition(|resource| self.suspects.contains(&resource.name));
        if sound.is_empty() { doubted.into_iter().take(1).collect() } else { sound }
    }

    /// Puts aside what it no longer wants.
    fn trim(&mut self) {
        let (wildcard, names) = (self.wildcard, &self.names);
        for map in [&mut self.sent, &mut self.accepted] {
            map.retain(|name, _| wildcard || names.contains(name));
        }
        self.refused.retain(|name, _| wildcard || names.contains(name));
        self.suspects.retain(|name| wildcard || names.contains(name));
        self.absent.retain(|name| names.contains(name));
    }

    fn heard(&mut self, nonce: u64, refused: bool) -> Heard {
        let Some(at) = self.out.iter().position(|out| out.nonce == nonce) else { return Heard::Stale };
        let Some(out) = self.out.remove(at) else { return Heard::Stale };
        if !refused {
            for (name, known) in out.changes {
                self.suspects.remove(&name);
                match known {
                    Some(known) => drop(self.accepted.insert(name, known)),
                    None => drop(self.accepted.remove(&name)),
                }
            }
            return Heard::Accepted;
        }
        // What was in force before stays so. A removal is taken as done: there is nothing else to offer.
        self.refused_whole = Some(out.whole);
        let alone = out.changes.len() == 1;
        for (name, known) in out.changes {
            let Some(known) = known else { continue };
            let newest = self.sent.get(&name).is_some_and(|sent| sent.version == known.version);
            match self.accepted.get(&name).filter(|_| newest) {
                Some(accepted) => drop(self.sent.insert(name.clone(), accepted.clone())),
                None if newest => drop(self.sent.remove(&name)),
                None => {}
            }
            if alone {
                self.suspects.remove(&name);
                self.refused.insert(name, known.version);
            } else {
                self.suspects.insert(name);
            }
        }
        Heard::Refused
    }

    /// Notes what goes out.
    fn send(&mut self, now: Micros, nonce: u64, whole: String, put: &[Arc<Resource>], removed: &[String]) {
        let put = put.iter().map(|resource| (resource.name.clone(), Some(Known::of(resource))));
        let changes: Vec<_> = put.chain(removed.iter().map(|name| (name.clone(), None))).collect();
        for (name, known) in &changes {
            match known {
                Some(known) => drop(self.sent.insert(name.clone(), known.clone())),
                None => drop(self.sent.remove(name)),
            }
        }
        self.answered = true;
        self.last_nonce = nonce;
        self.out.push_back(Out { nonce, at: now, whole, changes });
    }
}

impl Session {
    /// A new stream of a proxy, with what is known from the one before.
    pub fn new(mode: Mode, before: Option<Session>) -> Session {
        let before = before.map(|session| {
            let keeps = |channel: Channel, before: BTreeMap<String, Known>| {
                let mut held = if channel.asked { channel.accepted } else { before };
                held.extend(channel.sent);
                held
            };
            let mut channels = session.channels.into_iter().zip(session.before);
            std::array::from_fn(|_| channels.next().map_or(BTreeMap::new(), |(c, b)| keeps(c, b)))
        });
        Session {
            mode,
            resumed: false,
            nonce: 0,
            channels: Default::default(),
            before: before.unwrap_or_default(),
        }
    }

    fn at(&self, kind: Kind) -> &Channel {
        &self.channels[kind as usize]
    }

    pub fn asked(&self, kind: Kind) -> bool {
        self.at(kind).asked
    }

    /// Whether the proxy had the resource on its stream before, and has not said on this one what it has.
    pub fn held_before(&self, kind: Kind, name: &str) -> bool {
        !self.at(kind).asked && self.before[kind as usize].contains_key(name)
    }

    /// When the oldest response that waits for an answer went out.
    pub fn waits_since(&self) -> Option<Micros> {
        self.channels.iter().filter_map(|channel| channel.out.front()).map(|out| out.at).min()
    }

    /// Whether a version of the resource is on its way to the proxy.
    pub fn waits_for(&self, kind: Kind, name: &str) -> bool {
        self.at(kind).out.iter().any(|out| out.changes.iter().any(|change| change.0 == name))
    }

    /// The clusters that the proxy was sent.
    pub fn clusters(&self) -> impl Iterator<Item = &String> {
        self.at(Kind::Cluster).sent.keys()
    }

    /// The plan of the version that the proxy is known to act on, for a resource that it has; 0 if another made it.
    pub fn plan_of(&self, kind: Kind, name: &str) -> Option<u64> {
        let known = self.at(kind).accepted.get(name)?;
        Some(known.resource.as_ref().map_or(0, |resource| resource.plan))
    }

    /// The clusters in a version that the proxy may act on, with the most requests that it may have in flight
    /// by any of these versions.
    pub fn units_in_force(&self) -> BTreeMap<String, u32> {
        let channel = self.at(Kind::Cluster);
        let mut units = BTreeMap::new();
        let out = channel.out.iter().flat_map(|out| &out.changes).filter_map(|(_, known)| known.as_ref());
        let held = if channel.asked { &channel.accepted } else { &self.before[Kind::Cluster as usize] };
        for resource in held.values().chain(out).filter_map(|known| known.resource.as_ref()) {
            let most: &mut u32 = units.entry(resource.name.clone()).or_default();
            *most = resource.units.max(*most);
        }
        units
    }

    /// A request, state of the world: `version`, `nonce` and `names` as in DiscoveryRequest; "ACK/NACK and resource
    /// type instance version", "How the client specifies what resources to return".
    pub fn request(
        &mut self, kind: Kind, version: &str, nonce: &str, names: Vec<String>, refused: bool,
        desired: &Outline,
    ) -> Result<Heard, String> {
        let channel = &mut self.channels[kind as usize];
        let first = !std::mem::replace(&mut channel.asked, true);
        let mut heard = Heard::Nothing;
        if !first && !nonce.is_empty() {
            heard = channel.heard(nonce.parse().unwrap_or(0), refused);
            // "Resource updates": what answers an older response says nothing of the subscription now.
            if nonce.parse() != Ok(channel.last_nonce) {
                return Ok(heard);
            }
        }
        let names: BTreeSet<String> = checked(names)?.into_iter().collect();
        channel.named |= !names.is_empty();
        channel.wildcard = kind.is_full_state() && (!channel.named || names.contains("*"));
        channel.names = names;
        channel.names.remove("*");
        channel.claimed = if first { Some(version.to_string()) } else { channel.claimed.take() };
        channel.claimed = channel.claimed.take().filter(|version| !version.is_empty());
        self.resume(kind, desired);
        let channel = &mut self.channels[kind as usize];
        channel.trim();
        Ok(heard)
    }

    /// Finds out what a proxy that came back has, by the version of the whole type, if it is one known here.
    fn resume(&mut self, kind: Kind, desired: &Outline) {
        let channel = &mut self.channels[kind as usize];
        if desired.of(kind).is_empty() {
            return;
        }
        let Some(claimed) = channel.claimed.take() else { return };
        let wanted = |all: &BTreeMap<String, Known>| -> BTreeMap<String, Known> {
            let all = all.iter().filter(|(name, _)| channel.wants(name));
            all.map(|(name, known)| (name.clone(), known.clone())).collect()
        };
        let now =
            desired.of(kind).iter().map(|(name, resource)| (name.clone(), Known::of(resource))).collect();
        let known = [wanted(&now), wanted(&self.before[kind as usize])];
        let has = known.into_iter().find(|all| whole_of(all) == claimed);
        channel.answered = has.is_some();
        channel.accepted = has.unwrap_or_default();
        channel.sent = channel.accepted.clone();
    }

    /// A request, incremental: the fields of DeltaDiscoveryRequest; "Incremental xDS".
    #[allow(clippy::too_many_arguments)]
    pub fn request_delta(
        &mut self, kind: Kind, subscribe: Vec<String>, unsubscribe: Vec<String>,
        initial: Vec<(String, String)>, nonce: &str, refused: bool, desired: &Outline,
    ) -> Result<Heard, String> {
        let before = &self.before[kind as usize];
        let channel = &mut self.channels[kind as usize];
        let first = !std::mem::replace(&mut channel.asked, true);
        let heard = match nonce.is_empty() || first {
            true => Heard::Nothing,
            false => channel.heard(nonce.parse().unwrap_or(0), refused),
        };
        let (subscribe, unsubscribe) = (checked(subscribe)?, checked(unsubscribe)?);
        if first {
            channel.wildcard = kind.is_full_state() && subscribe.is_empty();
            if initial.len() > MOST_NAMES {
                return Err(format!("{} initial versions are more than {MOST_NAMES}", initial.len()));
            }
            for (name, version) in initial {
                let ours = [desired.of(kind).get(&name).map(Known::of), before.get(&name).cloned()];
                let known = ours.into_iter().flatten().find(|known| known.version == version);
                channel.sent.insert(name, known.unwrap_or(Known { version, resource: None }));
            }
            channel.accepted = channel.sent.clone();
        }
        for name in subscribe {
            if name == "*" {
                channel.wildcard = kind.is_full_state();
                continue;
            }
            // "the server must still provide those resources": it asks anew for what it has.
            if !first {
                channel.sent.remove(&name);
                channel.refused.remove(&name);
                channel.absent.remove(&name);
            }
            channel.names.insert(name);
        }
        for name in unsubscribe {
            channel.wildcard &= name != "*";
            channel.names.remove(&name);
        }
        if channel.names.len() > MOST_NAMES {
            return Err(format!("{} resource names are more than {MOST_NAMES}", channel.names.len()));
        }
        channel.trim();
        Ok(heard)
    }

    /// What goes out now, in the order that leaves no route without endpoints: clusters, endpoints, listeners, then
    /// routes once all that they lead to was accepted; clusters and endpoints that routes no longer lead to
    /// leave after that. `urgent` sends endpoints first and past what waits for an answer.
    pub fn pump(&mut self, now: Micros, desired: &Outline, urgent: bool) -> Vec<Response> {
        Kind::ALL.into_iter().for_each(|kind| self.resume(kind, desired));
        // What it has may be what a newer plan asks for again, word for word.
        let endpoints = &mut self.channels[Kind::Endpoints as usize];
        for (name, known) in endpoints.sent.iter_mut().chain(&mut endpoints.accepted) {
            let same =
                desired.of(Kind::Endpoints).get(name).filter(|resource| resource.version == known.version);
            known.resource = same.cloned().or(known.resource.take());
        }
        let mut responses = Vec::new();
        if urgent {
            responses.extend(self.next(now, Kind::Endpoints, desired, true, MOST_OUT));
        }
        let keep = !self.routes_settled(desired);
        let clusters = self.at(Kind::Cluster);
        let changed: Vec<String> =
            clusters.changed(desired.of(Kind::Cluster)).map(|c| c.name.clone()).collect();
        if let Some(response) = self.next(now, Kind::Cluster, desired, keep, 1) {
            // A proxy warms a cluster that changed until its endpoints come behind it.
            let endpoints = &mut self.channels[Kind::Endpoints as usize];
            changed.iter().for_each(|name| drop(endpoints.sent.remove(name)));
            responses.push(response);
        }
        responses.extend(self.next(now, Kind::Endpoints, desired, keep, 1));
        responses.extend(self.next(now, Kind::Listener, desired, false, 1));
        if self.routes_may_go(desired) {
            responses.extend(self.next(now, Kind::Route, desired, false, 1));
        }
        responses
    }

    /// Whether the proxy acts on the routes that it should have, or on none.
    fn routes_settled(&self, desired: &Outline) -> bool {
        let routes = self.at(Kind::Route);
        if !routes.asked {
            // One that comes back has routes, though it has not said so yet.
            return !self.resumed && self.before[Kind::Route as usize].is_empty();
        }
        let has = |(name, resource): (&String, &Arc<Resource>)| {
            !routes.wants(name) || routes.accepted.get(name).is_some_and(|k| k.version == resource.version)
        };
        routes.out.is_empty() && desired.of(Kind::Route).iter().all(has)
    }

    /// Guards against a route to a cluster without endpoints, where the proxy takes all clusters; one that asks
    /// for clusters by name does so after its routes and holds these back by itself.
    fn routes_may_go(&self, desired: &Outline) -> bool {
        let (clusters, endpoints) = (self.at(Kind::Cluster), self.at(Kind::Endpoints));
        let there = |name: &String| {
            // One that is on its way out is no longer there, whatever was accepted.
            let cluster = clusters.accepted.contains_key(name) && clusters.sent.contains_key(name);
            cluster && endpoints.accepted.contains_key(name)
        };
        !clusters.wildcard || desired.of(Kind::Route).values().all(|route| route.clusters.iter().all(there))
    }

    fn next(
        &mut self, now: Micros, kind: Kind, desired: &Outline, keep: bool, most: usize,
    ) -> Option<Response> {
        let desired = desired.of(kind);
        let nonce = self.nonce + 1;
        let clusters = self.at(Kind::Cluster);
        let cluster_stays = |name: &String| clusters.sent.contains_key(name);
        let gone: Vec<String> = match kind {
            Kind::Endpoints => {
                let sent = self.at(kind).sent.keys().filter(|name| !desired.contains_key(*name));
                sent.filter(|name| !cluster_stays(name)).cloned().collect()
            }
            _ => self.at(kind).sent.keys().filter(|name| !desired.contains_key(*name)).cloned().collect(),
        };
        let before = &self.before[kind as usize];
        let channel = &mut self.channels[kind as usize];
        if !channel.asked || channel.out.len() >= most {
            return None;
        }
        let (resources, removed, version);
        if self.mode == Mode::Delta {
            resources = channel.batch(desired);
            let missing = |name: &&String| {
                !desired.contains_key(*name)
                    && !channel.absent.contains(*name)
                    && !channel.sent.contains_key(*name)
            };
            let missing: Vec<String> = channel.names.iter().filter(missing).cloned().collect();
            removed = if keep { missing.clone() } else { [gone, missing.clone()].concat() };
            channel.absent.extend(missing);
            channel.absent.retain(|name| !desired.contains_key(name));
            version = String::new();
            // The first response of a wildcard goes out even if it is empty.
            if resources.is_empty() && removed.is_empty() {
                return None;
            }
        } else if kind.is_full_state() {
            let wanted = desired.values().filter(|resource| channel.wants(&resource.name)).cloned();
            let mut all: ByName = wanted.map(|resource| (resource.name.clone(), resource)).collect();
            if keep {
                let held = channel.sent.iter().chain(before.iter().filter(|_| channel.accepted.is_empty()));
                for (name, known) in held.filter(|(name, _)| channel.wants(name)) {
                    if let (Some(resource), false) = (&known.resource, all.contains_key(name)) {
                        all.insert(name.clone(), resource.clone());
                    }
                }
            }
            version = whole(all.iter().map(|(name, resource)| (name, resource.version.as_str())));
            let had = channel.answered && whole_of(&channel.sent) == version;
            if had || channel.refused_whole.as_ref() == Some(&version) {
                return None;
            }
            removed = channel.sent.keys().filter(|name| !all.contains_key(*name)).cloned().collect();
            resources = all.into_values().collect::<Vec<_>>();
        } else {
            resources = channel.batch(desired);
            if resources.is_empty() {
                return None;
            }
            removed = Vec::new();
            let mut all = channel.sent.clone();
            all.extend(resources.iter().map(|resource| (resource.name.clone(), Known::of(resource))));
            version = whole_of(&all);
        }
        self.nonce = nonce;
        channel.send(now, nonce, version.clone(), &resources, &removed);
        Some(Response { kind, nonce: nonce.to_string(), version, resources, removed, heartbeat: false })
    }

    /// Renews the lease of the endpoints that the proxy has; "TTL".
    pub fn heartbeat(&mut self, now: Micros) -> Option<Response> {
        let nonce = self.nonce + 1;
        let channel = &mut self.channels[Kind::Endpoints as usize];
        let held = channel.accepted.values().filter_map(|known| known.resource.clone());
        let resources: Vec<Arc<Resource>> = held.collect();
        if resources.is_empty() || !channel.out.is_empty() {
            return None;
        }
        let version = whole_of(&channel.sent);
        self.nonce = nonce;
        channel.last_nonce = nonce;
        channel.out.push_back(Out { nonce, at: now, whole: version.clone(), changes: Vec::new() });
        let (kind, nonce) = (Kind::Endpoints, nonce.to_string());
        Some(Response { kind, nonce, version, resources, removed: Vec::new(), heartbeat: true })
    }
}

fn checked(names: Vec<String>) -> Result<Vec<String>, String> {
    if names.len() > MOST_NAMES {
        return Err(format!("resource_names: {} are more than {MOST_NAMES}", names.len()));
    }
    match names.iter().find(|name| name.len() > MOST_NAME) {
        Some(name) => Err(format!("resource_names: one of {} bytes, more than {MOST_NAME}", name.len())),
        None => Ok(names),
    }
}
