//! A session request of a keyed class that its first server may have run: the second server may get
//! it only while the servers remember its key. The test decides how the first server is left, and at
//! which step of its negotiation with the second one the relay is when the window ends.

#[allow(dead_code)]
mod scripted_xmpp;

use jaspermoor::protocol::xmpp::frame::{Unit, NS_SASL};
use jaspermoor_lab::demo::DOMAIN;
use jaspermoor_lab::discovery::Entry;
use jaspermoor_lab::stream::Stream;
use jaspermoor_lab::until;
use jaspermoor_lab::xmpp_client::{element, header, Answer, Broke};
use scripted_xmpp::{offer_of_sasl, proceed, Site, SiteOptions};
use std::thread;
use std::time::{Duration, Instant};

/// The deduplication window of the tests in which it ends: long enough that the second attempt begins
/// within it on a busy machine.
const WINDOW: Duration = Duration::from_secs(3);
/// A window that does not end during a test.
const LONG_WINDOW: Duration = Duration::from_secs(3_600);
/// The client's deadline, far behind the end of [`WINDOW`].
const DEADLINE: Duration = Duration::from_secs(60);

/// How the first server ends an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Left {
    /// It sends its client away (`system-shutdown`).
    SentAway,
    /// It answers with an element that has no place there.
    Error,
    /// It hangs until the relay gives the attempt up.
    GivenUp,
    /// It closes the connection.
    Closed,
    /// It ends the stream.
    StreamEnded,
    /// It closes the connection in the middle of its answer.
    CutOff,
}

/// The step that the second server does not take before the window has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// Its stream header.
    Header,
    /// Its stream features, which offer SASL.
    Features,
    /// `<proceed/>`, after which TLS begins.
    Proceed,
    /// The TLS handshake.
    TlsHandshake,
    /// Its stream header under TLS.
    HeaderUnderTls,
    /// It takes every step, but the process of the relay is stopped meanwhile.
    RelayIsStopped,
}

impl Step {
    fn is_under_tls(self) -> bool {
        matches!(
            self,
            Step::Proceed | Step::TlsHandshake | Step::HeaderUnderTls
        )
    }
}

/// A case of the tables.
#[derive(Clone, Copy, Debug)]
struct Case {
    idempotency: &'static str,
    /// The endpoints that drop each other's duplicates. Both servers are of one zone and one cell.
    group: &'static str,
    left: Left,
    step: Step,
}

const CASE: Case = Case {
    idempotency: "keyed",
    group: "all",
    left: Left::SentAway,
    step: Step::Features,
};

/// The cases in which the window ends during the second attempt.
const PAST_WINDOW: [Case; 10] = [
    CASE,
    Case {
        group: "zone",
        ..CASE
    },
    Case {
        group: "cell",
        ..CASE
    },
    Case {
        left: Left::Error,
        ..CASE
    },
    Case {
        left: Left::GivenUp,
        ..CASE
    },
    Case {
        step: Step::Header,
        ..CASE
    },
    Case {
        step: Step::Proceed,
        ..CASE
    },
    Case {
        step: Step::TlsHandshake,
        ..CASE
    },
    Case {
        step: Step::HeaderUnderTls,
        ..CASE
    },
    Case {
        step: Step::RelayIsStopped,
        ..CASE
    },
];

/// Two attempts of one request.
struct Play {
    case: Case,
    site: Site,
    first: Stream,
    /// A moment after the issue of the first attempt.
    first_sent_by: Instant,
}

impl Play {
    /// Plays up to the request at the first server.
    fn start(test: &str, case: Case, window: Duration) -> Play {
        let Case {
            idempotency,
            group,
            left,
            step,
        } = case;
        // An attempt is given up after a part of the objective, but for the last one.
        let (goal_ms, max_attempts) = match left {
            Left::GivenUp => (2_000.0, 2),
            _ => (60_000.0, 6),
        };
        let options = SiteOptions {
            config: vec![
                (
                    "\"idempotency\": \"safe\"",
                    format!("\"idempotency\": \"{idempotency}\""),
                ),
                ("\"group\": \"all\"", format!("\"group\": \"{group}\"")),
                (
                    "\"window\": 5000.0",
                    format!("\"window\": {:.1}", window.as_secs_f64() * 1e3),
                ),
                (
                    "\"goal_time\": 300.0",
                    format!("\"goal_time\": {goal_ms:.1}"),
                ),
                // The servers are in the second zone, "a".
                ("\"zones\": [", "\"zones\": [\"b\",".to_string()),
                (
                    "\"max_attempts\": 6",
                    format!("\"max_attempts\": {max_attempts}"),
                ),
            ],
            operator: vec![(
                "deadline_ms = 5000",
                format!("deadline_ms = {}", DEADLINE.as_millis()),
            )],
            starttls: step.is_under_tls(),
        };
        let name = format!("{test}-{idempotency}-{group}-{left:?}-{step:?}");
        let mut site = Site::start_with_options(&name, options);
        site.request();
        let (_, mut first) = site.accept_attempt();
        if step.is_under_tls() {
            site.offer_starttls(&mut first);
            site.secure(&mut first);
        }
        first.send(&offer_of_sasl()).unwrap();
        assert!(element(&mut first).unwrap().is(NS_SASL, "auth"), "{case:?}");
        let first_sent_by = Instant::now();
        Play {
            case,
            site,
            first,
            first_sent_by,
        }
    }

