//! What is known of streams and proxies.

use crate::ids::{ProxyId, StreamId};
use crate::resource::ResourceSnapshot;
use crate::session::{DiscoverySession, ProtocolVariant};
use balancer::Micros;
use std::sync::Arc;

/// The gRPC service of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// The aggregated discovery service.
    Discovery(ProtocolVariant),
    /// The load reporting service.
    LoadReporting,
}

/// The proxy ids that a stream may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthorizedNames {
    /// Any id, since the connection has no certificate.
    Any,
    /// The names in the certificate of the connection.
    Only(Arc<Vec<String>>),
}

impl AuthorizedNames {
    /// Whether the stream may use this id.
    pub fn contains(&self, id: &str) -> bool {
        match self {
            AuthorizedNames::Any => true,
            AuthorizedNames::Only(names) => names.iter().any(|name| name == id),
        }
    }
}

/// An open stream.
pub(super) struct StreamState {
    pub service: Service,
    pub opened_at: Micros,
    /// The proxy, once the stream's first message has named it.
    pub proxy: Option<ProxyId>,
    pub authorized_names: AuthorizedNames,
}

/// Whether a proxy has a discovery stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProxyConnection {
    Connected(StreamId),
    DisconnectedAt(Micros),
}

/// Whether a proxy has been offered its fair share of all clusters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantStatus {
    Full,
    /// Other proxies have to release capacity first.
    Partial,
}

/// The snapshot of a proxy that has its fair share of all clusters.
pub(super) struct CachedSnapshot {
    /// The generation of the desired state to which the snapshot belongs.
    pub generation: u64,
    pub resources: Arc<ResourceSnapshot>,
}

/// A proxy that is connected, or was until a short time ago.
pub(super) struct ProxyState {
    pub name: String,
    /// The index of its zone.
    pub zone: usize,
    pub connection: ProxyConnection,
    pub session: DiscoverySession,
    pub grants: GrantStatus,
    pub snapshot: Option<CachedSnapshot>,
    /// When its endpoints' lease was last renewed.
    pub lease_renewed_at: Micros,
}

impl ProxyState {
    /// The discovery stream, if the proxy has one.
    pub fn stream(&self) -> Option<StreamId> {
        match self.connection {
            ProxyConnection::Connected(stream) => Some(stream),
            ProxyConnection::DisconnectedAt(_) => None,
        }
    }

    /// When the last discovery stream ended, if the proxy has none.
    pub fn disconnected_at(&self) -> Option<Micros> {
        match self.connection {
            ProxyConnection::Connected(_) => None,
            ProxyConnection::DisconnectedAt(at) => Some(at),
        }
    }
}
