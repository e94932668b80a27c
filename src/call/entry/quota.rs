//! Client account quotas at the entry, which requests grants from the quotas' holders.

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
use crate::base::datagram::{GuardDatagram, QuotaReply, QuotaRequest};
use crate::base::ids::{AccountName, HostName};
use crate::base::wire::{self, CallPriority};
use crate::call::responses::{self, ResponseBody};
use crate::decide::quota::{
    AccountQuota, GRANT_LIFETIME, QuotaCredit, QuotaDecision, QuotaTerms, choose_holders,
};
use crate::rules::account::AccountParameters;

/// Maximum wait for a holder's reply; then the next holder is asked.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which a holder that did not reply is asked after all others.
const UNRESPONSIVE_DURATION: MicroTime = MicroTime::from_millis(1_000);

/// Retry delay if no holder can be reached, in milliseconds.
const UNREACHABLE_RETRY_MS: u32 = 300;

/// Quota state of an entry.
#[derive(Debug, Default)]
pub(super) struct EntryQuotas {
    terms: Cell<QuotaTerms>,
    /// Granted requests that are not used yet, by account.
    credits: RefCell<HashMap<AccountName, QuotaCredit>>,
    /// Channels for the replies to grant requests in progress, by the number of the request.
    pending: RefCell<HashMap<u64, oneshot::Sender<QuotaReply>>>,
    next_number: Cell<u64>,
    /// Holders that did not reply, with the time of the last timeout.
    unresponsive: RefCell<HashMap<HostName, MicroTime>>,
}

/// Result of asking the holders of a quota.
#[derive(Clone, Copy, Debug)]
enum QuotaResult {
    Granted,
    /// No holder has quota left; one will after this many milliseconds.
    Exhausted(u32),
    /// No daemon that holds the quota replied.
    Unreachable,
}

impl EntryQuotas {
    pub(super) fn set_terms(&self, terms: QuotaTerms) {
        self.terms.set(terms);
    }

    /// Passes a holder's reply to the request that waits for it.
    pub(super) fn deliver(&self, reply: QuotaReply) {
        if let Some(waiter) = self.pending.borrow_mut().remove(&reply.number) {
            _ = waiter.send(reply);
        }
    }

    /// Drops the state of accounts that a new configuration does not limit.
    pub(super) fn retain(&self, accounts: &[AccountParameters]) {
        let mut credits = self.credits.borrow_mut();
        let is_limited = |name: &AccountName| {
            accounts.iter().any(|account| account.name == *name && account.quota.is_some())
        };
        credits.retain(|name, _| is_limited(name));
    }
}

impl EntryDuty {
    /// Counts a request against the quota of its account.
    ///
    /// # Errors
    ///
    /// Returns the response to a request that is over the quota, or for which no holder of the
    /// quota can be reached.
    pub(super) async fn admit(
        &self,
        account: &AccountParameters,
        priority: CallPriority,
        request_id: &str,
    ) -> Result<(), Response<ResponseBody>> {
        let Some(quota) = account.quota else { return Ok(()) };
        let requested =
            match self.with_credit(&account.name, |credit| credit.decide(self.clock.now())) {
                QuotaDecision::Admit => return Ok(()),
                QuotaDecision::Refuse(wait_ms) => {
                    return Err(self.over_quota(account, request_id, wait_ms));
                }
                QuotaDecision::AskHolder(requested) => requested,
            };
        match self.request_grant(&account.name, quota, requested, priority).await {
            QuotaResult::Granted => Ok(()),
            QuotaResult::Exhausted(wait_ms) => {
                self.with_credit(&account.name, |credit| {
                    credit.mark_exhausted(self.clock.now(), wait_ms);
                });
                Err(self.over_quota(account, request_id, wait_ms))
            }
            QuotaResult::Unreachable => {
                info!(self.logger, "quota holders unreachable"; "id" => request_id,
                    "account" => %account.name);
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Err(responses::not_run(status, "quota_unreached", UNREACHABLE_RETRY_MS))
            }
        }
    }

