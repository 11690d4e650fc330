//! Labels that several groups of metrics use.

use prometheus_client::encoding::EncodeLabelSet;

/// Label of events by reason.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ReasonLabels {
    /// Reason of the event.
    pub(crate) reason: &'static str,
}

/// Label of values of a pool.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct PoolLabels {
    /// Name of the pool.
    pub(crate) pool: String,
}
