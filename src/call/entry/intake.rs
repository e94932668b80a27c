//! Reading and checking of a caller's request: its service, call options and account.

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;

use http::header::AUTHORIZATION;
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::base::clock::MicroTime;
use crate::base::consts::{MAX_DEADLINE_MS, MAX_IDEMPOTENCY_KEY, MAX_REQUEST_BODY};
use crate::base::digest::{RequestDigest, hash_call, hash_parts};
use crate::base::ids::{AccountName, ServiceName};
use crate::base::wire::{CallPriority, KeyClaim};
use crate::call::call_body::CallBody;
use crate::call::entry::EntryDuty;
use crate::call::entry::accounts::RankedAccount;
use crate::call::entry::body_intake::read_body;
use crate::call::entry::quota::UsedGrant;
use crate::call::headers;
use crate::call::responses::{self, ResponseBody};
use crate::decide::benefit;
use crate::decide::selection::SelectionPolicy;
use crate::rules::account::{AccountParameters, TokenHash};
use crate::rules::config::FleetConfig;
use crate::rules::options::CallOptions;
use crate::rules::route::{RouteRule, rank_of};

/// Retry delay while the daemon or the service is not ready, in milliseconds.
pub(crate) const NOT_READY_RETRY_MS: u32 = 500;

/// Maximum size of the body of a routed call if the configuration sets no limit, in bytes.
const DEFAULT_MAX_BODY: u64 = 64 << 20;

/// Account name of calls without an account.
const NO_ACCOUNT: &str = "";

/// A call as received from its caller.
#[derive(Debug)]
pub(crate) struct CallerCall {
    /// Request id that the caller set, or empty.
    pub(crate) request_id: Arc<str>,
    /// Digest of the request; the same whenever and wherever the request is sent again.
    pub(crate) digest: RequestDigest,
    pub(crate) service: ServiceName,
    pub(crate) account: AccountName,
    /// The account's share of a busy target, relative to other accounts.
    pub(crate) share: u16,
    pub(crate) policy: &'static SelectionPolicy,
    pub(crate) options: CallOptions,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: headers::HeaderList,
    pub(crate) body: CallBody,
    pub(crate) arrived_at: MicroTime,
    pub(crate) deadline: MicroTime,
    /// Whether the target on this host made the call.
    pub(crate) nested: bool,
    /// Whether that target was running a call when this one arrived.
    pub(crate) caller_busy: bool,
    /// Hash of the request's token, if it is checked again before each attempt.
    pub(crate) token: Option<TokenHash>,
    /// Claim of the idempotency key, for a call that must not run twice.
    pub(crate) claim: Option<KeyClaim>,
    /// Grant from the account's quota that the call uses.
    pub(crate) grant: Option<Rc<UsedGrant>>,
}

impl CallerCall {
    /// Returns the time by which an answer meets the latency objective.
    pub(crate) fn objective(&self) -> MicroTime {
        self.arrived_at + MicroTime::from_millis(u64::from(self.options.objective_ms))
    }
}

/// Reads and checks a call; sets `counted_for` to its account as soon as that is known.
///
/// # Errors
///
/// Returns the response to a call that is rejected.
pub(crate) async fn receive(
    duty: &EntryDuty,
    request: Request<Incoming>,
    request_id: &Arc<str>,
    counted_for: &OnceCell<RankedAccount>,
) -> Result<CallerCall, Response<ResponseBody>> {
    let arrived_at = duty.clock.now();
    let (parts, body) = request.into_parts();
    let config = duty.config().ok_or_else(|| {
        responses::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_ready", NOT_READY_RETRY_MS)
    })?;
    if duty.header_names.railspan_headers {
        receive_account_call(duty, &config, arrived_at, &parts, body, counted_for).await
    } else {
        receive_routed_call(duty, &config, arrived_at, &parts, body, request_id, counted_for).await
    }
}

