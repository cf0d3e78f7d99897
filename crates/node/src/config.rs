//! What the platform tells a front node: the JSON file that `RELAY_CONFIG` names.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use baydrift::config::SiteConfig;
use baydrift::interface::{Micros, Settings};
use baydrift_platform::{PlatformError, ServerList};
use serde::Deserialize;
use serde_json::value::RawValue;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The variable that names the file is not set.
    #[error("RELAY_CONFIG is not set: it names the configuration file")]
    Unnamed,
    /// The file cannot be read.
    #[error("RELAY_CONFIG: cannot read {0}: {1}")]
    Unreadable(String, std::io::Error),
    /// It is no JSON, or lacks a key.
    #[error("RELAY_CONFIG: {0}")]
    Json(#[from] serde_json::Error),
    /// A key's value is of no use.
    #[error("RELAY_CONFIG: key '{key}': {what}")]
    Key {
        /// The key.
        key: &'static str,
        /// What is wrong.
        what: String,
    },
    /// The settings lack something.
    #[error("RELAY_CONFIG: key 'settings': {0}")]
    Settings(#[from] baydrift::config::ConfigError),
    /// The settings hold a figure that nothing sensible can be done with.
    #[error("RELAY_CONFIG: key 'settings': {0}")]
    Figures(#[from] baydrift::interface::SettingsError),
    /// The list of the start cannot be read.
    #[error("RELAY_CONFIG: key 'known': {0}")]
    Known(#[from] PlatformError),
}

/// A front node's configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// For chance.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Where datagrams of other front nodes come in.
    pub peer_listen: Option<SocketAddr>,
    /// The front nodes' addresses by their numbers, the own one included.
    pub peers: Vec<SocketAddr>,
    /// The name server.
    pub names: SocketAddr,
    /// The list as of the start.
    pub known: ServerList,
    /// The module's settings.
    pub settings: Settings,
    /// Names and figures beside them.
    pub site: SiteConfig,
}

#[derive(Deserialize)]
struct Raw {
    name: String,
    listen: String,
    seed: String,
    limits: RawLimits,
    #[serde(default)]
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    names: String,
    known: serde_json::Value,
    settings: Box<RawValue>,
}

#[derive(Deserialize)]
struct RawLimits {
    sockets: usize,
}

/// Fewer descriptors than this are of no use.
const SOCKETS_LEAST: usize = 64;
/// Where the settings tell no time for dials.
const DIAL_TIMEOUT: Micros = 500_000;

fn address(key: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Key { key, what: format!("'{text}' is no address and port") })
}

impl Config {
    /// How long a connection to a signalling server may take to come up.
    pub fn dial_timeout(&self) -> Micros {
        if self.site.dial_timeout == 0 {
            DIAL_TIMEOUT
        } else {
            self.site.dial_timeout
        }
    }

    /// The file that `RELAY_CONFIG` names.
    ///
    /// # Errors
    /// When the variable is not set.
    pub fn path() -> Result<PathBuf, ConfigError> {
        std::env::var_os("RELAY_CONFIG").map(PathBuf::from).ok_or(ConfigError::Unnamed)
    }

    /// Reads a file.
    ///
    /// # Errors
    /// Names the key that is missing or of no use.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let unreadable = |e| ConfigError::Unreadable(path.display().to_string(), e);
        Self::read(&std::fs::read(path).map_err(unreadable)?)
    }

    /// Reads the JSON text.
    ///
    /// # Errors
    /// As [`Config::load`].
    pub fn read(text: &[u8]) -> Result<Self, ConfigError> {
        let raw: Raw = serde_json::from_slice(text)?;
        let seed = u64::from_str_radix(&raw.seed, 16).map_err(|_| ConfigError::Key {
            key: "seed",
            what: format!("'{}' is no hex number", raw.seed),
        })?;
        if raw.limits.sockets < SOCKETS_LEAST {
            let what = format!("{} are too few: {SOCKETS_LEAST} at least", raw.limits.sockets);
            return Err(ConfigError::Key { key: "limits.sockets", what });
        }
        let (settings, site) = baydrift::config::read(raw.settings.get().as_bytes())?;
        settings.check()?;
        Ok(Self {
            name: raw.name,
            listen: address("listen", &raw.listen)?,
            seed,
            sockets: raw.limits.sockets,
            peer_listen: raw.peer_listen.map(|text| address("peer_listen", &text)).transpose()?,
            peers: raw.peers.iter().map(|text| address("peers", text)).collect::<Result<_, _>>()?,
            names: address("names", &raw.names)?,
            known: ServerList::from_config(raw.known)?,
            settings,
            site,
        })
    }
}
