//! The router's state machine: every change of state goes through [`Router::step`] and [`Router::decide`]. Both take
//! plain values and the time, and queue effects; neither touches a socket or a clock.
//!
//! This module dispatches events to the components and passes their results to the balancer. A component uses neither
//! the balancer nor any component above it. From the bottom:
//!
//! - `connection_kind`, `timers`, `shutdown`, `read_wait`, `executed_ids`, `log_limit`, `endpoints` and `connection`:
//!   state without effects
//! - `rules`: preconditions of actions
//! - `descriptor_shares`: who may take how many file descriptors
//! - `context`: the state that all components share
//! - `query_table`: the queries in progress
//! - `node_connections`: the connections to data nodes
//! - `dispatch`, `clients` and `discovery`: the waiting batches, the client connections, and the requests to discovery
//! - `state`: all components, and the actions that the balancer requests of them
//! - `reports`: reports to the balancer

mod clients;
mod connection;
mod connection_kind;
mod context;
mod descriptor_shares;
mod discovery;
mod dispatch;
mod endpoints;
mod executed_ids;
mod log_limit;
mod node_connections;
mod query_table;
mod read_wait;
mod reports;
mod rules;
mod shutdown;
mod state;
mod timers;

#[cfg(test)]
mod tests;

use crate::config::Config;
use crate::counters::Counters;
use crate::io::{BufferSizes, ConnectionId, Effect, Event, IterationReport};
use balancer::{AttemptOutcome, Balancer, Events, Micros};
use connection::discovery::EndpointList;
use connection_kind::ConnectionKind;
use read_wait::ReadWait;
use state::State;
use std::net::SocketAddr;
use timers::Timer;

pub use discovery::{DiscoveryClient, DiscoveryEffect, DiscoveryEvent, EndpointReport};

/// The router's state machine.
pub struct Router {
    balancer: Balancer,
    state: State,
    /// Whether the balancer has received a report or an expired timer since its last decision; initially true.
    decision_needed: bool,
    /// Whether the next decision waits for the rest of a read.
    read_wait: ReadWait,
    last_decision_at: Micros,
    /// The time of the last [`Effect::WakeAt`]; `None` if no timer is set.
    wake_at: Option<Micros>,
}

impl Router {
    /// Creates a router that starts at `now`. Applies the cached endpoint list, which is provisional and leads to a watch
    /// if endpoint lists are pushed.
    pub fn new(config: &Config, now: Micros) -> Router {
        let mut router = Router {
            balancer: Balancer::new(config.seed, config.settings.clone()),
            state: State::new(config, now),
            decision_needed: true,
            read_wait: ReadWait::None,
            last_decision_at: 0,
            wake_at: None,
        };
        let update = router.state.discovery.initial_update();
        let cached = EndpointList { update, json: config.cached_endpoints.clone() };
        router.state.discovery.load(cached);
        router.report_discovery();
        router.state.discovery.start(&mut router.state.context);
        router
    }

