//! A client that sends one query after the other.

use super::{Client, LONG_DEADLINE};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// The pause between two queries.
const PAUSE: Duration = Duration::from_millis(20);

/// A client that sends queries for shard 0 on one connection until it is dropped.
pub struct QueryStream {
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl QueryStream {
    /// Starts to send queries on this connection.
    pub fn start(mut client: Client) -> QueryStream {
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = stopped.clone();
        let thread = std::thread::spawn(move || {
            for number in 0.. {
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                client.send_query("look", &format!("q{number}"), LONG_DEADLINE);
                client.read_response();
                std::thread::sleep(PAUSE);
            }
        });
        QueryStream { stopped, thread: Some(thread) }
    }
}

impl Drop for QueryStream {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        let ended = self.thread.take().map(JoinHandle::join);
        assert!(std::thread::panicking() || matches!(ended, Some(Ok(()))), "the client failed");
    }
}
