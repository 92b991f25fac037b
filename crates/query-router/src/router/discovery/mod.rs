//! Discovery: polls and watches of the endpoint list, further watches beside one that is overdue, and storing of endpoint
//! updates.

mod backoff;
mod client;
mod outcome;
mod partial_list;
mod report;
mod store;
mod watches;

use crate::config::Config;
use crate::io::{ConnectionId, Effect};
use crate::router::connection::Connection;
use crate::router::connection::client::{ClientConnection, ClientState};
use crate::router::connection::discovery::{
    DiscoveryError, DiscoveryRequest, EndpointList, RequestKind, ResponseRead, WatchMessage, WatchUpdate,
    parse_update,
};
use crate::router::context::Context;
use crate::router::timers::Timer;
use backoff::WatchBackoff;
use balancer::{DiscoveryMode, EndpointUpdate, Micros};
pub use client::{DiscoveryClient, DiscoveryEffect, DiscoveryEvent};
use partial_list::PartialList;
pub use report::EndpointReport;
use report::PendingReport;
use serde_json::Value as Json;
use std::collections::VecDeque;
use std::net::SocketAddr;
use watches::Watches;

/// The state that concerns all requests to discovery together.
pub struct Discovery {
    address: SocketAddr,
    mode: DiscoveryMode,
    /// The revision after which a watch requests updates: that of the last update that was applied; 0 before the first
    /// one that is not provisional, and after a change of the address.
    revision: u64,
    /// The highest revision that discovery has sent; 0 before the first, and after lists with older ones are accepted.
    newest_revision: u64,
    /// The time at which lists with an older revision are accepted, if such a list came last.
    accept_older_at: Option<Micros>,
    /// Whether the endpoint list is provisional: it is from before the start, and no full list has arrived.
    is_provisional: bool,
    watches: Watches,
    /// The incomplete update that is in use, if there is one.
    partial_list: Option<PartialList>,
    backoff: WatchBackoff,
    /// The names of the zones by index, as configured.
    zones: Vec<String>,
    /// The number of requests that failed because no connection could be opened and that have not been reported to the
    /// balancer.
    unreported_failures: usize,
    /// What else is to be reported to the balancer, in order.
    pending: VecDeque<PendingReport>,
}

impl Discovery {
    /// Creates the state for the discovery address of the configuration, in a router that may have this many
    /// connections. No request is sent yet.
    pub fn new(config: &Config, max_connections: usize) -> Discovery {
        Discovery {
            address: config.discovery,
            mode: config.settings.discovery_mode,
            revision: 0,
            newest_revision: 0,
            accept_older_at: None,
            is_provisional: false,
            watches: Watches::new(max_connections),
            partial_list: None,
            backoff: WatchBackoff::new(config),
            zones: config.settings.zones.clone(),
            unreported_failures: 0,
            pending: VecDeque::new(),
        }
    }

    /// Returns how the endpoint list from before the start is to be used. Where endpoint lists are pushed, the platform
    /// assumes that a new process knows what discovery knows, so that list is provisional; where they are polled, it may
    /// be used until the first poll is due.
    pub fn initial_update(&self) -> EndpointUpdate {
        match self.mode {
            DiscoveryMode::Pushed => EndpointUpdate::Provisional,
            DiscoveryMode::Polled => EndpointUpdate::Cached,
        }
    }

    /// Starts a watch that lasts for as long as the router runs, if endpoint lists are pushed.
    pub fn start(&mut self, context: &mut Context) {
        if self.mode == DiscoveryMode::Pushed {
            self.start_watch(context);
        }
    }

    /// Starts a watch if none is open.
    pub fn ensure_watch(&mut self, context: &mut Context) {
        if self.watches.is_empty() {
            self.start_watch(context);
        }
    }

