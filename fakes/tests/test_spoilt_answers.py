"""Upstreams whose answers have spoilt heads or frames, behind real routers.

Guards against routers that pass on as a whole answer what its upstream did not mean as one: the
body ended where one line of the head said and the caller was told another one, lines that are no
fields became part of others, and statuses that are none were passed on.
"""

from __future__ import annotations

import contextlib
import http.client
import time
import urllib.parse
import uuid
from collections.abc import Iterator
from dataclasses import dataclass, replace

from fakes._machines_engine import STREAM_EVENTS
from fakes._machines_fleet import HALLS, eventually
from fakes._silent_relay import HOST
from fakes._spoilt import (
    CUT_HEADS,
    CUT_STREAMS,
    LENGTHS,
    LINES,
    NAMES,
    SIGNATURE,
    SOUND,
    STATUSES,
    VALUES,
    WHOLE_BODY,
    SpoiltUpstream,
)
from fakes._steady_caller import CallerRequest, call
from fakes.tests._troubled_service import (
    OK,
    MachinesRoute,
    MachinesService,
    RelayedService,
    StandardService,
    TroubledService,
)

#: Seconds within which a caller gets an answer or a refusal.
ANSWER_SECONDS = 4.0
#: Seconds within which one of several requests is sent to the only upstream.
REACHED_SECONDS = 10.0
#: Seconds within which one of many requests is sent to one of two engines.
RESUMED_SECONDS = 10.0
#: Spoilt answers that were read as five bytes of their bodies.
KEPT_NAMES = ("length-and-chunks", "too-short", "continued-value", "only-blanks")
#: Statuses with which a router says that its upstream gave no answer.
REFUSALS = frozenset({502, 503, 504})
#: The signature of an answer whose head is as its upstream meant it: with the request's id.
SIGNED = rf"^{SIGNATURE.decode()}\.[0-9a-f.-]+$"
#: Fields of the spoilt lines.
NOTES = ("X-Note", "X-Other")
#: What an engine streams to an end.
WHOLE_STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (at, at) for at in range(1, STREAM_EVENTS + 1))


@dataclass(frozen=True)
class Received:
    """What a caller got on one connection."""

    #: 0 if no whole answer came.
    status: int
    signature: str
    #: Values of NOTES.
    notes: tuple[str, ...]
    body: bytes
    #: Status of the answer to a sound request on the same connection; 0 if it was closed.
    next_status: int


def receive(request: CallerRequest, following: CallerRequest) -> Received:
    """Send a request, and a sound one on the same connection unless it was closed."""
    connection = http.client.HTTPConnection(
        urllib.parse.urlparse(request.url).netloc, timeout=ANSWER_SECONDS
    )
    try:
        _send(connection, request)
        response = connection.getresponse()
        status, body, headers = response.status, response.read(), response.headers
    except (OSError, http.client.HTTPException):
        connection.close()
        return Received(0, "", (), b"", 0)
    next_status = 0
    if connection.sock is not None:
        try:
            _send(connection, following)
            next_status = connection.getresponse().status
        except (OSError, http.client.HTTPException) as error:
            if not isinstance(error, ConnectionError):
                next_status = -1
    connection.close()
    notes = tuple(headers[name] for name in NOTES if name in headers)
    signature = headers.get("Instance-Signature", "")
    return Received(status, signature, notes, body, next_status)


def _send(connection: http.client.HTTPConnection, request: CallerRequest) -> None:
    path = urllib.parse.urlparse(request.url).path
    connection.request("POST", path, request.body, dict(request.headers))


@contextlib.contextmanager
def one_upstream(service: TroubledService, name: str) -> Iterator[SpoiltUpstream]:
    """Have a service answered by one new upstream, which has answered soundly once."""
    with SpoiltUpstream(HOST, service.PORT) as upstream:
        service.add_upstream(name, upstream.address)
        try:
            eventually(lambda: call(service.troubled_request("whole")).status == OK)
            yield upstream
        finally:
            service.remove_upstream(name)


