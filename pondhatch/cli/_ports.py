"""Listening sockets for peers and callers, and the check for spare file descriptors."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from typing import Any

from twisted.web.server import Site

from pondhatch._early_port import CALLER_BACKLOG, take_early
from pondhatch.configuration import CallerEndpoint
from pondhatch.transport import detect_dead_peer

#: Length of the accept queue for connections of peers.
PEER_BACKLOG = 128
#: File descriptors that a router must be able to open to report itself ready: each caller that
#: arrives before the balancer's next check takes one for its connection and one for an engine's.
SPARE_DESCRIPTORS = 32
#: Seconds for which a check of spare descriptors is valid: files and other processes use up
#: descriptors too, but slowly, and the balancer must learn of it within some seconds.
RECHECK_SECONDS = 2.0


def listen_to_peers(host: str, port: int) -> socket.socket:
    """Return a listening socket; created here since asyncio would resolve the IP in a thread."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server((host, port), family=family, backlog=PEER_BACKLOG)
    # Accepted connections inherit these options. Without them silent ones would hold descriptors.
    detect_dead_peer(listener)
    return listener


def listen_to_callers(reactor: Any, callers: CallerEndpoint, site: Site) -> Any:
    """Serve callers, over TLS if the settings name a certificate; return the port."""
    factory = _caller_factory(callers, site)
    early = take_early(callers.host, callers.port)
    if early is None:
        return reactor.listenTCP(callers.port, factory, CALLER_BACKLOG, callers.host)
    with early:  # The reactor duplicates the descriptor.
        early.setblocking(False)
        return reactor.adoptStreamPort(early.fileno(), early.family, factory)


def _caller_factory(callers: CallerEndpoint, site: Site) -> Any:
    """Return the protocol factory for callers, over TLS if the settings name a certificate."""
    if callers.certificate is None or callers.private_key is None:
        return site
    # These imports take 0.1 s and 10 MB, which routers without TLS save.
    from twisted.internet import ssl
    from twisted.protocols.tls import TLSMemoryBIOFactory

    context: Any = ssl.DefaultOpenSSLContextFactory(callers.private_key, callers.certificate)
    served: Any = site
    return TLSMemoryBIOFactory(context, False, served)


class SpareDescriptors:
    """Checks whether the process can open the descriptors that more connections need.

    It does so by opening some, since the process cannot count all descriptors in use by itself.
    A successful check is reused for a while, as long as few connections were opened since:
    opening and closing SPARE_DESCRIPTORS on each check of the balancer took a twentieth of the
    work of an idle router.
    """

    def __init__(self, clock: Callable[[], float], count_connections: Callable[[], int]) -> None:
        self._clock = clock
        #: Returns the number of open connections.
        self._count_connections = count_connections
        self._checked_at = float("-inf")
        self._connections_at_check = 0

    def are_available(self) -> bool:
        """Return whether SPARE_DESCRIPTORS more can be opened, by a recent check or a new one."""
        now, connections = self._clock(), self._count_connections()
        opened_since = connections - self._connections_at_check
        if now - self._checked_at < RECHECK_SECONDS and opened_since < SPARE_DESCRIPTORS // 2:
            return True
        if not _can_open(SPARE_DESCRIPTORS):
            self._checked_at = float("-inf")
            return False
        self._checked_at, self._connections_at_check = now, connections
        return True


def _can_open(count: int) -> bool:
    with contextlib.ExitStack() as opened:
        try:
            for _ in range(count):
                opened.enter_context(socket.socket())
        except OSError:
            return False
    return True
