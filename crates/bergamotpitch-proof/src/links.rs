//! Links between instances: delay, loss, repeats, cuts, and what passes over them.

use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_control::inputs::Sender;
use bergamotpitch_control::{Input, Message};
use bergamotpitch_core::ids::id_of_name;

use crate::fleets::{Delivery, Fleet};
use crate::loops::post;
use crate::randoms;

/// Bytes of headers and seal around each datagram, as measured for docs/design/wire.md.
pub const DATAGRAM_OVERHEAD_BYTES: u64 = 63;

/// `Spot` is one end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Spot {
    /// Everything in a place, by index.
    Place(usize),
    /// One router, by index.
    Router(usize),
}

/// `cut` cuts the link from one spot to another, one way.
pub fn cut(fleet: &mut Fleet, from: Spot, to: Spot) {
    fleet.cuts.insert((from, to));
}

/// `cut_off` cuts a place from all others, both ways.
pub fn cut_off(fleet: &mut Fleet, place: usize) {
    for other in (0..fleet.deployment.places.len()).filter(|other| *other != place) {
        cut(fleet, Spot::Place(place), Spot::Place(other));
        cut(fleet, Spot::Place(other), Spot::Place(place));
    }
}

/// `heal` mends every link.
pub fn heal(fleet: &mut Fleet) {
    fleet.cuts.clear();
}

pub(crate) fn send(fleet: &mut Fleet, instance: usize, to: SocketAddr, message: Message) {
    let size = postcard::experimental::serialized_size(&message).unwrap_or(0) as u64;
    let Some(other) = fleet.routers.iter().position(|router| router.address == to) else { return };
    let (here, there) = (fleet.routers[instance].place, fleet.routers[other].place);
    let traffic = &mut fleet.history.traffic[instance];
    let bytes = size + DATAGRAM_OVERHEAD_BYTES;
    let places = &fleet.deployment.places;
    traffic.messages += 1;
    if here == there {
        traffic.domain_bytes += bytes;
    } else if places[here].region == places[there].region {
        traffic.region_bytes += bytes;
    } else {
        traffic.cross_region_bytes += bytes;
        if matches!(message, Message::DomainReport(_)) {
            traffic.cross_region_share_bytes += bytes;
        }
    }
    let way = delay(fleet, here, there);
    if is_cut(fleet, instance, other) || draws(fleet, fleet.options.loss_percent) {
        return;
    }
    let router = &fleet.routers[instance];
    let sender = Sender {
        instance: id_of_name(&router.name),
        incarnation: router.incarnation,
        domain: id_of_name(&places_name(fleet, here)),
        address: router.address,
    };
    let incarnation = fleet.routers[other].incarnation;
    let copies = if draws(fleet, fleet.options.duplicate_percent) { 2 } else { 1 };
    for copy in 1..=copies {
        let input = Input::Received { sender, message: message.clone() };
        let at = fleet.now + way * copy;
        post(fleet, at, Delivery::ToRouter { incarnation, instance: other, input });
    }
}

pub(crate) fn places_name(fleet: &Fleet, place: usize) -> String {
    fleet.deployment.places[place].domain.clone()
}

pub(crate) fn fetch_sheet(fleet: &mut Fleet, instance: usize, from: SocketAddr, version: u64) {
    let Some(other) = fleet.routers.iter().position(|router| router.address == from) else {
        return;
    };
    if is_cut(fleet, instance, other) || is_cut(fleet, other, instance) {
        return;
    }
    let tables = fleet.routers[other].tables.as_ref();
    let Some(sheet) = tables.and_then(|tables| tables.sheet.clone()) else { return };
    if sheet.version < version {
        return;
    }
    let way = delay(fleet, fleet.routers[instance].place, fleet.routers[other].place);
    let incarnation = fleet.routers[instance].incarnation;
    let input = Input::PeerSheetLearned(sheet);
    post(fleet, fleet.now + way * 2, Delivery::ToRouter { incarnation, instance, input });
}

pub(crate) fn draws(fleet: &mut Fleet, percent: f64) -> bool {
    0.0 < percent && randoms::unit(&mut fleet.random) * 100.0 < percent
}

pub(crate) fn is_cut(fleet: &Fleet, from: usize, to: usize) -> bool {
    let ends =
        |instance: usize| [Spot::Router(instance), Spot::Place(fleet.routers[instance].place)];
    ends(from).iter().any(|left| ends(to).iter().any(|right| fleet.cuts.contains(&(*left, *right))))
}

/// `reaches` tells whether a router and the upstreams of a place reach each other, both ways.
pub fn reaches(fleet: &Fleet, instance: usize, place: usize) -> bool {
    let ends = [Spot::Router(instance), Spot::Place(fleet.routers[instance].place)];
    let there = Spot::Place(place);
    ends.iter()
        .all(|end| !fleet.cuts.contains(&(*end, there)) && !fleet.cuts.contains(&(there, *end)))
}

pub(crate) fn delay(fleet: &Fleet, from: usize, to: usize) -> Duration {
    let places = &fleet.deployment.places;
    if from == to {
        fleet.options.domain_delay
    } else if places[from].region == places[to].region {
        fleet.options.region_delay
    } else {
        fleet.options.cross_region_delay
    }
}
