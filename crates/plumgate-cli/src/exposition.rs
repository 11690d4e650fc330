//! Parser of the text format in which nodes export metrics.

use std::collections::BTreeMap;

use displaydoc::Display;

/// Labels of a sample, by name.
pub(crate) type SampleLabels = BTreeMap<String, String>;

/// Line that marks the end of a page.
const END_MARK: &str = "# EOF";

/// Reason for which a line of a page can't be read.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum LineError {
    /// no name of a metric at its start
    Name,
    /// labels that are not name="value" between braces
    Labels,
    /// no finite number after the name and labels
    Number,
    /// a second value of the same name and labels
    Duplicate,
    /// the page does not end with "# EOF"
    NoEnd,
}

impl std::error::Error for LineError {}

/// Value of a metric with its labels.
#[derive(Clone, Debug, PartialEq)]
struct Sample {
    name: String,
    labels: SampleLabels,
    value: f64,
}

/// Samples of a page, and the lines that can't be read.
#[derive(Debug, Default)]
pub(crate) struct MetricsPage {
    /// Values by name and labels.
    pub(crate) samples: BTreeMap<String, BTreeMap<SampleLabels, f64>>,
    errors: Vec<(usize, LineError)>,
}

impl MetricsPage {
    /// Reads a page. Comments and empty lines are skipped.
    pub(crate) fn parse(text: &str) -> Self {
        let mut page = Self::default();
        let mut line_count = 0;
        let mut has_end = false;
        for (index, line) in text.lines().enumerate() {
            line_count = index + 1;
            has_end = line == END_MARK;
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let added = parse_line(line).and_then(|sample| page.add(sample));
            if let Err(error) = added {
                page.errors.push((line_count, error));
            }
        }
        if !has_end {
            page.errors.push((line_count + 1, LineError::NoEnd));
        }
        page
    }

    fn add(&mut self, sample: Sample) -> Result<(), LineError> {
        let values = self.samples.entry(sample.name).or_default();
        if values.contains_key(&sample.labels) {
            return Err(LineError::Duplicate);
        }
        values.insert(sample.labels, sample.value);
        Ok(())
    }

    /// Returns the values of a metric with their labels.
    pub(crate) fn values(
        &self,
        name: &str,
    ) -> impl Iterator<Item = (&SampleLabels, f64)> + use<'_> {
        let values = self.samples.get(name).into_iter().flatten();
        values.map(|(labels, value)| (labels, *value))
    }

    /// Returns whether the page has a metric whose name begins with a prefix.
    pub(crate) fn has_prefix(&self, prefix: &str) -> bool {
        self.samples.keys().any(|name| name.starts_with(prefix))
    }

    /// Returns the lines that can't be read, by number from 1.
    pub(crate) fn errors(&self) -> &[(usize, LineError)] {
        &self.errors
    }
}

fn parse_line(line: &str) -> Result<Sample, LineError> {
    let (name, rest) = split_name(line).ok_or(LineError::Name)?;
    let (labels, rest) = match rest.strip_prefix('{') {
        Some(rest) => parse_labels(rest).ok_or(LineError::Labels)?,
        None => (SampleLabels::new(), rest),
    };
    let number = rest.strip_prefix(' ').ok_or(LineError::Number)?;
    let value = number.parse().map_err(|_| LineError::Number)?;
    if !f64::is_finite(value) {
        return Err(LineError::Number);
    }
    Ok(Sample {
        name: name.to_owned(),
        labels,
        value,
    })
}

/// Splits off a name of a metric or label: letters, digits, `_` and `:`, and no digit at its start.
fn split_name(text: &str) -> Option<(&str, &str)> {
    let is_part = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == ':';
    let end = text.find(|c| !is_part(c)).unwrap_or(text.len());
    let (name, rest) = text.split_at(end);
    let first = name.chars().next()?;
    (!first.is_ascii_digit()).then_some((name, rest))
}

/// Reads labels up to the closing brace, and returns them with the text that follows.
fn parse_labels(text: &str) -> Option<(SampleLabels, &str)> {
    let mut labels = SampleLabels::new();
    let mut rest = text;
    loop {
        if let Some(rest) = rest.strip_prefix('}') {
            return Some((labels, rest));
        }
        let (name, after_name) = split_name(rest)?;
        let quoted = after_name.strip_prefix("=\"")?;
        let (value, after_value) = parse_quoted(quoted)?;
        if labels.insert(name.to_owned(), value).is_some() {
            return None;
        }
        rest = match after_value.strip_prefix(',') {
            Some(rest) => rest,
            None if after_value.starts_with('}') => after_value,
            None => return None,
        };
    }
}

/// Reads a label's value up to its closing quote, and returns it with the text that follows.
fn parse_quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((position, c)) = chars.next() {
        match c {
            '"' => return Some((value, &text[position + 1..])),
            '\\' => match chars.next()?.1 {
                'n' => value.push('\n'),
                escaped @ ('"' | '\\') => value.push(escaped),
                _ => return None,
            },
            _ => value.push(c),
        }
    }
    None
}
