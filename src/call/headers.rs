//! HTTP headers of this system, and which others travel on.

use http::HeaderMap;

/// `answered`, `not_run` or `unknown`; on every answer.
pub const OUTCOME: &str = "railspan-outcome";
/// Why an answer of the system itself is as it is.
pub const REASON: &str = "railspan-reason";
/// When to come back, in milliseconds; more exact than `Retry-After`.
pub const RETRY_AFTER_MS: &str = "railspan-retry-after-ms";
/// Time left to the deadline, in milliseconds; from callers, and to targets.
pub const DEADLINE_MS: &str = "railspan-deadline-ms";
/// The target that answered.
pub const TARGET: &str = "railspan-target";
/// Set to `1` when the answer is the recorded one of an earlier call.
pub const RECORDED: &str = "railspan-recorded";
/// Id of the call, to targets.
pub const CALL: &str = "railspan-call";
/// The client account, to targets.
pub const ACCOUNT: &str = "railspan-account";
/// Worth of the call, to targets.
pub const WORTH: &str = "railspan-worth";
/// Whether the call is urgent, to targets.
pub const URGENT: &str = "railspan-urgent";
/// The caller's key of a call that must not repeat.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Names of the headers that carry the system's own facts.
///
/// A deployment may have names of its own; what a name stands for is the same.
#[derive(Debug)]
pub struct HeaderNames {
    /// Time left to the deadline, in milliseconds; from callers, and to targets.
    pub deadline_ms: &'static str,
    /// The caller's id of its request; targets echo it.
    pub request_id: Option<&'static str>,
    /// The service whose host the request comes from; set by the system.
    pub caller_service: Option<&'static str>,
    /// The client account whose key the request bears; set by the system.
    pub account: Option<&'static str>,
    /// The only target that may run the request; set by the system.
    pub expected_target: Option<&'static str>,
    /// The target that answered, where targets tell.
    pub responding_target: Option<&'static str>,
    /// A target's proof of a whole answer; a success without one is none.
    pub signature: Option<&'static str>,
    /// Set by a target that did not run the request.
    pub not_executed: Option<&'static str>,
    /// A target's load: running, waiting, slots, slowness in percent.
    pub load: Option<&'static str>,
    /// How much longer a target stays cold, in milliseconds, on its health answers.
    pub cold_remaining_ms: Option<&'static str>,
    /// Whether the caller's `Host` travels to the target.
    pub preserve_host: bool,
    /// Whether callers read fractions of a second in `Retry-After`.
    pub fractional_retry_after: bool,
    /// Whether targets and callers get the facts that only this system names.
    pub railspan_headers: bool,
}

/// The system's own names.
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
    preserve_host: false,
    fractional_retry_after: false,
    railspan_headers: true,
};

impl HeaderNames {
    /// Tells whether only the system may set a header of a request.
    fn is_reserved(&self, name: &str) -> bool {
        let own = [self.caller_service, self.account, self.expected_target];
        let reserved = std::iter::once(Some(self.deadline_ms)).chain(own);
        reserved.flatten().any(|own| own == name)
    }
}

/// Returns a header of a list as text.
pub(crate) fn find_str<'a>(list: &'a HeaderList, name: &str) -> Option<&'a str> {
    let (_, value) = list.iter().find(|(other, _)| other == name)?;
    std::str::from_utf8(value).ok()
}

/// Returns a header as text.
pub(crate) fn get_str<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Headers of answers that only the system's own interface has.
pub(crate) const OWN_RESPONSE_HEADERS: &[&str] =
    &[OUTCOME, REASON, RETRY_AFTER_MS, TARGET, RECORDED];

/// Headers that belong to one connection (RFC 9110, 7.6.1), or to framing.
const HOP: &[&str] = &[
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

/// Headers as a head carries them.
pub(crate) type HeaderList = Vec<(String, Vec<u8>)>;

/// Returns the request headers that travel to the target.
pub(crate) fn forward_request_headers(headers: &HeaderMap, names: &HeaderNames) -> HeaderList {
    let mut list = forward(headers);
    list.retain(|(name, _)| name != "content-length" && !names.is_reserved(name));
    if names.preserve_host
        && let Some(host) = headers.get(http::header::HOST)
    {
        list.push(("host".to_owned(), host.as_bytes().to_vec()));
    }
    list
}

/// Returns the answer headers that travel to the caller: not what the target
/// tells only its guard.
pub(crate) fn forward_response_headers(headers: &HeaderMap, names: &HeaderNames) -> HeaderList {
    let mut list = forward(headers);
    let private = [names.load, names.responding_target];
    list.retain(|(name, _)| !private.contains(&Some(name.as_str())));
    list
}

fn forward(headers: &HeaderMap) -> HeaderList {
    let named = connection_names(headers);
    headers
        .iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            let own = name.starts_with("railspan-");
            !HOP.contains(&name) && !own && !named.iter().any(|other| other == name)
        })
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

/// Returns the headers that `Connection` names.
fn connection_names(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(http::header::CONNECTION);
    let texts = values.iter().filter_map(|value| value.to_str().ok());
    texts.flat_map(|text| text.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect()
}
