//! The list of tests that may fail: what `.ci/known-red` takes and what it refuses.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// Exit code, standard output and standard error.
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
    let written = child.stdin.take().expect("its input").write_all(tests.as_bytes());
    // It need not have read all that it was given.
    drop(written);
    let output = child.wait_with_output().expect("it ends");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (output.status.code(), text(output.stdout), text(output.stderr))
}

#[test]
fn an_absent_or_empty_list_names_nothing() {
    for (case, text) in [("absent", None), ("empty", Some("")), ("remark", Some("# none\n\n"))] {
        assert_eq!(check(case, text), (Some(0), String::new(), String::new()), "{case}");
    }
}

#[test]
fn tests_are_named_with_cause_and_issue() {
    let text =
        "one | the ramp is over its bound | issue 39\n tests::two|slow start |issue 40\nthree | x | issue 1";
    assert_eq!(check("good", Some(text)), (Some(0), "one\ntests::two\nthree\n".to_owned(), String::new()));
}

/// Guards against a list that lets more pass than it says.
#[test]
fn a_list_that_cannot_stand_is_refused_with_its_line() {
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
    for (case, text, wrong) in cases {
        let (code, _, said) = check(case, Some(&text));
        assert!(code == Some(1) && said.contains(wrong), "{case}: {code:?} {said}");
    }
}
