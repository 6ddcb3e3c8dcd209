//! Selection of the nodes that watch the store.

use std::fmt::Write as _;
use std::time::Duration;

use leadstage_lib::gateway::watch_takeover::TakeoverSchedule;
use leadstage_lib::gateway::watchers::Pulse;
use leadstage_lib::gateway::watchers::PulseNumber;
use leadstage_lib::gateway::watchers::StoreState;
use leadstage_lib::gateway::watchers::WATCHERS;
use leadstage_lib::gateway::watchers::WatchRole;
use leadstage_lib::gateway::watchers::Watchers;
use leadstage_lib::ids::Timestamp;
use leadstage_lib::ids::VmId;

const NOW: Duration = Duration::from_secs(20);

/// The smallest bound of a fleet of hundreds of nodes.
fn schedule() -> TakeoverSchedule {
    TakeoverSchedule::new(Duration::from_secs(4), 1e9)
}

fn pulse(number: PulseNumber, state: StoreState, at: Timestamp) -> Pulse {
    Pulse { number, state, at }
}

fn nodes(count: usize) -> Vec<VmId> {
    (0..count).map(|n| VmId::from(format!("10.0.0.{n}:7200"))).collect()
}

/// The indices of the nodes that watch the store if each node received these pulses (watcher, whether the
/// store answers it) at `NOW`.
fn watching(nodes: &[VmId], pulses: &[(usize, bool)]) -> Vec<usize> {
    let mut watching = Vec::new();
    for (at, own) in nodes.iter().enumerate() {
        let mut view = Watchers::new(own.clone(), schedule());
        for (watcher, answers) in pulses {
            let state = if *answers { StoreState::Answers } else { StoreState::Away };
            view.on_pulse(&nodes[*watcher], pulse(1, state, NOW));
        }
        if view.role(nodes.iter().filter(|node| *node != own), |_| true, NOW).is_some() {
            watching.push(at);
        }
    }
    watching
}

#[test]
fn test_number_of_watchers_is_independent_of_fleet_size() {
    for count in [9, 85, 410] {
        let nodes = nodes(count);
        let first = watching(&nodes, &[(0, true), (1, true), (2, true)]);
        let pulses: Vec<_> = first.iter().map(|n| (*n, true)).collect();
        assert_eq!(watching(&nodes, &pulses).len(), WATCHERS, "{count} nodes");
    }
}

#[test]
fn test_only_the_next_group_tries_if_the_store_answers_no_watcher() {
    let nodes = nodes(85);
    let others = [(0, true), (1, true), (2, true)];
    let first: Vec<usize> = {
        let mut found = watching(&nodes, &others);
        for _ in 0..3 {
            let pulses: Vec<_> = found.iter().map(|n| (*n, true)).collect();
            found = watching(&nodes, &pulses);
        }
        found
    };
    let failing: Vec<_> = first.iter().map(|n| (*n, false)).collect();
    assert_eq!(watching(&nodes, &failing).len(), 2 * WATCHERS);
    let one_works: Vec<_> = first.iter().enumerate().map(|(at, n)| (*n, at == 0)).collect();
    assert_eq!(watching(&nodes, &one_works).len(), WATCHERS);
}

#[test]
fn test_all_nodes_watch_in_turn_without_pulses() {
    let nodes = nodes(40);
    let watching_at = |now| {
        let views = nodes.iter().map(|own| Watchers::new(own.clone(), schedule()));
        let mut views: Vec<Watchers> = views.collect();
        views
            .iter_mut()
            .zip(&nodes)
            .filter_map(|(view, own)| view.role(nodes.iter().filter(|node| *node != own), |_| true, now))
            .count()
    };
    assert_eq!(watching_at(Duration::from_millis(100)), 0, "nodes listen first");
    assert!(watching_at(Duration::from_secs(2)) <= 2 * WATCHERS);
    let (some, all) = (watching_at(Duration::from_millis(3_500)), watching_at(Duration::from_secs(5)));
    assert!(some > 2 * WATCHERS && some < 40, "spread over a second: {some}");
    assert_eq!(all, 40);
}

