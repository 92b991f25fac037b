//! The client side of an xDS stream, without a socket: it subscribes, accepts or rejects responses, and keeps the
//! proxy's view. After each response it records whether a route of the view leads to a cluster without endpoints.

use crate::resources::{ResourceType, name_of};
use crate::{DiscoveryRequest, DiscoveryResponse, Script, View};
use std::collections::{BTreeMap, BTreeSet};

/// The name of the route configuration that the listener refers to.
const ROUTE_CONFIGURATION_NAME: &str = "desk";

/// The client side of an xDS stream.
pub struct XdsClient {
    /// The settings of the proxy.
    pub script: Script,
    /// The configuration that the proxy has received and accepted.
    pub view: View,
    /// By type URL, the names that the client subscribed to on this stream.
    subscribed: BTreeMap<String, BTreeSet<String>>,
    /// By type URL, the nonce of the last response on this stream.
    nonces: BTreeMap<String, String>,
}

impl XdsClient {
    /// Returns a client that has received nothing.
    pub fn new(script: Script) -> XdsClient {
        XdsClient { script, view: View::default(), subscribed: BTreeMap::new(), nonces: BTreeMap::new() }
    }

    /// Returns the names of a type to subscribe to, which depend on the resources received so far. Empty for a wildcard
    /// subscription.
    fn names_to_subscribe(&self, resource_type: ResourceType) -> BTreeSet<String> {
        let (view, proxyless_listener) = (&self.view, &self.script.proxyless_listener);
        match resource_type {
            ResourceType::Cluster if proxyless_listener.is_some() => {
                view.routed_clusters().cloned().collect()
            }
            ResourceType::Cluster => BTreeSet::new(),
            ResourceType::LoadAssignment => view.clusters.keys().cloned().collect(),
            ResourceType::Listener => proxyless_listener.iter().cloned().collect(),
            ResourceType::RouteConfiguration if view.listeners.is_empty() => BTreeSet::new(),
            ResourceType::RouteConfiguration => BTreeSet::from([ROUTE_CONFIGURATION_NAME.to_string()]),
        }
    }

    /// Returns the types in the order in which the client subscribes to them; a proxyless client begins with its
    /// listener.
    fn subscription_order(&self) -> [ResourceType; 4] {
        let mut types = ResourceType::ALL;
        if self.script.proxyless_listener.is_some() {
            types.rotate_left(2);
        }
        types
    }

    fn is_wildcard(&self, resource_type: ResourceType) -> bool {
        self.script.proxyless_listener.is_none()
            && matches!(resource_type, ResourceType::Cluster | ResourceType::Listener)
    }

    /// Returns the version of a type that was accepted last on a state-of-the-world stream; empty if there is none.
    fn accepted_version(&self, type_url: &str) -> String {
        self.view.versions.get(&(type_url.to_string(), String::new())).cloned().unwrap_or_default()
    }

    /// Returns the names and versions of a type's resources from an incremental stream.
    fn resource_versions(&self, type_url: &str) -> Vec<(String, String)> {
        let versions = self.view.versions.iter();
        let of_type =
            versions.filter(|((key_type_url, name), _)| key_type_url == type_url && !name.is_empty());
        of_type.map(|((_, name), version)| (name.clone(), version.clone())).collect()
    }

    /// Begins a new stream and returns its first requests, which state the versions accepted on an earlier stream.
    pub fn open(&mut self) -> Vec<DiscoveryRequest> {
        self.subscribed.clear();
        self.nonces.clear();
        let mut requests = Vec::new();
        for resource_type in self.subscription_order() {
            let wanted_names = self.names_to_subscribe(resource_type);
            if wanted_names.is_empty() && !self.is_wildcard(resource_type) {
                continue;
            }
            let type_url = resource_type.type_url();
            let names: Vec<String> = wanted_names.iter().cloned().collect();
            requests.push(DiscoveryRequest {
                version: self.accepted_version(&type_url),
                initial_resource_versions: self.resource_versions(&type_url),
                names: names.clone(),
                subscribe: names,
                type_url: type_url.clone(),
                ..DiscoveryRequest::default()
            });
            self.subscribed.insert(type_url, wanted_names);
        }
        requests
    }

