//! The operators' command line: its subcommands, and the end of each.

use std::process::ExitCode;

use gumdrop::Options;

use crate::command::check::CheckOptions;
use crate::command::drain::DrainOptions;
use crate::command::dump::DumpOptions;
use crate::command::forgive::ForgiveOptions;
use crate::command::output::{CommandExit, CommandOutput};
use crate::command::publish::PublishOptions;
use crate::command::status::StatusOptions;
use crate::command::targets::TargetsOptions;
use crate::command::trace::TraceOptions;
use crate::command::{check, drain, dump, forgive, publish, status, targets, trace};

#[derive(Debug, Options)]
struct CommandOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(help = "print the version")]
    version: bool,

    #[options(command)]
    command: Option<OperatorCommand>,
}

#[derive(Debug, Options)]
enum OperatorCommand {
    #[options(help = "check files of templates or settings")]
    Check(CheckOptions),
    #[options(help = "check templates and publish them as the next revision")]
    Publish(PublishOptions),
    #[options(help = "tell which revision is in force where, and which hosts differ")]
    Status(StatusOptions),
    #[options(help = "print the state of one daemon")]
    Dump(DumpOptions),
    #[options(help = "send a target no new work, or take that back")]
    Drain(DrainOptions),
    #[options(help = "let a request reach targets again that ended some")]
    Forgive(ForgiveOptions),
    #[options(help = "tell how many targets each service has, and list them")]
    Targets(TargetsOptions),
    #[options(help = "tell the story of one request from daemons' logs")]
    Trace(TraceOptions),
}

/// Runs the command that the process was started with.
#[must_use]
pub fn run_command() -> ExitCode {
    let options = CommandOptions::parse_args_default_or_exit();
    if options.version {
        println!("railspan {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = options.command else {
        eprintln!("expected a command\n\n{}", CommandOptions::usage());
        eprintln!("\nCommands:\n{}", OperatorCommand::usage());
        return ExitCode::from(CommandExit::BadInput as u8);
    };
    let output = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(execute(command)),
        Err(error) => CommandOutput::new(CommandExit::Unreachable, error.to_string()),
    };
    if output.end == CommandExit::Done {
        println!("{}", output.text);
    } else {
        eprintln!("{}", output.text);
    }
    ExitCode::from(output.end as u8)
}

async fn execute(command: OperatorCommand) -> CommandOutput {
    match command {
        OperatorCommand::Check(options) => check::run(&options),
        OperatorCommand::Publish(options) => publish::run(&options).await,
        OperatorCommand::Status(options) => status::run(&options).await,
        OperatorCommand::Dump(options) => dump::run(&options).await,
        OperatorCommand::Drain(options) => drain::run(&options).await,
        OperatorCommand::Forgive(options) => forgive::run(&options).await,
        OperatorCommand::Targets(options) => targets::run(&options).await,
        OperatorCommand::Trace(options) => trace::run(&options),
    }
}
