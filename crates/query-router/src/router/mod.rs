//! The router's state machine: every change of state goes through [`Router::step`] and [`Router::decide`]. Both take
//! plain values and the time, and queue effects; neither touches a socket or a clock.
//!
//! This module routes events to the components and their results to the balancer. A component uses neither the balancer
//! nor any component above it. From the bottom: `timers`, `shutdown`, `endpoints` and `connection` (states alone);
//! `rules` (what may be done now); `context` (the state that all share); `query_table`; `node_connections`; `dispatch`, `clients` and `discovery`;
//! `state` (the components together, as the balancer acts on them); `reports` (what is reported to the balancer).

mod clients;
mod connection;
mod context;
mod discovery;
mod dispatch;
mod endpoints;
mod node_connections;
mod query_table;
mod reports;
mod rules;
mod shutdown;
mod state;
mod timers;

#[cfg(test)]
mod tests;

use crate::config::Config;
use crate::counters::Counters;
use crate::io::{ConnectionId, Effect, Event};
use balancer::{AttemptOutcome, Balancer, EndpointUpdate, Events, Micros};
use connection::ConnectionKind;
use connection::discovery::{BodyProgress, EndpointList};
use discovery::RequestEnd;
use state::State;
use timers::Timer;

/// The router's state machine.
pub struct Router {
    balancer: Balancer,
    state: State,
    /// Whether something was reported to the balancer since its last decision.
    decision_needed: bool,
    last_decision_at: Micros,
    /// The time of the last [`Effect::WakeAt`].
    wake_at: Option<Micros>,
}

impl Router {
    /// A router that starts now.
    pub fn new(config: &Config, now: Micros) -> Router {
        let mut router = Router {
            balancer: Balancer::new(config.seed, config.settings.clone()),
            state: State::new(config, now),
            decision_needed: true,
            last_decision_at: 0,
            wake_at: None,
        };
        let cached = EndpointList { update: EndpointUpdate::Cached, json: config.cached_endpoints.clone() };
        router.apply_endpoint_list(&cached);
        router.state.discovery.start(&mut router.state.context);
        router
    }

