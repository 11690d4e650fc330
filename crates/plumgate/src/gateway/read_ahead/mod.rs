//! Bounds on what a node reads of answers before their callers take it.

mod table;

pub use table::{ReadAheadBounds, ReadAheadTable, ReadAheadUse, StreamNumber};
