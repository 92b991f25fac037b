//! Calls to discovery: the whole list, or a watch that tells of changes for as long as it lasts.

use crate::config::{Config, numbered};
use crate::io::{ConnectionId, Effect};
use crate::protocol::http::{self, Chunks, Framing};
use crate::protocol::json_stream::{JsonStream, JsonStreamItem, MAX_ENDPOINT_LIST_BYTES};
use crate::reducer::{Alarm, Desk, Kind, Peer, Router};
use crate::scatter::Place;
use balancer::{Endpoint, EndpointState, EndpointUpdate, Events, Micros, NodeId};
use serde_json::Value as Json;
use settings_schema::EndpointEntry;
use settings_schema::IdInterner;
use std::net::SocketAddr;

/// How often discovery says at least an empty line.
const EMPTY_LINES: Micros = 2_000_000;

#[derive(Debug)]
pub struct Call {
    watch: bool,
    /// How the body is framed, once the head is in, and how far it is read.
    framing: Option<Framing>,
    chunks: Chunks,
    read: usize,
    /// What is in of the list.
    body: Vec<u8>,
    /// What is in of a watch's objects, and since when one has begun that is not whole.
    objects: JsonStream,
    begun: Option<Micros>,
    /// The body has come to its end.
    over: bool,
    /// The watch has said something; when it last did, and at which revision.
    answered: bool,
    heard: Micros,
    revision: u64,
}

pub struct Discovery {
    at: SocketAddr,
    revision: u64,
    watch: Option<ConnectionId>,
    /// When a watch that failed is begun anew, where the router sees to that itself; how long after, at most, and
    /// how long after the first that fails. Later ones take twice as long and no more: what discovery has to tell
    /// when it is back is told at once.
    again_at: Option<Micros>,
    pause: Micros,
    least: Micros,
    rng: fastrand::Rng,
    /// The module is to ask for the list; else the router watches all the time.
    asked: bool,
    pub nodes: IdInterner<String>,
    zones: Vec<String>,
    lists: u64,
    /// Calls that failed for want of a socket, which the module has not heard of yet.
    pub unheard: usize,
}

impl Discovery {
    pub fn new(config: &Config) -> Discovery {
        // Where lists are told, what the agent has counts as told at once, watch or no watch.
        let least = match config.micros("rules.drain_grace_us") / 4 {
            0 => EMPTY_LINES,
            pause => pause.min(EMPTY_LINES),
        };
        Discovery {
            at: config.discovery,
            revision: 0,
            watch: None,
            again_at: None,
            pause: least,
            least,
            rng: fastrand::Rng::with_seed(!config.seed),
            asked: config.settings.text("discovery.mode") == "polled",
            nodes: IdInterner::default(),
            zones: numbered(&config.settings, "zone"),
            lists: 0,
            unheard: 0,
        }
    }
}

impl Desk {
    /// Begins a watch in place of the one before, or ends it.
    pub fn watch(&mut self, on: bool) {
        if let Some(conn) = self.discovery.watch.take() {
            self.close(conn);
        }
        // Guards against a time that was set for a watch before this one, and would end this one.
        if let Some(at) = self.discovery.again_at.take() {
            self.timers.remove(&(at, Alarm::Watch));
        }
        if on {
            self.discovery.watch = self.call(true);
        }
    }

    /// Asks discovery; a call that finds no socket fails as any other does, with the next settle.
    pub fn call(&mut self, watch: bool) -> Option<ConnectionId> {
        self.counters.discovery_requests += 1;
        let call = Call {
            watch,
            framing: None,
            chunks: Chunks::new(MAX_ENDPOINT_LIST_BYTES),
            read: 0,
            body: Vec::new(),
            objects: JsonStream::default(),
            begun: None,
            over: false,
            answered: false,
            heard: self.now,
            revision: 0,
        };
        let Some(conn) = self.open(Kind::Call(call)) else {
            self.discovery.unheard += 1;
            return None;
        };
        self.effects.push(Effect::Connect(conn, self.discovery.at));
        self.wake_at(conn, Some(self.now + 2 * EMPTY_LINES));
        Some(conn)
    }

    /// Turns to another address: what is under way at the old one begins anew there, so that no late answer
    /// of the old one overwrites the new one's. Revisions of the one mean nothing to the other.
    pub fn move_discovery(&mut self, at: SocketAddr) {
        if at == self.discovery.at {
            return;
        }
        tracing::info!("discovery moves from {} to {at}", self.discovery.at);
        (self.discovery.at, self.discovery.revision) = (at, 0);
        let list = |(conn, peer): (ConnectionId, &Peer)| {
            matches!(&peer.kind, Kind::Call(c) if !c.watch).then_some(conn)
        };
        let lists: Vec<ConnectionId> = self.peers.iter().filter_map(list).collect();
        for conn in lists {
            self.close(conn);
            self.call(false);
        }
        self.watch(true);
    }

