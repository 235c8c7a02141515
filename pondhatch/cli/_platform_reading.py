"""The parts of a router that read the platform, and those that learn from other routers."""

from __future__ import annotations

import random

from pondhatch.cli._announcer import Announcer
from pondhatch.cli._environment import RouterEnvironment
from pondhatch.cli._peer_updates import PeerUpdates
from pondhatch.configuration import Settings
from pondhatch.kernel import Tasks
from pondhatch.router import PeerDiscovery, PlatformChecks, PlatformRestorer, RouterState, Sync
from pondhatch.transport import GossipPort


class PlatformReading:
    """Builds these parts and runs them."""

    def __init__(
        self,
        state: RouterState,
        settings: Settings,
        environment: RouterEnvironment,
        announcer: Announcer,
        gossip_port: GossipPort,
        peer_updates: PeerUpdates,
        rng: random.Random,
    ) -> None:
        platform, interface = environment.platform, environment.interface
        own = settings.peers
        address = None if interface.lists_vms else f"{own.host}:{own.port}"
        peer_discovery = PeerDiscovery(state.name, state.gossip, platform, rng, address)
        source = interface.configuration(platform)
        self.sync = Sync(
            state, platform, source, peer_updates.pull, announcer.announce, rng, peer_discovery
        )
        self.checks = PlatformChecks(
            state,
            platform,
            source,
            self.sync.apply_configuration_event,
            announcer.announce,
            gossip_port.send,
            rng,
        )
        self._restorer = PlatformRestorer(
            state,
            platform,
            peer_discovery,
            rng,
            environment.fleet_key if environment.is_key_agreed else None,
        )

    def start(self, tasks: Tasks) -> None:
        """Start all parts."""
        tasks.start(self.sync.run())
        tasks.start(self.checks.run())
        tasks.start(self._restorer.run())
