//! Stand-ins for the review cases: data nodes, discovery, clients, and the start of a query router as a separate
//! process. Only the standard library is used. The first argument names the case; `TROUBLE=0` leaves the disruption out.
//! `run.sh` of each case sets `RUN` (the command of the deploy file), `CASE_FOLDER` and `CASE_TMP`.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Prints a line; a reader that has gone changes nothing.
macro_rules! say {
    ($($text:tt)*) => { drop(writeln!(io::stdout(), $($text)*)) };
}

mod case_flood;
mod case_length;
mod case_pipeline;

/// Time limits of the protocol are 50 ms longer on sockets.
pub const SOCKET_SLACK_MS: u64 = 50;
/// Allowance for the scheduling of the stand-ins' own threads; only makes the checks more lenient.
pub const MEASUREMENT_SLACK_MS: u64 = 50;

/// The record of a run: one line an event, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("create the record");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.ms());
        let _ = self.file.lock().expect("record").write_all(line.as_bytes());
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The value that the data nodes make for a part: 16 hex digits that depend on the part and on the text.
pub fn value_of(id: &str, text: &[u8]) -> String {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in id.bytes().chain(text.iter().copied()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    format!("{hash:016x}")
}

/// A part as a data node has received it.
#[derive(Clone)]
pub struct Part {
    pub node: usize,
    pub id: String,
    pub shard: usize,
    /// The milliseconds that the query router will wait, as it told the data node.
    pub wait_ms: i64,
    pub at_ms: u64,
    pub value: String,
}

/// How a data node answers a part.
pub type Answerer = Arc<dyn Fn(&Part) -> Answer + Send + Sync>;

pub enum Answer {
    /// A sound answer.
    Sound,
    /// These bytes, and nothing more on the connection.
    Spoilt(Vec<u8>),
}

pub fn frame(letter: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32 + 1).to_be_bytes().to_vec();
    bytes.push(letter);
    bytes.extend_from_slice(payload);
    bytes
}

pub struct DataNode {
    pub address: SocketAddr,
}

/// What all data nodes have received, in order.
pub type Parts = Arc<Mutex<Vec<Part>>>;

impl DataNode {
    pub fn start(index: usize, work_ms: u64, record: &Record, parts: &Parts, answerer: Answerer) -> DataNode {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a data node");
        let address = listener.local_addr().expect("address");
        let (record, parts) = (record.clone(), parts.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, parts, answerer) = (record.clone(), parts.clone(), answerer.clone());
                thread::spawn(move || serve_node(stream, index, work_ms, &record, &parts, &answerer));
            }
        });
        DataNode { address }
    }
}

fn serve_node(
    mut stream: TcpStream, index: usize, work_ms: u64, record: &Record, parts: &Parts, answerer: &Answerer,
) {
    let _ = stream.set_nodelay(true);
    let is_spoilt = Arc::new(AtomicBool::new(false));
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("clone")));
    let mut head = [0; 5];
    while stream.read_exact(&mut head).is_ok() {
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let mut payload = vec![0; length.saturating_sub(1)];
        if stream.read_exact(&mut payload).is_err() {
            return;
        }
        match head[4] {
            b'R' => {
                let received = parse_batch(&payload, index, record.ms());
                for part in received {
                    record.line(&format!("node {index} received {} d={}", part.id, part.wait_ms));
                    parts.lock().expect("parts").push(part.clone());
                    let (writer, answerer) = (writer.clone(), answerer.clone());
                    let (is_spoilt, record) = (is_spoilt.clone(), record.clone());
                    thread::spawn(move || {
                        sleep_ms(work_ms);
                        let mut writer = writer.lock().expect("writer");
                        // A spoilt connection stays open but is of no further use.
                        if is_spoilt.load(Ordering::SeqCst) {
                            return;
                        }
                        match answerer(&part) {
                            Answer::Sound => {
                                let text = format!("{} OK 1 -\n{}", part.id, part.value);
                                record.line(&format!("node {index} ran {} value {}", part.id, part.value));
                                let _ = writer.write_all(&frame(b'Y', text.as_bytes()));
                            }
                            Answer::Spoilt(bytes) => {
                                is_spoilt.store(true, Ordering::SeqCst);
                                let shown = String::from_utf8_lossy(&bytes).escape_debug().to_string();
                                record.line(&format!(
                                    "node {index} ran {} value {} and spoils the answer: {shown}",
                                    part.id, part.value
                                ));
                                let _ = writer.write_all(&bytes);
                            }
                        }
                    });
                }
            }
            b'A' => {}
            b'G' => drop(writer.lock().expect("writer").write_all(&frame(b'G', b"OK"))),
            b'T' => drop(writer.lock().expect("writer").write_all(&frame(b'T', b"-"))),
            _ => return,
        }
    }
}

