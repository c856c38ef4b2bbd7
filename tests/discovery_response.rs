//! The parser of discovery's response: whole objects and heartbeats, however the bytes are split.

use jaspermoor::platform::discovery_response::{ResponseItem, ResponseParser};

/// Parses a response that arrives in steps of `step` bytes. Returns its items, and whether it is
/// complete.
fn parse(wire: &[u8], step: usize) -> Result<(Vec<ResponseItem>, bool), String> {
    let (mut parser, mut items) = (ResponseParser::default(), Vec::new());
    for part in wire.chunks(step) {
        parser.feed(part)?;
        while let Some(item) = parser.next_item()? {
            items.push(item);
        }
    }
    Ok((items, parser.is_complete()))
}

#[test]
fn objects_and_heartbeats_are_parsed_however_the_bytes_are_split() {
    let object = |text: &str| ResponseItem::Object(text.into());
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    // (body, items, whether the response is complete)
    let cases = [
        (
            "4\r\n{\"a\"\r\n5;x=y\r\n:1}\n\n\r\n0\r\n\r\n",
            vec![object("{\"a\":1}"), ResponseItem::Heartbeat],
            true,
        ),
        // An indented object, as a list may be, with braces in a string; then two objects on one
        // line, without a line feed.
        (
            "14\r\n{\n  \"a\": \"}\\\"{\"\n}\n\n\r\n",
            vec![object("{\n  \"a\": \"}\\\"{\"\n}"), ResponseItem::Heartbeat],
            false,
        ),
        (
            "b\r\n{} {\"b\":[]}\r\n",
            vec![object("{}"), object(" {\"b\":[]}")],
            false,
        ),
        ("2\r\n\r\n\r\n", vec![ResponseItem::Heartbeat], false),
    ];
    for (body, expected, complete) in cases {
        let wire = [chunked, body].concat();
        for step in 1..wire.len() {
            assert_eq!(
                parse(wire.as_bytes(), step),
                Ok((expected.clone(), complete)),
                "{body:?} in steps of {step}"
            );
        }
    }
    // A response with a Content-Length is complete without the end of its connection, which may
    // never come.
    let plain = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"a\":1}\nmore";
    assert_eq!(parse(plain, 5), Ok((vec![object("{\"a\":1}")], true)));
    assert_eq!(
        parse(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 9),
        Ok((vec![], true))
    );
    assert_eq!(
        parse(b"HTTP/1.1 200 OK\r\n\r\n{}", 9),
        Ok((vec![object("{}")], false))
    );
}

#[test]
fn malformed_responses_are_refused_with_the_reason() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let long = format!("HTTP/1.1 200 OK\r\nX: {}", "y".repeat(17_000));
    let endless = format!("{chunked}500000\r\n{{\"a\":\"{}", "y".repeat(4_300_000));
    let cases = [
        ("HTTP/1.1 503 Service Unavailable\r\n\r\n", "status 503"),
        ("nonsense\r\n\r\n", "malformed head"),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            "malformed Content-Length",
        ),
        (&long, "the head is too long"),
        (&format!("{chunked}zz\r\n"), "malformed chunk"),
        (&format!("{chunked}1\r\nabc"), "malformed end of a chunk"),
        (&format!("{chunked}3\r\n[1]\r\n"), "no JSON object"),
        (&endless, "an object is too long"),
    ];
    for (wire, expected) in cases {
        let error = parse(wire.as_bytes(), 65_536).unwrap_err();
        assert!(
            error.contains(expected),
            "{error} for {}",
            &wire[..wire.len().min(60)]
        );
    }
}
