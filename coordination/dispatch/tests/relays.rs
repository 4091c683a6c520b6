//! Offers of tunnels, and the choice among them.

use std::net::SocketAddr;

use sill_base::{Map, Millis, Name};
use sill_dispatch::relays::{fingerprint, limit_offers, select_offers};
use sill_dispatch::{RelayList, RelayLoad};
use sill_wire::link::RelayOffer;

fn offer(domain: &str, number: usize) -> RelayOffer {
    RelayOffer {
        entry: format!("{domain}-{number}").into(),
        domain: domain.into(),
        address: SocketAddr::from(([10, 0, 0, number as u8], 7601)),
    }
}

fn offers(domains: &[&str], each: usize) -> Vec<RelayOffer> {
    let all = domains.iter().enumerate();
    all.flat_map(|(i, domain)| (0..each).map(move |n| offer(domain, i * each + n))).collect()
}

/// An entry instance that knows only of those that are cut off together with it finds no tunnel.
#[test]
fn an_entry_instance_is_told_of_relays_in_its_own_and_other_failure_domains() {
    struct Case {
        each: usize,
        local: usize,
        remote: usize,
    }
    let cases = [
        Case { each: 2, local: 1, remote: 6 },
        Case { each: 30, local: 6, remote: 6 },
        Case { each: 1, local: 0, remote: 3 },
    ];
    for Case { each, local, remote } in cases {
        let all = offers(&["a", "b", "c", "d"], each);
        let told = select_offers(&"a-0".into(), &"a".into(), &all);
        let in_own = told.iter().filter(|offer| offer.domain.as_str() == "a").count();
        assert_eq!((in_own, told.len() - in_own), (local, remote), "{each} in each");
        assert!(told.iter().all(|offer| offer.entry.as_str() != "a-0"), "{each} in each");
        assert_eq!(told, select_offers(&"a-0".into(), &"a".into(), &all));
    }
}

/// If all were told of the same relays, a failure domain that is cut off would overrun them.
#[test]
fn entry_instances_are_told_of_different_relays() {
    let all = offers(&["a", "b"], 40);
    let mut told_of: Map<Name, usize> = Map::default();
    for entry in 0..40 {
        let told = select_offers(&format!("a-{entry}").into(), &"a".into(), &all);
        for offer in told.into_iter().filter(|offer| offer.domain.as_str() == "b") {
            *told_of.entry(offer.entry).or_default() += 1;
        }
    }
    assert!(told_of.values().max() <= Some(&15), "{told_of:?}");
}

#[test]
fn few_offers_are_of_all_failure_domains() {
    let kept = limit_offers(offers(&["a", "b", "c"], 20), 9);
    for domain in ["a", "b", "c"] {
        assert_eq!(
            kept.iter().filter(|offer| offer.domain.as_str() == domain).count(),
            3,
            "{domain}"
        );
    }
    assert_ne!(fingerprint(&kept), fingerprint(&kept[1..]));
    assert_ne!(fingerprint::<RelayOffer>(&[]), 0);
}

/// A relay that fails would be asked again by each request.
#[test]
fn relays_that_failed_are_asked_last() {
    let mut list = RelayList::default();
    list.set_offers(offers(&["a", "b"], 2));
    let (now, own): (Millis, Name) = (Millis(1000), "a".into());
    let first = |list: &RelayList, now| list.candidates(now, &own, &"e1".into(), true, 4);
    let before = first(&list, now);
    assert_eq!(before[0].domain, own);
    assert_eq!(before[1].domain, own);
    list.record_failure(now, before[0].address);
    assert_eq!(first(&list, now).last(), Some(&before[0]));
    assert_eq!(first(&list, now + Millis(2000))[0], before[0], "after a while");
    for offer in &before {
        list.record_failure(now, offer.address);
    }
    assert!(!list.has_usable(now));
    list.record_success(before[3].address);
    assert_eq!(first(&list, now)[0], before[3]);
    let withdrawn = list.set_offers(vec![before[1].clone()]);
    assert_eq!(withdrawn.len(), 3);
    assert!(!list.is_offered(before[0].address));
}

/// A relay that works again is asked only once control instances have passed its offer on.
#[test]
fn a_relay_whose_offer_was_withdrawn_is_used_once_it_works_again() {
    let mut list = RelayList::default();
    let (all, now) = (offers(&["a", "b"], 2), Millis(1000));
    list.set_offers(all.clone());
    list.set_offers(Vec::new());
    assert!(!list.has_usable(now));
    assert!(list.candidates(now, &"a".into(), &"e1".into(), true, 4).is_empty());
    assert_eq!(list.check_candidates(now, &"e1".into(), 9).len(), 4);
    list.record_success(all[2].address);
    assert_eq!(list.candidates(now, &"a".into(), &"e1".into(), true, 4), [all[2].clone()]);
    assert_eq!(list.check_candidates(now, &"e1".into(), 9)[0], all[2]);
    list.set_offers(all[..2].to_vec());
    assert_eq!(list.candidates(now, &"a".into(), &"e1".into(), true, 4).len(), 2);
    assert_eq!(list.check_candidates(now, &"e1".into(), 9).len(), 4);
    (0..40).for_each(|number| _ = list.set_offers(vec![offer("c", number)]));
    assert!(list.check_candidates(now, &"e1".into(), 99).len() <= 13);
}

/// An entry instance that carries too much for others fails its own callers.
#[test]
fn a_busy_entry_instance_accepts_no_tunnels() {
    let mut load = RelayLoad::default();
    assert!(load.may_accept(0));
    assert!(!load.may_accept(512));
    (0..20).for_each(|_| load.record_delay(Millis(200)));
    assert!(!load.may_accept(0));
    (0..20).for_each(|_| load.record_delay(Millis(1)));
    assert!(load.may_accept(0));
}