fn parse_batch(payload: &[u8], node: usize, at_ms: u64) -> Vec<Part> {
    let mut parts = Vec::new();
    let mut rest = payload;
    while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        let words: Vec<&str> = line.split(' ').collect();
        let length: usize = words[3].parse().expect("length");
        let wait_ms = words[2].split(',').find_map(|word| word.strip_prefix("d="));
        let wait_ms = wait_ms.and_then(|ms| ms.parse().ok()).unwrap_or(-1);
        let text = &rest[end + 1..end + 1 + length];
        let (id, shard) = (words[0].to_string(), words[1].parse().expect("shard"));
        let value = value_of(&id, text);
        parts.push(Part { node, id, shard, wait_ms, at_ms, value });
        rest = &rest[end + 1 + length..];
    }
    parts
}

/// A discovery service with a fixed list: a watch gets the whole list and then an empty line every 2 s.
pub fn start_discovery(list: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind discovery");
    let address = listener.local_addr().expect("address");
    let list = list.to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || drop(serve_discovery(stream, &list)));
        }
    });
    address
}

fn serve_discovery(mut stream: TcpStream, list: &str) -> io::Result<()> {
    let _ = stream.set_nodelay(true);
    let head = read_head(&mut stream)?;
    let path = head.split(' ').nth(1).unwrap_or("");
    if path == "/api/targets" {
        let length = list.len();
        return stream.write_all(
            format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{list}")
                .as_bytes(),
        );
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    stream.write_all(format!("{:x}\r\n{list}\n\r\n", list.len() + 1).as_bytes())?;
    loop {
        sleep_ms(2000);
        stream.write_all(b"1\r\n\n\r\n")?;
    }
}

fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// A service class of the settings.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub target_ms: u64,
    pub deadline_ms: u64,
    pub floor: f64,
}

/// The classes of the deployment `tagnyilvantartas-bp`.
pub const GYM_CLASSES: [Class; 3] = [
    Class { name: "visit-report", effect: "read_like", target_ms: 2000, deadline_ms: 5000, floor: 0.8 },
    Class { name: "member-lookup", effect: "read_like", target_ms: 1200, deadline_ms: 3000, floor: 1.0 },
    Class { name: "visit-credit", effect: "non_idempotent", target_ms: 1500, deadline_ms: 3000, floor: 1.0 },
];

/// The same classes as the bench states them on its short days (`fit` prints them), with deadlines to scale.
pub const SHORT_CLASSES: [Class; 3] = [
    Class { name: "visit-report", effect: "read_like", target_ms: 850, deadline_ms: 2120, floor: 0.8 },
    Class { name: "member-lookup", effect: "read_like", target_ms: 510, deadline_ms: 1270, floor: 1.0 },
    Class { name: "visit-credit", effect: "non_idempotent", target_ms: 640, deadline_ms: 1270, floor: 1.0 },
];

pub const SETS: usize = 2;
pub const SHARDS: usize = 8;

/// Returns the list of data nodes in discovery's form; node `i` belongs to cell `i % SETS`.
pub fn list_of(nodes: &[DataNode]) -> String {
    let members: Vec<String> = nodes
        .iter()
        .enumerate()
        .map(|(index, node)| {
            format!(
                "{{\"id\":\"s-{index}\",\"host_port\":\"{}\",\"locality\":\"a\",\"flavor\":\"std-2core\",\"cell\":{},\
                 \"phase\":\"ready\",\"size\":1.0,\"up_since_ms\":0}}",
                node.address,
                index % SETS
            )
        })
        .collect();
    format!("{{\"revision\":41,\"complete\":true,\"members\":[{}]}}", members.join(","))
}

pub struct Settings<'a> {
    pub classes: &'a [Class],
    pub sockets: usize,
}

/// Writes the configuration of a router and starts it by the command `run` of the deploy file.
pub struct Router {
    pub address: SocketAddr,
    child: Child,
    pid_file: String,
}

