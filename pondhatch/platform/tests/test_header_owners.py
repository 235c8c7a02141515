"""Guards against headers that reach engines or callers although their sender may not set them."""

from __future__ import annotations

import unittest

from pondhatch.platform import _names
from pondhatch.platform._callers import PlatformCallerDialect
from pondhatch.platform._engines import EngineDialect
from pondhatch.platform._header_owners import OWNERS
from pondhatch.platform.tests._wire import (
    CALLER_TO_ROUTER_HEADERS,
    CALLERS_HEADERS,
    CONNECTIONS_HEADERS,
    ENGINES_HEADERS,
    ROUTERS_HEADERS,
)
from pondhatch.requests import Headers
from pondhatch.transport import Owner

OWNER_BY_NAME = {
    **dict.fromkeys(CALLERS_HEADERS, Owner.CALLER),
    **dict.fromkeys(CALLER_TO_ROUTER_HEADERS, Owner.CALLER_TO_ROUTER),
    **dict.fromkeys(ROUTERS_HEADERS, Owner.ROUTER),
    **dict.fromkeys(ENGINES_HEADERS, Owner.UPSTREAM),
    **dict.fromkeys(CONNECTIONS_HEADERS, Owner.CONNECTION),
}
#: Values of the adapter's names that are no headers.
NON_HEADER_NAMES = frozenset({"servers", "evacuations", "config", "main", "pressure"})


class HeaderOwnersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.dropped: list[str] = []

    def to_engine(self, *headers: tuple[str, str]) -> Headers:
        return PlatformCallerDialect().forwarded_headers(headers, self.dropped.append)

    def to_caller(self, *headers: tuple[str, str]) -> Headers:
        return EngineDialect().answer_headers(headers, self.dropped.append)


class TableTest(HeaderOwnersTest):
    def test_every_platform_header_has_its_owner(self) -> None:
        for name, owner in OWNER_BY_NAME.items():
            with self.subTest(name=name):
                self.assertIs(OWNERS.owner_by_name.get(name.lower()), owner)

    def test_every_header_in_names_has_an_owner(self) -> None:
        values = (value for name, value in vars(_names).items() if name.isupper())
        headers = {value for value in values if isinstance(value, str)} - NON_HEADER_NAMES
        self.assertGreater(len(headers), 20)
        for name in headers:
            with self.subTest(name=name):
                self.assertIn(name, OWNER_BY_NAME)

    def test_the_table_cannot_be_changed(self) -> None:
        with self.assertRaises(TypeError):
            OWNERS.owner_by_name["tenant"] = Owner.CALLER  # type: ignore[index]


class FromCallersTest(HeaderOwnersTest):
    def test_headers_a_caller_may_set_are_forwarded_unchanged(self) -> None:
        headers = tuple((name, " \xe9, 1") for name in (*CALLERS_HEADERS, "X-Own", "Kv-Other"))
        self.assertEqual(self.to_engine(*headers), headers)
        twice = (("Model", "a"), ("model", "b"), ("X-Own", ""), ("X-Own", "2"))
        self.assertEqual(self.to_engine(*twice), twice)
        self.assertEqual(self.dropped, [])

    def test_headers_of_other_owners_are_dropped_in_any_case_and_number(self) -> None:
        for kind, names in (("router", ROUTERS_HEADERS), ("upstream", ENGINES_HEADERS)):
            for name in names:
                with self.subTest(name=name):
                    self.dropped.clear()
                    forged = [(name, "1"), (name.upper(), "2"), (name.swapcase(), "")]
                    self.assertEqual(self.to_engine(*forged, ("X-Own", "1")), (("X-Own", "1"),))
                    self.assertEqual(self.dropped, [kind] * 3)

    def test_headers_meant_for_the_router_are_dropped_and_not_counted(self) -> None:
        ends_here = (
            *CALLER_TO_ROUTER_HEADERS,
            *CONNECTIONS_HEADERS,
            "Content-Length",
            "TE",
            "Expect",
        )
        self.assertEqual(self.to_engine(*((name, "1") for name in ends_here)), ())
        self.assertEqual(self.dropped, [])


class ListedTest(HeaderOwnersTest):
    """Headers that a message's own `Connection` header lists."""

    def test_listed_headers_are_dropped(self) -> None:
        headers = (("X-Hop", "1"), ("Connection", "close, x-HOP"), ("X-Hop", "2"), ("X-Own", "3"))
        for passed_on in (self.to_engine(*headers), self.to_caller(*headers)):
            self.assertEqual(passed_on, (("X-Own", "3"),))
        self.assertEqual(self.dropped, ["listed"] * 4)

    def test_listing_a_required_header_does_not_drop_it(self) -> None:
        names = (*CALLERS_HEADERS, "Host", "Content-Type")
        headers = tuple((name, "1") for name in names)
        listing = ("Connection", ", ".join((*names, "keep-alive")))
        self.assertEqual(self.to_engine(listing, *headers), headers)
        proof = (("Instance-Signature", "3e"), ("Content-Length", "2"))
        self.assertEqual(
            self.to_caller(("Connection", "Instance-Signature,Content-Length"), *proof), proof
        )
        self.assertEqual(self.dropped, [])

    def test_listing_a_header_of_another_owner_still_drops_it(self) -> None:
        for name in (*ROUTERS_HEADERS, *ENGINES_HEADERS):
            with self.subTest(name=name):
                self.assertEqual(self.to_engine(("Connection", name), (name, "1")), ())


class FromEnginesTest(HeaderOwnersTest):
    def test_headers_an_engine_may_set_are_forwarded_unchanged(self) -> None:
        headers = tuple((name, "\xff1") for name in (*ENGINES_HEADERS, "Attempt-Id", "X-Own"))
        framed = (*headers, ("Content-Length", "4"), ("Content-Type", "text/plain"))
        self.assertEqual(self.to_caller(*framed), framed)
        self.assertEqual(self.dropped, [])

    def test_headers_meant_for_the_engine_are_dropped(self) -> None:
        for name in ROUTERS_HEADERS:
            with self.subTest(name=name):
                self.dropped.clear()
                self.assertEqual(self.to_caller((name.lower(), "1")), ())
                self.assertEqual(self.dropped, ["answer"])
        for name in (
            *CALLER_TO_ROUTER_HEADERS,
            *CONNECTIONS_HEADERS,
            "Transfer-Encoding",
            "Upgrade",
        ):
            with self.subTest(name=name):
                self.assertEqual(self.to_caller((name, "1")), ())
