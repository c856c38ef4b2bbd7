//! Tests of an attempt's negotiation, with servers that the tests play byte by byte.

use super::*;
use crate::protocol::xmpp::stream_header;

fn attempt(security: Security) -> ServerNegotiation {
    let settings = Arc::new(XmppSettings {
        security,
        ..XmppSettings::default()
    });
    ServerNegotiation::new(
        settings,
        "a.example",
        &Jid::parse("ali@a.example").unwrap(),
        b"<auth>x</auth>".to_vec(),
    )
}

/// The actions of an attempt whose server sends these inputs, each in chunks of `step` bytes.
fn run(security: Security, inputs: &[&str], step: usize) -> Vec<AttemptAction> {
    let (mut attempt, mut inbox, mut steps) = (attempt(security), Buffer::default(), Vec::new());
    let mut advance = |inbox: &mut Buffer| loop {
        match attempt.next_action(inbox, 1_000) {
            AttemptAction::Read => return false,
            done @ (AttemptAction::Established
            | AttemptAction::Failed(..)
            | AttemptAction::UnexpectedReply(_)) => {
                steps.push(done);
                return true;
            }
            step => steps.push(step),
        }
    };
    let mut over = advance(&mut inbox);
    for input in inputs {
        for mut chunk in input.as_bytes().chunks(step) {
            while !chunk.is_empty() && !over {
                inbox.fill(&mut chunk).unwrap();
            }
            over = over || advance(&mut inbox);
        }
    }
    steps
}

const OFFER: &str = "<stream:features><mechanisms xmlns='urn:ietf:params:xml:ns:xmpp-sasl'>\
    <mechanism>PLAIN</mechanism></mechanisms></stream:features>";
const TLS: &str =
    "<stream:features><starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/></stream:features>";
const PROCEED: &str = "<proceed xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>";

fn sasl(inner: &str) -> String {
    format!(
        "<{} xmlns='{NS_SASL}'>{}",
        inner.split('|').next().unwrap(),
        inner.split('|').nth(1).unwrap()
    )
}

#[test]
fn auth_is_sent_once_sasl_is_offered_and_its_first_reply_establishes_the_session() {
    let head = stream_header(&[("id", "7")]);
    let challenge = sasl("challenge|eA==</challenge>");
    for step in 1..head.len() {
        let steps = run(Security::Plain, &[&head, OFFER, " ", &challenge], step);
        let [AttemptAction::Send(header), AttemptAction::SendRequest(auth), AttemptAction::Established] =
            &steps[..]
        else {
            panic!("{steps:?}")
        };
        let header = String::from_utf8(header.clone()).unwrap();
        assert!(
            header.contains(" to='a.example'") && header.contains(" from='ali@a.example'"),
            "{header}"
        );
        assert_eq!(auth, b"<auth>x</auth>");
    }
    let steps = run(
        Security::StartTls,
        &[&head, TLS, PROCEED, &head, OFFER, &challenge],
        4096,
    );
    let [AttemptAction::Send(clear), AttemptAction::Send(_), AttemptAction::StartTls(to), AttemptAction::Send(_), AttemptAction::SendRequest(_), AttemptAction::Established] =
        &steps[..]
    else {
        panic!("{steps:?}")
    };
    assert!(to == "a.example" && !String::from_utf8(clear.clone()).unwrap().contains("from="));
    let steps = run(Security::Direct, &[&head, OFFER, &challenge], 4096);
    assert!(
        matches!(
            &steps[..],
            [
                AttemptAction::StartTls(_),
                AttemptAction::Send(_),
                AttemptAction::SendRequest(_),
                AttemptAction::Established
            ]
        ),
        "{steps:?}"
    );
}

/// Guards against a request that runs twice: a stream error was taken for a refusal also where
/// the server had the whole request.
#[test]
fn a_stream_error_is_a_rejection_only_before_the_request() {
    let head = stream_header(&[]);
    for (condition, before, after) in [
        ("system-shutdown", Outcome::Rejected, Outcome::Cancelled),
        ("see-other-host", Outcome::Rejected, Outcome::Cancelled),
        ("resource-constraint", Outcome::Rejected, Outcome::Cancelled),
        ("internal-server-error", Outcome::Error, Outcome::Error),
        ("undefined-condition", Outcome::Error, Outcome::Error),
    ] {
        let error = crate::protocol::xmpp::stream_error_with("stream:stream", condition, "", "");
        let outcome = |security, inputs: &[&str]| run(security, inputs, 5).pop();
        let failed = |outcome| Some(AttemptAction::Failed(outcome, Vec::new()));
        let unsecured = outcome(Security::StartTls, &[&head, &error]);
        assert_eq!(unsecured, failed(before), "{condition} before TLS");
        let not_sent = outcome(Security::Plain, &[&head, &error]);
        assert_eq!(not_sent, failed(before), "{condition} before the request");
        let offer = head.clone() + OFFER;
        let sent = outcome(Security::Plain, &[&offer, &error]);
        assert_eq!(sent, failed(after), "{condition} after the request");
    }
}

#[test]
fn only_a_refusal_by_the_server_is_a_rejection() {
    let head = stream_header(&[]);
    let error = |c: &str| crate::protocol::xmpp::stream_error_with("stream:stream", c, "", "");
    let (full, later, wrong) = (
        AttemptAction::Failed(Outcome::Rejected, Vec::new()),
        sasl("failure|<temporary-auth-failure/></failure>"),
        sasl("failure|<not-authorized/></failure>"),
    );
    let cases: Vec<(Vec<String>, AttemptAction)> = vec![
        (vec![head.clone() + &error("resource-constraint")], full),
        (
            vec![head.clone() + OFFER, error("system-shutdown")],
            AttemptAction::Failed(Outcome::Cancelled, Vec::new()),
        ),
        (
            vec![head.clone() + OFFER, error("internal-server-error")],
            AttemptAction::Failed(Outcome::Error, Vec::new()),
        ),
        (
            vec![head.clone() + OFFER, later],
            AttemptAction::Failed(Outcome::Rejected, Vec::new()),
        ),
        (
            vec![head.clone() + OFFER, wrong],
            AttemptAction::Established,
        ),
        (
            vec![head.clone() + OFFER, "</stream:stream>".into()],
            AttemptAction::Failed(Outcome::Reset, Vec::new()),
        ),
        (
            vec![head.clone() + TLS],
            AttemptAction::UnexpectedReply("stream features without SASL".into()),
        ),
        (
            vec![head.clone() + "<!-- -->"],
            AttemptAction::UnexpectedReply("restricted-xml".into()),
        ),
        (
            vec![head + OFFER, "<message xmlns='jabber:client'/>".into()],
            AttemptAction::UnexpectedReply("<message/>".into()),
        ),
    ];
    for (inputs, expected) in cases {
        let inputs: Vec<&str> = inputs.iter().map(String::as_str).collect();
        assert_eq!(
            run(Security::Plain, &inputs, 5).pop(),
            Some(expected),
            "{inputs:?}"
        );
    }
    let behind = format!("{PROCEED}<message/>");
    let steps = run(
        Security::StartTls,
        &[&stream_header(&[]), TLS, &behind],
        4096,
    );
    assert!(
        matches!(steps.last(), Some(AttemptAction::UnexpectedReply(_))),
        "{steps:?}"
    );
}
