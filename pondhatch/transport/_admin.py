"""Serves the state dump, as text and as JSON, and lifts a request's quarantine."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.web.resource import Resource

from pondhatch.router import Authority, Dump, RouterState, dump_state

NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
#: Path prefix of the call that lifts a request's quarantine; its digest in hex follows.
LIFT_PATH = b"/lift/"


def format_dump(dump: Dump) -> str:
    """Return a dump as readable text."""
    lines = []
    for key, value in dump.items():
        if not isinstance(value, list):
            lines.append(f"{key}: {value}")
            continue
        lines.append(f"{key}: {len(value)}")
        lines.extend("  " + _format_row(row) for row in value)
    return "\n".join(lines) + "\n"


def _format_row(row: Dump) -> str:
    if "request_id" not in row:
        return "  ".join(f"{key}={value}" for key, value in row.items())
    at = time.strftime("%H:%M:%S", time.gmtime(row["at"]))
    passed_over = "; ".join(f"{engine}: {why}" for engine, why in row["passed_over"])
    engine = row["engine"] or "no engine"
    text = f"{at} {row['account']} -> {row['service']}: {engine}, {row['outcome']}"
    text += f" after {row['seconds']} s"
    return f"{text}; passed over {passed_over}" if passed_over else text


class Admin(Resource):
    """Serves operators; bind it to an address that only they can reach."""

    isLeaf = True

    def __init__(
        self,
        state: RouterState,
        authority: Authority,
        counters: Callable[[], Dump],
        lift: Callable[[int], bool],
    ) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        #: Clears any evidence of crashes that is held against the request with a digest; returns
        #: whether there was any.
        self._lift = lift
        self._state = state
        self._authority = authority
        #: Returns the counters that the dump holds besides the state.
        self._counters = counters

    def render(self, request: Any) -> bytes:
        """Serve the dump or lift a quarantine, by the request's path; 404 for any other path."""
        if request.path == b"/state.json":
            request.setHeader(b"Content-Type", b"application/json")
            return msgspec.json.encode(self._dump())
        if request.path == b"/state":
            request.setHeader(b"Content-Type", b"text/plain; charset=utf-8")
            return format_dump(self._dump()).encode()
        if request.path.startswith(LIFT_PATH):
            return self._answer_lift(request)
        request.setResponseCode(NOT_FOUND)
        return b""

    def _answer_lift(self, request: Any) -> bytes:
        """Clear the evidence against a request; 404 if there is none or the digest is invalid."""
        if request.method != b"POST":
            request.setResponseCode(METHOD_NOT_ALLOWED)
            return b""
        try:
            digest = int(request.path.removeprefix(LIFT_PATH), 16)
        except ValueError:
            digest = 0
        if not self._lift(digest):
            request.setResponseCode(NOT_FOUND)
        return b""

    def _dump(self) -> Dump:
        return dump_state(self._state, self._authority, self._counters())
