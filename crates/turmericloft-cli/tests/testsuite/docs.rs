//! Checks that the pages under docs/ agree with the code.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use turmericloft::{core::document::check_document, util::metrics_table::ALL};

/// Folders of the test targets of all packages.
const TEST_TARGETS: [&str; 2] = ["testsuite", "clients"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Words in backticks on a page that contain `::`.
fn paths_named_in(page: &str) -> BTreeSet<String> {
    let text = fs::read_to_string(root().join("docs").join(page)).expect("the page is there");
    let quoted = text.split('`').skip(1).step_by(2);
    quoted
        .filter(|word| word.contains("::"))
        .map(str::to_owned)
        .collect()
}

/// Whether `path`, as `package::module::test`, names a test of that package.
fn is_test(path: &str) -> bool {
    let Some((package, rest)) = path.split_once("::") else {
        return false;
    };
    let Some((module, test)) = rest.rsplit_once("::") else {
        return false;
    };
    let folder = match package {
        "turmericloft-platform" => root().join("platform"),
        _ => root().join("crates").join(package),
    };
    let module = module.replace("::", "/");
    let files = TEST_TARGETS.iter().flat_map(|target| {
        let target = folder.join("tests").join(target);
        [
            target.join(format!("{module}.rs")),
            target.join(format!("{module}/mod.rs")),
        ]
    });
    let declared = format!("fn {test}(");
    files
        .into_iter()
        .any(|f| fs::read_to_string(f).is_ok_and(|text| text.contains(&declared)))
}

#[test]
fn operators_page_names_every_metric() {
    let page = fs::read_to_string(root().join("docs/OPERATIONS.md")).expect("the page is there");
    let missing: Vec<_> = ALL.iter().filter(|m| !page.contains(m.name)).collect();
    assert!(
        missing.is_empty(),
        "docs/OPERATIONS.md leaves out {missing:?}"
    );
}

#[test]
fn example_document_has_no_fault_and_no_warning() {
    let path = root().join("docs/document.example.toml");
    let text = fs::read_to_string(path).expect("the example is there");
    let report = check_document(&text);
    assert!(report.faults.is_empty(), "{}", report.format_faults());
    assert!(report.warnings.is_empty(), "{:?}", report.warnings);
}

#[test]
fn guarantees_name_only_tests_that_exist() {
    let named = paths_named_in("GUARANTEES.md");
    assert!(!named.is_empty());
    let missing: Vec<_> = named.iter().filter(|path| !is_test(path)).collect();
    assert!(
        missing.is_empty(),
        "docs/GUARANTEES.md names no test of these: {missing:?}"
    );
}
