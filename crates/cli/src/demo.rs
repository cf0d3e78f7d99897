//! `baydrift demo`: a front with stand-in servers and callers in one process, on a built-in configuration.

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

use crate::front::{print_listeners, shutdown_signal};

#[derive(clap::Args)]
pub struct Args {
    /// Duration in seconds; without it, the demo runs until SIGINT or SIGTERM.
    #[arg(long)]
    seconds: Option<f64>,
    /// Call rate of the built-in callers, in calls a second; 0 leaves the front to outside clients.
    #[arg(long, default_value_t = 20.0)]
    calls_per_second: f64,
    /// Random seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

const CONFIG: &str = include_str!("demo.kdl");
const SERVER_COUNT: u16 = 3;

pub async fn run(args: Args) -> miette::Result<ExitCode> {
    let recorder = Arc::new(Recorder::default());
    let (mut servers, mut config_text) = (Vec::new(), CONFIG.to_owned());
    for number in 0..SERVER_COUNT {
        let server =
            Server::start(server_spec(number), recorder.clone(), args.seed + u64::from(number)).await;
        let server = server.into_diagnostic()?;
        config_text += &format!(
            "server \"s{number}.demo.test\" realm=\"demo.test\" number={number} addr=\"{}\"\n",
            server.addr
        );
        servers.push(server);
    }
    let config = baydrift_config::parse("the demo's configuration", &config_text)?;
    let bound = Bound::bind(config.clone()).await.into_diagnostic()?;
    print_listeners(&config, &bound.addrs());
    let addrs = bound.addrs();
    let front = bound.start().into_diagnostic()?;

    let (offers, offers_receiver) = watch::channel(OfferedLoad::default());
    let flow = |class: usize, context: &str, share: f64| Flow {
        class,
        publisher: 0,
        context: context.into(),
        subscription: "demo:caller".into(),
        // Half of the calls come over Diameter, half over H.248 text.
        rate: args.calls_per_second * share / 2.0,
        hold: 3_000_000,
        caller_timeout: 3_000_000,
    };
    let callers = CallerSpec {
        host: "callers.demo.test".into(),
        realm: "demo.test".into(),
        front: (0, config.host.clone(), config.realm.clone()),
        destination_realm: config.realm.clone(),
        servers: (0..SERVER_COUNT).map(|n| (format!("s{n}.demo.test"), 1.0)).collect(),
        flows: vec![flow(0, "lookup@demo.test", 0.8), flow(1, "check@demo.test", 0.2)],
        watchdog: 6_000_000,
    };
    let mut text_caller = None;
    if let Some(addr) = addrs.text_udp {
        let spec = TextSpec {
            mid: "<callers.demo.test>".into(),
            front: 0,
            servers: callers.servers.clone(),
            flows: callers.flows.clone(),
        };
        let started =
            TextCaller::start(spec, addr, offers_receiver.clone(), recorder.clone(), args.seed + 1).await;
        text_caller = Some(started.into_diagnostic()?);
    }
    let callers = Caller::start(callers, addrs.diameter, offers_receiver, recorder.clone(), args.seed);
    let deadline = async {
        match args.seconds {
            Some(seconds) => tokio::time::sleep(Duration::from_secs_f64(seconds.clamp(0.0, 1e6))).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = deadline => {}
        () = shutdown_signal() => {}
    }
    offers.send_modify(|offers| offers.factor = 0.0);
    let _ = tokio::time::timeout(Duration::from_millis(3_500), callers.ended()).await;
    drop(text_caller);
    if let Some(snapshot) = front.snapshot().await {
        tracing::info!(?snapshot, "counters of the front");
    }
    // Read before the stop, which drops calls that are still established: they are no part of the result.
    let lines = recorder.lines();
    front.stop().await;
    let verdict = rules(&lines, RuleLimits::default());
    let classes: Vec<_> = config
        .classes
        .iter()
        .map(|class| ClassConfig {
            name: class.name.clone(),
            worth: class.class.worth,
            late_worth: class.class.late_worth,
            aim: class.class.aim,
            hot_worth: 1.0,
        })
        .collect();
    print!("{}", baydrift_day::table(&verdict, &service(&lines, &classes, &["demo".into()])));
    Ok(if verdict.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn server_spec(number: u16) -> ServerSpec {
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
