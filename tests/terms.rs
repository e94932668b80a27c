//! Terms of a deployment: how the settings template passes them on and how they are parsed.

use std::time::Duration;

/// Fills in the template's list of terms as the platform does, from a table with the name of a term
/// as the key and its value as the entry.
fn render_terms(template: &str, terms: &[(&str, &str)]) -> String {
    let line = template.lines().find(|line| line.contains("\"terms\"")).expect("terms");
    let (before, rest) = line.split_once("{{#contract_params}}").expect("section");
    let (entry, _) = rest.split_once("{{/contract_params}}").expect("end of section");
    let entries: String = terms
        .iter()
        .map(|(name, value)| entry.replace("{{@}}", name).replace("{{.}}", value))
        .collect();
    let start = before.split_once(": \"").expect("value").1;
    start.replace("{{heartbeat}}", "1500ms") + &entries
}

#[test]
fn the_template_passes_on_every_term_with_its_name() {
    let template = include_str!("../platform/settings.jsonc");
    let terms = [("grace", "7s"), ("retry_budget_ratio", "0.3"), ("budget_slack", "216")];
    let text = render_terms(template, &terms);
    let parsed = (railspan::adapter().parse_terms)(&text);
    assert_eq!(parsed.errors, Vec::<String>::new(), "{text}");
    assert_eq!(parsed.terms.grace, Duration::from_secs(7));
    assert_eq!(parsed.terms.target_lease, Duration::from_secs(6));
    assert!((parsed.terms.retry_ratio - 0.3).abs() < 1e-9);
    assert!((parsed.terms.retry_slack - 216.0).abs() < 1e-9);
}

/// The bound on revoked tokens must hold only where the deployment asks for it.
#[test]
fn revocations_have_a_bound_only_if_the_terms_say_so() {
    let strict = |text: &str| (railspan::adapter().parse_terms)(text).terms.strict_revocation;
    assert!(strict("revoke=4000ms,strict_revocation=true"));
    assert!(!strict("revoke=4000ms,strict_revocation=false"));
    assert!(!strict("revoke=4000ms"));
    let parsed = (railspan::adapter().parse_terms)("strict_revocation=true,revoke=4000ms");
    assert_eq!(parsed.terms.revoke, Duration::from_secs(4));
}

/// With a shorter time, one lost datagram would have valid tokens refused.
#[test]
fn a_time_to_revoke_that_daemons_cannot_confirm_is_invalid() {
    let parse = |text: &str| (railspan::adapter().parse_terms)(text);
    assert_eq!(parse("revoke=2000ms").errors, Vec::<String>::new());
    let parsed = parse("strict_revocation=true,revoke=1999ms");
    assert_eq!(parsed.errors.len(), 1, "{:?}", parsed.errors);
    assert_eq!(parsed.terms.revoke, railspan::DeploymentTerms::default().revoke);
}

/// With a shorter time, a read of the store and its way to all daemons would take longer.
#[test]
fn a_deadline_of_configurations_that_daemons_cannot_meet_is_invalid() {
    let parse = |text: &str| (railspan::adapter().parse_terms)(text);
    let parsed = parse("config_deadline=2.5s");
    assert_eq!(
        (parsed.errors.len(), parsed.terms.config_deadline),
        (0, Duration::from_millis(2_500))
    );
    let parsed = parse("config_deadline=499ms");
    assert_eq!(parsed.errors.len(), 1, "{:?}", parsed.errors);
    let default = railspan::DeploymentTerms::default().config_deadline;
    assert_eq!(parsed.terms.config_deadline, default);
}

#[test]
fn an_invalid_term_is_reported_and_the_others_are_used() {
    let parsed = (railspan::adapter().parse_terms)("heartbeat=1s,0.2,grace=soon,budget_slack=9");
    assert_eq!(parsed.errors.len(), 2, "{:?}", parsed.errors);
    assert_eq!(parsed.terms.grace, railspan::DeploymentTerms::default().grace);
    assert!((parsed.terms.retry_slack - 9.0).abs() < 1e-9);
}
