//! The parts of client accounts' quotas that this daemon holds.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use serde_json::{Value, json};
use slog::info;

use super::GuardDuty;
use crate::base::clock::MicroTime;
use crate::base::datagram::{QuotaReply, QuotaRequest, QuotaReturn};
use crate::base::ids::HostName;
use crate::base::member::FleetView;
use crate::decide::quota::{CapsChange, HolderChange, QuotaHolder, QuotaTerms};

/// Parts of account quotas that a guard holds, and the inputs that determine them.
#[derive(Debug, Default)]
pub(super) struct GuardQuotas {
    pub(super) terms: Cell<QuotaTerms>,
    view: RefCell<Arc<FleetView>>,
    /// Whether the daemon has no contact with any other.
    isolated: Cell<bool>,
    holder: RefCell<QuotaHolder>,
}

impl GuardQuotas {
    /// Makes requests that an entry returned available again.
    pub(super) fn take_back(&self, now: MicroTime, returned: &QuotaReturn) {
        self.holder.borrow_mut().take_back(now, returned);
    }

    pub(super) fn dump(&self) -> Value {
        json!(*self.holder.borrow())
    }
}

impl GuardDuty {
    /// Handles an entry's request for a grant from an account's quota; returns the reply.
    pub(super) fn grant_quota(&self, request: &QuotaRequest) -> QuotaReply {
        let mut holder = self.quotas.holder.borrow_mut();
        let grant = holder.grant(self.clock.now(), request);
        let account = &request.account;
        match holder.take_caps_change(account) {
            Some(CapsChange::Began(priority)) => {
                info!(self.logger, "less urgent requests capped"; "account" => %account,
                    "urgent" => priority.urgent, "worth" => priority.worth);
            }
            Some(CapsChange::Ceased) => {
                info!(self.logger, "less urgent requests not capped"; "account" => %account);
            }
            None => {}
        }
        QuotaReply {
            number: request.number,
            granted: grant.map_or(0, |grant| grant.granted),
            wait_ms: grant.map(|grant| grant.wait_ms),
            usage_permille: grant.map_or(0, |grant| grant.usage_permille),
        }
    }

    pub(super) fn set_fleet_view(&self, view: Arc<FleetView>) {
        *self.quotas.view.borrow_mut() = view;
        self.update_held_quotas();
    }

    pub(super) fn set_isolated(&self, isolated: bool) {
        self.quotas.isolated.set(isolated);
        self.update_held_quotas();
    }

    /// Updates which quotas this daemon holds, from the current fleet and configuration.
    pub(super) fn update_held_quotas(&self) {
        let config = self.config.borrow();
        let Some(config) = config.as_ref() else { return };
        let view = self.quotas.view.borrow();
        let serving: Vec<&HostName> = if self.quotas.isolated.get() {
            vec![&self.host]
        } else {
            view.serving().map(|member| &member.host).collect()
        };
        let accounts = config.accounts.iter();
        let quotas = accounts.filter_map(|account| Some((&account.name, account.quota?)));
        let (now, terms) = (self.clock.now(), self.quotas.terms.get());
        let changes =
            self.quotas.holder.borrow_mut().update(now, &self.host, &serving, quotas, terms);
        for change in changes {
            let (account, label) = match &change {
                HolderChange::Acquired(account) => (account, "took"),
                HolderChange::Updated(account) => (account, "adopted"),
                HolderChange::Released(account) => (account, "gave up"),
            };
            info!(self.logger, "quota holder changed"; "account" => %account, "held" => label,
                "up" => serving.len());
        }
    }
}
