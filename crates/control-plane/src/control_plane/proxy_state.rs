//! The state of streams and proxies.

use crate::ids::{ProxyId, StreamId};
use crate::resource::ResourceSnapshot;
use crate::session::{DiscoverySession, ProtocolVariant};
use balancer::Micros;
use std::sync::Arc;

/// The gRPC service on which a stream was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// The aggregated discovery service (ADS).
    Discovery(ProtocolVariant),
    /// The load reporting service (LRS).
    LoadReporting,
}

/// The proxy IDs that a stream is authorized to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthorizedNames {
    /// Any ID, because the connection does not use TLS.
    Any,
    /// The names in the client's certificate.
    Only(Arc<Vec<String>>),
}

impl AuthorizedNames {
    /// Returns whether the stream is authorized to use this proxy ID.
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
    /// The proxy that the first message named; `None` until that message is received.
    pub proxy: Option<ProxyId>,
    pub authorized_names: AuthorizedNames,
}

/// Whether a proxy has an open discovery stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProxyConnection {
    Connected(StreamId),
    DisconnectedAt(Micros),
}

/// Whether a proxy has been offered its fair share of every cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantStatus {
    Full,
    /// The rest of the share is offered once other proxies have released capacity.
    Partial,
}

/// The snapshot of a proxy that was granted its fair share of every cluster.
pub(super) struct CachedSnapshot {
    /// The generation of the desired state from which the snapshot was made.
    pub generation: u64,
    pub resources: Arc<ResourceSnapshot>,
}

/// The state of a proxy that is connected or has recently disconnected.
pub(super) struct ProxyState {
    /// The ID of the proxy (`node.id`).
    pub name: String,
    /// The index of the proxy's zone; one past the last zone if the settings do not name it.
    pub zone: usize,
    pub connection: ProxyConnection,
    pub session: DiscoverySession,
    pub grant_status: GrantStatus,
    /// Reused until the desired state changes; `None` until the capacity ledger contains all grants of a snapshot.
    pub snapshot: Option<CachedSnapshot>,
    /// Time at which the lease of the proxy's endpoints was last renewed.
    pub lease_renewed_at: Micros,
}

impl ProxyState {
    /// Returns the discovery stream; `None` while the proxy is disconnected.
    pub fn stream(&self) -> Option<StreamId> {
        match self.connection {
            ProxyConnection::Connected(stream) => Some(stream),
            ProxyConnection::DisconnectedAt(_) => None,
        }
    }

    /// Returns the time at which the last discovery stream ended or, for a proxy that has only reported load, at which
    /// the proxy was added; `None` while the proxy is connected.
    pub fn disconnected_at(&self) -> Option<Micros> {
        match self.connection {
            ProxyConnection::Connected(_) => None,
            ProxyConnection::DisconnectedAt(at) => Some(at),
        }
    }
}
