//! Output to standard error that never waits for its reader: a reader that stalls, or has gone, must not keep the event
//! loop from serving, and must not end the process.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of bytes that a pipe takes without blocking whenever it is writable (`PIPE_BUF` of Linux).
const MAX_ATOMIC_BYTES: usize = 4096;
/// How long the last output of the process waits for a reader that is slow.
const LAST_OUTPUT_TIMEOUT: Timespec = Timespec { tv_sec: 0, tv_nsec: 100_000_000 };

/// The number of pieces of output that were dropped since the last one that was written.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// A writer to standard error that drops what would have to wait, and reports no errors.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogOutput;

impl io::Write for LogOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        write_line(bytes, Timespec::default());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes text at the end of the process, and waits a little for a reader that is slow.
pub(crate) fn write_last(text: &str) {
    write_line(text.as_bytes(), LAST_OUTPUT_TIMEOUT);
}

/// Writes bytes in pieces, and drops the rest once a piece cannot be written within `timeout`.
fn write_line(bytes: &[u8], timeout: Timespec) {
    let dropped = DROPPED.swap(0, Ordering::Relaxed);
    if dropped > 0 && !write_notice(dropped, timeout) {
        DROPPED.fetch_add(dropped, Ordering::Relaxed);
    }
    if !bytes.chunks(MAX_ATOMIC_BYTES).all(|piece| write_piece(piece, timeout)) {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// Writes that pieces of output were dropped. Returns false if that cannot be written within `timeout`.
fn write_notice(dropped: u64, timeout: Timespec) -> bool {
    let notice = format!(" WARN log output dropped, since standard error was not read pieces={dropped}\n");
    write_piece(notice.as_bytes(), timeout)
}

/// Writes up to [`MAX_ATOMIC_BYTES`]. Returns false if they cannot be written within `timeout`.
fn write_piece(piece: &[u8], timeout: Timespec) -> bool {
    let stderr = rustix::stdio::stderr();
    let mut descriptors = [PollFd::new(&stderr, PollFlags::OUT)];
    let ready = loop {
        match poll(&mut descriptors, Some(&timeout)) {
            Err(Errno::INTR) => {}
            ready => break ready,
        }
    };
    if !ready.is_ok_and(|ready| ready > 0) {
        return false;
    }
    let mut rest = piece;
    while !rest.is_empty() {
        match rustix::io::write(stderr, rest) {
            Ok(count) => rest = &rest[count..],
            Err(Errno::INTR) => {}
            Err(_) => return false,
        }
    }
    true
}
