//! XMPP servers that drain while they have a session request: they end the stream with a stream error,
//! before the last byte of `<auth/>` or after it, and the test decides when.

#[allow(dead_code)]
mod scripted_xmpp;

use jaspermoor::protocol::xmpp::frame::{Unit, NS_SASL};
use jaspermoor_lab::demo::DOMAIN;
use jaspermoor_lab::stream::Stream;
use jaspermoor_lab::until;
use jaspermoor_lab::xmpp_client::{element, header, Answer, Broke};
use scripted_xmpp::{offer_of_sasl, Site};

/// Stream errors by which a server sends its clients away (RFC 6120, 4.9.3).
const SENT_AWAY: [&str; 3] = ["system-shutdown", "see-other-host", "resource-constraint"];

/// The stream error of a server that sends its client away.
fn sent_away(condition: &str) -> String {
    format!(
        "<stream:error><{condition} xmlns='urn:ietf:params:xml:ns:xmpp-streams'/></stream:error>\
         </stream:stream>"
    )
}

/// The next attempt at the server with this index, or the client's answer where there is none.
fn attempt_or_answer(site: &mut Site, server: usize) -> Result<Stream, Broke> {
    let attempt = until("a further attempt, or the end of the request", || {
        let attempt = site.servers[server].try_accept();
        let lines = site.relay.lines();
        let ended = lines.iter().any(|line| line.starts_with("end id="));
        (attempt.is_some() || ended).then_some(attempt)
    });
    attempt.ok_or_else(|| element(&mut site.client).expect_err("a final answer"))
}

/// Guards against a request that runs twice, and against a client that is told that trying again is
/// harmless: its server had the whole request when it sent its clients away, as a backend of the line
/// protocol with `MOVE`.
#[test]
fn an_unsafe_session_request_that_a_draining_server_has_whole_is_failed_and_not_sent_again() {
    for condition in SENT_AWAY {
        let mut site = Site::start_with(&format!("unsafe-{condition}"), "unsafe");
        site.request();
        let (first, mut server) = site.accept_request();
        server.send(&sent_away(condition)).unwrap();
        let answer = attempt_or_answer(&mut site, 1 - first).map(|_| "a further attempt");
        let failed = Answer::Error("remote-connection-failed".into(), None);
        assert!(
            matches!(&answer, Err(Broke::Answered(answer)) if *answer == failed),
            "{condition}: {answer:?}"
        );
    }
}

/// What the server has not got whole cannot have run: it goes to the other server, in any class. What
/// may have run goes there in a class that may run twice.
#[test]
fn a_session_request_that_may_run_again_goes_to_another_server_than_the_draining_one() {
    for condition in SENT_AWAY {
        for (idempotency, offers) in [("unsafe", false), ("safe", true)] {
            let name = format!("again-{idempotency}-{condition}");
            let mut site = Site::start_with(&name, idempotency);
            site.request();
            let (first, mut server) = if offers {
                site.accept_request()
            } else {
                site.accept_attempt()
            };
            let header = if offers {
                String::new()
            } else {
                header(DOMAIN, None)
            };
            server.send(&(header + &sent_away(condition))).unwrap();
            let mut other = attempt_or_answer(&mut site, 1 - first)
                .unwrap_or_else(|answer| panic!("{name}: {answer:?}"));
            assert!(matches!(other.unit().unwrap().0, Unit::Header(_)));
            other.send(&offer_of_sasl()).unwrap();
            assert!(element(&mut other).unwrap().is(NS_SASL, "auth"), "{name}");
        }
    }
}
