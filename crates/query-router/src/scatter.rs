//! Shots of the module: which call and which connection each goes on, and how it ended.

use crate::config::Config;
use crate::counters::debug_invariant;
use crate::gather::Shot;
use crate::io::{ConnectionId, Effect, Node};
use crate::links::{Left, ShotId};
use crate::protocol::frames::FrameKind;
use crate::reducer::{Alarm, Desk, Router};
use balancer::{
    AttemptEnd, AttemptId, AttemptNumber, AttemptOutcome, Events, LoadMetric, Micros, NodeId, ShardRequestId,
};
use std::net::SocketAddr;
use std::rc::Rc;

/// What is known of a data node, and the connections to it.
#[derive(Clone, Debug, Default)]
pub struct Place {
    pub at: Option<SocketAddr>,
    pub ready: bool,
    /// When its process started, as far as the list says.
    pub up_since: Micros,
    /// The number of the last list that named it.
    pub list: u64,
    /// The module has forgotten it: its index is free once no connection is left.
    pub released: bool,
    /// One of its frames could not be used.
    pub garbled: bool,
    pub links: Vec<ConnectionId>,
}

pub struct Scatter {
    pub nodes: Vec<Place>,
    /// The calls of this settle, and those that no socket was free for.
    calls: Vec<(Node, Vec<ShotId>)>,
    call_parts: usize,
    pub most_parts: usize,
    pub connect: Micros,
    pub idle: Micros,
    /// The letter of a probe: for load where load comes by probes, else for health.
    pub probe: FrameKind,
}

impl Scatter {
    pub fn new(config: &Config) -> Scatter {
        let connect = config.micros("limits.connect_timeout_us");
        let idle = config.micros("limits.idle_timeout_us");
        Scatter {
            nodes: Vec::new(),
            calls: Vec::new(),
            call_parts: config.count("batch.max_shard_requests"),
            most_parts: config.count("limits.max_requests_per_connection"),
            connect,
            // Closed here before the data node may: a request that crosses its close would be a reset.
            idle: (idle - connect).max(idle / 2),
            probe: if config.settings.text("load_report.transport") == "health_checks" {
                FrameKind::Load
            } else {
                FrameKind::Health
            },
        }
    }

    /// Takes back a shot that no connection took yet. Guards against one whose query is forgotten, and whose index
    /// is another's by the time a socket is free.
    fn take_back(&mut self, shot: ShotId) {
        self.calls.retain_mut(|call| {
            call.1.retain(|&waiting| waiting != shot);
            !call.1.is_empty()
        });
    }

    /// The shots for a node that no connection took yet.
    pub fn waiting(&self, node: Node) -> Vec<ShotId> {
        self.calls.iter().filter(|call| call.0 == node).flat_map(|call| call.1.clone()).collect()
    }
}

impl Desk {
    /// A shot of the module's, put to the others of this settle for the same node.
    pub fn send_shot(&mut self, part: usize, node: Node, timeout: Option<Micros>) {
        let now = self.now;
        self.counters.attempts_requested += 1;
        let held = &mut self.gather.parts[part];
        let retrieval = &self.gather.retrievals[held.retrieval];
        debug_invariant!(self.counters, !retrieval.ended(), "no shot after the final answer");
        let until = timeout.map_or(retrieval.until, |timeout| retrieval.until.min(now + timeout));
        let trial = held.shots.len();
        held.shots.push(Shot { node, at: now, until, link: None, over: false });
        self.timers.insert((until, Alarm::Shot(part, trial)));
        let most = self.scatter.call_parts;
        let fits = |call: &&mut (Node, Vec<ShotId>)| {
            call.0 == node && call.1.len() < most && call.1.iter().all(|shot| shot.0 != part)
        };
        match self.scatter.calls.iter_mut().find(fits) {
            Some(call) => call.1.push((part, trial)),
            None => self.scatter.calls.push((node, vec![(part, trial)])),
        }
    }

    /// The ids of these shots' parts on the sockets.
    pub fn ids(&self, shots: &[ShotId]) -> Vec<Rc<str>> {
        shots.iter().map(|shot| self.gather.parts[shot.0].id.clone()).collect()
    }

    /// Has a call wait on a connection.
    pub fn put_on(&mut self, conn: ConnectionId, shots: Vec<ShotId>) {
        for &(part, trial) in &shots {
            self.gather.parts[part].shots[trial].link = Some(conn);
        }
        self.link(conn).call(shots);
    }

