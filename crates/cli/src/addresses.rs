//! Operator addresses of processes, as given on the command line or in files.

use std::{fs, net, path::PathBuf};

use crate::{error, options};

/// Checks that an address has the form HOST:PORT.
///
/// # Errors
///
/// Returns a description of the allowed form.
pub fn check(address: &str) -> Result<(), &'static str> {
    const ALLOWED: &str = "allowed is HOST:PORT with a port from 1 to 65535, no scheme or path";
    let (host, port) = address.rsplit_once(':').ok_or(ALLOWED)?;
    let valid_port = port.parse::<u16>().is_ok_and(|port| port > 0);
    let ipv6 = host.strip_prefix('[').and_then(|host| host.strip_suffix(']'));
    let is_allowed = |char: char| char.is_ascii_alphanumeric() || ".-_".contains(char);
    let valid_host = match ipv6 {
        Some(ipv6) => ipv6.parse::<net::Ipv6Addr>().is_ok(),
        None => !host.is_empty() && host.chars().all(is_allowed),
    };
    if valid_host && valid_port { Ok(()) } else { Err(ALLOWED) }
}

/// Reads a file of addresses: one on each line, `#` starts a comment.
///
/// # Errors
///
/// Returns an error if the file can't be read, or for its first invalid line.
pub fn read(
    path: PathBuf,
    subcommand: Option<options::Subcommand>,
) -> Result<Vec<String>, error::Error> {
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(cause) => return Err(error::Error::File { path, cause }),
    };
    let mut addresses = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let address = line.split('#').next().unwrap_or_default().trim();
        if address.is_empty() {
            continue;
        }
        if let Err(cause) = check(address) {
            let line = index + 1;
            let message =
                format!("--at-file {}, line {line}, {address:?}: {cause}", path.display());
            return Err(error::Error::Usage { message, subcommand });
        }
        addresses.push(address.to_owned());
    }
    Ok(addresses)
}
