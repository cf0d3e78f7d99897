//! The settings text: JSON into the library's settings. Unknown keys are passed over.

use baydrift::interface::{Class, Repeat, ReportPath, Settings, Tenant};
use serde::Deserialize;

/// A value of a load report, by its place in the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    Free,
    Lines,
    InWork,
    Queue,
    Busy,
    WaitMs,
    Rate,
    HoldBack,
    Unknown,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawClass {
    #[serde(default)]
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    late_value: f64,
    slo_s: f64,
    #[serde(default)]
    hard_limit_s: f64,
    #[serde(default)]
    window_s: f64,
    worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawTenant {
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct RawFamily {
    far_reports: String,
    guard_s: f64,
    own_number: Option<f64>,
    skilled_pools: Vec<Vec<u16>>,
    t1_s: f64,
    topology: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawLimits {
    max_attempts: u32,
    #[serde(default)]
    cancelling: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawRules {
    cold_from: f64,
    fall_multiple: f64,
    fall_s: f64,
    ramp_time_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct RawClients {
    marks_retry: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawStats {
    fields: Vec<String>,
    how: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Raw {
    balancers: u32,
    #[serde(default)]
    ordinal: u32,
    classes: Vec<RawClass>,
    #[serde(default)]
    clients: RawClients,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    family_info: RawFamily,
    #[serde(default)]
    over_share_worth: Option<f64>,
    policy_limits: RawLimits,
    rules: RawRules,
    #[serde(default)]
    stats: RawStats,
    #[serde(default)]
    tenants: Vec<RawTenant>,
}

/// How this site words its records.
pub struct Wording {
    /// Load report values by place.
    pub fields: Vec<Field>,
    /// Callers mark that they dial again.
    pub marks_redials: bool,
}

/// Seconds to whole microseconds; what is negative or not finite becomes 0.
pub fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

/// Reads the settings and the site's wording.
pub fn read(text: &[u8]) -> Result<(Settings, Wording), String> {
    let raw: Raw = serde_json::from_slice(text).map_err(|e| format!("unusable settings: {e}"))?;
    let fields = raw.stats.fields.iter().map(|name| match name.as_str() {
        "idle" => Field::Free,
        "circuits" => Field::Lines,
        "rif" => Field::InWork,
        "q" => Field::Queue,
        "busy" => Field::Busy,
        "lat_ms" => Field::WaitMs,
        "max_rate" => Field::Rate,
        "reduce" => Field::HoldBack,
        _ => Field::Unknown,
    });
    let fields = fields.collect();
    let pools = raw.family_info.topology == "skills";
    let classes = raw.classes.iter().enumerate().map(|(i, class)| Class {
        worth: class.worth,
        late_worth: class.late_value,
        aim: micros(class.slo_s),
        deadline: micros(class.hard_limit_s),
        repeat: match (class.effect.as_str(), class.group.as_str()) {
            ("dedup", "all") => Repeat::Within(micros(class.window_s)),
            ("dedup" | "fragile", _) => Repeat::Never,
            _ => Repeat::Safe,
        },
        servers: raw.family_info.skilled_pools.get(i).filter(|_| pools).cloned(),
    });
    let classes = classes.collect();
    let how = match raw.family_info.far_reports.as_str() {
        "" => raw.stats.how.as_str(),
        far => far,
    };
    let settings = Settings {
        fronts: raw.balancers,
        ordinal: raw.ordinal,
        own_number: raw.family_info.own_number.filter(|n| *n >= 0.0).map(|n| n as u16),
        classes,
        tenants: raw.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
        over_share_worth: raw.over_share_worth.unwrap_or(1.0),
        max_attempts: raw.policy_limits.max_attempts,
        may_cancel: raw.policy_limits.cancelling,
        may_probe: raw.policy_limits.probes,
        may_tell_peers: raw.policy_limits.peers,
        max_retry_after: match raw.policy_limits.retry_after {
            true => micros(raw.policy_limits.max_retry_after_s),
            false => 0,
        },
        reports: match how {
            "piggyback" => ReportPath::Answers,
            "pull" => ReportPath::Probes,
            _ => ReportPath::None,
        },
        subscribe: raw.discovery == "subscribe",
        resend_after: micros(raw.family_info.t1_s),
        release_guard: micros(raw.family_info.guard_s),
        cold_from: raw.rules.cold_from,
        ramp_time: micros(raw.rules.ramp_time_s),
        fall_multiple: raw.rules.fall_multiple,
        fall_time: micros(raw.rules.fall_s),
    };
    Ok((settings, Wording { fields, marks_redials: raw.clients.marks_retry }))
}
