//! The exchange at the other end of trunk groups: its circuits towards each front, the processor behind them, calls
//! of its own, and troubles on command. Free of I/O and time.
//!
//! It speaks ISUP messages and knows nothing of `baydrift-trunk`: who gives way in a dual seizure is written here a
//! second time, from Q.764, 2.9.1.4, so that a mistake in the product's rule shows.

use std::collections::BTreeMap;

use baydrift::interface::Micros;
use baydrift_audit::RecordEvent;
use baydrift_isup::{cause, CalledNumber, CircuitState, Data, Iam, Message, MessageType, Processing, Range};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use crate::processor::{EnqueueOutcome, Processor, ProcessorSpec, Work};
use crate::server::Command;

/// A REL without its RLC is said again after this (T1's least).
const T1: Micros = 15_000_000;
/// Circuits of one range message.
const RANGE: u16 = 31;

/// What a far end is.
#[derive(Debug, Clone)]
pub struct FarEndSpec {
    /// Its number in the pool.
    pub number: u16,
    /// Its name.
    pub host: String,
    /// Its point code.
    pub point: u32,
    /// Fronts by point code, and their ordinals.
    pub fronts: BTreeMap<u32, u32>,
    /// Circuits towards each front, from this code on.
    pub first: u16,
    /// How many.
    pub circuits: u16,
    /// Its processor.
    pub processor: ProcessorSpec,
    /// Calls of its own towards each front, a second.
    pub calls_per_second: f64,
    /// How long they stand, in the mean.
    pub hold: Micros,
    /// When their callers give up.
    pub patience: Micros,
    /// Class and publisher of its calls, for the record.
    pub flow: (usize, usize),
}

/// What it hears.
#[derive(Debug, Clone, PartialEq)]
pub enum FarInput {
    /// A front's signalling link is up.
    Up(u32),
    /// It is gone.
    Down(u32),
    /// A packet came from a front.
    Received(u32, Data),
    /// A trouble.
    Command(Command),
    /// Calls of its own come at so many times the rate; 0 ends them.
    Offer(f64),
    /// Time has passed.
    Tick,
}

/// What it wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum FarOutput {
    /// Send to a front.
    Send(u32, Data),
    /// Something was seen.
    Record(RecordEvent),
    /// The process has ended: links close.
    Stopped,
    /// Another process listens.
    Started,
}

/// A circuit towards one front.
#[derive(Debug, Clone, PartialEq)]
enum Circuit {
    /// An own call's IAM is out.
    Seized(OwnCall),
    /// An own call that the front has, or that stands until then.
    Own(OwnCall, Option<Micros>),
    /// A call of the front's.
    Theirs { attempt: String, stands: bool },
    /// REL is out; said again then.
    Releasing(Micros),
    /// Within a GRS: an IAM that crossed it is none.
    Resetting,
}

/// A call of its own.
#[derive(Debug, Clone, PartialEq)]
struct OwnCall {
    name: String,
    gives_up: Micros,
    answered: bool,
}

type Place = (u32, u16);

/// See the module's page.
#[derive(Debug)]
pub struct FarEnd {
    spec: FarEndSpec,
    rng: Pcg64Mcg,
    cpu: Processor,
    /// By front and code; idle ones are not in it.
    circuits: BTreeMap<Place, Circuit>,
    /// Blocked by the front.
    blocked: BTreeMap<Place, bool>,
    blocking: bool,
    up: BTreeMap<u32, bool>,
    asked: BTreeMap<u64, (Place, String)>,
    next_key: u64,
    next_call: u64,
    next_offer: BTreeMap<u32, Micros>,
    factor: f64,
    lose: f64,
    hung: bool,
    ends: Option<(Micros, Option<Micros>)>,
    down: Option<Micros>,
    /// Fronts that are to hear that all circuits were forgotten.
    forgot: BTreeMap<u32, bool>,
}

