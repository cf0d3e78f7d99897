//! Text tables of the results of a run.

use std::fmt::Write as _;

use baydrift_audit::{Recovery, Service, Shares, Sums, Verdict};

/// Name of each audit rule, by its number; 0 is the limit on attempts.
const RULE_NAMES: [&str; 6] = [
    "at most 5 attempts",
    "1 one final answer in time, nothing after it",
    "2 never two attempts out",
    "3 nothing new 1 s after a drain was told",
    "4 no cold server pushed over",
    "5 no resend within 300 ms",
];

/// Maximum number of breaches shown per rule.
const MAX_BREACHES_SHOWN: usize = 5;

fn ms(us: Option<u64>) -> String {
    us.map_or("none".into(), |us| format!("{:.0} ms", us as f64 / 1e3))
}

/// Number of excused calls by reason.
fn excuse_counts(verdict: &Verdict) -> String {
    let counts: Vec<_> =
        verdict.excused.iter().map(|(why, count)| format!("{count} {}", why.name())).collect();
    if counts.is_empty() {
        String::new()
    } else {
        format!(" ({})", counts.join(", "))
    }
}

/// Totals over all fronts, recoveries from faults, and the limits that were exceeded.
pub fn sums_table(sums: &Sums) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "\n  together: {} connections open at one server at most, {} opened in a second; {:.2} set-ups for each first \
         try; {:.1} datagrams a front and second;\n  at most {:.2} of what a server can do in a second, and {:.2} of what \
         pushes a cold one over; at one within a second {} set-ups at most, {:.1} a second on the mean",
        sums.open,
        sums.opened,
        sums.attempts,
        sums.gossip_rate,
        sums.overshoot,
        sums.cold,
        sums.cold_peak,
        sums.cold_mean
    );
    for Recovery { what, over, back } in &sums.recoveries {
        let back = back.map_or("not seen before the next fault or the end".into(), |us| {
            format!("{:.1} s", us as f64 / 1e6)
        });
        let _ = writeln!(text, "  over at {:5.1} s, service back after {back}: {what}", *over as f64 / 1e6);
    }
    for exceeded in &sums.exceeded {
        let _ = writeln!(text, "  PASSED A BOUND: {exceeded}");
    }
    text
}

/// Audit rules, service by class, publisher and protocol, latency percentiles, and the first breaches of
/// each rule.
pub fn table(verdict: &Verdict, service: &Service) -> String {
    let mut text = String::new();
    for (rule, name) in RULE_NAMES.iter().enumerate() {
        let breaches = verdict.breaches_of(rule as u8);
        let result = if breaches == 0 { "kept".to_owned() } else { format!("BROKEN {breaches} times") };
        let _ = writeln!(text, "  {name:<46} {result}");
    }
    let _ = writeln!(
        text,
        "  calls {}, answered {}, excused {}{}; set-ups {}; latest after a drain was told {}; shortest resend {}",
        verdict.calls,
        verdict.answered,
        verdict.excused(),
        excuse_counts(verdict),
        verdict.set_ups,
        ms(verdict.latest_after_drain),
        ms(verdict.shortest_holdoff)
    );
    let _ = writeln!(
        text,
        "  stands {}, refused {}, failed {}, cut {}",
        service.established, service.refused, service.failed, service.dropped
    );
    let _ = writeln!(text, "\n  {:<24} {:>8} {:>9}", "service", "calls", "service");
    let mut row = |name: &str, shares: &Shares| {
        let _ = writeln!(text, "  {name:<24} {:>8} {:>9.3}", shares.calls, shares.service());
    };
    row("whole", &service.total);
    service.classes.iter().for_each(|(name, shares)| row(&format!("class {name}"), shares));
    service.publishers.iter().for_each(|(name, shares)| row(&format!("publisher {name}"), shares));
    service.protocols.iter().for_each(|(name, shares)| row(name, shares));
    let _ = writeln!(text, "  {:<24} {:>8} {:>9.3}", "worst 10 s", "", service.worst_window);
    let latency = &service.latency;
    let _ = writeln!(
        text,
        "\n  from offer to 'stands': p50 {}, p90 {}, p99 {}, longest {}",
        ms(Some(latency.p50)),
        ms(Some(latency.p90)),
        ms(Some(latency.p99)),
        ms(Some(latency.max))
    );
    // Only a few breaches of each rule, since one cause often leads to many.
    let shown = (0..=5)
        .flat_map(|rule| verdict.breaches.iter().filter(move |b| b.rule == rule).take(MAX_BREACHES_SHOWN));
    for breach in shown {
        let _ = writeln!(text, "  rule {} at {:.3} s: {}", breach.rule, breach.at as f64 / 1e6, breach.text);
    }
    text
}
