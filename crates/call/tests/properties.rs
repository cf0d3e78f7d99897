//! Invariants under random event sequences: one answer per request, one attempt at a time per call, hold-offs
//! kept and nothing left over.

mod common;

use std::collections::BTreeMap;

use baydrift::interface::{ListKind, Micros, Note, Outcome, Report, ServerState};
use baydrift_call::guard::{Breach, CallProgress, Guard};
use baydrift_call::{AttemptEnd, AttemptId, Input, Limits, LinkId, LinkState, Output, Process, Session};
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Debug, Clone)]
enum Step {
    Offer(u32, u16),
    Release(u32),
    Answer(usize, u8),
    Cut(usize),
    Advance(u16),
    Stall(u16),
    Link(u64, u8),
    State(u64, u8),
    ClientRestart,
    ClientLost,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0u32..40, 0u16..2).prop_map(|(id, first)| Step::Offer(id, first)),
        2 => (0u32..40).prop_map(Step::Release),
        6 => (0usize..50, 0u8..6).prop_map(|(pick, how)| Step::Answer(pick, how)),
        1 => (0usize..50).prop_map(Step::Cut),
        4 => (0u16..1500).prop_map(Step::Advance),
        1 => (0u16..3000).prop_map(Step::Stall),
        2 => (0u64..2, 0u8..4).prop_map(|(server, to)| Step::Link(server, to)),
        1 => (0u64..2, 0u8..3).prop_map(|(server, to)| Step::State(server, to)),
        1 => Just(Step::ClientRestart),
        1 => Just(Step::ClientLost),
    ];
    proptest::collection::vec(step, 1..120)
}

/// Records the engine's outputs and checks them against the invariants.
#[derive(Default)]
struct Ledger {
    in_flight: BTreeMap<Session, AttemptId>,
    unconfirmed_ends: BTreeMap<Session, Micros>,
    sessions: BTreeMap<AttemptId, Session>,
    servers: BTreeMap<AttemptId, u64>,
    sent: BTreeMap<Session, u32>,
    answered: BTreeMap<Session, baydrift_call::Final>,
    pending: BTreeMap<u64, Session>,
    attempts: Vec<AttemptId>,
}

impl Ledger {
    fn check(&mut self, now: Micros, outputs: &[Output<u32>]) {
        for output in outputs {
            match output {
                Output::SetUp { attempt, session, server, .. } => {
                    assert!(!self.answered.contains_key(session), "set-up after the answer");
                    assert!(
                        self.in_flight.insert(session.clone(), *attempt).is_none(),
                        "two attempts in flight"
                    );
                    let ended = self.unconfirmed_ends.get(session);
                    assert!(
                        ended.is_none_or(|at| now >= at + 300 * MS),
                        "{now}: within the hold-off: {output:?} {ended:?}"
                    );
                    let sent = self.sent.entry(session.clone()).or_default();
                    *sent += 1;
                    assert!(*sent <= 5);
                    self.sessions.insert(*attempt, session.clone());
                    self.servers.insert(*attempt, *server);
                    self.attempts.push(*attempt);
                }
                Output::Release { attempt, .. } => self.end_unconfirmed(now, *attempt),
                Output::Answer { request, session, answer } => {
                    assert_eq!(
                        self.pending.remove(&request.ticket).as_ref(),
                        Some(session),
                        "answer to a request that is not pending"
                    );
                    let first = self.answered.entry(session.clone()).or_insert(*answer);
                    assert_eq!(first, answer, "answer differs from the first one");
                    self.in_flight.remove(session);
                }
                _ => {}
            }
        }
    }

    fn end_unconfirmed(&mut self, now: Micros, attempt: AttemptId) {
        if let Some(session) = self.sessions.get(&attempt) {
            if self.in_flight.get(session) == Some(&attempt) {
                self.in_flight.remove(session);
                self.unconfirmed_ends.insert(session.clone(), now);
            }
        }
    }
}

/// A fixed seed makes runs reproducible; set `PROPTEST_CASES` and `PROPTEST_RNG_SEED` to explore other cases.
fn config() -> ProptestConfig {
    let wider = std::env::var_os("PROPTEST_CASES").is_some();
    let fixed = ProptestConfig { cases: 192, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() };
    let config = if wider { ProptestConfig::default() } else { fixed };
    ProptestConfig { failure_persistence: None, ..config }
}

