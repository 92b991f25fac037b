//! Stand-ins of the second review: discovery, data nodes, clients, and a router that is started as a process by the
//! command of the deploy file. They use the standard library only and listen on loopback addresses. Each case includes
//! this file as a module.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Milliseconds since the start of the case.
pub fn now() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn sleep(milliseconds: u64) {
    thread::sleep(Duration::from_millis(milliseconds));
}

/// Opens the record of the case (first argument) and the temporary folder (second argument).
pub fn begin() {
    now();
    let mut arguments = std::env::args().skip(1);
    let record = arguments.next().expect("the path of the record");
    let folder = arguments.next().expect("a temporary folder");
    RECORD.set(Mutex::new(File::create(record).expect("a record"))).expect("begun once");
    FOLDER.set(PathBuf::from(folder)).expect("begun once");
    std::panic::set_hook(Box::new(|panic| give_up(&panic.to_string())));
    thread::spawn(|| {
        sleep(115_000);
        give_up("the case took too long");
    });
}

/// Whether the disruption is to be played; `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Writes a line with the time in milliseconds to the record.
pub fn record(line: &str) {
    let mut file = RECORD.get().expect("a record").lock().expect("the record");
    let _ = writeln!(file, "{:>6} {line}", now());
}

/// Writes the outcome to the record and to standard output, and returns the exit code.
pub fn verdict(broken: bool, line: &str) -> i32 {
    let text = if broken { "BROKEN" } else { "HELD" };
    record(&format!("verdict {text}: {line}"));
    println!("{text}: {line}");
    i32::from(broken)
}

/// Ends the case because it could not run.
pub fn give_up(line: &str) -> ! {
    record(&format!("could not run: {line}"));
    println!("COULD NOT RUN: {line}");
    finish(2);
}

pub fn path(name: &str) -> PathBuf {
    FOLDER.get().expect("a folder").join(name)
}

/// Returns a free port on loopback.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address")
}

/// Starts a listener whose connections are served on threads of their own.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

// ---------------------------------------------------------------------------------------------------- processes

/// The processes that the case has started. All of them are killed when it ends.
static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// A process of the project.
pub struct Process(usize);

impl Process {
    pub fn new(child: Child) -> Process {
        let mut started = STARTED.lock().expect("the processes");
        started.push(child);
        Process(started.len() - 1)
    }

    pub fn has_ended(&self) -> bool {
        !matches!(STARTED.lock().expect("the processes")[self.0].try_wait(), Ok(None))
    }

    pub fn kill(&self) {
        let child = &mut STARTED.lock().expect("the processes")[self.0];
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Ends all processes that the case has started, and the case.
pub fn finish(code: i32) -> ! {
    if let Ok(mut started) = STARTED.lock() {
        for child in started.iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    std::process::exit(code);
}

/// Returns the command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|_| give_up("no deploy file"));
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    line.unwrap_or_else(|| give_up("no command")).trim_end_matches('"').to_string()
}

/// Starts a router with the command of the deploy file, and waits until it is ready.
pub fn start_router(name: &str, listen: SocketAddr, discovery: SocketAddr, config: &str) -> Process {
    let file = path(&format!("{name}.json"));
    std::fs::write(&file, config).expect("a configuration");
    let log = File::create(path(&format!("{name}.log"))).expect("a log");
    let child = Command::new("/bin/sh")
        .args(["-c", &run_command()])
        .env("LB_NAME", name)
        .env("LB_LISTEN", listen.to_string())
        .env("LB_DISCOVERY", discovery.to_string())
        .env("LB_CONFIG", &file)
        .env("TMPDIR", FOLDER.get().expect("a folder"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|error| give_up(&format!("the router does not start: {error}")));
    let process = Process::new(child);
    for _ in 0..300 {
        if get(listen, "/-/ready").starts_with("HTTP/1.1 200") {
            record(&format!("router {name} ready"));
            return process;
        }
        sleep(50);
    }
    give_up("the router is not ready");
}

/// Sends a GET request on a new connection and returns the response.
pub fn get(address: SocketAddr, path: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else { return String::new() };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let _ = write!(stream, "GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text
}

// ---------------------------------------------------------------------------------------------------- discovery

#[derive(Clone, Debug)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub cell: usize,
    pub phase: &'static str,
}

pub fn member_json(member: &Member) -> String {
    let Member { id, address, cell, phase } = member;
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"z\",\"cell\":{cell},\"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":0}}"
    )
}

