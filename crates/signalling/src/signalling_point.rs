//! The signalling point of an exchange: connects incoming and outgoing packets with its trunk groups.

use std::collections::BTreeMap;

use baydrift::interface::Micros;
use baydrift_isup::{cause, Data, Error, Message, MessageType};
use baydrift_trunk::rules::RouteChoice;
use baydrift_trunk::{CallKey, Cic, GroupId, Output, Setup, Trunks};

use crate::map::{message_to_signal, signal_to_message, Decoded, MapError};

/// Why a packet was rejected. A rejected packet changes no trunk state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SignallingError {
    /// The packet is for another point code, or from one that no trunk group leads to.
    #[error("packet from point code {opc} to {dpc}: no trunk group of this exchange")]
    UnknownRoute {
        /// Originating point code of the packet.
        opc: u32,
        /// Destination point code of the packet.
        dpc: u32,
    },
    /// The message is malformed or of an unknown type.
    #[error(transparent)]
    Message(#[from] Error),
    /// The message cannot be converted to a signal.
    #[error(transparent)]
    Map(#[from] MapError),
}

/// Packet counters since start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SignallingCounts {
    /// Messages passed to the trunks as signals.
    pub signals: u64,
    /// Valid messages that trunks do not handle.
    pub ignored: u64,
    /// Packets rejected.
    pub refused: u64,
    /// CFN messages sent for unknown message types.
    pub confusions: u64,
}

/// Packets to send, and trunk outputs for call control.
pub type Outputs = (Vec<Data>, Vec<Output>);

/// The signalling point of an exchange with its trunk groups. Several groups may lead to one far point; a CIC
/// is unique among them.
#[derive(Debug)]
pub struct SignallingPoint {
    own_point: u32,
    /// Far point code and CICs of each group.
    groups: Vec<(u32, std::ops::Range<Cic>)>,
    /// Groups that lead to each far point code.
    by_point: BTreeMap<u32, Vec<GroupId>>,
    trunks: Trunks,
    counts: SignallingCounts,
    /// Buffer for the outputs of one request, kept to avoid allocations.
    scratch: Vec<Output>,
}

impl SignallingPoint {
    /// Creates a signalling point. `groups` lists the far point code and CICs of each group of `trunks`, in
    /// the same order.
    pub fn new(own_point: u32, groups: Vec<(u32, std::ops::Range<Cic>)>, trunks: Trunks) -> Self {
        let mut by_point: BTreeMap<u32, Vec<GroupId>> = BTreeMap::new();
        for (index, (far_point, _)) in groups.iter().enumerate() {
            by_point.entry(*far_point).or_default().push(GroupId(index as u16));
        }
        Self { own_point, groups, by_point, trunks, counts: SignallingCounts::default(), scratch: Vec::new() }
    }

    /// The exchange's trunk groups.
    pub fn trunks(&self) -> &Trunks {
        &self.trunks
    }

    /// Packet counters since start.
    pub fn counts(&self) -> SignallingCounts {
        self.counts
    }

    /// Handles a received packet.
    ///
    /// # Errors
    /// The reason why the packet was rejected; `outputs` may still hold a CFN for its sender.
    pub fn handle_packet(
        &mut self,
        now: Micros,
        data: &Data,
        outputs: &mut Outputs,
    ) -> Result<(), SignallingError> {
        let result = self.process_packet(now, data, outputs);
        self.counts.refused += u64::from(result.is_err());
        result
    }

    fn process_packet(
        &mut self,
        now: Micros,
        data: &Data,
        outputs: &mut Outputs,
    ) -> Result<(), SignallingError> {
        let (opc, dpc) = (data.opc, data.dpc);
        let groups = self.by_point.get(&opc).filter(|_| dpc == self.own_point);
        let Some(groups) = groups else { return Err(SignallingError::UnknownRoute { opc, dpc }) };
        let message = match Message::read(&data.message) {
            Ok(message) => message,
            Err(Error::Type(code)) => {
                self.on_unknown_type(data, outputs);
                return Err(Error::Type(code).into());
            }
            Err(error) => return Err(error.into()),
        };
        let has_circuit = |group: &&GroupId| self.groups[usize::from(group.0)].1.contains(&message.cic);
        // An unknown CIC is passed to the first group, which answers that it is unequipped.
        let group = groups.iter().find(has_circuit).or_else(|| groups.first()).copied();
        let Some(group) = group else { return Err(SignallingError::UnknownRoute { opc, dpc }) };
        match message_to_signal(&message)? {
            Decoded::Signal(signal) => {
                self.counts.signals += 1;
                self.apply(outputs, |trunks, out| trunks.handle_signal(now, group, message.cic, signal, out));
            }
            Decoded::Ignored(_) => self.counts.ignored += 1,
        }
        Ok(())
    }

