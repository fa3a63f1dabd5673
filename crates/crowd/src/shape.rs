//! How the clients of a crowd behave.

use crate::response_shape::ResponseShape;
use std::time::Duration;

/// How a message is written: pieces of at most so many bytes, one after each pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pieces {
    /// The size of a piece.
    pub bytes: usize,
    /// The pause after each piece.
    pub pause: Duration,
}

/// How each client of a crowd behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Whole requests one after another, whose body arrives in pieces.
    SlowBodies {
        /// The size of the body.
        body_bytes: usize,
        /// How it arrives.
        pieces: Pieces,
    },
    /// A head with many fields and a body but for its last byte, then silence.
    HalfRequests {
        /// The number of fields that are added to the head.
        fields: usize,
        /// The size of each of them.
        field_bytes: usize,
        /// The announced size of the body.
        body_bytes: usize,
    },
    /// Heads but for the last line, then silence.
    HalfHeads {
        /// The number of fields that are added to the head.
        fields: usize,
        /// The size of each of them.
        field_bytes: usize,
    },
    /// Whole requests without a pause.
    WholeRequests {
        /// The number of fields that are added to the head.
        fields: usize,
        /// The size of each of them.
        field_bytes: usize,
        /// The size of the body.
        body_bytes: usize,
        /// The response that they ask for.
        response: ResponseShape,
    },
    /// Requests whose responses are not read.
    UnreadResponses {
        /// The response that they ask for.
        response: ResponseShape,
    },
    /// Complete requests one after another without waiting for responses, which are read.
    PipelinedRequests,
    /// Requests of unknown classes with ever new names, one after another as fast as they are
    /// answered, on new connections where the old one was closed.
    UnsoundRequests,
    /// A complete request, then bytes without an end behind it.
    EndlessBytes,
    /// Connections without a byte.
    Idle,
}

impl Shape {
    /// Whether the clients leave the connection silent after their bytes.
    pub(crate) fn falls_silent(self) -> bool {
        matches!(
            self,
            Shape::HalfRequests { .. } | Shape::HalfHeads { .. } | Shape::Idle
        )
    }

    /// The head of a request, and the number of body bytes that follow it, as far as the client
    /// sends them.
    pub(crate) fn request(self, id: &str) -> (String, usize) {
        if self == Shape::Idle {
            return (String::new(), 0);
        }
        let request = self.request_shape();
        let mut head = request.head(id);
        let body_bytes = match self {
            Shape::HalfRequests { body_bytes, .. } => body_bytes.saturating_sub(1),
            Shape::HalfHeads { .. } => {
                head.truncate(head.len() - LINE_END.len());
                0
            }
            _ => request.body_bytes,
        };
        (head, body_bytes)
    }

    fn request_shape(self) -> RequestShape {
        let mut request = RequestShape::default();
        match self {
            Shape::SlowBodies { body_bytes, .. } => request.body_bytes = body_bytes,
            Shape::HalfRequests {
                fields,
                field_bytes,
                body_bytes,
            } => {
                request.fields = fields;
                request.field_bytes = field_bytes;
                request.body_bytes = body_bytes;
            }
            Shape::HalfHeads {
                fields,
                field_bytes,
            } => {
                request.fields = fields;
                request.field_bytes = field_bytes;
            }
            Shape::WholeRequests {
                fields,
                field_bytes,
                body_bytes,
                response,
            } => {
                request.fields = fields;
                request.field_bytes = field_bytes;
                request.body_bytes = body_bytes;
                request.response = response;
            }
            Shape::UnreadResponses { response } => request.response = response,
            Shape::UnsoundRequests => request.has_unknown_class = true,
            Shape::PipelinedRequests | Shape::EndlessBytes | Shape::Idle => {}
        }
        request
    }
}

/// The end of a line of a head.
const LINE_END: &str = "\r\n";
/// The time that a client of a crowd waits for a response, in milliseconds.
const TIME_LEFT_MS: u64 = 2_000;

/// What a request looks like.
#[derive(Clone, Copy, Default)]
struct RequestShape {
    has_unknown_class: bool,
    fields: usize,
    field_bytes: usize,
    body_bytes: usize,
    response: ResponseShape,
}

impl RequestShape {
    fn head(&self, id: &str) -> String {
        let class = if self.has_unknown_class {
            format!("unknown-{id}")
        } else {
            "vote".to_string()
        };
        let query = self.response.query();
        let mut head = format!(
            "POST /{class}/a?{query} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\n\
             X-Service-Class: {class}\r\nX-Time-Left-Ms: {TIME_LEFT_MS}\r\n\
             Idempotency-Key: {id}\r\nContent-Length: {}\r\n",
            self.body_bytes
        );
        for field in 0..self.fields {
            let name = format!("x-{field}: ");
            let other_bytes = name.len() + LINE_END.len();
            let value_bytes = self.field_bytes.saturating_sub(other_bytes).max(1);
            head += &name;
            head += &"v".repeat(value_bytes);
            head += LINE_END;
        }
        head + LINE_END
    }
}
