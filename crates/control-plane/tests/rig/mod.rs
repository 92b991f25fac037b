//! Proxies and the control service's machine side by side on a clock of plain numbers: each response reaches its
//! proxy after that proxy's lag, and what must hold is looked at after each step.
#![allow(dead_code)]

use balancer::{EndpointUpdate, Micros};
use control_plane::{Control, Effect, Mode, Options, Response, Service, Stream, TICK};
use operator_config::ConfigFile;
use query_router::config::Config;
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use test_servers::{DiscoveryResponse, ReceivedResource, Script, XdsClient, member};
use xds_api::pb::google::protobuf::Any;

/// When runs begin.
pub const START: Micros = 1_000_000_000_000;
pub const SECOND: Micros = 1_000_000;
/// The longest lag of a proxy, with a tick.
const SLOWEST: Micros = 2_100_000;
pub const ZONES: [&str; 3] = ["east", "north", "west"];

pub fn address(node: usize) -> SocketAddr {
    ([127, 1, (node / 250) as u8, (node % 250) as u8 + 1], 9000).into()
}

pub fn name(node: usize) -> String {
    format!("n{node:04}")
}

/// A node's entry: nodes stand in cells and zones by turns.
pub fn entry(node: usize, cells: usize, phase: &str, up_since: Micros) -> Json {
    let at = address(node).to_string();
    member(&name(node), &at, ZONES[node / cells % 3], node % cells, phase, up_since / 1000)
}

pub fn settings(cells: usize, width: usize) -> Json {
    json!({"tickNs": 5_000_000, "registryMode": "push", "zones": ZONES, "instances": 4,
        "familyInfo": {"sets": cells, "shards": 2 * cells, "width": width, "bundleMax": 4},
        "ceilings": {"maxAttempts": 3, "maxStreams": 8, "connectTimeoutNs": 250_000_000u64,
            "idleCloseNs": 30_000_000_000u64},
        "obligations": {"drainGraceNs": 500_000_000u64, "tipAfterNs": 1_000_000_000u64, "tipMultiple": 1.5,
            "coldFrom": 0.25, "warmUpNs": 10_000_000_000u64, "budgetShare": 0.1, "freeResends": 20,
            "extraWindowNs": 10_000_000_000u64},
        "services": [
            {"name": "look", "idempotency": "read_like", "targetNs": 400_000_000, "deadlineNs": 2_000_000_000u64},
            {"name": "credit", "idempotency": "non_idempotent", "targetNs": 400_000_000,
                "deadlineNs": 2_000_000_000u64},
            {"name": "pay", "idempotency": "idempotency_key", "deadlineNs": 2_000_000_000u64}]})
}

pub fn config(cells: usize, width: usize, known: Vec<Json>) -> Config {
    let mut settings = settings(cells, width);
    // The router refuses keyed classes at its start; here one stands for what a proxy is told of them.
    let classes = settings["services"].as_array_mut().expect("classes");
    classes.truncate(2);
    let json = json!({"name": "c0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "2a",
        "limits": {"sockets": 64}, "known": {"revision": 1, "complete": true, "members": known},
        "settings": settings});
    Config::parse(&json.to_string()).expect("fit to serve")
}

pub fn options(text: &str) -> Options {
    let mut file = ConfigFile::parse("test", &format!("[control]\n{text}\n")).expect("INI");
    Options::read(&mut file.section("control")).expect("fit")
}

/// A proxy beside the machine.
pub struct Sim {
    pub of: XdsClient,
    pub lag: Micros,
    pub stream: Option<Stream>,
    inbox: VecDeque<(Micros, Response)>,
    /// Since when the stream is open.
    since: Micros,
    /// The stream is dropped without a word after so many more messages.
    pub cut_after: Option<usize>,
    pub ended: Vec<String>,
}

pub struct Rig {
    pub now: Micros,
    pub control: Control,
    pub sims: Vec<Sim>,
    pub cells: usize,
    pub members: BTreeMap<String, Json>,
    pub watches: usize,
    next: Stream,
    ticked: Micros,
    /// By cluster of a node that stands apart, the most that proxies held at once and what it bore then.
    pub most: BTreeMap<String, (u64, u32)>,
    /// Nodes that are to get no new work, and since when that is told.
    off: BTreeMap<usize, Micros>,
    /// By cluster, what it bore when: one that bears less is over it until the slowest proxy has heard of that.
    bore: BTreeMap<String, VecDeque<(Micros, u32)>>,
}

