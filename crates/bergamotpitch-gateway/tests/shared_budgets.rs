//! What is allowed to the whole fleet is shared with instances that are not listed for a while.

mod common;

use bergamotpitch_gateway::peers::PeerAddress;
use common::{run, start};

/// Guards against instances that each take the whole retry budget for their own, as their entries in the list of
/// members lapsed together.
#[test]
fn lapsed_peers() {
    run(async {
        let (gateway, _) = start(&[]).await;
        let peer = |instance| PeerAddress {
            instance,
            domain: "a".to_owned(),
            beat_address: gateway.options.beat_address,
            relay_address: gateway.options.relay_addresses[0],
            processor_millis: 1_000,
        };
        gateway.replace_peers((100..107).map(peer).collect());
        gateway.replace_peers(Vec::new());
        let taken = (0..100).filter(|_| gateway.take_repeat("all")).count();
        let fixed = gateway.traffic.borrow().options.retries.fixed;
        assert!(0 < taken && taken as f64 <= fixed / 8.0, "{taken} of {fixed} for eight instances");
    });
}
