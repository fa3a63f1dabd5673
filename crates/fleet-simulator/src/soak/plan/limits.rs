//! The limits of the proxies of a run, and the crowd of clients that makes them hold memory,
//! descriptors and attention.

use super::{Span, FIRST_FAULT_SECS, RUN_SECS};
use brookstack_crowd::{Crowd, Pieces, ResponseShape, Shape};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::time::Duration;

/// Distinguishes the random numbers of this module from those of the rest of the plan.
const STREAM: u64 = 0x6c69_6d69_7473;
/// The memory limits that are drawn, MiB. The first and the last are the ends of the operators'
/// range.
const MEMORY_MB: [u64; 5] = [32, 48, 64, 128, 192];
/// The limits on descriptors that are drawn, from one end of the operators' range to the other.
const DESCRIPTORS: [usize; 3] = [256, 512, 1024];
/// A crowd has one client for this many descriptors, so that descriptors are left for others.
const DESCRIPTORS_PER_CROWD_CLIENT: usize = 5;
/// The number of clients of a crowd that sends at full speed to each proxy.
const FLOOD_CLIENTS: usize = 16;
/// The part of the runs that have a crowd.
const CROWD_FRACTION: f64 = 0.7;
/// The number of fields in a large head, and the range of their sizes.
const MANY_FIELDS: usize = 90;
const FIELD_BYTES: std::ops::Range<usize> = 8..150;
/// The largest body of a request or a response.
const MAX_BODY_BYTES: usize = 64 << 10;

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum CrowdKind {
    /// They send bodies in small pieces.
    SlowBodies,
    /// They stop in the middle of a request with many fields.
    HalfRequests,
    /// They stop in the middle of a head with many fields.
    HalfHeads,
    /// They send whole large requests without a pause.
    WholeRequests,
    /// They ask for large responses, which the backends write in small pieces.
    SlowResponses,
    /// They send bytes without an end behind a request.
    EndlessBytes,
    /// They send requests one after another without waiting for responses.
    PipelinedRequests,
    /// They send requests of unknown classes with ever new names.
    UnsoundRequests,
}

const KINDS: [CrowdKind; 8] = [
    CrowdKind::SlowBodies,
    CrowdKind::HalfRequests,
    CrowdKind::HalfHeads,
    CrowdKind::WholeRequests,
    CrowdKind::SlowResponses,
    CrowdKind::EndlessBytes,
    CrowdKind::PipelinedRequests,
    CrowdKind::UnsoundRequests,
];

/// A crowd of clients at each proxy.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PlannedCrowd {
    /// What its clients do.
    pub kind: CrowdKind,
    /// The number of clients at each proxy.
    pub clients: usize,
    /// When the crowd is there.
    pub span: Span,
    /// The size of the pieces of bodies and responses.
    pub piece_bytes: usize,
    /// The size of the fields of large heads.
    pub field_bytes: usize,
}

impl PlannedCrowd {
    /// The crowd at one proxy.
    pub fn crowd(&self) -> Crowd {
        Crowd {
            clients: self.clients,
            shape: self.shape(),
        }
    }

    fn shape(&self) -> Shape {
        let (fields, field_bytes) = (MANY_FIELDS, self.field_bytes);
        let body_bytes = MAX_BODY_BYTES;
        match self.kind {
            CrowdKind::SlowBodies => Shape::SlowBodies {
                body_bytes,
                pieces: Pieces {
                    bytes: self.piece_bytes,
                    pause: Duration::from_millis(10),
                },
            },
            CrowdKind::HalfRequests => Shape::HalfRequests {
                fields,
                field_bytes,
                body_bytes,
            },
            CrowdKind::HalfHeads => Shape::HalfHeads {
                fields,
                field_bytes,
            },
            CrowdKind::WholeRequests => Shape::WholeRequests {
                fields,
                field_bytes,
                body_bytes,
                response: ResponseShape::default(),
            },
            CrowdKind::SlowResponses => Shape::WholeRequests {
                fields: 0,
                field_bytes: 0,
                body_bytes: 0,
                response: self.slow_response(),
            },
            CrowdKind::EndlessBytes => Shape::EndlessBytes,
            CrowdKind::PipelinedRequests => Shape::PipelinedRequests,
            CrowdKind::UnsoundRequests => Shape::UnsoundRequests,
        }
    }
}

impl PlannedCrowd {
    fn slow_response(&self) -> ResponseShape {
        ResponseShape {
            body_bytes: MAX_BODY_BYTES,
            fields: MANY_FIELDS,
            piece_bytes: self.piece_bytes,
            pause_ms: 2,
            is_chunked: self.field_bytes % 2 == 0,
        }
    }
}

/// The limits of all proxies, the crowd, and how often an identifier comes again.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Limits {
    /// The memory limit, MiB.
    pub memory_mb: u64,
    /// The limit on descriptors.
    pub descriptors: usize,
    /// The crowd, if the run has one.
    pub client_crowd: Option<PlannedCrowd>,
    /// The fraction of the clients that left which send their request again at once.
    pub resending_fraction: f64,
}

impl Limits {
    /// Draws the limits from the seed of a run.
    pub fn draw(seed: u64) -> Limits {
        let random = &mut Pcg64Mcg::seed_from_u64(seed ^ STREAM);
        let memory_mb = *MEMORY_MB.choose(random).unwrap_or(&MEMORY_MB[0]);
        let descriptors = *DESCRIPTORS.choose(random).unwrap_or(&DESCRIPTORS[0]);
        let crowd = draw_crowd(random, descriptors);
        Limits {
            memory_mb,
            descriptors,
            client_crowd: random.random_bool(CROWD_FRACTION).then_some(crowd),
            resending_fraction: random.random_range(0.0..1.0),
        }
    }
}

fn draw_crowd(random: &mut Pcg64Mcg, descriptors: usize) -> PlannedCrowd {
    let kind = *KINDS.choose(random).unwrap_or(&KINDS[0]);
    let from = random.random_range(FIRST_FAULT_SECS..RUN_SECS / 2.0);
    let clients = match kind {
        CrowdKind::EndlessBytes | CrowdKind::PipelinedRequests | CrowdKind::UnsoundRequests => {
            FLOOD_CLIENTS
        }
        _ => descriptors / DESCRIPTORS_PER_CROWD_CLIENT,
    };
    PlannedCrowd {
        kind,
        clients,
        span: Span {
            from,
            to: from + random.random_range(2.0..4.0),
        },
        piece_bytes: random.random_range(50..2_000),
        field_bytes: random.random_range(FIELD_BYTES),
    }
}
