//! Plays the scripted cases of the review: `review-play-2 CASE REPOSITORY RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
//! `TROUBLE=0` the disruption is left out.

mod cases;
mod fleet;
mod http;
mod load;
mod store;
mod upstream;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, repository, record] = &arguments[..] else {
        eprintln!("usage: review-play-2 CASE REPOSITORY RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = cases::play(case, repository.as_ref(), trouble);
    match result {
        Ok(outcome) => {
            let text = format!("{}\n{}", outcome.verdict, outcome.record);
            if let Err(error) = std::fs::write(record, text) {
                eprintln!("can't write the record: {error}");
                return ExitCode::from(2);
            }
            println!("{}", outcome.verdict);
            ExitCode::from(u8::from(outcome.broken))
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
