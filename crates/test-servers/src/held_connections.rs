//! Clients that connect to servers and hold their connections without a complete request.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which clients with half a request replace connections.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(5);
/// The first half of a request.
const HALF_REQUEST: &[u8] = b"POST /api HTTP/1.1\r\nX-Qos: look\r\nContent-Length: 500\r\n\r\n{\"segments\"";

/// How clients hold connections.
#[derive(Clone, Copy, Debug)]
pub struct Holding {
    /// The bytes that they send at the start of each connection.
    pub sent: &'static [u8],
    /// The number of connections that they hold to each server.
    pub connections: usize,
    /// The most connections that they open to each server at a time.
    pub opened_at_once: usize,
    /// The interval between these times.
    pub interval: Duration,
}

impl Holding {
    /// Half a request is sent on this number of connections, each of which is replaced at once when it is closed.
    pub const fn half_requests(connections: usize) -> Holding {
        Holding {
            sent: HALF_REQUEST,
            connections,
            opened_at_once: connections,
            interval: REPLACEMENT_INTERVAL,
        }
    }
}

/// Connections that are held, and closed when the value is dropped.
pub struct HeldConnections {
    has_ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl HeldConnections {
    /// Opens connections to each server, and replaces those that it closes or on which it responds.
    pub fn start(servers: Vec<SocketAddr>, holding: Holding) -> HeldConnections {
        let has_ended = Arc::new(AtomicBool::new(false));
        let flag = has_ended.clone();
        let thread = std::thread::spawn(move || {
            let mut connections: Vec<Vec<TcpStream>> = servers.iter().map(|_| Vec::new()).collect();
            while !flag.load(Ordering::SeqCst) {
                for (address, open) in servers.iter().zip(&mut connections) {
                    open.retain(is_held);
                    add_connections(address, open, holding);
                }
                std::thread::sleep(holding.interval);
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

/// Returns whether the connection is open and the server has sent nothing on it.
fn is_held(stream: &TcpStream) -> bool {
    let result = stream.peek(&mut [0; 1]);
    result.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}