/// Advances time, fires all timers on the way and checks the outputs.
fn advance(harness: &mut Harness, ledger: &mut Ledger, span: Micros) {
    let until = harness.now + span;
    while let Some(at) = harness.engine.next_wake().filter(|at| *at <= until) {
        harness.now = harness.now.max(at);
        let out = harness.input(Input::Tick);
        ledger.check(harness.now, &out);
    }
    harness.now = until;
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn rules_hold_for_random_sequences(steps in steps()) {
        let mut harness = Harness::new(Limits::default());
        let mut ledger = Ledger::default();
        let (mut ticket, mut link) = (1_000u64, 1u64);
        for step in steps {
            let input = match step {
                Step::Offer(id, first) => {
                    ticket += 1;
                    ledger.pending.insert(ticket, session(id));
                    let out = harness.offer_with(id, request(link, ticket), first);
                    ledger.check(harness.now, &out);
                    continue;
                }
                Step::Release(id) => Input::Released { session: session(id), request: request(link, 0) },
                Step::Answer(pick, how) => {
                    let Some(attempt) = ledger.attempts.get(pick % ledger.attempts.len().max(1)).copied() else {
                        continue;
                    };
                    let report = Report { wait_s: Some(0.1), ..Report::default() };
                    let outcomes = [Outcome::Full, Outcome::Error, Outcome::Reset, Outcome::Timeout];
                    match how {
                        0 => Input::Established { attempt, report },
                        5 => Input::ReleaseDone { attempt, report },
                        how => {
                            let outcome = outcomes[usize::from(how) - 1];
                            if matches!(outcome, Outcome::Reset | Outcome::Timeout) {
                                ledger.end_unconfirmed(harness.now, attempt);
                            } else if let Some(session) = ledger.sessions.get(&attempt) {
                                if ledger.in_flight.get(session) == Some(&attempt) {
                                    ledger.in_flight.remove(session);
                                }
                            }
                            Input::Ended { attempt, end: AttemptEnd { outcome, note: Note::None, report } }
                        }
                    }
                }
                Step::Cut(pick) => {
                    let Some(attempt) = ledger.attempts.get(pick % ledger.attempts.len().max(1)).copied() else {
                        continue;
                    };
                    ledger.end_unconfirmed(harness.now, attempt);
                    Input::Cut { attempt, report: Report::default() }
                }
                Step::Advance(ms) => {
                    advance(&mut harness, &mut ledger, u64::from(ms) * MS);
                    continue;
                }
                Step::Stall(ms) => {
                    harness.stall(u64::from(ms) * MS);
                    continue;
                }
                Step::Link(server, to) => {
                    let state = match to {
                        0 => LinkState::Down,
                        1 => LinkState::Suspect,
                        2 => LinkState::Up(Process::New),
                        _ => LinkState::Up(Process::Same),
                    };
                    // In-flight attempts at the server end, with or without a release.
                    if !matches!(state, LinkState::Up(Process::Same)) {
                        let there = |attempt: &&AttemptId| ledger.servers.get(attempt) == Some(&server);
                        let out: Vec<_> = ledger.in_flight.values().filter(there).copied().collect();
                        for attempt in out {
                            ledger.end_unconfirmed(harness.now, attempt);
                        }
                    }
                    Input::ServerLink { server, state }
                }
                Step::State(server, to) => {
                    let states = [ServerState::Ready, ServerState::Draining, ServerState::Gone];
                    Input::List(ListKind::Delta, vec![entry(server, states[usize::from(to)])])
                }
                Step::ClientRestart => {
                    link += 1;
                    let out = harness.client_up(link, true);
                    ledger.check(harness.now, &out);
                    let out = harness.input(Input::ClientDown(LinkId(link - 1)));
                    ledger.check(harness.now, &out);
                    continue;
                }
                Step::ClientLost => {
                    ledger.pending.clear();
                    let out = harness.input(Input::ClientDown(LinkId(link)));
                    ledger.check(harness.now, &out);
                    link += 1;
                    harness.client_up(link, false);
                    continue;
                }
            };
            let out = harness.input(input);
            ledger.check(harness.now, &out);
        }
        // After all deadlines every request is answered; after the client's absence no calls are left.
        advance(&mut harness, &mut ledger, 5 * S);
        harness.input(Input::ClientDown(LinkId(link)));
        prop_assert!(ledger.pending.is_empty(), "unanswered: {:?}", ledger.pending);
        harness.advance(60 * S);
        prop_assert_eq!((harness.engine.active_calls(), harness.engine.calls_in_set_up()), (0, 0));
        for breach in [Breach::SecondAttempt, Breach::Answered, Breach::TooSoon, Breach::TooMany] {
            prop_assert_eq!(harness.engine.held_back(breach), 0, "{:?}", breach);
        }
    }
}

/// The guard blocks each kind of violation on its own, independent of the policy.
#[test]
fn guard_blocks_each_breach() {
    let mut guard = Guard::new(&settings(), S, Some(2.0));
    let now = 10 * S;
    let unsent = CallProgress::default();
    assert_eq!(guard.check(now, unsent, 0, None, false), Ok(()));
    let cases = [
        (CallProgress { in_flight: true, ..unsent }, None, Breach::SecondAttempt),
        (CallProgress { sent: 5, ..unsent }, None, Breach::TooMany),
        (unsent, Some(now - S - 1), Breach::Drained),
        (CallProgress { unconfirmed_end_at: Some(now - 299 * MS), ..unsent }, None, Breach::TooSoon),
    ];
    for (progress, unavailable_since, breach) in cases {
        assert_eq!(guard.check(now, progress, 0, unavailable_since, false), Err(breach));
        assert_eq!(guard.held_back(breach), 1);
    }
    assert_eq!(guard.check(now, unsent, 0, Some(now - S), false), Ok(()));
    // A cold server: 2 per second and a burst of 3.
    let sent = (0..40).filter(|i| guard.check(now + i * 100 * MS, unsent, 1, None, true).is_ok()).count();
    assert!((9..=11).contains(&sent), "{sent}");
    assert!(guard.held_back(Breach::Cold) > 0);
}
