"""Parsing of addresses of the form "IP:port", or with a host's name in the place of the IP."""

from __future__ import annotations

import re

#: Ports that can be connected to; 0 cannot.
PORTS = range(1, 65536)
#: ASCII digits only: str.isdigit also accepts characters that int() rejects.
PORT_PATTERN = re.compile(r"[0-9]{1,5}")
#: A host's name, by RFC 1123 with underscores, or an IPv4 address.
NAME_PATTERN = re.compile(r"(?:[0-9A-Za-z_-]{1,63}\.)*[0-9A-Za-z_-]{1,63}\.?")
MAX_NAME_CHARACTERS = 253
#: An IPv6 address, with the name of a network interface for one that holds on a link only.
IPV6_PATTERN = re.compile(r"[0-9A-Fa-f]*:[0-9A-Fa-f:.]+(?:%[0-9A-Za-z._-]{1,15})?")


def host_and_port(text: str) -> tuple[str, int] | None:
    """Return the host, without brackets, and the port; None if either is missing or invalid."""
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not _is_host(host) or not PORT_PATTERN.fullmatch(port) or int(port) not in PORTS:
        return None
    return host, int(port)


def _is_host(text: str) -> bool:
    """Return whether a text may be looked up: resolvers raise other errors for other texts."""
    is_name = len(text) <= MAX_NAME_CHARACTERS and NAME_PATTERN.fullmatch(text) is not None
    return is_name or IPV6_PATTERN.fullmatch(text) is not None
