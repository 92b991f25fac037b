//! Usual clients send many requests at once on one connection. Each of them has to get its final answer.

use super::*;

const CLIENTS: usize = 4;
const REQUESTS: usize = 12;
const TEXT_BYTES: usize = 16 * 1024;
/// How long the data nodes work on the first request of each client: all other requests are written meanwhile.
const FIRST_WORK_MS: u64 = 400;

pub fn run(record: &Record, temporary: &str) -> bool {
    let parts: Parts = Arc::default();
    let first_ids: Arc<Mutex<Vec<String>>> = Arc::default();
    let slow_ids = first_ids.clone();
    let answerer: Answerer = Arc::new(move |part: &Part| {
        let query = part.id.split('.').next().unwrap_or("").to_string();
        if slow_ids.lock().expect("ids").contains(&query) {
            sleep_ms(FIRST_WORK_MS);
        }
        Answer::Sound
    });
    let nodes: Vec<DataNode> =
        (0..6).map(|index| DataNode::start(index, 10, record, &parts, answerer.clone())).collect();
    let list = list_of(&nodes);
    let discovery = start_discovery(&list);
    let mut router =
        Router::start(&Settings { classes: &GYM_CLASSES, sockets: 256 }, discovery, &list, temporary);
    let lost = Arc::new(AtomicU64::new(0));
    let answered = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, lost, answered) = (record.clone(), lost.clone(), answered.clone());
            let (first_ids, router) = (first_ids.clone(), router.address);
            thread::spawn(move || run_client(client, router, &record, &first_ids, &lost, &answered))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    if !router.is_running() {
        could_not_run("the router has ended");
    }
    let (lost, answered) = (lost.load(Ordering::SeqCst), answered.load(Ordering::SeqCst));
    let summary = format!("sent {}, answered {answered}, lost {lost}", CLIENTS * REQUESTS);
    record.line(&summary);
    say!("{summary}");
    lost > 0
}

fn run_client(
    client: usize, router: SocketAddr, record: &Record, first_ids: &Mutex<Vec<String>>, lost: &AtomicU64,
    answered: &AtomicU64,
) {
    let requests: Vec<Request> = (0..REQUESTS)
        .map(|number| {
            let mut request = Request::new("visit-report", 5000, &[number % SHARDS]);
            request.text = request.text.repeat(TEXT_BYTES / request.text.len());
            request
        })
        .collect();
    first_ids.lock().expect("ids").push(requests[0].id.clone());
    let Ok(stream) = TcpStream::connect(router) else { could_not_run("no connection to the router") };
    let _ = stream.set_nodelay(true);
    let at_once = has_trouble();
    let written = Arc::new(AtomicU64::new(0));
    let sent = Instant::now();
    let mut reader = stream.try_clone().expect("clone");
    if at_once {
        let (mut stream, record, written, requests) =
            (stream.try_clone().expect("clone"), record.clone(), written.clone(), requests.clone());
        thread::spawn(move || {
            for request in &requests {
                if stream.write_all(&request.encode()).is_err() {
                    record.line(&format!("client {client}: {} could not be written", request.id));
                    return;
                }
                record.line(&format!("client {client}: {} written", request.id));
                written.fetch_add(1, Ordering::SeqCst);
            }
        });
    }
    let mut responses = Responses::default();
    for request in &requests {
        if !at_once {
            let _ = (&stream).write_all(&request.encode());
            written.fetch_add(1, Ordering::SeqCst);
        }
        // Longer than the time of the requests and half a second.
        match responses.next(&mut reader, sent, if at_once { 5600 } else { 60_000 }) {
            Some(status) => {
                answered.fetch_add(1, Ordering::SeqCst);
                record.line(&format!("client {client}: {} answered with {status}", request.id));
            }
            None => break,
        }
    }
    let end = responses.end.unwrap_or("nothing more");
    let written = written.load(Ordering::SeqCst);
    let unanswered = written - responses.count;
    record.line(&format!(
        "client {client}: {written} requests written, {} answered; then {end}, {} ms after the first request",
        responses.count,
        sent.elapsed().as_millis()
    ));
    if unanswered > 0 {
        lost.fetch_add(unanswered, Ordering::SeqCst);
        record.line(&format!("BROKEN: client {client}: {unanswered} requests without an answer"));
    }
}

/// The responses on one connection.
#[derive(Default)]
struct Responses {
    bytes: Vec<u8>,
    count: u64,
    /// How the router ended the connection, if it has.
    end: Option<&'static str>,
}

impl Responses {
    /// Returns the status of the next response; `None` if there is none until `wait_ms` after `sent`.
    fn next(&mut self, stream: &mut TcpStream, sent: Instant, wait_ms: u64) -> Option<u16> {
        let mut buffer = [0; 16384];
        loop {
            if let Some((status, length)) = response_length(&self.bytes) {
                self.bytes.drain(..length);
                self.count += 1;
                return Some(status);
            }
            let left = wait_ms.saturating_sub(sent.elapsed().as_millis() as u64);
            if left == 0 {
                return None;
            }
            let _ = stream.set_read_timeout(Some(Duration::from_millis(left)));
            match stream.read(&mut buffer) {
                Ok(0) => {
                    self.end = Some("an orderly end");
                    return None;
                }
                Ok(count) => self.bytes.extend_from_slice(&buffer[..count]),
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
                    ) => {}
                Err(_) => {
                    self.end = Some("a reset");
                    return None;
                }
            }
        }
    }
}

/// Returns the status of the first response, if it is whole, and its length in bytes.
fn response_length(bytes: &[u8]) -> Option<(u16, usize)> {
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length: usize =
        head.lines().find_map(|line| line.strip_prefix("content-length:"))?.trim().parse().ok()?;
    (bytes.len() >= head_end + length).then_some((status, head_end + length))
}
