//! Locks whose holder panicked.

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::path::Path;
use std::sync::Mutex;
use std::sync::RwLock;

use crate::locks;

/// Panics inside `hold`, as code that holds a lock may.
fn panic_in(hold: impl FnOnce()) {
    assert!(catch_unwind(AssertUnwindSafe(hold)).is_err(), "the holder panics");
}

/// Guards against one panic that ends each later holder of the lock.
#[test]
fn test_a_mutex_is_usable_after_its_holder_panicked() {
    let mutex = Mutex::new(1);
    panic_in(|| {
        let mut held = locks::lock(&mutex);
        *held = 2;
        panic!("while it is held");
    });
    assert!(mutex.is_poisoned());
    *locks::lock(&mutex) += 1;
    assert_eq!(*locks::lock(&mutex), 3);
    assert!(!mutex.is_poisoned(), "it is reported once");
}

#[test]
fn test_a_read_write_lock_is_usable_after_its_holder_panicked() {
    let holders: [fn(&RwLock<i32>) -> i32; 2] = [|lock| *locks::read(lock), |lock| *locks::write(lock)];
    for first in holders {
        let lock = RwLock::new(1);
        panic_in(|| {
            let mut held = locks::write(&lock);
            *held = 2;
            panic!("while it is held");
        });
        assert_eq!(first(&lock), 2);
        *locks::write(&lock) += 1;
        assert_eq!(*locks::read(&lock), 3);
        assert!(!lock.is_poisoned(), "it is reported once");
    }
}

/// Guards against further locks that end the process after a panic of an earlier holder.
#[test]
fn test_no_lock_is_expected_to_be_sound() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut folders = vec![root.join("src"), root.join("../platform/src"), root.join("../lib/src")];
    let mut found = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("a source directory") {
            let path = entry.expect("readable").path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let text = std::fs::read_to_string(&path).expect("readable");
            let lines = text.lines().filter(|line| {
                [".lock()", ".read()", ".write()"].iter().any(|call| {
                    line.contains(&format!("{call}.expect(")) || line.contains(&format!("{call}.unwrap("))
                })
            });
            found.extend(lines.map(|line| format!("{}: {}", path.display(), line.trim())));
        }
    }
    assert!(found.is_empty(), "{}", found.join("\n"));
}
