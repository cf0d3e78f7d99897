//! A fleet that shares one budget, in virtual time: hundreds of fronts, words lost, doubled and late, fronts that stand
//! still, start anew, are cut off or have clocks that jump. The sum is counted by whoever knows all.

use std::collections::{BTreeSet, VecDeque};

use baydrift::interface::Micros;
use baydrift_budget::{Borrower, BorrowerConfig, BudgetId, BudgetMessage, Escrow, EscrowConfig, Share};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use crate::event_queue::EventQueue;
use crate::network_path::{NetworkPath, NetworkPathSpec};

/// How the budget is shared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetSharing {
    /// Each front its part by the settings.
    Fixed,
    /// Each front a part by how many it believes alive: whoever it has heard of within a second.
    Believed,
    /// Units, lent from front to front.
    Escrow,
    /// One that knows all, at once.
    KnowsAll,
}

/// What happens to a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetTrouble {
    /// It ends, and another process starts after so long, if at all.
    Dies(Option<Micros>),
    /// It stands still for so long.
    Stops(Micros),
    /// Its clock goes on from another time: so much further, or back.
    Jumps(i64),
    /// Nothing that is said to it arrives for so long.
    Deaf(Micros),
    /// Nothing that it says arrives for so long.
    Mute(Micros),
}

/// A fleet and its budget.
#[derive(Debug, Clone)]
pub struct BudgetSpec {
    /// Fronts by the settings.
    pub fronts: u32,
    /// Units of the budget.
    pub units: u32,
    /// What all agree on.
    pub terms: EscrowConfig,
    /// How a front seeks units.
    pub seeking: BorrowerConfig,
    /// Ways between fronts.
    pub way: NetworkPathSpec,
    /// How it is shared.
    pub sharing: BudgetSharing,
    /// Units wanted a second, by front.
    pub wanted: Vec<f64>,
    /// For so long.
    pub span: Micros,
    /// The budget begins then: a server's cold start, which each front hears of up to so much later.
    pub heard_within: Micros,
    /// What happens, to which front, when.
    pub troubles: Vec<(Micros, u32, BudgetTrouble)>,
    /// Clocks run apart by up to so many millionths.
    pub drift_ppm: u32,
    /// Draws all chance.
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BudgetTally {
    /// Units spent.
    pub spent: u64,
    /// Units wanted.
    pub wanted: u64,
    /// The most units spent in any window, by whoever knows all.
    pub most: usize,
    /// Words said.
    pub words: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Of what could be spent, and was wanted, in each whole window: the share that was. One that knows all has 1.
    pub used: f64,
}

/// A front wakes at least so often.
const BEAT: Micros = 50_000;
/// A front that was not heard of for so long is not believed alive, where shares go by belief.
const SILENT: Micros = 1_000_000;
/// Where shares go by belief, each front says that it lives so often, to one drawn front.
const SAYS: Micros = 100_000;

enum Event {
    Hears(u32),
    Wants(u32, u32),
    Wakes(u32, u32),
    Arrives(u32, u32, Said),
    Trouble(u32, BudgetTrouble),
    Starts(u32),
}

#[derive(Clone)]
enum Said {
    Word(Vec<u8>),
    Lives,
}

struct Front {
    process: u32,
    down: bool,
    stopped_until: Micros,
    deaf_until: Micros,
    mute_until: Micros,
    /// Its clock: so many millionths fast, and so much ahead.
    fast: i64,
    ahead: i64,
    /// It ran when the budget began.
    since_before: bool,
    hand: Option<(Escrow, Borrower)>,
    /// When its own units are free, where shares are fixed or believed.
    part: VecDeque<Micros>,
    heard: Vec<Micros>,
}

struct Fleet<'a> {
    spec: &'a BudgetSpec,
    share: Share,
    queue: EventQueue<Event>,
    rng: Pcg64Mcg,
    ways: Vec<NetworkPath>,
    fronts: Vec<Front>,
    /// When units were spent, within the window.
    window: VecDeque<Micros>,
    /// Wanted and spent, by whole windows.
    seconds: Vec<(u64, u64)>,
    tally: BudgetTally,
}

