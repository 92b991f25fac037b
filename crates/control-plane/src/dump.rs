//! Resources as JSON, as a proxy of a given id and zone would get them.

use crate::codec::any;
use crate::control::Control;
use crate::kinds::Kind;
use crate::options::Options;
use balancer::Micros;
use query_router::config::Config;
use serde_json::{Value as Json, json};

/// Built from the list in the configuration; nothing is asked and nothing is served.
pub fn dump(now: Micros, config: &Config, options: Options, id: &str, zone: &str) -> Result<Json, String> {
    let mut control = Control::new(now, config, options);
    let outline = control.shown(now, id, zone);
    let mut types = Vec::new();
    for kind in Kind::ALL {
        let mut resources = Vec::new();
        for resource in outline.of(kind).values() {
            let content = serde_json::to_value(any(kind, resource)).map_err(|e| e.to_string())?;
            resources.push(json!({"name": resource.name, "version": resource.version, "resource": content}));
        }
        types.push(json!({"type_url": kind.url(), "resources": resources}));
    }
    Ok(Json::Array(types))
}
