//! Calls that the target on this host makes while it serves others.

use std::collections::HashSet;

use super::EntryDuty;
use crate::call::entry::intake::CallerCall;
use crate::duty::events::{GuardEvent, NestedEnd};

/// Maximum number of routes that are remembered; a target calls a few services.
const MAX_ROUTES: usize = 1_024;

/// Routes that guards take for routes that only targets call.
#[derive(Debug, Default)]
pub(super) struct NestedRoutes {
    routes: HashSet<String>,
}

impl NestedRoutes {
    /// Records what a guard found about a route.
    pub(super) fn record(&mut self, route: &str, nested: bool) {
        if !nested {
            self.routes.remove(route);
        } else if !self.routes.contains(route) && self.routes.len() < MAX_ROUTES {
            self.routes.insert(route.to_owned());
        }
    }

    /// Returns whether only targets call a route, as far as known.
    pub(super) fn contains(&self, route: &str) -> bool {
        self.routes.contains(route)
    }
}

impl EntryDuty {
    /// Returns whether only targets call a route, as far as known.
    pub(super) fn is_nested_route(&self, route: &str) -> bool {
        self.nested_routes.borrow().contains(route)
    }

    /// Records what a guard found about the route of a call.
    pub(super) fn record_nested_route(&self, call: &CallerCall, nested: bool) {
        self.nested_routes.borrow_mut().record(&call.options.kind, nested);
    }

    /// Reports the end of a nested call to the guard of this host.
    pub(super) fn report_nested_end(&self, call: &CallerCall, answered: bool) {
        let end = NestedEnd {
            route: call.options.kind.clone(),
            service: call.service.clone(),
            answered,
            took: self.clock.now().since(call.arrived_at),
        };
        if self.guard.push(GuardEvent::NestedEnded(end)).is_err() {
            self.metrics.ring_drops.with_label_values(&["guard"]).inc();
        }
    }
}