    /// Removes and returns the queued effects in the order in which the event loop must carry them out.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.state.context.effects)
    }

    /// Returns the counters since the start of the router.
    pub fn counters(&self) -> &Counters {
        &self.state.context.counters
    }

    /// Returns whether a connection is a request to discovery.
    pub fn is_discovery(&self, id: ConnectionId) -> bool {
        self.state.context.connections.kind(id) == Some(ConnectionKind::Discovery)
    }

    /// Returns whether a connection is that of a client.
    pub fn is_client(&self, id: ConnectionId) -> bool {
        self.state.context.connections.kind(id) == Some(ConnectionKind::Client)
    }

    /// Counts an iteration of the event loop.
    pub fn record_iteration(&mut self, report: &IterationReport) {
        self.state.context.counters.record_iteration(report);
    }

    /// Records the bytes that the buffers of connections and the queries in progress hold.
    pub fn record_buffer_sizes(&mut self, sizes: BufferSizes) {
        let State { context, queries, .. } = &mut self.state;
        context.counters.record_buffer_sizes(sizes, queries.held_bytes());
        context.counters.queries_open = queries.open_query_count() as u64;
    }

    /// Processes one event.
    pub fn step(&mut self, now: Micros, event: Event) {
        self.state.context.now = now;
        match event {
            Event::ClientConnected => self.state.clients.connected(&mut self.state.context),
            Event::ConnectDelayed(id) => node_connections::connect_delayed(&mut self.state.context, id),
            Event::Established(id) => self.established(id),
            Event::InputAged { connection: id, age } => self.input_aged(id, age),
            Event::Received { connection: id, bytes } => self.received(id, bytes),
            Event::Buffered { connection: id, length } => self.buffered(id, length),
            Event::ReceivedUnexpected { connection: id, bytes } => self.received_unexpected(id, bytes),
            Event::ReadPaused(id) => self.read_paused(id),
            Event::Flushed(id) => self.flushed(id),
            Event::PeerClosed(id) => self.closed_by_peer(id),
            Event::Ended { connection: id, written_bytes } => self.ended(id, written_bytes),
            Event::TimerExpired => self.expire_timers(),
            Event::DiscoveryAddressReloaded(address) => self.set_discovery_address(address),
            Event::Terminate => self.begin_shutdown(),
            Event::ReportCounters => {
                let lines = self.counters().lines();
                self.state.context.effects.push(Effect::PrintCounters(lines));
            }
        }
        self.update_wake_time();
    }

    /// Ends an event-loop iteration, after all its events: passes pending reports to the balancer and lets the balancer
    /// decide, at most once in a decision interval.
    pub fn decide(&mut self, now: Micros) {
        self.state.context.now = now;
        self.report_discovery();
        for finished in self.state.queries.take_pending_outcomes() {
            self.report_attempt(&finished, &[]);
        }
        for invalidated in self.state.queries.take_pending_invalidations() {
            self.report_invalidation(&invalidated);
        }
        // Deciding after each event made the balancer send several times as many hedged attempts, which overloaded
        // nodes with just enough capacity.
        let interval_is_over = now >= self.last_decision_at + self.state.context.limits.decision_interval;
        let waits_for_read = self.read_wait.end_iteration();
        if interval_is_over && !waits_for_read && std::mem::take(&mut self.decision_needed) {
            self.last_decision_at = now;
            self.state.context.counters.decisions += 1;
            self.balancer.decide(now, &mut self.state);
            self.update_readiness();
        }
        let State { context, queries, clients, dispatcher, .. } = &mut self.state;
        dispatcher.send_batches(context, queries);
        clients.accept_pending(context);
        self.update_wake_time();
        if self.may_exit() {
            self.state.context.effects.push(Effect::Exit);
        }
    }

    /// Returns whether a graceful shutdown is complete: it has reached the phase in which idle connections are closed,
    /// and no client is connected or waits to be accepted, or its time is over.
    pub fn may_exit(&self) -> bool {
        let context = &self.state.context;
        let has_no_client =
            context.connections.clients().next().is_none() && !self.state.clients.has_pending_accepts();
        context.shutdown.closes_idle_connections() && (has_no_client || self.is_shutdown_over())
    }

    /// Returns whether the time of a graceful shutdown is over and no query is open. Clients that connect again and again
    /// cannot delay the exit beyond that.
    pub fn is_shutdown_over(&self) -> bool {
        let State { context, queries, .. } = &self.state;
        context.shutdown.is_over(context.now) && queries.open_count() == 0
    }

    /// Records whether the balancer serves queries, for health checks by the platform.
    fn update_readiness(&mut self) {
        self.state.context.awaits_endpoint_list = self.balancer.awaits_endpoint_list();
    }

    /// Requests [`Event::TimerExpired`] for the earliest timer, or for the next decision if one is needed and comes
    /// first.
    fn update_wake_time(&mut self) {
        let State { context, queries, discovery, .. } = &mut self.state;
        let decision_needed =
            self.decision_needed || queries.has_pending_outcomes() || discovery.has_pending_reports();
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
            Some(ConnectionKind::Discovery) => {
                self.state.discovery.received(&mut self.state.context, id, bytes);
                self.report_discovery();
            }
            None => {}
        }
    }

    fn input_aged(&mut self, id: ConnectionId, age: Micros) {
        let State { context, clients, .. } = &mut self.state;
        if context.connections.kind(id) == Some(ConnectionKind::Client) {
            clients.input_aged(context, id, age);
        }
    }

    fn buffered(&mut self, id: ConnectionId, length: usize) {
        let State { context, clients, .. } = &mut self.state;
        if context.connections.kind(id) == Some(ConnectionKind::Client) {
            clients.buffered(context, id, length);
        }
    }

    fn received_unexpected(&mut self, id: ConnectionId, bytes: &[u8]) {
        let State { context, queries, .. } = &mut self.state;
        if context.connections.kind(id) == Some(ConnectionKind::Node) {
            node_connections::received_unexpected(context, queries, id, bytes);
        }
    }

    /// Lets the next decision wait if the rest of a read may show that a response is cut off.
    fn read_paused(&mut self, id: ConnectionId) {
        let connection = self.state.context.connections.node(id);
        if connection.is_some_and(|connection| connection.responses.has_unconfirmed_response()) {
            self.read_wait.request();
        }
    }

    fn flushed(&mut self, id: ConnectionId) {
        let State { context, queries, clients, .. } = &mut self.state;
        match context.connections.kind(id) {
            Some(ConnectionKind::Client) => clients.response_written(context, id),
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
                self.report_all_to_balancer(reports);
            }
            Some(ConnectionKind::Discovery) => {
                discovery.ended(context, id);
                self.report_discovery();
            }
            None => {}
        }
    }

    fn expire_timers(&mut self) {
        let now = self.state.context.now;
        while let Some(timer) = self.state.context.timers.pop_expired(now) {
            self.timer_expired(timer);
        }
        self.report_discovery();
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
                self.report_all_to_balancer(report);
            }
            Timer::StartWatch | Timer::AdditionalWatch | Timer::AcceptOlderRevision => {
                discovery.timer_expired(context, timer);
            }
            Timer::AcceptClients => clients.retry_accept(context),
            Timer::CloseIdleClients => clients.close_idle(context),
            Timer::ResponseDeadline => clients.reject_incomplete(context),
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
                self.report_all_to_balancer(reports);
            }
            Some(ConnectionKind::Discovery) => {
                discovery.request_timer_expired(context, id);
                self.report_discovery();
            }
            None => {}
        }
    }

    fn set_discovery_address(&mut self, address: SocketAddr) {
        let State { context, discovery, .. } = &mut self.state;
        if discovery.set_address(context, address) {
            self.balancer.discovery_address_changed(context.now);
            self.decision_needed = true;
            self.report_discovery();
        }
    }

    /// Starts a graceful shutdown; has no effect if one is in progress.
    fn begin_shutdown(&mut self) {
        let State { context, queries, clients, .. } = &mut self.state;
        let longest_deadline = clients.longest_deadline();
        if context.shutdown.begin(&mut context.timers, context.now, longest_deadline) {
            tracing::info!(open_requests = queries.open_count(), "graceful shutdown started");
            // Queries that arrived before the signal may have a deadline after the time at which the process is killed.
            if let Some(respond_by) = context.shutdown.response_deadline() {
                self.balancer.shutdown_started(context.now, respond_by);
            }
        }
    }

    fn client_received(&mut self, id: ConnectionId, bytes: &[u8]) {
        let State { context, queries, clients, .. } = &mut self.state;
        if let Some(accepted) = clients.received(context, queries, id, bytes) {
            self.report_query(accepted);
        }
    }

    /// Handles the disconnect of a client. Its query, if any, ends without a response.
    fn client_ended(&mut self, id: ConnectionId) {
        let State { context, queries, clients, dispatcher, .. } = &mut self.state;
        if let Some(query) = clients.awaited_query(context, id) {
            tracing::debug!(
                query = queries.wire_id(query),
                connection = id.0,
                "client disconnected before its response"
            );
            queries.end_query(query);
            dispatcher.cancel_unwritten(context, queries, query);
            context.counters.queries_abandoned_by_client += 1;
            self.balancer.client_disconnected(context.now, query);
            self.decision_needed = true;
        }
        clients.close(context, id);
        clients.accept_pending(context);
    }

    fn node_received(&mut self, id: ConnectionId, bytes: &[u8]) {
        let mut offset = 0;
        loop {
            let State { context, queries, .. } = &mut self.state;
            let report = node_connections::next_report(context, queries, id, bytes, &mut offset);
            let Some(report) = report else { return };
            self.report_to_balancer(report);
        }
    }
}
