//! Measures the time and bytes of sharing a full table of suspects.

use std::{hint::black_box, time};

use gate::{message::Datagram, suspects::Suspects};
use wire::{frame, time::Instant};

/// Suspects in a full table.
const SUSPECTS: u64 = 4096;
const ROUNDS: u32 = 200;

fn main() {
    let now = Instant(1_000_000_000);
    let mut suspects = Suspects::default();
    for fingerprint in 0..SUSPECTS {
        suspects.record_end(now, fingerprint << 32, fingerprint.wrapping_mul(0x9e37_79b9), now);
    }
    let measure = |name: &str, run: &mut dyn FnMut() -> usize| {
        let (started, mut bytes) = (time::Instant::now(), 0);
        for _ in 0..ROUNDS {
            bytes = bytes.max(run());
        }
        let micros = started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
        println!("{name}: {micros:.0} us, at most {bytes} bytes");
    };
    let size = |reports| frame::encode(&Datagram::Suspects(reports)).len();
    measure("announcement, a round", &mut || size(black_box(suspects.announce(now))));
    measure("sample, a second", &mut || size(black_box(suspects.sample(now))));
    measure("summary, a peer that starts", &mut || size(black_box(suspects.summary(now))));
    let summary = suspects.summary(now);
    measure("receipt of a summary", &mut || {
        summary.iter().filter(|report| suspects.merge(now, report)).count()
    });
}
