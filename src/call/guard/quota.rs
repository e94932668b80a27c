//! Quotas of client accounts that this daemon holds a part of.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use serde_json::{Value, json};
use slog::info;

use super::GuardDuty;
use crate::base::clock::MicroTime;
use crate::base::ids::HostName;
use crate::base::member::FleetView;
use crate::base::wire::{QuotaReply, QuotaRequest};
use crate::decide::quota::{HolderChange, QuotaHolder, QuotaTerms};

/// What a guard holds of the quotas, and what that follows from.
#[derive(Debug, Default)]
pub(super) struct GuardQuotas {
    pub(super) terms: Cell<QuotaTerms>,
    view: RefCell<Arc<FleetView>>,
    /// Whether no other daemon is heard of.
    alone: Cell<bool>,
    holder: RefCell<QuotaHolder>,
}

impl GuardQuotas {
    /// Answers an entry that asks for a part of an account's quota.
    pub(super) fn answer(&self, now: MicroTime, request: &QuotaRequest) -> QuotaReply {
        let QuotaRequest { account, want, settled, .. } = request;
        let grant = self.holder.borrow_mut().grant(now, account, *want, *settled);
        QuotaReply {
            number: request.number,
            granted: grant.map_or(0, |grant| grant.granted),
            wait_ms: grant.map(|grant| grant.wait_ms),
        }
    }

    pub(super) fn dump(&self) -> Value {
        json!(*self.holder.borrow())
    }
}

impl GuardDuty {
    pub(super) fn adopt_view(&self, view: Arc<FleetView>) {
        *self.quotas.view.borrow_mut() = view;
        self.choose_quotas();
    }

    pub(super) fn note_alone(&self, alone: bool) {
        self.quotas.alone.set(alone);
        self.choose_quotas();
    }

    /// Finds out which quotas this daemon holds, as the fleet and the configuration are
    /// now.
    pub(super) fn choose_quotas(&self) {
        let config = self.config.borrow();
        let Some(config) = config.as_ref() else { return };
        let view = self.quotas.view.borrow();
        let up: Vec<&HostName> = if self.quotas.alone.get() {
            vec![&self.host]
        } else {
            view.serving().map(|member| &member.host).collect()
        };
        let accounts = config.accounts.iter();
        let quotas = accounts.filter_map(|account| Some((&account.name, account.quota?)));
        let (now, terms) = (self.clock.now(), self.quotas.terms.get());
        let changes = self.quotas.holder.borrow_mut().update(now, &self.host, &up, quotas, terms);
        for change in changes {
            let (account, held) = match &change {
                HolderChange::Acquired(account) => (account, "took"),
                HolderChange::Updated(account) => (account, "adopted"),
                HolderChange::Released(account) => (account, "gave up"),
            };
            info!(self.logger, "quota"; "account" => %account, "held" => held, "up" => up.len());
        }
    }
}
