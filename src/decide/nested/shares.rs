//! Each service's share of the hosts.

use std::collections::{BTreeSet, HashMap};

use crate::base::ids::{CentreName, ServiceName};
use crate::base::member::FleetView;

/// Each service's share of the hosts that have a target, which is the probability that a call of
/// a client comes from one of its hosts.
///
/// An entry prefers targets in its own data centre, so the calls that a guard gets come mostly
/// from hosts of one data centre. Therefore the share is that of the data centre in which it is
/// the largest, if that is larger than the one in the fleet.
#[derive(Clone, Debug, Default)]
pub struct ServiceShares {
    shares: HashMap<ServiceName, f64>,
}

impl ServiceShares {
    /// Computes the shares from the members of the fleet.
    #[must_use]
    pub fn of(view: &FleetView) -> Self {
        let mut hosts: HashMap<Option<&CentreName>, usize> = HashMap::new();
        let mut counts: HashMap<(Option<&CentreName>, &ServiceName), usize> = HashMap::new();
        for member in view.serving() {
            let services: BTreeSet<&ServiceName> =
                member.targets.iter().map(|target| &target.service).collect();
            if services.is_empty() {
                continue;
            }
            for scope in [None, Some(&member.data_centre)] {
                *hosts.entry(scope).or_default() += 1;
                for service in &services {
                    *counts.entry((scope, service)).or_default() += 1;
                }
            }
        }
        let mut shares: HashMap<ServiceName, f64> = HashMap::new();
        for ((scope, service), count) in counts {
            let share = count as f64 / hosts[&scope] as f64;
            let largest = shares.entry(service.clone()).or_default();
            *largest = largest.max(share);
        }
        Self { shares }
    }

    /// Returns a service's share of the hosts; one for an unknown service, whose calls therefore
    /// say nothing.
    #[must_use]
    pub fn share(&self, service: &ServiceName) -> f64 {
        self.shares.get(service).copied().unwrap_or(1.0)
    }
}
