//! Whether a connection to a backend may carry another request, and whether a response may be
//! believed.
//!
//! An HTTP/1.1 response does not name the request that it answers. If a backend, or the path to it,
//! sends more than one response to a request, and the later one arrives after the next request was
//! written on the connection, it is taken for the response to that request. So a connection rests
//! after each response for longer than a second response takes to arrive, and every byte that
//! arrives while no request is under way lengthens the rest. The rest is the same for all backends,
//! because the path to them can be the cause.
//!
//! A copy of a response that comes later than that is recognized by its bytes, if the responses of
//! its class or of the request's class usually differ.
//!
//! Bytes right behind a response put its length in doubt, on whichever connection: a length that is
//! too short and a good response that noise follows look the same. Such bytes may come late, so
//! some responses are held back before they are believed: see `late_bytes`.

use crate::{ClassId, Micros, Time};
use late_bytes::LateBytes;
use std::collections::HashMap;

mod late_bytes;

pub use late_bytes::{BackendProcess, HoldEnd, ResponseHold, MAX_LAG};

/// The shortest rest. It covers second responses that come 60 ms late, and 40 ms by which the
/// backend may be held up before it sends them.
const MIN_REST: Micros = Micros(100_000);
/// With a longer rest than this, connections are closed after each response: the pool would have to
/// hold many connections for each that it can use.
const MAX_KEPT_REST: Micros = Micros(800_000);
/// The longest rest.
const MAX_REST: Micros = Micros(1_600_000);
/// The shortest rest after a response other than a success. It is longer because a copy of a
/// rejection, taken for the response to another request, would make that one run twice, and because
/// rejections are too much alike to recognize a copy.
const MIN_REST_AFTER_FAILURE: Micros = MAX_KEPT_REST;
/// The rest as a multiple of the longest time after which a second response came.
const LAG_MULTIPLE: u64 = 2;
/// The rest is halved each time that no unexpected byte was seen for this long.
const RELAX_INTERVAL: Micros = Micros(5_000_000);

/// The weight of a class's newest response in its fraction of equal responses.
const EQUAL_RESPONSE_WEIGHT: f64 = 1.0 / 32.0;
/// The responses of a class usually differ if at most this fraction of them equal the one before.
const MAX_EQUAL_FRACTION: f64 = 1.0 / 32.0;

/// Bytes that arrived from a backend although no request asked for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnsolicitedBytes {
    /// The process that sent them.
    pub process: BackendProcess,
    /// Whether they came late: a look behind the last response, right after it, had found nothing.
    pub came_late: bool,
    /// The time since the first response on the connection. The bytes may be a second response to
    /// any request on the connection, if the responses in between were second ones too.
    pub since_first_response: Micros,
    /// The time since the last response on the connection.
    pub since_last_response: Micros,
    /// What the bytes are.
    pub kind: UnsolicitedKind,
}

/// What bytes are that no request asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsolicitedKind {
    /// They begin like the last response, so that they are its repetition.
    RepeatedResponse,
    /// They begin like another response, or are too few to tell.
    OtherResponse,
    /// They are no response, so that they cannot be taken for the response to another request. They
    /// belong to the last response, or are noise.
    NoResponse,
}

impl UnsolicitedBytes {
    /// The longest time that may have passed between a response and a second one to its request.
    fn longest_lag(self) -> Micros {
        match self.kind {
            UnsolicitedKind::RepeatedResponse | UnsolicitedKind::NoResponse => {
                self.since_last_response
            }
            UnsolicitedKind::OtherResponse => self.since_first_response,
        }
    }
}

/// How a response arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseArrival {
    /// The process that sent it.
    pub process: BackendProcess,
    /// The length of its body.
    pub body_bytes: usize,
    /// For how long the connection had rested when its request was written; `None` if no response
    /// had arrived on the connection before.
    pub rest: Option<Micros>,
    /// Whether its first byte arrived before the last byte of the request was written.
    pub preceded_request: bool,
    /// What arrived right behind it.
    pub behind: BehindResponse,
    /// Whether it announces that its connection ends behind it.
    pub announces_close: bool,
    /// Whether its body is what its headers announce.
    pub is_as_announced: bool,
    /// The response itself; `None` if it is no success.
    pub success: Option<SuccessfulResponse>,
    /// The previous response on the connection, if there was one and it was a success.
    pub previous_success: Option<SuccessfulResponse>,
    /// The time since the previous response on the connection; zero if there was none.
    pub since_previous: Micros,
}

