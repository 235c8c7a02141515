from __future__ import annotations

import unittest

from pondhatch.requests import digest_of, part_digest


class DigestTest(unittest.TestCase):
    def test_only_attempts_at_the_same_request_share_a_digest(self) -> None:
        attempt = ("pina", "POST", "/notes/a", b"body")
        others = [
            ("olga", "POST", "/notes/a", b"body"),
            ("pina", "PUT", "/notes/a", b"body"),
            ("pina", "POST", "/notes/ab", b"ody"),
            ("pinaPOST", "", "/notes/a", b"body"),
            ("pina", "POST", "/notes/a", b""),
        ]
        self.assertEqual(digest_of(*attempt), digest_of(*attempt))
        self.assertEqual(len({digest_of(*each) for each in [attempt, *others]}), 6)


class PartDigestTest(unittest.TestCase):
    def test_a_part_of_another_account_or_service_has_another_digest(self) -> None:
        """Guards against one account bringing the part of another under quarantine."""
        own = part_digest("pina", "lang", 0xBAD)
        self.assertEqual(own, part_digest("pina", "lang", 0xBAD))
        others = {part_digest("rosa", "lang", 0xBAD), part_digest("pina", "portal", 0xBAD)}
        others.add(part_digest("pina", "lang", 0xBAE))
        self.assertEqual(len(others - {own}), 3)
