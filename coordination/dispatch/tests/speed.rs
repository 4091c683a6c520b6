//! Learning of engine speeds from answered calls.

use rand::Rng as _;
use sill_base::Millis;
use sill_base::random::{self, Rng};
use sill_dispatch::{SpeedMeter, median_speed, presumed_speed};
use sill_wire::link::EngineSpeed;

/// Simulates an engine with a given speed that also works for other entry instances.
struct Simulation {
    rng: Rng,
    tokens_per_s: f64,
    /// Part of the calls that wait for other prompts, or for a slot.
    waits: f64,
}

impl Simulation {
    fn new(tokens_per_s: f64, waits: f64) -> Self {
        Self { rng: random::seeded(random::seed(5)), tokens_per_s, waits }
    }

    /// Returns the tokens of a prompt and the time to its first token. One in twenty prompts is
    /// cached after all.
    fn call(&mut self) -> (u64, Millis) {
        let mean = [500.0, 1800.0, 2900.0][self.rng.random_range(0..3)];
        let tokens = mean * self.rng.random_range(0.3..2.0);
        let read = if self.rng.random_bool(0.05) { 0.0 } else { tokens };
        let mut ms = 20.0 + read * 1000.0 / self.tokens_per_s;
        if self.rng.random_bool(self.waits) {
            ms += self.rng.random_range(0.0..6000.0) * 1000.0 / self.tokens_per_s;
        }
        if self.rng.random_bool(0.03) {
            ms += self.rng.random_range(0.0..4000.0);
        }
        (tokens as u64, Millis(ms as u64))
    }

    fn run(&mut self, meter: &mut SpeedMeter, calls: usize) {
        for _ in 0..calls {
            let (tokens, time) = self.call();
            meter.record_first_part(tokens, time);
        }
    }
}

/// A customer's engines are half, twice or ten times as fast as those that the constants were
/// derived from. Endpoints that the load needs would then be released, and half of the callers be
/// late; or most of the paid capacity would be idle.
#[test]
fn the_speed_of_any_engine_is_learned_from_a_few_hundred_calls() {
    for tokens_per_s in [5_000.0, 25_000.0, 50_000.0, 100_000.0, 300_000.0] {
        for waits in [0.1, 0.4] {
            let mut simulation = Simulation::new(tokens_per_s, waits);
            let mut meter = SpeedMeter::default();
            simulation.run(&mut meter, 600);
            let ratio = meter.speed().prefill_tokens_per_s / tokens_per_s;
            assert!(
                (0.65..1.55).contains(&ratio),
                "learned {ratio} of {tokens_per_s} tokens/s, with {waits} of the calls waiting"
            );
        }
    }
}

/// Endpoints freeze for some seconds, in which every call takes seconds. A speed that followed them
/// would cause ten times the endpoints to be ordered.
#[test]
fn a_freeze_barely_moves_the_learned_speed() {
    let mut simulation = Simulation::new(50_000.0, 0.2);
    let mut meter = SpeedMeter::default();
    simulation.run(&mut meter, 600);
    let before = meter.speed().prefill_tokens_per_s;
    for i in 0..16 {
        meter.record_first_part(500 + 100 * i, Millis(4000));
    }
    let after = meter.speed().prefill_tokens_per_s;
    assert!(
        (0.6..1.7).contains(&(after / before)),
        "{before} tokens/s before the freeze, {after} after"
    );
    simulation.run(&mut meter, 200);
    let ratio = meter.speed().prefill_tokens_per_s / 50_000.0;
    assert!(
        (0.65..1.55).contains(&ratio),
        "learned {ratio} of the speed 200 calls after the freeze"
    );
}

/// Prompts of one size contain no information about the speed; the presumed one stays.
#[test]
fn prompts_of_one_size_do_not_change_the_speed() {
    let mut meter = SpeedMeter::default();
    for i in 0..500_u64 {
        meter.record_first_part(1000 + i % 3, Millis(20 + i % 90));
    }
    assert_eq!((meter.speed(), meter.speed().fits), (presumed_speed(), 0));
}

/// One entry instance reports nonsense, another has learned nothing. The speed for all is the
/// median of the rest.
#[test]
fn the_speed_for_all_is_the_median() {
    let speed = |rate, fits| EngineSpeed { prefill_tokens_per_s: rate, fits };
    struct Case {
        name: &'static str,
        speeds: Vec<EngineSpeed>,
        expected: Option<f64>,
    }
    let cases = [
        Case { name: "no reports", speeds: Vec::new(), expected: None },
        Case { name: "no speed learned", speeds: vec![speed(9e4, 0)], expected: None },
        Case {
            name: "one reports nonsense",
            speeds: vec![speed(4e4, 3), speed(9e12, 8), speed(5e4, 4), speed(1.0, 0)],
            expected: Some(5e4),
        },
    ];
    for case in cases {
        let got = median_speed(case.speeds).map(|speed| speed.prefill_tokens_per_s);
        assert_eq!(got, case.expected, "{}", case.name);
    }
}
