//! State charts: read from TOML files, checked and interpreted.
//!
//! A chart names its states, the events that each state expects, and the state that follows. Reading a
//! chart rejects unknown names, unreachable states and states from which no end state can be reached.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::config::TableReader;
use crate::config::{Located, SourceFile};
use crate::errors::{Error, Result};
use crate::outcome::RunOutcome;

/// Text of the state chart of a node's lifecycle.
pub const NODE_CHART: &str = include_str!("../charts/node.toml");

/// State of a chart.
#[derive(Clone, Debug, PartialEq)]
pub struct ChartState {
    /// Target state by event name.
    transitions: BTreeMap<String, String>,
    /// Whether this is an end state.
    is_end: bool,
    /// Outcome that a caller gets when its request ends in this state.
    outcome: Option<RunOutcome>,
}

/// State chart that passed all checks.
#[derive(Clone, Debug, PartialEq)]
pub struct StateChart {
    name: String,
    start: String,
    states: BTreeMap<String, ChartState>,
}

impl StateChart {
    /// Reads and checks the text of a chart file; an error holds all findings.
    pub fn read(file: &str, text: &str) -> Result<Self> {
        let source = SourceFile::new(file, text);
        let table = source.parse();
        let root = TableReader::new(&source, &table);
        let chart = read_chart(&root);
        root.finish();
        drop(table);
        let findings = source.into_findings();
        match chart {
            Some(chart) if findings.is_empty() => Ok(chart),
            _ => Err(Error::Findings(findings)),
        }
    }

    /// Returns the name of the chart.
    pub fn name(&self) -> &str {
        &self.name
    }
}

fn read_chart(root: &TableReader<'_, '_>) -> Option<StateChart> {
    let name = root.required_string("name");
    let start = root.required_string("start");
    let readers = root.tables("states");
    let known: Vec<&str> = readers.iter().map(|(name, _)| name.as_str()).collect();
    let mut states = BTreeMap::new();
    for (name, reader) in &readers {
        states.insert(name.clone(), read_state(reader, &known));
    }
    let start = start?;
    root.check_name(&start, "state", &known);
    let reachable = reachable_from(&start.value, |state| targets(&states, state));
    let reaching_end = states_reaching_end(&states);
    for (name, reader) in readers {
        if !reachable.contains(&name) {
            reader.report("can't be reached from the start state");
        }
        if !reaching_end.contains(&name) {
            reader.report("can't reach an end state");
        }
        reader.finish();
    }
    Some(StateChart {
        name: name?.value,
        start: start.value,
        states,
    })
}

fn read_state(reader: &TableReader<'_, '_>, known: &[&str]) -> ChartState {
    let mut transitions = BTreeMap::new();
    for (event, target) in reader.string_table("on") {
        reader.check_name(&target, "state", known);
        transitions.insert(event, target.value);
    }
    let outcome = reader
        .string("outcome")
        .and_then(|name| read_outcome(reader, &name));
    ChartState {
        transitions,
        is_end: reader.boolean("end", false),
        outcome,
    }
}

fn read_outcome(reader: &TableReader<'_, '_>, name: &Located<String>) -> Option<RunOutcome> {
    let outcomes = [
        RunOutcome::NotRun,
        RunOutcome::Answered,
        RunOutcome::Unknown,
    ];
    reader.check_name(name, "outcome", &outcomes.map(RunOutcome::as_str));
    outcomes
        .into_iter()
        .find(|outcome| outcome.as_str() == name.value)
}

fn targets(states: &BTreeMap<String, ChartState>, state: &str) -> Vec<String> {
    let state = states.get(state);
    state.map_or_else(Vec::new, |state| {
        state.transitions.values().cloned().collect()
    })
}

fn states_reaching_end(states: &BTreeMap<String, ChartState>) -> BTreeSet<String> {
    let can_reach_end = |name: &String| {
        reachable_from(name, |state| targets(states, state))
            .iter()
            .any(|state| states.get(state).is_some_and(|state| state.is_end))
    };
    states
        .keys()
        .filter(|name| can_reach_end(name))
        .cloned()
        .collect()
}

fn reachable_from(start: &str, next: impl Fn(&str) -> Vec<String>) -> BTreeSet<String> {
    let mut reached = BTreeSet::from([start.to_owned()]);
    let mut open = vec![start.to_owned()];
    while let Some(state) = open.pop() {
        for target in next(&state) {
            if reached.insert(target.clone()) {
                open.push(target);
            }
        }
    }
    reached
}

/// Current state in a chart, changed by events.
#[derive(Clone, Debug)]
pub struct ChartRun {
    chart: Arc<StateChart>,
    state: String,
}

impl ChartRun {
    /// Creates a run in the start state of the chart.
    pub fn new(chart: Arc<StateChart>) -> Self {
        let state = chart.start.clone();
        Self { chart, state }
    }

    /// Applies an event; an unexpected one changes nothing and is an error.
    pub fn apply(&mut self, event: &str) -> Result<()> {
        let next = self
            .current()
            .and_then(|state| state.transitions.get(event));
        match next {
            Some(next) => {
                self.state = next.clone();
                Ok(())
            }
            None => Err(Error::UnexpectedEvent(self.state.clone(), event.to_owned())),
        }
    }

    /// Returns whether the current state expects the event.
    pub fn expects(&self, event: &str) -> bool {
        self.current()
            .is_some_and(|state| state.transitions.contains_key(event))
    }

    /// Returns the name of the current state.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Returns whether the current state is an end state.
    pub fn is_ended(&self) -> bool {
        self.current().is_some_and(|state| state.is_end)
    }

    /// Returns the outcome that the chart gives for the current state.
    pub fn outcome(&self) -> Option<RunOutcome> {
        self.current().and_then(|state| state.outcome)
    }

    fn current(&self) -> Option<&ChartState> {
        self.chart.states.get(&self.state)
    }
}
