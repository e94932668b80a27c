//! Properties of the input boundaries: arbitrary bytes are decoded or refused without a
//! panic, findings lie inside the file, and revisions and policies keep their invariants.

#[path = "common/seeded.rs"]
mod seeded;

use proptest::prelude::*;
use railspan::{
    AdoptError, AnswerHead, CallHead, DaemonSettings, FleetConfig, GossipMessage, MicroTime,
    ProbeReply, ProbeRequest, RevisionHead, RevisionState, RevokeHead, ServiceTargets,
    TargetRecord, decode, policy, policy_names,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use seeded::seeded;

const TEMPLATE: &str = include_str!("../examples/fundacion.jsonc");
const SETTINGS: &str = include_str!("../examples/settings.jsonc");

/// Replaces `length` characters of a valid file from `at` on, modulo its length.
fn corrupt(text: &str, at: usize, length: usize, replacement: &str) -> String {
    let chars: Vec<char> = text.chars().collect();
    let start = at % chars.len();
    let end = (start + length).min(chars.len());
    let head: String = chars[..start].iter().collect();
    let tail: String = chars[end..].iter().collect();
    format!("{head}{replacement}{tail}")
}

proptest! {
    #![proptest_config(seeded(500))]

    #[test]
    fn peer_messages_of_arbitrary_bytes_are_decoded_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        drop(decode::<CallHead>(&bytes));
        drop(decode::<AnswerHead>(&bytes));
        drop(decode::<RevokeHead>(&bytes));
        drop(decode::<GossipMessage>(&bytes));
        drop(decode::<ProbeRequest>(&bytes));
        drop(decode::<ProbeReply>(&bytes));
    }

    #[test]
    fn corrupted_files_give_findings_inside_the_file(at: usize, length in 0_usize..40, replacement in "[ -~\n]{0,12}") {
        let template = corrupt(TEMPLATE, at, length, &replacement);
        if let Err(findings) = FleetConfig::parse("t", &template) {
            prop_assert!(!findings.0.is_empty());
            let lines = template.lines().count().max(1) + 1;
            prop_assert!(findings.0.iter().all(|finding| finding.position.line <= lines));
        }
        let settings = corrupt(SETTINGS, at, length, &replacement);
        if let Err(findings) = DaemonSettings::parse("s", &settings) {
            prop_assert!(!findings.0.is_empty());
        }
    }

    /// Announced heads and bodies come in any order. The number of the adopted revision
    /// never decreases, and a body is adopted only if its hash is the one in the head.
    #[test]
    fn the_adopted_revision_never_decreases(steps in proptest::collection::vec((0_u64..20, any::<bool>(), any::<bool>()), 1..60)) {
        let mut state = RevisionState::default();
        let body = br#"{"services":[],"accounts":[]}"#;
        let body_hash = blake3::hash(body).to_hex().to_string();
        for (revision, hash_matches, announced) in steps {
            let before = state.number();
            let head = RevisionHead {
                revision,
                hash: if hash_matches { body_hash.clone() } else { "00".to_owned() },
                publish: String::new(),
                operator: String::new(),
            };
            if announced {
                state.note_head(&head);
            }
            match state.adopt(&head, body).map(|active| active.head.revision) {
                Ok(adopted) => {
                    prop_assert!(hash_matches && adopted == revision && revision > before);
                }
                Err(AdoptError::Older) => prop_assert!(revision <= before),
                Err(AdoptError::WrongHash) => prop_assert!(!hash_matches),
                Err(AdoptError::Unreadable) => prop_assert!(false, "the body is readable"),
            }
            prop_assert!(state.number() >= before);
        }
    }

    /// Every policy chooses an untried target, and an ejected one only where all untried
    /// targets are ejected.
    #[test]
    fn policies_choose_untried_targets_that_are_not_ejected(
        count in 1_usize..12,
        tried in proptest::collection::vec(0_usize..12, 0..12),
        failing in proptest::collection::vec(0_usize..12, 0..6),
        seed: u64,
    ) {
        for name in policy_names() {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut service = ServiceTargets::default();
            service.targets = (0..count)
                .map(|index| TargetRecord::new(format!("t{index}").as_str().into(), None, 4, MicroTime(0)))
                .collect();
            for &index in failing.iter().filter(|&&index| index < count) {
                for _ in 0..8 {
                    service.targets[index].finish(MicroTime(0), None, true);
                }
            }
            let names: Vec<_> = tried.iter().map(|index| format!("t{index}").as_str().into()).collect();
            let policy = policy(name).expect("registered");
            let chosen = service.choose(MicroTime(1), policy, &names, &mut rng);
            let untried: Vec<usize> = (0..count).filter(|index| !tried.contains(index)).collect();
            let any_healthy = untried.iter().any(|index| !failing.contains(index));
            match chosen {
                None => prop_assert!(untried.is_empty()),
                Some(index) => {
                    prop_assert!(untried.contains(&index));
                    prop_assert!(!any_healthy || !failing.contains(&index), "{name} chose an ejected target");
                }
            }
        }
    }
}

/// A policy that never chose a target again after one slow report would never learn that
/// the target recovered, as a faster one is always free.
#[test]
fn a_target_that_was_slow_is_chosen_again() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let record = |name: &str| TargetRecord::new(name.into(), None, 4, MicroTime(0));
    let mut service = ServiceTargets::new(vec![record("slow"), record("fast")]);
    let report = |service_us, sequence, reported_at| railspan::LoadReport {
        slots: 4,
        service_us,
        sequence,
        reported_at,
        ..railspan::LoadReport::default()
    };
    service.targets[0].record_report(MicroTime(1), report(80_000, 1, MicroTime(1)));
    let mut chosen = [0, 0];
    for number in 1..600_u64 {
        let now = MicroTime::from_millis(number * 100);
        let policy = railspan::default_policy();
        let index = service.choose(now, policy, &[], &mut rng).expect("a target");
        chosen[index] += 1;
        service.targets[index].finish(now, Some(MicroTime(8_000)), false);
        service.targets[index].record_report(now, report(8_000, number + 1, now));
    }
    assert!(chosen[0] > 100, "chosen {chosen:?}");
}
