//! A TCP proxy in front of a data node, which can stall, delay or reset connections.

use crate::clock::sleep_ms;
use crate::node::reset;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How a proxy forwards bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Forwarding {
    /// Bytes are forwarded at once.
    Open,
    /// No bytes are forwarded, and no connection is closed.
    Silent,
    /// New connections are forwarded only after a delay.
    Late,
}

/// Interval at which a forwarding thread checks whether its connection is to be stalled or reset.
const POLL_INTERVAL_MS: u64 = 5;
/// Delay of new connections under [`Forwarding::Late`].
const LATE_CONNECT_DELAY_MS: u64 = 900;

struct Shared {
    node: Mutex<SocketAddr>,
    forwarding: AtomicU8,
    /// Number of calls of [`Proxy::reset_all`].
    resets: AtomicU64,
}

/// A proxy. Clones share its state.
#[derive(Clone)]
pub struct Proxy {
    /// Address at which the proxy listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Starts a proxy of the node at this address.
    pub fn start(node: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port on loopback");
        let address = listener.local_addr().expect("the address is valid");
        let shared = Arc::new(Shared {
            node: Mutex::new(node),
            forwarding: AtomicU8::new(Forwarding::Open as u8),
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

    /// Changes the address to which new connections are forwarded.
    pub fn set_node(&self, node: SocketAddr) {
        *self.shared.node.lock().expect("the mutex is not poisoned") = node;
    }

    /// Changes how bytes are forwarded.
    pub fn set_forwarding(&self, forwarding: Forwarding) {
        self.shared.forwarding.store(forwarding as u8, Ordering::SeqCst);
    }

    /// Resets all open connections.
    pub fn reset_all(&self) {
        self.shared.resets.fetch_add(1, Ordering::SeqCst);
    }
}

impl Shared {
    fn has_forwarding(&self, forwarding: Forwarding) -> bool {
        self.forwarding.load(Ordering::SeqCst) == forwarding as u8
    }
}

fn forward_both(router: TcpStream, shared: &Arc<Shared>) {
    if shared.has_forwarding(Forwarding::Late) {
        sleep_ms(LATE_CONNECT_DELAY_MS);
    }
    let address = *shared.node.lock().expect("the mutex is not poisoned");
    let Ok(node) = TcpStream::connect(address) else { return reset(&router) };
    let _ = (router.set_nodelay(true), node.set_nodelay(true));
    let (Ok(router_end), Ok(node_end)) = (router.try_clone(), node.try_clone()) else { return };
    let resets = shared.resets.load(Ordering::SeqCst);
    let other = shared.clone();
    std::thread::spawn(move || forward(node_end, router_end, &other, resets));
    forward(router, node, shared, resets);
}

/// Forwards bytes in one direction until one end closes the connection or [`Proxy::reset_all`] is called.
fn forward(mut from: TcpStream, mut to: TcpStream, shared: &Shared, resets: u64) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(POLL_INTERVAL_MS)));
    let mut buffer = [0; 16 * 1024];
    loop {
        if shared.resets.load(Ordering::SeqCst) != resets {
            reset(&from);
            return reset(&to);
        }
        if shared.has_forwarding(Forwarding::Silent) {
            sleep_ms(POLL_INTERVAL_MS);
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
