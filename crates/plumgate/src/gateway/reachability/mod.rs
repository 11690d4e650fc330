//! Which backend servers this node reaches, as opposed to which servers run: a node that has lost its links to
//! servers must not take its own view of the network for the state of the fleet.

mod path_table;

pub use path_table::{DirectResult, PathChange, PathTable};
