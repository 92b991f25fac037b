//! A non-blocking connection with its input and output buffers. Every operation returns the outcome of its system call;
//! the caller handles it.

use super::input_age::input_age;
use super::system_error::{self, ErrorClass, MAX_IMMEDIATE_CALLS};
use crate::io::Bytes;
use balancer::Micros;
use calloop::RegistrationToken;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use std::collections::VecDeque;
use std::io::{self, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

/// Capacity in bytes above which an empty input buffer is deallocated.
const MAX_IDLE_INPUT_CAPACITY: usize = 4096;
/// Maximum number of bytes by which an input buffer grows beyond what it needs.
const MAX_SPARE_INPUT_BYTES: usize = 16 * 1024;
/// Number of consumed bytes at the front of an input buffer from which they may be removed. Removing them moves all
/// bytes behind them.
const MIN_REMOVED_BYTES: usize = 16 * 1024;
/// Maximum number of buffers per vectored write.
const MAX_BUFFERS_PER_WRITE: usize = 64;

/// Whether a connection is established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectState {
    /// The TCP handshake is in progress.
    Connecting,
    /// The connection is established: it can be read and written.
    Connected,
}

/// The outcome of checking whether a connection is established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectProgress {
    /// The TCP handshake is still in progress.
    Pending,
    /// The check itself failed and is to be repeated later.
    Unknown,
    /// The connection is established.
    Connected,
    /// The connection could not be established.
    Failed,
}

/// The outcome of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// Bytes were added to the input buffer. More of them may be unread.
    Received,
    /// The peer closed its write half.
    EndOfStream,
    /// No bytes are available at present.
    WouldBlock,
    /// The input buffer is full; nothing was read.
    BufferFull,
    /// A signal interrupted the read, which may be repeated immediately.
    Interrupted,
    /// A local shortage prevented the read, which may be repeated after a pause.
    LocalShortage,
    /// The connection failed.
    Failed,
}

/// The outcome of writing the queued output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// Nothing was queued.
    NothingQueued,
    /// All queued output was written.
    Flushed,
    /// The send buffer of the socket is full.
    WouldBlock,
    /// A local shortage prevented the write, which may be repeated after a pause.
    LocalShortage,
    /// The connection failed; the queued output was discarded.
    Failed,
}

/// The input in the receive buffer of the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unread {
    /// The receive buffer is empty.
    Nothing,
    /// The check was interrupted, or failed due to a local shortage, each time it was tried.
    Unknown,
    /// The receive buffer contains bytes.
    Bytes,
    /// The peer closed the connection, or the connection failed.
    End,
}

/// The number of requests of a connection that were handled in an iteration.
#[derive(Clone, Copy, Debug, Default)]
struct RequestsHandled {
    iteration: u64,
    count: u64,
}

/// A connection with its input and output buffers.
pub(super) struct Socket {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    state: ConnectState,
    /// Whether a write failed. The connection is then treated as failed once all received bytes are read.
    write_failed: bool,
    /// Whether the last read was skipped because the input buffer was full.
    input_full: bool,
    /// Whether nothing was read yet.
    is_unread: bool,
    /// Received bytes.
    input: Vec<u8>,
    /// Number of bytes at the front of `input` that are consumed.
    input_start: usize,
    /// Maximum number of unconsumed bytes; no more is read beyond it.
    max_input_bytes: usize,
    /// Whether the router was told only the number of unconsumed bytes so far.
    has_undelivered_input: bool,
    /// The last iteration in which requests of the connection were handled, and their number.
    handled: RequestsHandled,
    /// Buffers to write, in order.
    output: VecDeque<Bytes>,
    /// Number of bytes of the first output buffer that are already written.
    front_offset: usize,
    /// Total number of bytes written.
    written_bytes: u64,
}

impl Socket {
    /// Wraps a stream that is registered with the event loop under `token`.
    pub(super) fn new(
        stream: Rc<TcpStream>, token: RegistrationToken, state: ConnectState, max_input_bytes: usize,
    ) -> Socket {
        Socket {
            stream,
            token,
            state,
            write_failed: false,
            input_full: false,
            is_unread: true,
            input: Vec::new(),
            input_start: 0,
            max_input_bytes,
            has_undelivered_input: false,
            handled: RequestsHandled::default(),
            output: VecDeque::new(),
            front_offset: 0,
            written_bytes: 0,
        }
    }

    /// Returns the registration with the event loop.
    pub(super) fn token(&self) -> RegistrationToken {
        self.token
    }