pub fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(member_json).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

/// The same object on several indented lines.
pub fn indented(json: &str) -> String {
    let (mut text, mut depth) = (String::new(), 0);
    for character in json.chars() {
        match character {
            '{' | '[' => {
                depth += 1;
                text.push(character);
                text.push('\n');
                text.push_str(&"  ".repeat(depth));
            }
            '}' | ']' => {
                depth -= 1;
                text.push('\n');
                text.push_str(&"  ".repeat(depth));
                text.push(character);
            }
            ',' => {
                text.push_str(",\n");
                text.push_str(&"  ".repeat(depth));
            }
            _ => text.push(character),
        }
    }
    text
}

#[derive(Default)]
struct DiscoveryState {
    revision: u64,
    members: BTreeMap<String, Member>,
    updates: Vec<(u64, Vec<Member>)>,
    /// Watches of an older number end.
    epoch: u64,
    is_indented: bool,
    /// Instead of telling the next change, open watches end.
    ends_instead: bool,
    /// Until this time calls wait for 1 s and then fail with 503.
    crowded_until: u64,
    watches: u64,
    /// The time at which the list was last written to a watch that was opened anew.
    last_watch_at: u64,
}

/// Discovery: it serves the list, and tells each change to the open watches at once.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

impl Discovery {
    pub fn start(revision: u64, members: &[Member]) -> Discovery {
        let state = DiscoveryState {
            revision,
            members: members.iter().map(|member| (member.id.clone(), member.clone())).collect(),
            ..Default::default()
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let served = shared.clone();
        let address = listen(move |stream| {
            let _ = serve_discovery(stream, &served);
        });
        Discovery { address, shared }
    }

    fn modify<T>(&self, change: impl FnOnce(&mut DiscoveryState) -> T) -> T {
        let result = change(&mut self.shared.0.lock().expect("the state"));
        self.shared.1.notify_all();
        result
    }

    /// Lists are written on several indented lines from now on.
    pub fn set_indented(&self) {
        self.modify(|state| state.is_indented = true);
    }

    /// The open watches end when the next change is published, instead of telling it.
    pub fn end_instead_of_telling(&self) {
        self.modify(|state| state.ends_instead = true);
    }

    /// Discovery has too many callers for so long: each call waits for 1 s and then fails.
    pub fn crowd(&self, milliseconds: u64) {
        record(&format!("discovery has too many callers for {milliseconds} ms"));
        self.modify(|state| state.crowded_until = now() + milliseconds);
    }

    /// Ends all open watches.
    pub fn end_watches(&self) {
        record("discovery ends all open watches");
        self.modify(|state| state.epoch += 1);
    }

    pub fn publish(&self, member: Member) {
        record(&format!("discovery has {} {}", member.id, member.phase));
        self.modify(|state| {
            state.revision += 1;
            if member.phase == "gone" {
                state.members.remove(&member.id);
            } else {
                state.members.insert(member.id.clone(), member.clone());
            }
            state.updates.push((state.revision, vec![member]));
            if std::mem::take(&mut state.ends_instead) {
                state.epoch += 1;
            }
        });
    }

    /// Returns the number of watches that were opened, and the time of the last.
    pub fn watches(&self) -> (u64, u64) {
        self.modify(|state| (state.watches, state.last_watch_at))
    }
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

fn serve_discovery(mut stream: TcpStream, shared: &(Mutex<DiscoveryState>, Condvar)) -> std::io::Result<()> {
    let Some(head) = read_head(&mut stream) else { return Ok(()) };
    let target = head.split(' ').nth(1).unwrap_or("").to_string();
    if now() < shared.0.lock().expect("the state").crowded_until {
        sleep(1000);
        if now() < shared.0.lock().expect("the state").crowded_until {
            record("discovery lets a call fail that has waited too long");
            return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
    }
    let (mut revision, epoch, list) = {
        let mut state = shared.0.lock().expect("the state");
        if target.contains("watch=1") {
            state.watches += 1;
            state.last_watch_at = now();
        }
        let members: Vec<Member> = state.members.values().cloned().collect();
        let list = list_json(state.revision, true, &members);
        let list = if state.is_indented { indented(&list) } else { list };
        (state.revision, state.epoch, list)
    };
    if !target.contains("watch=1") {
        return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    }
    record(&format!("discovery writes revision {revision} to a new watch"));
    stream.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
    )?;
    write_chunk(&mut stream, &format!("{list}\n"))?;
    loop {
        let update = {
            let state = shared.0.lock().expect("the state");
            let is_due = |state: &mut DiscoveryState| state.epoch == epoch && state.revision == revision;
            let wait = Duration::from_secs(2);
            let (state, _) = shared.1.wait_timeout_while(state, wait, is_due).expect("the state");
            if state.epoch != epoch {
                return Ok(());
            }
            let next = state.updates.iter().find(|(number, _)| *number > revision);
            next.map(|(number, members)| (*number, list_json(*number, false, members), state.is_indented))
        };
        match update {
            None => write_chunk(&mut stream, "\n")?,
            Some((number, list, is_indented)) => {
                revision = number;
                let list = if is_indented { indented(&list) } else { list };
                record(&format!("discovery writes revision {revision} to a watch"));
                write_chunk(&mut stream, &format!("{list}\n"))?;
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------------- data nodes

/// The value that a data node makes for a part. It ends in `@` and the node.
pub fn value_of(text: &str, shard: &str, node: &str) -> String {
    let sum = text.bytes().fold(7u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(u32::from(byte)));
    format!("{text}-{shard}-{sum:08x}@{node}")
}

/// A data node: it answers each part after `work_ms`.
#[derive(Clone)]
pub struct Node {
    pub id: String,
    pub address: SocketAddr,
    pub cell: usize,
    /// When and which parts arrived.
    pub parts: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Node {
    pub fn start(id: &str, cell: usize, work_ms: u64) -> Node {
        let parts: Arc<Mutex<Vec<(u64, String)>>> = Arc::default();
        let (seen, name) = (parts.clone(), id.to_string());
        let address = listen(move |stream| {
            let _ = serve_node(stream, &name, work_ms, &seen);
        });
        Node { id: id.to_string(), address, cell, parts }
    }

    pub fn member(&self, phase: &'static str) -> Member {
        Member { id: self.id.clone(), address: self.address, cell: self.cell, phase }
    }

    pub fn count_after(&self, time: u64) -> usize {
        self.parts.lock().expect("the parts").iter().filter(|(at, _)| *at > time).count()
    }
}

fn write_frame(stream: &Mutex<TcpStream>, kind: u8, payload: &[u8]) -> std::io::Result<()> {
    let mut frame = ((payload.len() + 1) as u32).to_be_bytes().to_vec();
    frame.push(kind);
    frame.extend_from_slice(payload);
    stream.lock().expect("the stream").write_all(&frame)
}

fn serve_node(
    mut stream: TcpStream, name: &str, work_ms: u64, parts: &Mutex<Vec<(u64, String)>>,
) -> std::io::Result<()> {
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let mut payload = vec![0; length - 1];
        stream.read_exact(&mut payload)?;
        match head[4] {
            b'G' => write_frame(&writer, b'G', b"OK")?,
            b'T' => write_frame(&writer, b'T', b"-")?,
            b'R' => {
                let mut rest = &payload[..];
                while !rest.is_empty() {
                    let end = rest.iter().position(|&byte| byte == b'\n').unwrap_or(rest.len() - 1);
                    let line = String::from_utf8_lossy(&rest[..end]).to_string();
                    let fields: Vec<&str> = line.split(' ').collect();
                    let (id, shard) = (fields[0].to_string(), fields[1].to_string());
                    let size: usize = fields[3].parse().unwrap_or(0);
                    let text = String::from_utf8_lossy(&rest[end + 1..end + 1 + size]).to_string();
                    rest = &rest[end + 1 + size..];
                    parts.lock().expect("the parts").push((now(), id.clone()));
                    record(&format!("node {name} got {id}"));
                    let (writer, name) = (writer.clone(), name.to_string());
                    thread::spawn(move || {
                        sleep(work_ms);
                        let answer = format!("{id} OK 1 -\n{}", value_of(&text, &shard, &name));
                        let _ = write_frame(&writer, b'Y', answer.as_bytes());
                    });
                }
            }
            _ => {}
        }
    }
}

// ---------------------------------------------------------------------------------------------------- clients

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// What a client got for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The status and the body.
    Whole(u16, String),
    /// The connection ended before a whole answer.
    Ended,
    /// Nothing came in time.
    Nothing,
}

/// Returns an id that no other request has.
pub fn new_id() -> String {
    format!("{:016x}", (u64::from(std::process::id()) << 32) + NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Returns a query for these shards as an HTTP request.
pub fn request(id: &str, class: &str, expires_ms: u64, shards: &[usize], text: &str) -> Vec<u8> {
    let weight = 1.0 / shards.len() as f64;
    let segments: Vec<String> =
        shards.iter().map(|shard| format!("{{\"segment\":{shard},\"boost\":{weight}}}")).collect();
    let body = format!("{{\"segments\":[{}],\"text\":\"{text}\"}}", segments.join(","));
    format!(
        "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Expires-In-Ms: {expires_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Reads one answer until `deadline` (milliseconds of the case).
pub fn read_answer(stream: &mut TcpStream, deadline: u64) -> Answer {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let left = deadline.saturating_sub(now());
        if left == 0 {
            return Answer::Nothing;
        }
        let _ = stream.set_read_timeout(Some(Duration::from_millis(left)));
        match stream.read(&mut buffer) {
            Ok(0) => return Answer::Ended,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
            {
                continue;
            }
            Err(_) => return Answer::Ended,
        }
        let text = String::from_utf8_lossy(&bytes).to_string();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
        });
        if body.len() >= length.unwrap_or(0) {
            let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
            return Answer::Whole(status, body.to_string());
        }
    }
}

/// Clients that stop in the middle of a request and stay: each sends half a request on a connection of its own, waits for
/// the router's answer or the end of the connection, and begins anew.
pub fn half_requests(router: SocketAddr, clients: usize, class: &str, stop: &AtomicBool) {
    let mut streams: Vec<Option<TcpStream>> = (0..clients).map(|_| None).collect();
    let (mut opened, mut answered) = (0, 0);
    while !stop.load(Ordering::Relaxed) {
        for slot in &mut streams {
            if let Some(stream) = slot {
                match stream.read(&mut [0; 1024]) {
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
                    Ok(count) if count > 0 => answered += 1,
                    _ => {}
                }
                *slot = None;
            }
            let Ok(mut stream) = TcpStream::connect(router) else { continue };
            let whole = request(&new_id(), class, 2500, &[1, 2], "half");
            if stream.write_all(&whole[..whole.len() / 2]).is_ok() && stream.set_nonblocking(true).is_ok() {
                opened += 1;
                *slot = Some(stream);
            }
        }
        sleep(5);
    }
    record(&format!("bad clients: {opened} half requests, {answered} answered with an error"));
}

/// Clients that send hundreds of requests at once on connections of their own, and the same again as they are turned away:
/// queries of a class that doesn't exist. They read whatever they are sent, and begin anew when a connection ends.
pub fn flood_of_requests(router: SocketAddr, clients: usize, at_once: usize, stop: &AtomicBool) {
    struct Flooder {
        stream: TcpStream,
        unsent: Vec<u8>,
        /// Bytes of the last answer that were read, if it was not whole.
        read: Vec<u8>,
    }
    let query = request("0000000000000bad", "no-such-class", 2500, &[1, 2], "bad");
    let mut flooders: Vec<Option<Flooder>> = (0..clients).map(|_| None).collect();
    let (mut opened, mut answers, mut buffer) = (0, 0, vec![0; 65_536]);
    while !stop.load(Ordering::Relaxed) {
        for slot in &mut flooders {
            let Some(flooder) = slot else {
                let Ok(stream) = TcpStream::connect(router) else { continue };
                let _ = stream.set_nonblocking(true);
                opened += 1;
                *slot = Some(Flooder { stream, unsent: query.repeat(at_once), read: Vec::new() });
                continue;
            };
            let has_ended = match flooder.stream.read(&mut buffer) {
                Ok(0) => true,
                Ok(count) => {
                    flooder.read.extend_from_slice(&buffer[..count]);
                    let text = String::from_utf8_lossy(&flooder.read).to_string();
                    let count = text.matches("HTTP/1.1 ").count();
                    let last = text.rfind("HTTP/1.1 ").unwrap_or(0);
                    // The last one may not be whole; it is counted with the next bytes.
                    flooder.read = text.as_bytes()[last..].to_vec();
                    let whole = count.saturating_sub(1);
                    answers += whole;
                    flooder.unsent.extend(query.repeat(whole));
                    false
                }
                Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
            };
            let sent = flooder.stream.write(&flooder.unsent);
            match sent {
                Ok(count) => drop(flooder.unsent.drain(..count)),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => *slot = None,
            }
            if has_ended {
                *slot = None;
            }
        }
        sleep(2);
    }
    record(&format!("bad clients: {opened} connections, {answers} requests answered with an error"));
}

/// Whether an answer holds a value that one of these data nodes made.
pub fn is_made_by(answer: &Answer, nodes: &[Node]) -> bool {
    let Answer::Whole(200, body) = answer else { return false };
    nodes.iter().any(|node| body.contains(&format!("@{}\"", node.id)))
}

/// Closes a connection.
pub fn close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

// ---------------------------------------------------------------------------------------------------- settings

/// The figures of the configuration that a case chooses.
pub struct Figures {
    pub registry: &'static str,
    pub sockets: usize,
    pub memory_mb: usize,
    pub cells: usize,
    pub shards: usize,
}

/// Returns a configuration like that of a small deployment of the first brief.
pub fn config(listen: SocketAddr, discovery: SocketAddr, known: &[Member], figures: &Figures) -> String {
    let Figures { registry, sockets, memory_mb, cells, shards } = figures;
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{known},
"settings":{{"tickNs":5000000,"registryMode":"{registry}","zones":["z"],"zone":0,"instances":3,"slotNo":0,
"serviceType":"fanout","countedBy":"request","clients":{{"marksRetry":false}},
"report":{{"how":"silent","columns":[]}},
"familyInfo":{{"sets":{cells},"shards":{shards},"width":1,"bundleMax":4,"callNs":0,
"floorByClass":[1.0,1.0],"needByClass":[1.0,1.0],"incompleteWorth":[0.9,0.9],"secondStep":[0,0]}},
"ceilings":{{"cancelling":true,"connectTimeoutNs":250000000,"idleCloseNs":30000000000,"maxAttempts":3,
"maxRetryAfterNs":2000000000,"maxStreams":32,"openCap":200,"parallelTries":true,"peers":false,"probes":true,"retryAfter":false}},
"obligations":{{"answerSlackNs":20000000,"askWithinNs":10000000000,"budgetShare":0.05,"freeResends":10.0,"extraWindowNs":10000000000,
"coldFrom":0.19,"drainGraceNs":500000000,"tipAfterNs":3000000000,"tipMultiple":2.5,"warmUpNs":18000000000}},
"services":[
{{"name":"member-lookup","idempotency":"read_like","targetNs":1200000000,"deadlineNs":3000000000,"lateShare":0.1,"worth":1.0}},
{{"name":"visit-credit","idempotency":"non_idempotent","targetNs":1500000000,"deadlineNs":3000000000,"lateShare":0.3,"worth":2.0}}]}}}}"#,
        known = list_json(1, true, known)
    )
}
