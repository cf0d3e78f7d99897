//! Who lives: foca driven by the time that it is told.

use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use baydrift::interface::Micros;
use foca::{AccumulatingRuntime, Codec, Config, Error, Foca, NoCustomBroadcast, OwnedNotification};
use foca::{PeriodicParams, Timer};
use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::wire::{Fault, Member, Wire, DATAGRAM_MAX};

/// Times of a fleet, the same at all its fronts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// One member is probed in each.
    pub period: Micros,
    /// A probe is answered within it, or others are asked to try; under the period.
    pub answered_within: Micros,
    /// A suspect that does not speak up within it counts as down.
    pub suspected: Micros,
    /// A turn so late is a standstill of this process.
    pub still: Micros,
}

impl Default for Terms {
    /// Two datagrams a front and second at rest; the way between fronts takes some tens of milliseconds.
    fn default() -> Self {
        Self { period: 1_000_000, answered_within: 300_000, suspected: 3_000_000, still: 700_000 }
    }
}

/// One front's place in its fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spec {
    /// Its ordinal.
    pub ordinal: u32,
    /// Fronts by the settings.
    pub fronts: u32,
    /// Tells this process from the ones before; see [`Member::incarnation`].
    pub incarnation: u32,
    /// For chance.
    pub seed: u64,
}

/// What a front believes of its fleet, and how far that may be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// Fronts that are believed alive, this one included.
    pub alive: u32,
    /// Fronts of the fleet.
    pub of: u32,
    /// Fronts that were ever heard of, alive or down, this one included: of the others nothing is known.
    pub known: u32,
    /// Since the newest word of any other front; `None` before the first.
    pub age: Option<Micros>,
    /// It has just started, or stood still: what it believes may be of long ago.
    pub learns: bool,
}

type Swim = Foca<Member, Wire, Pcg64Mcg, NoCustomBroadcast>;
type Said = AccumulatingRuntime<Member>;

/// Which fronts live, as one of them believes.
pub struct Lives {
    foca: Swim,
    wire: Wire,
    terms: Terms,
    spec: Spec,
    rng: Pcg64Mcg,
    now: Micros,
    timers: BTreeMap<(Micros, u64), Timer<Member>>,
    next_timer: u64,
    /// When another is asked to let this one in, while some were never heard of.
    join_at: Micros,
    heard_at: Option<Micros>,
    learns_until: Micros,
    /// By ordinal, the newest incarnation that was ever heard of, and since when it is believed alive or down.
    seen: BTreeMap<u32, (Member, bool, Micros)>,
    words: Vec<(u32, Vec<u8>)>,
}

impl std::fmt::Debug for Lives {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Lives").field("spec", &self.spec).field("seen", &self.seen).finish_non_exhaustive()
    }
}

fn span(micros: Micros) -> Duration {
    Duration::from_micros(micros)
}

/// A few tries reach all of a fleet: three times its size's binary logarithm, as SWIM has it.
fn transmissions(fronts: u32) -> NonZeroU8 {
    let doublings = u32::BITS - fronts.max(1).leading_zeros();
    NonZeroU8::new((3 * doublings).min(u8::MAX.into()) as u8).unwrap_or(NonZeroU8::MIN)
}

/// So many are asked to try a member that does not answer.
const INDIRECT: NonZeroUsize = NonZeroUsize::new(3).unwrap();
const ONE: NonZeroUsize = NonZeroUsize::MIN;

impl Lives {
    /// A front that knows nobody yet.
    pub fn new(terms: Terms, spec: Spec, now: Micros) -> Self {
        let own = Member { ordinal: spec.ordinal, incarnation: spec.incarnation };
        let wire = Wire::new(spec.fronts, spec.incarnation);
        let config = Config {
            probe_period: span(terms.period),
            probe_rtt: span(terms.answered_within),
            num_indirect_probes: INDIRECT,
            max_transmissions: transmissions(spec.fronts),
            suspect_to_down_after: span(terms.suspected),
            // Bounded by the fleet; forgotten, the end of an older process could be news again.
            remove_down_after: None,
            max_packet_size: NonZeroUsize::new(DATAGRAM_MAX).unwrap_or(ONE),
            notify_down_members: true,
            periodic_announce: Some(PeriodicParams { frequency: span(terms.period * 10), num_members: ONE }),
            // A cut that has healed is found by whoever believes the other side down.
            periodic_announce_to_down_members: Some(PeriodicParams {
                frequency: span(terms.period * 2),
                num_members: ONE,
            }),
            periodic_gossip: Some(PeriodicParams { frequency: span(terms.period / 5), num_members: ONE }),
        };
        let mut rng = Pcg64Mcg::seed_from_u64(spec.seed ^ u64::from(spec.ordinal));
        let foca = Foca::new(own, config, Pcg64Mcg::seed_from_u64(rng.next_u64()), wire);
        Self {
            foca,
            wire,
            terms,
            spec,
            rng,
            now,
            timers: BTreeMap::new(),
            next_timer: 0,
            join_at: now,
            heard_at: None,
            learns_until: now + terms.period * 2,
            seen: BTreeMap::new(),
            words: Vec::new(),
        }
    }