    /// Accepts or rejects a response. Returns its ACK or NACK, and requests for the subscriptions that the response
    /// changed.
    pub fn handle_response(&mut self, response: &DiscoveryResponse) -> Vec<DiscoveryRequest> {
        let with_content = response.resources.iter().filter(|resource| resource.content.is_some());
        let names: Vec<String> = with_content.map(|resource| resource.name.clone()).collect();
        let rejection = self.script.reject.as_ref().and_then(|reject| reject(&response.type_url, &names));
        self.view.bytes += resource_bytes(response);
        self.view.heartbeats += response.resources.len() - names.len();
        if rejection.is_some() {
            self.view.rejected += 1;
        } else {
            self.apply(response, &names);
        }
        self.view.received_responses.push((response.type_url.clone(), names));
        if self.script.proxyless_listener.is_none() {
            self.view.unresolved_clusters.extend(self.view.first_unresolved_cluster());
        }
        self.nonces.insert(response.type_url.clone(), response.nonce.clone());

        let mut requests = vec![self.ack_or_nack(response, rejection)];
        for resource_type in self.subscription_order() {
            requests.extend(self.changed_subscription(resource_type, &response.type_url));
        }
        requests
    }

    /// Applies an accepted response to the view; `names` are those of the resources with content.
    fn apply(&mut self, response: &DiscoveryResponse, names: &[String]) {
        let resource_type = ResourceType::from_type_url(&response.type_url);
        if resource_type.is_listed_in_full() && !self.script.delta {
            for name in self.view.names(resource_type) {
                if !names.contains(&name) {
                    self.view.remove(resource_type, &name);
                }
            }
        }
        for resource in &response.resources {
            if let Some(any) = &resource.content {
                assert_eq!((name_of(any), &any.type_url), (resource.name.clone(), &response.type_url));
                self.view.insert(any);
            }
            if self.script.delta {
                let key = (response.type_url.clone(), resource.name.clone());
                self.view.versions.insert(key, resource.version.clone());
            }
        }
        for name in &response.removed {
            self.view.remove(resource_type, name);
        }
        if !self.script.delta {
            let key = (response.type_url.clone(), String::new());
            self.view.versions.insert(key, response.version.clone());
        }
    }

    fn ack_or_nack(&self, response: &DiscoveryResponse, rejection: Option<String>) -> DiscoveryRequest {
        DiscoveryRequest {
            type_url: response.type_url.clone(),
            version: self.accepted_version(&response.type_url),
            nonce: response.nonce.clone(),
            names: self
                .names_to_subscribe(ResourceType::from_type_url(&response.type_url))
                .into_iter()
                .collect(),
            rejection,
            ..DiscoveryRequest::default()
        }
    }

    /// Returns a request that updates the subscription to a type; `None` if the names are those already subscribed to.
    /// On a state-of-the-world stream the response's own type needs no request, because the ACK or NACK states all
    /// names.
    fn changed_subscription(
        &mut self, resource_type: ResourceType, response_url: &str,
    ) -> Option<DiscoveryRequest> {
        let type_url = resource_type.type_url();
        let wanted_names = self.names_to_subscribe(resource_type);
        let is_subscribed = self.subscribed.contains_key(&type_url);
        let previous_names = self.subscribed.get(&type_url).cloned().unwrap_or_default();
        if previous_names == wanted_names {
            return None;
        }
        self.subscribed.insert(type_url.clone(), wanted_names.clone());
        if type_url == response_url && !self.script.delta {
            return None;
        }
        let nonce = match self.script.delta {
            true => String::new(),
            false => self.nonces.get(&type_url).cloned().unwrap_or_default(),
        };
        Some(DiscoveryRequest {
            version: if is_subscribed { self.accepted_version(&type_url) } else { String::new() },
            nonce,
            subscribe: wanted_names.difference(&previous_names).cloned().collect(),
            unsubscribe: previous_names.difference(&wanted_names).cloned().collect(),
            names: wanted_names.into_iter().collect(),
            type_url,
            ..DiscoveryRequest::default()
        })
    }
}

/// Returns the total size of a response's resources in bytes.
fn resource_bytes(response: &DiscoveryResponse) -> usize {
    let contents = response.resources.iter().filter_map(|resource| resource.content.as_ref());
    contents.map(|any| any.value.len()).sum()
}
