//! Experiments that run the real decision cores against simple endpoint models in virtual time.

pub mod cli;
pub mod figures;
pub mod limits;
pub mod model;
pub mod overload;
pub mod pool;
pub mod route;
pub mod traffic;
