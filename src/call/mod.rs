//! A call's way: entry, the hop between daemons, guard, target, and back.
//!
//! Entry side: `entry`, `intake`, `attempt`, `hedge`, `reply`. Guard side:
//! `guard`, `guarded_call`, `served`, `target_call`, `target_life`, `health`.
//! Where a call goes and when it starts is decided in `decide`; here bytes move.

pub(crate) mod attempt;
pub(crate) mod entry;
pub(crate) mod guard;
pub(crate) mod guarded_call;
pub(crate) mod h2io;
pub(crate) mod headers;
pub(crate) mod health;
pub(crate) mod hedge;
pub(crate) mod intake;
pub(crate) mod local_target;
pub(crate) mod measure;
pub(crate) mod pool;
pub(crate) mod reply;
pub(crate) mod route_book;
pub(crate) mod served;
pub(crate) mod silence;
pub(crate) mod target_call;
pub(crate) mod target_life;
pub(crate) mod target_pool;
pub(crate) mod watching;
