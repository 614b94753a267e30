use std::time::Instant;

use kernel::Uptime;

/// Monotonic clock of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// Time since the start of the process.
    pub fn now(&self) -> Uptime {
        self.start.elapsed()
    }
}
