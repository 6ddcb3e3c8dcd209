//! All tests of the package, in one test binary.

mod test_engine_model;
mod test_fleet_model;
mod test_fleet_organisations;
mod test_object_store;
