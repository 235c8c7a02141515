"""How a router that starts and its peers come to know of each other, through the platform.

Where the platform does not list the fleet's own VMs, each router writes there where it is
reached; who starts later reads the list and pings those on it.
"""

from __future__ import annotations

import asyncio
import ipaddress
import random
from collections.abc import Iterator, Mapping
from typing import Any

from pondhatch.kernel import Backoff, host_and_port
from pondhatch.membership import Address, Gossip
from pondhatch.observing import Once, log_for
from pondhatch.store import Accepted, Found, Listed, Missing, Platform, StoredObject, Unavailable

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
        self._told = Once()

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
        self._gossip.add_seeds(self._addresses(listed))
        return True

    def _addresses(self, listed: Listed) -> Iterator[Address]:
        """Yield where listed routers are reached; one of whom that cannot be read is left out."""
        own_host = self._gossip.membership.own.host
        for each in listed.objects:
            address = _address(each, own_host)
            if address is not None:
                yield address
            elif self._told.is_first((each.name, each.version)):
                log.error("Router {} is left out, it is listed as {}.", each.name, each.value)

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


def _address(listed: StoredObject, own_host: str) -> Address | None:
    """Return where a listed router is reached; None where packets cannot be sent there."""
    told = listed.value.get("address") if isinstance(listed.value, Mapping) else None
    found = host_and_port(told) if isinstance(told, str) else None
    if found is None or _ip_version(found[0]) is None:
        return None
    # A socket of one family sends nothing to an address of the other.
    return Address(*found) if _ip_version(found[0]) == _ip_version(own_host) else None


def _ip_version(host: str) -> int | None:
    """Return 4 or 6, or None for what is no IP number, such as a name."""
    try:
        return ipaddress.ip_address(host).version
    except ValueError:
        return None
