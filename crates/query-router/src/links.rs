//! Connections to data nodes: what waits for them, what is out on them, and how they end.

use crate::io::{ConnectionId, Effect, Node, Piece};
use crate::protocol::frames::{self, Read};
use crate::reducer::{Alarm, Desk, Kind, Peer, Router};
use crate::scatter::Place;
use balancer::{AttemptOutcome, Events, HealthCheckEnd, LoadMetric, Micros, NodeId};
use settings_schema::parse_load_metrics;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

/// Where what can't be used is searched for the id of the part that it answers.
const BEGIN: usize = 256;

/// A part and the number of its shot.
pub type ShotId = (usize, usize);

/// What became of a shot that was given up.
pub enum Left {
    /// Taken back before its first byte.
    Unsent,
    /// Its frame is not known to be written whole: it ends with the connection.
    HalfWritten,
    Written,
}

/// Why a connection is closed from here, if it is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cut {
    No,
    Ours,
    /// The answer to this shot could not be read.
    Spoilt(ShotId),
}

/// Something to be written to a data node; of a call, its shots.
#[derive(Debug)]
enum Item {
    Call(Vec<ShotId>),
    GiveUp(Rc<str>),
    Probe,
}

/// A shot that was handed to the loop: it is written once `end` bytes are.
#[derive(Debug)]
struct Out {
    id: Rc<str>,
    part: usize,
    trial: usize,
    end: u64,
}

/// A connection to a data node.
#[derive(Debug)]
pub struct Link {
    node: Node,
    to: SocketAddr,
    up: bool,
    /// When it was asked for, then when it came up; since when it is idle.
    opened: Micros,
    since: Micros,
    /// What has not begun to be written and can be taken back.
    queue: VecDeque<Item>,
    /// How many bytes were handed to the loop, and how many of them are known to be written.
    handed: u64,
    flushed: u64,
    out: Vec<Out>,
    /// The last parts given up that may still be answered here, and the last one answered.
    stale: VecDeque<Rc<str>>,
    answered: Option<Rc<str>>,
    /// More came than belongs here, or nothing where something was due: nothing new goes out on it.
    worn: bool,
    /// When the last whole frame came; since when one has begun, and the shot that it names.
    heard: Micros,
    begun: Option<(Micros, Option<ShotId>)>,
    cut: Cut,
    /// When the probes were sent that are not answered yet.
    probes: VecDeque<Micros>,
}

impl Link {
    pub fn idle_since(&self) -> Option<Micros> {
        let idle = self.up && self.out.is_empty() && self.queue.is_empty() && self.probes.is_empty();
        idle.then_some(self.since)
    }

    fn load(&self) -> usize {
        let queued = self.queue.iter().map(|item| if let Item::Call(shots) = item { shots.len() } else { 0 });
        self.out.len() + queued.sum::<usize>()
    }

    pub fn call(&mut self, shots: Vec<ShotId>) {
        self.queue.push_back(Item::Call(shots));
    }

    /// Gives up a shot; the node is told of one that was written. Guards against a connection that fell
    /// silent while its node is well: one that has said nothing since a shot that was `due` is worn.
    pub fn leave(&mut self, shot: ShotId, id: &Rc<str>, most: usize, due: Option<Micros>) -> Left {
        if let Some(at) = self.out.iter().position(|out| (out.part, out.trial) == shot) {
            if self.out[at].end > self.flushed {
                self.cut = Cut::Ours;
                return Left::HalfWritten;
            }
            self.out.remove(at);
            self.worn |= due.is_some_and(|at| self.heard < at);
            if self.stale.len() == most {
                self.stale.pop_front();
            }
            self.stale.push_back(id.clone());
            self.queue.push_back(Item::GiveUp(id.clone()));
            return Left::Written;
        }
        self.queue.retain_mut(|item| match item {
            Item::Call(shots) => {
                shots.retain(|&queued| queued != shot);
                !shots.is_empty()
            }
            _ => true,
        });
        Left::Unsent
    }

    /// Whether a shot went out here and its frame is known to be written whole.
    pub fn wrote(&self, shot: ShotId) -> bool {
        self.out.iter().any(|out| (out.part, out.trial) == shot && out.end <= self.flushed)
    }

    /// The shot out here whose id stands at the beginning of these bytes.
    fn named(&self, bytes: &[u8]) -> Option<ShotId> {
        let begin = &bytes[..bytes.len().min(BEGIN)];
        let names = |out: &&Out| begin.windows(out.id.len()).any(|window| window == out.id.as_bytes());
        self.out.iter().find(names).map(|out| (out.part, out.trial))
    }

