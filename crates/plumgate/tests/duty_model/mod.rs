//! A simulated fleet of a few nodes without a network, with a store that may be restored to an earlier state
//! and a duty API that checks the rules. Faults are drawn from a seed, so that each order of events can be
//! repeated.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use plumgate::duty::{
    CoordinatorOptions, DutyAnswer, DutyCall, DutyCoordinator, DutyCredential, DutyIdentity,
    DutyMoment, DutyRow, DutyTimes, DutyWrite, ReportTimes, UsageCounts, UsageReport, WindowId,
};
use plumgate::{StoreEra, StoreVersion};

/// Step of the simulated time in milliseconds.
const STEP: u64 = 20;
/// The start of a run, in milliseconds since the Unix epoch.
const START: u64 = 1_767_225_600_000;
/// Duration of the lease in milliseconds, and of the span in which a former holder must not return.
pub(crate) const LEASE: u64 = 3_000;
/// Maximum duration of a call of the duty API in milliseconds.
pub(crate) const MAX_CALL_TIME: u64 = 800;
/// Length of a window in milliseconds.
pub(crate) const WINDOW: u64 = 5_000;
/// A window length that makes calls frequent, in milliseconds.
pub(crate) const SHORT_WINDOW: u64 = 1_000;
/// Maximum delay of a report after the end of its window, in milliseconds.
pub(crate) const MAX_REPORT_DELAY: u64 = 10_000;
/// Share of the steps in which a holder sends an order to the duty API.
const ORDER_SHARE: f64 = 0.5;
/// Time after a node resumes in which its calls are exempt from the checks, in milliseconds.
const RESUME_EXEMPTION: u64 = 300;

/// Probabilities of faults, each per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultRates {
    pub(crate) suspend: f64,
    pub(crate) kill: f64,
    pub(crate) cut_store: f64,
    pub(crate) cut_duty_api: f64,
    pub(crate) lose_answer: f64,
    pub(crate) late_write: f64,
    pub(crate) slow_duty_api: f64,
    pub(crate) restore: f64,
    pub(crate) change_wanted: f64,
    /// Whether all nodes are wanted as holders all the time.
    pub(crate) all_want: bool,
}

impl FaultRates {
    /// All kinds of faults, as frequent as possible while a run still makes progress.
    pub(crate) fn all() -> Self {
        Self {
            suspend: 0.06,
            kill: 0.04,
            cut_store: 0.05,
            cut_duty_api: 0.04,
            lose_answer: 0.10,
            late_write: 0.06,
            slow_duty_api: 0.04,
            restore: 0.05,
            change_wanted: 0.08,
            all_want: false,
        }
    }
}

/// State of the store at one time.
#[derive(Clone, Debug, Default)]
struct StoreImage {
    version: u64,
    row: Option<(DutyRow, u64)>,
}

/// The simulated store, with its earlier states.
#[derive(Debug, Default)]
struct ModelStore {
    era: StoreEra,
    image: StoreImage,
    history: Vec<(u64, StoreImage)>,
}

impl ModelStore {
    fn execute(&mut self, call: &DutyCall, now: u64) -> DutyAnswer {
        match call {
            DutyCall::Read => DutyAnswer::Row {
                era: self.era,
                row: self.image.row.clone(),
            },
            DutyCall::Write(write) => self.write(write, now),
        }
    }

    fn write(&mut self, write: &DutyWrite, now: u64) -> DutyAnswer {
        let version = self.image.row.as_ref().map_or(0, |(_, version)| *version);
        let is_current = version == write.expected_version;
        if !is_current {
            return DutyAnswer::Conflict(self.era);
        }
        self.history.push((now, self.image.clone()));
        self.image.version += 1;
        let version = self.image.version;
        self.image.row = Some((write.row.clone(), version));
        DutyAnswer::Written(StoreVersion::new(self.era, version))
    }

    /// Restores the state of an earlier time and begins a new era.
    fn restore(&mut self, as_of: u64) {
        let retained = self.history.partition_point(|(at, _)| *at <= as_of);
        if let Some((_, image)) = self.history.get(retained) {
            self.image = image.clone();
            self.history.truncate(retained);
        }
        self.era += 1;
    }
}

/// A call of the store in flight.
struct StoreCallState {
    call: DutyCall,
    executed_at: u64,
    answered_at: Option<u64>,
    answer: Option<DutyAnswer>,
}

/// A call of the duty API in flight.
struct ApiCallState {
    credential: DutyCredential,
    /// The report; none for an order.
    report: Option<UsageReport>,
    arrives_at: u64,
    answered_at: Option<u64>,
    is_exempt: bool,
    arrived: bool,
}

