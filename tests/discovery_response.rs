//! Discovery's answer: whole objects and beats, wherever the bytes are cut.

use jaspermoor::platform::discovery_response::{Answer, Piece};

/// All pieces of an answer that comes in steps of so many bytes.
fn pieces(wire: &[u8], step: usize) -> Result<(Vec<Piece>, bool), String> {
    let (mut answer, mut pieces) = (Answer::default(), Vec::new());
    for part in wire.chunks(step) {
        answer.take(part)?;
        while let Some(piece) = answer.piece()? {
            pieces.push(piece);
        }
    }
    Ok((pieces, answer.ended()))
}

#[test]
fn objects_and_beats_come_out_whole_wherever_the_bytes_are_cut() {
    let object = |text: &str| Piece::Object(text.into());
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    // (what comes, the pieces, whether the answer is over)
    let cases = [
        (
            "4\r\n{\"a\"\r\n5;x=y\r\n:1}\n\n\r\n0\r\n\r\n",
            vec![object("{\"a\":1}"), Piece::Beat],
            true,
        ),
        // Indented, as lists may come, with braces in a text; two on one line; one without a line's end.
        (
            "14\r\n{\n  \"a\": \"}\\\"{\"\n}\n\n\r\n",
            vec![object("{\n  \"a\": \"}\\\"{\"\n}"), Piece::Beat],
            false,
        ),
        (
            "b\r\n{} {\"b\":[]}\r\n",
            vec![object("{}"), object(" {\"b\":[]}")],
            false,
        ),
        ("2\r\n\r\n\r\n", vec![Piece::Beat], false),
    ];
    for (body, expected, over) in cases {
        let wire = [chunked, body].concat();
        for step in 1..wire.len() {
            assert_eq!(
                pieces(wire.as_bytes(), step),
                Ok((expected.clone(), over)),
                "{body:?} by {step}"
            );
        }
    }
    // An answer with a length was once waited for to its connection's end, which never came.
    let plain = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"a\":1}\nmore";
    assert_eq!(pieces(plain, 5), Ok((vec![object("{\"a\":1}")], true)));
    assert_eq!(
        pieces(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 9),
        Ok((vec![], true))
    );
    assert_eq!(
        pieces(b"HTTP/1.1 200 OK\r\n\r\n{}", 9),
        Ok((vec![object("{}")], false))
    );
}

#[test]
fn answers_that_are_none_are_refused_and_named() {
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
    for (wire, what) in cases {
        let said = pieces(wire.as_bytes(), 65_536).unwrap_err();
        assert!(
            said.contains(what),
            "{said} for {}",
            &wire[..wire.len().min(60)]
        );
    }
}
