//! The list of signalling servers, from `known` and from DNS.

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

/// An answer as the protocol's page shows it: one server ready, one draining.
fn whole(id: u16, serial: u32) -> Message {
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

fn bytes(message: &Message) -> Vec<u8> {
    message.to_vec().expect("writable")
}

#[test]
fn an_answer_is_the_whole_list() {
    let listed = dns::read(&bytes(&whole(5, 41)), 5).expect("a list");
    assert_eq!(listed.seq, 41);
    let lines: Vec<_> = listed.servers.values().collect();
    assert_eq!(lines.len(), 2);
    assert_eq!((lines[0].name.as_str(), lines[0].number, lines[0].state), ("s-one", 2, ServerState::Ready));
    assert_eq!((lines[0].address.to_string().as_str(), lines[0].started_at), ("10.1.0.9:5080", None));
    assert_eq!((lines[1].number, lines[1].state), (3, ServerState::Draining));
    assert_eq!(lines[1].started_at, Some(1_764_616_358_000_000));
}

#[test]
fn an_answer_that_is_none_is_named() {
    let good = whole(5, 41);
    assert_eq!(dns::read(&bytes(&good), 6), Err(PlatformError::DnsAnswer("is not to this query")));
    let mut failed = good.clone();
    failed.set_response_code(ResponseCode::ServFail);
    assert_eq!(dns::read(&bytes(&failed), 5), Err(PlatformError::DnsAnswer("reports a failure")));
    let mut cut = good.clone();
    cut.set_truncated(true);
    assert_eq!(dns::read(&bytes(&cut), 5), Err(PlatformError::DnsAnswer("is cut short")));
    let mut bare = good.clone();
    bare.take_additionals();
    assert_eq!(dns::read(&bytes(&bare), 5), Err(PlatformError::DnsAnswer("lacks a server's host")));
    let mut unnumbered = good.clone();
    unnumbered.take_name_servers();
    assert_eq!(dns::read(&bytes(&unnumbered), 5), Err(PlatformError::DnsAnswer("has no serial")));
    let short = bytes(&good);
    for end in 0..short.len() {
        assert!(dns::read(&short[..end], 5).is_err(), "cut at {end}");
    }
    assert!(dns::read(&dns::query(5).expect("a query"), 5).is_err());
}

#[test]
fn an_older_list_is_never_believed() {
    let known = r#"{"seq":40,"results":[
        {"seq":39,"fleet":{"index":6,"snapshot":true,"endpoints":[
            {"name":"s-one","address":"10.1.0.9:5080","group":2,"status":"in_service","since_ms":0},
            {"name":"s-old","address":"10.1.0.8:5080","group":1,"status":"in_service","since_ms":0}]}},
        {"seq":40,"fleet":{"index":7,"snapshot":false,"endpoints":[
            {"name":"s-old","address":"10.1.0.8:5080","group":1,"status":"terminated","since_ms":0},
            {"name":"s-one","address":"10.1.0.9:5080","group":2,"status":"terminating","since_ms":0}]}}]}"#;
    let mut fleet = ServerList::from_config(serde_json::from_str(known).expect("JSON")).expect("a list");
    let states: Vec<_> = fleet.servers().map(|line| (line.name.clone(), line.state)).collect();
    assert_eq!(states, [("s-one".to_owned(), ServerState::Draining)]);
    for (seq, believed) in [(39, false), (40, false), (41, true), (40, false), (41, false)] {
        let listed = dns::read(&bytes(&whole(5, seq)), 5).expect("a list");
        assert_eq!(fleet.update(listed), believed, "{seq}");
    }
    assert_eq!((fleet.seq(), fleet.servers().count()), (41, 2));
}

#[test]
fn a_wrong_known_names_what_is_wrong() {
    let with = |line: &str| {
        let text = format!(r#"{{"seq":1,"results":[{{"fleet":{{"snapshot":true,"endpoints":[{line}]}}}}]}}"#);
        ServerList::from_config(serde_json::from_str(&text).expect("JSON"))
            .map(|_| ())
            .map_err(|e| e.to_string())
    };
    let wrong = with(r#"{"name":"s-x","address":"10.1.0.9","group":2,"status":"in_service"}"#);
    assert_eq!(wrong, Err("the list: s-x: no address '10.1.0.9'".into()));
    let wrong = with(r#"{"name":"s-x","address":"10.1.0.9:1","group":2,"status":"asleep"}"#);
    assert_eq!(wrong, Err("the list: s-x: unknown status 'asleep'".into()));
    let wrong = with(r#"{"name":"s-x","address":"10.1.0.9:1","group":-2,"status":"in_service"}"#);
    assert_eq!(wrong, Err("the list: s-x: group -2".into()));
}

#[test]
fn servers_are_named_alike_by_all_front_nodes() {
    assert_eq!(server_id(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(server_id("a"), 0xaf63_dc4c_8601_ec8c);
    assert_ne!(server_id("s-00c41f7a"), server_id("s-00c41f7b"));
}

proptest! {
    #[test]
    fn any_datagram_is_read_or_named_wrong(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = dns::read(&bytes, 5);
    }

    #[test]
    fn any_byte_changed_is_read_or_named_wrong(at in any::<prop::sample::Index>(), to in any::<u8>()) {
        let mut bytes = bytes(&whole(5, 41));
        let at = at.index(bytes.len());
        bytes[at] = to;
        let _ = dns::read(&bytes, 5);
    }
}