    /// Starts a watch beside those that are open.
    fn start_watch(&mut self, context: &mut Context) {
        self.backoff.cancel(context);
        self.watches.make_room(context);
        let id = self.request(context, RequestKind::Watch);
        if id.is_none() && self.watches.is_empty() {
            self.unreported_failures += 1;
        }
        self.watches.started(context, id);
        self.watches.schedule(context);
    }

    /// Handles a timer of discovery that has expired. Other timers have no effect.
    pub fn timer_expired(&mut self, context: &mut Context, timer: Timer) {
        match timer {
            Timer::StartWatch => self.ensure_watch(context),
            Timer::AdditionalWatch => self.start_additional_watch(context),
            Timer::AcceptOlderRevision => self.accept_older_revision(context),
            _ => {}
        }
    }

    /// Starts another watch, since the open ones are overdue.
    fn start_additional_watch(&mut self, context: &mut Context) {
        self.watches.timer_expired();
        context.counters.endpoint_watches_additional += 1;
        let (revision, list_age_ms) = (self.revision, context.endpoints.list_age_ms(context.now));
        tracing::info!(revision, list_age_ms, "endpoint watch overdue; another one started");
        self.start_watch(context);
    }

    /// Ends all watches and cancels a scheduled retry.
    pub fn stop_watch(&mut self, context: &mut Context) {
        self.watches.close_all(context);
        self.backoff.cancel(context);
    }

    /// Requests the full endpoint list once. Returns `None` if no connection can be opened.
    pub fn poll(&mut self, context: &mut Context) -> Option<ConnectionId> {
        let id = self.request(context, RequestKind::Poll);
        self.unreported_failures += usize::from(id.is_none());
        id
    }

    /// Opens a connection for a request to discovery. Returns `None` if none can be opened.
    fn request(&mut self, context: &mut Context, kind: RequestKind) -> Option<ConnectionId> {
        context.counters.discovery_requests += 1;
        let request = DiscoveryRequest::new(kind, context.now);
        let deadline = request.deadline();
        let Some(id) = context.open(Connection::Discovery(request)) else {
            log_shortage(context, kind);
            return None;
        };
        context.effects.push(Effect::Connect { connection: id, address: self.address });
        context.set_connection_timer(id, Some(deadline));
        Some(id)
    }

    /// Changes the address of discovery. Requests in progress are repeated at the new address, so that no late response
    /// from the old one overwrites a newer list. The full list is requested, since revisions of the old address may
    /// mean nothing at the new one. Returns whether the address is another one.
    pub fn set_address(&mut self, context: &mut Context, address: SocketAddr) -> bool {
        if address == self.address {
            return false;
        }
        tracing::info!(from = %self.address, to = %address, "discovery address changed");
        self.address = address;
        self.revision = 0;
        let polls: Vec<ConnectionId> = context.connections.polls().collect();
        for id in polls {
            context.close(id);
            self.poll(context);
        }
        self.stop_watch(context);
        self.start_watch(context);
        true
    }

