//! Discovery: polls and watches of the endpoint list, when a watch is started again, and how an update is applied.

mod backoff;

use crate::config::Config;
use crate::io::{ConnectionId, Effect};
use crate::router::connection::Connection;
use crate::router::connection::discovery::{
    DiscoveryError, DiscoveryRequest, EndpointList, HEARTBEAT_INTERVAL, RequestKind, ResponseRead,
    WatchMessage, WatchUpdate, parse_update,
};
use crate::router::context::Context;
use backoff::WatchBackoff;
use balancer::{DiscoveryMode, Endpoint, EndpointUpdate, Micros};
use serde_json::Value as Json;
use settings_schema::EndpointEntry;
use std::net::SocketAddr;

/// The time without a message after which a request counts as silent.
const SILENCE_TIMEOUT: Micros = 2 * HEARTBEAT_INTERVAL;

/// The result of a request to discovery that has ended or received nothing for too long.
#[derive(Debug)]
pub enum RequestEnd {
    /// A poll brought a list.
    List(EndpointList),
    /// A watch that worked received nothing for too long and has been started again.
    WatchRestarted,
    /// The request has failed, which is to be reported to the balancer.
    Failed,
}

/// The requests to discovery.
pub struct Discovery {
    address: SocketAddr,
    mode: DiscoveryMode,
    /// The revision of the last update applied.
    revision: u64,
    watch: Option<ConnectionId>,
    backoff: WatchBackoff,
    /// The names of the zones, by index.
    zones: Vec<String>,
    /// How many requests failed because no connection could be opened and were not reported to the balancer yet.
    unreported_failures: usize,
}

impl Discovery {
    /// Requests to the discovery of this configuration; none is sent yet.
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

    /// Starts the watch that lasts for as long as the router runs, where lists are pushed.
    pub fn start(&mut self, context: &mut Context) {
        if self.mode == DiscoveryMode::Pushed {
            self.start_watch(context);
        }
    }

    /// Starts a watch in place of the one before.
    pub fn start_watch(&mut self, context: &mut Context) {
        self.stop_watch(context);
        self.watch = self.request(context, RequestKind::Watch);
    }

    /// Ends the watch. Guards against a retry that was scheduled for an earlier watch and would replace the next one.
    pub fn stop_watch(&mut self, context: &mut Context) {
        if let Some(id) = self.watch.take() {
            context.close(id);
        }
        self.backoff.cancel(context);
    }

    /// Asks for the full endpoint list once.
    pub fn poll(&mut self, context: &mut Context) -> Option<ConnectionId> {
        self.request(context, RequestKind::Poll)
    }

    /// Connects to discovery. A request for which no connection can be opened fails as any other does, before the next
    /// decision.
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

    /// Whether there are failures that were not reported to the balancer yet.
    pub fn has_unreported_failures(&self) -> bool {
        self.unreported_failures > 0
    }

    /// Takes the number of failures that were not reported to the balancer yet.
    pub fn take_unreported_failures(&mut self) -> usize {
        std::mem::take(&mut self.unreported_failures)
    }

