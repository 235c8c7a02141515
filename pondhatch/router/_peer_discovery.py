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
from pondhatch.store import Accepted, Conflict, Found, Listed, Platform, StoredObject, Unavailable

log = log_for("sync")

#: Kind of the platform's objects that list the fleet's own VMs.
VM_KIND = "vm"
#: Seconds between tries at the platform, first and at most.
INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 2.0


class PeerDiscovery:
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
        #: What is to be listed of this router; None where it need not list itself.
        self._own_entry: Mapping[str, Any] | None = (
            None if own_address is None else {"address": own_address, "state": "live"}
        )
        self._logged = Once()

    async def run(self) -> None:
        """Be listed and find peers, trying again until the platform did both.

        One cheap call where this router is listed already: all make it at the same moment after
        a power cut. Where it is not, two more.
        """
        if self._own_entry is not None:
            # Who was listed some seconds ago is a peer to ask as well, and knows of the others.
            listed = await self._find_peers(may_be_old=True)
            own = self._own_entry_in(listed) if listed is not None else None
            if own is not None and own.value == self._own_entry:
                return
        backoff = Backoff(INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, self._rng)
        is_listed = self._own_entry is None
        while True:
            is_listed = is_listed or await self._create_entry()
            # Read after the writing: of two that start together, one sees the other.
            listed = await self._find_peers()
            if listed is not None and (is_listed or await self._update_entry(listed)):
                return
            await asyncio.sleep(backoff.next())

    def _own_entry_in(self, listed: Listed) -> StoredObject | None:
        """Return this router's own entry, or None where the list does not show it."""
        return next((each for each in listed.objects if each.name == self._name), None)

    async def _find_peers(self, may_be_old: bool = False) -> Listed | None:
        """Read who is listed; None where the platform does not say."""
        listed = await self._platform.list(VM_KIND, may_be_old)
        if isinstance(listed, Unavailable):
            log.warning("The platform lists no VMs: {}.", listed.reason)
            return None
        self._gossip.add_seeds(self._addresses(listed))
        return listed

    def _addresses(self, listed: Listed) -> Iterator[Address]:
        """Yield where listed routers are reached; one of whom that cannot be read is left out."""
        own_host = self._gossip.membership.own.host
        for each in listed.objects:
            address = _address(each, own_host)
            if address is not None:
                yield address
            elif self._logged.is_first((each.name, each.version)):
                log.error("Router {} is left out, it is listed as {}.", each.name, each.value)

    async def _create_entry(self) -> bool:
        """Have the platform hold this router's entry; return whether it took it.

        One that was there before, of an earlier start, is told by the list that is read next.
        """
        written = await self._platform.create(VM_KIND, self._name, self._own_entry)
        if not isinstance(written, Accepted | Conflict):
            log.warning("The platform did not take this router's address: {}.", written)
        return isinstance(written, Accepted)

    async def _update_entry(self, listed: Listed) -> bool:
        """Write over an entry of this router's that is listed; return whether it is right now."""
        found = self._own_entry_in(listed)
        if found is None:
            # Not listed yet, or listed as what cannot be read.
            read = await self._platform.get(VM_KIND, self._name)
            if not isinstance(read, Found):
                return False
            found = read.object
        if found.value == self._own_entry:
            return True
        entry, version = self._own_entry, found.version
        written = await self._platform.update(VM_KIND, self._name, entry, version)
        if not isinstance(written, Accepted):
            log.warning("The platform did not take this router's address: {}.", written)
        return isinstance(written, Accepted)


def _address(listed: StoredObject, own_host: str) -> Address | None:
    """Return where a listed router is reached; None where packets cannot be sent there."""
    text = listed.value.get("address") if isinstance(listed.value, Mapping) else None
    found = host_and_port(text) if isinstance(text, str) else None
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
