//! One trunk group: its circuits, the free ones among them, and circuit selection.

use std::collections::BTreeMap;

use baydrift::interface::Micros;

use crate::circuit::{Circuit, UsageKind};
use crate::rules::{controls, leaves_to_far_end, Selection};
use crate::types::{Cic, Usage};

/// Maximum number of circuits in a group: a CIC has 12 bits.
pub const CIRCUITS_MAX: u16 = 4_096;

/// Configuration of a trunk group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GroupSpec {
    /// Signalling point code of this end.
    pub own_point: u32,
    /// Signalling point code of the far end.
    pub far_point: u32,
    /// CIC of the first circuit.
    pub first: Cic,
    /// Number of circuits.
    pub circuits: u16,
    /// Circuit selection method.
    pub selection: Selection,
    /// Number of circuits reserved for first-choice calls (trunk reservation).
    pub reserve: usize,
}

/// Why a group's configuration is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// Number of circuits and first CIC: the group is empty or exceeds the CIC range.
    #[error(
        "{0} circuits starting at CIC {1}: a group needs at least one circuit, with CICs from 0 to 4095"
    )]
    Circuits(u16, Cic),
    /// Both ends have this point code: dual seizure is resolved by comparing the two point codes.
    #[error("both ends of the trunk group have point code {0}")]
    Points(u32),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Group {
    pub(crate) spec: GroupSpec,
    circuits: Vec<Circuit>,
    /// Free circuits in the order in which they became free: those that this end controls, those that the far
    /// end controls.
    free: [BTreeMap<u64, Cic>; 2],
    /// Last key assigned in `free`.
    last_free_key: u64,
    /// Number of circuits by use, updated at each state change.
    usage: Usage,
    /// Whether the far end is reachable.
    pub(crate) reachable: bool,
}

impl Group {
    pub(crate) fn new(spec: GroupSpec) -> Result<Self, SpecError> {
        if spec.circuits == 0 || u32::from(spec.first) + u32::from(spec.circuits) > u32::from(CIRCUITS_MAX) {
            return Err(SpecError::Circuits(spec.circuits, spec.first));
        }
        if spec.own_point == spec.far_point {
            return Err(SpecError::Points(spec.own_point));
        }
        let circuits = vec![Circuit::new(); usize::from(spec.circuits)];
        let usage = Usage { blocked: circuits.len(), ..Usage::default() };
        let mut group =
            Self { spec, circuits, free: Default::default(), last_free_key: 0, usage, reachable: true };
        for cic in group.cics() {
            group.refresh_free(cic);
        }
        Ok(group)
    }

    pub(crate) fn cics(&self) -> std::ops::Range<Cic> {
        self.spec.first..self.spec.first + self.spec.circuits
    }

    fn index_of(&self, cic: Cic) -> Option<usize> {
        self.cics().contains(&cic).then(|| usize::from(cic - self.spec.first))
    }

    pub(crate) fn get(&self, cic: Cic) -> Option<&Circuit> {
        self.circuits.get(self.index_of(cic)?)
    }

    pub(crate) fn get_mut(&mut self, cic: Cic) -> Option<&mut Circuit> {
        let index = self.index_of(cic)?;
        self.circuits.get_mut(index)
    }

    pub(crate) fn controls(&self, cic: Cic) -> bool {
        controls(self.spec.own_point, self.spec.far_point, cic)
    }

    /// Updates the free list and the usage counts after a change of a circuit's state or blocking.
    pub(crate) fn refresh_free(&mut self, cic: Cic) {
        let side = usize::from(!self.controls(cic));
        let Some(index) = self.index_of(cic) else { return };
        let circuit = &mut self.circuits[index];
        let kind = circuit.usage_kind();
        *counter(&mut self.usage, circuit.counted_as) -= 1;
        *counter(&mut self.usage, kind) += 1;
        circuit.counted_as = kind;
        match (circuit.is_free(), circuit.free_key) {
            (true, 0) => {
                self.last_free_key += 1;
                circuit.free_key = self.last_free_key;
                self.free[side].insert(self.last_free_key, cic);
            }
            (false, key @ 1..) => {
                circuit.free_key = 0;
                self.free[side].remove(&key);
            }
            _ => {}
        }
    }

    /// Number of free circuits.
    pub(crate) fn free_count(&self) -> usize {
        self.free[0].len() + self.free[1].len()
    }

    /// Selects the circuit to seize next.
    pub(crate) fn choose(&self, now: Micros) -> Option<Cic> {
        let [own, other] = &self.free;
        match self.spec.selection {
            Selection::Opposite => {
                // Only the last free circuit is left to the far end: for others the ends do not compete.
                let (first, is_last) = (own.values().next(), own.len() == 1 && other.is_empty());
                let last_glare = first
                    .and_then(|cic| self.get(*cic))
                    .map(|c| (c.won_last_glare, now.saturating_sub(c.since)));
                let leave =
                    is_last && last_glare.is_some_and(|(won, idle_us)| leaves_to_far_end(won, idle_us));
                first.filter(|_| !leave).or_else(|| other.values().next_back()).copied()
            }
            Selection::Sequential => own.values().chain(other.values()).min().copied(),
        }
    }

    pub(crate) fn usage(&self) -> Usage {
        self.usage
    }
}

fn counter(usage: &mut Usage, kind: UsageKind) -> &mut usize {
    match kind {
        UsageKind::Free => &mut usage.free,
        UsageKind::Blocked => &mut usage.blocked,
        UsageKind::Outgoing => &mut usage.outgoing,
        UsageKind::Incoming => &mut usage.incoming,
        UsageKind::Clearing => &mut usage.clearing,
    }
}
