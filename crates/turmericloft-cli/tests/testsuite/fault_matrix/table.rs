//! Prints the results of the matrix as a table.

use super::cell::{CellResult, Injection};

/// Prints a line for each cell: kind of id, faults with their points, number of runs, outcome of the
/// first copy, distinct outcomes of the resends.
pub fn print_table(results: &[CellResult]) {
    println!("{:<8} {:<64} runs first / resends", "naming", "faults");
    for result in results {
        let describe = |i: &Injection| format!("{} at {:?}", i.fault, i.point);
        let faults: Vec<_> = result.cell.injections.iter().map(describe).collect();
        let note = if result.all_injected() {
            ""
        } else {
            "  (not all reached)"
        };
        let id_kind = result.cell.id_kind.to_string();
        println!(
            "{id_kind:<8} {:<64} {}{note}",
            faults.join(", "),
            result.summary()
        );
    }
    let not_injected = results.iter().filter(|r| !r.all_injected()).count();
    println!(
        "{} cells, {not_injected} with a fault not reached",
        results.len()
    );
}
