//! One call's way, and the moments that cross on it.

mod common;

use baydrift::interface::{ListKind, Note, Outcome, Repeat, Report, ServerState};
use baydrift_call::guard::Breach;
use baydrift_call::{
    AttemptEnd, CallStatus, Final, Input, Limits, LinkId, LinkState, Output, Process, Refusal, ReleaseResult,
    Retransmission,
};
use common::*;

#[test]
fn a_call_stands_and_is_released() {
    let mut w = World::new(Limits::default());
    let attempt = w.standing(1);
    assert_eq!(w.engine.calls_in_set_up(), 0);
    let out = w.input(Input::Released { session: session(1), request: request(1, 50) });
    assert_eq!(releases(&out), [attempt]);
    assert!(out.iter().any(|o| matches!(o, Output::AnswerRelease { result: ReleaseResult::Done, .. })));
    w.input(Input::ReleaseDone { attempt, report: Report::default() });
    assert_eq!((w.engine.calls_held(), w.engine.detached_attempts()), (0, 0));
}

#[test]
fn a_time_out_is_released_and_goes_elsewhere_after_the_guard() {
    let mut w = World::new(Limits::default());
    let (first, server) = set_up(&w.offer(1)).unwrap();
    let at = w.now;
    w.input(Input::Ended { attempt: first, end: AttemptEnd::plain(Outcome::Timeout) });
    let out = w.out.clone();
    assert_eq!((releases(&out), set_ups(&out)), (vec![first], 0));
    let out = w.pass(310 * MS);
    let (second, other) = set_up(&out).expect("a second attempt");
    assert!(other != server && w.now - at >= 300 * MS);
    // The late answer of the first changes nothing.
    assert!(w.stands(first).is_empty());
    assert_eq!(w.engine.counts().late, 1);
    assert_eq!(answers(&w.stands(second)), [Final::Established]);
}

#[test]
fn what_never_ran_goes_elsewhere_at_once() {
    let mut w = World::new(Limits::default());
    let (first, server) = set_up(&w.offer(1)).unwrap();
    let end = AttemptEnd { note: Note::ProcessorFull(0), ..AttemptEnd::plain(Outcome::Full) };
    let out = w.input(Input::Ended { attempt: first, end });
    assert!(set_up(&out).is_some_and(|(_, other)| other != server));
    assert!(releases(&out).is_empty());
}

#[test]
fn a_call_without_any_server_link_is_answered_in_time() {
    let mut w = World::new(Limits::default());
    w.link(0, LinkState::Down);
    w.link(1, LinkState::Down);
    let mut out = w.offer(1);
    out.extend(w.pass(3 * S));
    assert_eq!(answers(&out).len(), 1);
    assert_eq!(set_ups(&out), 0);
}

#[test]
fn a_repeat_gets_the_same_answer_and_no_second_attempt() {
    let mut w = World::new(Limits::default());
    let (attempt, _) = set_up(&w.offer(1)).unwrap();
    // Before the answer, by a new link: both wait, both get it.
    w.client_up(2, false);
    assert!(w.offer_by(1, request(2, 9), 0).is_empty());
    assert_eq!(answers(&w.stands(attempt)), [Final::Established, Final::Established]);
    // After it, while the call stands, and after it is over.
    assert_eq!(answers(&w.offer_by(1, request(2, 10), 0)), [Final::Established]);
    w.input(Input::Released { session: session(1), request: request(2, 11) });
    let out = w.offer_by(1, request(2, 12), 0);
    assert_eq!((answers(&out), set_ups(&out)), (vec![Final::Established], 0));
    assert_eq!(w.engine.counts().taken, 1);
    // Remembered for its time only.
    w.pass(Limits::default().cached_answer_ttl + S);
    assert_eq!(set_ups(&w.offer_by(1, request(2, 13), 0)), 1);
}

