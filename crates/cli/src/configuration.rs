//! Checks a configuration of the platform before it is published.

use std::path::{Path, PathBuf};

use platform::{differences, findings};

use crate::{checked::Checked, error, settings};

/// Checks files with the platform's configuration, and the changes against the one in force.
///
/// # Errors
///
/// Returns an error if a file can't be read or is a directory.
pub fn check(paths: &[PathBuf], against: Option<&Path>) -> Result<Checked, error::Error> {
    let mut checked = Checked::default();
    for path in paths {
        let result = read(path)?;
        checked.files += 1;
        add_findings(path, &result.findings, &mut checked);
        if let Some(against) = against {
            compare(path, &result, against, &mut checked)?;
        }
    }
    Ok(checked)
}

/// Adds the changes against the configuration in force. The findings of that one don't concern the
/// new one, unless gateways can't decode it.
fn compare(
    path: &Path,
    result: &findings::Checked,
    against: &Path,
    checked: &mut Checked,
) -> Result<(), error::Error> {
    let in_force = read(against)?;
    let Some(from) = in_force.catalog else {
        checked.files += 1;
        add_findings(against, &in_force.findings, checked);
        return Ok(());
    };
    let Some(to) = &result.catalog else { return Ok(()) };
    if let Some(finding) = findings::check_version(&from, to) {
        add_findings(path, &[finding], checked);
    }
    checked.changes = Some(differences::find(&from, to));
    Ok(())
}

fn read(path: &Path) -> Result<findings::Checked, error::Error> {
    Ok(findings::check(settings::read_file_at(path, "--platform")?.as_bytes()))
}

fn add_findings(path: &Path, findings: &[findings::Finding], checked: &mut Checked) {
    for finding in findings {
        checked.add_configuration(&path.display().to_string(), finding);
    }
}
