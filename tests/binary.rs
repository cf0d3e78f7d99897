//! Tests of the adapter binary on hand-built frames.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CONFIG: &str = r#"{"balancers": 2, "novel": [1], "discovery": "automatic",
 "classes": [{"effect": "retryable", "group": "all", "slo-s": 2.0, "late-value": 0.2, "worth": 1.0, "other": 3}],
 "family-info": {"topology": "skills", "skilled-pools": [[0, 1]], "own-number": -1, "guard-s": 0.3, "t1-s": 0.5,
  "far-reports": "piggyback"},
 "policy-limits": {"max-attempts": 4, "cancelling": true, "max-open": 100},
 "rules": {"cold-from": 0.3, "fall-multiple": 2.0, "fall-s": 1.5, "ramp-time-s": 12.0},
 "stats": {"fields": ["idle", "circuits", "lat_ms"], "how": "piggyback"}}"#;

fn frame(clock: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut out = clock.to_le_bytes().to_vec();
    out.extend((body.len() as u32 + 4).to_le_bytes());
    out.extend((records.len() as u32).to_le_bytes());
    out.extend(body);
    out
}

fn spawn(front: u16, config: &str) -> Vec<u8> {
    let mut out = 1000u16.to_le_bytes().to_vec();
    out.extend(front.to_le_bytes());
    out.extend(9u64.to_le_bytes());
    out.extend((config.len() as u32).to_le_bytes());
    out.extend(config.as_bytes());
    out
}

const SERVER: [u8; 6] = [10, 18, 74, 7, 0xc3, 0x2b];

fn list(number: u32, states: &[u8]) -> Vec<u8> {
    let mut out = 1100u16.to_le_bytes().to_vec();
    out.extend(number.to_le_bytes());
    out.extend((states.len() as u32).to_le_bytes());
    for (i, state) in states.iter().enumerate() {
        out.extend(SERVER[..5].iter().chain(&[SERVER[5] + i as u8]));
        out.extend([0, 0]);
        out.extend((i as u16).to_le_bytes());
        out.push(*state);
        out.extend(1.0f32.to_le_bytes());
        out.extend(0.0f64.to_le_bytes());
    }
    out
}

fn list_update(front: u16, mode: u8, set: u32) -> Vec<u8> {
    let mut out = 1010u16.to_le_bytes().to_vec();
    out.extend(front.to_le_bytes());
    out.push(mode);
    out.extend(1u32.to_le_bytes());
    out.extend(set.to_le_bytes());
    out
}

fn inbound(front: u16, id: u32) -> Vec<u8> {
    let mut out = 1020u16.to_le_bytes().to_vec();
    out.extend(front.to_le_bytes());
    out.extend(id.to_le_bytes());
    out.extend([0, 0, 0, 0]);
    out.extend(0u64.to_le_bytes());
    out.extend(3.0f64.to_le_bytes());
    out.extend(0.0f64.to_le_bytes());
    for value in [0.0f32, 1.0, -1.0] {
        out.extend(value.to_le_bytes());
    }
    out.push(0);
    out
}

fn stop(front: u16) -> Vec<u8> {
    [1090u16.to_le_bytes(), front.to_le_bytes()].concat()
}

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_baydrift-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading at the first malformed input, so a failed write is not an error.
    let _ = child.stdin.take().expect("a pipe").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

/// Splits the output into replies: the number of records and their bytes.
fn replies(output: &[u8]) -> Vec<(u32, Vec<u8>)> {
    let mut at = 0;
    let mut all = Vec::new();
    while at < output.len() {
        let word = |i: usize| u32::from_le_bytes(output[at + i..at + i + 4].try_into().expect("four bytes"));
        let (count, length) = (word(0), word(4) as usize);
        all.push((count, output[at + 8..at + 8 + length].to_vec()));
        at += 8 + length;
    }
    all
}

