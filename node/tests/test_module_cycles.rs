//! Modules have no cyclic dependencies: a module does not depend on one that depends on it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

/// The modules that each module of a directory uses, by path below the crate's root.
type Uses = BTreeMap<String, BTreeSet<String>>;

/// Reads the source files below `folder` of a crate.
fn read_sources(krate: &Path, folder: &str, sources: &mut BTreeMap<String, String>) {
    let entries = std::fs::read_dir(krate.join("src").join(folder)).expect("a source directory");
    for entry in entries {
        let path = entry.expect("readable").path();
        let name = path.file_stem().expect("a file name").to_string_lossy().into_owned();
        let module = if folder.is_empty() { name } else { format!("{folder}/{name}") };
        if path.is_dir() {
            read_sources(krate, &module, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.insert(module, std::fs::read_to_string(&path).expect("readable"));
        }
    }
}

/// The module that the path of a `use` line refers to: the longest prefix of the path that is among
/// `sources`, so that items and nested modules count as the module whose file holds them.
fn module_of(path: &str, sources: &BTreeMap<String, String>) -> Option<String> {
    let mut parts: Vec<&str> = path.split("::").collect();
    while !parts.is_empty() {
        let module = parts.join("/");
        if sources.contains_key(&module) {
            return Some(module);
        }
        parts.pop();
    }
    None
}

fn uses(sources: &BTreeMap<String, String>) -> Uses {
    let mut uses = Uses::new();
    for (module, text) in sources {
        let paths = text.lines().filter_map(|line| line.strip_prefix("use crate::"));
        let used = paths.filter_map(|path| module_of(path.trim_end_matches(';'), sources));
        let others = used.filter(|other| other != module);
        uses.insert(module.clone(), others.collect());
    }
    uses
}

/// The modules that are part of a cycle or depend on one: repeatedly removes modules that use no remaining
/// module.
fn modules_in_cycles(mut uses: Uses) -> BTreeSet<String> {
    loop {
        let remaining: BTreeSet<String> = uses.keys().cloned().collect();
        let before = uses.len();
        uses.retain(|_, used| used.iter().any(|other| remaining.contains(other)));
        if uses.len() == before {
            return remaining;
        }
    }
}

#[test]
fn test_modules_have_no_cyclic_dependencies() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the workspace root");
    for (krate, folder) in [("lib", "gateway"), ("node", "gateway"), ("platform", "")] {
        let mut sources = BTreeMap::new();
        read_sources(&root.join(krate), folder, &mut sources);
        assert!(sources.len() > 5, "{krate}: too few source files in {folder:?}");
        let cycles = modules_in_cycles(uses(&sources));
        assert!(cycles.is_empty(), "{krate}: cyclic dependencies between {cycles:?}");
    }
}

#[test]
fn test_a_cycle_is_found() {
    let text = |uses: &str| format!("//! A module.\n\n{uses}\n");
    let sources = BTreeMap::from([
        ("a".to_owned(), text("use crate::b::B;")),
        ("b".to_owned(), text("use crate::c::d::D;")),
        ("c/d".to_owned(), text("use crate::a::A;")),
        ("e".to_owned(), text("use std::fmt;")),
    ]);
    assert_eq!(modules_in_cycles(uses(&sources)), BTreeSet::from(["a", "b", "c/d"].map(str::to_owned)));
}
