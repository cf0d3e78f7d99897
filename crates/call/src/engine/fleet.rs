//! What the engine says to the fleet's other fronts, and hears from them: who lives, and what they share.

use baydrift::interface::{Event, Micros, ServerId};
use baydrift_budget::Holdings;
use baydrift_fleet::{Lives, Spec as LivesSpec, Terms as LivesTerms};

use super::Engine;
use crate::shared::{Beat, Shared, Sharing, BEAT};
use crate::timers::Timer;
use crate::types::Output;

/// First byte of a message between fronts that is of budgets; the module's own begin otherwise.
const BUDGETS: u8 = 0xb0;
/// The same of one that is of who lives.
const LIVES: u8 = 0xf1;
/// Words on who lives are said no more often than this.
const LIVES_TURN: Micros = 10_000;

fn tell<P>(kind: u8, to: u32, word: &[u8]) -> Output<P> {
    Output::Tell { to, payload: [&[kind], word].concat() }
}

impl<P: Clone> Engine<P> {
    /// The fleet shares what cold servers are sent. A front that stands alone, or whose settings say nothing of it, does not.
    pub fn shares(&mut self, sharing: Sharing) {
        self.shared = Some(Shared::new(sharing));
        self.timers.set(self.now, Timer::Budgets);
    }

    pub(super) fn share(&mut self, out: &mut Vec<Output<P>>) {
        let Some(shared) = self.shared.as_mut() else { return };
        let lives = self.lives.as_ref();
        let may_live = |ordinal| lives.is_none_or(|lives| lives.may_live(ordinal));
        let Beat { words, shares } = shared.beat(self.now, &self.pool.temperatures(self.now), may_live);
        out.extend(words.iter().map(|(to, word)| tell(BUDGETS, *to, word)));
        self.events.extend(shares.into_iter().map(|(server, per_s)| Event::BudgetShare { server, per_s }));
        self.timers.set(self.now.saturating_add(BEAT), Timer::Budgets);
    }

    /// The fleet's fronts tell each other who lives.
    pub fn learns_who_lives(&mut self, spec: LivesSpec) {
        self.lives = Some(Lives::new(LivesTerms::default(), spec, self.now));
        self.timers.set(self.now, Timer::Lives);
    }

    /// Who of the fleet is believed alive, where fronts tell.
    pub fn lives(&self) -> Option<&Lives> {
        self.lives.as_ref()
    }

    /// What this front has of what the fleet may send each server while it is cold, where fronts share it.
    pub fn holdings(&self) -> impl Iterator<Item = (ServerId, Holdings)> + '_ {
        self.shared.iter().flat_map(Shared::holdings)
    }

    pub(super) fn tell_lives(&mut self, out: &mut Vec<Output<P>>) {
        self.say_who_lives(out);
        let Some(lives) = self.lives.as_ref() else { return };
        // Once woken for each turn: what is due sooner after a word from outside waits for it.
        self.timers.set(lives.next_wake().clamp(self.now + LIVES_TURN, self.now + BEAT), Timer::Lives);
    }

    fn say_who_lives(&mut self, out: &mut Vec<Output<P>>) {
        let words = self.lives.as_mut().map(|lives| lives.beat(self.now)).unwrap_or_default();
        out.extend(words.iter().map(|(to, word)| tell(LIVES, *to, word)));
    }

    /// A word on who lives: what is answered leaves at once, since a probe waits for it.
    fn hear_lives(&mut self, from: u32, word: &[u8], out: &mut Vec<Output<P>>) {
        let Some(lives) = self.lives.as_mut() else { return };
        match lives.hear(self.now, from, word) {
            Ok(()) => self.say_who_lives(out),
            Err(fault) => out.push(Output::Log(format!("a word of front {from} on who lives: {fault}"))),
        }
    }

    /// A message of another front: of who lives, of budgets, or the module's.
    pub(super) fn peer(&mut self, from: u32, payload: Vec<u8>, out: &mut Vec<Output<P>>) {
        match (payload.split_first(), self.shared.as_mut()) {
            (Some((&LIVES, word)), _) => self.hear_lives(from, word, out),
            (Some((&BUDGETS, word)), Some(shared)) => {
                out.extend(shared.hear(self.now, from, word).map(|answer| tell(BUDGETS, from, &answer)));
            }
            _ => self.events.push_back(Event::PeerMessage { from, payload }),
        }
    }
}
