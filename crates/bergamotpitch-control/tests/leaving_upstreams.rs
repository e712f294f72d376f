//! An upstream that is leaving gets no new work, whoever notices first.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::inputs::{ListedInstance, LoadReport, Sender};
use bergamotpitch_control::messages::{Heartbeat, LeavingLine};
use bergamotpitch_control::{Input, Message};
use bergamotpitch_core::ids::{UpstreamId, id_of_name};
use common::{Bench, sent, sheet};

fn upstream() -> UpstreamId {
    id_of_name("registry-0")
}

fn listed(leaving: bool) -> Input {
    Input::Listed(vec![ListedInstance {
        name: "registry-0".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        is_router: false,
        leaving,
    }])
}

fn reported(leaving: bool) -> Input {
    let report = LoadReport { running_requests: 0, waiting_requests: 0, leaving };
    Input::LoadReported { upstream: upstream(), report }
}

fn announced_by_peer(age_ds: u16) -> Input {
    let sender = Sender {
        instance: 9,
        incarnation: 1,
        domain: id_of_name("randstad-a"),
        address: SocketAddr::from(([127, 0, 0, 1], 10)),
    };
    let leaving_upstreams = vec![LeavingLine { upstream: upstream(), age_ds }];
    let message = Message::Heartbeat(Heartbeat { leaving_upstreams, ..Heartbeat::default() });
    Input::Received { sender, message }
}

/// An upstream leaves, and one of four sources says so first: the list, its load report, its answer,
/// or a peer. Work that is sent to it after that is cut when it goes.
#[test]
fn every_source() {
    let answered = Input::UpstreamLeaving { upstream: upstream() };
    for notice in [listed(true), reported(true), answered, announced_by_peer(2)] {
        let mut bench = Bench::new(2);
        bench.step(vec![notice]);
        for _ in 0..4 {
            let (_, outputs) = bench.arrive("delft", false);
            assert!(sent(&outputs).iter().all(|sent| sent.upstream != upstream()));
        }
    }
}

/// The list and the load reports lag: after the notice they still say that all is well. They must
/// not bring work back to the upstream.
#[test]
fn lagging_reports() {
    let mut bench = Bench::new(1);
    bench.step(vec![Input::UpstreamLeaving { upstream: upstream() }]);
    bench.step(vec![listed(false), reported(false)]);
    bench.wait(Duration::from_secs(5));
    assert!(sent(&bench.arrive("delft", false).1).is_empty());
}

/// An upstream is to leave and the operators change their mind, or it was replaced under its name.
/// Once nothing has said for half a minute that it leaves, it gets work again; a peer that repeats
/// old evidence does not keep it away.
#[test]
fn withdrawn_notice() {
    let mut bench = Bench::new(1);
    bench.step(vec![reported(true)]);
    for second in 1..=29_u16 {
        bench.wait(Duration::from_secs(1));
        bench.step(vec![reported(false), announced_by_peer(second * 10)]);
        let entry = &bench.tables.upstreams[&upstream()];
        assert!(entry.leaving, "withdrawn after {second} s");
    }
    bench.wait(Duration::from_secs(2));
    assert_eq!(sent(&bench.arrive("delft", false).1).len(), 1);
}

/// A new sheet comes into force while an upstream leaves; the entry that it brings must not look
/// like one that stays.
#[test]
fn across_sheets() {
    let mut bench = Bench::new(0);
    bench.step(vec![announced_by_peer(1)]);
    let learned = Input::SheetLearned(Arc::new(sheet(1, "", 2)));
    bench.step(vec![learned]);
    assert!(sent(&bench.arrive("delft", false).1).is_empty());
}
