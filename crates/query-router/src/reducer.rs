//! The reducer: every change of state goes through `Router::step` and `Router::settle`. It is told plain
//! values and the time, and asks for effects; it touches no socket and no clock.

#[cfg(test)]
mod tests;

use crate::clients::{Client, Clients, Hand};
use crate::config::Config;
use crate::counters::{Counters, debug_invariant};
use crate::discovery::{self, Discovery};
use crate::gather::Gather;
use crate::io::{ConnectionId, Effect, Event, Node};
use crate::links::Link;
use crate::scatter::Scatter;
use balancer::{
    Actions, AttemptEnd, AttemptId, AttemptNumber, AttemptOutcome, Balancer, Completion, Events, Micros,
    NodeId, QueryId, ShardRequestId,
};
use slab::Slab;
use std::collections::BTreeSet;

/// Descriptors that are not connections: standard ones, the listener, the loop's own, one just accepted.
const OTHER_FILES: usize = 16;
/// How many connections may be on their way out, so that new ones in their place stay within the limit.
const MOST_PARTING: usize = OTHER_FILES / 2;
/// How long new connections keep coming after a planned end has begun, with the protocol's slack.
const STILL_COMING: Micros = 450_000;
/// A process is killed this long after a planned end has begun and the longest deadline, which counts for so
/// much at most; before that, what is left is answered, with twice the protocol's slack.
const KILLED_AFTER: Micros = 700_000;
const LONGEST_COUNTED: Micros = 3_000_000;
const BEFORE_KILL: Micros = 100_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Alarm {
    Module(u64),
    Shot(usize, usize),
    Peer(ConnectionId),
    Probe(ConnectionId),
    Watch,
    Stop,
    LastAnswer,
}

#[derive(Debug)]
pub enum Kind {
    Client(Client),
    Link(Box<Link>),
    Call(discovery::Call),
}

/// The other end of a connection, and when it is to be looked at again.
#[derive(Debug)]
pub struct Peer {
    pub kind: Kind,
    alarm: Option<Micros>,
}

/// The end of a shot that the module has not heard of yet.
type News = (usize, usize, Node, AttemptOutcome, Micros);

/// All that the router holds but the module.
pub struct Desk {
    pub now: Micros,
    pub effects: Vec<Effect>,
    pub counters: Counters,
    pub timers: BTreeSet<(Micros, Alarm)>,
    pub peers: Slab<Peer>,
    pub clients: Clients,
    pub gather: Gather,
    pub scatter: Scatter,
    pub discovery: Discovery,
    pub news: Vec<News>,
    /// The module was told something and has not decided since; when it last did, and how often it may.
    pub unsettled: bool,
    settled: Micros,
    pub tick: Micros,
    /// The planned end has begun; new connections no longer come.
    pub stopping: bool,
    pub closing: bool,
    /// By when all is answered once a planned end has begun.
    pub ends_at: Option<Micros>,
    pub most_peers: usize,
    timer: Option<Micros>,
}

pub struct Router {
    pub balance: Balancer,
    pub desk: Desk,
}

impl Router {
    pub fn new(config: &Config, now: Micros) -> Router {
        let desk = Desk {
            now,
            effects: Vec::new(),
            counters: Counters::default(),
            timers: BTreeSet::new(),
            peers: Slab::new(),
            clients: Clients::new(config),
            gather: Gather::default(),
            scatter: Scatter::new(config),
            discovery: Discovery::new(config),
            news: Vec::new(),
            unsettled: true,
            settled: 0,
            tick: config.micros("decision_interval_us"),
            stopping: false,
            closing: false,
            ends_at: None,
            most_peers: config.max_sockets.saturating_sub(OTHER_FILES).max(1),
            timer: None,
        };
        let mut router = Router { balance: Balancer::new(config.seed, config.settings.clone()), desk };
        router.known(&config.cached_endpoints);
        router
    }

