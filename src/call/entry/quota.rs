//! Client account quotas at the entry, which requests grants from the quotas' holders.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Response, StatusCode};
use rand::RngExt;
use serde_json::{Value, json};
use slog::info;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::EntryDuty;
use crate::base::clock::MicroTime;
use crate::base::datagram::{GuardDatagram, QuotaReply, QuotaRequest, QuotaReturn};
use crate::base::ids::{AccountName, DaemonIncarnation, HostName};
use crate::base::wire::{self, CallPriority};
use crate::call::headers;
use crate::call::responses::{self, CallOutcome, ResponseBody};
use crate::decide::quota::{
    AccountQuota, GRANT_LIFETIME, GrantRef, QuotaCredit, QuotaDecision, QuotaTerms, ReturnedCounts,
    choose_holders,
};
use crate::rules::account::AccountParameters;

/// Maximum wait for a holder's reply; then the next holder is asked.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which a holder that did not reply is asked after all others.
const UNRESPONSIVE_DURATION: MicroTime = MicroTime::from_millis(1_000);

/// Time for which the reply to a request that nobody waits for any more is expected. A grant that
/// arrives later counts as used.
const LATE_REPLY_DURATION: MicroTime = MicroTime::from_millis(1_000);

/// Retry delay if no holder can be reached, in milliseconds.
const UNREACHABLE_RETRY_MS: u32 = 300;

/// Quota state of an entry.
#[derive(Debug)]
pub(super) struct EntryQuotas {
    terms: Cell<QuotaTerms>,
    /// Incarnation of this daemon, by which holders distinguish its grants from earlier ones.
    incarnation: DaemonIncarnation,
    /// Granted requests that are not used yet, by account.
    credits: RefCell<HashMap<AccountName, QuotaCredit>>,
    /// Channels for the replies to grant requests in progress, by the number of the request.
    pending: RefCell<HashMap<u64, oneshot::Sender<QuotaReply>>>,
    /// Grant requests that nobody waits for any more, by the time at which that began.
    abandoned: RefCell<VecDeque<(MicroTime, AccountName, GrantRef)>>,
    next_number: Cell<u64>,
    /// Holders that did not reply, with the time of the last timeout.
    unresponsive: RefCell<HashMap<HostName, MicroTime>>,
    /// Requests returned of each grant.
    returned: RefCell<ReturnedCounts>,
}

/// Grant that a request used, which is returned if the request reaches no target.
#[derive(Debug)]
pub(crate) struct UsedGrant {
    account: AccountName,
    grant: GrantRef,
    /// Whether a target received the request.
    reached_target: Cell<bool>,
}

impl UsedGrant {
    fn open(account: &AccountName, grant: GrantRef) -> Rc<Self> {
        Rc::new(Self { account: account.clone(), grant, reached_target: Cell::new(false) })
    }

    /// Records that a target received the request, so that the grant stays used.
    pub(crate) fn mark_reached_target(&self) {
        self.reached_target.set(true);
    }
}

/// Grant request in progress.
///
/// Invariant: a grant that nobody takes is returned, whether the reply is late or the caller
/// has left.
struct PendingGrant<'a> {
    duty: &'a EntryDuty,
    account: &'a AccountName,
    grant: GrantRef,
    receiver: oneshot::Receiver<QuotaReply>,
    is_answered: bool,
}

impl<'a> PendingGrant<'a> {
    fn open(duty: &'a EntryDuty, account: &'a AccountName, grant: GrantRef) -> Self {
        let (sender, receiver) = oneshot::channel();
        duty.quotas.pending.borrow_mut().insert(grant.number, sender);
        Self { duty, account, grant, receiver, is_answered: false }
    }

    /// Returns the reply, or `None` if it doesn't arrive in time.
    async fn reply(mut self) -> Option<QuotaReply> {
        let reply = timeout(HOLDER_TIMEOUT, &mut self.receiver).await.ok()?.ok();
        self.is_answered = reply.is_some();
        reply
    }
}

impl Drop for PendingGrant<'_> {
    fn drop(&mut self) {
        self.duty.quotas.pending.borrow_mut().remove(&self.grant.number);
        if self.is_answered {
            return;
        }
        match self.receiver.try_recv() {
            Ok(reply) => self.duty.return_grant(self.account, self.grant, reply.granted),
            Err(_) => self.duty.quotas.abandon(self.duty.clock.now(), self.account, self.grant),
        }
    }
}

