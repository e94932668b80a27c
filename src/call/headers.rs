//! HTTP headers that railspan reads and sets, and which other headers it forwards.

use http::header::{CONNECTION, CONTENT_LENGTH, HeaderValue};
use http::{HeaderMap, Response, StatusCode};

/// Outcome of the call: `answered`, `not_run` or `unknown`; set on every response.
pub const OUTCOME: &str = "railspan-outcome";
/// Reason for a response that railspan itself generated.
pub const REASON: &str = "railspan-reason";
/// Delay before a retry, in milliseconds; more exact than `Retry-After`.
pub const RETRY_AFTER_MS: &str = "railspan-retry-after-ms";
/// Time left until the deadline, in milliseconds; sent by callers, and to targets.
pub const DEADLINE_MS: &str = "railspan-deadline-ms";
/// The target that answered.
pub const TARGET: &str = "railspan-target";
/// Set to `1` if the response is the recorded one of an earlier call.
pub const RECORDED: &str = "railspan-recorded";
/// Id of the call; sent to targets.
pub const CALL: &str = "railspan-call";
/// Client account of the call; sent to targets.
pub const ACCOUNT: &str = "railspan-account";
/// Worth of the call; sent to targets.
pub const WORTH: &str = "railspan-worth";
/// Whether the call is urgent; sent to targets.
pub const URGENT: &str = "railspan-urgent";
/// Rate of calls that a target takes, in calls per second; set by targets.
pub const RATE_LIMIT: &str = "railspan-rate-limit";
/// Set to `1` by a target that leaves.
pub const LEAVING: &str = "railspan-leaving";
/// Idempotency key that callers set on a call that must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Names of the headers that carry railspan's metadata, and how they are used.
///
/// The platform of a deployment may use its own names for headers of the same meaning. `None`
/// means that the header isn't used.
#[derive(Debug)]
pub struct HeaderNames {
    /// Time left until the deadline, in milliseconds; sent by callers, and to targets.
    pub deadline_ms: &'static str,
    /// Request id that the caller sets; targets echo it.
    pub request_id: Option<&'static str>,
    /// Service that runs on the host which the request comes from; set by railspan.
    pub caller_service: Option<&'static str>,
    /// Client account that the request's API token belongs to; set by railspan.
    pub account: Option<&'static str>,
    /// Only target that may run the request; set by railspan.
    pub expected_target: Option<&'static str>,
    /// Target that responded, set by that target.
    pub responding_target: Option<&'static str>,
    /// Signature that a target sets on a complete response; a response with a success status
    /// but without a signature doesn't count as a success.
    pub signature: Option<&'static str>,
    /// Set by a target that did not run the request.
    pub not_executed: Option<&'static str>,
    /// Load of a target: running calls, waiting calls, slots, slowness in percent.
    pub load: Option<&'static str>,
    /// Time until a target has warmed up, in milliseconds; set on health responses.
    pub cold_remaining_ms: Option<&'static str>,
    /// Rate of calls that a target takes from the whole fleet, in calls per second; set by
    /// targets for as long as they are in need.
    pub rate_limit: Option<&'static str>,
    /// Set to `1` by a target that leaves, in all its answers.
    pub leaving: Option<&'static str>,
    /// Whether the caller's `Host` header is forwarded to the target.
    pub preserve_host: bool,
    /// Whether callers accept fractions of a second in `Retry-After`.
    pub fractional_retry_after: bool,
    /// Whether targets and callers receive the `railspan-` headers; if so, calls name
    /// their service in the path, otherwise they are routed by host and path.
    pub railspan_headers: bool,
}

/// Header names outside of a deployment.
pub const DEFAULT_HEADER_NAMES: HeaderNames = HeaderNames {
    deadline_ms: DEADLINE_MS,
    request_id: None,
    caller_service: None,
    account: None,
    expected_target: None,
    responding_target: None,
    signature: None,
    not_executed: None,
    load: None,
    cold_remaining_ms: None,
    rate_limit: Some(RATE_LIMIT),
    leaving: Some(LEAVING),
    preserve_host: false,
    fractional_retry_after: false,
    railspan_headers: true,
};

