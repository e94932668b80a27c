//! The scenarios in which policies are compared.

/// A disturbance of targets or of the load during a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disturbance {
    /// No disturbance.
    None,
    /// Load bursts of other tenants slow down single targets by a factor of 2 to 10
    /// for 5 to 200 ms.
    Bursts {
        /// Mean time from the end of a burst to the next one on the same target, in
        /// milliseconds.
        gap_ms: u64,
    },
    /// One target quickly responds with errors in the middle third of the run.
    FailFast,
    /// One target drains in the middle third of the run, then returns.
    Drain,
    /// One target joins after the first third of the run and is slow in the second.
    ColdStart,
    /// One target has half as many slots as it reports.
    WrongSlots,
    /// The load in the middle third of the run, in percent of capacity.
    Overload(u32),
}

/// A scenario: one service, its load and a disturbance.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Short name.
    pub name: &'static str,
    /// Number of targets of the service.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u16,
    /// Number of daemons whose entries accept calls for the service.
    pub entries: usize,
    /// Mean service time on a new host, in microseconds.
    pub service_us: f64,
    /// Every second host is old; factor on its service times.
    pub old_host_factor: f64,
    /// Load in percent of the capacity of all slots.
    pub load: u32,
    /// Disturbance during the run.
    pub disturbance: Disturbance,
    /// Mean one-way latency between two daemons, in microseconds.
    pub hop_us: u64,
    /// Time from the arrival of a call to its deadline, in milliseconds.
    pub deadline_ms: u64,
}

const FUNDACION: Scenario = Scenario {
    name: "",
    targets: 4,
    slots: 12,
    entries: 13,
    service_us: 8_000.0,
    old_host_factor: 2.0,
    load: 70,
    disturbance: Disturbance::None,
    hop_us: 700,
    deadline_ms: 300,
};

const CONSORTIUM: Scenario = Scenario { slots: 6, hop_us: 350, ..FUNDACION };

/// One service of a fleet of the design size: many entries, each of which sees only a
/// small part of the calls.
const FLEET: Scenario = Scenario { targets: 14, entries: 200, hop_us: 500, ..FUNDACION };

const BURSTS: Disturbance = Disturbance::Bursts { gap_ms: 400 };

/// All scenarios, in the order of the table.
pub const SCENARIOS: &[Scenario] = &[
    Scenario { name: "f-mixed-50", load: 50, ..FUNDACION },
    Scenario { name: "f-mixed-70", ..FUNDACION },
    Scenario { name: "f-mixed-90", load: 90, ..FUNDACION },
    Scenario { name: "f-bursts-50", load: 50, disturbance: BURSTS, ..FUNDACION },
    Scenario { name: "f-failfast", load: 50, disturbance: Disturbance::FailFast, ..FUNDACION },
    Scenario { name: "f-drain", load: 60, disturbance: Disturbance::Drain, ..FUNDACION },
    Scenario { name: "f-coldstart", load: 45, disturbance: Disturbance::ColdStart, ..FUNDACION },
    Scenario { name: "f-wrongslots", load: 60, disturbance: Disturbance::WrongSlots, ..FUNDACION },
    Scenario { name: "f-overload", disturbance: Disturbance::Overload(120), ..FUNDACION },
    Scenario { name: "c-mixed-70", ..CONSORTIUM },
    Scenario { name: "c-bursts-50", load: 50, disturbance: BURSTS, ..CONSORTIUM },
    Scenario { name: "c-overload", disturbance: Disturbance::Overload(120), ..CONSORTIUM },
    Scenario { name: "fleet-70", ..FLEET },
    Scenario { name: "fleet-bursts", load: 50, disturbance: BURSTS, ..FLEET },
    Scenario { name: "fleet-failfast", load: 60, disturbance: Disturbance::FailFast, ..FLEET },
    Scenario { name: "fleet-overload", disturbance: Disturbance::Overload(120), ..FLEET },
];
