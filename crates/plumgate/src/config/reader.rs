//! Reader of TOML tables, field by field, that records every finding with its line.

use std::cell::RefCell;
use std::collections::BTreeSet;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::findings::{FileFinding, FindingList, nearest_name};

/// File of the configuration with the findings about it.
pub(crate) struct SourceFile<'a> {
    name: &'a str,
    text: &'a str,
    findings: RefCell<FindingList>,
}

impl<'a> SourceFile<'a> {
    /// Creates a file with this name for findings.
    pub(crate) fn new(name: &'a str, text: &'a str) -> Self {
        Self {
            name,
            text,
            findings: RefCell::default(),
        }
    }

    /// Parses the text; syntax errors become findings.
    pub(crate) fn parse(&self) -> Spanned<DeTable<'a>> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            self.report(offset, "", error.message().to_owned());
        }
        table
    }

    /// Records a finding at a byte offset of the text.
    pub(crate) fn report(&self, offset: usize, field: &str, message: String) {
        let end = offset.min(self.text.len());
        let line = self.text.as_bytes()[..end]
            .iter()
            .filter(|b| **b == b'\n')
            .count()
            + 1;
        self.findings.borrow_mut().push(FileFinding {
            file: self.name.to_owned(),
            line: Some(line),
            field: field.to_owned(),
            message,
        });
    }

    /// Returns all findings so far.
    pub(crate) fn into_findings(self) -> FindingList {
        self.findings.into_inner()
    }
}

/// Value with its location in the file.
pub(crate) struct Located<T> {
    /// Value as read.
    pub(crate) value: T,
    /// Byte offset in the file.
    pub(crate) offset: usize,
    /// Dotted path of the field.
    pub(crate) field: String,
}

/// Reader of one table, which records the fields that were requested.
pub(crate) struct TableReader<'f, 't> {
    source: &'f SourceFile<'t>,
    table: &'f DeTable<'t>,
    path: String,
    offset: usize,
    requested: RefCell<BTreeSet<&'static str>>,
}

impl<'f, 't> TableReader<'f, 't> {
    /// Creates a reader of the root table.
    pub(crate) fn new(source: &'f SourceFile<'t>, table: &'f Spanned<DeTable<'t>>) -> Self {
        Self::with_path(source, table.get_ref(), String::new(), table.span().start)
    }

    fn with_path(
        source: &'f SourceFile<'t>,
        table: &'f DeTable<'t>,
        path: String,
        offset: usize,
    ) -> Self {
        Self {
            source,
            table,
            path,
            offset,
            requested: RefCell::default(),
        }
    }

    /// Returns the named tables below a field, each with its reader.
    pub(crate) fn tables(&self, field: &'static str) -> Vec<(String, TableReader<'f, 't>)> {
        let Some(value) = self.find(field) else {
            return Vec::new();
        };
        let DeValue::Table(table) = value.get_ref() else {
            self.report_wrong_type::<()>(field, value, "a table");
            return Vec::new();
        };
        let mut readers = Vec::new();
        for (name, entry) in table.iter() {
            let path = format!("{}.{}", self.path_to(field), name.get_ref());
            match entry.get_ref() {
                DeValue::Table(inner) => {
                    let offset = name.span().start;
                    let reader = Self::with_path(self.source, inner, path, offset);
                    readers.push((name.get_ref().to_string(), reader));
                }
                other => self.source.report(
                    entry.span().start,
                    &path,
                    format!("has type {}, expected a table", other.type_str()),
                ),
            }
        }
        readers
    }

    /// Returns a string field, if present.
    pub(crate) fn string(&self, field: &'static str) -> Option<Located<String>> {
        let value = self.find(field)?;
        match value.get_ref() {
            DeValue::String(text) => Some(self.located(field, value, text.to_string())),
            _ => self.report_wrong_type(field, value, "a string"),
        }
    }

    /// Returns a string field; records a finding if it is missing.
    pub(crate) fn required_string(&self, field: &'static str) -> Option<Located<String>> {
        if self.find(field).is_none() {
            self.report_missing(field);
        }
        self.string(field)
    }

    /// Returns all strings of a table below a field, by name.
    pub(crate) fn string_table(&self, field: &'static str) -> Vec<(String, Located<String>)> {
        let Some(value) = self.find(field) else {
            return Vec::new();
        };
        let DeValue::Table(table) = value.get_ref() else {
            self.report_wrong_type::<()>(field, value, "a table");
            return Vec::new();
        };
        let mut fields = Vec::new();
        for (name, entry) in table.iter() {
            let path = format!("{field}.{}", name.get_ref());
            match entry.get_ref() {
                DeValue::String(text) => {
                    let located = self.located(&path, entry, text.to_string());
                    fields.push((name.get_ref().to_string(), located));
                }
                _ => {
                    self.report_wrong_type::<()>(&path, entry, "a string");
                }
            }
        }
        fields
    }

    /// Returns a list of strings; empty if the field is missing.
    pub(crate) fn strings(&self, field: &'static str) -> Vec<Located<String>> {
        let Some(value) = self.find(field) else {
            return Vec::new();
        };
        let DeValue::Array(array) = value.get_ref() else {
            self.report_wrong_type::<()>(field, value, "a list of strings");
            return Vec::new();
        };
        let mut texts = Vec::new();
        for entry in array.iter() {
            match entry.get_ref() {
                DeValue::String(text) => texts.push(self.located(field, entry, text.to_string())),
                _ => {
                    self.report_wrong_type::<()>(field, entry, "a string");
                }
            }
        }
        texts
    }

