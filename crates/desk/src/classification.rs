//! Classification of calls: class, tenant, number and first choice of a request, by the configuration alone.

use std::collections::BTreeMap;

use baydrift::interface::Micros;
use baydrift_config::Config;
use baydrift_diameter::credit::Ccr;
use baydrift_diameter::{dict, result, Avp, Fault, Message};

/// Attributes of a call that the engine routes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallAttributes {
    /// Index of its class.
    pub class: usize,
    /// Index of its publisher; the number of publishers if none matches.
    pub tenant: usize,
    /// The dialled number by [`number_of`]; 0 for none.
    pub number: u64,
    /// Number of the server of first choice.
    pub first_choice: Option<u16>,
    /// Time after which the caller gives up, in microseconds.
    pub caller_timeout: Micros,
}

/// Maps the contents of requests to [`CallAttributes`] by the configuration.
#[derive(Debug, Clone)]
pub struct CallClassifier {
    host: String,
    served_realms: Vec<String>,
    contexts: BTreeMap<String, usize>,
    caller_timeouts: Vec<Micros>,
    /// First Service-Context-Id of each class.
    first_contexts: Vec<String>,
    realms: BTreeMap<String, usize>,
    subscriptions: Vec<(String, usize)>,
    servers: BTreeMap<String, u16>,
    publisher_count: usize,
}

impl CallClassifier {
    /// Builds the classifier from the configuration.
    pub fn new(config: &Config) -> Self {
        let mut contexts = BTreeMap::new();
        for (index, class) in config.classes.iter().enumerate() {
            contexts.extend(class.contexts.iter().map(|context| (context.clone(), index)));
        }
        let (mut realms, mut subscriptions) = (BTreeMap::new(), Vec::new());
        for (index, publisher) in config.publishers.iter().enumerate() {
            realms.extend(publisher.realms.iter().map(|realm| (realm.clone(), index)));
            subscriptions.extend(publisher.subscriptions.iter().map(|prefix| (prefix.clone(), index)));
        }
        Self {
            host: config.host.clone(),
            served_realms: config.served_realms.clone(),
            contexts,
            first_contexts: config
                .classes
                .iter()
                .map(|class| class.contexts.first().cloned().unwrap_or_default())
                .collect(),
            caller_timeouts: config.classes.iter().map(|class| class.caller_timeout).collect(),
            realms,
            subscriptions,
            servers: config.pool_members().map(|(host, number, _)| (host.to_owned(), number)).collect(),
            publisher_count: config.publishers.len(),
        }
    }

    /// First Service-Context-Id and caller timeout of a class.
    pub(crate) fn class(&self, class: usize) -> (&str, Micros) {
        let context = self.first_contexts.get(class).map_or("", String::as_str);
        (context, self.caller_timeouts.get(class).copied().unwrap_or(0))
    }

    /// Destination realm of calls without one.
    pub(crate) fn first_realm(&self) -> &str {
        self.served_realms.first().map_or("", String::as_str)
    }

    /// Classifies a set-up.
    ///
    /// # Errors
    /// 3003 for a realm that is not served, 3002 for an unknown host, 5004 for a service context without a
    /// class.
    pub fn classify(&self, message: &Message, ccr: &Ccr<'_>) -> Result<CallAttributes, Fault> {
        if !self.served_realms.iter().any(|realm| realm == ccr.destination_realm) {
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
        Ok(CallAttributes {
            class,
            tenant: self.tenant(message, ccr.origin_realm),
            number: ccr.called.map_or(0, number_of),
            first_choice,
            caller_timeout: self.caller_timeouts[class],
        })
    }

    fn tenant(&self, message: &Message, realm: &str) -> usize {
        if !self.subscriptions.is_empty() {
            if let Some(data) = Ccr::subscription(message) {
                let found = self.subscriptions.iter().find(|(prefix, _)| data.starts_with(prefix.as_str()));
                if let Some((_, index)) = found {
                    return *index;
                }
            }
        }
        self.realms.get(realm).copied().unwrap_or(self.publisher_count)
    }
}

/// A dialled number as an integer: its value if it has at most 18 digits, otherwise the FNV-1a hash of the
/// text, which is the same on every front. 0 only if the number is empty.
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
