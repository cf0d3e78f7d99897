//! Messages between the fronts of a fleet: membership and shared budgets.

use baydrift::interface::{Event, Micros, ServerId};
use baydrift_budget::Holdings;
use baydrift_fleet::{LocalFront as MembershipSpec, Membership, MembershipConfig as MembershipTerms};

use super::Engine;
use crate::budgets::{BudgetSharing, BudgetUpdate, SharedBudgets, UPDATE_INTERVAL};
use crate::timers::Timer;
use crate::types::Output;

/// First byte of a budget message. Messages of the policy start with other bytes.
const BUDGET_MESSAGE: u8 = 0xb0;
/// First byte of a membership message.
const MEMBERSHIP_MESSAGE: u8 = 0xf1;
/// Minimum interval of membership timers.
const MEMBERSHIP_MIN_INTERVAL: Micros = 10_000;

fn message<P>(kind: u8, to: u32, body: &[u8]) -> Output<P> {
    Output::SendToPeer { to, payload: [&[kind], body].concat() }
}

impl<P: Clone> Engine<P> {
    /// Shares the budgets of cold servers with the other fronts. Off by default: single fronts, and those
    /// whose configuration does not enable it, limit set-ups to cold servers on their own.
    pub fn enable_budget_sharing(&mut self, sharing: BudgetSharing) {
        self.budgets = Some(SharedBudgets::new(sharing));
        self.timers.set(self.now, Timer::Budgets);
    }

    pub(super) fn update_budgets(&mut self, out: &mut Vec<Output<P>>) {
        let Some(budgets) = self.budgets.as_mut() else { return };
        let membership = self.membership.as_ref();
        let may_live = |ordinal| membership.is_none_or(|membership| membership.may_be_alive(ordinal));
        let BudgetUpdate { messages, shares } =
            budgets.update(self.now, &self.pool.warm_up_states(self.now), may_live);
        out.extend(messages.iter().map(|(to, body)| message(BUDGET_MESSAGE, *to, body)));
        self.events.extend(shares.into_iter().map(|(server, per_s)| Event::BudgetShare { server, per_s }));
        self.timers.set(self.now.saturating_add(UPDATE_INTERVAL), Timer::Budgets);
    }

    /// Exchanges membership messages with the other fronts.
    pub fn enable_membership(&mut self, spec: MembershipSpec) {
        self.membership = Some(Membership::new(MembershipTerms::default(), spec, self.now));
        self.timers.set(self.now, Timer::Membership);
    }

    /// The fleet's membership as this front sees it, if membership is enabled.
    pub fn membership(&self) -> Option<&Membership> {
        self.membership.as_ref()
    }

    /// What this front holds of each cold server's budget; empty unless budgets are shared.
    pub fn holdings(&self) -> impl Iterator<Item = (ServerId, Holdings)> + '_ {
        self.budgets.iter().flat_map(SharedBudgets::holdings)
    }

    pub(super) fn update_membership(&mut self, out: &mut Vec<Output<P>>) {
        self.send_membership(out);
        let Some(membership) = self.membership.as_ref() else { return };
        // One timer per interval: what a message from another front makes due earlier waits for this timer.
        let at = membership.next_wake().clamp(self.now + MEMBERSHIP_MIN_INTERVAL, self.now + UPDATE_INTERVAL);
        self.timers.set(at, Timer::Membership);
    }

    fn send_membership(&mut self, out: &mut Vec<Output<P>>) {
        let messages =
            self.membership.as_mut().map(|membership| membership.poll(self.now)).unwrap_or_default();
        out.extend(messages.iter().map(|(to, body)| message(MEMBERSHIP_MESSAGE, *to, body)));
    }

    /// Handles a membership message. Replies are sent at once, since a probe may wait for them.
    fn handle_membership(&mut self, from: u32, body: &[u8], out: &mut Vec<Output<P>>) {
        let Some(membership) = self.membership.as_mut() else { return };
        match membership.handle(self.now, from, body) {
            Ok(()) => self.send_membership(out),
            Err(error) => {
                out.push(Output::Log(format!("invalid membership message from front {from}: {error}")))
            }
        }
    }

    /// Handles a message of another front, about membership, budgets or for the policy.
    pub(super) fn peer(&mut self, from: u32, payload: Vec<u8>, out: &mut Vec<Output<P>>) {
        match (payload.split_first(), self.budgets.as_mut()) {
            (Some((&MEMBERSHIP_MESSAGE, body)), _) => self.handle_membership(from, body, out),
            (Some((&BUDGET_MESSAGE, body)), Some(budgets)) => {
                let reply = budgets.handle(self.now, from, body);
                out.extend(reply.map(|reply| message(BUDGET_MESSAGE, from, &reply)));
            }
            _ => self.events.push_back(Event::PeerMessage { from, payload }),
        }
    }
}
