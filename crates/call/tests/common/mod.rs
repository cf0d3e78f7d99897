//! An engine in virtual time with all links up; servers answer only when a test makes them.

#![allow(dead_code)] // Each test file uses only some of the helpers.

use std::sync::Arc;

use baydrift::interface::{
    Class, Entry, ListKind, Micros, Repeat, Report, ReportPath, ServerState, Settings,
};
use baydrift_call::{
    AttemptId, Engine, Final, Input, Limits, LinkId, LinkState, Offer, Output, Process, Request,
    Retransmission, Session,
};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub fn settings() -> Settings {
    Settings {
        fronts: 1,
        ordinal: 0,
        own_number: None,
        classes: vec![Class {
            worth: 1.0,
            late_worth: 0.2,
            aim: 2 * S,
            deadline: 9 * S,
            repeat: Repeat::Safe,
            servers: None,
        }],
        tenants: vec![],
        over_share_worth: 1.0,
        max_attempts: 5,
        may_cancel: true,
        may_probe: false,
        may_gossip: false,
        max_retry_after: 0,
        reports: ReportPath::Answers,
        subscribe: false,
        retransmit_after: 0,
        retry_holdoff: 300 * MS,
        cold_from: 0.3,
        warm_up_time: 12 * S,
        fall_multiple: 2.0,
        fall_time: 1_500 * MS,
    }
}

pub fn entry(server: u64, state: ServerState) -> Entry {
    Entry { server, number: server as u16, state, started_at: None }
}

pub fn session(id: u32) -> Session {
    Session { owner: Arc::from("client.test"), id: Arc::from(format!("client.test;1;{id}")) }
}

pub fn request(link: u64, ticket: u64) -> Request {
    Request { link: LinkId(link), ticket }
}

fn offered(id: u32, request: Request, first: u16) -> Offer<u32> {
    Offer {
        session: session(id),
        request,
        class: 0,
        tenant: 0,
        number: 0,
        first_choice: Some(first),
        caller_timeout: 3 * S,
        redial: None,
        was_dropped: false,
        retransmission: Retransmission::First,
        payload: id,
    }
}

pub struct Harness {
    pub engine: Engine<u32>,
    pub now: Micros,
    pub out: Vec<Output<u32>>,
}

impl Harness {
    /// A harness in which servers 0 and 1 are ready and their links and client link 1 are up.
    pub fn new(limits: Limits) -> Self {
        Self::with(settings(), limits)
    }

    pub fn with(settings: Settings, limits: Limits) -> Self {
        let engine = Engine::new(settings, limits, 7).expect("settings are good");
        let mut harness = Self { engine, now: S, out: Vec::new() };
        let entries = vec![entry(0, ServerState::Ready), entry(1, ServerState::Ready)];
        harness.input(Input::List(ListKind::Full, entries));
        for server in [0, 1] {
            harness.link(server, LinkState::Up(Process::Same));
        }
        harness.client_up(1, false);
        harness
    }

    /// Passes one input to the engine; returns the outputs.
    pub fn input(&mut self, input: Input<u32>) -> Vec<Output<u32>> {
        self.out.clear();
        self.engine.handle(self.now, input, &mut self.out);
        self.out.clone()
    }

    /// Advances time and fires all timers on the way; returns the outputs.
    pub fn advance(&mut self, span: Micros) -> Vec<Output<u32>> {
        let until = self.now + span;
        let mut all = Vec::new();
        while let Some(at) = self.engine.next_wake().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            all.extend(self.input(Input::Tick));
        }
        self.now = until;
        all
    }

    /// Stalls the process: time advances, but no timers fire.
    pub fn stall(&mut self, span: Micros) {
        self.now += span;
    }

    pub fn link(&mut self, server: u64, state: LinkState) -> Vec<Output<u32>> {
        self.input(Input::ServerLink { server, state })
    }

    pub fn client_up(&mut self, link: u64, restarted: bool) -> Vec<Output<u32>> {
        self.input(Input::ClientUp { link: LinkId(link), owner: Arc::from("client.test"), restarted })
    }

    pub fn offer_with(&mut self, id: u32, request: Request, first: u16) -> Vec<Output<u32>> {
        self.input(Input::Offered(offered(id, request, first)))
    }

    /// Offers a call that the client marks as a retransmission.
    pub fn offer_repeated(&mut self, id: u32) -> Vec<Output<u32>> {
        self.offer_marked(id, Retransmission::Repeated)
    }

    pub fn offer_marked(&mut self, id: u32, retransmission: Retransmission) -> Vec<Output<u32>> {
        let offer = offered(id, request(1, u64::from(id)), 0);
        self.input(Input::Offered(Offer { retransmission, ..offer }))
    }

    pub fn offer(&mut self, id: u32) -> Vec<Output<u32>> {
        self.offer_with(id, request(1, u64::from(id)), 0)
    }

    pub fn confirm(&mut self, attempt: AttemptId) -> Vec<Output<u32>> {
        self.input(Input::Established { attempt, report: Report::default() })
    }

    /// Offers a call that is established at once; returns its attempt.
    pub fn establish(&mut self, id: u32) -> AttemptId {
        let attempt = set_up(&self.offer(id)).expect("a ready server").0;
        assert_eq!(answers(&self.confirm(attempt)), [Final::Established]);
        attempt
    }
}

/// Attempt and server of the first set-up among outputs.
pub fn set_up(out: &[Output<u32>]) -> Option<(AttemptId, u64)> {
    out.iter().find_map(|o| match o {
        Output::SetUp { attempt, server, .. } => Some((*attempt, *server)),
        _ => None,
    })
}

pub fn set_ups(out: &[Output<u32>]) -> usize {
    out.iter().filter(|o| matches!(o, Output::SetUp { .. })).count()
}

pub fn releases(out: &[Output<u32>]) -> Vec<AttemptId> {
    let of = |o: &Output<u32>| match o {
        Output::Release { attempt, .. } => Some(*attempt),
        _ => None,
    };
    out.iter().filter_map(of).collect()
}

pub fn answers(out: &[Output<u32>]) -> Vec<Final> {
    let of = |o: &Output<u32>| match o {
        Output::Answer { answer, .. } => Some(*answer),
        _ => None,
    };
    out.iter().filter_map(of).collect()
}
