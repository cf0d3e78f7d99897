//! Valid and invalid configurations: each problem is reported with its line and column.

use baydrift_config::parse;

const GOOD: &str = r#"
front "front1.edge.test" realm="edge.test" {
    listen "127.0.0.1:0"
    serves "core.test"
    watchdog "6s"
    fronts 3
    ordinal 1
}
class "grid" { context "grid@lone.test"; aim "2s"; deadline "9s"; gives-up "3s"; worth 1; late-worth 0.25; }
class "check" { context "check@lone.test" "check2@lone.test"; aim "1.5s"; worth 2; servers 0; repeat "within" repeat-window="5s"; }
publisher "gulf" quota=100 { realm "gulf.test"; subscription "gulf:"; }
client "gw.gulf.test" realm="gulf.test" connections=4
server "s0.core.test" realm="core.test" number=0 addr="127.0.0.1:3868"
server "s1.core.test" realm="core.test" number=1 addr="127.0.0.1:3869" state="draining"
policy { max-attempts 5; release-guard "300ms"; grace "500ms"; cold-rate 12.5; }
limits { calls 1000; half-open 8; message-bytes 4096; remember-for "60s"; }
pool listen="127.0.0.1:0" token="secret"
fleet bind="127.0.0.1:0" { front ordinal=0 addr="127.0.0.1:9000"; front ordinal=2 addr="127.0.0.1:9001"; }
"#;

