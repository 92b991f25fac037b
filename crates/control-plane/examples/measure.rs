//! Measures the control plane with test proxies on loopback:
//!
//!     cargo run --release -p control-plane --example measure -- PROXIES NODES [delta|sotw] [CHANGES]
//!
//! The control plane runs on its own threads, as in production; all proxies share four others. Each change drains
//! one node, and a proxy has applied the change once it no longer uses the node. The baseline is the number of
//! bytes that a state-of-the-world protocol without shards would send for each change: the whole endpoint list to
//! every proxy.

#[path = "../tests/support/mod.rs"]
mod support;

use query_router::config::Config;
use std::fs::DirEntry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{ZONES, address, config, endpoint_entry, options};
use test_servers::{Discovery, Proxy, Script};
use tokio::sync::oneshot;

const REPLICA_SETS: usize = 16;
/// Time within which proxies must stop sending new requests to a drained node.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Name of the threads of `control_plane::runtime`.
const SERVER_THREAD: &str = "control";
/// Unit of the CPU times in `/proc`, in microseconds: Linux counts them in hundredths of a second.
const MICROS_PER_CLOCK_TICK: u64 = 10_000;
const PROXY_THREADS: usize = 4;

/// The arguments of the command line.
struct Arguments {
    proxies: usize,
    nodes: usize,
    delta: bool,
    changes: usize,
}

impl Arguments {
    /// Reads the arguments. Missing arguments and invalid numbers get default values.
    fn read() -> Arguments {
        let args: Vec<String> = std::env::args().skip(1).collect();
        let number = |index: usize, default: usize| {
            args.get(index).and_then(|text| text.parse().ok()).unwrap_or(default)
        };
        Arguments {
            proxies: number(0, 100),
            nodes: number(1, 130),
            delta: args.get(2).is_none_or(|variant| variant == "delta"),
            changes: number(3, 20),
        }
    }
}

/// The results of a measurement.
struct Measurement {
    /// Time from the start of the proxies until all had a complete view.
    startup: Duration,
    /// For each change and proxy, the time until the proxy had applied the change; sorted.
    durations: Vec<Duration>,
    /// Size of the resources that all proxies received for all changes.
    bytes: usize,
    /// CPU time of the control plane for all changes, in microseconds.
    cpu_time: u64,
    /// Size of the endpoint list as JSON.
    list_bytes: usize,
    /// Resident memory added by all proxies and their streams, on both sides, in kilobytes.
    memory_kilobytes: u64,
}

/// Returns the resident memory of the process in kilobytes; 0 if it cannot be read.
fn resident_memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|kilobytes| kilobytes.parse().ok()).unwrap_or(0)
}

/// Returns the CPU time of the control plane's threads in microseconds.
fn cpu_time() -> u64 {
    let threads = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let read = |thread: &DirEntry, file: &str| std::fs::read_to_string(thread.path().join(file));
    let is_server_thread =
        |thread: &DirEntry| read(thread, "comm").is_ok_and(|name| name.trim() == SERVER_THREAD);
    let ticks = threads
        .filter(is_server_thread)
        .map(|thread| user_and_system_ticks(&read(&thread, "stat").unwrap_or_default()));
    ticks.sum::<u64>() * MICROS_PER_CLOCK_TICK
}

/// Returns the sum of user and system time in a thread's `stat` file, in clock ticks. Fields are counted from the one
/// after the thread's name, which is in parentheses.
fn user_and_system_ticks(stat: &str) -> u64 {
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let (user, system) = (11, 12);
    [user, system].iter().filter_map(|&index| fields.get(index)?.parse::<u64>().ok()).sum()
}

/// Returns a quantile of sorted durations in milliseconds; 0 if there are none.
fn quantile(sorted: &[Duration], fraction: f64) -> f64 {
    let index = ((sorted.len().max(1) - 1) as f64 * fraction).round() as usize;
    sorted.get(index).map_or(0.0, |duration| duration.as_secs_f64() * 1e3)
}

fn main() {
    let arguments = Arguments::read();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(PROXY_THREADS).enable_all().build();
    let measurement = runtime.expect("a runtime").block_on(measure(&arguments));
    print(&arguments, &measurement);
}

