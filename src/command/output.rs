//! Output and exit codes of the commands.

use serde::Serialize;

use crate::command::operator::OperatorError;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandExit {
    /// The command succeeded.
    Success = 0,
    /// The command was refused because of a conflict or an unknown name. Nothing changed.
    Refused = 1,
    /// The input is invalid. Nothing changed.
    BadInput = 2,
    /// The platform or a daemon can't be reached. Nothing changed.
    Unreachable = 3,
    /// It is unknown whether anything changed.
    Unknown = 4,
}

/// Exit code and text of a finished command.
#[derive(Debug)]
pub(crate) struct CommandOutput {
    pub(crate) exit: CommandExit,
    /// Printed to standard output if the command succeeded, else to standard error.
    pub(crate) text: String,
}

impl CommandOutput {
    pub(crate) const fn new(exit: CommandExit, text: String) -> Self {
        Self { exit, text }
    }

    pub(crate) const fn success(text: String) -> Self {
        Self::new(CommandExit::Success, text)
    }
}

impl From<&OperatorError> for CommandOutput {
    fn from(error: &OperatorError) -> Self {
        let exit = match error {
            OperatorError::Unreachable { .. } => CommandExit::Unreachable,
            OperatorError::Refused { .. } | OperatorError::NoTarget { .. } => CommandExit::Refused,
        };
        Self::new(exit, error.to_string())
    }
}

/// Renders a value as indented JSON.
pub(crate) fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

/// Checks that the name in a filter is among the known ones; `kind` says what it names.
///
/// # Errors
///
/// Returns the command's output, which lists the known names.
pub(crate) fn expect_known<'a>(
    kind: &str,
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> Result<(), CommandOutput> {
    let mut known: Vec<&str> = known.collect();
    if known.contains(&name) {
        return Ok(());
    }
    known.sort_unstable();
    known.dedup();
    let text = format!("unknown {kind} `{name}`; known: {}", known.join(", "));
    Err(CommandOutput::new(CommandExit::Refused, text))
}