impl ResponseArrival {
    /// Whether it is a success without a body, a form that the protocol does not know.
    fn is_empty_success(&self) -> bool {
        self.success.is_some() && self.body_bytes == 0
    }

    /// Whether the backend may have failed before it sent the body, if its connection has ended.
    fn may_lack_its_body(&self) -> bool {
        self.is_empty_success() && !self.announces_close
    }
}

/// What is found at the end of a response, as soon as that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BehindResponse {
    /// Nothing, though something may still come.
    Nothing,
    /// More bytes.
    Bytes,
    /// The end of the connection, which the backend has closed in order.
    EndOfConnection,
}

/// What tells one successful response from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuccessfulResponse {
    /// The class of its request.
    pub class: ClassId,
    /// A hash of its length and its first bytes.
    pub fingerprint: u64,
}

/// The last response on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastResponse {
    /// When it was read completely.
    pub at: Time,
    /// The response, if the backend served the request.
    pub success: Option<SuccessfulResponse>,
}

/// How often the responses of a class equal the one before, on whichever connections they arrive.
#[derive(Clone, Copy)]
struct ClassResponses {
    last_fingerprint: u64,
    equal_fraction: f64,
}

/// Why a response is not believed to answer its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseDoubt {
    /// It arrived before the request was written completely.
    PrecededRequest,
    /// More bytes followed it. The length that it announces may be too short, or it is a second
    /// response to an earlier request on the connection and the bytes are the real response.
    FollowedByBytes,
    /// Its headers contradict each other, or its body, so that it is open where it ends.
    ContradictoryLength,
    /// It equals the previous response on the connection, though the responses of one of the two
    /// classes usually differ.
    EqualsPrevious,
    /// The connection had rested for less time than second responses were since seen to take.
    RestTooShort,
    /// It had to be held back, and its request had too little time left, or the connection broke,
    /// or it has no body and the connection ended unannounced: the backend may have failed before
    /// it sent the body.
    HoldCutShort,
}

/// What to do with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseJudgement {
    /// It is believed.
    Believed,
    /// It is not believed.
    Doubted(ResponseDoubt),
    /// It is held back. [`ConnectionReuse::judge_held`] decides at the end.
    Held(ResponseHold),
}

/// Decides which connections may be reused, and which responses may be believed.
pub struct ConnectionReuse {
    /// The required rest at `raised_at`.
    rest: Micros,
    /// When an unexpected byte last set the rest.
    raised_at: Time,
    classes: HashMap<ClassId, ClassResponses>,
    late_bytes: LateBytes,
}

impl Default for ConnectionReuse {
    fn default() -> ConnectionReuse {
        ConnectionReuse {
            rest: MIN_REST,
            raised_at: Time(0),
            classes: HashMap::new(),
            late_bytes: LateBytes::default(),
        }
    }
}

impl ConnectionReuse {
    /// Whether connections are kept after a response.
    pub fn keeps_connections(&self, now: Time) -> bool {
        self.required_rest(now) <= MAX_KEPT_REST
    }

    /// Whether a connection may carry another request at `now`. `last_response` is `None` if it had
    /// none.
    pub fn may_reuse(&self, now: Time, last_response: Option<LastResponse>) -> bool {
        last_response.is_none_or(|last| now >= self.reusable_from(now, last))
    }

    /// When a connection may carry another request, as of `now`.
    pub fn reusable_from(&self, now: Time, last_response: LastResponse) -> Time {
        let rest = self.required_rest(now);
        if last_response.success.is_some() {
            last_response.at + rest
        } else {
            last_response.at + rest.max(MIN_REST_AFTER_FAILURE)
        }
    }

    /// Lengthens the rest after bytes that no request asked for, and learns for how long responses
    /// have to be held back. A repetition of a response is no part of it.
    pub fn record_unsolicited(&mut self, now: Time, bytes: UnsolicitedBytes) {
        self.record_lag(now, bytes.longest_lag());
        if bytes.came_late && bytes.kind != UnsolicitedKind::RepeatedResponse {
            self.late_bytes
                .record(now, bytes.process, bytes.since_last_response);
        }
    }

