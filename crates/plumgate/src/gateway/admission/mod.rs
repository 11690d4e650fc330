//! Admission of requests: refusal by predicted wait, the retry budget, and the limit on the age of stored
//! data.

mod budget;
mod freshness;
mod policy;
mod pool_spans;
mod share_history;

pub use budget::{BudgetBounds, BudgetState, WindowBudget};
pub use freshness::FreshnessLease;
pub(crate) use policy::QueuePressure;
pub use policy::{
    AdmissionContext, AdmissionDecision, AdmissionPolicy, AdmissionReason, MemoryFit,
    QueuePrediction, ShareStanding,
};
pub(crate) use policy::{MIN_PROMISE_DELAY, RETURN_QUEUE_SHARE, longest_retry_delay};
