//! Sessions of `turmericloft-bench` whose figures depend on the seed alone.

mod fleet;
mod worth;

use std::process::{Command, Output};

/// Runs the program with these arguments.
fn run(args: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_turmericloft-bench"))
        .args(args)
        .output();
    output.expect("the program runs")
}

/// The program's standard output. Fails if the program does.
fn output(args: &[&str]) -> String {
    let output = run(args);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{args:?}: {stderr}");
    String::from_utf8(output.stdout).expect("UTF-8")
}
