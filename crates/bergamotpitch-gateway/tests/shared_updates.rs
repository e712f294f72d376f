//! Many instances that start together ask one for all that it knows.

mod common;

use std::time::Duration;

use bergamotpitch_gateway::relays::{
    self, Answer, Cursor, Document, Extent, FetchError, Relay, RelayUpdate, SharedAnswers, fetch,
};
use bergamotpitch_gateway::work_times::WorkTimes;
use bytes::Bytes;
use common::{run, start};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const ENTRIES: usize = 3_000;
const NOW: Duration = Duration::from_secs(7);

fn document(index: usize) -> Document {
    let value = format!("{{\"service\":\"engines\",\"address\":\"10.1.2.3:80\",\"seq\":{index}}}");
    Document { key: format!("list/i-{index:08x}"), revision: 7, value: value.into_bytes() }
}

/// A cursor of another life of the peer.
fn unknown() -> Cursor {
    Cursor { incarnation: 77, number: 0 }
}

fn everything() -> RelayUpdate {
    let documents = (0..ENTRIES).map(document).collect();
    RelayUpdate { is_whole: true, documents, ..RelayUpdate::default() }
}

fn bytes_of(answer: Answer) -> Bytes {
    let (Answer::Plain(bytes) | Answer::Packed(bytes)) = answer else { panic!("busy") };
    bytes
}

/// Guards against an instance that is ended for its memory: a hundred others ask it for a megabyte each
/// after an outage, and each answer was a copy of its own.
#[test]
fn one_copy_for_all() {
    let mut answers = SharedAnswers::default();
    let plain_bytes = relays::encode(&everything()).len();
    let mut sent = vec![bytes_of(answers.whole(everything))];
    while !answers.is_busy() {
        sent.push(bytes_of(answers.whole(|| panic!("it is made only once"))));
    }
    assert!(sent.len() <= 8, "{}", sent.len());
    assert!(sent.iter().all(|bytes| bytes.as_ptr() == sent[0].as_ptr()));
    let together: usize = sent.iter().map(|bytes| bytes.len()).sum();
    assert!(together < plain_bytes, "{together} of {plain_bytes}");
    sent.pop();
    assert!(!answers.is_busy(), "the next may ask once one has been sent");
}

/// A list arrives entry by entry and a hundred instances follow it, each at times of its own. What they
/// are told must be made a few times a second, not a few hundred times.
#[test]
fn followers_in_steps() {
    let mut relay = Relay::new(5);
    let mut answers = SharedAnswers::default();
    let mut cursors = [0_u64; 100];
    let mut made = 0;
    for step in 0..ENTRIES {
        let now = NOW + Duration::from_millis(step as u64);
        relay.keep(document(step));
        let known =
            Extent { number: relay.last_number(), list_known: 9, list_change: 8, members_known: 7 };
        let extent = answers.extent(known, now);
        let cursor = &mut cursors[step % 100];
        let answer = answers.changes(*cursor, || {
            made += 1;
            relay.changes_between(*cursor, extent.number)
        });
        *cursor = extent.number;
        assert!(!matches!(answer, Answer::Busy));
    }
    let seconds = ENTRIES as u64 / 1_000;
    assert!(made <= 4 * 3 * (seconds + 1), "{made}");
}

/// An entry changes again between two steps. It is told with the next step, and an instance that follows
/// ends with all that there is.
#[test]
fn nothing_lost_between_steps() {
    let mut relay = Relay::new(5);
    let mut known = std::collections::BTreeMap::new();
    let mut cursor = 0;
    for round in 0..40_usize {
        relay.keep(document(round % 7));
        let until = relay.last_number();
        relay.keep(document(round % 5));
        if round % 3 == 0 {
            relay.drop_entry(&document(round % 4).key);
        }
        let update = relay.changes_between(cursor, until);
        cursor = update.cursor.number;
        update.documents.into_iter().for_each(|entry| drop(known.insert(entry.key.clone(), entry)));
        update.removals.iter().for_each(|key| drop(known.remove(key)));
    }
    let rest = relay.changes_between(cursor, relay.last_number());
    rest.documents.into_iter().for_each(|entry| drop(known.insert(entry.key.clone(), entry)));
    rest.removals.iter().for_each(|key| drop(known.remove(key)));
    let all: Vec<&Document> = relay.documents().collect();
    assert_eq!(known.values().collect::<Vec<_>>(), all);
}

/// Peers get the same update packed or not; one of the release before, which does not ask for it to be
/// packed, gets it plain.
#[test]
fn packed_and_plain() {
    run(async {
        let (gateway, _) = start(&[]).await;
        (0..ENTRIES)
            .for_each(|index| gateway.store_updates.relay.borrow_mut().keep(document(index)));
        let address = gateway.options.relay_addresses[0];
        let fetched = fetch(address, unknown(), &WorkTimes::default()).await.unwrap();
        assert!(fetched.is_whole);
        assert_eq!(fetched.documents, everything().documents);
        let again = fetch(address, fetched.cursor, &WorkTimes::default()).await.unwrap();
        assert_eq!((again.is_whole, again.documents.len()), (false, 0));
        let mut older = TcpStream::connect(address).await.unwrap();
        let request = "GET /documents?after=0,1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        older.write_all(request.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        older.read_to_end(&mut answer).await.unwrap();
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.contains("list/i-00000bb7"), "it is not plain");
        assert!(!answer.contains("content-encoding"));
        let (_closed, nobody) = common::closed_port();
        assert!(matches!(
            fetch(nobody, unknown(), &WorkTimes::default()).await,
            Err(FetchError::Failed(_))
        ));
    });
}

/// A hundred instances start together. All of them are told soon, though only some at a time.
#[test]
fn hundred_starters() {
    run(async {
        let (gateway, _) = start(&[]).await;
        (0..ENTRIES)
            .for_each(|index| gateway.store_updates.relay.borrow_mut().keep(document(index)));
        let address = gateway.options.relay_addresses[0];
        let starters = (0..100).map(|_| {
            tokio::task::spawn_local(async move {
                loop {
                    match fetch(address, unknown(), &WorkTimes::default()).await {
                        Ok(update) => return update.documents.len(),
                        Err(error) => assert_eq!(error, FetchError::Busy),
                    }
                    tokio::task::yield_now().await;
                }
            })
        });
        for starter in starters.collect::<Vec<_>>() {
            assert_eq!(starter.await.unwrap(), ENTRIES);
        }
    });
}
