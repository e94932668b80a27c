//! Settings that change while a daemon runs.

use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::signal::unix::Signal;

use crate::base::findings::FindingList;
use crate::decide::retry::RetryShare;
use crate::duty::events::{EntryEvent, GuardEvent};
use crate::process::adapter::{DeploymentAdapter, DeploymentTerms};
use crate::process::admin::AdminRings;
use crate::process::settings::DaemonSettings;

/// Part of the fleet's further tries that the daemons share out.
///
/// The rest is left for what a window's edges and repeated inner calls add.
const RETRY_PART: f64 = 0.5;

/// Time between two looks at settings that may have changed without a signal.
const SETTINGS_EVERY: Duration = Duration::from_secs(5);

/// Returns a daemon's part of the further tries that the terms allow.
pub(crate) fn retry_share(terms: Option<DeploymentTerms>) -> RetryShare {
    terms.map_or_else(RetryShare::default, |terms| RetryShare {
        earned: terms.retry_ratio * RETRY_PART,
        saved: terms.retry_slack * RETRY_PART,
        divided: true,
    })
}

/// Reads the terms of a deployment; what can't be read is told and left out.
pub(crate) fn read_terms(
    adapter: &DeploymentAdapter,
    text: &str,
    logger: &Logger,
) -> DeploymentTerms {
    let read = (adapter.read_terms)(text);
    for fault in &read.faults {
        warn!(logger, "term unreadable"; "why" => fault);
    }
    read.terms
}

/// What a reload needs.
pub(crate) struct Reloading {
    pub(crate) reload: Box<dyn Fn() -> Result<DaemonSettings, FindingList> + Send>,
    pub(crate) adapter: &'static DeploymentAdapter,
    pub(crate) in_force: Option<DeploymentTerms>,
}

/// Takes over changed settings, upon a signal and now and then without one.
///
/// Of a running daemon only the deployment's terms change; addresses are
/// bound for its life. Settings that can't be read leave the old in force.
pub(crate) async fn reload_always(
    mut reloading: Reloading,
    hang_up: &mut Signal,
    rings: &AdminRings,
    logger: &Logger,
) {
    loop {
        let signalled = tokio::select! {
            _ = hang_up.recv() => true,
            () = tokio::time::sleep(SETTINGS_EVERY) => false,
        };
        let settings = match (reloading.reload)() {
            Ok(settings) => settings,
            Err(findings) => {
                warn!(logger, "settings refused"; "findings" => %findings);
                continue;
            }
        };
        let deployment = settings.deployment.as_ref();
        let terms = deployment.map(|set| read_terms(reloading.adapter, &set.terms, logger));
        let changed = terms != reloading.in_force;
        if changed || signalled {
            info!(logger, "settings reloaded"; "signalled" => signalled, "changed" => changed);
        }
        if let Some(terms) = terms.filter(|_terms| changed) {
            let DeploymentTerms { target_lease: lease, cold, quota, .. } = terms;
            let retries = retry_share(Some(terms));
            let entry = rings.entry.push(EntryEvent::Settings { retries, quota }).is_ok();
            let guard = rings.guard.push(GuardEvent::Settings { lease, cold, quota }).is_ok();
            if entry && guard {
                reloading.in_force = Some(terms);
            }
        }
    }
}
