//! Reads TOML tables field by field and keeps every finding with its line.

use std::cell::RefCell;
use std::collections::BTreeSet;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::findings::{FileFinding, FindingList, nearest_name};

/// One file of the configuration and the findings about it.
pub(crate) struct SourceFile<'a> {
    name: &'a str,
    text: &'a str,
    findings: RefCell<FindingList>,
}

impl<'a> SourceFile<'a> {
    /// A file that is read under this name.
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

    /// All findings so far.
    pub(crate) fn into_findings(self) -> FindingList {
        self.findings.into_inner()
    }
}

/// A value together with the byte offset where it stands.
pub(crate) struct Placed<T> {
    /// The value as read.
    pub(crate) value: T,
    /// Byte offset in the file.
    pub(crate) offset: usize,
    /// Dotted path of the field.
    pub(crate) field: String,
}

/// Reads one table; remembers which fields were asked for.
pub(crate) struct TableReader<'f, 't> {
    source: &'f SourceFile<'t>,
    table: &'f DeTable<'t>,
    path: String,
    offset: usize,
    asked: RefCell<BTreeSet<&'static str>>,
}

impl<'f, 't> TableReader<'f, 't> {
    /// A reader of the root table.
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
            asked: RefCell::default(),
        }
    }

    /// The named tables below a field, each with its reader.
    pub(crate) fn tables(&self, field: &'static str) -> Vec<(String, TableReader<'f, 't>)> {
        let Some(value) = self.find(field) else {
            return Vec::new();
        };
        let DeValue::Table(table) = value.get_ref() else {
            self.wrong_type::<()>(field, value, "a table");
            return Vec::new();
        };
        let mut readers = Vec::new();
        for (name, entry) in table.iter() {
            let path = format!("{}.{}", self.path_of(field), name.get_ref());
            match entry.get_ref() {
                DeValue::Table(inner) => {
                    let offset = name.span().start;
                    let reader = Self::with_path(self.source, inner, path, offset);
                    readers.push((name.get_ref().to_string(), reader));
                }
                other => self.source.report(
                    entry.span().start,
                    &path,
                    format!("is {}, where a table belongs", other.type_str()),
                ),
            }
        }
        readers
    }

    /// A text field.
    pub(crate) fn string(&self, field: &'static str) -> Option<Placed<String>> {
        let value = self.find(field)?;
        match value.get_ref() {
            DeValue::String(text) => Some(self.placed(field, value, text.to_string())),
            _ => self.wrong_type(field, value, "a text"),
        }
    }

    /// A text field that must be there.
    pub(crate) fn required_string(&self, field: &'static str) -> Option<Placed<String>> {
        if self.find(field).is_none() {
            self.missing(field);
        }
        self.string(field)
    }

    /// All texts of a table below a field, by name.
    pub(crate) fn string_fields(&self, field: &'static str) -> Vec<(String, Placed<String>)> {
        let Some(value) = self.find(field) else {
            return Vec::new();
        };
        let DeValue::Table(table) = value.get_ref() else {
            self.wrong_type::<()>(field, value, "a table");
            return Vec::new();
        };
        let mut fields = Vec::new();
        for (name, entry) in table.iter() {
            let path = format!("{field}.{}", name.get_ref());
            match entry.get_ref() {
                DeValue::String(text) => {
                    let placed = self.placed(&path, entry, text.to_string());
                    fields.push((name.get_ref().to_string(), placed));
                }
                _ => {
                    self.wrong_type::<()>(&path, entry, "a text");
                }
            }
        }
        fields
    }

    /// A list of texts; empty where the field is missing.
    pub(crate) fn strings(&self, field: &'static str) -> Vec<Placed<String>> {
        let Some(value) = self.find(field) else {
            return Vec::new();
        };
        let DeValue::Array(array) = value.get_ref() else {
            self.wrong_type::<()>(field, value, "a list of texts");
            return Vec::new();
        };
        let mut texts = Vec::new();
        for entry in array.iter() {
            match entry.get_ref() {
                DeValue::String(text) => texts.push(self.placed(field, entry, text.to_string())),
                _ => {
                    self.wrong_type::<()>(field, entry, "a text");
                }
            }
        }
        texts
    }

    /// A whole number within bounds; the default where the field is missing.
    pub(crate) fn integer(&self, field: &'static str, default: u64, most: u64) -> u64 {
        let Some(value) = self.find(field) else {
            return default;
        };
        let DeValue::Integer(number) = value.get_ref() else {
            self.wrong_type::<()>(field, value, "a whole number");
            return default;
        };
        let parsed = u64::from_str_radix(number.as_str(), number.radix()).ok();
        match parsed.filter(|n| *n <= most) {
            Some(number) => number,
            None => {
                let message = format!("{} is not between 0 and {most}", number.as_str());
                self.source
                    .report(value.span().start, &self.path_of(field), message);
                default
            }
        }
    }

    /// A whole number that must be there and be above 0.
    pub(crate) fn required_integer(&self, field: &'static str, most: u64) -> u64 {
        let Some(value) = self.find(field) else {
            self.missing(field);
            return 1;
        };
        let number = self.integer(field, 1, most);
        if number == 0 {
            self.source.report(
                value.span().start,
                &self.path_of(field),
                "must be above 0".into(),
            );
        }
        number
    }

    /// A share from 0 to 1; the default where the field is missing.
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
                .wrong_type(field, value, "a share from 0 to 1")
                .unwrap_or(default),
        }
    }

    /// A yes-or-no field; the default where it is missing.
    pub(crate) fn boolean(&self, field: &'static str, default: bool) -> bool {
        let Some(value) = self.find(field) else {
            return default;
        };
        match value.get_ref() {
            DeValue::Boolean(flag) => *flag,
            _ => self
                .wrong_type(field, value, "true or false")
                .unwrap_or(default),
        }
    }

    /// A name that must be one of the known ones, where the field is there.
    pub(crate) fn name_of(
        &self,
        field: &'static str,
        noun: &str,
        known: &[&str],
    ) -> Option<String> {
        let placed = self.string(field)?;
        self.check_name(&placed, noun, known);
        Some(placed.value)
    }

    /// A name that must be there and be one of the known ones.
    pub(crate) fn required_name_of(
        &self,
        field: &'static str,
        noun: &str,
        known: &[&str],
    ) -> Option<String> {
        if self.find(field).is_none() {
            self.missing(field);
        }
        self.name_of(field, noun, known)
    }

    /// Records a finding where a name is not a known one, with a suggestion.
    pub(crate) fn check_name(&self, placed: &Placed<String>, noun: &str, known: &[&str]) {
        if known.contains(&placed.value.as_str()) {
            return;
        }
        let mut message = format!("\"{}\" is not a {noun}", placed.value);
        match nearest_name(&placed.value, known.iter().copied()) {
            Some(near) => message.push_str(&format!("; did you mean \"{near}\"?")),
            None => message.push_str(&format!("; known are {}", known.join(", "))),
        }
        self.source.report(placed.offset, &placed.field, message);
    }

    /// Records a finding about a field's value.
    pub(crate) fn report_placed<T>(&self, placed: &Placed<T>, message: String) {
        self.source.report(placed.offset, &placed.field, message);
    }

    /// Records a finding about the table as a whole.
    pub(crate) fn report(&self, message: &str) {
        self.source
            .report(self.offset, &self.path, message.to_owned());
    }

    /// Reports fields that nobody asked for: most are misspelt ones.
    pub(crate) fn finish(self) {
        let asked = self.asked.borrow();
        for (name, _) in self.table.iter() {
            if asked.contains(name.get_ref().as_ref()) {
                continue;
            }
            let path = self.path_of(name.get_ref());
            let message = match nearest_name(name.get_ref(), asked.iter().copied()) {
                Some(near) => format!("is not a field; did you mean \"{near}\"?"),
                None => "is not a field".to_owned(),
            };
            self.source.report(name.span().start, &path, message);
        }
    }

    fn find(&self, field: &'static str) -> Option<&'f Spanned<DeValue<'t>>> {
        self.asked.borrow_mut().insert(field);
        self.table.get(field)
    }

    fn path_of(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    fn placed<T>(&self, field: &str, value: &Spanned<DeValue<'t>>, inner: T) -> Placed<T> {
        Placed {
            value: inner,
            offset: value.span().start,
            field: self.path_of(field),
        }
    }

    fn missing(&self, field: &str) {
        self.source
            .report(self.offset, &self.path_of(field), "is missing".to_owned());
    }

    fn wrong_type<T>(&self, field: &str, value: &Spanned<DeValue<'t>>, wanted: &str) -> Option<T> {
        let found = value.get_ref().type_str();
        let message = format!("is of type {found}, where {wanted} belongs");
        self.source
            .report(value.span().start, &self.path_of(field), message);
        None
    }
}
