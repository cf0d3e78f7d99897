//! A test double of the platform's name server, which serves the list of signalling servers by DNS over UDP.
//! Also writes the configuration of a front node that contains such a list.

use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use baydrift_platform::dns::LIST_NAME;
use hickory_proto::op::{Message, MessageType};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use tokio::net::UdpSocket;

/// A signalling server on the list.
#[derive(Debug, Clone)]
pub struct Listed {
    /// Its identifier.
    pub name: String,
    /// Its listening address.
    pub addr: SocketAddr,
    /// Its group number.
    pub number: u16,
    /// Whether it drains.
    pub drains: bool,
    /// Start time of its process in Unix milliseconds; 0 means long ago.
    pub started_ms: u64,
}

impl Listed {
    /// A server that does not drain and is warm.
    pub fn ready(name: &str, addr: SocketAddr, number: u16) -> Self {
        Self { name: name.to_owned(), addr, number, drains: false, started_ms: 0 }
    }
}

/// The configuration of a front node in the platform's format, with two classes (`load`, `check`), one tenant
/// (`acme`) and `servers` as the initial list.
pub fn relay_config(names: SocketAddr, servers: &[Listed]) -> String {
    let endpoints = servers.iter().map(|s| {
        let Listed { name, addr, number, started_ms, .. } = s;
        let status = if s.drains { "terminating" } else { "in_service" };
        format!(
            r#"{{"name":"{name}","address":"{addr}","zone":"east","type":"std","group":{number},"status":"{status}","weight":1,"since_ms":{started_ms}}}"#
        )
    });
    let endpoints: Vec<_> = endpoints.collect();
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},"names":"{names}",
        "known":{{"seq":1,"results":[{{"seq":1,"fleet":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}]}},
        "settings":{{"balancers":1,"ordinal":0,
            "classes":[{{"name":"load","effect":"retryable","slo-s":2.0,"hard-limit-s":9.0,"late-value":0.25,"worth":1.0}},
                       {{"name":"check","effect":"retryable","slo-s":1.5,"hard-limit-s":9.0,"late-value":0.25,"worth":2.0}}],
            "tenants":[{{"name":"acme","quota-per-s":10000.0,"share":1.0}}],
            "stats":{{"fields":["idle","circuits","lat_ms"],"how":"piggyback"}},
            "family-info":{{"circuits-by-class":[1,1],"guard-s":0.3,"t1-s":0.5,"topology":"skills","skilled-pools":[[0,1,2],[0,1,2]]}},
            "policy-limits":{{"max-attempts":5,"cancelling":true,"dial-timeout-s":0.5,"max-open":20000}},
            "rules":{{"cold-from":0.33,"fall-multiple":2.0,"fall-s":1.5,"ramp-time-s":13.0,"stop-sending-within-s":1.0}}}}}}"#,
        endpoints.join(",")
    )
}

/// A name server on loopback; it stops with its runtime.
pub struct NameServer {
    /// Its listening address.
    pub addr: SocketAddr,
    /// The serial number and the servers.
    list: Arc<Mutex<(u32, Vec<Listed>)>>,
    queries: Arc<AtomicU64>,
    /// Time from a query to its answer, in milliseconds.
    delay_ms: Arc<AtomicU64>,
}

impl NameServer {
    /// Starts a server that answers with this list and serial number.
    ///
    /// # Errors
    /// If the socket cannot be bound.
    pub async fn start(serial: u32, servers: Vec<Listed>) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let addr = socket.local_addr()?;
        let (list, queries) = (Arc::new(Mutex::new((serial, servers))), Arc::new(AtomicU64::new(0)));
        let (current_list, count) = (list.clone(), queries.clone());
        let (socket, delay_ms) = (Arc::new(socket), Arc::new(AtomicU64::new(0)));
        let current_delay = delay_ms.clone();
        tokio::spawn(async move {
            let mut buffer = [0; 512];
            while let Ok((size, from)) = socket.recv_from(&mut buffer).await {
                count.fetch_add(1, Ordering::Relaxed);
                let delay = Duration::from_millis(current_delay.load(Ordering::Relaxed));
                let (query, list, socket) = (buffer[..size].to_vec(), current_list.clone(), socket.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let (serial, servers) = list.lock().unwrap_or_else(PoisonError::into_inner).clone();
                    if let Some(answer) = list_answer(&query, serial, &servers) {
                        let _ = socket.send_to(&answer, from).await;
                    }
                });
            }
        });
        Ok(Self { addr, list, queries, delay_ms })
    }

    /// Sets the time from a query to its answer, which has the list of the end of that time.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Replaces the list and increments the serial number.
    pub fn set_list(&self, servers: Vec<Listed>) {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        *list = (list.0 + 1, servers);
    }

    /// Number of queries received so far.
    pub fn query_count(&self) -> u64 {
        self.queries.load(Ordering::Relaxed)
    }
}

/// Encodes the answer to a query for the list, with this serial number. Returns `None` if the query cannot be
/// decoded.
pub fn list_answer(query: &[u8], serial: u32, servers: &[Listed]) -> Option<Vec<u8>> {
    let query = Message::from_vec(query).ok()?;
    let list = Name::from_str(LIST_NAME).ok()?;
    let mut message = Message::new();
    message.set_id(query.id()).set_message_type(MessageType::Response).add_queries(query.queries().to_vec());
    for server in servers {
        let host = Name::from_str(&format!("{}.east.hosts.", server.name)).ok()?;
        let srv = SRV::new(u16::from(server.drains), 10, server.addr.port(), host.clone());
        message.add_answer(Record::from_rdata(list.clone(), 0, RData::SRV(srv)));
        if let IpAddr::V4(ip) = server.addr.ip() {
            message.add_additional(Record::from_rdata(host.clone(), 0, RData::A(A(ip))));
        }
        let texts = vec![
            "kind=std".to_owned(),
            format!("cell={}", server.number),
            format!("started={}", server.started_ms),
        ];
        message.add_additional(Record::from_rdata(host, 0, RData::TXT(TXT::new(texts))));
    }
    let soa = SOA::new(list.clone(), list.clone(), serial, 1, 1, 1, 1);
    message.add_name_server(Record::from_rdata(list, 0, RData::SOA(soa)));
    message.to_vec().ok()
}
