//! Reading of a router's counters.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long the counters are waited for.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a counter of the router at `address`; `None` if the router does not answer in time or has no such counter.
pub fn read(address: SocketAddr, name: &str) -> Option<usize> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(b"GET /-/counters HTTP/1.1\r\nConnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value?.trim().parse().ok()
}
