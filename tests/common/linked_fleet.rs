//! A fleet on the users' platform whose daemons reach the store, and each other, through links that
//! inject faults, to measure when a configuration is in force.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use railspan_standins::{FaultyLink, PlatformFaults};
use tokio::runtime::Runtime;

use super::eventually;
use super::hosted::{HostedFleet, SERVICE, TERMS, platform_config};

/// Time after the acknowledgement of a configuration in which it has to be in force, as the terms of
/// the deployment state it.
pub const CONFIG_DEADLINE: Duration = Duration::from_secs(2);

/// Time after the last harm to a host after which it is bound by [`CONFIG_DEADLINE`].
pub const STABILITY: Duration = Duration::from_secs(3);

/// Longest wait for a configuration to come into force.
const GIVE_UP_AFTER: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The links of one host.
pub struct LinkedHost {
    pub store: FaultyLink,
    pub guard: FaultyLink,
    pub peer: FaultyLink,
}

/// A running fleet.
pub struct LinkedFleet {
    pub fleet: HostedFleet,
    pub hosts: Vec<LinkedHost>,
    version: u64,
    _runtime: Runtime,
}

impl LinkedFleet {
    /// Starts the daemons and waits until each has the configuration and knows all others.
    pub fn spawn(hosts: usize) -> Self {
        let runtime = Runtime::new().expect("runtime");
        let terms = format!("{TERMS},config_deadline={}ms", CONFIG_DEADLINE.as_millis());
        let mut fleet = HostedFleet::spawn_with_terms(0, Duration::ZERO, &terms);
        let bind = |datagrams| FaultyLink::bind(runtime.handle(), datagrams).expect("link");
        let open = || LinkedHost { store: bind(false), guard: bind(true), peer: bind(true) };
        let hosts: Vec<LinkedHost> = (0..hosts).map(|_| open()).collect();
        for (index, host) in hosts.iter().enumerate() {
            host.store.set_upstream(fleet.platform.address());
            let advertised = (host.guard.address(), host.peer.address());
            let daemon = fleet.start_daemon_behind(index, host.store.address(), advertised);
            host.guard.set_upstream(daemon.endpoints().guard);
            host.peer.set_upstream(daemon.endpoints().peer);
            fleet.daemons.push(daemon);
        }
        let fleet = Self { fleet, hosts, version: 7, _runtime: runtime };
        for index in 0..fleet.hosts.len() {
            eventually("the fleet is known", || {
                let state = fleet.fleet.state(index);
                let members = state["peers"]["members"].as_array().map_or(0, Vec::len);
                members == fleet.hosts.len() && state["entry"]["ready"] == true
            });
        }
        // Who follows the store is settled when a view of the fleet has not grown for 1.5 s.
        std::thread::sleep(STABILITY);
        fleet
    }

    /// Turns a host away from the store: its connections are reset, new ones are refused.
    pub fn turn_away(&self, host: usize, turned_away: bool) {
        let link = &self.hosts[host].store;
        if turned_away {
            // Nothing listens at port 1 of loopback.
            link.set_upstream(SocketAddr::from(([127, 0, 0, 1], 1)));
            link.reset();
        } else {
            link.set_upstream(self.fleet.platform.address());
        }
    }

    /// Writes a change of the configuration, and returns its version and the time at which it was
    /// acknowledged.
    pub fn change_config(&mut self) -> (u64, Instant) {
        self.version += 1;
        self.fleet.platform.write_config(&platform_config(self.version, SERVICE));
        (self.version, Instant::now())
    }

    /// Writes a change of the configuration and waits until all daemons use it, so that all begin to
    /// wait for the next one at the same time.
    pub fn put_change_in_force(&mut self) {
        let change = self.change_config();
        self.time_to_force(&(0..self.hosts.len()).collect::<Vec<_>>(), change);
    }

    /// Returns the version in force at a host, or zero if its state can't be read.
    pub fn version_in_force(&self, host: usize) -> u64 {
        self.fleet.state(host)["entry"]["revision"].as_u64().unwrap_or_default()
    }

    /// Returns whether a daemon has reported that it can't reach the store, as the daemon itself
    /// knows.
    pub fn has_lost_store(&self, host: usize) -> bool {
        self.fleet.state(host)["peers"]["members"][0]["store_lost"] == true
    }

    /// Returns the longest time from an acknowledgement until the version was in force at one of the
    /// hosts.
    pub fn time_to_force(
        &self,
        hosts: &[usize],
        (version, acknowledged): (u64, Instant),
    ) -> Duration {
        let wait = |host: usize| {
            while self.version_in_force(host) < version && acknowledged.elapsed() < GIVE_UP_AFTER {
                std::thread::sleep(POLL_INTERVAL);
            }
            acknowledged.elapsed()
        };
        std::thread::scope(|scope| {
            let threads: Vec<_> =
                hosts.iter().map(|host| scope.spawn(move || wait(*host))).collect();
            threads.into_iter().map(|thread| thread.join().expect("thread")).max()
        })
        .unwrap_or_default()
    }

    /// Sets the faults of the store.
    pub fn set_store_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        let mut faults = PlatformFaults::default();
        change(&mut faults);
        self.fleet.platform.set_faults(faults);
    }
}
