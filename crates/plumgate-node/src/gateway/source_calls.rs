//! Counts and logs a node's calls to the source by their cause.

use super::metrics::{LeftOutLabels, SourceCallLabels};
use super::ports::{RowsLeftOut, SourceTopic};
use super::shared::GatewayShared;
use crate::clock::Clock;
use crate::log::LogLine;

/// Cause of a call to the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallCause {
    /// The node started and has no state yet.
    Start,
    /// The node follows a topic for itself or for other nodes.
    Watch,
    /// A change has to be written, or read because no other node could send it.
    Change,
    /// An earlier call failed, or no recent state was received.
    Outage,
    /// The node reads or writes the register of nodes.
    Register,
    /// The node leaves.
    Leave,
}

impl CallCause {
    /// Returns the name used in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Watch => "watch",
            Self::Change => "change",
            Self::Outage => "outage",
            Self::Register => "register",
            Self::Leave => "leave",
        }
    }
}

/// Subject of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallTopic {
    /// A topic that the fleet follows.
    Followed(SourceTopic),
    /// The register of nodes.
    Nodes,
    /// Stored verdicts on poison requests.
    Verdicts,
    /// The lease of the duties.
    Duties,
}

impl CallTopic {
    /// Returns the name used in logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Followed(topic) => topic.as_str(),
            Self::Nodes => "nodes",
            Self::Verdicts => "verdicts",
            Self::Duties => "duties",
        }
    }
}

/// Records whether a call was answered or failed. The store's rate limits apply to all nodes together: the
/// sum of these lines over the fleet shows what uses them.
pub(crate) fn record_source_call<C: Clock, W>(
    shared: &GatewayShared<C, W>,
    topic: CallTopic,
    cause: CallCause,
    is_ok: bool,
) {
    let labels = SourceCallLabels {
        topic: topic.as_str(),
        cause: cause.as_str(),
        result: if is_ok { "ok" } else { "failed" },
    };
    shared
        .metrics
        .fleet
        .source_calls
        .get_or_create(&labels)
        .inc();
    LogLine::new("source_call")
        .with("topic", labels.topic)
        .with("cause", labels.cause)
        .with("result", labels.result)
        .info(&shared.log);
}

/// Records the rows of an answer that were left out.
pub(crate) fn record_rows_left_out<C: Clock, W>(
    shared: &GatewayShared<C, W>,
    topic: SourceTopic,
    left_out: RowsLeftOut,
) {
    if left_out == RowsLeftOut::default() {
        return;
    }
    let topic = topic.as_str();
    let metrics = &shared.metrics.fleet.source_rows_left_out;
    let counts = [
        ("unreadable", left_out.unreadable),
        ("repeated", left_out.repeated),
        ("unreached_page", usize::from(left_out.is_partial)),
    ];
    for (reason, count) in counts {
        let labels = LeftOutLabels { topic, reason };
        metrics.get_or_create(&labels).inc_by(count as u64);
    }
    LogLine::new("rows_left_out")
        .with("topic", topic)
        .with("unreadable", left_out.unreadable)
        .with("repeated", left_out.repeated)
        .with("partial", left_out.is_partial)
        .warn(&shared.log);
}
