//! Measures the control plane with test proxies on loopback:
//!
//!     cargo run --release -p control-plane --example measure -- PROXIES NODES [delta|sotw] [CHANGES]
//!
//! The control plane runs on threads of its own, as it does in production; proxies have four more. Each
//! change drains one node and is complete for a proxy when the proxy no longer uses the node. The baseline is
//! to send the endpoint list as it is: what a state of the world without shards would send again to every
//! proxy for each change.

#[path = "../tests/support/mod.rs"]
mod support;

use query_router::config::Config;
use std::fs::DirEntry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{ZONES, address, config, entry, options};
use test_servers::{Discovery, Proxy, Script};
use tokio::sync::oneshot;

const REPLICA_SETS: usize = 16;
/// The time in which proxies have to react to a drain.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// The name of the control plane's threads.
const SERVER_THREAD: &str = "control";
/// The system counts processor time in hundredths of a second.
const MICROS_PER_TICK: u64 = 10_000;
const PROXY_THREADS: usize = 4;

/// What is measured.
struct Arguments {
    proxies: usize,
    nodes: usize,
    delta: bool,
    changes: usize,
}

impl Arguments {
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

/// What was measured.
struct Measurement {
    /// How long it took until all proxies had a complete view.
    start: Duration,
    /// How long each change took until each proxy had applied it, sorted.
    durations: Vec<Duration>,
    /// What all proxies received for all changes.
    bytes: usize,
    /// Processor time of the control plane for all changes, in microseconds.
    processor_time: u64,
    /// The length of the endpoint list.
    list_bytes: usize,
    /// Memory of all proxies and their streams, in kilobytes.
    memory: u64,
}

/// Memory that the process has, in kilobytes.
fn resident_memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|kilobytes| kilobytes.parse().ok()).unwrap_or(0)
}

/// Processor time of the control plane's threads, in microseconds.
fn processor_time() -> u64 {
    let threads = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let read = |thread: &DirEntry, file: &str| std::fs::read_to_string(thread.path().join(file));
    let is_server = |thread: &DirEntry| read(thread, "comm").is_ok_and(|name| name.trim() == SERVER_THREAD);
    let ticks = threads
        .filter(is_server)
        .map(|thread| user_and_system_ticks(&read(&thread, "stat").unwrap_or_default()));
    ticks.sum::<u64>() * MICROS_PER_TICK
}

/// The processor time in a thread's `stat` file; its fields are counted after the thread's name in
/// parentheses.
fn user_and_system_ticks(stat: &str) -> u64 {
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let (user, system) = (11, 12);
    [user, system].iter().filter_map(|&index| fields.get(index)?.parse::<u64>().ok()).sum()
}

/// A quantile in milliseconds.
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

/// Starts the control plane on threads of its own. Returns its address, and what stops it when it is dropped.
async fn start_server(discovery: SocketAddr, proxies: usize) -> (SocketAddr, oneshot::Sender<()>) {
    let config = Config { discovery, ..config(REPLICA_SETS, 2, Vec::new()) };
    let options = options(&format!("listen = 127.0.0.1:0\nexpected = {proxies}\nmost_proxies = 10000"));
    let (ready, address) = oneshot::channel();
    let (stop, stop_requested) = oneshot::channel();
    std::thread::spawn(move || {
        let runtime = control_plane::runtime().expect("a runtime");
        let running = control_plane::run(config, None, options, ready, stop_requested);
        runtime.block_on(async { tokio::spawn(running).await }).expect("a task").expect("it runs");
    });
    (address.await.expect("it listens"), stop)
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

/// Drains a node. Returns how long it took until each proxy no longer used it.
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
    discovery.publish(vec![entry(node, REPLICA_SETS, "draining", 0)]);
    let mut durations = Vec::new();
    for wait in waits {
        durations.push(wait.await.expect("a task") - drained_at);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    durations
}

async fn measure(arguments: &Arguments) -> Measurement {
    let list: Vec<_> = (0..arguments.nodes).map(|node| entry(node, REPLICA_SETS, "ready", 0)).collect();
    let list_bytes = list.iter().map(|entry| entry.to_string().len()).sum();
    let discovery = Discovery::start(7, list);
    let (server, _stop) = start_server(discovery.at, arguments.proxies).await;
    let memory_before = resident_memory();
    let started_at = Instant::now();
    let proxies = start_proxies(server, arguments).await;
    let start = started_at.elapsed();
    // Until nothing more is sent: shares change as proxies connect.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let memory = resident_memory().saturating_sub(memory_before);
    let received = || proxies.iter().map(|proxy| proxy.bytes()).sum::<usize>();
    let (bytes_before, processor_before) = (received(), processor_time());
    let mut durations = Vec::new();
    for change in 0..arguments.changes {
        durations.extend(drain(&discovery, &proxies, change * 7 % arguments.nodes).await);
    }
    durations.sort();
    let bytes = received() - bytes_before;
    Measurement {
        start,
        durations,
        bytes,
        processor_time: processor_time() - processor_before,
        list_bytes,
        memory,
    }
}

fn print(arguments: &Arguments, measurement: &Measurement) {
    let durations = &measurement.durations;
    let by_change = |value: f64| value / arguments.changes.max(1) as f64;
    let late = durations.iter().filter(|duration| **duration > DRAIN_GRACE).count();
    println!(
        "{} proxies, {} nodes, {}: served after {:.0} ms; told to applied p50 {:.1} p99 {:.1} most {:.1} ms; \
         over 500 ms {late} of {}; {:.0} KB and {:.1} ms of processor a change; baseline {:.0} KB; \
         {:.0} KB a proxy (both sides of it)",
        arguments.proxies,
        arguments.nodes,
        if arguments.delta { "delta" } else { "state of the world" },
        measurement.start.as_secs_f64() * 1e3,
        quantile(durations, 0.5),
        quantile(durations, 0.99),
        quantile(durations, 1.0),
        durations.len(),
        by_change(measurement.bytes as f64 / 1e3),
        by_change(measurement.processor_time as f64 / 1e3),
        measurement.list_bytes as f64 * arguments.proxies as f64 / 1e3,
        measurement.memory as f64 / arguments.proxies as f64,
    );
}