    fn queued(&self) -> impl Iterator<Item = ShotId> + '_ {
        let calls = self
            .queue
            .iter()
            .filter_map(|item| if let Item::Call(shots) = item { Some(shots) } else { None });
        calls.flatten().copied()
    }
}

impl Desk {
    pub fn link(&mut self, conn: ConnectionId) -> &mut Link {
        match &mut self.peers[conn].kind {
            Kind::Link(link) => link,
            _ => unreachable!("a connection to a data node"),
        }
    }

    /// A connection for parts of these ids: one idle for a tick at least, since its node may close it right
    /// behind an answer, the longest idle first, else a new one, else one with room. Guards against what
    /// befalls a connection befalling all that is out on it: calls share one only where a node's share of
    /// the sockets is used up. Answers bear no number of a trial, so no part goes out twice on one connection.
    pub fn link_for(&mut self, node: Node, ids: &[Rc<str>]) -> Option<ConnectionId> {
        let best = self.best_link(node, ids);
        if let Some((rank, conn)) = best
            && (rank == 0 || ids.is_empty())
        {
            return Some(conn);
        }
        // Clients may hold a third of the sockets; the nodes share what is left.
        let share = 2 * self.most_peers / 3 / self.scatter.nodes.iter().filter(|n| n.ready).count().max(1);
        let shared = best.map(|best| best.1);
        let used_up = self.scatter.nodes[node].links.len() >= share;
        if used_up && shared.is_some() { shared } else { self.open_link(node).or(shared) }
    }

    /// The best connection for parts of these ids, and how good it is: 0 if it has rested long enough.
    fn best_link(&self, node: Node, ids: &[Rc<str>]) -> Option<(u8, ConnectionId)> {
        let (most, idle, now) = (self.scatter.most_parts, self.scatter.idle, self.now);
        let place = &self.scatter.nodes[node];
        let rated = place.links.iter().filter_map(|&conn| {
            let Kind::Link(link) = &self.peers[conn].kind else { return None };
            let known = |id: &Rc<str>| {
                link.stale.contains(id)
                    || link.out.iter().any(|out| out.id == *id)
                    || link.queued().any(|(part, _)| self.gather.parts[part].id == *id)
            };
            let rests = link.idle_since();
            // Guards against an answer that comes behind a frame of which only half has come.
            let half = rests.is_some() && link.begun.is_some();
            let fits = !half
                && place.at == Some(link.to)
                && !link.worn
                && rests.is_none_or(|since| now - since < idle)
                && link.load() + ids.len() <= most
                && !ids.iter().any(known);
            let rank = rests.map_or(2, |since| (now - since < self.tick) as u8);
            fits.then_some((rank, rests, !link.up, link.load(), conn))
        });
        rated.min().map(|best| (best.0, best.4))
    }

    /// Calls that wait for a connection to come up go out on one that rests meanwhile. Guards against connections
    /// that come up late holding up what a sound one could carry, until the call counts as never sent.
    pub fn hand_over(&mut self) -> Vec<ConnectionId> {
        let waits = |(conn, peer): (ConnectionId, &Peer)| match &peer.kind {
            Kind::Link(link) if !link.up && link.queued().next().is_some() => Some((conn, link.node)),
            _ => None,
        };
        let waiting: Vec<(ConnectionId, Node)> = self.peers.iter().filter_map(waits).collect();
        let mut touched = Vec::new();
        for (conn, node) in waiting {
            while let Some(at) = self.link(conn).queue.iter().position(|item| matches!(item, Item::Call(_))) {
                let Item::Call(shots) = &self.link(conn).queue[at] else { break };
                let shots = shots.clone();
                let Some((0, to)) = self.best_link(node, &self.ids(&shots)) else { break };
                self.link(conn).queue.remove(at);
                self.counters.batches_reassigned += 1;
                self.put_on(to, shots);
                touched.push(to);
            }
        }
        touched
    }

