use std::time::Duration;

use kernel::Uptime;

/// A gray failure of a backend server: its health endpoint stays healthy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// This part of the requests is never answered, those in service at the start included if
    /// the part is 1.
    Stall(f64),
    /// Requests take this many times longer.
    Slow(f64),
    /// This part of the requests is answered with an error.
    Fail(f64),
}

/// What goes wrong in a run, and when.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Gray failures: backend server, start, end.
    pub faults: Vec<(usize, Uptime, Uptime, Fault)>,
    /// Starts of pauses of 500 ms of each backend server, in order. May be empty.
    pub pauses: Vec<Vec<Uptime>>,
    /// One-way partitions: VM, backend server, start, end. Answers do not come back.
    pub partitions: Vec<(usize, usize, Uptime, Uptime)>,
    /// Moments at which one open connection of a VM to a backend server goes silent.
    pub silences: Vec<(Uptime, usize, usize)>,
    /// Moments at which all backend servers become cold.
    pub colds: Vec<Uptime>,
}

/// Length of a pause.
const PAUSE: Duration = Duration::from_millis(500);

impl Script {
    /// The fault of a backend server at a time.
    pub fn fault(&self, backend: usize, at: Uptime) -> Option<Fault> {
        let hit = |f: &&(usize, Uptime, Uptime, Fault)| f.0 == backend && f.1 <= at && at < f.2;
        self.faults.iter().find(hit).map(|fault| fault.3)
    }

    /// Whether a backend server begins to stall all requests in a span of time.
    pub fn freezes(&self, backend: usize, from: Uptime, to: Uptime) -> bool {
        let all = |fault: Fault| matches!(fault, Fault::Stall(part) if part >= 1.0);
        self.faults.iter().any(|f| f.0 == backend && all(f.3) && f.1 < to && from < f.2)
    }

    /// When work that starts at `from` and needs `work` is done, with pauses.
    pub fn finish(&self, backend: usize, from: Uptime, work: Duration) -> Uptime {
        let mut end = from + work;
        let Some(pauses) = self.pauses.get(backend) else { return end };
        let first = pauses.partition_point(|at| *at + PAUSE <= from);
        for at in &pauses[first..] {
            if *at >= end {
                break;
            }
            end += (*at + PAUSE).saturating_sub(from).min(PAUSE);
        }
        end
    }

    /// Whether answers of a backend server do not reach a VM.
    pub fn is_cut(&self, vm: usize, backend: usize, at: Uptime) -> bool {
        self.partitions.iter().any(|p| p.0 == vm && p.1 == backend && p.2 <= at && at < p.3)
    }
}
