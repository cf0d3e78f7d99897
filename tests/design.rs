//! Steps 1 to 5 of the design page, tested through the actions that a front receives.

mod common;
use baydrift::interface::*;
use common::*;

fn with_report(report: Report, seconds: u64) -> Front {
    let mut front = Front::new(settings(), &[entry(10, 0)]);
    // Calls arrive at a steady rate, which the queue and rate set-points need.
    for _ in 0..seconds * 5 {
        front.report(10, report);
        for _ in 0..2 {
            let (id, actions) = front.call();
            if sent(&actions).is_some() {
                front.established(id, 10, 20 * MS);
            }
            front.advance(100 * MS);
        }
    }
    front.report(10, report);
    front
}

#[test]
fn steps_1_to_3_reject_calls_on_high_reported_load() {
    let none = Report::default();
    let overloaded = [
        Report { busy: Some(1.0), ..none },
        Report { wait_s: Some(1.5), ..none },
        Report { queue: Some(60.0), ..none },
        Report { reduction: Some(0.6), ..none },
    ];
    let underloaded = [
        Report { busy: Some(0.5), ..none },
        Report { wait_s: Some(0.05), ..none },
        Report { queue: Some(0.0), ..none },
        Report { reduction: Some(0.0), ..none },
    ];
    for (high, low) in overloaded.into_iter().zip(underloaded) {
        let share = with_report(high, 8).refused_share(300, 0);
        assert!(share > 0.2, "{high:?}: {share}");
        let share = with_report(low, 8).refused_share(300, 0);
        assert_eq!(share, 0.0, "{low:?}");
    }
}

#[test]
fn reported_reduction_is_the_reject_fraction() {
    let share = with_report(Report { reduction: Some(0.4), ..Report::default() }, 4).refused_share(1000, 0);
    assert!((share - 0.4).abs() < 0.05, "{share}");
}

#[test]
fn reported_reduction_takes_precedence() {
    let report = Report { reduction: Some(0.0), queue: Some(99.0), busy: Some(1.0), ..Report::default() };
    assert_eq!(with_report(report, 4).refused_share(200, 0), 0.0);
}

#[test]
fn reported_rate_below_requested_rate_rejects_calls() {
    // A server that was too small from the start: 10 calls a second to one that accepts 0.5.
    let mut front = Front::new(settings(), &[entry(10, 0)]);
    let mut refused = 0;
    for _ in 0..80 {
        front.report(10, Report { rate: Some(0.5), ..Report::default() });
        let (id, actions) = front.call();
        refused += u32::from(is_refused(&actions));
        front.event(Event::Abandoned(id));
        front.advance(100 * MS);
    }
    assert!(refused > 35, "{refused} of 80");
}

#[test]
fn noisy_steady_rate_rejects_nothing() {
    // An error of 1 - rate/highest is never negative, so that noise alone would wind up the integral.
    let mut front = Front::new(settings(), &[entry(10, 0)]);
    for i in 0..200u32 {
        let rate = 40.0 + f64::from(i * 7 % 11) - 5.0;
        front.report(10, Report { rate: Some(rate), ..Report::default() });
        let (id, actions) = front.call();
        assert!(sent(&actions).is_some());
        front.established(id, 10, 20 * MS);
        front.advance(200 * MS);
    }
}

#[test]
fn step_4_paces_sends_if_queue_and_rate_are_reported() {
    let both = Report { queue: Some(8.0), rate: Some(20.0), ..Report::default() };
    let mut front = Front::new(settings(), &[entry(10, 0)]);
    front.report(10, both);
    front.advance(100 * MS);
    let outcomes: Vec<_> = (0..10).map(|_| front.call().1).collect();
    let at_once = outcomes.iter().filter(|a| sent(a).is_some()).count();
    let held = outcomes.iter().filter(|a| sent(a).is_none() && !is_refused(a)).count();
    assert!(at_once <= 2 && held >= 5, "{at_once} sent, {held} held");
    // They are sent once the queue is empty.
    front.report(10, Report { queue: Some(0.0), ..both });
    let later = front.advance(2 * S);
    assert!(later.iter().filter(|a| matches!(a, Action::Send { .. })).count() >= 3);
    // With only the queue reported, calls are sent at once.
    let mut front = Front::new(settings(), &[entry(10, 0)]);
    front.report(10, Report { queue: Some(1.0), ..Report::default() });
    assert!((0..10).all(|_| sent(&front.call().1).is_some()));
}

#[test]
fn step_4_rejects_held_calls_past_target_time() {
    let mut front = Front::new(settings(), &[entry(10, 0)]);
    let mut waiting = Vec::new();
    let mut refused = 0;
    for _ in 0..60 {
        front.report(10, Report { queue: Some(200.0), rate: Some(2.0), ..Report::default() });
        let (id, actions) = front.call();
        if sent(&actions).is_none() && !is_refused(&actions) {
            waiting.push(id);
        }
        refused += front
            .advance(100 * MS)
            .iter()
            .filter(|a| matches!(a, Action::Refuse { call, .. } if waiting.contains(call)))
            .count();
    }
    assert!(refused > 0, "of {} held", waiting.len());
}

#[test]
fn step_5_prefers_first_choice_then_fewer_unanswered() {
    let servers = [entry(10, 0), entry(11, 1), entry(12, 2)];
    let mut front = Front::new(settings(), &servers);
    assert!(
        (0..10).all(|_| sent(&front.call().1).map(|s| s.0) == Some(10)),
        "the first choice takes all, whatever is unanswered"
    );
    // Without free circuits at the first choice, the less loaded of the two others is taken.
    front.event(Event::Probed {
        server: 10,
        outcome: Outcome::Ok,
        lag: 0,
        report: Report { free: Some(0.0), circuits: Some(50.0), ..Report::default() },
    });
    let mut count = [0, 0];
    for _ in 0..20 {
        let (server, _) = sent(&front.call().1).expect("sent");
        count[(server - 11) as usize] += 1;
    }
    assert_eq!(count, [10, 10], "unanswered set-ups stay level between the two");
}

#[test]
fn probes_servers_slowly_and_only_if_allowed() {
    let probes = |settings: Settings| {
        let actions = Front::new(settings, &[entry(10, 0), entry(11, 1)]).advance(10 * S);
        actions.iter().filter(|a| matches!(a, Action::Probe(_))).count()
    };
    let by_probe = Settings { reports: ReportPath::Probes, may_probe: true, ..settings() };
    let n = probes(by_probe.clone());
    assert!((16..=22).contains(&n), "{n} probes of two servers in 10 s");
    assert_eq!(probes(Settings { may_probe: false, ..by_probe }), 0);
    assert_eq!(probes(Settings { may_probe: true, ..settings() }), 0);
}
