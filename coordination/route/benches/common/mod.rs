//! Endpoints for the benchmarks.

use sill_base::Name;
use sill_wire::{Announcement, Incarnation, Load, Role, Servable};

/// Returns an announcement of endpoint `number`, in one of ten failure domains.
pub fn announcement(number: usize, sequence: u64) -> Announcement {
    Announcement {
        name: format!("lm-{number}").into(),
        incarnation: Incarnation(1),
        sequence,
        address: "127.0.0.1:1".into(),
        domain: format!("d{}", number % 10).into(),
        class: Name::default(),
        reclaimable: !number.is_multiple_of(3),
        price: 1000,
        serves: vec![Servable::Model {
            model: "m".into(),
            version: Name::default(),
            adapters: vec![],
        }],
        role: Role::Mixed,
        slots: 64,
        prefill_tokens_per_s: 30_000,
        decode_ms: 20,
        cache_tokens: 1 << 24,
        load: Load::default(),
        leaving: None,
        checks_fencing: true,
        software: Default::default(),
    }
}
