//! How likely an endpoint is to be reclaimed soon.

use sill_base::{Map, Millis, Name};

use crate::policy::PolicyCfg;

/// Reclaims seen lately, by failure domain. Reclaims come in waves: one in a failure domain makes
/// others there likely within seconds.
#[derive(Debug, Default)]
pub(crate) struct Waves {
    by_domain: Map<Name, Wave>,
}

#[derive(Debug)]
struct Wave {
    last: Millis,
    reclaims: u32,
}

impl Waves {
    /// Notes that a reclaimable endpoint of a failure domain is leaving or went unannounced.
    pub(crate) fn reclaimed(&mut self, domain: &Name, now: Millis, cfg: &PolicyCfg) {
        let wave = self.by_domain.entry(domain.clone()).or_insert(Wave { last: now, reclaims: 0 });
        if now.since(wave.last) > cfg.wave_window {
            wave.reclaims = 0;
        }
        wave.last = now;
        wave.reclaims += 1;
    }

    /// Returns the chance in a second that one of `left` reclaimable endpoints is reclaimed.
    pub(crate) fn chance_per_s(
        &self,
        domain: &Name,
        left: u32,
        now: Millis,
        cfg: &PolicyCfg,
    ) -> f64 {
        let wave = self.by_domain.get(domain).filter(|w| now.since(w.last) <= cfg.wave_window);
        let Some(wave) = wave else {
            return cfg.reclaim_per_s;
        };
        let share = f64::from(wave.reclaims) / f64::from(wave.reclaims + left.max(1));
        cfg.reclaim_per_s + share / cfg.wave_window.as_secs_f64()
    }
}
