"""Lists a starting router at the platform, and finds its peers there.

Where the platform does not list the fleet's own VMs, each router writes its address there; routers
that start later read the list and ping those on it.
"""

from __future__ import annotations

import asyncio
import ipaddress
import random
from collections.abc import Iterator, Mapping
from typing import Any

from pondhatch.kernel import Backoff, host_and_port
from pondhatch.membership import Address, Gossip
from pondhatch.observing import LogOnce, log_for
from pondhatch.store import Accepted, Conflict, Found, Listed, Platform, StoredObject, Unavailable

log = log_for("sync")

#: Kind of the platform's objects that list the fleet's own VMs.
VM_KIND = "vm"
#: Seconds between retries at the platform, at first and at most.
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
        #: This router's entry in the platform's list; None where it need not list itself.
        self._own_entry: Mapping[str, Any] | None = (
            None if own_address is None else {"address": own_address, "state": "live"}
        )
        self._logged = LogOnce()

    async def run(self) -> None:
        """List this router and find peers, retrying until both have succeeded.

        Where the router is listed already, this takes one read that may be stale and so is cheap
        for the platform, since all routers make it at the same moment after a power cut.
        Otherwise it takes two more calls.
        """
        if self._own_entry is not None:
            # A stale list is good enough: a router on it can be asked, and knows the others.
            listed = await self._find_peers(may_be_old=True)
            own = self._own_entry_in(listed) if listed is not None else None
            if own is not None and own.value == self._own_entry:
                return
        backoff = Backoff(INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, self._rng)
        is_listed = self._own_entry is None
        while True:
            is_listed = is_listed or await self._create_entry()
            # Read after the write, so that of two routers that start together one finds the other.
            listed = await self._find_peers()
            if listed is not None and (is_listed or await self._update_entry(listed)):
                return
            await asyncio.sleep(backoff.next())

    def _own_entry_in(self, listed: Listed) -> StoredObject | None:
        """Return this router's own entry, or None where the list lacks it."""
        return next((each for each in listed.objects if each.name == self._name), None)

    async def _find_peers(self, may_be_old: bool = False) -> Listed | None:
        """Read the list and add its routers as seeds; return None on an outage."""
        listed = await self._platform.list(VM_KIND, may_be_old)
        if isinstance(listed, Unavailable):
            log.warning("Listing VMs at the platform failed: {}.", listed.reason)
            return None
        self._gossip.add_seeds(self._addresses(listed))
        return listed

    def _addresses(self, listed: Listed) -> Iterator[Address]:
        """Yield the addresses of the listed routers; entries without a usable one are left out."""
        own_host = self._gossip.membership.own_record.host
        for each in listed.objects:
            address = _address(each, own_host)
            if address is not None:
                yield address
            elif self._logged.is_first((each.name, each.version)):
                log.error("Router {} has no usable address in its entry {}.", each.name, each.value)

    async def _create_entry(self) -> bool:
        """Create this router's entry at the platform; return whether that succeeded.

        An entry of an earlier start makes this fail; the list that is read next shows it.
        """
        written = await self._platform.create(VM_KIND, self._name, self._own_entry)
        if not isinstance(written, Accepted | Conflict):
            log.warning("Writing this router's address to the platform failed: {}.", written)
        return isinstance(written, Accepted)

    async def _update_entry(self, listed: Listed) -> bool:
        """Update this router's entry if it differs; return whether it is now correct."""
        found = self._own_entry_in(listed)
        if found is None:
            # Not listed yet, or its entry is unreadable.
            read = await self._platform.get(VM_KIND, self._name)
            if not isinstance(read, Found):
                return False
            found = read.object
        if found.value == self._own_entry:
            return True
        entry, version = self._own_entry, found.version
        written = await self._platform.update(VM_KIND, self._name, entry, version)
        if not isinstance(written, Accepted):
            log.warning("Writing this router's address to the platform failed: {}.", written)
        return isinstance(written, Accepted)


def _address(listed: StoredObject, own_host: str) -> Address | None:
    """Return a listed router's address; None where packets cannot be sent to it."""
    text = listed.value.get("address") if isinstance(listed.value, Mapping) else None
    found = host_and_port(text) if isinstance(text, str) else None
    if found is None or _ip_version(found[0]) is None:
        return None
    # A socket of one IP version cannot send to an address of the other.
    return Address(*found) if _ip_version(found[0]) == _ip_version(own_host) else None


def _ip_version(host: str) -> int | None:
    """Return 4 or 6, or None for a host that is no IP address, such as a name."""
    try:
        return ipaddress.ip_address(host).version
    except ValueError:
        return None
