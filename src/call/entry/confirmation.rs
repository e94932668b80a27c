//! What this daemon knows of the store's newest configuration: requests to other daemons for what
//! they know, and refusal of requests that a newer configuration may treat otherwise.

use std::rc::Rc;
use std::time::Duration;

use http::{Response, StatusCode};
use rand::RngExt;
use serde_json::{Value, json};
use slog::{info, warn};

use super::EntryDuty;
use crate::base::clock::MicroTime;
use crate::base::datagram::{ConfirmationReply, ConfirmationRequest, GuardDatagram};
use crate::base::member::{FleetView, MemberRecord};
use crate::base::wire;
use crate::call::entry::intake::CallerCall;
use crate::call::responses::{self, ResponseBody};
use crate::decide::retry::RetryDecision;
use crate::decide::revocation::{AskTiming, ConfirmationRound, RevocationState, StoreConfirmation};
use crate::fleet::store_followers;
use crate::rules::account::TokenHash;

/// Interval at which it is checked whether to ask another daemon.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time until the next check, as terms may change; also the time between two requests while
/// nobody knows anything new.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time until the next check.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Minimum time between two log lines that tokens are served or are not.
const LOG_INTERVAL: MicroTime = MicroTime::from_millis(1_000);

/// Bounds of the random retry delay of a request with a token that was refused, in milliseconds:
/// confirmations arrive about once a second, and callers should not return all at once.
const RETRY_MS_BOUNDS: (u32, u32) = (500, 1_500);

/// Reason in the response to such a request.
const UNCONFIRMED_REASON: &str = "unconfirmed";

/// Bounds of the random retry delay of a request that only a newer configuration may allow, in
/// milliseconds: the store is read about that often.
const OUTDATED_RETRY_MS_BOUNDS: (u32, u32) = (100, 500);

/// Reason in the response to such a request.
const OUTDATED_REASON: &str = "outdated";

impl EntryDuty {
    /// Returns the response to a request with a token if its token may have been revoked without
    /// this daemon's knowledge, or `None` if it may be served.
    pub(super) fn refuse_unconfirmed(&self) -> Option<Response<ResponseBody>> {
        if self.confirmation.serves_tokens() {
            return None;
        }
        self.metrics.unconfirmed_refusals.inc();
        let retry_ms = self.rng.borrow_mut().random_range(RETRY_MS_BOUNDS.0..RETRY_MS_BOUNDS.1);
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Some(responses::not_run(status, UNCONFIRMED_REASON, retry_ms))
    }

    /// Returns the response to a request that the configuration in force does not allow.
    ///
    /// It is final only if no configuration has to be in force by now that may allow the request.
    pub(super) fn deny(&self, status: StatusCode, reason: &str) -> Response<ResponseBody> {
        if self.confirmation.is_current() {
            return responses::not_run(status, reason, 0);
        }
        let (shortest, longest) = OUTDATED_RETRY_MS_BOUNDS;
        let retry_ms = self.rng.borrow_mut().random_range(shortest..longest);
        responses::not_run(StatusCode::SERVICE_UNAVAILABLE, OUTDATED_REASON, retry_ms)
    }

    /// Returns the hash of a request's token if it is to be checked again before each attempt.
    pub(super) fn token_to_recheck(&self, headers: &http::HeaderMap) -> Option<TokenHash> {
        let strict = self.confirmation.lock().is_strict();
        strict.then(|| super::intake::bearer_token(headers).map(TokenHash::of)).flatten()
    }

    /// Returns whether an attempt of a call may be sent now: its token is still valid, and no
    /// revocation can be missing here.
    pub(crate) fn may_send(&self, call: &CallerCall) -> bool {
        call.token
            .is_none_or(|token| self.is_token_valid(token) && self.confirmation.serves_tokens())
    }

    fn is_token_valid(&self, token: TokenHash) -> bool {
        self.config().is_some_and(|config| config.account_of_hash(token).is_some())
    }

    /// Returns the response to a call that may not be sent any more, or `None` if it may.
    ///
    /// `failure_decision` is what the call would report if it ended now, as an earlier attempt
    /// may have run.
    pub(super) fn reject_revoked(
        &self,
        call: &CallerCall,
        failure_decision: RetryDecision,
    ) -> Option<Response<ResponseBody>> {
        let token = call.token?;
        let refusal = if self.is_token_valid(token) {
            self.refuse_unconfirmed()?
        } else {
            responses::not_run(StatusCode::UNAUTHORIZED, "no_account", 0)
        };
        let may_have_run = failure_decision == RetryDecision::ReportUnknown;
        Some(if may_have_run { responses::unknown(UNCONFIRMED_REASON, None) } else { refusal })
    }

