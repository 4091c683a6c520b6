//! Whether an endpoint runs or has ended, by what several entry instances see.

use sill_base::Millis;
use sill_dispatch::EndpointCheck;
use sill_dispatch::EndpointSign::{self, Closed, Open, Unclear};
use sill_dispatch::check::check_endpoint;
use sill_wire::probe::ProbeEndpointReply;

/// A lost path, or a busy instance that connects too late, is taken for the end of an endpoint.
#[test]
fn an_endpoint_has_ended_only_if_nobody_reaches_it_and_all_say_so() {
    struct Case {
        own: EndpointSign,
        asked: usize,
        replies: &'static [EndpointSign],
        check: EndpointCheck,
    }
    let case = |own, asked, replies, check| Case { own, asked, replies, check };
    const HEARD: EndpointSign = EndpointSign::Heard(Millis(1));
    let cases = [
        case(HEARD, 0, &[], EndpointCheck::Running),
        case(Open, 0, &[], EndpointCheck::Silent),
        case(Closed, 0, &[], EndpointCheck::Ended),
        case(Closed, 1, &[], EndpointCheck::Unclear),
        case(Closed, 2, &[Closed, Closed], EndpointCheck::Ended),
        case(Closed, 2, &[Closed], EndpointCheck::Unclear),
        case(Closed, 2, &[Closed, Unclear], EndpointCheck::Unclear),
        case(Closed, 3, &[Closed, Open, Closed], EndpointCheck::Silent),
        case(Closed, 3, &[Closed, HEARD, Closed], EndpointCheck::Running),
        case(Unclear, 0, &[], EndpointCheck::Silent),
        case(Unclear, 2, &[Unclear], EndpointCheck::Silent),
        case(Unclear, 2, &[HEARD], EndpointCheck::Running),
        case(Unclear, 2, &[Closed, Unclear], EndpointCheck::Unclear),
        case(Unclear, 2, &[Closed, Closed], EndpointCheck::Ended),
        case(Unclear, 2, &[Closed, Open], EndpointCheck::Silent),
    ];
    for Case { own, asked, replies, check } in cases {
        assert_eq!(check_endpoint(own, asked, replies), check, "{own:?} {asked} {replies:?}");
    }
}

/// The reply of an older entry instance would prove that a process runs whose host accepts connections.
#[test]
fn only_a_process_that_was_heard_is_shown_to_run() {
    struct Case {
        text: &'static str,
        sign: EndpointSign,
    }
    let heard = EndpointSign::Heard(Millis(960));
    let cases = [
        Case { text: r#"{"probe":"Open"}"#, sign: Open },
        Case { text: r#"{"probe":"Open","heard_on":40}"#, sign: heard },
        Case { text: r#"{"probe":"Unclear","heard_on":40}"#, sign: heard },
        Case { text: r#"{"probe":"Closed","heard_on":null}"#, sign: Closed },
    ];
    for Case { text, sign } in cases {
        let reply: ProbeEndpointReply = serde_json::from_str(text).expect("a reply");
        assert_eq!(EndpointSign::of_reply(Millis(1000), reply), sign, "{text}");
    }
}