    /// Takes the effects that the event loop is to carry out, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.state.context.effects)
    }

    /// The counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.state.context.counters
    }

    /// Processes one event.
    pub fn step(&mut self, now: Micros, event: Event) {
        self.state.context.now = now;
        match event {
            Event::ClientConnected => self.state.clients.connected(&mut self.state.context),
            Event::ConnectDelayed(id) => node_connections::connect_delayed(&mut self.state.context, id),
            Event::Established(id) => self.established(id),
            Event::Received { connection: id, bytes } => self.received(id, bytes),
            Event::Flushed(id) => self.flushed(id),
            Event::PeerClosed(id) => self.closed_by_peer(id),
            Event::Ended { connection: id, written_bytes } => self.ended(id, written_bytes),
            Event::TimerExpired => self.expire_timers(),
            Event::DiscoveryMoved(address) => {
                self.state.discovery.set_address(&mut self.state.context, address)
            }
            Event::Terminate => self.begin_shutdown(),
            Event::ReportCounters => {
                let lines = self.counters().lines();
                self.state.context.effects.push(Effect::PrintCounters(lines));
            }
        }
        self.update_wake();
    }

    /// Called once in an event-loop iteration, after all its events. Reports to the balancer what was not reported at
    /// once, and lets the balancer decide, at most once in a decision interval.
    pub fn decide(&mut self, now: Micros) {
        self.state.context.now = now;
        for _ in 0..self.state.discovery.take_unreported_failures() {
            self.state.discovery.note_failure(&mut self.state.context);
            self.report_discovery_failure();
        }
        for finished in self.state.queries.take_pending_outcomes() {
            self.report_attempt(&finished, &[]);
        }
        // Guards against deciding after each event: the balancer then sent several times as many hedged attempts, which
        // overloaded nodes with just enough capacity.
        let interval_is_over = now >= self.last_decision_at + self.state.context.limits.decision_interval;
        if interval_is_over && std::mem::take(&mut self.decision_needed) {
            self.last_decision_at = now;
            self.state.context.counters.decisions += 1;
            self.balancer.decide(now, &mut self.state);
        }
        let State { context, queries, clients, dispatcher, .. } = &mut self.state;
        dispatcher.send_batches(context, queries);
        clients.accept_pending(context);
        self.update_wake();
        if self.may_exit() {
            self.state.context.effects.push(Effect::Exit);
        }
    }

    /// Whether a graceful shutdown has nothing left to wait for.
    pub fn may_exit(&self) -> bool {
        let context = &self.state.context;
        context.shutdown.closes_idle()
            && context.connections.clients().next().is_none()
            && !self.state.clients.has_pending_accepts()
    }

    /// Asks for [`Event::TimerExpired`] at the time of the first timer, or of the next decision if one is needed.
    fn update_wake(&mut self) {
        let State { context, queries, discovery, .. } = &mut self.state;
        let decision_needed =
            self.decision_needed || queries.has_pending_outcomes() || discovery.has_unreported_failures();
        let decision_at = decision_needed.then_some(self.last_decision_at + context.limits.decision_interval);
        let next = context.timers.next_at().into_iter().chain(decision_at).min();
        if std::mem::replace(&mut self.wake_at, next) != next {
            context.effects.push(Effect::WakeAt(next));
        }
    }

    fn established(&mut self, id: ConnectionId) {
        let State { context, queries, discovery, .. } = &mut self.state;
        match context.connections.kind(id) {
            Some(ConnectionKind::Node) => node_connections::established(context, queries, id),
            Some(ConnectionKind::Discovery) => discovery.established(context, id),
            Some(ConnectionKind::Client) | None => {}
        }
    }

    fn received(&mut self, id: ConnectionId, bytes: &[u8]) {
        match self.state.context.connections.kind(id) {
            Some(ConnectionKind::Client) => self.client_received(id, bytes),
            Some(ConnectionKind::Node) => self.node_received(id, bytes),
            Some(ConnectionKind::Discovery) => self.discovery_received(id, bytes),
            None => {}
        }
    }

    fn flushed(&mut self, id: ConnectionId) {
        let State { context, queries, clients, .. } = &mut self.state;
        match context.connections.kind(id) {
            Some(ConnectionKind::Client) => clients.answer_written(context, id),
            Some(ConnectionKind::Node) => node_connections::flushed(context, queries, id),
            Some(ConnectionKind::Discovery) | None => {}
        }
    }

    fn closed_by_peer(&mut self, id: ConnectionId) {
        let State { context, discovery, .. } = &mut self.state;
        if context.connections.kind(id) == Some(ConnectionKind::Discovery) {
            discovery.closed_by_peer(context, id);
        }
    }

    fn ended(&mut self, id: ConnectionId, written_bytes: u64) {
        let State { context, queries, discovery, .. } = &mut self.state;
        match context.connections.kind(id) {
            Some(ConnectionKind::Client) => self.client_ended(id),
            Some(ConnectionKind::Node) => {
                let reports = node_connections::ended(context, queries, id, written_bytes);
                self.report_all(reports);
            }
            Some(ConnectionKind::Discovery) => {
                let end = discovery.ended(context, id);
                self.discovery_request_ended(id, end);
            }
            None => {}
        }
    }

    fn expire_timers(&mut self) {
        let now = self.state.context.now;
        while let Some(timer) = self.state.context.timers.pop_expired(now) {
            self.timer_expired(timer);
        }
    }

    fn timer_expired(&mut self, timer: Timer) {
        let State { context, queries, clients, dispatcher, discovery } = &mut self.state;
        match timer {
            Timer::Balancer(token) => {
                self.balancer.timer_expired(context.now, token);
                self.decision_needed = true;
            }
            Timer::AttemptTimeout(attempt) => {
                dispatcher.cancel(context, queries, attempt, AttemptOutcome::TimedOut);
            }
            Timer::HealthCheckTimeout(id) => {
                let report = node_connections::health_check_timed_out(context, id);
                self.report_all(report);
            }
            Timer::StartWatch => discovery.start_watch(context),
            Timer::CloseIdleClients => clients.close_idle(context),
            Timer::AnswerDeadline => clients.reject_incomplete(context),
            Timer::Connection(id) => self.connection_timer_expired(id),
        }
    }

    fn connection_timer_expired(&mut self, id: ConnectionId) {
        let State { context, queries, clients, discovery, .. } = &mut self.state;
        context.connections.set_timer_at(id, None);
        match context.connections.kind(id) {
            Some(ConnectionKind::Client) => clients.timer_expired(context, id),
            Some(ConnectionKind::Node) => {
                let reports = node_connections::timer_expired(context, queries, id);
                self.report_all(reports);
            }
            Some(ConnectionKind::Discovery) => {
                let end = discovery.timed_out(context, id);
                self.discovery_request_ended(id, end);
            }
            None => {}
        }
    }

    /// Starts the graceful shutdown, unless it has been started before.
    fn begin_shutdown(&mut self) {
        let State { context, queries, clients, .. } = &mut self.state;
        let longest_deadline = clients.longest_deadline();
        if context.shutdown.begin(&mut context.timers, context.now, longest_deadline) {
            tracing::info!(open_requests = queries.open_count(), "graceful shutdown started");
            // Guards against queries that came before the signal and whose deadline lies behind the kill.
            if let Some(answer_by) = context.shutdown.answer_deadline() {
                self.balancer.shutdown_started(context.now, answer_by);
            }
        }
    }

    fn client_received(&mut self, id: ConnectionId, bytes: &[u8]) {
        let State { context, queries, clients, .. } = &mut self.state;
        if let Some(accepted) = clients.received(context, queries, id, bytes) {
            self.report_query(accepted);
        }
    }

    /// Handles the disconnect of a client, whose query needs no answer any more.
    fn client_ended(&mut self, id: ConnectionId) {
        let State { context, queries, clients, dispatcher, .. } = &mut self.state;
        if let Some(query) = clients.awaited_query(context, id) {
            tracing::debug!(
                query = queries.wire_id(query),
                connection = id.0,
                "client left before its answer"
            );
            queries.end_query(query);
            dispatcher.cancel_unwritten(context, queries, query);
            context.counters.queries_abandoned_by_client += 1;
            self.balancer.client_disconnected(context.now, query);
            self.decision_needed = true;
        }
        clients.close(context, id);
    }

    fn node_received(&mut self, id: ConnectionId, bytes: &[u8]) {
        let mut offset = 0;
        loop {
            let State { context, queries, .. } = &mut self.state;
            let report = node_connections::next_report(context, queries, id, bytes, &mut offset);
            let Some(report) = report else { return };
            self.report(report);
        }
    }

    /// Reads a response of discovery and applies each update as soon as it is complete.
    fn discovery_received(&mut self, id: ConnectionId, bytes: &[u8]) {
        let State { context, discovery, .. } = &mut self.state;
        let read = match discovery.read(context, id, bytes) {
            Ok(read) => read,
            Err(error) => {
                let end = discovery.reject_response(context, id, &error);
                return self.discovery_request_ended(id, end);
            }
        };
        loop {
            let State { context, discovery, .. } = &mut self.state;
            match discovery.next_update(context, id) {
                Ok(Some(list)) => self.apply_endpoint_list(&list),
                Ok(None) => break,
                Err(error) => {
                    let end = discovery.reject_response(context, id, &error);
                    return self.discovery_request_ended(id, end);
                }
            }
        }
        let State { context, discovery, .. } = &mut self.state;
        discovery.finish_reading(context, id, read);
        if read.progress == BodyProgress::Complete {
            let end = discovery.ended(context, id);
            self.discovery_request_ended(id, end);
        }
    }

    fn discovery_request_ended(&mut self, id: ConnectionId, end: RequestEnd) {
        match end {
            RequestEnd::List(list) => {
                self.apply_endpoint_list(&list);
                self.state.context.close(id);
            }
            RequestEnd::WatchRestarted => {}
            RequestEnd::Failed => self.report_discovery_failure(),
        }
    }
}
