//! Which nodes follow the store.

use std::time::Duration;

use leadstage_lib::gateway::watchers::StoreState;
use leadstage_lib::gateway::watchers::WATCHERS;
use leadstage_lib::gateway::watchers::WatchRole;
use leadstage_lib::gateway::watchers::Watchers;
use leadstage_lib::ids::VmId;

const LATER: Duration = Duration::from_secs(20);

fn nodes(count: usize) -> Vec<VmId> {
    (0..count).map(|n| VmId::from(format!("10.0.0.{n}:7200"))).collect()
}

/// Who watches among `nodes` if each has heard these pulses (watcher, whether the store
/// answers it) just before `LATER`.
fn watching(nodes: &[VmId], pulses: &[(usize, bool)]) -> Vec<usize> {
    let mut watching = Vec::new();
    for (at, own) in nodes.iter().enumerate() {
        let mut view = Watchers::new(own.clone());
        for (watcher, answers) in pulses {
            let state = if *answers { StoreState::Answers } else { StoreState::Away };
            view.on_pulse(&nodes[*watcher], 1, state, LATER);
        }
        if view.role(nodes.iter().filter(|node| *node != own), |_| true, LATER).is_some() {
            watching.push(at);
        }
    }
    watching
}

#[test]
fn test_a_few_watch_whatever_the_size() {
    for count in [9, 85, 410] {
        let nodes = nodes(count);
        let first = watching(&nodes, &[(0, true), (1, true), (2, true)]);
        let pulses: Vec<_> = first.iter().map(|n| (*n, true)).collect();
        assert_eq!(watching(&nodes, &pulses).len(), WATCHERS, "{count} nodes");
    }
}

