"""A fleet whose routers can be cut off from each other and from the platform's store."""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterable
from contextlib import ExitStack
from dataclasses import fields

from fakes._cuttable_relay import Cut, CuttableRelay
from fakes._diverted_router import DATAGRAMS_FROM, DATAGRAMS_TO
from fakes._local_fleet import HOST, free_ports
from fakes._machines_fleet import MachinesFleet, MachinesRouter, RouterPorts

#: Name of the store's end of a path; a router's end has the router's name.
STORE = "store"


class Direction(enum.Enum):
    """Which datagrams of a router that is cut off are lost; its connections hang either way."""

    BOTH = (DATAGRAMS_TO, DATAGRAMS_FROM)
    #: It hears nobody, and is heard.
    INCOMING = (DATAGRAMS_FROM,)
    #: It is not heard, and hears the others.
    OUTGOING = (DATAGRAMS_TO,)


class CuttableRoutersFleet(MachinesFleet):
    """Starts routers that reach each other and the store over paths of their own."""

    def add_cuttable_routers(self, halls: Iterable[str]) -> list[MachinesRouter]:
        """Start a router in each of the halls, with a relay on each path to another or the store.

        Call this once. The relays end with the fleet.
        """
        halls = list(halls)
        names = [f"edge-{index}" for index in range(len(halls))]
        self._ports_by_router = {
            name: RouterPorts(*free_ports(len(fields(RouterPorts)))) for name in names
        }
        self._relays = ExitStack()
        self._relay_by_path: dict[tuple[str, str], CuttableRelay] = {}
        for name in names:
            for end in (*names, STORE):
                if end != name:
                    relay = CuttableRelay(HOST, self._port(end))
                    self._relay_by_path[name, end] = self._relays.enter_context(relay)
        for name, hall in zip(names, halls, strict=True):
            self.add_router(hall, self._diversions(name), self._ports_by_router[name])
        return self.machine_routers

    def __exit__(self, *error: object) -> None:
        super().__exit__(*error)  # type: ignore[arg-type]
        self._relays.close()

    def cut_off(
        self, router: str, ends: Collection[str], direction: Direction = Direction.BOTH
    ) -> None:
        """Cut a router off from others, by name, or from the STORE: nothing answers it any more."""
        dropped = [end for end in ends if end != STORE]
        marks = {
            f"{mark}{HOST}:{self._port(end)}": 0 for end in dropped for mark in direction.value
        }
        self.divert(router, self._diversions(router) | marks)
        for path in self._paths(router, ends):
            self._relay_by_path[path].cut(Cut.HANG)

    def restore(self, router: str, ends: Collection[str]) -> None:
        """Let a router that was cut off reach others and the store again, on new connections."""
        self.divert(router, self._diversions(router))
        for path in self._paths(router, ends):
            self._relay_by_path[path].restore()

    def other_routers(self, router: str) -> list[str]:
        """Return the names of all routers but one."""
        return [each.name for each in self.machine_routers if each.name != router]

    def _paths(self, router: str, ends: Collection[str]) -> list[tuple[str, str]]:
        """Return the paths between a router and others, in both directions, and to the store."""
        paths = [(router, end) for end in ends] + [(end, router) for end in ends]
        return [each for each in paths if each in self._relay_by_path]

    def _diversions(self, router: str) -> dict[str, int]:
        return {
            f"{HOST}:{self._port(end)}": relay.port
            for (start, end), relay in self._relay_by_path.items()
            if start == router
        }

    def _port(self, end: str) -> int:
        if end == STORE:
            return int(self.address_of(self.object_store).rpartition(":")[2])
        return self._ports_by_router[end].peers
