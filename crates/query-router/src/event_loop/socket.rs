//! One non-blocking connection with its buffers. It returns the outcome of each system call and decides nothing.

use super::system_error::{self, ErrorKind, MAX_IMMEDIATE_RETRIES};
use crate::io::Bytes;
use crate::protocol::http::MAX_REQUEST_BYTES;
use calloop::RegistrationToken;
use rustix::io::Errno;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use std::collections::VecDeque;
use std::io::{self, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

/// The capacity in bytes above which an empty input buffer is freed.
const MAX_IDLE_INPUT_CAPACITY: usize = 4096;
/// How many pieces go out in one gathered write.
const MAX_PIECES_PER_WRITE: usize = 64;

/// How far a connection is established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectState {
    /// The connection is being established.
    Connecting,
    /// Bytes may be read and written.
    Connected,
}

/// The outcome of a check whether a connection is established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectProgress {
    /// Nothing is known yet.
    Pending,
    /// This machine could not tell: look again a little later.
    Unknown,
    /// The connection is established.
    Connected,
    /// The connection failed.
    Failed,
}

/// The outcome of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// Bytes were added to the input buffer.
    Received,
    /// The peer closed its side in order.
    EndOfStream,
    /// Nothing more was received.
    WouldBlock,
    /// The input buffer is full; nothing was read.
    BufferFull,
    /// A signal interrupted the read; it may be repeated at once.
    Interrupted,
    /// This machine lacked something; the read may be repeated a little later.
    LocalShortage,
    /// The connection is broken.
    Failed,
}

/// The outcome of writing the queued output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// Nothing was queued.
    NothingQueued,
    /// All that was queued is written.
    Flushed,
    /// The socket takes no more at present.
    WouldBlock,
    /// This machine lacked something; the write may be repeated a little later.
    LocalShortage,
    /// The connection is broken; the queued output is discarded.
    Failed,
}

/// What the system has received on a connection and the router has not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unread {
    /// Nothing was received.
    Nothing,
    /// This machine could not tell.
    Unknown,
    /// Bytes were received.
    Bytes,
    /// The end of the connection, in order or by an error.
    End,
}

/// A connection with its input and output buffers.
pub(super) struct Socket {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    state: ConnectState,
    /// Whether a write failed: once nothing more can be read, the connection has ended.
    broken: bool,
    /// Whether the last read stopped because the input buffer was full.
    input_full: bool,
    /// The bytes that were received and not consumed.
    input: Vec<u8>,
    /// The pieces to be written, in order.
    output: VecDeque<Bytes>,
    /// How many bytes of the first output piece are written.
    piece_offset: usize,
    written_bytes: u64,
}

impl Socket {
    /// Wraps a stream that is registered with the event loop under `token`.
    pub(super) fn new(stream: Rc<TcpStream>, token: RegistrationToken, state: ConnectState) -> Socket {
        Socket {
            stream,
            token,
            state,
            broken: false,
            input_full: false,
            input: Vec::new(),
            output: VecDeque::new(),
            piece_offset: 0,
            written_bytes: 0,
        }
    }

    /// The registration with the event loop.
    pub(super) fn token(&self) -> RegistrationToken {
        self.token
    }

    /// Whether the connection is established.
    pub(super) fn is_connected(&self) -> bool {
        self.state == ConnectState::Connected
    }

    /// Whether the last read stopped because the input buffer was full.
    pub(super) fn is_input_full(&self) -> bool {
        self.input_full
    }

    /// The bytes that were received and not consumed.
    pub(super) fn input(&self) -> &[u8] {
        &self.input
    }

    /// How many bytes were written in all.
    pub(super) fn written_bytes(&self) -> u64 {
        self.written_bytes
    }

    /// Asks the system whether the connection was established, and remembers it if so.
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

    /// Reads once through `buffer` into the input buffer, unless that is full.
    pub(super) fn read(&mut self, buffer: &mut [u8]) -> ReadOutcome {
        self.input_full = self.input.len() >= MAX_REQUEST_BYTES;
        if self.input_full {
            return ReadOutcome::BufferFull;
        }
        match (&*self.stream).read(buffer) {
            Ok(0) => ReadOutcome::EndOfStream,
            Ok(count) => {
                self.input.extend_from_slice(&buffer[..count]);
                ReadOutcome::Received
            }
            Err(error) => match system_error::kind_of(&error) {
                ErrorKind::WouldBlock if self.broken => ReadOutcome::Failed,
                ErrorKind::WouldBlock => ReadOutcome::WouldBlock,
                ErrorKind::Interrupted => ReadOutcome::Interrupted,
                ErrorKind::LocalShortage => ReadOutcome::LocalShortage,
                ErrorKind::Failed => ReadOutcome::Failed,
            },
        }
    }

