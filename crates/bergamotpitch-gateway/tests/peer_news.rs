//! What peers say of an upstream counts for the life of it that they mean.

mod common;

use std::rc::Rc;

use bergamotpitch_control::traffic::engine_loads::Figures;
use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::UpstreamId;
use bergamotpitch_gateway::Gateway;
use common::{FakeUpstream, registration, run, start, whole};

fn life_number(gateway: &Rc<Gateway>) -> UpstreamId {
    let traffic = gateway.traffic.borrow();
    let key = traffic.registry.key_of("u0").unwrap();
    traffic.registry.get(key).unwrap().life_number
}

fn takes_work(gateway: &Rc<Gateway>) -> bool {
    let traffic = gateway.traffic.borrow();
    let key = traffic.registry.key_of("u0").unwrap();
    traffic.registry.get(key).unwrap().takes_work()
}

/// An upstream leaves and starts again under the id that it had. A peer that has not read of the new
/// start goes on saying that it leaves, and what it had in hand there. Taken for the new life, this
/// would keep a sound upstream idle for good.
#[test]
fn earlier_life() {
    run(async {
        let upstream = FakeUpstream::start(Box::new(|_| vec![whole("200 OK", "done")])).await;
        let (gateway, _) = start(&[&upstream]).await;
        let before = life_number(&gateway);
        let mut again = registration("u0", upstream.address);
        again.born_ms = Some(2);
        gateway.upstream_listed(again);
        let figures = Figures { requests: 4, ..Figures::default() };
        let lines: HashMap<UpstreamId, Figures> = [(before, figures)].into_iter().collect();
        gateway.take_in_loads(7, &lines, gateway.now());
        gateway.take_in_leaving(&[before]);
        assert!(takes_work(&gateway));
        let options = gateway.options.admission.loads;
        let now = gateway.now();
        let in_hand: u32 = {
            let traffic = gateway.traffic.borrow();
            traffic.loads().map(|(_, load)| load.figures(now, &options).requests).sum()
        };
        assert_eq!(in_hand, 0);
        gateway.take_in_leaving(&[life_number(&gateway)]);
        assert!(!takes_work(&gateway));
    });
}
