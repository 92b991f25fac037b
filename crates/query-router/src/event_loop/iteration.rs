//! One iteration of the event loop: events are reported to the router in a fixed order, then the router decides once.

use super::input::MAX_SMALL_INPUT_BYTES;
use super::listener::AcceptOutcome;
use super::server::{ExitState, Server};
use super::signals::SignalRequest;
use super::socket::{ConnectProgress, Socket};
use crate::io::{BufferSizes, ConnectionId, Event};
use crate::protocol::http::MAX_BODY_BYTES;
use balancer::Micros;
use calloop::Readiness;
use std::time::Duration;

/// Time after which no further connection of a group is handled and no further read is begun, in microseconds. It is part
/// of each latency that the balancer learns.
pub(super) const GROUP_TIME_LIMIT: Micros = 2_000;
/// Maximum number of clients that are accepted in an iteration.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;

/// The order in which the ready connections are handled in one iteration, which may come long after their events.
/// Otherwise a request could be sent although, in the same iteration, its node began to drain or its client disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Turn {
    /// Requests to discovery: a drain cancels what waits for room to write or for a connection.
    Discovery,
    /// Established connections to data nodes: what was begun ends before more is begun.
    Node,
    /// Connections of clients.
    Client,
    /// Connections that are being established.
    Connecting,
}

impl Server {
    /// Returns the maximum time to wait for events; `None` (no limit) if no timer is set.
    pub(super) fn poll_timeout(&self) -> Option<Duration> {
        let now = self.clock.now();
        if !self.ready.is_empty() || self.accept_pending {
            return Some(Duration::ZERO);
        }
        let reload_at = self.pending_reload.as_ref().map(|reload| reload.retry_at);
        let wake_times = [self.wake_at, self.listener.resume_at(), self.retries.next_due_at(), reload_at];
        let next = wake_times.into_iter().flatten().min();
        next.map(|at| Duration::from_micros((at - now).max(0) as u64))
    }

    /// Reports all pending events to the router, then lets it decide once.
    pub(super) fn run_iteration(&mut self) {
        self.iteration += 1;
        self.monitor.begin(self.clock.now());
        self.close_hung_up_clients();
        self.handle_ready_connections();
        self.run_due_retries();
        if std::mem::take(&mut self.accept_pending) {
            self.accept_clients();
        }
        self.handle_signals();
        self.retry_reload();
        if self.wake_at.is_some_and(|at| at <= self.clock.now()) {
            self.report_event(Event::TimerExpired);
        }
        let decision_started_at = self.clock.now();
        self.decide();
        self.monitor.set_decision(self.clock.now() - decision_started_at);
        self.exit_if_requested();
        if self.listener.resume_at().is_some_and(|at| self.clock.now() >= at) {
            self.listener.resume(&self.handle);
        }
        self.finish_measurement();
    }

    /// Reports the measurements of the iteration to the router, and samples the buffers from time to time.
    fn finish_measurement(&mut self) {
        let now = self.clock.now();
        let report = self.monitor.end(now);
        self.router.record_iteration(&report);
        if self.monitor.take_sample_due(now) {
            let sizes = self.buffer_sizes();
            self.router.record_buffer_sizes(sizes);
        }
    }

    /// Returns the bytes in the buffers of all connections.
    fn buffer_sizes(&self) -> BufferSizes {
        let mut sizes = BufferSizes::default();
        for (index, socket) in self.sockets.iter().enumerate() {
            let Some(socket) = socket else { continue };
            if self.router.is_client(ConnectionId(index)) {
                sizes.client_input += socket.input_capacity();
                sizes.client_output += socket.unwritten_bytes();
            } else {
                sizes.upstream += socket.input_capacity() + socket.unwritten_bytes();
            }
        }
        sizes
    }

    /// Handles the connections in the order of [`Turn`], then those that had their share of an earlier iteration. Each
    /// place of that order has [`GROUP_TIME_LIMIT`], and at least one of its connections is handled, so that none keeps the
    /// others waiting; the rest of it waits for the next iteration.
    pub(super) fn handle_ready_connections(&mut self) {
        self.start_turns();
        let connections = self.ready.take_next().into_iter();
        let mut next: Vec<(Turn, ConnectionId)> =
            connections.map(|connection| (self.turn(connection), connection)).collect();
        next.sort_by_key(|&(turn, _)| turn);
        let mut unhandled = Vec::new();
        for group in next.chunk_by(|(turn, _), (other, _)| turn == other) {
            let handled = self.handle_group(group);
            unhandled.extend(group[handled..].iter().map(|&(_, connection)| connection));
        }
        self.ready.put_back(unhandled);
        self.handle_backlog();
    }