impl Router {
    pub fn start(settings: &Settings, discovery: SocketAddr, list: &str, folder: &str) -> Router {
        // A free port: the listener that found it is closed before the router starts.
        let listener = TcpListener::bind("127.0.0.1:0").expect("find a free port");
        let address = listener.local_addr().expect("address");
        drop(listener);
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).expect("time").as_nanos() as u64;
        let config = config_of(settings, address, discovery, list, seed);
        let path = format!("{folder}/config.json");
        std::fs::write(&path, config).expect("write the configuration");
        let log = File::create(format!("{folder}/router.log")).expect("create the router's log");
        let run = std::env::var("RUN").expect("RUN holds the command of the deploy file");
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("LB_NAME", "n0")
            .env("LB_LISTEN", address.to_string())
            .env("LB_DISCOVERY", discovery.to_string())
            .env("LB_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("start the router");
        // `run.sh` ends the process by this id if this program can't.
        let pid_file = format!("{folder}/router.pid");
        std::fs::write(&pid_file, child.id().to_string()).expect("write the process id");
        let router = Router { address, child, pid_file };
        for _ in 0..300 {
            if router.is_ready() {
                return router;
            }
            sleep_ms(100);
        }
        drop(router);
        could_not_run("the router was not ready within 30 s");
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n";
        let _ = stream.write_all(request);
        read_head(&mut stream).is_ok_and(|head| head.starts_with("HTTP/1.1 200"))
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.pid_file);
    }
}

pub fn could_not_run(reason: &str) -> ! {
    eprintln!("could not run: {reason}");
    std::process::exit(2);
}

fn config_of(
    settings: &Settings, listen: SocketAddr, discovery: SocketAddr, list: &str, seed: u64,
) -> String {
    let ns = |ms: u64| ms * 1_000_000;
    let services: Vec<String> = settings
        .classes
        .iter()
        .map(|class| {
            format!(
                "{{\"name\":\"{}\",\"idempotency\":\"{}\",\"group\":\"all\",\"streamed\":false,\"lateShare\":0.3,\
                 \"worth\":1.0,\"dedupWindowNs\":5000000000,\"targetNs\":{},\"deadlineNs\":{}}}",
                class.name,
                class.effect,
                ns(class.target_ms),
                ns(class.deadline_ms)
            )
        })
        .collect();
    let by_class = |value: &dyn Fn(&Class) -> String| {
        settings.classes.iter().map(value).collect::<Vec<String>>().join(",")
    };
    let floors = by_class(&|class| class.floor.to_string());
    let needs = by_class(&|_| "1.0".to_string());
    let worths = by_class(&|_| "0.9".to_string());
    let steps = by_class(&|_| "0".to_string());
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:016x}\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":{sockets}}},\"known\":{list},\
         \"settings\":{{\"tickNs\":5000000,\"registryMode\":\"ask\",\"zones\":[\"a\"],\"zone\":0,\"instances\":1,\
         \"slotNo\":0,\"serviceType\":\"fanout\",\"countedBy\":\"request\",\"weights\":\"rough\",\
         \"kinds\":[\"std-2core\"],\"tenants\":[],\"clients\":{{\"marksRetry\":false}},\
         \"report\":{{\"columns\":[\"active\"],\"how\":\"pull\"}},\
         \"familyInfo\":{{\"sets\":{SETS},\"shards\":{SHARDS},\"width\":1,\"bundleMax\":4,\"callNs\":5000000,\
         \"floorByClass\":[{floors}],\"needByClass\":[{needs}],\"incompleteWorth\":[{worths}],\
         \"secondStep\":[{steps}]}},\
         \"ceilings\":{{\"cancelling\":true,\"connectTimeoutNs\":250000000,\"idleCloseNs\":30000000000,\
         \"maxAttempts\":3,\"maxRetryAfterNs\":2000000000,\"maxStreams\":32,\"openCap\":400,\
         \"parallelTries\":true,\"peers\":false,\"probes\":true,\"retryAfter\":false}},\
         \"obligations\":{{\"answerSlackNs\":20000000,\"askWithinNs\":10000000000,\"budgetShare\":0.05,\
         \"freeResends\":10.0,\"extraWindowNs\":10000000000,\"coldFrom\":0.19,\"drainGraceNs\":500000000,\
         \"tipAfterNs\":3000000000,\"tipMultiple\":2.5,\"warmUpNs\":18000000000}},\
         \"services\":[{services}]}}}}",
        sockets = settings.sockets,
        services = services.join(",")
    )
}

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// A request of a usual client.
#[derive(Clone)]
pub struct Request {
    pub id: String,
    pub class: String,
    pub expires_ms: u64,
    pub shards: Vec<usize>,
    pub text: String,
}

