//! The matrix as it is printed.

use super::cell::{Injection, Tried};

/// Prints a line for each cell: naming, points with faults, runs, what the first copy was told,
/// what its resends were told.
pub fn print_table(tried: &[Tried]) {
    println!("{:<8} {:<64} runs first / resends", "naming", "faults");
    for t in tried {
        let name = |i: &Injection| format!("{} at {:?}", i.fault, i.point);
        let faults: Vec<_> = t.cell.injections.iter().map(name).collect();
        let missed = if t.all_injected() {
            ""
        } else {
            "  (not all reached)"
        };
        let naming = t.cell.naming.to_string();
        println!(
            "{naming:<8} {:<64} {}{missed}",
            faults.join(", "),
            t.summary()
        );
    }
    let missed = tried.iter().filter(|t| !t.all_injected()).count();
    println!("{} cells, {missed} with a fault not reached", tried.len());
}