const BUDGET: BudgetId = BudgetId(1);
/// A front's clock begins here, so that it can jump back.
const CLOCK_FROM: i64 = 3_600_000_000;

/// Plays it.
pub fn share_budget(spec: &BudgetSpec) -> BudgetTally {
    let mut rng = Pcg64Mcg::seed_from_u64(spec.seed);
    let drift = i64::from(spec.drift_ppm);
    let front = |rng: &mut Pcg64Mcg| Front {
        process: 0,
        down: false,
        stopped_until: 0,
        deaf_until: 0,
        mute_until: 0,
        fast: rng.random_range(-drift..=drift),
        ahead: 0,
        since_before: true,
        hand: None,
        part: VecDeque::new(),
        heard: vec![0; spec.fronts as usize],
    };
    let fronts: Vec<_> = (0..spec.fronts).map(|_| front(&mut rng)).collect();
    let ways = (0..spec.fronts).map(|n| NetworkPath::new(spec.way, spec.seed ^ u64::from(n) << 20)).collect();
    let mut fleet = Fleet {
        spec,
        share: Share::new(BUDGET, spec.units, spec.fronts),
        queue: EventQueue::default(),
        rng,
        ways,
        fronts,
        window: VecDeque::new(),
        seconds: Vec::new(),
        tally: BudgetTally::default(),
    };
    for front in 0..spec.fronts {
        let heard = fleet.rng.random_range(0..=spec.heard_within);
        fleet.queue.schedule(heard, Event::Hears(front));
        fleet.wants(front, 0);
    }
    for (at, front, trouble) in &spec.troubles {
        fleet.queue.schedule(*at, Event::Trouble(*front, *trouble));
    }
    while let Some(event) = fleet.queue.pop_until(spec.span) {
        fleet.take(event);
    }
    fleet.tally.used = fleet.used();
    fleet.tally
}

