//! Subcommands of the operators' command line, their output and exit codes.

use std::process::ExitCode;

use gumdrop::Options;

use crate::command::accounts::AccountsOptions;
use crate::command::check::CheckOptions;
use crate::command::drain::DrainOptions;
use crate::command::dump::DumpOptions;
use crate::command::forgive::ForgiveOptions;
use crate::command::output::{CommandExit, CommandOutput};
use crate::command::publish::PublishOptions;
use crate::command::status::StatusOptions;
use crate::command::targets::TargetsOptions;
use crate::command::trace::TraceOptions;
use crate::command::{accounts, check, drain, dump, forgive, publish, status, targets, trace};

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
    #[options(help = "check template or settings files")]
    Check(CheckOptions),
    #[options(help = "check templates and publish them as the next revision")]
    Publish(PublishOptions),
    #[options(help = "show which revision is in force, and which hosts differ")]
    Status(StatusOptions),
    #[options(help = "print the state of one daemon")]
    Dump(DumpOptions),
    #[options(help = "stop sending new calls to a target, or undo that")]
    Drain(DrainOptions),
    #[options(help = "clear a request that is blamed for crashing targets")]
    Forgive(ForgiveOptions),
    #[options(help = "show how many targets each service has, and list them")]
    Targets(TargetsOptions),
    #[options(help = "show what client accounts request, summed over the fleet")]
    Accounts(AccountsOptions),
    #[options(help = "show what the daemons' logs contain about one request")]
    Trace(TraceOptions),
}

/// Parses the process arguments, runs the command, prints its output, and returns the exit
/// code.
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
    if output.exit == CommandExit::Success {
        println!("{}", output.text);
    } else {
        eprintln!("{}", output.text);
    }
    ExitCode::from(output.exit as u8)
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
        OperatorCommand::Accounts(options) => accounts::run(&options).await,
        OperatorCommand::Trace(options) => trace::run(&options),
    }
}