#[test]
fn test_when_the_store_answers_no_watcher_only_the_next_few_try() {
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
fn test_a_node_that_hears_nothing_is_on_its_own() {
    let nodes = nodes(40);
    let alone = |now| {
        let views = nodes.iter().map(|own| Watchers::new(own.clone()));
        let mut views: Vec<Watchers> = views.collect();
        views
            .iter_mut()
            .zip(&nodes)
            .filter_map(|(view, own)| view.role(nodes.iter().filter(|node| *node != own), |_| true, now))
            .count()
    };
    assert_eq!(alone(Duration::from_millis(100)), 0, "it listens first");
    assert!(alone(Duration::from_secs(2)) <= 2 * WATCHERS);
    let (some, all) = (alone(Duration::from_millis(3_500)), alone(Duration::from_secs(5)));
    assert!(some > 2 * WATCHERS && some < 40, "spread over a second: {some}");
    assert_eq!(all, 40);
}

/// Whoever knows of nobody else has no turn to wait for: it follows the store as soon as it has listened.
#[test]
fn test_a_node_that_knows_of_nobody_does_not_wait() {
    for own in nodes(40) {
        let mut view = Watchers::new(own);
        assert_eq!(view.role(std::iter::empty(), |_| true, Duration::from_millis(500)), None);
        let role = view.role(std::iter::empty(), |_| true, Duration::from_millis(700));
        assert_eq!(role, Some(WatchRole::First));
    }
}

#[test]
fn test_pulses_are_news_once_and_age() {
    let nodes = nodes(2);
    let mut view = Watchers::new(nodes[0].clone());
    assert!(view.on_pulse(&nodes[1], 5, StoreState::Answers, LATER));
    assert!(!view.on_pulse(&nodes[1], 5, StoreState::Answers, LATER));
    assert!(!view.on_pulse(&nodes[1], 4, StoreState::Away, LATER));
    assert!(!view.on_pulse(&nodes[0], 9, StoreState::Answers, LATER), "its own, come back");
    assert!(view.store_answers(LATER + Duration::from_secs(1)));
    assert!(!view.store_answers(LATER + Duration::from_secs(2)));
}

/// One missed answer is enough to look out for leaving engines, long before the store is
/// taken to be away; the next answer to anyone ends it.
#[test]
fn test_a_late_answer_is_doubted_at_once_and_until_the_next_one() {
    let nodes = nodes(3);
    let ms = |ms| LATER + Duration::from_millis(ms);
    let mut view = Watchers::new(nodes[0].clone());
    view.on_pulse(&nodes[1], 1, StoreState::Answers, ms(0));
    assert!(!view.doubts_store(ms(50)));
    view.on_pulse(&nodes[2], 1, StoreState::Late, ms(100));
    assert!(view.doubts_store(ms(100)) && view.store_answers(ms(100)));
    view.on_own_pulse(StoreState::Answers, ms(200));
    assert!(!view.doubts_store(ms(200)));
    view.on_pulse(&nodes[1], 2, StoreState::Away, ms(300));
    assert!(view.doubts_store(ms(1_500)), "nobody had an answer since");
    assert!(!view.doubts_store(ms(1_700)), "a doubt that nobody renews ends");
}

/// A watcher that finds the store late still follows it: nobody takes over.
#[test]
fn test_a_late_store_is_followed_by_the_same_nodes() {
    let nodes = nodes(9);
    let first = watching(&nodes, &[(0, true), (1, true), (2, true)]);
    for own in nodes.iter().enumerate().filter(|(at, _)| !first.contains(at)).map(|(_, own)| own) {
        let mut view = Watchers::new(own.clone());
        for watcher in &first {
            view.on_pulse(&nodes[*watcher], 1, StoreState::Late, LATER);
        }
        assert_eq!(view.role(nodes.iter().filter(|node| *node != own), |_| true, LATER), None);
    }
}

/// One watcher learns of each change at once, the others gather; if the store fails it or it
/// falls silent, the next one takes its place.
#[test]
fn test_the_first_watcher_that_works_is_first() {
    let nodes = nodes(9);
    let firsts = |pulses: &[(usize, bool)]| {
        let mut firsts = Vec::new();
        for (at, own) in nodes.iter().enumerate() {
            let mut view = Watchers::new(own.clone());
            for (watcher, answers) in pulses {
                let state = if *answers { StoreState::Answers } else { StoreState::Away };
                view.on_pulse(&nodes[*watcher], 1, state, LATER);
            }
            if view.role(nodes.iter().filter(|node| *node != own), |_| true, LATER) == Some(WatchRole::First)
            {
                firsts.push(at);
            }
        }
        firsts
    };
    let all: Vec<(usize, bool)> = (0..nodes.len()).map(|at| (at, true)).collect();
    let [first] = firsts(&all)[..] else { panic!("one first") };
    let turned_away: Vec<(usize, bool)> = all.iter().map(|(at, _)| (*at, *at != first)).collect();
    let [_, second] = firsts(&turned_away)[..] else { panic!("it tries on, and the next is first") };
    let silent: Vec<(usize, bool)> = all.iter().copied().filter(|(at, _)| *at != first).collect();
    assert!(firsts(&silent).contains(&second));
}

/// What the store has changed goes from the watchers to all others: their links should be large.
#[test]
fn test_nodes_with_wide_links_watch_first() {
    for (count, wide) in [(85, 8), (410, 2)] {
        let nodes = nodes(count);
        let has_wide_link = |node: &VmId| nodes[..wide].contains(node);
        let watchers = |pulses: &[(usize, bool)]| -> Vec<usize> {
            let views = nodes.iter().enumerate().filter(|(_, own)| {
                let mut view = Watchers::new((*own).clone());
                for (watcher, _) in pulses {
                    view.on_pulse(&nodes[*watcher], 1, StoreState::Answers, LATER);
                }
                view.role(nodes.iter().filter(|node| node != own), has_wide_link, LATER).is_some()
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

/// The nodes with wide links may stand together behind one cut: whoever still reaches the store must
/// come to follow it.
#[test]
fn test_others_follow_when_the_store_answers_no_node_with_a_wide_link() {
    let (nodes, wide) = (nodes(62), 8);
    let has_wide_link = |node: &VmId| nodes[..wide].contains(node);
    let others = nodes[wide..].iter().filter(|own| {
        let mut view = Watchers::new((*own).clone());
        for node in &nodes[..wide] {
            view.on_pulse(node, 1, StoreState::Away, LATER);
        }
        view.role(nodes.iter().filter(|node| node != own), has_wide_link, LATER).is_some()
    });
    assert!(others.count() > 0, "nobody who may reach the store follows it");
}
