//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Record of one run, in `record.txt` of the case's folder.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("a record");
        Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    /// Writes a line with the time since the start in seconds.
    pub fn note(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {line}");
    }
}
