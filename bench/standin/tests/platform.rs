//! Tests of the stand-ins for the cloud API, the weights store and orders to endpoints.

use sill_base::Millis;
use sill_standin::cloud::{Cloud, Offer, ReclaimDomain, StartInstance};
use sill_standin::orders::Orders;
use sill_standin::weights::{Store, StoreCfg};
use sill_wire::Role;
use sill_wire::endpoint::{Order, OrderAction};

fn start_request(start: &str) -> StartInstance {
    let (domain, class) = ("a".into(), "standard".into());
    StartInstance { domain, class, reclaimable: true, start: start.into() }
}

/// A reclaim of a failure domain must notify all its instances and refuse replacements until
/// capacity returns.
#[test]
fn reclaimed_domain_gives_notices_and_refuses_replacements() {
    let offer = Offer {
        domain: "a".into(),
        class: "standard".into(),
        reclaimable: true,
        price: 300,
        left: 2,
    };
    let cloud = Cloud::new(vec![offer.clone()]);
    let first = cloud.start(start_request("s1")).expect("the offer has two instances");
    assert_eq!(
        cloud.start(start_request("s1")),
        Some(first.clone()),
        "a retried start returns the same instance"
    );
    assert!(cloud.start(start_request("s2")).is_some());
    assert_eq!(cloud.start(start_request("s3")), None);
    assert_eq!(cloud.reclaim(&ReclaimDomain { domain: "b".into(), in_ms: Millis(1) }), 0);
    assert_eq!(cloud.reclaim(&ReclaimDomain { domain: "a".into(), in_ms: Millis(1) }), 2);
    assert_eq!(cloud.notices(1).len(), 1);
    assert!(cloud.stop(&first.name) && !cloud.stop(&first.name));
    assert!(cloud.start(start_request("s4")).is_some(), "stopping an instance frees its capacity");
    cloud.set_offers(vec![offer]);
    assert!(cloud.start(start_request("s5")).is_some());
}

/// With a bandwidth per read instead of a shared one, concurrent reads would finish too early.
#[test]
fn reads_of_weights_share_one_rate() {
    let store = Store::new(StoreCfg { size: 1000, rate: 500, waiting: 3 });
    assert_eq!(store.reserve(Millis(0)), Some(Millis(2000)));
    assert_eq!(store.reserve(Millis(1000)), Some(Millis(3000)));
    assert_eq!(store.reserve(Millis(1000)), Some(Millis(5000)));
    assert_eq!(store.reserve(Millis(1000)), None, "the queue is full");
    store.release();
    assert_eq!(store.reserve(Millis(9000)), Some(Millis(2000)));
}

struct OrderCase {
    checks: bool,
    orders: [(u64, u64, Role); 2],
    role: Role,
}

/// A superseded control instance sends a late order. Endpoints that check fencing tokens must
/// refuse it; the others execute it.
#[test]
fn a_late_order_is_refused_where_fencing_is_checked() {
    let (prefill, decode) = (Role::Prefill, Role::Decode);
    let cases = [
        OrderCase { checks: true, orders: [(2, 1, prefill), (1, 9, decode)], role: prefill },
        OrderCase { checks: true, orders: [(2, 2, prefill), (2, 1, decode)], role: prefill },
        OrderCase { checks: true, orders: [(2, 1, prefill), (3, 1, decode)], role: decode },
        OrderCase { checks: false, orders: [(2, 1, prefill), (1, 9, decode)], role: decode },
    ];
    for case in cases {
        let orders = Orders::new(Vec::new());
        for (term, sequence, role) in case.orders {
            let action = OrderAction::ChangeRole { role };
            let order = Order { term, sequence, not_after: Millis(1000), action };
            orders.receive(order, case.checks);
        }
        assert_eq!(orders.role(), case.role);
    }
}
