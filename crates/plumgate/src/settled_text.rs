//! Content of a file that its writer may be replacing.
//!
//! A file without an end mark that is read while it is written looks like a shorter one. Its content counts once two
//! reads in a row agree.

/// Content of a file, as far as reads agree on it.
#[derive(Clone, Debug, Default)]
pub struct SettledText {
    /// Content that is in force.
    applied: Vec<u8>,
    /// Content of the last read, if it is another one.
    pending: Option<Vec<u8>>,
}

impl SettledText {
    /// Creates the state of a file whose content is in force.
    pub fn new(applied: Vec<u8>) -> Self {
        Self {
            applied,
            pending: None,
        }
    }

    /// Records a read. Returns the content if it is to be put in force now.
    pub fn record_read(&mut self, content: Vec<u8>) -> Option<&[u8]> {
        if content == self.applied {
            self.pending = None;
            return None;
        }
        if self.pending.as_ref() != Some(&content) {
            self.pending = Some(content);
            return None;
        }
        self.pending = None;
        self.applied = content;
        Some(&self.applied)
    }

    /// Returns whether the file should be read again soon.
    pub fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the content that is in force.
    pub fn applied(&self) -> &[u8] {
        &self.applied
    }
}
