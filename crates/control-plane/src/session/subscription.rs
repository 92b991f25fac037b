//! One resource type on a stream: the subscription, and the versions that were sent, acknowledged and
//! rejected.

use super::request::Acknowledgement;
use crate::resource::{Resource, ResourcesByName, content_version};
use balancer::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A version that the proxy has or was sent.
#[derive(Clone, Debug)]
pub(super) struct KnownVersion {
    pub version: String,
    /// The resource, if this control plane made it.
    pub resource: Option<Arc<Resource>>,
}

impl KnownVersion {
    /// The version of a resource.
    pub fn of(resource: &Arc<Resource>) -> KnownVersion {
        KnownVersion { version: resource.version.clone(), resource: Some(resource.clone()) }
    }
}

/// A change that a response makes to one resource.
#[derive(Debug)]
pub(super) struct ResourceChange {
    pub name: String,
    /// The new version; `None` removes the resource.
    pub version: Option<KnownVersion>,
}

/// A response that the proxy has not answered.
#[derive(Debug)]
pub(super) struct PendingResponse {
    pub nonce: u64,
    pub sent_at: Micros,
    /// The version of all resources of the type together.
    pub type_version: String,
    pub changes: Vec<ResourceChange>,
}

/// How far a type is in use on a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum RequestState {
    /// The proxy has not requested the type.
    #[default]
    NotRequested,
    /// It has, and is not known to have had a response.
    AwaitingResponse,
    /// It had a response, on this stream or a stream before.
    Responded,
}

/// The subscription to one resource type.
#[derive(Debug, Default)]
pub(super) struct TypeSubscription {
    pub state: RequestState,
    /// Whether the proxy wants all resources of the type.
    pub wildcard: bool,
    /// Whether the proxy has named resources. From then on, naming none means none and not all.
    pub has_named_resources: bool,
    pub names: BTreeSet<String>,
    /// What the proxy has once it has acknowledged all that was sent.
    pub sent: BTreeMap<String, KnownVersion>,
    pub acknowledged: BTreeMap<String, KnownVersion>,
    /// Versions that the proxy rejected, by name of the resource.
    pub rejected: BTreeMap<String, String>,
    /// The version of all resources of the type that the proxy rejected last.
    pub rejected_type_version: Option<String>,
    /// Resources that were rejected together with others. Each is sent alone once, so that one invalid
    /// resource does not hold up the rest.
    pub send_alone: BTreeSet<String>,
    /// Names that the proxy was told not to exist.
    pub reported_missing: BTreeSet<String>,
    pub pending: VecDeque<PendingResponse>,
    pub last_nonce: u64,
    /// The version of all resources of the type with which the proxy came, until it is known what it
    /// contains.
    pub claimed_version: Option<String>,
}

/// The version of a set of resources.
pub(super) fn type_version(versions: &BTreeMap<String, KnownVersion>) -> String {
    version_of_all(versions.iter().map(|(name, known)| (name, known.version.as_str())))
}

/// The version of a set of resources, by their names and versions.
pub(super) fn version_of_all<'a>(versions: impl Iterator<Item = (&'a String, &'a str)>) -> String {
    let mut text = String::new();
    for (name, version) in versions {
        text.extend([name, " ", version, "\n"]);
    }
    content_version(text.as_bytes())
}

impl TypeSubscription {
    /// Whether the proxy has requested the type on this stream.
    pub fn is_requested(&self) -> bool {
        self.state != RequestState::NotRequested
    }

    /// Notes a request; whether it is the first of the type.
    pub fn mark_requested(&mut self) -> bool {
        let is_first = !self.is_requested();
        if is_first {
            self.state = RequestState::AwaitingResponse;
        }
        is_first
    }

    /// Whether the proxy wants the resource.
    pub fn is_subscribed(&self, name: &str) -> bool {
        self.wildcard || self.names.contains(name)
    }

    /// Those of some versions that the proxy wants.
    pub fn subscribed_of(&self, versions: &BTreeMap<String, KnownVersion>) -> BTreeMap<String, KnownVersion> {
        let subscribed = versions.iter().filter(|(name, _)| self.is_subscribed(name));
        subscribed.map(|(name, known)| (name.clone(), known.clone())).collect()
    }

