//! The course of a day, free of sockets and clocks: which trouble begins and ends when, and what that means.

use std::collections::BTreeMap;

use baydrift::interface::Micros;
use baydrift_audit::Moment;
use baydrift_emulator::{Command, Fault, Offers};

use crate::cast::usual;
use crate::script::{Day, Trouble, What};

/// What servers the list service knows, and since when; it reaches fronts later.
pub(crate) type Pool = Vec<(&'static str, Option<Micros>)>;

/// Who carries troubles out.
pub(crate) trait Hands {
    /// A trouble of a server.
    fn command(&mut self, server: usize, command: Command);
    /// A server's link does this from now on.
    fn link(&mut self, server: usize, fault: Fault);
    /// One front's callers offer this from now on.
    fn offer(&mut self, front: usize, offers: &Offers);
    /// A front's process stands still.
    fn stall(&mut self, front: usize, span: Micros);
    /// So many messages between fronts are lost.
    fn lose_messages(&mut self, share: f64);
    /// The list that reaches all fronts at a time.
    fn list(&mut self, due: Micros, pool: &Pool);
    /// Something is put on record.
    fn record(&mut self, moment: Moment);
}

/// What is still to be done.
enum Then {
    Begin(Trouble),
    End(What),
    Listed(usize, &'static str, bool),
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
    usual: Offers,
    offers: Vec<Offers>,
}

impl Course {
    pub(crate) fn new(day: &Day, begin: Micros) -> Self {
        let troubles = day.troubles.iter().enumerate();
        let plan = troubles.map(|(order, t)| ((begin + t.at, order), Then::Begin(t.clone()))).collect();
        let usual = usual(day);
        Self {
            plan,
            order: day.troubles.len(),
            begin,
            end: begin + (day.seconds * 1e6) as Micros,
            pool: vec![("ready", None); day.servers.rates.len()],
            lag: day.list_lag,
            link_delay: day.servers.link_delay,
            offers: vec![usual.clone(); day.fronts as usize],
            usual,
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
                    progress((now - self.begin) as f64 / 1e6, &format!("{:?}", trouble.what));
                    self.begin(now, &trouble, hands);
                }
                Then::End(what) => self.finish(&what, hands),
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
                    self.then(now, Then::Listed(*server, "draining", false));
                }
                self.then(over, Then::Listed(*server, "gone", false));
                if let Some(back) = back_after {
                    self.then(over + back, Then::Listed(*server, "ready", true));
                }
            }
            What::Die { server, back_after } => {
                hands.command(*server, Command::Die(*back_after));
                self.then(now, Then::Listed(*server, "gone", false));
                if let Some(back) = back_after {
                    self.then(now + back, Then::Listed(*server, "ready", true));
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
                hands.link(*server, Fault { down: true, delay: self.link_delay, ..Fault::default() });
            }
            // Only the way back: what the front sent is then timed at the server as it was sent.
            What::LinkStalled { server } => {
                hands.link(*server, Fault { stalled_back: true, delay: self.link_delay, ..Fault::default() });
                self.each_front(hands, |front| Moment::Mute { server: *server as u16, front });
            }
            What::Burst { factor } => self.offers(hands, |offers| offers.factor = *factor),
            What::Hot { share } => self.offers(hands, |offers| offers.hot = *share),
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
        }
        self.then(over, Then::End(what.clone()));
    }

    fn finish(&mut self, what: &What, hands: &mut impl Hands) {
        match what {
            What::Hang { server } => hands.command(*server, Command::Hang(false)),
            What::Slow { server, .. } => hands.command(*server, Command::Slow(1.0)),
            What::LoseAnswers { server, .. } => hands.command(*server, Command::LoseAnswers(0.0)),
            What::LinkDown { server } => {
                hands.link(*server, Fault { delay: self.link_delay, ..Fault::default() });
            }
            What::LinkStalled { server } => {
                hands.link(*server, Fault { delay: self.link_delay, ..Fault::default() });
                self.each_front(hands, |front| Moment::Speaks { server: *server as u16, front });
            }
            What::Burst { .. } => self.offers(hands, |offers| offers.factor = 1.0),
            What::Hot { .. } => self.offers(hands, |offers| offers.hot = 0.0),
            What::Flood { .. } => self.offers(hands, |offers| offers.flood = None),
            What::MessagesLost { .. } => hands.lose_messages(0.0),
            What::Redials { .. } => {
                let (times, wait) = (self.usual.redials, self.usual.redial_wait);
                self.offers(hands, |offers| (offers.redials, offers.redial_wait) = (times, wait));
            }
            _ => {}
        }
    }

    fn each_front(&self, hands: &mut impl Hands, moment: impl Fn(u32) -> Moment) {
        (0..self.offers.len() as u32).for_each(|front| hands.record(moment(front)));
    }

    fn offers(&mut self, hands: &mut impl Hands, change: impl Fn(&mut Offers)) {
        for (front, offers) in self.offers.iter_mut().enumerate() {
            change(offers);
            hands.offer(front, offers);
        }
    }
}
