//! Nodes that are stopped and started again and again, with a reload in each stop: does one stand still?

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::config;
use crate::fleet;
use crate::fleet::Fleet;
use crate::has_trouble;
use crate::record::Record;
use crate::store::Store;

const NODES: usize = 6;
const ROUNDS: usize = 25;
/// `stopMs` is 8,000; what the entry saw was some 30 s.
const END_LIMIT: Duration = Duration::from_secs(12);

pub fn run(record: &Record) -> Verdict {
    let net = fleet::own_net();
    let (store, address) = Store::start(&format!("{net}.1"));
    store.put("config", "main", &config::text("", ""));
    let mut fleet = Fleet::new(&net, address);
    for _ in 0..NODES {
        fleet.add("zone-a");
    }
    let mut still = 0;
    let mut longest = (Duration::ZERO, Duration::ZERO);
    let rounds = if has_trouble() { ROUNDS } else { 1 };
    for round in 0..rounds {
        let began = Instant::now();
        if !fleet.start_all(round == 0) {
            still += 1;
            record.say(format!("round {round}: a node was not ready after 20 s"));
        }
        longest.0 = longest.0.max(began.elapsed());
        let began = Instant::now();
        for node in &fleet.nodes {
            node.signal("TERM");
            thread::sleep(Duration::from_millis(2 * round as u64));
            node.hang_up();
        }
        let until = Instant::now() + END_LIMIT;
        let mut left: Vec<usize> = (0..NODES).collect();
        while !left.is_empty() && Instant::now() < until {
            left.retain(|at| fleet.nodes[*at].ended().is_none());
            thread::sleep(Duration::from_millis(5));
        }
        longest.1 = longest.1.max(began.elapsed());
        if !left.is_empty() {
            still += 1;
            record.say(format!("round {round}: nodes {left:?} have not ended"));
        }
        fleet.nodes.iter_mut().for_each(fleet::Node::kill);
    }
    let (start, end) = longest;
    let summary = format!(
        "{rounds} rounds of {NODES} nodes, {still} with a node that stood still; ready after {:.1} s, ended after {:.1} s at most",
        start.as_secs_f64(),
        end.as_secs_f64(),
    );
    if still > 0 { Verdict::Broken(summary) } else { Verdict::Held(summary) }
}
