//! The settings of a proxy in a test.

use std::sync::Arc;
use std::time::Duration;

/// Returns the reason for which the proxy rejects a response with this type URL and these resource names; `None` if it
/// accepts the response.
pub type Reject = dyn Fn(&str, &[String]) -> Option<String> + Send + Sync;

/// The settings of a proxy.
#[derive(Clone)]
pub struct Script {
    /// The node id under which the proxy identifies itself.
    pub id: String,
    /// The zone of the proxy's locality.
    pub zone: String,
    /// Whether the proxy uses the incremental variant of xDS; if not, it uses the state-of-the-world variant.
    pub delta: bool,
    /// The listener that a proxyless gRPC client subscribes to first; such a client subscribes to all resources by
    /// name. `None` for a proxy, which subscribes to clusters and listeners by wildcard.
    pub proxyless_listener: Option<String>,
    /// The simulated network latency of each response.
    pub delay: Duration,
    /// Decides which responses the proxy rejects; `None` if it accepts all.
    pub reject: Option<Arc<Reject>>,
    /// The proxy's certificates; `None` if it connects without TLS.
    pub tls: Option<ProxyTls>,
}

/// The TLS settings of a proxy; certificates and keys are in PEM format.
#[derive(Clone, Debug)]
pub struct ProxyTls {
    /// The certificate of the authority that signed the server's certificate.
    pub authority: String,
    /// The proxy's certificate.
    pub certificate: String,
    /// The private key of the proxy's certificate.
    pub key: String,
    /// The name that the server's certificate must be valid for.
    pub server_name: String,
}

impl Script {
    /// Returns the settings of a proxy that accepts every response, without delay and without TLS.
    pub fn new(id: &str, zone: &str, delta: bool) -> Script {
        Script {
            id: id.to_string(),
            zone: zone.to_string(),
            delta,
            proxyless_listener: None,
            delay: Duration::ZERO,
            reject: None,
            tls: None,
        }
    }
}