/// A node that knows no other node does not wait for a turn: it watches the store once its listening time is
/// over.
#[test]
fn test_isolated_node_does_not_wait_for_a_turn() {
    for own in nodes(40) {
        let mut view = Watchers::new(own, schedule());
        assert_eq!(view.role(std::iter::empty(), |_| true, Duration::from_millis(500)), None);
        let role = view.role(std::iter::empty(), |_| true, Duration::from_millis(700));
        assert_eq!(role, Some(WatchRole::First));
    }
}

#[test]
fn test_pulses_are_new_once_and_expire() {
    let nodes = nodes(2);
    let mut view = Watchers::new(nodes[0].clone(), schedule());
    assert!(view.on_pulse(&nodes[1], pulse(5, StoreState::Answers, NOW)));
    assert!(!view.on_pulse(&nodes[1], pulse(5, StoreState::Answers, NOW)));
    assert!(!view.on_pulse(&nodes[1], pulse(4, StoreState::Away, NOW)));
    assert!(!view.on_pulse(&nodes[0], pulse(9, StoreState::Answers, NOW)), "its own pulse, forwarded back");
    assert!(view.store_answers(NOW + Duration::from_secs(1)));
    assert!(!view.store_answers(NOW + Duration::from_secs(2)));
}

/// A single missed answer puts the store in doubt, so that engines are polled for their health long before
/// the store is considered away; the next answer to any node ends the doubt.
#[test]
fn test_late_answer_puts_the_store_in_doubt_until_the_next_one() {
    let nodes = nodes(3);
    let ms = |ms| NOW + Duration::from_millis(ms);
    let mut view = Watchers::new(nodes[0].clone(), schedule());
    view.on_pulse(&nodes[1], pulse(1, StoreState::Answers, ms(0)));
    assert!(!view.store_may_be_down(ms(50)));
    view.on_pulse(&nodes[2], pulse(1, StoreState::Late, ms(100)));
    assert!(view.store_may_be_down(ms(100)) && view.store_answers(ms(100)));
    view.on_own_pulse(StoreState::Answers, ms(200));
    assert!(!view.store_may_be_down(ms(200)));
    view.on_pulse(&nodes[1], pulse(2, StoreState::Away, ms(300)));
    assert!(view.store_may_be_down(ms(1_500)), "no node had an answer since");
    assert!(!view.store_may_be_down(ms(1_700)), "doubt expires");
}

/// A watcher that reports the store late continues to watch it, and no other node takes over.
#[test]
fn test_late_store_keeps_its_watchers() {
    let nodes = nodes(9);
    let first = watching(&nodes, &[(0, true), (1, true), (2, true)]);
    for own in nodes.iter().enumerate().filter(|(at, _)| !first.contains(at)).map(|(_, own)| own) {
        let mut view = Watchers::new(own.clone(), schedule());
        for watcher in &first {
            view.on_pulse(&nodes[*watcher], pulse(1, StoreState::Late, NOW));
        }
        assert_eq!(view.role(nodes.iter().filter(|node| *node != own), |_| true, NOW), None);
    }
}

/// One watcher receives each change at once, the others are standbys. If the store does not answer it or it
/// falls silent, the next watcher takes its place.
#[test]
fn test_first_working_watcher_is_first() {
    let nodes = nodes(9);
    let firsts = |pulses: &[(usize, bool)]| {
        let mut firsts = Vec::new();
        for (at, own) in nodes.iter().enumerate() {
            let mut view = Watchers::new(own.clone(), schedule());
            for (watcher, answers) in pulses {
                let state = if *answers { StoreState::Answers } else { StoreState::Away };
                view.on_pulse(&nodes[*watcher], pulse(1, state, NOW));
            }
            if view.role(nodes.iter().filter(|node| *node != own), |_| true, NOW) == Some(WatchRole::First) {
                firsts.push(at);
            }
        }
        firsts
    };
    let all: Vec<(usize, bool)> = (0..nodes.len()).map(|at| (at, true)).collect();
    let [first] = firsts(&all)[..] else { panic!("expected one first watcher") };
    let refused: Vec<(usize, bool)> = all.iter().map(|(at, _)| (*at, *at != first)).collect();
    let [_, second] = firsts(&refused)[..] else {
        panic!("expected the failing first watcher and its successor")
    };
    let silent: Vec<(usize, bool)> = all.iter().copied().filter(|(at, _)| *at != first).collect();
    assert!(firsts(&silent).contains(&second));
}

