//! Model of the exchange at the far end of trunk groups: its circuits towards each front, its processor, the
//! calls that it originates, and faults on command. Does no I/O and reads no clock.
//!
//! It handles ISUP messages without `baydrift-trunk`: the rule for dual seizure is implemented here a second
//! time, from Q.764, 2.9.1.4, so that tests reveal an error in the product's rule.

use std::collections::BTreeMap;

use baydrift::interface::Micros;
use baydrift_audit::RecordEvent;
use baydrift_isup::{cause, CalledNumber, CircuitState, Data, Iam, Message, MessageType, Processing, Range};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use crate::processor::{EnqueueOutcome, Processor, ProcessorSpec, Work};
use crate::server::Command;

/// Timer T1, at its minimum: a REL that is not answered by an RLC is repeated after this.
const T1: Micros = 15_000_000;
/// Maximum number of circuits in one range message.
const MAX_RANGE_CIRCUITS: u16 = 31;

/// Parameters of a far end.
#[derive(Debug, Clone)]
pub struct FarEndSpec {
    /// Server number in the pool.
    pub number: u16,
    /// Host name.
    pub host: String,
    /// Point code.
    pub point_code: u32,
    /// Ordinals of the fronts, by point code.
    pub fronts: BTreeMap<u32, u32>,
    /// First circuit identification code (CIC) towards each front.
    pub first_cic: u16,
    /// Number of circuits towards each front.
    pub circuits: u16,
    /// The processor that handles set-ups.
    pub processor: ProcessorSpec,
    /// Calls per second that it originates towards each front.
    pub calls_per_second: f64,
    /// Mean holding time of these calls.
    pub mean_hold: Micros,
    /// Time after which their callers abandon an unanswered call.
    pub caller_timeout: Micros,
    /// Class and publisher of these calls, for the record.
    pub flow: (usize, usize),
}

/// Input to a far end.
#[derive(Debug, Clone, PartialEq)]
pub enum FarEndInput {
    /// A front's signalling link is up.
    Up(u32),
    /// A front's signalling link is down.
    Down(u32),
    /// A packet was received from a front.
    Received(u32, Data),
    /// A fault, or its end.
    Command(Command),
    /// Sets the factor on the rate of originated calls; 0 stops them.
    Offer(f64),
    /// Time has passed.
    Tick,
}

/// Output of a far end.
#[derive(Debug, Clone, PartialEq)]
pub enum FarEndOutput {
    /// Send a packet to a front.
    Send(u32, Data),
    /// Add an event to the record.
    Record(RecordEvent),
    /// The process has exited; its links close.
    Stopped,
    /// A new process accepts links.
    Started,
}

/// State of a circuit towards one front; an idle circuit has none.
#[derive(Debug, Clone, PartialEq)]
enum Circuit {
    /// An outgoing call whose IAM was sent.
    Seized(OutgoingCall),
    /// An outgoing call that the front has acknowledged; once answered, with the time at which its caller
    /// hangs up.
    Outgoing(OutgoingCall, Option<Micros>),
    /// A call from the front.
    Incoming { attempt: String, answered: bool },
    /// A REL was sent; it is repeated at this time.
    Releasing(Micros),
    /// A GRS that covers the circuit was sent; an IAM that crosses it is ignored.
    Resetting,
}

/// A call that the far end originates.
#[derive(Debug, Clone, PartialEq)]
struct OutgoingCall {
    name: String,
    caller_timeout_at: Micros,
    answered: bool,
}

/// A circuit: the front's ordinal and the CIC.
type CircuitKey = (u32, u16);

/// The model; see the module documentation.
#[derive(Debug)]
pub struct FarEnd {
    spec: FarEndSpec,
    rng: Pcg64Mcg,
    cpu: Processor,
    /// Circuits that are not idle.
    circuits: BTreeMap<CircuitKey, Circuit>,
    /// Circuits blocked by the front.
    blocked: BTreeMap<CircuitKey, bool>,
    /// Whether this end blocks all its circuits.
    blocking: bool,
    /// Fronts whose signalling links are up.
    links_up: BTreeMap<u32, bool>,
    /// Set-ups at the processor, by job number: circuit and attempt.
    pending_setups: BTreeMap<u64, (CircuitKey, String)>,
    next_job: u64,
    next_call: u64,
    next_offer: BTreeMap<u32, Micros>,
    /// Factor on the rate of originated calls.
    rate_factor: f64,
    /// Share of answers that are lost.
    answer_loss: f64,
    hung: bool,
    /// When the process exits, and the delay until the next one starts.
    exit_at: Option<(Micros, Option<Micros>)>,
    /// While no process runs, when the next one starts.
    restart_at: Option<Micros>,
    /// Fronts to which a reset of all circuits must be sent after a restart.
    reset_due: BTreeMap<u32, bool>,
}

