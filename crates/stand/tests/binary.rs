//! Tests of the `quincespoke-stand` binary.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    process::{Command, Stdio},
};

/// Guards against a binary that doesn't print its addresses, doesn't serve requests, or ignores
/// the signals to stop.
#[test]
fn binary_serves_until_terminated() {
    let proxy = ["proxy", "--target", "127.0.0.1:9"];
    let commands: [&[&str]; 5] =
        [&["engine", "--checks-fence"], &["service"], &["configuration"], &["hosts"], &proxy];
    for (arguments, signal) in commands.into_iter().zip(["TERM", "INT"].into_iter().cycle()) {
        let binary = env!("CARGO_BIN_EXE_quincespoke-stand");
        let spawned = Command::new(binary).args(arguments).stdout(Stdio::piped()).spawn();
        let mut child = spawned.expect("the binary starts");
        let mut line = String::new();
        let mut out = BufReader::new(child.stdout.take().expect("piped"));
        out.read_line(&mut line).expect("a line");
        assert!(line.starts_with("listening=127.0.0.1:"));
        // The last address of the proxy's line is the one that serves HTTP.
        let (_, address) = line.trim().rsplit_once('=').expect("an address");
        let mut stream = TcpStream::connect(address).expect("the port is open");
        let request = b"GET /x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        stream.write_all(request).expect("the request is sent");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("a response");
        assert!(response.starts_with("HTTP/1.1 "));
        let id = child.id().to_string();
        Command::new("kill").args(["-s", signal, &id]).status().expect("kill runs");
        assert!(child.wait().expect("the binary ends").success());
    }
}
