//! One trunk group: its circuits, which of them are free, and in which order they are chosen.

use std::collections::BTreeMap;

use baydrift::interface::Micros;

use crate::circuit::{Circuit, Tally};
use crate::rules::{controls, gives_way, Selection};
use crate::types::{Cic, Usage};

/// Most circuits of a group: CICs have 12 bits.
pub const CIRCUITS_MAX: u16 = 4_096;

/// A group as it is configured.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GroupSpec {
    /// Signalling point code of this end.
    pub own_point: u32,
    /// Signalling point code of the far end.
    pub far_point: u32,
    /// Its first circuit.
    pub first: Cic,
    /// How many there are.
    pub circuits: u16,
    /// How a circuit is chosen.
    pub selection: Selection,
    /// Circuits kept back for calls whose first choice the group is.
    pub reserve: usize,
}

/// Why a group cannot be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// No circuits, or more than CICs can name.
    #[error("{0} circuits from {1} on: CICs are 0 to 4095, and a group has at least one")]
    Circuits(u16, Cic),
    /// Both ends have one point code: the rule for dual seizure needs two.
    #[error("both ends have point code {0}")]
    Points(u32),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Group {
    pub(crate) spec: GroupSpec,
    circuits: Vec<Circuit>,
    /// Free circuits that this end controls, and the others, by when they became free.
    free: [BTreeMap<u64, Cic>; 2],
    freed: u64,
    /// What circuits are used for, counted as they change.
    usage: Usage,
    /// The far end can be reached.
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
        let mut group = Self { spec, circuits, free: Default::default(), freed: 0, usage, reachable: true };
        for cic in group.cics() {
            group.settle(cic);
        }
        Ok(group)
    }

    pub(crate) fn cics(&self) -> std::ops::Range<Cic> {
        self.spec.first..self.spec.first + self.spec.circuits
    }

    fn place(&self, cic: Cic) -> Option<usize> {
        self.cics().contains(&cic).then(|| usize::from(cic - self.spec.first))
    }

    pub(crate) fn get(&self, cic: Cic) -> Option<&Circuit> {
        self.circuits.get(self.place(cic)?)
    }

    pub(crate) fn get_mut(&mut self, cic: Cic) -> Option<&mut Circuit> {
        let place = self.place(cic)?;
        self.circuits.get_mut(place)
    }

    pub(crate) fn controls(&self, cic: Cic) -> bool {
        controls(self.spec.own_point, self.spec.far_point, cic)
    }

    /// Puts a circuit among the free ones, or takes it from there, after a change.
    pub(crate) fn settle(&mut self, cic: Cic) {
        let side = usize::from(!self.controls(cic));
        let Some(place) = self.place(cic) else { return };
        let circuit = &mut self.circuits[place];
        let tally = circuit.tally();
        *counted(&mut self.usage, circuit.tallied) -= 1;
        *counted(&mut self.usage, tally) += 1;
        circuit.tallied = tally;
        match (circuit.is_free(), circuit.free) {
            (true, 0) => {
                self.freed += 1;
                circuit.free = self.freed;
                self.free[side].insert(self.freed, cic);
            }
            (false, key @ 1..) => {
                circuit.free = 0;
                self.free[side].remove(&key);
            }
            _ => {}
        }
    }

    pub(crate) fn free(&self) -> usize {
        self.free[0].len() + self.free[1].len()
    }

    /// The circuit to be seized next.
    pub(crate) fn choose(&self, now: Micros) -> Option<Cic> {
        let [own, other] = &self.free;
        match self.spec.selection {
            Selection::Opposite => {
                // Only where it is the last free circuit that the far end is after too.
                let (first, last) = (own.values().next(), own.len() == 1 && other.is_empty());
                let idle = first.and_then(|cic| self.get(*cic)).map(|c| (c.won, now.saturating_sub(c.since)));
                let left = last && idle.is_some_and(|(won, idle_for)| gives_way(won, idle_for));
                first.filter(|_| !left).or_else(|| other.values().next_back()).copied()
            }
            Selection::Sequential => own.values().chain(other.values()).min().copied(),
        }
    }

    pub(crate) fn usage(&self) -> Usage {
        self.usage
    }
}

fn counted(usage: &mut Usage, tally: Tally) -> &mut usize {
    match tally {
        Tally::Free => &mut usage.free,
        Tally::Blocked => &mut usage.blocked,
        Tally::Outgoing => &mut usage.outgoing,
        Tally::Incoming => &mut usage.incoming,
        Tally::Clearing => &mut usage.clearing,
    }
}
