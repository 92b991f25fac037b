//! Tests of the control plane as a process with few file descriptors.

use crate::rig::{LONG_DEADLINE, ScriptedDiscovery, config, config_path};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Clients that connect and say nothing, more than the process may have descriptors.
const SILENT_CLIENTS: usize = 80;
/// The limit of the process.
const DESCRIPTORS: usize = 64;
/// The time after which a change counts as delivered if discovery could be reached.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(6);

/// A control plane, which is killed on drop.
struct ControlPlane {
    child: Child,
    address: String,
}

impl ControlPlane {
    /// Starts a control plane that may have [`DESCRIPTORS`] file descriptors.
    fn start(test_name: &str, discovery: &ScriptedDiscovery) -> ControlPlane {
        let path = config_path(test_name);
        let operator_path = path.with_extension("ini");
        std::fs::write(&path, config(discovery.address(), LONG_DEADLINE).to_string()).expect("a file");
        std::fs::write(&operator_path, "[control]\nlisten = 127.0.0.1:0\n").expect("a file");
        let script =
            format!("ulimit -n {DESCRIPTORS}; exec \"$0\" control --config \"$1\" --operator \"$2\"");
        let mut child = Command::new("/bin/sh")
            .args(["-c", &script, env!("CARGO_BIN_EXE_query-router")])
            .args([&path, &operator_path])
            .stderr(Stdio::piped())
            .spawn()
            .expect("the control plane can be started");
        let mut log = BufReader::new(child.stderr.take().expect("a pipe for standard error"));
        let mut line = String::new();
        log.read_line(&mut line).expect("a log line in UTF-8");
        let (_, address) = line.trim().rsplit_once(" address=").expect("an address in the log line");
        let address = address.to_string();
        // The log is read to its end, so that the process can always write to it.
        std::thread::spawn(move || log.lines().map_while(Result::ok).for_each(drop));
        let _ = (std::fs::remove_file(path), std::fs::remove_file(operator_path));
        ControlPlane { child, address }
    }

    /// Requests the metrics on a new connection, and returns the response and the time that it took.
    fn metrics(&self) -> (String, Duration) {
        let started = Instant::now();
        let mut stream = TcpStream::connect(&self.address).expect("a connection");
        stream.set_read_timeout(Some(DELIVERY_TIMEOUT)).expect("a timeout");
        let request = b"GET /-/counters HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n";
        stream.write_all(request).expect("the request is sent");
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        (text, started.elapsed())
    }
}

impl Drop for ControlPlane {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Guards against clients that say nothing and hold all descriptors of a control plane: a watch that was reset was not
/// asked for again within 20 s ("Too many open files"), and nobody else was answered.
#[test]
fn silent_clients_keep_a_control_plane_neither_from_discovery_nor_from_other_clients() {
    let discovery = ScriptedDiscovery::new();
    let server = ControlPlane::start("silent-clients", &discovery);
    let (_, mut watch) = discovery.accept_request();
    watch.send_watch_head();
    let connect = |_| TcpStream::connect(&server.address).expect("a connection");
    let silent: Vec<TcpStream> = (0..SILENT_CLIENTS).map(connect).collect();
    std::thread::sleep(Duration::from_millis(500));
    drop(watch);
    let reset_at = Instant::now();
    let (request, _watch) = discovery.accept_request();
    assert!(request.contains("watch=1") && reset_at.elapsed() < DELIVERY_TIMEOUT, "{:?}", reset_at.elapsed());
    let (response, elapsed) = server.metrics();
    assert!(response.starts_with("HTTP/1.1 200") && elapsed < DELIVERY_TIMEOUT, "{elapsed:?}: {response}");
    drop(silent);
}
