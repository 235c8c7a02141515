"""Memory of a router's state, from traced allocations of the production code."""

from __future__ import annotations

import gc
import hashlib
import random
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

from bench._measures import Measure
from fakes._entries import SERVICE, TEMPLATE
from pondhatch.configuration import Change, Edit, FleetConfiguration
from pondhatch.membership import Alive, Gossip, MembershipLimits, Phase, short_id
from pondhatch.placement import ContextLocations
from pondhatch.store import Upstream, UpstreamList


def account_edits(count: int) -> tuple[Edit, ...]:
    """Return ``count`` accounts, each with its own key and a rate."""
    return tuple(
        Edit(
            "account",
            f"account-{index}",
            {
                "template": "studio",
                "key_hashes": [hashlib.sha256(str(index).encode()).hexdigest()],
                "parameters": {"rate": 1.0 + index % 50},
            },
        )
        for index in range(count)
    )


def configuration_with_accounts(count: int) -> FleetConfiguration:
    """Return a configuration with ``count`` accounts."""
    edits = (SERVICE, TEMPLATE, *account_edits(count))
    configuration = FleetConfiguration().with_change(Change(1, "first", "bench", 0.0, "", edits))
    if not isinstance(configuration, FleetConfiguration):
        raise RuntimeError(str(configuration))
    return FleetConfiguration(
        version=1,
        service_by_name=configuration.service_by_name,
        template_by_name=configuration.template_by_name,
        policy_by_account=configuration.policy_by_account,
        account_by_key_hash=configuration.account_by_key_hash,
        raw_by_entry=configuration.raw_by_entry,
    )


def _spilled_chats(count: int) -> ContextLocations:
    locations = ContextLocations(limit=count)
    rng = random.Random(1)
    names = [f"engine-{index}" for index in range(110)]
    for _ in range(count):
        locations.remember(rng.getrandbits(64), rng.choice(names))
    return locations


def _upstreams(count: int) -> UpstreamList:
    found = UpstreamList()
    for index in range(count):
        name = f"engine-{index}"
        found.set(
            Upstream(name, f"service-{index % 19}", f"http://10.0.0.1:{index}", "hall-1"), index + 1
        )
    return found


def _peers(count: int) -> Gossip:
    own = Alive(1, 1, Phase.LIVE, "self", "10.0.0.1", 7000, "hall-0")
    gossip = Gossip(own, MembershipLimits(), random.Random(1))
    for index in range(count):
        name = f"router-{index}"
        alive = Alive(short_id(name), 1, Phase.LIVE, name, "10.0.0.1", 7000, f"hall-{index % 11}")
        gossip.membership.table.apply_alive(alive, 0.0)
    gossip.members(0.0)
    return gossip


def _bytes_per_item(make: Callable[[int], Any], few: int, many: int) -> float:
    sizes = []
    for count in (few, many):
        gc.collect()
        tracemalloc.start()
        held = make(count)
        gc.collect()
        sizes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del held
    return (sizes[1] - sizes[0]) / (many - few)


def measure_memory() -> Iterator[Measure]:
    """Measure the bytes per entry of the large tables in a router's state."""
    yield Measure("memory.spilled_chat", _bytes_per_item(_spilled_chats, 1000, 20_000), "B")
    yield Measure("memory.account", _bytes_per_item(configuration_with_accounts, 200, 3000), "B")
    yield Measure("memory.upstream", _bytes_per_item(_upstreams, 100, 2100), "B")
    yield Measure("memory.router_known", _bytes_per_item(_peers, 20, 470), "B")
