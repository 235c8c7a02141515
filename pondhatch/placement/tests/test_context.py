"""Guards against sending a returning chat to an engine that does not hold its context."""

from __future__ import annotations

import unittest

from pondhatch.placement import ContextLocations, Plan, context_engine

ENGINES = tuple(f"e{index}" for index in range(17))


class ContextTest(unittest.TestCase):
    def test_context_engine(self) -> None:
        locations = ContextLocations()
        locations.remember(7, "e5")
        cases = [
            # chat, settled engine, whether the home is young, expected engine
            (7, "e2", False, "e5"),
            (7, "e2", True, "e5"),
            (8, "e2", False, "home"),
            (8, "e2", True, "e2"),
            (8, None, True, "home"),
        ]
        for chat, settled_engine, young, engine in cases:
            with self.subTest(chat=chat, young=young):
                found = context_engine(locations, chat, "home", settled_engine, young)
                self.assertEqual(found, engine)


class ReplacedEnginesTest(unittest.TestCase):
    """Guards against prefilling contexts again when engines are replaced or added.

    With 3 of 17 engines replaced and 2 added within 8 s, the engine ranked second may be new
    itself. A chat that is sent there has its context prefilled again, at a cost of 0.65 per
    thousand tokens; there are 95 contexts of 10,000 tokens, each used every 4.5 s.
    """

    def test_a_chat_keeps_its_engine_however_many_new_engines_rank_above(self) -> None:
        for count in (1, 2, 5):
            newcomers = {f"new{index}" for index in range(count)}
            for chat in range(200):
                before = Plan(str(chat), ENGINES).home
                plan = Plan(str(chat), (*ENGINES, *newcomers))
                home = plan.home or ""
                settled_engine = plan.settled_engine(newcomers.__contains__)
                found = context_engine(
                    ContextLocations(), chat, home, settled_engine, home in newcomers
                )
                with self.subTest(count=count, chat=chat):
                    self.assertEqual(found, before)

    def test_the_home_is_used_where_every_engine_is_new(self) -> None:
        plan = Plan("chat", ENGINES)
        self.assertIsNone(plan.settled_engine(lambda _: True))
        self.assertEqual(context_engine(ContextLocations(), 7, "home", None, True), "home")