/// A simulated node.
struct ModelNode {
    node_index: usize,
    coordinator: DutyCoordinator,
    wanted: bool,
    down_until: u64,
    suspended_until: u64,
    resumed_at: u64,
    no_store_until: u64,
    no_api_until: u64,
    store_call: Option<(u64, Option<u64>)>,
    api_call: Option<(u64, Option<WindowId>, u64)>,
}

/// Checks the calls that the duty API receives.
#[derive(Debug, Default)]
pub(crate) struct DutyApiChecker {
    reports: BTreeMap<WindowId, UsageCounts>,
    numbers: HashMap<u64, usize>,
    highest: u64,
    calls: Vec<(u64, usize)>,
    /// Violations of the rules.
    pub(crate) violations: Vec<String>,
}

impl DutyApiChecker {
    fn record_call(&mut self, call: &ApiCallState, node_index: usize, now: u64) {
        if let Some(report) = &call.report {
            self.record_report(report, now);
        }
        let number = call.credential.number;
        let owner = *self.numbers.entry(number).or_insert(node_index);
        if owner != node_index {
            self.violations.push(format!(
                "{now}: fencing number {number} used by nodes {owner} and {node_index}"
            ));
        }
        if call.is_exempt {
            return;
        }
        if number < self.highest {
            let highest = self.highest;
            self.violations
                .push(format!("{now}: fencing number {number} after {highest}"));
        }
        self.highest = self.highest.max(number);
        let recent = self
            .calls
            .iter()
            .rev()
            .take_while(|(at, _)| now - at < LEASE);
        let mut has_other = false;
        for (_, other) in recent {
            if *other == node_index && has_other {
                self.violations.push(format!(
                    "{now}: node {node_index} acts again after another holder"
                ));
                break;
            }
            has_other |= *other != node_index;
        }
        self.calls.push((now, node_index));
    }

    fn record_report(&mut self, report: &UsageReport, now: u64) {
        let window = report.window;
        let known = self
            .reports
            .entry(window)
            .or_insert_with(|| report.counts.clone());
        if *known != report.counts {
            self.violations
                .push(format!("{now}: two reports of window {window}"));
        }
    }

    /// Returns the windows that were reported.
    pub(crate) fn windows(&self) -> Vec<WindowId> {
        self.reports.keys().copied().collect()
    }
}

/// The simulated fleet.
pub(crate) struct DutyFleet {
    rng: fastrand::Rng,
    rates: FaultRates,
    window: u64,
    pub(crate) now: u64,
    store: ModelStore,
    nodes: Vec<ModelNode>,
    store_calls: BTreeMap<u64, StoreCallState>,
    api_calls: BTreeMap<u64, (usize, ApiCallState)>,
    next_call: u64,
    pub(crate) checker: DutyApiChecker,
    pub(crate) restores: u32,
}

fn coordinator(node_index: usize, incarnation: u64, window: u64) -> DutyCoordinator {
    DutyCoordinator::new(CoordinatorOptions {
        own: DutyIdentity {
            node: format!("node-{node_index}").as_str().into(),
            incarnation,
        },
        lease: DutyTimes::new(
            Duration::from_millis(LEASE),
            Duration::from_millis(MAX_CALL_TIME),
        ),
        reports: ReportTimes {
            window: Duration::from_millis(window),
            late: Duration::from_millis(MAX_REPORT_DELAY),
        },
    })
}

impl DutyFleet {
    /// Creates a fleet, of which the first node is wanted as the holder.
    pub(crate) fn new(seed: u64, nodes: usize, rates: FaultRates) -> Self {
        Self::with_window(seed, nodes, rates, WINDOW)
    }

    /// Creates a fleet with windows of `window` milliseconds.
    pub(crate) fn with_window(seed: u64, nodes: usize, rates: FaultRates, window: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let nodes = (0..nodes).map(|node_index| ModelNode {
            node_index,
            coordinator: coordinator(node_index, rng.u64(..), window),
            wanted: node_index == 0 || rates.all_want,
            down_until: 0,
            suspended_until: 0,
            resumed_at: 0,
            no_store_until: 0,
            no_api_until: 0,
            store_call: None,
            api_call: None,
        });
        let nodes = nodes.collect();
        Self {
            rng,
            rates,
            window,
            now: 100_000,
            store: ModelStore::default(),
            nodes,
            store_calls: BTreeMap::new(),
            api_calls: BTreeMap::new(),
            next_call: 0,
            checker: DutyApiChecker::default(),
            restores: 0,
        }
    }

