//! Clients that send hundreds of requests at once hold all descriptors of a router; the requests of usual clients beside them
//! must still get their answers in time.
mod standins;

use standins::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Hundreds, beside a limit of 256 descriptors.
const BAD_CLIENTS: usize = 300;
const USUAL_CLIENTS: usize = 10;
/// A try is given up after 60 % of the patience of 3 s.
const EXPIRES_MS: u64 = 1800;
/// Up to half a second after its time a request only earns nothing; 50 ms more on sockets.
const SLACK_MS: u64 = 550;

#[derive(Default)]
struct Totals {
    sent: usize,
    served: usize,
    other: usize,
    ended: usize,
    lost: usize,
}

fn usual_client(number: usize, router: SocketAddr, totals: &Mutex<Totals>, stop: &AtomicBool) {
    sleep(100 * number as u64);
    while !stop.load(Ordering::Relaxed) {
        let id = new_id();
        let Ok(mut stream) = TcpStream::connect(router) else {
            record(&format!("client {number} could not connect"));
            sleep(100);
            continue;
        };
        let shards = [number % 24, (number + 7) % 24, (number + 13) % 24];
        if stream.write_all(&request(&id, "member-lookup", EXPIRES_MS, &shards, &format!("q{id}"))).is_err() {
            continue;
        }
        let sent_at = now();
        record(&format!("client {number} sent {id}"));
        let answer = read_answer(&mut stream, sent_at + EXPIRES_MS + SLACK_MS);
        let took = now() - sent_at;
        let mut totals = totals.lock().expect("the totals");
        totals.sent += 1;
        match answer {
            Answer::Whole(200, _) => totals.served += 1,
            Answer::Whole(..) => totals.other += 1,
            Answer::Ended => totals.ended += 1,
            Answer::Nothing => totals.lost += 1,
        }
        drop(totals);
        let shown = match answer {
            Answer::Whole(status, _) => status.to_string(),
            Answer::Ended => "the end of the connection".to_string(),
            Answer::Nothing => "nothing: lost".to_string(),
        };
        record(&format!("client {number} got for {id} after {took} ms: {shown}"));
        sleep(400);
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
        record(&format!("{BAD_CLIENTS} bad clients begin"));
        let stop = stop.clone();
        thread::spawn(move || flood_of_requests(listen, BAD_CLIENTS, 300, &stop))
    });
    sleep(1000);
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (totals, stop) = (totals.clone(), stop.clone());
            thread::spawn(move || usual_client(number, listen, &totals, &stop))
        })
        .collect();
    sleep(20_000);
    stop.store(true, Ordering::Relaxed);
    for client in usual.into_iter().chain(bad) {
        let _ = client.join();
    }
    if router.has_ended() {
        finish(verdict(true, "the router has ended"));
    }
    let totals = totals.lock().expect("the totals");
    let Totals { sent, served, other, ended, lost } = &*totals;
    let line = format!(
        "{sent} requests of usual clients: {served} served, {other} refused or failed, {ended} ended without an answer, {lost} without an answer {SLACK_MS} ms after their time"
    );
    finish(verdict(*lost + *ended > 0, &line));
}
