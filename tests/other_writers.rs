//! Heartbeats and configurations of other writers: whatever their bytes, nothing but a
//! whole and proper one names a target or comes in force.

#[path = "common/seeded.rs"]
mod seeded;

use http::Method;
use proptest::prelude::*;
use railspan::{ControlRequest, GossipMessage, LoadReport, TargetReport, adapter, decode};
use seeded::seeded;
use serde_json::{Value, json};

fn read(body: &[u8]) -> Option<TargetReport> {
    let path = "/instances/i-1/heartbeat";
    let request = ControlRequest { method: &Method::POST, path, body };
    (adapter().parse_report)(&request).ok()
}

fn heartbeat() -> Value {
    json!({
        "address": "10.1.0.8:8301", "born": 1_768_651_867_000_u64,
        "info": {"service": "grillas", "version": "v1", "zone": "z", "slots": 11},
        "status": {"state": "ready", "sequence": 4, "cold_remaining": "0ms"},
    })
}

/// Values of every type that JSON has.
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

/// The fields that a heartbeat must have, as pointers into it.
const FIELDS: [&str; 8] = [
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
    fn any_bytes_are_read_without_harm(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(read(&bytes).is_none());
        // A datagram or a report that can't be read is nothing; no more is asked.
        drop(decode::<GossipMessage>(&bytes));
        drop(decode::<LoadReport>(&bytes));
    }

    #[test]
    fn a_field_of_another_type_names_no_target(field in 0_usize..FIELDS.len(), value in any_value()) {
        let mut body = heartbeat();
        let place = body.pointer_mut(FIELDS[field]).expect("field");
        let same_type = std::mem::discriminant(&*place) == std::mem::discriminant(&value);
        *place = value;
        if !same_type {
            prop_assert!(read(body.to_string().as_bytes()).is_none(), "{body}");
        }
    }

    #[test]
    fn a_heartbeat_that_is_cut_off_names_no_target(length in 0_usize..200) {
        let whole = heartbeat().to_string();
        prop_assert!(read(&whole.as_bytes()[..length.min(whole.len() - 1)]).is_none());
    }
}

#[test]
fn a_whole_heartbeat_is_read() {
    let Some(TargetReport::Alive { started_at_ms, sequence, .. }) =
        read(heartbeat().to_string().as_bytes())
    else {
        panic!("a heartbeat")
    };
    assert_eq!((started_at_ms, sequence), (Some(1_768_651_867_000), 4));
    let mut without_birth = heartbeat();
    without_birth.as_object_mut().expect("object").remove("born");
    assert!(read(without_birth.to_string().as_bytes()).is_some());
}

#[test]
fn an_end_with_a_body_that_cannot_be_read_ends_nothing() {
    let path = "/instances/i-1/leave";
    let read = |body: &[u8]| {
        let request = ControlRequest { method: &Method::POST, path, body };
        (adapter().parse_report)(&request)
    };
    let refused = read(b"{\"born\":\"now\"}").expect_err("no end");
    assert_eq!(refused.status.as_u16(), 400);
    assert!(matches!(read(b""), Ok(TargetReport::Leaving { started_at_ms: None, .. })));
    assert!(matches!(
        read(b"{\"born\":9}"),
        Ok(TargetReport::Leaving { started_at_ms: Some(9), .. })
    ));
}