    /// Ends the first attempt.
    fn leave_first(&mut self) {
        let end = match self.case.left {
            Left::SentAway => {
                "<stream:error><system-shutdown xmlns='urn:ietf:params:xml:ns:xmpp-streams'/>\
                 </stream:error></stream:stream>"
            }
            Left::Error => "<message xmlns='jabber:client'/>",
            Left::CutOff => "<success xmlns='urn:ietf:params:xml",
            Left::StreamEnded => "</stream:stream>",
            Left::Closed => "",
            Left::GivenUp => return assert!(self.first.unit().is_err(), "{:?}", self.case),
        };
        self.first.send(end).unwrap();
        if matches!(self.case.left, Left::Closed | Left::CutOff) {
            let both = std::net::Shutdown::Both;
            self.first.socket().shutdown(both).unwrap();
        }
    }

    /// Plays the second attempt up to the step that is held back.
    fn hold_second(&mut self) -> Stream {
        let (_, mut second) = self.site.accept_attempt();
        match self.case.step {
            Step::Header | Step::RelayIsStopped => {}
            Step::Features => second.send(&header(DOMAIN, None)).unwrap(),
            Step::Proceed => self.site.offer_starttls(&mut second),
            Step::TlsHandshake => {
                self.site.offer_starttls(&mut second);
                second.send(&proceed()).unwrap();
            }
            Step::HeaderUnderTls => {
                self.site.offer_starttls(&mut second);
                self.site.secure(&mut second);
            }
        }
        if self.case.step == Step::RelayIsStopped {
            self.site.stop_process();
        }
        second
    }

    /// Takes the steps of the second server from the one that is held back. Whether the request came.
    fn continue_second(&self, mut second: Stream) -> bool {
        let offer = match self.case.step {
            Step::Features => offer_of_sasl().replace(&header(DOMAIN, None), ""),
            _ => offer_of_sasl(),
        };
        // The relay may have closed the connection: what is sent then is lost.
        match self.case.step {
            Step::Proceed if second.send(&proceed()).is_err() => return false,
            _ => {}
        }
        if matches!(self.case.step, Step::Proceed | Step::TlsHandshake) {
            let secured = second.secure_server(self.site.server_tls());
            if secured.is_err() || !matches!(second.unit(), Ok((Unit::Header(_), _))) {
                return false;
            }
        }
        if second.send(&offer).is_err() {
            return false;
        }
        if self.case.step == Step::RelayIsStopped {
            self.site.relay.signal("CONT").unwrap();
        }
        let came = element(&mut second).is_ok_and(|e| e.is(NS_SASL, "auth"));
        if came {
            let success = format!("<success xmlns='{NS_SASL}'/>");
            second.send(&success).unwrap();
        }
        came
    }

    /// Waits until the window has ended, whenever before `first_sent_by` the first attempt was issued.
    fn wait_for_end_of_window(&self) {
        thread::sleep((self.first_sent_by + WINDOW).saturating_duration_since(Instant::now()));
    }

    /// The client's answer.
    fn answer(&mut self) -> Answer {
        match element(&mut self.site.client) {
            Ok(e) if e.is(NS_SASL, "success") => Answer::Success,
            Err(Broke::Answered(answer)) => answer,
            other => panic!("{:?}: {other:?}", self.case),
        }
    }
}

/// Plays all cases at the same time.
fn for_each(cases: &[Case], play: impl Fn(Case) + Sync) {
    thread::scope(|scope| {
        for case in cases {
            scope.spawn(|| play(*case));
        }
    });
}

/// Guards against a keyed request that runs twice: the relay decided on the second attempt within the
/// window, and sent the request whenever the second server was ready for it.
#[test]
fn no_keyed_request_is_sent_once_its_window_has_ended() {
    for_each(&PAST_WINDOW, |case| {
        let mut play = Play::start("past", case, WINDOW);
        play.leave_first();
        let second = play.hold_second();
        play.wait_for_end_of_window();
        assert!(
            !play.continue_second(second),
            "{case:?}: sent past its window"
        );
    });
}

