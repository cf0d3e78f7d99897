//! The settings text: JSON into the library's settings. Unknown keys are passed over. The one reader for the
//! bench's adapter and the front node.

use crate::interface::{Class, Micros, Repeat, Report, ReportPath, Settings, Tenant};
use serde::Deserialize;

/// A value of a load report, by its place in the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// Free lines towards the server.
    Free,
    /// Lines in all.
    Lines,
    /// Set-ups in work.
    InWork,
    /// Set-ups waiting.
    Queue,
    /// How busy the processor is.
    Busy,
    /// Wait at the processor, in milliseconds.
    WaitMs,
    /// Set-ups a second that it can take.
    Rate,
    /// Share to hold back.
    HoldBack,
    /// Not known here.
    Unknown,
}

impl Field {
    /// The field of this name in the settings.
    fn named(name: &str) -> Self {
        match name {
            "idle" => Self::Free,
            "circuits" => Self::Lines,
            "rif" => Self::InWork,
            "q" => Self::Queue,
            "busy" => Self::Busy,
            "lat_ms" => Self::WaitMs,
            "max_rate" => Self::Rate,
            "reduce" => Self::HoldBack,
            _ => Self::Unknown,
        }
    }

    /// Sets the field in a report. Not told is -1; other negative or non-finite values say nothing either.
    pub fn put(self, value: f64, report: &mut Report) {
        let value = Some(value).filter(|v| v.is_finite() && *v >= 0.0);
        match self {
            Self::Free => report.free = value,
            Self::Lines => report.lines = value,
            Self::InWork => report.in_work = value,
            Self::Queue => report.queue = value,
            Self::Busy => report.busy = value,
            Self::WaitMs => report.wait_s = value.map(|v| v / 1000.0),
            Self::Rate => report.rate = value,
            Self::HoldBack => report.hold_back = value,
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
    fn wording(&self) -> Wording {
        Wording {
            fields: self.stats.fields.iter().map(|name| (name.clone(), Field::named(name))).collect(),
            marks_redials: self.clients.marks_retry,
            classes: self.classes.iter().map(|class| class.name.clone()).collect(),
            tenants: self.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            widths: self.family_info.circuits_by_class.clone(),
            grace: micros(self.rules.stop_sending_within_s),
            dial_timeout: micros(self.policy_limits.dial_timeout_s),
            max_open: self.policy_limits.max_open,
        }
    }
}

/// How this site words its records, and what a front needs beside the module's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Wording {
    /// Load report values by place, with their names.
    pub fields: Vec<(String, Field)>,
    /// Callers mark that they dial again.
    pub marks_redials: bool,
    /// The classes' names, in the order of the settings.
    pub classes: Vec<String>,
    /// The customers' names, in the order of the settings.
    pub tenants: Vec<String>,
    /// Circuits that a call of each class takes.
    pub widths: Vec<f64>,
    /// Nothing new to a server later than this after a drain was told.
    pub grace: Micros,
    /// A connection that is not up by then has failed; 0 where none is told.
    pub dial_timeout: Micros,
    /// Calls in set-up at once; 0 where no bound is told.
    pub max_open: u32,
}

/// Why a settings text cannot be used.
#[derive(Debug)]
pub struct ConfigError(serde_json::Error);

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "unusable settings: {}", self.0)
    }
}

impl std::error::Error for ConfigError {}

/// Seconds to whole microseconds; what is negative or not finite becomes 0.
pub fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

/// Reads the settings and the site's wording.
///
/// # Errors
/// Names the key, line and column at which the text is no JSON or lacks what must be there.
pub fn read(text: &[u8]) -> Result<(Settings, Wording), ConfigError> {
    let raw: Raw = serde_json::from_slice(text).map_err(ConfigError)?;
    let wording = raw.wording();
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
    Ok((settings, wording))
}
