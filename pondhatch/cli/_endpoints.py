"""The ports of a router: for peers, gossip, admin, callers, readiness and metrics."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from grpclib.server import Server
from twisted.internet.error import CannotListenError
from twisted.web.server import Site

from pondhatch.cli._ports import SpareDescriptors, listen_to_callers, listen_to_peers
from pondhatch.cli._router_statistics import RouterStatistics
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
    """Opens the ports of one router and serves requests on them."""

    #: Settings at the start, since ports do not change while a router runs.
    settings: Settings
    reactor: Any
    state: RouterState
    peer_server: Server
    peer_tls: PeerTls | None
    gossip_port: GossipPort
    authority: Authority
    crash_evidence: CrashEvidenceExchange
    statistics: RouterStatistics
    callers: Callers
    #: Returns the limits on what callers may send, by the current settings.
    limits: Callable[[], CallerLimits]
    #: Returns the router's metrics as text.
    metrics_text: Callable[[], bytes]

    async def open(self) -> None:
        """Open every port that the settings name: peers, admin, callers, then the optional ones."""
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
        await self.peer_server.start(sock=listen_to_peers(peers.host, peers.port), ssl=tls)
        self.reactor.listenUDP(peers.port, self.gossip_port, interface=peers.host)

    def _open_to_admins(self) -> None:
        admin = self.settings.admin
        resource = Admin(
            self.state,
            self.authority,
            self.statistics.counters,
            self.crash_evidence.lift_quarantine,
        )
        self.reactor.listenTCP(admin.port, Site(resource), interface=admin.host)

    def _open_to_callers(self) -> Any:
        resource: Any = self.callers.resource()
        site = CallerSite(resource, lambda: effective_caller_limits(self.state, self.limits()))
        return listen_to_callers(self.reactor, self.settings.callers, site)

    def _open_to_balancer(self, endpoint: ReadyEndpoint, callers_port: Any) -> None:
        clock, connections = self.state.clock, lambda: len(self.reactor.getReaders())
        spare_descriptors = SpareDescriptors(clock, connections)
        resource = Readiness(endpoint.path, lambda: self._is_ready(callers_port, spare_descriptors))
        self.reactor.listenTCP(endpoint.port, Site(resource), interface=endpoint.host)

    def _is_ready(self, callers_port: Any, spare_descriptors: SpareDescriptors) -> bool:
        """Return whether the load balancer should send callers to this router."""
        is_serving = self.state.configuration.version > 0 and not self.state.is_draining()
        return is_serving and bool(callers_port.connected) and spare_descriptors.are_available()

    def _open_for_metrics(self, endpoint: MetricsEndpoint) -> None:
        """Serve metrics as text; the router runs without them if the port is occupied."""
        page = MetricsPage(endpoint.path, self.metrics_text)
        try:
            self.reactor.listenTCP(endpoint.port, Site(page), interface=endpoint.host)
        except CannotListenError as error:
            log.error("Metrics are not served at {}:{}: {}.", endpoint.host, endpoint.port, error)
