"""Mutual TLS between routers, with certificates of the fleet's own authority."""

from __future__ import annotations

import ssl

import msgspec

from pondhatch.configuration import ConfigurationError, PeerEndpoint, Problem

#: ALPN protocols, which HTTP/2 requires.
ALPN_PROTOCOLS = ["h2"]


class PeerTls(msgspec.Struct, frozen=True):
    """TLS contexts for the server side and the client side."""

    server: ssl.SSLContext
    client: ssl.SSLContext


def peer_tls(router: str, peers: PeerEndpoint) -> PeerTls | None:
    """Return the contexts, or None unless all files are named. Raises ConfigurationError."""
    if peers.certificate is None or peers.private_key is None or peers.authority is None:
        return None
    try:
        server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=peers.authority)
        client = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=peers.authority)
        for context in (server, client):
            context.load_cert_chain(peers.certificate, peers.private_key)
            context.set_alpn_protocols(ALPN_PROTOCOLS)
    except OSError as error:
        problem = Problem(router, 0, "peers", f"expected readable PEM files, {error}")
        raise ConfigurationError((problem,)) from error
    server.verify_mode = ssl.CERT_REQUIRED
    return PeerTls(server, client)
