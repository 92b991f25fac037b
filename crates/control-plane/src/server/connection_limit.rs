//! The limit on connections. File descriptors are kept free for discovery, the configuration, certificates and probes,
//! and connections on which no stream was opened give way to new ones.

use query_router::descriptor_limit;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Waker};
use std::time::{Duration, Instant};

/// File descriptors of the process itself and of the watch of discovery, and those for reading the configuration and
/// certificates.
const RESERVED_DESCRIPTORS: usize = 20;
/// The divisor of the limit of the process that gives the most probes at a time.
const DESCRIPTORS_PER_PROBE: usize = 8;
/// The most probes at a time.
const MAX_PROBES: usize = 64;
/// The time after the accept for which a connection without a stream is kept, since its first request may be in transit.
const FIRST_STREAM_GRACE: Duration = Duration::from_millis(100);

/// How many file descriptors may be used for what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DescriptorShares {
    /// The most connections of proxies and other clients.
    pub connections: usize,
    /// The most data nodes that are probed at the same time.
    pub probes: usize,
}

impl DescriptorShares {
    /// Divides the limit on file descriptors of this process.
    pub fn of_process() -> DescriptorShares {
        DescriptorShares::of_limit(descriptor_limit())
    }

    fn of_limit(limit: usize) -> DescriptorShares {
        let probes = (limit / DESCRIPTORS_PER_PROBE).clamp(1, MAX_PROBES);
        DescriptorShares { connections: limit.saturating_sub(RESERVED_DESCRIPTORS + probes).max(1), probes }
    }
}

/// An open connection in the [`ConnectionLimit`].
#[derive(Debug)]
pub(super) struct OpenConnection {
    id: u64,
    accepted_at: Instant,
    has_stream: AtomicBool,
    is_evicted: AtomicBool,
    /// The task that waits for input on the connection.
    reader: Mutex<Option<Waker>>,
}

impl OpenConnection {
    /// Records that a stream was opened on the connection, which is not evicted from then on.
    pub fn stream_opened(&self) {
        self.has_stream.store(true, Ordering::SeqCst);
    }

    /// Returns whether the connection must end. The task of `context` is woken when it must later.
    pub fn poll_evicted(&self, context: &Context<'_>) -> bool {
        *self.reader.lock().unwrap_or_else(PoisonError::into_inner) = Some(context.waker().clone());
        self.is_evicted.load(Ordering::SeqCst)
    }

    fn may_be_evicted(&self) -> bool {
        !self.has_stream.load(Ordering::SeqCst) && self.accepted_at.elapsed() >= FIRST_STREAM_GRACE
    }

    fn evict(&self) {
        self.is_evicted.store(true, Ordering::SeqCst);
        if let Some(reader) = self.reader.lock().unwrap_or_else(PoisonError::into_inner).take() {
            reader.wake();
        }
    }
}

#[derive(Debug, Default)]
struct OpenConnections {
    next_id: u64,
    by_id: BTreeMap<u64, Arc<OpenConnection>>,
}

/// The open connections, up to a maximum.
#[derive(Clone, Debug)]
pub(super) struct ConnectionLimit {
    max_connections: usize,
    open: Arc<Mutex<OpenConnections>>,
}

/// The place of a connection in the [`ConnectionLimit`], which is free again when the value is dropped.
#[derive(Debug)]
pub(super) struct ConnectionPlace {
    limit: ConnectionLimit,
    /// The connection.
    pub connection: Arc<OpenConnection>,
}

impl ConnectionLimit {
    /// Creates a limit without open connections.
    pub fn new(max_connections: usize) -> ConnectionLimit {
        ConnectionLimit { max_connections, open: Arc::default() }
    }

    /// Adds a connection. At the maximum, returns `None` and evicts the oldest connection without a stream, if there is
    /// one, whose place is free soon.
    pub fn try_add(&self) -> Option<ConnectionPlace> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if open.by_id.len() >= self.max_connections {
            let is_ending = |other: &&Arc<OpenConnection>| other.is_evicted.load(Ordering::SeqCst);
            if !open.by_id.values().any(|other| is_ending(&other))
                && let Some(oldest) = open.by_id.values().find(|other| other.may_be_evicted())
            {
                tracing::debug!(connection = oldest.id, "connection without a stream evicted");
                oldest.evict();
            }
            return None;
        }
        let id = open.next_id;
        open.next_id += 1;
        let connection = Arc::new(OpenConnection {
            id,
            accepted_at: Instant::now(),
            has_stream: AtomicBool::new(false),
            is_evicted: AtomicBool::new(false),
            reader: Mutex::new(None),
        });
        open.by_id.insert(id, connection.clone());
        drop(open);
        Some(ConnectionPlace { limit: self.clone(), connection })
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        let mut open = self.limit.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.by_id.remove(&self.connection.id);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn descriptors_are_kept_free_for_discovery_and_probes_at_any_limit() {
        for limit in [1, 32, 64, 256, 1024, 20_000] {
            let shares = DescriptorShares::of_limit(limit);
            assert!(shares.connections >= 1 && shares.probes >= 1, "{limit}: {shares:?}");
            let is_small = limit <= RESERVED_DESCRIPTORS + MAX_PROBES / DESCRIPTORS_PER_PROBE;
            assert!(is_small || shares.connections + shares.probes + RESERVED_DESCRIPTORS <= limit);
        }
        assert_eq!(DescriptorShares::of_limit(64), DescriptorShares { connections: 36, probes: 8 });
    }

    /// Guards against proxies that lose their connection to clients that only connect.
    #[test]
    fn a_connection_with_a_stream_is_not_evicted_and_the_oldest_other_one_is() {
        let limit = ConnectionLimit::new(3);
        let places: Vec<ConnectionPlace> = (0..3).map(|_| limit.try_add().expect("a place")).collect();
        places[0].connection.stream_opened();
        assert!(limit.try_add().is_none(), "all places are taken");
        let evicted = || places.iter().map(|place| place.connection.is_evicted.load(Ordering::SeqCst));
        assert!(evicted().all(|is_evicted| !is_evicted), "their requests may be in transit");
        std::thread::sleep(FIRST_STREAM_GRACE);
        assert!(limit.try_add().is_none());
        assert_eq!(evicted().collect::<Vec<bool>>(), [false, true, false]);
        drop(places);
        assert!(limit.try_add().is_some());
    }
}
