//! `railspan forgive`: clears a request that is blamed for crashing targets, so that it may
//! reach targets again.

use std::net::SocketAddr;

use gumdrop::Options;

use crate::base::digest::RequestDigest;
use crate::command::operator::{self, required_address};
use crate::command::output::{CommandExit, CommandOutput};

#[derive(Debug, Options)]
pub(crate) struct ForgiveOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(required, help = "admin address of any daemon", meta = "IP:PORT")]
    daemon: Option<SocketAddr>,

    #[options(free, required, help = "digest of the request, as shown by `railspan status`")]
    digest: String,
}

pub(crate) async fn run(options: &ForgiveOptions) -> CommandOutput {
    let Some(digest) = RequestDigest::parse(&options.digest) else {
        let text = format!("invalid digest `{}`; expected 32 hexadecimal digits", options.digest);
        return CommandOutput::new(CommandExit::BadInput, text);
    };
    match operator::forgive(required_address(options.daemon), digest).await {
        Ok(()) => CommandOutput::success(format!("{digest} may reach targets again")),
        Err(error) => CommandOutput::from(&error),
    }
}
