//! Memberships: what instances that are gone, and upstreams that are leaving, go on to cost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::inputs::{LoadReport, Sender};
use bergamotpitch_control::messages::Heartbeat;
use bergamotpitch_control::{Input, Message, Options, Output, Tables, step};
use bergamotpitch_core::ids::id_of_name;
use bergamotpitch_core::sheets::AcceptedSheet;
use bergamotpitch_proof::slopes::{Slope, repeated, slope_of};
use bergamotpitch_wire::seals;

use crate::scenes::IP_UDP_BYTES;
use crate::sheets::large_sheet;

const STEP: Duration = Duration::from_millis(20);

/// Time after which instances that fell silent are looked at.
const SILENCE: Duration = Duration::from_secs(120);

/// Instances of the domain that live on.
const LIVE: usize = 46;

struct Cost {
    bytes_per_s: f64,
    members: usize,
}

/// `measure` measures instances that are gone and upstreams that are leaving.
pub fn measure() -> Vec<Slope> {
    let gone = [11, 55, 275, 1_100].map(|gone| (gone, run(gone, 0)));
    let leaving = [0, 4, 8, 16].map(|leaving| (leaving, run(0, leaving)));
    let point = |size: usize, value: f64| repeated(size as f64, vec![value]);
    for (size, cost) in gone.iter().chain(&leaving) {
        eprintln!("gone or leaving {size}: {:.0} B/s, {} members", cost.bytes_per_s, cost.members);
    }
    let fixed = format!("{LIVE} live peers, {} s after the silence", SILENCE.as_secs());
    vec![
        slope_of(
            "sent_bytes_by_gone",
            "instances gone",
            "bytes/s",
            fixed.clone(),
            gone.iter().map(|(size, cost)| point(*size, cost.bytes_per_s)).collect(),
        ),
        slope_of(
            "members_by_gone",
            "instances gone",
            "members",
            fixed,
            gone.iter().map(|(size, cost)| point(*size, cost.members as f64)).collect(),
        ),
        slope_of(
            "sent_bytes_by_leaving",
            "upstreams leaving",
            "bytes/s",
            format!("{LIVE} live peers"),
            leaving.iter().map(|(size, cost)| point(*size, cost.bytes_per_s)).collect(),
        ),
    ]
}

fn run(gone: usize, leaving: usize) -> Cost {
    let sheet = Arc::new(AcceptedSheet { version: 1, sheet: large_sheet(1, 1, 9, 347, 650) });
    let domain = id_of_name(&sheet.sheet.domains[0].name);
    let options = Options { instance: 7, incarnation: 1, domain, ..Options::default() };
    let mut tables = Tables { options, ..Tables::default() };
    let mut inputs = vec![Input::PlatformReachable(true), Input::SheetLearned(Arc::clone(&sheet))];
    inputs.extend((0..LIVE + gone).map(|index| heard(index, domain)));
    inputs.extend(sheet.sheet.upstreams.iter().take(leaving).map(|upstream| {
        let report = LoadReport { leaving: true, ..LoadReport::default() };
        Input::LoadReported { upstream: id_of_name(&upstream.name), report }
    }));
    let mut now = Duration::ZERO;
    let mut bytes = 0;
    let window = Duration::from_secs(10);
    while now < SILENCE + window {
        now += STEP;
        inputs.extend((0..LIVE).map(|index| heard(index, domain)));
        let outputs = step(&mut tables, now, std::mem::take(&mut inputs));
        if SILENCE < now {
            bytes += sent_bytes(&outputs);
        }
    }
    Cost { bytes_per_s: bytes as f64 / window.as_secs_f64(), members: tables.members.len() }
}

fn heard(index: usize, domain: u32) -> Input {
    let number = [10, 0, (index / 250) as u8, (index % 250) as u8];
    let sender = Sender {
        instance: id_of_name(&format!("router-{index}")),
        incarnation: 1,
        domain,
        address: SocketAddr::from((number, 7)),
    };
    let heartbeat = Heartbeat { sheet_version: 1, ..Heartbeat::default() };
    Input::Received { sender, message: Message::Heartbeat(heartbeat) }
}

fn sent_bytes(outputs: &[Output]) -> usize {
    let sender = Sender {
        instance: 900_000_001,
        incarnation: 1_790_000_000_000,
        domain: 900_000_002,
        address: SocketAddr::from(([10, 0, 0, 9], 7)),
    };
    let sealed_bytes = |to: &SocketAddr, message: &Message| -> usize {
        let sealed_ms = sender.incarnation + 3_600_000;
        seals::seal_message(&[7; 32], &sender, *to, &mut 100_000, sealed_ms, message)
            .expect("a message fits its datagrams")
            .iter()
            .map(|datagram| datagram.len() + IP_UDP_BYTES)
            .sum()
    };
    outputs
        .iter()
        .map(|output| match output {
            Output::Send { to, message } => sealed_bytes(to, message),
            _ => 0,
        })
        .sum()
}
