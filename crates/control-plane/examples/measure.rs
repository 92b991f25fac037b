//! Measures the control service with stand-in proxies on loopback:
//!
//!     cargo run --release -p control-plane --example measure -- PROXIES NODES [delta|sotw] [CHANGES]
//!
//! The service runs on threads of its own, as it does by itself; proxies have four more. Each change drains one
//! node and is over for a proxy when it no longer uses the node. The baseline hands out the list of nodes as it is:
//! what a state of the world without shards would send again whole to every proxy for each change.

#[path = "../tests/support/mod.rs"]
mod support;

use query_router::config::Config;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{address, config, entry, options};
use test_servers::{Discovery, Proxy, Script};
use tokio::sync::oneshot;

const CELLS: usize = 16;

/// Kilobytes that the process holds.
fn memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)).and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

/// Microseconds of processor time of the service's threads.
fn processor() -> u64 {
    let tasks = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let read = |task: &std::fs::DirEntry, file: &str| std::fs::read_to_string(task.path().join(file));
    let ours = tasks.filter(|task| read(task, "comm").is_ok_and(|name| name.trim() == "control"));
    let ticks = ours.map(|task| {
        let stat = read(&task, "stat").unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        [11, 12].iter().filter_map(|&i| fields.get(i)?.parse::<u64>().ok()).sum::<u64>()
    });
    ticks.sum::<u64>() * 10_000
}

fn at(sorted: &[Duration], share: f64) -> f64 {
    let i = ((sorted.len().max(1) - 1) as f64 * share).round() as usize;
    sorted.get(i).map_or(0.0, |time| time.as_secs_f64() * 1e3)
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |i: usize, absent| args.get(i).and_then(|a| a.parse::<usize>().ok()).unwrap_or(absent);
    let (proxies, nodes, changes) = (number(0, 100), number(1, 130), number(3, 20));
    let delta = args.get(2).is_none_or(|mode| mode == "delta");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    runtime.expect("a runtime").block_on(measure(proxies, nodes, changes, delta));
}

async fn measure(count: usize, nodes: usize, changes: usize, delta: bool) {
    let list: Vec<_> = (0..nodes).map(|node| entry(node, CELLS, "ready", 0)).collect();
    let bare: usize = list.iter().map(|entry| entry.to_string().len()).sum();
    let discovery = Discovery::start(7, list);
    let config = Config { discovery: discovery.at, ..config(CELLS, 2, Vec::new()) };
    let options = options(&format!("listen = 127.0.0.1:0\nexpected = {count}\nmost_proxies = 10000"));
    let (ready, at_service) = oneshot::channel();
    let (_stop, stopped) = oneshot::channel();
    std::thread::spawn(move || {
        let runtime = control_plane::runtime().expect("a runtime");
        let running = control_plane::run(config, None, options, ready, stopped);
        runtime.block_on(async { tokio::spawn(running).await }).expect("a task").expect("it runs");
    });
    let service = at_service.await.expect("it listens");
    let before = memory();
    let begun = Instant::now();
    let all: Vec<_> = (0..count)
        .map(|i| {
            let script = Script::new(&format!("p{i:05}"), support::ZONES[i % 3], delta);
            let proxy = Arc::new(Proxy::new(service, script));
            let run = proxy.clone();
            tokio::spawn(async move { run.run(None).await });
            proxy
        })
        .collect();
    for proxy in &all {
        proxy.wait("a whole view", |view| view.whole()).await;
    }
    let start = begun.elapsed();
    // Until nothing more comes: shares settle as proxies join.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let held = memory();
    let bytes = |all: &[Arc<Proxy>]| all.iter().map(|proxy| proxy.bytes()).sum::<usize>();
    let (bytes_before, processor_before) = (bytes(&all), processor());
    let mut times = Vec::new();
    for change in 0..changes {
        let node = change * 7 % nodes;
        let waits: Vec<_> = all
            .iter()
            .map(|proxy| {
                let proxy = proxy.clone();
                tokio::spawn(async move {
                    proxy.wait("the drain", |view| !view.uses(address(node))).await;
                    Instant::now()
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(20)).await;
        let told = Instant::now();
        discovery.tell(vec![entry(node, CELLS, "draining", 0)]);
        for wait in waits {
            times.push(wait.await.expect("a task") - told);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    times.sort();
    let per = |figure: f64| figure / changes.max(1) as f64;
    let late = times.iter().filter(|time| **time > Duration::from_millis(500)).count();
    println!(
        "{count} proxies, {nodes} nodes, {}: served after {:.0} ms; told to applied p50 {:.1} p99 {:.1} most {:.1} ms; \
         over 500 ms {late} of {}; {:.0} KB and {:.1} ms of processor a change; baseline {:.0} KB; \
         {:.0} KB a proxy (both sides of it)",
        if delta { "delta" } else { "state of the world" },
        start.as_secs_f64() * 1e3,
        at(&times, 0.5),
        at(&times, 0.99),
        at(&times, 1.0),
        times.len(),
        per((bytes(&all) - bytes_before) as f64 / 1e3),
        per((processor() - processor_before) as f64 / 1e3),
        bare as f64 * count as f64 / 1e3,
        (held.saturating_sub(before)) as f64 / count as f64,
    );
}
