"""How the body of an upstream's response is delimited."""

from __future__ import annotations

import unittest

from pondhatch.requests import Framing
from pondhatch.transport._http_heads import ResponseHead


class FramingTest(unittest.TestCase):
    def framing(self, method: str, status: int, **value_by_name: str) -> Framing:
        named = {name.replace("_", "-"): value for name, value in value_by_name.items()}
        return ResponseHead(status, tuple(named.items()), named).framing(method)

    def test_a_length_or_chunks_delimit_a_body(self) -> None:
        self.assertEqual(self.framing("POST", 200, content_length="3"), Framing.LENGTH)
        self.assertEqual(self.framing("POST", 200, transfer_encoding="chunked"), Framing.CHUNKED)

    def test_chunks_go_before_a_length(self) -> None:
        framing = self.framing("POST", 200, transfer_encoding="chunked", content_length="3")
        self.assertEqual(framing, Framing.CHUNKED)

    def test_a_body_without_either_ends_with_its_connection(self) -> None:
        self.assertEqual(self.framing("POST", 200), Framing.CLOSE)

    def test_a_response_that_has_no_body_does_not_end_with_its_connection(self) -> None:
        for method, status in (("HEAD", 200), ("GET", 304), ("DELETE", 204)):
            with self.subTest(method=method, status=status):
                self.assertEqual(self.framing(method, status), Framing.LENGTH)
