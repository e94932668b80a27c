//! Fleet membership: which daemons exist, what targets they have, and which of them follow
//! the store.
//!
//! `membership` is the state machine of the gossip protocol; `store_followers` selects the
//! daemons that follow the store; `peers` does the network I/O for both.

pub(crate) mod membership;
pub(crate) mod peers;
pub(crate) mod store_followers;
