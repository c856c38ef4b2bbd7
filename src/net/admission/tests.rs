//! Tests of the limits, and of what is ended to make room for new connections and requests.

use super::*;
use std::net::TcpListener;

fn admission(sockets: u64, memory_mb: u64) -> Arc<Admission> {
    Admission::new(
        &Limits {
            cores: 1.0,
            memory_mb,
            sockets,
        },
        false,
        false,
    )
}

#[test]
fn the_limits_of_requests_and_connections_follow_those_of_the_process() {
    for (sockets, memory_mb) in [(128, 16), (256, 32), (384, 48), (756, 48), (1024, 192)] {
        let (requests, waiting) = admission(sockets, memory_mb).limits();
        let case = format!("{sockets} sockets, {memory_mb} MB: {requests}, {waiting}");
        assert!(
            2 * requests + waiting + RESERVED_DESCRIPTORS <= sockets as usize,
            "{case}"
        );
        assert!(
            requests >= (sockets / 3) as usize && waiting >= MIN_WAITING,
            "{case}"
        );
        let memory = requests * BYTES_PER_REQUEST + waiting * BYTES_PER_WAITING;
        assert!(memory <= memory_mb as usize * 1024 * 1024 * 3 / 4, "{case}");
    }
}

/// During an upgrade two processes share the limits, and callers of the admin address need
/// descriptors in both.
#[test]
fn two_processes_and_their_admin_callers_stay_within_the_limits() {
    for (sockets, memory_mb) in [(256, 32), (384, 48), (1024, 192)] {
        let limits = Limits {
            cores: 1.0,
            memory_mb,
            sockets,
        };
        for (inherited, processes) in [(false, 1), (true, 2)] {
            let (requests, waiting) = Admission::new(&limits, true, inherited).limits();
            let all = 2 * requests + processes * (waiting + RESERVED_DESCRIPTORS + MAX_CALLERS + 1);
            assert!(
                all <= sockets as usize,
                "{sockets} sockets, inherited {inherited}: {requests}, {waiting}"
            );
            let memory = requests * BYTES_PER_REQUEST + processes * waiting * BYTES_PER_WAITING;
            assert!(memory <= memory_mb as usize * 1024 * 1024 * 3 / 4);
            assert!(requests >= sockets as usize * 3 / 10);
        }
    }
}

/// An admission whose places for connections without a request are all taken, with the sockets of
/// its clients.
fn full_admission() -> (Arc<Admission>, Vec<TcpStream>, Vec<WaitingConnection>) {
    let admission = admission(128, 16);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut clients, mut waiting) = (Vec::new(), Vec::new());
    for _ in 0..admission.limits().1 {
        assert!(admission.has_capacity());
        clients.push(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
        waiting.push(admission.register(listener.accept().unwrap().0));
    }
    assert!(!admission.has_capacity());
    (admission, clients, waiting)
}

/// Guards against silent connections that fill the relay, so that clients with requests are
/// refused.
#[test]
fn silent_connections_are_dismissed_before_those_that_sent_something() {
    let (admission, clients, mut waiting) = full_admission();
    waiting[0].record_activity();
    assert_eq!(
        admission.evict_waiting(Instant::now() - DISMISS_GRACE),
        Eviction::default(),
        "their first lines may be on the way"
    );
    let now = Instant::now() + DISMISS_GRACE;
    // The second one is dismissed; the first was active and the last waits for the shortest time.
    let dismissed = admission.evict_waiting(now).dismiss;
    assert!(
        dismissed.contains(&waiting[1].number()) && dismissed.len() < clients.len() / 2,
        "{dismissed:?}"
    );
    for n in [0, clients.len() - 1] {
        assert!(!dismissed.contains(&waiting[n].number()));
    }
    // No more are dismissed before those have gone.
    assert_eq!(admission.evict_waiting(now), Eviction::default());
    waiting.remove(1);
    assert!(admission.has_capacity());
    // A request does not count against the limit of connections without one.
    let slot = waiting[0].admit_request("01").unwrap();
    assert_eq!(
        waiting[1].admit_request("01").err(),
        Some(AdmissionError::IdInUse)
    );
    drop(slot);
    assert!(waiting[1].admit_request("01").is_ok());
}

