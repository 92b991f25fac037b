use super::*;
use operator_config::ConfigFile;

#[test]
fn an_error_names_the_line_the_key_and_the_reason() {
    for (text, reason) in [
        ("listen = 192.0.2.1:18000", "f:2: [control] listen: 192.0.2.1:18000 is not a loopback address"),
        ("listen = here", "f:2: [control] listen: 'here' is not an IP address with a port"),
        ("lease = 10ms", "f:2: [control] lease: must be at least 1s"),
        ("certificate = a.pem", "f:2: [control] certificate: requires key and authority to be set too"),
        ("instances = 0", "f:2: [control] instances: must be at least 1"),
        ("service = a/b", "f:2: [control] service: must not be empty or contain '/'"),
    ] {
        let mut file = ConfigFile::parse("f", &format!("[control]\n{text}\n")).expect("INI");
        let error = Options::read(&mut file.section("control")).expect_err(text).to_string();
        assert!(error.starts_with(reason), "{error}");
    }
}

#[test]
fn unset_options_are_disabled() {
    let mut file = ConfigFile::parse("f", "[control]\nlisten = 127.0.0.1:0\nlease = 2s\n").expect("INI");
    let options = Options::read(&mut file.section("control")).expect("valid options");
    assert_eq!((options.listen.is_some(), options.lease, options.probe_interval), (true, 2_000_000, 0));
    let mut file = ConfigFile::parse("f", "").expect("INI");
    assert_eq!(Options::read(&mut file.section("control")).expect("valid options").listen, None);
}