    pub fn call_up(&mut self, conn: ConnectionId) {
        let Discovery { at, revision, .. } = self.discovery;
        let query = match &self.peers[conn].kind {
            Kind::Call(call) if call.watch => format!("?watch=1&after={revision}"),
            _ => String::new(),
        };
        let head = format!("GET /api/targets{query} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
        self.effects.push(Effect::Write(conn, vec![head.into_bytes().into()]));
    }

    /// Discovery has closed its side in order.
    pub fn call_closed(&mut self, conn: ConnectionId) {
        let call = self.call_mut(conn);
        call.over |= call.framing == Some(Framing::Open);
    }

    fn call_mut(&mut self, conn: ConnectionId) -> &mut Call {
        match &mut self.peers[conn].kind {
            Kind::Call(call) => call,
            _ => unreachable!("a call to discovery"),
        }
    }
}

/// Says why a list as a whole can't be used; entries are judged one by one. An entry may change twice in one
/// telling, but stands in a whole list once.
fn usable(list: &Json, whole: bool) -> Result<u64, &'static str> {
    let revision = list["revision"].as_u64().ok_or("its revision is not a whole number")?;
    let members = list["members"].as_array().ok_or("'members' is not a list")?;
    let mut ids: Vec<&str> = members.iter().filter_map(|member| member["id"].as_str()).collect();
    ids.sort_unstable();
    if whole && ids.windows(2).any(|two| two[0] == two[1]) {
        return Err("an id stands in it twice");
    }
    Ok(revision)
}

impl Router {
    /// The list held from before the start.
    pub fn known(&mut self, list: &Json) {
        self.list(list, EndpointUpdate::Cached);
        if !self.desk.discovery.asked {
            self.desk.watch(true);
        }
    }

    pub fn call_received(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let now = self.desk.now;
        match self.call_read(conn, bytes) {
            Ok((taken, over)) => {
                self.desk.effects.push(Effect::Taken(conn, taken));
                // Guards against an object that was cut off, behind which a watch says nothing that can be read.
                // Bytes that make no line and no object say nothing, however often they come.
                let call = self.desk.call_mut(conn);
                call.over = over;
                call.begun = call.objects.begun().then_some(call.begun.unwrap_or(now));
                let since = call.begun.unwrap_or(call.heard);
                self.desk.wake_at(conn, Some(since + 2 * EMPTY_LINES));
                if over {
                    self.call_ended(conn);
                }
            }
            Err(why) => self.call_unusable(conn, why),
        }
    }

