//! Measures the costs from which docs/CAPACITY.md is calculated.
//!
//! `cargo bench --bench capacity -- members|table|fleet|added|claims`

mod added;
mod claims;
mod fleet;
mod members;
mod table;
mod usage;

/// All measurements by their names on the command line.
const MEASUREMENTS: &[(&str, fn())] = &[
    ("members", members::measure),
    ("table", table::measure),
    ("fleet", fleet::measure),
    ("added", added::measure),
    ("claims", claims::measure),
];

fn main() {
    let selected: Vec<String> =
        std::env::args().skip(1).filter(|argument| !argument.starts_with('-')).collect();
    for (name, measure) in MEASUREMENTS {
        if selected.is_empty() || selected.iter().any(|selected| selected == name) {
            println!("== {name}");
            measure();
        }
    }
}
