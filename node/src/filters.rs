//! The filters of a caller's request, one module each, with a typed message between
//! two of them:
//!
//! authenticate -> route -> limit -> claim -> place -> dispatch -> relay -> account

pub mod account;
pub mod authenticate;
pub mod claim;
pub mod dispatch;
pub mod limit;
pub mod place;
pub mod relay;
pub mod route;
