use std::time::Duration;

/// Timings of a gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Longest wait for a connection to a backend server of the own region. A lost packet is sent
    /// again after 200 ms or more.
    pub connect: Duration,
    /// Longest wait for a connection to another region, 60 ms away and back.
    pub connect_remote: Duration,
    /// Time for which a feed of the store is asked to wait. Bounds how old knowledge may be that
    /// was confirmed, well below the 2.5 s in which a change must be in force.
    pub feed_wait: Duration,
    /// Longest wait for an answer of the store, beside `feed_wait`. It answers in 4 ms and may be
    /// sixty times slower.
    pub store_answer: Duration,
    /// Longest wait for a page of a table, beside `store_answer`: a configuration of hundreds of
    /// routes crosses a link between regions that others fill.
    pub store_page: Duration,
    /// Pause after a failed call to the store.
    pub store_pause: Duration,
    /// Longest pause after repeated failures.
    pub store_pause_most: Duration,
    /// Time for which backend servers that are missing right after the store returned stay in
    /// use: they enter themselves again within about 2 s.
    pub return_grace: Duration,
    /// Time for which callers keep an entry answer.
    pub entry_ttl: Duration,
    /// Idle time after which a connection carries no request that may not repeat.
    pub idle_once: Duration,
    /// Idle time after which a connection to a backend server is closed.
    pub idle_most: Duration,
    /// Time between two beats of a home.
    pub beat_home: Duration,
    /// Time between two beats of a standby.
    pub beat_standby: Duration,
    /// Time between two reports of demand to other homes.
    pub report: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            connect: Duration::from_millis(350),
            connect_remote: Duration::from_millis(450),
            feed_wait: Duration::from_millis(1500),
            store_answer: Duration::from_millis(700),
            store_page: Duration::from_millis(2000),
            store_pause: Duration::from_millis(250),
            store_pause_most: Duration::from_millis(1000),
            return_grace: Duration::from_millis(2200),
            entry_ttl: Duration::from_millis(2000),
            idle_once: Duration::from_millis(1500),
            idle_most: Duration::from_millis(4000),
            beat_home: Duration::from_millis(200),
            beat_standby: Duration::from_millis(1000),
            report: Duration::from_millis(1000),
        }
    }
}
