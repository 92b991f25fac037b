//! The options of the control plane, read from section `[control]` of the operator's file.

use balancer::Micros;
use operator_config::{ConfigError, Section};
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

/// Minimum of the lease and of the answer timeout.
const MIN_LEASE_AND_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum interval of load reports and probes.
const MIN_REPORT_AND_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Description of an integer in error messages.
const INTEGER: &str = "a non-negative integer";
/// Description of a socket address in error messages.
const ADDRESS: &str = "an IP address with a port";

/// Paths of the files for mutual TLS, in PEM format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// The certificate chain of the control plane.
    pub certificate: String,
    /// The private key of the control plane.
    pub key: String,
    /// The certificates of the authorities that may sign the proxies' certificates.
    pub authority: String,
}

/// The options of the control plane.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address that the control plane listens on; `None` if it is disabled.
    pub listen: Option<SocketAddr>,
    /// Files for mutual TLS; `None` for connections without TLS.
    pub tls: Option<TlsFiles>,
    /// Name of the API listener that proxyless clients request.
    pub service: String,
    /// The address that proxies listen on.
    pub proxy_listen: SocketAddr,
    /// Time for which a proxy may use endpoints without a renewal; 0 for no limit.
    pub lease: Micros,
    /// Number of control planes that share the proxies; each grants an equal part of the capacity.
    pub instances: u32,
    /// Number of proxies expected to connect after a start.
    pub expected_proxies: u32,
    /// Time for which the grants of a disconnected proxy stay reserved, unless the lease is longer; after a start of
    /// the control plane, time for which proxies that have not reconnected are assumed to have grants from before. Set
    /// by key `hold`.
    pub grant_hold: Micros,
    /// Time after which the stream of an unanswered response is closed.
    pub answer_timeout: Micros,
    /// Maximum number of proxies.
    pub max_proxies: usize,
    /// Interval at which proxies report their load; 0 to disable load reports.
    pub report_interval: Micros,
    /// Interval at which data nodes are probed; 0 for no probes.
    pub probe_interval: Micros,
}

impl Options {
    /// Reads the options from section `[control]`. Keys that are not set have default values.
    pub fn read(section: &mut Section) -> Result<Options, ConfigError> {
        let options = Options {
            lease: interval(section, "lease", Duration::ZERO, MIN_LEASE_AND_TIMEOUT)?,
            grant_hold: interval(section, "hold", Duration::from_secs(15), Duration::ZERO)?,
            answer_timeout: interval(
                section,
                "answer_within",
                Duration::from_secs(30),
                MIN_LEASE_AND_TIMEOUT,
            )?,
            report_interval: interval(
                section,
                "report_every",
                Duration::from_secs(1),
                MIN_REPORT_AND_PROBE_INTERVAL,
            )?,
            probe_interval: interval(section, "probe_every", Duration::ZERO, MIN_REPORT_AND_PROBE_INTERVAL)?,
            tls: tls_files(section)?,
            listen: section.optional("listen", ADDRESS)?,
            service: section.text("service", "yewpier")?,
            proxy_listen: parsed(section, "proxy_listen", ([127, 0, 0, 1], 8080).into(), ADDRESS)?,
            instances: parsed(section, "instances", 1, INTEGER)?,
            expected_proxies: parsed(section, "expected", 1, INTEGER)?,
            max_proxies: parsed(section, "most_proxies", 5000, INTEGER)?,
        };
        options.check(section)?;
        Ok(options)
    }

    /// Checks ranges, and options that depend on each other.
    fn check(&self, section: &Section) -> Result<(), ConfigError> {
        let error = |key: &str, reason: &str| Err(section.rejected(key, reason));
        if self.instances == 0 {
            return error("instances", "must be at least 1");
        }
        if self.service.is_empty() || self.service.contains(['/', '?', '#', ' ']) {
            return error(
                "service",
                "must not be empty or contain '/', '?', '#' or a space, as it is part of a target URI",
            );
        }
        match self.listen {
            Some(address) if self.tls.is_none() && !address.ip().is_loopback() => {
                let reason = format!(
                    "{address} is not a loopback address, so certificate, key and authority are required"
                );
                error("listen", &reason)
            }
            _ => Ok(()),
        }
    }
}

/// Reads the files for mutual TLS, of which either all or none must be set.
fn tls_files(section: &mut Section) -> Result<Option<TlsFiles>, ConfigError> {
    let keys = ["certificate", "key", "authority"];
    let files = keys.map(|key| section.take(key));
    if let [Some(certificate), Some(key), Some(authority)] = files {
        return Ok(Some(TlsFiles { certificate, key, authority }));
    }
    let Some(given) = files.iter().position(Option::is_some) else { return Ok(None) };
    let missing: Vec<&str> =
        keys.iter().zip(&files).filter(|(_, file)| file.is_none()).map(|(key, _)| *key).collect();
    let reason = format!("requires {} to be set too", missing.join(" and "));
    Err(section.rejected(keys[given], reason))
}

/// Reads an interval of at least `minimum`. 0 is also accepted if it is the default.
fn interval(
    section: &mut Section, key: &str, default: Duration, minimum: Duration,
) -> Result<Micros, ConfigError> {
    let value = section.duration(key, default)?;
    let is_disabled = value.is_zero() && default.is_zero();
    if value < minimum && !is_disabled {
        return Err(section.rejected(key, format!("must be at least {minimum:?}")));
    }
    Ok(value.as_micros().min(i64::MAX as u128) as Micros)
}

fn parsed<T: FromStr>(
    section: &mut Section, key: &str, default: T, description: &'static str,
) -> Result<T, ConfigError> {
    section.parsed(key, default, description)
}

#[cfg(test)]
mod tests;
