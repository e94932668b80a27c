//! Targets known to an entry, by service.
//!
//! The registry is updated from the fleet view; targets are chosen by a policy of `selection`.

use std::collections::{BTreeSet, HashMap};

use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::base::digest::RequestDigest;
use crate::base::ids::{CentreName, ServiceName, TargetName};
use crate::base::load_report::LoadReport;
use crate::base::member::FleetView;
use crate::decide::benefit;
use crate::decide::known_statements::KnownStatements;
use crate::decide::selection::{
    CallEstimate, SelectionInput, SelectionPolicy, TargetLocation, TargetRecord,
};

/// Targets of one service known to an entry.
#[derive(Debug, Default, Serialize)]
pub struct ServiceTargets {
    /// The targets, in no particular order.
    pub targets: Vec<TargetRecord>,
    /// Number of choices made so far.
    #[serde(rename = "turn")]
    choices_made: usize,
}

impl ServiceTargets {
    /// Creates the set of a service's targets.
    #[must_use]
    pub const fn new(targets: Vec<TargetRecord>) -> Self {
        Self { targets, choices_made: 0 }
    }

    /// Chooses a target that is not in `tried`; one to be avoided only if there is no other.
    ///
    /// Returns its index, and counts a call as outstanding there.
    pub fn choose(
        &mut self,
        now: MicroTime,
        policy: &SelectionPolicy,
        tried: &[TargetName],
        rng: &mut Pcg64Mcg,
    ) -> Option<usize> {
        self.choose_for(now, policy, tried, &CallEstimate::default(), rng)
    }

    /// Chooses like [`Self::choose`], for a call with an estimate of its properties.
    pub fn choose_for(
        &mut self,
        now: MicroTime,
        policy: &SelectionPolicy,
        tried: &[TargetName],
        estimate: &CallEstimate,
        rng: &mut Pcg64Mcg,
    ) -> Option<usize> {
        let untried = |&index: &usize| {
            let target = &self.targets[index];
            !target.left_before() && !tried.contains(&target.name)
        };
        let mut eligible: Vec<usize> = (0..self.targets.len()).filter(untried).collect();
        let is_preferred = |&index: &usize| !self.targets[index].is_avoided(now);
        let preferred: Vec<usize> = eligible.iter().copied().filter(is_preferred).collect();
        if !preferred.is_empty() {
            eligible = preferred;
        }
        if eligible.is_empty() {
            return None;
        }
        self.choices_made = self.choices_made.wrapping_add(1);
        let input = SelectionInput {
            now,
            targets: &self.targets,
            eligible: &eligible,
            choices_made: self.choices_made,
            estimate,
        };
        let index = (policy.choose)(&input, rng);
        self.targets[index].outstanding += 1;
        Some(index)
    }

    /// Chooses a target for a request that is suspected of crashing targets.
    ///
    /// Uses rendezvous hashing over the targets that would likely serve the request in time, so
    /// that all entries choose the same target and several simultaneous copies crash one target
    /// rather than one each. Returns `None` if no target would serve it in time.
    pub fn choose_by_digest(
        &mut self,
        now: MicroTime,
        digest: RequestDigest,
        tried: &[TargetName],
        estimate: &CallEstimate,
    ) -> Option<usize> {
        let is_suitable = |target: &TargetRecord| {
            !target.left_before()
                && !tried.contains(&target.name)
                && benefit::is_promising(target, now, estimate)
        };
        let rank = |target: &TargetRecord| {
            RequestDigest::of(&[&digest.0.to_le_bytes(), target.name.as_str().as_bytes()])
        };
        let suitable = self.targets.iter().enumerate().filter(|(_, target)| is_suitable(target));
        let (index, _) = suitable.max_by_key(|(_, target)| rank(target))?;
        self.targets[index].outstanding += 1;
        Some(index)
    }

    /// Returns how many targets other than the one at `chosen` are not in `tried` and, as far as
    /// known, may start a call before its objective. A call waits at the chosen one or is refused
    /// there at once if there is none, instead of being refused by one after the other.
    #[must_use]
    pub fn count_with_room(
        &self,
        now: MicroTime,
        tried: &[TargetName],
        chosen: usize,
        estimate: &CallEstimate,
    ) -> usize {
        let others = self.targets.iter().enumerate().filter(|(index, target)| {
            *index != chosen
                && !target.left_before()
                && !tried.contains(&target.name)
                && target.rate_wait_us(now) < estimate.objective_us
        });
        others.count()
    }

