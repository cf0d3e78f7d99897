//! A fleet that learns who of it lives, in virtual time: fronts that die, start anew, stand still, are deaf or mute, cut in
//! two, or have clocks that were set back. What each believes is held against what is so.

use baydrift::interface::Micros;
use baydrift_fleet::{LocalFront, Membership, MembershipConfig};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::event_queue::EventQueue;
use crate::network_path::{NetworkPath, NetworkPathSpec};

/// What happens to a fleet's fronts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LivesTrouble {
    /// It ends; another process starts after so long, if at all, with a clock so many tenths of a second off.
    Dies(Option<Micros>, i32),
    /// It stands still for so long.
    Stops(Micros),
    /// Nothing that is said to it arrives for so long.
    Deaf(Micros),
    /// Nothing that it says arrives for so long.
    Mute(Micros),
    /// Fronts below this one and the others hear nothing of each other for so long.
    Parts(Micros),
}

/// A fleet.
#[derive(Debug, Clone)]
pub struct LivesSpec {
    /// Fronts by the settings.
    pub fronts: u32,
    /// Its times.
    pub terms: MembershipConfig,
    /// Ways between fronts.
    pub way: NetworkPathSpec,
    /// For so long.
    pub span: Micros,
    /// What happens, to which front, when.
    pub troubles: Vec<(Micros, u32, LivesTrouble)>,
    /// Draws all chance.
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LivesTally {
    /// Words said, and their bytes.
    pub words: u64,
    /// Their bytes.
    pub bytes: u64,
    /// The longest word.
    pub longest: usize,
    /// At each look (ten a second): fronts that run, and of all that they believe of the others, the share that is so.
    pub looks: Vec<(Micros, u32, f64)>,
    /// Beliefs that a running, reachable front is down, summed over looks: pairs.
    pub wronged: u64,
    /// Words that were turned down.
    pub faults: u64,
}

impl LivesTally {
    /// How long after a moment all beliefs were right again for good; `None` where they were not at the end.
    pub fn right_after(&self, moment: Micros) -> Option<Micros> {
        let wrong = self.looks.iter().rev().find(|(at, _, right)| *at >= moment && *right < 1.0);
        match wrong {
            None => Some(0),
            Some((at, ..)) if *at == self.looks.last()?.0 => None,
            Some((at, ..)) => Some(at + LOOK - moment),
        }
    }
}

/// A front wakes at least so often.
const BEAT: Micros = 50_000;
const LOOK: Micros = 100_000;
/// Tenths of a second that clocks have counted when the play begins.
const TENTHS: u32 = 2_000_000_000;

enum Event {
    Wakes(u32, u32),
    Arrives(u32, u32, Vec<u8>),
    Trouble(u32, LivesTrouble),
    Starts(u32, i32),
    Look,
}

struct Front {
    process: u32,
    lives: Option<Membership>,
    stopped_until: Micros,
    deaf_until: Micros,
    mute_until: Micros,
}

struct Fleet<'a> {
    spec: &'a LivesSpec,
    queue: EventQueue<Event>,
    rng: Pcg64Mcg,
    ways: Vec<NetworkPath>,
    fronts: Vec<Front>,
    /// Fronts below it are parted from the others until then.
    parted: (u32, Micros),
    tally: LivesTally,
}

/// Plays it.
pub fn who_lives(spec: &LivesSpec) -> LivesTally {
    let front = |_| Front { process: 0, lives: None, stopped_until: 0, deaf_until: 0, mute_until: 0 };
    let mut fleet = Fleet {
        spec,
        queue: EventQueue::default(),
        rng: Pcg64Mcg::seed_from_u64(spec.seed),
        ways: (0..spec.fronts).map(|n| NetworkPath::new(spec.way, spec.seed ^ u64::from(n) << 20)).collect(),
        fronts: (0..spec.fronts).map(front).collect(),
        parted: (0, 0),
        tally: LivesTally::default(),
    };
    for front in 0..spec.fronts {
        let at = fleet.rng.random_range(0..1_000_000);
        fleet.queue.schedule(at, Event::Starts(front, 0));
    }
    for (at, front, trouble) in &spec.troubles {
        fleet.queue.schedule(*at, Event::Trouble(*front, *trouble));
    }
    fleet.queue.schedule(LOOK, Event::Look);
    while let Some(event) = fleet.queue.pop_until(spec.span) {
        fleet.take(event);
    }
    fleet.tally
}

