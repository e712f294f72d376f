//! One request under which upstreams crash is found, and reaches few of them.

mod common;

use common::crashes::{BAD_SUBJECT, CrashingUpstream, Ending};
use common::{ask, registration, request, run, start};

/// Guards against ends of plain upstreams that no line and no counter shows.
#[test]
fn plain_upstream() {
    run(async {
        let upstream = CrashingUpstream::start_ending(Ending::Request).await;
        let (gateway, address) = start(&[]).await;
        gateway.upstream_listed(registration("e0", upstream.address));
        ask(address, request("POST", &format!("/once/{BAD_SUBJECT}"), "bad")).await;
        assert!(upstream.has_crashed());
        let metrics = gateway.metrics.text();
        let counted =
            metrics.lines().find(|line| line.starts_with("bergamotpitch_upstream_crashes"));
        assert!(counted.is_some_and(|line| line.ends_with(" 1")), "{counted:?}");
    });
}