    /// A datagram of another front, whose ordinal its address tells.
    ///
    /// # Errors
    /// Why it changed nothing. What cannot be used costs no more than this.
    pub fn hear(&mut self, now: Micros, from: u32, datagram: &[u8]) -> Result<(), Fault> {
        self.pass(now);
        if datagram.len() > DATAGRAM_MAX {
            return Err(Fault::Unreadable);
        }
        let header = self.wire.decode_header(datagram)?;
        if header.src.ordinal != from {
            return Err(Fault::Sender(header.src.ordinal));
        }
        match self.act(|foca, said| foca.handle_data(datagram, said)) {
            Ok(()) => self.heard_at = Some(self.now),
            Err(Error::Decode(_) | Error::MalformedPacket | Error::DataTooBig) => {
                return Err(Fault::Unreadable)
            }
            // foca's own limits, such as a probe that was answered twice: nothing came of it.
            Err(_) => {}
        }
        Ok(())
    }

    /// Time passes: what is due, and the words for others that are to be sent.
    pub fn beat(&mut self, now: Micros) -> Vec<(u32, Vec<u8>)> {
        self.pass(now);
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let timer = entry.remove();
            // A timer of a probe that is over, or of a member that is gone, does nothing.
            let _ = self.act(|foca, said| foca.handle_timer(timer, said));
        }
        if self.now >= self.join_at {
            self.join();
        }
        std::mem::take(&mut self.words)
    }

    /// When [`Lives::beat`] is wanted at the latest.
    pub fn next_wake(&self) -> Micros {
        self.timers.keys().next().map_or(self.join_at, |key| key.0.min(self.join_at))
    }

    /// Asks a front that was never heard of, drawn by chance, to let this one in, as long as there are such. Guards
    /// against islands: fronts that start together find each other by twos and threes, and each group, content with
    /// itself, would never hear of the others.
    fn join(&mut self) {
        self.join_at = self.now + self.terms.period / if self.foca.num_members() == 0 { 4 } else { 1 };
        let unknown = |ordinal: &u32| *ordinal != self.spec.ordinal && !self.seen.contains_key(ordinal);
        let unknown: Vec<_> = (0..self.spec.fronts).filter(unknown).collect();
        if unknown.is_empty() {
            return;
        }
        let ordinal = unknown[self.rng.next_u32() as usize % unknown.len()];
        // Whatever process is there now takes it.
        let _ = self.act(|foca, said| foca.announce(Member { ordinal, incarnation: 0 }, said));
    }

    /// What is believed now.
    pub fn view(&self, now: Micros) -> View {
        let now = now.max(self.now);
        View {
            alive: self.foca.num_members() as u32 + 1,
            of: self.spec.fronts,
            known: self.seen.len() as u32 + 1,
            age: self.heard_at.map(|at| now - at),
            learns: now < self.learns_until,
        }
    }

    /// Each other front that was ever heard of: its newest process, whether it is believed alive, and since when.
    pub fn members(&self) -> impl Iterator<Item = (Member, bool, Micros)> + '_ {
        self.seen.values().copied()
    }

    /// Whether a front may live: only one that was heard of, and whose end was, does not.
    pub fn may_live(&self, ordinal: u32) -> bool {
        self.seen.get(&ordinal).is_none_or(|(_, alive, _)| *alive)
    }

    /// This process, as the fleet knows it now.
    pub fn own(&self) -> Member {
        *self.foca.identity()
    }

    /// Time goes on. Guards against a process that stood still: its timers would find all others silent at once, and a
    /// fleet of a hundred that hears so would have to refute it. They are due as much later, and it learns anew.
    fn pass(&mut self, now: Micros) {
        let gap = now.saturating_sub(self.now);
        if gap > self.terms.still && self.now > 0 {
            let timers = std::mem::take(&mut self.timers);
            self.timers = timers.into_iter().map(|((at, n), timer)| ((at + gap, n), timer)).collect();
            self.learns_until = now + self.terms.period * 2;
        }
        // A clock that steps back is a standstill of this front's time.
        self.now = self.now.max(now);
    }

    /// Has foca do something, and takes what comes of it: words, timers, news.
    fn act(&mut self, what: impl FnOnce(&mut Swim, &mut Said) -> Result<(), Error>) -> Result<(), Error> {
        let mut said = Said::new();
        let done = what(&mut self.foca, &mut said);
        while let Some((to, datagram)) = said.to_send() {
            self.words.push((to.ordinal, datagram.to_vec()));
        }
        while let Some((after, timer)) = said.to_schedule() {
            let at = self.now.saturating_add(after.as_micros() as Micros);
            self.timers.insert((at, self.next_timer), timer);
            self.next_timer += 1;
        }
        while let Some(news) = said.to_notify() {
            match news {
                OwnedNotification::MemberUp(member) => self.believe(member, true),
                OwnedNotification::MemberDown(member) => self.believe(member, false),
                OwnedNotification::Rename(_, member) => self.believe(member, true),
                _ => {}
            }
        }
        done
    }

    fn believe(&mut self, member: Member, alive: bool) {
        let known = self.seen.get(&member.ordinal);
        // The end of a process that another has followed already says nothing of that one.
        let old = known.is_some_and(|(newest, ..)| newest.incarnation > member.incarnation);
        if member.ordinal != self.spec.ordinal && !old {
            self.seen.insert(member.ordinal, (member, alive, self.now));
        }
    }
}
