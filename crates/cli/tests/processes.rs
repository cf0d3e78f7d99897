//! Days whose fronts and stand-ins run as processes (`baydrift day --processes`).
//!
//! The driver leaves no process behind, even when it is killed, and reports every process that exits
//! unexpectedly.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Timeout of everything that a test waits for.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

const DAY: &str = "day seconds=SECONDS seed=4 fronts=3 watchdog=\"400ms\" list-lag=\"300ms\"
net delay=\"1ms\" jitter=\"1ms\" lost=0.01 doubled=0.01 reordered=0.02
servers count=2 rate=60 most-wait=\"2.5s\" ramp=\"2s\"
calls per-second=60 redials=1 redial-wait=\"500ms\"
class \"c\" hold=\"500ms\" aim=\"2s\" gives-up=\"3s\"
publisher \"p\"
";

/// Writes a scenario with these faults into a folder of the test; returns the path of the file and the
/// folder.
fn write_script(test: &str, seconds: u32, faults: &str) -> (PathBuf, PathBuf) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("day.kdl");
    std::fs::write(&path, DAY.replace("SECONDS", &seconds.to_string()) + faults).expect("a script");
    (path, folder)
}

/// `baydrift day --processes` on a scenario.
fn driver(script: &PathBuf, logs: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_baydrift"));
    command.arg("day").arg(script).arg("--processes").arg("--logs").arg(logs);
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Parent and start time (in clock ticks) of a process, from `/proc`; `None` if it has ended or is a zombie.
fn process_stat(pid: u32) -> Option<(u32, u64)> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<_> = text.rsplit_once(')')?.1.split_whitespace().collect();
    if *fields.first()? == "Z" {
        return None;
    }
    Some((fields.get(1)?.parse().ok()?, fields.get(19)?.parse().ok()?))
}

/// Running child processes, each with its start time.
fn children(parent: u32) -> BTreeSet<(u32, u64)> {
    let entries = std::fs::read_dir("/proc").expect("/proc");
    let pids = entries.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse::<u32>().ok());
    pids.filter_map(|pid| {
        process_stat(pid).filter(|(ppid, _)| *ppid == parent).map(|(_, start)| (pid, start))
    })
    .collect()
}

