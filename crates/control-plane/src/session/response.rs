//! Responses of the discovery service.

use crate::resource::{Resource, ResourceType};
use std::sync::Arc;

/// Whether a response changes resources or only renews their lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The response carries new, changed or removed resources.
    Update,
    /// The response renews the lease of resources that the proxy has, without their content ("TTL").
    Heartbeat,
}

/// A discovery response, independent of the protocol variant.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// The type of all resources in the response.
    pub resource_type: ResourceType,
    /// Whether the response changes resources or only renews their lease.
    pub kind: ResponseKind,
    /// The nonce that the proxy repeats in its ACK or NACK.
    pub nonce: String,
    /// The combined version of all resources of the type; empty in the incremental variant.
    pub version: String,
    /// New and changed resources; in a heartbeat, those whose lease is renewed.
    pub resources: Vec<Arc<Resource>>,
    /// Names of resources that the proxy should remove. The state-of-the-world variant does not send them.
    pub removed: Vec<String>,
}
