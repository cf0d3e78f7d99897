//! `baydrift front` runs a front; `baydrift check` validates its configuration.

use std::path::Path;
use std::process::ExitCode;

use baydrift_config::Config;
use baydrift_front::{Addrs, Bound};
use miette::IntoDiagnostic;

fn load(path: &Path) -> miette::Result<Config> {
    Ok(baydrift_config::parse(&path.display().to_string(), &crate::read_file(path)?)?)
}

pub fn check(path: &Path) -> miette::Result<ExitCode> {
    let config = load(path)?;
    println!(
        "{}: good. {} classes, {} publishers, {} clients, {} servers, {} of them over trunks; front {} of {}",
        path.display(),
        config.classes.len(),
        config.publishers.len(),
        config.clients.len(),
        config.pool_members().count(),
        config.far_ends.len(),
        config.settings.ordinal,
        config.settings.fronts
    );
    Ok(ExitCode::SUCCESS)
}

/// Prints one line of JSON for each listener; tools read the bound addresses from it.
pub fn print_listeners(config: &Config, addrs: &Addrs) {
    let contexts: Vec<_> = config.classes.iter().flat_map(|class| &class.contexts).collect();
    println!(
        "{}",
        serde_json::json!({
            "listen": "diameter",
            "addr": addrs.diameter.to_string(),
            "origin_host": config.host,
            "origin_realm": config.realm,
            "service_context_ids": contexts,
        })
    );
    let optional_listeners = [
        ("pool", addrs.pool),
        ("fleet", addrs.fleet),
        ("h248-udp", addrs.text_udp),
        ("h248-tcp", addrs.text_tcp),
    ];
    for (kind, addr) in optional_listeners {
        if let Some(addr) = addr {
            println!("{}", serde_json::json!({"listen": kind, "addr": addr.to_string()}));
        }
    }
}

/// Resolves on the first SIGINT or SIGTERM.
pub async fn shutdown_signal() {
    use tokio::signal::unix::{signal, SignalKind};
    let Ok(mut term) = signal(SignalKind::terminate()) else { return std::future::pending().await };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = term.recv() => {}
    }
}

pub async fn run(path: &Path, clock_offset: i64) -> miette::Result<ExitCode> {
    let config = load(path)?;
    let mut bound = Bound::bind(config.clone()).await.into_diagnostic()?;
    print_listeners(&config, &bound.addrs());
    bound.set_clock_offset(clock_offset);
    let front = bound.start().into_diagnostic()?;
    shutdown_signal().await;
    front.stop().await;
    Ok(ExitCode::SUCCESS)
}
