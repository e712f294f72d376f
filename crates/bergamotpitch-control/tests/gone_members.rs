//! Instances that are gone are forgotten; domains that are only cut off are not.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_control::fairness::coordinators::weight;
use bergamotpitch_control::inputs::Sender;
use bergamotpitch_control::messages::Heartbeat;
use bergamotpitch_control::{Input, Message, Options, Output, Tables, step};

const OWN_DOMAIN: u32 = 1;
const FAR_DOMAIN: u32 = 2;

/// A thousand instances are replaced in a day. An instance that remembers all of them sends its
/// heartbeats to the dead: after a day it sends 400 kB a second, and pays for it.
#[test]
fn replaced_instances() {
    let mut tables = tables();
    let mut now = Duration::ZERO;
    for day in 0..2 {
        for number in 0..600 {
            let name = 10 + day * 1_000 + number;
            let domain = if number % 2 == 0 { OWN_DOMAIN } else { FAR_DOMAIN };
            now += Duration::from_secs(144);
            step_with_live_members(&mut tables, now, vec![heartbeat_from(name, domain)]);
        }
    }
    let live = 6;
    let replaced_within_memory = 900 / 144 + 2;
    assert!(tables.members.len() <= live + replaced_within_memory, "{}", tables.members.len());
}

/// Two regions lose each other for two hours. If each had forgotten the other, they would go on as
/// two fleets after the link is mended, and a team could get twice its share.
#[test]
fn cut_off_domain() {
    let mut tables = tables();
    let mut now = Duration::from_secs(1);
    // Only one instance of the domain sends to a far one: those are lost to which it is this one.
    let is_relayed_here =
        |domain: &u32| (1..5).max_by_key(|instance| weight(*instance, *domain)) == Some(1);
    let lost: Vec<u32> = (50..90).filter(is_relayed_here).collect();
    assert!(!lost.is_empty());
    step(&mut tables, now, lost.iter().map(|number| heartbeat_from(*number, *number)).collect());
    let is_lost = |to: &SocketAddr| lost.iter().any(|number| *to == address(*number));
    let mut sent_to_lost = 0;
    while now < Duration::from_secs(7_200) {
        now += Duration::from_secs(1);
        let outputs = step_with_live_members(&mut tables, now, Vec::new());
        if Duration::from_secs(7_000) < now {
            let is_sent_to_lost =
                |output: &&Output| matches!(output, Output::Send { to, .. } if is_lost(to));
            sent_to_lost += outputs.iter().filter(is_sent_to_lost).count();
        }
    }
    assert!(lost.iter().all(|number| tables.members.contains_key(number)));
    assert!(0 < sent_to_lost, "the lost domain was not greeted at the end");
}

fn tables() -> Tables {
    let options = Options { instance: 1, incarnation: 1, domain: OWN_DOMAIN, ..Options::default() };
    Tables { options, ..Tables::default() }
}

// Three instances of each of two domains live on; the step that takes them in follows at once.
fn step_with_live_members(
    tables: &mut Tables,
    now: Duration,
    mut inputs: Vec<Input>,
) -> Vec<Output> {
    inputs.extend((2..5).map(|number| heartbeat_from(number, OWN_DOMAIN)));
    inputs.extend((5..8).map(|number| heartbeat_from(number, FAR_DOMAIN)));
    step(tables, now, inputs)
}

fn heartbeat_from(number: u32, domain: u32) -> Input {
    let sender = Sender { instance: number, incarnation: 1, domain, address: address(number) };
    Input::Received { sender, message: Message::Heartbeat(Heartbeat::default()) }
}

fn address(number: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7))
}