/// Changes go from the watchers to all other nodes, so watchers should have wide links.
#[test]
fn test_nodes_with_wide_links_watch_first() {
    for (count, wide) in [(85, 8), (410, 2)] {
        let nodes = nodes(count);
        let has_wide_link = |node: &VmId| nodes[..wide].contains(node);
        let watchers = |pulses: &[(usize, bool)]| -> Vec<usize> {
            let views = nodes.iter().enumerate().filter(|(_, own)| {
                let mut view = Watchers::new((*own).clone(), schedule());
                for (watcher, _) in pulses {
                    view.on_pulse(&nodes[*watcher], pulse(1, StoreState::Answers, NOW));
                }
                view.role(nodes.iter().filter(|node| node != own), has_wide_link, NOW).is_some()
            });
            views.map(|(at, _)| at).collect()
        };
        let first = watchers(&[(0, true)]);
        let others = first.iter().filter(|at| **at >= wide).count();
        assert_eq!(
            (first.len(), others),
            (WATCHERS, WATCHERS.saturating_sub(wide)),
            "{count} nodes: {first:?}"
        );
    }
}

/// Guards against an unwatched store when all nodes with wide links are cut off from it together: other nodes
/// that can still reach it must start to watch it.
#[test]
fn test_others_watch_if_the_store_answers_no_node_with_a_wide_link() {
    let (nodes, wide) = (nodes(62), 8);
    let has_wide_link = |node: &VmId| nodes[..wide].contains(node);
    let others = nodes[wide..].iter().filter(|own| {
        let mut view = Watchers::new((*own).clone(), schedule());
        for node in &nodes[..wide] {
            view.on_pulse(node, pulse(1, StoreState::Away, NOW));
        }
        view.role(nodes.iter().filter(|node| node != own), has_wide_link, NOW).is_some()
    });
    assert!(others.count() > 0, "no node that may reach the store watches it");
}

/// Guards against a gap among the nodes that follow the store when those that do are stopped as planned: others
/// take over while these still run.
#[test]
fn test_watchers_that_leave_are_replaced_at_once() {
    for leaving in 1..=WATCHERS {
        let nodes = nodes(9);
        let first = watching(&nodes, &[(0, true), (1, true), (2, true)]);
        let before = watching(&nodes, &first.iter().map(|n| (*n, true)).collect::<Vec<_>>());
        let (left, staying): (Vec<usize>, Vec<usize>) =
            (0..nodes.len()).partition(|n| before[..leaving].contains(n));
        let takes_over = |own: &&usize| {
            let mut view = Watchers::new(nodes[**own].clone(), schedule());
            for watcher in &before {
                view.on_pulse(&nodes[*watcher], pulse(1, StoreState::Answers, NOW));
            }
            let alive = |count: usize| nodes[..count].iter().filter(|node| **node != nodes[**own]);
            view.role(alive(nodes.len()), |_| true, NOW);
            left.iter().for_each(|n| view.on_left(&nodes[*n], NOW));
            let alive = staying.iter().filter(|n| n != own).map(|n| &nodes[*n]);
            view.role(alive, |_| true, NOW + Duration::from_millis(100)).is_some()
        };
        assert_eq!(staying.iter().filter(takes_over).count(), WATCHERS, "{leaving} of {before:?} leave");
    }
}

/// A node that leaves does not begin to watch; one that watches continues until its process ends.
#[test]
fn test_a_leaving_node_begins_no_watch() {
    let mut view = Watchers::new("10.0.0.1:7200".into(), schedule());
    view.leave();
    assert_eq!(view.role(std::iter::empty(), |_| true, NOW), None);
    let mut watcher = Watchers::new("10.0.0.1:7200".into(), schedule());
    assert_eq!(watcher.role(std::iter::empty(), |_| true, NOW), Some(WatchRole::First));
    watcher.leave();
    assert_eq!(watcher.role(std::iter::empty(), |_| true, NOW), Some(WatchRole::First));
}

