//! Starts a front node as a process, for tests with stand-in servers and callers on loopback.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::time::Duration;

use baydrift_platform::{CallId, Message, MessageType, ParameterCode};
use baydrift_standin::{Listed, PlatformServer};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::Child;

/// Timeout of everything that a test waits for.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a set-up at its caller.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(4_000);

/// A running front node.
pub struct Node {
    pub child: Child,
    pub addr: SocketAddr,
    pub config: PathBuf,
}

/// Sends a signal, such as `-TERM`, with `kill`.
pub fn signal(process: u32, name: &str) {
    let sent = Command::new("kill").args([name, &process.to_string()]).status();
    assert!(sent.is_ok_and(|status| status.success()), "{name}");
}

/// A ready entry of the server list.
pub fn listed(name: &str, server: &PlatformServer, number: u16) -> Listed {
    Listed::ready(name, server.addr, number)
}

impl Node {
    /// Starts a node with this configuration and waits until it logs its listening address.
    pub async fn start(test: &str, text: &str) -> Self {
        let mut child = Self::spawn(test, text);
        let mut log = BufReader::new(child.stderr.take().expect("its log")).lines();
        let addr = loop {
            let line = log.next_line().await.expect("readable").expect("the node logs its address");
            if let Some((_, addr)) = line.rsplit_once("listens on ") {
                break addr.trim().parse().expect("an address");
            }
        };
        // Keeps reading the log, so that the node never blocks on a full pipe.
        tokio::spawn(async move { while let Ok(Some(_)) = log.next_line().await {} });
        Self { child, addr, config: Self::config(test) }
    }

    /// A spawned process that listens at a known address; its log is not read.
    pub fn at(child: Child, addr: SocketAddr, config: &Path) -> Self {
        Self { child, addr, config: config.to_owned() }
    }

    /// Spawns the process without waiting until it is ready. Its log must fit into the pipe's buffer unless
    /// it is read.
    pub fn spawn(test: &str, text: &str) -> Child {
        let config = Self::config(test);
        std::fs::write(&config, text).expect("a configuration file");
        // The same descriptor limit as in the configuration.
        let shell_command = "ulimit -n 256 && exec \"$0\" --log-level baydrift_node=info node";
        tokio::process::Command::new("sh")
            .args(["-c", shell_command, env!("CARGO_BIN_EXE_baydrift")])
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

    /// Waits until the process has exited.
    pub async fn exited(&mut self) -> ExitStatus {
        tokio::time::timeout(TEST_TIMEOUT, self.child.wait())
            .await
            .expect("exits in time")
            .expect("exit status")
    }
}

/// A set-up of class `load`; even ids are destined for server 0, odd ids for server 1.
pub fn set_up(id: u64) -> Message {
    Message::new(MessageType::SetUp, CallId(id.to_be_bytes()))
        .with(ParameterCode::CLASS, "load")
        .with(ParameterCode::TIMEOUT, CALLER_TIMEOUT.as_millis().to_string())
        .with(ParameterCode::TENANT, "acme")
        .with(ParameterCode::CALLED_NUMBER, format!("{id:016x}"))
        .with(ParameterCode::ATTRIBUTES, format!("dest:{};width:1;via:-1", id % 2))
        .with(ParameterCode::DESCRIPTION, format!("call {id}"))
}

/// Awaits a future; panics after [`TEST_TIMEOUT`].
pub async fn within_timeout<T>(future: impl std::future::Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, future).await.expect("in time")
}

/// Polls until the condition holds; panics after [`TEST_TIMEOUT`].
pub async fn wait_until(condition: impl Fn() -> bool) {
    within_timeout(async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}