    /// Returns an integer from 0 to `max`; `default` if the field is missing or invalid.
    pub(crate) fn integer(&self, field: &'static str, default: u64, max: u64) -> u64 {
        let Some(value) = self.find(field) else {
            return default;
        };
        let DeValue::Integer(number) = value.get_ref() else {
            self.report_wrong_type::<()>(field, value, "an integer");
            return default;
        };
        let parsed = u64::from_str_radix(number.as_str(), number.radix()).ok();
        match parsed.filter(|n| *n <= max) {
            Some(number) => number,
            None => {
                let message = format!("{} is not between 0 and {max}", number.as_str());
                self.source
                    .report(value.span().start, &self.path_to(field), message);
                default
            }
        }
    }

    /// Returns an integer above 0 and up to `max`; records a finding if it is missing or out of range.
    pub(crate) fn required_integer(&self, field: &'static str, max: u64) -> u64 {
        let Some(value) = self.find(field) else {
            self.report_missing(field);
            return 1;
        };
        let number = self.integer(field, 1, max);
        if number == 0 {
            self.source.report(
                value.span().start,
                &self.path_to(field),
                "must be above 0".into(),
            );
        }
        number
    }

    /// Returns a share from 0 to 1; `default` if the field is missing or invalid.
    pub(crate) fn share(&self, field: &'static str, default: f64) -> f64 {
        let Some(value) = self.find(field) else {
            return default;
        };
        let parsed = match value.get_ref() {
            DeValue::Float(number) => number.as_str().parse::<f64>().ok(),
            DeValue::Integer(number) => number.as_str().parse::<f64>().ok(),
            _ => None,
        };
        match parsed.filter(|share| (0.0..=1.0).contains(share)) {
            Some(share) => share,
            None => self
                .report_wrong_type(field, value, "a share from 0 to 1")
                .unwrap_or(default),
        }
    }

    /// Returns a boolean; `default` if the field is missing or invalid.
    pub(crate) fn boolean(&self, field: &'static str, default: bool) -> bool {
        let Some(value) = self.find(field) else {
            return default;
        };
        match value.get_ref() {
            DeValue::Boolean(flag) => *flag,
            _ => self
                .report_wrong_type(field, value, "true or false")
                .unwrap_or(default),
        }
    }

    /// Returns a name, if present; records a finding if it is not one of `known`.
    pub(crate) fn known_name(
        &self,
        field: &'static str,
        noun: &str,
        known: &[&str],
    ) -> Option<String> {
        let located = self.string(field)?;
        self.check_name(&located, noun, known);
        Some(located.value)
    }

    /// Returns a name; records a finding if it is missing or not one of `known`.
    pub(crate) fn required_known_name(
        &self,
        field: &'static str,
        noun: &str,
        known: &[&str],
    ) -> Option<String> {
        if self.find(field).is_none() {
            self.report_missing(field);
        }
        self.known_name(field, noun, known)
    }

    /// Records a finding, with a suggestion, if a name is not one of `known`.
    pub(crate) fn check_name(&self, located: &Located<String>, noun: &str, known: &[&str]) {
        if known.contains(&located.value.as_str()) {
            return;
        }
        let mut message = format!("\"{}\" is not a {noun}", located.value);
        match nearest_name(&located.value, known.iter().copied()) {
            Some(similar) => message.push_str(&format!("; did you mean \"{similar}\"?")),
            None => message.push_str(&format!("; known are {}", known.join(", "))),
        }
        self.source.report(located.offset, &located.field, message);
    }

    /// Records a finding about a field's value.
    pub(crate) fn report_value<T>(&self, located: &Located<T>, message: String) {
        self.source.report(located.offset, &located.field, message);
    }

    /// Records a finding about the table as a whole.
    pub(crate) fn report(&self, message: &str) {
        self.source
            .report(self.offset, &self.path, message.to_owned());
    }

    /// Records a finding for each field that was not requested: most of these are misspelt.
    pub(crate) fn finish(self) {
        let requested = self.requested.borrow();
        for (name, _) in self.table.iter() {
            if requested.contains(name.get_ref().as_ref()) {
                continue;
            }
            let path = self.path_to(name.get_ref());
            let message = match nearest_name(name.get_ref(), requested.iter().copied()) {
                Some(similar) => format!("is not a field; did you mean \"{similar}\"?"),
                None => "is not a field".to_owned(),
            };
            self.source.report(name.span().start, &path, message);
        }
    }

    fn find(&self, field: &'static str) -> Option<&'f Spanned<DeValue<'t>>> {
        self.requested.borrow_mut().insert(field);
        self.table.get(field)
    }

    fn path_to(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    fn located<T>(&self, field: &str, value: &Spanned<DeValue<'t>>, inner: T) -> Located<T> {
        Located {
            value: inner,
            offset: value.span().start,
            field: self.path_to(field),
        }
    }

    fn report_missing(&self, field: &str) {
        self.source
            .report(self.offset, &self.path_to(field), "is missing".to_owned());
    }

    fn report_wrong_type<T>(
        &self,
        field: &str,
        value: &Spanned<DeValue<'t>>,
        expected: &str,
    ) -> Option<T> {
        let found = value.get_ref().type_str();
        let message = format!("has type {found}, expected {expected}");
        self.source
            .report(value.span().start, &self.path_to(field), message);
        None
    }
}
