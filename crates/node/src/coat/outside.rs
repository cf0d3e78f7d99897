//! The tasks around the core: signals, the listener, dials and datagrams.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use baydrift::interface::MESSAGE_MAX;
use baydrift_platform::names::ANSWER_MAX;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::line::Line;
use super::{ToCore, CALLER_PATIENCE, SERVER_PATIENCE};
use crate::state::{ConnId, Input};

/// Pause after the system gave no descriptor for a connection that waits.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// SIGHUP reloads, SIGTERM and SIGINT stop.
pub(super) fn signals(core: &mpsc::Sender<ToCore>) -> io::Result<()> {
    let kinds = [SignalKind::hangup(), SignalKind::terminate(), SignalKind::interrupt()];
    for kind in kinds {
        let (mut signals, core) = (signal(kind)?, core.clone());
        spawn_local(async move {
            while signals.recv().await.is_some() {
                let stop = kind != SignalKind::hangup();
                let told = if stop { ToCore::State(Input::Stop) } else { ToCore::Reload };
                if core.send(told).await.is_err() {
                    return;
                }
            }
        });
    }
    Ok(())
}

/// Takes connections until it is dropped.
pub(super) async fn listen(listener: TcpListener, core: mpsc::Sender<ToCore>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let line = Line::new(stream, CALLER_PATIENCE);
                if core.send(ToCore::Caller(line, from.ip())).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                tracing::debug!("accept: {error}");
                tokio::time::sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

/// Connects to a signalling server.
pub(super) async fn dial(conn: ConnId, to: SocketAddr, within: Duration, core: mpsc::Sender<ToCore>) {
    let told = match tokio::time::timeout(within, TcpStream::connect(to)).await {
        Ok(Ok(stream)) => ToCore::Server(conn, Line::new(stream, SERVER_PATIENCE)),
        Ok(Err(error)) => {
            ToCore::State(Input::DialFailed(conn, error.kind() == io::ErrorKind::ConnectionRefused))
        }
        Err(_) => ToCore::State(Input::DialFailed(conn, false)),
    };
    let _ = core.send(told).await;
}

/// Hands the core what comes from the name server's present address, and from nowhere else.
pub(super) async fn names(socket: Rc<UdpSocket>, at: Rc<Cell<SocketAddr>>, core: mpsc::Sender<ToCore>) {
    let mut buffer = vec![0; ANSWER_MAX + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((size, from)) if from == at.get() => {
                if core.send(ToCore::State(Input::Names(buffer[..size].to_vec()))).await.is_err() {
                    return;
                }
            }
            Ok(_) => {}
            // An ICMP word on an earlier datagram; the next question asks again.
            Err(_) => tokio::time::sleep(ACCEPT_AGAIN).await,
        }
    }
}

/// Hands the core what comes from other front nodes' addresses.
pub(super) async fn peers(socket: Rc<UdpSocket>, all: Rc<[SocketAddr]>, core: mpsc::Sender<ToCore>) {
    let mut buffer = [0; MESSAGE_MAX + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((size, from)) if size <= MESSAGE_MAX => {
                let Some(number) = all.iter().position(|at| *at == from) else { continue };
                let told = Input::Peer(number as u32, buffer[..size].to_vec());
                if core.send(ToCore::State(told)).await.is_err() {
                    return;
                }
            }
            Ok(_) => {}
            Err(_) => tokio::time::sleep(ACCEPT_AGAIN).await,
        }
    }
}
