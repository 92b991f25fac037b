//! The `floods` command: a router with data nodes, usual clients, and flooding clients that are processes of their own.
//! It compares what the usual clients get before and beside the flood, and fails if the router breaks its promise.

pub mod client;
mod counters;
pub mod kind;
mod report;
mod usual_clients;

use crate::clock::{MILLISECOND, Micros, SECOND, now, sleep_ms};
use crate::config::router_config;
use crate::discovery::Discovery;
use crate::recording_process::{RecordingProcess, Records};
use crate::router_process::RouterProcess;
use crate::run::default_program;
use argh::FromArgs;
use client::FloodTotals;
use kind::{FloodKind, TENANT};
use report::{FairShare, FloodReport, Memory, ServedQuery};
use rustix::process::{Pid, Signal};
use rustix::thread::{CpuSet, sched_setaffinity};
use serde_json::json;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};

/// Check that clients that flood a router do not delay the answers of others.
#[derive(FromArgs)]
#[argh(subcommand, name = "floods")]
pub struct Floods {
    /// what the flooding clients send; may be repeated, each kind is checked by itself
    #[argh(option)]
    kind: Vec<FloodKind>,
    /// how many processes flood; default 6
    #[argh(option, default = "6")]
    processes: usize,
    /// how many connections each of them has; default 1
    #[argh(option, default = "1")]
    connections: usize,
    /// whether each request of the flood comes on a new connection
    #[argh(switch)]
    fresh: bool,
    /// for how many milliseconds a flood lasts; default 3000
    #[argh(option, default = "3000")]
    milliseconds: u64,
    /// the number of usual clients; default 8
    #[argh(option, default = "8")]
    clients: u64,
    /// the router's limit of memory in mebibytes; default 64
    #[argh(option, default = "64")]
    memory_mb: usize,
    /// the router's limit of descriptors; default 256
    #[argh(option, default = "256")]
    descriptors: usize,
    /// whether the router shares a core with a process that uses all it gets
    #[argh(switch)]
    half_core: bool,
    /// signals in series for the router during the flood
    #[argh(switch)]
    signals: bool,
    /// whether the classes have deadlines of some seconds, so that requests may take as long to send
    #[argh(switch)]
    long_deadlines: bool,
    /// seed of the usual clients; default 1
    #[argh(option, default = "1")]
    seed: u64,
    /// the path of the router's executable; default: query-router in the directory of this executable
    #[argh(option)]
    program: Option<PathBuf>,
    /// print the counters of the router
    #[argh(switch)]
    verbose: bool,
}

/// The number of data nodes.
const NODES: usize = 6;
/// The classes: name, idempotency, latency objective and deadline in milliseconds.
const CLASSES: [(&str, &str, i64, i64); 3] = [
    ("lookup", "read_like", 150, 288),
    ("report", "read_like", 240, 480),
    ("credit", "non_idempotent", 150, 288),
];
/// The factor by which deadlines are longer with `--long-deadlines`.
const LONG_DEADLINE_FACTOR: i64 = 10;
/// The time that a router serves before its queries are counted, so that it knows its nodes.
const WARM_UP: Micros = 1500 * MILLISECOND;
/// The interval at which the router's memory is sampled.
const SAMPLE_INTERVAL_MS: u64 = 50;
/// The time within which the memory of a router falls again after a flood.
const MEMORY_SETTLE_TIME: Micros = 5 * SECOND;
/// The time after which a flooding process that does not end is killed.
const FLOOD_END_LIMIT: Micros = 10 * SECOND;
/// The counter of the queries that were answered completely.
const COMPLETED_QUERIES: &str = "queries_complete";
/// The interval between two signals of a series.
const SIGNAL_INTERVAL_MS: u64 = 20;

