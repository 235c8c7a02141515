"""Relays on the paths between routers and to the store, so that routers can be cut off from them.

A path from one router to another carries connections; datagrams are dropped by the receiver or the
sender, as the diversions say.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

from fakes._cuttable_routers import STORE, Direction
from soak._paths import Diversions
from soak._relay import HOST, Relay


class RouterPaths:
    """The paths of all routers to each other and to the store."""

    def __init__(self, diversions: Diversions) -> None:
        self._diversions = diversions
        #: "IP:port" of each end, by the router's name or STORE.
        self._address_by_end: dict[str, str] = {}
        self._relay_by_path: dict[tuple[str, str], Relay] = {}
        #: Cuts of each path that go on, and of the datagrams of each router that its diversions
        #: name: several may overlap.
        self._cuts: Counter[tuple[str, str]] = Counter()
        self._drops: Counter[tuple[str, str]] = Counter()

    async def start(self, peer_port_by_router: dict[str, int], store_address: str) -> None:
        """Start the relays of routers, before these start."""
        addresses = {name: f"{HOST}:{port}" for name, port in peer_port_by_router.items()}
        self._address_by_end = {**addresses, STORE: store_address}
        for router in addresses:
            for end, address in self._address_by_end.items():
                if end != router:
                    relay = self._relay_by_path[router, end] = Relay()
                    relay.target = (HOST, int(address.rpartition(":")[2]))
                    await relay.start()
            self._divert(router)

    def cut_off(
        self, router: str, ends: Collection[str], direction: Direction = Direction.BOTH
    ) -> None:
        """Cut a router off from others, by name, or from the STORE: nothing answers it any more."""
        self._drops.update(self._drops_of(router, ends, direction))
        self._divert(router)
        for path in self._paths(router, ends):
            self._cuts[path] += 1
            self._relay_by_path[path].cut(is_silent=True)

    async def restore(
        self, router: str, ends: Collection[str], direction: Direction = Direction.BOTH
    ) -> None:
        """End a cut of the same arguments."""
        self._drops.subtract(self._drops_of(router, ends, direction))
        self._divert(router)
        for path in self._paths(router, ends):
            self._cuts[path] -= 1
            if not self._cuts[path]:
                await self._relay_by_path[path].restore()

    def close(self) -> None:
        """Close all relays."""
        for relay in self._relay_by_path.values():
            relay.close()

    def _paths(self, router: str, ends: Collection[str]) -> list[tuple[str, str]]:
        """Return the paths between a router and others, in both directions, and to the store."""
        paths = [(router, end) for end in ends] + [(end, router) for end in ends]
        return [each for each in paths if each in self._relay_by_path]

    def _drops_of(
        self, router: str, ends: Collection[str], direction: Direction
    ) -> list[tuple[str, str]]:
        dropped = [self._address_by_end[end] for end in ends if end != STORE]
        return [(router, f"{mark}{each}") for each in dropped for mark in direction.value]

    def _divert(self, router: str) -> None:
        ports = {
            self._address_by_end[end]: relay.port
            for (start, end), relay in self._relay_by_path.items()
            if start == router
        }
        drops = {mark: 0 for (name, mark), count in self._drops.items() if name == router and count}
        self._diversions.put(router, "routers", ports | drops)