    /// Handles a message of unknown type: answers with a CFN if its compatibility information asks for a
    /// notification, or if it has none (Q.764, 2.9.5.2).
    fn on_unknown_type(&mut self, data: &Data, outputs: &mut Outputs) {
        let Ok((cic, _, compatibility)) = Message::read_unknown(&data.message) else { return };
        if compatibility.is_none_or(|instruction| instruction.notify) {
            self.counts.confusions += 1;
            let cfn = Message::with_cause(MessageType::Cfn, cic, cause::MESSAGE_TYPE_UNKNOWN);
            if let Ok(octets) = cfn.write() {
                outputs.0.push(self.packet(data.opc, cic, octets));
            }
        }
    }

    fn packet(&self, far_point: u32, cic: Cic, message: Vec<u8>) -> Data {
        // The signalling link selection is the low bits of the CIC, so that all messages of a circuit take
        // the same link (Q.704, 14.2.2).
        Data { opc: self.own_point, dpc: far_point, sls: cic as u8 & 0x0f, message }
    }

    /// Runs a request on the trunks and converts their signals to packets.
    fn apply(&mut self, outputs: &mut Outputs, request: impl FnOnce(&mut Trunks, &mut Vec<Output>)) {
        let mut scratch = std::mem::take(&mut self.scratch);
        request(&mut self.trunks, &mut scratch);
        for output in scratch.drain(..) {
            let Output::Send { group, cic, signal } = output else {
                outputs.1.push(output);
                continue;
            };
            let far_point = self.groups.get(usize::from(group.0)).map(|(point, _)| *point);
            // Signals of the trunks always convert: their ranges are within a message's limits.
            let octets = signal_to_message(cic, &signal).and_then(|message| Ok(message.write()?));
            if let (Some(far_point), Ok(octets)) = (far_point, octets) {
                outputs.0.push(self.packet(far_point, cic, octets));
            }
        }
        self.scratch = scratch;
    }

    /// Seizes a circuit for a call.
    pub fn seize(
        &mut self,
        now: Micros,
        call: CallKey,
        group: GroupId,
        setup: Setup,
        choice: RouteChoice,
        outputs: &mut Outputs,
    ) {
        self.apply(outputs, |trunks, out| trunks.seize(now, call, group, setup, choice, out));
    }

    /// Accepts an incoming call.
    pub fn accept(&mut self, call: CallKey, outputs: &mut Outputs) {
        self.apply(outputs, |trunks, out| trunks.accept(call, out));
    }

    /// Answers an incoming call.
    pub fn answer(&mut self, call: CallKey, outputs: &mut Outputs) {
        self.apply(outputs, |trunks, out| trunks.answer(call, out));
    }

    /// Releases or rejects a call.
    pub fn release(&mut self, now: Micros, call: CallKey, cause: u8, outputs: &mut Outputs) {
        self.apply(outputs, |trunks, out| trunks.release(now, call, cause, out));
    }

    /// Blocks or unblocks a circuit.
    pub fn block(&mut self, now: Micros, group: GroupId, cic: Cic, blocked: bool, outputs: &mut Outputs) {
        self.apply(outputs, |trunks, out| trunks.block(now, group, cic, blocked, out));
    }

    /// Resets all circuits of a group, as after a restart.
    pub fn reset(&mut self, now: Micros, group: GroupId, outputs: &mut Outputs) {
        self.apply(outputs, |trunks, out| trunks.reset(now, group, out));
    }

    /// Records whether a far point is reachable.
    pub fn set_reachable(&mut self, now: Micros, far_point: u32, reachable: bool, outputs: &mut Outputs) {
        let groups = self.by_point.get(&far_point).cloned().unwrap_or_default();
        for group in groups {
            self.apply(outputs, |trunks, out| trunks.set_reachable(now, group, reachable, out));
        }
    }

    /// Latest time at which [`SignallingPoint::tick`] must be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        self.trunks.next_wake()
    }

    /// Handles all timers that have expired.
    pub fn tick(&mut self, now: Micros, outputs: &mut Outputs) {
        self.apply(outputs, |trunks, out| trunks.tick(now, out));
    }
}