/// Guards against connections that were rejected and stay open: they filled the places of
/// connections without a request, were chosen for dismissal, which has no effect on them, and no
/// client was accepted until they had lingered for a second.
#[test]
fn closing_connections_make_room_after_the_shortest_linger_and_are_not_dismissed() {
    let (admission, _clients, mut waiting) = full_admission();
    let (first, second) = (waiting[0].number(), waiting[1].number());
    let rejected_at = Instant::now() + DISMISS_GRACE;
    waiting[1].begin_closing(rejected_at);
    waiting[0].begin_closing(rejected_at + Duration::from_millis(1));
    assert!(!admission.has_capacity(), "they have their descriptors");
    // Their answers may still be on the way, so silent ones are dismissed meanwhile.
    let Eviction { close, dismiss } = admission.evict_waiting(rejected_at);
    assert!(close.is_empty() && !dismiss.is_empty(), "{dismiss:?}");
    assert!(!dismiss.contains(&first) && !dismiss.contains(&second));
    let later = rejected_at + MIN_LINGER + Duration::from_millis(1);
    let Eviction { close, dismiss } = admission.evict_waiting(later);
    assert_eq!((close, dismiss), (vec![second, first], Vec::new()));
    assert_eq!(admission.closing_count(), 2);
    waiting.drain(..2);
    assert!(admission.has_capacity() && admission.closing_count() == 0);
}

/// Guards against requests that are rejected, or whose ids are refused as in use, because of
/// clients that have had their final answers and stay.
#[test]
fn an_ended_request_frees_its_id_and_capacity_and_keeps_one_descriptor() {
    let admission = admission(128, 16);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connect = || {
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        (client, admission.register(listener.accept().unwrap().0))
    };
    let max_requests = admission.limits().0;
    let admit = |n: usize| {
        let (client, waiting) = connect();
        (client, waiting.admit_request(&format!("{n:x}")))
    };
    let mut open: Vec<_> = (0..max_requests).map(admit).collect();
    assert_eq!(
        admit(max_requests).1.err(),
        Some(AdmissionError::NoCapacity)
    );
    let ended: Vec<_> = open.drain(..4).collect();
    for (_, slot) in &ended {
        slot.as_ref().unwrap().end_request();
    }
    // The backends' descriptors are free: two of the four ids are used again.
    let again: Vec<_> = (0..2).map(admit).collect();
    assert!(again.iter().all(|(_, slot)| slot.is_ok()));
    assert_eq!(
        admit(2).1.err(),
        Some(AdmissionError::NoCapacity),
        "four connections still have their descriptors"
    );
    assert!(admission.is_short_of_request_descriptors());
    let now = Instant::now();
    let evicted = |now: Instant| admission.evict_after_requests(now);
    assert!(
        evicted(now + MIN_LINGER).is_empty(),
        "their last bytes are not sent"
    );
    let in_order = [&ended[1], &ended[0], &ended[3]];
    let numbers: Vec<u64> = (0..)
        .zip(in_order)
        .map(|(ms, (_, slot))| {
            let slot = slot.as_ref().unwrap();
            slot.last_bytes_sent(now + Duration::from_millis(ms));
            slot.number
        })
        .collect();
    assert!(evicted(now).is_empty(), "their answers may be on the way");
    assert_eq!(evicted(now + 2 * MIN_LINGER), numbers);
    // The end of the first connections does not free the ids of the later ones.
    drop(ended);
    assert!(!admission.is_short_of_request_descriptors());
    assert_eq!(admit(0).1.err(), Some(AdmissionError::IdInUse));
    assert!((2..4).map(admit).all(|(_, slot)| slot.is_ok()));
}

/// Guards against an established connection that is refused at a handover, because its id was used
/// twice within the window of its class, and that window has ended.
#[test]
fn a_connection_that_is_handed_over_is_admitted_after_the_window_of_its_id() {
    let here = admission(1024, 192);
    let (waiting, _clients) = connections(&here, 2);
    let opened = IdChange::Opened("01".into());
    here.apply_id_changes(vec![IdChange::EndedUntil("01".into(), 1), opened]);
    assert_eq!(
        waiting[0].admit_request("01").err(),
        Some(AdmissionError::IdInUse)
    );
    assert!(waiting[1].admit_handed_over("01").is_ok());
}

