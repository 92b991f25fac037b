//! Child processes that print records: data nodes and clients.

use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Timeout for a process to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The records of all processes of a run.
pub type Records = Arc<Mutex<Vec<Record>>>;

/// A child process of this program that prints records. It is killed when the value is dropped.
pub struct RecordingProcess {
    child: Child,
    stdin: Option<ChildStdin>,
    /// Address at which a data node listens; empty for clients.
    pub address: String,
}

impl RecordingProcess {
    /// Starts a subcommand of this program and waits until it is ready.
    pub fn start(arguments: &[String], records: &Records) -> RecordingProcess {
        let program = std::env::current_exe().expect("the path of this executable is known");
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("start a child process");
        let stdin = child.stdin.take();
        let ready = collect(child.stdout.take().expect("standard output is piped"), records.clone());
        let address = ready.recv_timeout(START_TIMEOUT).expect("the child process becomes ready in time");
        RecordingProcess { child, stdin, address }
    }

    /// Writes a line to its standard input. Returns false if the process has ended.
    pub fn send_line(&mut self, line: &str) -> bool {
        self.stdin.as_mut().is_some_and(|stdin| writeln!(stdin, "{line}").is_ok())
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Closes its standard input and waits for its exit.
    pub fn finish(&mut self) {
        self.stdin = None;
        let _ = self.child.wait();
    }
}

impl Drop for RecordingProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Collects the records of a process on a separate thread. The receiver gets its address once it is ready.
fn collect(output: std::process::ChildStdout, records: Records) -> Receiver<String> {
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            match serde_json::from_str(&line) {
                Ok(Record::Ready { address }) => {
                    let _ = sender.send(address);
                }
                Ok(record) => records.lock().expect("the mutex is not poisoned").push(record),
                Err(error) => {
                    eprintln!("soak: child process printed a line that is not a record: {error}: {line}")
                }
            }
        }
    });
    receiver
}