/// A node that left and started again counts as a watcher again.
#[test]
fn test_a_watcher_that_started_again_counts() {
    let nodes = nodes(2);
    let mut view = Watchers::new(nodes[0].clone(), schedule());
    view.on_left(&nodes[1], NOW);
    view.on_pulse(&nodes[1], pulse(1, StoreState::Answers, NOW));
    assert_eq!(view.fresh_pulses(NOW).count(), 0);
    view.role(nodes[1..].iter(), |_| true, NOW);
    assert_eq!(view.fresh_pulses(NOW).count(), 1);
}

/// Guards against a gap among the nodes that follow the store that is taken for an outage of the store, so that
/// entries which go count as expired.
#[test]
fn test_silent_watchers_are_no_outage() {
    let nodes = nodes(2);
    let ms = |ms| NOW + Duration::from_millis(ms);
    let mut view = Watchers::new(nodes[0].clone(), schedule());
    view.on_pulse(&nodes[1], pulse(1, StoreState::Answers, ms(0)));
    view.on_pulse(&nodes[1], pulse(2, StoreState::Late, ms(100)));
    assert!(!view.store_answers(ms(2_000)));
    assert!(!view.is_store_away(ms(2_000)), "nobody said so");
    view.on_pulse(&nodes[1], pulse(3, StoreState::Away, ms(2_000)));
    assert!(view.is_store_away(ms(2_000)));
    view.on_own_pulse(StoreState::Answers, ms(2_100));
    assert!(!view.is_store_away(ms(5_000)));
    view.on_own_pulse(StoreState::Away, ms(5_000));
    assert!(view.is_store_away(ms(5_000)));
}

