//! The controller instances of the process, and the translation between wire records and the library's types.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use baydrift::config::{self, Field, SiteConfig};
use baydrift::interface::{Action, Call, Entry, Event, ListKind, Note, Outcome, Report, ServerState};
use baydrift::Controller;

use crate::wire::{put_server, Fields, Header, WireError};

/// One front's controller and its site parameters.
struct Instance {
    controller: Controller,
    site: SiteConfig,
}

/// All instances of the process, and the server lists to which records refer.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u32, Vec<Entry>>,
    actions: Vec<Action>,
}

fn outcome_of(code: u16, fields: &Fields) -> Result<Outcome, WireError> {
    Ok(match code {
        0 => Outcome::Error,
        1 => Outcome::Ok,
        2 => Outcome::Full,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::Moot,
        _ => return Err(fields.error(format!("unknown outcome {code}"))),
    })
}

fn note_of(reason: u32) -> Note {
    match (reason & 15, reason >> 4) {
        (1, _) => Note::NoLine,
        (2, 1) => Note::ProcessorFull(0),
        (3, wait_ms) => Note::ProcessorFull(u64::from(wait_ms) * 1000),
        (4, _) => Note::NumberBusy,
        _ => Note::None,
    }
}

fn read_report(fields: &mut Fields, fields_in_order: &[(String, Field)]) -> Result<Report, WireError> {
    let n = fields.u8("report size")?;
    let mut report = Report::default();
    for i in 0..usize::from(n) {
        let raw = f64::from(fields.f32("report value")?);
        fields_in_order.get(i).map_or(Field::Unknown, |(_, field)| *field).put(raw, &mut report);
    }
    Ok(report)
}

fn server_number(raw: f32) -> Option<u16> {
    (raw >= 0.0 && raw <= f32::from(u16::MAX)).then_some(raw as u16)
}

impl Host {
    /// Processes one batch of records, appends the reply's records and returns their number.
    pub fn batch(
        &mut self,
        header: &Header,
        body: &[u8],
        frame: u64,
        reply: &mut Vec<u8>,
    ) -> Result<u32, WireError> {
        let now = config::micros(header.clock);
        let mut fields = Fields::new(body, frame);
        let mut written = 0;
        for _ in 0..header.records {
            written += self.record(now, &mut fields, reply)?;
        }
        if !fields.done() {
            return Err(fields.error("bytes are left after the last record".into()));
        }
        Ok(written)
    }

    fn record(&mut self, now: u64, fields: &mut Fields, reply: &mut Vec<u8>) -> Result<u32, WireError> {
        let code = fields.u16("record code")?;
        if code == 1100 {
            let number = fields.u32("set-id")?;
            let count = fields.u32("list size")?;
            let mut entries = Vec::new();
            for _ in 0..count {
                entries.push(read_entry(fields)?);
            }
            self.lists.insert(number, entries);
            return Ok(0);
        }
        if !matches!(code, 1000 | 1010 | 1020 | 1030 | 1040 | 1050 | 1060 | 1070 | 1080 | 1090) {
            return Err(fields.error(format!("unknown record code {code}")));
        }
        let front = fields.u16("front-id")?;
        match code {
            1000 => return self.spawn(front, fields).map(|()| 0),
            1090 => {
                self.instances.remove(&front);
                return Ok(0);
            }
            _ => {}
        }
        let fields_in_order = self.instances.get(&front).map_or(&[][..], |i| &i.site.fields);
        let marks_redials = self.instances.get(&front).is_some_and(|i| i.site.marks_redials);
        let event = match code {
            1010 => {
                let mode = fields.u8("mode")?;
                fields.u32("index")?;
                let set = fields.u32("set-id")?;
                let kind = match mode {
                    1 => ListKind::Delta,
                    2 => ListKind::Failed,
                    3 | 4 => ListKind::Full,
                    _ => return Err(fields.error(format!("unknown list mode {mode}"))),
                };
                let entries = match (kind, self.lists.get(&set)) {
                    (ListKind::Failed, _) => Vec::new(),
                    (_, Some(entries)) => entries.clone(),
                    (_, None) => return Err(fields.error(format!("list {set} is not defined"))),
                };
                Event::List(kind, entries)
            }
            1020 => read_call(fields, marks_redials)?,
            1030 => Event::Established {
                call: fields.u32("rid")?,
                attempt: fields.u16("go")?,
                server: fields.server("server")?,
                lag: config::micros(fields.f64("lag-s")?),
            },
            1040 => {
                let call = fields.u32("rid")?;
                let attempt = fields.u16("go")?;
                let server = fields.server("server")?;
                let code = fields.u16("rc")?;
                Event::Ended {
                    call,
                    attempt,
                    server,
                    outcome: outcome_of(code, fields)?,
                    lag: config::micros(fields.f64("lag-s")?),
                    complete: fields.u8("complete")? != 0,
                    note: note_of(fields.u32("why")?),
                    report: read_report(fields, fields_in_order)?,
                }
            }
            1050 => Event::Abandoned(fields.u32("rid")?),
            1060 => Event::Timer(fields.u64("ctx")?),
            1070 => {
                let server = fields.server("server")?;
                let code = fields.u16("rc")?;
                Event::Probed {
                    server,
                    outcome: outcome_of(code, fields)?,
                    lag: config::micros(fields.f64("lag-s")?),
                    report: read_report(fields, fields_in_order)?,
                }
            }
            _ => {
                let from = fields.u32("by")?;
                let size = usize::from(fields.u16("payload size")?);
                Event::PeerMessage { from, payload: fields.take(size, "payload")?.to_vec() }
            }
        };
        let Some(instance) = self.instances.get_mut(&front) else {
            return Ok(0);
        };
        self.actions.clear();
        let actions = &mut self.actions;
        let handled = catch_unwind(AssertUnwindSafe(|| instance.controller.handle(now, event, actions)));
        if handled.is_err() {
            self.instances.remove(&front);
            put_text(reply, 1090, front, "the decision module panicked");
            return Ok(1);
        }
        for action in &self.actions {
            put_action(reply, front, action);
        }
        Ok(self.actions.len() as u32)
    }

