//! Metrics of the duties of the fleet.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Labels of a call to the duty API.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct DutyCallLabels {
    /// `report` or `order`.
    pub(crate) call: &'static str,
    /// `ok` or `failed`.
    pub(crate) result: &'static str,
}

/// Lease of the duties.
#[derive(Default)]
pub(crate) struct DutyMetrics {
    /// Generation number of the duties while this node holds them; 0 otherwise.
    pub(crate) number: Gauge,
    /// Renewals of the duty lease.
    pub(crate) renewals: Counter,
}

impl DutyMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "duty_number",
            "Generation number of the duties held here",
            self.number.clone(),
        );
        registry.register(
            "duty_renewals",
            "Renewals of the duties' lease",
            self.renewals.clone(),
        );
    }
}