    fn over_quota(
        &self,
        account: &AccountParameters,
        request_id: &str,
        wait_ms: u32,
    ) -> Response<ResponseBody> {
        info!(self.logger, "over quota"; "id" => request_id, "account" => %account.name,
            "wait_ms" => wait_ms);
        responses::not_run(StatusCode::TOO_MANY_REQUESTS, "over_quota", wait_ms)
    }

    /// Calls `act` with the credit of an account, which is created if necessary.
    fn with_credit<T>(&self, account: &AccountName, act: impl FnOnce(&mut QuotaCredit) -> T) -> T {
        let mut credits = self.quotas.credits.borrow_mut();
        act(credits.entry(account.clone()).or_default())
    }

    /// Asks the holders one after the other until one grants at least one request.
    async fn request_grant(
        &self,
        account: &AccountName,
        quota: AccountQuota,
        requested: u16,
        priority: CallPriority,
    ) -> QuotaResult {
        let mut result = QuotaResult::Unreachable;
        for (host, address) in self.holders(account, quota) {
            let requested_at = self.clock.now();
            let reply = self.request_grant_from(address, account, requested, priority).await;
            let Some(reply) = reply else {
                self.quotas.unresponsive.borrow_mut().insert(host, self.clock.now());
                continue;
            };
            self.quotas.unresponsive.borrow_mut().remove(&host);
            if reply.granted > 0 {
                // One granted request is the current one, the rest are for later ones.
                self.with_credit(account, |credit| {
                    credit.add_grant(requested_at, reply.granted - 1);
                });
                return QuotaResult::Granted;
            }
            result = match (result, reply.wait_ms) {
                (QuotaResult::Exhausted(shortest_ms), Some(wait_ms)) => {
                    QuotaResult::Exhausted(shortest_ms.min(wait_ms))
                }
                (QuotaResult::Unreachable, Some(wait_ms)) => QuotaResult::Exhausted(wait_ms),
                (result, _) => result,
            };
        }
        result
    }

    /// Returns the holders of an account's quota in the order in which this entry asks
    /// them: entries start at different holders, and unresponsive holders come last.
    fn holders(&self, account: &AccountName, quota: AccountQuota) -> Vec<(HostName, SocketAddr)> {
        let view = self.view.borrow();
        let members: Vec<_> = view.serving().collect();
        let count = quota.holders(self.quotas.terms.get());
        let hosts = choose_holders(account, members.iter().map(|member| &member.host), count);
        let address = |host: &&HostName| {
            let member = members.iter().find(|member| member.host == **host)?;
            Some(((*host).clone(), member.guard))
        };
        let mut holders: Vec<_> = hosts.iter().filter_map(address).collect();
        if !holders.is_empty() {
            let first = self.holder_offset % holders.len();
            holders.rotate_left(first);
        }
        let now = self.clock.now();
        let unresponsive = self.quotas.unresponsive.borrow();
        holders.sort_by_key(|(host, _)| {
            unresponsive.get(host).is_some_and(|since| now.since(*since) < UNRESPONSIVE_DURATION)
        });
        holders
    }

    /// Requests a grant of `requested` requests from a holder; returns `None` if it doesn't reply
    /// in time.
    async fn request_grant_from(
        &self,
        address: SocketAddr,
        account: &AccountName,
        requested: u16,
        priority: CallPriority,
    ) -> Option<QuotaReply> {
        let number = self.quotas.next_number.get();
        self.quotas.next_number.set(number + 1);
        let settled = self.clock.now() >= self.quotas.terms.get().window + GRANT_LIFETIME;
        let request =
            QuotaRequest { number, account: account.clone(), want: requested, settled, priority };
        let bytes = wire::encode(&GuardDatagram::Quota(request)).ok()?;
        let (sender, receiver) = oneshot::channel();
        self.quotas.pending.borrow_mut().insert(number, sender);
        // A datagram that can't be sent is handled by the timeout, like a lost one.
        drop(self.probe_socket.try_send_to(&bytes, address));
        let reply = timeout(HOLDER_TIMEOUT, receiver).await;
        self.quotas.pending.borrow_mut().remove(&number);
        reply.ok()?.ok()
    }
}
