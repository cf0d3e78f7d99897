//! Decoding of the server list from the configuration key `known` and from DNS.

use std::net::Ipv4Addr;
use std::str::FromStr;

use baydrift::interface::ServerState;
use baydrift_platform::server_list::server_id;
use baydrift_platform::{dns, PlatformError, ServerList};
use hickory_proto::op::{Message, MessageType, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use proptest::prelude::*;

fn name(text: &str) -> Name {
    Name::from_str(text).expect("a name")
}

/// Answer laid out as in the protocol specification, with one ready and one draining server.
fn complete_answer(id: u16, serial: u32) -> Message {
    let list = name(dns::LIST_NAME);
    let mut message = Message::new();
    message.set_id(id).set_message_type(MessageType::Response);
    message.add_query(Query::query(list.clone(), RecordType::SRV));
    for (i, (host, priority)) in [("s-one.east.hosts.", 0), ("s-two.west.hosts.", 1)].into_iter().enumerate()
    {
        let host = name(host);
        message.add_answer(Record::from_rdata(
            list.clone(),
            0,
            RData::SRV(SRV::new(priority, 10, 5080, host.clone())),
        ));
        let ip = Ipv4Addr::new(10, 1, 0, 9 + i as u8);
        message.add_additional(Record::from_rdata(host.clone(), 0, RData::A(A(ip))));
        let started = if i == 0 { "started=0" } else { "started=1764616358000" };
        let txt = TXT::new(vec!["kind=std".into(), format!("cell={}", i + 2), started.into()]);
        message.add_additional(Record::from_rdata(host, 0, RData::TXT(txt)));
    }
    let soa = SOA::new(list.clone(), list.clone(), serial, 1, 1, 1, 1);
    message.add_name_server(Record::from_rdata(list, 0, RData::SOA(soa)));
    message
}

fn encode(message: &Message) -> Vec<u8> {
    message.to_vec().expect("an encodable message")
}

#[test]
fn dns_answer_decoded() {
    let listed = dns::read(&encode(&complete_answer(5, 41)), 5).expect("a list");
    assert_eq!(listed.seq, 41);
    let servers: Vec<_> = listed.servers.values().collect();
    assert_eq!(servers.len(), 2);
    assert_eq!(
        (servers[0].name.as_str(), servers[0].number, servers[0].state),
        ("s-one", 2, ServerState::Ready)
    );
    assert_eq!((servers[0].address.to_string().as_str(), servers[0].started_at), ("10.1.0.9:5080", None));
    assert_eq!((servers[1].number, servers[1].state), (3, ServerState::Draining));
    assert_eq!(servers[1].started_at, Some(1_764_616_358_000_000));
}

#[test]
fn unusable_dns_answer_rejected_with_reason() {
    let good = complete_answer(5, 41);
    assert_eq!(dns::read(&encode(&good), 6), Err(PlatformError::DnsAnswer("is not to this query")));
    let mut failed = good.clone();
    failed.set_response_code(ResponseCode::ServFail);
    assert_eq!(dns::read(&encode(&failed), 5), Err(PlatformError::DnsAnswer("reports a failure")));
    let mut truncated = good.clone();
    truncated.set_truncated(true);
    assert_eq!(dns::read(&encode(&truncated), 5), Err(PlatformError::DnsAnswer("is truncated")));
    let mut without_hosts = good.clone();
    without_hosts.take_additionals();
    assert_eq!(dns::read(&encode(&without_hosts), 5), Err(PlatformError::DnsAnswer("lacks a server's host")));
    let mut without_serial = good.clone();
    without_serial.take_name_servers();
    assert_eq!(dns::read(&encode(&without_serial), 5), Err(PlatformError::DnsAnswer("has no serial")));
    let encoded = encode(&good);
    for end in 0..encoded.len() {
        assert!(dns::read(&encoded[..end], 5).is_err(), "cut at {end}");
    }
    assert!(dns::read(&dns::query(5).expect("a query"), 5).is_err());
}

#[test]
fn older_list_ignored() {
    let known = r#"{"seq":40,"results":[
        {"seq":39,"fleet":{"index":6,"snapshot":true,"endpoints":[
            {"name":"s-one","address":"10.1.0.9:5080","group":2,"status":"in_service","since_ms":0},
            {"name":"s-old","address":"10.1.0.8:5080","group":1,"status":"in_service","since_ms":0}]}},
        {"seq":40,"fleet":{"index":7,"snapshot":false,"endpoints":[
            {"name":"s-old","address":"10.1.0.8:5080","group":1,"status":"terminated","since_ms":0},
            {"name":"s-one","address":"10.1.0.9:5080","group":2,"status":"terminating","since_ms":0}]}}]}"#;
    let mut list = ServerList::from_config(serde_json::from_str(known).expect("JSON")).expect("a list");
    let states: Vec<_> = list.servers().map(|server| (server.name.clone(), server.state)).collect();
    assert_eq!(states, [("s-one".to_owned(), ServerState::Draining)]);
    for (seq, accepted) in [(39, false), (40, false), (41, true), (40, false), (41, false)] {
        let listed = dns::read(&encode(&complete_answer(5, seq)), 5).expect("a list");
        assert_eq!(list.update(listed), accepted, "{seq}");
    }
    assert_eq!((list.seq(), list.servers().count()), (41, 2));
}

#[test]
fn invalid_configured_list_rejected_with_reason() {
    let read_endpoint = |endpoint: &str| {
        let text =
            format!(r#"{{"seq":1,"results":[{{"fleet":{{"snapshot":true,"endpoints":[{endpoint}]}}}}]}}"#);
        ServerList::from_config(serde_json::from_str(&text).expect("JSON"))
            .map(|_| ())
            .map_err(|e| e.to_string())
    };
    let error = read_endpoint(r#"{"name":"s-x","address":"10.1.0.9","group":2,"status":"in_service"}"#);
    assert_eq!(error, Err("server list: s-x: invalid address '10.1.0.9'".into()));
    let error = read_endpoint(r#"{"name":"s-x","address":"10.1.0.9:1","group":2,"status":"asleep"}"#);
    assert_eq!(error, Err("server list: s-x: unknown status 'asleep'".into()));
    let error = read_endpoint(r#"{"name":"s-x","address":"10.1.0.9:1","group":-2,"status":"in_service"}"#);
    assert_eq!(error, Err("server list: s-x: invalid group -2".into()));
}

#[test]
fn server_id_is_fnv1a_hash() {
    assert_eq!(server_id(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(server_id("a"), 0xaf63_dc4c_8601_ec8c);
    assert_ne!(server_id("s-00c41f7a"), server_id("s-00c41f7b"));
}

proptest! {
    #[test]
    fn arbitrary_datagram_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = dns::read(&bytes, 5);
    }

    #[test]
    fn corrupted_byte_never_panics(at in any::<prop::sample::Index>(), to in any::<u8>()) {
        let mut bytes = encode(&complete_answer(5, 41));
        let at = at.index(bytes.len());
        bytes[at] = to;
        let _ = dns::read(&bytes, 5);
    }
}
