//! Abstraction of time: the system clock, and a clock that tests pause and advance.

use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use event_listener::Event;
use futures_lite::future;

/// Start of a paused clock in milliseconds of the Unix epoch: 2026-01-01 00:00 UTC.
const PAUSED_START_MS: u64 = 1_767_225_600_000;

/// Source of the current time, and of timers.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the current time of the monotonic clock.
    fn now(&self) -> Instant;

    /// Returns the current time in milliseconds of the Unix epoch.
    fn unix_ms(&self) -> u64;

    /// Returns the time since the VM booted, including suspension, which [`Clock::now`] may leave out.
    fn boot_time(&self) -> Duration;

    /// Waits until a time.
    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> + Send;

    /// Waits for a duration.
    fn sleep(&self, pause: Duration) -> impl Future<Output = ()> + Send {
        self.sleep_until(self.now() + pause)
    }
}

/// Runs a future with a deadline; `None` if it did not complete by then. It is dropped in that case.
pub async fn until<C: Clock, T>(
    clock: &C,
    at: Instant,
    work: impl Future<Output = T>,
) -> Option<T> {
    let timeout = async {
        clock.sleep_until(at).await;
        None
    };
    future::or(async { Some(work.await) }, timeout).await
}

/// Clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn unix_ms(&self) -> u64 {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    fn boot_time(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Duration::new(seconds, nanos)
    }

    async fn sleep_until(&self, at: Instant) {
        Timer::at(at).await;
    }
}

/// Clock for tests, whose time changes only when a test advances it. Clones share their time.
#[derive(Clone, Debug)]
pub struct PausedClock {
    start: Instant,
    state: Arc<PausedState>,
}

#[derive(Debug, Default)]
struct PausedState {
    elapsed: Mutex<Duration>,
    suspended: Mutex<Duration>,
    advanced: Event,
}

impl Default for PausedClock {
    fn default() -> Self {
        Self::new()
    }
}

impl PausedClock {
    /// Creates a clock at its start time.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            state: Arc::default(),
        }
    }

    /// Advances the clock and wakes the tasks that wait for it.
    pub fn advance(&self, by: Duration) {
        *self
            .state
            .elapsed
            .lock()
            .unwrap_or_else(PoisonError::into_inner) += by;
        self.state.advanced.notify(usize::MAX);
    }

    /// Simulates a suspended VM: only [`Clock::boot_time`] includes this time.
    pub fn suspend(&self, by: Duration) {
        *self
            .state
            .suspended
            .lock()
            .unwrap_or_else(PoisonError::into_inner) += by;
    }

    /// Returns the total time by which the clock was advanced.
    pub fn elapsed(&self) -> Duration {
        *self
            .state
            .elapsed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for PausedClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn unix_ms(&self) -> u64 {
        PAUSED_START_MS + u64::try_from(self.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn boot_time(&self) -> Duration {
        let suspended = self
            .state
            .suspended
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.elapsed() + *suspended
    }

    async fn sleep_until(&self, at: Instant) {
        loop {
            let advanced = self.state.advanced.listen();
            if self.now() >= at {
                return;
            }
            advanced.await;
        }
    }
}
