//! The crowds that can be run, by name.

use crate::failure::InputError;
use brookstack_crowd::{Crowd, Pieces, ResponseShape, Shape};
use std::time::Duration;

/// The largest body of a request or a response.
const MAX_BODY_BYTES: usize = 64 << 10;
/// The number of fields that are added to a large head.
const MANY_FIELDS: usize = 90;
/// The sizes of these fields that make heads of 7, 9 and 14 KB.
const FIELD_BYTES_7_KB: usize = 78;
const FIELD_BYTES_9_KB: usize = 100;
const FIELD_BYTES_14_KB: usize = 155;
/// The size of the shortest fields.
const SHORTEST_FIELD_BYTES: usize = 8;

/// Crowds that run beside each other, with a name.
#[derive(Clone, Debug)]
pub struct NamedCrowd {
    /// The name.
    pub name: &'static str,
    /// The crowds.
    pub crowds: Vec<Crowd>,
}

/// The crowds with these names, or all of them.
pub fn named(names: &[String]) -> Result<Vec<NamedCrowd>, InputError> {
    let all = all();
    if names.is_empty() {
        return Ok(all);
    }
    let find = |name: &String| {
        let found = all.iter().find(|crowd| crowd.name == name);
        found.cloned().ok_or_else(|| InputError::Option {
            option: "--crowds",
            expected: all
                .iter()
                .map(|crowd| crowd.name)
                .collect::<Vec<_>>()
                .join(", "),
            got: name.clone(),
        })
    };
    names.iter().map(find).collect()
}

fn all() -> Vec<NamedCrowd> {
    [
        slow_crowds(),
        half_crowds(),
        whole_crowds(),
        fast_crowds(),
        vec![mixed()],
    ]
    .concat()
}

fn single(name: &'static str, crowd: Crowd) -> NamedCrowd {
    NamedCrowd {
        name,
        crowds: vec![crowd],
    }
}

/// Nobody, idle clients, and clients whose bodies arrive in pieces.
fn slow_crowds() -> Vec<NamedCrowd> {
    vec![
        single("none", crowd(0, Shape::Idle)),
        single("idle", crowd(490, Shape::Idle)),
        single("slow-1", slow_bodies(341, 1)),
        single("slow-64", slow_bodies(341, 64)),
        single("slow-100", slow_bodies(60, 100)),
        single("slow-300", slow_bodies(128, 300)),
        single("slow-1000", slow_bodies(100, 1_000)),
        single("slow-2000", slow_bodies(128, 2_000)),
        single("slow-16k", slow_bodies(341, 16 << 10)),
    ]
}

/// Clients that stop in the middle of a request.
fn half_crowds() -> Vec<NamedCrowd> {
    let many = |field_bytes| half_requests(490, MANY_FIELDS, field_bytes, 4_096);
    vec![
        single("half-bodies", half_requests(341, 0, 0, MAX_BODY_BYTES)),
        single("half-short", many(SHORTEST_FIELD_BYTES)),
        single("half-9k", many(FIELD_BYTES_9_KB)),
        single("half-14k", many(FIELD_BYTES_14_KB)),
        single("half-heads", half_heads(490, FIELD_BYTES_14_KB)),
    ]
}

/// Clients with whole requests, and those for large or slow responses.
fn whole_crowds() -> Vec<NamedCrowd> {
    let unread = Shape::UnreadResponses {
        response: WHOLE_RESPONSE,
    };
    vec![
        single("whole-7k", whole(341, FIELD_BYTES_7_KB, WHOLE_RESPONSE)),
        single("whole-14k", whole(490, FIELD_BYTES_14_KB, WHOLE_RESPONSE)),
        single("answers-30", answers(30, 300, 0, false)),
        single("answers-300", answers(341, 300, 0, false)),
        single("answers-fields", answers(341, 300, MANY_FIELDS, false)),
        single("answers-chunked", answers(341, 300, 0, true)),
        single("unread", crowd(341, unread)),
    ]
}

/// Clients that send as fast as they can.
fn fast_crowds() -> Vec<NamedCrowd> {
    let fast = [
        ("pipeline-1", 1, Shape::PipelinedRequests),
        ("pipeline-16", 16, Shape::PipelinedRequests),
        ("unsound-1", 1, Shape::UnsoundRequests),
        ("unsound-16", 16, Shape::UnsoundRequests),
        ("endless-1", 1, Shape::EndlessBytes),
        ("endless-16", 16, Shape::EndlessBytes),
    ];
    fast.map(|(name, clients, shape)| single(name, crowd(clients, shape)))
        .to_vec()
}

fn mixed() -> NamedCrowd {
    NamedCrowd {
        name: "mixed",
        crowds: vec![
            slow_bodies(100, 300),
            half_requests(100, MANY_FIELDS, FIELD_BYTES_14_KB, MAX_BODY_BYTES),
            whole(60, FIELD_BYTES_14_KB, WHOLE_RESPONSE),
            answers(30, 300, MANY_FIELDS, true),
            crowd(4, Shape::EndlessBytes),
            crowd(4, Shape::UnsoundRequests),
        ],
    }
}

const WHOLE_RESPONSE: ResponseShape = ResponseShape {
    body_bytes: MAX_BODY_BYTES,
    fields: 0,
    piece_bytes: 0,
    pause_ms: 0,
    is_chunked: false,
};

fn crowd(clients: usize, shape: Shape) -> Crowd {
    Crowd { clients, shape }
}

fn slow_bodies(clients: usize, piece_bytes: usize) -> Crowd {
    let pieces = Pieces {
        bytes: piece_bytes,
        pause: Duration::from_millis(10),
    };
    let body_bytes = MAX_BODY_BYTES;
    crowd(clients, Shape::SlowBodies { body_bytes, pieces })
}

fn half_requests(clients: usize, fields: usize, field_bytes: usize, body_bytes: usize) -> Crowd {
    crowd(
        clients,
        Shape::HalfRequests {
            fields,
            field_bytes,
            body_bytes,
        },
    )
}

fn half_heads(clients: usize, field_bytes: usize) -> Crowd {
    crowd(
        clients,
        Shape::HalfHeads {
            fields: MANY_FIELDS,
            field_bytes,
        },
    )
}

fn whole(clients: usize, field_bytes: usize, response: ResponseShape) -> Crowd {
    crowd(
        clients,
        Shape::WholeRequests {
            fields: MANY_FIELDS,
            field_bytes,
            body_bytes: MAX_BODY_BYTES,
            response,
        },
    )
}

fn answers(clients: usize, piece_bytes: usize, fields: usize, is_chunked: bool) -> Crowd {
    crowd(
        clients,
        Shape::WholeRequests {
            fields: 0,
            field_bytes: 0,
            body_bytes: 0,
            response: ResponseShape {
                body_bytes: MAX_BODY_BYTES,
                fields,
                piece_bytes,
                pause_ms: 5,
                is_chunked,
            },
        },
    )
}
