//! All processes of a run and the actions on them. Records the times of the actions that the checks refer to.

use crate::clock::{Micros, now, wall_clock_ms};
use crate::config::{MAX_DESCRIPTORS, router_config};
use crate::discovery::{Discovery, DiscoveryMode};
use crate::floods::kind::FloodKind;
use crate::node::Behaviour;
use crate::proxy::Proxy;
use crate::recording_process::{RecordingProcess, Records};
use crate::router_process::RouterProcess;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value as Json, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use test_servers::{HeldConnections, Holding};

/// The run of every seed that is a multiple of this number has idle connections.
const IDLE_CONNECTIONS_EVERY: u64 = 3;
/// In the run of every seed with this bit set, nodes cut off some responses and send surplus bytes after others. The
/// lowest bit is that of pushed endpoint lists.
const ALTERED_RESPONSES_SEED_BIT: u64 = 2;
/// Percentage of such responses in those runs.
const ALTERED_RESPONSES_PERCENT: u32 = 4;

/// As many connections to each router as it has descriptors, on which nothing is sent.
const IDLE_CONNECTIONS: Holding = Holding {
    sent: b"",
    connections: MAX_DESCRIPTORS,
    opened_at_once: 1,
    interval: Duration::from_millis(20),
};
/// Number of connections of a crowd, more than a router has descriptors.
const CROWD_CONNECTIONS: usize = MAX_DESCRIPTORS * 3 / 2;
/// Number of connections of a flood.
const FLOOD_CONNECTIONS: usize = 4;

/// Number of processes of each kind.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub routers: usize,
    pub nodes: usize,
    pub clients_per_router: usize,
}

/// A change of a node's entry in the endpoint list, as discovery published it.
#[derive(Clone, Copy, Debug)]
pub struct EndpointChange {
    pub at: Micros,
    pub node: usize,
    pub revision: u64,
    /// Whether routers may send requests to the node.
    pub is_ready: bool,
    /// Time at which the node's process was restarted; 0 for the first process of a node.
    pub started_at: Micros,
}

/// A period in which requests may reach a node late, so that the time of receipt does not show when they were sent.
#[derive(Clone, Copy, Debug)]
pub struct NodeDelay {
    pub node: usize,
    pub from: Micros,
    /// End of the period; `None` until it ends.
    pub until: Option<Micros>,
}

/// A period in which a router may be delayed between reading its clock and writing to a connection.
#[derive(Clone, Copy, Debug)]
pub struct RouterDelay {
    pub router: usize,
    pub from: Micros,
    /// End of the period; `None` until it ends.
    pub until: Option<Micros>,
}

/// A data node behind its proxy.
pub struct NodeHandle {
    /// The current process; `None` from a kill until the restart.
    pub process: Option<RecordingProcess>,
    pub proxy: Proxy,
    /// Time of the last restart of its process, monotonic and by the wall clock; both 0 if there was none.
    started_at: Micros,
    up_since_ms: i64,
    /// Whether discovery lists the node as ready.
    pub is_ready: bool,
    pub behaviour: Behaviour,
}

/// All processes of a run.
pub struct Cluster {
    pub size: Size,
    pub discovery: Discovery,
    /// The modes of discovery with the times at which they began, in order.
    pub discovery_modes: Vec<(Micros, DiscoveryMode)>,
    /// The reloads with a complete configuration: time and router.
    pub reloads: Vec<(Micros, usize)>,
    /// The changes that discovery published, in order.
    pub published: Vec<EndpointChange>,
    pub node_delays: Vec<NodeDelay>,
    pub router_delays: Vec<RouterDelay>,
    /// Idle connections that use up the routers' descriptors; `None` in most runs.
    pub idle_connections: Option<HeldConnections>,
    /// Connections with half a request that use up the descriptors of one router, for a time in some runs.
    crowd: Option<HeldConnections>,
    pub nodes: Vec<NodeHandle>,
    pub routers: Vec<RouterProcess>,
    /// The processes of floods, which end by themselves.
    floods: Vec<Child>,
    /// Client processes with the index of their router.
    pub clients: Vec<(usize, RecordingProcess)>,
    pub records: Records,
    /// Two addresses of discovery for each router; a reload switches from one to the other.
    discovery_addresses: Vec<[SocketAddr; 2]>,
    /// Index of the address of discovery that each router currently uses.
    current_address: Vec<usize>,
    /// Whether routers watch discovery; otherwise they poll it.
    pub is_pushed: bool,
    seed: u64,
    folder: PathBuf,
}

