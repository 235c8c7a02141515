"""The state of a router at its start: its own entry, its seeds and its retry budgets."""

from __future__ import annotations

import random
import time

from pondhatch.cli._peer_connections import PeerConnections
from pondhatch.configuration import (
    ColdSettings,
    LoadManagement,
    RetrySettings,
    Settings,
    VmSettings,
)
from pondhatch.limits import HeldBytes, RetryAllowance, RetryBudgets
from pondhatch.membership import (
    USUAL_CAPACITY,
    Address,
    Alive,
    Gossip,
    MembershipLimits,
    Phase,
    capacity_of,
    short_id,
)
from pondhatch.placement import ColdAllowance, ColdPacer
from pondhatch.router import HallStates, RouterState
from pondhatch.transport import Interface


def initial_state(
    settings: Settings, rng: random.Random, connections: PeerConnections, interface: Interface
) -> RouterState:
    """Return the state of a router that knows no other routers than its seeds."""
    seeds = [_parse_address(seed) for seed in settings.seeds]
    load_management = _load_management(settings, interface)
    own_entry = _own_entry(settings, _capacity(settings.vm, load_management))
    gossip = Gossip(own_entry, MembershipLimits(), rng, seeds)
    return RouterState(
        settings.name,
        settings.hall,
        gossip,
        time.monotonic,
        connections.connection_to,
        retry_budgets=RetryBudgets(_retry_allowance(settings.retries)),
        halls=HallStates(settings.regions or {}),
        cold_pacer=ColdPacer(_cold_allowance(settings.cold)),
        held_bytes=HeldBytes(settings.held_bytes_bound),
        engine_queue=settings.service_defaults.engine_queue,
        load_management=load_management,
    )


def _load_management(settings: Settings, interface: Interface) -> LoadManagement:
    """Return the mode of load management, by the settings and the platform's rules in force."""
    is_requested = interface.asks_for_load_management(settings.rules_in_force or ())
    if settings.load_management == "as-needed" and is_requested:
        return "on"
    return settings.load_management


def _capacity(vm: VmSettings, load_management: LoadManagement) -> float:
    """Return the capacity to publish: the usual one unless load is managed."""
    if load_management != "on":
        return USUAL_CAPACITY
    return capacity_of(vm.cpu_quota, vm.cores, vm.link_mbps)


def _own_entry(settings: Settings, capacity: float) -> Alive:
    """Return a router's own gossip entry.

    Its incarnation is the start time, so that it supersedes entries from before a restart.
    """
    return Alive(
        router=short_id(settings.name),
        incarnation=time.time_ns() // 1_000_000,
        phase=Phase.LIVE,
        name=settings.name,
        host=settings.peers.host,
        port=settings.peers.port,
        hall=settings.hall,
        capacity=capacity,
    )


def _retry_allowance(settings: RetrySettings) -> RetryAllowance:
    """Return the retry allowance of the settings; unset values keep their defaults."""
    return RetryAllowance(**_without_none(share=settings.share, slack=settings.slack))


def _cold_allowance(settings: ColdSettings) -> ColdAllowance:
    """Return the load that cold upstreams may get by the settings; unset values keep defaults."""
    return ColdAllowance(**_without_none(overshoot=settings.overshoot, slack=settings.slack))


def _without_none(**values: float | None) -> dict[str, float]:
    """Return the values that are not None."""
    return {name: value for name, value in values.items() if value is not None}


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
