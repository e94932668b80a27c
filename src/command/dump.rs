//! `railspan dump`: prints the state of a daemon or of one of its duties, with the inputs
//! of all their decisions.

use std::net::SocketAddr;

use gumdrop::Options;
use serde_json::Value;

use crate::command::operator::{self, required_address};
use crate::command::output::{self, CommandExit, CommandOutput};

/// Duties whose state a dump contains.
const PARTS: [&str; 4] = ["entry", "guard", "peers", "platform"];

#[derive(Debug, Options)]
pub(crate) struct DumpOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(required, help = "admin address of the daemon", meta = "IP:PORT")]
    daemon: Option<SocketAddr>,

    #[options(no_short, help = "only one duty: entry, guard, peers or platform")]
    part: Option<String>,

    #[options(no_short, help = "only one service in the entry's part", meta = "NAME")]
    service: Option<String>,
}

pub(crate) async fn run(options: &DumpOptions) -> CommandOutput {
    if let Some(part) = options.part.as_deref()
        && !PARTS.contains(&part)
    {
        let text = format!("unknown part `{part}`; known: {}", PARTS.join(", "));
        return CommandOutput::new(CommandExit::BadInput, text);
    }
    let mut state = match operator::dump(required_address(options.daemon)).await {
        Ok(state) => state,
        Err(error) => return CommandOutput::from(&error),
    };
    if let Some(name) = &options.service
        && let Err(output) = keep_service(&mut state, name)
    {
        return output;
    }
    let shown = options.part.as_deref().map_or(&state, |part| &state[part]);
    CommandOutput::success(output::to_json(shown))
}

/// Removes all services but one from the entry's part.
fn keep_service(state: &mut Value, name: &str) -> Result<(), CommandOutput> {
    let Some(services) = state["entry"]["services"].as_object_mut() else { return Ok(()) };
    output::expect_known("service", name, services.keys().map(String::as_str))?;
    services.retain(|known, _| known == name);
    Ok(())
}
