//! What the checks make of KNOWN-RED.txt: three tests at most are passed over, by exact name, and said so.

use std::path::Path;
use std::process::Command;

const NAMES: &str = "one\nreducer::tests::two\nthree\nfour\ntwo_and_more\n";

/// What is passed over, what is said, and whether the checks go on.
fn known_red(name: &str, list: Option<&str>) -> (Vec<String>, String, bool) {
    let folder = std::env::temp_dir().join(format!("yewpier-red-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join("names"), NAMES).expect("a file");
    if let Some(list) = list {
        std::fs::write(folder.join("list"), list).expect("a file");
    }
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let done = Command::new("bash").arg(script).args([folder.join("list"), folder.join("names")]).output();
    std::fs::remove_dir_all(&folder).expect("the folder");
    let done = done.expect("bash runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    let skips = text(done.stdout).lines().filter(|&line| line != "--skip").map(str::to_string).collect();
    (skips, text(done.stderr), done.status.success())
}

#[test]
fn without_a_list_or_with_an_empty_one_nothing_is_passed_over() {
    for (name, list) in [("absent", None), ("empty", Some("")), ("words", Some("# none at present\n\n"))] {
        assert_eq!(known_red(name, list), (Vec::new(), String::new(), true), "{name}");
    }
}

#[test]
fn up_to_three_are_passed_over_and_named() {
    let list = "one: a late answer: 32\nreducer::tests::two: a race, not found: 32\nthree: slow: 21";
    let (skips, said, goes_on) = known_red("three", Some(list));
    assert_eq!((skips, goes_on), (["one", "reducer::tests::two", "three"].map(String::from).to_vec(), true));
    for line in list.lines() {
        assert!(said.contains(line), "{said}");
    }
}

#[test]
fn a_fourth_an_unknown_name_or_a_line_without_reason_stops_the_checks() {
    let three = "one: a: 1\nreducer::tests::two: b: 2\nthree: c: 3\n";
    let fourth = format!("{three}four: d: 4\n");
    for (name, list, why) in [
        ("fourth", fourth.as_str(), "'four' is the fourth"),
        ("unknown", "two: a part of a name is none: 1\n", "no test is called 'two'"),
        ("longer", "two_and: nor is its beginning: 1\n", "no test is called 'two_and'"),
        ("cause", "one: 32\n", "is not 'test: cause: issue'"),
        ("bare", "one\n", "is not 'test: cause: issue'"),
    ] {
        let (_, said, goes_on) = known_red(name, Some(list));
        assert!(!goes_on && said.contains(why), "{name}: {said}");
    }
}