    /// Resources that the proxy wants and does not have, without versions that it rejected.
    pub fn changed<'a>(&'a self, desired: &'a ResourcesByName) -> impl Iterator<Item = &'a Arc<Resource>> {
        desired.values().filter(|resource| {
            let sent = self.sent.get(&resource.name);
            self.is_subscribed(&resource.name)
                && sent.is_none_or(|known| known.version != resource.version)
                && self.rejected.get(&resource.name) != Some(&resource.version)
        })
    }

    /// The changed resources for the next response: all that may be sent together, else one of those that are
    /// sent alone.
    pub fn next_changed(&self, desired: &ResourcesByName) -> Vec<Arc<Resource>> {
        let changed = self.changed(desired).cloned();
        let (alone, together): (Vec<_>, Vec<_>) =
            changed.partition(|resource| self.send_alone.contains(&resource.name));
        if together.is_empty() { alone.into_iter().take(1).collect() } else { together }
    }

    /// Drops what belongs to resources that the proxy no longer wants.
    pub fn drop_unsubscribed(&mut self) {
        let (wildcard, names) = (self.wildcard, &self.names);
        let is_subscribed = |name: &String| wildcard || names.contains(name);
        self.sent.retain(|name, _| is_subscribed(name));
        self.acknowledged.retain(|name, _| is_subscribed(name));
        self.rejected.retain(|name, _| is_subscribed(name));
        self.send_alone.retain(is_subscribed);
        self.reported_missing.retain(|name| names.contains(name));
    }

    /// Records the answer to the response with this nonce.
    pub fn record_answer(&mut self, nonce: &str, rejection: Option<&str>) -> Acknowledgement {
        let nonce: u64 = nonce.parse().unwrap_or(0);
        let position = self.pending.iter().position(|response| response.nonce == nonce);
        let Some(response) = position.and_then(|position| self.pending.remove(position)) else {
            return Acknowledgement::StaleNonce;
        };
        match rejection {
            None => {
                self.acknowledge(response);
                Acknowledgement::Ack
            }
            Some(_) => {
                self.reject(response);
                Acknowledgement::Nack
            }
        }
    }

    fn acknowledge(&mut self, response: PendingResponse) {
        for change in response.changes {
            self.send_alone.remove(&change.name);
            match change.version {
                Some(version) => drop(self.acknowledged.insert(change.name, version)),
                None => drop(self.acknowledged.remove(&change.name)),
            }
        }
    }

    /// Puts back what was in force before. A removal counts as done: there is nothing else to offer.
    fn reject(&mut self, response: PendingResponse) {
        self.rejected_type_version = Some(response.type_version);
        let is_alone = response.changes.len() == 1;
        for change in response.changes {
            let Some(rejected) = change.version else { continue };
            self.restore_acknowledged(&change.name, &rejected);
            if is_alone {
                self.send_alone.remove(&change.name);
                self.rejected.insert(change.name, rejected.version);
            } else {
                self.send_alone.insert(change.name);
            }
        }
    }

    /// Takes the acknowledged version as the last that was sent, if that was the rejected one.
    fn restore_acknowledged(&mut self, name: &str, rejected: &KnownVersion) {
        if self.sent.get(name).is_none_or(|sent| sent.version != rejected.version) {
            return;
        }
        match self.acknowledged.get(name) {
            Some(acknowledged) => drop(self.sent.insert(name.to_string(), acknowledged.clone())),
            None => drop(self.sent.remove(name)),
        }
    }

    /// Records a response that is sent.
    pub fn record_sent(&mut self, response: PendingResponse) {
        for change in &response.changes {
            match &change.version {
                Some(version) => drop(self.sent.insert(change.name.clone(), version.clone())),
                None => drop(self.sent.remove(&change.name)),
            }
        }
        self.state = RequestState::Responded;
        self.last_nonce = response.nonce;
        self.pending.push_back(response);
    }
}
