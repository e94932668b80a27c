//! The terms of a deployment: from the settings template to what is in force.

use std::time::Duration;

/// Fills the template's list of terms in as the platform does: a table, with the
/// name as its key and the figure as its entry.
fn fill_in(template: &str, terms: &[(&str, &str)]) -> String {
    let line = template.lines().find(|line| line.contains("\"terms\"")).expect("terms");
    let (before, rest) = line.split_once("{{#contract_params}}").expect("section");
    let (entry, _) = rest.split_once("{{/contract_params}}").expect("end of section");
    let entries: String = terms
        .iter()
        .map(|(name, figure)| entry.replace("{{@}}", name).replace("{{.}}", figure))
        .collect();
    let start = before.split_once(": \"").expect("value").1;
    start.replace("{{heartbeat}}", "1500ms") + &entries
}

#[test]
fn the_template_hands_on_every_term_with_its_name() {
    let template = include_str!("../platform/settings.jsonc");
    let terms = [("grace", "7s"), ("retry_budget_ratio", "0.3"), ("budget_slack", "216")];
    let text = fill_in(template, &terms);
    let read = (railspan::adapter().parse_terms)(&text);
    assert_eq!(read.errors, Vec::<String>::new(), "{text}");
    assert_eq!(read.terms.grace, Duration::from_secs(7));
    assert_eq!(read.terms.target_lease, Duration::from_secs(6));
    assert!((read.terms.retry_ratio - 0.3).abs() < 1e-9);
    assert!((read.terms.retry_slack - 216.0).abs() < 1e-9);
}

#[test]
fn a_term_that_cannot_be_read_is_told_and_the_rest_holds() {
    let read = (railspan::adapter().parse_terms)("heartbeat=1s,0.2,grace=soon,budget_slack=9");
    assert_eq!(read.errors.len(), 2, "{:?}", read.errors);
    assert_eq!(read.terms.grace, railspan::DeploymentTerms::default().grace);
    assert!((read.terms.retry_slack - 9.0).abs() < 1e-9);
}
