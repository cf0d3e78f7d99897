//! The list of signalling servers from the name server: DNS over UDP (RFC 1035, SRV by RFC 2782).

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use baydrift::interface::ServerState;
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, Record, RecordType};

use crate::list::{started_at, Line, Listed, SERVERS_MAX};
use crate::Fault;

/// The name whose SRV records are the list.
pub const LIST: &str = "_work._tcp.fleet.local.";
/// The longest answer.
pub const ANSWER_MAX: usize = 8_000;

fn list_name() -> Result<Name, Fault> {
    Name::from_str(LIST).map_err(|_| Fault::Names("no name to ask for"))
}

/// The query for the list.
///
/// # Errors
/// Never in practice: the name and the message are fixed but for the id.
pub fn query(id: u16) -> Result<Vec<u8>, Fault> {
    let mut message = Message::new();
    message.set_id(id).set_message_type(MessageType::Query).set_op_code(OpCode::Query);
    message.add_query(Query::query(list_name()?, RecordType::SRV));
    message.to_vec().map_err(|_| Fault::Names("the query cannot be written"))
}

/// Reads the whole list from an answer to the query of this id.
///
/// # Errors
/// When it is not that answer, reports a failure, is cut short or lacks what a list needs.
pub fn read(bytes: &[u8], id: u16) -> Result<Listed, Fault> {
    let message = Message::from_vec(bytes).map_err(|_| Fault::Names("cannot be read"))?;
    if message.id() != id || message.message_type() != MessageType::Response {
        return Err(Fault::Names("is not to this query"));
    }
    if message.truncated() {
        return Err(Fault::Names("is cut short"));
    }
    if message.response_code() != ResponseCode::NoError {
        return Err(Fault::Names("reports a failure"));
    }
    let list = list_name()?;
    if message.queries().first().is_some_and(|query| !query.name().eq_ignore_root_case(&list)) {
        return Err(Fault::Names("is to another query"));
    }
    let all = || message.answers().iter().chain(message.additionals()).chain(message.name_servers());
    let serial = all().find_map(|record| match record.data() {
        RData::SOA(soa) => Some(soa.serial()),
        _ => None,
    });
    let seq = serial.ok_or(Fault::Names("has no serial"))?;
    let about = hosts(all());
    let mut lines = BTreeMap::new();
    for record in message.answers() {
        let RData::SRV(srv) = record.data() else { continue };
        if !record.name().eq_ignore_root_case(&list) {
            continue;
        }
        let label = srv.target().iter().next().and_then(|label| std::str::from_utf8(label).ok());
        let name = label.ok_or(Fault::Names("names no server"))?.to_owned();
        let host = about.get(&srv.target().to_lowercase()).ok_or(Fault::Names("lacks a server's host"))?;
        let ip = host.address.ok_or(Fault::Names("lacks a server's address"))?;
        let state = if srv.priority() == 0 { ServerState::Ready } else { ServerState::Draining };
        let line = Line {
            address: SocketAddr::new(ip, srv.port()),
            number: host.number,
            state,
            started_at: started_at(host.started_ms),
            name: name.clone(),
        };
        lines.insert(name, line);
        if lines.len() > SERVERS_MAX {
            return Err(Fault::Names("names too many servers"));
        }
    }
    Ok(Listed { seq, lines })
}

/// What A and TXT records tell of one host.
#[derive(Default)]
struct Host {
    address: Option<IpAddr>,
    number: u16,
    started_ms: f64,
}

fn hosts<'a>(records: impl Iterator<Item = &'a Record>) -> BTreeMap<Name, Host> {
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
