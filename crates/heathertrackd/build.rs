//! Gives the program the commit and a digest of the sources that it is built from, so that a log tells
//! which build wrote it.

use sha2::{Digest, Sha256};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::{env, fs, io};

/// Sources of the program, from the root of the workspace.
const SOURCES: [&str; 7] = [
    "crates/heathertrack/src",
    "crates/heathertrack_document/src",
    "crates/heathertrack_platform/src",
    "crates/heathertrack_wire/src",
    "crates/heathertrackd/src",
    "platform/src",
    "Cargo.lock",
];
/// Number of bytes of the digest that are kept.
const DIGEST_BYTES: usize = 6;

fn main() -> io::Result<()> {
    let root = PathBuf::from(env::var("CARGO_MANIFEST_DIR").unwrap_or_default()).join("../..");
    let mut files = Vec::new();
    for source in SOURCES {
        println!("cargo::rerun-if-changed={}", root.join(source).display());
        collect(&root.join(source), &mut files)?;
    }
    files.sort();
    let mut digest = Sha256::new();
    for file in files {
        digest.update(fs::read(file)?);
    }
    let mut sources = String::new();
    for byte in &digest.finalize()[..DIGEST_BYTES] {
        // Writing to a text can't fail.
        let _ = write!(sources, "{byte:02x}");
    }
    println!("cargo::rustc-env=HEATHERTRACK_SOURCES={sources}");
    let log = root.join(".git/logs/HEAD");
    // A file that is missing would make each build run this program again.
    if log.exists() {
        println!("cargo::rerun-if-changed={}", log.display());
    }
    let commit = commit(&root).unwrap_or_else(|| "unknown".to_owned());
    println!("cargo::rustc-env=HEATHERTRACK_COMMIT={commit}");
    Ok(())
}

/// Adds the files at and below a path.
fn collect(path: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    if !path.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    for entry in fs::read_dir(path)? {
        collect(&entry?.path(), files)?;
    }
    Ok(())
}

/// Returns the commit that is checked out, if there is one. The sources may have changed since.
fn commit(root: &Path) -> Option<String> {
    let mut git = Command::new("git");
    let output = git.arg("-C").arg(root).args(["rev-parse", "--short=12", "HEAD"]).output().ok()?;
    let commit = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| commit.trim().to_owned())
}
