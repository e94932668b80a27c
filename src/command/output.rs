//! What every command shares: how it ended, what it prints, what went wrong.

use serde::Serialize;

use crate::command::operator::OperatorError;

/// How a command ended, as its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandExit {
    /// Done.
    Done = 0,
    /// Refused: a conflict, or no such thing. Nothing changed.
    Refused = 1,
    /// The input is bad. Nothing changed.
    BadInput = 2,
    /// The platform or a daemon can't be reached. Nothing changed.
    Unreachable = 3,
    /// It can't be told whether something changed.
    Unknown = 4,
}

/// What a command prints, and how it ended.
#[derive(Debug)]
pub(crate) struct CommandOutput {
    pub(crate) end: CommandExit,
    /// Goes to standard output if the command is done, else to standard error.
    pub(crate) text: String,
}

impl CommandOutput {
    pub(crate) const fn new(end: CommandExit, text: String) -> Self {
        Self { end, text }
    }

    pub(crate) const fn done(text: String) -> Self {
        Self::new(CommandExit::Done, text)
    }
}

impl From<&OperatorError> for CommandOutput {
    fn from(error: &OperatorError) -> Self {
        let end = match error {
            OperatorError::Unreachable { .. } => CommandExit::Unreachable,
            OperatorError::Refused { .. } | OperatorError::NoTarget { .. } => CommandExit::Refused,
        };
        Self::new(end, error.to_string())
    }
}

/// Renders a value as JSON for people and programs.
pub(crate) fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

/// Makes sure that a filter names something that there is; `Err` is the command's end.
pub(crate) fn expect_known<'a>(
    what: &str,
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> Result<(), CommandOutput> {
    let mut known: Vec<&str> = known.collect();
    if known.contains(&name) {
        return Ok(());
    }
    known.sort_unstable();
    known.dedup();
    let text = format!("no {what} `{name}`; there are: {}", known.join(", "));
    Err(CommandOutput::new(CommandExit::Refused, text))
}