#[test]
fn a_call_said_before_to_a_process_that_was_killed_waits_until_nothing_of_it_can_be_out() {
    let mut w = World::new(Limits::default());
    // A new call goes at once; one that the process before this one may have set up waits for the guard.
    assert!(set_up(&w.offer(1)).is_some());
    assert_eq!((set_ups(&w.repeat(2)), w.engine.calls_in_set_up()), (0, 2));
    assert_eq!(set_ups(&w.pass(299 * MS)), 0);
    assert_eq!(set_ups(&w.pass(2 * MS)), 1);
    // Its caller leaves meanwhile: one answer, and nothing is set up for it later.
    let mut w = World::new(Limits::default());
    w.repeat(3);
    let out = w.input(Input::Released { session: session(3), request: request(1, 50) });
    assert_eq!(answers(&out).len(), 1);
    assert_eq!(set_ups(&w.pass(5 * S)), 0);
    // One of which nobody can tell, and whose caller would leave without a word, is refused at once; a copy gets
    // the same answer, also later.
    let mut w = World::new(Limits::default());
    let refused = Final::Refused { retry_after: 300 * MS, why: Refusal::JustStarted };
    assert_eq!(answers(&w.said(5, Retransmission::Unknown)), [refused]);
    assert_eq!(set_ups(&w.pass(5 * S)), 0);
    assert_eq!(answers(&w.said(5, Retransmission::Unknown)), [refused]);
    assert!(set_up(&w.said(6, Retransmission::Unknown)).is_some());
    // Long after the start there is nothing to wait for.
    assert!(set_up(&w.repeat(4)).is_some());
}

#[test]
fn a_call_said_before_that_lay_here_while_the_front_stood_still_is_refused() {
    // What its caller has left nobody here knows, and word of its leave may be read after it (days/fleet.kdl --virtual
    // --drawn --fleet: seed 605 with a wait for the first list, seed 1542 without).
    let refused = Final::Refused { retry_after: 0, why: Refusal::JustStarted };
    let mut w = World::new(Limits::default());
    w.repeat(1);
    w.engine.set_input_delay(S);
    let out = w.pass(S);
    assert_eq!((answers(&out), set_ups(&out)), (vec![refused], 0));
    // Read after the stall: marked, or where nobody marks. A new one, and one by a process so old that no caller of
    // the one before waits any more, go on.
    assert_eq!(
        (answers(&w.repeat(2)), answers(&w.said(3, Retransmission::Unknown))),
        (vec![refused], vec![refused])
    );
    assert!(set_up(&w.offer(4)).is_some());
    w.engine.set_input_delay(0);
    assert!(set_up(&w.repeat(5)).is_some());
    w.pass(30 * S);
    w.engine.set_input_delay(S);
    assert!(set_up(&w.repeat(6)).is_some());
}

#[test]
fn a_server_that_nobody_told_of_yet_counts_as_cold_until_the_first_list() {
    let mut w = World::new(Limits::default());
    w.engine.expect_server_list(w.now);
    w.pass(500 * MS);
    // Many calls at once: no more go to either than a cold one may get. Seed 2741 pushed one over (rule 4).
    let before = (1..=40).map(|n| set_ups(&w.offer(n))).sum::<usize>();
    assert!(before <= 4, "{before} set-ups to servers that may be cold");
    w.input(Input::List(ListKind::Full, vec![entry(0, ServerState::Ready), entry(1, ServerState::Ready)]));
    let after = (41..=80).map(|n| set_ups(&w.offer(n))).sum::<usize>();
    assert!(after >= 30, "{after} set-ups to servers that are warm");
    // No list comes: a second later they count as its configuration says.
    let mut w = World::new(Limits::default());
    w.engine.expect_server_list(w.now);
    w.pass(S + 10 * MS);
    let after = (1..=40).map(|n| set_ups(&w.offer(n))).sum::<usize>();
    assert!(after >= 30, "{after} set-ups after a second without a list");
}

