//! The cases of the second review. See `review/REPORT-2.md`.

mod joined;
mod refused;
mod resumed;
mod reverted;
mod truncated;
mod world;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("joined") => world::run(joined::run),
        Some("refused") => world::run(refused::run),
        Some("resumed") => world::run(resumed::run),
        Some("reverted") => world::run(reverted::run),
        Some("truncated") => world::run(truncated::run),
        Some("replica") => truncated::run_replica(),
        _ => {
            eprintln!("usage: world-2 CASE FOLDER");
            std::process::exit(2);
        }
    }
}
