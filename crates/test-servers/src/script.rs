//! How a proxy behaves in a test.

use std::sync::Arc;
use std::time::Duration;

/// By type URL and names of a response, why the proxy rejects it, if it does.
pub type Reject = dyn Fn(&str, &[String]) -> Option<String> + Send + Sync;

/// How a proxy behaves.
#[derive(Clone)]
pub struct Script {
    /// The proxy's node id.
    pub id: String,
    /// The zone that it is in.
    pub zone: String,
    /// Whether it speaks the incremental variant of xDS, and not the state of the world.
    pub delta: bool,
    /// As a proxyless gRPC client it subscribes to everything by name, to this listener first. Without it, it
    /// subscribes to clusters and listeners by wildcard.
    pub proxyless: Option<String>,
    /// How long a response is on its way to the proxy.
    pub delay: Duration,
    /// Which responses it rejects.
    pub reject: Option<Arc<Reject>>,
    /// Its certificates; without them it connects in plain text.
    pub tls: Option<ProxyTls>,
}

/// What a proxy needs for TLS, as PEM.
#[derive(Clone, Debug)]
pub struct ProxyTls {
    /// The authority that signed the server's certificate.
    pub authority: String,
    /// The proxy's certificate.
    pub certificate: String,
    /// The key of that certificate.
    pub key: String,
    /// The name that the server's certificate must have.
    pub server_name: String,
}

impl Script {
    /// A proxy that accepts everything without delay, in plain text.
    pub fn new(id: &str, zone: &str, delta: bool) -> Script {
        Script {
            id: id.to_string(),
            zone: zone.to_string(),
            delta,
            proxyless: None,
            delay: Duration::ZERO,
            reject: None,
            tls: None,
        }
    }
}
