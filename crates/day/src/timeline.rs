//! The timeline of a run, independent of sockets and clocks: when each scheduled fault starts and ends, and
//! which injections that takes.

use std::collections::BTreeMap;

use baydrift::interface::Micros;
use baydrift_audit::RecordEvent;
use baydrift_emulator::{Command, LinkFault, OfferedLoad};
use serde::{Deserialize, Serialize};

use crate::scenario::{FaultKind, Participant, ResourceLimit, Scenario, ScheduledFault, Start};
use crate::topology::normal_load;

/// The list service's view of the servers, by number: the state of each, and when it started if it was
/// restarted. The fronts receive it after the list delay.
pub(crate) type Pool = Vec<(ListedState, Option<Micros>)>;

/// State of a server in the pool list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum ListedState {
    Ready,
    Draining,
    Gone,
}

/// Injects faults into the processes of a run; each driver has one.
pub(crate) trait FaultInjector {
    /// Sends a command to a server.
    fn command(&mut self, server: usize, command: Command);
    /// Sets the fault of a server's link.
    fn set_link_fault(&mut self, server: usize, fault: LinkFault);
    /// Sets the load that one front's callers offer.
    fn set_offered_load(&mut self, front: usize, offers: &OfferedLoad);
    /// Stops a front for the given time.
    fn stall(&mut self, front: usize, duration: Micros);
    /// Sets the share of messages between fronts that is lost.
    fn lose_messages(&mut self, share: f64);
    /// Publishes a pool list that reaches all fronts at `due`.
    fn publish_list(&mut self, due: Micros, pool: &Pool);
    /// Adds an event to the record.
    fn record(&mut self, event: RecordEvent);
    /// Injects a fault that needs separate processes. A driver without them rejects such a scenario before it
    /// starts.
    fn apply_process_fault(&mut self, _fault: ProcessFault) {}
}

/// Time that a repeatedly crashing front serves between two crashes, in microseconds.
pub(crate) const CRASH_INTERVAL: Micros = 400_000;

/// Faults of processes and of the network between them.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ProcessFault {
    /// Kills a front's process, or terminates it gracefully; another one starts `back_after` its end, if set.
    Stop { front: usize, kill: bool, back_after: Option<Micros>, start: Start },
    /// Imposes a resource limit on a front's process, or lifts it.
    Starve { front: usize, of: ResourceLimit, starved: bool },
    /// Kills a front `times` times, each time [`CRASH_INTERVAL`] after it serves again.
    Crash { front: usize, times: u32 },
    /// Stops or resumes a server's process.
    Freeze { server: usize, frozen: bool },
    /// Blocks one direction of the path between two processes, or unblocks it and delivers what was held.
    Sever { from: Participant, to: Participant, severed: bool },
    /// Resets all connections of a server.
    Reset { server: usize },
}

/// A step of the timeline.
enum Step {
    StartFault(ScheduledFault),
    EndFault(FaultKind),
    /// Changes the listed state of a server, by number; the flag is set if the server has just started.
    SetListedState(usize, ListedState, bool),
    /// Publishes the list unchanged.
    PublishList,
}

/// State of a run.
pub(crate) struct Timeline {
    /// Pending steps, by due time and order of scheduling.
    steps: BTreeMap<(Micros, usize), Step>,
    /// Order of the last step scheduled.
    last_order: usize,
    begin: Micros,
    end: Micros,
    pool: Pool,
    /// Delay before a new list reaches the fronts.
    list_lag: Micros,
    link_delay: Micros,
    normal_load: OfferedLoad,
    /// Current load of each front's callers.
    offers: Vec<OfferedLoad>,
    /// Number of active faults that block a path, by its direction.
    severed: BTreeMap<(Participant, Participant), usize>,
}

impl Timeline {
    pub(crate) fn new(scenario: &Scenario, begin: Micros) -> Self {
        let faults = scenario.faults.iter().enumerate();
        let mut steps: BTreeMap<_, _> = faults
            .map(|(order, fault)| ((begin + fault.at, order), Step::StartFault(fault.clone())))
            .collect();
        // The list service publishes its list at the start, since no front has one yet.
        steps.insert((begin, scenario.faults.len()), Step::PublishList);
        let normal_load = normal_load(scenario);
        Self {
            steps,
            last_order: scenario.faults.len() + 1,
            begin,
            end: begin + (scenario.seconds * 1e6) as Micros,
            pool: vec![(ListedState::Ready, None); scenario.servers.rates.len()],
            list_lag: scenario.list_lag,
            link_delay: scenario.servers.link_delay,
            offers: vec![normal_load.clone(); scenario.fronts as usize],
            normal_load,
            severed: BTreeMap::new(),
        }
    }