fn sent_servers(body: &[u8]) -> Vec<[u8; 6]> {
    let mut at = 0;
    let mut found = Vec::new();
    while at < body.len() {
        let size = |at: usize| usize::from(u16::from_le_bytes([body[at + 4], body[at + 5]]));
        at += match u16::from_le_bytes([body[at], body[at + 1]]) {
            1040 => {
                found.push(body[at + 16..at + 22].try_into().expect("six bytes"));
                22
            }
            1050 => 20,
            1020 => 16,
            1010 => 8,
            1030 => 10,
            1110 | 1090 => 6 + size(at),
            other => panic!("unexpected action {other}"),
        };
    }
    found
}

#[test]
fn empty_batch_and_end_of_input() {
    let output = run(&frame(1.0, &[]));
    assert_eq!(output.stdout, [0; 8]);
    assert!(output.status.success() && output.stderr.is_empty());
}

#[test]
fn call_is_sent_to_listed_server() {
    let setup = [spawn(3, CONFIG), list(0, &[2, 2]), list_update(3, 4, 0), inbound(3, 77)];
    let output = run(&frame(9.0, &setup));
    assert!(output.status.success());
    let replies = replies(&output.stdout);
    assert_eq!(replies.len(), 1);
    assert_eq!(sent_servers(&replies[0].1), [SERVER]);
}

#[test]
fn instance_restart_and_list_redefinition_in_one_batch() {
    // The second list redefines number 0; the new instance knows only that list, in which all servers drain.
    let batch = [
        spawn(3, CONFIG),
        list(0, &[2]),
        list_update(3, 4, 0),
        stop(3),
        inbound(3, 1),
        spawn(3, CONFIG),
        list(0, &[1]),
        list_update(3, 4, 0),
        inbound(3, 2),
        list_update(3, 2, 15),
        inbound(5, 3),
    ];
    let output = run(&[frame(9.0, &batch), frame(9.5, &[])].concat());
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = replies(&output.stdout);
    assert_eq!((replies.len(), sent_servers(&replies[0].1).len()), (2, 0));
}

#[test]
fn instances_are_independent() {
    let one = |front| [spawn(front, CONFIG), list(0, &[2, 2]), list_update(front, 4, 0), inbound(front, 5)];
    let both = run(&frame(9.0, &[one(1), one(2)].concat()));
    let alone = run(&frame(9.0, &one(2)));
    let both = replies(&both.stdout).remove(0).1;
    let alone = replies(&alone.stdout).remove(0).1;
    assert!(both.ends_with(&alone));
}

#[test]
fn long_batch_is_answered_completely() {
    let mut batch = vec![spawn(3, CONFIG), list(0, &[2, 2]), list_update(3, 4, 0)];
    batch.extend((0..20_000).map(|id| inbound(3, id)));
    let output = run(&frame(9.0, &batch));
    let (count, body) = replies(&output.stdout).remove(0);
    assert_eq!(sent_servers(&body).len(), 20_000);
    assert!(count >= 40_000, "each call sets a timer as well");
}

fn assert_fails(input: &[u8], with: &str) {
    let output = run(input);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "must not end well: {text}");
    assert_eq!(text.lines().count(), 1, "one plain line: {text}");
    assert!(text.contains(with), "{text:?} should name {with:?}");
}

#[test]
fn malformed_input_ends_with_one_line_error() {
    let good = frame(1.0, &[spawn(3, CONFIG)]);
    assert_fails(&good[..9], "inside the header");
    assert_fails(&good[..40], "input ends after");
    assert_fails(&frame(1.0, &[4242u16.to_le_bytes().to_vec()]), "unknown record code 4242");
    assert_fails(&frame(1.0, &[spawn(3, "{\"balancers\": 2}")]), "unusable settings");
    assert_fails(&frame(1.0, &[spawn(3, &CONFIG.replace("\"balancers\": 2", "\"balancers\": 0"))]), "fronts");
    assert_fails(&frame(1.0, &[inbound(3, 1)[..20].to_vec()]), "ends inside");
    assert_fails(&frame(f64::NAN, &[]), "clock");
    assert_fails(&frame(1.0, &[spawn(3, CONFIG), list_update(3, 4, 7)]), "list 7");
}
