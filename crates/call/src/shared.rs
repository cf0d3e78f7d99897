//! What a front may send to cold servers where the fleet shares a budget for each: `baydrift-budget` at the engine.

use std::collections::BTreeMap;

use baydrift::interface::{Micros, ServerId};
use baydrift_budget::{
    Borrower, BorrowerConfig, BudgetId, BudgetMessage, Escrow, EscrowConfig, Holdings, Share,
};

/// The window of the budgets' usual terms: so many set-ups a second are so many units.
const WINDOW: Micros = 1_000_000;
/// The engine wakes so often for it, which is within the longest step.
pub(crate) const BEAT: Micros = 50_000;

/// How a fleet shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSharing {
    /// Set-ups that a cold server may be sent in a second, by all fronts together.
    pub units: u32,
    /// Fronts by the settings, and which this one is.
    pub fronts: u32,
    /// Its ordinal.
    pub ordinal: u32,
    /// This process, drawn at its start.
    pub incarnation: u64,
}

/// What the module was told of a server, and in what state it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Told {
    here: u32,
    ready: bool,
    cold: bool,
}

#[derive(Debug)]
struct Hand {
    escrow: Escrow,
    seeker: Borrower,
    /// What the module was told last.
    told: Option<Told>,
}

/// What a beat brings.
#[derive(Debug, Default)]
pub(crate) struct Beat {
    /// Words to other fronts.
    pub(crate) words: Vec<(u32, Vec<u8>)>,
    /// What the module is to know: set-ups a second that are this front's part of a server's.
    pub(crate) shares: Vec<(ServerId, f64)>,
}

/// The hands of this front, one a server.
#[derive(Debug)]
pub(crate) struct Shared {
    sharing: BudgetSharing,
    hands: BTreeMap<ServerId, Hand>,
    /// Calls offered in the last window, by tenths of it.
    offered: [u32; 10],
    tenth: u64,
}

impl Shared {
    pub(crate) fn new(sharing: BudgetSharing) -> Self {
        Self { sharing, hands: BTreeMap::new(), offered: [0; 10], tenth: 0 }
    }

    /// What this front has of each server's budget.
    pub(crate) fn holdings(&self) -> impl Iterator<Item = (ServerId, Holdings)> + '_ {
        self.hands.iter().map(|(server, hand)| (*server, hand.escrow.holdings()))
    }

    /// A call was offered: some server would be sent it.
    pub(crate) fn offered(&mut self, now: Micros) {
        self.pass(now);
        self.offered[(self.tenth % 10) as usize] += 1;
    }

    fn pass(&mut self, now: Micros) {
        let tenth = now / (WINDOW / 10);
        for passed in self.tenth.max(tenth.saturating_sub(10)) + 1..=tenth {
            self.offered[(passed % 10) as usize] = 0;
        }
        self.tenth = tenth.max(self.tenth);
    }

    fn hand(&mut self, now: Micros, server: ServerId) -> &mut Hand {
        let BudgetSharing { units, fronts, ordinal, incarnation } = self.sharing;
        self.hands.entry(server).or_insert_with(|| {
            let budget = BudgetId(server);
            let share = Share::new(budget, units, fronts);
            // Whatever its process before this one did of it is over before this one does.
            let escrow =
                Escrow::new(EscrowConfig::default(), budget, share, ordinal, incarnation, now, false);
            Hand { escrow, seeker: Borrower::new(BorrowerConfig::default(), share, ordinal), told: None }
        })
    }

    /// Whether a set-up may go to a cold server; it is spent then.
    pub(crate) fn spend(&mut self, now: Micros, server: ServerId) -> bool {
        self.hand(now, server).escrow.spend(now)
    }

    /// A word of another front: what to answer, if anything.
    pub(crate) fn hear(&mut self, now: Micros, from: u32, word: &[u8]) -> Option<Vec<u8>> {
        let word = BudgetMessage::decode(word).ok()?;
        // Hands are of servers that this front knows: others' words make none.
        let hand = self.hands.get_mut(&word.budget().0)?;
        let reserve = hand.seeker.reserve(now, &hand.escrow);
        hand.escrow.handle(now, from, &word, reserve).map(|answer| answer.encode())
    }

    /// Time passes: what to say, to whom, and what the module is to know. `servers` are all that this front knows, each with
    /// whether it is ready, and whether it is cold; `may_live` is of other fronts, who are not asked for units otherwise.
    pub(crate) fn beat(
        &mut self,
        now: Micros,
        servers: &[(ServerId, bool, bool)],
        may_live: impl Fn(u32) -> bool,
    ) -> Beat {
        self.pass(now);
        // A server that is away for a while keeps its hand: what was lent of it is out, and a hand made anew would have to
        // wait until it is back.
        self.hands.retain(|server, _| servers.iter().any(|(known, ..)| known == server));
        let ready = servers.iter().filter(|(_, ready, _)| *ready).count();
        let each = f64::from(self.offered.iter().sum::<u32>()) / ready.max(1) as f64;
        let mut beat = Beat::default();
        for (server, ready, cold) in servers {
            let Hand { escrow, seeker, told } = self.hand(now, *server);
            seeker.set_demand(now, if *ready && *cold { each } else { 0.0 }, escrow);
            let said = seeker.poll(now, escrow, &may_live);
            beat.words.extend(said.into_iter().map(|(to, word)| (to, word.encode())));
            // A process that starts is a new server to the module: it is told anew.
            let tells = Told { here: escrow.holdings().spendable(), ready: *ready, cold: *cold };
            if *told != Some(tells) {
                *told = Some(tells);
                beat.shares.push((*server, f64::from(tells.here) * 1e6 / WINDOW as f64));
            }
        }
        beat
    }
}
