//! Mapping of Result-Codes to outcomes of attempts, and of final answers to Result-Codes and causes. See the
//! tables in `docs/operate/results.md`.

use baydrift::interface::{Note, Outcome};
use baydrift_call::{AttemptEnd, Final};
use baydrift_diameter::{load, result, Message};
use baydrift_trunk::route::cause;

/// The end of an attempt by the answer to its set-up; `None` if it is established.
pub fn attempt_end(answer: &Message) -> Option<AttemptEnd> {
    let report = load::read(answer);
    let wait = report.wait_s.map_or(0, |s| (s * 1e6) as u64);
    let (outcome, note) = match answer.result() {
        2000..=2999 => return None,
        result::TOO_BUSY => (Outcome::Full, Note::ProcessorFull(wait)),
        result::RESOURCES_EXCEEDED => (Outcome::Full, Note::NoLine),
        result::END_USER_SERVICE_DENIED => (Outcome::Error, Note::NumberBusy),
        // An agent on the path could not deliver it, so it never ran.
        result::UNABLE_TO_DELIVER | result::REALM_NOT_SERVED => (Outcome::Moot, Note::None),
        _ => (Outcome::Error, Note::None),
    };
    Some(AttemptEnd { outcome, note, report })
}

/// The Result-Code and Error-Message of a final answer.
pub fn result_code(answer: Final) -> (u32, Option<&'static str>) {
    match answer {
        Final::Established => (result::SUCCESS, None),
        Final::Refused { .. } => (result::TOO_BUSY, Some("refused")),
        Final::Failed => (result::UNABLE_TO_COMPLY, Some("failed")),
    }
}

/// The cause value with which the final answer releases an incoming trunk call; `None` if it is established.
pub fn release_cause(answer: Final) -> Option<u8> {
    match answer {
        Final::Established => None,
        Final::Refused { .. } => Some(cause::SWITCHING_CONGESTION),
        Final::Failed => Some(cause::TEMPORARY_FAILURE),
    }
}
