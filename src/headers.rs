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
pub(crate) fn forward_request(headers: &HeaderMap) -> HeaderList {
    let list = forward(headers);
    list.into_iter().filter(|(name, _)| name != "content-length").collect()
}

/// Returns the answer headers that travel to the caller.
pub(crate) fn forward_answer(headers: &HeaderMap) -> HeaderList {
    forward(headers)
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
