//! Membership: instances find each other, notice who is gone, and believe those who are back.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bergamotpitch_control::fairness::coordinators::weight;
use bergamotpitch_control::inputs::{ListedInstance, Sender};
use bergamotpitch_control::{Input, Options, Output, Tables, step};

const STEP: Duration = Duration::from_millis(10);

/// Bytes around a message: seal and headers.
const OVERHEAD_BYTES: usize = 60;

/// `Net` passes messages between control states, each one step late.
struct Net {
    states: BTreeMap<u32, Tables>,
    in_transit: Vec<(u32, Input)>,
    cuts: HashSet<(u32, u32)>,
    now: Duration,
    sent_bytes: BTreeMap<u32, usize>,
}

fn address(instance: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + instance as u16))
}

fn state(instance: u32, incarnation: u64, first_peers: Vec<SocketAddr>) -> Tables {
    // Instances of one domain have the same hundreds.
    let domain = instance / 100;
    let options = Options { instance, incarnation, domain, first_peers, ..Options::default() };
    Tables { options, ..Tables::default() }
}

impl Net {
    fn new(instances: &[u32]) -> Self {
        let first_peers = vec![address(instances[0]), address(instances[instances.len() - 1])];
        let states = instances
            .iter()
            .map(|instance| (*instance, state(*instance, 1, first_peers.clone())))
            .collect();
        Self {
            states,
            in_transit: Vec::new(),
            cuts: HashSet::new(),
            now: Duration::ZERO,
            sent_bytes: BTreeMap::new(),
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            let mut inputs: BTreeMap<u32, Vec<Input>> = BTreeMap::new();
            for (to, input) in std::mem::take(&mut self.in_transit) {
                inputs.entry(to).or_default().push(input);
            }
            for (instance, tables) in &mut self.states {
                let own = inputs.remove(instance).unwrap_or_default();
                let outputs = step(tables, self.now, own);
                let sender = Sender {
                    instance: *instance,
                    incarnation: tables.options.incarnation,
                    domain: tables.options.domain,
                    address: address(*instance),
                };
                for output in outputs {
                    let Output::Send { to, message } = output else { continue };
                    let size = postcard::to_stdvec(&message).expect("it is encoded").len();
                    *self.sent_bytes.entry(*instance).or_default() += size + OVERHEAD_BYTES;
                    let to = u32::from(to.port()) - 1_000;
                    if !self.cuts.contains(&(*instance, to)) {
                        self.in_transit.push((to, Input::Received { sender, message }));
                    }
                }
            }
        }
    }

    fn cut(&mut self, from: &[u32], to: &[u32]) {
        self.cuts.extend(from.iter().flat_map(|left| to.iter().map(|right| (*left, *right))));
    }

    /// `live` lists whom an instance takes to be alive.
    fn live(&self, instance: u32) -> Vec<u32> {
        let members = self.states[&instance].members.iter();
        let mut live: Vec<u32> =
            members.filter(|(_, member)| !member.suspected).map(|(id, _)| *id).collect();
        live.sort_unstable();
        live
    }

    fn assert_live(&self, expected: &[u32]) {
        for instance in self.states.keys().filter(|instance| expected.contains(instance)) {
            let others: Vec<u32> =
                expected.iter().copied().filter(|other| other != instance).collect();
            assert_eq!(self.live(*instance), others, "as instance {instance} sees it");
        }
    }
}

fn domain(first: u32, count: u32) -> Vec<u32> {
    (first..first + count).collect()
}

/// A domain of 46 instances starts, one of them dies and one is replaced under its name. All must
/// know all, hear of the death within seconds, and take the new life for the old; what each sends
/// stays within a part of the 2 KB a second that control may cost.
#[test]
fn large_domain() {
    let instances = domain(100, 46);
    let mut net = Net::new(&instances);
    net.run(Duration::from_secs(10));
    net.assert_live(&instances);
    net.sent_bytes.clear();
    net.run(Duration::from_secs(20));
    let most = net.sent_bytes.values().max().copied().unwrap_or(0) / 20;
    assert!(most < 1_500, "{most} bytes a second");
    net.states.remove(&117);
    net.run(Duration::from_secs(6));
    let rest: Vec<u32> = instances.iter().copied().filter(|one| *one != 117).collect();
    net.assert_live(&rest);
    net.states.insert(117, state(117, 2, vec![address(100)]));
    net.run(Duration::from_secs(5));
    net.assert_live(&instances);
    assert!(rest.iter().all(|one| net.states[one].members[&117].incarnation == 2));
}

/// Three domains know each other through their relays. The one that relays for a domain dies; the
/// link must not stay silent, and the death must be known in all domains.
#[test]
fn relays() {
    let instances = [domain(100, 5), domain(200, 4), domain(300, 5)].concat();
    let mut net = Net::new(&instances);
    net.run(Duration::from_secs(15));
    net.assert_live(&instances);
    for gone in [101, 203, 302] {
        net.states.remove(&gone);
        net.run(Duration::from_secs(12));
    }
    let rest: Vec<u32> = net.states.keys().copied().collect();
    net.assert_live(&rest);
}