    pub fn open_link(&mut self, node: Node) -> Option<ConnectionId> {
        let to = self.scatter.nodes[node].at?;
        let link = Link {
            node,
            to,
            up: false,
            opened: self.now,
            since: self.now,
            queue: VecDeque::new(),
            handed: 0,
            flushed: 0,
            out: Vec::new(),
            stale: VecDeque::new(),
            answered: None,
            worn: false,
            heard: 0,
            begun: None,
            cut: Cut::No,
            probes: VecDeque::new(),
        };
        let conn = self.open(Kind::Link(Box::new(link)))?;
        self.counters.node_connections_opened += 1;
        self.scatter.nodes[node].links.push(conn);
        self.effects.push(Effect::Connect(conn, to));
        self.set_link_alarm(conn);
        Some(conn)
    }

    pub fn link_up(&mut self, conn: ConnectionId) {
        let now = self.now;
        let link = self.link(conn);
        (link.up, link.opened) = (true, now);
        self.write_link(conn);
        self.rest(conn);
    }

    /// A connection is looked at again when it must be up, end the frame that it began, or has rested.
    fn set_link_alarm(&mut self, conn: ConnectionId) {
        let (connect, idle) = (self.scatter.connect, self.scatter.idle);
        let link = self.link(conn);
        let at = match link.begun {
            _ if !link.up => Some(link.opened + connect),
            Some((since, _)) => Some(since + connect),
            None => link.idle_since().map(|since| since + idle),
        };
        self.wake_at(conn, at);
    }

    /// Hands what waits for a connection to the loop, once all before it is written.
    pub fn write_link(&mut self, conn: ConnectionId) {
        let (now, probe) = (self.now, self.scatter.probe);
        let Kind::Link(link) = &mut self.peers[conn].kind else { return };
        if !link.up || link.flushed < link.handed || link.queue.is_empty() {
            return;
        }
        // Guards against what ran out of time in this very turn: sockets are heard before alarms.
        let shots: Vec<ShotId> = link.queued().collect();
        for (part, trial) in shots {
            if self.gather.parts[part].shots[trial].until <= now {
                self.give_up(part, trial, AttemptOutcome::NotSent);
            }
        }
        let Kind::Link(link) = &mut self.peers[conn].kind else { return };
        if link.queue.is_empty() {
            return;
        }
        // Guards against a call that goes out behind a node's last word, or behind half of one.
        let due = link.queued().next().is_none()
            || !(link.out.is_empty() && link.probes.is_empty() && link.stale.is_empty());
        let mut pieces: Vec<Piece> = Vec::new();
        for item in link.queue.drain(..) {
            let first = pieces.len();
            pieces.push(Rc::from([]));
            let letter = match &item {
                Item::Call(shots) => {
                    for &(part, trial) in shots {
                        let held = &self.gather.parts[part];
                        let text = &self.gather.retrievals[held.retrieval].text;
                        let wait = (held.shots[trial].until - now).max(0) / 1000;
                        let line = frames::part_line(&held.id, held.shard, wait, text.len());
                        pieces.extend([line.into_bytes().into(), text.clone()]);
                    }
                    self.counters.batches_sent += 1;
                    self.counters.attempts_sent += shots.len() as u64;
                    b'R'
                }
                Item::GiveUp(id) => {
                    pieces.push(id.as_bytes().into());
                    b'A'
                }
                Item::Probe => {
                    self.counters.health_checks_sent += 1;
                    probe
                }
            };
            let length = pieces[first..].iter().map(|piece| piece.len()).sum();
            let head = frames::head(letter, length);
            pieces[first] = head.into();
            link.handed += (head.len() + length) as u64;
            if let Item::Call(shots) = item {
                link.out.extend(shots.into_iter().map(|(part, trial)| {
                    let id = self.gather.parts[part].id.clone();
                    Out { id, part, trial, end: link.handed }
                }));
            }
        }
        self.effects.push(Effect::Send(conn, pieces, due));
        self.set_link_alarm(conn);
    }

    pub fn link_flushed(&mut self, conn: ConnectionId) {
        let link = self.link(conn);
        link.flushed = link.handed;
        self.write_link(conn);
        self.rest(conn);
    }

    /// A connection with nothing to do is closed before its idle time is over, a worn one at once.
    pub fn rest(&mut self, conn: ConnectionId) {
        let now = self.now;
        let link = self.link(conn);
        if link.idle_since().is_some() {
            if link.worn {
                return self.close_link(conn);
            }
            link.since = now;
        }
        self.set_link_alarm(conn);
    }

    /// Closes a connection on which nothing is out.
    pub fn close_link(&mut self, conn: ConnectionId) {
        self.counters.node_connections_closed_idle += 1;
        self.drop_link(conn);
    }

