//! `railspan forgive`: lets a request reach targets again that was found to end them.

use std::net::SocketAddr;

use gumdrop::Options;

use crate::base::digest::RequestDigest;
use crate::command::operator::{self, daemon_address};
use crate::command::output::{CommandExit, CommandOutput};

#[derive(Debug, Options)]
pub(crate) struct ForgiveOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(required, help = "admin address of any daemon", meta = "IP:PORT")]
    daemon: Option<SocketAddr>,

    #[options(free, required, help = "the request's digest, as `railspan status` shows it")]
    digest: String,
}

pub(crate) async fn run(options: &ForgiveOptions) -> CommandOutput {
    let Some(digest) = RequestDigest::parse(&options.digest) else {
        let text = format!("`{}` is no digest: expected 32 hexadecimal digits", options.digest);
        return CommandOutput::new(CommandExit::BadInput, text);
    };
    match operator::forgive(daemon_address(options.daemon), digest).await {
        Ok(()) => CommandOutput::done(format!("{digest} may reach targets again")),
        Err(error) => CommandOutput::from(&error),
    }
}