/// Result of asking the holders of a quota.
#[derive(Clone, Copy, Debug)]
enum QuotaResult {
    Granted(GrantRef),
    /// No holder has quota left; one will after this many milliseconds.
    Exhausted(u32),
    /// No daemon that holds the quota replied.
    Unreachable,
}

impl EntryQuotas {
    pub(super) fn open(terms: QuotaTerms, incarnation: DaemonIncarnation) -> Self {
        Self {
            terms: Cell::new(terms),
            incarnation,
            credits: RefCell::default(),
            pending: RefCell::default(),
            abandoned: RefCell::default(),
            next_number: Cell::default(),
            unresponsive: RefCell::default(),
            returned: RefCell::default(),
        }
    }

    /// Returns the latest use of an account's quota that a holder stated, in thousandths; zero if
    /// unknown.
    pub(super) fn usage_permille(&self, account: &AccountName) -> u16 {
        self.credits.borrow().get(account).map_or(0, QuotaCredit::usage_permille)
    }

    /// Returns the state on which admissions are based, as JSON.
    pub(super) fn dump(&self) -> Value {
        json!(*self.credits.borrow())
    }

    pub(super) fn set_terms(&self, terms: QuotaTerms) {
        self.terms.set(terms);
    }

    /// Records that nobody waits for the reply to a grant request any more.
    fn abandon(&self, now: MicroTime, account: &AccountName, grant: GrantRef) {
        let mut abandoned = self.abandoned.borrow_mut();
        let is_old = |since: &MicroTime| now.since(*since) >= LATE_REPLY_DURATION;
        while abandoned.front().is_some_and(|(since, ..)| is_old(since)) {
            abandoned.pop_front();
        }
        abandoned.push_back((now, account.clone(), grant));
    }

    /// Removes a grant request that nobody waits for any more.
    fn take_abandoned(&self, number: u64) -> Option<(AccountName, GrantRef)> {
        let mut abandoned = self.abandoned.borrow_mut();
        let index = abandoned.iter().position(|(.., grant)| grant.number == number)?;
        abandoned.remove(index).map(|(_, account, grant)| (account, grant))
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
    /// Counts a request against the quota of its account; returns the grant that it used, if the
    /// account has a quota.
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
    ) -> Result<Option<Rc<UsedGrant>>, Response<ResponseBody>> {
        let Some(quota) = account.quota else { return Ok(None) };
        let name = &account.name;
        let (decision, expired) = self.with_credit(name, |credit| {
            (credit.decide(self.clock.now(), priority), credit.take_expired())
        });
        for (grant, count) in expired {
            self.return_grant(name, grant, count);
        }
        let (want, new_demand) = match decision {
            QuotaDecision::Admit(grant) => return Ok(Some(UsedGrant::open(name, grant))),
            QuotaDecision::Refuse(wait_ms) => {
                return Err(self.over_quota(account, priority, request_id, wait_ms));
            }
            QuotaDecision::AskHolder { want, new_demand } => (want, new_demand),
        };
        let request = QuotaRequest {
            number: 0,
            account: name.clone(),
            want,
            settled: self.clock.now() >= self.quotas.terms.get().window + GRANT_LIFETIME,
            priority,
            new_demand,
            incarnation: self.quotas.incarnation,
        };
        match self.request_grant(quota, request).await {
            QuotaResult::Granted(grant) => Ok(Some(UsedGrant::open(name, grant))),
            QuotaResult::Exhausted(wait_ms) => {
                self.with_credit(name, |credit| {
                    credit.mark_exhausted(self.clock.now(), priority, wait_ms);
                });
                Err(self.over_quota(account, priority, request_id, wait_ms))
            }
            QuotaResult::Unreachable => {
                info!(self.logger, "quota holders unreachable"; "id" => request_id,
                    "account" => %name);
                self.metrics.quota_refusals.with_label_values(&["unreached"]).inc();
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Err(responses::not_run(status, "quota_unreached", UNREACHABLE_RETRY_MS))
            }
        }
    }

    fn over_quota(
        &self,
        account: &AccountParameters,
        priority: CallPriority,
        request_id: &str,
        wait_ms: u32,
    ) -> Response<ResponseBody> {
        info!(self.logger, "over quota"; "id" => request_id, "account" => %account.name,
            "urgent" => priority.urgent, "worth" => priority.worth, "wait_ms" => wait_ms);
        let reason = if priority.urgent { "urgent_over_quota" } else { "over_quota" };
        self.metrics.quota_refusals.with_label_values(&[reason]).inc();
        responses::not_run(StatusCode::TOO_MANY_REQUESTS, "over_quota", wait_ms)
    }

