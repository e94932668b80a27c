//! Routes of a deployment: which one holds, and on which terms.

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

fn named<'a>(config: &'a FleetConfig, host: &str, path: &str) -> Option<&'a str> {
    config.route(host, path).map(|route| route.name.as_str())
}

#[test]
fn the_longest_prefix_of_the_host_holds() {
    let config = config(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ]);
    assert_eq!(named(&config, "a.example", "/x/y/z/1"), Some("long"));
    assert_eq!(named(&config, "a.example", "/x/yy"), Some("short"));
    assert_eq!(named(&config, "A.Example:8080", "/x/y/"), Some("long"));
    assert_eq!(named(&config, "b.example", "/x/y/1"), None);
    assert_eq!(named(&config, "a.example", "/"), None);
}

#[test]
fn a_configuration_survives_its_way_between_daemons() {
    let whole = config(vec![route("r", "a.example", "/x/")]);
    let text = serde_json::to_string(&whole).expect("text");
    assert_eq!(serde_json::from_str::<FleetConfig>(&text).expect("read"), whole);
}

proptest! {
    #![proptest_config(seeded(200))]

    /// No shorter prefix that fits wins, whatever the order of the routes.
    #[test]
    fn no_other_route_that_fits_is_longer(
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

    /// Of any 300 requests that 69 entries draw, each for itself, each part gets its
    /// weight's share within a tenth; a part without weight gets nothing.
    #[test]
    fn a_split_is_kept_by_the_fleet(weights in proptest::collection::vec(0_u32..100, 1..4), seed: u64) {
        prop_assume!(weights.iter().sum::<u32>() > 0);
        let mut split = route("split", "a.example", "/");
        split.services = weights
            .iter()
            .enumerate()
            .map(|(part, weight)| WeightedService { service: (*format!("part-{part}")).into(), weight: *weight })
            .collect();
        let mut entries: Vec<Pcg64Mcg> =
            (0..69).map(|entry| Pcg64Mcg::seed_from_u64(seed.wrapping_add(entry))).collect();
        let drawn: Vec<ServiceName> =
            (0..1_500).map(|turn| split.choose_service(&mut entries[turn * 31 % 69]).clone()).collect();
        let whole = f64::from(weights.iter().sum::<u32>());
        for span in drawn.windows(300).step_by(50) {
            for target in &split.services {
                let got = span.iter().filter(|service| **service == target.service).count();
                let off = got as f64 / 300.0 - f64::from(target.weight) / whole;
                prop_assert!(off.abs() < 0.1, "{off} at {target:?}");
                prop_assert!(target.weight > 0 || got == 0);
            }
        }
    }
}
