//! Measuring messages of an entry: sent within the budget, heard at leisure.

use std::rc::Rc;

use rand::RngExt;

use crate::base::consts::MAX_DATAGRAM;
use crate::base::ids::ServiceName;
use crate::base::wire::{self, GuardDatagram, GuardReply, ProbeRequest};
use crate::call::entry::EntryDuty;

/// Bytes that a reply is longer than its request, at most.
const REPLY_EXTRA: u32 = 32;

/// Asks one target of the service for its load, if the budget allows.
pub(crate) fn probe_some(duty: &EntryDuty, service: &ServiceName) {
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
    let Some(place) = &record.location else { return };
    let request = ProbeRequest {
        incarnation: place.incarnation,
        service: service.clone(),
        target: record.name.clone(),
    };
    let Ok(bytes) = wire::encode(&GuardDatagram::Probe(request)) else { return };
    let cost = bytes.len() as u32 * 2 + REPLY_EXTRA;
    if !duty.probe_budget.borrow_mut().try_take(duty.clock.now(), 2, cost) {
        return;
    }
    if duty.probe_socket.try_send_to(&bytes, place.guard).is_ok() {
        duty.metrics.probe_messages.inc_by(2);
        duty.metrics.probe_bytes.inc_by(u64::from(cost));
    }
}

/// Takes over what guards answer to datagrams, until the runtime ends.
pub(crate) async fn hear_replies(duty: Rc<EntryDuty>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, _)) = duty.probe_socket.recv_from(&mut buffer).await else { continue };
        match wire::decode(&buffer[..length]) {
            Ok(GuardReply::Probe(reply)) => {
                duty.hear_load(&reply.service, &reply.target, reply.load);
            }
            Ok(GuardReply::Quota(reply)) => duty.quotas.hear(reply),
            Err(_malformed) => {}
        }
    }
}
