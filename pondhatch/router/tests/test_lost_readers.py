"""Changes reach every router in time, whichever others are lost at whatever moment.

Guards against routers that take the silence of others for proof that nothing has changed: with
those lost that read the platform, they learned of changes only once membership found these dead.
"""

from __future__ import annotations

import asyncio
import os
import unittest
from collections.abc import Awaitable, Callable

from fakes._reading_fleet import DOCUMENT_KIND, DOCUMENT_NAME, ReadingFleet, ReadingRouter
from fakes._virtual_loop import run_virtually
from pondhatch.membership import TreeLevel
from pondhatch.router import EVACUATION_KIND, UPSTREAM_KIND

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


class OtherChangesTest(LostReadersCase):
    """Everything that one router reads for others comes under the same bound."""

    def play_with(self, check: Play, seeds: int = 6) -> None:
        for seed in range(seeds):
            with self.subTest(seed=seed):
                self.play(SMALL, seed, check)

    def test_an_engine_that_leaves_gets_nothing_more(self) -> None:
        async def play(fleet: ReadingFleet) -> None:
            fleet.platform.put(UPSTREAM_KIND, "e0", engine("e0", "live"))
            await asyncio.sleep(1.0)
            lose(fleet.readers())
            fleet.platform.put(UPSTREAM_KIND, "e0", engine("e0", "leaving"))
            fleet.platform.put(UPSTREAM_KIND, "e1", engine("e1", "live"))
            await asyncio.sleep(IN_FORCE_SECONDS)
            for each in fleet.living():
                self.assertEqual(each.state.live_upstreams("s"), ("e1",), each.name)

        self.play_with(play)

    def test_an_evacuated_hall_is_closed_and_opened_again(self) -> None:
        async def play(fleet: ReadingFleet) -> None:
            lose(fleet.readers())
            fleet.platform.put(EVACUATION_KIND, "h1", {"in_force": True})
            await asyncio.sleep(IN_FORCE_SECONDS)
            for each in fleet.living():
                self.assertTrue(each.state.halls.evacuations.is_evacuated("h1"), each.name)
            fleet.platform.store.remove(EVACUATION_KIND, "h1")
            fleet.platform.note_change()
            await asyncio.sleep(IN_FORCE_SECONDS)
            for each in fleet.living():
                self.assertFalse(each.state.halls.evacuations.is_evacuated("h1"), each.name)

        self.play_with(play)

    def test_a_change_in_a_new_era_of_the_platform_is_read(self) -> None:
        async def play(fleet: ReadingFleet) -> None:
            fleet.platform.save_copy()
            await asyncio.sleep(0.5)
            lose(fleet.readers())
            fleet.platform.restore_copy()
            await self.assert_in_force(fleet, fleet.change())

        self.play_with(play)

    def test_a_platform_that_forgot_its_history_is_listed(self) -> None:
        async def play(fleet: ReadingFleet) -> None:
            lose(fleet.readers())
            version = fleet.change()
            fleet.platform.put(UPSTREAM_KIND, "e0", engine("e0", "live"))
            fleet.platform.store.compact()
            await self.assert_in_force(fleet, version)
            for each in fleet.living():
                self.assertEqual(each.state.live_upstreams("s"), ("e0",), each.name)

        self.play_with(play)


