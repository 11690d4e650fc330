//! Backend servers that name the rate of requests that they take from all nodes together.

mod observed;
mod statement;
mod table;

pub use observed::{BootTime, LimitChange, LimitSighting};
pub use statement::{RateStatement, RequestRate, ServerStatement};
pub use table::ServerLimits;