/// Reads a call that is routed by its host and path.
async fn receive_routed_call(
    duty: &EntryDuty,
    config: &FleetConfig,
    arrived_at: MicroTime,
    parts: &Parts,
    body: Incoming,
    request_id: &Arc<str>,
    counted_for: &OnceCell<RankedAccount>,
) -> Result<CallerCall, Response<ResponseBody>> {
    let names = duty.header_names;
    let host = headers::get_str(&parts.headers, "host");
    let host = host.or_else(|| parts.uri.authority().map(http::uri::Authority::as_str));
    let route = config.route(host.unwrap_or_default(), parts.uri.path());
    let route = route.ok_or_else(|| duty.deny(StatusCode::NOT_FOUND, "no_route"))?;
    let stated_deadline = headers::get_str(&parts.headers, names.deadline_ms);
    let account = authenticate_routed(config, route, &parts.headers).map_err(|UnknownToken| {
        // A newer revision may have added the token.
        let refusal = duty.refuse_unconfirmed();
        refusal.unwrap_or_else(|| duty.deny(StatusCode::UNAUTHORIZED, "no_account"))
    })?;
    if let Some(refusal) = account.and_then(|_account| duty.refuse_unconfirmed()) {
        return Err(refusal);
    }
    let token = account.and_then(|_account| duty.token_to_recheck(&parts.headers));
    let rank = account.and_then(|account| account.rank);
    let caller_busy = duty.own_target.is_busy();
    // Callers other than targets have a token on every route that is not public.
    let has_no_token = account.is_none() && !config.accounts.is_empty() && !route.public;
    let nested = has_no_token || duty.is_nested_route(&route.name);
    let mut options =
        route.call_options(stated_deadline.and_then(|text| text.trim().parse().ok()), rank);
    if nested
        && duty.nested_first
        && let Some(highest) = duty.own_target.highest_priority()
    {
        // The run that made the call is among those, but it is not known which one it is.
        options.priority = highest;
    }
    if let Some(account) = account {
        count_for(counted_for, account, options.priority);
    }
    let mut forwarded = headers::forward_request_headers(&parts.headers, names);
    if !config.accounts.is_empty() {
        forwarded.retain(|(name, _)| name != AUTHORIZATION.as_str());
    }
    if let (Some(name), Some(account)) = (names.account, account) {
        forwarded.push((name.to_owned(), account.name.as_str().as_bytes().to_vec()));
    }
    if let (Some(name), Some(service)) = (names.caller_service, &duty.own_service) {
        forwarded.push((name.to_owned(), service.as_str().as_bytes().to_vec()));
    }
    let deadline = arrived_at + MicroTime::from_millis(u64::from(options.deadline_ms));
    let limit = config.limits.body_bytes.unwrap_or(DEFAULT_MAX_BODY);
    let service = route.choose_service(&mut duty.rng.borrow_mut()).clone();
    let body = read_body(duty, body, &parts.headers, limit as usize, deadline).await?;
    let grant = match account {
        // The account's own rank is the same for all its requests and orders them against those
        // of others; among themselves they compete for its quota by the rank of their route.
        Some(account) => duty.admit(account, route.priority(None), request_id).await?,
        None => None,
    };
    let account_name = account.map_or(NO_ACCOUNT, |account| account.name.as_str());
    // A nested call competes as part of the run that made it, not for its account.
    let competitor = account.filter(|_| !nested);
    let host = host.unwrap_or_default().to_ascii_lowercase();
    Ok(CallerCall {
        request_id: Arc::clone(request_id),
        digest: digest_request(
            account_name,
            &host,
            parts.method.as_str(),
            path_and_query(parts),
            &body,
        ),
        service,
        account: competitor
            .map_or_else(|| AccountName::from(NO_ACCOUNT), |account| account.name.clone()),
        share: competitor.map_or(1, AccountParameters::weight),
        policy: &benefit::EXPECTED_BENEFIT,
        options,
        method: parts.method.to_string(),
        path: path_and_query(parts).to_owned(),
        headers: forwarded,
        body,
        arrived_at,
        deadline,
        nested,
        caller_busy,
        token,
        claim: None,
        grant,
    })
}

