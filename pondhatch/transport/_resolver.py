"""Resolves IP addresses without a thread, so that only host names are looked up in one.

Twisted resolves every host in its thread pool, even IP addresses. Routers connect by IP
address, so with this resolver a router needs no thread but its main one.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from twisted.internet.abstract import isIPAddress, isIPv6Address
from twisted.internet.address import IPv4Address, IPv6Address
from twisted.internet.interfaces import IHostnameResolver, IHostResolution
from zope.interface import implementer


@implementer(IHostResolution)
class _Resolution:
    def __init__(self, name: str) -> None:
        self.name = name

    def cancel(self) -> None:
        """Do nothing: the resolution is complete before it can be cancelled."""


@implementer(IHostnameResolver)
class NumericResolver:
    """An IHostnameResolver that delegates host names to another one."""

    def __init__(self, host_resolver: Any) -> None:
        self._host_resolver = host_resolver

    def resolveHostName(
        self,
        resolutionReceiver: Any,
        hostName: str,
        portNumber: int = 0,
        addressTypes: Sequence[type[Any]] | None = None,
        transportSemantics: str = "TCP",
    ) -> Any:
        """Resolve a host; see IHostnameResolver."""
        address = _parse_ip_address(hostName, portNumber, transportSemantics)
        if address is None:
            return self._host_resolver.resolveHostName(
                resolutionReceiver, hostName, portNumber, addressTypes, transportSemantics
            )
        resolution = _Resolution(hostName)
        resolutionReceiver.resolutionBegan(resolution)
        resolutionReceiver.addressResolved(address)
        resolutionReceiver.resolutionComplete()
        return resolution


def install_numeric_resolver(reactor: Any) -> None:
    """Make a reactor resolve IP addresses without a thread."""
    reactor.installNameResolver(NumericResolver(reactor.nameResolver))


def _parse_ip_address(host: str, port: int, semantics: Any) -> IPv4Address | IPv6Address | None:
    if isIPAddress(host):
        return IPv4Address(semantics, host, port)
    if isIPv6Address(host):
        return IPv6Address(semantics, host, port)
    return None
