//! State of one request on one node, following the state chart `charts/attempt.toml`.

use std::sync::{Arc, LazyLock};

use crate::chart::{ChartRun, StateChart};
use crate::errors::Result;
use crate::ids::{AttemptNumber, ServerId};
use crate::outcome::RunOutcome;

/// Text of the state chart of a request.
pub const ATTEMPT_CHART: &str = include_str!("../charts/attempt.toml");

static CHART: LazyLock<Arc<StateChart>> = LazyLock::new(|| {
    let chart = StateChart::read("attempt.toml", ATTEMPT_CHART);
    Arc::new(chart.expect("the chart is part of the program and checked by its tests"))
});

/// Event in the processing of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// A server was chosen.
    Dispatched,
    /// The connection to the server could not be established.
    ConnectFailed,
    /// The first byte of the request is about to be sent.
    FirstByte,
    /// The server reported that it did not run the request.
    ServerRefused,
    /// The response head arrived.
    HeadReceived,
    /// The connection broke or stopped delivering data.
    ConnectionLost,
    /// The same run continues over another connection.
    Resumed,
    /// The request is queued again for another run.
    RunAgain,
    /// The earlier server, which was only silent, answers first.
    FirstAnswers,
    /// The response is complete.
    Finished,
    /// The node or the caller abandoned the request.
    GivenUp,
}

impl AttemptEvent {
    /// Returns the name of the event in the chart.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Dispatched => "dispatched",
            Self::ConnectFailed => "connect_failed",
            Self::FirstByte => "first_byte",
            Self::ServerRefused => "server_refused",
            Self::HeadReceived => "head_received",
            Self::ConnectionLost => "cut",
            Self::Resumed => "resumed",
            Self::RunAgain => "run_again",
            Self::FirstAnswers => "first_answers",
            Self::Finished => "finished",
            Self::GivenUp => "given_up",
        }
    }
}

/// Progress of one request through its attempts.
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
    /// Creates the state of a request that has not been dispatched yet.
    pub fn new() -> Self {
        Self {
            run: ChartRun::new(CHART.clone()),
            number: 0,
            tried: Vec::new(),
        }
    }

    /// Applies an event; fails if the current state does not expect it.
    pub fn apply(&mut self, event: AttemptEvent) -> Result<()> {
        self.run.apply(event.as_str())
    }

    /// Returns whether the current state expects an event.
    pub fn expects(&self, event: AttemptEvent) -> bool {
        self.run.expects(event.as_str())
    }

    /// Starts the next attempt, on the given server.
    pub fn dispatch(&mut self, server: ServerId) -> Result<()> {
        self.apply(AttemptEvent::Dispatched)?;
        self.number += 1;
        self.tried.push(server);
        Ok(())
    }

    /// Returns the number of the current attempt, 0 before the first.
    pub fn number(&self) -> AttemptNumber {
        self.number
    }

    /// Returns the servers that were tried, in order.
    pub fn tried(&self) -> &[ServerId] {
        &self.tried
    }

    /// Returns the outcome that the caller gets if the request is abandoned now.
    pub fn outcome(&self) -> RunOutcome {
        // Every state of the chart names its outcome; a state without one counts as an in-doubt run.
        self.run.outcome().unwrap_or(RunOutcome::Unknown)
    }

    /// Returns the name of the current state in the chart.
    pub fn state(&self) -> &str {
        self.run.state()
    }
}
