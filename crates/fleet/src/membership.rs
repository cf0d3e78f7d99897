//! Failure detection: drives foca by the time passed in, and derives a view of the fleet from its
//! notifications.

use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use baydrift::interface::Micros;
use foca::{AccumulatingRuntime, Codec, Config, Error, Foca, NoCustomBroadcast, OwnedNotification};
use foca::{PeriodicParams, Timer};
use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::wire::{DatagramError, Member, ValidatingCodec, MAX_DATAGRAM_BYTES};

/// Timing parameters, which must be the same at all fronts of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Probe interval: one member is probed in each.
    pub probe_period: Micros,
    /// Time allowed for the response to a direct probe, after which other members are asked to probe
    /// indirectly. Must be shorter than the probe period.
    pub probe_timeout: Micros,
    /// Time after which a suspected member that has not refuted the suspicion is considered down.
    pub suspicion_timeout: Micros,
    /// Interval between two calls above which this process is considered to have stalled.
    pub stall_threshold: Micros,
}

impl Default for MembershipConfig {
    /// Amounts to two datagrams per front and second at rest; allows for some tens of milliseconds between
    /// fronts.
    fn default() -> Self {
        Self {
            probe_period: 1_000_000,
            probe_timeout: 300_000,
            suspicion_timeout: 3_000_000,
            stall_threshold: 700_000,
        }
    }
}

/// The local front and its fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalFront {
    /// Ordinal of this front.
    pub ordinal: u32,
    /// Number of configured fronts.
    pub fronts: u32,
    /// Distinguishes this process from earlier ones; see [`Member::incarnation`].
    pub incarnation: u32,
    /// Seed of all random choices.
    pub seed: u64,
}

/// What a front believes about its fleet, and how far that can be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View {
    /// Fronts believed alive, including this one.
    pub alive: u32,
    /// Number of configured fronts.
    pub total: u32,
    /// Fronts that were ever reported, alive or down, including this one. Nothing is known of the others.
    pub known: u32,
    /// Time since the last datagram from any other front; `None` before the first.
    pub age: Option<Micros>,
    /// The process has just started or resumed after a stall, so the view may be outdated.
    pub learning: bool,
}

type Swim = Foca<Member, ValidatingCodec, Pcg64Mcg, NoCustomBroadcast>;
type Effects = AccumulatingRuntime<Member>;

/// Failure detector of one front: which fronts of its fleet are believed alive.
pub struct Membership {
    foca: Swim,
    codec: ValidatingCodec,
    config: MembershipConfig,
    local: LocalFront,
    rng: Pcg64Mcg,
    now: Micros,
    /// By due time and a sequence number that keeps the order of timers due at the same time.
    timers: BTreeMap<(Micros, u64), Timer<Member>>,
    next_timer: u64,
    /// When the next join request is sent, while some fronts are unknown.
    join_at: Micros,
    last_received_at: Option<Micros>,
    learning_until: Micros,
    /// By ordinal: the newest process reported, whether it is believed alive, and since when.
    members: BTreeMap<u32, (Member, bool, Micros)>,
    outgoing: Vec<(u32, Vec<u8>)>,
}

impl std::fmt::Debug for Membership {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The names of the debug output are stable.
        f.debug_struct("Lives")
            .field("spec", &self.local)
            .field("seen", &self.members)
            .finish_non_exhaustive()
    }
}

fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros)
}

/// Number of times that an update is transmitted so that it reaches the whole fleet: three times the binary
/// logarithm of the fleet's size, as in the SWIM paper.
fn transmissions(fronts: u32) -> NonZeroU8 {
    let doublings = u32::BITS - fronts.max(1).leading_zeros();
    NonZeroU8::new((3 * doublings).min(u8::MAX.into()) as u8).unwrap_or(NonZeroU8::MIN)
}

/// Number of members asked to probe a member that did not respond.
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(3).unwrap();
const ONE: NonZeroUsize = NonZeroUsize::MIN;

