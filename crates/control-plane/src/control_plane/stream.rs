//! Lifecycle of streams: opening, identification of the proxy by the first message, and closing.

use super::proxy_state::{GrantStatus, ProxyConnection, ProxyState, StreamState};
use super::stream_error::MAX_NODE_ID_LENGTH;
use super::{AuthorizedNames, ControlPlane, Effect, ProxyNode, Service, StreamError};
use crate::ids::{ProxyId, StreamId};
use crate::session::{DiscoverySession, ProtocolVariant};
use balancer::Micros;

/// Open streams allowed per proxy on average: one for discovery and one for load reports.
const STREAMS_PER_PROXY: usize = 2;

impl ControlPlane {
    /// Registers a stream that a client has opened. Closes it if too many streams are open.
    pub fn stream_opened(
        &mut self, now: Micros, stream: StreamId, service: Service, authorized_names: AuthorizedNames,
    ) {
        if self.streams.len() >= STREAMS_PER_PROXY * self.options.max_proxies {
            return self.close_stream(now, stream, StreamError::TooManyStreams);
        }
        self.streams.insert(stream, StreamState { service, opened_at: now, proxy: None, authorized_names });
        self.metrics.streams.set(self.streams.len() as i64);
    }

    /// Removes a stream that has been closed. Marks the proxy as disconnected if it was its discovery stream.
    pub fn stream_closed(&mut self, now: Micros, stream: StreamId) {
        let Some(closed) = self.streams.remove(&stream) else { return };
        self.metrics.streams.set(self.streams.len() as i64);
        if let Some(proxy) = closed.proxy.and_then(|proxy| self.proxies.get_mut(&proxy))
            && proxy.connection == ProxyConnection::Connected(stream)
        {
            proxy.connection = ProxyConnection::DisconnectedAt(now);
        }
    }

    /// Closes a stream with an error status.
    pub(super) fn close_stream(&mut self, now: Micros, stream: StreamId, error: StreamError) {
        let proxy = self.streams.get(&stream).and_then(|stream| stream.proxy);
        let name = proxy.and_then(|proxy| self.proxies.get(&proxy)).map_or("", |proxy| &proxy.name);
        tracing::info!(stream = stream.0, proxy = name, %error, "stream closed by the control plane");
        self.metrics.streams_closed.inc();
        self.stream_closed(now, stream);
        self.effects.push(Effect::CloseStream { stream, error });
    }

    /// Returns the proxy of a stream, which `node` in the first message identifies. Closes the stream if `node` is
    /// missing or the proxy may not be served.
    pub(super) fn identify_proxy(
        &mut self, now: Micros, stream: StreamId, node: Option<ProxyNode>,
    ) -> Option<ProxyId> {
        let state = self.streams.get(&stream)?;
        if state.proxy.is_some() {
            return state.proxy;
        }
        let service = state.service;
        let node = match self.authorize(state, node) {
            Ok(node) => node,
            Err(error) => {
                self.close_stream(now, stream, error);
                return None;
            }
        };
        let proxy =
            self.proxy_ids.find(node.id).unwrap_or_else(|| self.proxy_ids.intern(node.id.to_string()));
        let proxy = ProxyId(proxy);
        if let Some(state) = self.streams.get_mut(&stream) {
            state.proxy = Some(proxy);
        }
        match service {
            Service::Discovery(variant) => self.start_session(now, stream, proxy, node, variant),
            Service::LoadReporting => self.add_reporting_proxy(now, proxy, node),
        }
        self.metrics.proxies.set(self.proxies.len() as i64);
        Some(proxy)
    }

    /// Checks that the ID of a proxy is valid and authorized and, for a new proxy, that the limit on proxies is not
    /// reached.
    fn authorize<'a>(
        &self, stream: &StreamState, node: Option<ProxyNode<'a>>,
    ) -> Result<ProxyNode<'a>, StreamError> {
        let node = node.filter(|node| !node.id.is_empty()).ok_or(StreamError::MissingNodeId)?;
        let length = node.id.len();
        if length > MAX_NODE_ID_LENGTH {
            return Err(StreamError::NodeIdTooLong { length });
        }
        if !stream.authorized_names.contains(node.id) {
            return Err(StreamError::UnauthorizedNodeId);
        }
        let is_registered = self.proxy_ids.find(node.id).is_some();
        if !is_registered && self.proxies.len() >= self.options.max_proxies {
            return Err(StreamError::TooManyProxies);
        }
        Ok(node)
    }

    /// Starts a discovery session. Closes the proxy's previous discovery stream, if it is still open.
    fn start_session(
        &mut self, now: Micros, stream: StreamId, proxy: ProxyId, node: ProxyNode, variant: ProtocolVariant,
    ) {
        let previous = self.proxies.remove(&proxy);
        if let Some(older) = previous.as_ref().and_then(ProxyState::stream) {
            self.close_stream(now, older, StreamError::Replaced);
        }
        let session = DiscoverySession::new(variant, previous.map(|proxy| proxy.session));
        let state = self.new_proxy(now, node, ProxyConnection::Connected(stream), session);
        self.proxies.insert(proxy, state);
    }

    /// Adds a proxy that has opened only a load reporting stream, unless the proxy exists already.
    fn add_reporting_proxy(&mut self, now: Micros, proxy: ProxyId, node: ProxyNode) {
        if !self.proxies.contains_key(&proxy) {
            let session = DiscoverySession::new(ProtocolVariant::Delta, None);
            let state = self.new_proxy(now, node, ProxyConnection::DisconnectedAt(now), session);
            self.proxies.insert(proxy, state);
        }
    }

    fn new_proxy(
        &self, now: Micros, node: ProxyNode, connection: ProxyConnection, session: DiscoverySession,
    ) -> ProxyState {
        ProxyState {
            name: node.id.to_string(),
            zone: self.deployment.zone_index(node.zone),
            connection,
            session,
            grant_status: GrantStatus::Full,
            snapshot: None,
            lease_renewed_at: now,
        }
    }
}
