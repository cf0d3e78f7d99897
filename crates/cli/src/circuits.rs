//! `baydrift circuits`: the trunk groups of a running front.

use std::path::PathBuf;
use std::process::ExitCode;

use baydrift_front::query_admin;
use miette::IntoDiagnostic;
use serde_json::Value;

#[derive(clap::Args)]
pub struct Args {
    /// The front's operators' socket, as its configuration names it.
    socket: PathBuf,
    /// Each circuit that is not idle, too.
    #[arg(long)]
    each: bool,
    /// Only groups whose name, or whose far end's, holds this.
    #[arg(long)]
    only: Option<String>,
    /// The front's own answer, as JSON.
    #[arg(long)]
    json: bool,
}

fn text<'a>(of: &'a Value, key: &str) -> &'a str {
    of[key].as_str().unwrap_or("?")
}

/// Milliseconds of an answer, in seconds.
pub(crate) fn seconds(ms: &Value) -> String {
    ms.as_u64().map_or("never".into(), |ms| format!("{:.1}", ms as f64 / 1e3))
}

pub async fn run(args: &Args) -> miette::Result<ExitCode> {
    let said = query_admin(&args.socket, "circuits").await.into_diagnostic()?;
    if args.json {
        println!("{said}");
        return Ok(ExitCode::SUCCESS);
    }
    let groups = said["groups"].as_array().cloned().unwrap_or_default();
    let wanted = |group: &&Value| {
        let only = args.only.as_deref().unwrap_or("");
        text(group, "group").contains(only) || text(group, "far_end").contains(only)
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
    for group in groups.iter().filter(wanted) {
        println!(
            "{:<24} {:<20} {:>6} {:>6} {:>7} {:>8} {:>8} {:>8}  {:<5} {:>12}",
            text(group, "far_end"),
            text(group, "group"),
            group["circuits"].to_string(),
            group["free"].to_string(),
            group["blocked"].to_string(),
            group["outgoing"].to_string(),
            group["incoming"].to_string(),
            group["clearing"].to_string(),
            if group["reachable"] == true { "up" } else { "down" },
            seconds(&group["last_audit_ms_ago"]),
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
                text(circuit, "state"),
                seconds(&circuit["age_ms"])
            );
        }
    }
    println!(
        "seized {}, by far ends {}; glare won {}, lost {}; resets {}, stuck {}; audits asked {}, unanswered {}",
        said["seized"],
        said["seized_there"],
        said["glare_won"],
        said["glare_lost"],
        said["resets"],
        said["stuck"],
        said["queries"],
        said["queries_lost"]
    );
    Ok(ExitCode::SUCCESS)
}
