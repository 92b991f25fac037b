//! Reads the entries of the platform's endpoint lists.

#[cfg(test)]
mod tests;

use balancer::{EndpointState, Micros};
use serde_json::Value as Json;

const MICROSECONDS_PER_MILLISECOND: Micros = 1000;

/// The scale of a node whose entry states none.
const DEFAULT_SCALE: f64 = 1.0;

/// The endpoint state that a code of the platform stands for, if it is known.
pub fn endpoint_state(code: &str) -> Option<EndpointState> {
    Some(match code {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Removed,
        _ => return None,
    })
}

/// One entry of an endpoint list in the platform's form.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointEntry<'a> {
    /// The node's id.
    pub id: &'a str,
    /// Its address with port, as text; empty if absent.
    pub address: &'a str,
    /// The name of its zone; empty if absent.
    pub zone: &'a str,
    /// Index of the replica set that it belongs to.
    pub replica_set: usize,
    /// Whether it may be used.
    pub state: EndpointState,
    /// Its size relative to others, 1 if absent.
    pub scale: f64,
    /// When its process started by the wall clock of discovery, in microseconds; 0 if absent.
    pub reported_start: Micros,
}

impl<'a> EndpointEntry<'a> {
    /// Reads an entry; `None` if its id, replica set or state is missing or malformed.
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
