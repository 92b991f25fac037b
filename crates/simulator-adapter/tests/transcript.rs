//! Runs the binary on hand-written input and checks its replies and its errors.

use std::io::Write;
use std::process::{Command, Stdio};

const START: &str = "TURN\tatTimeNs=5000000000\n\
INIT\trouter=router-1\tnonce64=7\tbootInfo={\"familyInfo\":{\"sets\":1,\"width\":1},\"services\":[{\"targetNs\":1000000000}]}\n\
DIRECTORY\tlist=0\trows=1\n\
ITEM\tnode=10.0.0.1:7000\tposition=0\tphase=ready\n\
ROSTER_CHANGE\trouter=router-1\tlist=0\thow=disk\trevision=1\n\
EOB\n";

/// Runs the binary on `input`. Returns its standard output, its standard error, and whether it succeeded.
fn run(input: &str) -> (String, String, bool) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut stdin = child.stdin.take().expect("a pipe");
    // Writing fails if the binary exits on an error before it has read the whole input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    let output = child.wait_with_output().expect("the binary ends");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    (text(output.stdout), text(output.stderr), output.status.success())
}

#[test]
fn query_is_completed_and_the_end_of_the_input_is_a_clean_exit() {
    let input = format!(
        "{START}TURN\tatTimeNs=6000000000\n\
         ACCEPT\trouter=router-1\topId=40\tlane=0\tquery=1\tshard=-1\theft=1\tvalidUntilNs=9000000000\n\
         ACCEPT\trouter=router-1\topId=41\tlane=0\tquery=1\tshard=0\theft=1\tvalidUntilNs=9000000000\n\
         EOB\n\
         TURN\tatTimeNs=6100000000\n\
         VERDICT\trouter=router-1\topId=41\ttrial=0\tnode=10.0.0.1:7000\tdisposition=Ok\tlagNs=99000000\tnew=1\n\
         CANCELLED_BY_CLIENT\trouter=router-1\topId=99\n\
         EOB\n\
         TURN\tatTimeNs=6200000000\nHALT\trouter=router-1\nEOB\n"
    );
    let (output, errors, succeeded) = run(&input);
    assert!(succeeded, "{errors}");
    let lines: Vec<&str> = output.lines().filter(|line| !line.starts_with("NOTIFY_ME")).collect();
    assert_eq!(
        lines,
        [
            "READY",
            "FORWARD\trouter=router-1\topId=41\tnode=10.0.0.1:7000\tallowForNs=0",
            "READY",
            "GATHER_UP\trouter=router-1\topId=40\ton=1",
            "READY",
            "READY"
        ]
    );
}

#[test]
fn invalid_line_is_reported_and_ends_the_program() {
    let cases = [
        (
            "VERDICT\trouter=router-1\ttrial=x\n",
            "line 8: VERDICT: trial: 'x' is not a number of the required type",
        ),
        ("TICK_DUE\trouter=router-1\n", "line 8: TICK_DUE: cookie: required field is missing"),
        ("TICK_DUE\trouter=router-2\tcookie=1\n", "router: 'router-2' is unknown"),
        ("SURPRISE\trouter=router-1\n", "line 8: SURPRISE: unknown message"),
        ("ROSTER_CHANGE\trouter=router-1\tlist=3\thow=diff\n", "list: no endpoint list has the number 3"),
        ("DIRECTORY\tlist=0\trows=2\nEOB\n", "expected 2 more ITEM lines of the endpoint list"),
        ("INIT\trouter=router-1\tnonce64=7\tbootInfo={\n", "line 8: INIT: bootInfo: not valid JSON: EOF"),
        ("", "the input ended inside a batch, before EOB"),
    ];
    for (line, message) in cases {
        let (_, errors, succeeded) = run(&format!("{START}TURN\tatTimeNs=6000000000\n{line}"));
        assert!(!succeeded && errors.contains(message), "{line} gave {errors}");
    }
}

/// Returns a batch with a query of 200 shard requests after a start with 340 nodes, each of which serves every shard.
/// The batch ends with the lines in `extra`.
fn large_batch(extra: &str) -> String {
    let mut input = START.replace("\"sets\":1", "\"sets\":340").replace("\"width\":1", "\"width\":340");
    let rows: String = (1..340)
        .map(|i| format!("ITEM\tnode=10.0.{}.{}:7000\tposition={i}\tphase=ready\n", i / 256, i % 256))
        .collect();
    input = input.replace("rows=1\n", "rows=340\n").replace("phase=ready\n", &format!("phase=ready\n{rows}"));
    input += "TURN\tatTimeNs=6000000000\n\
        ACCEPT\trouter=router-1\topId=1000\tlane=0\tquery=1\tshard=-1\theft=200\tvalidUntilNs=9000000000\n";
    for i in 0..200 {
        input += &format!(
            "ACCEPT\trouter=router-1\topId={i}\tlane=0\tquery=1\tshard={i}\theft=0.005\tvalidUntilNs=9000000000\n"
        );
    }
    input + extra + "EOB\n"
}

#[test]
fn all_200_shard_requests_of_a_query_are_sent_to_340_nodes() {
    let (output, errors, succeeded) = run(&large_batch(""));
    assert!(succeeded, "{errors}");
    assert_eq!(output.lines().filter(|line| line.starts_with("FORWARD")).count(), 200);
}

#[test]
fn invalid_line_in_a_large_batch_is_reported_with_its_number() {
    let (_, errors, succeeded) =
        run(&large_batch("VERDICT\trouter=router-1\topId=7\ttrial=0\tnode=x\tlagNs=z\n"));
    assert!(
        !succeeded && errors.contains("line 548: VERDICT: lagNs: 'z' is not a number of the required type"),
        "{errors}"
    );
}