class _SpoiltChecks(TroubledService):
    """Plays each spoilt answer; the caller gets the upstream's own one, whole, or a refusal."""

    def check(self, names: tuple[str, ...]) -> None:
        for name in names:
            with self.subTest(name), one_upstream(self, f"i-{name}") as upstream:
                self.check_answer(name, upstream)

    def test_a_sound_answer_is_passed_on(self) -> None:
        for name in SOUND:
            with self.subTest(name), one_upstream(self, f"i-{name}"):
                request = self.troubled_request(name).unique()
                received = receive(request, self.sound_request().unique())
                self.assertEqual((received.status, received.body), (OK, WHOLE_BODY))
                self.assertRegex(received.signature, SIGNED)
                self.assertEqual(received.next_status, OK)

    def check_answer(self, name: str, upstream: SpoiltUpstream) -> None:
        gives_up_at = time.monotonic() + REACHED_SECONDS
        unsent: list[Received] = []
        while not upstream.sent_by_name[name]:
            self.assertLess(time.monotonic(), gives_up_at, f"not sent to the upstream: {unsent}")
            request = self.troubled_request(name).unique()
            received = receive(request, self.sound_request().unique())
            self.check_received(received)
            unsent.append(received)

    def check_received(self, received: Received) -> None:
        self.assertIn(received.next_status, {0, OK})
        if received.status in REFUSALS or not received.status:
            return
        self.assertEqual((received.status, received.body), (OK, WHOLE_BODY))
        self.assertRegex(received.signature, SIGNED)
        self.assertEqual(received.notes, ())

    def test_a_body_ends_where_its_caller_is_told(self) -> None:
        self.check(tuple(LENGTHS))

    def test_a_line_that_is_no_field_is_not_passed_on(self) -> None:
        self.check(tuple(LINES))

    def test_a_spoilt_name_is_not_passed_on(self) -> None:
        self.check(tuple(NAMES))

    def test_a_spoilt_value_is_not_passed_on(self) -> None:
        self.check(tuple(VALUES))

    def test_a_status_that_is_none_is_not_passed_on(self) -> None:
        self.check(tuple(STATUSES))

    def test_a_cut_head_is_no_answer(self) -> None:
        self.check(tuple(CUT_HEADS))


class MachinesSpoiltTest(_SpoiltChecks, MachinesService):
    """Two routers of the prepared machines; the callers' one reaches the upstream."""


class RelayedSpoiltTest(_SpoiltChecks, RelayedService):
    """The callers' router does not reach the upstream, and the other one relays."""


class UnrepeatableSpoiltTest(_SpoiltChecks, MachinesService):
    """The requests may not run twice."""

    TROUBLED = MachinesRoute("portal", "/proofs/")
    SOUND = MachinesRoute("lang", "/notes/")


class ResumedSpoiltTest(MachinesService):
    """A stream whose upstream told its length goes on at an engine that makes more of it."""

    # Guards against the length of an answer's first part, told of the whole answer.
    def test_a_resumed_stream_is_not_told_the_length_of_its_first_part(self) -> None:
        (name,) = CUT_STREAMS
        self.fleet.add_engine("i-lang-0", self.TROUBLED.service, HALLS[0])
        eventually(lambda: call(self.troubled_request("whole")).status == OK)
        with SpoiltUpstream(HOST, self.PORT) as upstream:
            self.add_upstream("i-cut", upstream.address)
            gives_up_at = time.monotonic() + RESUMED_SECONDS
            while not upstream.sent_by_name[name] and time.monotonic() < gives_up_at:
                request = self.troubled_request(name).unique()
                received = receive(request, self.sound_request().unique())
                self.assertEqual((received.status, received.body), (OK, WHOLE_STREAM))
            self.remove_upstream("i-cut")
        self.assertGreater(upstream.sent_by_name[name], 0)


class StandardSpoiltTest(_SpoiltChecks, StandardService):
    """Two routers of the standard interface, and a plain service."""


class KeptSpoiltTest(StandardService):
    """Requests with an idempotency key, whose answers are kept and given again."""

    # Guards against a spoilt answer that is given to later requests too.
    def test_no_spoilt_answer_is_kept(self) -> None:
        for name in KEPT_NAMES:
            with self.subTest(name), one_upstream(self, f"i-{name}"):
                request = self.troubled_request(name).unique()
                key = ("Idempotency-Key", uuid.uuid4().hex)
                keyed = replace(request, headers=(*request.headers, key))
                following = self.sound_request().unique()
                bodies = {receive(keyed, following).body for _ in range(3)}
                self.assertNotIn(WHOLE_BODY[:5], bodies)


del _SpoiltChecks
