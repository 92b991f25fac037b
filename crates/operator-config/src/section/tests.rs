use super::*;

const TEXT: &str = "[control]\nlease = 5\nburst = many\nlimit = 70s\nport = 8\non = on\nlate = yes\n";

fn file() -> ConfigFile {
    ConfigFile::parse("f", TEXT).expect("INI")
}

#[test]
fn durations_and_sizes_require_a_unit() {
    let mut file = file();
    let mut control = file.section("control");
    assert_eq!(
        control.duration("lease", Duration::ZERO).expect_err("no unit").to_string(),
        "f:2: [control] lease: '5' is not a duration with a unit, such as 500ms"
    );
    let error = control.size("burst", 0).expect_err("no size").to_string();
    assert!(error.starts_with("f:3: [control] burst: 'many'"));
    assert_eq!(control.duration("limit", Duration::ZERO).expect("a duration"), Duration::from_secs(70));
}

#[test]
fn numbers_and_flags_are_parsed() {
    let mut file = file();
    let mut control = file.section("control");
    assert_eq!(control.parsed("port", 0u16, "a port").expect("a port"), 8);
    assert_eq!(control.optional::<u16>("none", "a port").expect("absent"), None);
    assert!(control.flag("on").expect("a flag"));
    assert!(!control.flag("off").expect("absent is off"));
    assert!(control.flag("late").is_err());
}

#[test]
fn error_about_an_absent_key_names_the_line_of_its_section() {
    let mut file = file();
    let error = file.section("control").rejected("gone", "it is missing");
    assert_eq!(error.to_string(), "f:1: [control] gone: it is missing");
}