    pub fn step(&mut self, now: Micros, event: Event) {
        self.desk.now = now;
        match event {
            Event::Arrived => self.desk.arrived(),
            Event::Up(conn) => match self.desk.kind(conn) {
                Some(Kind::Link(_)) => self.desk.link_up(conn),
                Some(Kind::Call(_)) => self.desk.call_up(conn),
                _ => {}
            },
            Event::Received(conn, bytes) => match self.desk.kind(conn) {
                Some(Kind::Client(_)) => self.client_received(conn, bytes),
                Some(Kind::Link(_)) => self.link_received(conn, bytes),
                Some(Kind::Call(_)) => self.call_received(conn, bytes),
                None => {}
            },
            Event::Flushed(conn) => match self.desk.kind(conn) {
                Some(Kind::Client(_)) => self.desk.answer_flushed(conn),
                Some(Kind::Link(_)) => self.desk.link_flushed(conn),
                _ => {}
            },
            Event::Closed(conn) => {
                if let Some(Kind::Call(_)) = self.desk.kind(conn) {
                    self.desk.call_closed(conn);
                }
            }
            Event::Ended(conn, written) => match self.desk.kind(conn) {
                Some(Kind::Client(_)) => self.client_ended(conn),
                Some(Kind::Link(_)) => self.link_ended(conn, written),
                Some(Kind::Call(_)) => self.call_ended(conn),
                None => {}
            },
            Event::Alarm => self.alarms(),
            Event::Discovery(at) => self.desk.move_discovery(at),
            Event::Terminate => self.desk.terminate(),
            Event::Report => self.desk.effects.push(Effect::Report(self.desk.counters.lines())),
        }
        self.desk.set_wake();
    }

    fn alarms(&mut self) {
        let now = self.desk.now;
        while let Some(&(at, alarm)) = self.desk.timers.first().filter(|t| t.0 <= now) {
            self.desk.timers.remove(&(at, alarm));
            match alarm {
                Alarm::Module(token) => {
                    self.balance.timer_expired(now, token);
                    self.desk.unsettled = true;
                }
                Alarm::Shot(part, trial) => self.desk.give_up(part, trial, AttemptOutcome::TimedOut),
                Alarm::Probe(conn) => self.probe_overdue(conn),
                Alarm::Watch => self.desk.watch(true),
                Alarm::Stop => self.desk.close_idle_clients(),
                Alarm::LastAnswer => self.desk.refuse_unfinished(),
                Alarm::Peer(conn) => {
                    self.desk.peers[conn].alarm = None;
                    match self.desk.peers[conn].kind {
                        Kind::Client(_) => self.desk.client_alarm(conn),
                        Kind::Link(_) => self.link_alarm(conn),
                        Kind::Call(_) => self.call_silent(conn),
                    }
                }
            }
        }
    }

    /// Once a turn, after all its events: tells the module what is left to tell and lets it decide, at most
    /// once in the time that the settings state.
    pub fn settle(&mut self, now: Micros) {
        self.desk.now = now;
        for _ in 0..std::mem::take(&mut self.desk.discovery.unheard) {
            self.discovery_failed();
        }
        for (part, trial, node, outcome, lag) in std::mem::take(&mut self.desk.news) {
            self.balance.attempt_ended(
                now,
                &AttemptEnd {
                    attempt: AttemptId::new(ShardRequestId(part), AttemptNumber(trial)),
                    node: NodeId(node),
                    outcome,
                    latency: lag,
                    load: &[],
                },
            );
            self.desk.unsettled = true;
        }
        // Guards against deciding on half of what one instant brings: asked for each event alone, the module
        // sent several times the copies, which kept nodes full that had only just enough room.
        let due = now >= self.desk.settled + self.desk.tick;
        if due && std::mem::take(&mut self.desk.unsettled) {
            self.desk.settled = now;
            self.desk.counters.decisions += 1;
            self.balance.decide(now, &mut self.desk);
        }
        let desk = &mut self.desk;
        desk.write_calls();
        desk.adopt();
        desk.set_wake();
        if self.may_end() {
            self.desk.effects.push(Effect::Exit);
        }
    }

    /// Whether a planned end has nothing left to wait for.
    pub fn may_end(&self) -> bool {
        self.desk.closing && self.desk.clients_open() == 0
    }
}

impl Desk {
    /// Asks to be woken for the first timer, and where something is left to decide on.
    fn set_wake(&mut self) {
        let untold = self.unsettled || !self.news.is_empty() || self.discovery.unheard > 0;
        let settle = untold.then_some(self.settled + self.tick);
        let next = self.timers.first().map(|t| t.0).into_iter().chain(settle).min();
        if std::mem::replace(&mut self.timer, next) != next {
            self.effects.push(Effect::Timer(next));
        }
    }

    fn clients_open(&self) -> usize {
        self.peers.iter().filter(|(_, peer)| matches!(peer.kind, Kind::Client(_))).count()
    }

