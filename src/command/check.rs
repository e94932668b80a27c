//! `railspan check`: lists all errors in template or settings files.

use gumdrop::Options;

use crate::base::findings::{FileFinding, FindingList, TextPosition};
use crate::command::output::{self, CommandExit, CommandOutput};
use crate::process::settings::{DaemonSettings, is_settings};
use crate::rules::config::FleetConfig;

#[derive(Debug, Options)]
pub(crate) struct CheckOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(no_short, help = "print findings as JSON")]
    json: bool,

    #[options(free, required, help = "files to check, JSON with comments")]
    files: Vec<String>,
}

pub(crate) fn run(options: &CheckOptions) -> CommandOutput {
    let files = match read_files(&options.files) {
        Ok(files) => files,
        Err(findings) => return findings_output(&findings, options.json),
    };
    let (settings, templates): (Vec<_>, Vec<_>) =
        files.into_iter().partition(|(_, text)| is_settings(text));
    let mut findings: Vec<FileFinding> = Vec::new();
    for (file, text) in &settings {
        match DaemonSettings::parse(file, text) {
            Ok(settings) => findings.extend(check_terms(file, text, &settings)),
            Err(list) => findings.extend(list.0),
        }
    }
    findings.extend(FleetConfig::parse_all(&templates).err().into_iter().flat_map(|list| list.0));
    if findings.is_empty() {
        let text = if options.json { "[]" } else { "no findings" };
        return CommandOutput::success(text.to_owned());
    }
    findings_output(&FindingList(findings), options.json)
}

/// Returns the errors that the platform's adapter finds in the `terms` of a deployment.
fn check_terms(file: &str, text: &str, settings: &DaemonSettings) -> Vec<FileFinding> {
    let Some(deployment) = &settings.deployment else { return Vec::new() };
    let position = TextPosition::of(text, text.find("\"terms\"").unwrap_or_default());
    let errors = (crate::platform::adapter().parse_terms)(&deployment.terms).errors;
    let finding = |text| FileFinding { file: file.to_owned(), position, text };
    errors.into_iter().map(finding).collect()
}

/// Reads all files and returns their names and contents.
///
/// # Errors
///
/// Returns a finding for each file that can't be read.
pub(crate) fn read_files(names: &[String]) -> Result<Vec<(String, String)>, FindingList> {
    let mut files = Vec::new();
    let mut findings = Vec::new();
    for name in names {
        match std::fs::read_to_string(name) {
            Ok(text) => files.push((name.clone(), text)),
            Err(error) => findings.push(unreadable_file(name, &error)),
        }
    }
    if findings.is_empty() { Ok(files) } else { Err(FindingList(findings)) }
}

/// Returns the finding for a file that can't be read.
pub(crate) fn unreadable_file(name: &str, error: &std::io::Error) -> FileFinding {
    let position = TextPosition { line: 1, column: 1 };
    FileFinding { file: name.to_owned(), position, text: error.to_string() }
}

/// Returns the output of a command whose files have findings.
pub(crate) fn findings_output(findings: &FindingList, json: bool) -> CommandOutput {
    let text = if json { output::to_json(&findings.0) } else { findings.to_string() };
    CommandOutput::new(CommandExit::BadInput, text)
}