    /// Puts the calls of this settle on connections.
    pub fn write_calls(&mut self) {
        let mut touched: Vec<ConnectionId> = self.hand_over();
        for (node, shots) in std::mem::take(&mut self.scatter.calls) {
            if self.scatter.nodes[node].at.is_none() {
                shots
                    .into_iter()
                    .for_each(|(part, trial)| self.report(part, trial, AttemptOutcome::ConnectFailed));
                continue;
            }
            match self.link_for(node, &self.ids(&shots)) {
                Some(conn) => {
                    self.put_on(conn, shots);
                    touched.push(conn);
                }
                // Short of sockets: that says nothing of the node, so the call waits until one is free.
                None => self.scatter.calls.push((node, shots)),
            }
        }
        touched.into_iter().for_each(|conn| self.write_link(conn));
    }

    /// Takes back what is not known to be written whole of a query that has ended. Guards against what is sent
    /// for nobody: on a connection that comes up late, once a socket is free, or behind what a node does not read.
    pub fn take_back(&mut self, retrieval: usize) {
        let Some(held) = self.gather.retrievals.get(retrieval) else { return };
        for part in held.parts.clone() {
            for trial in 0..self.gather.parts[part].shots.len() {
                let shot = &self.gather.parts[part].shots[trial];
                // The connection of one that is over may be another's by now.
                let (over, conn) = (shot.over, shot.link);
                if !over && !conn.is_some_and(|conn| self.link(conn).wrote((part, trial))) {
                    self.give_up(part, trial, AttemptOutcome::NotSent);
                }
            }
        }
    }

    /// Stops waiting for a shot. What was not begun is taken back unsent; a frame that stands half written
    /// ends with its connection, since a part must not arrive after its retrieval has ended.
    pub fn give_up(&mut self, part: usize, trial: usize, outcome: AttemptOutcome) {
        let Some(shot) = self.gather.parts.get(part).and_then(|p| p.shots.get(trial)) else { return };
        if shot.over {
            return;
        }
        let Some(conn) = shot.link else {
            self.scatter.take_back((part, trial));
            return self.report(part, trial, AttemptOutcome::NotSent);
        };
        // Something was due if another shot was answered first, or in the time that a connection may take.
        let held = &self.gather.parts[part];
        let due = held.value.is_some() || self.now - shot.at >= self.scatter.connect;
        let (id, due, most) = (held.id.clone(), due.then_some(shot.at), self.scatter.most_parts);
        match self.link(conn).leave((part, trial), &id, most, due) {
            Left::Unsent => self.report(part, trial, AttemptOutcome::NotSent),
            Left::HalfWritten => self.effects.push(Effect::Break(conn)),
            Left::Written => {
                self.write_link(conn);
                self.rest(conn);
                self.report(part, trial, outcome);
            }
        }
    }

    /// The module hears of this with the next settle.
    pub fn report(&mut self, part: usize, trial: usize, outcome: AttemptOutcome) {
        if let Some((node, lag)) = self.shot_over(part, trial, outcome) {
            self.news.push((part, trial, node, outcome, lag));
        }
    }

    /// Notes that a shot is over; its node and how long it was out, unless that was known.
    fn shot_over(&mut self, part: usize, trial: usize, outcome: AttemptOutcome) -> Option<(Node, Micros)> {
        let shot = self.gather.parts.get_mut(part)?.shots.get_mut(trial)?;
        if std::mem::replace(&mut shot.over, true) {
            return None;
        }
        self.timers.remove(&(shot.until, Alarm::Shot(part, trial)));
        let count = match outcome {
            AttemptOutcome::Succeeded => &mut self.counters.attempts_succeeded,
            AttemptOutcome::ServerError => &mut self.counters.attempts_server_error,
            AttemptOutcome::Rejected => &mut self.counters.attempts_rejected,
            AttemptOutcome::TimedOut => &mut self.counters.attempts_timed_out,
            AttemptOutcome::ConnectFailed => &mut self.counters.attempts_connect_failed,
            AttemptOutcome::ConnectionLost => &mut self.counters.attempts_connection_lost,
            AttemptOutcome::Cancelled => &mut self.counters.attempts_cancelled,
            AttemptOutcome::NotSent => &mut self.counters.attempts_not_sent,
            AttemptOutcome::MalformedResponse => &mut self.counters.attempts_malformed_response,
        };
        *count += 1;
        Some((shot.node, self.now - shot.at))
    }
}

impl Router {
    pub fn shot_ended(&mut self, part: usize, trial: usize, outcome: AttemptOutcome, load: &[LoadMetric]) {
        if let Some((node, lag)) = self.desk.shot_over(part, trial, outcome) {
            self.balance.attempt_ended(
                self.desk.now,
                &AttemptEnd {
                    attempt: AttemptId::new(ShardRequestId(part), AttemptNumber(trial)),
                    node: NodeId(node),
                    outcome,
                    latency: lag,
                    load,
                },
            );
            self.desk.unsettled = true;
        }
    }
}
