//! Stand-ins of a small deployment for the cases of the review: daemons as separate processes,
//! the platform's store, upstreams and clients.
//!
//! All addresses are on loopback. Each machine has an address of its own in `127.0.0.0/8`, so
//! that ports are the same on all machines, as on the platform.

mod client;
mod deployment;
mod record;
mod store;
mod upstream;

pub use client::{Answer, Client, Load, LoadPlan};
pub use deployment::{Deployment, DeploymentPlan, MachinePlan, find_addresses, store_address};
pub use record::Record;
pub use store::Store;
pub use upstream::{Noise, Run, Upstream, UpstreamPlan};

use std::process::ExitCode;

/// Result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Runs a case, writes its record and returns the exit code: 0 if the rule held, 1 if it was
/// broken, 2 if the case could not run.
pub fn run_case(case: impl FnOnce(&Record, bool) -> Result<Verdict, String>) -> ExitCode {
    let record = Record::open();
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(&format!("case begins, disruption: {with_trouble}"));
    let result = case(&record, with_trouble);
    match &result {
        Ok(verdict) => record.note(&format!("verdict: {verdict:?}")),
        Err(why) => record.note(&format!("could not run: {why}")),
    }
    let Some(file) = std::env::args().nth(1) else {
        eprintln!("usage: CASE RECORD_FILE");
        return ExitCode::from(2);
    };
    if let Err(error) = record.write(&file) {
        eprintln!("can't write {file}: {error}");
        return ExitCode::from(2);
    }
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(why) => {
            eprintln!("{why}");
            ExitCode::from(2)
        }
    }
}
