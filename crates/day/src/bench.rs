//! Converts a day file of the operators' bench to a scenario.

use serde::Deserialize;

use crate::scenario::{Class, FaultKind, Policy, Publisher, Scenario, ScheduledFault, Servers};

/// A day file that cannot be converted.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// It is not JSON, or does not have the layout of a day file.
    #[error("not a day file: {0}")]
    Json(#[from] serde_json::Error),
    /// A required list or sum of the file is empty.
    #[error("the day has no {0}")]
    Empty(&'static str),
}

#[derive(Deserialize)]
struct DayFile {
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
    troubles: Vec<FaultFile>,
    #[serde(rename = "fam")]
    family: Family,
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
struct FaultFile {
    kind: String,
    at: f64,
    len: f64,
    size: f64,
    extra: f64,
    on: Vec<usize>,
}

/// Utilisation of the servers at the planned load.
const PLANNED_UTILISATION: f64 = 0.8;

/// Converts a bench file to a scenario. Calls and server rates are scaled together to `calls_per_s` (`None`:
/// as in the file), and at most `max_fronts` fronts are used. The second element lists what the scenario does
/// not reproduce.
///
/// # Errors
/// If the text is not a day file, or lacks a tier, a server kind or server capacity.
pub fn from_bench(
    text: &str,
    calls_per_s: Option<f64>,
    max_fronts: u32,
) -> Result<(Scenario, Vec<String>), BenchError> {
    let file: DayFile = serde_json::from_str(text)?;
    let tier = file.tiers.first().ok_or(BenchError::Empty("tier"))?;
    let kind = tier.kinds.first().ok_or(BenchError::Empty("server kind"))?;
    let speeds: f64 = file.servers.iter().map(|server| server.speed).sum();
    if speeds <= 0.0 || file.family.capacity <= 0.0 {
        return Err(BenchError::Empty("server capacity"));
    }
    let mut skipped = Vec::new();
    // The bench relates load to the whole capacity of its servers, including releases.
    let load = file.traffic.load.max(0.01);
    let offered = calls_per_s.unwrap_or(file.family.capacity * load);
    let capacity = offered / load;
    let fronts = (file.balancers.len() as u32).clamp(1, max_fronts.max(1));
    if fronts < file.balancers.len() as u32 {
        skipped.push(format!("{} fronts of {} are played", fronts, file.balancers.len()));
    }
    // A server's set-up rate is its speed divided by the work of a set-up. The file does not state the other
    // costs of a call; they follow from the planned utilisation of servers, 0.71 to 0.88, of which the middle
    // is used.
    let work_s = file.classes.first().map_or(0.002, |class| class.work / 1e6);
    let set_up_rate: f64 = speeds / work_s;
    let release = (PLANNED_UTILISATION * set_up_rate / file.family.capacity - 1.0).max(0.0);
    let scale = capacity / file.family.capacity;
    let classes = file.classes.iter().enumerate().map(|(index, class)| Class {
        name: class.name.clone(),
        share: class.share,
        hold: file.family.hold.get(index).copied().unwrap_or(8e6) as u64,
        aim: class.aim as u64,
        deadline: class.deadline as u64,
        caller_timeout: ((class.deadline * file.clients.try_share) as u64).max(200_000),
        worth: class.worth,
        late_worth: class.late_worth,
    });
    let day = Scenario {
        seconds: file.length / 1e6,
        seed: file.noise % 100_000,
        fronts,
        watchdog: 1_000_000,
        policy: Policy::Baydrift,
        list_lag: file.discovery.notice as u64,
        calls_per_s: offered,
        redials: file.clients.retries,
        redial_wait: file.clients.backoff_us as u64,
        retransmit_share: 0.0,
        text_share: 0.0,
        datagrams_lost: 0.0,
        honours_overload_notices: false,
        net: baydrift_emulator::NetworkPathSpec::default(),
        bounds: crate::scenario::Bounds::default(),
        servers: Servers {
            rates: file.servers.iter().map(|s| scale * s.speed / work_s).collect(),
            release,
            refusal: file.family.reject,
            max_wait: file.family.queue as u64,
            cold_from: kind.cold_from,
            warm_up_time: kind.cold as u64,
            fall_multiple: 2.0,
            fall_time: 1_500_000,
            report_period: tier.report_period as u64,
            report_delay: tier.report_delay as u64,
            report_noise: tier.report_noise,
            reported_values: vec!["wait".into()],
            link_delay: file.net.same as u64,
            ..Servers::default()
        },
        classes: classes.collect(),
        publishers: file
            .tenants
            .iter()
            .map(|t| Publisher { name: t.name.clone(), share: t.traffic, quota: t.quota * offered })
            .collect(),
        faults: file
            .troubles
            .iter()
            .flat_map(|t| faults_of(t, &file, fronts as usize, &mut skipped))
            .collect(),
    };
    Ok((day, skipped))
}

fn faults_of(
    from: &FaultFile,
    file: &DayFile,
    fronts: usize,
    skipped: &mut Vec<String>,
) -> Vec<ScheduledFault> {
    let (at, span) = (from.at as u64, from.len as u64);
    let single = |what| vec![ScheduledFault { at, duration: span, kind: what }];
    let each = |make: &dyn Fn(usize) -> FaultKind| -> Vec<ScheduledFault> {
        let known = from.on.iter().filter(|server| **server < file.servers.len());
        known.map(|server| ScheduledFault { at, duration: span, kind: make(*server) }).collect()
    };
    match from.kind.as_str() {
        "burst" => single(FaultKind::Burst { factor: from.size.max(0.1) }),
        "crash" => each(&|server| FaultKind::Die { server, back_after: Some(span.max(1_000_000)) }),
        "deploy" => {
            let step = span / from.on.len().max(1) as u64;
            let mut all = each(&|server| FaultKind::Drain {
                server,
                by_list: true,
                by_dpr: true,
                back_after: Some(500_000),
            });
            for (place, trouble) in all.iter_mut().enumerate() {
                (trouble.at, trouble.duration) = (at + step * place as u64, step.clamp(1_500_000, 5_000_000));
            }
            all
        }
        "slow" | "ageing" => each(&|server| FaultKind::Slow { server, factor: from.size.max(1.0) }),
        "pauses" => each(&|server| FaultKind::Pause { server }),
        "peer_down" => single(FaultKind::MessagesLost { share: 1.0 }),
        "answer_lost" => each(&|server| FaultKind::LoseAnswers { server, share: from.size.clamp(0.0, 1.0) }),
        "hot_key" => single(FaultKind::Hot { share: from.size.clamp(0.0, 1.0) }),
        "reconnect" => single(FaultKind::Cut { share: from.size.clamp(0.0, 1.0) }),
        "retry_abuse" => single(FaultKind::Redials {
            times: from.size.clamp(1.0, 20.0) as u32,
            wait: (from.extra * 1e6).clamp(50_000.0, 5e6) as u64,
        }),
        "discovery_stale" => {
            single(FaultKind::ListLag { lag: (from.size.max(1.0) * file.discovery.notice) as u64 })
        }
        "balancer_stall" => {
            let fronts = from.on.iter().filter(|front| **front < fronts);
            let span = span.min(2_000_000);
            fronts
                .map(|front| ScheduledFault { at, duration: span, kind: FaultKind::Stall { front: *front } })
                .collect()
        }
        other => {
            skipped.push(format!("{other} at {:.1} s is not played", from.at / 1e6));
            Vec::new()
        }
    }
}
