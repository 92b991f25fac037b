//! A client of the router.

use super::MAX_WAIT;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// How long a client tries to send what the router may not read.
const MAX_FLOOD_WAIT: Duration = Duration::from_secs(3);

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects to a router.
    pub fn connect(address: &str) -> Client {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(MAX_WAIT)).expect("a timeout");
        stream.set_write_timeout(Some(MAX_WAIT)).expect("a timeout");
        Client(BufReader::new(stream))
    }

    /// Sends bytes, all of which the router must take.
    pub fn send(&mut self, bytes: &str) {
        self.0.get_mut().write_all(bytes.as_bytes()).expect("the router reads");
    }

    /// Sends as much of these bytes as the router takes.
    pub fn flood(&mut self, bytes: &[u8]) {
        self.0.get_mut().set_write_timeout(Some(MAX_FLOOD_WAIT)).expect("a timeout");
        let _ = self.0.get_mut().write_all(bytes);
    }

    /// Sends a query for shard 0.
    pub fn send_query(&mut self, class: &str, id: &str, deadline: Duration) {
        self.send(&query(class, id, deadline));
    }

    /// The status line and the body of the next response.
    pub fn read_response(&mut self) -> (String, String) {
        let (mut status, mut length) = (String::new(), 0);
        self.0.read_line(&mut status).expect("a response");
        let status = status.strip_suffix("\r\n").expect("a complete status line");
        loop {
            let mut line = String::new();
            assert!(self.0.read_line(&mut line).expect("a head") > 0, "the head of {status:?} ends early");
            if let Some(value) = line.strip_prefix("Content-Length: ") {
                length = value.trim().parse().expect("a length");
            }
            if line == "\r\n" {
                break;
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).expect("a body");
        (status.to_string(), String::from_utf8(body).expect("text"))
    }

    /// Whether something has come that was not read.
    pub fn has_response(&self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).expect("a mode");
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).expect("a mode");
        peeked.is_ok()
    }

    /// All that comes until the router closes, which it must do without a reset.
    pub fn read_to_end(&mut self) -> String {
        let mut rest = String::new();
        self.0.read_to_string(&mut rest).expect("a clean close");
        rest
    }
}

/// The bytes of a query for shard 0.
pub fn query(class: &str, id: &str, deadline: Duration) -> String {
    let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"q"}"#;
    let (length, deadline_ms) = (body.len(), deadline.as_millis());
    format!(
        "POST /api HTTP/1.1\r\nX-Qos: {class}\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: {deadline_ms}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