#[test]
fn a_caller_that_gives_up_first_gets_one_answer_and_its_attempt_is_released() {
    let mut w = World::new(Limits::default());
    let (attempt, _) = set_up(&w.offer(1)).unwrap();
    let out = w.input(Input::Released { session: session(1), request: request(1, 2) });
    assert_eq!((answers(&out), releases(&out)), (vec![Final::Failed], vec![attempt]));
    // The set-up stands in that very moment: too late.
    assert!(w.stands(attempt).is_empty());
    w.input(Input::ReleaseDone { attempt, report: Report::default() });
    let rest = w.pass(5 * S);
    assert_eq!((answers(&rest).len(), set_ups(&rest), w.engine.detached_attempts()), (0, 0, 0));
}

#[test]
fn a_release_by_a_stranger_touches_nothing() {
    let mut w = World::new(Limits::default());
    w.standing(1);
    let mut theirs = session(1);
    theirs.owner = "stranger.test".into();
    let out = w.input(Input::Released { session: theirs, request: request(1, 2) });
    assert!(matches!(out[..], [Output::AnswerRelease { result: ReleaseResult::Unknown, .. }]));
    assert_eq!(w.engine.calls_held(), 1);
}

#[test]
fn a_silent_watchdog_ends_what_is_out_and_spares_what_stands() {
    let mut w = World::new(Limits::default());
    let standing = w.standing(1);
    let (out_there, server) = set_up(&w.offer(2)).unwrap();
    // Its transport is still there: the server is told before another one is asked.
    let out = w.link(server, LinkState::Suspect);
    assert_eq!((set_ups(&out), releases(&out)), (0, vec![out_there]));
    let (second, other) = set_up(&w.pass(310 * MS)).expect("goes elsewhere");
    assert_ne!(other, server);
    w.stands(second);
    // Nothing new goes to the suspect.
    assert!(set_up(&w.offer(3)).is_none_or(|(_, to)| to != server));
    let out = w.link(server, LinkState::Up(Process::Same));
    assert!(!releases(&out).contains(&standing));
    assert_eq!(w.engine.counts().cut, 0);
}

#[test]
fn a_release_that_a_suspect_may_not_have_read_is_said_again_once() {
    let mut w = World::new(Limits::default());
    let (out_there, server) = set_up(&w.offer(1)).unwrap();
    assert_eq!(releases(&w.link(server, LinkState::Suspect)), [out_there]);
    w.pass(2_100 * MS);
    let out = w.link(server, LinkState::Up(Process::Same));
    assert_eq!(releases(&out), [out_there]);
    assert_eq!(w.engine.detached_attempts(), 0);
    // With its transport goes its release, and is said on the next.
    let (second, server) = set_up(&w.offer(2)).unwrap();
    assert_eq!(releases(&w.link(server, LinkState::Suspect)), [second]);
    assert!(releases(&w.link(server, LinkState::Down)).is_empty());
    assert_eq!(releases(&w.link(server, LinkState::Up(Process::Same))), [second]);
}

#[test]
fn a_restarted_server_has_lost_its_calls() {
    let mut w = World::new(Limits::default());
    w.standing(1);
    w.link(0, LinkState::Down);
    assert_eq!(w.engine.calls_held(), 1);
    let out = w.link(0, LinkState::Up(Process::New));
    assert!(out.iter().any(|o| matches!(o, Output::Cut { link: LinkId(1), .. })));
    assert_eq!((w.engine.calls_held(), releases(&out).len()), (0, 0));
}

