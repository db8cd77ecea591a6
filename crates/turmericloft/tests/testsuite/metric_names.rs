//! Names of metrics in the sources.

use std::{fs, path::Path};

/// Lines below `dir` that name a metric with a literal instead of an entry of the table.
fn literal_names(dir: &Path, found: &mut Vec<String>) {
    for entry in fs::read_dir(dir).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            literal_names(&path, found);
            continue;
        }
        let text = fs::read_to_string(&path).expect("UTF-8");
        let macros = ["counter!(\"", "gauge!(\"", "histogram!(\""];
        let lines = text
            .lines()
            .filter(|l| macros.iter().any(|m| l.contains(m)));
        found.extend(lines.map(|l| format!("{}: {l}", path.display())));
    }
}

/// A metric that is not in the table has no help and is not on the page for operators.
#[test]
fn metrics_are_named_by_the_table() {
    let mut found = Vec::new();
    literal_names(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut found,
    );
    assert_eq!(found, Vec::<String>::new());
}
