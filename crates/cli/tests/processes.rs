//! Days whose fronts and stand-ins are processes: the driver's own promises.
//!
//! Whatever becomes of the driver, no process stays behind; what a process does unasked is told.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Nothing here takes longer, unless it never comes.
const LONG: Duration = Duration::from_secs(60);

const DAY: &str = "day seconds=SECONDS seed=4 fronts=3 watchdog=\"400ms\" list-lag=\"300ms\"
net delay=\"1ms\" jitter=\"1ms\" lost=0.01 doubled=0.01 reordered=0.02
servers count=2 rate=60 most-wait=\"2.5s\" ramp=\"2s\"
calls per-second=60 redials=1 redial-wait=\"500ms\"
class \"c\" hold=\"500ms\" aim=\"2s\" gives-up=\"3s\"
publisher \"p\"
";

fn script(test: &str, seconds: u32, troubles: &str) -> (PathBuf, PathBuf) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("day.kdl");
    std::fs::write(&path, DAY.replace("SECONDS", &seconds.to_string()) + troubles).expect("a script");
    (path, folder)
}

fn driver(script: &PathBuf, logs: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_baydrift"));
    command.arg("day").arg(script).arg("--processes").arg("--logs").arg(logs);
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// A process's name, parent and start, from the system's table; `None` where it is gone or only waits to be reaped.
fn of(pid: u32) -> Option<(u32, u64)> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<_> = text.rsplit_once(')')?.1.split_whitespace().collect();
    if *fields.first()? == "Z" {
        return None;
    }
    Some((fields.get(1)?.parse().ok()?, fields.get(19)?.parse().ok()?))
}

/// The processes that this one started and that run, each with its start.
fn children(parent: u32) -> BTreeSet<(u32, u64)> {
    let all = std::fs::read_dir("/proc").expect("the system's table");
    let pids = all.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse::<u32>().ok());
    pids.filter_map(|pid| of(pid).filter(|(of, _)| *of == parent).map(|(_, start)| (pid, start))).collect()
}

