//! The front node as a process, between own stand-ins on loopback.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::time::Duration;

use baydrift_platform::{CallId, Message, MessageType, ParameterCode};
use baydrift_standin::{Listed, PlatformServer};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::Child;

/// Nothing here takes longer, unless it never comes.
pub const LONG: Duration = Duration::from_secs(20);
/// What callers wait.
pub const WAIT: Duration = Duration::from_millis(4_000);

pub struct Node {
    pub child: Child,
    pub addr: SocketAddr,
    pub config: PathBuf,
}

pub fn signal(process: u32, name: &str) {
    let sent = Command::new("kill").args([name, &process.to_string()]).status();
    assert!(sent.is_ok_and(|status| status.success()), "{name}");
}

pub fn listed(name: &str, server: &PlatformServer, number: u16) -> Listed {
    Listed::ready(name, server.addr, number)
}

impl Node {
    pub async fn start(test: &str, text: &str) -> Self {
        let mut child = Self::spawn(test, text);
        let mut log = BufReader::new(child.stderr.take().expect("its log")).lines();
        let addr = loop {
            let line = log.next_line().await.expect("readable").expect("it says where it listens");
            if let Some((_, addr)) = line.rsplit_once("listens on ") {
                break addr.trim().parse().expect("an address");
            }
        };
        // Whatever it says further is read, lest it waits for a reader.
        tokio::spawn(async move { while let Ok(Some(_)) = log.next_line().await {} });
        Self { child, addr, config: Self::config(test) }
    }

    /// One that listens at an address that is known, and whose log nobody reads.
    pub fn at(child: Child, addr: SocketAddr, config: &Path) -> Self {
        Self { child, addr, config: config.to_owned() }
    }

    /// The process, which need not be ready yet. Its log is little enough for a pipe.
    pub fn spawn(test: &str, text: &str) -> Child {
        let config = Self::config(test);
        std::fs::write(&config, text).expect("a configuration file");
        // As many descriptors as its configuration says.
        let limited = "ulimit -n 256 && exec \"$0\" --log-level baydrift_node=info node";
        tokio::process::Command::new("sh")
            .args(["-c", limited, env!("CARGO_BIN_EXE_baydrift")])
            .env("RELAY_CONFIG", &config)
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("the program")
    }

    fn config(test: &str) -> PathBuf {
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.json"))
    }

    pub fn signal(&self, name: &str) {
        signal(self.child.id().expect("it runs"), name);
    }

    pub async fn ended(&mut self) -> ExitStatus {
        tokio::time::timeout(LONG, self.child.wait()).await.expect("it ends").expect("it ended")
    }
}

pub fn set_up(id: u64) -> Message {
    Message::new(MessageType::SetUp, CallId(id.to_be_bytes()))
        .with(ParameterCode::CLASS, "load")
        .with(ParameterCode::TIMEOUT, WAIT.as_millis().to_string())
        .with(ParameterCode::TENANT, "acme")
        .with(ParameterCode::CALLED_NUMBER, format!("{id:016x}"))
        .with(ParameterCode::ATTRIBUTES, format!("dest:{};width:1;via:-1", id % 2))
        .with(ParameterCode::DESCRIPTION, format!("call {id}"))
}

pub async fn soon<T>(what: impl std::future::Future<Output = T>) -> T {
    tokio::time::timeout(LONG, what).await.expect("in time")
}

/// Waits until a condition on the stand-ins holds.
pub async fn until(what: impl Fn() -> bool) {
    soon(async {
        while !what() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}
