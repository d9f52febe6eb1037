//! Tests of the permits for brittle upstreams.

use {
    fernring_gateway::rejection_guard::RejectionGuard,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{collections::VecDeque, time::Duration},
};

/// An upstream whose capacity shrinks during a run, and the sends that are on their way to it.
struct Simulation {
    guard: RejectionGuard,
    capacity: usize,
    /// Sends in progress: when each ends, and its number.
    active: Vec<(Duration, u64)>,
    rejected_at: VecDeque<Duration>,
    rejections_in_second_max: usize,
    served: usize,
}

impl Simulation {
    fn new(slots: u32) -> Self {
        Self {
            guard: RejectionGuard::new(slots),
            capacity: slots as usize,
            active: Vec::new(),
            rejected_at: VecDeque::new(),
            rejections_in_second_max: 0,
            served: 0,
        }
    }

    fn step(&mut self, now: Duration, send: u64, bound: f64, draw: f64, service_time: Duration) {
        let (ended, active): (Vec<_>, Vec<_>) =
            self.active.drain(..).partition(|(end_at, _)| now >= *end_at);
        self.active = active;
        for (_, send) in ended {
            self.served += 1;
            self.guard.finish(now, send, false);
        }
        if self.guard.request(now, send, bound, draw).is_err() {
            return;
        }
        if self.active.len() < self.capacity {
            self.active.push((now + service_time, send));
            return;
        }
        self.guard.finish(now, send, true);
        self.rejected_at.push_back(now);
        while self.rejected_at.front().is_some_and(|at| now > *at + Duration::from_secs(1)) {
            self.rejected_at.pop_front();
        }
        let rejections = self.rejected_at.len();
        self.rejections_in_second_max = self.rejections_in_second_max.max(rejections);
    }
}

#[test]
fn rejections_stay_within_the_bound_while_the_capacity_shrinks() {
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let bound = random.random_range(2..8);
        let service_time = Duration::from_millis(random.random_range(20..2_000));
        let mut simulation = Simulation::new(random.random_range(2..64));
        for ms in 0..20_000u64 {
            if ms == 10_000 {
                simulation.capacity = simulation.capacity.div_ceil(2);
            }
            let (now, draw) = (Duration::from_millis(ms), random.random_range(0.0..1.0));
            simulation.step(now, ms, f64::from(bound), draw, service_time);
        }
        let rejections = simulation.rejections_in_second_max;
        assert!(rejections <= bound as usize, "seed {seed}: {rejections} of {bound}");
        assert!(simulation.served > 0, "seed {seed}");
    }
}

#[test]
fn capacity_is_learned_and_used() {
    let mut simulation = Simulation::new(8);
    let service_time = Duration::from_millis(100);
    for ms in 0..30_000u64 {
        simulation.step(Duration::from_millis(ms), ms, 6.0, 0.5, service_time);
    }
    let possible = 8 * 300;
    assert!(simulation.served * 2 > possible, "{} of {possible}", simulation.served);
}

#[test]
fn send_that_is_never_reported_ends_at_last() {
    let mut guard = RejectionGuard::new(2);
    assert!(guard.request(Duration::ZERO, 1, 5.0, 0.5).is_ok());
    assert!(guard.request(Duration::from_secs(10), 2, 5.0, 0.5).is_err());
    assert!(guard.request(Duration::from_secs(61), 3, 5.0, 0.5).is_ok());
}
