//! Takes in which halls are closed, from the store or from other nodes, and tells others.
//!
//! Each message between nodes tells all closed halls, so that whoever hears of any node knows them. What
//! is new is told at once beside that, and a few times again: the store gives five seconds, and a request that was
//! placed just before is on its way for a part of them.

use std::sync::Arc;

use leadstage_lib::gateway::closed_halls::ClosedHalls;
use leadstage_lib::gateway::closed_halls::ClosedHallsTracker;
use leadstage_lib::gateway::closed_halls::HallChange;
use leadstage_lib::gateway::rebroadcast::Rebroadcast;
use leadstage_lib::ids::HallId;
use leadstage_platform::store::Change;
use leadstage_platform::store::Listed;
use log::info;
use log::warn;

use crate::gateway::control::placing::Placing;
use crate::gateway::messages::News;
use crate::gateway::peers::fleet::Fleet;
use crate::gateway::peers::peer_message::PeerMessage;
use crate::gateway::shared::Shared;

/// How a node learnt of it.
#[derive(Clone, Copy, Debug, derive_more::Display)]
enum Source {
    #[display("store")]
    Store,
    #[display("node")]
    Node,
}

/// The way of closed halls into this node, and on to others.
pub struct HallIntake {
    shared: Arc<Shared>,
    book: ClosedHallsTracker,
    rebroadcast: Rebroadcast<HallId>,
}

impl HallIntake {
    /// Nothing has come yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        HallIntake { shared, book: ClosedHallsTracker::default(), rebroadcast: Rebroadcast::default() }
    }

    /// The store told of the closed halls.
    pub fn on_store_news(&mut self, placing: &mut Placing, fleet: &Fleet, news: News<HallId>) {
        let told = match news {
            News::Listed { list: Listed { items, at, .. }, .. } => {
                ClosedHalls { at, halls: items.into_iter().collect() }
            }
            News::Changed(changes) => {
                let halls = changes.events.into_iter().filter_map(|event| match event {
                    Change::Put(hall) => Some(HallChange::Closed(hall)),
                    Change::Gone(name) => {
                        self.book.on_opened(&name);
                        Some(HallChange::Opened(name.into()))
                    }
                    Change::Unreadable(_) => None,
                });
                let halls: Vec<HallChange> = halls.collect();
                self.book.stored().after(halls, changes.at)
            }
        };
        if self.take(placing, told, Source::Store) {
            fleet.notify(&PeerMessage::HallsChanged);
        }
    }

    /// Another node told of them.
    pub fn on_told(&mut self, placing: &mut Placing, fleet: &Fleet, told: ClosedHalls) {
        if self.take(placing, told, Source::Node) {
            fleet.forward(&PeerMessage::HallsChanged);
        }
    }

    /// Tells news again. Each node that tells them on once may miss a node whose messages get lost: of 2,000 modelled
    /// series of changes, with a third of the messages lost, 13 left a node without them for 5 s, none since.
    pub fn tick(&mut self, placing: &mut Placing, fleet: &Fleet) {
        self.publish(placing, Source::Store);
        if !self.rebroadcast.take_due(self.shared.now()).is_empty() {
            fleet.forward(&PeerMessage::HallsChanged);
        }
    }

    /// Returns whether it changed anything.
    fn take(&mut self, placing: &mut Placing, mut told: ClosedHalls, source: Source) -> bool {
        // Nearly all that nodes tell is known.
        if told.at <= self.book.stored().at {
            return false;
        }
        let beyond = told.truncate();
        if beyond > 0 {
            warn!(event = "halls_left_out", halls = beyond; "more halls are closed than there can be");
        }
        self.book.take(told, self.shared.now());
        self.publish(placing, source)
    }

    /// Publishes the halls that are closed now; returns whether others were before.
    fn publish(&mut self, placing: &mut Placing, source: Source) -> bool {
        let known = self.shared.closed_halls();
        let halls = self.book.in_force(self.shared.now());
        if *known == halls {
            return false;
        }
        let (at, changes) = (halls.at, known.changes_to(&halls));
        self.shared.set_closed_halls(halls);
        for change in &changes {
            let (HallChange::Closed(hall) | HallChange::Opened(hall)) = change;
            self.rebroadcast.on_update(hall.clone());
            match change {
                HallChange::Closed(hall) => {
                    info!(event = "hall_closed", hall = &**hall, at, by:% = source; "a hall's replicas get nothing new")
                }
                HallChange::Opened(hall) => {
                    info!(event = "hall_opened", hall = &**hall, at, by:% = source; "a hall's replicas may get requests again");
                    placing.knowledge.on_hall_opened(hall);
                }
            }
        }
        if !changes.is_empty() {
            // Who waits may have to be told, or can go on.
            placing.settle();
        }
        !changes.is_empty()
    }
}
