//! Membership of twelve fronts that run as processes and are killed, stopped and restarted. Each front's view
//! is polled over its admin socket until it is correct.

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;

const FRONTS: usize = 12;
/// Timeout of everything that a test waits for.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

struct Fleet {
    folder: PathBuf,
    running: Vec<Option<Child>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.running.iter_mut().flatten() {
            // SIGKILL also ends a process that is stopped.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Fleet {
    fn start(test: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        // Finds free ports; all sockets stay open until every port is chosen, so that none is chosen twice.
        let sockets: Vec<_> = (0..FRONTS).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
        let ports: Vec<_> = sockets.iter().map(|socket| socket.local_addr().expect("bound").port()).collect();
        for n in 0..FRONTS {
            let others = ports.iter().enumerate().filter(|(other, _)| *other != n);
            let others: String = others
                .map(|(other, port)| format!("    front ordinal={other} addr=\"127.0.0.1:{port}\"\n"))
                .collect();
            let text = format!(
                "front \"f{n}.test\" realm=\"test\" {{ listen \"127.0.0.1:0\"; serves \"core.test\"; fronts {FRONTS}; ordinal {n}; }}\n\
                 class \"c\" {{ context \"c@test\"; }}\nclient \"c.test\" realm=\"test\"\n\
                 server \"s.core.test\" realm=\"core.test\" number=0 addr=\"127.0.0.1:9\"\n\
                 admin socket=\"{}\"\nfleet bind=\"127.0.0.1:{}\" lives=#true {{\n{others}}}\n",
                socket(&folder, n).display(),
                ports[n],
            );
            std::fs::write(folder.join(format!("f{n}.kdl")), text).expect("a configuration");
        }
        drop(sockets);
        let mut fleet = Self { folder, running: (0..FRONTS).map(|_| None).collect() };
        (0..FRONTS).for_each(|n| fleet.run(n));
        fleet
    }

    fn run(&mut self, n: usize) {
        let log = std::fs::File::create(self.folder.join(format!("f{n}.log"))).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_baydrift"))
            .arg("front")
            .arg(self.folder.join(format!("f{n}.kdl")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program");
        self.running[n] = Some(child);
    }

    fn kill(&mut self, n: usize) {
        let mut child = self.running[n].take().expect("running");
        child.kill().expect("running");
        child.wait().expect("exit status");
    }

    fn signal(&self, n: usize, signal: &str) {
        let id = self.running[n].as_ref().expect("running").id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().is_ok_and(|status| status.success()));
    }

    /// The membership view of a front; `None` while it starts.
    fn view(&self, n: usize) -> Option<Value> {
        let output = Command::new(env!("CARGO_BIN_EXE_baydrift"))
            .arg("fleet")
            .arg(socket(&self.folder, n))
            .arg("--json")
            .output()
            .expect("the program");
        let answer: Value = serde_json::from_slice(&output.stdout).ok()?;
        Some(answer["lives"].clone())
    }

    /// Waits until each observer believes exactly the fronts in `alive`, except itself, to be alive.
    fn wait_for_views(&self, observers: &[usize], alive: &BTreeSet<usize>) {
        let begin = Instant::now();
        for n in observers {
            let expected: BTreeSet<_> = alive.iter().copied().filter(|other| other != n).collect();
            loop {
                let view = self.view(*n);
                let believed = view.iter().flat_map(believed_alive).collect::<BTreeSet<_>>();
                if believed == expected {
                    break;
                }
                assert!(begin.elapsed() < TEST_TIMEOUT, "front {n}: {believed:?} instead of {expected:?}");
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    }
}

fn socket(folder: &Path, n: usize) -> PathBuf {
    folder.join(format!("{n}.sock"))
}

fn believed_alive(view: &Value) -> Vec<usize> {
    let members = view["members"].as_array().cloned().unwrap_or_default();
    let alive = members.iter().filter(|member| member["alive"] == true);
    alive.filter_map(|member| Some(member["ordinal"].as_u64()? as usize)).collect()
}

fn incarnation(view: &Value, ordinal: usize) -> Option<u64> {
    let members = view["members"].as_array()?;
    members.iter().find(|member| member["ordinal"] == ordinal)?["incarnation"].as_u64()
}

#[test]
fn membership_converges_after_kills_stops_and_restarts() {
    let mut fleet = Fleet::start("fleet-lives");
    let all: Vec<_> = (0..FRONTS).collect();
    let all_alive: BTreeSet<_> = all.iter().copied().collect();
    fleet.wait_for_views(&all, &all_alive);
    let third_before = incarnation(&fleet.view(0).expect("the front answers"), 3).expect("known");

    // Seven of twelve are killed at once: the others detect exactly those.
    (0..FRONTS).filter(|n| n % 12 < 7).for_each(|n| fleet.kill(n));
    let survivors: BTreeSet<_> = (7..FRONTS).collect();
    fleet.wait_for_views(&survivors.iter().copied().collect::<Vec<_>>(), &survivors);

    // They restart as new processes, with higher incarnations.
    (0..7).for_each(|n| fleet.run(n));
    fleet.wait_for_views(&all, &all_alive);
    let eleventh = incarnation(&fleet.view(0).expect("the front answers"), 11).expect("known");
    let third = incarnation(&fleet.view(11).expect("the front answers"), 3).expect("known");
    assert!(third > third_before, "{third} after {third_before}");
    assert!(eleventh > 0);

    // A stopped front is detected as down. After it resumes, it must not believe others down because of its
    // own stall.
    fleet.signal(9, "-STOP");
    let running: BTreeSet<_> = all_alive.iter().copied().filter(|n| *n != 9).collect();
    fleet.wait_for_views(&running.iter().copied().collect::<Vec<_>>(), &running);
    fleet.signal(9, "-CONT");
    let view = fleet.view(9).expect("the front answers");
    assert_eq!(believed_alive(&view).len(), FRONTS - 1, "{view}");
    fleet.wait_for_views(&all, &all_alive);
}