    /// Uses a daemon's reply to a request for its confirmation.
    pub(super) fn handle_confirmation(&self, reply: ConfirmationReply) {
        let Some(requested_at) = self.asker.borrow_mut().record_reply(reply.number) else { return };
        let Some((revision, age_us)) = reply.confirmed else { return };
        let confirmation = StoreConfirmation::from_peer(requested_at, revision, MicroTime(age_us));
        if let Some(StoreConfirmation { revision, at }) = confirmation {
            self.confirmation.confirm(revision, at);
        }
    }

    /// Asks other daemons for their confirmations, and logs when tokens are no longer served and
    /// when they are again.
    pub(super) async fn keep_confirmed(self: Rc<Self>) {
        let mut logged_state = true;
        let mut logged_at = None;
        loop {
            let state = self.confirmation.lock().clone();
            let now = self.confirmation.now();
            // Without a confirmation, the time since the start is the least age.
            let age = state.age(now);
            let serves = state.serves_tokens(now);
            let millis = age.unwrap_or(now).ceil_millis();
            self.metrics.confirmation_age.set(i64::try_from(millis).unwrap_or(i64::MAX));
            let pause = self.ask_if_due(&state, now);
            if serves != logged_state
                && logged_at.is_none_or(|logged_at| now.since(logged_at) >= LOG_INTERVAL)
            {
                logged_state = serves;
                logged_at = Some(now);
                let age_us = age.map(|age| age.0);
                if serves {
                    info!(self.logger, "requests with a token are served again"; "age_us" => age_us);
                } else {
                    warn!(self.logger, "requests with a token are refused: revocations not confirmed";
                        "age_us" => age_us, "max_age_us" => state.max_age().map(|age| age.0));
                }
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Asks another daemon if the own knowledge is old enough; returns the time until the next
    /// check.
    fn ask_if_due(&self, state: &RevocationState, now: MicroTime) -> Duration {
        let view = self.view.borrow();
        let Some((own, members)) = view.members.split_first() else { return CHECK_INTERVAL };
        let age = state.age(now);
        if state.is_strict() {
            self.asker.borrow_mut().set_timing(AskTiming::default());
            if self.asker.borrow().is_due(now, age) {
                let (followers, others) = split_followers(&view, own, members);
                self.ask_for_confirmation(now, &followers, &others);
            }
            return CHECK_INTERVAL;
        }
        let Some(schedule) = state.schedule() else { return IDLE_INTERVAL };
        let until = |ask_age: MicroTime| age.map_or(MicroTime(0), |age| ask_age.since(age));
        let time_left = until(schedule.ask_age(true));
        if time_left > MicroTime(0) {
            return time_left.duration().clamp(MIN_CHECK_INTERVAL, IDLE_INTERVAL);
        }
        let plan = store_followers::ask_plan(view.members.iter(), own);
        let timing = schedule.ask_timing(plan.is_relay);
        let time_left = until(timing.age);
        if time_left > MicroTime(0) {
            return time_left.duration().clamp(MIN_CHECK_INTERVAL, IDLE_INTERVAL);
        }
        self.asker.borrow_mut().set_timing(timing);
        if self.asker.borrow().is_due(now, age) {
            self.ask_for_confirmation(now, &plan.preferred, &plan.others);
        }
        // While nobody reaches the store, the next reply is as old as this one.
        let is_hopeful = age.unwrap_or(now) <= schedule.deadline();
        if is_hopeful { timing.reply_timeout.duration() } else { IDLE_INTERVAL }
    }

    fn ask_for_confirmation(
        &self,
        now: MicroTime,
        followers: &[&MemberRecord],
        others: &[&MemberRecord],
    ) {
        let round = ConfirmationRound { followers, others };
        let mut rng = self.rng.borrow_mut();
        let request = self.asker.borrow_mut().next_request(now, round, &mut *rng);
        let Some((number, member)) = request else { return };
        let datagram = GuardDatagram::Confirmation(ConfirmationRequest { number });
        if let Ok(bytes) = wire::encode(&datagram) {
            // A datagram that can't be sent is treated as lost in the network.
            drop(self.probe_socket.try_send_to(&bytes, member.guard));
        }
    }

    /// Returns the state of confirmations, as JSON.
    pub(super) fn dump_confirmation(&self) -> Value {
        let state = self.confirmation.lock().clone();
        let now = self.confirmation.now();
        json!({
            "strict": state.is_strict(),
            "serves_tokens": state.serves_tokens(now),
            "age_us": state.age(now),
            "max_age_us": state.max_age(),
            "state": state,
            "requests": *self.asker.borrow(),
        })
    }
}

/// Returns the selected followers of the store and the other daemons that are up, without this
/// one.
fn split_followers<'a>(
    view: &'a FleetView,
    own: &MemberRecord,
    members: &'a [MemberRecord],
) -> (Vec<&'a MemberRecord>, Vec<&'a MemberRecord>) {
    let mut followers = store_followers::select_followers(view.members.iter());
    followers.retain(|member| member.host != own.host);
    let others = members.iter().filter(|member| member.is_up());
    let others = others.filter(|member| followers.iter().all(|other| other.host != member.host));
    let others = others.collect();
    (followers, others)
}
