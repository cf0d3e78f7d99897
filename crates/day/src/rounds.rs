//! Dual seizure on loopback: in each round two exchanges seize a circuit of the same group at the same
//! moment, over a link that loses and duplicates packets.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use baydrift_front::{Exchange, ExchangeCommand, ExchangeState, SignallingRole};
use baydrift_signalling::SignallingPoint;
use baydrift_standin::PacketRelay;
use baydrift_trunk::rules::{RouteChoice, Selection};
use baydrift_trunk::{AuditSettings, CallKey, End, GroupId, GroupSpec, Output, Setup, TimerSettings, Trunks};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Parameters of a dual-seizure run.
#[derive(Debug, Clone, PartialEq)]
pub struct RoundsSpec {
    /// Number of rounds.
    pub rounds: u64,
    /// Number of circuits in the trunk group.
    pub circuits: u16,
    /// Circuit selection method of both ends.
    pub selection: Selection,
    /// Share of packets lost in each direction.
    pub lost: f64,
    /// Share of packets duplicated in each direction.
    pub duplicated: f64,
    /// Time after which a caller abandons its call.
    pub caller_timeout: Duration,
    /// Divisor by which the minimum Q.764 timers are shortened.
    pub timer_divisor: u64,
    /// Seed for packet loss and duplication.
    pub seed: u64,
}

/// Results of a dual-seizure run.
#[derive(Debug, Clone, Default)]
pub struct RoundsTally {
    /// Answered calls, by calling end.
    pub answered: [u64; 2],
    /// Calls that ended without an answer, by reason.
    pub ended: BTreeMap<String, u64>,
    /// Calls abandoned after the caller time-out.
    pub timed_out: u64,
    /// Violated invariants.
    pub violations: Vec<String>,
    /// Final state of both exchanges.
    pub states: [ExchangeState; 2],
    /// Time from the end of the last round until all circuits were idle; `None` if they never were.
    pub idle_after: Option<Duration>,
    /// Duration of the longest round.
    pub longest_round: Duration,
}

/// An error that prevents a dual-seizure run.
#[derive(Debug, thiserror::Error)]
pub enum RoundsError {
    /// A socket cannot be bound.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The trunk group is not valid.
    #[error("trunk group: {0}")]
    Group(baydrift_trunk::SpecError),
    /// An exchange stopped during the run.
    #[error("an exchange stopped before the run was over")]
    Ended,
}

fn signalling_point(
    spec: &RoundsSpec,
    own_point: u32,
    far_point: u32,
) -> Result<SignallingPoint, RoundsError> {
    let timer_divisor = spec.timer_divisor.max(1);
    let defaults = TimerSettings::default();
    let timers = TimerSettings {
        t1: defaults.t1 / timer_divisor,
        t5: defaults.t5 / timer_divisor,
        t7: defaults.t7 / timer_divisor,
        t9: defaults.t9 / timer_divisor,
        t12: defaults.t12 / timer_divisor,
        t13: defaults.t13 / timer_divisor,
        t16: defaults.t16 / timer_divisor,
        t17: defaults.t17 / timer_divisor,
        t28: defaults.t28 / timer_divisor,
    };
    let audit = AuditSettings::default();
    let audit = AuditSettings {
        query_interval: audit.query_interval / timer_divisor,
        recheck_after: audit.recheck_after / timer_divisor,
    };
    let (circuits, selection) = (spec.circuits, spec.selection);
    let group = GroupSpec { own_point, far_point, first: 1, circuits, selection, reserve: 0 };
    let trunks = Trunks::new(vec![group], timers, audit).map_err(|(_, error)| RoundsError::Group(error))?;
    Ok(SignallingPoint::new(own_point, vec![(far_point, 1..1 + circuits)], trunks))
}

/// One exchange and the callers and callees behind it.
struct Endpoint {
    exchange: Exchange,
    events: mpsc::Receiver<Output>,
    /// Its outgoing call of this round until it ends, and whether it was answered.
    outgoing: Option<(CallKey, bool)>,
    incoming: BTreeSet<CallKey>,
    /// Calls reported as ended; each may be reported once.
    ended: BTreeSet<CallKey>,
}

/// Capacity of the channel of events from an exchange.
const EVENT_CAPACITY: usize = 4_096;
/// Q.850 cause 16, normal call clearing.
const CAUSE_NORMAL_CLEARING: u8 = 16;

