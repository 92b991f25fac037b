//! Execution of the effects that the router requests, and reporting of the events that follow from them.

use super::pending_event::PendingEvent;
use super::retries::Retry;
use super::server::{ExitState, Server};
use super::socket::{ConnectState, ReadOutcome, Socket, Unread, WriteOutcome, start_connecting};
use super::system_error;

use crate::io::{Bytes, ConnectionId, Effect, Event, ExpectedInput};
use crate::log_output::LogOutput;
use crate::protocol::http::{MAX_PIPELINED_BYTES, MAX_REQUEST_BYTES};
use calloop::generic::Generic;
use calloop::{InsertError, Interest, Mode, PostAction, Readiness};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

impl Server {
    /// Reports an event to the router and executes the effects that the router requests.
    pub(super) fn report_event(&mut self, event: Event) {
        self.router.step(self.clock.now(), event);
        self.execute_effects();
    }

    /// Executes the requested effects and reports the events that follow from them, until neither is left.
    pub(super) fn execute_effects(&mut self) {
        loop {
            for effect in self.router.take_effects() {
                self.execute(effect);
            }
            let now = self.clock.now();
            match self.pending_events.pop_front() {
                None => return,
                Some(PendingEvent::RedeliverInput(connection)) => self.redeliver_input(connection),
                Some(PendingEvent::UnexpectedInput(connection)) => {
                    self.report_unexpected(connection);
                    self.close_and_report(connection);
                }
                Some(PendingEvent::ConnectDelayed(connection)) => {
                    self.router.step(now, Event::ConnectDelayed(connection));
                }
                Some(PendingEvent::Flushed(connection)) => self.router.step(now, Event::Flushed(connection)),
                Some(PendingEvent::Ended { connection, written_bytes }) => {
                    self.router.step(now, Event::Ended { connection, written_bytes });
                }
            }
        }
    }

