//! Reading the configuration again. A file that cannot be used changes nothing and is read again for a while: it may be
//! half written, or this machine may lack a descriptor for it, and the signal that asks for it comes only once.

use super::server::Server;
use crate::config::Config;
use crate::io::Event;
use balancer::Micros;

/// How long to wait before the configuration is read again.
const RETRY_INTERVAL: Micros = 100_000;
/// For how long a configuration that cannot be used is read again.
const RETRY_PERIOD: Micros = 10_000_000;

/// A configuration that could not be used and is read again.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingReload {
    /// When it is read again.
    pub(super) at: Micros,
    /// When the attempts end.
    given_up_at: Micros,
}

impl Server {
    /// Reads the configuration again, because a signal asks for it.
    pub(super) fn reload_config(&mut self) {
        self.pending_reload = None;
        match Config::read(&self.config_path) {
            Ok(newer) => self.apply_config(&newer),
            Err(error) => {
                tracing::warn!(%error, "configuration not reloaded");
                let now = self.clock.now();
                let reload = PendingReload { at: now + RETRY_INTERVAL, given_up_at: now + RETRY_PERIOD };
                self.pending_reload = Some(reload);
            }
        }
    }

    /// Reads a configuration that could not be used once more, if that is due.
    pub(super) fn repeat_reload(&mut self) {
        let now = self.clock.now();
        let Some(reload) = self.pending_reload.take_if(|reload| reload.at <= now) else { return };
        match Config::read(&self.config_path) {
            Ok(newer) => self.apply_config(&newer),
            Err(error) if now >= reload.given_up_at => {
                tracing::warn!(%error, "reload of the configuration given up");
            }
            Err(_) => self.pending_reload = Some(PendingReload { at: now + RETRY_INTERVAL, ..reload }),
        }
    }

    fn apply_config(&mut self, newer: &Config) {
        let fields = self.config.fields_needing_restart(newer);
        if !fields.is_empty() {
            tracing::warn!(fields = fields.join(", "), "changed fields take effect at the next start");
        }
        self.report_event(Event::DiscoveryMoved(newer.discovery));
    }
}
