//! The task that watches discovery on request.

#[cfg(test)]
mod tests;

use crate::discovery_watch::{EndpointListUpdate, Revisions, watch};
use balancer::EndpointUpdate;
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{Notify, mpsc};

/// Watches discovery each time `requested` is notified, and reports the end of a watch as a failed update. A
/// notification during a watch starts the next one once the watch has ended. A new address ends the current watch, if
/// there is one, and the next watch starts at once and requests the full list.
pub(super) async fn watch_discovery(
    mut address: tokio::sync::watch::Receiver<SocketAddr>, requested: Arc<Notify>,
    updates: mpsc::Sender<EndpointListUpdate>,
) {
    let mut revisions = Revisions::default();
    loop {
        tokio::select! {
            () = requested.notified() => {}
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                revisions.request_all();
            }
        }
        let current = *address.borrow_and_update();
        let error = tokio::select! {
            error = watch(current, &mut revisions, &updates) => error,
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                revisions.request_all();
                requested.notify_one();
                continue;
            }
        };
        tracing::info!(discovery = %current, %error, "discovery watch ended");
        let failed = EndpointListUpdate { list: Json::Null, update: EndpointUpdate::Failed };
        if updates.send(failed).await.is_err() {
            return;
        }
    }
}
