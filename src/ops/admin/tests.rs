//! Tests of the requests to the admin address, and of the places of its callers.

use super::*;

#[test]
fn a_request_is_parsed_once_its_head_is_complete() {
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(65));
    let long = format!("GET / HTTP/1.1\r\na: {}", "b".repeat(MAX_HEAD_BYTES));
    // (head, request or status of the refusal)
    let cases: &[(&str, Result<AdminRequest, u16>)] = &[
        (
            "GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n",
            Ok(AdminRequest::Ready),
        ),
        (
            "GET /control/counters?all=1 HTTP/1.1\r\n\r\n",
            Ok(AdminRequest::Metrics),
        ),
        (
            "POST /control/backends/s-1/offline HTTP/1.1\r\n\r\n",
            Ok(AdminRequest::EjectBackend("s-1".into())),
        ),
        (
            "POST /control/backends/s%2F1/online HTTP/1.1\r\n\r\n",
            Ok(AdminRequest::RestoreBackend("s/1".into())),
        ),
        (
            "GET /control/backends/s-1/offline HTTP/1.1\r\n\r\n",
            Err(405),
        ),
        ("POST /control/backends/s-1/away HTTP/1.1\r\n\r\n", Err(404)),
        ("POST /control/backends//online HTTP/1.1\r\n\r\n", Err(404)),
        (
            "POST /control/backends/%ff/online HTTP/1.1\r\n\r\n",
            Err(404),
        ),
        ("POST /control/ready HTTP/1.1\r\n\r\n", Err(405)),
        ("GET /control HTTP/1.1\r\n\r\n", Err(404)),
        ("GET /control/ready/ HTTP/1.1\r\n\r\n", Err(404)),
        ("nonsense\r\n\r\n", Err(400)),
        ("\u{0}\r\n", Err(400)),
        (&many, Err(431)),
        (&long, Err(431)),
    ];
    for (head, expected) in cases {
        let parsed = parse_request(head.as_bytes())
            .unwrap()
            .map_err(|(status, _)| status);
        assert_eq!(&parsed, expected, "{head}");
    }
    for part in [
        "",
        "GET",
        "GET /control/ready HTTP/1.1\r\n",
        "GET /control/ready HTTP/1.1\r\nHost: x\r\n",
    ] {
        assert_eq!(parse_request(part.as_bytes()), None, "{part}");
    }
}

/// Guards against callers that have their answers and stay: they took the places of callers that
/// still wait for theirs.
#[test]
fn an_answered_caller_makes_room_before_one_that_waits() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connect = || {
        let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        (Caller::new(stream), listener.accept().unwrap().0)
    };
    let (mut callers, mut peers): (Vec<Caller>, Vec<TcpStream>) = (0..3).map(|_| connect()).unzip();
    assert_eq!(place_to_free(&callers), 0, "the oldest, if all wait");
    for n in [2, 1] {
        peers[n]
            .write_all(b"GET /control/ready HTTP/1.1\r\n\r\n")
            .unwrap();
        assert!(callers[n].advance(&mut |_| response(200, "ready")));
        assert_eq!(place_to_free(&callers), n, "the first that has its answer");
    }
}
