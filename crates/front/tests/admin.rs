//! The admin socket of a running front.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use baydrift_audit::Recorder;
use baydrift_emulator::FarEndSpec;
use baydrift_front::{query_admin, AdminError, Bound, FrontError};
use baydrift_standin::{FarEnd, ProcessorSpec};

fn config(socket: &std::path::Path, far: &str) -> baydrift_config::Config {
    let text = format!(
        "front \"f.test\" realm=\"test\" {{ listen \"127.0.0.1:0\"; serves \"core.test\"; }}\n\
         class \"grid\" {{ context \"grid@test\"; gives-up \"3s\"; }}\npublisher \"gulf\" {{ realm \"gulf.test\"; }}\n\
         client \"c1.test\" realm=\"test\"\nadmin socket={:?}\nexchange point=11\n\
         far-end \"gw.test\" number=7 point=21 connect={far:?} {{ group \"north\" first=1 circuits=40; }}\n",
        socket.display()
    );
    baydrift_config::parse("test", &text).unwrap_or_else(|e| panic!("{:?}", e.problems))
}

fn socket_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("baydrift-{name}-{}.sock", std::process::id()))
}

fn far_end() -> FarEndSpec {
    let processor = ProcessorSpec {
        rate: 100.0,
        release_work: 0.1,
        rejection_work: 0.1,
        max_wait: 1_000_000,
        cold_from: 1.0,
        warm_up_time: 0,
        fall_multiple: 10.0,
        fall_time: 1_000_000,
    };
    FarEndSpec {
        number: 7,
        host: "gw.test".into(),
        point_code: 21,
        fronts: BTreeMap::from([(11, 0)]),
        first_cic: 1,
        circuits: 40,
        processor,
        calls_per_second: 0.0,
        mean_hold: 1_000_000,
        caller_timeout: 3_000_000,
        flow: (0, 0),
    }
}

#[tokio::test]
async fn circuits_command_reports_trunk_groups() {
    let path = socket_path("groups");
    let far = FarEnd::start(far_end(), Arc::new(Recorder::default()), 1).await.expect("it starts");
    let config = config(&path, &far.addrs[&0].to_string());
    let front = Bound::bind(config.clone()).await.expect("bound").start().expect("started");
    // Circuits are reset at start; they become free once the far end has acknowledged the reset.
    let answer = tokio::time::timeout(Duration::from_secs(30), async {
        loop {
            let answer = query_admin(&path, "circuits").await.expect("an answer");
            if answer["groups"][0]["free"] == 40 {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    let answer = answer.await.expect("circuits become free");
    let group = &answer["groups"][0];
    assert_eq!((&group["far_end"], &group["group"]), (&"gw.test".into(), &"north".into()));
    assert_eq!(
        (&group["reachable"], &group["circuits"], &group["clearing"]),
        (&true.into(), &40.into(), &0.into())
    );
    assert_eq!(group["not_idle"].as_array().map(Vec::len), Some(0));
    let unknown = query_admin(&path, "everything").await.expect_err("no such question");
    assert!(matches!(&unknown, AdminError::Answer(text) if text.contains("everything")), "{unknown}");
    // Only the owner can open the socket, and a second front cannot take its path.
    use std::os::unix::fs::PermissionsExt;
    assert_eq!(std::fs::metadata(&path).expect("a file").permissions().mode() & 0o777, 0o600);
    assert!(matches!(Bound::bind(config).await, Err(FrontError::Admin { .. })));
    front.stop().await;
    assert!(matches!(query_admin(&path, "circuits").await, Err(AdminError::Io { .. })));
}

#[tokio::test]
async fn stale_socket_is_replaced_and_a_regular_file_is_not() {
    let path = socket_path("left");
    drop(std::os::unix::net::UnixListener::bind(&path).expect("bound"));
    assert!(path.exists());
    let front = Bound::bind(config(&path, "127.0.0.1:1")).await.expect("bound").start().expect("started");
    let answer = query_admin(&path, "circuits").await.expect("an answer");
    // The far end is unreachable: no circuit is free, and their resets are pending.
    let group = &answer["groups"][0];
    assert_eq!(
        (&group["reachable"], &group["free"], &group["clearing"]),
        (&false.into(), &0.into(), &40.into())
    );
    front.stop().await;
    let file = socket_path("file");
    std::fs::write(&file, "precious").expect("written");
    assert!(Bound::bind(config(&file, "127.0.0.1:1")).await.is_err());
    assert_eq!(std::fs::read_to_string(&file).expect("still there"), "precious");
    std::fs::remove_file(&file).expect("removed");
}
