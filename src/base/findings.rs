//! Errors in input files, collected with their positions and reported together.

use std::fmt;

use serde::Serialize;

/// Position in a text file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct TextPosition {
    /// Line, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
}

impl TextPosition {
    /// Returns the position of a byte offset in `text`.
    #[must_use]
    pub fn of(text: &str, offset: usize) -> Self {
        let mut end = offset.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|&c| c != '\n').count() + 1;
        Self { line, column }
    }
}

/// One error in a file and its position.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct FileFinding {
    /// Name of the file as the operator gave it.
    pub file: String,
    /// Position in the file.
    #[serde(rename = "place")]
    pub position: TextPosition,
    /// What is wrong and what is expected instead.
    pub text: String,
}

impl fmt::Display for FileFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.position.line, self.position.column, self.text)
    }
}

/// All errors found; when it is returned, nothing was started or changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FindingList(pub Vec<FileFinding>);

impl FindingList {
    /// Returns a list of one error that concerns the file as a whole.
    pub(crate) fn of_file(file: &str, text: &str) -> Self {
        let position = TextPosition { line: 1, column: 1 };
        Self(vec![FileFinding { file: file.to_owned(), position, text: text.to_owned() }])
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingList {}

/// Returns the known name most similar to `wrong`, if any is similar enough to suggest.
#[must_use]
pub fn closest_name<'a>(wrong: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let limit = wrong.chars().count() / 2 + 1;
    known
        .map(|name| (distance(wrong, name), name))
        .filter(|&(distance, _)| distance <= limit)
        .min()
        .map(|(_, name)| name)
}

/// Returns the Levenshtein distance between two names.
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.chars().enumerate() {
        let mut corner = row[0];
        row[0] = i + 1;
        for (j, &b) in right.iter().enumerate() {
            let replace = corner + usize::from(a != b);
            corner = row[j + 1];
            row[j + 1] = replace.min(corner + 1).min(row[j] + 1);
        }
    }
    row[right.len()]
}
