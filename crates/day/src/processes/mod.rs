//! Plays a day with every front and every stand-in as a process of its own, and a net with faults between them.
//!
//! Callers are in the driver; each server and the list service is a process that plays its [`role`]; each front is the
//! program itself, started as an operator would. What the day's record shows is judged as for every other driver.

mod child;
mod net;
mod role;
mod stage;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baydrift_audit::{RecordEvent, Recorder};
use baydrift_standin::{Caller, DatagramRelay as ClientNet, TextCaller};
use tokio::sync::watch;

pub use child::Program;
pub use role::{run_stand_in, StandInError};

use self::net::{Between, Datagrams, Own, Streams};
use self::role::{Hello, Role};
use self::stage::{Actor, Front, Stage};
use crate::cast::{callers, config_text_at, sessions, texts, usual, Places};
use crate::error::DayError;
use crate::run::{aftermath, follow, outcome, Outcome};
use crate::script::{Day, Start};

/// A process that does not serve within this has not started.
const STARTS_WITHIN: Duration = Duration::from_secs(30);
/// Nor has one ended that is told to and runs on for so long.
const ENDS_WITHIN: Duration = Duration::from_secs(10);
/// Links to servers come up before the first call does.
const WARM_UP: Duration = Duration::from_millis(300);

/// What all processes of a day share.
pub(crate) struct Cast {
    program: Program,
    day: Day,
    recorder: Arc<Recorder>,
}

impl Cast {
    /// Starts a stand-in and hears where it listens.
    async fn actor(&self, name: &str, role: Role) -> Result<(Actor, Option<SocketAddr>), DayError> {
        let hello = Hello { origin: self.recorder.origin(), day: self.day.clone(), role };
        Actor::start(&self.program, name, &hello, self.recorder.clone()).await
    }

    /// Starts a front where it was, or anywhere, and hears where it listens.
    async fn front(
        &self,
        ordinal: u32,
        servers: &[SocketAddr],
        places: &Places,
        start: Start,
    ) -> Result<(Front, Places), DayError> {
        let text = config_text_at(&self.day, ordinal, servers, self.day.fronts > 1, places);
        let name = format!("front{ordinal}");
        let path = self.program.log_dir.join(format!("{name}.kdl"));
        std::fs::write(&path, text)?;
        Front::start(&self.program, &name, &path, self.day.fronts > 1, places, start).await
    }
}

/// Plays a day with processes of `program`.
///
/// # Errors
/// Where something cannot start, or the script asks for what only other drivers have.
pub async fn run_processes(
    day: &Day,
    program: Program,
    mut progress: impl FnMut(f64, &str),
) -> Result<Outcome, DayError> {
    if day.servers.trunked > 0 {
        return Err(DayError::Start {
            name: "far ends of trunk groups".to_owned(),
            why: "they are played on sockets and in virtual time, not as processes yet".to_owned(),
        });
    }
    let recorder = Arc::new(Recorder::default());
    let own = Arc::new(Own::default());
    let cast = Arc::new(Cast { program, day: day.clone(), recorder: recorder.clone() });
    let mut servers = Vec::new();
    let mut server_addrs = Vec::new();
    for number in 0..sessions(day) {
        let role = Role::Server { number, again: None };
        let (server, addr) = cast.actor(&format!("server{number}"), role).await?;
        server_addrs.push(addr.ok_or(DayError::Ended)?);
        servers.push(server);
    }
    let salt = |kind: u64, a: usize, b: usize| day.seed ^ kind << 48 ^ (a as u64) << 24 ^ b as u64;
    let mut streams: Vec<Vec<Streams>> = Vec::new();
    for front in 0..day.fronts as usize {
        let mut of_front = Vec::new();
        for (server, addr) in server_addrs.iter().enumerate() {
            let between = Between { front: front as u32, server: server as u16 };
            let seed = salt(1, front, server);
            let relay = Streams::start(*addr, day.net, seed, Some(between), recorder.clone(), own.clone());
            of_front.push(relay.await?);
        }
        streams.push(of_front);
    }
    // Each pair of fronts speaks over one relay; each knows the other by its address.
    let mut others = vec![Vec::new(); day.fronts as usize];
    let mut pairs = Vec::new();
    for a in 0..day.fronts as usize {
        for b in a + 1..day.fronts as usize {
            let relay =
                Datagrams::start(day.net, salt(2, a, b), [a as u32, b as u32], recorder.clone(), own.clone())
                    .await?;
            others[a].push((b as u32, relay.addr));
            others[b].push((a as u32, relay.addr));
            pairs.push((a, b, relay));
        }
    }
    let (mut fronts, mut lists) = (Vec::new(), Vec::new());
    for (ordinal, others) in others.into_iter().enumerate() {
        let addrs: Vec<_> = streams[ordinal].iter().map(|relay| relay.addr).collect();
        let places = Places { others, ..Places::of_process(std::process::id(), ordinal as u32) };
        let (front, places) = cast.front(ordinal as u32, &addrs, &places, Start::default()).await?;
        let seed = salt(3, ordinal, 0);
        lists.push(Streams::start(places.pool, day.net, seed, None, recorder.clone(), own.clone()).await?);
        fronts.push((front, places, addrs));
    }
    for (a, b, relay) in &pairs {
        relay.between(fronts[*a].1.fleet, fronts[*b].1.fleet);
    }
    let role = Role::List { fronts: lists.iter().map(|relay| relay.addr).collect() };
    let (list, _) = cast.actor("list", role).await?;

    tokio::time::sleep(WARM_UP).await;
    let (mut all, mut offers) = (Vec::new(), Vec::new());
    let mut text_all = Vec::new();
    for (ordinal, (_, places, _)) in fronts.iter().enumerate() {
        let (tell, told) = watch::channel(usual(day));
        for (spec, seed) in texts(day, ordinal as u32) {
            let relay = ClientNet::start(seed, None).await?;
            relay.to(places.text);
            let (told, recorder) = (told.clone(), recorder.clone());
            text_all.push((TextCaller::start(spec, relay.addr, told, recorder, seed).await?, relay));
        }
        let (spec, seed) = callers(day, ordinal as u32);
        all.push(Caller::start(spec, places.clients, told, recorder.clone(), seed));
        offers.push(tell);
    }
    let mut stage =
        Stage::new(cast.clone(), servers, server_addrs, fronts, list, streams, lists, pairs, offers);
    follow(day, &recorder, &mut stage, &mut progress).await;
    tokio::time::sleep(Duration::from_micros(aftermath(day))).await;
    // What is under way, such as a process that starts again, ends before all is told to end; its record is not kept.
    recorder.put(RecordEvent::End);
    let ended = recorder.now();
    drop((all, text_all));
    let (crossed, crashed) = stage.close().await;
    let mut lines = recorder.lines();
    lines.retain(|line| line.at <= ended && line.event != RecordEvent::End);
    let driver = crossed.into_iter().chain(own.faults()).collect();
    Ok(Outcome { process_faults: crashed, driver_notes: driver, ..outcome(day, lines, Vec::new()) })
}