impl Rig {
    pub fn new(nodes: usize, cells: usize, width: usize, text: &str) -> Rig {
        let control = Control::new(START, &config(cells, width, Vec::new()), options(text));
        let members = (0..nodes).map(|node| (name(node), entry(node, cells, "ready", 0))).collect();
        let mut rig = Rig {
            now: START,
            control,
            sims: Vec::new(),
            cells,
            members,
            watches: 0,
            next: 0,
            ticked: START,
            most: BTreeMap::new(),
            off: BTreeMap::new(),
            bore: BTreeMap::new(),
        };
        rig.tell_all();
        rig
    }

    /// Discovery's whole list.
    pub fn tell_all(&mut self) {
        let members: Vec<&Json> = self.members.values().collect();
        let list = json!({"revision": 1, "complete": true, "members": members});
        self.control.list(self.now, &list, EndpointUpdate::Full);
        self.effects();
    }

    /// Changes of nodes: phases and starts; one that is gone leaves the list.
    pub fn tell(&mut self, changes: &[(usize, &str, Micros)]) {
        let entries: Vec<Json> =
            changes.iter().map(|&(node, phase, up)| entry(node, self.cells, phase, up)).collect();
        for (&(node, phase, _), entry) in changes.iter().zip(&entries) {
            match phase {
                "ready" => drop(self.off.remove(&node)),
                _ => drop(self.off.entry(node).or_insert(self.now)),
            }
            match phase {
                "gone" => drop(self.members.remove(&name(node))),
                _ => drop(self.members.insert(name(node), entry.clone())),
            }
        }
        let list = json!({"revision": 2, "complete": false, "members": entries});
        self.control.list(self.now, &list, EndpointUpdate::Incremental);
        self.effects();
    }

    /// Another proxy; its index. It connects at once.
    pub fn join(&mut self, delta: bool, lag: Micros) -> usize {
        let i = self.sims.len();
        let script = Script::new(&format!("p{i:04}"), ZONES[i % 3], delta);
        self.join_as(script, lag)
    }

    pub fn join_as(&mut self, script: Script, lag: Micros) -> usize {
        let (of, inbox) = (XdsClient::new(script), VecDeque::new());
        self.sims.push(Sim {
            of,
            lag,
            stream: None,
            inbox,
            since: self.now,
            cut_after: None,
            ended: Vec::new(),
        });
        self.connect(self.sims.len() - 1);
        self.sims.len() - 1
    }

    /// A proxy opens a stream, with what it has.
    pub fn connect(&mut self, i: usize) {
        self.next += 1;
        let sim = &mut self.sims[i];
        (sim.stream, sim.cut_after, sim.since) = (Some(self.next), None, self.now);
        sim.inbox.clear();
        let mode = if sim.of.script.delta { Mode::Delta } else { Mode::StateOfTheWorld };
        self.control.opened(self.now, self.next, Service::Discovery(mode), None);
        let asks = sim.of.open();
        self.say(i, asks);
    }

    /// A proxy's stream breaks.
    pub fn cut(&mut self, i: usize) {
        if let Some(stream) = self.sims[i].stream.take() {
            self.sims[i].inbox.clear();
            self.control.closed(self.now, stream);
        }
        self.effects();
    }

    /// Another control service takes over, with no word to the old one; proxies come back to it.
    pub fn restart(&mut self, control: Control) {
        self.control = control;
        for i in 0..self.sims.len() {
            self.sims[i].stream = None;
            self.connect(i);
        }
    }

    fn say(&mut self, i: usize, asks: Vec<test_servers::DiscoveryRequest>) {
        let script = self.sims[i].of.script.clone();
        let node = Some((script.id.as_str(), script.zone.as_str()));
        for ask in asks {
            let Some(stream) = self.sims[i].stream else { return };
            let refusal = ask.rejection.as_deref();
            if script.delta {
                self.control.request_delta(
                    self.now,
                    stream,
                    node,
                    &ask.url,
                    ask.subscribe,
                    ask.unsubscribe,
                    ask.initial,
                    &ask.nonce,
                    refusal,
                );
            } else {
                let (version, nonce) = (&ask.version, &ask.nonce);
                self.control.request(self.now, stream, node, &ask.url, version, nonce, ask.names, refusal);
            }
            self.effects();
        }
    }

