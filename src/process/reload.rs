//! Reload of settings while a daemon runs.

use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::signal::unix::Signal;

use crate::base::findings::FindingList;
use crate::decide::retry::RetryShare;
use crate::duty::confirmation::SharedConfirmation;
use crate::duty::events::{EntryEvent, GuardEvent};
use crate::process::adapter::{DeploymentAdapter, DeploymentTerms};
use crate::process::admin::AdminRings;
use crate::process::settings::DaemonSettings;

/// Fraction of the retries allowed by the terms that is divided among the daemons.
///
/// The rest is a reserve for retries at the edges of a window and for repeated nested calls.
const RETRY_FRACTION: f64 = 0.5;

/// Interval at which the settings are read again, since they may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Returns a daemon's share of the retries that the terms allow.
pub(crate) fn retry_share(terms: Option<DeploymentTerms>) -> RetryShare {
    terms.map_or_else(RetryShare::default, |terms| RetryShare {
        tokens_per_success: terms.retry_ratio * RETRY_FRACTION,
        max_tokens: terms.retry_slack * RETRY_FRACTION,
        divided: true,
    })
}

/// Parses the terms of a deployment; terms that can't be parsed are logged and skipped.
pub(crate) fn parse_terms(
    adapter: &DeploymentAdapter,
    text: &str,
    logger: &Logger,
) -> DeploymentTerms {
    let parsed = (adapter.parse_terms)(text);
    for error in &parsed.errors {
        warn!(logger, "invalid term"; "why" => error);
    }
    parsed.terms
}

/// Inputs and state of reloads.
pub(crate) struct SettingsReloader {
    pub(crate) reload: Box<dyn Fn() -> Result<DaemonSettings, FindingList> + Send>,
    pub(crate) adapter: &'static DeploymentAdapter,
    /// Shared with the duties.
    pub(crate) confirmation: SharedConfirmation,
    /// Terms that the duties use now.
    pub(crate) current_terms: Option<DeploymentTerms>,
}

/// Reloads the settings on every hangup signal, and every [`RELOAD_INTERVAL`] without one.
///
/// Of a running daemon, only the deployment's terms can change, apart from `grace`, which is
/// read at the start only. If the settings can't be read, the previous ones stay in force.
pub(crate) async fn run_reloads(
    mut reloader: SettingsReloader,
    hangup: &mut Signal,
    rings: &AdminRings,
    logger: &Logger,
) {
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(RELOAD_INTERVAL) => false,
        };
        let settings = match (reloader.reload)() {
            Ok(settings) => settings,
            Err(findings) => {
                warn!(logger, "invalid settings"; "findings" => %findings);
                continue;
            }
        };
        let deployment = settings.deployment.as_ref();
        let terms =
            deployment.map(|deployment| parse_terms(reloader.adapter, &deployment.terms, logger));
        let changed = terms != reloader.current_terms;
        if changed || signalled {
            info!(logger, "settings reloaded"; "signalled" => signalled, "changed" => changed);
        }
        if let Some(terms) = terms.filter(|_terms| changed) {
            let DeploymentTerms { target_lease: lease, cold, quota, .. } = terms;
            let retries = retry_share(Some(terms));
            let deadline = terms.config_deadline.into();
            reloader.confirmation.set_terms(terms.revocation_bound(), Some(deadline));
            let entry_sent = rings.entry.push(EntryEvent::Settings { retries, quota }).is_ok();
            let guard_sent = rings.guard.push(GuardEvent::Settings { lease, cold, quota }).is_ok();
            if entry_sent && guard_sent {
                reloader.current_terms = Some(terms);
            }
        }
    }
}
