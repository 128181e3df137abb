//! Checks settings before they are published.

use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
};

use bytes::Bytes;
use conf::{check, process, tree};
use serde_json::{Value, json};

use crate::{error, options, output};

/// Extension of the branch files in a settings tree.
const EXTENSION: &str = "ini";

/// First character of the names of internal branches, such as the host list.
const RESERVED_PREFIX: char = '@';

/// Result of a check.
#[derive(Clone, Debug, Default)]
pub struct Checked {
    pub files: usize,
    pub errors: Vec<check::Error>,
}

/// Returns the branch name of a file in a settings tree.
pub fn branch_name(root: &Path, file: &Path) -> Option<String> {
    let relative = file.strip_prefix(root).ok()?.with_extension("");
    let parts: Option<Vec<&str>> = relative.iter().map(|part| part.to_str()).collect();
    Some(parts?.join("/"))
}

/// Returns the files of a settings tree by branch name. Hidden files and directories, such
/// as those of version control, are skipped.
///
/// # Errors
///
/// Returns an error if a directory can't be read.
pub fn branch_files(root: &Path) -> Result<BTreeMap<String, PathBuf>, error::Error> {
    let mut files = BTreeMap::new();
    let mut directories = vec![root.to_owned()];
    while let Some(directory) = directories.pop() {
        let entries = fs::read_dir(&directory).and_then(Iterator::collect::<io::Result<Vec<_>>>);
        for entry in
            entries.map_err(|cause| error::Error::File { path: directory.clone(), cause })?
        {
            let path = entry.path();
            if entry.file_name().as_encoded_bytes().starts_with(b".") {
                continue;
            }
            // Links to directories are not followed, since they may form a cycle.
            if entry.file_type().is_ok_and(|kind| kind.is_dir()) {
                directories.push(path);
            } else if path.extension().is_some_and(|extension| extension == EXTENSION) {
                let name = branch_name(root, &path).ok_or_else(|| error::Error::File {
                    path: path.clone(),
                    cause: io::Error::new(
                        io::ErrorKind::InvalidFilename,
                        "a branch name must be UTF-8",
                    ),
                })?;
                files.insert(name, path);
            }
        }
    }
    Ok(files)
}

/// Checks process settings files.
///
/// # Errors
///
/// Returns an error if a file can't be read or is a directory.
pub fn check_processes(paths: &[PathBuf]) -> Result<Checked, error::Error> {
    let mut checked = Checked::default();
    for path in paths {
        if path.is_dir() {
            return Err(path_error(path, "is a directory; --process takes files"));
        }
        let text = read_file(path)?;
        checked.files += 1;
        if let Err(errors) = process::parse(&path.display().to_string(), &text) {
            checked.errors.extend(errors.into_iter().map(|error| with_path(path, error)));
        }
    }
    Ok(checked)
}

/// Checks settings trees. Branches are merged only if each of them is valid on its own;
/// otherwise all names from an invalid branch would be reported as undefined.
///
/// # Errors
///
/// Returns an error if a path can't be read or is not the directory of a settings tree.
pub fn check_trees(roots: &[PathBuf]) -> Result<Checked, error::Error> {
    let mut checked = Checked::default();
    for root in roots {
        if root.is_file() {
            let problem = "is a file; give the directory of the settings tree, or --process \
                          for process settings";
            return Err(path_error(root, problem));
        }
        let files = branch_files(root)?;
        if files.is_empty() {
            return Err(path_error(root, "holds no *.ini file"));
        }
        check_tree(&files, &mut checked)?;
    }
    Ok(checked)
}

fn check_tree(
    files: &BTreeMap<String, PathBuf>,
    checked: &mut Checked,
) -> Result<(), error::Error> {
    let mut branches = BTreeMap::new();
    for (name, path) in files {
        let text = read_file(path)?;
        checked.files += 1;
        if name.starts_with(RESERVED_PREFIX) {
            checked.errors.push(reserved_name_error(name, path));
            continue;
        }
        match tree::parse(name, &text) {
            Ok(branch) => {
                branches.insert(Bytes::from(name.clone()), branch);
            }
            Err(errors) => {
                checked.errors.extend(errors.into_iter().map(|error| with_path(path, error)));
            }
        }
    }
    if branches.len() == files.len() {
        let (_, errors) = tree::merge(&branches);
        checked.errors.extend(errors.into_iter().map(|error| match files.get(&error.file) {
            Some(path) => with_path(path, error),
            None => error,
        }));
    }
    Ok(())
}

/// Returns one line for each error, or one line that says that there are none.
pub fn text(checked: &Checked) -> String {
    if checked.errors.is_empty() {
        return format!("{}, no errors\n", output::pluralize(checked.files, "file"));
    }
    checked.errors.iter().map(|error| format!("{error}\n")).collect()
}

/// Returns the result as JSON.
pub fn json(checked: &Checked) -> Value {
    let errors = checked.errors.iter().map(|error| {
        let check::Error { file, section, key, value, allowed } = error;
        json!({
            "file": file, "section": section, "key": key, "value": value, "allowed": allowed,
        })
    });
    json!({"files": checked.files, "errors": errors.collect::<Vec<_>>()})
}

fn reserved_name_error(name: &str, path: &Path) -> check::Error {
    check::Error {
        file: path.display().to_string(),
        section: String::new(),
        key: "branch name".to_owned(),
        value: name.to_owned(),
        allowed: format!("a name that does not start with {RESERVED_PREFIX}"),
    }
}

/// Replaces the branch name in an error by the path of the file to edit.
fn with_path(path: &Path, error: check::Error) -> check::Error {
    check::Error { file: path.display().to_string(), ..error }
}

fn read_file(path: &Path) -> Result<String, error::Error> {
    fs::read_to_string(path).map_err(|cause| error::Error::File { path: path.to_owned(), cause })
}

fn path_error(path: &Path, problem: &str) -> error::Error {
    let message = format!("PATH {:?} {problem}", path.display().to_string());
    error::Error::Usage { message, subcommand: Some(options::Subcommand::Check) }
}
