//! A proxy's side of an xDS stream, without a socket: it subscribes, accepts or rejects responses, and keeps
//! the view that the proxy would act on. After each response it checks that no route of the view leads to a
//! cluster without endpoints.

use crate::resources::{ResourceType, name_of};
use crate::{DiscoveryRequest, DiscoveryResponse, Script, View};
use std::collections::{BTreeMap, BTreeSet};

/// The route configuration that the listener names.
const ROUTE_CONFIGURATION: &str = "desk";

/// A proxy's side of an xDS stream.
pub struct XdsClient {
    /// How it behaves.
    pub script: Script,
    /// What it has received.
    pub view: View,
    /// By type URL, the names it subscribed to on this stream.
    subscribed: BTreeMap<String, BTreeSet<String>>,
    /// By type URL, the nonce of the last response on this stream.
    nonces: BTreeMap<String, String>,
}

impl XdsClient {
    /// A client that has received nothing.
    pub fn new(script: Script) -> XdsClient {
        XdsClient { script, view: View::default(), subscribed: BTreeMap::new(), nonces: BTreeMap::new() }
    }

    /// The names to subscribe to of a type, according to what has been received.
    fn wanted(&self, kind: ResourceType) -> BTreeSet<String> {
        let (view, proxyless) = (&self.view, &self.script.proxyless);
        match kind {
            ResourceType::Cluster if proxyless.is_some() => view.routed_clusters().cloned().collect(),
            ResourceType::Cluster => BTreeSet::new(),
            ResourceType::LoadAssignment => view.clusters.keys().cloned().collect(),
            ResourceType::Listener => proxyless.iter().cloned().collect(),
            ResourceType::RouteConfiguration if view.listeners.is_empty() => BTreeSet::new(),
            ResourceType::RouteConfiguration => BTreeSet::from([ROUTE_CONFIGURATION.to_string()]),
        }
    }

    /// The types in the order in which they are subscribed to: a proxyless client begins with its listener.
    fn types(&self) -> [ResourceType; 4] {
        let mut types = ResourceType::ALL;
        if self.script.proxyless.is_some() {
            types.rotate_left(2);
        }
        types
    }

    fn is_wildcard(&self, kind: ResourceType) -> bool {
        self.script.proxyless.is_none() && matches!(kind, ResourceType::Cluster | ResourceType::Listener)
    }

    /// The version of a type that was accepted last, for the state of the world.
    fn version(&self, url: &str) -> String {
        self.view.versions.get(&(url.to_string(), String::new())).cloned().unwrap_or_default()
    }

    /// The versions of a type's resources, for an incremental stream.
    fn resource_versions(&self, url: &str) -> Vec<(String, String)> {
        let versions = self.view.versions.iter();
        let of_type = versions.filter(|((of, name), _)| of == url && !name.is_empty());
        of_type.map(|((_, name), version)| (name.clone(), version.clone())).collect()
    }

    /// The first requests of a stream, with what is known from an earlier one.
    pub fn open(&mut self) -> Vec<DiscoveryRequest> {
        self.subscribed.clear();
        self.nonces.clear();
        let mut requests = Vec::new();
        for kind in self.types() {
            let wanted = self.wanted(kind);
            if wanted.is_empty() && !self.is_wildcard(kind) {
                continue;
            }
            let url = kind.url();
            let names: Vec<String> = wanted.iter().cloned().collect();
            requests.push(DiscoveryRequest {
                version: self.version(&url),
                initial: self.resource_versions(&url),
                names: names.clone(),
                subscribe: names,
                url: url.clone(),
                ..DiscoveryRequest::default()
            });
            self.subscribed.insert(url, wanted);
        }
        requests
    }

    /// Accepts or rejects a response. Returns the answer to it, and requests for subscriptions that have
    /// changed with it.
    pub fn handle_response(&mut self, response: &DiscoveryResponse) -> Vec<DiscoveryRequest> {
        let with_content = response.resources.iter().filter(|resource| resource.content.is_some());
        let names: Vec<String> = with_content.map(|resource| resource.name.clone()).collect();
        let rejection = self.script.reject.as_ref().and_then(|reject| reject(&response.url, &names));
        self.view.bytes += size(response);
        self.view.heartbeats += response.resources.len() - names.len();
        if rejection.is_some() {
            self.view.rejected += 1;
        } else {
            self.apply(response, &names);
        }
        self.view.log.push((response.url.clone(), names));
        if self.script.proxyless.is_none() {
            self.view.gaps.extend(self.view.first_gap());
        }
        self.nonces.insert(response.url.clone(), response.nonce.clone());

        let mut requests = vec![self.answer(response, rejection)];
        for kind in self.types() {
            requests.extend(self.changed_subscription(kind, &response.url));
        }
        requests
    }

    /// Applies an accepted response to the view; `names` are those of the resources with content.
    fn apply(&mut self, response: &DiscoveryResponse, names: &[String]) {
        let kind = ResourceType::from_url(&response.url);
        if kind.is_listed_in_full() && !self.script.delta {
            for name in self.view.names(kind) {
                if !names.contains(&name) {
                    self.view.remove(kind, &name);
                }
            }
        }
        for resource in &response.resources {
            if let Some(any) = &resource.content {
                assert_eq!((name_of(any), &any.type_url), (resource.name.clone(), &response.url));
                self.view.insert(any);
            }
            if self.script.delta {
                let key = (response.url.clone(), resource.name.clone());
                self.view.versions.insert(key, resource.version.clone());
            }
        }
        for name in &response.removed {
            self.view.remove(kind, name);
        }
        if !self.script.delta {
            let key = (response.url.clone(), String::new());
            self.view.versions.insert(key, response.version.clone());
        }
    }

    fn answer(&self, response: &DiscoveryResponse, rejection: Option<String>) -> DiscoveryRequest {
        DiscoveryRequest {
            url: response.url.clone(),
            version: self.version(&response.url),
            nonce: response.nonce.clone(),
            names: self.wanted(ResourceType::from_url(&response.url)).into_iter().collect(),
            rejection,
            ..DiscoveryRequest::default()
        }
    }

    /// A request for the names of a type, if they differ from those subscribed to. For the type of the
    /// response the answer to it already states all names, unless the stream is incremental.
    fn changed_subscription(&mut self, kind: ResourceType, response_url: &str) -> Option<DiscoveryRequest> {
        let url = kind.url();
        let wanted = self.wanted(kind);
        let is_subscribed = self.subscribed.contains_key(&url);
        let before = self.subscribed.get(&url).cloned().unwrap_or_default();
        if before == wanted {
            return None;
        }
        self.subscribed.insert(url.clone(), wanted.clone());
        if url == response_url && !self.script.delta {
            return None;
        }
        let nonce = match self.script.delta {
            true => String::new(),
            false => self.nonces.get(&url).cloned().unwrap_or_default(),
        };
        Some(DiscoveryRequest {
            version: if is_subscribed { self.version(&url) } else { String::new() },
            nonce,
            subscribe: wanted.difference(&before).cloned().collect(),
            unsubscribe: before.difference(&wanted).cloned().collect(),
            names: wanted.into_iter().collect(),
            url,
            ..DiscoveryRequest::default()
        })
    }
}

/// The size of a response's resources in bytes.
fn size(response: &DiscoveryResponse) -> usize {
    let contents = response.resources.iter().filter_map(|resource| resource.content.as_ref());
    contents.map(|any| any.value.len()).sum()
}
