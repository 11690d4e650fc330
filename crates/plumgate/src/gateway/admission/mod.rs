//! What may run: refusing by queue, the fleet's retries, and for how long what was read holds.

mod budget;
mod freshness;
mod policy;

pub use budget::WindowBudget;
pub use freshness::FreshnessLease;
pub use policy::{AdmissionPolicy, AdmissionVerdict, QueuePrediction};
