//! `baydrift demo`: the main job on an embedded default.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use baydrift::interface::Report;
use baydrift_audit::{rules, service, ClassConfig, Recorder, RuleLimits};
use baydrift_front::Bound;
use baydrift_standin::{
    Caller, CallerSpec, Flow, OfferedLoad, ProcessorSpec, Server, ServerSpec, TextCaller, TextSpec,
};
use miette::IntoDiagnostic;
use tokio::sync::watch;

use crate::front::{announce, told_to_stop};

#[derive(clap::Args)]
pub struct Args {
    /// Ends after so long; without it, when told to stop.
    #[arg(long)]
    seconds: Option<f64>,
    /// Calls a second of the built-in callers; 0 leaves the front to outside clients.
    #[arg(long, default_value_t = 20.0)]
    calls_per_second: f64,
    /// Seed of all that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

const CONFIG: &str = include_str!("demo.kdl");
const SERVERS: u16 = 3;

pub async fn run(args: Args) -> miette::Result<ExitCode> {
    let recorder = Arc::new(Recorder::default());
    let (mut servers, mut text) = (Vec::new(), CONFIG.to_owned());
    for number in 0..SERVERS {
        let server = Server::start(spec(number), recorder.clone(), args.seed + u64::from(number)).await;
        let server = server.into_diagnostic()?;
        text += &format!(
            "server \"s{number}.demo.test\" realm=\"demo.test\" number={number} addr=\"{}\"\n",
            server.addr
        );
        servers.push(server);
    }
    let config = baydrift_config::parse("the demo's configuration", &text)?;
    let bound = Bound::bind(config.clone()).await.into_diagnostic()?;
    announce(&config, &bound.addrs());
    let addrs = bound.addrs();
    let front = bound.start().into_diagnostic()?;

    let (offers, told) = watch::channel(OfferedLoad::default());
    let flow = |class: usize, context: &str, share: f64| Flow {
        class,
        publisher: 0,
        context: context.into(),
        subscription: "demo:caller".into(),
        // Half of the calls come by each protocol.
        rate: args.calls_per_second * share / 2.0,
        hold: 3_000_000,
        caller_timeout: 3_000_000,
    };
    let callers = CallerSpec {
        host: "callers.demo.test".into(),
        realm: "demo.test".into(),
        front: (0, config.host.clone(), config.realm.clone()),
        destination_realm: config.realm.clone(),
        servers: (0..SERVERS).map(|n| (format!("s{n}.demo.test"), 1.0)).collect(),
        flows: vec![flow(0, "lookup@demo.test", 0.8), flow(1, "check@demo.test", 0.2)],
        watchdog: 6_000_000,
    };
    let mut texts = None;
    if let Some(addr) = addrs.text_udp {
        let spec = TextSpec {
            mid: "<callers.demo.test>".into(),
            front: 0,
            servers: callers.servers.clone(),
            flows: callers.flows.clone(),
        };
        let started = TextCaller::start(spec, addr, told.clone(), recorder.clone(), args.seed + 1).await;
        texts = Some(started.into_diagnostic()?);
    }
    let callers = Caller::start(callers, addrs.diameter, told, recorder.clone(), args.seed);
    let until = async {
        match args.seconds {
            Some(seconds) => tokio::time::sleep(Duration::from_secs_f64(seconds.clamp(0.0, 1e6))).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = until => {}
        () = told_to_stop() => {}
    }
    offers.send_modify(|offers| offers.factor = 0.0);
    let _ = tokio::time::timeout(Duration::from_millis(3_500), callers.ended()).await;
    drop(texts);
    if let Some(snapshot) = front.snapshot().await {
        tracing::info!(?snapshot, "the front's own counts");
    }
    // The stop cuts what still stands: no part of what the run shows.
    let lines = recorder.lines();
    front.stop().await;
    let verdict = rules(&lines, RuleLimits::default());
    let terms: Vec<_> = config
        .classes
        .iter()
        .map(|c| ClassConfig {
            name: c.name.clone(),
            worth: c.class.worth,
            late_worth: c.class.late_worth,
            aim: c.class.aim,
            hot_worth: 1.0,
        })
        .collect();
    print!("{}", baydrift_day::table(&verdict, &service(&lines, &terms, &["demo".into()])));
    Ok(if verdict.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn spec(number: u16) -> ServerSpec {
    ServerSpec {
        host: format!("s{number}.demo.test"),
        realm: "demo.test".into(),
        number,
        processor: ProcessorSpec {
            rate: 40.0,
            release_work: 0.12,
            rejection_work: 0.23,
            max_wait: 2_500_000,
            cold_from: 0.35,
            warm_up_time: 12_000_000,
            fall_multiple: 2.0,
            fall_time: 1_500_000,
        },
        report_period: 300_000,
        report_delay: 100_000,
        report_noise: 0.1,
        reported_values: |report| Report { wait_s: report.wait_s, ..Report::default() },
        max_connections: 64,
        watchdog: 6_000_000,
        fronts: BTreeMap::from([("front.demo.test".to_owned(), 0)]),
    }
}