/// Problems of a configuration as "line:column: text".
fn problems_of(text: &str) -> Vec<String> {
    match parse("test.kdl", text) {
        Ok(_) => Vec::new(),
        Err(error) => error.problems.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn valid_configuration_is_read() {
    let config = parse("test.kdl", GOOD).unwrap_or_else(|e| panic!("{:?}", e.problems));
    assert_eq!((config.settings.fronts, config.settings.ordinal), (3, 1));
    assert_eq!(config.classes[1].contexts.len(), 2);
    assert_eq!(config.settings.classes[1].aim, 1_500_000);
    assert_eq!((config.limits.drain_grace, config.limits.cold_rate), (500_000, Some(12.5)));
    assert_eq!((config.limits.calls, config.links.half_open), (1000, 8));
    assert_eq!(config.fleet.unwrap().fronts.len(), 2);
}

#[test]
fn problem_is_reported_at_its_line_and_column() {
    let cases = [
        ("watchdog \"6s\"", "watchdog 300", "5:14: watchdog wants a time with a unit"),
        ("watchdog \"6s\"", "watchdog \"6 parsecs\"", "5:14: watchdog wants a time with a unit"),
        ("watchdog \"6s\"", "watchdog \"1ms\"", "5:14: watchdog wants a time from 50ms to 3600s"),
        ("watchdog \"6s\"", "watchdgo \"6s\"", "5:5: front knows no watchdgo"),
        ("ordinal 1", "ordinal 3", "7:13: ordinal must be less than fronts"),
        ("ordinal 1", "ordinal -1", "7:13: ordinal wants a whole number from 0 to 99999"),
        (
            "listen \"127.0.0.1:0\"",
            "listen \"here\"",
            "3:12: listen wants an address and a port, not \"here\"",
        ),
        ("worth 1;", "worth \"much\";", "9:88: worth wants a number from 0 to 1000000"),
        ("max-attempts 5", "max-attempts 6", "15:23: max-attempts wants a whole number from 1 to 5"),
        (
            "release-guard \"300ms\"",
            "release-guard \"100ms\"",
            "15:40: release-guard wants a time from 300ms to 60s",
        ),
        ("number=1 ", "number=0 ", "14:41: another server has 0 already"),
        ("\"s1.core", "\"s0.core", "14:8: another server has s0.core.test already"),
        ("client \"gw", "klient \"gw", "12:1: no setting is called klient"),
        ("realm=\"gulf.test\" connections", "connections", "12:1: client lacks realm"),
        ("servers 0;", "servers 7;", "2:1: class check: no server has number 7"),
        ("repeat \"within\"", "repeat \"maybe\"", "10:102: repeat is none of safe, within, never"),
        ("front ordinal=2", "front ordinal=1", "2:1: fleet: 1 is no other front's ordinal"),
    ];
    for (from, to, want) in cases {
        assert!(GOOD.contains(from), "{from}");
        let found = problems_of(&GOOD.replacen(from, to, 1));
        assert!(found.iter().any(|problem| problem == want), "{to}: wanted {want:?}, found {found:?}");
    }
}

/// Guards against a shared budget that is enabled but missing or below one set-up, which would go unnoticed.
#[test]
fn budget_leases_need_a_cold_rate() {
    let with_leases = GOOD.replace("fleet bind=", "fleet lends=#true bind=");
    assert!(
        problems_of(&with_leases).is_empty()
            && parse("test.kdl", &with_leases).is_ok_and(|c| c.fleet.is_some_and(|f| f.budget_leases))
    );
    for rate in ["", " cold-rate 0.5;"] {
        let found = problems_of(&with_leases.replace(" cold-rate 12.5;", rate));
        assert_eq!(found, ["2:1: the fleet lends of a cold-rate of 1 or more"]);
        assert!(problems_of(&GOOD.replace(" cold-rate 12.5;", rate)).is_empty(), "valid without leases");
    }
}

#[test]
fn all_problems_are_reported_in_order() {
    let broken =
        GOOD.replace("worth 1;", "worth -1;").replace("fronts 3", "fronts 0").replace("client", "klient");
    let found = problems_of(&broken);
    assert_eq!(found.len(), 4, "{found:?}");
    assert!(found[0].starts_with("2:1: no client may connect"), "{found:?}");
}

#[test]
fn invalid_kdl_is_reported_with_its_position() {
    let found = problems_of("front \"a\" {\n  listen \"127.0.0.1:0\n}\n");
    assert!(
        !found.is_empty() && found.iter().all(|p| p.split(':').next().unwrap().parse::<u32>().is_ok()),
        "{found:?}"
    );
    assert_eq!(problems_of(""), ["1:1: front is missing"]);
}

const FAR_END: &str = r#"exchange point=11
far-end "gw.test" number=7 point=21 connect="127.0.0.1:2905" {
    group "north" first=1 circuits=30 reserve=2
    group "south" first=33 circuits=30 selection="sequential"
    incoming class="grid" publisher="gulf"
}
"#;

#[test]
fn far_ends_are_members_of_the_pool() {
    let text = format!("{GOOD}{FAR_END}");
    let config = parse("test.kdl", &text).unwrap_or_else(|e| panic!("{:?}", e.problems));
    let members: Vec<_> = config.pool_members().map(|(host, number, _)| (host, number)).collect();
    assert_eq!(members, [("s0.core.test", 0), ("s1.core.test", 1), ("gw.test", 7)]);
    let far = &config.far_ends[0];
    assert_eq!((config.point, far.point, far.groups.len()), (Some(11), 21, 2));
    assert_eq!((far.groups[0].spec.reserve, far.groups[1].spec.first), (2, 33));
    assert_eq!(far.incoming.map(|incoming| (incoming.class, incoming.publisher)), Some((0, 0)));
}

#[test]
fn problem_of_a_far_end_is_reported_with_its_line() {
    let lines = GOOD.lines().count();
    let problems_with = |from: &str, to: &str| {
        let broken = FAR_END.replace(from, to);
        assert_ne!(broken, FAR_END, "{from}");
        problems_of(&format!("{GOOD}{broken}"))
    };
    let assert_problem = |from: &str, to: &str, line: usize, text: &str| {
        let problems = problems_with(from, to);
        let position = format!("{}:", lines + line);
        assert!(problems.len() == 1 && problems[0].starts_with(&position), "{problems:?}");
        assert!(problems[0].contains(text), "{problems:?}");
    };
    assert_problem("point=21", "point=11", 2, "own");
    assert_problem("point=21", "point=99999", 2, "point");
    assert_problem("first=33", "first=20", 2, "circuits of one code");
    assert_problem("circuits=30 reserve=2", "circuits=5000", 3, "circuits");
    assert_problem("reserve=2", "reserve=30", 3, "first choices");
    assert_problem("sequential", "random", 4, "selection");
    assert_problem("class=\"grid\"", "class=\"grit\"", 5, "no class");
    assert_problem("publisher=\"gulf\"", "publisher=\"golf\"", 5, "no publisher");
    assert_problem(" connect=\"127.0.0.1:2905\"", "", 2, "connect and listen");
    assert_problem("number=7", "number=1", 2, "already");
    assert_problem("gw.test", "s1.core.test", 2, "already");
    assert!(problems_with("exchange point=11\n", "").iter().any(|p| p.contains("point code")));
}
