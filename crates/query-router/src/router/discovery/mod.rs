//! Discovery: polls and watches of the endpoint list, when a watch is started again, and how an update is applied.

mod backoff;

use crate::config::Config;
use crate::io::{ConnectionId, Effect};
use crate::router::connection::Connection;
use crate::router::connection::discovery::{
    BodyProgress, DiscoveryError, DiscoveryRequest, EndpointList, HEARTBEAT_INTERVAL, RequestKind,
    WatchMessage, parse_update,
};
use crate::router::context::Context;
use backoff::WatchBackoff;
use balancer::{DiscoveryMode, Endpoint, EndpointUpdate, Micros};
use serde_json::Value as Json;
use settings_schema::EndpointEntry;
use std::net::SocketAddr;

/// After how long without a message a request counts as silent.
const SILENCE_TIMEOUT: Micros = 2 * HEARTBEAT_INTERVAL;

/// What a connection to discovery that has ended or fallen silent means.
#[derive(Debug)]
pub enum RequestEnd {
    /// A poll brought a list.
    List(EndpointList),
    /// A watch that was well fell silent and has been started again.
    WatchRestarted,
    /// It has failed; the balancer is to be told.
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
    /// How many requests failed for want of a connection, which the balancer has not been told of.
    unreported_failures: usize,
}

impl Discovery {
    /// As the configuration says.
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

    /// Ends the watch. Guards against a retry that was set for a watch before the next one, and would end that.
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
        context.effects.push(Effect::Connect(id, self.address));
        context.set_connection_timer(id, Some(context.now + SILENCE_TIMEOUT));
        Some(id)
    }

    /// Whether there are failures that the balancer has not been told of.
    pub fn has_unreported_failures(&self) -> bool {
        self.unreported_failures > 0
    }

    /// Takes the number of failures that the balancer has not been told of.
    pub fn take_unreported_failures(&mut self) -> usize {
        std::mem::take(&mut self.unreported_failures)
    }

    /// Moves to another address: what is in progress at the old one starts again there, so that no late answer of the
    /// old one overwrites the new one's. Revisions of the one mean nothing to the other.
    pub fn move_to(&mut self, context: &mut Context, address: SocketAddr) {
        if address == self.address {
            return;
        }
        tracing::info!("discovery moves from {} to {address}", self.address);
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
        let query = match context.connections.discovery(id).kind {
            RequestKind::Watch => format!("?watch=1&after={revision}"),
            RequestKind::Poll => String::new(),
        };
        let head =
            format!("GET /api/targets{query} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        context.effects.push(Effect::Write(id, vec![head.into_bytes().into()]));
    }

    /// Reads on in a response: how many bytes were consumed and whether the body is complete.
    pub fn read(
        &self, context: &mut Context, id: ConnectionId, bytes: &[u8],
    ) -> Result<(usize, BodyProgress), DiscoveryError> {
        context.connections.discovery(id).read(bytes)
    }

    /// The next update that a watch has sent in full. The first message says that discovery is well, so even a blank
    /// line counts as an update then.
    pub fn next_update(
        &mut self, context: &mut Context, id: ConnectionId,
    ) -> Result<Option<EndpointList>, DiscoveryError> {
        let request = context.connections.discovery(id);
        if request.kind == RequestKind::Poll {
            return Ok(None);
        }
        while let Some(message) = request.next_message()? {
            let is_first = !std::mem::replace(&mut request.answered, true);
            request.last_message_at = context.now;
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
            let (list, revision) = parse_update(&text)?;
            // Guards against an update that was overtaken on its way undoing a drain.
            let newest = request.revision;
            if revision < newest {
                context.counters.endpoint_lists_stale += 1;
                tracing::warn!("revision {revision} came behind {newest} and is passed over");
                continue;
            }
            request.revision = revision;
            return Ok(Some(list));
        }
        Ok(None)
    }

    /// Everything received was read. Guards against an object that was cut off, behind which a watch says nothing
    /// that can be read: bytes that make no line and no object do not count as messages, however often they come.
    pub fn finish_reading(
        &self, context: &mut Context, id: ConnectionId, consumed: usize, progress: BodyProgress,
    ) {
        context.effects.push(Effect::Consume(id, consumed));
        let now = context.now;
        let no_progress_since = context.connections.discovery(id).note_progress(now, progress);
        context.set_connection_timer(id, Some(no_progress_since + SILENCE_TIMEOUT));
    }

    /// Discovery has closed the connection in order; its end follows.
    pub fn closed_by_peer(&self, context: &mut Context, id: ConnectionId) {
        context.connections.discovery(id).closed_by_peer();
    }

    /// A request has ended, or nothing more is to be expected of it.
    pub fn ended(&mut self, context: &mut Context, id: ConnectionId) -> RequestEnd {
        match context.connections.discovery(id).polled_list() {
            Some(Ok(list)) => RequestEnd::List(list),
            Some(Err(error)) => self.invalid(context, id, &error),
            None => self.failed(context, id),
        }
    }

    /// A response cannot be used.
    pub fn invalid(&mut self, context: &mut Context, id: ConnectionId, error: &DiscoveryError) -> RequestEnd {
        context.counters.endpoint_lists_invalid += 1;
        tracing::warn!(%error, "what discovery said could not be used");
        self.failed(context, id)
    }

    /// Nothing was received for too long. A watch that was well is started again at once, and the balancer only hears
    /// of it if that fails: what a silent one misses counts as known soon after.
    pub fn silent(&mut self, context: &mut Context, id: ConnectionId) -> RequestEnd {
        if self.watch != Some(id) || !context.connections.discovery(id).answered {
            return self.failed(context, id);
        }
        tracing::info!("the watch fell silent and is begun anew");
        context.counters.endpoint_watches_silent += 1;
        self.start_watch(context);
        RequestEnd::WatchRestarted
    }

    fn failed(&mut self, context: &mut Context, id: ConnectionId) -> RequestEnd {
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
        stored
    }

    fn store_entry(&self, context: &mut Context, member: &Json) -> Option<Endpoint> {
        let Some(entry) = EndpointEntry::parse(member) else {
            tracing::warn!(%member, "a member of the list could not be used");
            return None;
        };
        let zone = self.zones.iter().position(|name| name == entry.zone).unwrap_or(self.zones.len());
        Some(Endpoint {
            node: context.endpoints.store(&entry),
            zone,
            replica_set: entry.replica_set,
            state: entry.state,
            scale: entry.scale,
            started_at: entry.started_at,
        })
    }
}