impl Fleet<'_> {
    fn take(&mut self, event: Event) {
        let now = self.queue.now();
        match event {
            Event::Trouble(front, trouble) => self.trouble(front, trouble),
            Event::Starts(front, off) => self.starts(front, off),
            Event::Look => {
                self.look();
                self.queue.schedule(now + LOOK, Event::Look);
            }
            Event::Wakes(front, process) => {
                let at = &mut self.fronts[front as usize];
                let Some(lives) = at.lives.as_mut().filter(|_| at.process == process) else { return };
                if now < at.stopped_until {
                    return self.queue.schedule(at.stopped_until, Event::Wakes(front, process));
                }
                let words = lives.poll(now);
                let wake = lives.next_wake().clamp(now + 1_000, now + BEAT);
                self.queue.schedule(wake, Event::Wakes(front, process));
                words.into_iter().for_each(|(to, word)| self.say(front, to, word));
            }
            Event::Arrives(from, to, word) => {
                let at = &mut self.fronts[to as usize];
                if now < at.stopped_until {
                    // It lies there; some of it is read before a turn, some after.
                    let later = at.stopped_until + self.rng.random_range(0..500);
                    return self.queue.schedule(later, Event::Arrives(from, to, word));
                }
                if let Some(lives) = at.lives.as_mut().filter(|_| now >= at.deaf_until) {
                    self.tally.faults += u64::from(lives.handle(now, from, &word).is_err());
                    let words = lives.poll(now);
                    words.into_iter().for_each(|(next, word)| self.say(to, next, word));
                }
            }
        }
    }

    fn say(&mut self, from: u32, to: u32, word: Vec<u8>) {
        let now = self.queue.now();
        self.tally.words += 1;
        self.tally.bytes += word.len() as u64;
        self.tally.longest = self.tally.longest.max(word.len());
        let (border, until) = self.parted;
        let parted = now < until && (from < border) != (to < border);
        if parted || now < self.fronts[from as usize].mute_until {
            return;
        }
        for at in self.ways[from as usize].datagram(now, word.len()) {
            self.queue.schedule(at, Event::Arrives(from, to, word.clone()));
        }
    }

    fn starts(&mut self, front: u32, off: i32) {
        let now = self.queue.now();
        let tenths = TENTHS + (now / 100_000) as u32;
        let spec = LocalFront {
            ordinal: front,
            fronts: self.spec.fronts,
            incarnation: tenths.saturating_add_signed(off),
            seed: self.rng.random(),
        };
        let at = &mut self.fronts[front as usize];
        at.lives = Some(Membership::new(self.spec.terms, spec, now));
        self.queue.schedule(now, Event::Wakes(front, at.process));
    }

    fn trouble(&mut self, front: u32, trouble: LivesTrouble) {
        let now = self.queue.now();
        if let LivesTrouble::Parts(span) = trouble {
            self.parted = (front, now + span);
            return;
        }
        let Some(at) = self.fronts.get_mut(front as usize) else { return };
        match trouble {
            LivesTrouble::Dies(back, off) => {
                if at.lives.take().is_some() {
                    at.process += 1;
                    at.stopped_until = 0;
                    back.into_iter()
                        .for_each(|back| self.queue.schedule(now + back, Event::Starts(front, off)));
                }
            }
            LivesTrouble::Stops(span) => at.stopped_until = at.stopped_until.max(now + span),
            LivesTrouble::Deaf(span) => at.deaf_until = at.deaf_until.max(now + span),
            LivesTrouble::Mute(span) => at.mute_until = at.mute_until.max(now + span),
            LivesTrouble::Parts(_) => {}
        }
    }

    /// Holds what running fronts believe against what is so.
    fn look(&mut self) {
        let now = self.queue.now();
        let runs: Vec<_> = self.fronts.iter().map(|at| at.lives.is_some()).collect();
        let heard = |at: &Front| now >= at.stopped_until.max(at.deaf_until).max(at.mute_until);
        let (mut right, mut all) = (0_u64, 0_u64);
        for (front, at) in self.fronts.iter().enumerate() {
            let Some(lives) = at.lives.as_ref().filter(|_| heard(at)) else { continue };
            let mut believed = vec![None; runs.len()];
            lives.members().for_each(|(member, alive, _)| believed[member.ordinal as usize] = Some(alive));
            for other in (0..runs.len()).filter(|other| *other != front) {
                all += 1;
                right += u64::from((believed[other] == Some(true)) == runs[other]);
                let reached = runs[other] && heard(&self.fronts[other]) && now >= self.parted.1;
                self.tally.wronged += u64::from(reached && believed[other] == Some(false));
            }
        }
        let share = if all == 0 { 1.0 } else { right as f64 / all as f64 };
        self.tally.looks.push((now, runs.iter().filter(|runs| **runs).count() as u32, share));
    }
}

/// Troubles drawn by a seed: deaths with and without a return, some with clocks set back, standstills, deaf and mute fronts,
/// and a cut in two.
pub fn drawn_lives(fronts: u32, within: Micros, seed: u64) -> Vec<(Micros, u32, LivesTrouble)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x11fe);
    let count = rng.random_range(3..=8);
    let one = |rng: &mut Pcg64Mcg| {
        let (at, front) = (rng.random_range(3_000_000..within), rng.random_range(0..fronts));
        let span = rng.random_range(100_000..8_000_000);
        let trouble = match rng.random_range(0..9) {
            0..=2 => {
                let off = if rng.random_bool(0.3) { rng.random_range(-3_000..=50) } else { 0 };
                LivesTrouble::Dies(rng.random_bool(0.8).then_some(span), off)
            }
            3..=4 => LivesTrouble::Stops(span),
            5 => LivesTrouble::Deaf(span),
            6 => LivesTrouble::Mute(span),
            _ => LivesTrouble::Parts(span),
        };
        (at, front, trouble)
    };
    (0..count).map(|_| one(&mut rng)).collect()
}
