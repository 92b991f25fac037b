//! Export of the resources of a proxy as JSON.

use crate::codec::resource_to_any;
use crate::control_plane::{ControlPlane, ProxyNode};
use crate::options::Options;
use crate::resource::{Resource, ResourceType};
use balancer::{EndpointUpdate, Micros};
use query_router::config::Config;
use serde_json::{Value as Json, json};

/// Error for a resource that cannot be converted to JSON.
#[derive(Debug, thiserror::Error)]
#[error("resource '{resource}' cannot be converted to JSON: {source}")]
pub struct DumpError {
    /// Name of the resource.
    pub resource: String,
    /// The error of the conversion.
    pub source: serde_json::Error,
}

/// Returns the resources that a proxy with this ID and zone would receive if discovery returned the endpoint list
/// in the configuration.
pub fn dump(now: Micros, config: &Config, options: Options, id: &str, zone: &str) -> Result<Json, DumpError> {
    let mut control_plane = ControlPlane::new(now, config, options);
    control_plane.endpoint_update(now, &config.cached_endpoints, EndpointUpdate::Cached);
    let snapshot = control_plane.snapshot_for(now, ProxyNode { id, zone });
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
    let content = serde_json::to_value(resource_to_any(resource_type, resource))
        .map_err(|source| DumpError { resource: name.clone(), source })?;
    Ok(json!({"name": name, "version": version, "resource": content}))
}
