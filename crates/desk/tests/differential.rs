//! Differential test in virtual time: the same calls by Diameter and by H.248 text, on equal servers, get the
//! same final answers.

use std::collections::BTreeMap;

use baydrift_call::LinkId;
use baydrift_desk::{
    AdmittedClient, ProcessIdentity, RequestKind, SessionInput, SessionLayer, SessionOutput,
};
use baydrift_diameter::credit::{self, Endpoints, RequestType};
use baydrift_diameter::{dict, load, result, Avp, Message, Remote};
use baydrift_h248::{parse, Body, ReplyBody, Transaction};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const LINK: LinkId = LinkId(1);

fn session_layer(seed: u64) -> SessionLayer {
    let text = r#"
front "f.test" realm="test" { listen "127.0.0.1:0"; serves "core.test"; }
class "grid" { context "grid@test"; gives-up "3s"; aim "2s"; worth 1; }
class "check" { context "check@test"; gives-up "3s"; aim "1.5s"; worth 2; }
publisher "gulf" quota=40 { subscription "gulf:"; }
publisher "pecos" quota=15 { subscription "pecos:"; }
client "c.test" realm="test"
text udp="127.0.0.1:0"
text-client "<c.test>" realm="test"
server "s0.test" realm="core.test" number=0 addr="127.0.0.1:1"
server "s1.test" realm="core.test" number=1 addr="127.0.0.1:2"
server "s2.test" realm="core.test" number=2 addr="127.0.0.1:3"
"#;
    let config = baydrift_config::parse("test", text).unwrap_or_else(|e| panic!("{:?}", e.problems));
    SessionLayer::new(&config, ProcessIdentity::numbered(9), seed).expect("good settings")
}

/// Deterministic generator: the attributes of a call depend only on its number.
fn draw(n: u64, salt: u64) -> u64 {
    let mut x = n.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ salt.wrapping_mul(0xd1b5_4a32_d192_ed03);
    x ^= x >> 31;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ x >> 29
}

#[derive(Debug, Clone, Copy)]
struct Call {
    at: u64,
    context: &'static str,
    subscription: &'static str,
    number: u64,
    server: u64,
}

fn call(n: u64) -> Call {
    Call {
        at: n * 12 * MS,
        context: if draw(n, 1) % 5 == 0 { "check@test" } else { "grid@test" },
        subscription: if draw(n, 2) % 3 == 0 { "pecos:1" } else { "gulf:1" },
        number: 5_000_000 + draw(n, 3) % 1_000,
        server: draw(n, 4) % 3,
    }
}

/// Servers with one circuit each that process set-ups one by one and refuse them beyond a queueing time. One
/// is slow and one silent for a period.
struct Servers {
    free_at: [u64; 3],
}

impl Servers {
    /// Time and Result-Code of the answer to a set-up, and its queueing time; `None` if it is not answered.
    fn set_up(&mut self, now: u64, server: usize) -> Option<(u64, u32, u64)> {
        if server == 2 && (6 * S..9 * S).contains(&now) {
            return None;
        }
        let wait = self.free_at[server].saturating_sub(now);
        if wait > 1_200 * MS {
            return Some((now + MS, result::TOO_BUSY, wait));
        }
        let work = if server == 1 && (3 * S..7 * S).contains(&now) { 90 * MS } else { 33 * MS };
        self.free_at[server] = now.max(self.free_at[server]) + work;
        Some((self.free_at[server], result::SUCCESS, wait))
    }
}

