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
    /// How a request ended for its caller.
    RequestOutcome {
        /// A whole answer of a backend server that is not its own failure.
        Answered = "answered",
        /// A backend server's own failure, passed on.
        BackendError = "backend-error",
        /// Refused; not run.
        NotRun = "not-run",
        /// Refused; may have run.
        Unknown = "unknown",
    }

    /// State of another VM.
    PeerState {
        /// Answers.
        Alive = "alive",
        /// Does not answer.
        Suspect = "suspect",
        /// Counts as dead.
        Dead = "dead",
    }

    /// Kind of a call to the platform.
    StoreCall {
        /// Row read or scan.
        Read = "read",
        /// Commit.
        Commit = "commit",
        /// Object read or list.
        ObjectRead = "object-read",
        /// Object write or delete.
        ObjectWrite = "object-write",
        /// List of VMs.
        Vms = "vms",
    }

    /// Result of a call to the platform.
    StoreResult {
        /// Answered.
        Ok = "ok",
        /// A check failed.
        Conflict = "conflict",
        /// Over the budget.
        Throttled = "throttled",
        /// Not sent.
        Unreachable = "unreachable",
        /// Sent and not answered.
        ReplyLost = "reply-lost",
        /// Answered with nonsense.
        Garbled = "garbled",
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
            Err(ResponseLost(_)) => StoreResult::ReplyLost,
            Err(InvalidResponse(_)) => StoreResult::Garbled,
        }
    }
}
