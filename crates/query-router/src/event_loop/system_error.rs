//! What an error of a system call says: whether the call may be repeated, and whether the peer has anything to do with it.

use balancer::Micros;
use rustix::io::Errno;
use std::io;
use std::time::{Duration, Instant};

/// How long to wait before a call is repeated for which this machine lacked something.
pub(super) const RETRY_PAUSE: Micros = 10_000;
/// How often a call is repeated at once before it waits for [`RETRY_PAUSE`].
pub(super) const MAX_IMMEDIATE_RETRIES: usize = 8;
/// How long calls that are needed for the start are repeated. The platform waits for 30 s.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The pause between two attempts to start.
const START_PAUSE: Duration = Duration::from_millis(20);

/// What an error of a system call says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ErrorKind {
    /// A signal interrupted it: it may be repeated at once.
    Interrupted,
    /// There is nothing to do at present.
    WouldBlock,
    /// This machine lacks something for a moment: memory, a descriptor, a port, a route.
    LocalShortage,
    /// The connection, or what the call was for, is broken.
    Failed,
}

/// What this error says.
pub(super) fn kind_of(error: &io::Error) -> ErrorKind {
    match Errno::from_io_error(error) {
        Some(Errno::INTR) => ErrorKind::Interrupted,
        Some(Errno::AGAIN) => ErrorKind::WouldBlock,
        Some(
            Errno::NOBUFS
            | Errno::NOMEM
            | Errno::NFILE
            | Errno::MFILE
            | Errno::NOSPC
            | Errno::ADDRNOTAVAIL
            | Errno::ADDRINUSE
            | Errno::NETUNREACH
            | Errno::NETDOWN,
        ) => ErrorKind::LocalShortage,
        _ => ErrorKind::Failed,
    }
}

/// Whether the same call may succeed a little later.
pub(super) fn is_transient(error: &io::Error) -> bool {
    kind_of(error) != ErrorKind::Failed
}

/// Repeats a call that is needed for the start for as long as it fails for want of something on this machine, 20 s at
/// most. `cause` is the system's error behind an error.
///
/// # Errors
///
/// The last error of the call.
pub fn retry_at_start<T, E: std::fmt::Display>(
    mut call: impl FnMut() -> Result<T, E>, cause: impl Fn(&E) -> Option<&io::Error>,
) -> Result<T, E> {
    let started = Instant::now();
    let mut is_logged = false;
    loop {
        match call() {
            Err(error) if cause(&error).is_some_and(is_transient) && started.elapsed() < START_TIMEOUT => {
                if !std::mem::replace(&mut is_logged, true) {
                    tracing::warn!(%error, "start delayed; retrying");
                }
                std::thread::sleep(START_PAUSE);
            }
            result => return result,
        }
    }
}

/// The system's error behind an error of the event loop.
pub(super) fn cause_of(error: &calloop::Error) -> Option<&io::Error> {
    match error {
        calloop::Error::IoError(error) => Some(error),
        _ => None,
    }
}