impl Membership {
    /// Creates the failure detector of a front that knows no other member yet.
    pub fn new(config: MembershipConfig, local: LocalFront, now: Micros) -> Self {
        let own = Member { ordinal: local.ordinal, incarnation: local.incarnation };
        let codec = ValidatingCodec::new(local.fronts, local.incarnation);
        let foca_config = Config {
            probe_period: duration(config.probe_period),
            probe_rtt: duration(config.probe_timeout),
            num_indirect_probes: INDIRECT_PROBES,
            max_transmissions: transmissions(local.fronts),
            suspect_to_down_after: duration(config.suspicion_timeout),
            // Never: the number of entries is bounded by the fleet, and once removed, the end of an older
            // process could be reported as new.
            remove_down_after: None,
            max_packet_size: NonZeroUsize::new(MAX_DATAGRAM_BYTES).unwrap_or(ONE),
            notify_down_members: true,
            periodic_announce: Some(PeriodicParams {
                frequency: duration(config.probe_period * 10),
                num_members: ONE,
            }),
            // Detects the end of a network partition: each side believes the other down and announces itself
            // to it.
            periodic_announce_to_down_members: Some(PeriodicParams {
                frequency: duration(config.probe_period * 2),
                num_members: ONE,
            }),
            periodic_gossip: Some(PeriodicParams {
                frequency: duration(config.probe_period / 5),
                num_members: ONE,
            }),
        };
        let mut rng = Pcg64Mcg::seed_from_u64(local.seed ^ u64::from(local.ordinal));
        let foca = Foca::new(own, foca_config, Pcg64Mcg::seed_from_u64(rng.next_u64()), codec);
        Self {
            foca,
            codec,
            config,
            local,
            rng,
            now,
            timers: BTreeMap::new(),
            next_timer: 0,
            join_at: now,
            last_received_at: None,
            learning_until: now + config.probe_period * 2,
            members: BTreeMap::new(),
            outgoing: Vec::new(),
        }
    }

