//! Whom to ask for units, when, and for how many.

use baydrift::interface::Micros;

use crate::escrow::Escrow;
use crate::share::Share;
use crate::word::Word;

/// How a front seeks units; by the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seeking {
    /// It asks at most once in such a time.
    pub every: Micros,
    /// So many fronts at once.
    pub at_once: usize,
    /// A loan of which nothing was spent for so long is given back.
    pub idle: Micros,
}

/// One front's search for units of one budget.
#[derive(Debug, Clone)]
pub struct Seeker {
    seeking: Seeking,
    share: Share,
    /// Homes from here on and around are asked next.
    next: u32,
    next_at: Micros,
    /// Units that were wanted and not there since it asked last.
    short: u16,
    /// When one was wanted and not there last.
    short_at: Option<Micros>,
}

impl Seeker {
    /// A search by front `me`; it begins with the homes after its own, so that not all ask the same.
    pub fn new(seeking: Seeking, share: Share, me: u32) -> Self {
        Self { seeking, share, next: me, next_at: 0, short: 0, short_at: None }
    }

    /// A unit was wanted and none was there.
    pub fn short(&mut self, now: Micros) {
        self.short = self.short.saturating_add(1);
        self.short_at = Some(now);
    }

    /// How many of its own units this front keeps when others ask: all while it lacks some itself, else as many again as
    /// it has spent in the window, and so half of an idle front's stay where they are at the first ask.
    pub fn reserve(&self, now: Micros, escrow: &Escrow) -> u32 {
        let lacks = self.short_at.is_some_and(|at| now.saturating_sub(at) < escrow.terms().window);
        let holds = escrow.holdings();
        if lacks {
            u32::MAX
        } else {
            holds.spent.min(holds.free)
        }
    }

    /// What to say now, and to whom; `lives` is whether a front is believed to.
    pub fn words(
        &mut self,
        now: Micros,
        escrow: &mut Escrow,
        lives: impl Fn(u32) -> bool,
    ) -> Vec<(u32, Word)> {
        let mut words = Vec::new();
        if now < self.next_at {
            return words;
        }
        self.next_at = now.saturating_add(self.seeking.every);
        let half = escrow.terms().lease / 2;
        let loans: Vec<_> = escrow.loans().collect();
        for (loan, over, spent_at) in loans {
            let idle = now.saturating_sub(spent_at);
            if idle >= self.seeking.idle {
                words.extend(escrow.give_back(now, loan));
            } else if over.saturating_sub(now) < half {
                words.extend(escrow.keep(now, loan));
            }
        }
        let wanted = std::mem::take(&mut self.short);
        if wanted > 0 {
            // Those that have most of it are asked no sooner than others: nobody knows who has any to spare.
            let homes: Vec<_> = self
                .share
                .homes_after(self.next)
                .filter(|home| lives(*home))
                .take(self.seeking.at_once)
                .collect();
            for home in homes {
                self.next = home;
                words.extend(escrow.ask(now, home, wanted).map(|word| (home, word)));
            }
        }
        words
    }
}
