//! The built adapter on frames made by hand.

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

fn members(front: u16, mode: u8, set: u32) -> Vec<u8> {
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

fn down(front: u16) -> Vec<u8> {
    [1090u16.to_le_bytes(), front.to_le_bytes()].concat()
}

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_baydrift-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // It may stop reading at the first fault; that is not the test's fault.
    let _ = child.stdin.take().expect("a pipe").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

/// Replies as (record codes, bytes).
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

fn dispatches(body: &[u8]) -> Vec<[u8; 6]> {
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
fn an_empty_batch_gets_an_empty_reply_and_closed_input_ends_well() {
    let output = run(&frame(1.0, &[]));
    assert_eq!(output.stdout, [0; 8]);
    assert!(output.status.success() && output.stderr.is_empty());
}

#[test]
fn a_call_is_dispatched_to_the_server_as_it_was_named() {
    let setup = [spawn(3, CONFIG), list(0, &[2, 2]), members(3, 4, 0), inbound(3, 77)];
    let output = run(&frame(9.0, &setup));
    assert!(output.status.success());
    let replies = replies(&output.stdout);
    assert_eq!(replies.len(), 1);
    assert_eq!(dispatches(&replies[0].1), [SERVER]);
}

#[test]
fn stop_and_start_in_one_batch_and_reused_list_numbers() {
    // The second list takes over number 0; the fresh instance knows only that one, where all drain.
    let batch = [
        spawn(3, CONFIG),
        list(0, &[2]),
        members(3, 4, 0),
        down(3),
        inbound(3, 1),
        spawn(3, CONFIG),
        list(0, &[1]),
        members(3, 4, 0),
        inbound(3, 2),
        members(3, 2, 15),
        inbound(5, 3),
    ];
    let output = run(&[frame(9.0, &batch), frame(9.5, &[])].concat());
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = replies(&output.stdout);
    assert_eq!((replies.len(), dispatches(&replies[0].1).len()), (2, 0));
}

#[test]
fn instances_share_nothing() {
    let one = |front| [spawn(front, CONFIG), list(0, &[2, 2]), members(front, 4, 0), inbound(front, 5)];
    let both = run(&frame(9.0, &[one(1), one(2)].concat()));
    let alone = run(&frame(9.0, &one(2)));
    let both = replies(&both.stdout).remove(0).1;
    let alone = replies(&alone.stdout).remove(0).1;
    assert!(both.ends_with(&alone));
}

#[test]
fn a_long_batch_is_answered_whole() {
    let mut batch = vec![spawn(3, CONFIG), list(0, &[2, 2]), members(3, 4, 0)];
    batch.extend((0..20_000).map(|id| inbound(3, id)));
    let output = run(&frame(9.0, &batch));
    let (count, body) = replies(&output.stdout).remove(0);
    assert_eq!(dispatches(&body).len(), 20_000);
    assert!(count >= 40_000, "a timer each as well");
}

fn fails(input: &[u8], with: &str) {
    let output = run(input);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "must not end well: {text}");
    assert_eq!(text.lines().count(), 1, "one plain line: {text}");
    assert!(text.contains(with), "{text:?} should name {with:?}");
}

#[test]
fn bad_input_ends_with_one_plain_line() {
    let good = frame(1.0, &[spawn(3, CONFIG)]);
    fails(&good[..9], "inside the header");
    fails(&good[..40], "input ends after");
    fails(&frame(1.0, &[4242u16.to_le_bytes().to_vec()]), "unknown record code 4242");
    fails(&frame(1.0, &[spawn(3, "{\"balancers\": 2}")]), "unusable settings");
    fails(&frame(1.0, &[spawn(3, &CONFIG.replace("\"balancers\": 2", "\"balancers\": 0"))]), "fronts");
    fails(&frame(1.0, &[inbound(3, 1)[..20].to_vec()]), "ends inside");
    fails(&frame(f64::NAN, &[]), "clock");
    fails(&frame(1.0, &[spawn(3, CONFIG), members(3, 4, 7)]), "list 7");
}
