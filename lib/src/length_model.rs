//! Output lengths of one model by organisation, with the model's and a prior as
//! fallbacks. Memory is bounded by the number of organisations that are kept.

use std::collections::HashMap;
use std::rc::Rc;

use crate::ids::OrganisationId;
use crate::survival::LengthCounts;
use crate::survival::SurvivalCurve;

/// Organisations with counts of their own at most; others share the model's.
const MAX_ORGANISATIONS: usize = 1_024;
/// Weight of the model's counts in an organisation's curve, in generations.
const MODEL_WEIGHT: f32 = 50.0;
/// Weight of the prior in the model's curve, in generations.
const PRIOR_WEIGHT: f32 = 8.0;
/// A curve is made anew after this many observations, or after a tenth more.
const REFRESH_LEAST: u32 = 8;

#[derive(Debug)]
struct Learned {
    counts: LengthCounts,
    curve: Rc<SurvivalCurve>,
    stale: u32,
}

impl Learned {
    fn new(curve: Rc<SurvivalCurve>) -> Self {
        Learned { counts: LengthCounts::default(), curve, stale: 0 }
    }

    fn observe(&mut self, tokens: u32, ended: bool) -> bool {
        if ended {
            self.counts.add_ended(tokens);
        } else {
            self.counts.add_censored(tokens);
        }
        self.stale += 1;
        self.stale >= REFRESH_LEAST.max((self.counts.total() * 0.02) as u32)
    }

    fn refresh(&mut self, parent: &LengthCounts, weight: f32) {
        self.curve = Rc::new(self.counts.blended(parent, weight).curve());
        self.stale = 0;
    }
}

/// The learned lengths of one model.
#[derive(Debug)]
pub struct LengthModel {
    prior: LengthCounts,
    model: Learned,
    organisations: HashMap<OrganisationId, Learned>,
}

impl Default for LengthModel {
    fn default() -> Self {
        let prior = LengthCounts::prior();
        let model = Learned::new(Rc::new(prior.curve()));
        LengthModel { prior, model, organisations: HashMap::new() }
    }
}

impl LengthModel {
    /// Learns from a generation: `ended` by itself, or cut off after `tokens`.
    pub fn observe(&mut self, organisation: &OrganisationId, tokens: u32, ended: bool) {
        if self.model.observe(tokens, ended) {
            self.model.refresh(&self.prior, PRIOR_WEIGHT);
        }
        let has_room = self.organisations.len() < MAX_ORGANISATIONS;
        if !has_room && !self.organisations.contains_key(organisation) {
            return;
        }
        let model_curve = self.model.curve.clone();
        let own = self.organisations.entry(organisation.clone());
        let own = own.or_insert_with(|| Learned::new(model_curve));
        if own.observe(tokens, ended) {
            let parent = self.model.counts.blended(&self.prior, PRIOR_WEIGHT);
            own.refresh(&parent, MODEL_WEIGHT);
        }
    }

    /// The curve to use for an organisation now.
    pub fn curve(&self, organisation: &OrganisationId) -> Rc<SurvivalCurve> {
        let own = self.organisations.get(organisation);
        own.map_or(&self.model, |own| own).curve.clone()
    }

    /// Organisations with counts of their own.
    pub fn organisations(&self) -> usize {
        self.organisations.len()
    }
}