    /// Changes the address. Requests in progress are closed and sent again to the new address, so that no late answer
    /// from the old one overwrites a newer list. Revisions of the two addresses are not comparable.
    pub fn set_address(&mut self, context: &mut Context, address: SocketAddr) {
        if address == self.address {
            return;
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
    }

    /// A connection is established: sends the request.
    pub fn established(&self, context: &mut Context, id: ConnectionId) {
        let (address, revision) = (self.address, self.revision);
        let query = match context.connections.discovery_mut(id).kind {
            RequestKind::Watch => format!("?watch=1&after={revision}"),
            RequestKind::Poll => String::new(),
        };
        let head =
            format!("GET /api/targets{query} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        context.effects.push(Effect::Write { connection: id, buffers: vec![head.into_bytes().into()] });
    }

    /// Reads further bytes of a response. Returns how many were consumed and whether the body is complete.
    pub fn read(
        &self, context: &mut Context, id: ConnectionId, bytes: &[u8],
    ) -> Result<ResponseRead, DiscoveryError> {
        let request = context.connections.discovery_mut(id);
        let read = request.read(bytes);
        if let Some(date) = request.take_date() {
            context.endpoints.time_stated(context.now, date);
        }
        read
    }

    /// The next update that a watch has sent in full. The first message proves that discovery works, so even a blank
    /// line counts as an empty update then.
    pub fn next_update(
        &mut self, context: &mut Context, id: ConnectionId,
    ) -> Result<Option<EndpointList>, DiscoveryError> {
        let request = context.connections.discovery_mut(id);
        if request.kind == RequestKind::Poll {
            return Ok(None);
        }
        while let Some(message) = request.next_message()? {
            let is_first = request.note_message(context.now);
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
            // Guards against a delayed update that undoes a drain.
            let newest = request.revision();
            if revision < newest {
                context.counters.endpoint_lists_stale += 1;
                tracing::warn!(revision, newest, "stale endpoint update skipped");
                continue;
            }
            request.set_revision(revision);
            return Ok(Some(list));
        }
        Ok(None)
    }

    /// Notes that all received bytes were read. Guards against a truncated object, behind which nothing on a watch can
    /// be parsed: bytes that complete neither a line nor an object do not count as messages.
    pub fn finish_reading(&self, context: &mut Context, id: ConnectionId, read: ResponseRead) {
        context.effects.push(Effect::Consume { connection: id, count: read.consumed });
        let now = context.now;
        let no_progress_since = context.connections.discovery_mut(id).note_progress(now, read.progress);
        context.set_connection_timer(id, Some(no_progress_since + SILENCE_TIMEOUT));
    }

    /// Notes that discovery has closed the connection in order; the end of the connection follows.
    pub fn closed_by_peer(&self, context: &mut Context, id: ConnectionId) {
        context.connections.discovery_mut(id).closed_by_peer();
    }

    /// Handles the end of a connection, or of a response after which nothing more comes.
    pub fn ended(&mut self, context: &mut Context, id: ConnectionId) -> RequestEnd {
        match context.connections.discovery_mut(id).polled_list() {
            Some(Ok(list)) => RequestEnd::List(list),
            Some(Err(error)) => self.reject_response(context, id, &error),
            None => self.fail_request(context, id),
        }
    }

    /// Handles a response that cannot be used.
    pub fn reject_response(
        &mut self, context: &mut Context, id: ConnectionId, error: &DiscoveryError,
    ) -> RequestEnd {
        context.counters.endpoint_lists_invalid += 1;
        tracing::warn!(%error, "discovery response rejected");
        self.fail_request(context, id)
    }

    /// Handles a request on which nothing was received for too long. A watch that worked is started again at once, and
    /// the balancer gets a report only if that fails: the updates that it missed arrive soon after. One that was never
    /// answered is started again soon, whatever the balancer chooses.
    pub fn timed_out(&mut self, context: &mut Context, id: ConnectionId) -> RequestEnd {
        if self.watch != Some(id) {
            return self.fail_request(context, id);
        }
        if !context.connections.discovery_mut(id).has_answered() {
            let end = self.fail_request(context, id);
            self.backoff.schedule_after_silence(context);
            return end;
        }
        tracing::info!("silent endpoint watch restarted");
        context.counters.endpoint_watches_silent += 1;
        self.start_watch(context);
        RequestEnd::WatchRestarted
    }

    fn fail_request(&mut self, context: &mut Context, id: ConnectionId) -> RequestEnd {
        if self.watch == Some(id) {
            self.watch = None;
        }
        context.close(id);
        self.note_failure(context);
        RequestEnd::Failed
    }

    /// A request has failed; a watch is started again after a delay.
    pub fn note_failure(&mut self, context: &mut Context) {
        context.counters.discovery_failures += 1;
        if self.mode == DiscoveryMode::Pushed && self.watch.is_none() {
            self.backoff.schedule(context);
        }
    }

    /// Stores an endpoint list; returns its entries for the balancer.
    pub fn store(&mut self, context: &mut Context, list: &EndpointList) -> Vec<Endpoint> {
        self.revision = list.json["revision"].as_u64().unwrap_or(self.revision);
        context.endpoints.start_update();
        match list.update {
            EndpointUpdate::Incremental => context.counters.endpoint_lists_incremental += 1,
            _ => context.counters.endpoint_lists_full += 1,
        }
        let members = list.json["members"].as_array().map_or(&[][..], Vec::as_slice);
        let stored = members.iter().filter_map(|member| self.store_entry(context, member)).collect();
        if list.update != EndpointUpdate::Incremental {
            context.endpoints.finish_full_update();
        }
        if list.update != EndpointUpdate::Cached {
            context.endpoints.finish_received_update(context.now);
        }
        stored
    }

    fn store_entry(&self, context: &mut Context, member: &Json) -> Option<Endpoint> {
        let Some(entry) = EndpointEntry::parse(member) else {
            tracing::warn!(entry = %member, "endpoint entry rejected");
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
