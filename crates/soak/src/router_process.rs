//! A router under test: its current process, its configuration file, its injected faults and its log. A router may have
//! several processes one after another.

use crate::clock::{MILLISECOND, Micros, SECOND, now, sleep_ms};
use fault_control::Control;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value as Json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

/// Timeout for a router to become ready.
const READY_TIMEOUT: Micros = 10 * SECOND;

/// Interval at which a process that starts is asked whether it is ready.
const READY_CHECK_INTERVAL_MS: u64 = 10;

/// Age of a process at which its use of resources is measured first.
const FIRST_USAGE_SAMPLE_AGE: Micros = 100 * MILLISECOND;

/// Ports on which routers listen, below the ephemeral ports of Linux.
const ROUTER_PORTS: Range<u16> = 12_000..32_000;
/// Number of ports that are tried before the test fails.
const MAX_TRIED_PORTS: usize = 100;

/// An event in the life of a router's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouterEvent {
    /// The process was started.
    Started,
    /// The process was ready to serve requests.
    Ready,
    /// The process was sent SIGTERM for the first time.
    Terminated,
    /// The process was killed, without notice or because it still ran at the end of its shutdown period.
    Killed,
    /// The process exited with success after SIGTERM.
    Exited,
    /// The process ended without SIGTERM, or without success.
    Crashed,
    /// The process was not ready within its timeout.
    NotReady,
    /// The process was stopped for this number of milliseconds.
    Paused(u64),
}

/// Resources that a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Open file descriptors.
    pub descriptors: usize,
    /// Resident memory in kibibytes.
    pub kibibytes: usize,
}

/// A router under test.
pub struct RouterProcess {
    /// The router's index.
    pub index: usize,
    /// Address at which the router accepts client connections.
    pub address: SocketAddr,
    /// The faults that are injected into its system calls.
    pub control: Control,
    /// Highest usage among the samples.
    pub peak: Usage,
    /// The events of its processes with their times, in order.
    pub events: Vec<(Micros, RouterEvent)>,
    /// The log lines of its processes.
    pub log: Arc<Mutex<Vec<String>>>,
    /// Whether faults can be injected. Each system call then takes longer.
    pub has_fault_shim: bool,
    program: PathBuf,
    config_path: PathBuf,
    control_path: PathBuf,
    operator_path: PathBuf,
    child: Option<Child>,
    /// Time of the start of a process that is not known to be ready yet; `None` without such a process.
    starting_since: Option<Micros>,
    terminated: bool,
    /// Number of processes that were started so far.
    generation: usize,
}

impl RouterProcess {
    /// Returns a router without a process.
    pub fn new(index: usize, program: &Path, folder: &Path, seed: u64) -> RouterProcess {
        let address = free_address();
        let control_path = folder.join(format!("router-{index}.faults"));
        let operator_path = folder.join("operator.ini");
        std::fs::write(&operator_path, "[log]\nlevel = debug\n").expect("write the operator's file");
        RouterProcess {
            index,
            address,
            control: Control::create(&control_path, seed + index as u64)
                .expect("create the control file of the faults"),
            peak: Usage::default(),
            events: Vec::new(),
            log: Arc::default(),
            has_fault_shim: true,
            program: program.to_path_buf(),
            config_path: folder.join(format!("router-{index}.json")),
            control_path,
            operator_path,
            child: None,
            starting_since: None,
            terminated: false,
            generation: 0,
        }
    }

    /// Writes the configuration file.
    pub fn write_config(&self, config: &Json) {
        std::fs::write(&self.config_path, config.to_string()).expect("write the configuration file");
    }

    /// Writes the first half of the configuration file, as an interrupted writer leaves it.
    pub fn write_half_config(&self, config: &Json) {
        let text = config.to_string();
        std::fs::write(&self.config_path, &text[..text.len() / 2]).expect("write the configuration file");
    }

    /// Starts a process and waits until it is ready.
    pub fn start(&mut self) {
        self.spawn();
        while self.starting_since.is_some() {
            self.check_ready();
            sleep_ms(READY_CHECK_INTERVAL_MS);
        }
    }

