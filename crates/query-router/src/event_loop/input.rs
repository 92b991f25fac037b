//! Input of connections: reading it, and reporting it to the router at once or in a later iteration.

use super::server::Server;
use super::socket::{ReadOutcome, Socket};
use crate::io::{ConnectionId, Event};
use calloop::Readiness;

/// Maximum number of reads from one connection per iteration, so that a fast sender cannot starve other connections.
pub(super) const MAX_READS_PER_ITERATION: usize = 4;
/// Maximum number of reads from a request to discovery per iteration. One may contain hundreds of changes, each of which
/// is applied by itself.
const MAX_DISCOVERY_READS_PER_ITERATION: usize = 1;
/// Maximum number of requests of one client connection that are handled in an iteration.
pub(super) const MAX_REQUESTS_PER_ITERATION: u64 = 8;
/// Number of bytes of a message up to which it is read and handled in the first turn of its connection. Longer ones are
/// read and handled after the short messages of other connections.
pub(super) const MAX_SMALL_INPUT_BYTES: usize = 16 * 1024;

impl Server {
    /// Reads until no bytes are available, the input buffer is full, [`MAX_READS_PER_ITERATION`] is reached or the time of
    /// the iteration is over. Reports the received bytes to the router after each read. A connection that had its share
    /// of the iteration is read once its requests are handled, so that its peer has to wait. One with a long request is
    /// read further behind the others.
    pub(super) fn read(&mut self, connection: ConnectionId, max_client_read: usize) {
        let is_discovery = self.router.is_discovery(connection);
        let is_client = self.router.is_client(connection);
        let buffer_length = self.read_buffer.len().min(if is_client { max_client_read } else { usize::MAX });
        let max_reads =
            if is_discovery { MAX_DISCOVERY_READS_PER_ITERATION } else { MAX_READS_PER_ITERATION };
        for _ in 0..max_reads {
            let Some(Some(socket)) = self.sockets.get_mut(connection.0) else { return };
            if socket.has_undelivered_input() {
                return self.read_in_next_iteration(connection);
            }
            let age = if is_client { socket.take_first_input_age() } else { 0 };
            match socket.read(&mut self.read_buffer[..buffer_length]) {
                ReadOutcome::Received => {
                    if age > 0 {
                        self.router.step(self.clock.now(), Event::InputAged { connection, age });
                    }
                    self.deliver_read(connection);
                    self.execute_effects();
                    if is_client && self.socket(connection).is_some_and(has_large_input) {
                        return self.read_behind_others(connection);
                    }
                }
                ReadOutcome::Interrupted => {}
                ReadOutcome::LocalShortage => return self.read_and_write_later(connection),
                ReadOutcome::WouldBlock | ReadOutcome::BufferFull => return,
                ReadOutcome::EndOfStream => {
                    self.router.step(self.clock.now(), Event::PeerClosed(connection));
                    return self.close_after_read(connection);
                }
                ReadOutcome::Failed => return self.close_after_read(connection),
            }
            if self.is_time_over() {
                return self.pause_reading(connection);
            }
        }
        if is_client {
            self.ready.add_to_backlog(connection);
        }
        self.pause_reading(connection);
    }

    /// Continues to read a connection in a later iteration. It may still be readable, but the edge-triggered source does
    /// not report that again.
    fn pause_reading(&mut self, connection: ConnectionId) {
        self.read_in_next_iteration(connection);
        self.report_event(Event::ReadPaused(connection));
    }

    /// Continues to read a client after those that have short requests, unless it has closed its connection.
    fn read_behind_others(&mut self, connection: ConnectionId) {
        self.read_in_next_iteration(connection);
        self.ready.add_to_backlog(connection);
        self.close_if_hung_up(connection);
    }

    /// Closes the connections of clients that wait behind all others and have closed theirs meanwhile. Their queries are
    /// cancelled at once, however long their turn takes to come.
    pub(super) fn close_hung_up_clients(&mut self) {
        for connection in self.ready.take_signalled_backlog() {
            self.close_if_hung_up(connection);
        }
    }

