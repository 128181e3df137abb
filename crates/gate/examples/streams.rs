//! Cost of the streams that a gateway sends to one that starts. Run with `--release`.

use std::{hint::black_box, net::SocketAddr, time};

use gate::streams::{Streams, attempt_key};
use wire::time::Instant;

const STREAMS: [u64; 2] = [2_000, 6_800];
const GATEWAYS: [u16; 3] = [28, 68, 610];
const REPETITIONS: u32 = 20;

fn main() {
    let now = Instant(100_000_000);
    for gateways in GATEWAYS {
        let addresses: Vec<SocketAddr> =
            (1..=gateways).map(|n| ([10, 1, (n >> 8) as u8, n as u8], 7_000).into()).collect();
        for count in STREAMS {
            let mut streams = Streams::default();
            for n in 0..count {
                streams.record(now, attempt_key(&n.to_be_bytes()), 1);
            }
            let started = time::Instant::now();
            for _ in 0..REPETITIONS {
                black_box(streams.kept_by(now, addresses[0], addresses.iter().copied()));
            }
            let each = started.elapsed() / REPETITIONS;
            println!("{count} streams, {gateways} gateways: {each:?} for a gateway that starts");
        }
    }
}
