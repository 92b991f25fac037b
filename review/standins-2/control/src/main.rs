//! A data node drains and is gone 4 s later, though it still answers; proxies that take their endpoints from the control plane
//! must stop sending to it. The first case writes the lists of discovery on several indented lines; in the second the watch
//! ends instead of telling.

mod proxy;
#[path = "../../standins.rs"]
mod standins;

use proxy::Proxy;
use standins::*;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

/// The grace of `obligations.drainGraceNs`, and 50 ms on sockets.
const GRACE_MS: u64 = 550;
/// Whatever discovery has to tell counts as told 6 s later at the latest.
const TOLD_MS: u64 = 6000;
const NODES: usize = 4;

/// A data node behind proxies: it answers each line, and records the work that it gets.
fn start_backend(id: String) -> SocketAddr {
    listen(move |mut stream: TcpStream| {
        let mut buffer = [0; 64];
        while let Ok(count) = stream.read(&mut buffer) {
            if count == 0 {
                return;
            }
            record(&format!("node {id} got {}", String::from_utf8_lossy(&buffer[..count]).trim()));
            if stream.write_all(b"OK\n").is_err() {
                return;
            }
        }
    })
}

fn start_control(config: &str, address: SocketAddr) -> Process {
    let (file, operator) = (path("control.json"), path("yewpier.ini"));
    std::fs::write(&file, config).expect("a configuration");
    std::fs::write(&operator, format!("[control]\nlisten = {address}\n")).expect("an operator's file");
    let log = File::create(path("control.log")).expect("a log");
    let child = Command::new("target/release/query-router")
        .arg("control")
        .arg("--config")
        .arg(&file)
        .arg("--operator")
        .arg(&operator)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|error| give_up(&format!("the control plane does not start: {error}")));
    let process = Process::new(child);
    for _ in 0..200 {
        if get(address, "/-/counters").starts_with("HTTP/1.1 200") {
            return process;
        }
        sleep(50);
    }
    give_up("the control plane is not ready");
}

#[tokio::main]
async fn main() {
    begin();
    let case = std::env::var("CASE").unwrap_or_default();
    let (registry, told_ms) = match case.as_str() {
        "indented" => ("ask", TOLD_MS),
        "ends" => ("push", 0),
        _ => give_up("CASE is neither indented nor ends"),
    };
    let backends: Vec<SocketAddr> = (0..NODES).map(|index| start_backend(format!("s-{index}"))).collect();
    let member = |index: usize, phase: &'static str| Member {
        id: format!("s-{index}"),
        address: backends[index],
        cell: 0,
        phase,
    };
    let members: Vec<Member> = (0..NODES).map(|index| member(index, "ready")).collect();
    let discovery = Discovery::start(41, &members);
    if trouble() && case == "indented" {
        record("discovery writes indented lists");
        discovery.set_indented();
    }
    let figures = Figures { registry, sockets: 1024, memory_mb: 192, cells: 1, shards: 4 };
    let address = free_address();
    let config = config(free_address(), discovery.address, &members, &figures);
    let control = start_control(&config, address);
    let proxy = Arc::new(Proxy::new(address, "p1", "z"));
    let running = proxy.clone();
    tokio::spawn(async move {
        loop {
            let status = running.run().await;
            record(&format!("the stream of the proxy ended: {status:?}"));
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    });
    for _ in 0..200 {
        if backends.iter().all(|&backend| proxy.uses(backend)) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    if !backends.iter().all(|&backend| proxy.uses(backend)) {
        give_up("the proxy got no complete view");
    }
    record("the proxy has a complete view");

    // The proxy sends a request each 20 ms, to the nodes of its view in turn.
    let (sender, targets) = (proxy.clone(), backends.clone());
    std::thread::spawn(move || {
        let mut turn = 0;
        loop {
            let usable: Vec<SocketAddr> = targets.iter().copied().filter(|&node| sender.uses(node)).collect();
            if let Some(&node) = usable.get(turn % usable.len().max(1))
                && let Ok(mut stream) = TcpStream::connect(node)
            {
                let _ = stream.write_all(format!("{}\n", new_id()).as_bytes());
                let _ = stream.read(&mut [0; 8]);
            }
            turn += 1;
            sleep(20);
        }
    });
    tokio::time::sleep(Duration::from_secs(5)).await;
    if trouble() && case == "ends" {
        record("the open watches will end instead of telling the next change");
        discovery.end_instead_of_telling();
    }
    let drained_at = now();
    discovery.publish(member(0, "draining"));
    tokio::time::sleep(Duration::from_secs(4)).await;
    discovery.publish(member(0, "gone"));
    tokio::time::sleep(Duration::from_millis(told_ms + 5000)).await;
    if control.has_ended() {
        finish(verdict(true, "the control plane has ended"));
    }
    let limit = drained_at + told_ms + GRACE_MS;
    let text = std::fs::read_to_string(std::env::args().nth(1).unwrap_or_default()).unwrap_or_default();
    let times = text.lines().filter(|line| line.contains(" node s-0 got "));
    let times: Vec<u64> = times
        .filter_map(|line| line.split_whitespace().next()?.parse().ok())
        .filter(|&at| at > drained_at)
        .collect();
    let late = times.iter().filter(|&&at| at > limit).count();
    let last = times.last().map_or(0, |at| at - drained_at);
    let line = format!(
        "{late} new requests to the withdrawn node more than {} ms after discovery had the drain; the last after {last} ms",
        told_ms + GRACE_MS
    );
    finish(verdict(late > 0, &line));
}