    /// Handles that a connection is established: sends the request.
    pub fn established(&self, context: &mut Context, id: ConnectionId) {
        context.connections.discovery_mut(id).set_established();
        let (address, revision) = (self.address, self.revision);
        let query = match context.connections.discovery_mut(id).kind {
            RequestKind::Watch => format!("?watch=1&after={revision}"),
            RequestKind::Poll => String::new(),
        };
        let head =
            format!("GET /api/targets{query} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        context.effects.push(Effect::Write { connection: id, buffers: vec![head.into_bytes().into()] });
    }

    /// Parses further bytes of a response. Returns how many were consumed and whether the body is complete.
    fn read(
        &self, context: &mut Context, id: ConnectionId, bytes: &[u8],
    ) -> Result<ResponseRead, DiscoveryError> {
        let request = context.connections.discovery_mut(id);
        let read = request.read(bytes);
        if let Some(date) = request.take_date() {
            context.endpoints.set_discovery_time(context.now, date);
        }
        read
    }

    /// Returns the next complete update of a watch; `None` if there is none. A blank line counts as an empty update if
    /// it is the first message, which reports to the balancer that discovery works.
    fn next_update(
        &mut self, context: &mut Context, id: ConnectionId,
    ) -> Result<Option<EndpointList>, DiscoveryError> {
        if context.connections.discovery_mut(id).kind == RequestKind::Poll {
            return Ok(None);
        }
        while let Some(message) = context.connections.discovery_mut(id).next_message()? {
            let list = match message {
                WatchMessage::Heartbeat => self.accept_heartbeat(context, id),
                WatchMessage::Update(text) => self.accept_update(context, id, parse_update(&text)?),
            };
            if list.is_some() {
                return Ok(list);
            }
        }
        Ok(None)
    }

    fn accept_heartbeat(&mut self, context: &mut Context, id: ConnectionId) -> Option<EndpointList> {
        let is_first = self.record_message(context, id);
        self.poll_if_provisional(context);
        is_first.then_some(EndpointList { update: EndpointUpdate::Incremental, json: Json::Null })
    }

    fn accept_update(
        &mut self, context: &mut Context, id: ConnectionId, update: WatchUpdate,
    ) -> Option<EndpointList> {
        self.record_message(context, id);
        let request = context.connections.discovery_mut(id);
        let (revision, newest) = (update.revision, request.revision());
        // A delayed update could make a draining node ready again.
        if revision < newest {
            context.counters.endpoint_lists_stale += 1;
            tracing::warn!(
                revision,
                newest,
                "endpoint update skipped: its revision is lower than that of the newest update"
            );
            return None;
        }
        request.set_revision(revision);
        if update.list.update != EndpointUpdate::Full {
            self.poll_if_provisional(context);
        }
        Some(update.list)
    }

    /// Polls the full list, unless that is in progress, while the endpoint list is provisional. The watch has requested
    /// the full list as well; a response that starts with anything else tells nothing about the nodes that it does not
    /// name.
    fn poll_if_provisional(&mut self, context: &mut Context) {
        if self.is_provisional && context.connections.polls().next().is_none() {
            self.poll(context);
        }
    }

    /// Records a complete message of a watch. Returns whether it is the first one of this watch.
    fn record_message(&mut self, context: &mut Context, id: ConnectionId) -> bool {
        let is_first = context.connections.discovery_mut(id).record_message(context.now);
        context.endpoints.confirm(context.now);
        self.watches.message_received(context, id);
        if is_first {
            self.backoff.reset();
        }
        is_first
    }

    /// Consumes the parsed bytes and sets the timeout of the request.
    fn finish_reading(&mut self, context: &mut Context, id: ConnectionId, read: ResponseRead) {
        context.effects.push(Effect::Consume { connection: id, count: read.consumed });
        let request = context.connections.discovery_mut(id);
        request.record_progress(context.now, read.progress);
        let deadline = request.deadline();
        context.set_connection_timer(id, Some(deadline));
        self.watches.schedule(context);
    }

    /// Handles an orderly close by discovery. The end of the connection follows as a separate event.
    pub fn closed_by_peer(&self, context: &mut Context, id: ConnectionId) {
        context.connections.discovery_mut(id).closed_by_peer();
    }
}

/// Counts and logs a request to discovery for which no file descriptor is left, with the holders of all others.
fn log_shortage(context: &mut Context, kind: RequestKind) {
    context.counters.discovery_requests_without_descriptor += 1;
    let counts = context.connections.counts();
    let receiving = |client: &ClientConnection| client.state == ClientState::ReceivingRequest;
    let clients_mid_request = context.connections.clients().filter(|(_, client)| receiving(client)).count();
    tracing::warn!(
        ?kind,
        max_connections = context.limits.max_connections,
        clients = counts.clients,
        clients_mid_request,
        nodes = counts.nodes,
        discovery = counts.discovery,
        "no file descriptor is left for a request to discovery"
    );
}