    /// Returns whether there are targets that are not in `tried`, and all of them state a rate
    /// that is used up for now. Then a full or slow one that was tried may be the better place
    /// to wait.
    #[must_use]
    pub fn only_limited_left(&self, now: MicroTime, tried: &[TargetName]) -> bool {
        let mut untried = self.untried(tried).peekable();
        untried.peek().is_some() && untried.all(|target| target.rate_wait_us(now) > 0.0)
    }

    /// Returns the targets that are left out of the last round of a call: those in `unusable`
    /// and, while others are left, those with a limited rate and no more than one start left. A
    /// call of another entry may take it, and the last attempt would be refused.
    #[must_use]
    pub fn left_out_of_last_round(&self, unusable: &[TargetName]) -> Vec<TargetName> {
        let mut left_out = unusable.to_vec();
        let (limited, others): (Vec<_>, Vec<_>) =
            self.untried(unusable).partition(|target| target.has_contested_start());
        if !others.is_empty() {
            left_out.extend(limited.into_iter().map(|target| target.name.clone()));
        }
        left_out
    }

    /// Returns the targets that are not in `tried` and may get calls.
    fn untried<'a>(&'a self, tried: &'a [TargetName]) -> impl Iterator<Item = &'a TargetRecord> {
        self.targets.iter().filter(|target| !target.left_before() && !tried.contains(&target.name))
    }

    /// Returns the target with a name.
    pub fn find(&mut self, name: &TargetName) -> Option<&mut TargetRecord> {
        self.targets.iter_mut().find(|target| target.name == *name)
    }
}

/// All targets known to an entry, by service.
#[derive(Debug, Default, Serialize)]
pub struct TargetRegistry {
    /// Targets by service name.
    pub services: HashMap<ServiceName, ServiceTargets>,
    /// Statements of targets, also of those that are not in the fleet view.
    pub statements: KnownStatements,
}

impl TargetRegistry {
    /// Records a load report of a target's guard, unless a newer one is known.
    pub fn record_report(
        &mut self,
        now: MicroTime,
        service: &ServiceName,
        name: &TargetName,
        load: LoadReport,
    ) {
        let targets = self.services.get_mut(service);
        let Some(record) = targets.and_then(|targets| targets.find(name)) else { return };
        let guard = record.location.as_ref().map(|location| location.incarnation);
        if record.record_report(now, load)
            && let Some(guard) = guard
        {
            self.statements.record(now, service, name, guard, load.statement);
            record.earlier_statement = self.statements.earlier(service, name, guard);
        }
    }

    /// Returns the target of a service with a name.
    pub fn find(&mut self, service: &ServiceName, name: &TargetName) -> Option<&mut TargetRecord> {
        self.services.get_mut(service)?.find(name)
    }

    /// Updates the registry to a new fleet view; the records of remaining targets are kept.
    ///
    /// `own_centre` is the entry's data centre. Targets of the data centres in `evacuated` are
    /// left out.
    pub fn update(
        &mut self,
        now: MicroTime,
        view: &FleetView,
        own_centre: &CentreName,
        evacuated: &BTreeSet<CentreName>,
    ) {
        let mut updated: HashMap<ServiceName, ServiceTargets> = HashMap::new();
        for member in view.serving().filter(|member| !evacuated.contains(&member.data_centre)) {
            let location = TargetLocation {
                host: member.host.clone(),
                data_centre: member.data_centre.clone(),
                incarnation: member.incarnation,
                guard: member.guard,
            };
            for target in member.targets.iter().filter(|target| target.ready) {
                let known = self.take(&target.service, &target.name, &location);
                let new_record = || {
                    TargetRecord::new(
                        target.name.clone(),
                        Some(location.clone()),
                        target.slots,
                        now,
                    )
                };
                let mut record = known.unwrap_or_else(new_record);
                record.remote = member.data_centre != *own_centre;
                record.suspect = member.is_suspect();
                record.earlier_statement =
                    self.statements.earlier(&target.service, &target.name, member.incarnation);
                updated.entry(target.service.clone()).or_default().targets.push(record);
            }
        }
        self.services = updated;
        self.statements.expire(now);
    }

    /// Removes and returns the record of a target at a location, if it is known.
    fn take(
        &mut self,
        service: &ServiceName,
        name: &TargetName,
        location: &TargetLocation,
    ) -> Option<TargetRecord> {
        let targets = &mut self.services.get_mut(service)?.targets;
        let is_same = |target: &TargetRecord| {
            target.name == *name && target.location.as_ref() == Some(location)
        };
        let index = targets.iter().position(is_same)?;
        Some(targets.swap_remove(index))
    }
}
