//! Load probes: datagrams that ask guards for the load of a target, within a budget.

use std::rc::Rc;

use rand::RngExt;

use crate::base::consts::MAX_DATAGRAM;
use crate::base::datagram::{GuardDatagram, GuardReply, ProbeRequest};
use crate::base::ids::ServiceName;
use crate::base::wire;
use crate::call::entry::EntryDuty;

/// Maximum number of bytes by which a reply is longer than its request.
const MAX_REPLY_EXCESS: u32 = 48;

/// Probes the load of a random target of the service, if the budget allows it.
pub(crate) fn probe_random_target(duty: &EntryDuty, service: &ServiceName) {
    if duty.probe_budget.borrow().is_zero() {
        return;
    }
    let registry = duty.registry.borrow();
    let Some(targets) = registry.services.get(service).map(|service| &service.targets) else {
        return;
    };
    if targets.is_empty() {
        return;
    }
    let record = &targets[duty.rng.borrow_mut().random_range(0..targets.len())];
    let Some(location) = &record.location else { return };
    let request = ProbeRequest {
        incarnation: location.incarnation,
        service: service.clone(),
        target: record.name.clone(),
    };
    let Ok(bytes) = wire::encode(&GuardDatagram::Probe(request)) else { return };
    let total_bytes = bytes.len() as u32 * 2 + MAX_REPLY_EXCESS;
    if !duty.probe_budget.borrow_mut().try_take(duty.clock.now(), 2, total_bytes) {
        return;
    }
    if duty.probe_socket.try_send_to(&bytes, location.guard).is_ok() {
        duty.metrics.probe_messages.inc_by(2);
        duty.metrics.probe_bytes.inc_by(u64::from(total_bytes));
    }
}

/// Processes the replies of guards to load probes and to requests for grants and confirmations, until the runtime
/// ends.
pub(crate) async fn receive_replies(duty: Rc<EntryDuty>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, _)) = duty.probe_socket.recv_from(&mut buffer).await else { continue };
        match wire::decode(&buffer[..length]) {
            Ok(GuardReply::Probe(reply)) => {
                duty.update_load(&reply.service, &reply.target, reply.load);
            }
            Ok(GuardReply::Quota(reply)) => duty.deliver_quota_reply(reply),
            Ok(GuardReply::Confirmation(reply)) => duty.handle_confirmation(reply),
            Err(_malformed) => {}
        }
    }
}
