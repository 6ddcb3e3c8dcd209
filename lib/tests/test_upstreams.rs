//! The directory of upstreams and entry VMs.

use std::time::Duration;

use leadstage_lib::upstreams::Directory;
use leadstage_lib::upstreams::VmRecord;

fn list(json: &str) -> Vec<VmRecord> {
    serde_json::from_str(json).expect("a list")
}

const VM_LIST: &str = r#"[
    {"id":"e1","role":"engine","hall":"a","address":"127.0.0.1:1","serves":"m","state":"live"},
    {"id":"e2","role":"engine","hall":"a","address":"127.0.0.1:2","serves":"m","state":"live"},
    {"id":"n1","role":"entry","hall":"a","address":"127.0.0.1:3","state":"live"}]"#;

fn usable(directory: &Directory, now: Duration) -> Vec<String> {
    directory.usable("m", now).map(|r| r.id.to_string()).collect()
}

/// A leaving notice takes effect at once and stays in effect while an outdated VM list still reports `live`.
#[test]
fn test_leaving_notice_overrides_outdated_list() {
    let mut directory = Directory::default();
    directory.on_list(list(VM_LIST), Duration::ZERO);
    assert_eq!(usable(&directory, Duration::ZERO), ["e1", "e2"]);
    assert!(directory.on_leaving(&"e1".into(), Duration::from_secs(1)));
    assert!(!directory.on_leaving(&"e1".into(), Duration::from_secs(1)), "the second notice counts as new");
    for second in 1..900 {
        directory.on_list(list(VM_LIST), Duration::from_secs(second));
        assert_eq!(usable(&directory, Duration::from_secs(second)), ["e2"]);
    }
}

#[test]
fn test_failed_upstream_is_avoided_for_two_seconds() {
    let mut directory = Directory::default();
    directory.on_list(list(VM_LIST), Duration::ZERO);
    directory.on_failed(&"e1".into(), Duration::ZERO);
    assert_eq!(usable(&directory, Duration::from_secs(1)), ["e2"]);
    assert_eq!(usable(&directory, Duration::from_secs(2)), ["e1", "e2"]);
}

#[test]
fn test_unlisted_vms_are_returned() {
    let mut directory = Directory::default();
    directory.on_list(list(VM_LIST), Duration::ZERO);
    let gone = directory.on_list(list("[]"), Duration::from_secs(1));
    assert_eq!(gone.len(), 3);
    assert!(directory.get("e1").is_none());
}
