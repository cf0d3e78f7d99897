//! Processes of the program, and of its stand-ins, that end with their driver whatever becomes of it.
//!
//! Each is started with `--tied` and the driver's process id: it asks the system to be killed when the thread that
//! started it ends, so that not even SIGKILL of the driver leaves one behind. Signals go by descriptor (pidfd), never by
//! a number that may have become another's.

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

use crate::error::DayError;
use crate::script::Starved;

/// The program that plays all parts of a day.
#[derive(Debug, Clone)]
pub struct Program {
    /// Where it is.
    pub path: PathBuf,
    /// Another build, by which fronts are started.
    pub front_program: Option<PathBuf>,
    /// Where its processes' logs go; a folder that is there.
    pub log_dir: PathBuf,
    /// What is logged there.
    pub log_level: String,
}

/// A process that runs, or has ended. Dropped, it is killed.
pub(crate) struct Child {
    pub(crate) name: String,
    pid: Pid,
    started: Instant,
    fd: OwnedFd,
    /// Its end was asked for.
    asked: Arc<AtomicBool>,
    ended: watch::Receiver<Option<ExitStatus>>,
    waits: tokio::task::JoinHandle<()>,
    pub(crate) stdin: Option<ChildStdin>,
    stdout: Option<ChildStdout>,
    log: PathBuf,
}

impl Drop for Child {
    fn drop(&mut self) {
        // The task owns the process, which is killed with it.
        self.waits.abort();
    }
}

impl Child {
    /// Starts the program with these words.
    pub(crate) fn start(program: &Program, name: &str, words: &[&str]) -> Result<Self, DayError> {
        let failed = |why: String| DayError::Start { name: name.to_owned(), why };
        let log = program.log_dir.join(format!("{name}.log"));
        let file = std::fs::File::options().create(true).append(true).open(&log);
        let file = file.map_err(|e| failed(format!("{}: {e}", log.display())))?;
        let own = std::process::id().to_string();
        let mut child = Command::new(&program.path)
            .args(["--tied", &own, "--log-level", &program.log_level])
            .args(words)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(file)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| failed(format!("{}: {e}", program.path.display())))?;
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| failed("it ended at once".to_owned()))?;
        let fd = pidfd_open(pid, PidfdFlags::empty()).map_err(|e| failed(e.to_string()))?;
        let (stdin, stdout) = (child.stdin.take(), child.stdout.take());
        let (tell, ended) = watch::channel(None);
        let waits = tokio::spawn(async move {
            if let Ok(status) = child.wait().await {
                tell.send_replace(Some(status));
            }
        });
        let asked = Arc::new(AtomicBool::new(false));
        let (name, started) = (name.to_owned(), Instant::now());
        Ok(Self { name, pid, started, fd, asked, ended, waits, stdin, stdout, log })
    }

    /// What it writes to standard output, line by line; once.
    pub(crate) fn lines(&mut self) -> Option<tokio::io::Lines<BufReader<ChildStdout>>> {
        self.stdout.take().map(|out| BufReader::new(out).lines())
    }

    fn signal(&self, signal: Signal) {
        // One that has ended needs none.
        let _ = pidfd_send_signal(&self.fd, signal);
    }

    /// SIGKILL.
    pub(crate) fn kill(&self) {
        self.asked.store(true, Ordering::SeqCst);
        self.signal(Signal::KILL);
    }

    /// SIGTERM.
    pub(crate) fn terminate(&self) {
        self.asked.store(true, Ordering::SeqCst);
        self.signal(Signal::TERM);
    }

    /// Its end is no surprise from now on.
    pub(crate) fn expect_end(&self) {
        self.asked.store(true, Ordering::SeqCst);
    }

    /// SIGSTOP, or SIGCONT.
    pub(crate) fn freeze(&self, frozen: bool) {
        self.signal(if frozen { Signal::STOP } else { Signal::CONT });
    }

    /// It may hold no more than this from now on, or as much as it was started with. By its number, which is its own until
    /// it is reaped here.
    pub(crate) fn limit(&self, of: Starved, starved: bool) -> std::io::Result<()> {
        if !self.runs() {
            return Ok(());
        }
        let (resource, most) = match of {
            Starved::Descriptors(most) => (Resource::Nofile, most),
            Starved::Memory(more) => (Resource::Data, self.holds("VmData:").unwrap_or(0) + more),
        };
        // It was started with the driver's own limits; the hard one stays, since only root raises it again.
        let own = getrlimit(resource);
        let current =
            if starved { Some(own.maximum.map_or(most, |hard| most.min(hard))) } else { own.current };
        prlimit(Some(self.pid), resource, Rlimit { current, ..own })?;
        Ok(())
    }

    /// A figure of the system's table on it, in bytes.
    fn holds(&self, what: &str) -> Option<u64> {
        let status = self.table("status")?;
        let line = status.lines().find_map(|line| line.strip_prefix(what))?;
        Some(line.split_whitespace().next()?.parse::<u64>().ok()? * 1_024)
    }

    fn table(&self, what: &str) -> Option<String> {
        std::fs::read_to_string(format!("/proc/{}/{what}", self.pid.as_raw_nonzero())).ok()
    }

    pub(crate) fn runs(&self) -> bool {
        self.ended.borrow().is_none()
    }

    /// Waits for its end.
    pub(crate) async fn ended(&self) -> Option<ExitStatus> {
        let mut ended = self.ended.clone();
        let status = ended.wait_for(Option::is_some).await.ok()?;
        *status
    }

    /// Whether it ends by itself within this time; killed otherwise.
    pub(crate) async fn ended_within(&self, time: Duration) -> bool {
        let by_itself = tokio::time::timeout(time, self.ended()).await.is_ok();
        if !by_itself {
            self.kill();
            self.ended().await;
        }
        by_itself
    }

    /// What it has used: the share of a core since it started, and its memory at most, in MB. `None` once it has ended.
    pub(crate) fn used(&self) -> Option<(f64, f64)> {
        let (stat, most) = (self.table("stat")?, self.holds("VmHWM:")?);
        if !self.runs() {
            return None;
        }
        // After the name in brackets: state, and eleven more before the time in user mode and in the system's.
        let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let cpu = ticks / rustix::param::clock_ticks_per_second() as f64;
        // In MB of a thousand of the table's own kB.
        Some((cpu / self.started.elapsed().as_secs_f64().max(1e-3), most as f64 / 1_024e3))
    }

    /// Why it ended, where nobody asked it to.
    pub(crate) fn crash(&self) -> Option<String> {
        let status = *self.ended.borrow();
        let status = status.filter(|_| !self.asked.load(Ordering::SeqCst))?;
        Some(format!("{} ended by itself ({status}): {}", self.name, last_line(&self.log)))
    }
}

/// The last thing that a log says.
pub(crate) fn last_line(log: &Path) -> String {
    let text = std::fs::read(log).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    text.lines().rev().find(|line| !line.trim().is_empty()).unwrap_or("its log is empty").to_owned()
}