impl Request {
    pub fn new(class: &str, expires_ms: u64, shards: &[usize]) -> Request {
        let number = NEXT_REQUEST.fetch_add(1, Ordering::SeqCst);
        let id = value_of(&format!("request {number}"), b"trace");
        let text = value_of(&format!("request {number}"), b"text");
        Request { id, class: class.to_string(), expires_ms, shards: shards.to_vec(), text }
    }

    pub fn encode(&self) -> Vec<u8> {
        let boost = 1.0 / self.shards.len() as f64;
        let segments: Vec<String> =
            self.shards.iter().map(|shard| format!("{{\"segment\":{shard},\"boost\":{boost}}}")).collect();
        let body = format!("{{\"segments\":[{}],\"text\":\"{}\"}}", segments.join(","), self.text);
        format!(
            "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {}\r\nX-Qos: {}\r\nX-Expires-In-Ms: {}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            self.class,
            self.expires_ms,
            body.len()
        )
        .into_bytes()
    }
}

/// What a client has got for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Answered {
        status: u16,
        body: String,
        after_ms: u64,
    },
    /// The connection was closed or reset without a whole answer.
    Closed {
        after_ms: u64,
    },
    /// Nothing within the time for which the client waited.
    Nothing {
        after_ms: u64,
    },
}

/// Reads one response until `wait_ms` after `sent`.
pub fn read_response(stream: &mut TcpStream, sent: Instant, wait_ms: u64) -> Outcome {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16384];
    loop {
        let elapsed = sent.elapsed().as_millis() as u64;
        if elapsed >= wait_ms {
            return Outcome::Nothing { after_ms: elapsed };
        }
        let _ = stream.set_read_timeout(Some(Duration::from_millis((wait_ms - elapsed).max(1))));
        match stream.read(&mut buffer) {
            Ok(0) => return Outcome::Closed { after_ms: sent.elapsed().as_millis() as u64 },
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                continue;
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) => return Outcome::Closed { after_ms: sent.elapsed().as_millis() as u64 },
        }
        if let Some((status, body)) = parse_response(&bytes) {
            return Outcome::Answered { status, body, after_ms: sent.elapsed().as_millis() as u64 };
        }
    }
}

fn parse_response(bytes: &[u8]) -> Option<(u16, String)> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length: usize = head
        .lines()
        .find_map(|line| {
            line.to_ascii_lowercase().strip_prefix("content-length:").map(|l| l.trim().to_string())
        })?
        .parse()
        .ok()?;
    (body.len() >= length).then(|| (status, body[..length].to_string()))
}

/// Returns the values in an answer by shard.
pub fn payloads(body: &str) -> HashMap<usize, String> {
    let mut found = HashMap::new();
    let matches = body.split_once("\"matches\"").map_or("", |(_, rest)| rest);
    for entry in matches.split('{').skip(1) {
        let entry = entry.split('}').next().unwrap_or("");
        let number = entry.split("\"segment\":").nth(1).unwrap_or("");
        let number: String = number.chars().take_while(char::is_ascii_digit).collect();
        let payload =
            entry.split("\"payload\":\"").nth(1).and_then(|rest| rest.split('"').next()).unwrap_or("");
        if let Ok(shard) = number.parse() {
            found.insert(shard, payload.to_string());
        }
    }
    found
}

/// Sends a request on a new connection and reads its answer.
pub fn ask_on_new_connection(router: SocketAddr, request: &Request, wait_ms: u64) -> io::Result<Outcome> {
    let mut stream = TcpStream::connect_timeout(&router, Duration::from_millis(800))?;
    let _ = stream.set_nodelay(true);
    stream.write_all(&request.encode())?;
    let outcome = read_response(&mut stream, Instant::now(), wait_ms);
    let _ = stream.shutdown(Shutdown::Both);
    Ok(outcome)
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let folder = std::env::var("CASE_FOLDER").unwrap_or_else(|_| could_not_run("CASE_FOLDER is not set"));
    let temporary = std::env::var("CASE_TMP").unwrap_or_else(|_| could_not_run("CASE_TMP is not set"));
    let record = Record::create(&format!("{folder}/record.txt"));
    let is_broken = match case.as_str() {
        "length" => case_length::run(&record, &temporary),
        "flood" => case_flood::run(&record, &temporary),
        "pipeline" => case_pipeline::run(&record, &temporary),
        _ => could_not_run("unknown case"),
    };
    record.line(if is_broken { "RESULT: the rule was broken" } else { "RESULT: the rule held" });
    say!("{}", if is_broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(i32::from(is_broken));
}
