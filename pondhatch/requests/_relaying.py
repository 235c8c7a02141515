"""Sends granted requests to their engines, directly or relayed by another router.

An engine that is unreachable from this router may be reachable from others. A request of which
nothing was sent yet goes to such a router at once, which sends it to the engine and streams the
answer back: one hop, since a relaying router only sends directly. The grant, the retry budget and
the account's limits stay with this router, so one relayed try counts like a direct one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeGuard

import msgspec

from pondhatch.placement import BUSY_SECONDS, GONE_SECONDS, UNSUPPORTED_SECONDS, Regions
from pondhatch.requests._messages import AnswerStarted, BodySource, ReplayableBody, RequestHead
from pondhatch.requests._outcomes import SOON_RETRY_AFTER, NotRun, Unknown, deadline_passed
from pondhatch.requests._sending import Target

#: Code of a try whose engine accepts no connection, here or at a relay with sound paths.
UPSTREAM_UNREACHABLE = "upstream-unreachable"
#: Code of a try whose engine is unreachable from here, and perhaps only from here.
PATH_LOST = "path-lost"
#: Codes of a router that relays no request for now: it has too many, cannot be called, or does
#: not know the call.
RELAY_BUSY = "relay-busy"
RELAY_GONE = "relay-gone"
RELAY_UNSUPPORTED = "relay-unsupported"
#: Seconds for which a router is not asked again, by the code of its refusal.
SKIPPED_SECONDS_BY_CODE = {
    RELAY_BUSY: BUSY_SECONDS,
    RELAY_GONE: GONE_SECONDS,
    RELAY_UNSUPPORTED: UNSUPPORTED_SECONDS,
}
#: Codes with which a relay reports that it did not reach the engine.
UNREACHED_CODES = frozenset({UPSTREAM_UNREACHABLE, PATH_LOST})
#: Seconds within which a connection to an engine opens on a sound path, between regions too.
#: A request that another router can relay waits no longer for one.
CONNECT_PATIENCE_SECONDS = 0.35
#: Seconds after which no further router is asked to relay one try: those that know that they cannot
#: reach an engine say so at once, and by then another engine is the better choice.
RELAY_SEARCH_SECONDS = 0.25
#: Largest body that is relayed, in bytes: a relay holds it until the engine has read it.
MAX_RELAYED_BODY_BYTES = 1024 * 1024

SendResult = AnswerStarted | NotRun | Unknown


class DirectUpstreams(Protocol):
    """Connections of this router to upstreams."""

    async def send(
        self, target: Target, head: RequestHead, body: BodySource, patience: float | None = None
    ) -> SendResult:
        """Send a request once, over a connection of this router.

        ``patience`` is the maximum of seconds to wait for a new connection, None for the usual
        timeout. A connection that opens later is kept for the next request.
        """

    def has_connection(self, target: Target, head: RequestHead) -> bool:
        """Return whether an open connection to an upstream may carry a request."""

    def reconnect(self, target: Target) -> None:
        """Open a connection to an upstream in the background, unless one is being opened."""


class RelayedRequest(msgspec.Struct, frozen=True):
    """A granted request that one router passes to another, which sends it to its engine."""

    #: The router that received the request from its caller.
    router: str
    engine: str
    head: RequestHead
    body: bytes


class Relays(Protocol):
    """Connections to the routers that relay requests."""

    async def relay(self, router: str, request: RelayedRequest) -> SendResult:
        """Have a router send a request once; a refusal with a code of a relay is not run."""


class EnginePaths(Protocol):
    """The state of this router's paths, and of other routers as relays."""

    def is_alone(self) -> bool:
        """Return whether no other live router knows how to relay."""

    def is_reachable(self, engine: str) -> bool:
        """Return whether connections to an engine open from here, as far as known."""

    def is_confirmed_unreachable(self, engine: str) -> bool:
        """Return whether a router with sound paths could not reach an engine either."""

    def start_recheck(self, engine: str) -> bool:
        """Return whether to try to open a connection to an unreachable engine now."""

    def relays(self, engine: str, regions: Regions) -> tuple[str, ...]:
        """Return the routers to ask to relay a request to an engine, the best first."""

    def record_relayed(self, router: str) -> None:
        """Record that a router relayed a request to its engine."""

    def record_unreached(self, router: str, engine: str, is_certain: bool) -> None:
        """Record that a router could not reach an engine, perhaps by a fault of its own paths."""

    def skip_relay(self, router: str, seconds: float) -> None:
        """Do not ask a router to relay requests for some seconds."""


