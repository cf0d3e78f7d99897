//! Test cases of the review. `cases NAME RECORD` runs one: exit code 1 if the rule was broken, 0 if it held,
//! 2 if the case could not run.

mod common;
mod drain;
mod duplicate;
mod lost;

use std::path::Path;
use std::process::ExitCode;

use common::{Record, Res};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let run: fn(&Record) -> Res<bool> = match args.get(1).map(String::as_str) {
        Some("duplicate") => duplicate::run,
        Some("drain") => drain::run,
        Some("lost") => lost::run,
        _ => {
            eprintln!("usage: cases duplicate|drain|lost RECORD");
            return ExitCode::from(2);
        }
    };
    let path = args.get(2).map_or("record.txt", String::as_str);
    let done = Record::new(Path::new(path)).and_then(|record| {
        record.say(if common::trouble() {
            "with the disruption"
        } else {
            "TROUBLE=0: without the disruption"
        });
        let kept = run(&record)?;
        record.say(if kept { "the rule held" } else { "THE RULE WAS BROKEN" });
        Ok(kept)
    });
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
