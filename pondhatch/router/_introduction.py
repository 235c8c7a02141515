"""How a router that starts and its peers come to know of each other, through the platform.

Where the platform does not list the fleet's own VMs, each router writes there where it is
reached; who starts later reads the list and pings those on it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable, Mapping
from typing import Any

from pondhatch.kernel import Backoff
from pondhatch.membership import Address, Gossip
from pondhatch.observing import log_for
from pondhatch.store import Accepted, Found, Listed, Missing, Platform, Unavailable

log = log_for("sync")

#: Kind of the platform's objects that list the fleet's own VMs.
VM_KIND = "vm"
#: Seconds between tries at the platform, first and at most.
FIRST_PAUSE = 0.2
LONGEST_PAUSE = 2.0


class Introduction:
    """Lists a router at the platform where it must do so itself, and finds its peers."""

    def __init__(
        self,
        name: str,
        gossip: Gossip,
        platform: Platform,
        rng: random.Random,
        own_address: str | None = None,
    ) -> None:
        self._name = name
        self._gossip = gossip
        self._platform = platform
        self._rng = rng
        #: Where this router is reached, where it must list itself at the platform.
        self._own_address = own_address

    async def run(self) -> None:
        """Be listed and find peers, trying again until the platform did both."""
        backoff = Backoff(FIRST_PAUSE, LONGEST_PAUSE, self._rng)
        listed = False
        while True:
            listed = listed or await self._list_itself()
            # Read after the writing: of two that start together, one sees the other.
            found = await self._find_peers()
            if found and listed:
                return
            await asyncio.sleep(backoff.next())

    async def _find_peers(self) -> bool:
        """Read who is listed; return whether the platform said."""
        listed = await self._platform.list(VM_KIND)
        if isinstance(listed, Unavailable):
            log.warning("The platform lists no VMs: {}.", listed.reason)
            return False
        self._gossip.add_seeds(_addresses(listed))
        return True

    async def _list_itself(self) -> bool:
        """Have the platform hold this router's address; return whether it does."""
        if self._own_address is None:
            return True
        vm = {"address": self._own_address, "state": "live"}
        found = await self._platform.get(VM_KIND, self._name)
        if isinstance(found, Unavailable):
            log.warning("The platform does not say where this router is listed: {}.", found.reason)
            return False
        if isinstance(found, Found) and found.object.value == vm:
            return True
        return await self._write(vm, found)

    async def _write(self, vm: Mapping[str, Any], before: Found | Missing) -> bool:
        """Write this router's entry over what was found; return whether it was taken."""
        if isinstance(before, Found):
            version = before.object.version
            written = await self._platform.update(VM_KIND, self._name, vm, version)
        else:
            written = await self._platform.create(VM_KIND, self._name, vm)
        if isinstance(written, Accepted):
            return True
        log.warning("The platform did not take this router's address: {}.", written)
        return False


def _addresses(listed: Listed) -> Iterable[Address]:
    """Yield where each listed router is reached, those without a whole address left out."""
    for each in listed.objects:
        host, _, port = str(each.value.get("address", "")).rpartition(":")
        if host and port.isdigit():
            yield Address(host, int(port))
