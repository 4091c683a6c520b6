//! Targets of the routing policy, on short runs of the experiments in virtual time.

use sill_base::Millis;
use sill_load::experiment::figures::Row;
use sill_load::experiment::pool::{CallerCfg, Pool, PoolCfg, Wave};
use sill_load::experiment::traffic::Mix;
use sill_route::{Policy, PolicyCfg};

fn run(mix: Mix, policy: Policy) -> Row {
    let wave = Wave {
        domain: 1,
        at: Millis::from_secs(150),
        notice: Millis::from_secs(2),
        replaced_after: Millis::from_secs(30),
    };
    let cfg = PoolCfg {
        mix,
        endpoints: mix.endpoints(),
        policy: PolicyCfg { policy, ..PolicyCfg::default() },
        load: 1.0,
        entries: 8,
        length: Millis::from_secs(240),
        warm_up: Millis::from_secs(60),
        wave: Some(wave),
        callers: CallerCfg::default(),
        seed: 1,
    };
    Pool::new(cfg).run().row("")
}

/// Guards against a routing policy that loses its advantage over least-loaded routing during a
/// reclaim wave: it must recompute less than half as many tokens and lose no request, and its times
/// to first token and between tokens must not be longer.
#[test]
fn recomputes_less_than_half_of_least_loaded() {
    for mix in [Mix::Shared, Mix::CaseFiles] {
        let (ours, usual) = (run(mix, Policy::Cost), run(mix, Policy::LeastLoaded));
        let name = mix.name();
        assert!(2 * ours.recomputed < usual.recomputed, "{name}: {ours:?} against {usual:?}");
        assert!(ours.ttft_p95_ms <= usual.ttft_p95_ms, "{name}: {ours:?} against {usual:?}");
        assert!(ours.between_p95_ms <= usual.between_p95_ms, "{name}: {ours:?} against {usual:?}");
        assert_eq!(ours.lost, 0, "{name}: {ours:?}");
    }
}