    /// Forgets a connection, and its node's index with the last one if the module has no use for it any more.
    fn drop_link(&mut self, conn: ConnectionId) {
        let node = self.link(conn).node;
        self.scatter.nodes[node].links.retain(|&c| c != conn);
        self.close(conn);
        self.drop_node(node);
    }

    pub fn drop_node(&mut self, node: Node) {
        if self.scatter.nodes[node].released && self.scatter.nodes[node].links.is_empty() {
            self.scatter.nodes[node] = Place::default();
            self.discovery.nodes.release(node);
        }
    }

    pub fn close_idle_links(&mut self, node: Node) {
        for conn in self.scatter.nodes[node].links.clone() {
            if self.link(conn).idle_since().is_some() {
                self.close_link(conn);
            }
        }
    }

    /// What a list says of a node's connections. Guards against connections to a process that is no more:
    /// a machine that vanished leaves them silent, and what is sent on one is lost. At a node that takes
    /// nothing new, or not at this address any more, what has not begun to be written is taken back.
    pub fn turn_from(&mut self, node: Node) {
        let place = self.scatter.nodes[node].clone();
        if !place.ready {
            let waiting = self.scatter.waiting(node);
            waiting.into_iter().for_each(|(part, trial)| self.give_up(part, trial, AttemptOutcome::NotSent));
        }
        for conn in place.links {
            let link = self.link(conn);
            if link.up && link.opened < place.up_since {
                self.effects.push(Effect::Break(conn));
                continue;
            }
            if place.ready && place.at == Some(link.to) {
                continue;
            }
            let shots: Vec<ShotId> = link.queued().collect();
            for (part, trial) in shots {
                self.give_up(part, trial, AttemptOutcome::NotSent);
            }
            if self.link(conn).idle_since().is_some() {
                self.close_link(conn);
            }
        }
    }

    /// A data node and this router do not understand each other; said once of each node.
    fn garbled(&mut self, conn: ConnectionId, why: &str) {
        self.counters.frames_malformed += 1;
        let node = self.link(conn).node;
        let place = &mut self.scatter.nodes[node];
        if !std::mem::replace(&mut place.garbled, true) {
            tracing::warn!("the data node at {:?} is not understood: {why}", place.at);
        }
    }

    pub fn send_probe(&mut self, node: Node) {
        let Some(conn) = self.link_for(node, &[]) else { return };
        let at = self.now + self.scatter.connect;
        let link = self.link(conn);
        // No two are due at one time: an alarm stands for one probe.
        let at = link.probes.back().map_or(at, |last| at.max(last + 1));
        link.queue.push_back(Item::Probe);
        link.probes.push_back(at);
        self.timers.insert((at, Alarm::Probe(conn)));
        self.write_link(conn);
    }
}

impl Router {
    pub fn link_received(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let mut at = 0;
        loop {
            match frames::read(&bytes[at..]) {
                Read::More => break,
                Read::Frame(letter, rest, length) if self.frame(conn, letter, rest) => at += length,
                Read::Frame(..) | Read::Bad => {
                    let named = self.desk.link(conn).named(&bytes[at..]);
                    return self.link_spoilt(conn, named);
                }
            }
        }
        let (now, link) = (self.desk.now, self.desk.link(conn));
        let since = link.begun.filter(|_| at == 0).map_or(now, |begun| begun.0);
        link.begun = (at < bytes.len()).then(|| (since, link.named(&bytes[at..])));
        if at > 0 {
            link.heard = now;
        }
        self.desk.effects.push(Effect::Taken(conn, at));
        self.desk.rest(conn);
    }

    /// Closes a connection on which something came that can't be used, or did not come to its end. Guards
    /// against good nodes being taken for fallen ones: answers are spoilt on the way too. It is told of one
    /// shot, the one `named` or else the oldest; the others out here are given up by the close.
    fn link_spoilt(&mut self, conn: ConnectionId, named: Option<ShotId>) {
        let link = self.desk.link(conn);
        let spoilt = named.or(link.out.first().map(|out| (out.part, out.trial)));
        link.cut = spoilt.map_or(Cut::Ours, Cut::Spoilt);
        match spoilt {
            None => self.desk.counters.frames_unexpected += 1,
            Some(_) => self.desk.garbled(conn, "its frame could not be used"),
        }
        self.desk.effects.push(Effect::Break(conn));
    }

