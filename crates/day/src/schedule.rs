//! Formatting of fault schedules as KDL, and reduction of a failing schedule to a minimal one.

use std::fmt::Write;

use baydrift::interface::Micros;

use crate::scenario::{FaultKind, Participant, ResourceLimit, ScheduledFault, Start};

/// Formats faults as in a scenario file, one per line, with times in microseconds, so that parsing the text
/// gives the same faults.
pub fn format_schedule(faults: &[ScheduledFault]) -> String {
    let mut text = String::new();
    for fault in faults {
        write_fault(&mut text, fault);
    }
    text
}

fn write_fault(text: &mut String, ScheduledFault { at, duration, kind }: &ScheduledFault) {
    let back = |back: &Option<Micros>| back.map_or(String::new(), |back| format!(" back-after=\"{back}us\""));
    let fault = match kind {
        FaultKind::Drain { server, by_list, by_dpr, back_after } => {
            let by = match (by_list, by_dpr) {
                (true, true) => "both",
                (true, false) => "list",
                _ => "dpr",
            };
            format!("drain server={server} by=\"{by}\"{}", back(back_after))
        }
        FaultKind::Die { server, back_after } => format!("die server={server}{}", back(back_after)),
        FaultKind::Hang { server } => format!("hang server={server}"),
        FaultKind::Slow { server, factor } => format!("slow server={server} factor={factor:?}"),
        FaultKind::Pause { server } => format!("pause server={server}"),
        FaultKind::LoseAnswers { server, share } => format!("lose-answers server={server} share={share:?}"),
        FaultKind::Cut { share } => format!("cut share={share:?}"),
        FaultKind::LinkDown { server } => format!("link-down server={server}"),
        FaultKind::LinkStalled { server } => format!("link-stalled server={server}"),
        FaultKind::Burst { factor } => format!("burst factor={factor:?}"),
        FaultKind::Hot { share } => format!("hot share={share:?}"),
        FaultKind::Redials { times, wait } => format!("redials times={times} wait=\"{wait}us\""),
        FaultKind::Reconnect { front } => format!("reconnect front={front}"),
        FaultKind::Stall { front } => format!("stall front={front}"),
        FaultKind::ListLag { lag } => format!("list-lag lag=\"{lag}us\""),
        FaultKind::MessagesLost { share } => format!("messages-lost share={share:?}"),
        FaultKind::Flood { publisher, factor } => format!("flood publisher={publisher} factor={factor:?}"),
        FaultKind::Kill { front, back_after, start } | FaultKind::Restart { front, back_after, start } => {
            let name = if matches!(kind, FaultKind::Kill { .. }) { "kill" } else { "restart" };
            format!("{name} front={front}{}{}", back(back_after), start_faults(start))
        }
        FaultKind::Starve { front, of: ResourceLimit::Descriptors(most) } => {
            format!("descriptors front={front} most={most}")
        }
        FaultKind::Starve { front, of: ResourceLimit::Memory(more) } => {
            format!("memory front={front} more-kb={}", more >> 10)
        }
        FaultKind::Crashing { front, times } => format!("crashing front={front} times={times}"),
        FaultKind::Freeze { server } => format!("freeze server={server}"),
        FaultKind::Reset { server } => format!("reset server={server}"),
        FaultKind::Sever { from, to, one_way } => {
            format!("sever from=\"{}\" to=\"{}\" one-way=#{one_way}", join_names(from), join_names(to))
        }
    };
    let _ = writeln!(text, "{fault} at=\"{at}us\" for=\"{duration}us\"");
}

fn start_faults(start: &Start) -> String {
    let property = |key: &str, us: u64| if us == 0 { String::new() } else { format!(" {key}=\"{us}us\"") };
    let (ahead, behind) = (start.clock_off.max(0).unsigned_abs(), start.clock_off.min(0).unsigned_abs());
    property("slow", start.slow) + &property("clock-ahead", ahead) + &property("clock-behind", behind)
}

fn join_names(participants: &[Participant]) -> String {
    participants.iter().map(Participant::to_string).collect::<Vec<_>>().join(" ")
}

/// Reduces a failing list to one from which no single element can be removed (delta debugging): removes
/// halves, then quarters, and finally single elements. The caller runs each [`Minimizer::trial`] and
/// reports the result to [`Minimizer::record_trial`].
#[derive(Debug, Clone)]
pub struct Minimizer<T> {
    minimal: Vec<T>,
    /// Number of elements that the next trial leaves out; 0 once the reduction is complete.
    chunk: usize,
    /// Index of the first of them.
    at: usize,
    /// Whether an element was removed since the last full pass over single elements.
    shorter: bool,
    trials: usize,
}

impl<T: Clone> Minimizer<T> {
    /// Starts with a failing list.
    pub fn new(failing: Vec<T>) -> Self {
        let chunk = failing.len().div_ceil(2);
        Self { minimal: failing, chunk, at: 0, shorter: false, trials: 0 }
    }

    /// The next list to run; `None` once no element can be removed.
    pub fn trial(&self) -> Option<Vec<T>> {
        if self.chunk == 0 || self.minimal.is_empty() {
            return None;
        }
        let end = (self.at + self.chunk).min(self.minimal.len());
        Some([&self.minimal[..self.at], &self.minimal[end..]].concat())
    }

    /// Records whether the last [`Minimizer::trial`] failed in the same way as the full list.
    pub fn record_trial(&mut self, failed: bool) {
        let Some(trial) = self.trial() else { return };
        self.trials += 1;
        if failed {
            (self.minimal, self.shorter) = (trial, true);
        } else {
            self.at += self.chunk;
        }
        if self.at < self.minimal.len() {
            return;
        }
        self.at = 0;
        self.chunk = match self.chunk {
            1 if self.shorter => 1,
            1 => 0,
            chunk => chunk / 2,
        };
        if self.chunk == 1 {
            self.shorter = false;
        }
    }

    /// The shortest failing list found.
    pub fn minimal(&self) -> &[T] {
        &self.minimal
    }

    /// Number of trials recorded.
    pub fn trials(&self) -> usize {
        self.trials
    }
}
