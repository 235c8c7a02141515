"""Who may say what: callers, routers, engines, one connection."""

from __future__ import annotations

import unittest

from pondhatch.platform import _names
from pondhatch.platform._callers import ClientDialect
from pondhatch.platform._engines import EngineDialect
from pondhatch.platform._header_owners import OWNERS
from pondhatch.platform.tests._wire import (
    CALLERS_HEADERS,
    CONNECTIONS_HEADERS,
    ENGINES_HEADERS,
    ROUTERS_HEADERS,
    ROUTERS_TO_READ,
)
from pondhatch.requests import Headers
from pondhatch.transport import Owner

OWNER_BY_NAME = {
    **dict.fromkeys(CALLERS_HEADERS, Owner.CALLER),
    **dict.fromkeys(ROUTERS_TO_READ, Owner.CALLER_TO_ROUTER),
    **dict.fromkeys(ROUTERS_HEADERS, Owner.ROUTER),
    **dict.fromkeys(ENGINES_HEADERS, Owner.UPSTREAM),
    **dict.fromkeys(CONNECTIONS_HEADERS, Owner.CONNECTION),
}
#: Names in the adapter's list that are no headers.
NO_HEADERS = frozenset({"servers", "evacuations", "config", "main", "pressure"})


class HeaderOwnersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.noted: list[str] = []

    def to_engine(self, *headers: tuple[str, str]) -> Headers:
        return ClientDialect().forwarded_headers(headers, self.noted.append)

    def to_caller(self, *headers: tuple[str, str]) -> Headers:
        return EngineDialect().answer_headers(headers, self.noted.append)


class TableTest(HeaderOwnersTest):
    def test_every_header_that_the_platform_names_has_its_owner(self) -> None:
        for name, owner in OWNER_BY_NAME.items():
            with self.subTest(name=name):
                self.assertIs(OWNERS.owner_by_name.get(name.lower()), owner)

    def test_every_header_that_the_adapter_names_has_an_owner(self) -> None:
        values = (value for name, value in vars(_names).items() if name.isupper())
        headers = {value for value in values if isinstance(value, str)} - NO_HEADERS
        self.assertGreater(len(headers), 20)
        for name in headers:
            with self.subTest(name=name):
                self.assertIn(name, OWNER_BY_NAME)

    def test_the_table_cannot_be_changed(self) -> None:
        with self.assertRaises(TypeError):
            OWNERS.owner_by_name["tenant"] = Owner.CALLER  # type: ignore[index]


class FromCallersTest(HeaderOwnersTest):
    def test_what_a_caller_may_say_goes_on_as_it_came(self) -> None:
        said = tuple((name, " \xe9, 1") for name in (*CALLERS_HEADERS, "X-Own", "Kv-Other"))
        self.assertEqual(self.to_engine(*said), said)
        twice = (("Model", "a"), ("model", "b"), ("X-Own", ""), ("X-Own", "2"))
        self.assertEqual(self.to_engine(*twice), twice)
        self.assertEqual(self.noted, [])

    def test_what_others_own_is_dropped_in_any_case_and_number(self) -> None:
        for kind, names in (("router", ROUTERS_HEADERS), ("upstream", ENGINES_HEADERS)):
            for name in names:
                with self.subTest(name=name):
                    self.noted.clear()
                    forged = [(name, "1"), (name.upper(), "2"), (name.swapcase(), "")]
                    self.assertEqual(self.to_engine(*forged, ("X-Own", "1")), (("X-Own", "1"),))
                    self.assertEqual(self.noted, [kind] * 3)

    def test_what_every_request_says_to_the_router_is_dropped_and_not_counted(self) -> None:
        ends_here = (*ROUTERS_TO_READ, *CONNECTIONS_HEADERS, "Content-Length", "TE", "Expect")
        self.assertEqual(self.to_engine(*((name, "1") for name in ends_here)), ())
        self.assertEqual(self.noted, [])


class ListedTest(HeaderOwnersTest):
    """Names that a message's own `Connection` lists."""

    def test_they_concern_the_connection_alone(self) -> None:
        said = (("X-Hop", "1"), ("Connection", "close, x-HOP"), ("X-Hop", "2"), ("X-Own", "3"))
        for passed_on in (self.to_engine(*said), self.to_caller(*said)):
            self.assertEqual(passed_on, (("X-Own", "3"),))
        self.assertEqual(self.noted, ["listed"] * 4)

    def test_what_an_engine_or_a_caller_must_get_cannot_be_listed_away(self) -> None:
        names = (*CALLERS_HEADERS, "Host", "Content-Type")
        said = tuple((name, "1") for name in names)
        listing = ("Connection", ", ".join((*names, "keep-alive")))
        self.assertEqual(self.to_engine(listing, *said), said)
        proof = (("Instance-Signature", "3e"), ("Content-Length", "2"))
        self.assertEqual(
            self.to_caller(("Connection", "Instance-Signature,Content-Length"), *proof), proof
        )
        self.assertEqual(self.noted, [])

    def test_listing_what_others_own_lets_none_of_it_through(self) -> None:
        for name in (*ROUTERS_HEADERS, *ENGINES_HEADERS):
            with self.subTest(name=name):
                self.assertEqual(self.to_engine(("Connection", name), (name, "1")), ())


class FromEnginesTest(HeaderOwnersTest):
    def test_what_an_engine_may_say_goes_on_as_it_came(self) -> None:
        said = tuple((name, "\xff1") for name in (*ENGINES_HEADERS, "Attempt-Id", "X-Own"))
        framed = (*said, ("Content-Length", "4"), ("Content-Type", "text/plain"))
        self.assertEqual(self.to_caller(*framed), framed)
        self.assertEqual(self.noted, [])

    def test_what_it_was_told_alone_goes_no_further(self) -> None:
        for name in ROUTERS_HEADERS:
            with self.subTest(name=name):
                self.noted.clear()
                self.assertEqual(self.to_caller((name.lower(), "1")), ())
                self.assertEqual(self.noted, ["answer"])
        for name in (*ROUTERS_TO_READ, *CONNECTIONS_HEADERS, "Transfer-Encoding", "Upgrade"):
            with self.subTest(name=name):
                self.assertEqual(self.to_caller((name, "1")), ())
