//! The clients of one proxy, which send requests as a Poisson process.

use crate::arrivals::arrival_intervals;
use crate::failure::InputError;
use brookstack_balancer::{Micros, RequestId, Time};
use rand::SeedableRng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

/// A request of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    /// Its id, unique within the proxy.
    pub id: RequestId,
    /// When it arrives.
    pub arrived_at: Time,
}

/// The clients of one proxy.
pub struct Clients {
    random: Pcg64Mcg,
    intervals: Exp<f64>,
    next_arrival: Time,
    requests_so_far: u64,
}

impl Clients {
    /// Clients that send `per_second` requests per second on average, from the time `start` on.
    pub fn new(per_second: f64, start: Time, seed: u64) -> Result<Clients, InputError> {
        let intervals = arrival_intervals(per_second)?;
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let next_arrival = start + Micros::from_secs(intervals.sample(&mut random));
        Ok(Clients {
            random,
            intervals,
            next_arrival,
            requests_so_far: 0,
        })
    }

    /// When the next request arrives.
    pub fn next_arrival(&self) -> Time {
        self.next_arrival
    }

    /// Takes the next request and draws the arrival time of the one after it.
    pub fn next_request(&mut self) -> ClientRequest {
        let arrived_at = self.next_arrival;
        let interval = Micros::from_secs(self.intervals.sample(&mut self.random));
        self.next_arrival = arrived_at + interval.max(Micros(1));
        self.requests_so_far += 1;
        ClientRequest {
            id: RequestId(self.requests_so_far),
            arrived_at,
        }
    }
}