fn wait_until(condition: impl Fn() -> bool) {
    let begin = Instant::now();
    while !condition() {
        assert!(begin.elapsed() < TEST_TIMEOUT, "timed out");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// How many of these processes still run; the start time excludes a reused pid.
fn still_running(processes: &BTreeSet<(u32, u64)>) -> usize {
    processes.iter().filter(|(pid, start)| process_stat(*pid).is_some_and(|(_, now)| now == *start)).count()
}

/// Three fronts, two servers and the list service.
const PROCESS_COUNT: usize = 6;

#[test]
fn rules_hold_under_process_faults_and_no_process_remains() {
    let faults = "kill at=\"500ms\" front=0 back-after=\"200ms\"
reset at=\"500ms\" server=0
sever at=\"1s\" from=\"front1\" to=\"server0 front2\" for=\"800ms\"
freeze at=\"2s\" server=1 for=\"500ms\"
stall at=\"2s\" front=2 for=\"700ms\"
restart at=\"3s\" front=1 back-after=\"0ms\"
";
    let (script, folder) = write_script("faults", 4, faults);
    let record = folder.join("record.jsonl");
    let child = driver(&script, &folder).arg("--record").arg(&record).spawn().expect("the driver");
    let pid = child.id();
    wait_until(|| children(pid).len() == PROCESS_COUNT);
    let all = children(pid);
    let output = child.wait_with_output().expect("exits");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(still_running(&all), 0, "of {all:?}");
    let record = std::fs::read_to_string(record).expect("a record");
    // The test is void unless the faults took effect.
    for event in ["\"killed\"", "\"started\"", "\"unlinked\"", "\"stall\""] {
        assert!(record.contains(event), "no {event} in the record");
    }
}

/// The calls of each attempt id, from the record's set-ups that were sent into the network.
fn calls_by_attempt(record: &str) -> BTreeMap<String, BTreeSet<String>> {
    let mut calls: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for line in record.lines() {
        let line: serde_json::Value = serde_json::from_str(line).expect("a line of the record");
        if line["moment"] == "sent" {
            if let (Some(attempt), Some(call)) = (line["attempt"].as_str(), line["call"].as_str()) {
                calls.entry(attempt.to_owned()).or_default().insert(call.to_owned());
            }
        }
    }
    calls
}

/// Guards against attempt ids that repeat after a restart. If processes took their ids from a clock in
/// seconds, two or three of the six that serve 0.4 s each would share one, and a late answer for an attempt
/// of one process would be taken for an attempt of the next.
#[test]
fn attempt_ids_are_unique_across_restarts_of_a_front() {
    let (script, folder) = write_script("names", 4, "crashing at=\"500ms\" front=0 times=6\n");
    let record = folder.join("record.jsonl");
    let output = driver(&script, &folder).arg("--record").arg(&record).output().expect("the driver");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
    let calls = calls_by_attempt(&std::fs::read_to_string(record).expect("a record"));
    let processes = calls.keys().filter(|id| id.starts_with("front0.")).map(|id| id.rsplit_once(';'));
    let processes: BTreeSet<_> = processes.flatten().map(|(process, _)| process).collect();
    assert!(processes.len() > 3, "too few of seven processes sent anything: {processes:?}");
    let shared: Vec<_> = calls.iter().filter(|(_, calls)| calls.len() > 1).collect();
    assert_eq!(shared, Vec::<(&String, &BTreeSet<String>)>::new());
}

#[test]
fn rules_hold_under_resource_limits_slow_starts_and_wrong_clocks() {
    let faults = "descriptors at=\"300ms\" front=0 most=8 for=\"1200ms\"
reset at=\"500ms\" server=0
reset at=\"500ms\" server=1
reconnect at=\"800ms\" front=0
memory at=\"500ms\" front=2 more-kb=0 for=\"2s\"
kill at=\"1s\" front=1 back-after=\"50ms\" clock-behind=\"5s\"
kill at=\"2s\" front=1 back-after=\"50ms\" slow=\"1s\" clock-ahead=\"5s\"
";
    let (script, folder) = write_script("limits", 4, faults);
    let record = folder.join("record.jsonl");
    let output = driver(&script, &folder).arg("--record").arg(&record).output().expect("the driver");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
    // EMFILE: the test is void unless the front ran out of descriptors.
    let log = std::fs::read_to_string(folder.join("front0.log")).expect("a log");
    assert!(log.contains("os error 24"), "{log}");
    // The clocks were wrong: front 1 ran as three processes, the second with a clock behind and the third
    // with one ahead, which shows in the origin state ids in their attempt ids.
    let calls = calls_by_attempt(&std::fs::read_to_string(record).expect("a record"));
    let state =
        |name: &String| name.strip_prefix("front1.edge.test;")?.split('-').next()?.parse::<i64>().ok();
    let states: BTreeSet<_> = calls.keys().filter_map(state).collect();
    let [behind, right, ahead] = states.iter().copied().collect::<Vec<_>>()[..] else { panic!("{states:?}") };
    assert!((30..50).contains(&(right - behind)) && (50..90).contains(&(ahead - right)), "{states:?}");
}

#[test]
fn no_process_remains_after_driver_is_killed() {
    let (script, folder) = write_script("killed", 60, "");
    let mut child = driver(&script, &folder).spawn().expect("the driver");
    let pid = child.id();
    wait_until(|| children(pid).len() == PROCESS_COUNT);
    let all = children(pid);
    // SIGKILL: the driver cannot clean up.
    child.kill().expect("running");
    child.wait().expect("exit status");
    wait_until(|| still_running(&all) == 0);
}

#[test]
fn unexpected_exit_of_a_front_is_reported() {
    let (script, folder) = write_script("unasked", 3, "");
    let child = driver(&script, &folder).spawn().expect("the driver");
    let pid = child.id();
    wait_until(|| children(pid).len() == PROCESS_COUNT);
    let command_line = |pid: u32| std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
    let front = |pid: u32| String::from_utf8_lossy(&command_line(pid)).contains("front1.kdl");
    let (front, _) = *children(pid).iter().find(|(pid, _)| front(*pid)).expect("a front");
    let killed = Command::new("kill").args(["-KILL", &front.to_string()]).status();
    assert!(killed.is_ok_and(|status| status.success()));
    let output = child.wait_with_output().expect("exits");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(!output.status.success(), "{text}");
    assert!(text.contains("front1 ended by itself"), "{text}");
}

#[test]
fn process_fault_without_processes_flag_is_rejected() {
    let (script, _) = write_script("refused", 3, "kill at=\"1s\" front=0\n");
    let mut command = Command::new(env!("CARGO_BIN_EXE_baydrift"));
    let output = command.arg("day").arg(script).output().expect("the program");
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("--processes"), "{text}");
}

#[test]
fn shorten_isolates_the_failing_fault_and_prints_a_replayable_schedule() {
    // Of the five faults only the burst, the load from all callers together, makes a server exceed the day's
    // bound.
    let faults = "bounds overshoot=1.6
pause server=0 at=\"500ms\" for=\"200ms\"
hang server=1 at=\"2s\" for=\"300ms\"
burst factor=8.0 at=\"4s\" for=\"2s\"
stall front=2 at=\"7s\" for=\"400ms\"
list-lag lag=\"1s\" at=\"8s\" for=\"1s\"
";
    let (script, folder) = write_script("shorten", 10, faults);
    let run_day = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_baydrift"));
        let output =
            command.arg("day").arg(&script).arg("--virtual").args(arguments).output().expect("exits");
        (output.status.success(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    let (passed, text) = run_day(&["--shorten"]);
    let (_, shortest) =
        text.split_once("a shortest schedule").unwrap_or_else(|| panic!("no schedule: {text}"));
    let lines: Vec<_> = shortest.lines().skip(1).collect();
    assert!(!passed && lines.len() == 1 && lines[0].starts_with("burst"), "{text}");
    let file = folder.join("shortest.kdl");
    std::fs::write(&file, lines.join("\n")).expect("a file");
    let (passed, text) = run_day(&["--troubles", file.to_str().expect("a name")]);
    assert!(!passed && text.contains("PASSED A BOUND"), "{text}");
    std::fs::write(&file, "").expect("a file");
    assert!(run_day(&["--troubles", file.to_str().expect("a name")]).0, "without the fault the day passes");
}

#[test]
fn fronts_of_another_build_end_with_the_driver() {
    let (script, folder) = write_script("another", 60, "");
    let other = folder.join("another-build");
    std::fs::copy(env!("CARGO_BIN_EXE_baydrift"), &other).expect("a copy");
    let mut child = driver(&script, &folder).arg("--fronts-by").arg(&other).spawn().expect("the driver");
    let pid = child.id();
    let runs_other_build =
        |pid: u32| std::fs::read_link(format!("/proc/{pid}/exe")).is_ok_and(|path| path == other);
    wait_until(|| children(pid).iter().filter(|(pid, _)| runs_other_build(*pid)).count() == 3);
    let all = children(pid);
    child.kill().expect("running");
    child.wait().expect("exit status");
    wait_until(|| still_running(&all) == 0);
    // A front that cannot be started is named in the error.
    let missing = folder.join("none");
    let output = driver(&script, &folder).arg("--fronts-by").arg(&missing).output().expect("exits");
    assert!(
        !output.status.success() && String::from_utf8_lossy(&output.stderr).contains("front0"),
        "{output:?}"
    );
}
