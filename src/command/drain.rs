//! `railspan drain`: sends a target no new work, or takes that back.

use std::net::SocketAddr;

use gumdrop::Options;

use crate::command::operator::{self, daemon_address};
use crate::command::output::CommandOutput;

#[derive(Debug, Options)]
pub(crate) struct DrainOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(required, help = "admin address of any daemon", meta = "IP:PORT")]
    daemon: Option<SocketAddr>,

    #[options(help = "let the target take work again")]
    undo: bool,

    #[options(free, required, help = "the target's name")]
    target: String,
}

pub(crate) async fn run(options: &DrainOptions) -> CommandOutput {
    let daemon = daemon_address(options.daemon);
    match operator::drain(daemon, &options.target, !options.undo).await {
        Ok(host) => {
            let word = if options.undo { "takes work again" } else { "drains" };
            CommandOutput::done(format!("{} on {host} {word}", options.target))
        }
        Err(error) => CommandOutput::from(&error),
    }
}
