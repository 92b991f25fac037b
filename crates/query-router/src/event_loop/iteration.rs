//! The iterations of the event loop: events are reported in a fixed order, then the router decides once.

use super::listener::AcceptOutcome;
use super::server::{ExitState, Server};
use super::signals::SignalRequest;
use super::socket::{ConnectProgress, ReadOutcome, Socket};
use crate::io::{ConnectionId, Event};
use calloop::Readiness;
use std::time::Duration;

/// How often one connection is read in an iteration of the event loop.
const MAX_READS_PER_ITERATION: usize = 4;

impl Server {
    /// The longest time to wait for events; `None` if no timer is set.
    pub(super) fn poll_timeout(&self) -> Option<Duration> {
        let now = self.clock.now();
        if !self.ready.is_empty() {
            return Some(Duration::ZERO);
        }
        let reload_at = self.pending_reload.as_ref().map(|reload| reload.at);
        let wake_times = [self.wake_at, self.listener.resume_at(), self.retries.next_at(), reload_at];
        let next = wake_times.into_iter().flatten().min();
        next.map(|at| Duration::from_micros((at - now).max(0) as u64))
    }

    /// Reports all events to the router, then has it decide once.
    pub(super) fn run_iteration(&mut self) {
        self.handle_ready_connections();
        self.run_due_retries();
        if std::mem::take(&mut self.accept_pending) {
            self.accept_clients();
        }
        self.handle_signals();
        self.repeat_reload();
        if self.wake_at.is_some_and(|at| at <= self.clock.now()) {
            self.report_event(Event::TimerExpired);
        }
        self.decide();
        self.exit_if_requested();
        if self.listener.resume_at().is_some_and(|at| self.clock.now() >= at) {
            self.listener.resume(&self.handle);
        }
    }

    /// Handles established connections before those that are being established. Guards against a request that
    /// goes out on a connection established in this iteration, although its client disconnected or its node began to
    /// drain in the same iteration.
    fn handle_ready_connections(&mut self) {
        let ready = std::mem::take(&mut self.ready);
        let (connected, connecting): (Vec<_>, Vec<_>) = ready
            .into_iter()
            .partition(|&(connection, _)| self.socket(connection).is_some_and(Socket::is_connected));
        for (connection, readiness) in connected.into_iter().chain(connecting) {
            self.handle_readiness(connection, readiness);
        }
    }

    fn handle_readiness(&mut self, connection: ConnectionId, readiness: Readiness) {
        let Some(socket) = self.socket_mut(connection) else { return };
        if !socket.is_connected() {
            match socket.finish_connecting() {
                ConnectProgress::Pending => return,
                ConnectProgress::Unknown => return self.transfer_later(connection),
                ConnectProgress::Failed => {
                    self.close_and_report(connection);
                    return self.carry_out_effects();
                }
                ConnectProgress::Connected => self.report_event(Event::Established(connection)),
            }
        }
        if readiness.writable {
            self.write_queued(connection);
            self.carry_out_effects();
        }
        if readiness.readable {
            self.read(connection);
        }
    }

    /// Reads until nothing is left or the input buffer is full, and reports what was received.
    fn read(&mut self, connection: ConnectionId) {
        for _ in 0..MAX_READS_PER_ITERATION {
            let Some(Some(socket)) = self.sockets.get_mut(connection.0) else { return };
            match socket.read(&mut self.read_buffer) {
                ReadOutcome::Received => {
                    self.router.step(self.clock.now(), Event::Received { connection, bytes: socket.input() });
                    self.carry_out_effects();
                }
                ReadOutcome::Interrupted => {}
                ReadOutcome::LocalShortage => return self.transfer_later(connection),
                ReadOutcome::WouldBlock | ReadOutcome::BufferFull => return,
                ReadOutcome::EndOfStream => {
                    self.router.step(self.clock.now(), Event::PeerClosed(connection));
                    return self.close_after_reading(connection);
                }
                ReadOutcome::Failed => return self.close_after_reading(connection),
            }
        }
        // Guards against a peer that sends at full speed and keeps all others waiting.
        self.read_in_next_iteration(connection);
    }

    /// Closes a connection whose end was read.
    fn close_after_reading(&mut self, connection: ConnectionId) {
        self.close_and_report(connection);
        self.carry_out_effects();
    }

    /// Accepts clients while the router takes them, then pauses the listener. Returns how the last attempt ended.
    fn accept_clients(&mut self) -> AcceptOutcome {
        let mut outcome = AcceptOutcome::Accepted;
        while !self.listener.has_accepted() {
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

    /// Has the router decide, and carries out the effects that it asks for.
    pub(super) fn decide(&mut self) {
        self.router.decide(self.clock.now());
        self.carry_out_effects();
    }

    /// Ends the loop if the router asked for it and still has nothing to wait for. Guards against resetting a client
    /// that connected since the listener was last looked at.
    fn exit_if_requested(&mut self) {
        if self.exit == ExitState::Requested {
            let is_nobody_waiting = self.accept_clients() == AcceptOutcome::NoneWaiting;
            self.exit = if is_nobody_waiting && self.router.may_exit() {
                ExitState::Done
            } else {
                ExitState::Running
            };
        }
    }
}
