//! The configurations that a run publishes.

use serde_json::{Value, json};

use super::account_events::{self, AccountState};
use super::capacity_events::COLD_PER_S;
use super::config_events::KEPT_VERSIONS;
use super::fleet::{MAX_ATTEMPTS, SERVICES};
use super::held_events;

/// Returns a configuration with three routes per service, and one for each of the last versions.
pub fn config_text(version: u64, accounts: Option<&AccountState>) -> String {
    let route = |service: &str, name: &str, prefix: &str, kind: &str| {
        json!({
            "name": name, "prefix": prefix, "route_type": kind, "timeout": "3s",
            "target_latency": "1s", "priority": 1, "service": service,
            "max_attempts": MAX_ATTEMPTS,
        })
    };
    let virtual_host =
        |service: &&str| {
            let mut paths = vec![
                route(service, "read", "/read/", "safe"),
                route(service, "write", "/write/", "unsafe"),
                held_events::waiting_route(service),
            ];
            if accounts.is_some() {
                paths.extend(account_events::routes(&route, service));
            }
            let oldest = (version + 1).saturating_sub(KEPT_VERSIONS).max(1);
            let versions = oldest..=version;
            paths.extend(versions.map(|number| {
                route(service, &format!("v{number}"), &format!("/v{number}/"), "safe")
            }));
            json!({"host": format!("{service}.example"), "paths": paths})
        };
    let services: Vec<Value> = SERVICES
        .iter()
        .map(|name| {
            json!({
                "name": name, "health_path": "/health", "max_connections": 220,
                "cold_start": "3s", "cold_per_s": COLD_PER_S,
            })
        })
        .collect();
    let mut config = json!({
        "version": format!("r{version}"),
        "services": services,
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 67_108_864,
            "header_timeout": "3000ms", "idle_timeout": "15000ms",
        },
        "virtual_hosts": SERVICES.iter().map(virtual_host).collect::<Vec<Value>>(),
    });
    if let Some(accounts) = accounts {
        config["tenants"] = accounts.tenants();
    }
    config.to_string()
}