/// Runs all rounds; `progress` is called with the number of completed rounds.
///
/// # Errors
/// If a socket or exchange cannot start, or an exchange stops.
pub async fn run_rounds(
    spec: &RoundsSpec,
    mut progress: impl FnMut(u64),
) -> Result<RoundsTally, RoundsError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let relay = PacketRelay::start(listener.local_addr()?, spec.lost, spec.duplicated, spec.seed).await?;
    let start = |signalling_point, far, role| {
        let (events_tx, events) = mpsc::channel(EVENT_CAPACITY);
        let exchange = Exchange::start(signalling_point, far, role, events_tx);
        Endpoint { exchange, events, outgoing: None, incoming: BTreeSet::new(), ended: BTreeSet::new() }
    };
    let mut endpoints = [
        start(signalling_point(spec, 2, 1)?, 1, SignallingRole::Listen(listener)),
        start(signalling_point(spec, 1, 2)?, 2, SignallingRole::Connect(relay.addr)),
    ];
    let mut tally = RoundsTally::default();
    let mut next = 1;
    wait_for_link(&mut endpoints, &mut next).await?;
    for round in 0..spec.rounds {
        let began = Instant::now();
        for endpoint in &mut endpoints {
            endpoint.offer(&mut next).await?;
        }
        while endpoints.iter().any(|endpoint| endpoint.outgoing.is_some() || !endpoint.incoming.is_empty()) {
            let [one, two] = &mut endpoints;
            let left = spec.caller_timeout.saturating_sub(began.elapsed());
            let received = tokio::select! {
                event = one.events.recv() => (0, event.ok_or(RoundsError::Ended)?),
                event = two.events.recv() => (1, event.ok_or(RoundsError::Ended)?),
                () = tokio::time::sleep(left) => break,
            };
            endpoints[received.0].handle(received.0, received.1, &mut tally).await?;
        }
        for endpoint in &mut endpoints {
            endpoint.abandon(&mut tally).await?;
        }
        tally.longest_round = tally.longest_round.max(began.elapsed());
        progress(round + 1);
    }
    let closed = Instant::now();
    let idle_timeout = Duration::from_secs(1_800 / spec.timer_divisor.max(1) + 5);
    while closed.elapsed() < idle_timeout {
        for (end, endpoint) in endpoints.iter_mut().enumerate() {
            while let Ok(event) = endpoint.events.try_recv() {
                endpoint.handle(end, event, &mut tally).await?;
            }
            tally.states[end] = endpoint.exchange.state().await.ok_or(RoundsError::Ended)?;
        }
        let idle = |state: &ExchangeState| {
            state.usage.iter().all(|usage| usage.outgoing + usage.incoming + usage.clearing == 0)
        };
        if tally.states.iter().all(idle) {
            tally.idle_after = Some(closed.elapsed());
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(tally)
}

/// Waits until both exchanges can seize a circuit.
async fn wait_for_link(endpoints: &mut [Endpoint; 2], next: &mut u64) -> Result<(), RoundsError> {
    for endpoint in endpoints {
        loop {
            endpoint.offer(next).await?;
            // A call with a circuit gets no event, since nobody handles the incoming call at the far end yet.
            let event = tokio::time::timeout(Duration::from_millis(50), endpoint.events.recv()).await;
            let Some((call, _)) = endpoint.outgoing.take() else { continue };
            if event == Ok(Some(Output::Ended(call, End::Unreachable))) {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
            endpoint.exchange.send(ExchangeCommand::Release(call, CAUSE_NORMAL_CLEARING)).await;
            break;
        }
    }
    Ok(())
}

impl Endpoint {
    async fn offer(&mut self, next: &mut u64) -> Result<(), RoundsError> {
        let call = CallKey(*next);
        *next += 1;
        self.outgoing = Some((call, false));
        let setup = Setup { number: Arc::from([5u8, 5, 5]), reference: Arc::from(call.0.to_be_bytes()) };
        self.send(ExchangeCommand::Seize(call, GroupId(0), setup, RouteChoice::First)).await
    }

    async fn send(&self, command: ExchangeCommand) -> Result<(), RoundsError> {
        self.exchange.send(command).await.then_some(()).ok_or(RoundsError::Ended)
    }

    async fn handle(
        &mut self,
        end: usize,
        event: Output,
        tally: &mut RoundsTally,
    ) -> Result<(), RoundsError> {
        match event {
            Output::Incoming { call, .. } => {
                self.incoming.insert(call);
                self.send(ExchangeCommand::Accept(call)).await?;
                self.send(ExchangeCommand::Answer(call)).await?;
            }
            Output::Answered(call) => match self.outgoing {
                Some((own, false)) if own == call => {
                    tally.answered[end] += 1;
                    self.outgoing = None;
                    self.send(ExchangeCommand::Release(call, CAUSE_NORMAL_CLEARING)).await?;
                }
                // Answered just after the caller abandoned the call: the release has already been sent.
                _ => {}
            },
            Output::Ended(call, reason) => {
                if self.outgoing.take_if(|(own, _)| *own == call).is_some() {
                    *tally.ended.entry(format!("{reason:?}")).or_default() += 1;
                }
                self.incoming.remove(&call);
                if !self.ended.insert(call) {
                    tally.violations.push(format!("call {} ends twice: {reason:?}", call.0));
                }
            }
            Output::Accepted(_) | Output::Send { .. } | Output::Report { .. } => {}
        }
        Ok(())
    }

    /// After the caller time-out: releases the outgoing call. Incoming calls end with the release of their
    /// caller.
    async fn abandon(&mut self, tally: &mut RoundsTally) -> Result<(), RoundsError> {
        if let Some((call, _)) = self.outgoing.take() {
            tally.timed_out += 1;
            self.send(ExchangeCommand::Release(call, CAUSE_NORMAL_CLEARING)).await?;
        }
        Ok(())
    }
}
