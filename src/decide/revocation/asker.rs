//! Decides which daemon is asked for its confirmation, and when.

use std::collections::HashMap;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use serde::Serialize;

use crate::base::clock::MicroTime;
use crate::base::ids::HostName;
use crate::base::member::MemberRecord;

/// When another daemon is asked.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct AskTiming {
    /// Age of the own confirmation from which another daemon is asked.
    pub age: MicroTime,
    /// Maximum wait for a reply before the next daemon is asked: longer than a round trip between
    /// data centres.
    pub reply_timeout: MicroTime,
    /// Time for which a daemon that did not reply is not asked again.
    pub silent_duration: MicroTime,
    /// Probability of asking one of the others after a request that did not help.
    pub others_probability: f64,
}

impl Default for AskTiming {
    /// Returns the timing for a bound on revocations.
    ///
    /// Followers of the store then confirm twice a second and therefore do not ask; all other
    /// daemons ask about once a second.
    fn default() -> Self {
        Self {
            age: MicroTime::from_millis(1_200),
            reply_timeout: MicroTime::from_millis(300),
            silent_duration: MicroTime::from_millis(3_000),
            others_probability: 0.5,
        }
    }
}

/// Time after a request within which the next one is a retry: a reply from a follower makes the
/// confirmation new enough for longer.
const RETRY_WINDOW: MicroTime = MicroTime::from_millis(500);

/// Daemons that may be asked.
#[derive(Clone, Copy, Debug)]
pub struct ConfirmationRound<'a> {
    /// Selected followers of the store.
    pub followers: &'a [&'a MemberRecord],
    /// Other daemons that are up. One of them may have a newer confirmation while the selected
    /// followers can't be reached or can't reach the store.
    pub others: &'a [&'a MemberRecord],
}

/// Request in progress.
#[derive(Clone, Debug, Serialize)]
struct SentRequest {
    number: u64,
    host: HostName,
    at: MicroTime,
    answered: bool,
}

/// Requests of one daemon for the confirmations of others.
///
/// Invariant: at most one request is sent in each reply timeout.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ConfirmationAsker {
    next_number: u64,
    timing: AskTiming,
    /// The last request.
    last: Option<SentRequest>,
    /// The request before it, whose reply may still arrive.
    earlier: Option<SentRequest>,
    /// Daemons that did not reply, with the time of the request.
    silent: HashMap<HostName, MicroTime>,
}

impl ConfirmationAsker {
    /// Creates an asker whose sequence numbers start at `first_number`.
    ///
    /// It should be random, so that a late reply to an earlier incarnation of the daemon does not
    /// match.
    #[must_use]
    pub fn open(first_number: u64) -> Self {
        Self { next_number: first_number, ..Self::default() }
    }

    /// Changes when another daemon is asked.
    pub const fn set_timing(&mut self, timing: AskTiming) {
        self.timing = timing;
    }

    /// Returns whether a request is due, if the own confirmation has the given age.
    #[must_use]
    pub fn is_due(&self, now: MicroTime, age: Option<MicroTime>) -> bool {
        let AskTiming { age: ask_age, reply_timeout, .. } = self.timing;
        let waits = self.last.as_ref().is_some_and(|last| now.since(last.at) < reply_timeout);
        !waits && age.is_none_or(|age| age >= ask_age)
    }

    /// Returns the number of the next request and the daemon to send it to; called if it is due.
    ///
    /// After a request that did not help, the next one may go to a daemon that is not among the
    /// followers.
    pub fn next_request<'a>(
        &mut self,
        now: MicroTime,
        round: ConfirmationRound<'a>,
        rng: &mut impl Rng,
    ) -> Option<(u64, &'a MemberRecord)> {
        let silent_duration = self.timing.silent_duration;
        self.silent.retain(|_, since| now.since(*since) < silent_duration);
        let mut retrying = false;
        if let Some(last) = &self.last {
            retrying = now.since(last.at) < RETRY_WINDOW;
            if !last.answered {
                self.silent.insert(last.host.clone(), last.at);
            }
        }
        let replies = |member: &&&MemberRecord| !self.silent.contains_key(&member.host);
        let followers: Vec<_> = round.followers.iter().filter(replies).collect();
        let others: Vec<_> = round.others.iter().filter(replies).collect();
        let prefer_others = retrying && rng.random_bool(self.timing.others_probability);
        let (first, second) =
            if prefer_others { (&others, &followers) } else { (&followers, &others) };
        // If none has replied lately, the followers are asked again.
        let chosen = first.choose(rng).or_else(|| second.choose(rng)).copied();
        let member = *chosen.or_else(|| round.followers.choose(rng))?;
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        let sent = SentRequest { number, host: member.host.clone(), at: now, answered: false };
        self.earlier = self.last.replace(sent);
        Some((number, member))
    }

    /// Records a reply; returns when its request was started, or `None` if it is too old to be
    /// known or was answered already.
    pub fn record_reply(&mut self, number: u64) -> Option<MicroTime> {
        let mut requests = self.last.iter_mut().chain(&mut self.earlier);
        let request = requests.find(|request| request.number == number && !request.answered)?;
        request.answered = true;
        let at = request.at;
        let host = request.host.clone();
        self.silent.remove(&host);
        Some(at)
    }
}
