//! Cost of a change of a large configuration at one gateway.

use std::{hint, iter, time::Instant};

use base64::{Engine, engine::general_purpose::STANDARD};
use daemon::gateway::delta::Values;
use gate::message::{Reply, StoreEntry};
use platform::catalog;

/// Sizes of the configuration after the change, of which the largest is what the store takes.
const ROUTES: [usize; 3] = [1_440, 2_840, 4_250];
/// Routes that the change adds.
const ADDED_ROUTES: usize = 1_400;
/// Runs of one measurement.
const RUNS: u32 = 20;

/// Returns a configuration with random names.
fn config(version: u32, routes: usize) -> String {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut word =
        |len: usize| -> String { iter::repeat_with(|| rng.lowercase()).take(len).collect() };
    let routes: Vec<String> = (0..routes)
        .map(|_| {
            let (name, host, prefix) = (word(8), word(6), word(7));
            format!(
                r#"{{"name":"{name}","host":"{host}.example","pathPrefix":"/{prefix}/","kind":"safe","timeoutMs":2000,"goalMs":300,"priority":2,"service":"s","maxAttempts":2}}"#
            )
        })
        .collect();
    let services = r#"[{"name":"s","maxConns":100}]"#;
    format!(r#"{{"version":{version},"routes":[{}],"services":{services}}}"#, routes.join(","))
}

fn entry(text: &str) -> StoreEntry {
    StoreEntry { key: "configuration".into(), value: STANDARD.encode(text).into(), deleted: false }
}

/// Returns the mean time of a call in milliseconds.
fn measure(mut call: impl FnMut()) -> f64 {
    let started = Instant::now();
    (0..RUNS).for_each(|_| call());
    started.elapsed().as_secs_f64() * 1e3 / f64::from(RUNS)
}

pub fn run() {
    for routes in ROUTES {
        let (before, text) = (entry(&config(1, routes - ADDED_ROUTES)), config(2, routes));
        let after = entry(&text);
        let (sender, receiver) = (Values::default(), Values::default());
        sender.keep(std::slice::from_ref(&before));
        sender.keep(std::slice::from_ref(&after));
        receiver.keep(std::slice::from_ref(&before));
        let entries = Some(vec![after.clone()]);
        let reply = Reply { token: 1, revision: 2, age: Default::default(), entries };
        let encoded = sender.encode(reply.clone(), &receiver.hashes()).expect("a reply");
        let encode_first = measure(|| {
            let sender = Values::default();
            sender.keep(std::slice::from_ref(&before));
            sender.keep(std::slice::from_ref(&after));
            let _ = hint::black_box(sender.encode(reply.clone(), &receiver.hashes()));
        });
        let encode_again = measure(|| {
            let _ = hint::black_box(sender.encode(reply.clone(), &receiver.hashes()));
        });
        let decode = measure(|| drop(hint::black_box(receiver.decode(&encoded))));
        let parse = measure(|| drop(hint::black_box(catalog::decode(text.as_bytes()))));
        let stored = measure(|| drop(hint::black_box(STANDARD.decode(&after.value))));
        println!(
            "routes={routes} stored_kb={:.0} sent_kb={:.1} encode_first_ms={encode_first:.2} \
             encode_again_ms={encode_again:.2} decode_ms={decode:.2} base64_ms={stored:.2} \
             parse_ms={parse:.2}",
            after.value.len() as f64 / 1e3,
            encoded.len() as f64 / 1e3,
        );
    }
}