impl Fleet<'_> {
    fn clock(&self, front: u32) -> Micros {
        let (now, front) = (self.queue.now() as i64, &self.fronts[front as usize]);
        let clock = CLOCK_FROM + now + now / 1_000 * front.fast / 1_000 + front.ahead;
        clock.max(0) as Micros
    }

    /// The next call of a front's, drawn.
    fn wants(&mut self, front: u32, process: u32) {
        let rate = self.spec.wanted.get(front as usize).copied().unwrap_or(0.0);
        let Ok(gap) = Exp::new(rate / 1e6) else { return };
        if rate > 0.0 {
            let at = self.queue.now() + gap.sample(&mut self.rng) as Micros;
            self.queue.schedule(at, Event::Wants(front, process));
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.queue.now();
        let (front, process) = match &event {
            Event::Hears(front) | Event::Arrives(_, front, _) => (*front, None),
            Event::Wants(front, process) | Event::Wakes(front, process) => (*front, Some(*process)),
            Event::Trouble(front, trouble) => return self.trouble(*front, *trouble),
            Event::Starts(front) => return self.starts(*front),
        };
        let at = &self.fronts[front as usize];
        if process.is_some_and(|process| process != at.process) {
            return;
        }
        if at.down {
            // The wants go on for the process to come.
            return;
        }
        if now < at.stopped_until {
            // What waits is found on waking, before anything else is done or after it.
            let later = at.stopped_until + self.rng.random_range(0..500);
            return self.queue.schedule(later, event);
        }
        match event {
            Event::Hears(front) => self.hears(front),
            Event::Wants(front, process) => {
                self.wanted(front);
                self.wants(front, process);
            }
            Event::Wakes(front, process) => {
                self.wakes(front);
                self.queue.schedule(now + BEAT, Event::Wakes(front, process));
            }
            Event::Arrives(from, to, said) => self.arrives(from, to, &said),
            Event::Trouble(..) | Event::Starts(_) => {}
        }
    }

    /// A front hears that the budget began.
    fn hears(&mut self, front: u32) {
        let clock = self.clock(front);
        let (spec, share, incarnation) = (self.spec, self.share, self.rng.random());
        let at = &mut self.fronts[front as usize];
        if at.hand.is_some() {
            return;
        }
        let hand = Escrow::new(spec.terms, BUDGET, share, front, incarnation, clock, at.since_before);
        at.hand = Some((hand, Borrower::new(spec.seeking, share, front)));
        let process = at.process;
        let beat = self.rng.random_range(0..BEAT);
        self.queue.schedule(self.queue.now() + beat, Event::Wakes(front, process));
    }

    fn starts(&mut self, front: u32) {
        let at = &mut self.fronts[front as usize];
        at.down = false;
        at.since_before = false;
        at.heard.fill(0);
        let process = at.process;
        let heard = self.queue.now() + self.rng.random_range(0..=self.spec.heard_within);
        self.queue.schedule(heard, Event::Hears(front));
        self.wants(front, process);
    }

    fn trouble(&mut self, front: u32, trouble: BudgetTrouble) {
        let now = self.queue.now();
        let Some(at) = self.fronts.get_mut(front as usize) else { return };
        match trouble {
            BudgetTrouble::Dies(back) => {
                if at.down {
                    return;
                }
                at.process += 1;
                (at.down, at.hand, at.stopped_until) = (true, None, 0);
                at.part.clear();
                if let Some(back) = back {
                    self.queue.schedule(now + back, Event::Starts(front));
                }
            }
            BudgetTrouble::Stops(span) => at.stopped_until = at.stopped_until.max(now + span),
            BudgetTrouble::Jumps(by) => at.ahead += by,
            BudgetTrouble::Deaf(span) => at.deaf_until = at.deaf_until.max(now + span),
            BudgetTrouble::Mute(span) => at.mute_until = at.mute_until.max(now + span),
        }
    }

    /// A front wants to spend one.
    fn wanted(&mut self, front: u32) {
        let (now, clock) = (self.queue.now(), self.clock(front));
        self.tally.wanted += 1;
        let second = (now / self.spec.terms.window) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, (0, 0));
        }
        self.seconds[second].0 += 1;
        let window = self.spec.terms.window;
        let believed = self.believed(front);
        let at = &mut self.fronts[front as usize];
        let Some((hand, seeker)) = at.hand.as_mut() else { return };
        let spent = match self.spec.sharing {
            BudgetSharing::Escrow => {
                let spent = hand.spend(clock);
                seeker.record_demand(clock, spent, hand);
                spent
            }
            BudgetSharing::KnowsAll => {
                forget(&mut self.window, now, window);
                self.window.len() < self.spec.units as usize
            }
            BudgetSharing::Fixed | BudgetSharing::Believed => {
                let share = if self.spec.sharing == BudgetSharing::Fixed {
                    self.share.of(front) as usize
                } else {
                    (self.spec.units / believed.max(1)) as usize
                };
                forget(&mut at.part, now, window);
                let room = at.part.len() < share;
                if room {
                    at.part.push_back(now);
                }
                room
            }
        };
        if spent {
            self.count(now, second);
        }
    }

    /// By one that knows all: how many were spent in the window that ends now.
    fn count(&mut self, now: Micros, second: usize) {
        self.tally.spent += 1;
        self.seconds[second].1 += 1;
        self.window.push_back(now);
        forget(&mut self.window, now, self.spec.terms.window);
        self.tally.most = self.tally.most.max(self.window.len());
    }

    fn believed(&self, front: u32) -> u32 {
        let now = self.queue.now();
        let at = &self.fronts[front as usize];
        let others = at.heard.iter().filter(|heard| **heard > 0 && now - **heard < SILENT).count() as u32;
        // Not a second old yet: it goes by the settings.
        if now < SILENT {
            self.spec.fronts
        } else {
            others + 1
        }
    }

    fn wakes(&mut self, front: u32) {
        let (now, clock) = (self.queue.now(), self.clock(front));
        match self.spec.sharing {
            BudgetSharing::Escrow => {
                let at = &mut self.fronts[front as usize];
                let Some((hand, seeker)) = at.hand.as_mut() else { return };
                for (to, word) in seeker.poll(clock, hand, |_| true) {
                    self.say(front, to, Said::Word(word.encode()));
                }
            }
            BudgetSharing::Believed if now / SAYS != (now + BEAT) / SAYS => {
                // To a tenth of the fleet at a time, so that each hears each within a second.
                let fronts = self.spec.fronts;
                let first = ((now / SAYS) as u32 + front) % 10;
                for to in (0..fronts).filter(|to| to % 10 == first && *to != front) {
                    self.say(front, to, Said::Lives);
                }
            }
            _ => {}
        }
    }

    fn say(&mut self, from: u32, to: u32, said: Said) {
        let now = self.queue.now();
        let size = match &said {
            Said::Word(bytes) => bytes.len(),
            Said::Lives => 8,
        };
        self.tally.words += 1;
        self.tally.bytes += size as u64;
        if now < self.fronts[from as usize].mute_until {
            return;
        }
        for at in self.ways[from as usize].datagram(now, size) {
            self.queue.schedule(at, Event::Arrives(from, to, said.clone()));
        }
    }

    fn arrives(&mut self, from: u32, to: u32, said: &Said) {
        let (now, clock) = (self.queue.now(), self.clock(to));
        let at = &mut self.fronts[to as usize];
        if now < at.deaf_until {
            return;
        }
        match said {
            Said::Lives => at.heard[from as usize] = now,
            Said::Word(bytes) => {
                let (Ok(word), Some((hand, seeker))) = (BudgetMessage::decode(bytes), at.hand.as_mut())
                else {
                    return;
                };
                let reserve = seeker.reserve(clock, hand);
                if let Some(answer) = hand.handle(clock, from, &word, reserve) {
                    self.say(to, from, Said::Word(answer.encode()));
                }
            }
        }
    }

    fn used(&self) -> f64 {
        let could = |wanted: u64| wanted.min(u64::from(self.spec.units));
        let could: u64 = self.seconds.iter().map(|(wanted, _)| could(*wanted)).sum();
        let spent: u64 = self.seconds.iter().map(|(_, spent)| (*spent).min(u64::from(self.spec.units))).sum();
        spent as f64 / could.max(1) as f64
    }
}