    /// Takes one frame; false if it can't be used.
    fn frame(&mut self, conn: ConnectionId, letter: u8, rest: &[u8]) -> bool {
        match letter {
            b'Y' => {
                let Some((id, outcome, report, value)) = frames::answer(rest) else { return false };
                let link = self.desk.link(conn);
                let Some(at) = link.out.iter().position(|out| &*out.id == id) else {
                    let left = link.stale.iter().position(|known| **known == *id);
                    link.worn |= left.and_then(|at| link.stale.remove(at)).is_none();
                    // An id that is no one's here, or a second copy of the last answer.
                    let usable = !link.worn || link.answered.as_deref() == Some(id);
                    self.desk.counters.responses_late += 1;
                    return usable;
                };
                let Out { id, part, trial, .. } = link.out.remove(at);
                link.answered = Some(id);
                if outcome == AttemptOutcome::Succeeded {
                    self.desk.gather.parts[part].value.get_or_insert_with(|| value.to_string());
                }
                let load =
                    std::str::from_utf8(report).ok().and_then(|report| parse_load_metrics(report, '='));
                self.shot_ended(part, trial, outcome, &load.unwrap_or_default());
                true
            }
            b'G' | b'T' => {
                let Ok(text) = std::str::from_utf8(rest) else { return false };
                let outcome =
                    if text == "ERROR" { AttemptOutcome::ServerError } else { AttemptOutcome::Succeeded };
                let report = if matches!(text, "OK" | "ERROR" | "-") { "" } else { text };
                self.probe_ended(conn, outcome, &parse_load_metrics(report, '=').unwrap_or_default());
                true
            }
            b'N' => {
                // The node is about to close: what is not out yet goes elsewhere.
                self.desk.garbled(conn, &String::from_utf8_lossy(rest));
                self.desk.link(conn).worn = true;
                self.desk.effects.push(Effect::Break(conn));
                true
            }
            _ => false,
        }
    }

    fn probe_ended(&mut self, conn: ConnectionId, outcome: AttemptOutcome, load: &[LoadMetric]) {
        let (now, wait) = (self.desk.now, self.desk.scatter.connect);
        let link = self.desk.link(conn);
        let node = link.node;
        let Some(due) = link.probes.pop_front() else { return };
        self.desk.timers.remove(&(due, Alarm::Probe(conn)));
        self.balance.health_check_ended(
            now,
            &HealthCheckEnd { node: NodeId(node), outcome, latency: now - (due - wait), load },
        );
        self.desk.unsettled = true;
    }

    /// A probe was not answered in time; so that a late answer is not taken for another's, all goes.
    pub fn probe_overdue(&mut self, conn: ConnectionId) {
        self.probe_ended(conn, AttemptOutcome::TimedOut, &[]);
        self.desk.effects.push(Effect::Break(conn));
    }

    pub fn link_alarm(&mut self, conn: ConnectionId) {
        let link = self.desk.link(conn);
        match link.begun {
            _ if !link.up => self.link_ended(conn, 0),
            Some((_, named)) => self.link_spoilt(conn, named),
            None if link.idle_since().is_some() => self.desk.close_link(conn),
            None => {}
        }
    }

    /// A connection is gone. What was not written whole never ran; of the rest nothing is known.
    pub fn link_ended(&mut self, conn: ConnectionId, written: u64) {
        let link = self.desk.link(conn);
        let (up, cut) = (link.up, link.cut);
        let queued: Vec<ShotId> = link.queued().collect();
        let out = std::mem::take(&mut link.out);
        // One that was up and ends before a frame is written says nothing of whether its node can be reached.
        let unsent = if up { AttemptOutcome::NotSent } else { AttemptOutcome::ConnectFailed };
        if !up {
            self.desk.counters.node_connections_failed += 1;
        }
        while !self.desk.link(conn).probes.is_empty() {
            self.probe_ended(
                conn,
                if up { AttemptOutcome::ConnectionLost } else { AttemptOutcome::ConnectFailed },
                &[],
            );
        }
        for Out { part, trial, end, .. } in out {
            let outcome = match (cut, end <= written) {
                (Cut::No, true) => AttemptOutcome::ConnectionLost,
                (Cut::Spoilt(shot), true) if shot == (part, trial) => AttemptOutcome::MalformedResponse,
                (_, true) => AttemptOutcome::Cancelled,
                (_, false) => unsent,
            };
            self.shot_ended(part, trial, outcome, &[]);
        }
        for (part, trial) in queued {
            self.shot_ended(part, trial, unsent, &[]);
        }
        self.desk.drop_link(conn);
    }
}
