"""What a router listens on: peers, gossip, admin, callers, readiness and metrics."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from grpclib.server import Server
from twisted.internet.error import CannotListenError
from twisted.web.server import Site

from pondhatch.cli._figures import Figures
from pondhatch.cli._ports import SpareDescriptors, listen_to_callers, listening
from pondhatch.configuration import CallerLimits, MetricsEndpoint, ReadyEndpoint, Settings
from pondhatch.observing import log_for
from pondhatch.router import Authority, CrashEvidenceExchange, RouterState
from pondhatch.transport import (
    Admin,
    Callers,
    CallerSite,
    GossipPort,
    MetricsPage,
    PeerTls,
    Readiness,
    effective_caller_limits,
)

log = log_for("process")


class Endpoints(msgspec.Struct, frozen=True):
    """Opens the ports of one router and serves its parts there."""

    #: Settings at the start: ports do not change while a router runs.
    settings: Settings
    reactor: Any
    state: RouterState
    peer_server: Server
    peer_tls: PeerTls | None
    gossip_port: GossipPort
    authority: Authority
    crash_guarding: CrashEvidenceExchange
    figures: Figures
    callers: Callers
    #: What callers may send, by the settings now in force.
    limits: Callable[[], CallerLimits]
    #: The router's metrics as text.
    metrics_text: Callable[[], bytes]

    async def open(self) -> None:
        """Open every port that the settings name, peers first and callers after them."""
        await self._open_to_peers()
        self._open_to_admins()
        callers_port = self._open_to_callers()
        if self.settings.ready is not None:
            self._open_to_balancer(self.settings.ready, callers_port)
        if self.settings.metrics is not None:
            self._open_for_metrics(self.settings.metrics)

    async def _open_to_peers(self) -> None:
        peers = self.settings.peers
        tls = self.peer_tls.server if self.peer_tls is not None else None
        await self.peer_server.start(sock=listening(peers.host, peers.port), ssl=tls)
        self.reactor.listenUDP(peers.port, self.gossip_port, interface=peers.host)

    def _open_to_admins(self) -> None:
        admin = self.settings.admin
        resource = Admin(
            self.state, self.authority, self.figures.counters, self.crash_guarding.lift_quarantine
        )
        self.reactor.listenTCP(admin.port, Site(resource), interface=admin.host)

    def _open_to_callers(self) -> Any:
        resource: Any = self.callers.resource()
        site = CallerSite(resource, lambda: effective_caller_limits(self.state, self.limits()))
        return listen_to_callers(self.reactor, self.settings.callers, site)

    def _open_to_balancer(self, endpoint: ReadyEndpoint, callers_port: Any) -> None:
        clock, connections = self.state.clock, lambda: len(self.reactor.getReaders())
        spare = SpareDescriptors(clock, connections)
        resource = Readiness(endpoint.path, lambda: self._is_ready(callers_port, spare))
        self.reactor.listenTCP(endpoint.port, Site(resource), interface=endpoint.host)

    def _is_ready(self, callers_port: Any, spare: SpareDescriptors) -> bool:
        """Return whether the balancer should send callers here."""
        serves = self.state.fleet.version > 0 and not self.state.is_draining()
        return serves and bool(callers_port.connected) and spare.are_there()

    def _open_for_metrics(self, endpoint: MetricsEndpoint) -> None:
        """Tell metrics as text; a port that is taken costs the metrics, not the router."""
        page = MetricsPage(endpoint.path, self.metrics_text)
        try:
            self.reactor.listenTCP(endpoint.port, Site(page), interface=endpoint.host)
        except CannotListenError as error:
            log.error("No metrics are told at {}:{}: {}.", endpoint.host, endpoint.port, error)
