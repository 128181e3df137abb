//! Environment for runs of the program: temporary files, and servers with fixed responses.

use std::{
    collections::BTreeMap,
    fs,
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    path::{Path, PathBuf},
    process, thread,
};

use wire::status;

/// Output and exit code of one run of the program.
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

    /// Asserts the exit code, and that standard error is one line that contains all of `parts`.
    pub fn assert_error(&self, code: i32, parts: &[&str]) {
        assert_eq!(self.code, code, "{self:?}");
        assert!(self.stderr.starts_with("quincespoke: "), "{self:?}");
        assert_eq!(self.stderr.lines().count(), 1, "{self:?}");
        for part in parts {
            assert!(self.stderr.contains(part), "{part:?} is not in {self:?}");
        }
    }
}

/// Temporary directory, removed at the end of the test.
pub struct TempDir {
    root: PathBuf,
}

impl TempDir {
    pub fn new(name: &str) -> TempDir {
        let root = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("quincespoke-{name}-{}", process::id()));
        fs::create_dir_all(&root).unwrap();
        TempDir { root }
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

impl Drop for TempDir {
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

/// Starts a server that sends the given bodies of each path in order, then repeats the last one.
/// Returns its address.
pub fn serve(mut bodies: BTreeMap<&'static str, Vec<String>>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let _ = respond(stream.unwrap(), &mut bodies);
        }
    });
    address
}

fn respond(
    mut stream: TcpStream,
    bodies: &mut BTreeMap<&'static str, Vec<String>>,
) -> std::io::Result<()> {
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        request.push(byte[0]);
    }
    let request = String::from_utf8_lossy(&request);
    let path = request.split(' ').nth(1).unwrap_or_default();
    let (line, body) = match bodies.get_mut(path) {
        Some(queue) if queue.len() > 1 => ("200 OK", queue.remove(0)),
        Some(queue) => ("200 OK", queue[0].clone()),
        None => ("404 Not Found", String::new()),
    };
    write!(
        stream,
        "HTTP/1.1 {line}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// Starts a server that sends the given statuses in order, then repeats the last one.
pub fn serve_status(statuses: &[status::Status]) -> String {
    let bodies = statuses.iter().map(|status| serde_json::to_string(status).unwrap());
    serve(BTreeMap::from([("/status", bodies.collect())]))
}

/// Address at which nothing listens. The port is reserved, so the system assigns it to no other
/// test.
pub const UNREACHABLE: &str = "127.0.0.1:1";

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
