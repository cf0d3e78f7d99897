//! A schedule of troubles in writing, and cut down to a shortest one that still fails.

use std::fmt::Write;

use baydrift::interface::Micros;

use crate::script::{Party, Start, Starved, Trouble, What};

/// The troubles as a script says them, one a line, to the microsecond: read again, they are the same.
pub fn schedule_text(troubles: &[Trouble]) -> String {
    let mut text = String::new();
    for trouble in troubles {
        line(&mut text, trouble);
    }
    text
}

fn line(text: &mut String, Trouble { at, span, what }: &Trouble) {
    let back = |back: &Option<Micros>| back.map_or(String::new(), |back| format!(" back-after=\"{back}us\""));
    let rest = match what {
        What::Drain { server, by_list, by_dpr, back_after } => {
            let by = match (by_list, by_dpr) {
                (true, true) => "both",
                (true, false) => "list",
                _ => "dpr",
            };
            format!("drain server={server} by=\"{by}\"{}", back(back_after))
        }
        What::Die { server, back_after } => format!("die server={server}{}", back(back_after)),
        What::Hang { server } => format!("hang server={server}"),
        What::Slow { server, factor } => format!("slow server={server} factor={factor:?}"),
        What::Pause { server } => format!("pause server={server}"),
        What::LoseAnswers { server, share } => format!("lose-answers server={server} share={share:?}"),
        What::Cut { share } => format!("cut share={share:?}"),
        What::LinkDown { server } => format!("link-down server={server}"),
        What::LinkStalled { server } => format!("link-stalled server={server}"),
        What::Burst { factor } => format!("burst factor={factor:?}"),
        What::Hot { share } => format!("hot share={share:?}"),
        What::Redials { times, wait } => format!("redials times={times} wait=\"{wait}us\""),
        What::Reconnect { front } => format!("reconnect front={front}"),
        What::Stall { front } => format!("stall front={front}"),
        What::ListLag { lag } => format!("list-lag lag=\"{lag}us\""),
        What::MessagesLost { share } => format!("messages-lost share={share:?}"),
        What::Flood { publisher, factor } => format!("flood publisher={publisher} factor={factor:?}"),
        What::Kill { front, back_after, start } | What::Restart { front, back_after, start } => {
            let name = if matches!(what, What::Kill { .. }) { "kill" } else { "restart" };
            format!("{name} front={front}{}{}", back(back_after), started(start))
        }
        What::Starve { front, of: Starved::Descriptors(most) } => {
            format!("descriptors front={front} most={most}")
        }
        What::Starve { front, of: Starved::Memory(more) } => {
            format!("memory front={front} more-kb={}", more >> 10)
        }
        What::Crashing { front, times } => format!("crashing front={front} times={times}"),
        What::Freeze { server } => format!("freeze server={server}"),
        What::Reset { server } => format!("reset server={server}"),
        What::Sever { from, to, one_way } => {
            format!("sever from=\"{}\" to=\"{}\" one-way=#{one_way}", names(from), names(to))
        }
    };
    let _ = writeln!(text, "{rest} at=\"{at}us\" for=\"{span}us\"");
}

fn started(start: &Start) -> String {
    let us = |key: &str, us: u64| if us == 0 { String::new() } else { format!(" {key}=\"{us}us\"") };
    let (ahead, behind) = (start.clock_off.max(0).unsigned_abs(), start.clock_off.min(0).unsigned_abs());
    us("slow", start.slow) + &us("clock-ahead", ahead) + &us("clock-behind", behind)
}

fn names(parties: &[Party]) -> String {
    parties.iter().map(Party::to_string).collect::<Vec<_>>().join(" ")
}

/// Cuts a list that fails down to one of which no single part can be left out: first halves are left out, then
/// quarters, at last one by one. Whoever drives it plays each [`Shorten::trial`] and says whether it failed too.
#[derive(Debug, Clone)]
pub struct Shorten<T> {
    kept: Vec<T>,
    chunk: usize,
    at: usize,
    /// Something was left out since the last full pass one by one.
    shorter: bool,
    trials: usize,
}

impl<T: Clone> Shorten<T> {
    /// From a list that fails.
    pub fn new(failing: Vec<T>) -> Self {
        let chunk = failing.len().div_ceil(2);
        Self { kept: failing, chunk, at: 0, shorter: false, trials: 0 }
    }

    /// What to play next; `None` once nothing more can be left out.
    pub fn trial(&self) -> Option<Vec<T>> {
        if self.chunk == 0 || self.kept.is_empty() {
            return None;
        }
        let end = (self.at + self.chunk).min(self.kept.len());
        Some([&self.kept[..self.at], &self.kept[end..]].concat())
    }

    /// Whether the last [`Shorten::trial`] failed as the whole did.
    pub fn told(&mut self, failed: bool) {
        let Some(trial) = self.trial() else { return };
        self.trials += 1;
        if failed {
            (self.kept, self.shorter) = (trial, true);
        } else {
            self.at += self.chunk;
        }
        if self.at < self.kept.len() {
            return;
        }
        self.at = 0;
        self.chunk = match self.chunk {
            1 if self.shorter => 1,
            1 => 0,
            wide => wide / 2,
        };
        if self.chunk == 1 {
            self.shorter = false;
        }
    }

    /// The shortest so far that fails.
    pub fn kept(&self) -> &[T] {
        &self.kept
    }

    /// How many were played.
    pub fn trials(&self) -> usize {
        self.trials
    }
}