/// What was spent before the window that ends now is forgotten.
fn forget(spent: &mut VecDeque<Micros>, now: Micros, window: Micros) {
    while spent.front().is_some_and(|at| at + window <= now) {
        spent.pop_front();
    }
}

/// Troubles drawn for a fleet: deaths, standstills around a lease's length, deaf and mute fronts, clocks that jump.
pub fn drawn_troubles(
    fronts: u32,
    span: Micros,
    lease: Micros,
    seed: u64,
) -> Vec<(Micros, u32, BudgetTrouble)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xb0d9e7);
    let mut troubles = Vec::new();
    for _ in 0..rng.random_range(2..=8) {
        let at = rng.random_range(0..span.max(1));
        // One front, a third of them, or all but a few.
        let part = [1.0 / f64::from(fronts), 0.33, 0.9][rng.random_range(0..3)];
        let around = rng.random_range(lease / 2..lease * 3 / 2);
        let kind = rng.random_range(0..6);
        let struck: BTreeSet<u32> = (0..fronts).filter(|_| rng.random_bool(part)).collect();
        for front in struck {
            let trouble = match kind {
                0 => BudgetTrouble::Dies(Some(rng.random_range(0..2_000_000))),
                1 => BudgetTrouble::Stops(around),
                2 => BudgetTrouble::Deaf(around * 3),
                3 => BudgetTrouble::Mute(around * 3),
                4 => BudgetTrouble::Jumps(5_000_000),
                _ => BudgetTrouble::Jumps(-5_000_000),
            };
            troubles.push((at + rng.random_range(0..100_000), front, trouble));
        }
    }
    troubles
}
