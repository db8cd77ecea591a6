//! Runs a program and captures its output.

use std::{fmt::Write, path::Path, process::Command};

/// Runs a program in the working directory `folder` and returns its exit code, standard output and
/// standard error as one text. `COLUMNS` is unset, because the programs wrap their help text at
/// that width.
pub fn run(program: &str, folder: &Path, args: &[&str]) -> String {
    let output = Command::new(program)
        .args(args)
        .current_dir(folder)
        .env_remove("COLUMNS")
        .output()
        .expect("the program starts");
    let mut text = String::new();
    let code = output.status.code().expect("the program exits by itself");
    let _ = writeln!(text, "exit code: {code}");
    for (name, bytes) in [("stdout", &output.stdout), ("stderr", &output.stderr)] {
        if !bytes.is_empty() {
            let _ = write!(text, "{name}:\n{}", String::from_utf8_lossy(bytes));
        }
    }
    text
}
