//! Two runs of one request: one at a server that is silent, and one at another server that may take over.
//!
//! Silence does not show that a server has failed, so its run is kept until the other server answers.

/// What happened to the runs of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RaceEvent {
    /// The first server has sent nothing for too long.
    Silence,
    /// No other server may be asked now.
    Denied,
    /// The second server refused the request, or failed before its answer began.
    SecondFailed,
    /// The answer of the second server began.
    SecondAnswered,
    /// The first server sent something.
    FirstAnswered,
    /// The first server's answer broke off.
    FirstFailed,
    /// The time limit was reached.
    Due,
}

/// What is done with the runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RaceAction {
    /// Wait for the runs that are open.
    Wait,
    /// Ask another server, and go on waiting for the first one.
    AskSecond,
    /// Go on with the first run, and abandon the second one.
    KeepFirst,
    /// Go on with the second run, and abandon the first one.
    TakeSecond,
    /// Fail the request: no run is left.
    Fail,
}

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunState {
    /// It has not been started, or its server failed.
    None,
    /// Its server has not answered yet.
    Open,
}

/// Runs of one request, of which one goes on.
#[derive(Clone, Copy, Debug)]
pub struct RunRace {
    first: RunState,
    second: RunState,
    /// Whether no other server may be asked now.
    is_denied: bool,
}

impl Default for RunRace {
    fn default() -> Self {
        Self::new()
    }
}

impl RunRace {
    /// Creates the race of a request that runs at one server.
    pub fn new() -> Self {
        Self {
            first: RunState::Open,
            second: RunState::None,
            is_denied: false,
        }
    }

    /// Applies an event and returns what is done now.
    pub fn apply(&mut self, event: RaceEvent) -> RaceAction {
        match event {
            RaceEvent::FirstAnswered => RaceAction::KeepFirst,
            RaceEvent::SecondAnswered => RaceAction::TakeSecond,
            RaceEvent::Due => RaceAction::Fail,
            RaceEvent::Silence => {
                self.is_denied = false;
                self.ask_or_wait()
            }
            RaceEvent::FirstFailed => {
                self.first = RunState::None;
                self.ask_or_wait()
            }
            RaceEvent::SecondFailed => {
                self.second = RunState::None;
                self.ask_or_wait()
            }
            RaceEvent::Denied => {
                self.second = RunState::None;
                self.is_denied = true;
                self.ask_or_wait()
            }
        }
    }

    /// Returns whether the run at the first server is open.
    pub fn has_first(&self) -> bool {
        self.first == RunState::Open
    }

    /// Asks another server, unless one is asked already or none may be asked.
    fn ask_or_wait(&mut self) -> RaceAction {
        if self.second == RunState::Open {
            return RaceAction::Wait;
        }
        if !self.is_denied {
            self.second = RunState::Open;
            return RaceAction::AskSecond;
        }
        if self.has_first() {
            RaceAction::Wait
        } else {
            RaceAction::Fail
        }
    }
}