    /// Returns the grant of a request that no target received, as its response shows.
    pub(super) fn return_if_not_run(&self, used: &UsedGrant, response: &Response<ResponseBody>) {
        let outcome = headers::get_str(response.headers(), headers::OUTCOME);
        let not_run = outcome == Some(CallOutcome::NotRun.as_str());
        let status = response.status();
        let refused =
            status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
        if not_run && refused && !used.reached_target.get() {
            self.return_grant(&used.account, used.grant, 1);
        }
    }

    /// Passes a holder's reply to the request that waits for it; returns its grant if none does.
    pub(super) fn deliver_quota_reply(&self, reply: QuotaReply) {
        let waiter = self.quotas.pending.borrow_mut().remove(&reply.number);
        if let Some(waiter) = waiter {
            // The drop of a request whose caller has left returns what it finds in the channel.
            _ = waiter.send(reply);
        } else if let Some((account, grant)) = self.quotas.take_abandoned(reply.number) {
            self.return_grant(&account, grant, reply.granted);
        }
    }

    /// Returns requests of a grant to its holder. If the datagram is lost, they count as used,
    /// unless a later return of the same grant includes them.
    fn return_grant(&self, account: &AccountName, grant: GrantRef, count: u16) {
        if count == 0 {
            return;
        }
        let returned = QuotaReturn {
            incarnation: self.quotas.incarnation,
            number: grant.number,
            account: account.clone(),
            count: self.quotas.returned.borrow_mut().add(grant.number, count),
        };
        let Ok(bytes) = wire::encode(&GuardDatagram::QuotaReturn(returned)) else { return };
        drop(self.probe_socket.try_send_to(&bytes, grant.holder));
        self.metrics.quota_returns.inc_by(u64::from(count));
    }

    /// Calls `act` with the credit of an account, which is created if necessary.
    fn with_credit<T>(&self, account: &AccountName, act: impl FnOnce(&mut QuotaCredit) -> T) -> T {
        let mut credits = self.quotas.credits.borrow_mut();
        act(credits.entry(account.clone()).or_default())
    }

    /// Asks the holders one after the other until one grants at least one request.
    async fn request_grant(&self, quota: AccountQuota, mut request: QuotaRequest) -> QuotaResult {
        let mut result = QuotaResult::Unreachable;
        for (host, address) in self.holders(&request.account, quota) {
            let requested_at = self.clock.now();
            request.number = self.quotas.next_number.get();
            self.quotas.next_number.set(request.number + 1);
            let reply = self.request_grant_from(address, &request).await;
            let Some(reply) = reply else {
                self.quotas.unresponsive.borrow_mut().insert(host, self.clock.now());
                continue;
            };
            self.quotas.unresponsive.borrow_mut().remove(&host);
            if reply.wait_ms.is_some() {
                let usage = reply.usage_permille;
                self.with_credit(&request.account, |credit| credit.set_usage(usage));
            }
            if reply.granted > 0 {
                let grant = GrantRef { holder: address, number: request.number };
                // One granted request is the current one, the rest are for later ones.
                self.with_credit(&request.account, |credit| {
                    credit.add_grant(requested_at, request.priority, reply.granted - 1, grant);
                });
                return QuotaResult::Granted(grant);
            }
            if reply.wait_ms.is_some() {
                request.new_demand = 0;
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
    /// them: each request starts at a random one, so that all holders see the same mix of
    /// requests, and unresponsive holders come last.
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
            let first = self.rng.borrow_mut().random_range(0..holders.len());
            holders.rotate_left(first);
        }
        let now = self.clock.now();
        let unresponsive = self.quotas.unresponsive.borrow();
        holders.sort_by_key(|(host, _)| {
            unresponsive.get(host).is_some_and(|since| now.since(*since) < UNRESPONSIVE_DURATION)
        });
        holders
    }

    /// Requests a grant from a holder; returns `None` if it doesn't reply in time.
    async fn request_grant_from(
        &self,
        address: SocketAddr,
        request: &QuotaRequest,
    ) -> Option<QuotaReply> {
        let bytes = wire::encode(&GuardDatagram::Quota(request.clone())).ok()?;
        let grant = GrantRef { holder: address, number: request.number };
        let pending = PendingGrant::open(self, &request.account, grant);
        // A datagram that can't be sent is handled by the timeout, like a lost one.
        drop(self.probe_socket.try_send_to(&bytes, address));
        pending.reply().await
    }
}
