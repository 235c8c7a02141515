from __future__ import annotations

import unittest

from pondhatch.placement import SpillMemory, context_engine


class ContextTest(unittest.TestCase):
    def test_where_a_context_is_believed_to_lie(self) -> None:
        memory = SpillMemory()
        memory.remember(7, "e5")
        cases = [
            # chat, runner-up, home is young, believed at
            (7, "e2", False, "e5"),
            (7, "e2", True, "e5"),
            (8, "e2", False, "home"),
            (8, "e2", True, "e2"),
            (8, None, True, "home"),
        ]
        for chat, runner_up, young, engine in cases:
            with self.subTest(chat=chat, young=young):
                found = context_engine(memory, chat, "home", runner_up, young)
                self.assertEqual(found, engine)