/// Starts the control plane on its own threads. Returns its address and a sender that stops it when dropped.
async fn start_server(discovery: SocketAddr, proxies: usize) -> (SocketAddr, oneshot::Sender<()>) {
    let config = Config { discovery, ..config(REPLICA_SETS, 2, Vec::new()) };
    let options = options(&format!("listen = 127.0.0.1:0\nexpected = {proxies}\nmost_proxies = 10000"));
    let (ready, address) = oneshot::channel();
    let (stop, stop_requested) = oneshot::channel();
    std::thread::spawn(move || {
        let runtime = control_plane::runtime().expect("a runtime");
        let running = control_plane::run(config, None, options, ready, stop_requested);
        runtime
            .block_on(async { tokio::spawn(running).await })
            .expect("the task of the control plane")
            .expect("the control plane runs");
    });
    (address.await.expect("the control plane listens"), stop)
}

/// Starts the proxies and waits until all have a complete view.
async fn start_proxies(server: SocketAddr, arguments: &Arguments) -> Vec<Arc<Proxy>> {
    let start = |index: usize| {
        let script = Script::new(&format!("p{index:05}"), ZONES[index % ZONES.len()], arguments.delta);
        let proxy = Arc::new(Proxy::new(server, script));
        let running = proxy.clone();
        tokio::spawn(async move { running.run(None).await });
        proxy
    };
    let proxies: Vec<Arc<Proxy>> = (0..arguments.proxies).map(start).collect();
    for proxy in &proxies {
        proxy.wait("a complete view", |view| view.is_complete()).await;
    }
    proxies
}

/// Drains a node. Returns for each proxy the time until it no longer used the node.
async fn drain(discovery: &Discovery, proxies: &[Arc<Proxy>], node: usize) -> Vec<Duration> {
    let wait = |proxy: &Arc<Proxy>| {
        let proxy = proxy.clone();
        tokio::spawn(async move {
            proxy.wait("the drain", |view| !view.uses(address(node))).await;
            Instant::now()
        })
    };
    let waits: Vec<_> = proxies.iter().map(wait).collect();
    tokio::time::sleep(Duration::from_millis(20)).await;
    let drained_at = Instant::now();
    discovery.publish(vec![endpoint_entry(node, REPLICA_SETS, "draining", 0)]);
    let mut durations = Vec::new();
    for wait in waits {
        durations.push(wait.await.expect("the task that waits for a proxy") - drained_at);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    durations
}

async fn measure(arguments: &Arguments) -> Measurement {
    let list: Vec<_> =
        (0..arguments.nodes).map(|node| endpoint_entry(node, REPLICA_SETS, "ready", 0)).collect();
    let list_bytes = list.iter().map(|entry| entry.to_string().len()).sum();
    let discovery = Discovery::start(7, list);
    let (server, _stop) = start_server(discovery.address, arguments.proxies).await;
    let memory_before = resident_memory();
    let started_at = Instant::now();
    let proxies = start_proxies(server, arguments).await;
    let startup = started_at.elapsed();
    // Waits until nothing more is sent, since fair shares change as proxies connect.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let memory_kilobytes = resident_memory().saturating_sub(memory_before);
    let received = || proxies.iter().map(|proxy| proxy.bytes()).sum::<usize>();
    let (bytes_before, cpu_time_before) = (received(), cpu_time());
    let mut durations = Vec::new();
    for change in 0..arguments.changes {
        durations.extend(drain(&discovery, &proxies, change * 7 % arguments.nodes).await);
    }
    durations.sort();
    let bytes = received() - bytes_before;
    Measurement {
        startup,
        durations,
        bytes,
        cpu_time: cpu_time() - cpu_time_before,
        list_bytes,
        memory_kilobytes,
    }
}

fn print(arguments: &Arguments, measurement: &Measurement) {
    let durations = &measurement.durations;
    let per_change = |value: f64| value / arguments.changes.max(1) as f64;
    let late = durations.iter().filter(|duration| **duration > DRAIN_GRACE).count();
    println!(
        "{} proxies, {} nodes, {}: complete views after {:.0} ms; \
         drain applied after p50 {:.1} p99 {:.1} max {:.1} ms; over 500 ms {late} of {}; \
         {:.0} KB and {:.1} ms of CPU time per change; baseline {:.0} KB; \
         {:.0} KB of memory per proxy (both sides of its stream)",
        arguments.proxies,
        arguments.nodes,
        if arguments.delta { "delta" } else { "state of the world" },
        measurement.startup.as_secs_f64() * 1e3,
        quantile(durations, 0.5),
        quantile(durations, 0.99),
        quantile(durations, 1.0),
        durations.len(),
        per_change(measurement.bytes as f64 / 1e3),
        per_change(measurement.cpu_time as f64 / 1e3),
        measurement.list_bytes as f64 * arguments.proxies as f64 / 1e3,
        measurement.memory_kilobytes as f64 / arguments.proxies as f64,
    );
}
