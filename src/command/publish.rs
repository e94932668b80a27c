//! `railspan publish`: checks templates and publishes them as the next revision.

use std::net::SocketAddr;

use gumdrop::Options;

use crate::command::check;
use crate::command::operator::{self, required_address};
use crate::command::output::{self, CommandExit, CommandOutput};
use crate::platform::open_store;
use crate::rules::config::FleetConfig;
use crate::store::publish::{self, PublishError};

#[derive(Debug, Options)]
pub(crate) struct PublishOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(required, help = "address of the platform", meta = "IP:PORT")]
    platform: Option<SocketAddr>,

    #[options(
        help = "admin address of a daemon to notify, which speeds up the rollout",
        meta = "IP:PORT"
    )]
    daemon: Option<SocketAddr>,

    #[options(help = "revision that the change is based on; fail if a newer one exists")]
    base: Option<u64>,

    #[options(help = "name of the publisher; default: environment variable USER")]
    operator: Option<String>,

    #[options(no_short, help = "print the result as JSON")]
    json: bool,

    #[options(free, required, help = "files with templates and parameters")]
    files: Vec<String>,
}

pub(crate) async fn run(options: &PublishOptions) -> CommandOutput {
    let files = check::read_files(&options.files);
    let config = match files.and_then(|files| FleetConfig::parse_all(&files)) {
        Ok(config) => config,
        Err(findings) => return check::findings_output(&findings, options.json),
    };
    let name = options.operator.clone().or_else(|| std::env::var("USER").ok());
    let name = name.unwrap_or_else(|| "unknown".to_owned());
    let client = open_store(required_address(options.platform));
    let head = match publish::publish(&client, &config, &name, options.base).await {
        Ok(head) => head,
        Err(error) => return error_output(&error),
    };
    if let Some(daemon) = options.daemon {
        // An error is ignored: without the hint the daemons find the revision a little later.
        drop(operator::hint(daemon).await);
    }
    let plain = || format!("published revision {}", head.revision);
    CommandOutput::success(if options.json { output::to_json(&head) } else { plain() })
}

fn error_output(error: &PublishError) -> CommandOutput {
    let exit = match error {
        PublishError::Conflict { .. } => CommandExit::Refused,
        PublishError::NotPublished { .. } => CommandExit::Unreachable,
        PublishError::OutcomeUnknown { .. } => CommandExit::Unknown,
    };
    CommandOutput::new(exit, error.to_string())
}
