//! The front node's configuration: the JSON file that `RELAY_CONFIG` names.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use baydrift::config::SiteConfig;
use baydrift::interface::{Micros, Settings};
use baydrift_platform::{PlatformError, ServerList};
use serde::Deserialize;
use serde_json::value::RawValue;

/// Why a configuration is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The variable that names the file is not set.
    #[error("RELAY_CONFIG is not set: it names the configuration file")]
    Unnamed,
    /// The file cannot be read.
    #[error("RELAY_CONFIG: cannot read {0}: {1}")]
    Unreadable(String, std::io::Error),
    /// It is invalid JSON, or lacks a key.
    #[error("RELAY_CONFIG: {0}")]
    Json(#[from] serde_json::Error),
    /// A key's value is invalid.
    #[error("RELAY_CONFIG: key '{key}': {what}")]
    Key {
        /// The key.
        key: &'static str,
        /// What is wrong.
        what: String,
    },
    /// The settings cannot be parsed.
    #[error("RELAY_CONFIG: key 'settings': {0}")]
    Settings(#[from] baydrift::config::ConfigError),
    /// A value in the settings is out of range.
    #[error("RELAY_CONFIG: key 'settings': {0}")]
    Figures(#[from] baydrift::interface::SettingsError),
    /// The initial server list is invalid.
    #[error("RELAY_CONFIG: key 'known': {0}")]
    Known(#[from] PlatformError),
}

/// A front node's configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// The front node's name.
    pub name: String,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub sockets: usize,
    /// Address for datagrams from other front nodes.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of all front nodes by number, its own included.
    pub peers: Vec<SocketAddr>,
    /// Address of the name server.
    pub names: SocketAddr,
    /// Initial server list.
    pub known: ServerList,
    /// The module's settings.
    pub settings: Settings,
    /// Names and values of the site beside the settings.
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

/// Minimum number of file descriptors.
const SOCKETS_MIN: usize = 64;
/// Dial timeout if the settings have none.
const DEFAULT_DIAL_TIMEOUT: Micros = 500_000;

fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|_| ConfigError::Key { key, what: format!("'{text}' is not an address with a port") })
}

impl Config {
    /// Timeout for connecting to a signalling server.
    pub fn dial_timeout(&self) -> Micros {
        if self.site.dial_timeout == 0 {
            DEFAULT_DIAL_TIMEOUT
        } else {
            self.site.dial_timeout
        }
    }

    /// Returns the path in `RELAY_CONFIG`.
    ///
    /// # Errors
    /// When the variable is not set.
    pub fn path() -> Result<PathBuf, ConfigError> {
        std::env::var_os("RELAY_CONFIG").map(PathBuf::from).ok_or(ConfigError::Unnamed)
    }

    /// Reads the configuration from a file.
    ///
    /// # Errors
    /// When the file cannot be read, or a key is missing or invalid; the error names the key.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let unreadable = |e| ConfigError::Unreadable(path.display().to_string(), e);
        Self::read(&std::fs::read(path).map_err(unreadable)?)
    }

    /// Parses the configuration from JSON text.
    ///
    /// # Errors
    /// As [`Config::load`].
    pub fn read(text: &[u8]) -> Result<Self, ConfigError> {
        let raw: Raw = serde_json::from_slice(text)?;
        let seed = u64::from_str_radix(&raw.seed, 16).map_err(|_| ConfigError::Key {
            key: "seed",
            what: format!("'{}' is not a hexadecimal number", raw.seed),
        })?;
        if raw.limits.sockets < SOCKETS_MIN {
            let what = format!("{} is too small, minimum {SOCKETS_MIN}", raw.limits.sockets);
            return Err(ConfigError::Key { key: "limits.sockets", what });
        }
        let (settings, site) = baydrift::config::read(raw.settings.get().as_bytes())?;
        settings.check()?;
        Ok(Self {
            name: raw.name,
            listen: parse_address("listen", &raw.listen)?,
            seed,
            sockets: raw.limits.sockets,
            peer_listen: raw.peer_listen.map(|text| parse_address("peer_listen", &text)).transpose()?,
            peers: raw.peers.iter().map(|text| parse_address("peers", text)).collect::<Result<_, _>>()?,
            names: parse_address("names", &raw.names)?,
            known: ServerList::from_config(raw.known)?,
            settings,
            site,
        })
    }
}
