//! Two exchanges on loopback that seize at the same moment, round after round, over a link that loses and doubles.

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

/// What is played.
#[derive(Debug, Clone, PartialEq)]
pub struct RoundsSpec {
    /// Rounds.
    pub rounds: u64,
    /// Circuits of the one group.
    pub circuits: u16,
    /// How both ends choose.
    pub selection: Selection,
    /// Share of packets lost, each way.
    pub lost: f64,
    /// Share that comes twice.
    pub duplicated: f64,
    /// A caller gives up after this.
    pub caller_timeout: Duration,
    /// Q.764's timers are this many times shorter than its least.
    pub timer_divisor: u64,
    /// Seed of what is lost.
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Default)]
pub struct RoundsTally {
    /// Calls that stood, of each end.
    pub answered: [u64; 2],
    /// Calls that ended otherwise, by how.
    pub ended: BTreeMap<String, u64>,
    /// Callers that gave up.
    pub timed_out: u64,
    /// What must never happen.
    pub violations: Vec<String>,
    /// Both ends, at last.
    pub states: [ExchangeState; 2],
    /// How long after the last round the last circuit was idle; `None` if it never was.
    pub idle_after: Option<Duration>,
    /// Longest round.
    pub longest_round: Duration,
}

/// Why it cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum RoundsError {
    /// A socket.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The group.
    #[error("trunk group: {0}")]
    Group(baydrift_trunk::SpecError),
    /// An exchange ended by itself.
    #[error("an exchange ended before its time")]
    Ended,
}

fn office(spec: &RoundsSpec, own_point: u32, far_point: u32) -> Result<SignallingPoint, RoundsError> {
    let timer_divisor = spec.timer_divisor.max(1);
    let all = TimerSettings::default();
    let timers = TimerSettings {
        t1: all.t1 / timer_divisor,
        t5: all.t5 / timer_divisor,
        t7: all.t7 / timer_divisor,
        t9: all.t9 / timer_divisor,
        t12: all.t12 / timer_divisor,
        t13: all.t13 / timer_divisor,
        t16: all.t16 / timer_divisor,
        t17: all.t17 / timer_divisor,
        t28: all.t28 / timer_divisor,
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

/// One end as the players see it.
struct Player {
    exchange: Exchange,
    events: mpsc::Receiver<Output>,
    /// Its own call of this round, until it is over; and whether it stands.
    own: Option<(CallKey, bool)>,
    incoming: BTreeSet<CallKey>,
    /// Calls that it was told are over: each once.
    over: BTreeSet<CallKey>,
}

const EVENTS: usize = 4_096;
const CAUSE: u8 = 16;

/// Plays all rounds; `progress` hears of each.
///
/// # Errors
/// Where something cannot start, or an exchange ends.
pub async fn run_rounds(
    spec: &RoundsSpec,
    mut progress: impl FnMut(u64),
) -> Result<RoundsTally, RoundsError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let relay = PacketRelay::start(listener.local_addr()?, spec.lost, spec.duplicated, spec.seed).await?;
    let start = |office, far, role| {
        let (tell, events) = mpsc::channel(EVENTS);
        let exchange = Exchange::start(office, far, role, tell);
        Player { exchange, events, own: None, incoming: BTreeSet::new(), over: BTreeSet::new() }
    };
    let mut players = [
        start(office(spec, 2, 1)?, 1, SignallingRole::Listen(listener)),
        start(office(spec, 1, 2)?, 2, SignallingRole::Connect(relay.addr)),
    ];
    let mut tally = RoundsTally::default();
    let mut next = 1;
    link_up(&mut players, &mut next).await?;
    for round in 0..spec.rounds {
        let began = Instant::now();
        for player in &mut players {
            player.offer(&mut next).await?;
        }
        while players.iter().any(|player| player.own.is_some() || !player.incoming.is_empty()) {
            let [one, two] = &mut players;
            let left = spec.caller_timeout.saturating_sub(began.elapsed());
            let heard = tokio::select! {
                event = one.events.recv() => (0, event.ok_or(RoundsError::Ended)?),
                event = two.events.recv() => (1, event.ok_or(RoundsError::Ended)?),
                () = tokio::time::sleep(left) => break,
            };
            players[heard.0].take(heard.0, heard.1, &mut tally).await?;
        }
        for player in &mut players {
            player.give_up(&mut tally).await?;
        }
        tally.longest_round = tally.longest_round.max(began.elapsed());
        progress(round + 1);
    }
    let closed = Instant::now();
    let most = Duration::from_secs(1_800 / spec.timer_divisor.max(1) + 5);
    while closed.elapsed() < most {
        for (end, player) in players.iter_mut().enumerate() {
            while let Ok(event) = player.events.try_recv() {
                player.take(end, event, &mut tally).await?;
            }
            tally.states[end] = player.exchange.state().await.ok_or(RoundsError::Ended)?;
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

/// Waits until calls find a circuit at both ends.
async fn link_up(players: &mut [Player; 2], next: &mut u64) -> Result<(), RoundsError> {
    for player in players {
        loop {
            player.offer(next).await?;
            // One that has a circuit says nothing until the far end answers, which nobody there does yet.
            let event = tokio::time::timeout(Duration::from_millis(50), player.events.recv()).await;
            let Some((call, _)) = player.own.take() else { continue };
            if event == Ok(Some(Output::Ended(call, End::Unreachable))) {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
            player.exchange.send(ExchangeCommand::Release(call, CAUSE)).await;
            break;
        }
    }
    Ok(())
}

impl Player {
    async fn offer(&mut self, next: &mut u64) -> Result<(), RoundsError> {
        let call = CallKey(*next);
        *next += 1;
        self.own = Some((call, false));
        let setup = Setup { number: Arc::from([5u8, 5, 5]), reference: Arc::from(call.0.to_be_bytes()) };
        self.tell(ExchangeCommand::Seize(call, GroupId(0), setup, RouteChoice::First)).await
    }

    async fn tell(&self, what: ExchangeCommand) -> Result<(), RoundsError> {
        self.exchange.send(what).await.then_some(()).ok_or(RoundsError::Ended)
    }

    async fn take(&mut self, end: usize, event: Output, tally: &mut RoundsTally) -> Result<(), RoundsError> {
        match event {
            Output::Incoming { call, .. } => {
                self.incoming.insert(call);
                self.tell(ExchangeCommand::Accept(call)).await?;
                self.tell(ExchangeCommand::Answer(call)).await?;
            }
            Output::Answered(call) => match self.own {
                Some((own, false)) if own == call => {
                    tally.answered[end] += 1;
                    self.own = None;
                    self.tell(ExchangeCommand::Release(call, CAUSE)).await?;
                }
                // It stood just when its caller gave up: the release is on its way.
                _ => {}
            },
            Output::Ended(call, how) => {
                if self.own.take_if(|(own, _)| *own == call).is_some() {
                    *tally.ended.entry(format!("{how:?}")).or_default() += 1;
                }
                self.incoming.remove(&call);
                if !self.over.insert(call) {
                    tally.violations.push(format!("call {} ends twice: {how:?}", call.0));
                }
            }
            Output::Accepted(_) | Output::Send { .. } | Output::Report { .. } => {}
        }
        Ok(())
    }

    /// Patience is over: the own call is released; what came in ends when its caller's release comes.
    async fn give_up(&mut self, tally: &mut RoundsTally) -> Result<(), RoundsError> {
        if let Some((call, _)) = self.own.take() {
            tally.timed_out += 1;
            self.tell(ExchangeCommand::Release(call, CAUSE)).await?;
        }
        Ok(())
    }
}
