//! Result codes and their table in docs/CODES.md.

use std::collections::BTreeSet;

use leadstage_lib::code::Code;
use leadstage_lib::code::Ran;
use leadstage_lib::code::markdown_table;

/// Regenerate with `UPDATE_DOCS=1 cargo test -p leadstage-lib test_table_in_docs`.
#[test]
fn test_table_in_docs() {
    let path = format!("{}/../docs/CODES.md", env!("CARGO_MANIFEST_DIR"));
    let head = "# Result codes\n\nMade from `lib/src/code.rs`; a test fails when the two differ.\nFamilies: 1000 done; 2000 not run for the caller's reason, 2100 not run for ours; 3000 outcome unknown;\n4000 streams that had begun. \"Not run\" is said only where not a byte can have reached an upstream.\n\n";
    let expected = format!("{head}{}", markdown_table());
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(&path, &expected).expect("docs/CODES.md is writable");
    }
    assert_eq!(std::fs::read_to_string(path).expect("docs/CODES.md is readable"), expected);
}

#[test]
fn test_numbers_are_unique_and_in_their_family() {
    let numbers: BTreeSet<u16> = Code::ALL.iter().map(|c| c.number()).collect();
    assert_eq!(numbers.len(), Code::ALL.len());
    for code in Code::ALL {
        let expected = match code.number() / 1_000 {
            1 => Ran::Yes,
            2 => Ran::No,
            3 => Ran::Unknown,
            _ => continue,
        };
        assert_eq!(code.ran(), expected, "{code}");
        assert_eq!(Code::from_number(code.number()), Some(*code));
    }
}