    /// Handles a datagram of front `from`, which is identified by the source address.
    ///
    /// # Errors
    /// Why the datagram was rejected. A rejected datagram has no effect beyond the cost of decoding it.
    pub fn handle(&mut self, now: Micros, from: u32, datagram: &[u8]) -> Result<(), DatagramError> {
        self.advance(now);
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Malformed);
        }
        let header = self.codec.decode_header(datagram)?;
        if header.src.ordinal != from {
            return Err(DatagramError::SenderMismatch(header.src.ordinal));
        }
        match self.drive(|foca, effects| foca.handle_data(datagram, effects)) {
            Ok(()) => self.last_received_at = Some(self.now),
            Err(Error::Decode(_) | Error::MalformedPacket | Error::DataTooBig) => {
                return Err(DatagramError::Malformed)
            }
            // foca ignored the datagram by its own rules, such as a duplicate response to a probe.
            Err(_) => {}
        }
        Ok(())
    }

    /// Advances to `now`, fires due timers and returns the datagrams to send, each with the ordinal of its
    /// recipient.
    pub fn poll(&mut self, now: Micros) -> Vec<(u32, Vec<u8>)> {
        self.advance(now);
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let timer = entry.remove();
            // A timer of a completed probe or of a removed member returns an error and has no effect.
            let _ = self.drive(|foca, effects| foca.handle_timer(timer, effects));
        }
        if self.now >= self.join_at {
            self.join();
        }
        std::mem::take(&mut self.outgoing)
    }

    /// Latest time at which [`Membership::poll`] must be called next.
    pub fn next_wake(&self) -> Micros {
        self.timers.keys().next().map_or(self.join_at, |key| key.0.min(self.join_at))
    }

    /// Sends a join request to a random front that was never reported, as long as there are any. Prevents
    /// disjoint groups: fronts that start at the same time find each other in twos and threes, and a group
    /// that stops searching as soon as it has a member would never learn of the others.
    fn join(&mut self) {
        self.join_at = self.now + self.config.probe_period / if self.foca.num_members() == 0 { 4 } else { 1 };
        let is_unknown =
            |ordinal: &u32| *ordinal != self.local.ordinal && !self.members.contains_key(ordinal);
        let unknown: Vec<_> = (0..self.local.fronts).filter(is_unknown).collect();
        if unknown.is_empty() {
            return;
        }
        let ordinal = unknown[self.rng.next_u32() as usize % unknown.len()];
        // The incarnation is ignored: whichever process runs at the address accepts the announcement.
        let _ = self.drive(|foca, effects| foca.announce(Member { ordinal, incarnation: 0 }, effects));
    }

    /// The current view of the fleet.
    pub fn view(&self, now: Micros) -> View {
        let now = now.max(self.now);
        View {
            alive: self.foca.num_members() as u32 + 1,
            total: self.local.fronts,
            known: self.members.len() as u32 + 1,
            age: self.last_received_at.map(|at| now - at),
            learning: now < self.learning_until,
        }
    }

    /// The other fronts that were ever reported: the newest process, whether it is believed alive, and since
    /// when.
    pub fn members(&self) -> impl Iterator<Item = (Member, bool, Micros)> + '_ {
        self.members.values().copied()
    }

    /// Whether a front may be alive: `false` only if it was reported and is believed down.
    pub fn may_be_alive(&self, ordinal: u32) -> bool {
        self.members.get(&ordinal).is_none_or(|(_, alive, _)| *alive)
    }

    /// The identity of this process as currently known to the fleet.
    pub fn local_member(&self) -> Member {
        *self.foca.identity()
    }

    /// Advances the time. After a stall of this process all its timers would be due at once and declare every
    /// other member down, and a fleet of a hundred fronts would have to refute it. The timers are therefore
    /// postponed by the length of the stall, and the process reports itself as learning.
    fn advance(&mut self, now: Micros) {
        let gap = now.saturating_sub(self.now);
        if gap > self.config.stall_threshold && self.now > 0 {
            let timers = std::mem::take(&mut self.timers);
            self.timers = timers.into_iter().map(|((at, n), timer)| ((at + gap, n), timer)).collect();
            self.learning_until = now + self.config.probe_period * 2;
        }
        // If the clock steps back, the time stands still until the clock has caught up.
        self.now = self.now.max(now);
    }

    /// Runs an operation on foca and collects its effects: outgoing datagrams, timers and membership changes.
    fn drive(
        &mut self,
        operation: impl FnOnce(&mut Swim, &mut Effects) -> Result<(), Error>,
    ) -> Result<(), Error> {
        let mut effects = Effects::new();
        let result = operation(&mut self.foca, &mut effects);
        while let Some((to, datagram)) = effects.to_send() {
            self.outgoing.push((to.ordinal, datagram.to_vec()));
        }
        while let Some((after, timer)) = effects.to_schedule() {
            let at = self.now.saturating_add(after.as_micros() as Micros);
            self.timers.insert((at, self.next_timer), timer);
            self.next_timer += 1;
        }
        while let Some(notification) = effects.to_notify() {
            match notification {
                OwnedNotification::MemberUp(member) => self.update_member(member, true),
                OwnedNotification::MemberDown(member) => self.update_member(member, false),
                OwnedNotification::Rename(_, member) => self.update_member(member, true),
                _ => {}
            }
        }
        result
    }

    fn update_member(&mut self, member: Member, alive: bool) {
        let known = self.members.get(&member.ordinal);
        // The end of a process says nothing about its successor.
        let outdated = known.is_some_and(|(newest, ..)| newest.incarnation > member.incarnation);
        if member.ordinal != self.local.ordinal && !outdated {
            self.members.insert(member.ordinal, (member, alive, self.now));
        }
    }
}
