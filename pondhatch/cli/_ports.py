"""Ports on which a router listens."""

from __future__ import annotations

import socket
from typing import Any

from twisted.web.server import Site

from pondhatch.configuration import CallerEndpoint
from pondhatch.transport import show_silence

#: Connections of peers that may wait to be accepted.
PEER_BACKLOG = 128
#: Connections of callers that may wait to be accepted: as many as Linux lets any port hold by
#: default, and as a router of the users' sites can open at all. All callers of a power cut
#: come back within a second, while a starting router is busy; beyond the queue their opening
#: packets are dropped, and sent again seconds later.
CALLER_BACKLOG = 4096


def listening(host: str, port: int) -> socket.socket:
    """Return a listening socket; the loop would look the IP number up in a thread."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server((host, port), family=family, backlog=PEER_BACKLOG)
    show_silence(listener)  # On the connections that it accepts: silent ones hold descriptors.
    return listener


def listen_to_callers(reactor: Any, callers: CallerEndpoint, site: Site) -> Any:
    """Serve callers, over TLS where the settings name a certificate."""
    if callers.certificate is None or callers.private_key is None:
        return reactor.listenTCP(callers.port, site, CALLER_BACKLOG, callers.host)
    # The libraries behind it take a tenth of a second and 10 MB, which most need not.
    from twisted.internet import ssl

    context = ssl.DefaultOpenSSLContextFactory(callers.private_key, callers.certificate)
    return reactor.listenSSL(callers.port, site, context, CALLER_BACKLOG, callers.host)
