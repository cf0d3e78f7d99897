//! Typed constructors and accessors of messages.

use crate::causes::Cause;
use crate::error::Error;
use crate::format::MessageType;
use crate::message::Message;
use crate::params::{param, Range};

/// Called party number (Q.763, 3.9): digits 0 to 9 and the codes b, c and f, at most 32.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CalledNumber {
    /// Nature of address (3: national, 4: international).
    pub nature: u8,
    /// Digits, each 0 to 15.
    pub digits: Vec<u8>,
}

impl CalledNumber {
    /// Encodes the parameter's contents: two digits per octet, the first one in the lower half.
    pub fn octets(&self) -> Vec<u8> {
        let odd = u8::from(self.digits.len() % 2 == 1) << 7;
        // ISDN numbering plan; routing to an internal network number is allowed.
        let mut octets = vec![odd | self.nature & 0x7f, 0x10];
        for pair in self.digits.chunks(2) {
            octets.push(pair[0] & 0x0f | pair.get(1).map_or(0, |digit| digit << 4));
        }
        octets
    }

    /// Decodes the parameter's contents.
    pub fn read(octets: &[u8]) -> Option<Self> {
        let [first, _, digits @ ..] = octets else { return None };
        let mut all: Vec<_> = digits.iter().flat_map(|pair| [pair & 0x0f, pair >> 4]).collect();
        if first & 0x80 != 0 {
            all.pop();
        }
        Some(Self { nature: first & 0x7f, digits: all })
    }
}

/// Contents of an IAM (Q.763, table 32) that this project uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Iam {
    /// Called party number.
    pub called: CalledNumber,
    /// Calling party's category (10: ordinary calling subscriber).
    pub category: u8,
    /// Whether a continuity check is required on this circuit.
    pub continuity: bool,
    /// Reference assigned by the calling side, carried as user-to-user information; empty if there is none.
    pub reference: Vec<u8>,
}

/// Call processing state of a circuit (Q.763, 3.14, bits D and C).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Processing {
    /// In transition between two states.
    Transient,
    /// The circuit does not exist.
    Unequipped,
    /// Busy with an incoming call.
    IncomingBusy,
    /// Busy with an outgoing call.
    OutgoingBusy,
    /// Idle.
    Idle,
}

/// State of one circuit in a CQR.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CircuitState {
    /// Call processing state.
    pub processing: Processing,
    /// Blocked by the exchange that sent the CQR.
    pub locally_blocked: bool,
    /// Blocked by the exchange that sent the CQM.
    pub remotely_blocked: bool,
}

impl CircuitState {
    /// Encodes the state.
    pub fn octet(self) -> u8 {
        let blocked = u8::from(self.locally_blocked) | u8::from(self.remotely_blocked) << 1;
        match self.processing {
            Processing::Transient => 0,
            Processing::Unequipped => 0b11,
            Processing::IncomingBusy => 0b0100 | blocked,
            Processing::OutgoingBusy => 0b1000 | blocked,
            Processing::Idle => 0b1100 | blocked,
        }
    }

    /// Decodes a state; spare codes are read as transient, so that nothing is concluded from them.
    pub fn read(octet: u8) -> Self {
        let processing = match (octet >> 2 & 0b11, octet & 0b11) {
            (0, 0b11) => Processing::Unequipped,
            (0, _) => Processing::Transient,
            (1, _) => Processing::IncomingBusy,
            (2, _) => Processing::OutgoingBusy,
            _ => Processing::Idle,
        };
        let has_blocking = octet >> 2 & 0b11 != 0;
        Self {
            processing,
            locally_blocked: has_blocking && octet & 1 == 1,
            remotely_blocked: has_blocking && octet & 2 == 2,
        }
    }
}

impl Message {
    /// Creates an IAM.
    pub fn iam(cic: u16, iam: &Iam) -> Self {
        let continuity = if iam.continuity { 0b0000_0100 } else { 0 };
        let message = Self::new(MessageType::Iam, cic)
            .with(param::NATURE_OF_CONNECTION, [continuity])
            .with(param::FORWARD_CALL, [0x20, 0x01])
            .with(param::CALLING_PARTYS_CATEGORY, [iam.category])
            .with(param::TRANSMISSION_MEDIUM, [0])
            .with(param::CALLED_PARTY_NUMBER, iam.called.octets());
        if iam.reference.is_empty() {
            return message;
        }
        message.with(param::USER_TO_USER, iam.reference.clone())
    }

    /// Contents of an IAM; `None` if this is another message type or the called party number cannot be
    /// decoded.
    pub fn as_iam(&self) -> Option<Iam> {
        if self.kind != MessageType::Iam {
            return None;
        }
        Some(Iam {
            called: CalledNumber::read(self.find(param::CALLED_PARTY_NUMBER)?)?,
            category: *self.find(param::CALLING_PARTYS_CATEGORY)?.first()?,
            continuity: self.find(param::NATURE_OF_CONNECTION)?.first()? & 0b1100 == 0b0100,
            reference: self.find(param::USER_TO_USER).unwrap_or_default().to_vec(),
        })
    }

    /// Creates an ACM with called party's status "subscriber free".
    pub fn acm(cic: u16) -> Self {
        Self::new(MessageType::Acm, cic).with(param::BACKWARD_CALL, [0b0000_0100, 0x04])
    }

    /// Creates a message that has cause indicators (REL or CFN).
    pub fn with_cause(kind: MessageType, cic: u16, value: u8) -> Self {
        Self::new(kind, cic).with(param::CAUSE, Cause::new(value).octets())
    }

    /// Cause value of the cause indicators.
    pub fn cause(&self) -> Option<u8> {
        Cause::read(self.find(param::CAUSE)?).map(|cause| cause.value)
    }

    /// Creates a message for a range of circuits; the type of group blocking and unblocking messages is
    /// "maintenance oriented" (Q.763, 3.13).
    pub fn with_range(kind: MessageType, cic: u16, range: &Range) -> Self {
        let message = match kind {
            MessageType::Cgb | MessageType::Cgu | MessageType::Cgba | MessageType::Cgua => {
                Self::new(kind, cic).with(param::GROUP_SUPERVISION_TYPE, [0])
            }
            _ => Self::new(kind, cic),
        };
        message.with(param::RANGE_AND_STATUS, range.octets())
    }

    /// Creates a CQR.
    pub fn cqr(cic: u16, states: &[CircuitState]) -> Self {
        let range = Range::without_status(states.len().saturating_sub(1) as u8);
        let octets: Vec<_> = states.iter().map(|state| state.octet()).collect();
        Self::with_range(MessageType::Cqr, cic, &range).with(param::CIRCUIT_STATE, octets)
    }

    /// Circuit states of a CQR.
    ///
    /// # Errors
    /// A parameter is missing, or the number of states differs from the number of circuits in the range.
    pub fn circuit_states(&self) -> Result<Vec<CircuitState>, Error> {
        let range = self.range()?;
        let octets = self.find(param::CIRCUIT_STATE).ok_or(Error::Missing(param::CIRCUIT_STATE))?;
        if octets.len() != range.circuits() {
            return Err(Error::Status { range: range.range, wanted: range.circuits(), got: octets.len() });
        }
        Ok(octets.iter().map(|octet| CircuitState::read(*octet)).collect())
    }
}
