//! Calls over datagrams that get lost: what the record shows of each copy, and what that excuses.

use std::collections::BTreeMap;

use crate::record::RecordEvent;
use crate::rules::SLACK;
use crate::verdict::Excuse;

/// A front that owes a reply over datagrams says it again at least this often, until its caller gives up.
pub const REPLY_GAP: u64 = 500_000;

/// What was seen of one transaction.
#[derive(Debug, Default)]
struct Copies {
    /// Copies of the request that were lost before one arrived.
    lost: usize,
    /// When the first arrived.
    arrived: Option<u64>,
    /// Copies of the reply: when, and whether lost.
    replies: Vec<(u64, bool)>,
}

/// All transactions on record.
#[derive(Debug, Default)]
pub(crate) struct Losses {
    copies: BTreeMap<(String, u32), Copies>,
    transactions: BTreeMap<String, u32>,
}

/// A call whose answer was not read in time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wanted<'a> {
    pub(crate) name: &'a str,
    pub(crate) offered: u64,
    pub(crate) gives_up: u64,
}

impl Losses {
    pub(crate) fn take(&mut self, at: u64, moment: &RecordEvent) {
        match moment {
            RecordEvent::RequestSent { call, transaction } => {
                self.transactions.insert(call.clone(), *transaction);
            }
            RecordEvent::Datagram { client, to_front, transaction, lost } => {
                let copies = self.copies.entry((client.clone(), *transaction)).or_default();
                match (to_front, lost) {
                    (true, false) => drop(copies.arrived.get_or_insert(at)),
                    (true, true) => copies.lost += usize::from(copies.arrived.is_none()),
                    (false, lost) => copies.replies.push((at, *lost)),
                }
            }
            _ => {}
        }
    }

    /// What excuses a call that had no answer in time, in words; or what was seen that does not.
    pub(crate) fn judge(&self, call: Wanted<'_>) -> Result<(Excuse, String), String> {
        let Wanted { name, offered, gives_up } = call;
        let client = name.split('|').next().unwrap_or("");
        let copies = self.transactions.get(name).and_then(|id| self.copies.get(&(client.to_owned(), *id)));
        let Some(copies) = copies else { return Err("of which no datagram is on record".into()) };
        let lost = copies.lost;
        let arrived = match copies.arrived {
            Some(at) if at <= gives_up => at,
            _ if lost > 0 => {
                let text = format!("{name}: all {lost} copies of its request were lost in time");
                return Ok((Excuse::RequestsLost, text));
            }
            _ => return Err("which was never sent".into()),
        };
        let in_time: Vec<_> = copies.replies.iter().filter(|(at, _)| *at <= gives_up).collect();
        let Some((first, _)) = in_time.first() else {
            // The front counts its caller's patience from the copy that it read.
            let patience = gives_up - offered;
            let answered = copies.replies.first().is_some_and(|(at, _)| *at <= arrived + patience + SLACK);
            if lost > 0 && answered {
                let text = format!("{name}: {lost} copies of its request were lost, the next came late");
                return Ok((Excuse::LateArrival, text));
            }
            return Err(format!("whose request arrived at {arrived} us, and no reply was sent in time"));
        };
        if let Some((at, _)) = in_time.iter().find(|(_, lost)| !lost) {
            return Err(format!("whose reply was carried to it at {at} us"));
        }
        let times = in_time.iter().map(|(at, _)| *at).chain([gives_up]);
        let gap = times.scan(*first, |last, at| Some(at - std::mem::replace(last, at))).max().unwrap_or(0);
        let count = in_time.len();
        if gap > REPLY_GAP {
            return Err(format!("whose reply was said {count} times, all lost, and not for {gap} us"));
        }
        Ok((Excuse::RepliesLost, format!("{name}: all {count} copies of its reply were lost")))
    }
}
