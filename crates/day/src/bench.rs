//! The troubles of one of the operators' bench's day files, as a script.

use serde::Deserialize;

use crate::script::{Class, Day, Policy, Publisher, Servers, Trouble, What};

/// Why a day file cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// It is no day file.
    #[error("not a day file: {0}")]
    Json(#[from] serde_json::Error),
    /// It has nothing to play.
    #[error("the day has no {0}")]
    Empty(&'static str),
}

#[derive(Deserialize)]
struct File {
    length: f64,
    noise: u64,
    traffic: Traffic,
    clients: Clients,
    discovery: Discovery,
    classes: Vec<ClassFile>,
    tenants: Vec<TenantFile>,
    servers: Vec<ServerFile>,
    balancers: Vec<serde_json::Value>,
    tiers: Vec<Tier>,
    troubles: Vec<TroubleFile>,
    fam: Family,
    net: Net,
}

#[derive(Deserialize)]
struct Net {
    same: f64,
}

#[derive(Deserialize)]
struct Traffic {
    load: f64,
}

#[derive(Deserialize)]
struct Clients {
    retries: u32,
    try_share: f64,
    backoff_us: f64,
}

#[derive(Deserialize)]
struct Discovery {
    notice: f64,
}

#[derive(Deserialize)]
struct ClassFile {
    name: String,
    work: f64,
    share: f64,
    aim: f64,
    deadline: f64,
    worth: f64,
    late_worth: f64,
}

#[derive(Deserialize)]
struct TenantFile {
    name: String,
    traffic: f64,
    quota: f64,
}

#[derive(Deserialize)]
struct ServerFile {
    speed: f64,
}

#[derive(Deserialize)]
struct Tier {
    kinds: Vec<Kind>,
    report_period: f64,
    report_delay: f64,
    report_noise: f64,
}

#[derive(Deserialize)]
struct Kind {
    cold_from: f64,
    cold: f64,
}

#[derive(Deserialize)]
struct Family {
    capacity: f64,
    hold: Vec<f64>,
    queue: f64,
    reject: f64,
}

#[derive(Deserialize)]
struct TroubleFile {
    kind: String,
    at: f64,
    len: f64,
    size: f64,
    extra: f64,
    on: Vec<usize>,
}

/// How busy servers are at the planned load.
const PLANNED_BUSY: f64 = 0.8;

/// A day of one bench file, with its calls and servers scaled together to so many calls a second (`None`: as in
/// the file) and its fronts to at most so many. What cannot be said on sockets is named in the list beside it.
///
/// # Errors
/// Where the file is none, or has nothing to play.
pub fn from_bench(
    text: &str,
    calls_per_s: Option<f64>,
    most_fronts: u32,
) -> Result<(Day, Vec<String>), BenchError> {
    let file: File = serde_json::from_str(text)?;
    let tier = file.tiers.first().ok_or(BenchError::Empty("tier"))?;
    let kind = tier.kinds.first().ok_or(BenchError::Empty("server kind"))?;
    let speeds: f64 = file.servers.iter().map(|server| server.speed).sum();
    if speeds <= 0.0 || file.fam.capacity <= 0.0 {
        return Err(BenchError::Empty("server capacity"));
    }
    let mut skipped = Vec::new();
    // The bench counts load against its servers' whole capacity, releases and all.
    let load = file.traffic.load.max(0.01);
    let offered = calls_per_s.unwrap_or(file.fam.capacity * load);
    let capacity = offered / load;
    let fronts = (file.balancers.len() as u32).clamp(1, most_fronts.max(1));
    if fronts < file.balancers.len() as u32 {
        skipped.push(format!("{} fronts of {} are played", fronts, file.balancers.len()));
    }
    // A server's speed over the work of a set-up is what it can set up; the file does not tell what else a call
    // costs, but servers are planned to be busy for 0.71 to 0.88 of their time: the middle of that gives it.
    let work_s = file.classes.first().map_or(0.002, |class| class.work / 1e6);
    let set_ups: f64 = speeds / work_s;
    let release = (PLANNED_BUSY * set_ups / file.fam.capacity - 1.0).max(0.0);
    let scale = capacity / file.fam.capacity;
    let classes = file.classes.iter().enumerate().map(|(index, class)| Class {
        name: class.name.clone(),
        share: class.share,
        hold: file.fam.hold.get(index).copied().unwrap_or(8e6) as u64,
        aim: class.aim as u64,
        deadline: class.deadline as u64,
        gives_up: ((class.deadline * file.clients.try_share) as u64).max(200_000),
        worth: class.worth,
        late_worth: class.late_worth,
    });
    let day = Day {
        seconds: file.length / 1e6,
        seed: file.noise % 100_000,
        fronts,
        watchdog: 1_000_000,
        policy: Policy::Baydrift,
        list_lag: file.discovery.notice as u64,
        calls_per_s: offered,
        redials: file.clients.retries,
        redial_wait: file.clients.backoff_us as u64,
        again: 0.0,
        text: 0.0,
        datagrams_lost: 0.0,
        heeds: false,
        net: baydrift_emulator::NetworkPathSpec::default(),
        bounds: crate::script::Bounds::default(),
        servers: Servers {
            rates: file.servers.iter().map(|s| scale * s.speed / work_s).collect(),
            release,
            refusal: file.fam.reject,
            most_wait: file.fam.queue as u64,
            cold_from: kind.cold_from,
            ramp: kind.cold as u64,
            fall_multiple: 2.0,
            fall_time: 1_500_000,
            report_period: tier.report_period as u64,
            report_delay: tier.report_delay as u64,
            report_noise: tier.report_noise,
            tells: vec!["wait".into()],
            link_delay: file.net.same as u64,
            ..Servers::default()
        },
        classes: classes.collect(),
        publishers: file
            .tenants
            .iter()
            .map(|t| Publisher { name: t.name.clone(), share: t.traffic, quota: t.quota * offered })
            .collect(),
        troubles: file
            .troubles
            .iter()
            .flat_map(|t| trouble(t, &file, fronts as usize, &mut skipped))
            .collect(),
    };
    Ok((day, skipped))
}

fn trouble(from: &TroubleFile, file: &File, fronts: usize, skipped: &mut Vec<String>) -> Vec<Trouble> {
    let (at, span) = (from.at as u64, from.len as u64);
    let one = |what| vec![Trouble { at, span, what }];
    let each = |make: &dyn Fn(usize) -> What| -> Vec<Trouble> {
        let known = from.on.iter().filter(|server| **server < file.servers.len());
        known.map(|server| Trouble { at, span, what: make(*server) }).collect()
    };
    match from.kind.as_str() {
        "burst" => one(What::Burst { factor: from.size.max(0.1) }),
        "crash" => each(&|server| What::Die { server, back_after: Some(span.max(1_000_000)) }),
        "deploy" => {
            let step = span / from.on.len().max(1) as u64;
            let mut all = each(&|server| What::Drain {
                server,
                by_list: true,
                by_dpr: true,
                back_after: Some(500_000),
            });
            for (place, trouble) in all.iter_mut().enumerate() {
                (trouble.at, trouble.span) = (at + step * place as u64, step.clamp(1_500_000, 5_000_000));
            }
            all
        }
        "slow" | "ageing" => each(&|server| What::Slow { server, factor: from.size.max(1.0) }),
        "pauses" => each(&|server| What::Pause { server }),
        "peer_down" => one(What::MessagesLost { share: 1.0 }),
        "answer_lost" => each(&|server| What::LoseAnswers { server, share: from.size.clamp(0.0, 1.0) }),
        "hot_key" => one(What::Hot { share: from.size.clamp(0.0, 1.0) }),
        "reconnect" => one(What::Cut { share: from.size.clamp(0.0, 1.0) }),
        "retry_abuse" => one(What::Redials {
            times: from.size.clamp(1.0, 20.0) as u32,
            wait: (from.extra * 1e6).clamp(50_000.0, 5e6) as u64,
        }),
        "discovery_stale" => one(What::ListLag { lag: (from.size.max(1.0) * file.discovery.notice) as u64 }),
        "balancer_stall" => {
            let fronts = from.on.iter().filter(|front| **front < fronts);
            let span = span.min(2_000_000);
            fronts.map(|front| Trouble { at, span, what: What::Stall { front: *front } }).collect()
        }
        other => {
            skipped.push(format!("{other} at {:.1} s is not played", from.at / 1e6));
            Vec::new()
        }
    }
}
