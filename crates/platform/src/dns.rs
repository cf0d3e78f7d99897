//! The list of signalling servers in DNS over UDP (RFC 1035, SRV records by RFC 2782).
//!
//! SRV records list the servers: priority 0 means ready, any other priority draining. A or AAAA records give
//! the address of each host, TXT records its server number (`cell`) and start time (`started`, in Unix
//! milliseconds). The serial of the SOA record is the sequence number of the list.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use baydrift::interface::ServerState;
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, Record, RecordType};

use crate::server_list::{started_at, ListSnapshot, ListedServer, SERVERS_MAX};
use crate::PlatformError;

/// Domain name of the SRV records of the list.
pub const LIST_NAME: &str = "_work._tcp.fleet.local.";
/// Maximum size of an answer in bytes.
pub const ANSWER_MAX: usize = 8_000;

fn list_name() -> Result<Name, PlatformError> {
    Name::from_str(LIST_NAME).map_err(|_| PlatformError::DnsAnswer("cannot be requested: invalid query name"))
}

/// Encodes the query for the list.
///
/// # Errors
/// Not expected: everything but the id is constant.
pub fn query(id: u16) -> Result<Vec<u8>, PlatformError> {
    let mut message = Message::new();
    message.set_id(id).set_message_type(MessageType::Query).set_op_code(OpCode::Query);
    message.add_query(Query::query(list_name()?, RecordType::SRV));
    message.to_vec().map_err(|_| PlatformError::DnsAnswer("cannot be requested: the query cannot be encoded"))
}

/// Decodes the complete list from the answer to the query with this id.
///
/// # Errors
/// If the message is not the answer to that query, reports a failure, is truncated, lacks a required record
/// or lists more than [`SERVERS_MAX`] servers.
pub fn read(bytes: &[u8], id: u16) -> Result<ListSnapshot, PlatformError> {
    let message = Message::from_vec(bytes).map_err(|_| PlatformError::DnsAnswer("cannot be decoded"))?;
    if message.id() != id || message.message_type() != MessageType::Response {
        return Err(PlatformError::DnsAnswer("is not to this query"));
    }
    if message.truncated() {
        return Err(PlatformError::DnsAnswer("is truncated"));
    }
    if message.response_code() != ResponseCode::NoError {
        return Err(PlatformError::DnsAnswer("reports a failure"));
    }
    let list_name = list_name()?;
    if message.queries().first().is_some_and(|query| !query.name().eq_ignore_root_case(&list_name)) {
        return Err(PlatformError::DnsAnswer("is to another query"));
    }
    let all_records = || message.answers().iter().chain(message.additionals()).chain(message.name_servers());
    let serial = all_records().find_map(|record| match record.data() {
        RData::SOA(soa) => Some(soa.serial()),
        _ => None,
    });
    let seq = serial.ok_or(PlatformError::DnsAnswer("has no serial"))?;
    let hosts = read_hosts(all_records());
    let mut servers = BTreeMap::new();
    for record in message.answers() {
        let RData::SRV(srv) = record.data() else { continue };
        if !record.name().eq_ignore_root_case(&list_name) {
            continue;
        }
        let label = srv.target().iter().next().and_then(|label| std::str::from_utf8(label).ok());
        let name = label.ok_or(PlatformError::DnsAnswer("names no server"))?.to_owned();
        let host = hosts
            .get(&srv.target().to_lowercase())
            .ok_or(PlatformError::DnsAnswer("lacks a server's host"))?;
        let ip = host.address.ok_or(PlatformError::DnsAnswer("lacks a server's address"))?;
        let state = if srv.priority() == 0 { ServerState::Ready } else { ServerState::Draining };
        let server = ListedServer {
            address: SocketAddr::new(ip, srv.port()),
            number: host.number,
            state,
            started_at: started_at(host.started_ms),
            name: name.clone(),
        };
        servers.insert(name, server);
        if servers.len() > SERVERS_MAX {
            return Err(PlatformError::DnsAnswer("names too many servers"));
        }
    }
    Ok(ListSnapshot { seq, servers })
}

/// Data from the A, AAAA and TXT records of one host.
#[derive(Default)]
struct Host {
    address: Option<IpAddr>,
    number: u16,
    started_ms: f64,
}

fn read_hosts<'a>(records: impl Iterator<Item = &'a Record>) -> BTreeMap<Name, Host> {
    let mut hosts: BTreeMap<Name, Host> = BTreeMap::new();
    for record in records {
        match record.data() {
            RData::A(a) => {
                hosts.entry(record.name().to_lowercase()).or_default().address = Some(IpAddr::V4(a.0))
            }
            RData::AAAA(a) => {
                hosts.entry(record.name().to_lowercase()).or_default().address = Some(IpAddr::V6(a.0))
            }
            RData::TXT(txt) => {
                let host = hosts.entry(record.name().to_lowercase()).or_default();
                let texts = txt.iter().filter_map(|text| std::str::from_utf8(text).ok());
                for (key, value) in texts.filter_map(|text| text.split_once('=')) {
                    match key {
                        "cell" => host.number = value.parse().unwrap_or(0),
                        "started" => host.started_ms = value.parse().unwrap_or(0.0),
                        _ => {}
                    }
                }
            }
            _ => {}
        }
    }
    hosts
}
