//! Classification of errors of system calls: whether the call may be repeated, and whether the cause is a shortage on
//! this machine or a failure of the connection.

use balancer::Micros;
use rustix::io::Errno;
use std::io;
use std::time::{Duration, Instant};

/// Pause before a call is repeated that failed due to a local shortage.
pub(super) const RETRY_PAUSE: Micros = 10_000;
/// Maximum number of times that a call is made in succession, without a pause in between.
pub(super) const MAX_IMMEDIATE_CALLS: usize = 8;
/// Time during which calls that are required for the start are retried. The platform waits 30 s for the router to
/// start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause before a call that is required for the start is repeated.
const START_PAUSE: Duration = Duration::from_millis(20);

/// The class of an error of a system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ErrorClass {
    /// A signal interrupted the call, which may be repeated immediately.
    Interrupted,
    /// The call would block; it may be repeated once the socket is ready.
    WouldBlock,
    /// This machine temporarily lacks a resource, such as memory, a file descriptor, a port or a route.
    LocalShortage,
    /// The connection or other object of the call failed; a repetition would fail as well.
    Failed,
}

/// Classifies an I/O error by its error number.
pub(super) fn classify(error: &io::Error) -> ErrorClass {
    match Errno::from_io_error(error) {
        Some(Errno::INTR) => ErrorClass::Interrupted,
        Some(Errno::AGAIN) => ErrorClass::WouldBlock,
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
        ) => ErrorClass::LocalShortage,
        _ => ErrorClass::Failed,
    }
}

/// Returns whether the same call may succeed later.
pub(super) fn is_transient(error: &io::Error) -> bool {
    classify(error) != ErrorClass::Failed
}

/// Repeats a call that is required for the start while it fails with a transient error, for at most 20 s. `io_error`
/// returns the I/O error that caused an error of the call, if there is one.
///
/// # Errors
///
/// Returns the last error of the call.
pub fn retry_at_start<T, E: std::fmt::Display>(
    mut call: impl FnMut() -> Result<T, E>, io_error: impl Fn(&E) -> Option<&io::Error>,
) -> Result<T, E> {
    let started = Instant::now();
    let mut is_logged = false;
    loop {
        match call() {
            Err(error) if io_error(&error).is_some_and(is_transient) && started.elapsed() < START_TIMEOUT => {
                if !std::mem::replace(&mut is_logged, true) {
                    tracing::warn!(%error, "start delayed by a transient error; retrying");
                }
                std::thread::sleep(START_PAUSE);
            }
            result => return result,
        }
    }
}

/// Returns the I/O error that caused an error of the event loop, if there is one.
pub(super) fn io_error_of(error: &calloop::Error) -> Option<&io::Error> {
    match error {
        calloop::Error::IoError(error) => Some(error),
        _ => None,
    }
}