impl FarEnd {
    /// Creates a warm exchange; `seed` determines the calls that it originates.
    pub fn new(spec: FarEndSpec, seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            cpu: Processor::new(spec.processor, None),
            circuits: BTreeMap::new(),
            blocked: BTreeMap::new(),
            blocking: false,
            links_up: BTreeMap::new(),
            pending_setups: BTreeMap::new(),
            next_job: 0,
            next_call: 0,
            next_offer: BTreeMap::new(),
            rate_factor: 0.0,
            answer_loss: 0.0,
            hung: false,
            exit_at: None,
            restart_at: None,
            reset_due: BTreeMap::new(),
            spec,
        }
    }

    /// Whether a process is running and accepts links.
    pub fn listens(&self) -> bool {
        self.restart_at.is_none()
    }

    /// Host name.
    pub fn host(&self) -> &str {
        &self.spec.host
    }

    /// Number of circuits that are not idle.
    pub fn busy(&self) -> usize {
        self.circuits.len()
    }

    /// Latest time for the next [`FarEndInput::Tick`].
    pub fn due(&self) -> Micros {
        if let Some(at) = self.restart_at {
            return at;
        }
        let cpu = self.cpu.next_completion().filter(|_| !self.hung).unwrap_or(Micros::MAX);
        let exit = self.exit_at.map_or(Micros::MAX, |(at, _)| at);
        let offers = self.next_offer.values().min().copied().unwrap_or(Micros::MAX);
        let circuits = self.circuits.values().map(Circuit::due).min().unwrap_or(Micros::MAX);
        cpu.min(exit).min(offers).min(circuits)
    }

    /// Handles one input, then all events that are due at `now`; appends the outputs to `out`.
    pub fn handle(&mut self, now: Micros, input: FarEndInput, out: &mut Vec<FarEndOutput>) {
        if let Some(at) = self.restart_at {
            if let FarEndInput::Offer(factor) = input {
                self.rate_factor = factor;
            }
            if now < at {
                return;
            }
            self.start(now, out);
        }
        match input {
            FarEndInput::Up(front) => self.link_up(front, out),
            FarEndInput::Down(front) => {
                if self.links_up.remove(&front).is_some() {
                    out.push(FarEndOutput::Record(RecordEvent::Disconnected {
                        server: self.spec.number,
                        front,
                    }));
                    self.record_disconnect(front, out);
                }
            }
            FarEndInput::Received(front, data) => {
                if let Ok(message) = Message::read(&data.message) {
                    self.handle_message(now, front, &message, out);
                }
            }
            FarEndInput::Command(command) => self.apply_command(now, command, out),
            FarEndInput::Offer(factor) => self.offer(now, factor),
            FarEndInput::Tick => {}
        }
        while let Some(work) =
            self.cpu.next_completion().filter(|_| !self.hung).and_then(|_| self.cpu.pop_completed(now))
        {
            self.work_done(now, work, out);
        }
        let due: Vec<_> =
            self.circuits.iter().filter(|(_, circuit)| circuit.due() <= now).map(|(key, _)| *key).collect();
        due.into_iter().for_each(|key| self.circuit_due(now, key, out));
        let offers: Vec<_> = self.next_offer.iter().filter(|(_, at)| **at <= now).map(|(f, _)| *f).collect();
        offers.into_iter().for_each(|front| self.originate(now, front, out));
        if let Some((_, restart_after)) = self.exit_at.filter(|(at, _)| *at <= now) {
            self.stop(now, restart_after, out);
        }
    }

    fn start(&mut self, now: Micros, out: &mut Vec<FarEndOutput>) {
        self.restart_at = None;
        self.cpu = Processor::new(self.spec.processor, Some(now));
        self.reset_due = self.spec.fronts.values().map(|front| (*front, true)).collect();
        out.push(FarEndOutput::Record(RecordEvent::ServerStarted { server: self.spec.number, cold: true }));
        out.push(FarEndOutput::Started);
        self.offer(now, self.rate_factor);
    }

    fn stop(&mut self, now: Micros, restart_after: Option<Micros>, out: &mut Vec<FarEndOutput>) {
        out.push(FarEndOutput::Record(RecordEvent::ServerExited { server: self.spec.number }));
        self.circuits.clear();
        let links_up: Vec<_> = self.links_up.keys().copied().collect();
        links_up.into_iter().for_each(|front| self.record_disconnect(front, out));
        (self.pending_setups, self.links_up, self.next_offer) = Default::default();
        (self.hung, self.answer_loss, self.exit_at, self.blocking) = (false, 0.0, None, false);
        self.restart_at = Some(restart_after.map_or(Micros::MAX, |delay| now.saturating_add(delay)));
        out.push(FarEndOutput::Stopped);
    }

    /// Records that the callers here have lost their connection to the front, and with it all outstanding
    /// answers.
    fn record_disconnect(&self, front: u32, out: &mut Vec<FarEndOutput>) {
        out.push(FarEndOutput::Record(RecordEvent::ClientDisconnected {
            front,
            client: self.spec.host.clone(),
        }));
    }

    fn link_up(&mut self, front: u32, out: &mut Vec<FarEndOutput>) {
        self.links_up.insert(front, true);
        if self.reset_due.remove(&front).is_some() {
            let cics = self.spec.first_cic..self.spec.first_cic + self.spec.circuits;
            self.circuits.extend(cics.map(|cic| ((front, cic), Circuit::Resetting)));
            self.send_ranges(
                front,
                |first, count| {
                    Message::with_range(MessageType::Grs, first, &Range::without_status((count - 1) as u8))
                },
                out,
            );
        }
    }

    /// Sends a message for each range of the circuits towards a front.
    fn send_ranges(&self, front: u32, message: impl Fn(u16, u16) -> Message, out: &mut Vec<FarEndOutput>) {
        let (mut first, end) = (self.spec.first_cic, self.spec.first_cic + self.spec.circuits);
        while first < end {
            let count = MAX_RANGE_CIRCUITS.min(end - first);
            self.send(front, &message(first, count), out);
            first += count;
        }
    }

    fn send(&self, front: u32, message: &Message, out: &mut Vec<FarEndOutput>) {
        let to = self.spec.fronts.iter().find(|(_, ordinal)| **ordinal == front);
        let (Some((point, _)), Ok(octets)) = (to, message.write()) else { return };
        if self.hung || !self.links_up.contains_key(&front) {
            return;
        }
        let data =
            Data { opc: self.spec.point_code, dpc: *point, sls: message.cic as u8 & 0x0f, message: octets };
        out.push(FarEndOutput::Send(front, data));
    }

    /// Sends a message without parameters.
    fn send_plain(&self, key: CircuitKey, kind: MessageType, out: &mut Vec<FarEndOutput>) {
        self.send(key.0, &Message::new(kind, key.1), out);
    }

    /// Whether this end gives way in a dual seizure of the circuit. The end with the higher point code
    /// controls the even circuits, the other end the odd ones (Q.764, 2.9.1.4).
    fn yields(&self, (front, cic): CircuitKey) -> bool {
        let front_point =
            self.spec.fronts.iter().find(|(_, ordinal)| **ordinal == front).map_or(0, |(p, _)| *p);
        let controls_even = self.spec.point_code > front_point;
        controls_even != (cic % 2 == 0)
    }

    // --- messages ---

    fn handle_message(&mut self, now: Micros, front: u32, message: &Message, out: &mut Vec<FarEndOutput>) {
        let key = (front, message.cic);
        if !(self.spec.first_cic..self.spec.first_cic + self.spec.circuits).contains(&message.cic) {
            return self.send_plain(key, MessageType::Ucic, out);
        }
        match message.kind {
            MessageType::Iam => {
                if let Some(iam) = message.as_iam() {
                    self.handle_iam(now, key, &iam, out);
                }
            }
            MessageType::Acm | MessageType::Anm | MessageType::Con => {
                self.handle_progress(now, key, message.kind != MessageType::Acm, out)
            }
            MessageType::Rel => {
                self.handle_release(now, key, message.cause().unwrap_or(cause::NORMAL_UNSPECIFIED), out)
            }
            MessageType::Rlc => {
                if let Some(Circuit::Releasing(_)) = self.circuits.get(&key) {
                    self.circuits.remove(&key);
                }
            }
            MessageType::Rsc => {
                self.clear_circuit(key, out);
                self.send_plain(key, MessageType::Rlc, out);
            }
            MessageType::Grs => {
                let Ok(range) = message.range() else { return };
                let count = range.circuits() as u16;
                (message.cic..message.cic.saturating_add(count))
                    .for_each(|cic| self.clear_circuit((front, cic), out));
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
                self.blocked.insert(key, true);
                self.send_plain(key, MessageType::Bla, out);
            }
            MessageType::Ubl => {
                self.blocked.remove(&key);
                self.send_plain(key, MessageType::Uba, out);
            }
            MessageType::Cqm => {
                let Ok(range) = message.range() else { return };
                let cics = message.cic..message.cic.saturating_add(range.circuits() as u16);
                let states: Vec<_> = cics.map(|cic| self.circuit_state((front, cic))).collect();
                self.send(front, &Message::cqr(message.cic, &states), out);
            }
            _ => {}
        }
    }

    fn circuit_state(&self, key: CircuitKey) -> CircuitState {
        let processing = match self.circuits.get(&key) {
            _ if !(self.spec.first_cic..self.spec.first_cic + self.spec.circuits).contains(&key.1) => {
                Processing::Unequipped
            }
            None => Processing::Idle,
            Some(Circuit::Seized(_) | Circuit::Outgoing(..)) => Processing::OutgoingBusy,
            Some(Circuit::Incoming { .. }) => Processing::IncomingBusy,
            Some(Circuit::Releasing(_) | Circuit::Resetting) => Processing::Transient,
        };
        let remotely_blocked = self.blocked.contains_key(&key);
        CircuitState { processing, locally_blocked: self.blocking, remotely_blocked }
    }

    fn handle_iam(&mut self, now: Micros, key: CircuitKey, iam: &Iam, out: &mut Vec<FarEndOutput>) {
        if self.blocking && !self.circuits.contains_key(&key) {
            // The IAM crossed the blocking, so the blocking is repeated.
            return self.send_plain(key, MessageType::Blo, out);
        }
        let yielded = match self.circuits.get(&key) {
            None => None,
            Some(Circuit::Seized(call)) if self.yields(key) => Some(call.clone()),
            // This end's call proceeds, or the IAM is a duplicate.
            Some(_) => return,
        };
        let reference = String::from_utf8_lossy(&iam.reference);
        let (attempt, call) = reference.split_once(' ').unwrap_or((&reference, ""));
        let (server, front, attempt) = (self.spec.number, key.0, attempt.to_owned());
        let event = RecordEvent::SetUp {
            server,
            front,
            call: call.to_owned(),
            attempt: attempt.clone(),
            redirected: false,
        };
        out.push(FarEndOutput::Record(event));
        self.circuits.insert(key, Circuit::Incoming { attempt: attempt.clone(), answered: false });
        let job = self.next_job;
        self.next_job += 1;
        self.pending_setups.insert(job, (key, attempt));
        if self.cpu.set_up(now, job) == EnqueueOutcome::Overloaded {
            out.push(FarEndOutput::Record(RecordEvent::ServerOverloaded { server }));
        }
        if let Some(call) = yielded {
            self.seize(now, front, call, out);
        }
    }

    fn work_done(&mut self, now: Micros, work: Work, out: &mut Vec<FarEndOutput>) {
        let (job, refused) = match work {
            Work::SetUp(job) => (job, false),
            Work::Reject(job) => (job, true),
            Work::Release(_) => return,
        };
        let Some((key, attempt)) = self.pending_setups.remove(&job) else { return };
        let is_pending = matches!(
            self.circuits.get(&key),
            Some(Circuit::Incoming { attempt: pending, answered: false }) if *pending == attempt
        );
        if !is_pending {
            return;
        }
        let lost = !refused && self.rng.random::<f64>() < self.answer_loss;
        let code = if refused { 3004 } else { 2001 };
        out.push(FarEndOutput::Record(RecordEvent::Reply {
            server: self.spec.number,
            attempt: attempt.clone(),
            code,
            lost,
        }));
        if refused {
            return self.release(now, key, cause::SWITCHING_CONGESTION, out);
        }
        self.circuits.insert(key, Circuit::Incoming { attempt, answered: true });
        if !lost {
            self.send(key.0, &Message::acm(key.1), out);
            self.send_plain(key, MessageType::Anm, out);
        }
    }

    fn handle_release(&mut self, now: Micros, key: CircuitKey, cause_value: u8, out: &mut Vec<FarEndOutput>) {
        if let (Some(Circuit::Seized(call)), cause::CIRCUIT_NOT_AVAILABLE) =
            (self.circuits.get(&key).cloned(), cause_value)
        {
            // The call is retried on another circuit; this one is excluded while it is chosen.
            self.circuits.remove(&key);
            self.send_plain(key, MessageType::Rlc, out);
            self.blocked.insert(key, true);
            self.seize(now, key.0, call, out);
            self.blocked.remove(&key);
            return;
        }
        if !matches!(self.circuits.get(&key), Some(Circuit::Releasing(_))) {
            self.free(key, cause_value, out);
        }
        self.send_plain(key, MessageType::Rlc, out);
    }

    fn clear_circuit(&mut self, key: CircuitKey, out: &mut Vec<FarEndOutput>) {
        self.blocked.remove(&key);
        self.free(key, cause::TEMPORARY_FAILURE, out);
    }

    /// Frees a circuit that the front has released.
    fn free(&mut self, key: CircuitKey, cause_value: u8, out: &mut Vec<FarEndOutput>) {
        match self.circuits.remove(&key) {
            Some(Circuit::Incoming { attempt, .. }) => {
                out.push(FarEndOutput::Record(RecordEvent::Release { server: self.spec.number, attempt }));
            }
            Some(Circuit::Seized(call) | Circuit::Outgoing(call, _)) => {
                self.end_call(&call, cause_value, out)
            }
            _ => {}
        }
    }

    fn release(&mut self, now: Micros, key: CircuitKey, cause_value: u8, out: &mut Vec<FarEndOutput>) {
        self.circuits.insert(key, Circuit::Releasing(now + T1));
        self.send(key.0, &Message::with_cause(MessageType::Rel, key.1, cause_value), out);
    }

    // --- originated calls ---

    fn offer(&mut self, now: Micros, factor: f64) {
        self.rate_factor = factor;
        let fronts: Vec<_> = self.spec.fronts.values().copied().collect();
        self.next_offer = fronts.into_iter().map(|front| (front, self.next_offer_at(now))).collect();
        self.next_offer.retain(|_, at| *at != Micros::MAX);
    }

    fn next_offer_at(&mut self, now: Micros) -> Micros {
        match Exp::new(self.spec.calls_per_second * self.rate_factor) {
            Ok(gap) if self.spec.calls_per_second * self.rate_factor > 0.0 => {
                now + (gap.sample(&mut self.rng) * 1e6) as Micros
            }
            _ => Micros::MAX,
        }
    }

    fn originate(&mut self, now: Micros, front: u32, out: &mut Vec<FarEndOutput>) {
        let next = self.next_offer_at(now);
        self.next_offer.insert(front, next);
        // Without a link, a free circuit or a responsive process the call fails here and never reaches a
        // front, so it is not recorded.
        if self.hung || !self.links_up.contains_key(&front) || self.choose(front).is_none() {
            return;
        }
        self.next_call += 1;
        let name = format!("{}|{front};{}", self.spec.host, self.next_call);
        let caller_timeout_us = self.spec.caller_timeout;
        let (class, publisher) = self.spec.flow;
        let call = name.clone();
        let offer =
            RecordEvent::Offer { front, call, first: None, class, publisher, hot: false, caller_timeout_us };
        out.push(FarEndOutput::Record(offer));
        self.seize(
            now,
            front,
            OutgoingCall { name, caller_timeout_at: now + caller_timeout_us, answered: false },
            out,
        );
    }

    /// Chooses a free circuit: the first one that this end controls, else the last of the others, so that the
    /// two ends start from opposite sides.
    fn choose(&self, front: u32) -> Option<u16> {
        let is_free = |cic: &u16| {
            let key = (front, *cic);
            !self.circuits.contains_key(&key) && !self.blocked.contains_key(&key) && !self.blocking
        };
        let mut candidates = (self.spec.first_cic..self.spec.first_cic + self.spec.circuits).filter(is_free);
        let free: Vec<_> = candidates.by_ref().collect();
        let controlled = free.iter().find(|cic| !self.yields((front, **cic)));
        controlled.or(free.last()).copied()
    }

    fn seize(&mut self, now: Micros, front: u32, call: OutgoingCall, out: &mut Vec<FarEndOutput>) {
        let Some(cic) = self.choose(front) else {
            // After a lost dual seizure or a refused circuit, with no other circuit free.
            return self.end_call(&call, cause::NO_CIRCUIT, out);
        };
        let reference = call.name.split_once('|').map_or("", |(_, reference)| reference).as_bytes().to_vec();
        let number = 100 + self.rng.random_range(0..900u16);
        let digits = number.to_string().bytes().map(|digit| digit - b'0').collect();
        let called = CalledNumber { nature: 3, digits };
        let iam = Iam { called, category: 10, continuity: false, reference };
        self.circuits.insert(
            (front, cic),
            Circuit::Seized(OutgoingCall { caller_timeout_at: call.caller_timeout_at.max(now), ..call }),
        );
        self.send(front, &Message::iam(cic, &iam), out);
    }

    fn handle_progress(&mut self, now: Micros, key: CircuitKey, answered: bool, out: &mut Vec<FarEndOutput>) {
        let (Some(Circuit::Seized(call)) | Some(Circuit::Outgoing(call, None))) = self.circuits.get(&key)
        else {
            return;
        };
        let mut call = call.clone();
        let hang_up_at = answered.then(|| {
            call.answered = true;
            out.push(FarEndOutput::Record(RecordEvent::Answer {
                front: key.0,
                call: call.name.clone(),
                code: 2001,
            }));
            let mean = self.spec.mean_hold as f64;
            let hold = Exp::new(1.0).map_or(mean, |exp| exp.sample(&mut self.rng) * mean);
            now + hold as Micros
        });
        self.circuits.insert(key, Circuit::Outgoing(call, hang_up_at));
    }

    /// Records the end of an originated call as its caller sees it.
    fn end_call(&self, call: &OutgoingCall, cause_value: u8, out: &mut Vec<FarEndOutput>) {
        let front = call
            .name
            .split_once('|')
            .and_then(|(_, reference)| reference.split(';').next()?.parse().ok())
            .unwrap_or(0);
        let name = call.name.clone();
        out.push(FarEndOutput::Record(if call.answered {
            RecordEvent::Dropped { front, call: name }
        } else {
            let code = if cause_value == cause::SWITCHING_CONGESTION { 3004 } else { 5012 };
            RecordEvent::Answer { front, call: name, code }
        }));
    }

    fn circuit_due(&mut self, now: Micros, key: CircuitKey, out: &mut Vec<FarEndOutput>) {
        match self.circuits.get(&key).cloned() {
            Some(Circuit::Releasing(_)) => self.release(now, key, cause::RECOVERY_ON_TIMER_EXPIRY, out),
            Some(Circuit::Outgoing(call, Some(_))) => {
                out.push(FarEndOutput::Record(RecordEvent::Hangup { front: key.0, call: call.name }));
                self.release(now, key, cause::NORMAL_CLEARING, out);
            }
            Some(Circuit::Seized(call) | Circuit::Outgoing(call, None)) => {
                out.push(FarEndOutput::Record(RecordEvent::CallerTimeout { front: key.0, call: call.name }));
                self.release(now, key, cause::NO_ANSWER, out);
            }
            _ => {}
        }
    }

    // --- faults ---

    fn apply_command(&mut self, now: Micros, command: Command, out: &mut Vec<FarEndOutput>) {
        match command {
            Command::Slow(factor) => self.cpu.set_slowdown(factor),
            Command::Pause(span) => self.cpu.pause(now + span),
            Command::Hang(hung) => self.hung = hung,
            Command::LoseAnswers(share) => self.answer_loss = share,
            Command::Die(restart_after) => self.exit_at = Some((now, restart_after)),
            // A draining exchange blocks its circuits; calls on them continue.
            Command::Drain { by_dpr, stop_after, back_after } => {
                self.exit_at = Some((now + stop_after, back_after));
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
                        self.send_ranges(front, block, out);
                    }
                }
            }
            Command::Cut(share) => {
                let rng = &mut self.rng;
                let established = self.circuits.iter().filter_map(|(key, circuit)| match circuit {
                    Circuit::Incoming { attempt, answered: true } => Some((*key, attempt.clone())),
                    _ => None,
                });
                let dropped: Vec<_> = established.filter(|_| rng.random::<f64>() < share).collect();
                for (key, attempt) in dropped {
                    out.push(FarEndOutput::Record(RecordEvent::Abort { server: self.spec.number, attempt }));
                    self.release(now, key, cause::TEMPORARY_FAILURE, out);
                }
            }
        }
    }
}

impl Circuit {
    fn due(&self) -> Micros {
        match self {
            Self::Incoming { .. } | Self::Resetting => Micros::MAX,
            Self::Seized(call) | Self::Outgoing(call, None) => call.caller_timeout_at,
            Self::Outgoing(_, Some(hang_up_at)) => *hang_up_at,
            Self::Releasing(at) => *at,
        }
    }
}
