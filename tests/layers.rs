//! Layout of the library: each folder depends only on those before it, and files are short.

use std::fs;
use std::path::{Path, PathBuf};

/// The folders of the library; each may use those before it.
const LAYERS: [&str; 11] = [
    "base", "decide", "rules", "store", "duty", "durable", "fleet", "call", "process", "platform",
    "command",
];

/// Maximum number of lines of a file that is not a test: a few screens.
const MAX_LINES: usize = 400;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("folder") {
        let path = entry.expect("entry").path();
        if path.is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// Returns the path of a layer's folder; the platform's adapter is outside `src`.
fn folder_of(layer: &str) -> PathBuf {
    if layer == "platform" { root().join(layer) } else { root().join("src").join(layer) }
}

/// Returns the folders that a file names after `crate::` outside comments.
fn used_layers(text: &str) -> impl Iterator<Item = &str> {
    let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
    code.flat_map(|line| line.split("crate::").skip(1))
        .map(|rest| rest.split(|c: char| !c.is_ascii_lowercase()).next().unwrap_or_default())
}

#[test]
fn folders_use_only_those_before_them() {
    let mut violations = Vec::new();
    for (index, layer) in LAYERS.iter().enumerate() {
        for file in rust_files(&folder_of(layer)) {
            let text = fs::read_to_string(&file).expect("text");
            let later = used_layers(&text).filter(|used| LAYERS[index + 1..].contains(used));
            violations.extend(later.map(|used| format!("{} uses {used}", file.display())));
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn every_folder_is_listed_as_a_layer() {
    for entry in fs::read_dir(root().join("src")).expect("folder") {
        let path = entry.expect("entry").path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        let known = LAYERS.contains(&name) || ["bin", "lib.rs"].contains(&name);
        assert!(known, "{name} is not listed in LAYERS");
    }
}

#[test]
fn no_file_is_longer_than_the_maximum() {
    let mut too_long = Vec::new();
    for folder in ["src", "platform", "standins", "benches", "examples"] {
        for file in rust_files(&root().join(folder)) {
            let lines = fs::read_to_string(&file).expect("text").lines().count();
            if lines > MAX_LINES {
                too_long.push(format!("{}: {lines}", file.display()));
            }
        }
    }
    assert!(too_long.is_empty(), "{too_long:#?}");
}