fn until(what: impl Fn() -> bool) {
    let begin = Instant::now();
    while !what() {
        assert!(begin.elapsed() < LONG, "it never came");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn left(all: &BTreeSet<(u32, u64)>) -> usize {
    all.iter().filter(|(pid, start)| of(*pid).is_some_and(|(_, now)| now == *start)).count()
}

/// Six processes: three fronts, two servers and the list service.
const PROCESSES: usize = 6;

#[test]
fn a_day_of_processes_keeps_the_rules_under_faults_and_leaves_none() {
    let troubles = "kill at=\"500ms\" front=0 back-after=\"200ms\"
reset at=\"500ms\" server=0
sever at=\"1s\" from=\"front1\" to=\"server0 front2\" for=\"800ms\"
freeze at=\"2s\" server=1 for=\"500ms\"
stall at=\"2s\" front=2 for=\"700ms\"
restart at=\"3s\" front=1 back-after=\"0ms\"
";
    let (script, folder) = script("faults", 4, troubles);
    let record = folder.join("record.jsonl");
    let child = driver(&script, &folder).arg("--record").arg(&record).spawn().expect("the driver");
    let pid = child.id();
    until(|| children(pid).len() == PROCESSES);
    let all = children(pid);
    let output = child.wait_with_output().expect("it ends");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(left(&all), 0, "of {all:?}");
    let record = std::fs::read_to_string(record).expect("a record");
    // Faults happened: otherwise nothing was shown.
    for moment in ["\"killed\"", "\"started\"", "\"unlinked\"", "\"stall\""] {
        assert!(record.contains(moment), "no {moment} in the record");
    }
}

/// The calls that set-ups of one name were for, by name, as the record shows what entered the net.
fn calls_by_attempt(record: &str) -> BTreeMap<String, BTreeSet<String>> {
    let mut all: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for line in record.lines() {
        let line: serde_json::Value = serde_json::from_str(line).expect("a line of the record");
        if line["moment"] == "sent" {
            if let (Some(attempt), Some(call)) = (line["attempt"].as_str(), line["call"].as_str()) {
                all.entry(attempt.to_owned()).or_default().insert(call.to_owned());
            }
        }
    }
    all
}

/// Guards against processes that take their names from a clock: six that serve 0.4 s each are two and three within a
/// second, and a late word on one's attempt was taken for the next one's.
#[test]
fn processes_of_one_front_never_share_an_attempts_name() {
    let (script, folder) = script("names", 4, "crashing at=\"500ms\" front=0 times=6\n");
    let record = folder.join("record.jsonl");
    let output = driver(&script, &folder).arg("--record").arg(&record).output().expect("the driver");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
    let calls = calls_by_attempt(&std::fs::read_to_string(record).expect("a record"));
    let processes = calls.keys().filter(|name| name.starts_with("front0.")).map(|name| name.rsplit_once(';'));
    let processes: BTreeSet<_> = processes.flatten().map(|(process, _)| process).collect();
    assert!(processes.len() > 3, "of seven processes so few sent anything: {processes:?}");
    let shared: Vec<_> = calls.iter().filter(|(_, calls)| calls.len() > 1).collect();
    assert_eq!(shared, Vec::<(&String, &BTreeSet<String>)>::new());
}

#[test]
fn processes_short_of_descriptors_and_memory_slow_to_start_and_with_wrong_clocks_keep_the_rules() {
    let troubles = "descriptors at=\"300ms\" front=0 most=8 for=\"1200ms\"
reset at=\"500ms\" server=0
reset at=\"500ms\" server=1
reconnect at=\"800ms\" front=0
memory at=\"500ms\" front=2 more-kb=0 for=\"2s\"
kill at=\"1s\" front=1 back-after=\"50ms\" clock-behind=\"5s\"
kill at=\"2s\" front=1 back-after=\"50ms\" slow=\"1s\" clock-ahead=\"5s\"
";
    let (script, folder) = script("limits", 4, troubles);
    let record = folder.join("record.jsonl");
    let output = driver(&script, &folder).arg("--record").arg(&record).output().expect("the driver");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
    // It was short of descriptors: otherwise nothing was shown.
    let log = std::fs::read_to_string(folder.join("front0.log")).expect("a log");
    assert!(log.contains("os error 24"), "{log}");
    // Their clocks were wrong: state ids of three processes, the second one's behind and the third one's ahead.
    let calls = calls_by_attempt(&std::fs::read_to_string(record).expect("a record"));
    let state =
        |name: &String| name.strip_prefix("front1.edge.test;")?.split('-').next()?.parse::<i64>().ok();
    let states: BTreeSet<_> = calls.keys().filter_map(state).collect();
    let [behind, right, ahead] = states.iter().copied().collect::<Vec<_>>()[..] else { panic!("{states:?}") };
    assert!((30..50).contains(&(right - behind)) && (50..90).contains(&(ahead - right)), "{states:?}");
}

#[test]
fn a_killed_driver_leaves_no_process() {
    let (script, folder) = script("killed", 60, "");
    let mut child = driver(&script, &folder).spawn().expect("the driver");
    let pid = child.id();
    until(|| children(pid).len() == PROCESSES);
    let all = children(pid);
    // SIGKILL: the driver can do nothing any more.
    child.kill().expect("it runs");
    child.wait().expect("it ended");
    until(|| left(&all) == 0);
}

#[test]
fn a_front_that_ends_unasked_is_told() {
    let (script, folder) = script("unasked", 3, "");
    let child = driver(&script, &folder).spawn().expect("the driver");
    let pid = child.id();
    until(|| children(pid).len() == PROCESSES);
    let words = |pid: u32| std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
    let front = |pid: u32| String::from_utf8_lossy(&words(pid)).contains("front1.kdl");
    let (front, _) = *children(pid).iter().find(|(pid, _)| front(*pid)).expect("a front");
    let killed = Command::new("kill").args(["-KILL", &front.to_string()]).status();
    assert!(killed.is_ok_and(|status| status.success()));
    let output = child.wait_with_output().expect("it ends");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(!output.status.success(), "{text}");
    assert!(text.contains("front1 ended by itself"), "{text}");
}

#[test]
fn a_trouble_of_processes_is_refused_without_them() {
    let (script, _) = script("refused", 3, "kill at=\"1s\" front=0\n");
    let mut command = Command::new(env!("CARGO_BIN_EXE_baydrift"));
    let output = command.arg("day").arg(script).output().expect("the program");
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("--processes"), "{text}");
}

#[test]
fn a_schedule_that_fails_is_cut_to_what_makes_it_fail_and_fails_again_as_printed() {
    // One of five passes the day's bound: what all callers together make a server do.
    let troubles = "bounds overshoot=1.6
pause server=0 at=\"500ms\" for=\"200ms\"
hang server=1 at=\"2s\" for=\"300ms\"
burst factor=8.0 at=\"4s\" for=\"2s\"
stall front=2 at=\"7s\" for=\"400ms\"
list-lag lag=\"1s\" at=\"8s\" for=\"1s\"
";
    let (script, folder) = script("shorten", 10, troubles);
    let play = |words: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_baydrift"));
        let output = command.arg("day").arg(&script).arg("--virtual").args(words).output().expect("it ends");
        (output.status.success(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    let (good, text) = play(&["--shorten"]);
    let (_, shortest) = text.split_once("a shortest schedule").unwrap_or_else(|| panic!("none: {text}"));
    let lines: Vec<_> = shortest.lines().skip(1).collect();
    assert!(!good && lines.len() == 1 && lines[0].starts_with("burst"), "{text}");
    let file = folder.join("shortest.kdl");
    std::fs::write(&file, lines.join("\n")).expect("a file");
    let (good, text) = play(&["--troubles", file.to_str().expect("a name")]);
    assert!(!good && text.contains("PASSED A BOUND"), "{text}");
    std::fs::write(&file, "").expect("a file");
    assert!(play(&["--troubles", file.to_str().expect("a name")]).0, "without it the day is good");
}

#[test]
fn fronts_of_another_build_end_with_the_driver_too() {
    let (script, folder) = script("another", 60, "");
    let other = folder.join("another-build");
    std::fs::copy(env!("CARGO_BIN_EXE_baydrift"), &other).expect("a copy");
    let mut child = driver(&script, &folder).arg("--fronts-by").arg(&other).spawn().expect("the driver");
    let pid = child.id();
    let by_other = |pid: u32| std::fs::read_link(format!("/proc/{pid}/exe")).is_ok_and(|path| path == other);
    until(|| children(pid).iter().filter(|(pid, _)| by_other(*pid)).count() == 3);
    let all = children(pid);
    child.kill().expect("it runs");
    child.wait().expect("it ended");
    until(|| left(&all) == 0);
    // One that cannot be started is told by its name.
    let wrong = folder.join("none");
    let output = driver(&script, &folder).arg("--fronts-by").arg(&wrong).output().expect("it ends");
    assert!(
        !output.status.success() && String::from_utf8_lossy(&output.stderr).contains("front0"),
        "{output:?}"
    );
}
