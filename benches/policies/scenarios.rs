//! The scenarios that policies are compared in.

/// What happens to targets while calls come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Neighbours' bursts slow single targets 2 to 10 times for 5 to 200 ms.
    Bursts {
        /// Mean time between two bursts on one target, in milliseconds.
        gap_ms: u64,
    },
    /// One target answers errors at once, for a third of the run.
    FailFast,
    /// One target drains for a third of the run, then is back.
    Drain,
    /// One target joins late and is slow at first.
    ColdStart,
    /// One target takes half the calls at once that it says.
    WrongSlots,
    /// The load is this many hundredths of capacity in the middle third.
    Overload(u32),
}

/// One scenario.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Short name.
    pub name: &'static str,
    /// Targets of the service.
    pub targets: usize,
    /// Calls that each runs at once.
    pub slots: u16,
    /// Daemons that take calls for it.
    pub entries: usize,
    /// Mean time of a call on a new host, in microseconds.
    pub service_us: f64,
    /// Every second host is old and this much slower.
    pub old_factor: f64,
    /// Load in hundredths of what all slots can do.
    pub load: u32,
    /// What goes wrong.
    pub trouble: Trouble,
    /// One way between two daemons, in microseconds.
    pub hop_us: u64,
    /// Time a call has, in milliseconds.
    pub deadline_ms: u64,
}

const FUNDACION: Scenario = Scenario {
    name: "",
    targets: 4,
    slots: 12,
    entries: 13,
    service_us: 8_000.0,
    old_factor: 2.0,
    load: 70,
    trouble: Trouble::None,
    hop_us: 700,
    deadline_ms: 300,
};

const CONSORTIUM: Scenario = Scenario { slots: 6, hop_us: 350, ..FUNDACION };

/// One service of the size to design for: many entries, each with a thin view.
const FLEET: Scenario = Scenario { targets: 14, entries: 200, hop_us: 500, ..FUNDACION };

const BURSTS: Trouble = Trouble::Bursts { gap_ms: 400 };

/// All scenarios, in the order of the table.
pub const SCENARIOS: &[Scenario] = &[
    Scenario { name: "f-mixed-50", load: 50, ..FUNDACION },
    Scenario { name: "f-mixed-70", ..FUNDACION },
    Scenario { name: "f-mixed-90", load: 90, ..FUNDACION },
    Scenario { name: "f-bursts-50", load: 50, trouble: BURSTS, ..FUNDACION },
    Scenario { name: "f-failfast", load: 50, trouble: Trouble::FailFast, ..FUNDACION },
    Scenario { name: "f-drain", load: 60, trouble: Trouble::Drain, ..FUNDACION },
    Scenario { name: "f-coldstart", load: 45, trouble: Trouble::ColdStart, ..FUNDACION },
    Scenario { name: "f-wrongslots", load: 60, trouble: Trouble::WrongSlots, ..FUNDACION },
    Scenario { name: "f-overload", trouble: Trouble::Overload(120), ..FUNDACION },
    Scenario { name: "c-mixed-70", ..CONSORTIUM },
    Scenario { name: "c-bursts-50", load: 50, trouble: BURSTS, ..CONSORTIUM },
    Scenario { name: "c-overload", trouble: Trouble::Overload(120), ..CONSORTIUM },
    Scenario { name: "fleet-70", ..FLEET },
    Scenario { name: "fleet-bursts", load: 50, trouble: BURSTS, ..FLEET },
    Scenario { name: "fleet-failfast", load: 60, trouble: Trouble::FailFast, ..FLEET },
    Scenario { name: "fleet-overload", trouble: Trouble::Overload(120), ..FLEET },
];
