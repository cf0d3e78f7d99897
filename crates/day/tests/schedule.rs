//! Schedules in writing and cut short.

use baydrift_day::{drawn, drawn_for_processes, parse, parse_troubles, schedule_text, Day, Party, Shorten};

fn day() -> Day {
    let script = include_str!("../../../days/twelve.kdl");
    parse("twelve.kdl", script).expect("a good script")
}

#[test]
fn what_is_drawn_is_printed_and_read_again_the_same() {
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..120 {
        let of = Day { seed, ..day() };
        for drawn in [drawn(&of), drawn_for_processes(&of)] {
            let text = schedule_text(&drawn.troubles);
            kinds.extend(text.lines().filter_map(|line| line.split(' ').next()).map(str::to_owned));
            let read = parse_troubles("drawn.kdl", &text, &of).unwrap_or_else(|e| panic!("{e}: {text}"));
            assert_eq!(read, drawn.troubles, "{text}");
        }
    }
    assert!(kinds.len() >= 18, "{kinds:?}");
}

#[test]
fn a_schedule_that_names_what_is_not_there_or_sets_something_is_turned_down() {
    for wrong in [
        "kill front=12 at=\"1s\"",
        "reset server=6 at=\"1s\"",
        "calls per-second=3",
        "kil front=0 at=\"1s\"",
        "kill fronts=\"3-1\" at=\"1s\"",
        "kill fronts=\"0-12\" at=\"1s\"",
        "hang fronts=\"0-1\" at=\"1s\"",
    ] {
        assert!(parse_troubles("wrong.kdl", wrong, &day()).is_err(), "{wrong}");
    }
    let range = parse_troubles("range.kdl", "kill fronts=\"3-9\" at=\"1s\" back-after=\"50ms\"", &day())
        .expect("a range");
    assert_eq!(
        (range.len(), range[0].what.names(), range[6].what.names()),
        (7, vec![Party::Front(3)], vec![Party::Front(9)])
    );
}

#[test]
fn a_failing_list_is_cut_to_what_is_needed_and_no_more() {
    // What fails needs three of twenty, far apart, and the fourth only where the fifth is there.
    for need in [vec![0, 7, 19], vec![3], vec![0, 1], vec![18, 19], (0..20).collect()] {
        let mut cut = Shorten::new((0..20).collect::<Vec<_>>());
        while let Some(trial) = cut.trial() {
            cut.told(need.iter().all(|n| trial.contains(n)));
            assert!(cut.trials() < 500);
        }
        assert_eq!(cut.kept(), need, "{} trials", cut.trials());
    }
    // Fails whatever is left out: nothing is needed. Fails with an even number only: no single one can go.
    let mut cut = Shorten::new(vec![1, 2, 3]);
    while cut.trial().is_some() {
        cut.told(true);
    }
    assert!(cut.kept().is_empty());
    let mut cut = Shorten::new(vec![1, 2, 3, 4]);
    while let Some(trial) = cut.trial() {
        cut.told(trial.len() == 4);
    }
    assert_eq!(cut.kept().len(), 4);
}
