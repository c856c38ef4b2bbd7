//! Tests of the order of a session's migration and of its establishment.

use super::*;
use crate::config::Limits;
use crate::net::admission::Admission;
use std::io::Read;
use std::net::TcpListener;

/// Guards against a client that is cut off when its backend leaves: it named its earlier backend,
/// and the decisions requested its migration before that backend had accepted it again.
#[test]
fn a_migration_takes_effect_whether_it_or_the_establishment_comes_first() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connect = || {
        let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        (stream, listener.accept().unwrap().0)
    };
    let limits = Limits {
        cores: 1.0,
        memory_mb: 16,
        sockets: 128,
    };
    let admission = Admission::new(&limits, false, false);
    for migrate_first in [true, false] {
        let ((client, _client_peer), (backend, _backend_peer)) = (connect(), connect());
        let slot = admission.register(client).admit_request("01").unwrap();
        let session = Session::new(&Arc::default(), (1, 2), slot, false, None);
        let backend = Arc::new(backend);
        assert!(session.attach_backend(&backend, 0));
        if migrate_first {
            session.migrate();
            assert!(!session.is_migrating(), "its backend has not accepted it");
            session.set_established(true);
        } else {
            session.set_established(true);
            assert!(!session.is_migrating());
            session.migrate();
        }
        assert!(session.is_migrating(), "migrate first: {migrate_first}");
        // The event loop is woken by the end of the backend's stream.
        assert_eq!((&*backend).read(&mut [0]).unwrap(), 0);
    }
}
