//! Discovery: polls and watches of the endpoint list, restarts of a watch, and storing of endpoint updates.

mod backoff;

use crate::config::Config;
use crate::io::{ConnectionId, Effect};
use crate::router::connection::Connection;
use crate::router::connection::discovery::{
    DiscoveryError, DiscoveryRequest, EndpointList, HEARTBEAT_INTERVAL, RequestFailure, RequestKind,
    ResponseRead, WatchMessage, WatchUpdate, parse_update,
};
use crate::router::context::Context;
use backoff::WatchBackoff;
use balancer::{DiscoveryMode, Endpoint, EndpointUpdate, Micros};
use serde_json::Value as Json;
use settings_schema::EndpointEntry;
use std::net::SocketAddr;

/// The time without a complete message after which a watch times out, and the time within which a poll must end.
const SILENCE_TIMEOUT: Micros = 2 * HEARTBEAT_INTERVAL;

/// The result of a request to discovery that has ended or timed out.
#[derive(Debug)]
pub enum RequestOutcome {
    /// A poll returned a full endpoint list.
    List(EndpointList),
    /// A watch that had received messages timed out and was restarted.
    WatchRestarted,
    /// The request failed, which must be reported to the balancer.
    Failed,
}

/// The state that concerns all requests to discovery together.
pub struct Discovery {
    address: SocketAddr,
    mode: DiscoveryMode,
    /// The revision after which a watch requests updates: that of the last update that was applied; 0 after a change of
    /// the address.
    revision: u64,
    watch: Option<ConnectionId>,
    backoff: WatchBackoff,
    /// The names of the zones by index, as configured.
    zones: Vec<String>,
    /// The number of requests that failed because no connection could be opened and that have not been reported to the
    /// balancer.
    unreported_failures: usize,
}

impl Discovery {
    /// Creates the state for the discovery address of the configuration. No request is sent yet.
    pub fn new(config: &Config) -> Discovery {
        Discovery {
            address: config.discovery,
            mode: config.settings.discovery_mode,
            revision: 0,
            watch: None,
            backoff: WatchBackoff::new(config),
            zones: config.settings.zones.clone(),
            unreported_failures: 0,
        }
    }

    /// Starts a watch that lasts for as long as the router runs, if endpoint lists are pushed.
    pub fn start(&mut self, context: &mut Context) {
        if self.mode == DiscoveryMode::Pushed {
            self.start_watch(context);
        }
    }

    /// Starts a watch that replaces the current one.
    pub fn start_watch(&mut self, context: &mut Context) {
        self.stop_watch(context);
        self.watch = self.request(context, RequestKind::Watch);
    }

    /// Ends the watch and cancels a scheduled retry, which would otherwise replace a later watch.
    pub fn stop_watch(&mut self, context: &mut Context) {
        if let Some(id) = self.watch.take() {
            context.close(id);
        }
        self.backoff.cancel(context);
    }

    /// Requests the full endpoint list once. Returns `None` if no connection can be opened.
    pub fn poll(&mut self, context: &mut Context) -> Option<ConnectionId> {
        self.request(context, RequestKind::Poll)
    }

    /// Opens a connection for a request to discovery. If none can be opened, the failure is reported to the balancer
    /// before its next decision.
    fn request(&mut self, context: &mut Context, kind: RequestKind) -> Option<ConnectionId> {
        context.counters.discovery_requests += 1;
        let request = DiscoveryRequest::new(kind, context.now);
        let Some(id) = context.open(Connection::Discovery(request)) else {
            self.unreported_failures += 1;
            return None;
        };
        context.effects.push(Effect::Connect { connection: id, address: self.address });
        context.set_connection_timer(id, Some(context.now + SILENCE_TIMEOUT));
        Some(id)
    }

    /// Returns whether there are failures that have not been reported to the balancer.
    pub fn has_unreported_failures(&self) -> bool {
        self.unreported_failures > 0
    }

