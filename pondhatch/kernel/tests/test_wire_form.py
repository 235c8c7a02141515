"""Guards against encodings that programs without the added fields cannot read."""

from __future__ import annotations

import unittest

import msgspec

from pondhatch.kernel import without_defaults


class Message(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A message whose last two fields were added later."""

    name: str
    number: int = 1
    added: int = 0
    words: tuple[str, ...] = ()


class WireFormTest(unittest.TestCase):
    def test_added_fields_at_their_defaults_are_left_out(self) -> None:
        self.assertEqual(without_defaults(Message("a", 2), "added"), (7, "a", 2))

    def test_all_fields_are_written_if_an_added_one_is_set(self) -> None:
        message = Message("a", words=("b",))
        self.assertIs(without_defaults(message, "added"), message)
