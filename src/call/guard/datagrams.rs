//! Datagrams from entries: load probes of a target, and requests for grants from a quota and for
//! confirmations from the store.

use std::rc::Rc;

use tokio::net::UdpSocket;

use super::GuardDuty;
use crate::base::consts::MAX_DATAGRAM;
use crate::base::datagram::{
    ConfirmationReply, ConfirmationRequest, GuardDatagram, GuardReply, ProbeReply, ProbeRequest,
};
use crate::base::wire;

impl GuardDuty {
    /// Replies to the entries' datagrams.
    ///
    /// Replies may be lost: an entry repeats its request, or does without the reply.
    pub(super) async fn serve_datagrams(self: Rc<Self>, socket: UdpSocket) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
            let reply = match wire::decode(&buffer[..length]) {
                Ok(GuardDatagram::Probe(request)) => {
                    self.probe_load(request).map(GuardReply::Probe)
                }
                Ok(GuardDatagram::Quota(request)) => {
                    Some(GuardReply::Quota(self.grant_quota(&request)))
                }
                Ok(GuardDatagram::QuotaReturn(returned)) => {
                    self.quotas.take_back(self.clock.now(), &returned);
                    None
                }
                Ok(GuardDatagram::Confirmation(request)) => {
                    Some(GuardReply::Confirmation(self.state_confirmation(request)))
                }
                Err(_malformed) => None,
            };
            if let Some(Ok(bytes)) = reply.map(|reply| wire::encode(&reply)) {
                drop(socket.try_send_to(&bytes, from));
            }
        }
    }

    /// Returns the newest confirmation from the store that this daemon has.
    fn state_confirmation(&self, request: ConfirmationRequest) -> ConfirmationReply {
        let state = self.confirmation.lock();
        let evidence = state.evidence(self.confirmation.now());
        let confirmed = evidence.map(|(revision, age)| (revision, age.0));
        ConfirmationReply { number: request.number, confirmed }
    }

    /// Returns the load of a target, or `None` if the probe is for another incarnation
    /// of this daemon or an unknown target.
    fn probe_load(&self, request: ProbeRequest) -> Option<ProbeReply> {
        let ProbeRequest { incarnation, service, target } = request;
        if incarnation != self.incarnation {
            return None;
        }
        let key = (service, target);
        let now = self.clock.now();
        let load = self.targets.borrow_mut().get_mut(&key)?.queue.next_report(now);
        let (service, target) = key;
        Some(ProbeReply { service, target, load })
    }
}