/// Guards against a client that waits for its deadline although its request can be sent nowhere any
/// more: it is told when the window ends.
#[test]
fn a_client_is_answered_as_soon_as_the_window_ends_during_a_negotiation() {
    let holds = |case: &Case| case.step != Step::RelayIsStopped;
    let cases: Vec<Case> = PAST_WINDOW.iter().copied().filter(holds).collect();
    for_each(&cases, |case| {
        let mut play = Play::start("answer", case, WINDOW);
        play.leave_first();
        let _second = play.hold_second();
        let answer = play.answer();
        let waited = play.first_sent_by.elapsed();
        assert!(waited < DEADLINE / 2, "{case:?}: answered after {waited:?}");
        let condition = match answer {
            Answer::Error(condition, _) => condition,
            other => panic!("{case:?}: {other:?}"),
        };
        // Clients repeat what all servers drop, and nothing else.
        let expected = match case.group {
            "all" => "resource-constraint",
            _ => "remote-connection-failed",
        };
        assert_eq!(condition, expected, "{case:?}");
    });
}

/// What the window costs: a second server that is ready in time still gets the request, wherever it
/// took its time.
#[test]
fn a_second_server_that_is_ready_within_the_window_serves_the_request() {
    for_each(&PAST_WINDOW, |case| {
        let mut play = Play::start("within", case, LONG_WINDOW);
        play.leave_first();
        let second = play.hold_second();
        assert!(play.continue_second(second), "{case:?}: not sent");
        assert_eq!(play.answer(), Answer::Success, "{case:?}");
    });
}

/// A request that may run again has no window: its second server may take as long as the client waits.
#[test]
fn a_safe_request_is_sent_however_long_the_negotiation_takes() {
    let idempotency = "safe";
    let cases = PAST_WINDOW.map(|case| Case {
        idempotency,
        ..case
    });
    for_each(&cases, |case| {
        let mut play = Play::start("safe", case, WINDOW);
        play.leave_first();
        let second = play.hold_second();
        play.wait_for_end_of_window();
        assert!(play.continue_second(second), "{case:?}: not sent");
        assert_eq!(play.answer(), Answer::Success, "{case:?}");
    });
}

/// Guards against a keyed request that runs twice: the list moved the second server to a zone that has
/// not seen the key, between the decision and the send.
#[test]
fn no_request_is_sent_to_a_server_that_has_left_the_zone_of_its_key_meanwhile() {
    let cases = ["zone", "all"].map(|group| Case { group, ..CASE });
    for_each(&cases, |case| {
        let mut play = Play::start("moved", case, LONG_WINDOW);
        play.leave_first();
        let second = play.hold_second();
        let address = second.socket().local_addr().unwrap();
        let entries = play.site.discovery.entries();
        let moved = entries.into_iter().find(|entry| entry.addr == address);
        let zone = "b".to_string();
        play.site.discovery.set(Entry {
            zone,
            ..moved.unwrap()
        });
        // A third entry shows that the relay has the list.
        play.site.discovery.set(Entry::active("s-3", address));
        until("the list", || {
            (play.site.relay.figure("known_backends") == Some(3)).then_some(())
        });
        assert_eq!(
            play.continue_second(second),
            case.group == "all",
            "{case:?}"
        );
    });
}

/// An attempt whose connection ends behind the request fails it within the window, too: how far the
/// server came is unknown. An unsafe request that may have run is never sent again.
#[test]
fn a_request_that_may_not_be_repeated_is_failed_and_not_sent_again() {
    let unsafe_class = Case {
        idempotency: "unsafe",
        ..CASE
    };
    let cases = [
        Case {
            left: Left::Closed,
            ..CASE
        },
        Case {
            left: Left::StreamEnded,
            ..CASE
        },
        Case {
            left: Left::CutOff,
            ..CASE
        },
        unsafe_class,
        Case {
            left: Left::Error,
            ..unsafe_class
        },
        Case {
            left: Left::CutOff,
            ..unsafe_class
        },
    ];
    for_each(&cases, |case| {
        let mut play = Play::start("failed", case, LONG_WINDOW);
        play.leave_first();
        let failed = Answer::Error("remote-connection-failed".into(), None);
        assert_eq!(play.answer(), failed, "{case:?}");
        let again = play
            .site
            .servers
            .iter()
            .any(|server| server.try_accept().is_some());
        assert!(!again, "{case:?}: sent again");
    });
}
