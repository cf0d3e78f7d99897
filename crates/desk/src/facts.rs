//! What a request tells of its call, by the configured table alone.

use std::collections::BTreeMap;

use baydrift::interface::Micros;
use baydrift_config::Config;
use baydrift_diameter::credit::Ccr;
use baydrift_diameter::{dict, result, Avp, Fault, Message};

/// What the engine is told of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Facts {
    /// Index of its class.
    pub class: usize,
    /// Index of its publisher; beyond all of them where none is known.
    pub tenant: usize,
    /// The number dialled; 0 for none.
    pub number: u64,
    /// Number of the server of first choice.
    pub first_choice: Option<u16>,
    /// Its caller gives up after so long.
    pub gives_up: Micros,
}

/// The configured table: from what requests say to what calls are.
#[derive(Debug, Clone)]
pub struct Table {
    host: String,
    serves: Vec<String>,
    contexts: BTreeMap<String, usize>,
    gives_up: Vec<Micros>,
    /// First Service-Context-Id of each class.
    first_contexts: Vec<String>,
    realms: BTreeMap<String, usize>,
    subscriptions: Vec<(String, usize)>,
    servers: BTreeMap<String, u16>,
    publishers: usize,
}

impl Table {
    /// The table of a configuration.
    pub fn new(config: &Config) -> Self {
        let mut contexts = BTreeMap::new();
        for (index, class) in config.classes.iter().enumerate() {
            contexts.extend(class.contexts.iter().map(|context| (context.clone(), index)));
        }
        let (mut realms, mut subscriptions) = (BTreeMap::new(), Vec::new());
        for (index, publisher) in config.publishers.iter().enumerate() {
            realms.extend(publisher.realms.iter().map(|realm| (realm.clone(), index)));
            subscriptions.extend(publisher.subscriptions.iter().map(|start| (start.clone(), index)));
        }
        Self {
            host: config.host.clone(),
            serves: config.served_realms.clone(),
            contexts,
            first_contexts: config
                .classes
                .iter()
                .map(|class| class.contexts.first().cloned().unwrap_or_default())
                .collect(),
            gives_up: config.classes.iter().map(|class| class.caller_timeout).collect(),
            realms,
            subscriptions,
            servers: config.pool_members().map(|(host, number, _)| (host.to_owned(), number)).collect(),
            publishers: config.publishers.len(),
        }
    }

    /// A class by its index: a Service-Context-Id of it, and when its callers give up.
    pub(crate) fn class(&self, class: usize) -> (&str, Micros) {
        let context = self.first_contexts.get(class).map_or("", String::as_str);
        (context, self.gives_up.get(class).copied().unwrap_or(0))
    }

    /// The realm of calls that name none.
    pub(crate) fn first_realm(&self) -> &str {
        self.serves.first().map_or("", String::as_str)
    }

    /// Reads a set-up's facts.
    ///
    /// # Errors
    /// 3003 for a realm not served, 3002 for a host not known, 5004 for a service context without a class.
    pub fn facts(&self, message: &Message, ccr: &Ccr<'_>) -> Result<Facts, Fault> {
        if !self.serves.iter().any(|realm| realm == ccr.destination_realm) {
            let text = format!("realm {} is not served", ccr.destination_realm);
            return Err(Fault::new(result::REALM_NOT_SERVED, text));
        }
        let first_choice =
            match ccr.destination_host.filter(|host| *host != self.host) {
                None => None,
                Some(host) => Some(*self.servers.get(host).ok_or_else(|| {
                    Fault::new(result::UNABLE_TO_DELIVER, format!("host {host} is not known"))
                })?),
            };
        let class = *self.contexts.get(ccr.service_context).ok_or_else(|| {
            let text = format!("no class has the service context {}", ccr.service_context);
            Fault::new(result::INVALID_AVP_VALUE, text)
                .with(Avp::text(dict::SERVICE_CONTEXT_ID, ccr.service_context))
        })?;
        Ok(Facts {
            class,
            tenant: self.tenant(message, ccr.origin_realm),
            number: ccr.called.map_or(0, number_of),
            first_choice,
            gives_up: self.gives_up[class],
        })
    }

    fn tenant(&self, message: &Message, realm: &str) -> usize {
        if !self.subscriptions.is_empty() {
            if let Some(data) = Ccr::subscription(message) {
                let found = self.subscriptions.iter().find(|(start, _)| data.starts_with(start.as_str()));
                if let Some((_, index)) = found {
                    return *index;
                }
            }
        }
        self.realms.get(realm).copied().unwrap_or(self.publishers)
    }
}

/// A dialled number as the module counts it: its digits where it has no more than fit, else a hash of the
/// text (FNV-1a, the same on each front). Never 0 for a number that is there.
pub fn number_of(called: &str) -> u64 {
    if called.is_empty() {
        return 0;
    }
    if called.len() <= 18 && called.bytes().all(|b| b.is_ascii_digit()) {
        return called.parse::<u64>().unwrap_or(0).max(1);
    }
    let hash = called
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3));
    hash.max(1)
}
