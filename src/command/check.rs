//! `railspan check`: every finding of files of templates or settings.

use gumdrop::Options;

use crate::base::findings::{FileFinding, FindingList, TextPosition};
use crate::command::output::{self, CommandEnd, CommandOutput};
use crate::process::settings::{DaemonSettings, is_settings};
use crate::rules::config::FleetConfig;

#[derive(Debug, Options)]
pub(crate) struct CheckOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(no_short, help = "print findings as JSON")]
    json: bool,

    #[options(free, required, help = "files, JSON with comments")]
    files: Vec<String>,
}

pub(crate) fn run(options: &CheckOptions) -> CommandOutput {
    let files = match read_files(&options.files) {
        Ok(files) => files,
        Err(findings) => return report(&findings, options.json),
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
        return CommandOutput::done(text.to_owned());
    }
    report(&FindingList(findings), options.json)
}

/// Finds what the platform's adapter can't read in a deployment's terms.
fn check_terms(file: &str, text: &str, settings: &DaemonSettings) -> Vec<FileFinding> {
    let Some(deployment) = &settings.deployment else { return Vec::new() };
    let position = TextPosition::of(text, text.find("\"terms\"").unwrap_or_default());
    let faults = (crate::platform::adapter().read_terms)(&deployment.terms).faults;
    let finding = |text| FileFinding { file: file.to_owned(), position, text };
    faults.into_iter().map(finding).collect()
}

/// Reads all files; a file that can't be read is a finding.
pub(crate) fn read_files(names: &[String]) -> Result<Vec<(String, String)>, FindingList> {
    let mut files = Vec::new();
    let mut findings = Vec::new();
    for name in names {
        match std::fs::read_to_string(name) {
            Ok(text) => files.push((name.clone(), text)),
            Err(error) => findings.push(unreadable(name, &error)),
        }
    }
    if findings.is_empty() { Ok(files) } else { Err(FindingList(findings)) }
}

/// Makes the finding of a file that can't be read.
pub(crate) fn unreadable(name: &str, error: &std::io::Error) -> FileFinding {
    let position = TextPosition { line: 1, column: 1 };
    FileFinding { file: name.to_owned(), position, text: error.to_string() }
}

/// Makes the end of a command whose files have findings.
pub(crate) fn report(findings: &FindingList, json: bool) -> CommandOutput {
    let text = if json { output::to_json(&findings.0) } else { findings.to_string() };
    CommandOutput::new(CommandEnd::BadInput, text)
}
