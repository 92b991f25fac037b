//! Responses of the discovery service.

use crate::resource::{Resource, ResourceType};
use std::sync::Arc;

/// Whether a response changes what the proxy has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// It carries resources that are new or changed.
    Update,
    /// It renews the lease of what the proxy has; the resources are sent without their content ("TTL").
    Heartbeat,
}

/// A response as it is sent.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// The type of all resources.
    pub resource_type: ResourceType,
    /// Whether the response changes what the proxy has.
    pub kind: ResponseKind,
    /// The nonce by which the proxy answers it.
    pub nonce: String,
    /// The version of all resources of the type together; empty in the incremental variant.
    pub version: String,
    /// The resources that it carries.
    pub resources: Vec<Arc<Resource>>,
    /// The names of resources that the proxy should remove.
    pub removed: Vec<String>,
}
