//! What targets state about themselves in their answers.

use http::HeaderMap;
use slog::{info, warn};

use super::GuardDuty;
use crate::base::ids::{ServiceName, TargetName};
use crate::base::load_report::StatedRate;
use crate::call::headers::HeaderNames;
use crate::decide::admission::AdmissionEvent;
use crate::decide::rate_limit::RateSource;

/// A header by which a target states something about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeaderStatement<T> {
    /// The header is missing.
    Absent,
    /// The header has a valid value.
    Valid(T),
    /// The header has an invalid value, or several.
    Invalid,
}

impl GuardDuty {
    /// Applies what the headers of an answer state about the target that sent it.
    ///
    /// An invalid statement is counted and changes nothing: it says neither what the target
    /// takes nor that it takes everything.
    pub(super) fn note_statements(
        &self,
        key: &(ServiceName, TargetName),
        answer_headers: &HeaderMap,
        source: RateSource,
    ) {
        match parse_rate(answer_headers, self.header_names) {
            HeaderStatement::Absent => self.note_rate(key, None, source),
            HeaderStatement::Valid(rate) => self.note_rate(key, Some(rate), source),
            HeaderStatement::Invalid => self.count_invalid_statement(key),
        }
        match parse_leaving(answer_headers, self.header_names) {
            HeaderStatement::Absent => {}
            HeaderStatement::Valid(()) => self.note_leaving(key),
            HeaderStatement::Invalid => self.count_invalid_statement(key),
        }
    }

    /// Records that a target leaves, which holds until its incarnation ends.
    fn note_leaving(&self, key: &(ServiceName, TargetName)) {
        let mut targets = self.targets.borrow_mut();
        let Some(target) = targets.get_mut(key) else { return };
        if target.lease.states_leaving() {
            return;
        }
        target.lease.mark_leaving();
        drop(targets);
        info!(self.logger, "target states that it leaves"; "target" => %key.1);
        self.apply_leases();
    }

    /// Applies the rate that a target states, or `None` if it states none.
    pub(super) fn note_rate(
        &self,
        key: &(ServiceName, TargetName),
        rate: Option<StatedRate>,
        source: RateSource,
    ) {
        let now = self.clock.now();
        let mut targets = self.targets.borrow_mut();
        let Some(target) = targets.get_mut(key) else { return };
        let limit = target.queue.rate_limit_mut();
        let before = limit.stated_rate();
        limit.note_rate(now, rate, source);
        let after = limit.stated_rate();
        drop(targets);
        if before == after {
            return;
        }
        info!(self.logger, "rate limit changed"; "target" => %key.1,
            "per_s" => after.map(StatedRate::per_s), "before" => before.map(StatedRate::per_s),
            "source" => ?source);
        self.step_queue(key, AdmissionEvent::Tick);
    }

    /// Updates the metric of how many targets of this host state a rate.
    pub(super) fn count_limited_targets(&self) {
        let targets = self.targets.borrow();
        let limited =
            targets.values().filter(|target| target.queue.rate_limit().stated_rate().is_some());
        self.metrics.limited_targets.set(limited.count().try_into().unwrap_or(i64::MAX));
    }

    /// Counts an invalid statement, and logs the first one of a target.
    fn count_invalid_statement(&self, key: &(ServiceName, TargetName)) {
        self.metrics.invalid_statements.inc();
        let mut targets = self.targets.borrow_mut();
        let Some(target) = targets.get_mut(key) else { return };
        if !std::mem::replace(&mut target.invalid_statement_logged, true) {
            warn!(self.logger, "invalid statement of a target"; "target" => %key.1);
        }
    }
}

/// Reads the rate of calls that a target takes.
fn parse_rate(answer_headers: &HeaderMap, names: &HeaderNames) -> HeaderStatement<StatedRate> {
    parse_statement(answer_headers, names.rate_limit, StatedRate::parse)
}

/// Reads whether a target leaves; no other value is defined.
fn parse_leaving(answer_headers: &HeaderMap, names: &HeaderNames) -> HeaderStatement<()> {
    parse_statement(answer_headers, names.leaving, |text| (text == "1").then_some(()))
}

/// Reads a header that an answer may carry once.
fn parse_statement<T>(
    answer_headers: &HeaderMap,
    name: Option<&str>,
    parse: impl Fn(&str) -> Option<T>,
) -> HeaderStatement<T> {
    let Some(name) = name else { return HeaderStatement::Absent };
    let mut values = answer_headers.get_all(name).iter();
    let Some(first) = values.next() else { return HeaderStatement::Absent };
    let text = first.to_str().ok().filter(|_| values.next().is_none());
    match text.and_then(|text| parse(text.trim())) {
        Some(value) => HeaderStatement::Valid(value),
        None => HeaderStatement::Invalid,
    }
}
