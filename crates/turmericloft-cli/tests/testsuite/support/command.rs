//! Running a program to its end.

use std::{fmt::Write, path::Path, process::Command};

/// What a program prints, with its exit code. `folder` is its working directory.
pub fn run(program: &str, folder: &Path, args: &[&str]) -> String {
    let output = Command::new(program)
        .args(args)
        .current_dir(folder)
        .env_remove("COLUMNS")
        .output()
        .expect("the program starts");
    let mut text = String::new();
    let code = output.status.code().expect("the program exits");
    let _ = writeln!(text, "exit code: {code}");
    for (name, bytes) in [("stdout", &output.stdout), ("stderr", &output.stderr)] {
        if !bytes.is_empty() {
            let _ = write!(text, "{name}:\n{}", String::from_utf8_lossy(bytes));
        }
    }
    text
}
