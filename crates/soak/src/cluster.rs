//! All processes of a run, and what was done to them.

use crate::clock::{Micros, now, wall_clock_ms};
use crate::config::router_config;
use crate::discovery::{Discovery, Mood};
use crate::idle_connections::Crowd;
use crate::node::Behaviour;
use crate::proxy::Proxy;
use crate::recording_process::{RecordingProcess, Records};
use crate::router_process::RouterProcess;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value as Json, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Every how many seeds a run has a crowd.
const CROWD_EVERY: u64 = 3;

/// How many processes of each kind there are.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub routers: usize,
    pub nodes: usize,
    pub clients_per_router: usize,
}

/// A change of a node's entry that was published.
#[derive(Clone, Copy, Debug)]
pub struct Published {
    pub at: Micros,
    pub node: usize,
    pub revision: u64,
    /// Whether the node may be sent to.
    pub is_ready: bool,
    /// When the process that it names started.
    pub started_at: Micros,
}

/// A time in which what is sent to a node may reach it late, so that its records tell nothing of when it was sent.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    pub node: usize,
    pub from: Micros,
    /// `None` while it lasts.
    pub until: Option<Micros>,
}

/// A time in which a router may be held up between reading its clock and writing.
#[derive(Clone, Copy, Debug)]
pub struct RouterHold {
    pub router: usize,
    pub from: Micros,
    /// `None` while it lasts.
    pub until: Option<Micros>,
}

/// A data node behind its proxy.
pub struct NodeHandle {
    pub process: Option<RecordingProcess>,
    pub proxy: Proxy,
    /// When its process started, in monotonic time and by the wall clock.
    started_at: Micros,
    up_since_ms: i64,
    /// Whether it is listed as ready.
    pub is_ready: bool,
    pub behaviour: Behaviour,
}

/// All processes of a run.
pub struct Cluster {
    pub size: Size,
    pub discovery: Discovery,
    pub moods: Vec<(Micros, Mood)>,
    pub published: Vec<Published>,
    pub holds: Vec<Hold>,
    pub router_holds: Vec<RouterHold>,
    /// Idle connections that fill the routers' descriptors, in some runs.
    pub crowd: Option<Crowd>,
    pub nodes: Vec<NodeHandle>,
    pub routers: Vec<RouterProcess>,
    pub clients: Vec<(usize, RecordingProcess)>,
    pub records: Records,
    /// Two addresses of discovery for each router, between which reloads move it.
    discovery_addresses: Vec<[SocketAddr; 2]>,
    current_address: Vec<usize>,
    is_pushed: bool,
    seed: u64,
    folder: PathBuf,
}

impl Cluster {
    /// Starts all processes.
    pub fn start(size: Size, program: &Path, seed: u64) -> Cluster {
        let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let discovery = Discovery::new();
        let listen = |router| [discovery.listen_for(router), discovery.listen_for(router)];
        let mut cluster = Cluster {
            size,
            discovery_addresses: (0..size.routers).map(listen).collect(),
            discovery,
            moods: vec![(now(), Mood::Well)],
            published: Vec::new(),
            holds: Vec::new(),
            router_holds: Vec::new(),
            crowd: None,
            nodes: Vec::new(),
            routers: Vec::new(),
            clients: Vec::new(),
            records: Records::default(),
            current_address: vec![0; size.routers],
            is_pushed: seed.is_multiple_of(2),
            seed,
            folder,
        };
        for index in 0..size.nodes {
            cluster.add_node(index);
        }
        for index in 0..size.routers {
            let router = RouterProcess::new(index, program, &cluster.folder, seed);
            cluster.routers.push(router);
            cluster.start_router(index);
            cluster.add_clients(index);
        }
        cluster.start_crowd();
        cluster
    }

    fn add_node(&mut self, index: usize) {
        let process = start_node(index, &self.records);
        let proxy = Proxy::start(process.address.parse().expect("an address"));
        self.nodes.push(NodeHandle {
            process: Some(process),
            proxy,
            started_at: 0,
            up_since_ms: 0,
            is_ready: false,
            behaviour: Behaviour::Serve,
        });
        self.publish(index, "ready");
    }

    fn add_clients(&mut self, router: usize) {
        for client in 0..self.size.clients_per_router {
            let seed = self.seed * 100 + client as u64;
            let address = self.routers[router].address;
            let arguments = format!("client --router {router} --address {address} --seed {seed}");
            let arguments: Vec<String> = arguments.split(' ').map(str::to_string).collect();
            let mut process = RecordingProcess::start(&arguments, &self.records);
            process.tell("open");
            self.clients.push((router, process));
        }
    }

    fn config(&self, router: usize) -> Json {
        let discovery = self.discovery_addresses[router][self.current_address[router]];
        let seed = self.seed * 31 + router as u64 + self.published.len() as u64;
        let listen = self.routers[router].address;
        let known = self.discovery.list();
        router_config(router, self.size.routers, listen, discovery, self.is_pushed, &known, seed)
    }

    /// Starts a router's process and lets its clients connect.
    pub fn start_router(&mut self, router: usize) {
        self.routers[router].write_config(&self.config(router));
        self.routers[router].start();
        self.tell_clients(router, "open");
    }

