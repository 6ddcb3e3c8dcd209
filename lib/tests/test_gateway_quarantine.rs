//! What is quarantined for given ends of replicas.

use leadstage_lib::gateway::crash_ledger::CrashLedger;
use leadstage_lib::gateway::crash_ledger::MAX_ENDS;
use leadstage_lib::gateway::prompt_parts::PartId;
use leadstage_lib::gateway::quarantine::Quarantine;
use leadstage_lib::gateway::suspect::SuspectName;
use leadstage_lib::ids::UnixMillis;

use crate::test_gateway_crash_ledger::replica;
use crate::test_gateway_crash_ledger::request;

const NOW: UnixMillis = 1_800_000_000_000;

/// The names of the parts of a prompt that an organisation sends.
fn parts(organisation: &str, names: &[&str]) -> Vec<SuspectName> {
    let service = "model".into();
    let names_of = |name: &&str| {
        let part = PartId::of(name);
        [SuspectName::of_part(&service, organisation, part), SuspectName::of_shared_part(&service, part)]
    };
    names.iter().flat_map(names_of).collect()
}

/// A ledger, and the number of replicas that have ended.
#[derive(Default)]
struct Fleet {
    ledger: CrashLedger,
    ended: usize,
}

impl Fleet {
    /// Ends one more replica under suspects.
    fn end(&mut self, suspects: &[SuspectName]) {
        for suspect in suspects {
            self.ledger.on_end(*suspect, replica(self.ended), NOW + self.ended as UnixMillis);
        }
        self.ended += 1;
    }

    fn serve(&mut self, suspects: &[SuspectName]) {
        for suspect in suspects {
            self.ledger.on_served(&suspect.fingerprint);
            self.ledger.clear(suspect.fingerprint);
        }
    }

    fn quarantined(&self) -> String {
        let table = self.ledger.table();
        let names = |quarantine: &Quarantine| {
            let names = quarantine.names.iter().map(|name| match name.kind.part() {
                Some(_) => format!("{:?}", name.kind),
                None => "Request".to_owned(),
            });
            let mut names: Vec<String> = names.collect();
            names.sort();
            names.join(" + ")
        };
        let mut rows: Vec<String> = table.quarantines().iter().map(names).collect();
        rows.sort();
        if rows.is_empty() { "nothing".to_owned() } else { rows.join("; ") }
    }

    fn refuses(&self, suspects: &[SuspectName]) -> bool {
        self.ledger.table().quarantine_of(suspects).is_some()
    }
}

#[test]
fn test_the_part_at_all_ends_explains_them() {
    let mut fleet = Fleet::default();
    let mut rows = Vec::new();
    for beside in ["a", "b", "c"] {
        fleet.end(&parts("org", &["f", "bad", beside]));
        fleet.serve(&parts("org", &["f"]));
        rows.push(fleet.quarantined());
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
    nothing
    nothing
    Part(00000bad) + SharedPart(00000bad)
    ");
    assert!(fleet.refuses(&parts("org", &["f", "bad", "d"])) && !fleet.refuses(&parts("org", &["f", "a"])));
    assert!(!fleet.refuses(&parts("other", &["bad"])), "one organisation does not quarantine another's part");
}

/// A part that has been served is not blamed, although it was also at another end.
#[test]
fn test_a_part_that_was_served_is_blamed_last() {
    let mut fleet = Fleet::default();
    fleet.serve(&parts("org", &["f"]));
    fleet.end(&parts("org", &["f"]));
    parts("org", &["f"]).iter().for_each(|name| fleet.ledger.on_served(&name.fingerprint));
    (0..4).for_each(|_| fleet.end(&parts("org", &["f", "bad"])));
    insta::assert_snapshot!(fleet.quarantined(), @"Part(00000bad) + SharedPart(00000bad)");
    assert!(!fleet.refuses(&parts("org", &["f"])));
}

#[test]
fn test_a_part_that_was_served_and_crashes_replicas_since_is_quarantined_at_the_fifth_end() {
    let mut fleet = Fleet::default();
    fleet.end(&parts("org", &["bad"]));
    parts("org", &["bad"]).iter().for_each(|name| fleet.ledger.on_served(&name.fingerprint));
    (0..3).for_each(|_| fleet.end(&parts("org", &["bad"])));
    assert!(!fleet.refuses(&parts("org", &["bad"])));
    fleet.end(&parts("org", &["bad"]));
    assert!(fleet.refuses(&parts("org", &["bad"])));
}

#[test]
fn test_parts_that_are_always_together_are_quarantined_together() {
    let mut fleet = Fleet::default();
    (0..3).for_each(|_| fleet.end(&parts("org", &["ae", "bad"])));
    let together = fleet.quarantined();
    assert!(!fleet.refuses(&parts("org", &["ae"])) && !fleet.refuses(&parts("org", &["bad"])));
    fleet.end(&parts("org", &["bad"]));
    insta::assert_snapshot!(format!("{together}\n{}", fleet.quarantined()), @r"
    Part(000000ae) + Part(00000bad) + SharedPart(000000ae) + SharedPart(00000bad)
    Part(00000bad) + SharedPart(00000bad)
    ");
    assert!(!fleet.refuses(&parts("org", &["ae"])));
    // More ends than are kept do not make both equal again.
    (0..2 * MAX_ENDS).for_each(|_| fleet.end(&parts("org", &["bad"])));
    assert!(fleet.refuses(&parts("org", &["bad"])) && !fleet.refuses(&parts("org", &["ae"])));
}

#[test]
fn test_a_part_of_several_organisations_is_quarantined_for_all() {
    let mut fleet = Fleet::default();
    ["org-a", "org-b", "org-a"].iter().for_each(|org| fleet.end(&parts(org, &["bad"])));
    insta::assert_snapshot!(fleet.quarantined(), @"SharedPart(00000bad)");
    assert!(fleet.refuses(&parts("org-c", &["bad"])));
}

/// Two parts that crash the same replicas are told apart by a single end.
#[test]
fn test_a_part_that_another_one_nearly_explains_is_quarantined_too() {
    let mut fleet = Fleet::default();
    (0..4).for_each(|_| fleet.end(&parts("org", &["bad", "bad1"])));
    fleet.end(&parts("org", &["bad"]));
    assert!(!fleet.refuses(&parts("org", &["bad1"])));
    fleet.end(&parts("org", &["bad1"]));
    insta::assert_snapshot!(fleet.quarantined(), @"Part(00000bad) + SharedPart(00000bad); Part(0000bad1) + SharedPart(0000bad1)");
}

#[test]
fn test_a_request_that_repeats_is_quarantined_by_itself() {
    let mut fleet = Fleet::default();
    let crashing = [parts("org", &["ae"]), vec![request(1)]].concat();
    (0..3).for_each(|_| fleet.end(&crashing));
    assert_eq!(fleet.quarantined(), "Request");
    assert!(fleet.refuses(&crashing) && !fleet.refuses(&parts("org", &["ae"])));
}

/// A stream may move from replica to replica just before each crashes on a part of other requests.
#[test]
fn test_a_request_beside_crashing_ones_is_released_when_they_go_on_without_it() {
    let mut fleet = Fleet::default();
    (0..3).for_each(|_| fleet.end(&[parts("org", &["bad"]), vec![request(1)]].concat()));
    assert!(fleet.refuses(&[request(1)]));
    fleet.end(&parts("org", &["bad"]));
    assert!(!fleet.refuses(&[request(1)]) && fleet.refuses(&parts("org", &["bad"])));
}
