//! `railspan drain`: stops sending new calls to a target, or undoes that.

use std::net::SocketAddr;

use gumdrop::Options;

use crate::command::operator::{self, required_address};
use crate::command::output::CommandOutput;

#[derive(Debug, Options)]
pub(crate) struct DrainOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(required, help = "admin address of any daemon", meta = "IP:PORT")]
    daemon: Option<SocketAddr>,

    #[options(help = "send new calls to the target again")]
    undo: bool,

    #[options(free, required, help = "name of the target")]
    target: String,
}

pub(crate) async fn run(options: &DrainOptions) -> CommandOutput {
    let daemon = required_address(options.daemon);
    match operator::drain(daemon, &options.target, !options.undo).await {
        Ok(host) => {
            let state = if options.undo { "takes work again" } else { "drains" };
            CommandOutput::success(format!("{} on {host} {state}", options.target))
        }
        Err(error) => CommandOutput::from(&error),
    }
}
