//! Messages that other programs write: only a complete and valid heartbeat adds a target,
//! and arbitrary bytes are decoded or refused without a panic.

#[path = "common/seeded.rs"]
mod seeded;

use http::Method;
use proptest::prelude::*;
use railspan::{ControlRequest, GossipMessage, LoadReport, TargetReport, adapter, decode};
use seeded::seeded;
use serde_json::{Value, json};

fn parse_heartbeat(body: &[u8]) -> Option<TargetReport> {
    let path = "/instances/i-1/heartbeat";
    let request = ControlRequest { method: &Method::POST, path, body };
    (adapter().parse_report)(&request).ok()
}

fn valid_heartbeat() -> Value {
    json!({
        "address": "10.1.0.8:8301", "born": 1_768_651_867_000_u64,
        "info": {"service": "grillas", "version": "v1", "zone": "z", "slots": 11},
        "status": {"state": "ready", "sequence": 4, "cold_remaining": "0ms"},
    })
}

/// Returns a strategy for values of every JSON type.
fn any_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
        Just(json!([])),
        Just(json!({})),
    ]
}

/// JSON pointers to the fields that a heartbeat must have.
const REQUIRED_FIELDS: [&str; 8] = [
    "/address",
    "/info",
    "/status",
    "/info/service",
    "/info/slots",
    "/status/state",
    "/status/sequence",
    "/status/cold_remaining",
];

proptest! {
    #![proptest_config(seeded(500))]

    #[test]
    fn arbitrary_bytes_are_refused_as_heartbeats_and_never_cause_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(parse_heartbeat(&bytes).is_none());
        // Gossip messages and load reports may be decoded or refused, but must not panic.
        drop(decode::<GossipMessage>(&bytes));
        drop(decode::<LoadReport>(&bytes));
    }

    #[test]
    fn a_heartbeat_with_a_field_of_another_type_is_refused(field in 0_usize..REQUIRED_FIELDS.len(), value in any_value()) {
        let mut body = valid_heartbeat();
        let original = body.pointer_mut(REQUIRED_FIELDS[field]).expect("field");
        let same_type = std::mem::discriminant(&*original) == std::mem::discriminant(&value);
        *original = value;
        if !same_type {
            prop_assert!(parse_heartbeat(body.to_string().as_bytes()).is_none(), "{body}");
        }
    }

    #[test]
    fn a_truncated_heartbeat_is_refused(length in 0_usize..200) {
        let text = valid_heartbeat().to_string();
        prop_assert!(parse_heartbeat(&text.as_bytes()[..length.min(text.len() - 1)]).is_none());
    }
}

#[test]
fn a_valid_heartbeat_is_parsed_with_and_without_a_start_time() {
    let Some(TargetReport::Alive { started_at_ms, sequence, .. }) =
        parse_heartbeat(valid_heartbeat().to_string().as_bytes())
    else {
        panic!("a valid heartbeat was refused")
    };
    assert_eq!((started_at_ms, sequence), (Some(1_768_651_867_000), 4));
    let mut without_start_time = valid_heartbeat();
    without_start_time.as_object_mut().expect("object").remove("born");
    assert!(parse_heartbeat(without_start_time.to_string().as_bytes()).is_some());
}

#[test]
fn a_leave_message_with_a_malformed_body_is_refused() {
    let path = "/instances/i-1/leave";
    let parse_leave = |body: &[u8]| {
        let request = ControlRequest { method: &Method::POST, path, body };
        (adapter().parse_report)(&request)
    };
    let refusal = parse_leave(b"{\"born\":\"now\"}").expect_err("refused");
    assert_eq!(refusal.status.as_u16(), 400);
    assert!(matches!(parse_leave(b""), Ok(TargetReport::Leaving { started_at_ms: None, .. })));
    assert!(matches!(
        parse_leave(b"{\"born\":9}"),
        Ok(TargetReport::Leaving { started_at_ms: Some(9), .. })
    ));
}
