//! What is learned of engines from the calls that they answer.

use rand::Rng as _;
use sill_base::Millis;
use sill_base::random::{self, Rng};
use sill_dispatch::{SpeedMeter, median_speed, presumed_speed};
use sill_wire::link::EngineSpeed;

/// An engine that reads prompts at some speed, in the middle of the work of other entry instances.
struct World {
    rng: Rng,
    tokens_per_s: f64,
    /// Part of the calls that wait for other prompts, or for a slot.
    waits: f64,
}

impl World {
    fn new(tokens_per_s: f64, waits: f64) -> Self {
        Self { rng: random::seeded(random::seed(5)), tokens_per_s, waits }
    }

    /// Returns the tokens of a prompt and the time to its first token. One in twenty was cached after all.
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
            let (tokens, took) = self.call();
            meter.record_first_part(tokens, took);
        }
    }
}

/// A customer's engines are half, or twice, or ten times as fast as those that the figures in the code came
/// from. Endpoints are then given up that the load needs, and half of the callers come too late; or most of
/// what is paid for stands idle.
#[test]
fn the_speed_of_any_engine_is_learned_from_a_few_hundred_calls() {
    for tokens_per_s in [5_000.0, 25_000.0, 50_000.0, 100_000.0, 300_000.0] {
        for waits in [0.1, 0.4] {
            let mut world = World::new(tokens_per_s, waits);
            let mut meter = SpeedMeter::default();
            world.run(&mut meter, 600);
            let ratio = meter.speed().prefill_tokens_per_s / tokens_per_s;
            assert!((0.65..1.55).contains(&ratio), "{tokens_per_s} with {waits} waiting: {ratio}");
        }
    }
}

/// Endpoints freeze for some seconds, and every call of that time takes seconds. A speed that followed them
/// would have ten times the endpoints ordered.
#[test]
fn a_freeze_moves_the_speed_by_little() {
    let mut world = World::new(50_000.0, 0.2);
    let mut meter = SpeedMeter::default();
    world.run(&mut meter, 600);
    let before = meter.speed().prefill_tokens_per_s;
    for i in 0..16 {
        meter.record_first_part(500 + 100 * i, Millis(4000));
    }
    let after = meter.speed().prefill_tokens_per_s;
    assert!((0.6..1.7).contains(&(after / before)), "{before} before, {after} after");
    world.run(&mut meter, 200);
    let ratio = meter.speed().prefill_tokens_per_s / 50_000.0;
    assert!((0.65..1.55).contains(&ratio), "{ratio} of the speed a while later");
}

/// Prompts of one size tell nothing of the speed; what is presumed stays.
#[test]
fn prompts_of_one_size_teach_nothing() {
    let mut meter = SpeedMeter::default();
    for i in 0..500_u64 {
        meter.record_first_part(1000 + i % 3, Millis(20 + i % 90));
    }
    assert_eq!((meter.speed(), meter.speed().lines), (presumed_speed(), 0));
}

/// One entry instance is garbled, another has learned nothing; the figure for all is the middle of the rest.
#[test]
fn the_figure_for_all_is_the_middle_one() {
    let speed = |rate, lines| EngineSpeed { prefill_tokens_per_s: rate, lines };
    struct Case {
        name: &'static str,
        told: Vec<EngineSpeed>,
        expected: Option<f64>,
    }
    let cases = [
        Case { name: "nobody", told: Vec::new(), expected: None },
        Case { name: "nobody learned", told: vec![speed(9e4, 0)], expected: None },
        Case {
            name: "one is garbled",
            told: vec![speed(4e4, 3), speed(9e12, 8), speed(5e4, 4), speed(1.0, 0)],
            expected: Some(5e4),
        },
    ];
    for case in cases {
        let got = median_speed(case.told).map(|speed| speed.prefill_tokens_per_s);
        assert_eq!(got, case.expected, "{}", case.name);
    }
}