class NextLossTest(LostReadersCase):
    """What follows the loss of the readers: the next one, the platform's, their return."""

    def play_with(self, check: Play, size: tuple[int, int] = MIDDLE, seeds: int = 6) -> None:
        for seed in range(seeds):
            with self.subTest(seed=seed):
                self.play(size, seed, check)

    def test_those_that_took_over_are_lost_as_well(self) -> None:
        async def play(fleet: ReadingFleet) -> None:
            for _ in range(3):
                lose([*fleet.readers(), *askers(fleet)])
                await asyncio.sleep(0.1)
                await self.assert_in_force(fleet, fleet.change())

        self.play_with(play)

    def test_the_platform_returns_with_a_change_after_the_loss(self) -> None:
        async def play(fleet: ReadingFleet) -> None:
            fleet.platform.is_away = True
            await asyncio.sleep(fleet.rng.random())
            lose(fleet.readers())
            await asyncio.sleep(6.0 * fleet.rng.random())
            version = fleet.change()
            fleet.platform.is_away = False
            await self.assert_in_force(fleet, version)

        self.play_with(play)

    def test_nothing_goes_back_as_the_lost_ones_return(self) -> None:
        async def play(fleet: ReadingFleet) -> None:
            lost = fleet.readers()
            lose(lost)
            version = fleet.change()
            await self.assert_in_force(fleet, version)
            for each in lost:
                fleet.restart(each.name)
            await asyncio.sleep(0.3)
            for _ in range(4):
                version = fleet.change()
                await self.assert_in_force(fleet, version)
            versions = {each.state.configuration.version for each in fleet.living()}
            self.assertEqual(versions, {version})

        self.play_with(play, SMALL)

    def test_a_router_that_starts_in_a_hall_without_reader(self) -> None:
        async def play(fleet: ReadingFleet) -> None:
            lose(fleet.readers())
            starting = next(each for each in fleet.routers.values() if each.is_lost)
            fleet.restart(starting.name)
            await asyncio.sleep(fleet.rng.random())
            lose([each for each in fleet.readers() if each.name != starting.name])
            await self.assert_in_force(fleet, fleet.change())

        self.play_with(play, SMALL)

    def test_readers_that_lose_their_path_to_the_platform_alone(self) -> None:
        async def play(fleet: ReadingFleet) -> None:
            for each in (*fleet.readers(), *tops(fleet)):
                each.path.is_silent = True
            await asyncio.sleep(0.1)
            await self.assert_in_force(fleet, fleet.change())

        self.play_with(play)

    def test_routers_of_an_older_build_keep_no_newer_one_behind(self) -> None:
        async def play(fleet: ReadingFleet) -> None:
            older = fleet.rng.sample(fleet.living(), len(fleet.living()) // 2)
            for each in older:
                each.stop_confirming()
            lose(fleet.readers())
            await asyncio.sleep(0.1)
            version = fleet.change()
            await asyncio.sleep(IN_FORCE_SECONDS)
            late = [
                each.name
                for each in fleet.living()
                if each not in older and each.state.configuration.version < version
            ]
            self.assertEqual(late, [])

        self.play_with(play)

    def test_a_rejected_document_that_was_replaced_is_rejected_by_nobody(self) -> None:
        async def play(fleet: ReadingFleet) -> None:
            silent = tops(fleet)
            for each in silent:
                each.path.is_silent = True
            fleet.platform.put(DOCUMENT_KIND, DOCUMENT_NAME, "no version")
            await asyncio.sleep(IN_FORCE_SECONDS)
            self.assertTrue(any(each.state.rejected for each in fleet.living()))
            for each in silent:
                each.path.is_silent = False
            fleet.platform.put(DOCUMENT_KIND, DOCUMENT_NAME, fleet.version)
            await asyncio.sleep(2 * IN_FORCE_SECONDS)
            rejecting = [each.name for each in fleet.living() if each.state.rejected]
            self.assertEqual(rejecting, [])

        self.play_with(play, SMALL)

    def test_a_slow_platform_is_asked_with_more_patience(self) -> None:
        async def play(fleet: ReadingFleet) -> None:
            for each in fleet.living():
                each.path.delay = 1.2
            lose(fleet.readers())
            await asyncio.sleep(6.0)
            fleet.reset_counts()
            await asyncio.sleep(10.0)
            ages = [each.state.freshness.age(each.state.clock()) for each in fleet.living()]
            self.assertLess(max(ages), 6.0)
            self.assertLess(len(fleet.platform.called_at), 10 * len(fleet.living()))

        self.play_with(play, seeds=2)

    def test_halls_that_do_not_reach_each_other(self) -> None:
        async def play(fleet: ReadingFleet) -> None:
            hall_of = {each.name: each.state.hall for each in fleet.living()}
            fleet.is_cut = lambda one, other: hall_of[one] != hall_of[other]
            lose(fleet.readers())
            await asyncio.sleep(0.1)
            await self.assert_in_force(fleet, fleet.change())

        self.play_with(play)


class CallsTest(LostReadersCase):
    """What the platform is asked: hardly more while all is well, and never by all at once."""

    def calls(self, size: tuple[int, int], seconds: float, strike: Play) -> int:
        """Return the calls made from a strike on, with a change 0.1 s after it."""
        counted = 0

        async def play(fleet: ReadingFleet) -> None:
            nonlocal counted
            fleet.reset_counts()
            await strike(fleet)
            await asyncio.sleep(seconds)
            counted = len(fleet.platform.called_at)

        self.play(size, 1, play)
        return counted

    async def nothing(self, fleet: ReadingFleet) -> None:
        pass

    async def lose_readers(self, fleet: ReadingFleet) -> None:
        lose([*fleet.readers(), *tops(fleet)])
        await asyncio.sleep(0.1)
        fleet.change()

    async def delay_top(self, fleet: ReadingFleet) -> None:
        """The first router of the fleet stands still for a while, as one that is late."""
        first = next(
            each
            for each in tops(fleet)
            if each.state.gossip.tree_level(each.state.clock()) == TreeLevel.FLEET_TOP
        )
        first.path.is_silent = True
        await asyncio.sleep(0.7)
        first.path.is_silent = False

    def test_a_calm_fleet_asks_as_often_whatever_its_size(self) -> None:
        for count, halls in (SMALL, MIDDLE, LARGE):
            with self.subTest(routers=count):
                watches = 3 * halls * 10 / 2
                calls = self.calls((count, halls), 10.0, self.nothing)
                self.assertLessEqual(calls, watches + 3 * halls + 10 / 0.35 + 1)

    def test_a_router_that_is_late_makes_few_others_ask(self) -> None:
        for count, halls in (SMALL, MIDDLE, LARGE):
            with self.subTest(routers=count):
                calls = self.calls((count, halls), 1.0, self.delay_top)
                calm = self.calls((count, halls), 1.7, self.nothing)
                self.assertLessEqual(calls, calm + 2 * halls)

    def test_the_second_after_a_loss_stays_far_below_what_the_platform_bears(self) -> None:
        calls = self.calls((470, 11), 2.0, self.lose_readers)
        self.assertLessEqual(calls, CALLS_PER_SECOND / 2)


def engine(name: str, state: str) -> dict[str, str]:
    return {"name": name, "url": "http://10.0.0.1:1", "service": "s", "hall": "h0", "state": state}


def askers(fleet: ReadingFleet) -> list[ReadingRouter]:
    """Return the routers that ask the platform themselves for now."""
    return [each for each in fleet.living() if each.checks._is_asking]


if __name__ == "__main__":
    unittest.main()
