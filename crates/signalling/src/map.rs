//! What a signal is as a message, and a message as a signal.

use std::sync::Arc;

use baydrift_isup::{param, CalledNumber, CircuitState, Error, Iam, Message, MessageType, Processing, Range};
use baydrift_trunk::{Cic, Processing as Told, Setup, Signal};

/// Why a message is no signal, or a signal no message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MapError {
    /// Its parameters.
    #[error(transparent)]
    Message(#[from] Error),
    /// An IAM whose called number cannot be read.
    #[error("the called number of an IAM cannot be read")]
    Number,
    /// A range of more circuits than a message may name.
    #[error("a range of {0} circuits")]
    Range(usize),
}

/// What a message means here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Meant {
    /// A signal for its circuit.
    Signal(Signal),
    /// Read, and of no consequence here: overlap digits, suspension, continuity, confusion, loop prevention.
    Nothing(MessageType),
}

/// Calling party's category of an ordinary subscriber (Q.763, 3.11).
const ORDINARY: u8 = 10;
/// Most circuits of a range (Q.763, 3.43: a GRS's range is 1 to 31, a CQM's 0 to 31).
const RANGE_MAX: usize = 32;

fn range_of(circuits: usize) -> Result<u8, MapError> {
    match circuits {
        1..=RANGE_MAX => Ok((circuits - 1) as u8),
        _ => Err(MapError::Range(circuits)),
    }
}

fn ranged(kind: MessageType, cic: Cic, status: &[bool]) -> Result<Message, MapError> {
    let range = Range { range: range_of(status.len())?, status: status.to_vec() };
    Ok(Message::with_range(kind, cic, &range))
}

/// A signal as a message.
///
/// # Errors
/// Where its range has no circuit, or more than a message may name.
pub fn message(cic: Cic, signal: &Signal) -> Result<Message, MapError> {
    let plain = |kind| Ok(Message::new(kind, cic));
    match signal {
        Signal::Seize(setup) => Ok(Message::iam(
            cic,
            &Iam {
                called: CalledNumber { nature: 3, digits: setup.number.to_vec() },
                category: ORDINARY,
                continuity: false,
                reference: setup.reference.to_vec(),
            },
        )),
        Signal::Accepted => Ok(Message::acm(cic)),
        Signal::Answered => plain(MessageType::Anm),
        // Progress (Q.763, 3.21).
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
            &Range::without_status(range_of(usize::from(*count))?),
        )),
        Signal::Query(count) => Ok(Message::with_range(
            MessageType::Cqm,
            cic,
            &Range::without_status(range_of(usize::from(*count))?),
        )),
        Signal::GroupResetAck(status) => ranged(MessageType::Gra, cic, status),
        Signal::GroupBlock(status) => ranged(MessageType::Cgb, cic, status),
        Signal::GroupBlockAck(status) => ranged(MessageType::Cgba, cic, status),
        Signal::GroupUnblock(status) => ranged(MessageType::Cgu, cic, status),
        Signal::GroupUnblockAck(status) => ranged(MessageType::Cgua, cic, status),
        Signal::QueryReply(states) => {
            range_of(states.len())?;
            let states: Vec<_> = states.iter().map(|told| state(*told)).collect();
            Ok(Message::cqr(cic, &states))
        }
    }
}

fn state(told: baydrift_trunk::Told) -> CircuitState {
    let processing = match told.processing {
        Told::Transient => Processing::Transient,
        Told::Unequipped => Processing::Unequipped,
        Told::IncomingBusy => Processing::IncomingBusy,
        Told::OutgoingBusy => Processing::OutgoingBusy,
        Told::Idle => Processing::Idle,
    };
    let (locally_blocked, remotely_blocked) = (told.locally_blocked, told.remotely_blocked);
    CircuitState { processing, locally_blocked, remotely_blocked }
}

fn told(state: CircuitState) -> baydrift_trunk::Told {
    let processing = match state.processing {
        Processing::Transient => Told::Transient,
        Processing::Unequipped => Told::Unequipped,
        Processing::IncomingBusy => Told::IncomingBusy,
        Processing::OutgoingBusy => Told::OutgoingBusy,
        Processing::Idle => Told::Idle,
    };
    let (locally_blocked, remotely_blocked) = (state.locally_blocked, state.remotely_blocked);
    baydrift_trunk::Told { processing, locally_blocked, remotely_blocked }
}

/// A message as a signal.
///
/// # Errors
/// Where a parameter that the signal needs is missing or cannot be read.
pub fn signal(message: &Message) -> Result<Meant, MapError> {
    let status = || -> Result<Vec<bool>, MapError> {
        let range = message.range()?;
        range_of(range.circuits())?;
        Ok(range.status)
    };
    let count = || -> Result<u16, MapError> {
        let circuits = message.range()?.circuits();
        range_of(circuits)?;
        Ok(circuits as u16)
    };
    let signal = match message.kind {
        MessageType::Iam => {
            let iam = message.as_iam().ok_or(MapError::Number)?;
            Signal::Seize(Setup { number: Arc::from(iam.called.digits), reference: Arc::from(iam.reference) })
        }
        MessageType::Acm => Signal::Accepted,
        // CON is ACM and ANM in one.
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
            Signal::QueryReply(message.circuit_states()?.into_iter().map(told).collect())
        }
        other => return Ok(Meant::Nothing(other)),
    };
    Ok(Meant::Signal(signal))
}
