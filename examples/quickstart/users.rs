//! The fleets of the two users whose services the example runs.

/// A service of a user.
#[derive(Clone, Copy)]
pub(crate) struct ServiceSize {
    pub(crate) name: &'static str,
    pub(crate) targets: usize,
    /// Whether callers also send `POST` calls, which must not run twice.
    pub(crate) has_posts: bool,
}

/// The fleet of a user.
pub(crate) struct UserFleet {
    pub(crate) template: &'static str,
    pub(crate) data_centres: [&'static str; 3],
    pub(crate) tokens: [&'static str; 2],
    /// Number of calls that a target runs at once.
    pub(crate) slots: u16,
    pub(crate) services: [ServiceSize; 4],
}

pub(crate) const FUNDACION: UserFleet = UserFleet {
    template: include_str!("../fundacion.jsonc"),
    data_centres: ["ba-norte-1", "ba-norte-2", "ba-norte-3"],
    tokens: ["cooperativas-token", "emergencia-token"],
    slots: 12,
    services: [
        ServiceSize { name: "grillas", targets: 4, has_posts: false },
        ServiceSize { name: "avisos", targets: 3, has_posts: true },
        ServiceSize { name: "cuotas", targets: 3, has_posts: true },
        ServiceSize { name: "estaciones", targets: 3, has_posts: false },
    ],
};

pub(crate) const CONSORTIUM: UserFleet = UserFleet {
    template: include_str!("../consortium.jsonc"),
    data_centres: ["bagmati-1", "bagmati-2", "bagmati-3"],
    tokens: ["kathmandu-token", "pokhara-token"],
    slots: 6,
    services: [
        ServiceSize { name: "pathshala", targets: 4, has_posts: true },
        ServiceSize { name: "bujhaune", targets: 3, has_posts: false },
        ServiceSize { name: "natija", targets: 3, has_posts: true },
        ServiceSize { name: "samay", targets: 3, has_posts: false },
    ],
};