impl Floods {
    /// Runs a flood of each kind. Returns failure if the router broke its promise beside one.
    pub fn run(self) -> ExitCode {
        let mut is_kept = true;
        for &kind in &self.kind {
            let report = self.run_kind(kind);
            println!("{report}");
            for violation in report.violations() {
                is_kept = false;
                println!("  VIOLATION: {violation}");
            }
        }
        if is_kept { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }

    fn run_kind(&self, kind: FloodKind) -> FloodReport {
        let mut rig = Rig::start(self, kind);
        let address = rig.router.address;
        let duration = self.milliseconds as Micros * MILLISECOND;
        self.run_usual_clients(&mut rig, address, "warm-up", WARM_UP);
        let start = rig.router.usage().kibibytes;
        let before = self.run_usual_clients(&mut rig, address, "before", duration);
        let mut floods: Vec<Child> = (0..self.processes).map(|_| self.start_flood(kind, address)).collect();
        let completed_before = counters::read(address, COMPLETED_QUERIES);
        let beside = self.run_usual_clients(&mut rig, address, "beside", duration);
        let completed = counters::read(address, COMPLETED_QUERIES).zip(completed_before);
        let flood = floods.iter_mut().fold(FloodTotals::default(), |total, child| add(total, finish(child)));
        let after = rig.settled_memory(start, self.memory_mb * 1024);
        let memory = Memory { start, peak: rig.peak, after, limit: self.memory_mb * 1024 };
        rig.end(self.verbose);
        // Valid queries of the flood may fill the data nodes. Each connection carries one query at a time.
        let fair_share = kind.is_valid().then(|| FairShare {
            completed: completed.map_or(0, |(after, before)| after - before),
            usual_clients: self.clients as usize,
            flooding_clients: self.processes * self.connections,
        });
        let name = format!(
            "{}, {} processes with {} connections{}{}{}",
            kind.name(),
            self.processes,
            self.connections,
            if self.fresh { ", new for each request" } else { "" },
            if self.half_core { ", half a core" } else { "" },
            if self.signals { ", signals in series" } else { "" }
        );
        FloodReport { name, before, beside, flood, memory, fair_share }
    }

    /// Runs the usual clients for some time, while the router's memory is sampled.
    fn run_usual_clients(
        &self, rig: &mut Rig, address: SocketAddr, name: &str, duration: Micros,
    ) -> Vec<ServedQuery> {
        let end = now() + duration;
        let clients: Vec<_> = (0..self.clients)
            .map(|client| {
                let (name, seed) = (name.to_string(), self.seed * 1000 + client);
                std::thread::spawn(move || usual_clients::run(address, &name, seed, end))
            })
            .collect();
        while clients.iter().any(|client| !client.is_finished()) {
            rig.sample_memory();
            if self.signals && name == "beside" {
                rig.send_signals();
            }
            sleep_ms(if self.signals { SIGNAL_INTERVAL_MS } else { SAMPLE_INTERVAL_MS });
        }
        clients.into_iter().flat_map(|client| client.join().expect("a client does not panic")).collect()
    }

    fn start_flood(&self, kind: FloodKind, address: SocketAddr) -> Child {
        let program = std::env::current_exe().expect("the path of this executable is known");
        let mut command = Command::new(program);
        command.args(["flood", "--kind", kind.name(), "--address", &address.to_string()]);
        command.args(["--connections", &self.connections.to_string()]);
        command.args(["--milliseconds", &self.milliseconds.to_string()]);
        if self.fresh {
            command.arg("--fresh");
        }
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("start a flooding client")
    }
}

/// The router and what it needs.
struct Rig {
    router: RouterProcess,
    folder: PathBuf,
    /// The highest sample of the router's memory, in kibibytes.
    peak: usize,
    /// The process that shares the router's core, if there is one.
    competitor: Option<Child>,
    _nodes: Vec<RecordingProcess>,
    _discovery: Discovery,
}

impl Rig {
    fn start(options: &Floods, kind: FloodKind) -> Rig {
        let folder = std::env::temp_dir().join(format!("floods-{}-{}", std::process::id(), kind.name()));
        std::fs::create_dir_all(&folder).expect("create the directory of the run");
        let records = Records::default();
        let discovery = Discovery::new();
        let nodes: Vec<RecordingProcess> = (0..NODES)
            .map(|index| {
                let arguments =
                    ["node".to_string(), "--index".to_string(), index.to_string(), "--quiet".to_string()];
                let node = RecordingProcess::start(&arguments, &records);
                discovery.publish(index, node_entry(index, &node.address));
                node
            })
            .collect();
        let program = options.program.clone().unwrap_or_else(default_program);
        let mut router = RouterProcess::new(0, &program, &folder, options.seed);
        router.set_log_level("info");
        router.has_fault_shim = false;
        let list = discovery.list();
        let discovery_address = discovery.listen_for(0);
        let mut config = router_config(0, 1, router.address, discovery_address, false, &list, options.seed);
        config["limits"] = json!({"sockets": options.descriptors, "memory_mb": options.memory_mb});
        config["settings"]["tenants"] = json!([{"name": TENANT, "fraction": 1.0}]);
        let factor = if options.long_deadlines { LONG_DEADLINE_FACTOR } else { 1 };
        config["settings"]["services"] = CLASSES
            .iter()
            .map(|(name, idempotency, objective_ms, deadline_ms)| {
                let deadline_ms = deadline_ms * factor;
                json!({"name": name, "idempotency": idempotency, "targetNs": objective_ms * 1_000_000,
                    "deadlineNs": deadline_ms * 1_000_000})
            })
            .collect();
        router.write_config(&config);
        router.start();
        let competitor = options.half_core.then(|| share_core(&router));
        Rig { router, folder, peak: 0, competitor, _nodes: nodes, _discovery: discovery }
    }

