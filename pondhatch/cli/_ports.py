"""Ports on which a router listens."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from typing import Any

from twisted.web.server import Site

from pondhatch._early_port import CALLER_BACKLOG, take_early
from pondhatch.configuration import CallerEndpoint
from pondhatch.transport import detect_dead_peer

#: Connections of peers that may wait to be accepted.
PEER_BACKLOG = 128
#: Descriptors that a router which says it is ready can still open: a caller's connection and
#: one to an engine, for some callers who come before the balancer asks again.
SPARE_DESCRIPTORS = 32
#: Seconds for which the system's word on descriptors holds: files and other processes take
#: some too, slowly, and a balancer is to know within some seconds.
ASK_AGAIN_SECONDS = 2.0


def listening(host: str, port: int) -> socket.socket:
    """Return a listening socket; the loop would look the IP number up in a thread."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server((host, port), family=family, backlog=PEER_BACKLOG)
    detect_dead_peer(listener)  # On the connections that it accepts: silent ones hold descriptors.
    return listener


def listen_to_callers(reactor: Any, callers: CallerEndpoint, site: Site) -> Any:
    """Serve callers, over TLS where the settings name a certificate; return the port."""
    factory = _over_tls(callers, site)
    early = take_early(callers.host, callers.port)
    if early is None:
        return reactor.listenTCP(callers.port, factory, CALLER_BACKLOG, callers.host)
    with early:  # The reactor takes a copy of it.
        early.setblocking(False)
        return reactor.adoptStreamPort(early.fileno(), early.family, factory)


def _over_tls(callers: CallerEndpoint, site: Site) -> Any:
    """Return what serves callers, over TLS where the settings name a certificate."""
    if callers.certificate is None or callers.private_key is None:
        return site
    # The libraries behind it take a tenth of a second and 10 MB, which most need not.
    from twisted.internet import ssl
    from twisted.protocols.tls import TLSMemoryBIOFactory

    context: Any = ssl.DefaultOpenSSLContextFactory(callers.private_key, callers.certificate)
    served: Any = site
    return TLSMemoryBIOFactory(context, False, served)


class SpareDescriptors:
    """Whether the process can open what some more connections need.

    Asked of the system: no count of our own knows of every descriptor. What it said holds
    for a while, and while few connections came since: opening and closing SPARE_DESCRIPTORS
    for each question of the balancer was a twentieth of what an idle router did.
    """

    def __init__(self, clock: Callable[[], float], connections: Callable[[], int]) -> None:
        self._clock = clock
        #: Returns how many connections are open now.
        self._connections = connections
        self._asked_at = float("-inf")
        self._connections_then = 0

    def are_there(self) -> bool:
        """Return whether SPARE_DESCRIPTORS more can be opened, as far as is known."""
        now, connections = self._clock(), self._connections()
        came = connections - self._connections_then
        if now - self._asked_at < ASK_AGAIN_SECONDS and came < SPARE_DESCRIPTORS // 2:
            return True
        if not _can_open(SPARE_DESCRIPTORS):
            self._asked_at = float("-inf")
            return False
        self._asked_at, self._connections_then = now, connections
        return True


def _can_open(count: int) -> bool:
    with contextlib.ExitStack() as opened:
        try:
            for _ in range(count):
                opened.enter_context(socket.socket())
        except OSError:
            return False
    return True