    fn effects(&mut self) {
        for effect in std::mem::take(&mut self.control.effects) {
            match effect {
                Effect::Respond(stream, response) => {
                    if let Some(sim) = self.sims.iter_mut().find(|sim| sim.stream == Some(stream)) {
                        sim.inbox.push_back((self.now + sim.lag, response));
                    }
                }
                Effect::End(stream, fault, why) => {
                    if let Some(sim) = self.sims.iter_mut().find(|sim| sim.stream == Some(stream)) {
                        sim.stream = None;
                        sim.inbox.clear();
                        sim.ended.push(format!("{fault:?}: {why}"));
                    }
                }
                Effect::Watch => self.watches += 1,
                Effect::AskLoads(_) | Effect::Try(_) => {}
            }
        }
    }

    /// Lets time pass: responses arrive in their order, ticks come when they are due.
    pub fn pass(&mut self, time: Micros) {
        let until = self.now + time;
        loop {
            let arrival =
                self.sims.iter().filter_map(|sim| sim.inbox.front()).map(|response| response.0).min();
            let next = arrival.unwrap_or(Micros::MAX).min(self.ticked + TICK);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if arrival.is_none_or(|at| at > self.ticked + TICK) {
                self.ticked += TICK;
                self.control.tick(self.now);
                self.effects();
            } else {
                let i = self.sims.iter().position(|sim| sim.inbox.front().is_some_and(|r| r.0 == next));
                self.arrive(i.expect("the one that is due"));
            }
            self.look();
        }
        self.now = until;
    }

    fn arrive(&mut self, i: usize) {
        let sim = &mut self.sims[i];
        let Some((_, response)) = sim.inbox.pop_front() else { return };
        let content =
            |r: &control_plane::Resource| Any { type_url: response.kind.url(), value: r.body.clone() };
        let put = response.resources.iter().map(|resource| {
            let any = (!response.heartbeat).then(|| content(resource));
            ReceivedResource { name: resource.name.clone(), version: resource.version.clone(), content: any }
        });
        let answer = DiscoveryResponse {
            url: response.kind.url(),
            version: response.version.clone(),
            nonce: response.nonce.clone(),
            resources: put.collect(),
            removed: response.removed.clone(),
        };
        let asks = sim.of.handle_response(&answer);
        if let Some(left) = &mut sim.cut_after {
            *left -= 1;
            if *left == 0 {
                return self.cut(i);
            }
        }
        self.say(i, asks);
    }

    /// What must hold at every step.
    pub fn look(&mut self) {
        for sim in &self.sims {
            let (of, log) = (&sim.of, &sim.of.view.log);
            let last = &log[log.len().saturating_sub(12)..];
            let delta = of.script.delta;
            assert!(of.view.gaps.is_empty(), "{}, delta {delta}: {:?} {last:?}", of.script.id, of.view.gaps);
        }
        // A proxy that was there when a drain was told uses the node no longer than the news take to reach it.
        for (&node, &told) in &self.off {
            for sim in self.sims.iter().filter(|sim| sim.stream.is_some() && sim.since < told) {
                let late = self.now > told + sim.lag && sim.of.view.uses(address(node));
                let (id, ago) = (&sim.of.script.id, self.now - told);
                assert!(!late, "{id} still uses {node}, told {ago} us ago: {:?}", sim.inbox);
            }
        }
        for (cluster, _, bears) in self.control.promised() {
            let units = |sim: &Sim| sim.of.view.clusters.get(&cluster).copied().unwrap_or(0) as u64;
            let held: u64 = self.sims.iter().map(units).sum();
            let bore = self.bore.entry(cluster.clone()).or_default();
            if bore.back().is_none_or(|last| last.1 != bears) {
                bore.push_back((self.now, bears));
            }
            while bore.get(1).is_some_and(|next| next.0 < self.now - SLOWEST) {
                bore.pop_front();
            }
            let most = bore.iter().map(|at| at.1).max().unwrap_or(0) as u64;
            assert!(held <= most, "{cluster}: proxies hold {held}, it bears {bears}, of late {most}");
            let most = self.most.entry(cluster).or_default();
            *most = (*most).max((held, bears));
        }
    }

    /// How many proxies would give a node new work.
    pub fn users(&self, node: usize) -> usize {
        self.sims.iter().filter(|sim| sim.of.view.uses(address(node))).count()
    }

    pub fn messages(&self) -> usize {
        self.sims.iter().map(|sim| sim.of.view.log.len()).sum()
    }

    pub fn counter(&self, name: &str) -> f64 {
        let lines = self.control.metrics.lines();
        let line = lines.lines().find(|line| line.starts_with(&format!("yewpier_control_{name} ")));
        line.and_then(|line| line.rsplit(' ').next()).and_then(|value| value.parse().ok()).expect(name)
    }
}
