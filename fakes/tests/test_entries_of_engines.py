"""Engines that start again under their id, and entries that another writer has spoilt."""

from __future__ import annotations

import uuid
from typing import Any

from fakes._local_fleet import Backend, fetch
from fakes._machines_fleet import HALLS, eventually
from fakes.tests.test_prepared_machines import MachinesCase

#: Requests of one look at who serves.
LOOKS = 12


class EntriesCase(MachinesCase):
    def setUp(self) -> None:
        for engine in self.engines("portal"):
            self.fleet.say(engine, "ready")
        eventually(lambda: self.serving() == {"i-portal-0", "i-portal-1"})

    def serving(self) -> set[str]:
        """Return who answers some requests at each router; all of them must be answered."""
        answers = [
            self.ask(router, f"/proofs/{uuid.uuid4().hex}", b"x")
            for router in self.fleet.machines
            for _ in range(LOOKS)
        ]
        self.assertEqual({each.status for each in answers}, {200})
        return {each.body.decode().rsplit(" ", 1)[-1] for each in answers}

    def engine(self) -> Backend:
        return self.engines("portal")[0]


class StartsTest(EntriesCase):
    def test_each_start_is_asked_under_the_id_and_serves(self) -> None:
        engine = self.engine()
        for born in (1_000, 3_000, 2_000):
            self.fleet.say(engine, "ready", born=born)
            eventually(lambda: self.serving() == {"i-portal-0", "i-portal-1"})
        expected = {
            value
            for pairs in fetch(f"{engine.url}/asked")
            for name, value in pairs
            if name == "expect-instance"
        }
        self.assertEqual(expected, {engine.name})


class SpoiltEntriesTest(EntriesCase):
    def test_one_that_names_no_engine_gets_nothing_new_until_it_is_mended(self) -> None:
        engine = self.engine()
        wrong: tuple[dict[str, Any], ...] = (
            {"State": "paused"},
            {"Slots": "8"},
            {"Zone": None},
            {"born": 1.5},
        )
        for changes in wrong:
            with self.subTest(changes=changes):
                self.fleet.say(engine, "ready", **changes)
                eventually(lambda: self.serving() == {"i-portal-1"})
                self.fleet.say(engine, "ready")
                eventually(lambda: self.serving() == {"i-portal-0", "i-portal-1"})


class NobodysEntriesTest(EntriesCase):
    def test_entries_of_nobody_change_nothing(self) -> None:
        for at, spec in enumerate(("no table", None, [1, 2], {"Service": "portal"}, 7)):
            self.fleet.put("servers", f"i-nobody-{at}", spec)
        self.fleet.add_engine("i-portal-2", "portal", HALLS[0])
        eventually(lambda: self.serving() == {"i-portal-0", "i-portal-1", "i-portal-2"})
