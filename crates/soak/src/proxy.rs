//! A proxy in front of a data node: forwards bytes, or falls silent, or resets, as the run says.

use crate::clock::sleep_ms;
use crate::node::reset;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a proxy does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Path {
    /// Bytes are forwarded.
    Open,
    /// Nothing is forwarded, and nothing is closed.
    Silent,
    /// New connections come up late.
    Late,
}

const STEP_MS: u64 = 5;
const LATE_MS: u64 = 900;

struct Shared {
    node: Mutex<SocketAddr>,
    path: AtomicU8,
    resets: AtomicU64,
}

/// A proxy with an address of its own.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Listens in front of a node.
    pub fn start(node: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            node: Mutex::new(node),
            path: AtomicU8::new(Path::Open as u8),
            resets: AtomicU64::new(0),
        });
        let served = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = served.clone();
                std::thread::spawn(move || forward_both(stream, &shared));
            }
        });
        Proxy { address, shared }
    }

    /// Leads to another process from now on.
    pub fn set_node(&self, node: SocketAddr) {
        *self.shared.node.lock().expect("a lock") = node;
    }

    /// Changes what is done with connections.
    pub fn set_path(&self, path: Path) {
        self.shared.path.store(path as u8, Ordering::SeqCst);
    }

    /// Resets all connections.
    pub fn reset_all(&self) {
        self.shared.resets.fetch_add(1, Ordering::SeqCst);
    }
}

impl Shared {
    fn is(&self, path: Path) -> bool {
        self.path.load(Ordering::SeqCst) == path as u8
    }
}

fn forward_both(router: TcpStream, shared: &Arc<Shared>) {
    if shared.is(Path::Late) {
        sleep_ms(LATE_MS);
    }
    let address = *shared.node.lock().expect("a lock");
    let Ok(node) = TcpStream::connect(address) else { return reset(&router) };
    let _ = (router.set_nodelay(true), node.set_nodelay(true));
    let (Ok(router_end), Ok(node_end)) = (router.try_clone(), node.try_clone()) else { return };
    let resets = shared.resets.load(Ordering::SeqCst);
    let other = shared.clone();
    std::thread::spawn(move || forward(node_end, router_end, &other, resets));
    forward(router, node, shared, resets);
}

/// Forwards in one direction until an end closes or a reset is ordered.
fn forward(mut from: TcpStream, mut to: TcpStream, shared: &Shared, resets: u64) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(STEP_MS)));
    let mut buffer = [0; 16 * 1024];
    loop {
        if shared.resets.load(Ordering::SeqCst) != resets {
            reset(&from);
            return reset(&to);
        }
        if shared.is(Path::Silent) {
            sleep_ms(STEP_MS);
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) if to.write_all(&buffer[..count]).is_ok() => {}
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Ok(_) | Err(_) => break,
        }
    }
    let _ = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
}