    /// Returns whether the connection is known to be established; accepted connections are from the start.
    pub(super) fn is_connected(&self) -> bool {
        self.state == ConnectState::Connected
    }

    /// Returns whether the last read was skipped because the input buffer was full.
    pub(super) fn is_input_full(&self) -> bool {
        self.input_full
    }

    /// Returns the received bytes that are not consumed yet.
    pub(super) fn input(&self) -> &[u8] {
        &self.input[self.input_start..]
    }

    /// Returns whether the router was told only the number of unconsumed bytes so far.
    pub(super) fn has_undelivered_input(&self) -> bool {
        self.has_undelivered_input
    }

    /// Records whether the router was told the unconsumed bytes, or only their number.
    pub(super) fn set_undelivered_input(&mut self, is_undelivered: bool) {
        self.has_undelivered_input = is_undelivered;
    }

    /// Returns the number of requests that were handled in this iteration.
    pub(super) fn requests_handled(&self, iteration: u64) -> u64 {
        if self.handled.iteration == iteration { self.handled.count } else { 0 }
    }

    /// Adds to the number of requests that were handled in this iteration.
    pub(super) fn add_requests_handled(&mut self, iteration: u64, count: u64) {
        let count = self.requests_handled(iteration) + count;
        self.handled = RequestsHandled { iteration, count };
    }

    /// Returns the size of the input buffer in bytes, with its unused capacity.
    pub(super) fn input_capacity(&self) -> usize {
        self.input.capacity()
    }

    /// Returns the number of bytes that are queued and not written.
    pub(super) fn unwritten_bytes(&self) -> usize {
        self.output.iter().map(|buffer| buffer.len()).sum::<usize>() - self.front_offset
    }

