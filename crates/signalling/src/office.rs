//! An exchange's end of its signalling: packets in, packets out, the trunks between.

use std::collections::BTreeMap;

use baydrift::interface::Micros;
use baydrift_isup::{cause, Data, Error, Message, MessageType};
use baydrift_trunk::rules::RouteChoice;
use baydrift_trunk::{CallKey, Cic, GroupId, Output, Setup, Trunks};

use crate::map::{message, signal, MapError, Meant};

/// Why a packet was not taken. Nothing of it was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SignallingError {
    /// It is for another point code, or from one that no group leads to.
    #[error("from point {opc} to {dpc}: no trunk group of this exchange")]
    Stranger {
        /// Its originating point code.
        opc: u32,
        /// Its destination point code.
        dpc: u32,
    },
    /// Its message cannot be read.
    #[error(transparent)]
    Message(#[from] Error),
    /// Its message is no signal.
    #[error(transparent)]
    Map(#[from] MapError),
}

/// What has happened so far; each only grows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SignallingCounts {
    /// Messages that were signals.
    pub signals: u64,
    /// Messages read and of no consequence.
    pub passed_over: u64,
    /// Packets that were not taken.
    pub refused: u64,
    /// Notices of what is not known (CFN).
    pub confusions: u64,
}

/// What is to be done: a packet to a far point, or an output for the call side.
pub type Done = (Vec<Data>, Vec<Output>);

/// See the module's page. Several groups may lead to one far point; a circuit's code is unique among them.
#[derive(Debug)]
pub struct SignallingPoint {
    own_point: u32,
    /// Each group's far point and circuits.
    groups: Vec<(u32, std::ops::Range<Cic>)>,
    by_point: BTreeMap<u32, Vec<GroupId>>,
    trunks: Trunks,
    counts: SignallingCounts,
    seen: Vec<Output>,
}

impl SignallingPoint {
    /// An office of these groups: far point and circuits of each, in the order in which `trunks` has them.
    pub fn new(own_point: u32, groups: Vec<(u32, std::ops::Range<Cic>)>, trunks: Trunks) -> Self {
        let mut by_point: BTreeMap<u32, Vec<GroupId>> = BTreeMap::new();
        for (place, (far, _)) in groups.iter().enumerate() {
            by_point.entry(*far).or_default().push(GroupId(place as u16));
        }
        Self { own_point, groups, by_point, trunks, counts: SignallingCounts::default(), seen: Vec::new() }
    }

    /// Its trunks.
    pub fn trunks(&self) -> &Trunks {
        &self.trunks
    }

    /// What has happened.
    pub fn counts(&self) -> SignallingCounts {
        self.counts
    }

    /// A packet came.
    ///
    /// # Errors
    /// Why it was not taken; `done` may still hold a notice for its sender.
    pub fn handle_packet(&mut self, now: Micros, data: &Data, done: &mut Done) -> Result<(), SignallingError> {
        let taken = self.take(now, data, done);
        self.counts.refused += u64::from(taken.is_err());
        taken
    }

    fn take(&mut self, now: Micros, data: &Data, done: &mut Done) -> Result<(), SignallingError> {
        let (opc, dpc) = (data.opc, data.dpc);
        let groups = self.by_point.get(&opc).filter(|_| dpc == self.own_point);
        let Some(groups) = groups else { return Err(SignallingError::Stranger { opc, dpc }) };
        let message = match Message::read(&data.message) {
            Ok(message) => message,
            Err(Error::Type(code)) => {
                self.confused(data, done);
                return Err(Error::Type(code).into());
            }
            Err(error) => return Err(error.into()),
        };
        let has = |group: &&GroupId| self.groups[usize::from(group.0)].1.contains(&message.cic);
        // A circuit of no group belongs to the first one, which says that it is not equipped.
        let group = groups.iter().find(has).or_else(|| groups.first()).copied();
        let Some(group) = group else { return Err(SignallingError::Stranger { opc, dpc }) };
        match signal(&message)? {
            Meant::Signal(signal) => {
                self.counts.signals += 1;
                self.with(done, |trunks, out| trunks.handle_signal(now, group, message.cic, signal, out));
            }
            Meant::Nothing(_) => self.counts.passed_over += 1,
        }
        Ok(())
    }