#[test]
fn a_drain_told_by_list_or_peer_or_both_stops_set_ups_at_once() {
    for order in 0..4 {
        let mut w = World::new(Limits::default());
        let list = Input::List(ListKind::Delta, vec![entry(0, ServerState::Draining)]);
        match order {
            0 => drop(w.input(list)),
            1 => drop(w.input(Input::DrainAnnounced(0))),
            2 => drop((w.input(list), w.input(Input::DrainAnnounced(0)))),
            _ => drop((w.input(Input::DrainAnnounced(0)), w.input(list))),
        }
        for id in 0..50 {
            assert!(set_up(&w.offer(id)).is_none_or(|(_, server)| server == 1), "order {order}");
        }
        assert_eq!(w.engine.held_back(Breach::Drained), 0);
        // The list may say ready late; while the server itself left, it stays out until another process is there. A
        // link that was lost and comes back to the same process says nothing.
        w.input(Input::List(ListKind::Delta, vec![entry(0, ServerState::Ready)]));
        let back = set_up(&w.offer(60)).is_some_and(|(_, server)| server == 0);
        assert_eq!(back, order == 0);
        w.link(0, LinkState::Down);
        w.link(0, LinkState::Up(Process::Same));
        let back = set_up(&w.offer(61)).is_some_and(|(_, server)| server == 0);
        assert_eq!(back, order == 0);
        w.pass(61_000 * MS);
        w.link(0, LinkState::Up(Process::Same));
        assert!(set_up(&w.offer(62)).is_some_and(|(_, server)| server == 0));
    }
}

#[test]
fn a_lost_client_leaves_nothing_behind() {
    let mut w = World::new(Limits::default());
    let standing = w.standing(1);
    let (attempt, _) = set_up(&w.offer(2)).unwrap();
    w.input(Input::ClientDown(LinkId(1)));
    // No one is there to be answered, but the call goes on for who asks again.
    assert!(w.stands(attempt).is_empty());
    w.client_up(2, false);
    assert_eq!(answers(&w.offer_by(2, request(2, 1), 0)), [Final::Established]);
    w.input(Input::ClientDown(LinkId(2)));
    let out = w.pass(Limits::default().client_absence + S);
    assert_eq!(releases(&out), [standing, attempt]);
    w.pass(3 * S);
    assert_eq!((w.engine.calls_held(), w.engine.detached_attempts(), w.engine.calls_in_set_up()), (0, 0, 0));
}

#[test]
fn a_restarted_client_has_its_calls_released() {
    let mut w = World::new(Limits::default());
    let standing = w.standing(1);
    let (attempt, _) = set_up(&w.offer(2)).unwrap();
    let out = w.client_up(2, true);
    assert_eq!(releases(&out), [standing, attempt]);
    assert_eq!((w.engine.calls_held(), answers(&out)), (0, vec![Final::Failed]));
}

#[test]
fn bounds_refuse_with_an_answer_of_their_own() {
    let limits = Limits {
        calls: 3,
        in_set_up_per_link: 2,
        cached_answers: 2,
        detached_attempts: 1,
        ..Limits::default()
    };
    let mut w = World::new(limits);
    w.offer(1);
    w.offer(2);
    let refused = Final::Refused { retry_after: 0, why: Refusal::Bound };
    assert_eq!(answers(&w.offer(3)), [refused]);
    w.client_up(2, false);
    assert_eq!(set_ups(&w.offer_by(4, request(2, 1), 0)), 1);
    assert_eq!(answers(&w.offer_by(5, request(2, 2), 0)), [refused]);
    assert_eq!(w.engine.counts().bound, 2);
    // Memory of answers and orphans are bounded too, and what is lost is counted.
    w.offer_by(6, request(2, 3), 0);
    assert_eq!((w.engine.cached_answers(), w.engine.counts().forgotten), (2, 1));
    w.link(0, LinkState::Down);
    w.link(1, LinkState::Down);
    assert_eq!(w.engine.detached_attempts(), 1);
    assert!(w.engine.counts().given_up >= 1);
}

#[test]
fn orphans_are_released_in_batches() {
    let mut w = World::new(Limits::default());
    for id in 0..40 {
        assert!(set_up(&w.offer_by(id, request(1, u64::from(id)), 0)).is_some());
        w.pass(MS);
    }
    w.input(Input::List(ListKind::Delta, vec![entry(1, ServerState::Draining)]));
    w.link(0, LinkState::Down);
    let waiting = w.engine.detached_attempts();
    let at_once = releases(&w.link(0, LinkState::Up(Process::Same))).len();
    assert!(waiting > 16 && at_once == 16, "{waiting} {at_once}");
    let later = releases(&w.pass(500 * MS)).len();
    assert_eq!(at_once + later, waiting);
}

