//! Validation of the known-red list (`KNOWN-RED.txt`) by `.ci/known-red`.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// Runs the script on a list; returns its exit code, standard output and standard error.
fn check(case: &str, text: Option<&str>) -> (Option<i32>, String, String) {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("known-red-{case}.txt"));
    match text {
        Some(text) => std::fs::write(&file, text).expect("a file"),
        None => drop(std::fs::remove_file(&file)),
    }
    let script = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let mut command = Command::new("bash");
    command.arg(script).arg(&file).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("the script");
    let tests = "one: test\ntests::two: test\nthree: test\nfour: test\ntwice: test\ntwice: test\n4 tests, 0 benchmarks\n";
    let written = child.stdin.take().expect("piped").write_all(tests.as_bytes());
    // The script may exit before it has read all of its input, so a write error is ignored.
    drop(written);
    let output = child.wait_with_output().expect("exits");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (output.status.code(), text(output.stdout), text(output.stderr))
}

#[test]
fn absent_or_empty_list_names_no_test() {
    for (case, text) in [("absent", None), ("empty", Some("")), ("remark", Some("# none\n\n"))] {
        assert_eq!(check(case, text), (Some(0), String::new(), String::new()), "{case}");
    }
}

#[test]
fn valid_list_prints_test_names() {
    let text =
        "one | the ramp is over its bound | issue 39\n tests::two|slow start |issue 40\nthree | x | issue 1";
    assert_eq!(check("good", Some(text)), (Some(0), "one\ntests::two\nthree\n".to_owned(), String::new()));
}

/// Guards against a list that excuses more tests than it should: unknown or ambiguous names, missing fields,
/// or more than three entries.
#[test]
fn invalid_list_is_rejected_with_line_number() {
    let line = "one | a cause | issue 1\n";
    let cases = [
        ("unknown", "five | a cause | issue 1\n".to_owned(), ":1: 'five' matches 0 tests"),
        ("part", "on | a cause | issue 1\n".to_owned(), ":1: 'on' matches 0 tests"),
        ("twice", "twice | a cause | issue 1\n".to_owned(), ":1: 'twice' matches 2 tests"),
        ("no-name", " | a cause | issue 1\n".to_owned(), ":1: '' matches 0 tests"),
        ("no-cause", format!("{line}one | | issue 1\n"), ":2: no cause"),
        ("no-issue", "one | a cause\n".to_owned(), ":1: no issue"),
        ("bad-issue", "one | a cause | soon\n".to_owned(), ":1: no issue"),
        ("more", "one | a cause | issue 1 | x\n".to_owned(), ":1: more than"),
        (
            "fourth",
            format!("{line}tests::two | b | issue 2\nthree | c | issue 3\n\nfour | d | issue 4"),
            ":5: a fourth",
        ),
    ];
    for (case, text, expected) in cases {
        let (code, _, stderr) = check(case, Some(&text));
        assert!(code == Some(1) && stderr.contains(expected), "{case}: {code:?} {stderr}");
    }
}
