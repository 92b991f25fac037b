//! The `node` command: a process that serves as a data node. Each line on standard input is the number of the behaviour
//! to switch to.

use crate::clock::{now, sleep_ms};
use crate::config::MEAN_SERVICE_TIME_MS;
use crate::record::Record;
use crate::response::{ResponseForm, frame, value_of};
use crate::stall;
use argh::FromArgs;
use std::collections::HashSet;
use std::io::{BufRead, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// Serve shard requests as a data node.
#[derive(FromArgs)]
#[argh(subcommand, name = "node")]
pub struct Node {
    /// the node's index
    #[argh(option)]
    index: usize,
    /// percentage of the responses that are cut off or followed by surplus bytes; default 0
    #[argh(option, default = "0")]
    altered_percent: u32,
    /// whether shard requests are not recorded
    #[argh(switch)]
    quiet: bool,
}

/// How a data node handles shard requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Behaviour {
    /// Executes each shard request and responds.
    Serve,
    /// Rejects each shard request without executing it.
    Reject,
    /// Executes and never responds.
    Hang,
    /// Executes and resets the connection instead of responding.
    Reset,
    /// Sends part of a response and nothing after it.
    HalfAnswer,
    /// Responds with bytes that are not a valid response.
    Noise,
    /// Responds after a long time.
    Slow,
    /// Responds with an error.
    Fail,
    /// Responds and then closes the connection.
    CloseIdle,
}

/// All behaviours in the order of their numbers on standard input.
pub const BEHAVIOURS: [Behaviour; 9] = [
    Behaviour::Serve,
    Behaviour::Reject,
    Behaviour::Hang,
    Behaviour::Reset,
    Behaviour::HalfAnswer,
    Behaviour::Noise,
    Behaviour::Slow,
    Behaviour::Fail,
    Behaviour::CloseIdle,
];

/// Service time of a slow node.
const SLOW_SERVICE_TIME_MS: u64 = 600;

struct Shared {
    index: usize,
    altered_percent: u32,
    is_quiet: bool,
    behaviour: AtomicU8,
}

impl Shared {
    fn behaviour(&self) -> Behaviour {
        BEHAVIOURS[self.behaviour.load(Ordering::SeqCst) as usize]
    }
}

/// A connection from a router.
struct Connection {
    output: Mutex<Output>,
    cancelled: Mutex<HashSet<String>>,
}

/// The writing side of a connection. A mutex is held while a response is written, so that long responses do not mix.
struct Output {
    stream: TcpStream,
    /// Whether a response was cut off, after which the node sends nothing more.
    is_cut_off: bool,
}

impl Connection {
    fn new(stream: TcpStream) -> Connection {
        let output = Output { stream, is_cut_off: false };
        Connection { output: Mutex::new(output), cancelled: Mutex::default() }
    }

    fn output(&self) -> MutexGuard<'_, Output> {
        self.output.lock().expect("the mutex is not poisoned")
    }

    /// Sends bytes, unless a response was cut off.
    fn send(&self, bytes: &[u8]) {
        let mut output = self.output();
        if !output.is_cut_off {
            let _ = output.stream.write_all(bytes);
        }
    }

    /// Sends a response in this form, and records it unless it is valid.
    fn respond(&self, node: usize, id: &str, value: &str, form: ResponseForm) {
        if form != ResponseForm::Valid {
            Record::Responded { at: now(), node, id: id.to_string(), form }.print();
        }
        let mut output = self.output();
        if !output.is_cut_off {
            let _ = output.stream.write_all(&form.encode(id, value));
            output.is_cut_off = form.is_cut_off();
        }
    }
}

impl Node {
    /// Serves until standard input ends.
    pub fn run(self) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port on loopback");
        let address = listener.local_addr().expect("the address is valid").to_string();
        Record::Ready { address }.print();
        stall::watch_and_print(Some(self.index));
        let Node { index, altered_percent, quiet: is_quiet } = self;
        let shared = Arc::new(Shared { index, altered_percent, is_quiet, behaviour: AtomicU8::new(0) });
        let served = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = served.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if let Ok(number) = line.trim().parse() {
                shared.behaviour.store(number, Ordering::SeqCst);
            }
        }
    }
}

/// Reads frames until the router closes the connection.
fn serve(mut stream: TcpStream, shared: &Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let Ok(writer) = stream.try_clone() else { return };
    let connection = Arc::new(Connection::new(writer));
    let mut header = [0; 5];
    while stream.read_exact(&mut header).is_ok() {
        let length = u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let mut payload = vec![0; length.saturating_sub(1)];
        if stream.read_exact(&mut payload).is_err() {
            return;
        }
        let text = String::from_utf8_lossy(&payload).into_owned();
        match header[4] {
            b'R' => receive_batch(&text, &connection, shared),
            b'A' => {
                connection.cancelled.lock().expect("the mutex is not poisoned").insert(text);
            }
            b'G' => connection.send(&frame(b'G', "OK")),
            b'T' => connection.send(&frame(b'T', "-")),
            _ => return,
        }
    }
}

/// Reports each shard request of a batch and executes it on a separate thread.
fn receive_batch(batch: &str, connection: &Arc<Connection>, shared: &Arc<Shared>) {
    let at = now();
    let behaviour = shared.behaviour();
    let mut rest = batch;
    while let Some((line, tail)) = rest.split_once('\n') {
        let fields: Vec<&str> = line.split(' ').collect();
        let wait_ms = fields[2].strip_prefix("d=").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let (query, next) =
            tail.split_at(fields[3].parse().expect("the header states the length of the query"));
        let id = fields[0].to_string();
        let is_executed = behaviour != Behaviour::Reject;
        if !shared.is_quiet {
            Record::Received { at, node: shared.index, id: id.clone(), wait_ms, is_executed }.print();
        }
        let value = value_of(fields[1], query);
        let (connection, shared) = (connection.clone(), shared.clone());
        std::thread::spawn(move || respond(&connection, &shared, behaviour, &id, &value));
        rest = next;
    }
}

/// Executes a shard request and responds as `behaviour` says, unless it was cancelled in the meantime.
fn respond(connection: &Connection, shared: &Shared, behaviour: Behaviour, id: &str, value: &str) {
    let Shared { index: node, altered_percent, .. } = *shared;
    let service_time = match behaviour {
        Behaviour::Reject => 0,
        Behaviour::Slow => SLOW_SERVICE_TIME_MS,
        _ => fastrand::u64(MEAN_SERVICE_TIME_MS / 2..=MEAN_SERVICE_TIME_MS * 3 / 2),
    };
    sleep_ms(service_time);
    let is_cancelled = connection.cancelled.lock().expect("the mutex is not poisoned").remove(id);
    if is_cancelled {
        return;
    }
    match behaviour {
        Behaviour::Serve | Behaviour::Slow => {
            connection.respond(node, id, value, ResponseForm::draw(altered_percent))
        }
        Behaviour::Reject => connection.send(&frame(b'Y', &format!("{id} REJECTED 0 -\n"))),
        Behaviour::Fail => connection.send(&frame(b'Y', &format!("{id} ERROR 0 -\n"))),
        Behaviour::Hang => {}
        Behaviour::Reset => reset(&connection.output().stream),
        Behaviour::HalfAnswer => connection.send(&[0, 0, 0, 40, b'Y', b't']),
        Behaviour::Noise => connection.send(b"\x00\x00\x00\x05noise"),
        Behaviour::CloseIdle => {
            connection.respond(node, id, value, ResponseForm::Valid);
            let _ = connection.output().stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Closes a connection with a reset.
pub fn reset(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(std::time::Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Both);
}
