use super::*;

#[test]
fn each_error_names_the_file_and_line_and_the_section_or_key() {
    for (text, message) in [
        ("[log]\nformat = xml\n", "f:2: [log] format: 'xml' is neither text nor json"),
        ("[log]\n# no\nfromat = json\n", "f:3: [log] fromat: no such key"),
        ("[lgo]\n", "f:1: [lgo]: no such section"),
        ("format = json\n", "f:1: format: the key is outside any section"),
        ("[log]\nformat = json\nformat = text\n", "f:3: [log] format: duplicate key, first on line 2"),
        ("[log]\n[control]\n[log]\n", "f:3: [log]: duplicate section, first on line 1"),
    ] {
        let read = ConfigFile::parse("f", text).and_then(|mut file| {
            file.log_format()?;
            file.reject_unknown()
        });
        assert_eq!(read.map_err(|error| error.to_string()), Err(message.to_string()), "{text}");
    }
    let error = ConfigFile::parse("f", "[log\nformat = json\n").expect_err("a syntax error").to_string();
    assert!(error.starts_with("f:") && error.contains("invalid INI syntax"), "{error}");
}

#[test]
fn first_of_several_unknown_keys_is_reported() {
    let file = ConfigFile::parse("f", "[log]\nz = 1\n[control]\na = 1\n").expect("INI");
    let error = file.reject_unknown().expect_err("no key was read");
    assert_eq!(error.to_string(), "f:2: [log] z: no such key");
}

#[test]
fn key_under_a_header_without_a_name_is_outside_any_section() {
    let error = ConfigFile::parse("f", "[]\na = 1\n").expect_err("no section");
    assert_eq!(error.to_string(), "f:2: a: the key is outside any section");
}

#[test]
fn error_about_an_absent_file_names_it() {
    let error = ConfigFile::read("/nonexistent/yewpier.ini").expect_err("no file");
    assert!(error.to_string().starts_with("/nonexistent/yewpier.ini: cannot be read: "), "{error}");
}

#[test]
fn empty_file_gives_the_defaults() {
    let mut file = ConfigFile::parse("none", "").expect("INI");
    assert_eq!(file.log_format().expect("the default"), LogFormat::Text);
    file.reject_unknown().expect("nothing is unknown");
}

#[test]
fn log_level_is_info_by_default() {
    let level = |text: &str| ConfigFile::parse("f.ini", text).and_then(|mut file| file.log_level());
    assert_eq!(level("").expect("the default"), LogLevel::Info);
    assert_eq!(level("[log]\nlevel = debug\n").expect("a level"), LogLevel::Debug);
    let error = level("[log]\nlevel = loud\n").expect_err("not a level").to_string();
    assert!(error.contains("f.ini") && error.contains("level"), "{error}");
}
