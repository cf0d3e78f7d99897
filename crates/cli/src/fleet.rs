//! `baydrift fleet`: the fleet as one running front sees it.

use std::path::PathBuf;
use std::process::ExitCode;

use baydrift_front::query_admin;
use miette::IntoDiagnostic;
use serde_json::Value;

use crate::circuits::seconds;

#[derive(clap::Args)]
pub struct Args {
    /// The front's operators' socket, as its configuration names it.
    socket: PathBuf,
    /// The front's own answer, as JSON.
    #[arg(long)]
    json: bool,
}

/// Who lives, in lines.
fn lives(lives: &Value) -> Vec<String> {
    if lives.is_null() {
        return vec!["who lives is not told: fleet lives=#true in its configuration".to_owned()];
    }
    let relied = if lives["age_ms"].is_null() {
        "it has heard nobody yet".to_owned()
    } else {
        let learns = lives["learns"] == true;
        let learns = if learns { "; it has just started or stood still, and learns" } else { "" };
        format!("newest word {} s ago{learns}", seconds(&lives["age_ms"]))
    };
    let mut lines = vec![format!(
        "front {}: {} of {} believed alive, {} ever heard of; {relied}",
        lives["ordinal"], lives["alive"], lives["of"], lives["known"]
    )];
    for member in lives["members"].as_array().into_iter().flatten() {
        lines.push(format!(
            "  front {:>5}  {:<5} for {:>8} s  incarnation {}",
            member["ordinal"].to_string(),
            if member["alive"] == true { "alive" } else { "down" },
            seconds(&member["for_ms"]),
            member["incarnation"]
        ));
    }
    lines
}

pub async fn run(args: &Args) -> miette::Result<ExitCode> {
    let said = query_admin(&args.socket, "fleet").await.into_diagnostic()?;
    if args.json {
        println!("{said}");
        return Ok(ExitCode::SUCCESS);
    }
    lives(&said["lives"]).iter().for_each(|line| println!("{line}"));
    for budget in said["budgets"].as_array().into_iter().flatten() {
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
