//! Periodic tasks: forwarding of load reports, probes of data nodes, timeouts, lease renewal and checks of invariants.

use super::proxy_state::StreamState;
use super::{ControlPlane, Effect, StreamError};
use crate::ids::{ProxyId, StreamId};
use balancer::Micros;

/// Time after which a stream without a first message is closed.
const FIRST_MESSAGE_TIMEOUT: Micros = 5_000_000;
/// A lease is renewed once its duration divided by this value has passed.
const LEASE_RENEWAL_DIVISOR: Micros = 3;

impl ControlPlane {
    /// Passes the load reports of the last interval to the balancer.
    pub(super) fn forward_load_reports(&mut self, now: Micros) {
        let interval = self.options.report_interval;
        if interval == 0 || now - self.load_forwarded_at < interval {
            return;
        }
        self.load_forwarded_at = now;
        for (node, report) in self.load_reports.take() {
            self.endpoints.report_load(now, node, &report);
        }
    }

    /// Requests a probe of every data node once per probe interval, if probes are enabled.
    pub(super) fn probe_nodes(&mut self, now: Micros) {
        let interval = self.options.probe_interval;
        if interval == 0 || now - self.probed_at < interval {
            return;
        }
        self.probed_at = now;
        self.effects.extend(self.endpoints.addresses().map(|(address, _)| Effect::ProbeNode(address)));
    }

    /// Removes proxies that have been disconnected for longer than both `grant_hold` and the lease and have no open
    /// load reporting stream, and releases their grants.
    pub(super) fn remove_expired_proxies(&mut self, now: Micros) {
        let retention = self.options.grant_hold.max(self.options.lease);
        let mut expired = Vec::new();
        for (&id, proxy) in &self.proxies {
            let is_expired = proxy.disconnected_at().is_some_and(|at| now - at > retention);
            if is_expired && !self.has_stream(id) {
                expired.push(id);
            }
        }
        for id in expired {
            self.proxies.remove(&id);
            self.proxy_ids.release(id.0);
            self.capacity_ledger.release_all(id);
            self.drains.remove_proxy(id);
        }
        self.metrics.proxies.set(self.proxies.len() as i64);
    }

    fn has_stream(&self, proxy: ProxyId) -> bool {
        self.streams.values().any(|stream| stream.proxy == Some(proxy))
    }

    /// Closes streams that received no first message in time, and discovery streams on which a response was neither
    /// acknowledged nor rejected in time.
    pub(super) fn close_inactive_streams(&mut self, now: Micros) {
        let is_unidentified =
            |stream: &StreamState| stream.proxy.is_none() && now - stream.opened_at > FIRST_MESSAGE_TIMEOUT;
        let unidentified = self.streams.iter().filter(|(_, stream)| is_unidentified(stream));
        let unidentified: Vec<StreamId> = unidentified.map(|(&id, _)| id).collect();
        for stream in unidentified {
            self.close_stream(now, stream, StreamError::NoFirstMessage);
        }
        let timeout = self.options.answer_timeout;
        let unresponsive = self.proxies.values().filter(|proxy| {
            proxy.session.oldest_pending_sent_at().is_some_and(|sent_at| now - sent_at > timeout)
        });
        let unresponsive: Vec<StreamId> = unresponsive.filter_map(|proxy| proxy.stream()).collect();
        for stream in unresponsive {
            self.close_stream(now, stream, StreamError::AcknowledgementTimeout);
        }
    }

    /// Renews the leases of endpoints that are due for renewal.
    pub(super) fn renew_leases(&mut self, now: Micros) {
        let lease = self.options.lease;
        if lease == 0 {
            return;
        }
        let is_due = |renewed_at: Micros| now - renewed_at >= lease / LEASE_RENEWAL_DIVISOR;
        let due = self.proxies.iter().filter(|(_, proxy)| is_due(proxy.lease_renewed_at));
        let due: Vec<ProxyId> = due.map(|(&id, _)| id).collect();
        for id in due {
            let Some(proxy) = self.proxies.get_mut(&id) else { continue };
            let Some(stream) = proxy.stream() else { continue };
            if let Some(response) = proxy.session.heartbeat(now) {
                proxy.lease_renewed_at = now;
                self.respond(stream, response);
            }
        }
    }

    /// Counts the constrained nodes whose grants exceed their capacity although no proxy has a lower grant to
    /// acknowledge.
    pub(super) fn check_invariants(&mut self) {
        let nodes = self.desired.constrained_nodes.iter();
        let exceeded = nodes.filter(|(cluster, node)| {
            self.capacity_ledger.total(cluster) > node.capacity as u64
                && !self.has_pending_reduction(cluster, node.capacity)
        });
        let exceeded = exceeded.count();
        debug_assert_eq!(exceeded, 0);
        self.metrics.invariants_broken.inc_by(exceeded as u64);
    }

    /// Returns whether some proxy has not yet acknowledged a lower grant of a constrained node.
    fn has_pending_reduction(&self, cluster: &str, capacity: u32) -> bool {
        self.proxies.iter().any(|(&id, proxy)| {
            self.capacity_ledger.granted(cluster, id)
                > self.constrained_target(cluster, capacity, id, &proxy.name)
        })
    }
}
