//! Each configuration that the store may take comes into force, also with values at the ends of their
//! ranges, with values of another form and with fields that are not known here.

mod common;

use std::time::Duration;

use common::hosted::{HostedFleet, SERVICE, platform_config};
use serde_json::{Value, json};
use test_case::test_case;

fn change_route(config: &mut Value, field: &str, value: Value) {
    config["virtual_hosts"][0]["paths"][0][field] = value;
}

fn split_route(config: &mut Value, weights: [Value; 2]) {
    let paths = config["virtual_hosts"][0]["paths"].as_array_mut().expect("paths");
    let route = paths[0].as_object_mut().expect("route");
    route.remove("service");
    let parts = weights.map(|weight| json!({"service": SERVICE, "weight": weight}));
    route.insert("weighted_targets".to_owned(), json!(parts));
}

#[test_case(&|config| config["more"] = json!({"any": [1, "thing"]}); "a field that is not known")]
#[test_case(&|config| change_route(config, "more", json!(null)); "a field of a route that is not known")]
#[test_case(&|config| split_route(config, [json!(0), json!(1)]); "a weight of zero")]
#[test_case(&|config| split_route(config, [json!(0), json!(0)]); "weights of zero only")]
#[test_case(&|config| split_route(config, [json!(u32::MAX), json!(u32::MAX)]); "the greatest weights")]
#[test_case(&|config| split_route(config, [json!(0.5), json!(99.5)]); "weights with fractions")]
#[test_case(&|config| split_route(config, [json!(90.0), json!(10.0)]); "whole weights with a point")]
#[test_case(&|config| change_route(config, "priority", json!(300)); "a priority above 255")]
#[test_case(&|config| change_route(config, "max_attempts", json!(0)); "no attempt")]
#[test_case(&|config| change_route(config, "timeout", json!("0ms")); "no time")]
#[test_case(&|config| change_route(config, "timeout", json!("9999999s")); "a very long time")]
#[test_case(&|config| change_route(config, "timeout", json!("0.25ms")); "a fraction of a millisecond")]
#[test_case(&|config| change_route(config, "target_latency", json!(null)); "a value of null")]
#[test_case(&|config| config["limits"]["max_header_bytes"] = json!(1_u64 << 40); "a very great limit")]
#[test_case(&|config| config["limits"] = json!(null); "no limits")]
#[test_case(&|config| config["services"][0]["cold_per_s"] = json!(1e12); "a very great rate")]
#[test_case(&|config| config["tenants"] = json!([{"name": "a", "api_keys": ["k"], "rate_per_s": null}]); "an account without a rate")]
#[test_case(&|config| config["tenants"] = json!([{"name": "a", "api_keys": [], "priority": 256, "rate_per_s": 1e12, "burst": 1e12}]); "an account with great values")]
fn a_configuration_comes_into_force_with(change: &dyn Fn(&mut Value)) {
    let fleet = HostedFleet::spawn(1, Duration::from_millis(5));
    let mut config: Value = serde_json::from_str(&platform_config(8, SERVICE)).expect("JSON");
    change(&mut config);
    fleet.put_in_force(8, &config.to_string());
}
