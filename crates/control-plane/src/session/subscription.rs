//! The subscription to one resource type on a stream, with the versions that were sent, acknowledged and
//! rejected.

use super::request::Acknowledgement;
use crate::resource::{Resource, ResourcesByName, content_version};
use balancer::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A version of a resource that the proxy has, or that was sent to it.
#[derive(Clone, Debug)]
pub(super) struct KnownVersion {
    pub version: String,
    /// The resource with this version; `None` if another control plane created it.
    pub resource: Option<Arc<Resource>>,
}

impl KnownVersion {
    /// Returns the version of a resource created by this control plane.
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
    /// The combined version of all resources of the type.
    pub type_version: String,
    pub changes: Vec<ResourceChange>,
}

/// Whether the proxy has requested a type on a stream and has received a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum RequestState {
    /// The proxy has not requested the type.
    #[default]
    NotRequested,
    /// The proxy has requested the type and is not known to have received a response.
    AwaitingResponse,
    /// The proxy has received a response, on this stream or an earlier one.
    Responded,
}

/// The subscription to one resource type.
#[derive(Debug, Default)]
pub(super) struct TypeSubscription {
    pub state: RequestState,
    /// Whether the subscription covers all resources of the type.
    pub wildcard: bool,
    /// Whether the proxy has ever named resources of the type. From then on an empty list of names subscribes to
    /// none; before, it is a wildcard subscription.
    pub has_named_resources: bool,
    pub names: BTreeSet<String>,
    /// Versions that the proxy has once it has acknowledged all pending responses, by resource name.
    pub sent: BTreeMap<String, KnownVersion>,
    /// Versions that the proxy has acknowledged, by resource name.
    pub acknowledged: BTreeMap<String, KnownVersion>,
    /// Versions that the proxy rejected in a response of their own, by resource name. They are not sent again unless
    /// the proxy requests the resource again.
    pub rejected: BTreeMap<String, String>,
    /// The combined version of the type in the response that the proxy rejected last.
    pub rejected_type_version: Option<String>,
    /// Resources that were rejected in a response with several. Each is then sent in a response of its own, so
    /// that one invalid resource does not block the others.
    pub send_alone: BTreeSet<String>,
    /// Subscribed names that were reported to the proxy as removed because no such resource exists.
    pub reported_missing: BTreeSet<String>,
    /// Unanswered responses, oldest first.
    pub pending: VecDeque<PendingResponse>,
    pub last_nonce: u64,
    /// The combined version of the type that a reconnecting proxy named in its first request, until it is matched
    /// against known versions.
    pub claimed_version: Option<String>,
}

/// Returns the combined version of the resources with these versions.
pub(super) fn type_version(versions: &BTreeMap<String, KnownVersion>) -> String {
    combined_version(versions.iter().map(|(name, known)| (name, known.version.as_str())))
}

/// Returns the combined version of a set of resources: a hash of their names and versions.
pub(super) fn combined_version<'a>(versions: impl Iterator<Item = (&'a String, &'a str)>) -> String {
    let mut text = String::new();
    for (name, version) in versions {
        text.extend([name, " ", version, "\n"]);
    }
    content_version(text.as_bytes())
}

impl TypeSubscription {
    /// Returns whether the proxy has requested the type on this stream.
    pub fn is_requested(&self) -> bool {
        self.state != RequestState::NotRequested
    }

    /// Records a request. Returns whether it is the first of its type on the stream.
    pub fn mark_requested(&mut self) -> bool {
        let is_first = !self.is_requested();
        if is_first {
            self.state = RequestState::AwaitingResponse;
        }
        is_first
    }

    /// Returns whether the subscription covers the resource.
    pub fn is_subscribed(&self, name: &str) -> bool {
        self.wildcard || self.names.contains(name)
    }

    /// Returns the versions whose resources the subscription covers.
    pub fn subscribed_of(&self, versions: &BTreeMap<String, KnownVersion>) -> BTreeMap<String, KnownVersion> {
        let subscribed = versions.iter().filter(|(name, _)| self.is_subscribed(name));
        subscribed.map(|(name, known)| (name.clone(), known.clone())).collect()
    }

    /// Returns the subscribed resources whose desired version was neither sent nor rejected.
    pub fn changed<'a>(&'a self, desired: &'a ResourcesByName) -> impl Iterator<Item = &'a Arc<Resource>> {
        desired.values().filter(|resource| {
            let sent = self.sent.get(&resource.name);
            self.is_subscribed(&resource.name)
                && sent.is_none_or(|known| known.version != resource.version)
                && self.rejected.get(&resource.name) != Some(&resource.version)
        })
    }

    /// Returns the changed resources for the next response: all that may share a response or, if there are none,
    /// one that needs a response of its own.
    pub fn next_changed(&self, desired: &ResourcesByName) -> Vec<Arc<Resource>> {
        let changed = self.changed(desired).cloned();
        let (alone, together): (Vec<_>, Vec<_>) =
            changed.partition(|resource| self.send_alone.contains(&resource.name));
        if together.is_empty() { alone.into_iter().take(1).collect() } else { together }
    }

    /// Discards the versions of resources that the subscription no longer covers.
    pub fn drop_unsubscribed(&mut self) {
        let (wildcard, names) = (self.wildcard, &self.names);
        let is_subscribed = |name: &String| wildcard || names.contains(name);
        self.sent.retain(|name, _| is_subscribed(name));
        self.acknowledged.retain(|name, _| is_subscribed(name));
        self.rejected.retain(|name, _| is_subscribed(name));
        self.send_alone.retain(is_subscribed);
        self.reported_missing.retain(|name| names.contains(name));
    }

    /// Records an ACK or, with `rejection`, a NACK of the response with this nonce.
    pub fn record_acknowledgement(&mut self, nonce: &str, rejection: Option<&str>) -> Acknowledgement {
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

    /// Reverts the changes of a rejected response. Removals are not reverted, since there is no other version to
    /// send.
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

    /// Resets the last sent version to the acknowledged one, if the rejected version was sent last.
    fn restore_acknowledged(&mut self, name: &str, rejected: &KnownVersion) {
        if self.sent.get(name).is_none_or(|sent| sent.version != rejected.version) {
            return;
        }
        match self.acknowledged.get(name) {
            Some(acknowledged) => drop(self.sent.insert(name.to_string(), acknowledged.clone())),
            None => drop(self.sent.remove(name)),
        }
    }

    /// Records a response as sent and unanswered.
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
