//! Reads the JSON settings of a site; unknown keys are ignored. Both the bench's adapter and the front node
//! use this reader.

use crate::interface::{Class, Micros, Repeat, Report, ReportPath, Settings, Tenant};
use serde::Deserialize;

/// A value of a load report. Records hold these by position, in the order that the settings give.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// Free circuits towards the server.
    Free,
    /// All circuits towards the server.
    Circuits,
    /// Set-ups in progress.
    InFlight,
    /// Set-ups waiting.
    Queue,
    /// Utilisation of the processor.
    Busy,
    /// Wait at the processor, in milliseconds.
    WaitMs,
    /// Set-ups a second that the server can accept.
    Rate,
    /// Fraction by which each sender should reduce its set-ups.
    Reduction,
    /// A field that this module does not use.
    Unknown,
}

impl Field {
    /// Looks up a field by its name in the settings.
    fn named(name: &str) -> Self {
        match name {
            "idle" => Self::Free,
            "circuits" => Self::Circuits,
            "rif" => Self::InFlight,
            "q" => Self::Queue,
            "busy" => Self::Busy,
            "lat_ms" => Self::WaitMs,
            "max_rate" => Self::Rate,
            "reduce" => Self::Reduction,
            _ => Self::Unknown,
        }
    }

    /// Sets the field in a report. A value of -1 means that it was not reported; other negative and
    /// non-finite values are treated the same.
    pub fn put(self, value: f64, report: &mut Report) {
        let value = Some(value).filter(|v| v.is_finite() && *v >= 0.0);
        match self {
            Self::Free => report.free = value,
            Self::Circuits => report.circuits = value,
            Self::InFlight => report.in_flight = value,
            Self::Queue => report.queue = value,
            Self::Busy => report.busy = value,
            Self::WaitMs => report.wait_s = value.map(|v| v / 1000.0),
            Self::Rate => report.rate = value,
            Self::Reduction => report.reduction = value,
            Self::Unknown => {}
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawClass {
    #[serde(default)]
    name: String,
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
    #[serde(default)]
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct RawFamily {
    far_reports: String,
    circuits_by_class: Vec<f64>,
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
    #[serde(default)]
    dial_timeout_s: f64,
    #[serde(default)]
    max_open: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawRules {
    cold_from: f64,
    fall_multiple: f64,
    fall_s: f64,
    ramp_time_s: f64,
    #[serde(default)]
    stop_sending_within_s: f64,
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

impl Raw {
    fn site(&self) -> SiteConfig {
        SiteConfig {
            fields: self.stats.fields.iter().map(|name| (name.clone(), Field::named(name))).collect(),
            marks_redials: self.clients.marks_retry,
            classes: self.classes.iter().map(|class| class.name.clone()).collect(),
            tenants: self.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            circuits_by_class: self.family_info.circuits_by_class.clone(),
            grace: micros(self.rules.stop_sending_within_s),
            dial_timeout: micros(self.policy_limits.dial_timeout_s),
            max_open: self.policy_limits.max_open,
        }
    }
}

/// Site parameters that are not part of [`Settings`]: the format of its records and limits of the front.
#[derive(Debug, Clone, PartialEq)]
pub struct SiteConfig {
    /// The values of a load report in the order of its records, with their names.
    pub fields: Vec<(String, Field)>,
    /// Whether callers mark redials.
    pub marks_redials: bool,
    /// Names of the classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Number of circuits that a call takes, by class.
    pub circuits_by_class: Vec<f64>,
    /// Longest time after the notice of a drain until new set-ups to that server stop.
    pub grace: Micros,
    /// Time within which a connection must be established; 0 if not configured.
    pub dial_timeout: Micros,
    /// Largest number of calls in set-up at once; 0 if not configured.
    pub max_open: u32,
}

/// The settings are not valid JSON or lack a required key.
#[derive(Debug)]
pub struct ConfigError(serde_json::Error);

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "unusable settings: {}", self.0)
    }
}

impl std::error::Error for ConfigError {}

/// Converts seconds to whole microseconds, rounded; negative values and NaN become 0.
pub fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

/// Reads the settings and the site parameters.
///
/// # Errors
/// Names the key, line and column if the text is not valid JSON or lacks a required key.
pub fn read(text: &[u8]) -> Result<(Settings, SiteConfig), ConfigError> {
    let raw: Raw = serde_json::from_slice(text).map_err(ConfigError)?;
    let site = raw.site();
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
        may_gossip: raw.policy_limits.peers,
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
        retransmit_after: micros(raw.family_info.t1_s),
        retry_holdoff: micros(raw.family_info.guard_s),
        cold_from: raw.rules.cold_from,
        warm_up_time: micros(raw.rules.ramp_time_s),
        fall_multiple: raw.rules.fall_multiple,
        fall_time: micros(raw.rules.fall_s),
    };
    Ok((settings, site))
}
