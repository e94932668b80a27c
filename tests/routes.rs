//! Routes of a deployment: which one a request matches, and how it splits requests by weight.

#[path = "common/seeded.rs"]
mod seeded;

use proptest::prelude::*;
use railspan::{FleetConfig, RouteRule, ServiceName, WeightedService};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use seeded::seeded;

fn route(name: &str, host: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        services: vec![WeightedService { service: "grillas".into(), weight: 1 }],
        repeatable: true,
        timeout_ms: Some(800),
        objective_ms: Some(200),
        rank: 1,
        attempts: Some(2),
        public: false,
    }
}

fn config(routes: Vec<RouteRule>) -> FleetConfig {
    FleetConfig { routes, ..FleetConfig::default() }
}

/// Returns the name of the route that a request matches.
fn route_name<'a>(config: &'a FleetConfig, host: &str, path: &str) -> Option<&'a str> {
    config.route(host, path).map(|route| route.name.as_str())
}

#[test]
fn the_route_with_the_longest_prefix_of_the_host_is_used() {
    let config = config(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ]);
    assert_eq!(route_name(&config, "a.example", "/x/y/z/1"), Some("long"));
    assert_eq!(route_name(&config, "a.example", "/x/yy"), Some("short"));
    assert_eq!(route_name(&config, "A.Example:8080", "/x/y/"), Some("long"));
    assert_eq!(route_name(&config, "b.example", "/x/y/1"), None);
    assert_eq!(route_name(&config, "a.example", "/"), None);
}

#[test]
fn a_configuration_is_unchanged_after_serialisation() {
    let original = config(vec![route("r", "a.example", "/x/")]);
    let text = serde_json::to_string(&original).expect("serialises");
    assert_eq!(serde_json::from_str::<FleetConfig>(&text).expect("parses"), original);
}

proptest! {
    #![proptest_config(seeded(200))]

    /// The matching route with the longest prefix is used, whatever the order of the routes.
    #[test]
    fn no_matching_route_has_a_longer_prefix(
        prefixes in proptest::collection::vec("/([ab]/){0,3}", 1..8),
        path in "/([ab]/){0,4}",
    ) {
        let routes: Vec<RouteRule> =
            prefixes.iter().map(|prefix| route(prefix, "a.example", prefix)).collect();
        let config = config(routes);
        let longest = prefixes.iter().filter(|prefix| path.starts_with(*prefix)).map(String::len).max();
        let chosen = config.route("a.example", &path).map(|route| route.prefix.len());
        prop_assert_eq!(chosen, longest);
    }
}

proptest! {
    #![proptest_config(seeded(60))]

    /// 69 entries choose independently. Of 300 consecutive requests, each service gets its share by
    /// weight within a tenth of all requests, and a service of weight zero gets none.
    #[test]
    fn a_split_follows_the_weights_over_all_entries(weights in proptest::collection::vec(0_u32..100, 1..4), seed: u64) {
        prop_assume!(weights.iter().sum::<u32>() > 0);
        let mut split = route("split", "a.example", "/");
        split.services = weights
            .iter()
            .enumerate()
            .map(|(index, weight)| WeightedService { service: (*format!("part-{index}")).into(), weight: *weight })
            .collect();
        let mut entries: Vec<Pcg64Mcg> =
            (0..69).map(|entry| Pcg64Mcg::seed_from_u64(seed.wrapping_add(entry))).collect();
        let chosen: Vec<ServiceName> =
            (0..1_500).map(|number| split.choose_service(&mut entries[number * 31 % 69]).clone()).collect();
        let total_weight = f64::from(weights.iter().sum::<u32>());
        for span in chosen.windows(300).step_by(50) {
            for weighted in &split.services {
                let count = span.iter().filter(|service| **service == weighted.service).count();
                let deviation = count as f64 / 300.0 - f64::from(weighted.weight) / total_weight;
                prop_assert!(deviation.abs() < 0.1, "share is off by {deviation} for {weighted:?}");
                prop_assert!(weighted.weight > 0 || count == 0);
            }
        }
    }
}
