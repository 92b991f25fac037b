//! The router as a process.

use super::{Client, MAX_WAIT, config_path};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value as Json;
use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};

/// A router, which is killed at the end of the test if it still runs.
pub struct RouterProcess {
    child: Child,
    log: BufReader<ChildStderr>,
    address: String,
}

impl RouterProcess {
    /// Starts a router with this configuration and waits until it listens.
    pub fn start(test_name: &str, config: &Json) -> RouterProcess {
        let path = config_path(test_name);
        std::fs::write(&path, config.to_string()).expect("a file");
        let mut router = RouterProcess::spawn(path.to_str().expect("a path"));
        router.wait_until_listening();
        std::fs::remove_file(&path).expect("the file is read by now");
        router
    }

    /// Starts a router that reads this configuration file, and waits for nothing.
    pub fn spawn(config_path: &str) -> RouterProcess {
        let program = Command::new(env!("CARGO_BIN_EXE_query-router"));
        RouterProcess::spawn_command(program, config_path.as_ref())
    }

    /// Starts a router by this command, with this configuration file, and waits for nothing.
    pub fn spawn_command(mut command: Command, config_path: &Path) -> RouterProcess {
        let mut child = command
            .args(["serve", "--config"])
            .arg(config_path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the router starts");
        let log = BufReader::new(child.stderr.take().expect("a log"));
        RouterProcess { child, log, address: String::new() }
    }

    /// Waits for the first log line, which states the address that the router listens on. Only attempts to start that
    /// are repeated may be logged before.
    pub fn wait_until_listening(&mut self) {
        let mut line = self.read_log_line();
        while line.contains("start delayed") {
            line = self.read_log_line();
        }
        assert!(line.contains("query router started"), "{line:?}");
        let (_, address) = line.trim().rsplit_once(" address=").expect("an address");
        self.address = address.to_string();
    }

    /// The next line of the log.
    pub fn read_log_line(&mut self) -> String {
        let mut line = String::new();
        self.log.read_line(&mut line).expect("a line");
        line
    }

    /// A client's connection to the router.
    pub fn connect(&self) -> Client {
        Client::connect(&self.address)
    }

    /// The value of a counter, asked for on a connection of its own.
    pub fn counter(&self, name: &str) -> u64 {
        let mut client = self.connect();
        client.send("GET /-/counters HTTP/1.1\r\nConnection: close\r\n\r\n");
        let (_, body) = client.read_response();
        let value = body.lines().find_map(|line| counter_value(line, name));
        value.expect("a counter of this name").parse().expect("a number")
    }

    /// Waits until a counter has at least this value.
    pub fn wait_for_counter(&self, name: &str, minimum: u64) {
        let started = Instant::now();
        while self.counter(name) < minimum {
            assert!(started.elapsed() < MAX_WAIT, "{name} never came to {minimum}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until a counter has at least this value, as the router logs it on SIGUSR1: no connection is
    /// needed.
    pub fn wait_for_logged_counter(&mut self, name: &str, minimum: u64) {
        let started = Instant::now();
        let mut last_value: Option<u64> = None;
        while last_value.is_none_or(|value| value < minimum) {
            assert!(started.elapsed() < MAX_WAIT, "{name} never came to {minimum}");
            self.signal(Signal::USR1);
            let mut line = String::new();
            while !line.starts_with("invariants_violated ") {
                line = self.read_log_line();
                assert!(!line.is_empty(), "the router exited");
                if let Some(value) = counter_value(&line, name) {
                    last_value = value.trim().parse().ok();
                }
            }
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("a process");
        kill_process(pid, signal).expect("it runs");
    }

    /// Stops the process, so that everything until `resume` reaches it in one iteration of its event loop.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.child.id());
        let is_stopped = || std::fs::read_to_string(&stat).is_ok_and(|stat| stat.contains(") T "));
        while !is_stopped() {
            std::thread::yield_now();
        }
    }

    /// Lets the process run again.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for the exit, which must be a success without violated invariants. Returns the rest of the log.
    pub fn wait_for_exit(mut self) -> String {
        assert!(self.child.wait().expect("it exits").success());
        let mut log = String::new();
        self.log.read_to_string(&mut log).expect("a log");
        assert!(log.contains("invariants_violated 0\n"), "{log}");
        log
    }

    /// Asks the process to shut down, and waits for its exit.
    pub fn terminate(self) -> String {
        self.signal(Signal::TERM);
        self.wait_for_exit()
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The value in a line of counters, if the line is of this counter.
fn counter_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.strip_prefix(name)?.strip_prefix(' ')
}