/// Runs the calls; returns the Result-Code of each call and the number of set-ups.
fn run(calls: u64, by_text: bool, seed: u64) -> (BTreeMap<u64, u32>, usize) {
    let mut session_layer = session_layer(seed);
    let (mut now, mut out) = (0u64, Vec::new());
    for server in 0..3 {
        session_layer.handle(now, SessionInput::ServerUp { server, state_id: Some(1) }, &mut out);
    }
    if by_text {
        let bytes = b"!/1 <c.test> T=4000000{C=-{SC=ROOT{SV{MT=RS}}}}".to_vec();
        session_layer.handle(now, SessionInput::Text { link: LINK, reliable: true, bytes }, &mut out);
    } else {
        let remote = Remote { host: "c.test".into(), realm: "test".into(), state_id: None };
        session_layer.handle(
            now,
            SessionInput::ClientUp { link: LINK, client: AdmittedClient { remote, relay: false } },
            &mut out,
        );
    }
    let mut servers = Servers { free_at: [0; 3] };
    let mut due: BTreeMap<(u64, u64), SessionInput> = BTreeMap::new();
    let (mut answers, mut set_ups, mut sequence) = (BTreeMap::new(), 0, 0u64);
    for n in 0..calls {
        due.insert((call(n).at, n), if by_text { text_of(n) } else { request_of(n) });
    }
    let end = call(calls).at + 5 * S;
    while now < end {
        out.clear();
        let next = due.keys().next().map_or(end, |key| key.0).min(session_layer.next_wake().unwrap_or(end));
        now = now.max(next.min(end));
        if let Some(entry) = due.first_entry().filter(|entry| entry.key().0 <= now) {
            session_layer.handle(now, entry.remove(), &mut out);
        }
        session_layer.handle(now, SessionInput::Tick, &mut out);
        for output in std::mem::take(&mut out) {
            match output {
                SessionOutput::ToServer { server, attempt, kind, message, .. } => {
                    let answer = match kind {
                        RequestKind::SetUp => {
                            set_ups += 1;
                            servers.set_up(now, server as usize)
                        }
                        RequestKind::Release => Some((now + 2 * MS, result::SUCCESS, 0)),
                    };
                    let Some((at, code, wait)) = answer else { continue };
                    let mut message = credit::answer(&message, code, "s", "core.test");
                    let report =
                        baydrift::interface::Report { wait_s: Some(wait as f64 / 1e6), ..Default::default() };
                    load::write(&report, "s", 1, &mut message);
                    sequence += 1;
                    let input = SessionInput::ServerAnswer { server, attempt, kind, message };
                    due.insert((at, 1 << 40 | sequence), input);
                }
                SessionOutput::ToClient { message, .. } => {
                    let n = message
                        .text(dict::SESSION_ID)
                        .and_then(|s| s.rsplit(';').next()?.parse().ok())
                        .unwrap();
                    assert!(answers.insert(n, message.result()).is_none(), "{n} is answered twice");
                }
                SessionOutput::Text { text, .. } => {
                    for (n, code) in answers_of(&text) {
                        assert!(answers.insert(n, code).is_none(), "{n} is answered twice");
                    }
                }
                _ => {}
            }
        }
    }
    (answers, set_ups)
}

fn request_of(n: u64) -> SessionInput {
    let Call { context, subscription, number, server, .. } = call(n);
    let host = format!("s{server}.test");
    let ends = Endpoints {
        origin_host: "c.test",
        origin_realm: "test",
        destination_realm: "core.test",
        destination_host: Some(&host),
    };
    let message = credit::request(ends, &format!("c.test;1;{n}"), context, RequestType::Initial, 0)
        .with(Avp::text(dict::CALLED_STATION_ID, &number.to_string()))
        .with(Avp::group(
            dict::SUBSCRIPTION_ID,
            &[Avp::u32(dict::SUBSCRIPTION_ID_TYPE, 4), Avp::text(444, subscription)],
        ));
    let message =
        Message { header: baydrift_diameter::Header { end_to_end: n as u32, ..message.header }, ..message };
    SessionInput::ClientRequest { link: LINK, message }
}

fn text_of(n: u64) -> SessionInput {
    let Call { context, subscription, number, server, .. } = call(n);
    let text = format!(
        "!/1 <c.test> T={}{{C=${{A=trunk/${{M{{O{{bdc/ctx=\"{context}\",bdc/sub=\"{subscription}\",bdc/num={number},\
         bdc/srv=s{server}.test}}}}}}}}}}",
        n + 1
    );
    SessionInput::Text { link: LINK, reliable: true, bytes: text.into_bytes() }
}

/// Replies to set-ups: the number of the call, and the Result-Code equivalent to the answer.
fn answers_of(text: &str) -> Vec<(u64, u32)> {
    let Body::Transactions(all) = parse(text).expect("message of the session layer").body else {
        return Vec::new();
    };
    let mut found = Vec::new();
    for transaction in all {
        let Transaction::Reply { id, body: ReplyBody::Actions(actions), .. } = transaction else { continue };
        let items = actions.iter().flat_map(|a| &a.replies).flat_map(|r| &r.descriptors);
        let error: Option<u16> = items.filter(|i| i.is("Error", "ER")).find_map(|i| i.text()?.parse().ok());
        let code = match error {
            None => result::SUCCESS,
            Some(510) => result::TOO_BUSY,
            Some(500) => result::UNABLE_TO_COMPLY,
            Some(other) => panic!("{other}: {text}"),
        };
        if id != 4_000_000 {
            found.push((u64::from(id) - 1, code));
        }
    }
    found
}

#[test]
fn both_protocols_give_equal_answers() {
    for seed in 1..=4 {
        let calls = 1_000;
        let (by_diameter, set_ups) = run(calls, false, seed);
        let (by_text, text_set_ups) = run(calls, true, seed);
        assert_eq!(by_diameter.len() as u64, calls);
        let differ: Vec<_> = by_diameter.iter().filter(|(n, code)| by_text.get(n) != Some(code)).collect();
        assert!(differ.is_empty(), "seed {seed}: {} differ, first {:?}", differ.len(), differ.first());
        assert_eq!(set_ups, text_set_ups);
        // The load causes refusals, retries and time-outs, so that the comparison is meaningful.
        let of = |code| by_diameter.values().filter(|c| **c == code).count();
        assert!(
            of(result::SUCCESS) > 300 && of(result::TOO_BUSY) > 20 && set_ups as u64 != calls,
            "{set_ups}"
        );
    }
}