    /// Advances the simulated time.
    pub(crate) fn run(&mut self, seconds: u64) {
        let end = self.now + seconds * 1_000;
        while self.now < end {
            self.now += STEP;
            self.apply_faults();
            self.deliver_calls();
            for node in 0..self.nodes.len() {
                self.run_node(node);
            }
        }
    }

    /// Makes one node wanted as the holder, and the others not.
    pub(crate) fn want(&mut self, wanted: usize) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.wanted = index == wanted;
        }
    }

    /// Crashes a node, which starts again after `time` milliseconds.
    pub(crate) fn kill(&mut self, node: usize, time: u64) {
        let incarnation = self.rng.u64(..);
        let node = &mut self.nodes[node];
        node.coordinator = coordinator(node.node_index, incarnation, self.window);
        node.down_until = self.now + time;
        node.store_call = None;
        node.api_call = None;
    }

    /// Suspends a node for `time` milliseconds.
    pub(crate) fn suspend(&mut self, node: usize, time: u64) {
        let until = self.now + time;
        self.nodes[node].suspended_until = until;
        self.nodes[node].resumed_at = until;
    }

    /// Restores the store to its state of `age` milliseconds ago.
    pub(crate) fn restore(&mut self, age: u64) {
        self.store.restore(self.now.saturating_sub(age));
        self.restores += 1;
    }

    /// Returns at random whether an event with this rate happens in the current step.
    fn chance(&mut self, per_second: f64) -> bool {
        self.rng.f64() < per_second * STEP as f64 / 1_000.0
    }

    fn apply_faults(&mut self) {
        let rates = self.rates;
        for node in 0..self.nodes.len() {
            if self.chance(rates.suspend) {
                let time = self.rng.u64(200..7_000);
                self.suspend(node, time);
            }
            if self.chance(rates.kill) {
                let time = self.rng.u64(20..5_000);
                self.kill(node, time);
            }
            if self.chance(rates.cut_store) {
                self.nodes[node].no_store_until = self.now + self.rng.u64(500..8_000);
            }
            if self.chance(rates.cut_duty_api) {
                self.nodes[node].no_api_until = self.now + self.rng.u64(500..8_000);
            }
        }
        if self.chance(rates.restore) {
            let age = self.rng.u64(100..8_000);
            self.restore(age);
            if self.rng.f64() < 0.3 {
                let age = self.rng.u64(100..3_000);
                self.restore(age);
            }
        }
        if self.chance(rates.change_wanted) {
            let wanted = self.rng.usize(0..self.nodes.len());
            self.want(wanted);
            if self.rng.f64() < 0.3 {
                let second = self.rng.usize(0..self.nodes.len());
                self.nodes[second].wanted = true;
            }
        }
    }

    fn deliver_calls(&mut self) {
        let now = self.now;
        for call in self.store_calls.values_mut() {
            if call.answer.is_none() && now >= call.executed_at {
                call.answer = Some(self.store.execute(&call.call, now));
            }
        }
        for (node_index, call) in self.api_calls.values_mut() {
            if !call.arrived && now >= call.arrives_at {
                call.arrived = true;
                self.checker.record_call(call, *node_index, now);
            }
        }
        // An answer that arrives while a node is suspended waits for it.
        let is_expired = |at: Option<u64>| at.is_none_or(|at| now > at + 20_000);
        self.store_calls
            .retain(|_, call| call.answer.is_none() || !is_expired(call.answered_at));
        self.api_calls
            .retain(|_, (_, call)| !call.arrived || !is_expired(call.answered_at));
    }

    fn run_node(&mut self, index: usize) {
        let now = self.now;
        let node = &self.nodes[index];
        if now < node.down_until || now < node.suspended_until {
            return;
        }
        self.take_store_answer(index);
        self.take_api_answer(index);
        if !self.nodes[index].wanted {
            return;
        }
        let moment = moment(now);
        let counts = self.rng.u64(1..1_000_000);
        let is_complete = self.rng.f64() < 0.5;
        let node = &mut self.nodes[index];
        if node.store_call.is_none() {
            let counts = |_| (UsageCounts::from([("lab".to_owned(), counts)]), is_complete);
            if let Some(call) = node.coordinator.tick(counts, moment) {
                self.send_store_call(index, call);
            }
        }
        if self.nodes[index].api_call.is_some() {
            return;
        }
        if let Some((credential, report)) = self.nodes[index].coordinator.next_report(moment) {
            self.send_api_call(index, credential, Some(report));
        } else if self.rng.f64() < ORDER_SHARE
            && let Some(credential) = self.nodes[index].coordinator.credential(moment.boot)
        {
            self.send_api_call(index, credential, None);
        }
    }

    fn send_store_call(&mut self, index: usize, call: DutyCall) {
        let now = self.now;
        let node = &self.nodes[index];
        let id = self.next_call;
        self.next_call += 1;
        let mut executed_at = now + self.rng.u64(0..3) * STEP;
        let mut answered_at = Some(executed_at + self.rng.u64(0..2) * STEP);
        let is_cut = now < node.no_store_until;
        if is_cut {
            self.nodes[index].store_call = Some((now + 400, None));
            return;
        }
        let is_write = matches!(call, DutyCall::Write(_));
        if is_write && self.rng.f64() < self.rates.late_write {
            executed_at = now + self.rng.u64(200..6_000);
            answered_at = None;
        } else if self.rng.f64() < self.rates.lose_answer {
            answered_at = None;
        }
        let state = StoreCallState {
            call,
            executed_at,
            answered_at,
            answer: None,
        };
        self.store_calls.insert(id, state);
        self.nodes[index].store_call = Some((now + 400, Some(id)));
    }

    fn take_store_answer(&mut self, index: usize) {
        let now = self.now;
        let Some((give_up_at, id)) = self.nodes[index].store_call else {
            return;
        };
        let call = id.and_then(|id| self.store_calls.get(&id));
        let arrived = call.filter(|call| call.answered_at.is_some_and(|at| now >= at));
        let answer = arrived.and_then(|call| call.answer.clone());
        let answer = match answer {
            Some(answer) => answer,
            None if now >= give_up_at => DutyAnswer::Unanswered,
            None => return,
        };
        let node = &mut self.nodes[index];
        node.store_call = None;
        node.coordinator.apply(answer, Duration::from_millis(now));
    }

    fn send_api_call(
        &mut self,
        index: usize,
        credential: DutyCredential,
        report: Option<UsageReport>,
    ) {
        let now = self.now;
        let id = self.next_call;
        self.next_call += 1;
        let window = report.as_ref().map(|report| report.window);
        let node = &self.nodes[index];
        let mut arrives_at = now + self.rng.u64(0..3) * STEP;
        let mut answered_at = Some(arrives_at + STEP);
        let mut is_exempt = now < node.resumed_at + RESUME_EXEMPTION;
        if now < node.no_api_until {
            self.nodes[index].api_call = Some((now + MAX_CALL_TIME, window, u64::MAX));
            return;
        }
        if self.rng.f64() < self.rates.slow_duty_api {
            // The call stays within its maximum duration and is not exempt.
            arrives_at = now + MAX_CALL_TIME - STEP - self.rng.u64(0..MAX_CALL_TIME / 4);
            answered_at = Some(arrives_at + STEP);
        } else if self.rng.f64() < self.rates.slow_duty_api {
            arrives_at = now + self.rng.u64(0..5_000);
            answered_at = Some(arrives_at + STEP);
            is_exempt = true;
        } else if self.rng.f64() < self.rates.lose_answer {
            answered_at = None;
        }
        let pause = self.rng.u64(0..6_000);
        if self.rng.f64() < self.rates.suspend {
            // The node is suspended after it has checked its lease, and sends when it resumes.
            self.suspend(index, pause);
            arrives_at += pause;
            answered_at = answered_at.map(|at| at + pause);
            is_exempt = true;
        }
        let call = ApiCallState {
            credential,
            report,
            arrives_at,
            answered_at,
            is_exempt,
            arrived: false,
        };
        let node_index = self.nodes[index].node_index;
        self.api_calls.insert(id, (node_index, call));
        self.nodes[index].api_call = Some((now + MAX_CALL_TIME, window, id));
    }

    fn take_api_answer(&mut self, index: usize) {
        let now = self.now;
        let Some((give_up_at, window, id)) = self.nodes[index].api_call else {
            return;
        };
        let call = self.api_calls.get(&id);
        let is_answered = call
            .is_some_and(|(_, call)| call.arrived && call.answered_at.is_some_and(|at| now >= at));
        let node = &mut self.nodes[index];
        if let Some(window) = window.filter(|_| is_answered) {
            node.coordinator.record_sent(window, moment(now).unix);
        }
        if is_answered || now >= give_up_at {
            node.api_call = None;
        }
    }
}

fn moment(now: u64) -> DutyMoment {
    DutyMoment {
        boot: Duration::from_millis(now),
        unix: START + now,
    }
}

/// Returns the window that contains a time of a run.
pub(crate) fn window_at(now: u64) -> WindowId {
    (START + now) / WINDOW
}
