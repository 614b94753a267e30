use std::time::Duration;

use kernel::Uptime;

/// Gray failure of a backend server: health checks still pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// This fraction of the requests is never answered. With a fraction of 1, this includes
    /// requests that run when the fault begins.
    Stall(f64),
    /// Service times are multiplied by this factor.
    Slow(f64),
    /// This fraction of the requests is answered with an error.
    Fail(f64),
}

/// Faults and disturbances of a run, with their times.
#[derive(Clone, Debug, Default)]
pub struct FaultSchedule {
    /// Gray failures: backend server, start, end, fault.
    pub faults: Vec<(usize, Uptime, Uptime, Fault)>,
    /// Start times of the pauses of each backend server, in ascending order. May be empty.
    pub pauses: Vec<Vec<Uptime>>,
    /// One-way partitions: VM, backend server, start, end. Responses do not reach the VM.
    pub partitions: Vec<(usize, usize, Uptime, Uptime)>,
    /// Open connections that go silent: time, VM, backend server.
    pub silent_connections: Vec<(Uptime, usize, usize)>,
    /// Times at which all backend servers become cold.
    pub cold_starts: Vec<Uptime>,
}

/// Duration of a pause of a backend server.
const PAUSE_DURATION: Duration = Duration::from_millis(500);

impl FaultSchedule {
    /// Returns the fault of a backend server at a time.
    pub fn fault(&self, backend: usize, at: Uptime) -> Option<Fault> {
        let applies = |f: &&(usize, Uptime, Uptime, Fault)| f.0 == backend && f.1 <= at && at < f.2;
        self.faults.iter().find(applies).map(|fault| fault.3)
    }

    /// Returns whether a fault that stalls all requests of a backend server overlaps an interval.
    pub fn stalls_between(&self, backend: usize, from: Uptime, to: Uptime) -> bool {
        let stalls_all = |fault: Fault| matches!(fault, Fault::Stall(fraction) if fraction >= 1.0);
        self.faults.iter().any(|f| f.0 == backend && stalls_all(f.3) && f.1 < to && from < f.2)
    }

    /// Returns when a request that starts at `from` completes; pauses delay it.
    pub fn completion_time(&self, backend: usize, from: Uptime, service_time: Duration) -> Uptime {
        let mut end = from + service_time;
        let Some(pauses) = self.pauses.get(backend) else { return end };
        let first = pauses.partition_point(|at| *at + PAUSE_DURATION <= from);
        for at in &pauses[first..] {
            if *at >= end {
                break;
            }
            end += (*at + PAUSE_DURATION).saturating_sub(from).min(PAUSE_DURATION);
        }
        end
    }

    /// Returns whether a partition keeps the responses of a backend server from a VM.
    pub fn is_partitioned(&self, vm: usize, backend: usize, at: Uptime) -> bool {
        self.partitions.iter().any(|p| p.0 == vm && p.1 == backend && p.2 <= at && at < p.3)
    }
}
