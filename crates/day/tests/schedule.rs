//! Formatting, parsing and minimizing of fault schedules.

use baydrift_day::{
    format_schedule, parse, parse_schedule, with_random_faults, with_random_process_faults, Minimizer,
    Participant, Scenario,
};

fn scenario() -> Scenario {
    let text = include_str!("../../../days/twelve.kdl");
    parse("twelve.kdl", text).expect("a valid scenario")
}

#[test]
fn random_schedules_survive_formatting_and_parsing() {
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..120 {
        let scenario = Scenario { seed, ..scenario() };
        for random in [with_random_faults(&scenario), with_random_process_faults(&scenario)] {
            let text = format_schedule(&random.faults);
            kinds.extend(text.lines().filter_map(|line| line.split(' ').next()).map(str::to_owned));
            let parsed =
                parse_schedule("random.kdl", &text, &scenario).unwrap_or_else(|e| panic!("{e}: {text}"));
            assert_eq!(parsed, random.faults, "{text}");
        }
    }
    assert!(kinds.len() >= 18, "{kinds:?}");
}

#[test]
fn schedules_with_unknown_targets_or_settings_are_rejected() {
    for invalid in [
        "kill front=12 at=\"1s\"",
        "reset server=6 at=\"1s\"",
        "calls per-second=3",
        "kil front=0 at=\"1s\"",
        "kill fronts=\"3-1\" at=\"1s\"",
        "kill fronts=\"0-12\" at=\"1s\"",
        "hang fronts=\"0-1\" at=\"1s\"",
    ] {
        assert!(parse_schedule("invalid.kdl", invalid, &scenario()).is_err(), "{invalid}");
    }
    let range = parse_schedule("range.kdl", "kill fronts=\"3-9\" at=\"1s\" back-after=\"50ms\"", &scenario())
        .expect("a range");
    assert_eq!(
        (range.len(), range[0].kind.participants(), range[6].kind.participants()),
        (7, vec![Participant::Front(3)], vec![Participant::Front(9)])
    );
}

#[test]
fn failing_list_is_reduced_to_the_required_elements() {
    // The list fails only while it holds all required elements, of which there are one to twenty.
    for required in [vec![0, 7, 19], vec![3], vec![0, 1], vec![18, 19], (0..20).collect()] {
        let mut minimizer = Minimizer::new((0..20).collect::<Vec<_>>());
        while let Some(trial) = minimizer.trial() {
            minimizer.record_trial(required.iter().all(|n| trial.contains(n)));
            assert!(minimizer.trials() < 500);
        }
        assert_eq!(minimizer.minimal(), required, "{} trials", minimizer.trials());
    }
    // If every list fails, no element is required. If only the full list fails, none can be removed.
    let mut minimizer = Minimizer::new(vec![1, 2, 3]);
    while minimizer.trial().is_some() {
        minimizer.record_trial(true);
    }
    assert!(minimizer.minimal().is_empty());
    let mut minimizer = Minimizer::new(vec![1, 2, 3, 4]);
    while let Some(trial) = minimizer.trial() {
        minimizer.record_trial(trial.len() == 4);
    }
    assert_eq!(minimizer.minimal().len(), 4);
}
