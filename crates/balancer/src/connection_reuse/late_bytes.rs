//! How long a response is held back, because its announced end proves nothing until what may follow
//! it has had time to arrive.
//!
//! A response whose length is too short looks whole until the rest of its body arrives. Two kinds
//! of responses are held back: those without a body, whose form is in doubt at first sight, and,
//! once bytes were seen to come late behind a response, all others, for about as long as such bytes
//! took. If nothing follows within that time, the response is believed.

use super::ResponseArrival;
use crate::{BackendId, Micros, Time};

/// How long a response without a body is held back: the protocol knows a success only with a body.
/// It covers a body that comes 150 ms behind its head, and 50 ms by which it may be held up.
const EMPTY_RESPONSE_WAIT: Micros = Micros(200_000);
/// The shortest time for which other responses are held back, for senders that are held up.
const MIN_WAIT: Micros = Micros(10_000);
/// The longest time for which a response is held back.
const MAX_WAIT: Micros = Micros(800_000);
/// How long a response is held back, as a multiple of the longest time after which bytes came.
const LAG_MULTIPLE: u64 = 2;
/// Bytes that come later than this behind a response are no part of it. Some servers send a
/// response of their own before they close an idle connection.
pub const MAX_LAG: Micros = MAX_WAIT;
/// Late bytes are forgotten after this time without any.
const MEMORY: Micros = Micros(10_000_000);
/// Late bytes are taken for the fault of a single process if the chance that all of them came from
/// the same one, were all processes alike, is at most this.
const MAX_CHANCE_OF_COINCIDENCE: f64 = 0.001;

/// A process of a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendProcess {
    /// The backend.
    pub backend: BackendId,
    /// When the process was started; `None` if that is unknown.
    pub started_at: Option<Time>,
}

/// For how long a response is held back to see whether bytes follow it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHold {
    /// The time to wait.
    pub wait: Micros,
    /// If the request has less time left than `wait`, the shortest time after which the response is
    /// believed.
    pub min_wait: Micros,
}

impl ResponseHold {
    fn longer_of(self, other: ResponseHold) -> ResponseHold {
        ResponseHold {
            wait: self.wait.max(other.wait),
            min_wait: self.min_wait.max(other.min_wait),
        }
    }
}

/// How the time ended for which a response was held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldEnd {
    /// Nothing followed for this time.
    NothingFollowed(Micros),
    /// The backend closed the connection in order. Nothing can follow, though a body may have been
    /// meant to, unless the close was announced.
    ConnectionClosed,
    /// The connection broke, so that it stays open whether anything would have followed.
    ConnectionBroken,
    /// Bytes followed.
    BytesFollowed,
}

/// Late bytes of the last [`MEMORY`], and where they came from.
struct Evidence {
    /// The longest lag, and when it was seen.
    longest_lag: Micros,
    longest_at: Time,
    latest_at: Time,
    source: Source,
}

/// The processes that send late bytes.
enum Source {
    /// All late bytes came from one process.
    Suspect(Suspect),
    /// Late bytes came from several processes, so that the path to them may be the cause.
    Several,
}

/// The only process that late bytes came from.
struct Suspect {
    process: BackendProcess,
    /// How often bytes came late from it.
    late: u32,
    /// The responses since the first late bytes: its own and those of the other processes.
    own_responses: u32,
    other_responses: u32,
    /// Whether the other processes are cleared of the suspicion.
    is_only_one: bool,
}

impl Suspect {
    fn new(process: BackendProcess) -> Suspect {
        Suspect {
            process,
            late: 1,
            own_responses: 1,
            other_responses: 0,
            is_only_one: false,
        }
    }

    /// Counts a response that was held back.
    fn count_response(&mut self, process: BackendProcess) {
        let count = if process == self.process {
            &mut self.own_responses
        } else {
            &mut self.other_responses
        };
        *count = count.saturating_add(1);
        self.is_only_one |= self.chance_of_coincidence() <= MAX_CHANCE_OF_COINCIDENCE;
    }

    /// The chance that all late bytes after the first ones came from this process too, if all
    /// processes sent late bytes equally often.
    fn chance_of_coincidence(&self) -> f64 {
        let own = f64::from(self.own_responses);
        let share = own / (own + f64::from(self.other_responses));
        share.powf(f64::from(self.late - 1))
    }
}

impl Evidence {
    fn new(now: Time, process: BackendProcess, lag: Micros) -> Evidence {
        Evidence {
            longest_lag: lag,
            longest_at: now,
            latest_at: now,
            source: Source::Suspect(Suspect::new(process)),
        }
    }

    fn is_recent(&self, now: Time) -> bool {
        now - self.latest_at < MEMORY
    }

    fn add(&mut self, now: Time, process: BackendProcess, lag: Micros) {
        self.latest_at = now;
        if lag >= self.longest_lag || now - self.longest_at >= MEMORY {
            self.longest_lag = lag;
            self.longest_at = now;
        }
        match &mut self.source {
            Source::Suspect(suspect) if suspect.process == process => {
                suspect.late = suspect.late.saturating_add(1);
                suspect.count_response(process);
            }
            Source::Suspect(_) | Source::Several => self.source = Source::Several,
        }
    }

    /// Whether responses of this process are held back.
    fn concerns(&self, process: BackendProcess) -> bool {
        match &self.source {
            Source::Suspect(suspect) => !suspect.is_only_one || suspect.process == process,
            Source::Several => true,
        }
    }

    fn hold(&self) -> ResponseHold {
        let wait = Micros(self.longest_lag.0.saturating_mul(LAG_MULTIPLE));
        ResponseHold {
            wait: wait.clamp(MIN_WAIT, MAX_WAIT),
            min_wait: self.longest_lag,
        }
    }
}

/// Decides which responses are held back, and for how long. It owns what is known of bytes that
/// came late.
#[derive(Default)]
pub struct LateBytes {
    evidence: Option<Evidence>,
}

impl LateBytes {
    /// Records bytes that came from the process this long after a response, which had been taken
    /// for whole or was held back.
    pub fn record(&mut self, now: Time, process: BackendProcess, lag: Micros) {
        if lag > MAX_LAG {
            return;
        }
        match self.recent_evidence(now) {
            Some(evidence) => evidence.add(now, process, lag),
            None => self.evidence = Some(Evidence::new(now, process, lag)),
        }
    }

    /// Records a response that was held back and that nothing followed.
    pub fn record_nothing(&mut self, now: Time, process: BackendProcess) {
        if let Some(evidence) = self.recent_evidence(now) {
            if let Source::Suspect(suspect) = &mut evidence.source {
                suspect.count_response(process);
            }
        }
    }

    /// For how long a response is held back; `None` if it is not.
    pub fn hold(&mut self, now: Time, arrival: &ResponseArrival) -> Option<ResponseHold> {
        let process = arrival.process;
        let evidence = self.recent_evidence(now);
        let concerned = evidence.filter(|evidence| evidence.concerns(process));
        let learnt = concerned.map(|evidence| evidence.hold());
        let suspicious = arrival.is_empty_success().then_some(ResponseHold {
            wait: EMPTY_RESPONSE_WAIT,
            min_wait: EMPTY_RESPONSE_WAIT,
        });
        match (learnt, suspicious) {
            (Some(learnt), Some(suspicious)) => Some(learnt.longer_of(suspicious)),
            (learnt, suspicious) => learnt.or(suspicious),
        }
    }

    fn recent_evidence(&mut self, now: Time) -> Option<&mut Evidence> {
        let evidence = self.evidence.as_mut();
        evidence.filter(|evidence| evidence.is_recent(now))
    }
}

#[cfg(test)]
mod tests;
