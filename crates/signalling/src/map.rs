//! Conversion between trunk signals and ISUP messages.

use std::sync::Arc;

use baydrift_isup::{param, CalledNumber, CircuitState, Error, Iam, Message, MessageType, Processing, Range};
use baydrift_trunk::{Cic, Processing as TrunkProcessing, ReportedState, Setup, Signal};

/// Why a message cannot be converted to a signal, or a signal to a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MapError {
    /// A parameter is missing or malformed.
    #[error(transparent)]
    Message(#[from] Error),
    /// The called party number or another mandatory parameter of an IAM is missing or malformed.
    #[error("called party number or another mandatory parameter of an IAM is missing or malformed")]
    Number,
    /// Number of circuits in a range outside the limits of a message.
    #[error("a circuit range has {0} circuits; 1 to 32 are allowed")]
    Range(usize),
}

/// Result of decoding a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decoded {
    /// A signal for its circuit.
    Signal(Signal),
    /// Valid, but not handled by trunks: overlap digits, suspension, continuity, confusion, loop prevention.
    Ignored(MessageType),
}

/// Calling party's category of an ordinary subscriber (Q.763, 3.11).
const CATEGORY_ORDINARY: u8 = 10;
/// Maximum number of circuits in a range (Q.763, 3.43: a GRS's range is 1 to 31, a CQM's 0 to 31).
const RANGE_MAX_CIRCUITS: usize = 32;

/// Range field of a message for a number of circuits.
fn range_field(circuits: usize) -> Result<u8, MapError> {
    match circuits {
        1..=RANGE_MAX_CIRCUITS => Ok((circuits - 1) as u8),
        _ => Err(MapError::Range(circuits)),
    }
}

fn ranged_message(kind: MessageType, cic: Cic, status: &[bool]) -> Result<Message, MapError> {
    let range = Range { range: range_field(status.len())?, status: status.to_vec() };
    Ok(Message::with_range(kind, cic, &range))
}

/// Converts a signal to a message.
///
/// # Errors
/// The signal's range has no circuit, or more circuits than a message may name.
pub fn signal_to_message(cic: Cic, signal: &Signal) -> Result<Message, MapError> {
    let plain = |kind| Ok(Message::new(kind, cic));
    match signal {
        Signal::Seize(setup) => Ok(Message::iam(
            cic,
            &Iam {
                called: CalledNumber { nature: 3, digits: setup.number.to_vec() },
                category: CATEGORY_ORDINARY,
                continuity: false,
                reference: setup.reference.to_vec(),
            },
        )),
        Signal::Accepted => Ok(Message::acm(cic)),
        Signal::Answered => plain(MessageType::Anm),
        // Event information 2, progress (Q.763, 3.21).
        Signal::Progress => Ok(Message::new(MessageType::Cpg, cic).with(param::EVENT, [2])),
        Signal::Release(cause) => Ok(Message::with_cause(MessageType::Rel, cic, *cause)),
        Signal::ReleaseComplete => plain(MessageType::Rlc),
        Signal::Reset => plain(MessageType::Rsc),
        Signal::Block => plain(MessageType::Blo),
        Signal::BlockAck => plain(MessageType::Bla),
        Signal::Unblock => plain(MessageType::Ubl),
        Signal::UnblockAck => plain(MessageType::Uba),
        Signal::Unequipped => plain(MessageType::Ucic),
        Signal::GroupReset(count) => Ok(Message::with_range(
            MessageType::Grs,
            cic,
            &Range::without_status(range_field(usize::from(*count))?),
        )),
        Signal::Query(count) => Ok(Message::with_range(
            MessageType::Cqm,
            cic,
            &Range::without_status(range_field(usize::from(*count))?),
        )),
        Signal::GroupResetAck(status) => ranged_message(MessageType::Gra, cic, status),
        Signal::GroupBlock(status) => ranged_message(MessageType::Cgb, cic, status),
        Signal::GroupBlockAck(status) => ranged_message(MessageType::Cgba, cic, status),
        Signal::GroupUnblock(status) => ranged_message(MessageType::Cgu, cic, status),
        Signal::GroupUnblockAck(status) => ranged_message(MessageType::Cgua, cic, status),
        Signal::QueryReply(states) => {
            range_field(states.len())?;
            let states: Vec<_> = states.iter().map(|state| to_circuit_state(*state)).collect();
            Ok(Message::cqr(cic, &states))
        }
    }
}