    /// Tells the clients of a router whether to connect.
    pub fn tell_clients(&mut self, router: usize, line: &str) {
        for (_, client) in self.clients.iter_mut().filter(|(of, _)| *of == router) {
            client.tell(line);
        }
    }

    /// Moves a router's discovery to its other address with a reload.
    pub fn reload_router(&mut self, router: usize) {
        self.current_address[router] = 1 - self.current_address[router];
        self.routers[router].write_config(&self.config(router));
        self.routers[router].signal(Signal::HUP);
    }

    /// Asks for a reload while the file is half written.
    pub fn reload_half_config(&mut self, router: usize) {
        self.routers[router].write_half_config(&self.config(router));
        self.routers[router].signal(Signal::HUP);
    }

    /// Completes the configuration file.
    pub fn complete_config(&mut self, router: usize) {
        self.routers[router].write_config(&self.config(router));
    }

    /// Publishes the phase of a node.
    pub fn publish(&mut self, node: usize, phase: &str) {
        let handle = &mut self.nodes[node];
        handle.is_ready = phase == "ready";
        let entry = json!({"id": format!("n{node}"), "host_port": handle.proxy.address, "locality": "z", "cell": 0,
            "phase": phase, "size": 1.0, "up_since_ms": handle.up_since_ms});
        let (is_ready, started_at) = (handle.is_ready, handle.started_at);
        let at = now();
        let revision = self.discovery.publish(node, entry);
        self.published.push(Published { at, node, revision, is_ready, started_at });
    }

    /// Kills a node's process without a word.
    pub fn kill_node(&mut self, node: usize) {
        self.nodes[node].process = None;
    }

    /// Starts a node's process anew.
    pub fn restart_node(&mut self, node: usize) {
        let process = start_node(node, &self.records);
        let handle = &mut self.nodes[node];
        handle.proxy.set_node(process.address.parse().expect("an address"));
        handle.process = Some(process);
        (handle.started_at, handle.up_since_ms) = (now(), wall_clock_ms());
        handle.behaviour = Behaviour::Serve;
    }

    /// Changes how a node behaves.
    pub fn set_behaviour(&mut self, node: usize, behaviour: Behaviour) {
        let handle = &mut self.nodes[node];
        handle.behaviour = behaviour;
        if let Some(process) = &mut handle.process {
            process.tell(&(behaviour as u8).to_string());
        }
    }

    /// Sends a signal to a node's process.
    pub fn signal_node(&self, node: usize, signal: Signal) {
        let process = self.nodes[node].process.as_ref();
        if let Some(id) = process.and_then(|process| Pid::from_raw(process.id() as i32)) {
            let _ = kill_process(id, signal);
        }
    }

    /// Changes whether what is sent to a node may reach it late.
    pub fn set_held(&mut self, node: usize, is_held: bool) {
        let at = now();
        if is_held {
            self.holds.push(Hold { node, from: at, until: None });
        }
        if !is_held && let Some(hold) = self.holds.iter_mut().rfind(|hold| hold.node == node) {
            hold.until = Some(at);
        }
    }

    /// Changes whether a router may be held up.
    pub fn set_router_held(&mut self, router: usize, is_held: bool) {
        let at = now();
        if is_held {
            self.router_holds.push(RouterHold { router, from: at, until: None });
        }
        if !is_held && let Some(hold) = self.router_holds.iter_mut().rfind(|hold| hold.router == router) {
            hold.until = hold.until.or(Some(at));
        }
    }

    /// Stops a router for a moment.
    pub fn pause_router(&mut self, router: usize, milliseconds: u64) {
        self.set_router_held(router, true);
        self.routers[router].pause(milliseconds);
        self.set_router_held(router, false);
    }

    /// Whether the run has a crowd.
    pub fn has_crowd(&self) -> bool {
        self.seed.is_multiple_of(CROWD_EVERY)
    }

    /// Fills the routers' descriptors with idle connections in every third run.
    fn start_crowd(&mut self) {
        if self.has_crowd() {
            let addresses = self.routers.iter().map(|router| router.address).collect();
            self.crowd = Some(Crowd::start(addresses));
        }
    }

    /// Changes how discovery treats its callers.
    pub fn set_mood(&mut self, mood: Mood) {
        self.discovery.set_mood(mood);
        self.moods.push((now(), mood));
    }

    /// Nodes that are ready and behave well.
    pub fn sound_nodes(&self) -> Vec<usize> {
        let is_sound = |node: &usize| {
            let handle = &self.nodes[*node];
            handle.is_ready && handle.process.is_some() && handle.behaviour == Behaviour::Serve
        };
        (0..self.nodes.len()).filter(is_sound).collect()
    }

    /// Ends the clients, then the routers in order.
    pub fn finish(&mut self) {
        self.crowd = None;
        for (_, client) in &mut self.clients {
            client.tell("end");
        }
        for (_, client) in &mut self.clients {
            client.finish();
        }
        for router in &mut self.routers {
            router.terminate();
        }
        for router in &mut self.routers {
            router.wait_for_exit(10_000);
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn start_node(index: usize, records: &Records) -> RecordingProcess {
    let arguments = ["node".to_string(), "--index".to_string(), index.to_string()];
    RecordingProcess::start(&arguments, records)
}