    fn sample_memory(&mut self) {
        self.peak = self.peak.max(self.router.usage().kibibytes);
    }

    fn send_signals(&self) {
        self.router.signal(Signal::HUP);
        self.router.signal(Signal::USR1);
    }

    /// Waits until the router's memory has fallen near its start, and returns its size in kibibytes.
    fn settled_memory(&mut self, start: usize, limit: usize) -> usize {
        let until = now() + MEMORY_SETTLE_TIME;
        loop {
            self.sample_memory();
            let size = self.router.usage().kibibytes;
            if size <= start + limit.saturating_sub(start) / 4 || now() > until {
                return size;
            }
            sleep_ms(SAMPLE_INTERVAL_MS);
        }
    }

    /// Ends the router and removes the files of the run.
    fn end(&mut self, verbose: bool) {
        self.router.terminate();
        self.router.wait_for_exit(10_000);
        if let Some(mut competitor) = self.competitor.take() {
            let _ = competitor.kill();
            let _ = competitor.wait();
        }
        if verbose {
            for line in self.router.log.lock().expect("the mutex is not poisoned").iter() {
                println!("  router: {line}");
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn node_entry(index: usize, address: &str) -> serde_json::Value {
    json!({"id": format!("n{index}"), "host_port": address, "locality": "z", "cell": 0, "phase": "ready",
        "size": 1.0, "up_since_ms": 0})
}

/// Confines the router to one core, and starts a process on the same core that computes all the time.
fn share_core(router: &RouterProcess) -> Child {
    let program = std::env::current_exe().expect("the path of this executable is known");
    let arguments = ["flood", "--kind", "nothing", "--address", "127.0.0.1:1", "--milliseconds", "600000"];
    let child = Command::new(program)
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .expect("start the process that shares the core");
    let mut core = CpuSet::new();
    core.set(0);
    for id in [Some(child.id()), router.id()].into_iter().flatten() {
        // The computing thread of the process inherits the set if it starts later, so the process starts with one.
        let pid = Pid::from_raw(id as i32);
        for task in std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten() {
            let thread = task.file_name().to_string_lossy().parse().ok().and_then(Pid::from_raw);
            let _ = sched_setaffinity(thread.or(pid), &core);
        }
    }
    child
}

/// Waits for the end of a flooding process and returns its totals.
fn finish(child: &mut Child) -> FloodTotals {
    drop(child.stdin.take());
    let limit = now() + FLOOD_END_LIMIT;
    while child.try_wait().is_ok_and(|status| status.is_none()) {
        if now() > limit {
            let _ = child.kill();
        }
        sleep_ms(5);
    }
    let mut text = String::new();
    if let Some(mut output) = child.stdout.take() {
        let _ = output.read_to_string(&mut text);
    }
    serde_json::from_str(&text).unwrap_or_default()
}

fn add(total: FloodTotals, other: FloodTotals) -> FloodTotals {
    FloodTotals {
        connections: total.connections + other.connections,
        sent_bytes: total.sent_bytes + other.sent_bytes,
        received_bytes: total.received_bytes + other.received_bytes,
        unanswered: total.unanswered + other.unanswered,
        longest_wait: total.longest_wait.max(other.longest_wait),
    }
}
