//! The evidence for the use of the endpoint list.

use crate::Time;

/// Why the endpoint list may be used, and until when, or that it may not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListEvidence {
    /// Discovery pushes all changes.
    Pushed {
        /// When the list must not be used any more; [`Time::NEVER`] if no such time is known.
        until: Time,
    },
    /// A watch is open that reports every change as long as it is open.
    Watched {
        /// When discovery answered.
        since: Time,
    },
    /// Discovery's latest complete answer is recent.
    Answered {
        /// When discovery answered.
        at: Time,
        /// When the list must not be used any more unless discovery answers again.
        until: Time,
    },
    /// The proxy polls, and may use the list meanwhile.
    Polled {
        /// When the list must not be used any more unless the proxy polls again.
        until: Time,
    },
    /// No answer confirms the list. It must not be used.
    Unconfirmed,
}

impl ListEvidence {
    /// Whether requests may be sent to the backends on the list.
    pub fn allows_use(self) -> bool {
        self != ListEvidence::Unconfirmed
    }

    /// The time before which the first byte of a request must be sent; `None` if there is no limit.
    pub fn send_by(self) -> Option<Time> {
        let until = match self {
            ListEvidence::Pushed { until }
            | ListEvidence::Answered { until, .. }
            | ListEvidence::Polled { until } => until,
            ListEvidence::Watched { .. } => Time::NEVER,
            ListEvidence::Unconfirmed => Time(0),
        };
        (until < Time::NEVER).then_some(until)
    }
}
