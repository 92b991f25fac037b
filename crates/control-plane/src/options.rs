//! The options of the control plane, from section `[control]` of the operator's file.

use balancer::Micros;
use operator_config::{ConfigError, Section};
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

/// The shortest lease and answer timeout.
const MIN_LONG_INTERVAL: Duration = Duration::from_secs(1);
/// The shortest interval of load reports and probes.
const MIN_SHORT_INTERVAL: Duration = Duration::from_millis(100);
/// How values are described that are to be integers.
const INTEGER: &str = "a whole number";
/// How values are described that are to be socket addresses.
const ADDRESS: &str = "an address with a port";

/// The files of mutual TLS, in PEM format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// The certificate of the control plane.
    pub certificate: String,
    /// Its private key.
    pub key: String,
    /// The certificate of the authority that signs the proxies' certificates.
    pub authority: String,
}

/// The options of the control plane.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address to which proxies connect; `None` if the control plane is off.
    pub listen: Option<SocketAddr>,
    /// The files of mutual TLS; `None` for connections without TLS.
    pub tls: Option<TlsFiles>,
    /// The name under which a proxyless client requests its listener.
    pub service: String,
    /// The address on which a proxy is to listen.
    pub proxy_listen: SocketAddr,
    /// How long a proxy may act on endpoints that were not renewed; 0 for any time.
    pub lease: Micros,
    /// How many control planes share the proxies.
    pub instances: u32,
    /// How many proxies are expected at a start.
    pub expected_proxies: u32,
    /// How long after a start, or after a proxy has disconnected, its grants from before count.
    pub hold: Micros,
    /// How long a response may be unanswered before its stream is ended.
    pub answer_timeout: Micros,
    /// How many proxies are served.
    pub max_proxies: usize,
    /// How often proxies report their load; 0 for never.
    pub report_interval: Micros,
    /// How often data nodes are probed; 0 for never.
    pub probe_interval: Micros,
}

impl Options {
    /// Reads the options from section `[control]`. What the section does not set gets its default.
    pub fn read(section: &mut Section) -> Result<Options, ConfigError> {
        let options = Options {
            lease: interval(section, "lease", Duration::ZERO, MIN_LONG_INTERVAL)?,
            hold: interval(section, "hold", Duration::from_secs(15), Duration::ZERO)?,
            answer_timeout: interval(section, "answer_within", Duration::from_secs(30), MIN_LONG_INTERVAL)?,
            report_interval: interval(section, "report_every", Duration::from_secs(1), MIN_SHORT_INTERVAL)?,
            probe_interval: interval(section, "probe_every", Duration::ZERO, MIN_SHORT_INTERVAL)?,
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

    /// Checks what depends on more than one option, or on more than a value's form.
    fn check(&self, section: &Section) -> Result<(), ConfigError> {
        let error = |key: &str, reason: &str| Err(section.rejected(key, reason));
        if self.instances == 0 {
            return error("instances", "under 1");
        }
        if self.service.is_empty() || self.service.contains(['/', '?', '#', ' ']) {
            return error("service", "not a name that stands in a target URI as it is");
        }
        match self.listen {
            Some(address) if self.tls.is_none() && !address.ip().is_loopback() => {
                let reason = format!("{address} is not a loopback address, and there is no certificate");
                error("listen", &reason)
            }
            _ => Ok(()),
        }
    }
}

/// The files of mutual TLS: all of them or none.
fn tls_files(section: &mut Section) -> Result<Option<TlsFiles>, ConfigError> {
    let keys = ["certificate", "key", "authority"];
    let files = keys.map(|key| section.take(key));
    if let [Some(certificate), Some(key), Some(authority)] = files {
        return Ok(Some(TlsFiles { certificate, key, authority }));
    }
    let Some(given) = files.iter().position(Option::is_some) else { return Ok(None) };
    let missing: Vec<&str> =
        keys.iter().zip(&files).filter(|(_, file)| file.is_none()).map(|(key, _)| *key).collect();
    let reason = format!("it wants {} too", missing.join(" and "));
    Err(section.rejected(keys[given], reason))
}

/// An interval of at least `minimum`; also 0, if that is its default.
fn interval(
    section: &mut Section, key: &str, default: Duration, minimum: Duration,
) -> Result<Micros, ConfigError> {
    let value = section.duration(key, default)?;
    let is_off = value.is_zero() && default.is_zero();
    if value < minimum && !is_off {
        return Err(section.rejected(key, format!("under {minimum:?}")));
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