/// Guards against a node that stops watching whenever one that the store did not answer asks again: it must not
/// count as working before it has an answer.
#[test]
fn test_a_watcher_that_asks_again_after_a_failure_is_not_working() {
    let nodes = nodes(9);
    let ms = |ms| NOW + Duration::from_millis(ms);
    let first = watching(&nodes, &[(0, true), (1, true), (2, true)]);
    let first = watching(&nodes, &first.iter().map(|n| (*n, true)).collect::<Vec<_>>());
    let states = [
        (ms(0), StoreState::Answers),
        (ms(800), StoreState::Late),
        (ms(1_200), StoreState::Away),
        (ms(2_000), StoreState::Late),
        (ms(2_400), StoreState::Away),
        (ms(3_200), StoreState::Late),
        (ms(3_300), StoreState::Answers),
    ];
    let mut watching = String::new();
    let mut views: Vec<Watchers> = nodes.iter().map(|own| Watchers::new(own.clone(), schedule())).collect();
    for (number, (at, state)) in (1..).zip(states) {
        let watches = |(own, view): (&VmId, &mut Watchers)| {
            for watcher in &first {
                view.on_pulse(&nodes[*watcher], pulse(number, state, at));
            }
            view.role(nodes.iter().filter(|node| *node != own), |_| true, at).is_some()
        };
        let others = nodes.iter().zip(&mut views).enumerate().filter(|(n, _)| !first.contains(n));
        let count = others.map(|(_, view)| watches(view)).filter(|watches| *watches).count();
        writeln!(watching, "{state:?}: {count} others watch").unwrap();
    }
    insta::assert_snapshot!(watching, @r"
    Answers: 0 others watch
    Late: 0 others watch
    Away: 3 others watch
    Late: 3 others watch
    Away: 3 others watch
    Late: 3 others watch
    Answers: 0 others watch
    ");
}

/// A watcher's report: after how many milliseconds, by which watcher, and the state of the store.
type Report = (u64, usize, StoreState);

/// A node's view of the store after reports of its three watchers.
fn view_after(reports: &[Report]) -> Watchers {
    let nodes = nodes(4);
    let mut view = Watchers::new(nodes[0].clone(), schedule());
    let mut numbers = [0; 4];
    for (ms, node, state) in reports {
        numbers[*node] += 1;
        let at = NOW + Duration::from_millis(*ms);
        view.on_pulse(&nodes[*node], pulse(numbers[*node], *state, at));
    }
    view
}

/// A store that turns some nodes away is told from one that answers nobody: a call failed that was made after an
/// answer to another node.
#[test]
fn test_a_store_that_turns_some_nodes_away_is_told_from_an_outage() {
    use StoreState::Answers;
    use StoreState::Away;
    use StoreState::Late;
    let cases: &[(&str, &[Report])] = &[
        ("all fail", &[(0, 1, Answers), (0, 2, Answers), (1_400, 1, Away), (1_450, 2, Away)]),
        (
            "another node is answered",
            &[(0, 1, Answers), (1_000, 1, Late), (1_400, 1, Away), (2_000, 3, Answers)],
        ),
        (
            "the call that fails began before that answer",
            &[(0, 1, Answers), (1_400, 1, Away), (1_850, 1, Late), (2_000, 3, Answers), (2_230, 1, Away)],
        ),
        (
            "a call fails that began after that answer",
            &[(0, 1, Answers), (1_400, 1, Away), (2_000, 3, Answers), (2_240, 1, Late), (2_620, 1, Away)],
        ),
        (
            "a call is refused at once after that answer",
            &[(0, 1, Answers), (1_400, 1, Away), (2_000, 3, Answers), (2_130, 1, Away)],
        ),
        (
            "nodes are answered again that were not",
            &[
                (0, 1, Answers),
                (0, 2, Answers),
                (1_400, 1, Away),
                (1_400, 2, Away),
                (2_000, 1, Answers),
                (2_640, 2, Away),
            ],
        ),
    ];
    let mut text = String::new();
    for (name, reports) in cases {
        let view = view_after(reports);
        let at = NOW + Duration::from_millis(reports.last().unwrap().0);
        let (away, partly) = (view.is_store_away(at), view.is_store_partly_away(at));
        writeln!(text, "{name}: away {away}, partly {partly}").unwrap();
    }
    insta::assert_snapshot!(text, @r"
    all fail: away true, partly false
    another node is answered: away false, partly false
    the call that fails began before that answer: away false, partly false
    a call fails that began after that answer: away false, partly true
    a call is refused at once after that answer: away false, partly true
    nodes are answered again that were not: away false, partly false
    ");
}

/// Guards against a node that refutes an outage that it saw itself, because another one does not know yet that the
/// store answers again.
#[test]
fn test_an_outage_that_ended_for_this_node_is_no_turning_away() {
    let nodes = nodes(3);
    let ms = |ms| NOW + Duration::from_millis(ms);
    let mut view = Watchers::new(nodes[0].clone(), schedule());
    view.on_own_pulse(StoreState::Away, ms(0));
    assert!(view.is_own_unanswered());
    view.on_pulse(&nodes[1], pulse(1, StoreState::Answers, ms(1_000)));
    view.on_own_regained(ms(1_100));
    view.on_pulse(&nodes[2], pulse(1, StoreState::Away, ms(1_600)));
    assert!(!view.is_store_partly_away(ms(1_600)));
    view.on_own_pulse(StoreState::Answers, ms(1_700));
    assert!(!view.is_own_unanswered());
}

/// Guards against a node that was turned away, takes that for an outage and keeps replicas whose entries were removed.
#[test]
fn test_a_node_that_was_turned_away_saw_no_outage() {
    let nodes = nodes(2);
    let ms = |ms| NOW + Duration::from_millis(ms);
    let other_answers = |view: &mut Watchers, number, at| {
        view.on_pulse(&nodes[1], pulse(number, StoreState::Answers, at));
    };

    let mut view = Watchers::new(nodes[0].clone(), schedule());
    other_answers(&mut view, 1, ms(0));
    other_answers(&mut view, 2, ms(800));
    view.on_own_pulse(StoreState::Away, ms(1_000));
    other_answers(&mut view, 3, ms(1_600));
    assert!(!view.on_own_regained(ms(1_700)), "the store answered another node meanwhile");

    let mut view = Watchers::new(nodes[0].clone(), schedule());
    other_answers(&mut view, 1, ms(0));
    view.on_own_pulse(StoreState::Away, ms(1_000));
    other_answers(&mut view, 2, ms(1_100));
    assert!(view.on_own_regained(ms(1_200)), "it answered nobody for a second");

    other_answers(&mut view, 3, ms(2_000));
    view.on_own_pulse(StoreState::Away, ms(2_100));
    view.on_own_pulse(StoreState::Away, ms(4_000));
    other_answers(&mut view, 4, ms(4_100));
    assert!(view.on_own_regained(ms(4_200)), "an outage began after the node had been turned away");
}
