//! Child processes of the driver: fronts and stand-ins, which never outlive the driver.
//!
//! Each is started with `--tied` and the driver's process id, and asks the kernel to kill it when the thread
//! that started it ends, so that not even a SIGKILL of the driver leaves a process behind. Signals are sent
//! through a pidfd, because a process id may have been reused.

use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::process::{
    getrlimit, pidfd_open, pidfd_send_signal, prlimit, Pid, PidfdFlags, Resource, Rlimit, Signal,
};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{ChildStdin, ChildStdout, Command};
use tokio::sync::watch;

use crate::error::ScenarioError;
use crate::scenario::ResourceLimit;

/// The program that is started for each process of a run, and where its logs are written.
#[derive(Debug, Clone)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Executable of another build that runs the fronts; `None` runs them with [`Program::path`].
    pub front_program: Option<PathBuf>,
    /// Existing directory for the logs and configurations of the processes.
    pub log_dir: PathBuf,
    /// Log level of the processes, as for `--log-level`.
    pub log_level: String,
}

/// A running or exited child process. It is killed when this handle is dropped.
pub(crate) struct Child {
    pub(crate) name: String,
    pid: Pid,
    started: Instant,
    pidfd: OwnedFd,
    /// Whether the driver has requested that it exit.
    exit_requested: Arc<AtomicBool>,
    ended: watch::Receiver<Option<ExitStatus>>,
    wait_task: tokio::task::JoinHandle<()>,
    pub(crate) stdin: Option<ChildStdin>,
    stdout: Option<ChildStdout>,
    log: PathBuf,
}

impl Drop for Child {
    fn drop(&mut self) {
        // The task owns the process, which is killed when the task is dropped.
        self.wait_task.abort();
    }
}

impl Child {
    /// Starts the program with these arguments.
    pub(crate) fn start(program: &Program, name: &str, args: &[&str]) -> Result<Self, ScenarioError> {
        let failed = |why: String| ScenarioError::Start { name: name.to_owned(), why };
        let log = program.log_dir.join(format!("{name}.log"));
        let file = std::fs::File::options().create(true).append(true).open(&log);
        let file = file.map_err(|e| failed(format!("{}: {e}", log.display())))?;
        let driver_pid = std::process::id().to_string();
        let mut child = Command::new(&program.path)
            .args(["--tied", &driver_pid, "--log-level", &program.log_level])
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(file)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| failed(format!("{}: {e}", program.path.display())))?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| failed("it exited immediately".to_owned()))?;
        let pidfd = pidfd_open(pid, PidfdFlags::empty()).map_err(|e| failed(e.to_string()))?;
        let (stdin, stdout) = (child.stdin.take(), child.stdout.take());
        let (status_tx, ended) = watch::channel(None);
        let wait_task = tokio::spawn(async move {
            if let Ok(status) = child.wait().await {
                status_tx.send_replace(Some(status));
            }
        });
        let exit_requested = Arc::new(AtomicBool::new(false));
        let (name, started) = (name.to_owned(), Instant::now());
        Ok(Self { name, pid, started, pidfd, exit_requested, ended, wait_task, stdin, stdout, log })
    }

    /// The lines of its standard output; `None` after the first call.
    pub(crate) fn lines(&mut self) -> Option<tokio::io::Lines<BufReader<ChildStdout>>> {
        self.stdout.take().map(|out| BufReader::new(out).lines())
    }

    fn signal(&self, signal: Signal) {
        // Fails only for a process that has already exited.
        let _ = pidfd_send_signal(&self.pidfd, signal);
    }

    /// Sends SIGKILL.
    pub(crate) fn kill(&self) {
        self.exit_requested.store(true, Ordering::SeqCst);
        self.signal(Signal::KILL);
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        self.exit_requested.store(true, Ordering::SeqCst);
        self.signal(Signal::TERM);
    }

    /// Marks its exit as requested, so that [`Child::crash`] does not report it.
    pub(crate) fn expect_end(&self) {
        self.exit_requested.store(true, Ordering::SeqCst);
    }

    /// Sends SIGSTOP, or SIGCONT to resume.
    pub(crate) fn freeze(&self, frozen: bool) {
        self.signal(if frozen { Signal::STOP } else { Signal::CONT });
    }

    /// Limits its descriptors or memory, or restores the limit it was started with. `prlimit` takes a process
    /// id, which cannot be reused before this driver has reaped the process.
    pub(crate) fn limit(&self, of: ResourceLimit, starved: bool) -> std::io::Result<()> {
        if !self.is_running() {
            return Ok(());
        }
        let (resource, max) = match of {
            ResourceLimit::Descriptors(max) => (Resource::Nofile, max),
            ResourceLimit::Memory(extra) => {
                (Resource::Data, self.status_bytes("VmData:").unwrap_or(0) + extra)
            }
        };
        // It inherited the driver's limits. The hard limit stays, because only root could raise it again.
        let inherited = getrlimit(resource);
        let soft_limit = if starved {
            Some(inherited.maximum.map_or(max, |hard| max.min(hard)))
        } else {
            inherited.current
        };
        prlimit(Some(self.pid), resource, Rlimit { current: soft_limit, ..inherited })?;
        Ok(())
    }

    /// A size from `/proc/PID/status`, in bytes.
    fn status_bytes(&self, what: &str) -> Option<u64> {
        let status = self.proc_file("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix(what))?;
        Some(line.split_whitespace().next()?.parse::<u64>().ok()? * 1_024)
    }

    /// Contents of a file of `/proc/PID`.
    fn proc_file(&self, what: &str) -> Option<String> {
        std::fs::read_to_string(format!("/proc/{}/{what}", self.pid.as_raw_nonzero())).ok()
    }

    pub(crate) fn is_running(&self) -> bool {
        self.ended.borrow().is_none()
    }

    /// Waits until it exits.
    pub(crate) async fn wait(&self) -> Option<ExitStatus> {
        let mut ended = self.ended.clone();
        let status = ended.wait_for(Option::is_some).await.ok()?;
        *status
    }

    /// Waits for its exit and kills it after this time; returns whether it exited in time.
    pub(crate) async fn wait_or_kill(&self, time: Duration) -> bool {
        let in_time = tokio::time::timeout(time, self.wait()).await.is_ok();
        if !in_time {
            self.kill();
            self.wait().await;
        }
        in_time
    }

    /// The share of a core used since its start, and its peak resident memory in MB. `None` once it has
    /// exited.
    pub(crate) fn usage(&self) -> Option<(f64, f64)> {
        let (stat, peak) = (self.proc_file("stat")?, self.status_bytes("VmHWM:")?);
        if !self.is_running() {
            return None;
        }
        // After the parenthesised name, user and system CPU time are fields 11 and 12, counted from 0.
        let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let cpu = ticks / rustix::param::clock_ticks_per_second() as f64;
        // In MB of 1,000 kB, where the kB of the kernel is 1,024 bytes.
        Some((cpu / self.started.elapsed().as_secs_f64().max(1e-3), peak as f64 / 1_024e3))
    }

    /// Describes its exit if it exited without being asked to.
    pub(crate) fn crash(&self) -> Option<String> {
        let status = *self.ended.borrow();
        let status = status.filter(|_| !self.exit_requested.load(Ordering::SeqCst))?;
        Some(format!("{} ended by itself ({status}): {}", self.name, last_log_line(&self.log)))
    }
}

/// The last non-empty line of a log file.
pub(crate) fn last_log_line(log: &Path) -> String {
    let text = std::fs::read(log).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    text.lines().rev().find(|line| !line.trim().is_empty()).unwrap_or("its log is empty").to_owned()
}
