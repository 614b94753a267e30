use std::fmt::{self, Write};

use prometheus_client::encoding::{EncodeLabelValue, LabelValueEncoder};

macro_rules! label_values {
    ($($(#[$doc:meta])* $name:ident { $($(#[$value:meta])* $variant:ident = $text:literal,)* })*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum $name {
            $($(#[$value])* $variant,)*
        }

        impl $name {
            /// The value of the label.
            pub fn as_str(self) -> &'static str {
                match self { $($name::$variant => $text,)* }
            }
        }

        impl EncodeLabelValue for $name {
            fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
                encoder.write_str(self.as_str())
            }
        }
    )*};
}

label_values! {
    /// Outcome of a request for its caller.
    RequestOutcome {
        /// Complete response of a backend server that is not a server failure.
        Answered = "answered",
        /// Failure response of a backend server, passed on.
        BackendError = "backend-error",
        /// Refused without being executed.
        NotRun = "not-run",
        /// Refused; may have been executed.
        Unknown = "unknown",
    }

    /// State of another VM.
    PeerState {
        /// Responds.
        Alive = "alive",
        /// Does not respond.
        Suspect = "suspect",
        /// Counts as dead.
        Dead = "dead",
    }

    /// Kind of a call to the platform.
    StoreCall {
        /// Read of a row, or scan.
        Read = "read",
        /// Commit of a transaction.
        Commit = "commit",
        /// Read or listing of objects.
        ObjectRead = "object-read",
        /// Write or deletion of an object.
        ObjectWrite = "object-write",
        /// List of VMs.
        Vms = "vms",
    }

    /// Result of a call to the platform.
    StoreResult {
        /// Successful.
        Ok = "ok",
        /// A precondition failed.
        Conflict = "conflict",
        /// Rejected as over the budget.
        Throttled = "throttled",
        /// The request was not sent.
        Unreachable = "unreachable",
        /// The request was sent, but no response arrived.
        ResponseLost = "reply-lost",
        /// The response cannot be decoded.
        InvalidResponse = "garbled",
    }
}

impl<T> From<&Result<T, kernel::PlatformError>> for StoreResult {
    fn from(result: &Result<T, kernel::PlatformError>) -> Self {
        use kernel::PlatformError::{
            Conflict, InvalidResponse, ResponseLost, Throttled, Unreachable,
        };
        match result {
            Ok(_) => StoreResult::Ok,
            Err(Conflict { .. }) => StoreResult::Conflict,
            Err(Throttled) => StoreResult::Throttled,
            Err(Unreachable(_)) => StoreResult::Unreachable,
            Err(ResponseLost(_)) => StoreResult::ResponseLost,
            Err(InvalidResponse(_)) => StoreResult::InvalidResponse,
        }
    }
}
