//! Clients that stop in the middle of a request and stay.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval at which connections are replaced.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(2);

/// Connections with half a request, each of which is replaced when the router answers or closes it.
pub struct HalfRequests {
    has_ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl HalfRequests {
    /// Opens `count` connections to this address.
    pub fn start(address: &str, count: usize) -> HalfRequests {
        let has_ended = Arc::new(AtomicBool::new(false));
        let (flag, address) = (has_ended.clone(), address.to_string());
        let thread = std::thread::spawn(move || {
            let mut open: Vec<TcpStream> = Vec::new();
            while !flag.load(Ordering::SeqCst) {
                open.retain(is_held);
                while open.len() < count
                    && let Some(stream) = send_half_request(&address)
                {
                    open.push(stream);
                }
                std::thread::sleep(REPLACEMENT_INTERVAL);
            }
        });
        HalfRequests { has_ended, thread: Some(thread) }
    }
}

impl Drop for HalfRequests {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn send_half_request(address: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_nonblocking(true).ok()?;
    stream.write_all(b"POST /api HTTP/1.1\r\nX-Qos: lo").ok()?;
    Some(stream)
}

/// Returns whether the connection is open and the router has sent nothing on it.
fn is_held(stream: &TcpStream) -> bool {
    stream.peek(&mut [0; 1]).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}