fn to_circuit_state(state: ReportedState) -> CircuitState {
    let processing = match state.processing {
        TrunkProcessing::Transient => Processing::Transient,
        TrunkProcessing::Unequipped => Processing::Unequipped,
        TrunkProcessing::IncomingBusy => Processing::IncomingBusy,
        TrunkProcessing::OutgoingBusy => Processing::OutgoingBusy,
        TrunkProcessing::Idle => Processing::Idle,
    };
    let (locally_blocked, remotely_blocked) = (state.locally_blocked, state.remotely_blocked);
    CircuitState { processing, locally_blocked, remotely_blocked }
}

fn to_reported_state(state: CircuitState) -> ReportedState {
    let processing = match state.processing {
        Processing::Transient => TrunkProcessing::Transient,
        Processing::Unequipped => TrunkProcessing::Unequipped,
        Processing::IncomingBusy => TrunkProcessing::IncomingBusy,
        Processing::OutgoingBusy => TrunkProcessing::OutgoingBusy,
        Processing::Idle => TrunkProcessing::Idle,
    };
    let (locally_blocked, remotely_blocked) = (state.locally_blocked, state.remotely_blocked);
    ReportedState { processing, locally_blocked, remotely_blocked }
}

/// Converts a message to a signal.
///
/// # Errors
/// A parameter that the signal needs is missing or malformed.
pub fn message_to_signal(message: &Message) -> Result<Decoded, MapError> {
    let status = || -> Result<Vec<bool>, MapError> {
        let range = message.range()?;
        range_field(range.circuits())?;
        Ok(range.status)
    };
    let count = || -> Result<u16, MapError> {
        let circuits = message.range()?.circuits();
        range_field(circuits)?;
        Ok(circuits as u16)
    };
    let signal = match message.kind {
        MessageType::Iam => {
            let iam = message.as_iam().ok_or(MapError::Number)?;
            Signal::Seize(Setup { number: Arc::from(iam.called.digits), reference: Arc::from(iam.reference) })
        }
        MessageType::Acm => Signal::Accepted,
        // CON combines ACM and ANM.
        MessageType::Anm | MessageType::Con => Signal::Answered,
        MessageType::Cpg => Signal::Progress,
        MessageType::Rel => Signal::Release(message.cause().ok_or(Error::Missing(param::CAUSE))?),
        MessageType::Rlc => Signal::ReleaseComplete,
        MessageType::Rsc => Signal::Reset,
        MessageType::Blo => Signal::Block,
        MessageType::Bla => Signal::BlockAck,
        MessageType::Ubl => Signal::Unblock,
        MessageType::Uba => Signal::UnblockAck,
        MessageType::Ucic => Signal::Unequipped,
        MessageType::Grs => Signal::GroupReset(count()?),
        MessageType::Cqm => Signal::Query(count()?),
        MessageType::Gra => Signal::GroupResetAck(status()?),
        MessageType::Cgb => Signal::GroupBlock(status()?),
        MessageType::Cgba => Signal::GroupBlockAck(status()?),
        MessageType::Cgu => Signal::GroupUnblock(status()?),
        MessageType::Cgua => Signal::GroupUnblockAck(status()?),
        MessageType::Cqr => {
            count()?;
            Signal::QueryReply(message.circuit_states()?.into_iter().map(to_reported_state).collect())
        }
        other => return Ok(Decoded::Ignored(other)),
    };
    Ok(Decoded::Signal(signal))
}
