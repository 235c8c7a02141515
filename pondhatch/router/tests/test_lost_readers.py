"""Changes reach every router in time, whichever others are lost at whatever moment.

Guards against routers that take the silence of others for proof that nothing has changed: with
those lost that read the platform, they learned of changes only once membership found these dead.
"""

from __future__ import annotations

import asyncio
import os
import unittest
from collections.abc import Awaitable, Callable

from fakes._reading_fleet import ReadingFleet, ReadingRouter
from fakes._virtual_loop import run_virtually
from pondhatch.membership import TreeLevel

#: Seconds from a change at the platform until it has to be in force everywhere.
IN_FORCE_SECONDS = 2.0
#: Seconds after which a fleet that starts knows all that there is to know.
SETTLED_SECONDS = 4.0
#: Routers and data halls of the fleets.
SMALL, MIDDLE, LARGE = (8, 4), (24, 4), (100, 11)
SEEDS_OF_SMALL = 24 if not os.environ.get("PONDHATCH_SOAK") else 200
#: Calls that all routers of a platform may make in one second.
CALLS_PER_SECOND = 2000

Play = Callable[[ReadingFleet], Awaitable[None]]


class LostReadersCase(unittest.TestCase):
    def play(self, size: tuple[int, int], seed: int, play: Play) -> None:
        async def settle_and_play() -> None:
            fleet = ReadingFleet(*size, seed)
            await asyncio.sleep(SETTLED_SECONDS + fleet.rng.random())
            await play(fleet)
            fleet.stop()

        run_virtually(settle_and_play())

    async def assert_in_force(self, fleet: ReadingFleet, version: int) -> None:
        """Wait for as long as a change may take, and check that all routers have it."""
        await asyncio.sleep(IN_FORCE_SECONDS)
        late = [each.name for each in fleet.living() if each.state.configuration.version < version]
        self.assertEqual(late, [])


def lose(routers: list[ReadingRouter]) -> None:
    for each in routers:
        each.stop()


def tops(fleet: ReadingFleet) -> list[ReadingRouter]:
    """Return the routers that tell the others of their halls."""
    now = asyncio.get_running_loop().time()
    return [
        each for each in fleet.living() if each.state.gossip.tree_level(now) <= TreeLevel.HALL_TOP
    ]


class EveryMomentTest(LostReadersCase):
    """The loss comes at any moment of the rounds, and the change at any moment after it."""

    def lose_and_change(self, chosen: Callable[[ReadingFleet], list[ReadingRouter]]) -> Play:
        async def play(fleet: ReadingFleet) -> None:
            lose(chosen(fleet))
            await asyncio.sleep(fleet.rng.choice((0.0, 0.1, 0.5, 1.5)) * fleet.rng.random())
            await self.assert_in_force(fleet, fleet.change())

        return play

    def play_all(self, chosen: Callable[[ReadingFleet], list[ReadingRouter]]) -> None:
        plays = [(SMALL, seed) for seed in range(SEEDS_OF_SMALL)]
        plays += [(MIDDLE, seed) for seed in range(4)] + [(LARGE, 1)]
        for size, seed in plays:
            with self.subTest(size=size, seed=seed):
                self.play(size, seed, self.lose_and_change(chosen))

    def test_readers_are_lost(self) -> None:
        self.play_all(lambda fleet: fleet.readers())

    def test_the_routers_that_tell_the_others_are_lost(self) -> None:
        self.play_all(tops)

    def test_both_are_lost(self) -> None:
        self.play_all(lambda fleet: [*fleet.readers(), *tops(fleet)])

    def test_half_of_the_fleet_is_lost(self) -> None:
        self.play_all(lambda fleet: fleet.rng.sample(fleet.living(), len(fleet.living()) // 2))


if __name__ == "__main__":
    unittest.main()
