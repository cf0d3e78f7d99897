//! Conversion between trunk signals and ISUP messages.

use std::sync::Arc;

use baydrift_isup::{param, CalledNumber, CircuitState, Error, Iam, Kind, Message, Processing, Range};
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
    Ignored(Kind),
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

fn ranged_message(kind: Kind, cic: Cic, status: &[bool]) -> Result<Message, MapError> {
    let range = Range { range: range_field(status.len())?, status: status.to_vec() };
    Ok(Message::ranged(kind, cic, &range))
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
        Signal::Answered => plain(Kind::Anm),
        // Event information 2, progress (Q.763, 3.21).
        Signal::Progress => Ok(Message::new(Kind::Cpg, cic).with(param::EVENT, [2])),
        Signal::Release(cause) => Ok(Message::caused(Kind::Rel, cic, *cause)),
        Signal::ReleaseComplete => plain(Kind::Rlc),
        Signal::Reset => plain(Kind::Rsc),
        Signal::Block => plain(Kind::Blo),
        Signal::BlockAck => plain(Kind::Bla),
        Signal::Unblock => plain(Kind::Ubl),
        Signal::UnblockAck => plain(Kind::Uba),
        Signal::Unequipped => plain(Kind::Ucic),
        Signal::GroupReset(count) => {
            Ok(Message::ranged(Kind::Grs, cic, &Range::plain(range_field(usize::from(*count))?)))
        }
        Signal::Query(count) => {
            Ok(Message::ranged(Kind::Cqm, cic, &Range::plain(range_field(usize::from(*count))?)))
        }
        Signal::GroupResetAck(status) => ranged_message(Kind::Gra, cic, status),
        Signal::GroupBlock(status) => ranged_message(Kind::Cgb, cic, status),
        Signal::GroupBlockAck(status) => ranged_message(Kind::Cgba, cic, status),
        Signal::GroupUnblock(status) => ranged_message(Kind::Cgu, cic, status),
        Signal::GroupUnblockAck(status) => ranged_message(Kind::Cgua, cic, status),
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
        Kind::Iam => {
            let iam = message.as_iam().ok_or(MapError::Number)?;
            Signal::Seize(Setup { number: Arc::from(iam.called.digits), reference: Arc::from(iam.reference) })
        }
        Kind::Acm => Signal::Accepted,
        // CON combines ACM and ANM.
        Kind::Anm | Kind::Con => Signal::Answered,
        Kind::Cpg => Signal::Progress,
        Kind::Rel => Signal::Release(message.cause().ok_or(Error::Missing(param::CAUSE))?),
        Kind::Rlc => Signal::ReleaseComplete,
        Kind::Rsc => Signal::Reset,
        Kind::Blo => Signal::Block,
        Kind::Bla => Signal::BlockAck,
        Kind::Ubl => Signal::Unblock,
        Kind::Uba => Signal::UnblockAck,
        Kind::Ucic => Signal::Unequipped,
        Kind::Grs => Signal::GroupReset(count()?),
        Kind::Cqm => Signal::Query(count()?),
        Kind::Gra => Signal::GroupResetAck(status()?),
        Kind::Cgb => Signal::GroupBlock(status()?),
        Kind::Cgba => Signal::GroupBlockAck(status()?),
        Kind::Cgu => Signal::GroupUnblock(status()?),
        Kind::Cgua => Signal::GroupUnblockAck(status()?),
        Kind::Cqr => {
            count()?;
            Signal::QueryReply(message.circuit_states()?.into_iter().map(to_reported_state).collect())
        }
        other => return Ok(Decoded::Ignored(other)),
    };
    Ok(Decoded::Signal(signal))
}
