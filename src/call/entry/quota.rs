//! Quotas of client accounts, at the entry: what the holders grant, a request at a time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Response, StatusCode};
use slog::info;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::EntryDuty;
use crate::base::clock::MicroTime;
use crate::base::ids::{AccountName, HostName};
use crate::base::wire::{self, GuardDatagram, QuotaReply, QuotaRequest};
use crate::call::responses::{self, ResponseBody};
use crate::decide::quota::{
    AccountQuota, GRANT_LASTS, QuotaStep, QuotaStock, QuotaTerms, choose_holders,
};
use crate::rules::account::AccountParameters;

/// Longest wait for a holder's answer; then the next one is asked.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which a holder that did not answer is asked after all others.
const SILENCE_LASTS: MicroTime = MicroTime::from_millis(1_000);

/// When to come back if no holder can be reached, in milliseconds.
const UNREACHED_RETRY_MS: u32 = 300;

/// What an entry knows of quotas.
#[derive(Debug, Default)]
pub(super) struct EntryQuotas {
    terms: Cell<QuotaTerms>,
    stocks: RefCell<HashMap<AccountName, QuotaStock>>,
    /// Questions under way.
    asked: RefCell<HashMap<u64, oneshot::Sender<QuotaReply>>>,
    number: Cell<u64>,
    /// Holders that did not answer, and when that was.
    silent: RefCell<HashMap<HostName, MicroTime>>,
}

/// What the holders said to a question.
#[derive(Clone, Copy, Debug)]
enum HolderAnswer {
    Granted,
    /// None has room; the first will after so many milliseconds.
    Dry(u32),
    /// None answered that holds the quota.
    Unreached,
}

impl EntryQuotas {
    pub(super) fn set_terms(&self, terms: QuotaTerms) {
        self.terms.set(terms);
    }

    /// Hands a holder's answer to the request that waits for it.
    pub(super) fn hear(&self, reply: QuotaReply) {
        if let Some(waiter) = self.asked.borrow_mut().remove(&reply.number) {
            _ = waiter.send(reply);
        }
    }

    /// Forgets accounts that a new configuration does not limit.
    pub(super) fn retain(&self, accounts: &[AccountParameters]) {
        let mut stocks = self.stocks.borrow_mut();
        let is_limited = |name: &AccountName| {
            accounts.iter().any(|account| account.name == *name && account.quota.is_some())
        };
        stocks.retain(|name, _| is_limited(name));
    }
}

impl EntryDuty {
    /// Lets a request of an account through its quota; `Err` is the answer to one for
    /// which there is no room.
    pub(super) async fn admit(
        &self,
        account: &AccountParameters,
        id: &str,
    ) -> Result<(), Response<ResponseBody>> {
        let Some(quota) = account.quota else { return Ok(()) };
        let want = match self.stock(&account.name, |stock| stock.arrive(self.clock.now())) {
            QuotaStep::Pass => return Ok(()),
            QuotaStep::Refuse(wait_ms) => return Err(self.over_quota(account, id, wait_ms)),
            QuotaStep::Ask(want) => want,
        };
        match self.ask_holders(&account.name, quota, want).await {
            HolderAnswer::Granted => Ok(()),
            HolderAnswer::Dry(wait_ms) => {
                self.stock(&account.name, |stock| stock.run_dry(self.clock.now(), wait_ms));
                Err(self.over_quota(account, id, wait_ms))
            }
            HolderAnswer::Unreached => {
                info!(self.logger, "quota unreached"; "id" => id, "account" => %account.name);
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Err(responses::not_run(status, "quota_unreached", UNREACHED_RETRY_MS))
            }
        }
    }

    fn over_quota(
        &self,
        account: &AccountParameters,
        id: &str,
        wait_ms: u32,
    ) -> Response<ResponseBody> {
        info!(self.logger, "over quota"; "id" => id, "account" => %account.name,
            "wait_ms" => wait_ms);
        responses::not_run(StatusCode::TOO_MANY_REQUESTS, "over_quota", wait_ms)
    }

    fn stock<T>(&self, account: &AccountName, act: impl FnOnce(&mut QuotaStock) -> T) -> T {
        let mut stocks = self.quotas.stocks.borrow_mut();
        act(stocks.entry(account.clone()).or_default())
    }

    /// Asks one holder after the other until one grants something.
    async fn ask_holders(
        &self,
        account: &AccountName,
        quota: AccountQuota,
        want: u16,
    ) -> HolderAnswer {
        let mut answer = HolderAnswer::Unreached;
        for (host, address) in self.holders(account, quota) {
            let asked = self.clock.now();
            let Some(reply) = self.ask_holder(address, account, want).await else {
                self.quotas.silent.borrow_mut().insert(host, self.clock.now());
                continue;
            };
            self.quotas.silent.borrow_mut().remove(&host);
            if reply.granted > 0 {
                // One for the request that asks, the rest for those after it.
                self.stock(account, |stock| stock.grant(asked, reply.granted - 1));
                return HolderAnswer::Granted;
            }
            answer = match (answer, reply.wait_ms) {
                (HolderAnswer::Dry(least), Some(wait_ms)) => HolderAnswer::Dry(least.min(wait_ms)),
                (HolderAnswer::Unreached, Some(wait_ms)) => HolderAnswer::Dry(wait_ms),
                (answer, _) => answer,
            };
        }
        answer
    }

    /// Returns the holders of an account's quota in the order in which this entry asks
    /// them: entries begin at different ones, and those that were silent come last.
    fn holders(&self, account: &AccountName, quota: AccountQuota) -> Vec<(HostName, SocketAddr)> {
        let view = self.view.borrow();
        let up: Vec<_> = view.serving().collect();
        let count = quota.holders(self.quotas.terms.get());
        let hosts = choose_holders(account, up.iter().map(|member| &member.host), count);
        let address = |host: &&HostName| {
            let member = up.iter().find(|member| member.host == **host)?;
            Some(((*host).clone(), member.guard))
        };
        let mut holders: Vec<_> = hosts.iter().filter_map(address).collect();
        if !holders.is_empty() {
            let first = self.quota_turn % holders.len();
            holders.rotate_left(first);
        }
        let now = self.clock.now();
        let silent = self.quotas.silent.borrow();
        holders.sort_by_key(|(host, _)| {
            silent.get(host).is_some_and(|since| now.since(*since) < SILENCE_LASTS)
        });
        holders
    }

    async fn ask_holder(
        &self,
        address: SocketAddr,
        account: &AccountName,
        want: u16,
    ) -> Option<QuotaReply> {
        let number = self.quotas.number.get();
        self.quotas.number.set(number + 1);
        let settled = self.clock.now() >= self.quotas.terms.get().window + GRANT_LASTS;
        let request = QuotaRequest { number, account: account.clone(), want, settled };
        let bytes = wire::encode(&GuardDatagram::Quota(request)).ok()?;
        let (sender, receiver) = oneshot::channel();
        self.quotas.asked.borrow_mut().insert(number, sender);
        // A datagram that does not go out is one lost on the way.
        drop(self.probe_socket.try_send_to(&bytes, address));
        let answer = timeout(HOLDER_TIMEOUT, receiver).await;
        self.quotas.asked.borrow_mut().remove(&number);
        answer.ok()?.ok()
    }
}
