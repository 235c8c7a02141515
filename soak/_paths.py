"""A relay on the path of each pair of router and engine, so that one router can be cut off."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from soak._relay import HOST, Relay

#: Effects of a cut on a path: open connections are reset and new ones refused; open ones fall
#: silent and new ones hang; open ones live on and new ones are refused.
REFUSED, HANGING, REFUSED_NEW = "refused", "hanging", "refused-new"


class Diversions:
    """The ports that each router connects to instead of an "IP:port", from several sources."""

    def __init__(self, divert: Callable[[str, dict[str, int]], None]) -> None:
        #: Sets all diversions of a router.
        self._divert = divert
        #: By router and source.
        self._by_source: dict[str, dict[str, dict[str, int]]] = {}

    def put(self, router: str, source: str, port_by_address: dict[str, int]) -> None:
        """Replace the diversions of a router that come from one source."""
        by_source = self._by_source.setdefault(router, {})
        by_source[source] = port_by_address
        self._divert(
            router, {key: port for each in by_source.values() for key, port in each.items()}
        )


class Paths:
    """The paths of all routers to all engines."""

    def __init__(self, diversions: Diversions) -> None:
        self._diversions = diversions
        self._relays_by_router: dict[str, dict[str, Relay]] = {}

    def add_routers(self, names: list[str]) -> None:
        """Add routers, before the first engine."""
        self._relays_by_router = {name: {} for name in names}

    async def add_engine(self, address: str) -> None:
        """Add the paths to an engine at an "IP:port", before routers learn of it."""
        for router, relays in self._relays_by_router.items():
            relay = Relay()
            relay.target = (HOST, int(address.rpartition(":")[2]))
            await relay.start()
            # Only now: a cut that begins before would not take effect, and could not be undone.
            relays[address] = relay
            port_by_address = {each: path.port for each, path in relays.items()}
            self._diversions.put(router, "engines", port_by_address)

    def relays_to(self, address: str) -> tuple[Relay, ...]:
        """Return the relays on the paths of all routers to an engine."""
        found = (relays.get(address) for relays in self._relays_by_router.values())
        return tuple(relay for relay in found if relay is not None)

    async def cut(self, router: str, effect: str, seconds: float) -> None:
        """Cut a router off from all engines for some seconds."""
        relays = tuple(self._relays_by_router[router].values())
        for relay in relays:
            relay.cut(is_silent=effect == HANGING)
            if effect == REFUSED:
                relay.reset()
        try:
            await asyncio.sleep(seconds)
        finally:
            for relay in relays:
                await relay.restore()

    def close(self) -> None:
        """Close all relays."""
        for relays in self._relays_by_router.values():
            for relay in relays.values():
                relay.close()