    fn spawn(&mut self, front: u16, fields: &mut Fields) -> Result<(), WireError> {
        let seed = fields.u64("rng-seed")?;
        let size = fields.u32("config size")? as usize;
        let text = fields.take(size, "config")?;
        let (settings, site) = config::read(text).map_err(|e| fields.error(e.to_string()))?;
        let controller = Controller::new(settings, seed).map_err(|e| fields.error(e.to_string()))?;
        self.instances.insert(front, Instance { controller, site });
        Ok(())
    }
}

fn read_entry(fields: &mut Fields) -> Result<Entry, WireError> {
    let server = fields.server("server")?;
    fields.take(2, "zone and kind")?;
    let number = fields.u16("node-no")?;
    let state = match fields.u8("availability")? {
        1 => ServerState::Draining,
        2 => ServerState::Ready,
        3 => ServerState::Gone,
        other => return Err(fields.error(format!("unknown availability {other}"))),
    };
    fields.f32("size")?;
    let started = fields.f64("started-at-s")?;
    Ok(Entry { server, number, state, started_at: (started > 0.0).then(|| config::micros(started)) })
}

fn read_call(fields: &mut Fields, marks_redials: bool) -> Result<Event, WireError> {
    let id = fields.u32("rid")?;
    let class = usize::from(fields.u16("type")?);
    let tenant = usize::from(fields.u16("party")?);
    let number = fields.u64("entity")?;
    let caller_timeout = config::micros(fields.f64("grace-s")?);
    fields.f64("weight-hint-s")?;
    let first_choice = server_number(fields.f32("terminates-at")?);
    fields.f32("units")?;
    fields.f32("through")?;
    let bits = fields.u8("state-bits")?;
    Ok(Event::Call(Call {
        id,
        class,
        tenant,
        number,
        caller_timeout,
        first_choice,
        redial: marks_redials.then_some(bits & 2 != 0),
        in_transit: bits & 8 != 0,
        was_dropped: bits & 16 != 0,
    }))
}

fn put_text(out: &mut Vec<u8>, code: u16, front: u16, text: &str) {
    let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
    put_head(out, code, front);
    out.extend_from_slice(&(bytes.len() as u16).to_le_bytes());
    out.extend_from_slice(bytes);
}

fn put_head(out: &mut Vec<u8>, code: u16, front: u16) {
    out.extend_from_slice(&code.to_le_bytes());
    out.extend_from_slice(&front.to_le_bytes());
}

fn put_seconds(out: &mut Vec<u8>, micros: u64) {
    out.extend_from_slice(&(micros as f64 / 1e6).to_le_bytes());
}

fn put_action(out: &mut Vec<u8>, front: u16, action: &Action) {
    match action {
        Action::Send { call, server, timeout, .. } => {
            put_head(out, 1040, front);
            out.extend_from_slice(&call.to_le_bytes());
            put_seconds(out, *timeout);
            put_server(out, *server);
        }
        Action::Refuse { call, retry_after } => {
            put_head(out, 1020, front);
            out.extend_from_slice(&call.to_le_bytes());
            put_seconds(out, *retry_after);
        }
        Action::Fail(call) => {
            put_head(out, 1010, front);
            out.extend_from_slice(&call.to_le_bytes());
        }
        Action::Cancel { call, attempt } => {
            put_head(out, 1030, front);
            out.extend_from_slice(&call.to_le_bytes());
            out.extend_from_slice(&attempt.to_le_bytes());
        }
        Action::Probe(server) => {
            put_head(out, 1080, front);
            put_server(out, *server);
        }
        Action::SendPeerMessage { to, payload } => {
            put_head(out, 1070, front);
            out.extend_from_slice(&to.to_le_bytes());
            out.extend_from_slice(&(payload.len() as u16).to_le_bytes());
            out.extend_from_slice(payload);
        }
        Action::Subscribe => {
            put_head(out, 1100, front);
            out.push(1);
        }
        Action::Timer { at, token, .. } => {
            put_head(out, 1050, front);
            put_seconds(out, *at);
            out.extend_from_slice(&token.to_le_bytes());
        }
        Action::Log(text) => put_text(out, 1110, front, text),
    }
}