/// Reads a call of a client account, which names its service in the path.
async fn receive_account_call(
    duty: &EntryDuty,
    config: &FleetConfig,
    arrived_at: MicroTime,
    parts: &Parts,
    body: Incoming,
    counted_for: &OnceCell<RankedAccount>,
) -> Result<CallerCall, Response<ResponseBody>> {
    let reject = |status, reason| responses::not_run(status, reason, 0);
    let account = bearer_token(&parts.headers).and_then(|token| config.account(token));
    let account = account.ok_or_else(|| reject(StatusCode::UNAUTHORIZED, "no_account"))?;
    let (service, path) = split_path(path_and_query(parts));
    let service = config.service(service);
    let service = service.ok_or_else(|| reject(StatusCode::NOT_FOUND, "no_service"))?;
    let options = config.call_options(service, account, parts.method.as_str(), &path);
    count_for(counted_for, account, options.priority);
    let deadline_ms = parse_deadline(&parts.headers, options.deadline_ms)
        .ok_or_else(|| reject(StatusCode::BAD_REQUEST, "bad_deadline"))?;
    let deadline = arrived_at + MicroTime::from_millis(u64::from(deadline_ms));
    let body = read_body(duty, body, &parts.headers, MAX_REQUEST_BODY, deadline).await?;
    let grant = duty.admit(account, options.priority, "").await?;
    let (account_name, service_name) = (account.name.as_str(), service.name.as_str());
    let mut call = CallerCall {
        request_id: Arc::from(""),
        digest: digest_request(account_name, service_name, parts.method.as_str(), &path, &body),
        service: service.name.clone(),
        account: account.name.clone(),
        share: account.weight(),
        policy: service.selection_policy(),
        options,
        method: parts.method.to_string(),
        path,
        headers: headers::forward_request_headers(&parts.headers, duty.header_names),
        body,
        arrived_at,
        deadline,
        nested: false,
        caller_busy: false,
        token: None,
        claim: None,
        grant,
    };
    if !call.options.repeatable {
        let key = idempotency_key(&parts.headers);
        let key = key.ok_or_else(|| reject(StatusCode::BAD_REQUEST, "no_idempotency_key"))?;
        call.claim = Some(make_claim(&call, key));
    }
    Ok(call)
}

/// Sets the account for which a request is counted.
fn count_for(
    counted_for: &OnceCell<RankedAccount>,
    account: &AccountParameters,
    priority: CallPriority,
) {
    let account = RankedAccount { name: account.name.clone(), rank: rank_of(priority) };
    // Fails only if it is set already, which a request does once.
    drop(counted_for.set(account));
}

/// A token that belongs to no account.
struct UnknownToken;

/// Returns the account of a routed request's token, or `None` if the request has no token, its
/// route is public or there are no accounts. Calls from targets have no token.
///
/// # Errors
///
/// Returns an error if the route requires a valid token and the request's token belongs to no
/// account.
fn authenticate_routed<'a>(
    config: &'a FleetConfig,
    route: &RouteRule,
    headers: &HeaderMap,
) -> Result<Option<&'a AccountParameters>, UnknownToken> {
    if route.public || config.accounts.is_empty() || !headers.contains_key(AUTHORIZATION) {
        return Ok(None);
    }
    let account = bearer_token(headers).and_then(|token| config.account(token));
    account.map(Some).ok_or(UnknownToken)
}

fn path_and_query(parts: &Parts) -> &str {
    parts.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str)
}

pub(super) fn bearer_token(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(AUTHORIZATION)?.as_bytes();
    value.strip_prefix(b"Bearer ")
}

fn idempotency_key(headers: &HeaderMap) -> Option<&[u8]> {
    let key = headers.get(headers::IDEMPOTENCY_KEY)?.as_bytes();
    (!key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY).then_some(key)
}

/// Splits `/service/rest?query` into the service and the path at the target.
fn split_path(path: &str) -> (&str, String) {
    let path = path.strip_prefix('/').unwrap_or(path);
    let end = path.find(['/', '?']).unwrap_or(path.len());
    let (service, rest) = path.split_at(end);
    let slash = if rest.starts_with('/') { "" } else { "/" };
    (service, format!("{slash}{rest}"))
}

/// Returns the time that a call has until its deadline, in milliseconds, or `None` if its
/// deadline header is invalid.
fn parse_deadline(headers: &HeaderMap, default_ms: u32) -> Option<u32> {
    let Some(value) = headers.get(headers::DEADLINE_MS) else { return Some(default_ms) };
    let deadline_ms: u32 = value.to_str().ok()?.parse().ok()?;
    Some(deadline_ms.min(MAX_DEADLINE_MS))
}

/// Derives the claim of a call's idempotency key. The row's name depends on the account, so no
/// other account can name the row.
fn make_claim(call: &CallerCall, key: &[u8]) -> KeyClaim {
    let row =
        hash_parts(&[call.account.as_str().as_bytes(), call.service.as_str().as_bytes(), key]);
    let fingerprint =
        hash_call(&[call.method.as_bytes(), call.path.as_bytes()], call.body.segments());
    KeyClaim {
        row: format!("claim-{}", row.to_hex()),
        fingerprint: fingerprint.to_string(),
        takeover: None,
    }
}

/// Digests a request; `destination` is the host that a routed call addresses, or the service
/// that a client account's call names.
fn digest_request(
    account: &str,
    destination: &str,
    method: &str,
    path: &str,
    body: &CallBody,
) -> RequestDigest {
    let texts = [account, destination, method, path].map(str::as_bytes);
    RequestDigest::of_call(&texts, body.segments())
}