    pub fn kind(&self, conn: ConnectionId) -> Option<&Kind> {
        self.peers.get(conn).map(|peer| &peer.kind)
    }

    /// Looks at a connection again at `at`, in place of the time before.
    pub fn wake_at(&mut self, conn: ConnectionId, at: Option<Micros>) {
        let before = std::mem::replace(&mut self.peers[conn].alarm, at);
        before.map(|at| self.timers.remove(&(at, Alarm::Peer(conn))));
        at.map(|at| self.timers.insert((at, Alarm::Peer(conn))));
    }

    /// An index for a new connection, if the limit on sockets allows one; idle ones make room for it.
    pub fn open(&mut self, kind: Kind) -> Option<ConnectionId> {
        if self.peers.len() >= self.most_peers {
            let parting = |peer: &Peer| matches!(&peer.kind, Kind::Client(c) if c.hand == Hand::Parting);
            let parting = self.peers.iter().filter(|(_, peer)| parting(peer)).count();
            let full = self.peers.len() - parting >= self.most_peers;
            if full && (parting >= MOST_PARTING || !self.turn_one_loose()) {
                return None;
            }
        }
        let conn = self.peers.insert(Peer { kind, alarm: None });
        self.counters.sockets_peak = self.counters.sockets_peak.max(self.peers.len() as u64);
        Some(conn)
    }

    /// Closes the connection that has been idle for longest, a client's or one to a node.
    fn turn_one_loose(&mut self) -> bool {
        let idle = self.peers.iter().filter_map(|(conn, peer)| {
            let since = match &peer.kind {
                Kind::Client(client) => client.idle_since(),
                Kind::Link(link) => link.idle_since(),
                Kind::Call(_) => None,
            };
            since.map(|since| (since, conn))
        });
        let Some((_, conn)) = idle.min() else { return false };
        match self.peers[conn].kind {
            Kind::Client(_) => self.part_with(conn),
            _ => self.close_link(conn),
        }
        true
    }

    /// Forgets a connection and has it closed.
    pub fn close(&mut self, conn: ConnectionId) {
        self.wake_at(conn, None);
        if let Kind::Client(client) = self.peers.remove(conn).kind {
            self.let_go_of(&client);
        }
        self.effects.push(Effect::Close(conn));
    }

    fn terminate(&mut self) {
        if !std::mem::replace(&mut self.stopping, true) {
            tracing::info!("told to end, {} retrievals and parts in hand", self.gather.open);
            let killed_at = self.now + KILLED_AFTER + self.clients.longest.min(LONGEST_COUNTED);
            self.ends_at = Some(killed_at - BEFORE_KILL);
            self.timers.insert((self.now + STILL_COMING, Alarm::Stop));
            self.timers.insert((killed_at - BEFORE_KILL, Alarm::LastAnswer));
        }
    }
}

impl Actions for Desk {
    fn send_attempt(&mut self, shard_request: ShardRequestId, node: NodeId, timeout: Option<Micros>) {
        self.send_shot(shard_request.0, node.0, timeout);
    }
    fn cancel_attempt(&mut self, attempt: AttemptId) {
        self.give_up(attempt.shard_request.0, attempt.number.0, AttemptOutcome::Cancelled);
    }
    fn complete_query(&mut self, query: QueryId, end: Completion) {
        let retrieval = query.0;
        let client = self.gather.leave(retrieval);
        debug_invariant!(self.counters, client.is_some(), "one final answer");
        self.take_back(retrieval);
        if let Some(conn) = client {
            self.answer(conn, retrieval, end);
        }
    }
    fn release_query(&mut self, query: QueryId) {
        self.drop_retrieval(query.0);
    }
    fn release_node(&mut self, node: NodeId) {
        let node = node.0;
        self.scatter.nodes[node].released = true;
        self.close_idle_links(node);
        self.drop_node(node);
    }
    fn set_timer(&mut self, wait: Micros, token: u64) {
        self.timers.insert((self.now + wait, Alarm::Module(token)));
    }
    fn check_health(&mut self, node: NodeId) {
        self.send_probe(node.0);
    }
    fn close_idle_connections(&mut self, node: NodeId) {
        self.close_idle_links(node.0);
    }
    fn watch_endpoints(&mut self, enabled: bool) {
        self.watch(enabled);
    }
    fn poll_endpoints(&mut self) {
        self.call(false);
    }
    fn log(&mut self, line: &str) {
        tracing::info!("{line}");
    }
}
