//! The resources of a proxy as JSON.

use crate::codec::any;
use crate::control_plane::{ControlPlane, ProxyNode};
use crate::options::Options;
use crate::resource::{Resource, ResourceType};
use balancer::Micros;
use query_router::config::Config;
use serde_json::{Value as Json, json};

/// A resource that has no JSON form.
#[derive(Debug, thiserror::Error)]
#[error("{source}")]
pub struct DumpError {
    /// The resource's name.
    pub resource: String,
    /// Why it has none.
    pub source: serde_json::Error,
}

/// The resources that a proxy with this id and zone would be sent, by the endpoint list in the configuration.
pub fn dump(now: Micros, config: &Config, options: Options, id: &str, zone: &str) -> Result<Json, DumpError> {
    let mut control_plane = ControlPlane::new(now, config, options);
    let snapshot = control_plane.snapshot_of(now, ProxyNode { id, zone });
    let mut types = Vec::new();
    for resource_type in ResourceType::ALL {
        let mut resources = Vec::new();
        for resource in snapshot.of_type(resource_type).values() {
            resources.push(resource_json(resource_type, resource)?);
        }
        types.push(json!({"type_url": resource_type.type_url(), "resources": resources}));
    }
    Ok(Json::Array(types))
}

fn resource_json(resource_type: ResourceType, resource: &Resource) -> Result<Json, DumpError> {
    let Resource { name, version, .. } = resource;
    let content = serde_json::to_value(any(resource_type, resource))
        .map_err(|source| DumpError { resource: name.clone(), source })?;
    Ok(json!({"name": name, "version": version, "resource": content}))
}