class RelayingUpstreams:
    """Sends requests directly where a connection opens, else by a relay; see Upstreams."""

    def __init__(
        self,
        name: str,
        direct: DirectUpstreams,
        relays: Relays,
        paths: EnginePaths,
        count: Callable[[str], None],
    ) -> None:
        self._name = name
        self._direct = direct
        self._relays = relays
        self._paths = paths
        #: Increases a counter.
        self._count = count

    async def send(self, target: Target, head: RequestHead, body: BodySource) -> SendResult:
        """Send a request once over the first way that takes it; see Upstreams."""
        clock = asyncio.get_running_loop().time
        deadline = clock() + head.deadline
        if self._paths.is_alone() or not _may_be_relayed(body):
            return await self._direct.send(target, head, body)
        if self._paths.is_reachable(target.name) or self._direct.has_connection(target, head):
            reply = await self._direct.send(target, head, body, CONNECT_PATIENCE_SECONDS)
            if not _is_unreached(reply):
                return reply
        head = msgspec.structs.replace(head, deadline=deadline - clock())
        relays = self._paths.relays(target.name, head.regions)
        is_recheck_due = self._paths.start_recheck(target.name)
        if is_recheck_due and relays:
            self._direct.reconnect(target)
        reply = await self._send_by_relay(relays, target, head, body)
        if _is_unreached(reply) and is_recheck_due and clock() < deadline:
            # The path may be back, and each other router that was asked may still have to find out.
            head = msgspec.structs.replace(head, deadline=deadline - clock())
            reply = await self._direct.send(target, head, body, CONNECT_PATIENCE_SECONDS)
        return self._result(target, reply)

    async def _send_by_relay(
        self, relays: tuple[str, ...], target: Target, head: RequestHead, body: ReplayableBody
    ) -> SendResult:
        """Ask routers in turn until one has sent the request, or refuses it for its engine."""
        clock = asyncio.get_running_loop().time
        started_at = clock()
        for router in relays:
            waited = clock() - started_at
            if waited > RELAY_SEARCH_SECONDS:
                break
            left = msgspec.structs.replace(head, deadline=head.deadline - waited)
            if left.deadline <= 0:
                return deadline_passed()
            request = RelayedRequest(self._name, target.name, left, body.content)
            reply = await self._relays.relay(router, request)
            if not isinstance(reply, NotRun):
                self._paths.record_relayed(router)
                self._count("relays.used")
                return reply
            if reply.code in SKIPPED_SECONDS_BY_CODE:
                self._paths.skip_relay(router, SKIPPED_SECONDS_BY_CODE[reply.code])
            elif reply.code in UNREACHED_CODES:
                is_certain = reply.code == UPSTREAM_UNREACHABLE
                self._paths.record_unreached(router, target.name, is_certain)
            else:
                # The engine refused it, or it may not be sent to the engine now.
                return reply
        return NotRun(PATH_LOST, f"{target.name}: no way to it", SOON_RETRY_AFTER)

    def _result(self, target: Target, reply: SendResult) -> SendResult:
        """Return a reply, as a failure of the engine only if another router confirms it."""
        if not _is_unreached(reply):
            return reply
        is_confirmed = self._paths.is_confirmed_unreachable(target.name)
        code = UPSTREAM_UNREACHABLE if is_confirmed else PATH_LOST
        return msgspec.structs.replace(reply, code=code, retry_after=SOON_RETRY_AFTER)


def _is_unreached(reply: SendResult) -> TypeGuard[NotRun]:
    return isinstance(reply, NotRun) and reply.code in UNREACHED_CODES


def _may_be_relayed(body: BodySource) -> TypeGuard[ReplayableBody]:
    """Return whether a body can be sent again; one that is not in memory can be read only once."""
    return isinstance(body, ReplayableBody) and len(body.content) <= MAX_RELAYED_BODY_BYTES