    fn record_lag(&mut self, now: Time, lag: Micros) {
        let needed = Micros(lag.0.saturating_mul(LAG_MULTIPLE)).min(MAX_REST);
        let required = self.required_rest(now);
        if needed >= required {
            self.rest = needed;
            self.raised_at = now;
        }
    }

    /// Judges a response that arrived at `now`.
    pub fn judge(&mut self, now: Time, arrival: &ResponseArrival) -> ResponseJudgement {
        if let Some(doubt) = self.find_doubt(now, arrival) {
            return ResponseJudgement::Doubted(doubt);
        }
        if arrival.behind == BehindResponse::Nothing {
            if let Some(hold) = self.late_bytes.hold(now, arrival) {
                return ResponseJudgement::Held(hold);
            }
        } else if arrival.may_lack_its_body() {
            return ResponseJudgement::Doubted(ResponseDoubt::HoldCutShort);
        }
        self.record_believed(arrival.success);
        ResponseJudgement::Believed
    }

    /// Judges a response that was held back until `now`: why it must not be believed, `None` if it
    /// may be.
    pub fn judge_held(
        &mut self,
        now: Time,
        arrival: &ResponseArrival,
        hold: ResponseHold,
        end: HoldEnd,
    ) -> Option<ResponseDoubt> {
        match end {
            HoldEnd::BytesFollowed => return Some(ResponseDoubt::FollowedByBytes),
            HoldEnd::ConnectionBroken => return Some(ResponseDoubt::HoldCutShort),
            HoldEnd::NothingFollowed(waited) if waited < hold.min_wait => {
                return Some(ResponseDoubt::HoldCutShort);
            }
            HoldEnd::ConnectionClosed if arrival.may_lack_its_body() => {
                return Some(ResponseDoubt::HoldCutShort);
            }
            HoldEnd::NothingFollowed(_) | HoldEnd::ConnectionClosed => {}
        }
        self.late_bytes.record_nothing(now, arrival.process);
        self.record_believed(arrival.success);
        None
    }

    /// Why a response must not be believed, as far as it can be seen at once.
    fn find_doubt(&mut self, now: Time, arrival: &ResponseArrival) -> Option<ResponseDoubt> {
        if arrival.preceded_request {
            return Some(ResponseDoubt::PrecededRequest);
        }
        if arrival.behind == BehindResponse::Bytes {
            return Some(ResponseDoubt::FollowedByBytes);
        }
        if !arrival.is_as_announced {
            return Some(ResponseDoubt::ContradictoryLength);
        }
        let rest = arrival.rest?;
        if self.is_copy(arrival) {
            self.record_lag(now, arrival.since_previous);
            return Some(ResponseDoubt::EqualsPrevious);
        }
        (rest < self.required_rest(now)).then_some(ResponseDoubt::RestTooShort)
    }

    /// Whether the response is a copy of the previous one on its connection.
    fn is_copy(&self, arrival: &ResponseArrival) -> bool {
        let (Some(success), Some(previous)) = (arrival.success, arrival.previous_success) else {
            return false;
        };
        let is_unusual = self.usually_differ(success.class) || self.usually_differ(previous.class);
        success.fingerprint == previous.fingerprint && is_unusual
    }

    fn usually_differ(&self, class: ClassId) -> bool {
        let responses = self.classes.get(&class);
        responses.is_some_and(|responses| responses.equal_fraction <= MAX_EQUAL_FRACTION)
    }

    fn record_believed(&mut self, success: Option<SuccessfulResponse>) {
        let Some(SuccessfulResponse { class, fingerprint }) = success else {
            return;
        };
        let first = ClassResponses {
            last_fingerprint: fingerprint,
            equal_fraction: 1.0,
        };
        let responses = self.classes.entry(class).or_insert(first);
        let is_equal = f64::from(u8::from(responses.last_fingerprint == fingerprint));
        responses.equal_fraction += (is_equal - responses.equal_fraction) * EQUAL_RESPONSE_WEIGHT;
        responses.last_fingerprint = fingerprint;
    }

    /// The rest that a connection needs at `now` before it may carry another request.
    fn required_rest(&self, now: Time) -> Micros {
        let halvings = (now - self.raised_at).0 / RELAX_INTERVAL.0;
        let relaxed = self.rest.0.checked_shr(halvings as u32).unwrap_or(0);
        Micros(relaxed).max(MIN_REST)
    }
}

#[cfg(test)]
mod tests;
