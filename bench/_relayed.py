"""Processor time of a chunk that another router relays, against a direct one."""

from __future__ import annotations

from collections.abc import Iterator

from bench._measures import Measure
from bench._relay import TOKEN_INTERVAL, streaming_cost
from fakes._local_fleet import ROOT, LocalFleet, free_ports

#: The router that does not reach the engine.
CUT_OFF = "router-0"


def measure_relayed() -> Iterator[Measure]:
    """Measure a router that is cut off from the engine, together with the one that relays."""
    with LocalFleet(log_level="ERROR") as fleet:
        engine = fleet.add_backend(
            "engine", "engine-0", "scene-language", "recife-1", slots=64, step=TOKEN_INTERVAL
        )
        # Nothing listens at the other port.
        fleet.divert(CUT_OFF, {engine.url.removeprefix("http://"): free_ports(1)[0]})
        fleet.add_routers(["recife-1", "recife-1"])
        fleet.apply(ROOT / "bench/fleet.yaml")
        fleet.await_convergence(1)
        cut_off, relay = fleet.routers
        pids = [each.process.pid for each in fleet.routers]
        direct = streaming_cost(relay.callers, pids)
        relayed = streaming_cost(cut_off.callers, pids)
    against = "direct, both routers together, same run"
    yield Measure("relayed.chunk_processor", relayed[0] * 1e6, "us", direct[0] * 1e6, against)
    yield Measure("relayed.request_processor", relayed[1] * 1e3, "ms", direct[1] * 1e3, against)
    yield Measure("relayed.first_token", relayed[2] * 1e3, "ms", direct[2] * 1e3, against)