/// The relays of both ends die in the same moment. Each domain's next relay sends to the one that it
/// knows at the other end, which is dead, and neither end could tell the other of it.
#[test]
fn both_relays_fail() {
    let instances = [domain(100, 3), domain(200, 3)].concat();
    let mut net = Net::new(&instances);
    net.run(Duration::from_secs(10));
    net.states.values_mut().for_each(|tables| tables.options.first_peers.clear());
    let relay = |from: Vec<u32>, to: u32| from.into_iter().max_by_key(|one| weight(*one, to));
    let relays = [relay(domain(100, 3), 2), relay(domain(200, 3), 1)];
    net.states.retain(|instance, _| !relays.contains(&Some(*instance)));
    net.run(Duration::from_secs(30));
    let rest: Vec<u32> = net.states.keys().copied().collect();
    assert_eq!(rest.len(), 4);
    net.assert_live(&rest);
}

/// A domain falls into two halves for longer than any timeout, and there is neither list nor
/// platform to bring them together. Each half must take the other for gone and find it again.
#[test]
fn partition_heals() {
    let instances = domain(100, 6);
    let (left, right) = (domain(100, 3), domain(103, 3));
    let mut net = Net::new(&instances);
    net.run(Duration::from_secs(5));
    net.states.values_mut().for_each(|tables| tables.options.first_peers.clear());
    net.cut(&left, &right);
    net.cut(&right, &left);
    net.run(Duration::from_secs(120));
    net.assert_live(&left);
    net.assert_live(&right);
    net.cuts.clear();
    net.run(Duration::from_secs(10));
    net.assert_live(&instances);
}

/// An instance is heard and hears nothing, or the other way round. The one that cannot be heard must
/// be taken for gone; that one of them is deaf must not make the others doubt each other; and when
/// the link is whole again, all must agree.
#[test]
fn one_way_partition() {
    let instances = domain(100, 4);
    let others = domain(101, 3);
    for cannot_receive in [false, true] {
        let mut net = Net::new(&instances);
        net.run(Duration::from_secs(5));
        if cannot_receive {
            net.cut(&others, &[100]);
        } else {
            net.cut(&[100], &others);
        }
        net.run(Duration::from_secs(30));
        for other in &others {
            let live = net.live(*other);
            let expected: Vec<u32> = others.iter().copied().filter(|one| one != other).collect();
            assert!(expected.iter().all(|one| live.contains(one)), "{other} sees {live:?}");
            assert!(cannot_receive || !live.contains(&100), "{other} sees {live:?}");
        }
        net.cuts.clear();
        net.run(Duration::from_secs(40));
        net.assert_live(&instances);
    }
}

/// One instance hears from an upstream that it is leaving, while the list lags and the platform is
/// out. Every instance of every domain must know within 3 s, or it would send work that is cut.
#[test]
fn leaving_spreads() {
    let instances = [domain(100, 46), domain(200, 3), domain(300, 2)].concat();
    let mut net = Net::new(&instances);
    net.run(Duration::from_secs(15));
    // A rollout is under way, so that this one is not the only mark that travels.
    let others = (1_000..1_100).map(|upstream| (117, Input::UpstreamLeaving { upstream }));
    net.in_transit.extend(others);
    net.run(Duration::from_secs(10));
    net.in_transit.push((117, Input::UpstreamLeaving { upstream: 9 }));
    net.run(Duration::from_millis(2_500));
    let unaware: Vec<u32> = net
        .states
        .iter()
        .filter(|(_, tables)| !tables.health.leaving.contains_key(&9))
        .map(|(instance, _)| *instance)
        .collect();
    assert!(unaware.is_empty(), "{unaware:?} do not know");
}

/// The list lags and names instances that are long gone, and one that nobody knows. The new one must
/// be found; the dead must not be taken for alive.
#[test]
fn lagging_list() {
    let instances = domain(100, 3);
    let mut net = Net::new(&instances);
    net.run(Duration::from_secs(3));
    let pinned = state(150, 1, Vec::new());
    net.states.insert(150, pinned);
    let listed = |instance: u32| ListedInstance {
        name: format!("router-{instance}"),
        address: address(instance),
        is_router: true,
        leaving: false,
    };
    let list: Vec<ListedInstance> = [100, 101, 150, 180, 190].map(listed).to_vec();
    net.in_transit.push((101, Input::Listed(list)));
    net.run(Duration::from_secs(10));
    net.assert_live(&[100, 101, 102, 150]);
}

/// Instances are replaced under new names all day. Those long gone must not be remembered without
/// end: the table, and the bytes for asking after them, would grow with the age of the fleet.
#[test]
fn replaced_instances() {
    let mut net = Net::new(&domain(100, 2));
    net.run(Duration::from_secs(2));
    for round in 0..60 {
        let instance = 110 + round;
        net.states.insert(instance, state(instance, 1, vec![address(100)]));
        net.run(Duration::from_secs(3));
        net.states.remove(&instance);
    }
    net.run(Duration::from_secs(1_000));
    assert_eq!(net.states[&100].members.len(), 1);
}
