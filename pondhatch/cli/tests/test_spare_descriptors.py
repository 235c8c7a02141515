"""Guards against checking for spare descriptors on each readiness request.

The balancer sends one to each of hundreds of idle routers every second. Callers connect a few at a
time, or by the hundred after a power cut, so that a check must not be reused for too long.
"""

from __future__ import annotations

import unittest
from unittest import mock

from pondhatch.cli import _ports
from pondhatch.cli._ports import RECHECK_SECONDS, SPARE_DESCRIPTORS, SpareDescriptors


class SpareDescriptorsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.connections = 0
        self.spare = SpareDescriptors(lambda: self.now, lambda: self.connections)
        can_open = mock.patch.object(_ports, "_can_open", return_value=True)
        self.can_open = can_open.start()
        self.addCleanup(can_open.stop)

    def count_checks(self, times: int) -> int:
        """Call are_available() some times; return how often descriptors were opened to check."""
        before = self.can_open.call_count
        for _ in range(times):
            self.spare.are_available()
        return self.can_open.call_count - before

    def test_a_check_is_valid_for_a_while(self) -> None:
        self.assertEqual(self.count_checks(10), 1)
        self.now = RECHECK_SECONDS
        self.assertEqual(self.count_checks(10), 1)

    def test_descriptors_are_checked_again_once_half_may_be_used(self) -> None:
        self.count_checks(1)
        self.connections = SPARE_DESCRIPTORS // 2 - 1
        self.assertEqual(self.count_checks(1), 0)
        self.connections = SPARE_DESCRIPTORS // 2
        self.assertEqual(self.count_checks(1), 1)

    def test_a_failed_check_is_repeated_on_each_request(self) -> None:
        self.can_open.return_value = False
        self.assertEqual(self.count_checks(3), 3)
        self.assertFalse(self.spare.are_available())
        self.can_open.return_value = True
        self.assertTrue(self.spare.are_available())
