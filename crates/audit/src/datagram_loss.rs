//! Calls over datagrams: which copies of a request and its reply were lost, and which missing answers that
//! excuses.

use std::collections::BTreeMap;

use crate::record::RecordEvent;
use crate::rules::SLACK;
use crate::verdict::Excuse;

/// A front retransmits a reply over datagrams at least this often until the caller's time-out, in
/// microseconds.
pub const REPLY_GAP: u64 = 500_000;

/// The recorded datagrams of one transaction.
#[derive(Debug, Default)]
struct Copies {
    /// Copies of the request that were lost before the first one arrived.
    lost: usize,
    /// Arrival time of the first copy of the request.
    arrived: Option<u64>,
    /// Copies of the reply: the time, and whether it was lost.
    replies: Vec<(u64, bool)>,
}

/// All transactions of the record.
#[derive(Debug, Default)]
pub(crate) struct Losses {
    copies: BTreeMap<(String, u32), Copies>,
    transactions: BTreeMap<String, u32>,
}

/// A call whose answer was not received in time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LateCall<'a> {
    pub(crate) name: &'a str,
    pub(crate) offered: u64,
    pub(crate) deadline: u64,
}

impl Losses {
    pub(crate) fn handle(&mut self, at: u64, event: &RecordEvent) {
        match event {
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

    /// The excuse for a call that had no answer in time, with a description; otherwise a description of what
    /// was observed.
    pub(crate) fn excuse(&self, call: LateCall<'_>) -> Result<(Excuse, String), String> {
        let LateCall { name, offered, deadline } = call;
        let client = name.split('|').next().unwrap_or("");
        let copies = self.transactions.get(name).and_then(|id| self.copies.get(&(client.to_owned(), *id)));
        let Some(copies) = copies else { return Err("of which no datagram is on record".into()) };
        let lost = copies.lost;
        let arrived = match copies.arrived {
            Some(at) if at <= deadline => at,
            _ if lost > 0 => {
                let text = format!("{name}: all {lost} copies of its request were lost in time");
                return Ok((Excuse::RequestsLost, text));
            }
            _ => return Err("which was never sent".into()),
        };
        let in_time: Vec<_> = copies.replies.iter().filter(|(at, _)| *at <= deadline).collect();
        let Some((first, _)) = in_time.first() else {
            // The front starts the caller's time-out at the copy that it received.
            let caller_timeout = deadline - offered;
            let answered =
                copies.replies.first().is_some_and(|(at, _)| *at <= arrived + caller_timeout + SLACK);
            if lost > 0 && answered {
                let text = format!("{name}: {lost} copies of its request were lost, the next came late");
                return Ok((Excuse::LateArrival, text));
            }
            return Err(format!("whose request arrived at {arrived} us, and no reply was sent in time"));
        };
        if let Some((at, _)) = in_time.iter().find(|(_, lost)| !lost) {
            return Err(format!("whose reply was carried to it at {at} us"));
        }
        let times = in_time.iter().map(|(at, _)| *at).chain([deadline]);
        let gap = times.scan(*first, |last, at| Some(at - std::mem::replace(last, at))).max().unwrap_or(0);
        let count = in_time.len();
        if gap > REPLY_GAP {
            return Err(format!("whose reply was said {count} times, all lost, and not for {gap} us"));
        }
        Ok((Excuse::RepliesLost, format!("{name}: all {count} copies of its reply were lost")))
    }
}