    /// Closes the connection of a client if the client has closed it, whatever is unread before that. Returns whether the
    /// connection was closed.
    fn close_if_hung_up(&mut self, connection: ConnectionId) -> bool {
        let has_hung_up = self.socket(connection).is_some_and(Socket::has_hung_up);
        if !has_hung_up || !self.router.is_client(connection) {
            return false;
        }
        self.router.step(self.clock.now(), Event::PeerClosed(connection));
        self.close_after_read(connection);
        true
    }

    /// Reports the bytes of a read to the router. Many bytes of a client take long to handle, so they wait until the small
    /// requests of others are handled.
    fn deliver_read(&mut self, connection: ConnectionId) {
        let Some(socket) = self.socket(connection) else { return };
        if has_large_input(socket) && self.router.is_client(connection) {
            let length = socket.input().len();
            self.deliver_later(connection, length);
        } else {
            self.deliver_input(connection);
        }
    }

    /// Reports only the number of unconsumed bytes of a client. They are handled after the connections that had no turn.
    fn deliver_later(&mut self, connection: ConnectionId, length: usize) {
        self.ready.add_to_backlog(connection);
        self.deliver_length(connection, length);
    }

    /// Reports only the number of unconsumed bytes of a client.
    fn deliver_length(&mut self, connection: ConnectionId, length: usize) {
        if let Some(socket) = self.socket_mut(connection) {
            socket.set_undelivered_input(true);
        }
        self.router.step(self.clock.now(), Event::Buffered { connection, length });
    }

    /// Reports the bytes that stand behind a request whose response was written. Many of them, and all that come up after
    /// the time of the iteration, are handled in a later iteration: a decision may answer any number of clients.
    pub(super) fn redeliver_input(&mut self, connection: ConnectionId) {
        let Some(socket) = self.socket(connection) else { return };
        let length = socket.input().len();
        if has_large_input(socket) {
            self.deliver_later(connection, length);
        } else if length > 0 && self.is_time_over() {
            self.read_in_next_iteration(connection);
            self.deliver_length(connection, length);
        } else {
            self.deliver_input(connection);
        }
    }

    /// Reports the unconsumed bytes of a connection to the router, unless its peer has closed it: the requests of a client
    /// that has gone are not started, however many of them are unread before the end of the stream.
    pub(super) fn deliver_unless_closed(&mut self, connection: ConnectionId) {
        if !self.close_if_hung_up(connection) {
            self.deliver_input(connection);
        }
    }

    /// Reports the unconsumed bytes of a connection to the router. If [`MAX_REQUESTS_PER_ITERATION`] of its requests were
    /// handled in this iteration, reports only their number, and the bytes in a later iteration.
    pub(super) fn deliver_input(&mut self, connection: ConnectionId) {
        let Some(Some(socket)) = self.sockets.get_mut(connection.0) else { return };
        if socket.is_input_full() {
            self.ready.add(connection, Readiness { readable: true, writable: false, error: false });
        }
        let length = socket.input().len();
        socket.set_undelivered_input(false);
        if length == 0 {
            return;
        }
        if socket.requests_handled(self.iteration) >= MAX_REQUESTS_PER_ITERATION {
            return self.deliver_later(connection, length);
        }
        let requests_before = self.router.counters().client_requests;
        self.router.step(self.clock.now(), Event::Received { connection, bytes: socket.input() });
        let handled = self.router.counters().client_requests - requests_before;
        socket.add_requests_handled(self.iteration, handled);
    }

    /// Closes a connection after a read returned the end of the stream or an error.
    fn close_after_read(&mut self, connection: ConnectionId) {
        self.close_and_report(connection);
        self.execute_effects();
    }
}

/// Returns whether the unconsumed bytes of a connection are those of a long message, or of many.
fn has_large_input(socket: &Socket) -> bool {
    socket.input().len() >= MAX_SMALL_INPUT_BYTES
}