/// Guards against ids that stay refused, or are free too early, by what another process tells: each
/// change, before and after the same id is requested here.
#[test]
fn ids_of_another_process_are_refused_until_they_end_there() {
    let here = admission(1024, 192);
    let (waiting, _clients) = connections(&here, 4);
    let opened = || IdChange::Opened("01".into());
    here.apply_id_changes(vec![opened()]);
    let refused = |n: usize, id: &str| waiting[n].admit_request(id).err();
    assert_eq!(refused(0, "01"), Some(AdmissionError::IdInUse));
    here.apply_id_changes(vec![IdChange::Ended("01".into())]);
    let slot = waiting[0].admit_request("01").unwrap();
    assert_eq!(here.take_id_changes(), [], "nobody has to be told yet");
    assert_eq!(here.share_ids(), [opened()]);
    drop(slot);
    assert_eq!(here.take_id_changes(), [IdChange::Ended("01".into())]);
    // Handed over by the other process, and then ended there.
    here.apply_id_changes(vec![opened()]);
    let slot = waiting[1].admit_handed_over("01").unwrap();
    here.apply_id_changes(vec![IdChange::Ended("01".into())]);
    slot.set_harmful_from(Instant::now());
    drop(slot);
    let changes = [opened(), IdChange::EndedForGood("01".into())];
    assert_eq!(here.take_id_changes(), changes);
    assert_eq!(here.share_ids(), [IdChange::EndedForGood("01".into())]);
    // What goes on elsewhere is not refused here for good.
    let slot = waiting[2].admit_request("02").unwrap();
    slot.set_harmful_from(Instant::now());
    slot.hand_over();
    drop(slot);
    here.apply_id_changes(vec![IdChange::Opened("03".into())]);
    here.stop_sharing_ids();
    let (again, _clients) = connections(&here, 2);
    assert!(again[0].admit_request("02").is_ok() && again[1].admit_request("03").is_ok());
}

/// Accepted connections, and the clients' sides.
fn connections(
    admission: &Arc<Admission>,
    count: usize,
) -> (Vec<WaitingConnection>, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let client = |_| TcpStream::connect(address).unwrap();
    let clients: Vec<TcpStream> = (0..count).map(client).collect();
    let accept = |_| admission.register(listener.accept().unwrap().0);
    ((0..count).map(accept).collect(), clients)
}

/// Guards against a process that is killed for its memory, and against a client that is ended for
/// what others buffer.
#[test]
fn connections_that_buffer_the_most_are_ended_once_all_buffer_more_than_they_may() {
    const LITTLE: usize = 600;
    const MUCH: usize = 64 * 1024;
    let admission = admission(256, 32);
    let (_, max_waiting) = admission.limits();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let register = |bytes: usize| {
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let waiting = admission.register(client);
        waiting.set_buffered_bytes(bytes);
        waiting
    };
    let usual: Vec<_> = (0..8).map(|_| register(LITTLE)).collect();
    let left = max_waiting * BUFFERED_BYTES_PER_WAITING - 8 * LITTLE;
    let mut large: Vec<_> = (0..left / MUCH).map(|_| register(MUCH)).collect();
    assert!(admission.evict_for_memory().is_empty());
    // One more than fits: the largest has to go, the others stay.
    large.push(register(MUCH + 1));
    let last = large.pop().unwrap();
    assert_eq!(admission.evict_for_memory(), [last.number()]);
    // Each way out of the count gives the memory back.
    last.begin_closing(Instant::now());
    assert!(admission.evict_for_memory().is_empty());
    let admitted = register(MUCH);
    assert_eq!(admission.evict_for_memory().len(), 1);
    let _slot = admitted.admit_request("01").unwrap();
    assert!(admission.evict_for_memory().is_empty());
    let shrunk = register(MUCH);
    shrunk.set_buffered_bytes(0);
    assert!(admission.evict_for_memory().is_empty());
    drop((usual, large, last, admitted, shrunk));
    assert_eq!(admission.lock().buffered_bytes, 0);
}
