//! Counts and logs a node's calls to the source, by what made them.

use super::metrics::CallLabels;
use super::ports::SourceTopic;
use super::shared::GatewayShared;
use crate::clock::Clock;
use crate::log::LogLine;

/// What made a node call the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallCause {
    /// It started and knew nothing yet.
    Start,
    /// It follows a topic for itself or for other nodes.
    Watch,
    /// Something changed that no other node could tell.
    Change,
    /// An earlier call failed, or nothing recent was told.
    Outage,
    /// It keeps the register of nodes.
    Register,
    /// It leaves.
    Leave,
}

impl CallCause {
    /// The name used in logs and metrics.
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

/// What a call is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallTopic {
    /// What the fleet follows.
    Followed(SourceTopic),
    /// The register of nodes.
    Nodes,
    /// Requests that are held back.
    Verdicts,
    /// The lease of the duties.
    Duties,
}

impl CallTopic {
    /// The name used in logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Followed(topic) => topic.as_str(),
            Self::Nodes => "nodes",
            Self::Verdicts => "verdicts",
            Self::Duties => "duties",
        }
    }
}

/// A call was answered or failed. The store's rates are for all nodes together: the sum of these lines
/// over the fleet tells what uses them.
pub(crate) fn note_source_call<C: Clock, W>(
    shared: &GatewayShared<C, W>,
    topic: CallTopic,
    cause: CallCause,
    is_ok: bool,
) {
    let labels = CallLabels {
        topic: topic.as_str(),
        cause: cause.as_str(),
        result: if is_ok { "ok" } else { "failed" },
    };
    shared.metrics.source_calls.get_or_create(&labels).inc();
    LogLine::new("source_call")
        .with("topic", labels.topic)
        .with("cause", labels.cause)
        .with("result", labels.result)
        .info(&shared.log);
}
