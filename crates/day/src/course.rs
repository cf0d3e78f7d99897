//! The course of a day, free of sockets and clocks: which trouble begins and ends when, and what that means.

use std::collections::BTreeMap;

use baydrift::interface::Micros;
use baydrift_audit::RecordEvent;
use baydrift_emulator::{Command, LinkFault, OfferedLoad};
use serde::{Deserialize, Serialize};

use crate::cast::usual;
use crate::script::{Day, Party, Start, Starved, Trouble, What};

/// What servers the list service knows, and since when; it reaches fronts later.
pub(crate) type Pool = Vec<(Listed, Option<Micros>)>;

/// What a list says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Listed {
    Ready,
    Draining,
    Gone,
}

/// Who carries troubles out.
pub(crate) trait Hands {
    /// A trouble of a server.
    fn command(&mut self, server: usize, command: Command);
    /// A server's link does this from now on.
    fn link(&mut self, server: usize, fault: LinkFault);
    /// One front's callers offer this from now on.
    fn offer(&mut self, front: usize, offers: &OfferedLoad);
    /// A front's process stands still.
    fn stall(&mut self, front: usize, span: Micros);
    /// So many messages between fronts are lost.
    fn lose_messages(&mut self, share: f64);
    /// The list that reaches all fronts at a time.
    fn list(&mut self, due: Micros, pool: &Pool);
    /// Something is put on record.
    fn record(&mut self, moment: RecordEvent);
    /// A trouble that only processes have. Whoever has none refused the day before it began.
    fn process(&mut self, _trouble: Process) {}
}

/// How long a front that crashes again and again serves each time.
pub(crate) const SERVES_FOR: Micros = 400_000;

/// Troubles of processes and of the net between them.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Process {
    /// A front's process is killed, or told to end; another starts after that, if at all.
    Stop { front: usize, kill: bool, back_after: Option<Micros>, start: Start },
    /// A front's process may hold no more than this, or as much as it wants again.
    Starve { front: usize, of: Starved, starved: bool },
    /// A front is killed so many times soon after it served.
    Crash { front: usize, times: u32 },
    /// A server's process is stopped, or goes on.
    Freeze { server: usize, frozen: bool },
    /// A way between two, by its direction, passes nothing, or passes again what it held.
    Sever { from: Party, to: Party, severed: bool },
    /// All of a server's connections are reset.
    Reset { server: usize },
}

/// What is still to be done.
enum Then {
    Begin(Trouble),
    End(What),
    Listed(usize, Listed, bool),
    /// The list as it is.
    List,
}

/// A day under way.
pub(crate) struct Course {
    plan: BTreeMap<(Micros, usize), Then>,
    order: usize,
    begin: Micros,
    end: Micros,
    pool: Pool,
    lag: Micros,
    link_delay: Micros,
    usual: OfferedLoad,
    offers: Vec<OfferedLoad>,
    /// How many troubles sever a way now.
    severed: BTreeMap<(Party, Party), usize>,
}

impl Course {
    pub(crate) fn new(day: &Day, begin: Micros) -> Self {
        let troubles = day.troubles.iter().enumerate();
        let mut plan: BTreeMap<_, _> =
            troubles.map(|(order, t)| ((begin + t.at, order), Then::Begin(t.clone()))).collect();
        // A list service tells whoever has just started what it knows.
        plan.insert((begin, day.troubles.len()), Then::List);
        let usual = usual(day);
        Self {
            plan,
            order: day.troubles.len() + 1,
            begin,
            end: begin + (day.seconds * 1e6) as Micros,
            pool: vec![(Listed::Ready, None); day.servers.rates.len()],
            lag: day.list_lag,
            link_delay: day.servers.link_delay,
            offers: vec![usual.clone(); day.fronts as usize],
            usual,
            severed: BTreeMap::new(),
        }
    }

    /// When callers stop.
    pub(crate) fn end(&self) -> Micros {
        self.end
    }

    /// When [`Course::act`] is wanted next.
    pub(crate) fn next(&self) -> Micros {
        self.plan.keys().next().map_or(self.end, |key| key.0).min(self.end)
    }

