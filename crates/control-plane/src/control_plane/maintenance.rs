//! What is due by the clock: load reports, probes, timeouts, leases, and checks of invariants.

use super::proxy_state::StreamState;
use super::{ControlPlane, Effect, StreamError};
use crate::ids::{ProxyId, StreamId};
use balancer::Micros;

/// How long a stream may be open before its first message.
const FIRST_MESSAGE_TIMEOUT: Micros = 5_000_000;
/// A lease is renewed once this fraction of it has passed.
const LEASE_RENEWAL_FRACTION: Micros = 3;

impl ControlPlane {
    /// Tells the balancer what proxies reported.
    pub(super) fn take_load_reports(&mut self, now: Micros) {
        let interval = self.options.report_interval;
        if interval == 0 || now - self.load_taken_at < interval {
            return;
        }
        self.load_taken_at = now;
        for (node, report) in self.load_reports.take() {
            self.endpoints.report_load(now, node, &report);
        }
    }

    /// Tries to connect to all data nodes, where the options say so.
    pub(super) fn probe_nodes(&mut self, now: Micros) {
        let interval = self.options.probe_interval;
        if interval == 0 || now - self.probed_at < interval {
            return;
        }
        self.probed_at = now;
        self.effects.extend(self.endpoints.addresses().map(|(address, _)| Effect::ProbeNode(address)));
    }

    /// Forgets proxies that have been disconnected for long enough, and releases what they were granted.
    pub(super) fn forget_proxies(&mut self, now: Micros) {
        let hold = self.options.hold.max(self.options.lease);
        let mut expired = Vec::new();
        for (&id, proxy) in &self.proxies {
            let is_expired = proxy.disconnected_at().is_some_and(|at| now - at > hold);
            if is_expired && !self.has_stream(id) {
                expired.push(id);
            }
        }
        for id in expired {
            self.proxies.remove(&id);
            self.proxy_ids.release(id.0);
            self.ledger.forget(id);
            self.drains.forget(id);
        }
        self.metrics.proxies.set(self.proxies.len() as i64);
    }

    fn has_stream(&self, proxy: ProxyId) -> bool {
        self.streams.values().any(|stream| stream.proxy == Some(proxy))
    }

    /// Ends streams that have no first message in time, and those of proxies that do not answer responses.
    pub(super) fn close_inactive_streams(&mut self, now: Micros) {
        let is_silent =
            |stream: &StreamState| stream.proxy.is_none() && now - stream.opened_at > FIRST_MESSAGE_TIMEOUT;
        let silent = self.streams.iter().filter(|(_, stream)| is_silent(stream));
        let silent: Vec<StreamId> = silent.map(|(&id, _)| id).collect();
        for stream in silent {
            self.close_stream(now, stream, StreamError::NoFirstMessage);
        }
        let timeout = self.options.answer_timeout;
        let slow = self
            .proxies
            .values()
            .filter(|proxy| proxy.session.oldest_pending().is_some_and(|sent_at| now - sent_at > timeout));
        let slow: Vec<StreamId> = slow.filter_map(|proxy| proxy.stream()).collect();
        for stream in slow {
            self.close_stream(now, stream, StreamError::AcknowledgementTimeout);
        }
    }

    /// Renews the leases of endpoints in time.
    pub(super) fn renew_leases(&mut self, now: Micros) {
        let lease = self.options.lease;
        if lease == 0 {
            return;
        }
        let is_due = |renewed_at: Micros| now - renewed_at >= lease / LEASE_RENEWAL_FRACTION;
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

    /// Counts constrained nodes of which more is granted than their capacity, although no proxy has yet to
    /// acknowledge a lower grant.
    pub(super) fn check_invariants(&mut self) {
        let nodes = self.desired.constrained_nodes.iter();
        let exceeded = nodes.filter(|(cluster, node)| {
            self.ledger.total(cluster) > node.capacity as u64 && !self.is_lowering(cluster, node.capacity)
        });
        let exceeded = exceeded.count();
        debug_assert_eq!(exceeded, 0);
        self.metrics.invariants_broken.inc_by(exceeded as u64);
    }

    /// Whether a proxy has yet to acknowledge a lower grant of a constrained node.
    fn is_lowering(&self, cluster: &str, capacity: u32) -> bool {
        self.proxies.iter().any(|(&id, proxy)| {
            self.ledger.granted(cluster, id) > self.constrained_target(cluster, capacity, id, &proxy.name)
        })
    }
}
