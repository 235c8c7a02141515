from __future__ import annotations

import unittest

from pondhatch.requests import digest_of


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
