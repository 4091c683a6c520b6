//! Tests of the cheapest plan: fixed cases, and an exhaustive search on small random cases.

use rand::Rng as _;
use sill_base::random::{cases, seed, seeded};
use sill_fleet::offer::{Offer, OfferKey};
use sill_fleet::plan::{Candidate, Need, cheapest_plan};

struct Case {
    name: &'static str,
    need: u32,
    /// Price and limit of an offer for each domain.
    offers: &'static [(u64, u32)],
    /// Expected number of instances in each domain.
    expected: &'static [u32],
    survives: bool,
}

const SLOTS: u32 = 8;

const CASES: &[Case] = &[
    Case {
        name: "equal prices spread over all domains",
        need: 24,
        offers: &[(100, 9); 4],
        expected: &[1, 1, 1, 1],
        survives: true,
    },
    Case {
        name: "a domain at four times the price is left out",
        need: 24,
        offers: &[(100, 9), (100, 9), (400, 9)],
        expected: &[3, 3, 0],
        survives: true,
    },
    Case {
        name: "refused offers spill over",
        need: 16,
        offers: &[(100, 0), (150, 9), (160, 9), (170, 9)],
        expected: &[0, 1, 1, 1],
        survives: true,
    },
    Case {
        name: "the need can't survive the loss of the only domain",
        need: 16,
        offers: &[(100, 0), (150, 5)],
        expected: &[0, 3],
        survives: false,
    },
];

fn candidates(offers: &[(u64, u32)]) -> Vec<Candidate> {
    let candidate = |(i, (price, limit)): (usize, &(u64, u32))| Candidate {
        offer: Offer {
            key: OfferKey { domain: format!("d{i}").into(), class: "c".into(), reclaimable: true },
            price: *price,
            slots: SLOTS,
            reclaims_per_1000h: 0,
        },
        price: *price,
        running: 0,
        limit: *limit,
    };
    offers.iter().enumerate().map(candidate).collect()
}

fn meets(counts: &[u32], need: u32) -> bool {
    let total: u32 = counts.iter().sum();
    (total - counts.iter().max().copied().unwrap_or(0)) * SLOTS >= need
}

/// Returns the lowest price over all combinations of counts, or `None` if none meets the need.
fn brute_force(need: u32, offers: &[(u64, u32)]) -> Option<u64> {
    let mut best: Option<u64> = None;
    let mut counts = vec![0; offers.len()];
    loop {
        if meets(&counts, need) {
            let price = counts.iter().zip(offers).map(|(n, (p, _))| u64::from(*n) * p).sum();
            best = Some(best.map_or(price, |b: u64| b.min(price)));
        }
        let Some(i) = (0..counts.len()).find(|&i| counts[i] < offers[i].1) else {
            return best;
        };
        counts[i] += 1;
        counts[..i].fill(0);
    }
}

#[test]
fn plans_match_the_expected_counts() {
    for case in CASES {
        let plan =
            cheapest_plan(&Need { slots: case.need, min_instances: 0 }, &candidates(case.offers));
        assert_eq!(plan.survives_loss, case.survives, "{}: {plan:?}", case.name);
        if case.survives {
            let counts: Vec<u32> = (0..case.offers.len())
                .map(|i| {
                    let is_in_domain = |k: &&OfferKey| k.domain.as_str() == format!("d{i}");
                    plan.counts.keys().find(is_in_domain).map_or(0, |k| plan.counts[k])
                })
                .collect();
            assert_eq!(counts, case.expected, "{}", case.name);
        } else {
            assert!(
                plan.slots >= case.need,
                "{}: available slots are unused although the need is not met: {plan:?}",
                case.name
            );
        }
    }
}

#[test]
fn plans_have_the_lowest_price_for_instances_of_equal_size() {
    let mut rng = seeded(seed(11));
    for round in 0..cases(300) {
        let domains = rng.random_range(2..=4);
        let offers: Vec<(u64, u32)> =
            (0..domains).map(|_| (rng.random_range(50..400), rng.random_range(0..=4))).collect();
        let need = rng.random_range(1..=5) * SLOTS;
        let plan = cheapest_plan(&Need { slots: need, min_instances: 0 }, &candidates(&offers));
        match brute_force(need, &offers) {
            Some(best) => {
                assert_eq!(plan.price, best, "round {round}: {offers:?} need {need}: {plan:?}")
            }
            None => assert!(!plan.survives_loss, "round {round}: {offers:?} need {need}"),
        }
    }
}