    /// Starts a process without waiting until it is ready.
    pub fn spawn(&mut self) {
        self.record_event(RouterEvent::Started);
        let mut command = if self.has_fault_shim {
            fault_control::command(&self.program, &self.control_path)
        } else {
            Command::new(&self.program)
        };
        let mut child = command
            .args(["serve", "--config"])
            .arg(&self.config_path)
            .arg("--operator")
            .arg(&self.operator_path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("start the router");
        let (output, log) = (child.stderr.take().expect("standard error is piped"), self.log.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                log.lock().expect("the mutex is not poisoned").push(line);
            }
        });
        self.child = Some(child);
        self.terminated = false;
        self.generation += 1;
        self.starting_since = Some(now());
    }

    /// Asks a process that was started whether it is ready. Returns true when it has become so; later calls return false.
    pub fn check_ready(&mut self) -> bool {
        let Some(since) = self.starting_since else { return false };
        let is_ready = self.is_ready();
        if is_ready {
            self.record_event(RouterEvent::Ready);
        } else if now() - since >= READY_TIMEOUT {
            self.record_event(RouterEvent::NotReady);
        } else {
            return false;
        }
        self.starting_since = None;
        is_ready
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(std::time::Duration::from_secs(1)));
        let mut status_line = [0; 12];
        stream.write_all(b"GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n").is_ok()
            && stream.read_exact(&mut status_line).is_ok()
            && status_line.ends_with(b"200")
    }

    fn record_event(&mut self, event: RouterEvent) {
        self.events.push((now(), event));
    }

    /// Sends a signal to the process, if there is one.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(id) = id {
            let _ = kill_process(id, signal);
        }
    }

    /// Returns the id of the process, if there is one.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sets the level of the log from the next start on.
    pub fn set_log_level(&self, level: &str) {
        std::fs::write(&self.operator_path, format!("[log]\nlevel = {level}\n"))
            .expect("write the operator's file");
    }

    /// Measures the resources that the process uses and updates their peak. A process that has just been started still
    /// has the descriptors of this one until the system has closed them.
    pub fn sample_usage(&mut self) {
        if self.starting_since.is_some_and(|since| now() - since < FIRST_USAGE_SAMPLE_AGE) {
            return;
        }
        let Usage { descriptors, kibibytes } = self.usage();
        self.peak.descriptors = self.peak.descriptors.max(descriptors);
        self.peak.kibibytes = self.peak.kibibytes.max(kibibytes);
    }

    /// Measures the resources that the process uses; zero without a process.
    pub fn usage(&self) -> Usage {
        let Some(id) = self.id() else { return Usage::default() };
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:")?.split_whitespace().next());
        let kibibytes = resident.and_then(|text| text.parse().ok()).unwrap_or(0);
        Usage { descriptors, kibibytes }
    }

    /// Stops the process with SIGSTOP and resumes it after this time.
    pub fn pause(&mut self, milliseconds: u64) {
        self.record_event(RouterEvent::Paused(milliseconds));
        self.signal(Signal::STOP);
        sleep_ms(milliseconds);
        self.signal(Signal::CONT);
    }

    /// Returns the number of the last process that was started, counted from 1; 0 before the first.
    pub fn generation(&self) -> usize {
        self.generation
    }

    /// Returns whether the process was sent SIGTERM. It is not killed before the end of its shutdown period.
    pub fn is_terminated(&self) -> bool {
        self.child.is_some() && self.terminated
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&mut self) {
        if self.child.is_some() && !self.terminated {
            self.terminated = true;
            self.starting_since = None;
            self.record_event(RouterEvent::Terminated);
        }
        if self.terminated {
            self.signal(Signal::TERM);
        }
    }

    /// Kills the process, if there is one.
    pub fn kill(&mut self) {
        self.starting_since = None;
        if let Some(mut child) = self.child.take() {
            // The event comes first, since clients see their connections closed before the wait returns.
            self.record_event(RouterEvent::Killed);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether a process runs. Records an event if it has ended since the last call.
    pub fn check_running(&mut self) -> bool {
        let Some(child) = &mut self.child else { return false };
        let Ok(Some(status)) = child.try_wait() else { return true };
        self.child = None;
        self.starting_since = None;
        let is_expected = self.terminated && status.success();
        self.record_event(if is_expected { RouterEvent::Exited } else { RouterEvent::Crashed });
        false
    }

    /// Waits for the process to exit after SIGTERM, and kills it after this timeout.
    pub fn wait_for_exit(&mut self, timeout_ms: i64) {
        let started = now();
        while self.check_running() {
            if now() - started > timeout_ms * MILLISECOND {
                return self.kill();
            }
            sleep_ms(10);
        }
    }
}

/// Returns an address whose port is free. A router binds the port again at each start, so it must not be an ephemeral
/// port, which the system may assign to a connection in between.
fn free_address() -> SocketAddr {
    let listen = || TcpListener::bind(("127.0.0.1", fastrand::u16(ROUTER_PORTS))).ok();
    let listener = std::iter::repeat_with(listen).take(MAX_TRIED_PORTS).flatten().next();
    listener.and_then(|listener| listener.local_addr().ok()).expect("find a free port")
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
