//! Whether an endpoint has ended, by what several entry instances see.

use sill_dispatch::EndpointCheck;
use sill_dispatch::check::check_endpoint;
use sill_wire::probe::EndpointProbe::{self, Closed, Open, Unclear};

/// A lost path, or a busy instance that connects too late, is taken for the end of an endpoint.
#[test]
fn an_endpoint_has_ended_only_if_nobody_reaches_it_and_all_say_so() {
    struct Case {
        own: EndpointProbe,
        asked: usize,
        replies: &'static [EndpointProbe],
        check: EndpointCheck,
    }
    let case = |own, asked, replies, check| Case { own, asked, replies, check };
    let cases = [
        case(Open, 0, &[], EndpointCheck::Running),
        case(Closed, 0, &[], EndpointCheck::Ended),
        case(Closed, 1, &[], EndpointCheck::Unclear),
        case(Closed, 2, &[Closed, Closed], EndpointCheck::Ended),
        case(Closed, 2, &[Closed], EndpointCheck::Unclear),
        case(Closed, 2, &[Closed, Unclear], EndpointCheck::Unclear),
        case(Closed, 3, &[Closed, Open, Closed], EndpointCheck::Running),
        case(Unclear, 0, &[], EndpointCheck::Running),
        case(Unclear, 2, &[Unclear], EndpointCheck::Running),
        case(Unclear, 2, &[Closed, Unclear], EndpointCheck::Unclear),
        case(Unclear, 2, &[Closed, Closed], EndpointCheck::Ended),
        case(Unclear, 2, &[Closed, Open], EndpointCheck::Running),
    ];
    for Case { own, asked, replies, check } in cases {
        assert_eq!(check_endpoint(own, asked, replies), check, "{own:?} {asked} {replies:?}");
    }
}
