//! A sheet is fetched from a peer, and from no one else.

mod common;

use std::sync::Arc;

use bergamotpitch_core::sheets::{AcceptedSheet, parse_sheet};
use bergamotpitch_wire::histories::{SheetHistory, observe, packed_body, sheet_of_body};
use bergamotpitch_wire::receivers::FRESHNESS;
use bergamotpitch_wire::sheets::{answer_request, open_reply, seal_request};
use bergamotpitch_wire::{
    DropReason, Endpoint, Error, Keys, Options, fetch_sheet, fetch_sheet_since, sheet_server,
};
use common::{NOW_MS, address, heartbeat, keys};

#[tokio::test]
async fn whole_fetch() {
    let loopback = "127.0.0.1:0".parse().expect("it is an address");
    let server = sheet_server(loopback, keys(), || Some(Arc::new(accepted(3))))
        .await
        .expect("a free port can be bound");
    let fetched = fetch_sheet(server.address(), &keys(), 1, 1).await;
    assert_eq!(fetched, Ok(accepted(3)));
    let since = fetch_sheet_since(server.address(), &keys(), 1, 1, &accepted(2)).await;
    assert_eq!(since, Ok(accepted(3)));
    let foreign = Keys::from_shared_key("the secret of another fleet");
    assert_eq!(fetch_sheet(server.address(), &foreign, 1, 1).await, Err(Error::NoSheet));
    server.close();
}

/// Someone on the path answers a fetch with the reply to an earlier one, in which an older sheet
/// stood. A fresh instance would put that old sheet in force and trust keys that were withdrawn.
#[test]
fn earlier_reply() {
    let first = seal_request(&keys(), address(2), (1, 1), 0, NOW_MS);
    let second = seal_request(&keys(), address(2), (1, 1), 0, NOW_MS);
    let reply = answer_request(&keys(), address(2), NOW_MS, &first, &mut history(&[3]))
        .expect("the sheet is small enough");
    assert_eq!(open_reply(&keys(), &first, &reply, None), Ok(accepted(3)));
    assert_eq!(open_reply(&keys(), &second, &reply, None), Err(Error::ForeignReply));
}

/// Someone sends a recorded request again later, or to another instance, to be given the sheet.
#[test]
fn recorded_request() {
    let request = seal_request(&keys(), address(2), (1, 1), 0, NOW_MS);
    let late_ms = NOW_MS + FRESHNESS.as_millis() as u64 + 1;
    for (at, now_ms) in [(address(2), late_ms), (address(3), NOW_MS)] {
        let reply = answer_request(&keys(), at, now_ms, &request, &mut history(&[3]))
            .expect("the sheet is small enough");
        assert!(reply.sheet.is_empty());
    }
}

/// An instance that misses some versions asks a peer for them. It must end with the very sheet of
/// the peer: with a mixture, a team would be refused at one instance and served at another.
#[test]
fn changes_since() {
    let mut history = history(&[3, 4, 6, 7]);
    let whole = packed_body(&mut history, 0).expect("it can be encoded");
    assert_eq!(sheet_of_body(&whole, None), Ok(accepted(7)));
    for held in [3, 4, 6] {
        let packed = packed_body(&mut history, held).expect("it can be encoded");
        assert_ne!(packed, whole);
        assert_eq!(sheet_of_body(&packed, Some(&accepted(held))), Ok(accepted(7)));
        // Held is another sheet under the same version: the change must not be put on top of it.
        let mut other = accepted(held);
        other.sheet.services[0].call_cost = 99;
        assert!(matches!(sheet_of_body(&packed, Some(&other)), Err(Error::BadSheet { .. })));
    }
    let skipped = packed_body(&mut history, 5).expect("it can be encoded");
    assert_eq!(skipped, whole);
}

/// The order of the entries changes with a version: the change by names would not bring it over.
#[test]
fn reordered_entries() {
    let mut reordered = accepted(8);
    reordered.sheet.upstreams.reverse();
    let mut history = history(&[7]);
    observe(&mut history, Some(Arc::new(reordered.clone())));
    let packed = packed_body(&mut history, 7).expect("it can be encoded");
    assert_eq!(sheet_of_body(&packed, Some(&accepted(7))), Ok(reordered));
}

#[tokio::test]
async fn endpoints_talk() {
    let bind = |instance| Endpoint::bind(Options { instance, keys: keys(), ..Options::default() });
    let left = bind(1).await.expect("a free port can be bound");
    let right = bind(2).await.expect("a free port can be bound");
    let stranger = tokio::net::UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    stranger.send_to(&[1; 60], right.address()).await.expect("loopback takes it");
    let message = heartbeat(0..2_000);
    left.send(right.address(), &message).await.expect("loopback takes it");
    let received = right.receive().await.expect("the socket is open");
    assert_eq!(received.message, message);
    assert_eq!((received.sender.instance, received.sender.address), (1, left.address()));
    assert_eq!(right.dropped().of_reason(DropReason::Stranger), 1);
    left.close();
    right.close();
}

fn history(versions: &[u64]) -> SheetHistory {
    let mut history = SheetHistory::default();
    for version in versions {
        observe(&mut history, Some(Arc::new(accepted(*version))));
    }
    history
}

// Each version has upstreams of its own, and shares one with the version before.
fn accepted(version: u64) -> AcceptedSheet {
    let upstreams: Vec<String> = (version..version + 3)
        .map(|number| {
            let port = 9000 + number;
            format!(
                r#"{{ "name": "u{number}", "service": "s", "domain": "a",
                     "address": "127.0.0.1:{port}", "slots": {version} }}"#
            )
        })
        .collect();
    let text = format!(
        r#"{{ "domains": [{{ "name": "a", "region": "r" }}],
        "services": [{{ "name": "s", "kind": "engine" }}],
        "upstreams": [{}], "teams": [] }}"#,
        upstreams.join(", ")
    );
    let sheet = parse_sheet("sheet.json", &text).expect("the sheet is well formed");
    AcceptedSheet { version, sheet }
}