    /// A message whose type is not known: its sender is told where it wants that, or says nothing about it
    /// (Q.764, 2.9.5.2).
    fn confused(&mut self, data: &Data, done: &mut Done) {
        let Ok((cic, _, wanted)) = Message::read_unknown(&data.message) else { return };
        if wanted.is_none_or(|wanted| wanted.notify) {
            self.counts.confusions += 1;
            let cfn = Message::with_cause(MessageType::Cfn, cic, cause::MESSAGE_TYPE_UNKNOWN);
            if let Ok(octets) = cfn.write() {
                done.0.push(self.data(data.opc, cic, octets));
            }
        }
    }

    fn data(&self, far: u32, cic: Cic, message: Vec<u8>) -> Data {
        // The low bits of the circuit's code, so that one circuit's messages go one way (Q.704, 14.2.2).
        Data { opc: self.own_point, dpc: far, sls: cic as u8 & 0x0f, message }
    }

    /// Lets the trunks do something; what they want sent goes out as packets.
    fn with(&mut self, done: &mut Done, act: impl FnOnce(&mut Trunks, &mut Vec<Output>)) {
        let mut seen = std::mem::take(&mut self.seen);
        act(&mut self.trunks, &mut seen);
        for output in seen.drain(..) {
            let Output::Send { group, cic, signal } = output else {
                done.1.push(output);
                continue;
            };
            let far = self.groups.get(usize::from(group.0)).map(|(far, _)| *far);
            // Signals of the trunks have ranges that a message can name, and numbers that fit.
            let octets = message(cic, &signal).and_then(|message| Ok(message.write()?));
            if let (Some(far), Ok(octets)) = (far, octets) {
                done.0.push(self.data(far, cic, octets));
            }
        }
        self.seen = seen;
    }

    /// Seizes a circuit for a call.
    pub fn seize(
        &mut self,
        now: Micros,
        call: CallKey,
        group: GroupId,
        setup: Setup,
        claim: RouteChoice,
        done: &mut Done,
    ) {
        self.with(done, |trunks, out| trunks.seize(now, call, group, setup, claim, out));
    }

    /// Takes an incoming call.
    pub fn accept(&mut self, call: CallKey, done: &mut Done) {
        self.with(done, |trunks, out| trunks.accept(call, out));
    }

    /// An incoming call stands.
    pub fn answer(&mut self, call: CallKey, done: &mut Done) {
        self.with(done, |trunks, out| trunks.answer(call, out));
    }

    /// The call side is done with a call.
    pub fn release(&mut self, now: Micros, call: CallKey, cause: u8, done: &mut Done) {
        self.with(done, |trunks, out| trunks.release(now, call, cause, out));
    }

    /// Blocks a circuit, or ends that.
    pub fn block(&mut self, now: Micros, group: GroupId, cic: Cic, blocked: bool, done: &mut Done) {
        self.with(done, |trunks, out| trunks.block(now, group, cic, blocked, out));
    }

    /// Resets a group, as after a start.
    pub fn reset(&mut self, now: Micros, group: GroupId, done: &mut Done) {
        self.with(done, |trunks, out| trunks.reset(now, group, out));
    }

    /// A far point can be reached, or cannot.
    pub fn set_reachable(&mut self, now: Micros, far: u32, reachable: bool, done: &mut Done) {
        let groups = self.by_point.get(&far).cloned().unwrap_or_default();
        for group in groups {
            self.with(done, |trunks, out| trunks.set_reachable(now, group, reachable, out));
        }
    }

    /// When [`SignallingPoint::tick`] is wanted at the latest.
    pub fn next_wake(&self) -> Option<Micros> {
        self.trunks.next_wake()
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, done: &mut Done) {
        self.with(done, |trunks, out| trunks.tick(now, out));
    }
}
