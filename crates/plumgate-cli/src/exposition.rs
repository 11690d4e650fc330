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
    samples: BTreeMap<String, BTreeMap<SampleLabels, f64>>,
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

#[cfg(test)]
mod tests {
    use super::{LineError, MetricsPage};

    const PAGE: &str = include_str!("../tests/pages/gateway.txt");

    fn errors(text: &str) -> Vec<(usize, LineError)> {
        MetricsPage::parse(text).errors().to_vec()
    }

    /// Guards against a line that is misread as another value instead of being reported.
    #[test]
    fn unreadable_lines_are_reported_with_their_number() {
        use LineError::{Duplicate, Labels, Name, NoEnd, Number};
        let lines = [
            ("1up 1", Name),
            ("{a=\"b\"} 1", Name),
            ("up{a=\"b\" 1", Labels),
            ("up{a=b} 1", Labels),
            ("up{a=\"b\"c=\"d\"} 1", Labels),
            ("up{a=\"b\",a=\"c\"} 1", Labels),
            ("up{a=\"\\x\"} 1", Labels),
            ("up", Number),
            ("up{a=\"b\"}1", Number),
            ("up 1 2", Number),
            ("up NaN", Number),
            ("up +Inf", Number),
            ("down{a=\"b\"} 1\ndown{a=\"b\"} 2", Duplicate),
        ];
        for (line, error) in lines {
            let number = line.lines().count();
            let text = format!("{line}\n# EOF\n");
            assert_eq!(errors(&text), [(number, error)], "{line}");
        }
        assert_eq!(errors("up 1\n# EOF\nup 2\n"), [(3, Duplicate), (4, NoEnd)]);
        assert_eq!(errors(""), [(1, NoEnd)]);
    }

    #[test]
    fn labels_are_unescaped() {
        let page = MetricsPage::parse("up{a=\"b,}\\\"\\\\\\n\",c=\"\",} 1.5\n# EOF\n");
        let (labels, value) = page.values("up").next().expect("a value");
        assert_eq!(
            (labels["a"].as_str(), labels["c"].as_str()),
            ("b,}\"\\\n", "")
        );
        assert_eq!(value, 1.5);
    }

    /// Guards against panics, and lines that are dropped silently, on damaged pages.
    #[test]
    fn every_line_of_a_damaged_page_is_read_or_reported() {
        for seed in 0..200 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut bytes = PAGE.as_bytes().to_vec();
            for _ in 0..rng.usize(1..50) {
                let position = rng.usize(..bytes.len());
                bytes[position] = *rng.choice(b"{}\"\\=,#\n x\xc3").expect("a byte");
            }
            bytes.truncate(rng.usize(..=bytes.len()));
            let text = String::from_utf8_lossy(&bytes);
            let page = MetricsPage::parse(&text);
            let samples = text
                .lines()
                .filter(|line| !line.is_empty() && !line.starts_with('#'));
            let values: usize = page.samples.values().map(|values| values.len()).sum();
            let is_end = |(_, error): &&(usize, LineError)| *error == LineError::NoEnd;
            let end_errors = page.errors.iter().filter(is_end).count();
            let reported = page.errors.len() - end_errors;
            assert_eq!(samples.count(), values + reported, "seed {seed}");
        }
        assert_eq!(errors(PAGE), []);
    }
}
