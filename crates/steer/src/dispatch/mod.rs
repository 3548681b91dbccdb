//! Dispatch: which upstream takes a request that an entry node sends by itself.
//!
//! Each node decides alone, from the entries that service discovery tells, the load that answers
//! tell, and what it has in flight itself. Requests about one object meet the same upstream as long
//! as that is not overloaded.

pub mod ask;
pub mod cold;
pub mod dispatcher;
pub mod execution;
pub mod give_up;
pub mod health;
pub mod lapse;
pub mod load;
pub mod outcome;
pub mod peers;
pub mod refusal;
pub mod retries;
pub mod retry;
pub mod round_robin;
pub mod shares;
pub mod spill;
pub mod upstream;
pub mod work;