    /// Returns the total number of bytes written.
    pub(super) fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// Checks whether the connection is established and updates its state.
    pub(super) fn finish_connecting(&mut self) -> ConnectProgress {
        match self.stream.take_error() {
            Ok(None) => {}
            Err(error) if system_error::is_transient(&error) => return ConnectProgress::Unknown,
            Ok(Some(_)) | Err(_) => return ConnectProgress::Failed,
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.state = ConnectState::Connected;
                ConnectProgress::Connected
            }
            Err(error) if error.kind() == io::ErrorKind::NotConnected => ConnectProgress::Pending,
            Err(_) => ConnectProgress::Unknown,
        }
    }

    /// Reads once into the input buffer, unless it is full. `buffer` is scratch space.
    pub(super) fn read(&mut self, buffer: &mut [u8]) -> ReadOutcome {
        self.input_full = self.input().len() >= self.max_input_bytes;
        if self.input_full {
            return ReadOutcome::BufferFull;
        }
        match (&*self.stream).read(buffer) {
            Ok(0) => ReadOutcome::EndOfStream,
            Ok(count) => {
                self.add_input(&buffer[..count]);
                ReadOutcome::Received
            }
            Err(error) => match system_error::classify(&error) {
                ErrorClass::WouldBlock if self.write_failed => ReadOutcome::Failed,
                ErrorClass::WouldBlock => ReadOutcome::WouldBlock,
                ErrorClass::Interrupted => ReadOutcome::Interrupted,
                ErrorClass::LocalShortage => ReadOutcome::LocalShortage,
                ErrorClass::Failed => ReadOutcome::Failed,
            },
        }
    }

    /// Returns the time since the last bytes arrived if nothing was read on the connection yet, else 0.
    pub(super) fn take_first_input_age(&mut self) -> Micros {
        if std::mem::take(&mut self.is_unread) { input_age(&self.stream) } else { 0 }
    }

    /// Appends received bytes to the input buffer. It grows by little more than what is needed, since many buffers may be
    /// filled at the same time.
    fn add_input(&mut self, bytes: &[u8]) {
        if self.input.capacity() - self.input.len() < bytes.len() {
            self.input.drain(..self.input_start);
            self.input_start = 0;
            let spare = self.input.len().min(MAX_SPARE_INPUT_BYTES);
            self.input.reserve_exact(bytes.len().max(spare));
        }
        self.input.extend_from_slice(bytes);
    }

    /// Removes the first `count` bytes from the input buffer.
    pub(super) fn consume_input(&mut self, count: usize) {
        self.input_start += count;
        if self.input_start == self.input.len() {
            self.input.clear();
            self.input_start = 0;
            if self.input.capacity() > MAX_IDLE_INPUT_CAPACITY {
                self.input = Vec::new();
            }
        } else if self.input_start >= MIN_REMOVED_BYTES.max(self.input.len() / 2) {
            self.input.drain(..self.input_start);
            self.input_start = 0;
        }
    }

    /// Checks the receive buffer of the socket without consuming its bytes.
    pub(super) fn unread(&self) -> Unread {
        for _ in 0..MAX_IMMEDIATE_CALLS {
            match self.stream.peek(&mut [0]) {
                Ok(0) => return Unread::End,
                Ok(_) => return Unread::Bytes,
                Err(error) => match system_error::classify(&error) {
                    ErrorClass::WouldBlock => return Unread::Nothing,
                    ErrorClass::Interrupted | ErrorClass::LocalShortage => {}
                    ErrorClass::Failed => return Unread::End,
                },
            }
        }
        Unread::Unknown
    }

    /// Returns whether the peer is known to have closed the connection, or the connection has failed, whatever is unread
    /// before that.
    pub(super) fn has_hung_up(&self) -> bool {
        let hang_up = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut descriptors = [PollFd::new(&*self.stream, hang_up)];
        // A failed check is repeated with the next bytes.
        poll(&mut descriptors, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
            && descriptors[0].revents().intersects(hang_up)
    }

    /// Appends buffers to the output.
    pub(super) fn queue_output(&mut self, buffers: Vec<Bytes>) {
        self.output.extend(buffers.into_iter().filter(|buffer| !buffer.is_empty()));
    }

    /// Writes until no output is queued or the send buffer of the socket is full.
    pub(super) fn write_queued(&mut self) -> WriteOutcome {
        if self.output.is_empty() {
            return WriteOutcome::NothingQueued;
        }
        while !self.output.is_empty() {
            match self.write_once() {
                Ok(count) => self.discard_written(count),
                Err(error) => match system_error::classify(&error) {
                    ErrorClass::WouldBlock => return WriteOutcome::WouldBlock,
                    ErrorClass::Interrupted => {}
                    ErrorClass::LocalShortage => return WriteOutcome::LocalShortage,
                    ErrorClass::Failed => {
                        self.output.clear();
                        self.write_failed = true;
                        return WriteOutcome::Failed;
                    }
                },
            }
        }
        WriteOutcome::Flushed
    }

    /// Writes the first buffers of the output in one system call. Returns the number of bytes written.
    fn write_once(&self) -> std::io::Result<usize> {
        let buffers = self.output.iter().take(MAX_BUFFERS_PER_WRITE).enumerate();
        let unwritten = buffers
            .map(|(index, buffer)| if index == 0 { &buffer[self.front_offset..] } else { &buffer[..] });
        let slices: Vec<IoSlice> = unwritten.map(IoSlice::new).collect();
        (&*self.stream).write_vectored(&slices)
    }

    /// Removes `count` written bytes from the front of the output.
    fn discard_written(&mut self, mut count: usize) {
        self.written_bytes += count as u64;
        while let Some(buffer) = self.output.front() {
            let unwritten = buffer.len() - self.front_offset;
            if count < unwritten {
                self.front_offset += count;
                return;
            }
            count -= unwritten;
            self.front_offset = 0;
            self.output.pop_front();
        }
    }

    /// Shuts down the write half; the peer may still send.
    pub(super) fn shut_down_writing(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Returns the number of bytes in the receive buffer of the socket.
    #[cfg(test)]
    pub(super) fn unread_length(&self) -> usize {
        self.stream.peek(&mut [0; 64 * 1024]).unwrap_or(0)
    }

    /// Returns the address of the peer; `None` if the connection is not established.
    #[cfg(test)]
    pub(super) fn peer_address(&self) -> Option<SocketAddr> {
        self.stream.peer_addr().ok()
    }
}

/// Starts connecting to `address`. The stream becomes writable once the connection is established or has failed.
///
/// # Errors
///
/// Returns the I/O error if the socket cannot be created or connecting fails immediately.
pub(super) fn start_connecting(address: SocketAddr) -> std::io::Result<TcpStream> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let stream = TcpStream::from(net::socket_with(family, SocketType::STREAM, flags, None)?);
    stream.set_nodelay(true)?;
    for _ in 0..MAX_IMMEDIATE_CALLS {
        match net::connect(&stream, &address) {
            // The system may continue to connect after an interruption; the next call then returns `ALREADY` or
            // `ISCONN`.
            Err(Errno::INTR) => {}
            Ok(()) | Err(Errno::INPROGRESS | Errno::ALREADY | Errno::ISCONN) => return Ok(stream),
            Err(error) => return Err(error.into()),
        }
    }
    Err(Errno::INTR.into())
}
