//! Distribution of the output lengths of one model for each organisation. The distribution of the whole model
//! and a prior serve as fallbacks. Memory is bounded by the number of tracked organisations.

use std::collections::HashMap;
use std::rc::Rc;

use crate::ids::OrganisationId;
use crate::survival::LengthCounts;
use crate::survival::SurvivalCurve;

/// Maximum number of organisations with counts of their own; further ones use the counts of the model.
const MAX_ORGANISATIONS: usize = 1_024;
/// Weight of the model's counts in an organisation's curve, in generations.
const MODEL_WEIGHT: f32 = 50.0;
/// Weight of the prior in the model's curve, in generations.
const PRIOR_WEIGHT: f32 = 8.0;
/// A curve is recomputed after this many new observations or 2 % of the total, whichever is more.
const MIN_REFRESH_OBSERVATIONS: u32 = 8;

#[derive(Debug)]
struct LearnedCurve {
    counts: LengthCounts,
    curve: Rc<SurvivalCurve>,
    unapplied: u32,
}

impl LearnedCurve {
    fn new(curve: Rc<SurvivalCurve>) -> Self {
        LearnedCurve { counts: LengthCounts::default(), curve, unapplied: 0 }
    }

    fn observe(&mut self, tokens: u32, ended: bool) -> bool {
        if ended {
            self.counts.add_ended(tokens);
        } else {
            self.counts.add_censored(tokens);
        }
        self.unapplied += 1;
        self.unapplied >= MIN_REFRESH_OBSERVATIONS.max((self.counts.total() * 0.02) as u32)
    }

    fn refresh(&mut self, parent: &LengthCounts, weight: f32) {
        self.curve = Rc::new(self.counts.blended(parent, weight).curve());
        self.unapplied = 0;
    }
}

/// Output lengths of one model, learned from its generations.
#[derive(Debug)]
pub struct LengthModel {
    prior: LengthCounts,
    model: LearnedCurve,
    organisations: HashMap<OrganisationId, LearnedCurve>,
}

impl Default for LengthModel {
    fn default() -> Self {
        let prior = LengthCounts::prior();
        let model = LearnedCurve::new(Rc::new(prior.curve()));
        LengthModel { prior, model, organisations: HashMap::new() }
    }
}

impl LengthModel {
    /// Records a generation of `tokens` tokens. `ended` is false if it was cut off before it ended by itself.
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
        let own = own.or_insert_with(|| LearnedCurve::new(model_curve));
        if own.observe(tokens, ended) {
            let parent = self.model.counts.blended(&self.prior, PRIOR_WEIGHT);
            own.refresh(&parent, MODEL_WEIGHT);
        }
    }

    /// The current survival curve for an organisation.
    pub fn curve(&self, organisation: &OrganisationId) -> Rc<SurvivalCurve> {
        let own = self.organisations.get(organisation);
        own.map_or(&self.model, |own| own).curve.clone()
    }

    /// The number of organisations with counts of their own.
    pub fn organisations(&self) -> usize {
        self.organisations.len()
    }
}