impl Cluster {
    /// Starts all processes.
    pub fn start(size: Size, program: &Path, seed: u64) -> Cluster {
        let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("create the directory of the run");
        let discovery = Discovery::new();
        let listen = |router| [discovery.listen_for(router), discovery.listen_for(router)];
        let mut cluster = Cluster {
            size,
            discovery_addresses: (0..size.routers).map(listen).collect(),
            discovery,
            discovery_modes: vec![(now(), DiscoveryMode::Normal)],
            reloads: Vec::new(),
            published: Vec::new(),
            node_delays: Vec::new(),
            router_delays: Vec::new(),
            idle_connections: None,
            crowd: None,
            nodes: Vec::new(),
            routers: Vec::new(),
            floods: Vec::new(),
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
            cluster.routers[index].write_config(&cluster.config(index));
            cluster.routers[index].start();
            cluster.add_clients(index);
        }
        cluster.start_idle_connections();
        cluster
    }

    fn add_node(&mut self, index: usize) {
        let process = start_node(index, self.seed, &self.records);
        let proxy = Proxy::start(process.address.parse().expect("the address is valid"));
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
            process.send_line("open");
            self.clients.push((router, process));
        }
    }

    fn config(&self, router: usize) -> Json {
        let discovery = self.discovery_addresses[router][self.current_address[router]];
        let seed = self.seed * 31 + router as u64 + self.published.len() as u64;
        let listen = self.routers[router].address;
        // A router comes back with its last list. Where lists are polled, the pages let it use that for a while, so there
        // it is the current one.
        let known = if self.is_pushed { self.discovery.list_sent_to(router) } else { self.discovery.list() };
        router_config(router, self.size.routers, listen, discovery, self.is_pushed, &known, seed)
    }

    /// Starts a router's process. Its clients may connect once it is ready.
    pub fn start_router(&mut self, router: usize) {
        self.routers[router].write_config(&self.config(router));
        self.routers[router].spawn();
    }

    /// Lets the clients of routers that have become ready connect.
    pub fn admit_clients_of_ready_routers(&mut self) {
        for router in 0..self.routers.len() {
            if self.routers[router].check_ready() {
                self.send_to_clients(router, "open");
            }
        }
    }

    /// Sends a command to the clients of a router: `open` or `closed`.
    pub fn send_to_clients(&mut self, router: usize, line: &str) {
        for (_, client) in self.clients.iter_mut().filter(|(of, _)| *of == router) {
            client.send_line(line);
        }
    }

    /// Reloads a router with a configuration that names the other address of discovery.
    pub fn reload_router(&mut self, router: usize) {
        self.current_address[router] = 1 - self.current_address[router];
        self.routers[router].write_config(&self.config(router));
        self.routers[router].signal(Signal::HUP);
        self.reloads.push((now(), router));
    }

    /// Reloads a router while its configuration file is half written.
    pub fn reload_half_config(&mut self, router: usize) {
        self.routers[router].write_half_config(&self.config(router));
        self.routers[router].signal(Signal::HUP);
    }

    /// Writes the complete configuration file.
    pub fn complete_config(&mut self, router: usize) {
        self.routers[router].write_config(&self.config(router));
    }

    /// Publishes a node's entry with this phase: `ready`, `draining` or `gone`.
    pub fn publish(&mut self, node: usize, phase: &str) {
        let handle = &mut self.nodes[node];
        handle.is_ready = phase == "ready";
        let entry = json!({"id": format!("n{node}"), "host_port": handle.proxy.address, "locality": "z", "cell": 0,
            "phase": phase, "size": 1.0, "up_since_ms": handle.up_since_ms});
        let (is_ready, started_at) = (handle.is_ready, handle.started_at);
        let at = now();
        let revision = self.discovery.publish(node, entry);
        self.published.push(EndpointChange { at, node, revision, is_ready, started_at });
    }

    /// Kills a node's process without publishing a change.
    pub fn kill_node(&mut self, node: usize) {
        self.nodes[node].process = None;
    }

    /// Starts a new process of a node, which behaves normally.
    pub fn restart_node(&mut self, node: usize) {
        let process = start_node(node, self.seed, &self.records);
        let handle = &mut self.nodes[node];
        handle.proxy.set_node(process.address.parse().expect("the address is valid"));
        handle.process = Some(process);
        (handle.started_at, handle.up_since_ms) = (now(), wall_clock_ms());
        handle.behaviour = Behaviour::Serve;
    }

    /// Changes the behaviour of a node.
    pub fn set_behaviour(&mut self, node: usize, behaviour: Behaviour) {
        let handle = &mut self.nodes[node];
        handle.behaviour = behaviour;
        if let Some(process) = &mut handle.process {
            process.send_line(&(behaviour as u8).to_string());
        }
    }

    /// Sends a signal to a node's process.
    pub fn signal_node(&self, node: usize, signal: Signal) {
        let process = self.nodes[node].process.as_ref();
        if let Some(id) = process.and_then(|process| Pid::from_raw(process.id() as i32)) {
            let _ = kill_process(id, signal);
        }
    }

    /// Begins or ends a period in which requests may reach a node late.
    pub fn set_node_delayed(&mut self, node: usize, is_delayed: bool) {
        let at = now();
        if is_delayed {
            self.node_delays.push(NodeDelay { node, from: at, until: None });
        }
        if !is_delayed && let Some(delay) = self.node_delays.iter_mut().rfind(|delay| delay.node == node) {
            delay.until = Some(at);
        }
    }

    /// Begins or ends a period in which a router may be delayed.
    pub fn set_router_delayed(&mut self, router: usize, is_delayed: bool) {
        let at = now();
        if is_delayed {
            self.router_delays.push(RouterDelay { router, from: at, until: None });
        }
        if !is_delayed
            && let Some(delay) = self.router_delays.iter_mut().rfind(|delay| delay.router == router)
        {
            delay.until = delay.until.or(Some(at));
        }
    }

    /// Stops a router with SIGSTOP and resumes it after this time.
    pub fn pause_router(&mut self, router: usize, milliseconds: u64) {
        self.set_router_delayed(router, true);
        self.routers[router].pause(milliseconds);
        self.set_router_delayed(router, false);
    }

    /// Returns whether the run has idle connections that use up the routers' descriptors.
    pub fn has_idle_connections(&self) -> bool {
        self.seed.is_multiple_of(IDLE_CONNECTIONS_EVERY)
    }

    /// Opens the idle connections if the run has them.
    fn start_idle_connections(&mut self) {
        if self.has_idle_connections() {
            let addresses = self.routers.iter().map(|router| router.address).collect();
            self.idle_connections = Some(HeldConnections::start(addresses, IDLE_CONNECTIONS));
        }
    }

    /// Lets clients with half a request use up the descriptors of a router.
    pub fn start_crowd(&mut self, router: usize) {
        let address = self.routers[router].address;
        self.crowd = Some(HeldConnections::start(vec![address], Holding::half_requests(CROWD_CONNECTIONS)));
    }

    /// Ends these clients.
    pub fn end_crowd(&mut self) {
        self.crowd = None;
    }

    /// Starts a process with a few clients that flood a router.
    pub fn start_flood(&mut self, router: usize, kind: FloodKind, milliseconds: u64) {
        let address = self.routers[router].address.to_string();
        let program = std::env::current_exe().expect("the path of this executable is known");
        let mut command = Command::new(program);
        command.args(["flood", "--kind", kind.name(), "--address", &address]);
        command.args(["--connections", &FLOOD_CONNECTIONS.to_string()]);
        command.args(["--milliseconds", &milliseconds.to_string()]);
        let child = command.stdin(Stdio::piped()).stdout(Stdio::null()).spawn();
        self.floods.push(child.expect("start a flooding client"));
    }

    /// Changes how discovery responds.
    pub fn set_discovery_mode(&mut self, mode: DiscoveryMode) {
        self.discovery.set_mode(mode);
        self.discovery_modes.push((now(), mode));
    }

    /// Returns the nodes that are listed as ready, run and behave normally.
    pub fn serving_nodes(&self) -> Vec<usize> {
        let is_serving = |node: &usize| {
            let handle = &self.nodes[*node];
            handle.is_ready && handle.process.is_some() && handle.behaviour == Behaviour::Serve
        };
        (0..self.nodes.len()).filter(is_serving).collect()
    }

    /// Ends the clients, then terminates the routers and waits for their exit.
    pub fn finish(&mut self) {
        self.idle_connections = None;
        for mut flood in self.floods.drain(..) {
            let _ = flood.kill();
            let _ = flood.wait();
        }
        for (_, client) in &mut self.clients {
            client.send_line("end");
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

fn start_node(index: usize, seed: u64, records: &Records) -> RecordingProcess {
    let altered_percent = if seed & ALTERED_RESPONSES_SEED_BIT == 0 { 0 } else { ALTERED_RESPONSES_PERCENT };
    let arguments = format!("node --index {index} --altered-percent {altered_percent}");
    let arguments: Vec<String> = arguments.split(' ').map(str::to_string).collect();
    RecordingProcess::start(&arguments, records)
}
