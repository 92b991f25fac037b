//! Parses the entries of the platform's endpoint lists.

#[cfg(test)]
mod tests;

use balancer::{EndpointState, Micros};
use serde_json::Value as Json;

const MICROSECONDS_PER_MILLISECOND: Micros = 1000;

/// Scale of a node whose entry has no scale.
const DEFAULT_SCALE: f64 = 1.0;

/// Returns the endpoint state for a code of the platform; `None` if the code is unknown.
pub fn endpoint_state(code: &str) -> Option<EndpointState> {
    Some(match code {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Removed,
        _ => return None,
    })
}

/// One entry of an endpoint list in the platform's format.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry<'a> {
    /// Id of the node; never empty.
    pub id: &'a str,
    /// Address of the node as `host:port`; empty if absent.
    pub address: &'a str,
    /// Name of the node's zone; empty if absent.
    pub zone: &'a str,
    /// Index of the replica set that the node belongs to.
    pub replica_set: usize,
    /// Endpoint state of the node: ready, draining or removed.
    pub state: EndpointState,
    /// Size of the node relative to other nodes; 1 if absent.
    pub scale: f64,
    /// Start time of the node's process by discovery's wall clock, in microseconds; 0 if absent.
    pub reported_start: Micros,
}

impl<'a> EndpointEntry<'a> {
    /// Parses an entry; `None` if the id, the replica set or the state is missing or malformed.
    pub fn parse(entry: &'a Json) -> Option<Self> {
        let text = |key: &str| entry[key].as_str().unwrap_or("");
        let id = Some(text("id")).filter(|id| !id.is_empty())?;
        let started_at_ms = entry["up_since_ms"].as_i64().unwrap_or(0);
        Some(EndpointEntry {
            id,
            address: text("host_port"),
            zone: text("locality"),
            replica_set: entry["cell"].as_u64()? as usize,
            state: endpoint_state(text("phase"))?,
            scale: entry["size"].as_f64().unwrap_or(DEFAULT_SCALE),
            reported_start: started_at_ms.saturating_mul(MICROSECONDS_PER_MILLISECOND),
        })
    }
}
