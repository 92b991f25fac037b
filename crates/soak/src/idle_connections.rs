//! Clients that connect to the routers and send nothing, as many as each router has file descriptors.

use crate::clock::sleep_ms;
use crate::config::MAX_DESCRIPTORS;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval at which a connection to each router is added.
const CONNECT_INTERVAL_MS: u64 = 20;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Idle connections to all routers, which are closed when the value is dropped.
pub struct IdleConnections {
    has_ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl IdleConnections {
    /// Opens as many idle connections to each router as it may have descriptors, and replaces those that it closes.
    pub fn start(routers: Vec<SocketAddr>) -> IdleConnections {
        let has_ended = Arc::new(AtomicBool::new(false));
        let flag = has_ended.clone();
        let thread = std::thread::spawn(move || {
            let mut connections: Vec<Vec<TcpStream>> = routers.iter().map(|_| Vec::new()).collect();
            while !flag.load(Ordering::SeqCst) {
                for (address, open) in routers.iter().zip(&mut connections) {
                    open.retain(is_open);
                    add_connection(address, open);
                }
                sleep_ms(CONNECT_INTERVAL_MS);
            }
        });
        IdleConnections { has_ended, thread: Some(thread) }
    }
}

impl Drop for IdleConnections {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn add_connection(address: &SocketAddr, open: &mut Vec<TcpStream>) {
    if open.len() >= MAX_DESCRIPTORS {
        return;
    }
    if let Ok(stream) = TcpStream::connect_timeout(address, CONNECT_TIMEOUT)
        && stream.set_nonblocking(true).is_ok()
    {
        open.push(stream);
    }
}

/// Returns whether the connection is open and the router has sent nothing on it.
fn is_open(stream: &TcpStream) -> bool {
    let result = stream.peek(&mut [0; 1]);
    result.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}
