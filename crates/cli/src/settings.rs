//! Checks settings before they are published.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs, io,
    path::{Path, PathBuf},
};

use bytes::Bytes;
use conf::{check, differences, findings, process, tree};
use platform::findings::Severity;

use crate::{checked::Checked, error, options};

/// Extension of the branch files in a settings tree.
const EXTENSION: &str = "ini";

/// First character of the names of internal branches, such as the host list.
const RESERVED_PREFIX: char = '@';

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
        let text = read_file_at(path, "--process")?;
        checked.files += 1;
        if let Err(errors) = process::parse(&path.display().to_string(), &text) {
            add_errors(errors, path, &mut checked);
        }
    }
    Ok(checked)
}

/// Checks settings trees, and the changes against the tree in force.
///
/// # Errors
///
/// Returns an error if a path can't be read or is not the directory of a settings tree.
pub fn check_trees(roots: &[PathBuf], against: Option<&Path>) -> Result<Checked, error::Error> {
    let mut checked = Checked::default();
    for root in roots {
        let tree = check_tree(&tree_files(root)?, &mut checked)?;
        let Some(against) = against else { continue };
        let in_force = read_in_force(&tree_files(against)?, &mut checked)?;
        checked.changes = in_force.zip(tree).map(|(from, to)| differences::find(&from, &to));
    }
    Ok(checked)
}

fn tree_files(root: &Path) -> Result<BTreeMap<String, PathBuf>, error::Error> {
    if root.is_file() {
        let problem = "is a file; give the directory of the settings tree, --process for \
                      process settings, or --platform for a configuration of the platform";
        return Err(path_error(root, problem));
    }
    let files = branch_files(root)?;
    if files.is_empty() {
        return Err(path_error(root, "holds no *.ini file"));
    }
    Ok(files)
}

/// Branches of a tree that are valid on their own.
#[derive(Default)]
struct Branches {
    valid: BTreeMap<Bytes, tree::Branch>,
    /// Kinds and names of the sections of the others.
    other_sections: BTreeSet<(String, String)>,
    /// Whether the sections of a branch can't be told.
    has_unknown_sections: bool,
}

impl Branches {
    /// Returns whether an error of the merge may be due to a branch that is not merged.
    fn may_define(&self, error: &check::Error) -> bool {
        let kind = match error.key.as_str() {
            "pool" => "pool",
            "tier" | "top_tier" => "tier",
            _ => return false,
        };
        self.has_unknown_sections
            || self.other_sections.contains(&(kind.to_owned(), error.value.clone()))
    }
}

/// Checks a tree and returns it as processes would merge it, unless a branch is refused.
fn check_tree(
    files: &BTreeMap<String, PathBuf>,
    checked: &mut Checked,
) -> Result<Option<tree::Tree>, error::Error> {
    let branches = parse_branches(files, checked)?;
    let (tree, errors) = tree::merge(&branches.valid);
    for error in errors.into_iter().filter(|error| !branches.may_define(error)) {
        checked.add(Severity::Error, &with_file(files, error));
    }
    // Without all branches, sections that are used would seem to be unused.
    if branches.valid.len() != files.len() {
        return Ok(None);
    }
    for finding in findings::find(&tree) {
        checked.add(Severity::Warning, &with_file(files, finding.describe(&branches.valid)));
    }
    Ok(Some(tree))
}

/// Returns the tree in force. Errors of its merge and its findings don't concern the new one.
fn read_in_force(
    files: &BTreeMap<String, PathBuf>,
    checked: &mut Checked,
) -> Result<Option<tree::Tree>, error::Error> {
    let mut own = Checked::default();
    let branches = parse_branches(files, &mut own)?;
    if branches.valid.len() != files.len() {
        checked.files += own.files;
        checked.findings.extend(own.findings);
        return Ok(None);
    }
    Ok(Some(tree::merge(&branches.valid).0))
}

fn parse_branches(
    files: &BTreeMap<String, PathBuf>,
    checked: &mut Checked,
) -> Result<Branches, error::Error> {
    let mut branches = Branches::default();
    for (name, path) in files {
        let text = read_file(path)?;
        checked.files += 1;
        if name.starts_with(RESERVED_PREFIX) {
            checked.add(Severity::Error, &reserved_name_error(name, path));
            continue;
        }
        match tree::parse(name, &text) {
            Ok(branch) => {
                branches.valid.insert(Bytes::from(name.clone()), branch);
            }
            Err(errors) => {
                add_errors(errors, path, checked);
                match tree::section_names(&text) {
                    Some(sections) => branches.other_sections.extend(sections),
                    None => branches.has_unknown_sections = true,
                }
            }
        }
    }
    Ok(branches)
}

fn add_errors(errors: Vec<check::Error>, path: &Path, checked: &mut Checked) {
    for error in errors {
        checked.add(Severity::Error, &with_path(path, error));
    }
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

fn with_file(files: &BTreeMap<String, PathBuf>, error: check::Error) -> check::Error {
    match files.get(&error.file) {
        Some(path) => with_path(path, error),
        None => error,
    }
}

/// Replaces the branch name in an error by the path of the file to edit.
fn with_path(path: &Path, error: check::Error) -> check::Error {
    check::Error { file: path.display().to_string(), ..error }
}

/// Reads the file of an option that takes files.
///
/// # Errors
///
/// Returns an error if the file can't be read or is a directory.
pub fn read_file_at(path: &Path, option: &str) -> Result<String, error::Error> {
    if path.is_dir() {
        return Err(path_error(path, &format!("is a directory; {option} takes files")));
    }
    read_file(path)
}

fn read_file(path: &Path) -> Result<String, error::Error> {
    fs::read_to_string(path).map_err(|cause| error::Error::File { path: path.to_owned(), cause })
}

fn path_error(path: &Path, problem: &str) -> error::Error {
    let message = format!("PATH {:?} {problem}", path.display().to_string());
    error::Error::Usage { message, subcommand: Some(options::Subcommand::Check) }
}
