use thiserror::Error;

/// Upper bound of a limit, far above what one backend server can run.
const MAX_REQUESTS_PER_S: f64 = 1e6;

/// Why a number is no request limit.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum InvalidLimit {
    /// It is not a number, or infinite.
    #[error("{0} requests a second is no number; name a finite one")]
    NotFinite(f64),
    /// It is below 0.
    #[error("{0} requests a second is negative; name 0 or more")]
    Negative(f64),
}

/// Requests per second that a backend server takes from all VMs together.
///
/// Finite, from 0 to a million; a larger number is cut to that.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestLimit(f64);

impl RequestLimit {
    /// The limit in requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestLimit {
    type Error = InvalidLimit;

    fn try_from(per_second: f64) -> Result<Self, InvalidLimit> {
        if !per_second.is_finite() {
            return Err(InvalidLimit::NotFinite(per_second));
        }
        if per_second < 0.0 {
            return Err(InvalidLimit::Negative(per_second));
        }
        // `+ 0.0` turns -0 into 0.
        Ok(RequestLimit(per_second.min(MAX_REQUESTS_PER_S) + 0.0))
    }
}

/// What one response says about the request limit of its backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// It names no limit, so none is in force.
    #[default]
    Absent,
    /// It names this limit.
    Named(RequestLimit),
    /// It names one that cannot be read, which says nothing about the limit in force.
    Unreadable,
}