    /// Time at which callers stop offering calls.
    pub(crate) fn end(&self) -> Micros {
        self.end
    }

    /// Time at which [`Timeline::apply_due`] must be called next.
    pub(crate) fn next_due(&self) -> Micros {
        self.steps.keys().next().map_or(self.end, |key| key.0).min(self.end)
    }

    /// Applies all steps that are due. `progress` is called with the time in seconds and the description of
    /// each fault that starts.
    pub(crate) fn apply_due(
        &mut self,
        now: Micros,
        injector: &mut impl FaultInjector,
        progress: &mut impl FnMut(f64, &str),
    ) {
        while let Some(entry) = self.steps.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                Step::StartFault(fault) => {
                    let what = format!("{:?}", fault.kind);
                    progress((now - self.begin) as f64 / 1e6, &what);
                    if !fault.kind.is_load_change() {
                        injector.record(RecordEvent::Fault { what, over: now + fault.time_to_repair() });
                    }
                    self.start_fault(now, &fault, injector);
                }
                Step::EndFault(kind) => self.end_fault(&kind, injector),
                Step::PublishList => injector.publish_list(now, &self.pool),
                Step::SetListedState(server, state, started) => {
                    self.pool[server] = (state, started.then_some(now));
                    injector.publish_list(now + self.list_lag, &self.pool);
                }
            }
        }
    }

    /// Stops all callers from offering calls.
    pub(crate) fn stop_calls(&mut self, injector: &mut impl FaultInjector) {
        self.change_load(injector, |offers| offers.factor = 0.0);
    }

    fn schedule(&mut self, at: Micros, step: Step) {
        self.last_order += 1;
        self.steps.insert((at, self.last_order), step);
    }

    fn start_fault(&mut self, now: Micros, fault: &ScheduledFault, injector: &mut impl FaultInjector) {
        let ScheduledFault { duration, kind, .. } = fault;
        let over = now + duration;
        match kind {
            FaultKind::Drain { server, by_list, by_dpr, back_after } => {
                let (by_dpr, back_after) = (*by_dpr, *back_after);
                injector.command(*server, Command::Drain { by_dpr, stop_after: *duration, back_after });
                if *by_list {
                    self.schedule(now, Step::SetListedState(*server, ListedState::Draining, false));
                }
                self.schedule(over, Step::SetListedState(*server, ListedState::Gone, false));
                if let Some(back) = back_after {
                    self.schedule(over + back, Step::SetListedState(*server, ListedState::Ready, true));
                }
            }
            FaultKind::Die { server, back_after } => {
                injector.command(*server, Command::Die(*back_after));
                self.schedule(now, Step::SetListedState(*server, ListedState::Gone, false));
                if let Some(back) = back_after {
                    self.schedule(now + back, Step::SetListedState(*server, ListedState::Ready, true));
                }
            }
            FaultKind::Hang { server } => injector.command(*server, Command::Hang(true)),
            FaultKind::Slow { server, factor } => injector.command(*server, Command::Slow(*factor)),
            FaultKind::Pause { server } => injector.command(*server, Command::Pause(*duration)),
            FaultKind::LoseAnswers { server, share } => {
                injector.command(*server, Command::LoseAnswers(*share))
            }
            FaultKind::Cut { share } => {
                (0..self.pool.len()).for_each(|server| injector.command(server, Command::Cut(*share)));
            }
            FaultKind::LinkDown { server } => {
                injector.set_link_fault(
                    *server,
                    LinkFault { down: true, delay: self.link_delay, ..LinkFault::default() },
                );
            }
            // Only the direction from the server is stalled, so that the record has correct times for what
            // the front sends.
            FaultKind::LinkStalled { server } => {
                injector.set_link_fault(
                    *server,
                    LinkFault { stalled_back: true, delay: self.link_delay, ..LinkFault::default() },
                );
                self.record_for_each_front(injector, |front| RecordEvent::Unresponsive {
                    server: *server as u16,
                    front,
                });
            }
            FaultKind::Burst { factor } => self.change_load(injector, |offers| offers.factor = *factor),
            FaultKind::Hot { share } => self.change_load(injector, |offers| offers.hot_number_share = *share),
            FaultKind::Redials { times, wait } => {
                self.change_load(injector, |offers| (offers.redials, offers.redial_wait) = (*times, *wait));
            }
            FaultKind::Reconnect { front } => {
                self.offers[*front].reconnects += 1;
                injector.set_offered_load(*front, &self.offers[*front]);
            }
            FaultKind::Stall { front } => injector.stall(*front, *duration),
            FaultKind::ListLag { lag } => self.list_lag = *lag,
            FaultKind::Flood { publisher, factor } => {
                self.change_load(injector, |offers| offers.flood = Some((*publisher, *factor)))
            }
            FaultKind::MessagesLost { share } => injector.lose_messages(*share),
            FaultKind::Kill { front, back_after, start }
            | FaultKind::Restart { front, back_after, start } => {
                let kill = matches!(kind, FaultKind::Kill { .. });
                let (front, back_after, start) = (*front, *back_after, *start);
                injector.apply_process_fault(ProcessFault::Stop { front, kill, back_after, start });
            }
            FaultKind::Starve { front, of } => {
                injector.apply_process_fault(ProcessFault::Starve { front: *front, of: *of, starved: true });
            }
            FaultKind::Crashing { front, times } => {
                injector.apply_process_fault(ProcessFault::Crash { front: *front, times: *times })
            }
            FaultKind::Freeze { server } => {
                injector.apply_process_fault(ProcessFault::Freeze { server: *server, frozen: true })
            }
            FaultKind::Reset { server } => {
                injector.apply_process_fault(ProcessFault::Reset { server: *server })
            }
            FaultKind::Sever { from, to, one_way } => self.sever(from, to, *one_way, true, injector),
        }
        self.schedule(over, Step::EndFault(kind.clone()));
    }

    fn end_fault(&mut self, kind: &FaultKind, injector: &mut impl FaultInjector) {
        match kind {
            FaultKind::Hang { server } => injector.command(*server, Command::Hang(false)),
            FaultKind::Slow { server, .. } => injector.command(*server, Command::Slow(1.0)),
            FaultKind::LoseAnswers { server, .. } => injector.command(*server, Command::LoseAnswers(0.0)),
            FaultKind::LinkDown { server } => {
                injector
                    .set_link_fault(*server, LinkFault { delay: self.link_delay, ..LinkFault::default() });
            }
            FaultKind::LinkStalled { server } => {
                injector
                    .set_link_fault(*server, LinkFault { delay: self.link_delay, ..LinkFault::default() });
                self.record_for_each_front(injector, |front| RecordEvent::Responsive {
                    server: *server as u16,
                    front,
                });
            }
            FaultKind::Burst { .. } => self.change_load(injector, |offers| offers.factor = 1.0),
            FaultKind::Hot { .. } => self.change_load(injector, |offers| offers.hot_number_share = 0.0),
            FaultKind::Flood { .. } => self.change_load(injector, |offers| offers.flood = None),
            FaultKind::MessagesLost { .. } => injector.lose_messages(0.0),
            FaultKind::Starve { front, of } => {
                injector.apply_process_fault(ProcessFault::Starve { front: *front, of: *of, starved: false });
            }
            FaultKind::Freeze { server } => {
                injector.apply_process_fault(ProcessFault::Freeze { server: *server, frozen: false })
            }
            FaultKind::Sever { from, to, one_way } => self.sever(from, to, *one_way, false, injector),
            FaultKind::Redials { .. } => {
                let (times, wait) = (self.normal_load.redials, self.normal_load.redial_wait);
                self.change_load(injector, |offers| (offers.redials, offers.redial_wait) = (times, wait));
            }
            _ => {}
        }
    }

    /// Blocks or unblocks the paths between two groups. A path that two faults block at once is unblocked
    /// when both have ended.
    fn sever(
        &mut self,
        from: &[Participant],
        to: &[Participant],
        one_way: bool,
        severed: bool,
        injector: &mut impl FaultInjector,
    ) {
        let forward = from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b)));
        let backward = forward.clone().filter(|_| !one_way).map(|(a, b)| (b, a));
        for (from, to) in forward.chain(backward).filter(|(a, b)| a != b) {
            let count = self.severed.entry((from, to)).or_insert(0_usize);
            let was_severed = *count > 0;
            *count = if severed { *count + 1 } else { count.saturating_sub(1) };
            if was_severed != (*count > 0) {
                injector.apply_process_fault(ProcessFault::Sever { from, to, severed: *count > 0 });
            }
        }
    }

    fn record_for_each_front(&self, injector: &mut impl FaultInjector, event: impl Fn(u32) -> RecordEvent) {
        (0..self.offers.len() as u32).for_each(|front| injector.record(event(front)));
    }

    fn change_load(&mut self, injector: &mut impl FaultInjector, change: impl Fn(&mut OfferedLoad)) {
        for (front, offers) in self.offers.iter_mut().enumerate() {
            change(offers);
            injector.set_offered_load(front, offers);
        }
    }
}
