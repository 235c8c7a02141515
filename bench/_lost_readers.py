"""What confirmations of the platform's state cost, and what the loss of all readers sets off.

In virtual time with the code that serves, no sockets. The baseline has no confirmations.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

from loguru import logger

from bench._measures import Measure
from fakes._reading_fleet import ReadingFleet
from fakes._virtual_loop import run_virtually
from pondhatch.membership import TreeLevel

#: Routers, data halls, and seeds of each size.
SIZES = ((8, 4, 20), (24, 4, 10), (100, 11, 4), (470, 11, 2))
SETTLED_SECONDS, CALM_SECONDS = 5.0, 20.0
#: Seconds after a loss in which calls are counted, and in which all routers learn of a change.
LOSS_SECONDS, LEARNING_SECONDS = 2.0, 8.0
STEP_SECONDS = 0.01


@dataclass(frozen=True)
class Calm:
    """A fleet in which nothing happens."""

    calls_a_minute: float
    #: Sent by one router, headers included, and by the whole fleet between halls.
    bytes_a_second: float
    bytes_between_halls_a_second: float


@dataclass(frozen=True)
class Loss:
    """The readers of all halls are lost, and the routers of the upper levels."""

    #: Calls to the platform in the worst second, of the two that follow.
    worst_second_calls: int
    #: Seconds from a change 0.1 s after the loss until the last router has it.
    in_force_seconds: float


def measure_lost_readers() -> Iterator[Measure]:
    """Measure both for some sizes of the fleet."""
    logger.remove()
    for routers, halls, seeds in SIZES:
        calm, calm_before = (_calm(routers, halls, is_confirmed) for is_confirmed in (True, False))
        losses, losses_before = (
            [_loss(routers, halls, seed, TreeLevel.HALL_TOP, is_confirmed) for seed in range(seeds)]
            for is_confirmed in (True, False)
        )
        upper = [_loss(routers, halls, seed, TreeLevel.SECOND, True) for seed in range(seeds)]
        rows = (
            ("calls", calm.calls_a_minute, calm_before.calls_a_minute, "a minute, calm"),
            ("bytes", calm.bytes_a_second, calm_before.bytes_a_second, "B/s a router, calm"),
            (
                "between-halls",
                calm.bytes_between_halls_a_second,
                calm_before.bytes_between_halls_a_second,
                "B/s of the fleet, calm",
            ),
            (
                "loss.calls",
                max(each.worst_second_calls for each in losses),
                max(each.worst_second_calls for each in losses_before),
                "in the worst second",
            ),
            (
                "loss.in-force",
                max(each.in_force_seconds for each in losses),
                max(each.in_force_seconds for each in losses_before),
                "s until the last router",
            ),
            (
                "loss-of-upper-levels.calls",
                max(each.worst_second_calls for each in upper),
                None,
                "in the worst second",
            ),
            (
                "loss-of-upper-levels.in-force",
                max(each.in_force_seconds for each in upper),
                None,
                "s until the last router",
            ),
        )
        for name, value, before, unit in rows:
            yield Measure(f"readers.{routers}.{name}", value, unit, before, "no confirmations")


def _calm(routers: int, halls: int, is_confirmed: bool) -> Calm:
    async def play() -> Calm:
        fleet = ReadingFleet(routers, halls, 1, is_confirmed)
        await asyncio.sleep(SETTLED_SECONDS)
        fleet.reset_counts()
        await asyncio.sleep(CALM_SECONDS)
        fleet.stop()
        return Calm(
            len(fleet.platform.called_at) / CALM_SECONDS * 60,
            fleet.bytes_sent / routers / CALM_SECONDS,
            fleet.bytes_between_halls / CALM_SECONDS,
        )

    return run_virtually(play())


def _loss(routers: int, halls: int, seed: int, lowest: TreeLevel, is_confirmed: bool) -> Loss:
    """Lose the readers and all routers down to a level."""

    async def play() -> Loss:
        fleet = ReadingFleet(routers, halls, seed, is_confirmed)
        await asyncio.sleep(SETTLED_SECONDS + fleet.rng.random())
        loop = asyncio.get_running_loop()
        for each in fleet.living():
            is_upper = each.state.gossip.tree_level(loop.time()) <= lowest
            if is_upper or each.state.is_watcher():
                each.stop()
        fleet.reset_counts()
        lost_at = loop.time()
        await asyncio.sleep(0.1)
        version, changed_at = fleet.change(), loop.time()
        while any(each.state.configuration.version < version for each in fleet.living()):
            if loop.time() - changed_at > LEARNING_SECONDS:
                break
            await asyncio.sleep(STEP_SECONDS)
        in_force_seconds = loop.time() - changed_at
        await asyncio.sleep(max(0.0, lost_at + LOSS_SECONDS - loop.time()))
        fleet.stop()
        return Loss(_most_in_a_second(fleet.platform.called_at), in_force_seconds)

    return run_virtually(play())


def _most_in_a_second(called_at: list[float]) -> int:
    return max((sum(at <= each < at + 1.0 for each in called_at) for at in called_at), default=0)
