//! How long a route's requests take.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of requests considered.
const RECENT_REQUESTS: usize = 16;

/// Durations of a route's most recent successful requests, from their first attempt to the end of the response.
#[derive(Debug, Default)]
pub struct RecentDurations {
    newest_last: RefCell<VecDeque<Duration>>,
}

impl RecentDurations {
    /// Adds the duration of a request.
    pub fn record(&self, duration: Duration) {
        let mut durations = self.newest_last.borrow_mut();
        if durations.len() == RECENT_REQUESTS {
            durations.pop_front();
        }
        durations.push_back(duration);
    }

    /// The longest duration; `None` before the first request.
    pub fn longest(&self) -> Option<Duration> {
        self.newest_last.borrow().iter().max().copied()
    }
}
