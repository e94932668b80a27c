//! What an entry knows of all targets, by service.
//!
//! Pure: the fleet's view comes in, choices go out by a policy of `selection`.

use std::collections::{BTreeSet, HashMap};

use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::base::digest::RequestDigest;
use crate::base::ids::{CentreName, ServiceName, TargetName};
use crate::base::member::FleetView;
use crate::decide::benefit;
use crate::decide::selection::{
    CallEstimate, SelectionInput, SelectionPolicy, TargetLocation, TargetRecord,
};

/// The targets of one service as an entry sees them.
#[derive(Debug, Default, Serialize)]
pub struct ServiceTargets {
    /// The targets, in no particular order.
    pub targets: Vec<TargetRecord>,
    turn: usize,
}

impl ServiceTargets {
    /// Makes the targets of one service.
    #[must_use]
    pub const fn new(targets: Vec<TargetRecord>) -> Self {
        Self { targets, turn: 0 }
    }

    /// Chooses a target that is not in `tried`, or any untried if all are avoided.
    pub fn choose(
        &mut self,
        now: MicroTime,
        policy: &SelectionPolicy,
        tried: &[TargetName],
        rng: &mut Pcg64Mcg,
    ) -> Option<usize> {
        self.choose_for(now, policy, tried, &CallEstimate::default(), rng)
    }

    /// Chooses as [`Self::choose`] does, for a call that something is known of.
    pub fn choose_for(
        &mut self,
        now: MicroTime,
        policy: &SelectionPolicy,
        tried: &[TargetName],
        estimate: &CallEstimate,
        rng: &mut Pcg64Mcg,
    ) -> Option<usize> {
        let untried = |&index: &usize| !tried.contains(&self.targets[index].name);
        let mut eligible: Vec<usize> = (0..self.targets.len()).filter(untried).collect();
        let is_calm = |&index: &usize| !self.targets[index].is_avoided(now);
        let calm: Vec<usize> = eligible.iter().copied().filter(is_calm).collect();
        if !calm.is_empty() {
            eligible = calm;
        }
        if eligible.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        let input = SelectionInput {
            now,
            targets: &self.targets,
            eligible: &eligible,
            turn: self.turn,
            estimate,
        };
        let index = (policy.choose)(&input, rng);
        self.targets[index].outstanding += 1;
        Some(index)
    }

    /// Chooses for a request that may end the target that runs it: the one that every
    /// entry chooses, of those that would serve it in time, so that several copies at
    /// once end one target and not one each. Nothing where none would.
    pub fn choose_by_digest(
        &mut self,
        now: MicroTime,
        digest: RequestDigest,
        tried: &[TargetName],
        estimate: &CallEstimate,
    ) -> Option<usize> {
        let fits = |target: &TargetRecord| {
            !tried.contains(&target.name) && benefit::is_promising(target, now, estimate)
        };
        let order = |target: &TargetRecord| {
            RequestDigest::of(&[&digest.0.to_le_bytes(), target.name.as_str().as_bytes()])
        };
        let fitting = self.targets.iter().enumerate().filter(|(_, target)| fits(target));
        let (index, _) = fitting.max_by_key(|(_, target)| order(target))?;
        self.targets[index].outstanding += 1;
        Some(index)
    }

    /// Finds a target by name.
    pub fn find(&mut self, name: &TargetName) -> Option<&mut TargetRecord> {
        self.targets.iter_mut().find(|target| target.name == *name)
    }
}

/// Everything an entry knows of targets, by service.
#[derive(Debug, Default, Serialize)]
pub struct TargetRegistry {
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceTargets>,
}

impl TargetRegistry {
    /// Finds a target of a service by name.
    pub fn find(&mut self, service: &ServiceName, name: &TargetName) -> Option<&mut TargetRecord> {
        self.services.get_mut(service)?.find(name)
    }

    /// Takes over who is there, keeping what is known of those that stay.
    ///
    /// `centre` is the entry's own data centre; those in `evacuated` have no targets.
    pub fn update(
        &mut self,
        now: MicroTime,
        view: &FleetView,
        centre: &CentreName,
        evacuated: &BTreeSet<CentreName>,
    ) {
        let mut fresh: HashMap<ServiceName, ServiceTargets> = HashMap::new();
        for member in view.serving().filter(|member| !evacuated.contains(&member.data_centre)) {
            let place = TargetLocation {
                host: member.host.clone(),
                data_centre: member.data_centre.clone(),
                incarnation: member.incarnation,
                guard: member.guard,
            };
            for target in member.targets.iter().filter(|target| target.ready) {
                let known = self.take(&target.service, &target.name, &place);
                let joins = || {
                    TargetRecord::new(target.name.clone(), Some(place.clone()), target.slots, now)
                };
                let mut record = known.unwrap_or_else(joins);
                record.remote = member.data_centre != *centre;
                record.suspect = member.is_suspect();
                fresh.entry(target.service.clone()).or_default().targets.push(record);
            }
        }
        self.services = fresh;
    }

    fn take(
        &mut self,
        service: &ServiceName,
        name: &TargetName,
        place: &TargetLocation,
    ) -> Option<TargetRecord> {
        let targets = &mut self.services.get_mut(service)?.targets;
        let same =
            |target: &TargetRecord| target.name == *name && target.location.as_ref() == Some(place);
        let index = targets.iter().position(same)?;
        Some(targets.swap_remove(index))
    }
}