    /// All that is due now; `progress` hears of each trouble.
    pub(crate) fn act(&mut self, now: Micros, hands: &mut impl Hands, progress: &mut impl FnMut(f64, &str)) {
        while let Some(entry) = self.plan.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                Then::Begin(trouble) => {
                    let what = format!("{:?}", trouble.what);
                    progress((now - self.begin) as f64 / 1e6, &what);
                    if !trouble.what.is_demand() {
                        hands.record(RecordEvent::Fault { what, over: now + trouble.lasts() });
                    }
                    self.begin(now, &trouble, hands);
                }
                Then::End(what) => self.finish(&what, hands),
                Then::List => hands.list(now, &self.pool),
                Then::Listed(server, state, started) => {
                    self.pool[server] = (state, started.then_some(now));
                    hands.list(now + self.lag, &self.pool);
                }
            }
        }
    }

    /// No more calls.
    pub(crate) fn close(&mut self, hands: &mut impl Hands) {
        self.offers(hands, |offers| offers.factor = 0.0);
    }

    fn then(&mut self, at: Micros, then: Then) {
        self.order += 1;
        self.plan.insert((at, self.order), then);
    }

    fn begin(&mut self, now: Micros, trouble: &Trouble, hands: &mut impl Hands) {
        let Trouble { span, what, .. } = trouble;
        let over = now + span;
        match what {
            What::Drain { server, by_list, by_dpr, back_after } => {
                let (by_dpr, back_after) = (*by_dpr, *back_after);
                hands.command(*server, Command::Drain { by_dpr, stop_after: *span, back_after });
                if *by_list {
                    self.then(now, Then::Listed(*server, Listed::Draining, false));
                }
                self.then(over, Then::Listed(*server, Listed::Gone, false));
                if let Some(back) = back_after {
                    self.then(over + back, Then::Listed(*server, Listed::Ready, true));
                }
            }
            What::Die { server, back_after } => {
                hands.command(*server, Command::Die(*back_after));
                self.then(now, Then::Listed(*server, Listed::Gone, false));
                if let Some(back) = back_after {
                    self.then(now + back, Then::Listed(*server, Listed::Ready, true));
                }
            }
            What::Hang { server } => hands.command(*server, Command::Hang(true)),
            What::Slow { server, factor } => hands.command(*server, Command::Slow(*factor)),
            What::Pause { server } => hands.command(*server, Command::Pause(*span)),
            What::LoseAnswers { server, share } => hands.command(*server, Command::LoseAnswers(*share)),
            What::Cut { share } => {
                (0..self.pool.len()).for_each(|server| hands.command(server, Command::Cut(*share)));
            }
            What::LinkDown { server } => {
                hands.link(*server, LinkFault { down: true, delay: self.link_delay, ..LinkFault::default() });
            }
            // Only the way back: what the front sent is then timed at the server as it was sent.
            What::LinkStalled { server } => {
                hands.link(
                    *server,
                    LinkFault { stalled_back: true, delay: self.link_delay, ..LinkFault::default() },
                );
                self.each_front(hands, |front| RecordEvent::Unresponsive { server: *server as u16, front });
            }
            What::Burst { factor } => self.offers(hands, |offers| offers.factor = *factor),
            What::Hot { share } => self.offers(hands, |offers| offers.hot_number_share = *share),
            What::Redials { times, wait } => {
                self.offers(hands, |offers| (offers.redials, offers.redial_wait) = (*times, *wait));
            }
            What::Reconnect { front } => {
                self.offers[*front].reconnects += 1;
                hands.offer(*front, &self.offers[*front]);
            }
            What::Stall { front } => hands.stall(*front, *span),
            What::ListLag { lag } => self.lag = *lag,
            What::Flood { publisher, factor } => {
                self.offers(hands, |offers| offers.flood = Some((*publisher, *factor)))
            }
            What::MessagesLost { share } => hands.lose_messages(*share),
            What::Kill { front, back_after, start } | What::Restart { front, back_after, start } => {
                let kill = matches!(what, What::Kill { .. });
                let (front, back_after, start) = (*front, *back_after, *start);
                hands.process(Process::Stop { front, kill, back_after, start });
            }
            What::Starve { front, of } => {
                hands.process(Process::Starve { front: *front, of: *of, starved: true });
            }
            What::Crashing { front, times } => hands.process(Process::Crash { front: *front, times: *times }),
            What::Freeze { server } => hands.process(Process::Freeze { server: *server, frozen: true }),
            What::Reset { server } => hands.process(Process::Reset { server: *server }),
            What::Sever { from, to, one_way } => self.sever(from, to, *one_way, true, hands),
        }
        self.then(over, Then::End(what.clone()));
    }

    fn finish(&mut self, what: &What, hands: &mut impl Hands) {
        match what {
            What::Hang { server } => hands.command(*server, Command::Hang(false)),
            What::Slow { server, .. } => hands.command(*server, Command::Slow(1.0)),
            What::LoseAnswers { server, .. } => hands.command(*server, Command::LoseAnswers(0.0)),
            What::LinkDown { server } => {
                hands.link(*server, LinkFault { delay: self.link_delay, ..LinkFault::default() });
            }
            What::LinkStalled { server } => {
                hands.link(*server, LinkFault { delay: self.link_delay, ..LinkFault::default() });
                self.each_front(hands, |front| RecordEvent::Responsive { server: *server as u16, front });
            }
            What::Burst { .. } => self.offers(hands, |offers| offers.factor = 1.0),
            What::Hot { .. } => self.offers(hands, |offers| offers.hot_number_share = 0.0),
            What::Flood { .. } => self.offers(hands, |offers| offers.flood = None),
            What::MessagesLost { .. } => hands.lose_messages(0.0),
            What::Starve { front, of } => {
                hands.process(Process::Starve { front: *front, of: *of, starved: false });
            }
            What::Freeze { server } => hands.process(Process::Freeze { server: *server, frozen: false }),
            What::Sever { from, to, one_way } => self.sever(from, to, *one_way, false, hands),
            What::Redials { .. } => {
                let (times, wait) = (self.usual.redials, self.usual.redial_wait);
                self.offers(hands, |offers| (offers.redials, offers.redial_wait) = (times, wait));
            }
            _ => {}
        }
    }

    /// Ways that two troubles sever at once pass again only when both are over.
    fn sever(&mut self, from: &[Party], to: &[Party], one_way: bool, severed: bool, hands: &mut impl Hands) {
        let there = from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b)));
        let back = there.clone().filter(|_| !one_way).map(|(a, b)| (b, a));
        for (from, to) in there.chain(back).filter(|(a, b)| a != b) {
            let count = self.severed.entry((from, to)).or_insert(0_usize);
            let before = *count > 0;
            *count = if severed { *count + 1 } else { count.saturating_sub(1) };
            if before != (*count > 0) {
                hands.process(Process::Sever { from, to, severed: *count > 0 });
            }
        }
    }

    fn each_front(&self, hands: &mut impl Hands, moment: impl Fn(u32) -> RecordEvent) {
        (0..self.offers.len() as u32).for_each(|front| hands.record(moment(front)));
    }

    fn offers(&mut self, hands: &mut impl Hands, change: impl Fn(&mut OfferedLoad)) {
        for (front, offers) in self.offers.iter_mut().enumerate() {
            change(offers);
            hands.offer(front, offers);
        }
    }
}