    /// Returns the number of failures that have not been reported to the balancer, and resets it.
    pub fn take_unreported_failures(&mut self) -> usize {
        std::mem::take(&mut self.unreported_failures)
    }

    /// Changes the address of discovery. Requests in progress are repeated at the new address, so that no late response
    /// from the old one overwrites a newer list. Revisions from different addresses are not comparable. Returns whether
    /// the address is another one.
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
    pub fn read(
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
    pub fn next_update(
        &mut self, context: &mut Context, id: ConnectionId,
    ) -> Result<Option<EndpointList>, DiscoveryError> {
        let request = context.connections.discovery_mut(id);
        if request.kind == RequestKind::Poll {
            return Ok(None);
        }
        while let Some(message) = request.next_message()? {
            let is_first = request.record_message(context.now);
            context.endpoints.confirm(context.now);
            if is_first {
                self.backoff.reset();
            }
            let text = match message {
                WatchMessage::Heartbeat if is_first => {
                    return Ok(Some(EndpointList { update: EndpointUpdate::Incremental, json: Json::Null }));
                }
                WatchMessage::Heartbeat => continue,
                WatchMessage::Update(text) => text,
            };
            let WatchUpdate { revision, list } = parse_update(&text)?;
            // A delayed update could make a draining node ready again.
            let newest = request.revision();
            if revision < newest {
                context.counters.endpoint_lists_stale += 1;
                tracing::warn!(
                    revision,
                    newest,
                    "endpoint update skipped: its revision is lower than that of the newest update"
                );
                continue;
            }
            request.set_revision(revision);
            return Ok(Some(list));
        }
        Ok(None)
    }

    /// Consumes the parsed bytes and sets the timeout of the request, which counts from the last message or from the
    /// start of an incomplete object. Further bytes of that object do not postpone the timeout, since nothing after a
    /// truncated object can be parsed.
    pub fn finish_reading(&self, context: &mut Context, id: ConnectionId, read: ResponseRead) {
        context.effects.push(Effect::Consume { connection: id, count: read.consumed });
        let now = context.now;
        let no_progress_since = context.connections.discovery_mut(id).record_progress(now, read.progress);
        context.set_connection_timer(id, Some(no_progress_since + SILENCE_TIMEOUT));
    }

    /// Handles an orderly close by discovery. The end of the connection follows as a separate event.
    pub fn closed_by_peer(&self, context: &mut Context, id: ConnectionId) {
        context.connections.discovery_mut(id).closed_by_peer();
    }

    /// Handles the end of a connection or the end of its response.
    pub fn ended(&mut self, context: &mut Context, id: ConnectionId) -> RequestOutcome {
        match context.connections.discovery_mut(id).polled_list() {
            Some(Ok(list)) => {
                context.endpoints.confirm(context.now);
                RequestOutcome::List(list)
            }
            Some(Err(error)) => self.reject_response(context, id, &error),
            None => {
                let failure = context.connections.discovery_mut(id).failure_at_end();
                self.fail_request(context, id, failure)
            }
        }
    }

    /// Handles a response that is malformed or invalid: the request fails.
    pub fn reject_response(
        &mut self, context: &mut Context, id: ConnectionId, error: &DiscoveryError,
    ) -> RequestOutcome {
        context.counters.endpoint_lists_invalid += 1;
        tracing::warn!(connection = id.0, %error, "discovery response rejected");
        self.fail_request(context, id, RequestFailure::InvalidResponse)
    }

    /// Handles the timeout of a request. A watch that had received messages is restarted at once. The balancer gets a
    /// report only if the restart fails, since the missed updates arrive soon after it. A watch without any message
    /// fails and is restarted after a short delay, whatever the balancer decides.
    pub fn timed_out(&mut self, context: &mut Context, id: ConnectionId) -> RequestOutcome {
        if self.watch != Some(id) {
            return self.fail_request(context, id, RequestFailure::TimedOut);
        }
        if !context.connections.discovery_mut(id).has_received_message() {
            let outcome = self.fail_request(context, id, RequestFailure::TimedOut);
            self.backoff.schedule_after_silence(context);
            return outcome;
        }
        let (revision, list_age_ms) = (self.revision, context.endpoints.list_age_ms(context.now));
        tracing::info!(connection = id.0, revision, list_age_ms, "endpoint watch timed out; restarted");
        context.counters.endpoint_watches_silent += 1;
        self.start_watch(context);
        RequestOutcome::WatchRestarted
    }

    fn fail_request(
        &mut self, context: &mut Context, id: ConnectionId, failure: RequestFailure,
    ) -> RequestOutcome {
        self.log_failure(context, id, failure);
        if self.watch == Some(id) {
            self.watch = None;
        }
        context.close(id);
        self.handle_failure(context);
        RequestOutcome::Failed
    }

    fn log_failure(&self, context: &mut Context, id: ConnectionId, failure: RequestFailure) {
        match failure {
            RequestFailure::Unavailable(_) => context.counters.discovery_requests_unavailable += 1,
            RequestFailure::TimedOut => context.counters.discovery_requests_timed_out += 1,
            _ => {}
        }
        let now = context.now;
        let request = context.connections.discovery_mut(id);
        tracing::info!(
            connection = id.0,
            kind = ?request.kind,
            reason = %failure,
            after_ms = (now - request.started_at()) / 1000,
            revision = self.revision,
            list_age_ms = context.endpoints.list_age_ms(now),
            "discovery request failed"
        );
    }

    /// Handles the failure of a request: schedules the next watch if endpoint lists are pushed and there is no watch.
    pub fn handle_failure(&mut self, context: &mut Context) {
        context.counters.discovery_failures += 1;
        if self.mode == DiscoveryMode::Pushed && self.watch.is_none() {
            self.backoff.schedule(context);
        }
    }

    /// Stores an endpoint list or update. Returns its valid entries for the balancer.
    pub fn store(&mut self, context: &mut Context, list: &EndpointList) -> Vec<Endpoint> {
        let revision = list.json["revision"].as_u64();
        self.revision = revision.unwrap_or(self.revision);
        context.endpoints.start_update();
        match list.update {
            EndpointUpdate::Incremental => context.counters.endpoint_lists_incremental += 1,
            _ => context.counters.endpoint_lists_full += 1,
        }
        let members = list.json["members"].as_array().map_or(&[][..], Vec::as_slice);
        let stored = members.iter().filter_map(|member| self.store_entry(context, member)).collect();
        if list.update != EndpointUpdate::Incremental {
            context.endpoints.finish_full_update(context.now);
        }
        if list.update != EndpointUpdate::Cached {
            context.endpoints.finish_received_update(context.now);
        }
        if let Some(revision) = revision {
            record_applied(context, revision, list.update, members.len());
        }
        stored
    }

    fn store_entry(&self, context: &mut Context, member: &Json) -> Option<Endpoint> {
        let Some(entry) = EndpointEntry::parse(member) else {
            tracing::warn!(entry = %member, "invalid endpoint entry skipped");
            return None;
        };
        let zone = self.zones.iter().position(|name| name == entry.zone).unwrap_or(self.zones.len());
        let node = context.endpoints.store(context.now, &entry);
        Some(Endpoint {
            node,
            zone,
            replica_set: entry.replica_set,
            state: entry.state,
            scale: entry.scale,
            started_at: context.endpoints[node].started_at(),
        })
    }
}

/// Records and logs that an endpoint list or update was applied.
fn record_applied(context: &mut Context, revision: u64, update: EndpointUpdate, entries: usize) {
    let previous_revision = context.endpoints.revision();
    context.endpoints.set_revision(revision);
    context.counters.endpoint_list_revision = revision;
    // The list of the configuration is no message of discovery, and is applied before the router has started.
    if update == EndpointUpdate::Cached {
        return;
    }
    let ready = context.endpoints.ready_count();
    tracing::info!(revision, previous_revision, kind = ?update, entries, ready, "endpoint list applied");
}
