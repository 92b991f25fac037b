//! What the operator's file says of the control service, section `[control]`.

use balancer::Micros;
use operator_config::{ConfigError, Section};
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Options {
    /// Where proxies connect; none: the service is off.
    pub listen: Option<SocketAddr>,
    /// The files of its certificate, its key, and the authority that signs the proxies' certificates.
    pub tls: Option<[String; 3]>,
    /// Under which name a proxyless client asks for its listener, and where a proxy is to listen.
    pub service: String,
    pub proxy_listen: SocketAddr,
    /// How long a proxy may act on endpoints that were not renewed; 0: for as long as it likes.
    pub lease: Micros,
    /// How many control services share the proxies, and how many proxies are expected at a start.
    pub instances: u32,
    pub expected: u32,
    /// How long after a start, or after a proxy has left, shares held from before are reckoned with.
    pub hold: Micros,
    /// How long a response may wait for its answer before the proxy is cut off.
    pub answer_within: Micros,
    pub most_proxies: usize,
    /// How often proxies report their load, and data nodes are tried from here; 0: never.
    pub report_every: Micros,
    pub probe_every: Micros,
}

fn micros(time: Duration) -> Micros {
    time.as_micros().min(i64::MAX as u128) as Micros
}

impl Options {
    pub fn read(of: &mut Section) -> Result<Options, ConfigError> {
        let seconds = Duration::from_secs;
        let mut time = |key: &str, absent: Duration, least: Duration| {
            let value = of.duration(key, absent)?;
            if value < least && !(value.is_zero() && absent.is_zero()) {
                return Err(of.rejected(key, format!("under {least:?}")));
            }
            Ok(micros(value))
        };
        let lease = time("lease", Duration::ZERO, seconds(1))?;
        let hold = time("hold", seconds(15), Duration::ZERO)?;
        let answer_within = time("answer_within", seconds(30), seconds(1))?;
        let report_every = time("report_every", seconds(1), Duration::from_millis(100))?;
        let probe_every = time("probe_every", Duration::ZERO, Duration::from_millis(100))?;
        let whole = "a whole number";
        let files = ["certificate", "key", "authority"].map(|key| (key, of.take(key)));
        let tls = match &files {
            [(_, Some(certificate)), (_, Some(key)), (_, Some(authority))] => {
                Some([certificate.clone(), key.clone(), authority.clone()])
            }
            _ => match files.iter().find(|(_, file)| file.is_some()) {
                Some((given, _)) => {
                    let lacks = files.iter().filter(|(_, file)| file.is_none()).map(|(key, _)| *key);
                    let lacks: Vec<&str> = lacks.collect();
                    return Err(of.rejected(given, format!("it wants {} too", lacks.join(" and "))));
                }
                None => None,
            },
        };
        let options = Options {
            listen: of.optional("listen", "an address with a port")?,
            tls,
            service: of.text("service", "yewpier")?,
            proxy_listen: of.parsed(
                "proxy_listen",
                ([127, 0, 0, 1], 8080).into(),
                "an address with a port",
            )?,
            lease,
            instances: of.parsed("instances", 1, whole)?,
            expected: of.parsed("expected", 1, whole)?,
            hold,
            answer_within,
            most_proxies: of.parsed("most_proxies", 5000, whole)?,
            report_every,
            probe_every,
        };
        if options.instances == 0 {
            return Err(of.rejected("instances", "under 1"));
        }
        if options.service.is_empty() || options.service.contains(['/', '?', '#', ' ']) {
            return Err(of.rejected("service", "not a name that stands in a target URI as it is"));
        }
        match options.listen {
            Some(at) if options.tls.is_none() && !at.ip().is_loopback() => Err(
                of.rejected("listen", format!("{at} is not a loopback address, and there is no certificate"))
            ),
            _ => Ok(options),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use operator_config::ConfigFile;

    #[test]
    fn what_the_section_lacks_is_named() {
        for (text, why) in [
            ("listen = 192.0.2.1:18000", "f:2: [control] listen: 192.0.2.1:18000 is not a loopback address"),
            ("listen = here", "f:2: [control] listen: 'here' is not an address with a port"),
            ("lease = 10ms", "f:2: [control] lease: under 1s"),
            ("certificate = a.pem", "f:2: [control] certificate: it wants key and authority too"),
            ("instances = 0", "f:2: [control] instances: under 1"),
            ("service = a/b", "f:2: [control] service: not a name"),
        ] {
            let mut file = ConfigFile::parse("f", &format!("[control]\n{text}\n")).expect("INI");
            let error = Options::read(&mut file.section("control")).expect_err(text).to_string();
            assert!(error.starts_with(why), "{error}");
        }
    }

    #[test]
    fn all_is_off_unless_it_is_set() {
        let mut file = ConfigFile::parse("f", "[control]\nlisten = 127.0.0.1:0\nlease = 2s\n").expect("INI");
        let options = Options::read(&mut file.section("control")).expect("fit");
        assert_eq!((options.listen.is_some(), options.lease, options.probe_every), (true, 2_000_000, 0));
        let mut file = ConfigFile::parse("f", "").expect("INI");
        assert_eq!(Options::read(&mut file.section("control")).expect("fit").listen, None);
    }
}
