use super::*;

#[test]
fn each_error_names_file_line_section_and_key() {
    for (text, message) in [
        ("[log]\nformat = xml\n", "f:2: [log] format: 'xml' is neither text nor json"),
        ("[log]\n# no\nfromat = json\n", "f:3: [log] fromat: no such key"),
        ("[lgo]\n", "f:1: [lgo]: no such section"),
        ("format = json\n", "f:1: format: it stands in no section"),
        ("[log]\nformat = json\nformat = text\n", "f:3: [log] format: it stands on line 2 already"),
        ("[log]\n[control]\n[log]\n", "f:3: [log] stands on line 1 already"),
    ] {
        let read = ConfigFile::parse("f", text).and_then(|mut file| {
            file.log_format()?;
            file.reject_unknown()
        });
        assert_eq!(read.map_err(|error| error.to_string()), Err(message.to_string()), "{text}");
    }
    let error = ConfigFile::parse("f", "[log\nformat = json\n").expect_err("not INI").to_string();
    assert!(error.starts_with("f:") && error.contains("not INI"), "{error}");
}

#[test]
fn of_several_unknown_keys_the_first_in_the_file_is_named() {
    let file = ConfigFile::parse("f", "[log]\nz = 1\n[control]\na = 1\n").expect("INI");
    let error = file.reject_unknown().expect_err("nothing was taken");
    assert_eq!(error.to_string(), "f:2: [log] z: no such key");
}

#[test]
fn a_key_below_a_header_without_a_name_stands_in_no_section() {
    let error = ConfigFile::parse("f", "[]\na = 1\n").expect_err("no section");
    assert_eq!(error.to_string(), "f:2: a: it stands in no section");
}

#[test]
fn a_file_that_is_absent_is_named_in_the_error() {
    let error = ConfigFile::read("/nonexistent/yewpier.ini").expect_err("no file");
    assert!(error.to_string().starts_with("/nonexistent/yewpier.ini: "), "{error}");
}

#[test]
fn without_a_file_all_is_off() {
    let mut file = ConfigFile::parse("none", "").expect("INI");
    assert_eq!(file.log_format().expect("the default"), LogFormat::Text);
    file.reject_unknown().expect("nothing is unknown");
}

#[test]
fn the_log_level_is_info_unless_stated() {
    let level = |text: &str| ConfigFile::parse("f.ini", text).and_then(|mut file| file.log_level());
    assert_eq!(level("").expect("the default"), LogLevel::Info);
    assert_eq!(level("[log]\nlevel = debug\n").expect("a level"), LogLevel::Debug);
    let error = level("[log]\nlevel = loud\n").expect_err("not a level").to_string();
    assert!(error.contains("f.ini") && error.contains("level"), "{error}");
}