impl FarEnd {
    /// A warm exchange; `seed` draws its own calls.
    pub fn new(spec: FarEndSpec, seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            cpu: Processor::new(spec.processor, None),
            circuits: BTreeMap::new(),
            blocked: BTreeMap::new(),
            blocking: false,
            up: BTreeMap::new(),
            asked: BTreeMap::new(),
            next_key: 0,
            next_call: 0,
            next_offer: BTreeMap::new(),
            factor: 0.0,
            lose: 0.0,
            hung: false,
            ends: None,
            down: None,
            forgot: BTreeMap::new(),
            spec,
        }
    }

    /// Whether a process runs and listens.
    pub fn listens(&self) -> bool {
        self.down.is_none()
    }

    /// Its name.
    pub fn host(&self) -> &str {
        &self.spec.host
    }

    /// Circuits that are not idle.
    pub fn busy(&self) -> usize {
        self.circuits.len()
    }

    /// When [`FarInput::Tick`] is wanted at the latest.
    pub fn due(&self) -> Micros {
        if let Some(at) = self.down {
            return at;
        }
        let cpu = self.cpu.next_completion().filter(|_| !self.hung).unwrap_or(Micros::MAX);
        let ends = self.ends.map_or(Micros::MAX, |(at, _)| at);
        let offers = self.next_offer.values().min().copied().unwrap_or(Micros::MAX);
        let circuits = self.circuits.values().map(Circuit::due).min().unwrap_or(Micros::MAX);
        cpu.min(ends).min(offers).min(circuits)
    }

    /// Takes one input, then lets time pass; appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: FarInput, out: &mut Vec<FarOutput>) {
        if let Some(at) = self.down {
            if let FarInput::Offer(factor) = input {
                self.factor = factor;
            }
            if now < at {
                return;
            }
            self.start(now, out);
        }
        match input {
            FarInput::Up(front) => self.link_up(front, out),
            FarInput::Down(front) => {
                if self.up.remove(&front).is_some() {
                    out.push(FarOutput::Record(RecordEvent::Disconnected {
                        server: self.spec.number,
                        front,
                    }));
                    self.parted(front, out);
                }
            }
            FarInput::Received(front, data) => {
                if let Ok(message) = Message::read(&data.message) {
                    self.received(now, front, &message, out);
                }
            }
            FarInput::Command(command) => self.command(now, command, out),
            FarInput::Offer(factor) => self.offer(now, factor),
            FarInput::Tick => {}
        }
        while let Some(work) =
            self.cpu.next_completion().filter(|_| !self.hung).and_then(|_| self.cpu.pop_completed(now))
        {
            self.done(now, work, out);
        }
        let due: Vec<_> = self
            .circuits
            .iter()
            .filter(|(_, circuit)| circuit.due() <= now)
            .map(|(place, _)| *place)
            .collect();
        due.into_iter().for_each(|place| self.circuit_due(now, place, out));
        let offers: Vec<_> = self.next_offer.iter().filter(|(_, at)| **at <= now).map(|(f, _)| *f).collect();
        offers.into_iter().for_each(|front| self.own_call(now, front, out));
        if let Some((_, back)) = self.ends.filter(|(at, _)| *at <= now) {
            self.stop(now, back, out);
        }
    }

    fn start(&mut self, now: Micros, out: &mut Vec<FarOutput>) {
        self.down = None;
        self.cpu = Processor::new(self.spec.processor, Some(now));
        self.forgot = self.spec.fronts.values().map(|front| (*front, true)).collect();
        out.push(FarOutput::Record(RecordEvent::ServerStarted { server: self.spec.number, cold: true }));
        out.push(FarOutput::Started);
        self.offer(now, self.factor);
    }

    fn stop(&mut self, now: Micros, back: Option<Micros>, out: &mut Vec<FarOutput>) {
        out.push(FarOutput::Record(RecordEvent::ServerExited { server: self.spec.number }));
        self.circuits.clear();
        let up: Vec<_> = self.up.keys().copied().collect();
        up.into_iter().for_each(|front| self.parted(front, out));
        (self.asked, self.up, self.next_offer) = Default::default();
        (self.hung, self.lose, self.ends, self.blocking) = (false, 0.0, None, false);
        self.down = Some(back.map_or(Micros::MAX, |back| now.saturating_add(back)));
        out.push(FarOutput::Stopped);
    }

    /// What its callers have not heard yet they may never hear: their way to the front is gone.
    fn parted(&self, front: u32, out: &mut Vec<FarOutput>) {
        out.push(FarOutput::Record(RecordEvent::ClientDisconnected {
            front,
            client: self.spec.host.clone(),
        }));
    }

    fn link_up(&mut self, front: u32, out: &mut Vec<FarOutput>) {
        self.up.insert(front, true);
        if self.forgot.remove(&front).is_some() {
            let cics = self.spec.first..self.spec.first + self.spec.circuits;
            self.circuits.extend(cics.map(|cic| ((front, cic), Circuit::Resetting)));
            self.ranges(
                front,
                |first, count| {
                    Message::with_range(MessageType::Grs, first, &Range::without_status((count - 1) as u8))
                },
                out,
            );
        }
    }

    /// A message for each range of the circuits towards a front.
    fn ranges(&self, front: u32, message: impl Fn(u16, u16) -> Message, out: &mut Vec<FarOutput>) {
        let (mut first, end) = (self.spec.first, self.spec.first + self.spec.circuits);
        while first < end {
            let count = RANGE.min(end - first);
            self.send(front, &message(first, count), out);
            first += count;
        }
    }

    fn send(&self, front: u32, message: &Message, out: &mut Vec<FarOutput>) {
        let to = self.spec.fronts.iter().find(|(_, ordinal)| **ordinal == front);
        let (Some((point, _)), Ok(octets)) = (to, message.write()) else { return };
        if self.hung || !self.up.contains_key(&front) {
            return;
        }
        let data = Data { opc: self.spec.point, dpc: *point, sls: message.cic as u8 & 0x0f, message: octets };
        out.push(FarOutput::Send(front, data));
    }

    fn plain(&self, place: Place, kind: MessageType, out: &mut Vec<FarOutput>) {
        self.send(place.0, &Message::new(kind, place.1), out);
    }

    /// The higher point code controls even circuits, the other end the odd ones.
    fn yields(&self, (front, cic): Place) -> bool {
        let theirs = self.spec.fronts.iter().find(|(_, ordinal)| **ordinal == front).map_or(0, |(p, _)| *p);
        let even_are_mine = self.spec.point > theirs;
        even_are_mine != (cic % 2 == 0)
    }

    // --- messages ---

    fn received(&mut self, now: Micros, front: u32, message: &Message, out: &mut Vec<FarOutput>) {
        let place = (front, message.cic);
        if !(self.spec.first..self.spec.first + self.spec.circuits).contains(&message.cic) {
            return self.plain(place, MessageType::Ucic, out);
        }
        match message.kind {
            MessageType::Iam => {
                if let Some(iam) = message.as_iam() {
                    self.seized(now, place, &iam, out);
                }
            }
            MessageType::Acm | MessageType::Anm | MessageType::Con => {
                self.progressed(now, place, message.kind != MessageType::Acm, out)
            }
            MessageType::Rel => {
                self.released(now, place, message.cause().unwrap_or(cause::NORMAL_UNSPECIFIED), out)
            }
            MessageType::Rlc => {
                if let Some(Circuit::Releasing(_)) = self.circuits.get(&place) {
                    self.circuits.remove(&place);
                }
            }
            MessageType::Rsc => {
                self.cleared(place, out);
                self.plain(place, MessageType::Rlc, out);
            }
            MessageType::Grs => {
                let Ok(range) = message.range() else { return };
                let count = range.circuits() as u16;
                (message.cic..message.cic.saturating_add(count))
                    .for_each(|cic| self.cleared((front, cic), out));
                let status = vec![self.blocking; usize::from(count)];
                let range = Range { range: range.range, status };
                self.send(front, &Message::with_range(MessageType::Gra, message.cic, &range), out);
            }
            MessageType::Gra => {
                let Ok(range) = message.range() else { return };
                for cic in message.cic..message.cic.saturating_add(range.circuits() as u16) {
                    if self.circuits.get(&(front, cic)) == Some(&Circuit::Resetting) {
                        self.circuits.remove(&(front, cic));
                    }
                }
            }
            MessageType::Blo => {
                self.blocked.insert(place, true);
                self.plain(place, MessageType::Bla, out);
            }
            MessageType::Ubl => {
                self.blocked.remove(&place);
                self.plain(place, MessageType::Uba, out);
            }
            MessageType::Cqm => {
                let Ok(range) = message.range() else { return };
                let cics = message.cic..message.cic.saturating_add(range.circuits() as u16);
                let states: Vec<_> = cics.map(|cic| self.state((front, cic))).collect();
                self.send(front, &Message::cqr(message.cic, &states), out);
            }
            _ => {}
        }
    }

    fn state(&self, place: Place) -> CircuitState {
        let processing = match self.circuits.get(&place) {
            _ if !(self.spec.first..self.spec.first + self.spec.circuits).contains(&place.1) => {
                Processing::Unequipped
            }
            None => Processing::Idle,
            Some(Circuit::Seized(_) | Circuit::Own(..)) => Processing::OutgoingBusy,
            Some(Circuit::Theirs { .. }) => Processing::IncomingBusy,
            Some(Circuit::Releasing(_) | Circuit::Resetting) => Processing::Transient,
        };
        let remotely_blocked = self.blocked.contains_key(&place);
        CircuitState { processing, locally_blocked: self.blocking, remotely_blocked }
    }

    fn seized(&mut self, now: Micros, place: Place, iam: &Iam, out: &mut Vec<FarOutput>) {
        if self.blocking && !self.circuits.contains_key(&place) {
            // It crossed the blocking, which is said again.
            return self.plain(place, MessageType::Blo, out);
        }
        let own = match self.circuits.get(&place) {
            None => None,
            Some(Circuit::Seized(call)) if self.yields(place) => Some(call.clone()),
            // The own call goes on, or it is a copy.
            Some(_) => return,
        };
        let reference = String::from_utf8_lossy(&iam.reference);
        let (attempt, call) = reference.split_once(' ').unwrap_or((&reference, ""));
        let (server, front, attempt) = (self.spec.number, place.0, attempt.to_owned());
        let moment = RecordEvent::SetUp {
            server,
            front,
            call: call.to_owned(),
            attempt: attempt.clone(),
            redirected: false,
        };
        out.push(FarOutput::Record(moment));
        self.circuits.insert(place, Circuit::Theirs { attempt: attempt.clone(), stands: false });
        let key = self.next_key;
        self.next_key += 1;
        self.asked.insert(key, (place, attempt));
        if self.cpu.set_up(now, key) == EnqueueOutcome::Overloaded {
            out.push(FarOutput::Record(RecordEvent::ServerOverloaded { server }));
        }
        if let Some(call) = own {
            self.seize(now, front, call, out);
        }
    }

    fn done(&mut self, now: Micros, work: Work, out: &mut Vec<FarOutput>) {
        let (key, refused) = match work {
            Work::SetUp(key) => (key, false),
            Work::Reject(key) => (key, true),
            Work::Release(_) => return,
        };
        let Some((place, attempt)) = self.asked.remove(&key) else { return };
        let held = matches!(self.circuits.get(&place), Some(Circuit::Theirs { attempt: a, stands: false }) if *a == attempt);
        if !held {
            return;
        }
        let lost = !refused && self.rng.random::<f64>() < self.lose;
        let code = if refused { 3004 } else { 2001 };
        out.push(FarOutput::Record(RecordEvent::Reply {
            server: self.spec.number,
            attempt: attempt.clone(),
            code,
            lost,
        }));
        if refused {
            return self.release(now, place, cause::SWITCHING_CONGESTION, out);
        }
        self.circuits.insert(place, Circuit::Theirs { attempt, stands: true });
        if !lost {
            self.send(place.0, &Message::acm(place.1), out);
            self.plain(place, MessageType::Anm, out);
        }
    }

    fn released(&mut self, now: Micros, place: Place, why: u8, out: &mut Vec<FarOutput>) {
        if let (Some(Circuit::Seized(call)), cause::CIRCUIT_NOT_AVAILABLE) =
            (self.circuits.get(&place).cloned(), why)
        {
            // It goes on by another circuit.
            self.circuits.remove(&place);
            self.plain(place, MessageType::Rlc, out);
            self.blocked.insert(place, true);
            self.seize(now, place.0, call, out);
            self.blocked.remove(&place);
            return;
        }
        if !matches!(self.circuits.get(&place), Some(Circuit::Releasing(_))) {
            self.free(place, why, out);
        }
        self.plain(place, MessageType::Rlc, out);
    }

    fn cleared(&mut self, place: Place, out: &mut Vec<FarOutput>) {
        self.blocked.remove(&place);
        self.free(place, cause::TEMPORARY_FAILURE, out);
    }

    /// The front has let go of a circuit.
    fn free(&mut self, place: Place, why: u8, out: &mut Vec<FarOutput>) {
        match self.circuits.remove(&place) {
            Some(Circuit::Theirs { attempt, .. }) => {
                out.push(FarOutput::Record(RecordEvent::Release { server: self.spec.number, attempt }));
            }
            Some(Circuit::Seized(call) | Circuit::Own(call, _)) => self.over(&call, why, out),
            _ => {}
        }
    }

    fn release(&mut self, now: Micros, place: Place, why: u8, out: &mut Vec<FarOutput>) {
        self.circuits.insert(place, Circuit::Releasing(now + T1));
        self.send(place.0, &Message::with_cause(MessageType::Rel, place.1, why), out);
    }

    // --- own calls ---

    fn offer(&mut self, now: Micros, factor: f64) {
        self.factor = factor;
        let fronts: Vec<_> = self.spec.fronts.values().copied().collect();
        self.next_offer = fronts.into_iter().map(|front| (front, self.next_at(now))).collect();
        self.next_offer.retain(|_, at| *at != Micros::MAX);
    }

    fn next_at(&mut self, now: Micros) -> Micros {
        match Exp::new(self.spec.calls_per_second * self.factor) {
            Ok(gap) if self.spec.calls_per_second * self.factor > 0.0 => {
                now + (gap.sample(&mut self.rng) * 1e6) as Micros
            }
            _ => Micros::MAX,
        }
    }

    fn own_call(&mut self, now: Micros, front: u32, out: &mut Vec<FarOutput>) {
        let next = self.next_at(now);
        self.next_offer.insert(front, next);
        // Without a link, a circuit, or a process that does anything, its caller hears so here: no front's call.
        if self.hung || !self.up.contains_key(&front) || self.choose(front).is_none() {
            return;
        }
        self.next_call += 1;
        let name = format!("{}|{front};{}", self.spec.host, self.next_call);
        let caller_timeout_us = self.spec.patience;
        let (class, publisher) = self.spec.flow;
        let call = name.clone();
        let offer =
            RecordEvent::Offer { front, call, first: None, class, publisher, hot: false, caller_timeout_us };
        out.push(FarOutput::Record(offer));
        self.seize(now, front, OwnCall { name, gives_up: now + caller_timeout_us, answered: false }, out);
    }

    /// A free circuit: those that this end controls first, each end beginning where the other one comes last.
    fn choose(&self, front: u32) -> Option<u16> {
        let free = |cic: &u16| {
            let place = (front, *cic);
            !self.circuits.contains_key(&place) && !self.blocked.contains_key(&place) && !self.blocking
        };
        let mut all = (self.spec.first..self.spec.first + self.spec.circuits).filter(free);
        let rest: Vec<_> = all.by_ref().collect();
        let own = rest.iter().find(|cic| !self.yields((front, **cic)));
        own.or(rest.last()).copied()
    }

    fn seize(&mut self, now: Micros, front: u32, call: OwnCall, out: &mut Vec<FarOutput>) {
        let Some(cic) = self.choose(front) else {
            // Yielded, and no other circuit: its caller hears that.
            return self.over(&call, cause::NO_CIRCUIT, out);
        };
        let own = call.name.split_once('|').map_or("", |(_, own)| own).as_bytes().to_vec();
        let number = 100 + self.rng.random_range(0..900u16);
        let digits = number.to_string().bytes().map(|digit| digit - b'0').collect();
        let called = CalledNumber { nature: 3, digits };
        let iam = Iam { called, category: 10, continuity: false, reference: own };
        self.circuits
            .insert((front, cic), Circuit::Seized(OwnCall { gives_up: call.gives_up.max(now), ..call }));
        self.send(front, &Message::iam(cic, &iam), out);
    }

    fn progressed(&mut self, now: Micros, place: Place, stands: bool, out: &mut Vec<FarOutput>) {
        let (Some(Circuit::Seized(call)) | Some(Circuit::Own(call, None))) = self.circuits.get(&place) else {
            return;
        };
        let mut call = call.clone();
        let over = stands.then(|| {
            call.answered = true;
            out.push(FarOutput::Record(RecordEvent::Answer {
                front: place.0,
                call: call.name.clone(),
                code: 2001,
            }));
            let mean = self.spec.hold as f64;
            let held = Exp::new(1.0).map_or(mean, |exp| exp.sample(&mut self.rng) * mean);
            now + held as Micros
        });
        self.circuits.insert(place, Circuit::Own(call, over));
    }

    /// What an own call's caller hears at its end.
    fn over(&self, call: &OwnCall, why: u8, out: &mut Vec<FarOutput>) {
        let front =
            call.name.split_once('|').and_then(|(_, own)| own.split(';').next()?.parse().ok()).unwrap_or(0);
        let name = call.name.clone();
        out.push(FarOutput::Record(if call.answered {
            RecordEvent::Dropped { front, call: name }
        } else {
            let code = if why == cause::SWITCHING_CONGESTION { 3004 } else { 5012 };
            RecordEvent::Answer { front, call: name, code }
        }));
    }

    fn circuit_due(&mut self, now: Micros, place: Place, out: &mut Vec<FarOutput>) {
        match self.circuits.get(&place).cloned() {
            Some(Circuit::Releasing(_)) => self.release(now, place, cause::RECOVERY_ON_TIMER_EXPIRY, out),
            Some(Circuit::Own(call, Some(_))) => {
                out.push(FarOutput::Record(RecordEvent::Hangup { front: place.0, call: call.name }));
                self.release(now, place, cause::NORMAL_CLEARING, out);
            }
            Some(Circuit::Seized(call) | Circuit::Own(call, None)) => {
                out.push(FarOutput::Record(RecordEvent::CallerTimeout { front: place.0, call: call.name }));
                self.release(now, place, cause::NO_ANSWER, out);
            }
            _ => {}
        }
    }

    // --- troubles ---

    fn command(&mut self, now: Micros, command: Command, out: &mut Vec<FarOutput>) {
        match command {
            Command::Slow(factor) => self.cpu.set_slowdown(factor),
            Command::Pause(span) => self.cpu.pause(now + span),
            Command::Hang(hung) => self.hung = hung,
            Command::LoseAnswers(share) => self.lose = share,
            Command::Die(back) => self.ends = Some((now, back)),
            // An exchange that drains blocks its circuits: calls on them go on.
            Command::Drain { by_dpr, stop_after, back_after } => {
                self.ends = Some((now + stop_after, back_after));
                self.blocking = by_dpr;
                if by_dpr {
                    let fronts: Vec<_> = self.spec.fronts.values().copied().collect();
                    for front in fronts {
                        let block = |first: u16, count: u16| {
                            let status = vec![true; usize::from(count)];
                            Message::with_range(
                                MessageType::Cgb,
                                first,
                                &Range { range: (count - 1) as u8, status },
                            )
                        };
                        self.ranges(front, block, out);
                    }
                }
            }
            Command::Cut(share) => {
                let rng = &mut self.rng;
                let standing = self.circuits.iter().filter_map(|(place, circuit)| match circuit {
                    Circuit::Theirs { attempt, stands: true } => Some((*place, attempt.clone())),
                    _ => None,
                });
                let cut: Vec<_> = standing.filter(|_| rng.random::<f64>() < share).collect();
                for (place, attempt) in cut {
                    out.push(FarOutput::Record(RecordEvent::Abort { server: self.spec.number, attempt }));
                    self.release(now, place, cause::TEMPORARY_FAILURE, out);
                }
            }
        }
    }
}

impl Circuit {
    fn due(&self) -> Micros {
        match self {
            Self::Theirs { .. } | Self::Resetting => Micros::MAX,
            Self::Seized(call) | Self::Own(call, None) => call.gives_up,
            Self::Own(_, Some(over)) => *over,
            Self::Releasing(at) => *at,
        }
    }
}
