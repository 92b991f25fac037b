//! Clients that stop in the middle of a request and stay hold all descriptors of a router. Its watch of discovery ends,
//! and a data node begins to drain some seconds later. The router must open a watch anew and stop sending to that node.
mod standins;

use standins::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Hundreds, beside a limit of 256 descriptors.
const BAD_CLIENTS: usize = 300;
/// A quarter of the data nodes.
const DRAINING: usize = 3;
const USUAL_CLIENTS: usize = 10;
const EXPIRES_MS: u64 = 3000;
const SLACK_MS: u64 = 550;
/// Whatever discovery has to tell counts as told 6 s later at the latest; then 500 ms of grace, and 50 ms on sockets.
const TOLD_MS: u64 = 6000;
const GRACE_MS: u64 = 550;

fn usual_client(number: usize, router: SocketAddr, totals: &Mutex<[usize; 3]>, stop: &AtomicBool) {
    sleep(100 * number as u64);
    while !stop.load(Ordering::Relaxed) {
        let id = new_id();
        let Ok(mut stream) = TcpStream::connect(router) else {
            sleep(100);
            continue;
        };
        let shards = [number % 24, (number + 7) % 24, (number + 13) % 24];
        if stream.write_all(&request(&id, "member-lookup", EXPIRES_MS, &shards, &format!("q{id}"))).is_err() {
            continue;
        }
        let sent_at = now();
        let answer = read_answer(&mut stream, sent_at + EXPIRES_MS + SLACK_MS);
        let index = match answer {
            Answer::Whole(200, _) => 0,
            Answer::Whole(..) => 1,
            _ => 2,
        };
        totals.lock().expect("the totals")[index] += 1;
        sleep(100);
    }
}

fn main() {
    begin();
    let nodes: Vec<Node> = (0..12).map(|index| Node::start(&format!("s-{index}"), index % 6, 40)).collect();
    let members: Vec<Member> = nodes.iter().map(|node| node.member("ready")).collect();
    let discovery = Discovery::start(41, &members);
    let listen = free_address();
    let figures = Figures { registry: "ask", sockets: 256, memory_mb: 64, cells: 6, shards: 24 };
    let config = config(listen, discovery.address, &members, &figures);
    let router = start_router("n1", listen, discovery.address, &config);
    sleep(1500);
    let stop = Arc::new(AtomicBool::new(false));
    let totals = Arc::new(Mutex::new([0; 3]));
    let bad = trouble().then(|| {
        let stop = stop.clone();
        thread::spawn(move || half_requests(listen, BAD_CLIENTS, "member-lookup", &stop))
    });
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (totals, stop) = (totals.clone(), stop.clone());
            thread::spawn(move || usual_client(number, listen, &totals, &stop))
        })
        .collect();
    sleep(4000);
    if trouble() {
        discovery.end_watches();
    }
    sleep(3000);
    let drained_at = now();
    for node in &nodes[..DRAINING] {
        discovery.publish(node.member("draining"));
        node.drains.store(true, Ordering::Relaxed);
    }
    sleep(25_000);
    stop.store(true, Ordering::Relaxed);
    for client in usual.into_iter().chain(bad) {
        let _ = client.join();
    }
    if router.has_ended() {
        finish(verdict(true, "the router has ended"));
    }
    let limit = drained_at + TOLD_MS + GRACE_MS;
    let late: usize = nodes[..DRAINING].iter().map(|node| node.count_after(limit)).sum();
    let [served, other, lost] = *totals.lock().expect("the totals");
    let (watches, last) = discovery.watches();
    let line = format!(
        "{late} parts sent to draining nodes more than {} ms after discovery had the drains; {watches} watches in all, \
         the last {} ms after the drains; usual clients: {served} served, {other} refused or failed, {lost} without an answer",
        TOLD_MS + GRACE_MS,
        last as i64 - drained_at as i64
    );
    finish(verdict(late > 0, &line));
}
