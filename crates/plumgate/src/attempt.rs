//! One request on its way through one node, as `charts/attempt.toml` allows it.

use std::sync::{Arc, LazyLock};

use crate::chart::{ChartRun, StateChart};
use crate::errors::Result;
use crate::ids::{AttemptNumber, ServerId};
use crate::outcome::RunOutcome;

/// The text of the chart.
pub const ATTEMPT_CHART: &str = include_str!("../charts/attempt.toml");

static CHART: LazyLock<Arc<StateChart>> = LazyLock::new(|| {
    let chart = StateChart::read("attempt.toml", ATTEMPT_CHART);
    Arc::new(chart.expect("the chart is part of the program and checked by its tests"))
});

/// What happens to a request on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// A server was chosen.
    Dispatched,
    /// No connection to the server came about.
    ConnectFailed,
    /// The first byte of the request is about to leave.
    FirstByte,
    /// The server said that it did not run the request.
    ServerRefused,
    /// The head of the answer came.
    HeadReceived,
    /// The connection broke or went silent.
    Cut,
    /// The same run goes on over another connection.
    Resumed,
    /// The request is put back to be run another time.
    RunAgain,
    /// The answer came whole.
    Finished,
    /// The node or the caller gave the request up.
    GivenUp,
}

impl AttemptEvent {
    /// The event's name in the chart.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Dispatched => "dispatched",
            Self::ConnectFailed => "connect_failed",
            Self::FirstByte => "first_byte",
            Self::ServerRefused => "server_refused",
            Self::HeadReceived => "head_received",
            Self::Cut => "cut",
            Self::Resumed => "resumed",
            Self::RunAgain => "run_again",
            Self::Finished => "finished",
            Self::GivenUp => "given_up",
        }
    }
}

/// The progress of one request.
#[derive(Clone, Debug)]
pub struct AttemptRun {
    run: ChartRun,
    number: AttemptNumber,
    tried: Vec<ServerId>,
}

impl Default for AttemptRun {
    fn default() -> Self {
        Self::new()
    }
}

impl AttemptRun {
    /// A request that nothing was done for yet.
    pub fn new() -> Self {
        Self {
            run: ChartRun::new(CHART.clone()),
            number: 0,
            tried: Vec::new(),
        }
    }

    /// Follows an event.
    pub fn apply(&mut self, event: AttemptEvent) -> Result<()> {
        self.run.apply(event.as_str())
    }

    /// Starts the next attempt, on a server.
    pub fn dispatch(&mut self, server: ServerId) -> Result<()> {
        self.apply(AttemptEvent::Dispatched)?;
        self.number += 1;
        self.tried.push(server);
        Ok(())
    }

    /// The number of the current attempt, 0 before the first.
    pub fn number(&self) -> AttemptNumber {
        self.number
    }

    /// The servers that were tried, in order.
    pub fn tried(&self) -> &[ServerId] {
        &self.tried
    }

    /// What the caller would be told if the request were given up now.
    pub fn outcome(&self) -> RunOutcome {
        // Every state of the chart names its outcome; a state without one would be in doubt.
        self.run.outcome().unwrap_or(RunOutcome::Unknown)
    }

    /// The name of the state in the chart.
    pub fn state(&self) -> &str {
        self.run.state()
    }
}
