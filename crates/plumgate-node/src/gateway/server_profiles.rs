//! Log lines and metrics of the profiles of individual servers.

use super::shared::GatewayShared;
use crate::clock::Clock;
use crate::log::LogLine;

impl<C: Clock, W> GatewayShared<C, W> {
    /// Logs the profiles that changed by a step, and updates the numbers of slow and fast servers.
    pub(crate) fn report_profiles(&self) {
        let mut loads = self.loads();
        let changes = loads.take_profile_changes();
        let counts = loads.profile_counts();
        drop(loads);
        for change in changes {
            LogLine::new("server_profile")
                .with("server", &change.server)
                .with("prefill", change.prefill)
                .with("decode", change.decode)
                .with("weight", format!("{:.1}", change.weight))
                .with("own_weight", format!("{:.1}", change.own_weight))
                .info(&self.log);
        }
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.profiles.slow_servers.set(gauge(counts.slow));
        self.metrics.profiles.fast_servers.set(gauge(counts.fast));
    }
}
