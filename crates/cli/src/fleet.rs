//! `baydrift fleet`: prints the membership and budget shares that one running front sees.

use std::path::PathBuf;
use std::process::ExitCode;

use baydrift_front::query_admin;
use miette::IntoDiagnostic;
use serde_json::Value;

use crate::circuits::format_seconds;

#[derive(clap::Args)]
pub struct Args {
    /// The front's admin socket, as in its configuration.
    socket: PathBuf,
    /// Print the front's answer as JSON.
    #[arg(long)]
    json: bool,
}

/// The front's membership view as lines of text.
fn membership_lines(membership: &Value) -> Vec<String> {
    if membership.is_null() {
        return vec!["who lives is not told: fleet lives=#true in its configuration".to_owned()];
    }
    let freshness = if membership["age_ms"].is_null() {
        "it has heard nobody yet".to_owned()
    } else {
        let learning = membership["learns"] == true;
        let learning = if learning { "; it has just started or stood still, and learns" } else { "" };
        format!("newest word {} s ago{learning}", format_seconds(&membership["age_ms"]))
    };
    let mut lines = vec![format!(
        "front {}: {} of {} believed alive, {} ever heard of; {freshness}",
        membership["ordinal"], membership["alive"], membership["of"], membership["known"]
    )];
    for member in membership["members"].as_array().into_iter().flatten() {
        lines.push(format!(
            "  front {:>5}  {:<5} for {:>8} s  incarnation {}",
            member["ordinal"].to_string(),
            if member["alive"] == true { "alive" } else { "down" },
            format_seconds(&member["for_ms"]),
            member["incarnation"]
        ));
    }
    lines
}

pub async fn run(args: &Args) -> miette::Result<ExitCode> {
    let answer = query_admin(&args.socket, "fleet").await.into_diagnostic()?;
    if args.json {
        println!("{answer}");
        return Ok(ExitCode::SUCCESS);
    }
    membership_lines(&answer["lives"]).iter().for_each(|line| println!("{line}"));
    for budget in answer["budgets"].as_array().into_iter().flatten() {
        println!(
            "  server {:>4}  can be sent {} in a window by this front while cold: own free {}, spent {}, barred {}, lent {}; borrowed {}",
            budget["server"].to_string(),
            budget["here"],
            budget["free"],
            budget["spent"],
            budget["barred"],
            budget["lent"],
            budget["borrowed"]
        );
    }
    Ok(ExitCode::SUCCESS)
}
