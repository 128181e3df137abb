//! A temporary world for the built program: files, and processes that give canned answers.

use std::{
    collections::BTreeMap,
    fs,
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    path::{Path, PathBuf},
    process, thread,
};

use wire::status;

/// What one run of the program printed, and its exit code.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Run {
    /// Returns standard output as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    /// Asserts the exit code and that standard error is one line with all of `parts`.
    pub fn assert_error(&self, code: i32, parts: &[&str]) {
        assert_eq!(self.code, code, "{self:?}");
        assert!(self.stderr.starts_with("quincespoke: "), "{self:?}");
        assert_eq!(self.stderr.lines().count(), 1, "{self:?}");
        for part in parts {
            assert!(self.stderr.contains(part), "{part:?} is not in {self:?}");
        }
    }
}

/// A temporary directory, removed at the end of the test.
pub struct World {
    root: PathBuf,
}

impl World {
    pub fn new(name: &str) -> World {
        let root = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("quincespoke-{name}-{}", process::id()));
        fs::create_dir_all(&root).unwrap();
        World { root }
    }

    /// Writes a file below the root and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.root.join(name);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Returns the path of a file or directory below the root.
    pub fn path(&self, name: &str) -> String {
        self.root.join(name).display().to_string()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.root);
    }
}

/// Runs the built program.
pub fn run(args: &[&str]) -> Run {
    let output = process::Command::new(env!("CARGO_BIN_EXE_quincespoke"))
        .args(args)
        .stdin(process::Stdio::null())
        .output()
        .unwrap();
    Run {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Serves canned answers, by path; returns the address. The last answer of a path repeats.
pub fn serve(mut answers: BTreeMap<&'static str, Vec<String>>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let _ = answer(stream.unwrap(), &mut answers);
        }
    });
    address
}

fn answer(
    mut stream: TcpStream,
    answers: &mut BTreeMap<&'static str, Vec<String>>,
) -> std::io::Result<()> {
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        request.push(byte[0]);
    }
    let request = String::from_utf8_lossy(&request);
    let path = request.split(' ').nth(1).unwrap_or_default();
    let (line, body) = match answers.get_mut(path) {
        Some(bodies) if bodies.len() > 1 => ("200 OK", bodies.remove(0)),
        Some(bodies) => ("200 OK", bodies[0].clone()),
        None => ("404 Not Found", String::new()),
    };
    write!(
        stream,
        "HTTP/1.1 {line}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// Serves the given statuses, one after the other.
pub fn serve_status(statuses: &[status::Status]) -> String {
    let bodies = statuses.iter().map(|status| serde_json::to_string(status).unwrap());
    serve(BTreeMap::from([("/status", bodies.collect())]))
}

/// An address at which nothing listens: the port is reserved, and not one that the system
/// hands out to another test.
pub const SILENT: &str = "127.0.0.1:1";

/// Returns the status of a ready process.
pub fn status(host: &str, role: &str) -> status::Status {
    status::Status {
        host: host.to_owned(),
        role: role.to_owned(),
        availability_zone: "z1".to_owned(),
        ready: true,
        revisions: BTreeMap::from([("accounts".to_owned(), 7)]),
        ..status::Status::default()
    }
}
