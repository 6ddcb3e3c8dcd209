//! The stages that a caller's request passes through, one module each, with a typed value between two
//! stages:
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
