//! The balancer's state machine: takes an event (`event.rs`), decides by its configuration
//! (`config.rs`) and returns actions (`action.rs`). What it owns is laid out in `state.rs` and
//! `records.rs`. Ordinary path: `capacity.rs` turns the arrival rate and the learned speeds into a
//! share per kind (HALB), `picker.rs` draws a kind by share and a backend inside it at random. All
//! else departs from it for faults.

use crate::*;

impl Balancer {
    /// Takes one event that happened at `now` and appends the actions it calls for.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if !matches!(event, Event::Request(_) | Event::Timer { .. }) {
            // The others free no capacity, and trying a long queue costs CPU.
            self.blocked_below_weight = 0.0;
        }
        self.first_event_at.get_or_insert(now);
        self.in_flight_mean.advance(now, self.in_use());
        match event {
            Event::EndpointsUpdated { update, endpoints } => {
                self.on_endpoints(now, update, endpoints);
            }
            Event::Request(arrival) => self.on_request(now, arrival),
            Event::StreamStarted { request, attempt } => self.record_stream(request, attempt),
            Event::AttemptEnded(end) => self.on_attempt_ended(now, end),
            Event::ConnectionRejected {
                idle_connections: idle,
            } => {
                self.idle_connections.on_connection_rejected(now, idle);
            }
            Event::ClientDisconnected { request } => self.close(request, None),
            Event::Timer { token } if token.0 != self.timer.token => return,
            Event::Timer { .. } => self.timer.expires_at = None,
        }
        if now - self.solved_at >= self.solve_interval {
            self.solve(now);
        }
        if now >= self.next_wakeup {
            self.next_wakeup = Time(u64::MAX);
            self.on_wakeup(now);
        }
        self.pump(now);
        let idle_limit = self.idle_connections.take_change();
        self.actions
            .extend(idle_limit.map(|max_idle| Action::LimitIdleConnections { max_idle }));
        self.set_timer(now);
        actions.append(&mut self.actions);
    }

    /// What has to be done without an event.
    fn on_wakeup(&mut self, now: Time) {
        if self.discovery_watch.take_due_poll(now, &self.config) {
            self.actions.push(Action::WatchEndpoints);
        }
        self.wake_by(
            self.discovery_watch
                .next_poll_at
                .unwrap_or(self.next_wakeup),
        );
        self.check_attempts(now);
        self.check_requests(now);
    }

    fn on_endpoints(&mut self, now: Time, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        match update {
            EndpointUpdate::WatchFailed => {
                self.discovery_watch
                    .on_watch_failed(now, &self.config, self.rng.unit());
                self.log(now, LogEvent::WatchFailed);
            }
            EndpointUpdate::WatchTimedOut => {
                self.discovery_watch.on_watch_timed_out(now, &self.config);
                self.log(now, LogEvent::WatchTimedOut);
            }
            EndpointUpdate::Delta | EndpointUpdate::Snapshot => {
                self.discovery_watch.on_endpoints_received(now);
            }
            EndpointUpdate::Cached => {
                self.discovery_watch.on_process_started(
                    now,
                    &self.config,
                    !endpoints.is_empty(),
                    || self.rng.unit(),
                );
            }
        }
        self.wake_by(
            self.discovery_watch
                .next_poll_at
                .unwrap_or(self.next_wakeup),
        );
        if self.apply_endpoints(now, update, endpoints) {
            self.solve(now);
        }
    }

    fn on_attempt_ended(&mut self, now: Time, mut end: AttemptEnd) {
        let Some(attempt) = self.in_flight_attempts.remove(&(end.request, end.attempt)) else {
            return;
        };
        let class = &self.config.classes[attempt.class];
        if end.outcome == Outcome::Cancelled && end.latency > class.latency_objective {
            // Cancelled when its client left after all that time: as much against the backend as a
            // time-out.
            end.outcome = Outcome::TimedOut;
        }
        let success = end.outcome == Outcome::Success;
        // A rejection mostly comes from a backend that drains or lacks connections, not from
        // overload.
        if !attempt.late && (success || end.outcome == Outcome::TimedOut) {
            let prompt =
                success && end.latency < self.prompt_latency(attempt.backend, attempt.class);
            self.adjust_admission(prompt);
        }
        self.record_outcome(now, &attempt, &end);
        let Some(request) = self.record_attempt_end(&end) else {
            return;
        };
        let on_time = success && now <= request.objective_at;
        if end.settled || success {
            self.close(end.request, Some(on_time));
        } else if !request.in_flight() && !self.queue.contains(&end.request) {
            self.queue.push(end.request); // `pump` sends it again or gives it up
        }
    }

    /// Forgets a request and cancels the attempts that are still in flight.
    pub(crate) fn close(&mut self, id: RequestId, on_time: Option<bool>) {
        let Some(request) = self.remove_request(id, on_time) else {
            return;
        };
        let in_flight = request
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, attempt)| attempt.in_flight);
        for (number, _) in in_flight.filter(|_| self.config.cancellation_allowed) {
            self.actions.push(Action::Cancel {
                request: id,
                attempt: AttemptNumber(number as u32),
            });
        }
    }
}
