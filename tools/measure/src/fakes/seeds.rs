use std::sync::Mutex;

use crate::Options;

/// Number of threads that run the seeds; it does not affect the results.
const THREADS: usize = 4;

/// Runs a function for every seed on a few threads. Returns the results in the order of the
/// seeds.
pub fn run_seeds<T: Send>(
    options: &Options,
    run: impl Fn(u64) -> anyhow::Result<T> + Sync,
) -> anyhow::Result<Vec<T>> {
    let seeds = Mutex::new(options.seed..options.seed + options.runs);
    let results = Mutex::new(Vec::new());
    let next = || seeds.lock().ok().and_then(|mut seeds| seeds.next());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(seed) = next() {
                    let result = run(seed);
                    if let Ok(mut results) = results.lock() {
                        results.push((seed, result));
                    }
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_default();
    results.sort_by_key(|(seed, _)| *seed);
    results.into_iter().map(|(_, result)| result).collect()
}
