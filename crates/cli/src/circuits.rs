//! `baydrift circuits`: prints the state of a running front's trunk groups.

use std::path::PathBuf;
use std::process::ExitCode;

use baydrift_front::query_admin;
use miette::IntoDiagnostic;
use serde_json::Value;

#[derive(clap::Args)]
pub struct Args {
    /// The front's admin socket, as in its configuration.
    socket: PathBuf,
    /// Also list each circuit that is not idle.
    #[arg(long)]
    each: bool,
    /// Show only groups whose name, or whose far end's name, contains this text.
    #[arg(long)]
    only: Option<String>,
    /// Print the front's answer as JSON.
    #[arg(long)]
    json: bool,
}

fn text_field<'a>(object: &'a Value, key: &str) -> &'a str {
    object[key].as_str().unwrap_or("?")
}

/// A duration in milliseconds formatted in seconds, or "never" where the value is null.
pub(crate) fn format_seconds(ms: &Value) -> String {
    ms.as_u64().map_or("never".into(), |ms| format!("{:.1}", ms as f64 / 1e3))
}

pub async fn run(args: &Args) -> miette::Result<ExitCode> {
    let answer = query_admin(&args.socket, "circuits").await.into_diagnostic()?;
    if args.json {
        println!("{answer}");
        return Ok(ExitCode::SUCCESS);
    }
    let groups = answer["groups"].as_array().cloned().unwrap_or_default();
    let matches_filter = |group: &&Value| {
        let filter = args.only.as_deref().unwrap_or("");
        text_field(group, "group").contains(filter) || text_field(group, "far_end").contains(filter)
    };
    println!(
        "{:<24} {:<20} {:>6} {:>6} {:>7} {:>8} {:>8} {:>8}  {:<5} {:>12}",
        "far end",
        "group",
        "lines",
        "free",
        "blocked",
        "outgoing",
        "incoming",
        "clearing",
        "link",
        "audit, s ago"
    );
    for group in groups.iter().filter(matches_filter) {
        println!(
            "{:<24} {:<20} {:>6} {:>6} {:>7} {:>8} {:>8} {:>8}  {:<5} {:>12}",
            text_field(group, "far_end"),
            text_field(group, "group"),
            group["circuits"].to_string(),
            group["free"].to_string(),
            group["blocked"].to_string(),
            group["outgoing"].to_string(),
            group["incoming"].to_string(),
            group["clearing"].to_string(),
            if group["reachable"] == true { "up" } else { "down" },
            format_seconds(&group["last_audit_ms_ago"]),
        );
        for circuit in group["not_idle"].as_array().into_iter().flatten().filter(|_| args.each) {
            let blocked = match (circuit["blocked_here"] == true, circuit["blocked_there"] == true) {
                (true, true) => "blocked by both ends",
                (true, false) => "blocked here",
                (false, true) => "blocked there",
                (false, false) => "",
            };
            println!(
                "    circuit {:>4}  {:<10} for {:>8} s  {blocked}",
                circuit["cic"].to_string(),
                text_field(circuit, "state"),
                format_seconds(&circuit["age_ms"])
            );
        }
    }
    println!(
        "seized {}, by far ends {}; glare won {}, lost {}; resets {}, stuck {}; audits asked {}, unanswered {}",
        answer["seized"],
        answer["seized_there"],
        answer["glare_won"],
        answer["glare_lost"],
        answer["resets"],
        answer["stuck"],
        answer["queries"],
        answer["queries_lost"]
    );
    Ok(ExitCode::SUCCESS)
}