impl HeaderNames {
    /// Returns whether railspan sets this request header itself and drops a forwarded one.
    fn is_reserved(&self, name: &str) -> bool {
        let optional = [self.caller_service, self.account, self.expected_target];
        let reserved = std::iter::once(Some(self.deadline_ms)).chain(optional);
        reserved.flatten().any(|reserved| reserved == name)
    }
}

/// Returns the value of a header in a list, if it is valid UTF-8.
pub(crate) fn find_str<'a>(list: &'a HeaderList, name: &str) -> Option<&'a str> {
    let (_, value) = list.iter().find(|(other, _)| other == name)?;
    std::str::from_utf8(value).ok()
}

/// Returns the value of a header, if it is visible ASCII.
pub(crate) fn get_str<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// `railspan-` response headers, removed where a deployment doesn't use them.
pub(crate) const RAILSPAN_RESPONSE_HEADERS: &[&str] =
    &[OUTCOME, REASON, RETRY_AFTER_MS, TARGET, RECORDED];

/// Headers of one connection (RFC 9110, section 7.6.1) or of message framing.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "expect",
];

/// Headers as the heads of messages between daemons carry them.
pub(crate) type HeaderList = Vec<(String, Vec<u8>)>;

/// Returns the request headers that are forwarded to the target.
pub(crate) fn forward_request_headers(headers: &HeaderMap, names: &HeaderNames) -> HeaderList {
    let connection_headers = connection_headers(headers);
    let mut list = forward(headers);
    list.retain(|(name, _)| {
        name != "content-length" && !names.is_reserved(name) && !connection_headers.contains(name)
    });
    if names.preserve_host
        && let Some(host) = headers.get(http::header::HOST)
    {
        list.push(("host".to_owned(), host.as_bytes().to_vec()));
    }
    list
}

/// Returns the response headers that are forwarded to the caller, without those that are
/// meant for the guard only. They must come from [`normalise_answer`].
pub(crate) fn forward_response_headers(headers: &HeaderMap, names: &HeaderNames) -> HeaderList {
    let mut list = forward(headers);
    let guard_only = [names.load, names.responding_target];
    list.retain(|(name, _)| !guard_only.contains(&Some(name.as_str())));
    list
}

/// Brings the head of a target's answer into the form in which all of it may be used: without the
/// fields that concern the connection only, and with one length at most, by which the body is read.
///
/// Fields with a meaning for the connection itself stay, for its pool.
pub(crate) fn normalise_answer<B>(response: &mut Response<B>) {
    let status = response.status();
    let headers = response.headers_mut();
    for option in connection_headers(headers) {
        if !HOP_BY_HOP.contains(&&*option) {
            headers.remove(option);
        }
    }
    let stated = headers.remove(CONTENT_LENGTH);
    // An answer to `HEAD` may state the length that its body would have.
    if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return;
    }
    let text = stated.as_ref().and_then(|value| value.to_str().ok());
    let first = text.and_then(|text| text.split(',').next());
    if let Some(length) = first.and_then(|text| text.trim().parse::<u64>().ok()) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
}

/// Returns the headers that are forwarded in either direction, apart from those that `Connection`
/// names: neither those of one connection nor railspan's own.
fn forward(headers: &HeaderMap) -> HeaderList {
    headers
        .iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            let is_railspan = name.starts_with("railspan-");
            !HOP_BY_HOP.contains(&name) && !is_railspan
        })
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

/// Returns the names of the headers listed in `Connection`, in lower case.
fn connection_headers(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).iter();
    let options = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    let texts = options.filter_map(|option| std::str::from_utf8(option).ok());
    texts.map(|text| text.trim().to_ascii_lowercase()).collect()
}
