//! Reloading the configuration. If the file cannot be used, the running configuration stays in effect and the reload is
//! retried: the file may be partially written, or no file descriptor may be free, and the signal is sent only once.

use super::server::Server;
use crate::config::Config;
use crate::io::Event;
use balancer::Micros;

/// Time from a failed reload to its retry.
const RETRY_INTERVAL: Micros = 100_000;
/// Time after the signal at which the reload is abandoned.
const RETRY_PERIOD: Micros = 10_000_000;

/// A scheduled retry of a failed reload.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingReload {
    /// Time of the retry.
    pub(super) retry_at: Micros,
    /// Time from which a failed retry is the last one.
    abandoned_at: Micros,
}

impl Server {
    /// Reloads the configuration after a signal. Schedules retries if the file cannot be used.
    pub(super) fn reload_config(&mut self) {
        self.pending_reload = None;
        match Config::read(&self.config_path) {
            Ok(newer) => self.apply_config(&newer),
            Err(error) => {
                tracing::warn!(%error, "configuration not reloaded; retrying");
                let now = self.clock.now();
                let reload =
                    PendingReload { retry_at: now + RETRY_INTERVAL, abandoned_at: now + RETRY_PERIOD };
                self.pending_reload = Some(reload);
            }
        }
    }

    /// Repeats a failed reload if its retry is due.
    pub(super) fn retry_reload(&mut self) {
        let now = self.clock.now();
        let Some(reload) = self.pending_reload.take_if(|reload| reload.retry_at <= now) else { return };
        match Config::read(&self.config_path) {
            Ok(newer) => self.apply_config(&newer),
            Err(error) if now >= reload.abandoned_at => {
                tracing::warn!(%error, "reload abandoned; the running configuration stays in effect");
            }
            Err(_) => self.pending_reload = Some(PendingReload { retry_at: now + RETRY_INTERVAL, ..reload }),
        }
    }

    fn apply_config(&mut self, newer: &Config) {
        let fields = self.config.fields_needing_restart(newer);
        if !fields.is_empty() {
            tracing::warn!(fields = fields.join(", "), "changed configuration fields require a restart");
        }
        self.report_event(Event::DiscoveryAddressReloaded(newer.discovery));
    }
}
