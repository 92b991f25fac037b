//! Clients that connect to routers and hold their connections without a complete request.

use crate::clock::sleep_ms;
use crate::config::MAX_DESCRIPTORS;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The half of a request.
const HALF_REQUEST: &[u8] = b"POST /api HTTP/1.1\r\nX-Qos: look\r\nContent-Length: 500\r\n\r\n{\"segments\"";

/// What clients do with the connections that they hold.
#[derive(Clone, Copy, Debug)]
pub struct Holding {
    /// What they send at the start of each connection.
    sent: &'static [u8],
    /// How many connections they hold to each router.
    connections: usize,
    /// How many of them they open to each router at a time.
    opened_at_once: usize,
    /// The interval between these times.
    interval_ms: u64,
}

impl Holding {
    /// Nothing is sent, on as many connections as a router has descriptors.
    pub const SILENT: Holding =
        Holding { sent: b"", connections: MAX_DESCRIPTORS, opened_at_once: 1, interval_ms: 20 };
    /// Half a request is sent, on more connections than a router has descriptors. Closed ones are replaced at once.
    pub const HALF_REQUESTS: Holding = Holding {
        sent: HALF_REQUEST,
        connections: MAX_DESCRIPTORS * 3 / 2,
        opened_at_once: MAX_DESCRIPTORS * 3 / 2,
        interval_ms: 5,
    };
}

/// Connections that are held, and closed when the value is dropped.
pub struct HeldConnections {
    has_ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl HeldConnections {
    /// Opens connections to each router, and replaces those that it closes or on which it responds.
    pub fn start(routers: Vec<SocketAddr>, holding: Holding) -> HeldConnections {
        let has_ended = Arc::new(AtomicBool::new(false));
        let flag = has_ended.clone();
        let thread = std::thread::spawn(move || {
            let mut connections: Vec<Vec<TcpStream>> = routers.iter().map(|_| Vec::new()).collect();
            while !flag.load(Ordering::SeqCst) {
                for (address, open) in routers.iter().zip(&mut connections) {
                    open.retain(is_held);
                    add_connections(address, open, holding);
                }
                sleep_ms(holding.interval_ms);
            }
        });
        HeldConnections { has_ended, thread: Some(thread) }
    }
}

impl Drop for HeldConnections {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn add_connections(address: &SocketAddr, open: &mut Vec<TcpStream>, holding: Holding) {
    let missing = holding.connections.saturating_sub(open.len());
    for _ in 0..missing.min(holding.opened_at_once) {
        let Ok(mut stream) = TcpStream::connect_timeout(address, CONNECT_TIMEOUT) else { return };
        if stream.set_nonblocking(true).is_ok() && stream.write_all(holding.sent).is_ok() {
            open.push(stream);
        }
    }
}

/// Returns whether the connection is open and the router has sent nothing on it.
fn is_held(stream: &TcpStream) -> bool {
    let result = stream.peek(&mut [0; 1]);
    result.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}