    /// Executes one effect and queues the events that follow from it.
    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Accept(connection) => {
                if let Some(stream) = self.listener.take_accepted() {
                    self.register(connection, stream, ConnectState::Connected);
                }
            }
            Effect::Connect { connection, address } => self.connect(connection, address),
            Effect::Consume { connection, count } => self.consume(connection, count),
            Effect::Redeliver(connection) => {
                self.pending_events.push_back(PendingEvent::RedeliverInput(connection))
            }
            Effect::Write { connection, buffers } => self.write(connection, buffers),
            Effect::WriteIfOpen { connection, buffers, expected } => {
                self.write_if_open(connection, buffers, expected);
            }
            Effect::CloseWrite(connection) => {
                if let Some(socket) = self.socket(connection) {
                    socket.shut_down_writing();
                }
            }
            Effect::Close(connection) => {
                self.retries.remove(connection);
                self.remove_socket(connection);
                // The router may reuse the id, so queued events of the closed connection must not be reported.
                self.pending_events.retain(|event| event.connection() != connection);
            }
            Effect::CloseIfIdle(connection) => self.close_if_idle(connection),
            Effect::Abort(connection) => self.close_and_report(connection),
            Effect::WakeAt(wake_at) => self.wake_at = wake_at,
            Effect::PrintCounters(lines) => {
                let _ = LogOutput.write_all(lines.as_bytes());
            }
            Effect::Exit => self.exit = ExitState::Requested,
        }
    }

    fn connect(&mut self, connection: ConnectionId, address: SocketAddr) {
        match start_connecting(address) {
            Ok(stream) => self.register(connection, stream, ConnectState::Connecting),
            Err(error) if system_error::is_transient(&error) => {
                self.delay_opening(connection, &error, Retry::Connect(address));
            }
            Err(_) => self.report_unopened(connection),
        }
    }

    /// Schedules a retry of opening a connection after a transient error.
    fn delay_opening(&mut self, connection: ConnectionId, error: &std::io::Error, retry: Retry) {
        let now = self.clock.now();
        tracing::debug!(connection = connection.0, %error, "connect delayed by a local shortage; retrying");
        self.retries.add(now, connection, retry);
        self.pending_events.push_back(PendingEvent::ConnectDelayed(connection));
    }

    /// Repeats the calls whose retry time is reached.
    pub(super) fn run_due_retries(&mut self) {
        for (connection, retry) in self.retries.take_due(self.clock.now()) {
            match retry {
                Retry::Connect(address) => self.connect(connection, address),
                Retry::Register(stream, state) => self.register(connection, stream, state),
                Retry::CloseIfIdle => self.close_if_idle(connection),
                Retry::ReadAndWrite => {
                    let readiness = Readiness { readable: true, writable: true, error: false };
                    self.ready.add(connection, readiness);
                }
            }
        }
        self.execute_effects();
    }

    /// Schedules a retry of reading and writing on a connection after a local shortage.
    pub(super) fn read_and_write_later(&mut self, connection: ConnectionId) {
        self.retries.add(self.clock.now(), connection, Retry::ReadAndWrite);
    }

    fn consume(&mut self, connection: ConnectionId, count: usize) {
        if let Some(socket) = self.socket_mut(connection) {
            socket.consume_input(count);
        }
    }

    /// Closes a connection that has no unread input. Unread bytes or an unread end of stream are handled when the loop
    /// reads them.
    fn close_if_idle(&mut self, connection: ConnectionId) {
        match self.unread(connection) {
            Some(Unread::Nothing) => self.close_and_report(connection),
            Some(Unread::Unknown) => {
                self.retries.add(self.clock.now(), connection, Retry::CloseIfIdle);
            }
            Some(Unread::Bytes | Unread::End) | None => {}
        }
    }

    fn write(&mut self, connection: ConnectionId, buffers: Vec<Bytes>) {
        if let Some(socket) = self.socket_mut(connection) {
            socket.queue_output(buffers);
            self.write_queued(connection);
        }
    }

    /// Writes buffers, or closes the connection if the peer has closed it or sent unexpected bytes. These are reported
    /// first, since they may show that the last response is cut off.
    fn write_if_open(&mut self, connection: ConnectionId, buffers: Vec<Bytes>, expected: ExpectedInput) {
        match self.unread(connection) {
            Some(Unread::End) => self.close_and_report(connection),
            Some(Unread::Bytes) if expected == ExpectedInput::Nothing => {
                self.pending_events.push_back(PendingEvent::UnexpectedInput(connection));
            }
            _ => self.write(connection, buffers),
        }
    }

    /// Reads once from a connection, and reports the bytes to the router as unexpected.
    fn report_unexpected(&mut self, connection: ConnectionId) {
        let Some(Some(socket)) = self.sockets.get_mut(connection.0) else { return };
        if socket.read(&mut self.read_buffer) == ReadOutcome::Received {
            self.router
                .step(self.clock.now(), Event::ReceivedUnexpected { connection, bytes: socket.input() });
        }
    }

    /// Writes the queued output of a connection until the send buffer of the socket is full.
    pub(super) fn write_queued(&mut self, connection: ConnectionId) {
        let Some(socket) = self.socket_mut(connection) else { return };
        match socket.write_queued() {
            WriteOutcome::Flushed => self.pending_events.push_back(PendingEvent::Flushed(connection)),
            // Bytes received before the failure are still read; that read also detects the end of the connection.
            WriteOutcome::Failed => self.read_in_next_iteration(connection),
            WriteOutcome::LocalShortage => self.read_and_write_later(connection),
            WriteOutcome::NothingQueued | WriteOutcome::WouldBlock => {}
        }
    }

    /// Checks a connection for unread input; `None` if the connection is not open.
    pub(super) fn unread(&self, connection: ConnectionId) -> Option<Unread> {
        self.socket(connection).map(Socket::unread)
    }

    /// Schedules a read in the next iteration, because the edge-triggered source does not report input again that was
    /// reported before.
    pub(super) fn read_in_next_iteration(&mut self, connection: ConnectionId) {
        self.ready.add(connection, Readiness { readable: true, writable: false, error: false });
    }

    /// Closes a connection and queues [`PendingEvent::Ended`], unless it is closed already.
    pub(super) fn close_and_report(&mut self, connection: ConnectionId) {
        let was_unopened = self.retries.remove(connection);
        if let Some(socket) = self.remove_socket(connection) {
            let written_bytes = socket.written_bytes();
            self.pending_events.push_back(PendingEvent::Ended { connection, written_bytes });
        } else if was_unopened {
            self.report_unopened(connection);
        }
    }

    /// Queues [`PendingEvent::Ended`] for a connection that could not be opened.
    fn report_unopened(&mut self, connection: ConnectionId) {
        self.pending_events.push_back(PendingEvent::Ended { connection, written_bytes: 0 });
    }

    /// Removes a socket from the event loop; dropping the returned value closes the connection.
    fn remove_socket(&mut self, connection: ConnectionId) -> Option<Socket> {
        let socket = self.sockets.get_mut(connection.0)?.take()?;
        self.handle.remove(socket.token());
        self.ready.remove(connection);
        Some(socket)
    }

    /// Registers a stream with the event loop under the id that the router assigned.
    fn register(&mut self, connection: ConnectionId, stream: TcpStream, state: ConnectState) {
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let inserted = self.handle.insert_source(source, move |readiness, _, server: &mut Server| {
            server.ready.add(connection, readiness);
            Ok(PostAction::Continue)
        });
        let token = match inserted {
            Ok(token) => token,
            Err(InsertError { inserted, error }) => {
                drop(inserted);
                return self.register_later(connection, stream, state, &error);
            }
        };
        if self.sockets.len() <= connection.0 {
            self.sockets.resize_with(connection.0 + 1, || None);
        }
        let max_input_bytes =
            if self.router.is_client(connection) { MAX_PIPELINED_BYTES } else { MAX_REQUEST_BYTES };
        self.sockets[connection.0] = Some(Socket::new(stream, token, state, max_input_bytes));
    }

    /// Handles a failed registration with the event loop: schedules a retry if the error is transient, else reports
    /// that the connection could not be opened.
    fn register_later(
        &mut self, connection: ConnectionId, stream: Rc<TcpStream>, state: ConnectState,
        error: &calloop::Error,
    ) {
        match (system_error::io_error_of(error), Rc::try_unwrap(stream)) {
            (Some(cause), Ok(stream)) if system_error::is_transient(cause) => {
                self.delay_opening(connection, cause, Retry::Register(stream, state));
            }
            _ => self.report_unopened(connection),
        }
    }
}