    /// Reads on; how many bytes were taken and whether the body is over, or why it can't be used.
    fn call_read(&mut self, conn: ConnectionId, bytes: &[u8]) -> Result<(usize, bool), &'static str> {
        let call = self.desk.call_mut(conn);
        let (mut at, mut over) = (0, false);
        let framing = match call.framing {
            Some(framing) => framing,
            None => {
                let Some((status, length, framing)) = http::response(bytes).map_err(|bad| bad.1)? else {
                    return Ok((0, false));
                };
                // Down, or too busy: its body is of no use, and what has no framing ends as a call that failed.
                if status != 200 {
                    return Ok((bytes.len(), true));
                }
                at = length;
                *call.framing.insert(framing)
            }
        };
        let (watch, body, objects) = (call.watch, &mut call.body, &mut call.objects);
        let mut take = |data: &[u8]| if watch { objects.push(data) } else { body.extend_from_slice(data) };
        match framing {
            Framing::Chunks => {
                let read = call.chunks.read(&bytes[at..], &mut take).map_err(|bad| bad.1)?;
                (at, over) = (at + read.0, read.1);
            }
            Framing::Length(length) if length > MAX_ENDPOINT_LIST_BYTES => {
                return Err("the list is too long");
            }
            Framing::Length(length) => {
                let data = &bytes[at..bytes.len().min(at + length - call.read)];
                take(data);
                call.read += data.len();
                (at, over) = (bytes.len(), call.read == length);
            }
            Framing::Open => {
                take(&bytes[at..]);
                at = bytes.len();
            }
        }
        if call.body.len() > MAX_ENDPOINT_LIST_BYTES {
            return Err("the list is too long");
        }
        if watch {
            self.objects(conn)?;
        }
        Ok((at, over))
    }

    /// Tells the module each object of a watch that is whole.
    fn objects(&mut self, conn: ConnectionId) -> Result<(), &'static str> {
        loop {
            let next = self.desk.call_mut(conn).objects.next()?;
            if next == JsonStreamItem::Incomplete {
                return Ok(());
            }
            let now = self.desk.now;
            let call = self.desk.call_mut(conn);
            let first = !std::mem::replace(&mut call.answered, true);
            call.heard = now;
            if first {
                self.desk.discovery.pause = self.desk.discovery.least;
            }
            match next {
                JsonStreamItem::Object(object) => {
                    let json: Json = serde_json::from_slice(&object).map_err(|_| "an object is not JSON")?;
                    let whole = json["complete"].as_bool().ok_or("'complete' is missing")?;
                    let revision = usable(&json, whole)?;
                    // Guards against what was overtaken on its way undoing a drain.
                    let newest = self.desk.call_mut(conn).revision;
                    if revision < newest {
                        self.desk.counters.endpoint_lists_stale += 1;
                        tracing::warn!("revision {revision} came behind {newest} and is passed over");
                        continue;
                    }
                    self.desk.call_mut(conn).revision = revision;
                    self.list(&json, if whole { EndpointUpdate::Full } else { EndpointUpdate::Incremental });
                }
                _ if first => self.list(&Json::Null, EndpointUpdate::Incremental),
                _ => {}
            }
        }
    }

    /// Nothing was said for too long. A watch that was well is begun anew at once, and the module only hears of it
    /// if that fails: what a silent one misses counts as told soon after.
    pub fn call_silent(&mut self, conn: ConnectionId) {
        if self.desk.discovery.watch != Some(conn) || !self.desk.call_mut(conn).answered {
            return self.call_failed(conn);
        }
        tracing::info!("the watch fell silent and is begun anew");
        self.desk.counters.endpoint_watches_silent += 1;
        self.desk.watch(true);
    }

    /// A call is over, or nothing more is to be expected of it. Guards against what is cut off being taken for
    /// whole: a body without a length ends with its connection's orderly close, and no body by a reset.
    pub fn call_ended(&mut self, conn: ConnectionId) {
        let call = self.desk.call_mut(conn);
        if call.watch || !call.over || call.framing.is_none() {
            return self.call_failed(conn);
        }
        let list = serde_json::from_slice(&call.body).map_err(|_| "the list is not JSON");
        match list.and_then(|list: Json| usable(&list, true).map(|_| list)) {
            Ok(list) => {
                self.list(&list, EndpointUpdate::Full);
                self.desk.close(conn);
            }
            Err(why) => self.call_unusable(conn, why),
        }
    }

    fn call_unusable(&mut self, conn: ConnectionId, why: &str) {
        self.desk.counters.endpoint_lists_invalid += 1;
        tracing::warn!("what discovery said could not be used: {why}");
        self.call_failed(conn);
    }

    fn call_failed(&mut self, conn: ConnectionId) {
        if self.desk.discovery.watch == Some(conn) {
            self.desk.discovery.watch = None;
        }
        self.desk.close(conn);
        self.discovery_failed();
    }

    pub fn discovery_failed(&mut self) {
        let now = self.desk.now;
        self.desk.counters.discovery_failures += 1;
        if !self.desk.discovery.asked && self.desk.discovery.watch.is_none() {
            // Guards against all routers whose watches end together keeping a busy discovery from answering any.
            let discovery = &mut self.desk.discovery;
            let at = now + discovery.pause / 2 + discovery.rng.i64(0..=discovery.pause / 2);
            discovery.pause = (2 * discovery.least).min(EMPTY_LINES);
            if let Some(before) = discovery.again_at.replace(at) {
                self.desk.timers.remove(&(before, Alarm::Watch));
            }
            self.desk.timers.insert((at, Alarm::Watch));
        }
        self.balance.endpoint_update_started(now, EndpointUpdate::Failed);
        self.balance.endpoint_update_finished(now, &mut self.desk);
        self.desk.unsettled = true;
    }

    /// Tells the module a list in discovery's form, entry by entry.
    pub fn list(&mut self, list: &Json, listing: EndpointUpdate) {
        let now = self.desk.now;
        let desk = &mut self.desk;
        desk.discovery.revision = list["revision"].as_u64().unwrap_or(desk.discovery.revision);
        desk.discovery.lists += 1;
        let number = desk.discovery.lists;
        match listing {
            EndpointUpdate::Incremental => desk.counters.endpoint_lists_incremental += 1,
            _ => desk.counters.endpoint_lists_full += 1,
        }
        self.balance.endpoint_update_started(now, listing);
        for member in list["members"].as_array().map_or(&[][..], Vec::as_slice) {
            let Some(entry) = EndpointEntry::parse(member) else {
                tracing::warn!("a member of the list could not be used: {member}");
                continue;
            };
            let zones = &desk.discovery.zones;
            let zone = zones.iter().position(|known| known == entry.zone).unwrap_or(zones.len());
            let node = desk.discovery.nodes.intern(entry.id.to_string());
            let places = &mut desk.scatter.nodes;
            if places.len() <= node {
                places.resize(node + 1, Place::default());
            }
            let place = &mut places[node];
            place.at = entry.address.parse().ok();
            (place.ready, place.up_since, place.list) =
                (entry.state == EndpointState::Ready, entry.started_at, number);
            place.released = false;
            self.balance.endpoint_listed(
                now,
                &Endpoint {
                    node: NodeId(node),
                    zone,
                    replica_set: entry.replica_set,
                    state: entry.state,
                    scale: entry.scale,
                    started_at: entry.started_at,
                },
            );
        }
        if listing != EndpointUpdate::Incremental {
            desk.scatter.nodes.iter_mut().for_each(|place| place.ready &= place.list == number);
        }
        (0..desk.scatter.nodes.len()).for_each(|node| desk.turn_from(node));
        self.balance.endpoint_update_finished(now, &mut self.desk);
        self.desk.unsettled = true;
    }
}
