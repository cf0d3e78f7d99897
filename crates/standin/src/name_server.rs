//! A stand-in for the platform's name server: the list of signalling servers by DNS over UDP, and as a front node's
//! configuration holds it.

use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use baydrift_platform::names::LIST;
use hickory_proto::op::{Message, MessageType};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use tokio::net::UdpSocket;

/// One server on the list.
#[derive(Debug, Clone)]
pub struct Listed {
    /// Its id.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its number.
    pub number: u16,
    /// It drains.
    pub drains: bool,
    /// When its process started, in Unix milliseconds; 0 for long ago.
    pub started_ms: u64,
}

impl Listed {
    /// A server that is ready for long.
    pub fn ready(name: &str, addr: SocketAddr, number: u16) -> Self {
        Self { name: name.to_owned(), addr, number, drains: false, started_ms: 0 }
    }
}

/// A front node's configuration as the platform writes it: two classes (`load`, `check`), one tenant (`acme`), and
/// these servers at the start.
pub fn relay_config(names: SocketAddr, servers: &[Listed]) -> String {
    let lines = servers.iter().map(|s| {
        let Listed { name, addr, number, started_ms, .. } = s;
        let status = if s.drains { "terminating" } else { "in_service" };
        format!(
            r#"{{"name":"{name}","address":"{addr}","zone":"east","type":"std","group":{number},"status":"{status}","weight":1,"since_ms":{started_ms}}}"#
        )
    });
    let lines: Vec<_> = lines.collect();
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
        lines.join(",")
    )
}

/// A name server on loopback; it ends with its runtime.
pub struct NameServer {
    /// Where it listens.
    pub addr: SocketAddr,
    list: Arc<Mutex<(u32, Vec<Listed>)>>,
    asked: Arc<AtomicU64>,
}

impl NameServer {
    /// Answers with this list, as of the event of this number.
    ///
    /// # Errors
    /// Where the socket cannot be bound.
    pub async fn start(serial: u32, servers: Vec<Listed>) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let addr = socket.local_addr()?;
        let (list, asked) = (Arc::new(Mutex::new((serial, servers))), Arc::new(AtomicU64::new(0)));
        let (told, count) = (list.clone(), asked.clone());
        tokio::spawn(async move {
            let mut buffer = [0; 512];
            while let Ok((size, from)) = socket.recv_from(&mut buffer).await {
                count.fetch_add(1, Ordering::Relaxed);
                let (serial, servers) = told.lock().unwrap_or_else(PoisonError::into_inner).clone();
                if let Some(answer) = list_answer(&buffer[..size], serial, &servers) {
                    let _ = socket.send_to(&answer, from).await;
                }
            }
        });
        Ok(Self { addr, list, asked })
    }

    /// The next event: from now on the list is this.
    pub fn tell(&self, servers: Vec<Listed>) {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        *list = (list.0 + 1, servers);
    }

    /// Queries so far.
    pub fn query_count(&self) -> u64 {
        self.asked.load(Ordering::Relaxed)
    }
}

/// The answer to a query for the list, as of the event of this number; `None` where the query is none.
pub fn list_answer(query: &[u8], serial: u32, servers: &[Listed]) -> Option<Vec<u8>> {
    let query = Message::from_vec(query).ok()?;
    let list = Name::from_str(LIST).ok()?;
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
