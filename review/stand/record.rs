//! What was sent, answered and run, with the time since the start in seconds.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record");
        Record { file: Mutex::new(file), started: Instant::now() }
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().expect("lock"), "{at:8.3} {text}");
    }
}
