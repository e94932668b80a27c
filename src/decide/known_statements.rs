//! What entries remember of the targets' statements, beyond the life of a guard.
//!
//! A guard that restarts has forgotten what its target stated. The entries that got answers
//! through the earlier guard pass it on with their calls.

use std::collections::HashMap;

use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::base::ids::{DaemonIncarnation, ServiceName, TargetName};
use crate::base::load_report::TargetStatement;

/// Time for which a statement is remembered after the last report of its guard.
const RETENTION: MicroTime = MicroTime::from_millis(120_000);

/// A statement, and the guard that reported it.
#[derive(Clone, Copy, Debug, Serialize)]
struct KnownStatement {
    statement: TargetStatement,
    guard: DaemonIncarnation,
    reported_at: MicroTime,
}

/// Statements of targets that limit what they get; other statements are not kept.
///
/// Invariant: the latest report of the guard that reported a statement is the one kept; the
/// report of a later guard replaces it once the target has answered that guard.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KnownStatements {
    by_service: HashMap<ServiceName, HashMap<TargetName, KnownStatement>>,
}

impl KnownStatements {
    /// Records the statement in a load report of a target's guard; `None` if the target has not
    /// answered the guard yet.
    pub fn record(
        &mut self,
        now: MicroTime,
        service: &ServiceName,
        target: &TargetName,
        guard: DaemonIncarnation,
        statement: Option<TargetStatement>,
    ) {
        let targets = self.by_service.get_mut(service);
        let known = targets.and_then(|targets| targets.get_mut(target));
        if let Some(known) = known {
            if known.guard != guard && statement.is_none() {
                return;
            }
            *known = KnownStatement {
                statement: statement.unwrap_or_default(),
                guard,
                reported_at: now,
            };
        } else if let Some(statement) = statement.filter(|new| *new != TargetStatement::default()) {
            let targets = self.by_service.entry(service.clone()).or_default();
            let known = KnownStatement { statement, guard, reported_at: now };
            targets.insert(target.clone(), known);
        }
    }

    /// Returns what a target stated to an earlier guard than the present one, `guard`.
    #[must_use]
    pub fn earlier(
        &self,
        service: &ServiceName,
        target: &TargetName,
        guard: DaemonIncarnation,
    ) -> Option<TargetStatement> {
        let known = self.by_service.get(service)?.get(target)?;
        (known.guard != guard).then_some(known.statement)
    }

    /// Forgets statements that limit nothing, and those not reported for [`RETENTION`].
    pub fn expire(&mut self, now: MicroTime) {
        let is_current = |known: &KnownStatement| {
            known.statement != TargetStatement::default()
                && now.since(known.reported_at) < RETENTION
        };
        for targets in self.by_service.values_mut() {
            targets.retain(|_, known| is_current(known));
        }
        self.by_service.retain(|_, targets| !targets.is_empty());
    }
}
