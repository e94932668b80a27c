//! The fleets of the two users whose services the example plays.

/// One service of a user.
#[derive(Clone, Copy)]
pub(crate) struct ServiceSize {
    pub(crate) name: &'static str,
    pub(crate) targets: usize,
    /// Whether callers also post what must not repeat.
    pub(crate) posts: bool,
}

/// One user's fleet.
pub(crate) struct UserFleet {
    pub(crate) template: &'static str,
    pub(crate) centres: [&'static str; 3],
    pub(crate) tokens: [&'static str; 2],
    pub(crate) slots: u16,
    pub(crate) services: [ServiceSize; 4],
}

pub(crate) const FUNDACION: UserFleet = UserFleet {
    template: include_str!("../fundacion.jsonc"),
    centres: ["ba-norte-1", "ba-norte-2", "ba-norte-3"],
    tokens: ["cooperativas-token", "emergencia-token"],
    slots: 12,
    services: [
        ServiceSize { name: "grillas", targets: 4, posts: false },
        ServiceSize { name: "avisos", targets: 3, posts: true },
        ServiceSize { name: "cuotas", targets: 3, posts: true },
        ServiceSize { name: "estaciones", targets: 3, posts: false },
    ],
};

pub(crate) const CONSORTIUM: UserFleet = UserFleet {
    template: include_str!("../consortium.jsonc"),
    centres: ["bagmati-1", "bagmati-2", "bagmati-3"],
    tokens: ["kathmandu-token", "pokhara-token"],
    slots: 6,
    services: [
        ServiceSize { name: "pathshala", targets: 4, posts: true },
        ServiceSize { name: "bujhaune", targets: 3, posts: false },
        ServiceSize { name: "natija", targets: 3, posts: true },
        ServiceSize { name: "samay", targets: 3, posts: false },
    ],
};