    /// Removes the first `count` bytes of the input.
    pub(super) fn consume_input(&mut self, count: usize) {
        self.input.drain(..count);
        if self.input.is_empty() && self.input.capacity() > MAX_IDLE_INPUT_CAPACITY {
            self.input = Vec::new();
        }
    }

    /// Looks at the received bytes without reading them.
    pub(super) fn unread(&self) -> Unread {
        for _ in 0..MAX_IMMEDIATE_RETRIES {
            match self.stream.peek(&mut [0]) {
                Ok(0) => return Unread::End,
                Ok(_) => return Unread::Bytes,
                Err(error) => match system_error::kind_of(&error) {
                    ErrorKind::WouldBlock => return Unread::Nothing,
                    ErrorKind::Interrupted | ErrorKind::LocalShortage => {}
                    ErrorKind::Failed => return Unread::End,
                },
            }
        }
        Unread::Unknown
    }

    /// Adds pieces to the output.
    pub(super) fn queue_output(&mut self, pieces: Vec<Bytes>) {
        self.output.extend(pieces.into_iter().filter(|piece| !piece.is_empty()));
    }

    /// Writes until nothing is queued or the socket takes no more.
    pub(super) fn write_queued(&mut self) -> WriteOutcome {
        if self.output.is_empty() {
            return WriteOutcome::NothingQueued;
        }
        while !self.output.is_empty() {
            match self.write_once() {
                Ok(count) => self.discard_written(count),
                Err(error) => match system_error::kind_of(&error) {
                    ErrorKind::WouldBlock => return WriteOutcome::WouldBlock,
                    ErrorKind::Interrupted => {}
                    ErrorKind::LocalShortage => return WriteOutcome::LocalShortage,
                    ErrorKind::Failed => {
                        self.output.clear();
                        self.broken = true;
                        return WriteOutcome::Failed;
                    }
                },
            }
        }
        WriteOutcome::Flushed
    }

    /// Writes the first pieces of the output in one system call. Returns how many bytes were written.
    fn write_once(&self) -> std::io::Result<usize> {
        let pieces = self.output.iter().take(MAX_PIECES_PER_WRITE).enumerate();
        let unwritten =
            pieces.map(|(index, piece)| if index == 0 { &piece[self.piece_offset..] } else { &piece[..] });
        let slices: Vec<IoSlice> = unwritten.map(IoSlice::new).collect();
        (&*self.stream).write_vectored(&slices)
    }

    /// Removes `count` written bytes from the front of the output.
    fn discard_written(&mut self, mut count: usize) {
        self.written_bytes += count as u64;
        while let Some(piece) = self.output.front() {
            let unwritten = piece.len() - self.piece_offset;
            if count < unwritten {
                self.piece_offset += count;
                return;
            }
            count -= unwritten;
            self.piece_offset = 0;
            self.output.pop_front();
        }
    }

    /// Closes the writing side; the peer may still send.
    pub(super) fn shut_down_writing(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// The address of the peer, for tests.
    #[cfg(test)]
    pub(super) fn peer_address(&self) -> Option<SocketAddr> {
        self.stream.peer_addr().ok()
    }
}

/// Begins to connect to `address`; the stream becomes writable once it is connected or has failed.
///
/// # Errors
///
/// The system's error if connecting fails at once.
pub(super) fn start_connecting(address: SocketAddr) -> std::io::Result<TcpStream> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let stream = TcpStream::from(net::socket_with(family, SocketType::STREAM, flags, None)?);
    stream.set_nodelay(true)?;
    for _ in 0..MAX_IMMEDIATE_RETRIES {
        match net::connect(&stream, &address) {
            // Interrupted, the system may go on connecting: then the next call says so.
            Err(Errno::INTR) => {}
            Ok(()) | Err(Errno::INPROGRESS | Errno::ALREADY | Errno::ISCONN) => return Ok(stream),
            Err(error) => return Err(error.into()),
        }
    }
    Err(Errno::INTR.into())
}
