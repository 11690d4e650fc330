//! The clock of the runtime, and one that tests pause and advance.

use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use event_listener::Event;
use futures_lite::future;

/// Where a paused clock starts, in milliseconds of the Unix epoch.
const PAUSED_START_MS: u64 = 1_767_225_600_000;

/// Tells the time and waits for it.
pub trait Clock: Clone + Send + Sync + 'static {
    /// The present.
    fn now(&self) -> Instant;

    /// The present in milliseconds of the Unix epoch.
    fn unix_ms(&self) -> u64;

    /// Time since the VM started, suspension included; [`Clock::now`] may leave that out.
    fn boot_time(&self) -> Duration;

    /// Completes at a time.
    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> + Send;

    /// Completes after a time.
    fn sleep(&self, pause: Duration) -> impl Future<Output = ()> + Send {
        self.sleep_until(self.now() + pause)
    }
}

/// Does some work, but no longer than until a time; `None` where it took longer.
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

/// The clock of the machine.
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

/// A clock that stands still until a test advances it.
#[derive(Clone, Debug)]
pub struct PausedClock {
    start: Instant,
    state: Arc<PausedState>,
}

#[derive(Debug, Default)]
struct PausedState {
    passed: Mutex<Duration>,
    suspended: Mutex<Duration>,
    advanced: Event,
}

impl Default for PausedClock {
    fn default() -> Self {
        Self::new()
    }
}

impl PausedClock {
    /// A clock that stands at its start.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            state: Arc::default(),
        }
    }

    /// Moves the clock and wakes whoever waited for a time that has come.
    pub fn advance(&self, by: Duration) {
        *self
            .state
            .passed
            .lock()
            .unwrap_or_else(PoisonError::into_inner) += by;
        self.state.advanced.notify(usize::MAX);
    }

    /// Lets time pass of which only [`Clock::boot_time`] knows, as while a VM is suspended.
    pub fn suspend(&self, by: Duration) {
        *self
            .state
            .suspended
            .lock()
            .unwrap_or_else(PoisonError::into_inner) += by;
    }

    /// How far the clock was advanced.
    pub fn passed(&self) -> Duration {
        *self
            .state
            .passed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for PausedClock {
    fn now(&self) -> Instant {
        self.start + self.passed()
    }

    fn unix_ms(&self) -> u64 {
        PAUSED_START_MS + u64::try_from(self.passed().as_millis()).unwrap_or(u64::MAX)
    }

    fn boot_time(&self) -> Duration {
        let suspended = self
            .state
            .suspended
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.passed() + *suspended
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
