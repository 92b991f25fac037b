//! Clients that stop in the middle of a request and stay hold all descriptors of a router. Its watch of discovery ends, and
//! some seconds later data nodes are withdrawn: they drain, and are gone 1 s later, though they still answer. The router must
//! open a watch anew and stop sending to them.
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
const WITHDRAWN: usize = 3;
const USUAL_CLIENTS: usize = 10;
const EXPIRES_MS: u64 = 3000;
const SLACK_MS: u64 = 550;
/// Whatever discovery has to tell counts as told 6 s later at the latest; then 500 ms of grace, and 50 ms on sockets.
const TOLD_MS: u64 = 6000;
const GRACE_MS: u64 = 550;

/// What usual clients got: served, another answer, nothing; and when an answer held a value of a node to be withdrawn.
#[derive(Default)]
struct Totals {
    counts: [usize; 3],
    made_by_withdrawn: Vec<u64>,
}

fn usual_client(
    number: usize, router: SocketAddr, nodes: &[Node], totals: &Mutex<Totals>, stop: &AtomicBool,
) {
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
        let mut totals = totals.lock().expect("the totals");
        totals.counts[index] += 1;
        if is_made_by(&answer, &nodes[..WITHDRAWN]) {
            totals.made_by_withdrawn.push(now());
        }
        drop(totals);
        record(&format!("client {number} got for {id}: {answer:?}"));
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
    let totals = Arc::new(Mutex::new(Totals::default()));
    let bad = trouble().then(|| {
        let stop = stop.clone();
        thread::spawn(move || half_requests(listen, BAD_CLIENTS, "member-lookup", &stop))
    });
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (nodes, totals, stop) = (nodes.clone(), totals.clone(), stop.clone());
            thread::spawn(move || usual_client(number, listen, &nodes, &totals, &stop))
        })
        .collect();
    sleep(4000);
    if trouble() {
        discovery.end_watches();
    }
    sleep(3000);
    let drained_at = now();
    for node in &nodes[..WITHDRAWN] {
        discovery.publish(node.member("draining"));
    }
    sleep(1000);
    for node in &nodes[..WITHDRAWN] {
        discovery.publish(node.member("gone"));
    }
    sleep(24_000);
    stop.store(true, Ordering::Relaxed);
    for client in usual.into_iter().chain(bad) {
        let _ = client.join();
    }
    if router.has_ended() {
        finish(verdict(true, "the router has ended"));
    }
    let limit = drained_at + TOLD_MS + GRACE_MS;
    let late: usize = nodes[..WITHDRAWN].iter().map(|node| node.count_after(limit)).sum();
    let totals = totals.lock().expect("the totals");
    let [served, other, lost] = totals.counts;
    let stale = totals.made_by_withdrawn.iter().filter(|&&at| at > limit).count();
    let (watches, last) = discovery.watches();
    let line = format!(
        "{late} parts sent to withdrawn nodes more than {} ms after discovery had their drains, {stale} answers with a value of \
         theirs; {watches} watches in all, the last {} ms after the drains; usual clients: {served} served, {other} refused or \
         failed, {lost} without an answer",
        TOLD_MS + GRACE_MS,
        last as i64 - drained_at as i64
    );
    finish(verdict(late > 0, &line));
}
