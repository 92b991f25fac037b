//! Bad clients open hundreds of connections and say nothing. A usual client connects just then and sends its request,
//! which has to get its final answer at the latest half a second after its time.

use super::*;

/// A try of `member-lookup` is given up after 60 to 100 % of its patience of 1270 ms.
const EXPIRES_MS: u64 = 800;
const SILENT_CONNECTIONS: usize = 300;
/// Up to half a second after its time an answer only earns nothing.
const LATEST_MS: u64 = EXPIRES_MS + 500 + SOCKET_SLACK_MS + MEASUREMENT_SLACK_MS;

pub fn run(record: &Record, temporary: &str) -> bool {
    let parts: Parts = Arc::default();
    let answerer: Answerer = Arc::new(|_: &Part| Answer::Sound);
    let nodes: Vec<DataNode> =
        (0..6).map(|index| DataNode::start(index, 20, record, &parts, answerer.clone())).collect();
    let list = list_of(&nodes);
    let discovery = start_discovery(&list);
    let mut router =
        Router::start(&Settings { classes: &SHORT_CLASSES, sockets: 256 }, discovery, &list, temporary);
    let has_ended = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicU64::new(0));
    let answered = Arc::new(AtomicU64::new(0));
    let closed = Arc::new(AtomicU64::new(0));
    let address = router.address;
    // Usual clients: 20 requests a second, each on a connection of its own.
    let clients = {
        let (record, has_ended) = (record.clone(), has_ended.clone());
        let (lost, answered, closed) = (lost.clone(), answered.clone(), closed.clone());
        thread::spawn(move || {
            let mut running = Vec::new();
            let mut number = 0;
            while !has_ended.load(Ordering::SeqCst) {
                number += 1;
                let (record, lost, answered, closed) =
                    (record.clone(), lost.clone(), answered.clone(), closed.clone());
                running.push(thread::spawn(move || {
                    let request = Request::new("member-lookup", EXPIRES_MS, &[number % 4, 4 + number % 4]);
                    let sent_ms = record.ms();
                    let Ok(outcome) = ask_on_new_connection(address, &request, LATEST_MS) else {
                        record.line(&format!("client {} could not connect", request.id));
                        return;
                    };
                    record.line(&format!("client {} sent at {sent_ms}: {outcome:?}", request.id));
                    match outcome {
                        Outcome::Answered { .. } => {
                            answered.fetch_add(1, Ordering::SeqCst);
                        }
                        // A new connection may be shut unread while idle clients fill the descriptors.
                        Outcome::Closed { .. } => {
                            closed.fetch_add(1, Ordering::SeqCst);
                        }
                        Outcome::Nothing { after_ms } => {
                            lost.fetch_add(1, Ordering::SeqCst);
                            record.line(&format!(
                                "BROKEN: {} was sent with {EXPIRES_MS} ms left and had no answer after {after_ms} ms",
                                request.id
                            ));
                        }
                    }
                }));
                sleep_ms(50);
            }
            for client in running {
                let _ = client.join();
            }
        })
    };
    sleep_ms(3000);
    for round in 0..3 {
        let mut silent = Vec::new();
        if has_trouble() {
            record.line(&format!("bad clients open {SILENT_CONNECTIONS} connections, round {round}"));
            for _ in 0..SILENT_CONNECTIONS {
                if let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) {
                    silent.push(stream);
                }
            }
            record.line(&format!("{} silent connections are open", silent.len()));
        }
        sleep_ms(5000);
        drop(silent);
        sleep_ms(1500);
    }
    has_ended.store(true, Ordering::SeqCst);
    let _ = clients.join();
    if !router.is_running() {
        could_not_run("the router has ended");
    }
    let (lost, answered, closed) =
        (lost.load(Ordering::SeqCst), answered.load(Ordering::SeqCst), closed.load(Ordering::SeqCst));
    let summary = format!("answered {answered}, shut unread {closed}, lost {lost}");
    record.line(&summary);
    say!("{summary}");
    lost > 0
}
