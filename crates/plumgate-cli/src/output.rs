//! Output of the tool.

use std::fmt::Display;
use std::io::{self, Write};
use std::process;

/// Prints a text and a line break to standard output.
///
/// If the reader has closed the pipe, as `head` does, the tool exits with code 0.
pub(crate) fn print_line(text: impl Display) {
    if writeln!(io::stdout(), "{text}").is_err() {
        process::exit(0);
    }
}
