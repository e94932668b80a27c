//! Calls that the target on this host makes while it serves others.

use std::collections::HashSet;
use std::rc::Rc;

use http::StatusCode;

use super::EntryDuty;
use crate::base::clock::MicroTime;
use crate::base::ids::ServiceName;
use crate::call::entry::intake::CallerCall;
use crate::duty::events::{GuardEvent, NestedEnd};
use crate::rules::route::RouteRule;

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

    /// Drops the routes that a new configuration does not have.
    pub(super) fn retain(&mut self, rules: &[RouteRule]) {
        self.routes.retain(|route| rules.iter().any(|rule| rule.name == *route));
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

    /// Returns a handle that reports the end of a call to the guard of this host, if the target
    /// on this host made the call.
    pub(super) fn watch_nested_end(self: &Rc<Self>, call: &CallerCall) -> Option<NestedCall> {
        call.nested.then(|| NestedCall {
            duty: Rc::clone(self),
            arrived_at: call.arrived_at,
            route: call.options.kind.clone(),
            service: call.service.clone(),
            answered: false,
        })
    }

    /// Reports the end of a nested call to the guard of this host.
    fn report_nested_end(&self, end: NestedEnd) {
        if self.guard.push(GuardEvent::NestedEnded(end)).is_err() {
            self.metrics.ring_drops.with_label_values(&["guard"]).inc();
        }
    }
}

/// A nested call whose end is reported when this is dropped, as unanswered unless
/// [`Self::finish`] was called: its caller has disconnected.
pub(super) struct NestedCall {
    duty: Rc<EntryDuty>,
    arrived_at: MicroTime,
    route: String,
    service: ServiceName,
    answered: bool,
}

impl NestedCall {
    /// Ends the call with its response; a run that gets a server error has no use of it.
    pub(super) fn finish(mut self, status: StatusCode) {
        self.answered = !status.is_server_error();
    }
}

impl Drop for NestedCall {
    fn drop(&mut self) {
        self.duty.report_nested_end(NestedEnd {
            route: std::mem::take(&mut self.route),
            service: self.service.clone(),
            answered: self.answered,
            took: self.duty.clock.now().since(self.arrived_at),
        });
    }
}
