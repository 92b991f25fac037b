//! A router dies and comes back with its last list while discovery has too many callers. Lists are pushed: what the platform's
//! agent has counts as told from the first moment of the new process. Data nodes that were withdrawn meanwhile (they still
//! answer) must get nothing new after the grace.
mod standins;

use standins::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const USUAL_CLIENTS: usize = 6;
const EXPIRES_MS: u64 = 3000;
/// The grace of `obligations.drainGraceNs`, and 50 ms on sockets.
const GRACE_MS: u64 = 550;
/// How long the router is away.
const AWAY_MS: u64 = 1500;
/// How long calls to discovery fail after the start of the new process.
const CROWDED_MS: u64 = 4000;

/// The data nodes that are withdrawn.
const WITHDRAWN: usize = 2;

fn usual_client(
    number: usize, router: SocketAddr, nodes: &[Node], stale: &Mutex<Vec<u64>>, stop: &AtomicBool,
) {
    while !stop.load(Ordering::Relaxed) {
        sleep(60);
        let Ok(mut stream) = TcpStream::connect(router) else { continue };
        let id = new_id();
        let shards = [number % 24, (number + 7) % 24, (number + 13) % 24];
        if stream.write_all(&request(&id, "member-lookup", EXPIRES_MS, &shards, &format!("q{id}"))).is_err() {
            continue;
        }
        let answer = read_answer(&mut stream, now() + EXPIRES_MS + 550);
        if is_made_by(&answer, &nodes[..WITHDRAWN]) {
            stale.lock().expect("the times").push(now());
        }
        record(&format!("client {number} got for {id}: {answer:?}"));
    }
}

fn main() {
    begin();
    let nodes: Vec<Node> = (0..12).map(|index| Node::start(&format!("s-{index}"), index % 6, 40)).collect();
    let members: Vec<Member> = nodes.iter().map(|node| node.member("ready")).collect();
    let discovery = Discovery::start(41, &members);
    let listen = free_address();
    let figures = Figures { registry: "push", sockets: 1024, memory_mb: 192, cells: 6, shards: 24 };
    let config = config(listen, discovery.address, &members, &figures);
    let first = start_router("n1", listen, discovery.address, &config);
    let stop = Arc::new(AtomicBool::new(false));
    let stale: Arc<Mutex<Vec<u64>>> = Arc::default();
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (nodes, stale, stop) = (nodes.clone(), stale.clone(), stop.clone());
            thread::spawn(move || usual_client(number, listen, &nodes, &stale, &stop))
        })
        .collect();
    sleep(3000);
    record("the router is killed");
    first.kill();
    sleep(AWAY_MS / 2);
    for phase in ["draining", "gone"] {
        for node in &nodes[..WITHDRAWN] {
            discovery.publish(node.member(phase));
        }
        sleep(AWAY_MS / 4);
    }
    if trouble() {
        discovery.crowd(CROWDED_MS);
    }
    record("the router comes back with its last list");
    let started_at = now();
    let second = start_router("n1", listen, discovery.address, &config);
    let ready_at = now();
    sleep(8000);
    stop.store(true, Ordering::Relaxed);
    for client in usual {
        let _ = client.join();
    }
    if second.has_ended() {
        finish(verdict(true, "the router has ended"));
    }
    // Counted from the moment at which the new process was ready, which is later than its start.
    let limit = ready_at + GRACE_MS;
    let late: usize = nodes[..WITHDRAWN].iter().map(|node| node.count_after(limit)).sum();
    let times = nodes[..WITHDRAWN]
        .iter()
        .filter_map(|node| node.parts.lock().expect("the parts").last().map(|(at, _)| *at));
    let last = times.max().unwrap_or(0).saturating_sub(started_at);
    let answers = stale.lock().expect("the times").iter().filter(|&&at| at > limit).count();
    let line = format!(
        "{late} parts sent to withdrawn nodes more than {GRACE_MS} ms after the new process was ready ({} ms after its start), the \
         last {last} ms after its start; {answers} answers with a value of theirs",
        ready_at - started_at
    );
    finish(verdict(late > 0, &line));
}
