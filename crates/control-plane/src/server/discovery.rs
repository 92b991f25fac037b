//! The task that watches discovery on request.

use crate::discovery_watch::{EndpointListUpdate, watch};
use balancer::EndpointUpdate;
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{Notify, mpsc};

/// Watches discovery each time `requested` is notified, and reports the end of a watch as a failed update. A
/// notification during a watch starts the next one once the watch has ended. A new address ends the current watch
/// and starts one there without a known revision, which returns the full list.
pub(super) async fn watch_discovery(
    mut address: tokio::sync::watch::Receiver<SocketAddr>, requested: Arc<Notify>,
    updates: mpsc::Sender<EndpointListUpdate>,
) {
    let mut revision = 0;
    loop {
        requested.notified().await;
        let current = *address.borrow_and_update();
        let error = tokio::select! {
            error = watch(current, &mut revision, &updates) => error,
            changed = address.changed() => {
                if changed.is_err() {
                    return;
                }
                revision = 0;
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