    /// Handles the connections of a group until its time is over. Returns how many were handled.
    fn handle_group(&mut self, group: &[(Turn, ConnectionId)]) -> usize {
        self.start_turns();
        for (index, &(turn, connection)) in group.iter().enumerate() {
            self.take_turn(connection, MAX_SMALL_INPUT_BYTES);
            // All requests to discovery, which are few, are read before anything is written.
            if turn != Turn::Discovery && self.is_time_over() {
                return index + 1;
            }
        }
        group.len()
    }

    /// Handles connections that had their share of an earlier iteration, in the time that is left; one at least.
    fn handle_backlog(&mut self) {
        for _ in 0..self.ready.backlog_len() {
            let Some(connection) = self.ready.pop_backlog() else { return };
            self.take_turn(connection, MAX_BODY_BYTES);
            if self.is_time_over() {
                return;
            }
        }
    }

    /// Starts the time of a group of connections.
    fn start_turns(&mut self) {
        self.turns_end_at = self.clock.now() + self.group_time_limit;
    }

    /// Returns whether the time of a group of connections is over.
    pub(super) fn is_time_over(&self) -> bool {
        self.clock.now() >= self.turns_end_at
    }

    /// Handles a connection and measures how long that takes. `max_client_read` is the maximum size of a read in bytes if
    /// the peer is a client.
    fn take_turn(&mut self, connection: ConnectionId, max_client_read: usize) {
        let Some(readiness) = self.ready.take_readiness(connection) else { return };
        let started_at = self.clock.now();
        let requests_before = self.router.counters().client_requests;
        if self.socket(connection).is_some_and(Socket::has_undelivered_input) {
            self.deliver_unless_closed(connection);
            self.execute_effects();
        }
        self.handle_readiness(connection, readiness, max_client_read);
        let requests = self.router.counters().client_requests - requests_before;
        self.monitor.add_turn(connection, self.clock.now() - started_at, requests);
    }

    /// Returns the place of a connection in the order of an iteration.
    pub(super) fn turn(&self, connection: ConnectionId) -> Turn {
        let is_connected = self.socket(connection).is_some_and(Socket::is_connected);
        match is_connected {
            true if self.router.is_discovery(connection) => Turn::Discovery,
            true if self.router.is_client(connection) => Turn::Client,
            true => Turn::Node,
            false => Turn::Connecting,
        }
    }

    fn handle_readiness(&mut self, connection: ConnectionId, readiness: Readiness, max_client_read: usize) {
        let Some(socket) = self.socket_mut(connection) else { return };
        if !socket.is_connected() {
            match socket.finish_connecting() {
                ConnectProgress::Pending => return,
                ConnectProgress::Unknown => return self.read_and_write_later(connection),
                ConnectProgress::Failed => {
                    self.close_and_report(connection);
                    return self.execute_effects();
                }
                ConnectProgress::Connected => self.report_event(Event::Established(connection)),
            }
        }
        if readiness.writable {
            self.write_queued(connection);
            self.execute_effects();
        }
        if readiness.readable {
            self.read(connection, max_client_read);
        }
    }

    /// Accepts clients until none is waiting, [`MAX_ACCEPTS_PER_ITERATION`] is reached, accepting fails, or the router
    /// does not take an accepted stream. Pauses the listener in the last two cases. Returns the outcome of the last call.
    fn accept_clients(&mut self) -> AcceptOutcome {
        let mut outcome = AcceptOutcome::Accepted;
        let mut accepted = 0;
        while !self.listener.has_accepted() {
            if accepted == MAX_ACCEPTS_PER_ITERATION {
                self.accept_pending = true;
                return outcome;
            }
            accepted += 1;
            outcome = self.listener.accept_next(&self.clock);
            match outcome {
                AcceptOutcome::Accepted => self.report_event(Event::ClientConnected),
                AcceptOutcome::NoneWaiting => return outcome,
                AcceptOutcome::Failed => break,
            }
        }
        self.listener.pause(&self.handle);
        outcome
    }

    fn handle_signals(&mut self) {
        for request in std::mem::take(&mut self.pending_signals) {
            match request {
                SignalRequest::ReportCounters => self.report_event(Event::ReportCounters),
                SignalRequest::ReloadConfig => self.reload_config(),
                SignalRequest::Terminate => self.report_event(Event::Terminate),
            }
        }
    }

    /// Lets the router decide, and executes the effects that it requests.
    pub(super) fn decide(&mut self) {
        self.router.decide(self.clock.now());
        self.execute_effects();
    }

    /// Ends the loop if the router requested the exit and still has no work. Accepts waiting clients first: exiting
    /// would reset the connection of a client that connected after the previous accept.
    fn exit_if_requested(&mut self) {
        if self.exit == ExitState::Requested {
            let no_client_waiting =
                self.router.is_shutdown_over() || self.accept_clients() == AcceptOutcome::NoneWaiting;
            self.exit = if no_client_waiting && self.router.may_exit() {
                ExitState::Done
            } else {
                ExitState::Running
            };
        }
    }
}
