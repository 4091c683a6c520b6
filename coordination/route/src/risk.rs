//! The chance that an endpoint is reclaimed soon.

use sill_base::{Map, Millis, Name};

use crate::policy::PolicyCfg;

/// Recent reclaims by failure domain. Reclaims come in waves: one in a failure domain makes others
/// there likely within seconds.
#[derive(Debug, Default)]
pub(crate) struct ReclaimWaves {
    by_domain: Map<Name, Wave>,
}

#[derive(Debug)]
struct Wave {
    last_reclaim: Millis,
    reclaims: u32,
}

impl ReclaimWaves {
    /// Records that a reclaimable endpoint of a failure domain announced that it is leaving, or was
    /// removed without having announced it.
    pub(crate) fn record_reclaim(&mut self, domain: &Name, now: Millis, cfg: &PolicyCfg) {
        let wave =
            self.by_domain.entry(domain.clone()).or_insert(Wave { last_reclaim: now, reclaims: 0 });
        if now.since(wave.last_reclaim) > cfg.wave_window {
            wave.reclaims = 0;
        }
        wave.last_reclaim = now;
        wave.reclaims += 1;
    }

    /// Returns the chance per second that one of the `remaining` reclaimable endpoints of a failure
    /// domain is reclaimed.
    pub(crate) fn chance_per_s(
        &self,
        domain: &Name,
        remaining: u32,
        now: Millis,
        cfg: &PolicyCfg,
    ) -> f64 {
        let wave =
            self.by_domain.get(domain).filter(|w| now.since(w.last_reclaim) <= cfg.wave_window);
        let Some(wave) = wave else {
            return cfg.reclaim_per_s;
        };
        let share = f64::from(wave.reclaims) / f64::from(wave.reclaims + remaining.max(1));
        cfg.reclaim_per_s + share / cfg.wave_window.as_secs_f64()
    }
}
