//! Measures of a load run: attainment by class, goodput and wasted work.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::json;

/// Upper bound of the histograms, in microseconds; longer times are recorded as this.
const MAX_TIME_US: u64 = 600_000_000;

/// Outcome of one request.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// Class of the request.
    pub class: String,
    /// Target of the class for the time to the first byte.
    pub target: Duration,
    /// Time to the first byte.
    pub first: Duration,
    /// Time to the end of the answer.
    pub total: Duration,
    /// Whether the answer belongs to the request and is complete.
    pub correct: bool,
    /// Whether the request was refused as not run.
    pub refused: bool,
    /// Number of tokens of the answer.
    pub tokens: u32,
}

impl RequestOutcome {
    fn in_time(&self) -> bool {
        self.correct && self.first <= self.target
    }
}

/// Measures of one class.
#[derive(Clone, Debug)]
pub struct ClassMeasure {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests answered correctly within the target.
    pub in_time: u64,
    /// Number of requests answered correctly.
    pub correct: u64,
    /// Number of requests refused as not run.
    pub refused: u64,
    first: Histogram<u64>,
}

impl ClassMeasure {
    fn new() -> Self {
        let first = Histogram::new_with_max(MAX_TIME_US, 3);
        let first = first.expect("the bounds of the histogram are constants that fit");
        Self {
            sent: 0,
            in_time: 0,
            correct: 0,
            refused: 0,
            first,
        }
    }

    /// Returns the share of requests answered correctly within the target.
    pub fn attainment(&self) -> f64 {
        share(self.in_time, self.sent)
    }

    /// Returns a quantile of the time to the first byte of correct answers.
    pub fn first_byte(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.first.value_at_quantile(quantile))
    }
}

/// Measures of one run.
#[derive(Clone, Debug)]
pub struct RunMeasure {
    classes: BTreeMap<String, ClassMeasure>,
    useful_tokens: u64,
    generated_tokens: u64,
    length: Duration,
}

impl Default for RunMeasure {
    fn default() -> Self {
        Self::new()
    }
}

impl RunMeasure {
    /// Creates measures without any request.
    pub fn new() -> Self {
        Self {
            classes: BTreeMap::new(),
            useful_tokens: 0,
            generated_tokens: 0,
            length: Duration::ZERO,
        }
    }

    /// Records the outcome of one request.
    pub fn record(&mut self, outcome: RequestOutcome) {
        let in_time = outcome.in_time();
        let class = self
            .classes
            .entry(outcome.class)
            .or_insert_with(ClassMeasure::new);
        class.sent += 1;
        class.in_time += u64::from(in_time);
        class.correct += u64::from(outcome.correct);
        class.refused += u64::from(outcome.refused);
        if outcome.correct {
            self.useful_tokens += u64::from(outcome.tokens);
            let micros = u64::try_from(outcome.first.as_micros()).unwrap_or(MAX_TIME_US);
            class.first.saturating_record(micros);
        }
    }

    /// Sets the number of tokens that the engines generated during the run.
    pub fn set_generated(&mut self, tokens: u64) {
        self.generated_tokens = tokens;
    }

    /// Sets the duration of the run.
    pub fn set_length(&mut self, length: Duration) {
        self.length = length;
    }

    /// Returns the measures by class.
    pub fn classes(&self) -> &BTreeMap<String, ClassMeasure> {
        &self.classes
    }

    /// Returns the number of correct answers in time per second.
    pub fn goodput(&self) -> f64 {
        let in_time: u64 = self.classes.values().map(|class| class.in_time).sum();
        in_time as f64 / self.length.as_secs_f64().max(1e-9)
    }

    /// Returns the share of generated tokens that were not delivered as part of a correct answer.
    pub fn wasted(&self) -> f64 {
        share(
            self.generated_tokens.saturating_sub(self.useful_tokens),
            self.generated_tokens,
        )
    }

    /// Returns the measures as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        let classes: BTreeMap<&str, serde_json::Value> = self
            .classes
            .iter()
            .map(|(name, class)| {
                let body = json!({
                    "sent": class.sent,
                    "in_time": class.in_time,
                    "correct": class.correct,
                    "refused": class.refused,
                    "attainment": class.attainment(),
                    "first_ms_p50": class.first_byte(0.5).as_secs_f64() * 1000.0,
                    "first_ms_p95": class.first_byte(0.95).as_secs_f64() * 1000.0,
                    "first_ms_p99": class.first_byte(0.99).as_secs_f64() * 1000.0,
                });
                (name.as_str(), body)
            })
            .collect();
        json!({
            "classes": classes,
            "goodput": self.goodput(),
            "wasted": self.wasted(),
            "seconds": self.length.as_secs_f64(),
        })
    }
}

impl fmt::Display for RunMeasure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<14} {:>6} {:>8} {:>8} {:>8} {:>10} {:>10} {:>10}",
            "class", "sent", "in time", "correct", "refused", "attained", "p50 ms", "p95 ms"
        )?;
        for (name, class) in &self.classes {
            let milliseconds = |quantile| class.first_byte(quantile).as_secs_f64() * 1000.0;
            writeln!(
                f,
                "{:<14} {:>6} {:>8} {:>8} {:>8} {:>10.3} {:>10.1} {:>10.1}",
                name,
                class.sent,
                class.in_time,
                class.correct,
                class.refused,
                class.attainment(),
                milliseconds(0.5),
                milliseconds(0.95)
            )?;
        }
        write!(
            f,
            "goodput {:.2}/s, wasted work {:.3}",
            self.goodput(),
            self.wasted()
        )
    }
}

fn share(part: u64, total: u64) -> f64 {
    if total == 0 {
        0.0
    } else {
        part as f64 / total as f64
    }
}
