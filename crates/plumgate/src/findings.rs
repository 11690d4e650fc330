//! Findings about an operator's input, collected with their location and reported together.

use std::fmt;

/// Minimum Jaro-Winkler similarity, from 0 to 1, at which a known name is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.75;

/// Fault in an operator's input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileFinding {
    /// Name of the file, flag or environment variable.
    pub file: String,
    /// Line in the file, from 1; `None` where the input has no lines.
    pub line: Option<usize>,
    /// Dotted path of the field; empty where the finding is about the whole input.
    pub field: String,
    /// Description of what is wrong, and what is expected instead.
    pub message: String,
}

impl fmt::Display for FileFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.field.is_empty() {
            write!(f, ": {}", self.field)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// All findings about one input.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FindingList {
    findings: Vec<FileFinding>,
}

impl FindingList {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding.
    pub fn push(&mut self, finding: FileFinding) {
        self.findings.push(finding);
    }

    /// Adds all findings of another list.
    pub fn extend(&mut self, other: Self) {
        self.findings.extend(other.findings);
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the findings, sorted by file, line and field.
    pub fn sorted(&self) -> Vec<FileFinding> {
        let mut findings = self.findings.clone();
        findings.sort_by(|a, b| (&a.file, a.line, &a.field).cmp(&(&b.file, b.line, &b.field)));
        findings
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in self.sorted() {
            writeln!(f, "{finding}")?;
        }
        let count = self.findings.len();
        let noun = if count == 1 { "finding" } else { "findings" };
        write!(f, "{count} {noun}; nothing was applied")
    }
}

/// Returns the known name most similar to a misspelt one, if any is similar enough.
pub(crate) fn nearest_name<'a>(
    name: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    known
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}
