//! A stand-in for the platform's name server: the list of signalling servers by DNS over UDP.

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
                if let Some(answer) = answer(&buffer[..size], serial, &servers) {
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
    pub fn asked(&self) -> u64 {
        self.asked.load(Ordering::Relaxed)
    }
}

fn answer(query: &[u8], serial: u32, servers: &[Listed]) -> Option<Vec<u8>> {
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
        let texts = vec!["kind=std".to_owned(), format!("cell={}", server.number), "started=0".to_owned()];
        message.add_additional(Record::from_rdata(host, 0, RData::TXT(TXT::new(texts))));
    }
    let soa = SOA::new(list.clone(), list.clone(), serial, 1, 1, 1, 1);
    message.add_name_server(Record::from_rdata(list, 0, RData::SOA(soa)));
    message.to_vec().ok()
}
