"""Guards pulls from peers: how many run at once, from which peers, and when they are hedged."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from fakes._platform_in_memory import PlatformInMemory
from fakes._virtual_loop import run_virtually
from pondhatch.configuration.tests.test_fleet import account, change
from pondhatch.membership import Member, short_id
from pondhatch.membership._records import Versions
from pondhatch.router import RouterState
from pondhatch.router._sync import Pull
from pondhatch.router.tests.test_sync import (
    FIRST,
    HeldByPeer,
    meet,
    new_peer_sync,
    new_sync,
    router,
)


class OnePullTest(unittest.TestCase):
    """Guards against a pull for each packet of a peer that is ahead, as they come in dozens."""

    def pulls(self, packets: int, lost: bool = False) -> tuple[int, int, int]:
        """Return the most concurrent pulls, the number of pulls, and the version in force."""
        peer, state = router("r1"), router("r0")
        peer.apply_change(FIRST)
        peer.apply_change(change(2, account("a")))
        meet(state, peer)
        running: list[int] = []
        most_at_once = total = 0

        async def pull(member: Member, configuration: int, upstreams: int) -> HeldByPeer | None:
            nonlocal most_at_once, total
            total += 1
            running.append(total)
            most_at_once = max(most_at_once, len(running))
            await asyncio.sleep(0.5)
            running.pop()
            return None if lost else HeldByPeer(peer, configuration, upstreams)

        async def main() -> None:
            sync = new_peer_sync(state, pull)
            waiting = [asyncio.ensure_future(sync.on_peer_ahead()) for _ in range(packets)]
            await asyncio.wait(waiting)

        run_virtually(main())
        return most_at_once, total, state.configuration.version

    def test_there_is_one_pull_at_a_time_and_it_brings_all(self) -> None:
        self.assertEqual(self.pulls(50), (1, 1, 2))

    def test_a_failed_pull_is_not_repeated_at_once(self) -> None:
        self.assertEqual(self.pulls(50, lost=True), (1, 1, 0))


class SilentPeersTest(unittest.TestCase):
    """Guards against lag where peers stop, freeze or are cut off after they announced a change.

    A change is to be in force within 2 s on small fleets (3 s on large ones), and a call to a peer
    that does not reply times out after 2 s.
    """

    def setUp(self) -> None:
        self.state = router("r0")
        self.state.apply_change(FIRST)

    def peer_with_change(self, name: str) -> RouterState:
        """Return a peer that holds a change which the router lacks."""
        peer = router(name)
        peer.apply_change(FIRST)
        peer.apply_change(change(2, account("a")))
        return peer

    def seconds_behind(
        self, pull: Pull, later: Callable[[], Awaitable[None]] | None = None
    ) -> float:
        """Return the seconds until the router has the change; ``later`` runs concurrently."""

        async def main() -> float:
            loop = asyncio.get_running_loop()
            self.state.clock = loop.time
            tasks = [asyncio.ensure_future(new_peer_sync(self.state, pull).run())]
            if later is not None:
                tasks.append(asyncio.ensure_future(later()))
            while self.state.configuration.version < 2:
                await asyncio.sleep(0.01)
            for task in tasks:
                task.cancel()
            return loop.time()

        return run_virtually(main())

    def seconds_behind_with_silent_peers(self, silent: int, peers: int) -> tuple[float, int]:
        """Return the seconds until the router has a change, and the most concurrent pulls."""
        holders = [self.peer_with_change(f"r{index + 1}") for index in range(peers)]
        for each in holders:
            meet(self.state, each)
        asked: list[str] = []
        running: set[str] = set()
        most_at_once = 0

        async def pull(member: Member, configuration: int, upstreams: int) -> HeldByPeer | None:
            nonlocal most_at_once
            # The peers that are asked first are the silent ones, whichever they are.
            is_silent = len(asked) < silent
            asked.append(member.name)
            running.add(member.name)
            most_at_once = max(most_at_once, len(running))
            await asyncio.sleep(2.0 if is_silent else 0.01)
            running.discard(member.name)
            return None if is_silent else HeldByPeer(holders[0], configuration, upstreams)

        return self.seconds_behind(pull), most_at_once

    def test_a_change_is_in_force_in_time_though_two_peers_in_a_row_give_no_answer(self) -> None:
        for silent in (1, 2):
            with self.subTest(silent=silent):
                self.setUp()
                seconds, most_at_once = self.seconds_behind_with_silent_peers(silent, peers=5)
                self.assertLess(seconds, 1.7)
                self.assertLessEqual(most_at_once, 3)

    def test_a_peer_that_is_ahead_later_is_asked_while_a_silent_one_is_pending(self) -> None:
        silent, later = self.peer_with_change("r1"), self.peer_with_change("r2")
        meet(self.state, silent)

        async def pull(member: Member, configuration: int, upstreams: int) -> HeldByPeer | None:
            is_silent = member.name == silent.name
            await asyncio.sleep(2.0 if is_silent else 0.01)
            return None if is_silent else HeldByPeer(later, configuration, upstreams)

        async def meet_another_peer() -> None:
            await asyncio.sleep(0.3)
            meet(self.state, later)

        self.assertLess(self.seconds_behind(pull, meet_another_peer), 1.7)

    def test_where_one_peer_answers_no_other_is_asked(self) -> None:
        self.assertEqual(self.seconds_behind_with_silent_peers(0, peers=5)[1], 1)


class CutOffPeersTest(unittest.TestCase):
    """Guards against pulls from cut-off peers, which hold older versions and cost 2 s each.

    A change is to be in force within 2 s. With 26 of 87 routers cut off while the configuration
    changed, some routers handled requests by a configuration 3 s old.
    """

    def asked_first(self, held_by_name: dict[str, Versions]) -> set[str]:
        state = router("r0")
        peers = [router(name) for name in held_by_name]
        for peer in peers:
            meet(state, peer)
            state.gossip.membership.table.record_versions(
                short_id(peer.name), held_by_name[peer.name]
            )
        sync = new_sync(state, PlatformInMemory(), None)
        return {member.name for member in sync._peers_to_pull_from()}

    def test_only_peers_with_the_newest_configuration_are_asked(self) -> None:
        held = {"r1": Versions(38, 9), "r2": Versions(40, 5), "r3": Versions(38, 9)}
        self.assertEqual(self.asked_first(held), {"r2"})

    def test_without_a_newer_configuration_peers_with_the_newest_upstreams_are_asked(self) -> None:
        held = {"r1": Versions(0, 7), "r2": Versions(0, 9), "r3": Versions(0, 9)}
        self.assertEqual(self.asked_first(held), {"r2", "r3"})

    def test_peers_that_hold_nothing_newer_are_not_asked(self) -> None:
        self.assertEqual(self.asked_first({"r1": Versions(0, 0)}), set())