#[test]
fn a_stop_answers_what_is_undecided_and_takes_nothing_new() {
    let mut w = World::new(Limits::default());
    w.standing(1);
    let (attempt, _) = set_up(&w.offer(2)).unwrap();
    let out = w.input(Input::Stop);
    let stopping = Final::Refused { retry_after: 0, why: Refusal::Stopping };
    assert_eq!((answers(&out), releases(&out)), (vec![stopping], vec![attempt]));
    assert_eq!(answers(&w.offer(3)), [stopping]);
    assert_eq!(w.engine.calls_held(), 1);
}

/// Guards against 'refused', which says that trying again is harmless, for a call that may run and must not run twice.
#[test]
fn a_stop_fails_a_call_that_was_sent_and_must_not_run_twice() {
    let mut once = settings();
    once.classes[0].repeat = Repeat::Never;
    let mut w = World::with(once, Limits::default());
    let (attempt, _) = set_up(&w.offer(1)).unwrap();
    let out = w.input(Input::Stop);
    assert_eq!((answers(&out), releases(&out)), (vec![Final::Failed], vec![attempt]));
    let stopping = Final::Refused { retry_after: 0, why: Refusal::Stopping };
    assert_eq!(answers(&w.offer(2)), [stopping], "what was never sent is refused");
}

#[test]
fn an_own_stall_hears_drains_before_it_sends() {
    let mut w = World::new(Limits::default());
    let (attempt, server) = set_up(&w.offer(1)).unwrap();
    assert_eq!(server, 0);
    w.input(Input::Ended { attempt, end: AttemptEnd::plain(Outcome::Timeout) });
    w.stall(2 * S);
    // Both the resend and the drain of the other server fell into the stall.
    let mut out = w.input(Input::List(ListKind::Delta, vec![entry(1, ServerState::Draining)]));
    out.extend(w.pass(20 * MS));
    assert!(set_up(&out).is_none_or(|(_, to)| to == 0));
    out.extend(w.pass(3 * S));
    assert_eq!(answers(&out).len(), 1);
    assert_eq!(w.engine.held_back(Breach::Drained), 0);
}

#[test]
fn a_call_ends_by_its_servers_word_also_when_its_answer_was_lost() {
    let mut w = World::new(Limits::default());
    let standing = w.standing(1);
    w.input(Input::Cleared { attempt: standing, report: Report::default() });
    assert_eq!((w.engine.calls_held(), w.engine.counts().cut), (0, 0));
    let (attempt, _) = set_up(&w.offer(2)).unwrap();
    let mut out = w.input(Input::Cleared { attempt, report: Report::default() });
    out.extend(w.pass(3 * S));
    assert_eq!((answers(&out), set_ups(&out)), (vec![Final::Failed], 0));
    assert_eq!(w.engine.calls_held(), 0);
}

#[test]
fn a_call_that_stands_already_is_taken_over_once() {
    let mut w = World::new(Limits::default());
    let adopted = |w: &mut World| w.input(Input::Adopted { session: session(1), class: 0, server: 0 });
    let out = adopted(&mut w);
    let Some(Output::Adopted { attempt, server: 0, .. }) = out.first() else { panic!("{out:?}") };
    assert_eq!(w.engine.call_status(&session(1)), Some(CallStatus::Established));
    let attempt = *attempt;
    assert!(adopted(&mut w).is_empty());
    let out = w.input(Input::Released { session: session(1), request: request(1, 50) });
    assert_eq!((releases(&out), set_ups(&out)), (vec![attempt], 0));
    assert_eq!(w.engine.call_status(&session(1)), Some(CallStatus::Ended));
    assert_eq!(w.engine.call_status(&session(2)), None);
}
